"""Run a deployment as separate processes on loopback: stand-ins, entry VMs and balancer."""

import contextlib
import dataclasses
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from typing import Any

from tools import deployments

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
_PROBE_S = 0.05


class ClusterError(Exception):
    """Raised when a process of the deployment does not start or answer in time."""


def call(url: str, body: Any = None, *, timeout_s: float = 5.0, headers: dict[str, str] | None = None) -> Any:
    """Send a request with a JSON body, or a GET without one, and return the JSON answer.

    Args:
        url: Address.
        body: Value for a POST, or None for a GET.
        timeout_s: Longest wait in seconds.
        headers: Further headers.

    Returns:
        The decoded answer, or its text if it is not JSON.

    Raises:
        urllib.error.HTTPError: The answer has an error status.
        OSError: No answer.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, {"Content-Type": "application/json", **(headers or {})})
    with urllib.request.urlopen(request, timeout=timeout_s) as answer:
        text = answer.read().decode()
    try:
        return json.loads(text)
    except ValueError:
        return text


@dataclasses.dataclass(slots=True)
class Process:
    """Represent one process of the deployment.

    Attributes:
        name: Name of the VM, instance or stand-in.
        popen: The process.
        addresses: Addresses that it wrote after opening its sockets, by purpose.
    """

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def url(self) -> str:
        """Return the base address for callers of this process."""
        return f"http://{self.addresses['http']}"

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self, timeout_s: float = 40.0) -> int:
        """Ask for a planned stop and return the exit code."""
        self.popen.terminate()
        return self.popen.wait(timeout_s)


class Cluster:
    """Start, change and stop the processes of a deployment; use it as a context manager."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        *,
        logs: pathlib.Path | None = None,
        vm_flags: tuple = (),
        endpoint_flags: tuple = (),
    ):
        """Create a cluster; nothing starts before the context is entered.

        Args:
            deployment: Places and sizes.
            logs: Folder for the processes' logs; a temporary one if None.
            vm_flags: Further flags for each VM.
            endpoint_flags: Further flags for each instance.
        """
        self.deployment = deployment
        self.operator_key = secrets.token_hex(16)
        self.platform: Process
        self.balancer: Process | None = None
        self.endpoints: dict[str, Process] = {}
        self.vms: dict[str, Process] = {}
        self._vm_flags = vm_flags
        self._endpoint_flags = endpoint_flags
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="currantlead-")))
        self.logs = logs or self._folder
        self.logs.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Cluster":
        try:
            self.start_endpoints()
            self.start_platform()
            for name in self.vm_names():
                self.start_vm(name, wait=False)
            for vm in self.vms.values():
                self._await_ready(vm)
            return self
        except BaseException:
            self.__exit__(None, None, None)
            raise

    def __exit__(self, *_: object) -> None:
        processes = [*self.vms.values(), *self.endpoints.values()]
        processes += [process for process in (getattr(self, "platform", None), self.balancer) if process]
        for process in processes:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in processes:
            process.popen.wait()
        self._stack.close()

    def vm_names(self) -> list[str]:
        """Return the names of all VMs, domain by domain."""
        return [f"{domain}-{n}" for domain, count in self.deployment.vms.items() for n in range(1, count + 1)]

    def domain_of(self, vm: str) -> str:
        """Return the failure domain of a VM's name."""
        return vm.rpartition("-")[0]

    def start_endpoints(self) -> None:
        """Start an instance of each database in each domain and form the groups."""
        size = self.deployment
        for database in size.databases:
            for domain in size.vms:
                name = f"{database}-{domain}"
                self.endpoints[name] = self._start_endpoint(name, database, 0)
        for process in self.endpoints.values():
            self._await_port(process)
        for number, database in enumerate(size.databases):
            self._form_group(database, number)

    def _start_endpoint(self, name: str, database: str, port: int) -> Process:
        size = self.deployment
        return self._start(
            name,
            "tests.standins.endpoint",
            *("--name", name, "--group", database, "--port", port),
            *("--connections", size.connections, "--connect-time", size.connect_time_s),
            *("--slots", size.slots, "--statement-time", size.statement_time_s),
            *self._endpoint_flags,
        )

    def restart_endpoint(self, name: str) -> Process:
        """Start a killed instance at its address again, without data.

        Args:
            name: Name of the instance.

        Returns:
            Its process.
        """
        port = int(self.endpoints[name].addresses["http"].rpartition(":")[2])
        (self._folder / f"{name}.port").unlink(missing_ok=True)
        database = next(each for each in self.deployment.databases if name.startswith(f"{each}-"))
        self.endpoints[name] = self._start_endpoint(name, database, port)
        self._await_port(self.endpoints[name])
        call(f"{self.endpoints[name].url}/control", {"lag_s": self.deployment.lag_s})
        return self.endpoints[name]

    def _form_group(self, database: str, number: int) -> None:
        primary = self.primary_at_start(database, number)
        members = {f"{database}-{domain}": self.endpoints[f"{database}-{domain}"] for domain in self.deployment.vms}
        peers = {name: process.url for name, process in members.items()}
        listed = [{"name": name, "url": url} for name, url in peers.items()]
        for name, process in sorted(members.items(), key=lambda item: item[0] != primary):
            role = "primary" if name == primary else "replica"
            body = {"term": 1, "role": role, "primary": primary, "primary_url": peers[primary], "start_index": 0}
            call(f"{process.url}/term", {**body, "peers": listed})
            call(f"{process.url}/control", {"lag_s": self.deployment.lag_s})

    def primary_at_start(self, database: str, number: int) -> str:
        """Return the first primary of a database; the primaries are spread over the domains."""
        domains = list(self.deployment.vms)
        return f"{database}-{domains[number % len(domains)]}"

    def start_platform(self) -> None:
        """Start the platform with the groups' records."""
        groups = {name: self._group_record(number, name) for number, name in enumerate(self.deployment.databases)}
        seed = {"groups": groups}
        path = self._folder / "seed.json"
        path.write_text(json.dumps(seed))
        self.platform = self._start("platform", "tests.standins.platform", "--port", "0", "--seed", path)
        self._await_port(self.platform)

    def _group_record(self, number: int, database: str) -> dict[str, Any]:
        instances = [
            {
                "name": f"{database}-{domain}",
                "url": self.endpoints[f"{database}-{domain}"].url,
                "domain": domain,
                "leaving": False,
            }
            for domain in self.deployment.vms
        ]
        return {
            "name": database,
            "term": 1,
            "phase": "stable",
            "primary": self.primary_at_start(database, number),
            "instances": instances,
            "starts": {"1": 0},
        }

    def start_vm(self, name: str, *, wait: bool = True) -> Process:
        """Start the daemon of a VM, also after it was killed.

        Args:
            name: Name of the VM.
            wait: Whether to wait until it is ready.

        Returns:
            Its process.
        """
        path = self._folder / f"{name}.json"
        path.unlink(missing_ok=True)
        flags = {
            "--vm": name,
            "--domain": self.domain_of(name),
            "--listen": "127.0.0.1:0",
            "--peer-listen": "127.0.0.1:0",
            "--operator-listen": "127.0.0.1:0",
            "--platform-url": self.platform.url,
            "--address-file": str(path),
        }
        arguments = [item for pair in flags.items() for item in pair]
        self.vms[name] = self._start(
            name,
            "currantlead",
            "serve",
            *arguments,
            *self._vm_flags,
            env={"CURRANTLEAD_OPERATOR_KEY": self.operator_key},
        )
        if wait:
            self._await_ready(self.vms[name])
        return self.vms[name]

    def start_balancer(self) -> Process:
        """Start the balancer in front of all VMs."""
        targets = [part for vm in self.vms.values() for part in ("--target", f"{vm.name}={vm.addresses['http']}")]
        self.balancer = self._start("balancer", "tests.standins.balancer", "--port", "0", *targets)
        self._await_port(self.balancer)
        return self.balancer

    def operate(self, *arguments: str, vm: str | None = None) -> str:
        """Run ``currantlead run`` against a VM and return what it printed.

        Args:
            arguments: Arguments after ``run``.
            vm: Name of the VM, or None for the first one that runs.

        Returns:
            Standard output.

        Raises:
            ClusterError: The command failed.
        """
        target = self.vms[vm] if vm else next(item for item in self.vms.values() if item.popen.poll() is None)
        environment = {
            **os.environ,
            "CURRANTLEAD_OPERATOR_KEY": self.operator_key,
            "CURRANTLEAD_OPERATOR_URL": f"http://{target.addresses['operator']}",
        }
        command = [sys.executable, "-m", "currantlead", "run", *arguments]
        done = subprocess.run(command, env=environment, cwd=ROOT, capture_output=True, text=True, timeout=60)
        if done.returncode != 0:
            raise ClusterError(f"currantlead run {' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done.stdout

    def primary(self, database: str) -> str:
        """Return the primary's name in the group's record, or an empty string while there is none."""
        record = call(f"{self.platform.url}/objects/groups/{database}")["value"]
        return record["primary"] if record.get("phase", "stable") == "stable" else ""

    def _start(self, name: str, module: str, *arguments: Any, env: dict[str, str] | None = None) -> Process:
        command = [sys.executable, "-m", module, *map(str, arguments)]
        if module != "currantlead":
            port_file = self._folder / f"{name}.port"
            port_file.unlink(missing_ok=True)
            command += ["--port-file", str(port_file)]
        log = self._stack.enter_context(open(self.logs / f"{name}.log", "ab"))  # noqa: SIM115
        popen = subprocess.Popen(
            command, cwd=ROOT, env={**os.environ, **(env or {})}, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        return Process(name, popen)

    def _await_port(self, process: Process) -> None:
        path = self._folder / f"{process.name}.port"
        self._await(process, lambda: path.exists() and path.read_text().strip() != "")
        process.addresses["http"] = f"127.0.0.1:{path.read_text().strip()}"

    def _await_ready(self, vm: Process) -> None:
        path = self._folder / f"{vm.name}.json"
        self._await(vm, lambda: path.exists() and path.read_text().endswith("}"))
        vm.addresses = json.loads(path.read_text())
        self._await(vm, lambda: is_ready(vm.url))

    def _await(self, process: Process, condition: Any) -> None:
        limit = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if process.popen.poll() is not None or time.monotonic() > limit:
                text = (self.logs / f"{process.name}.log").read_text()[-2000:]
                raise ClusterError(
                    f"{process.name} did not start; exit code {process.popen.poll()}; its log ends:\n{text}"
                )
            time.sleep(_PROBE_S)


def is_ready(url: str) -> bool:
    """Tell whether a VM's health check answers ready."""
    try:
        call(f"{url}/health", timeout_s=1.0)
    except OSError:
        return False
    return True
