"""Measurements of an idle daemon in its own process."""

import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any

from currantlead.control import model, records
from tools import cluster, measurements, sizes

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 20.0
_WARM_UP_S = 3.0
_WINDOW_S = 5.0


def _platform_objects(size: sizes.Size | None) -> dict[str, dict[str, Any]]:
    """Return the platform's objects by kind and name; the measured daemon is alone in a domain without instances.

    The daemon therefore polls no endpoint, so the measurement covers only its own timers and the store.
    """
    if size is None:
        return {}
    objects_by_kind: dict[str, dict[str, Any]] = {}
    for stored in sizes.make_objects(size):
        objects_by_kind.setdefault(stored.kind, {})[stored.name] = stored.value
    view = model.View("domain-x", 1, (), None, 1)
    objects_by_kind["views"]["domain-x"] = records.encode(view)
    return objects_by_kind


@contextlib.contextmanager
def _run_daemon(directory: pathlib.Path, size: sizes.Size | None) -> Iterator[tuple[str, int]]:
    seed, port, addresses = directory / "seed.json", directory / "port", directory / "addresses.json"
    seed.write_text(json.dumps(_platform_objects(size)))
    with contextlib.ExitStack() as stack:
        command = ["tests.standins.platform", "--port", "0", "--port-file", port, "--seed", seed]
        _start_process(stack, directory, command)
        url = f"http://127.0.0.1:{_wait_for_text(port)}"
        flags = ["--vm", "vm-1", "--domain", "domain-x", "--platform-url", url, "--address-file", addresses]
        for flag in ("--listen", "--peer-listen", "--operator-listen"):
            flags += [flag, "127.0.0.1:0"]
        daemon = _start_process(stack, directory, ["currantlead", "serve", *flags, "--log-level", "ERROR"])
        http_address = json.loads(_wait_for_text(addresses))["http"]
        deadline = time.monotonic() + _START_TIMEOUT_S
        while size is not None and not cluster.is_ready(f"http://{http_address}"):
            if time.monotonic() > deadline:
                raise TimeoutError(f"daemon not ready within {_START_TIMEOUT_S:.0f} s")
            time.sleep(0.05)
        yield url, daemon.pid


def _start_process(stack: contextlib.ExitStack, directory: pathlib.Path, command: list[Any]) -> subprocess.Popen[bytes]:
    env = {**os.environ, "CURRANTLEAD_OPERATOR_KEY": "0123456789abcdef"}
    log = stack.enter_context((directory / "log").open("ab"))
    process = subprocess.Popen([sys.executable, "-m", *map(str, command)], cwd=_ROOT, env=env, stdout=log, stderr=log)
    stack.callback(process.wait, 10)
    stack.callback(process.kill)
    return process


def _wait_for_text(path: pathlib.Path) -> str:
    deadline = time.monotonic() + _START_TIMEOUT_S
    while not (path.exists() and path.read_text().strip()):
        if time.monotonic() > deadline:
            raise TimeoutError(f"{path.name} not written within {_START_TIMEOUT_S:.0f} s")
        time.sleep(0.02)
    return path.read_text().strip()


def _cpu_time_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> int:
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _measure_size(size: sizes.Size | None) -> dict[str, float]:
    with (
        tempfile.TemporaryDirectory(prefix="currantlead-") as name,
        _run_daemon(pathlib.Path(name), size) as url_and_pid,
    ):
        url, pid = url_and_pid
        time.sleep(_WARM_UP_S)
        counts_before, cpu_time_s, start = cluster.call(f"{url}/counts"), _cpu_time_s(pid), time.monotonic()
        time.sleep(_WINDOW_S)
        elapsed, cpu_time_s = time.monotonic() - start, _cpu_time_s(pid) - cpu_time_s
        counts_after = cluster.call(f"{url}/counts")
        rates = {kind: (counts_after[kind] - counts_before[kind]) / elapsed for kind in ("reads", "writes", "watches")}
        return {"core": cpu_time_s / elapsed, "resident": _resident_bytes(pid), **rates}


@measurements.register(
    "idle_daemon",
    x="databases",
    how="A whole daemon in its own process, alone in its domain and a relay, with no callers and no instances to poll.",
)
def measure_daemon() -> list[measurements.Point]:
    """Vary the number of databases; 0 stands for a platform without any objects."""
    target_sizes = [dataclasses.replace(sizes.TARGET, databases=count) for count in (65, 650, 1300)]
    points = [{"x": 0, **_measure_size(None)}]
    return points + [{"x": size.databases, **_measure_size(size)} for size in target_sizes]
