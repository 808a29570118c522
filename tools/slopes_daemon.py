"""Measurements of a whole daemon in its own process, without callers."""

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
_START_S = 20.0
_SETTLE_S = 3.0
_WINDOW_S = 5.0


def _seed(size: sizes.Size | None) -> dict[str, dict[str, Any]]:
    """Return the platform's objects; the measured daemon is alone in its domain, which has no instance.

    Without instances in its domain the daemon asks no endpoint, so what is left are its own timers and the store.
    """
    if size is None:
        return {}
    kinds: dict[str, dict[str, Any]] = {}
    for stored in sizes.objects(size):
        kinds.setdefault(stored.kind, {})[stored.name] = stored.value
    empty = model.View("domain-x", 1, (), None, 1)
    kinds["views"]["domain-x"] = records.encode(empty)
    return kinds


@contextlib.contextmanager
def _processes(folder: pathlib.Path, size: sizes.Size | None) -> Iterator[tuple[str, int]]:
    seed, port, addresses = folder / "seed.json", folder / "port", folder / "addresses.json"
    seed.write_text(json.dumps(_seed(size)))
    with contextlib.ExitStack() as stack:
        command = ["tests.standins.platform", "--port", "0", "--port-file", port, "--seed", seed]
        _start(stack, folder, command)
        url = f"http://127.0.0.1:{_await_text(port)}"
        flags = ["--vm", "vm-1", "--domain", "domain-x", "--platform-url", url, "--address-file", addresses]
        for flag in ("--listen", "--peer-listen", "--operator-listen"):
            flags += [flag, "127.0.0.1:0"]
        daemon = _start(stack, folder, ["currantlead", "serve", *flags, "--log-level", "ERROR"])
        ready = json.loads(_await_text(addresses))["http"]
        end = time.monotonic() + _START_S
        while size is not None and not cluster.is_ready(f"http://{ready}"):
            if time.monotonic() > end:
                raise TimeoutError("the daemon is not ready")
            time.sleep(0.05)
        yield url, daemon.pid


def _start(stack: contextlib.ExitStack, folder: pathlib.Path, command: list[Any]) -> subprocess.Popen[bytes]:
    environment = {**os.environ, "CURRANTLEAD_OPERATOR_KEY": "0123456789abcdef"}
    log = stack.enter_context((folder / "log").open("ab"))
    process = subprocess.Popen(
        [sys.executable, "-m", *map(str, command)], cwd=_ROOT, env=environment, stdout=log, stderr=log
    )
    stack.callback(process.wait, 10)
    stack.callback(process.kill)
    return process


def _await_text(path: pathlib.Path) -> str:
    end = time.monotonic() + _START_S
    while not (path.exists() and path.read_text().strip()):
        if time.monotonic() > end:
            raise TimeoutError(f"{path.name} was not written")
        time.sleep(0.02)
    return path.read_text().strip()


def _processor_s(process: int) -> float:
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident(process: int) -> int:
    return int(pathlib.Path(f"/proc/{process}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _measure(size: sizes.Size | None) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="currantlead-") as name, _processes(pathlib.Path(name), size) as found:
        url, process = found
        time.sleep(_SETTLE_S)
        calls, spent, start = cluster.call(f"{url}/counts"), _processor_s(process), time.monotonic()
        time.sleep(_WINDOW_S)
        elapsed, spent = time.monotonic() - start, _processor_s(process) - spent
        after = cluster.call(f"{url}/counts")
        rates = {kind: (after[kind] - calls[kind]) / elapsed for kind in ("reads", "writes", "watches")}
        return {"core": spent / elapsed, "resident": _resident(process), **rates}


@measurements.register(
    "idle_daemon",
    x="databases",
    how="A whole daemon in its own process, alone in its domain and a relay, without callers and instances to ask.",
)
def measure_daemon() -> list[measurements.Point]:
    """Vary the databases; 0 stands for a platform without any object."""
    sizes_ = [dataclasses.replace(sizes.TARGET, databases=count) for count in (65, 650, 1300)]
    points = [{"x": 0, **_measure(None)}]
    return points + [{"x": size.databases, **_measure(size)} for size in sizes_]
