"""Run a deployment as local processes: the entry VMs, and simulated endpoints, platform and load balancer."""

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
_POLL_INTERVAL_S = 0.05


class ClusterError(Exception):
    """Raised when a process of the deployment does not start in time or a command fails."""


def call(url: str, body: Any = None, *, timeout_s: float = 5.0, headers: dict[str, str] | None = None) -> Any:
    """Send a POST with a JSON body, or a GET without one, and return the decoded response.

    Args:
        url: URL of the request.
        body: Value to encode as the JSON body of a POST, or None for a GET.
        timeout_s: Timeout of the request in seconds.
        headers: Additional headers.

    Returns:
        The decoded JSON response, or the response text if it is not JSON.

    Raises:
        urllib.error.HTTPError: The response has an error status.
        OSError: The connection failed or timed out.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, {"Content-Type": "application/json", **(headers or {})})
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        text = response.read().decode()
    try:
        return json.loads(text)
    except ValueError:
        return text


@dataclasses.dataclass(slots=True)
class Process:
    """A process of the deployment.

    Attributes:
        name: Name of the VM, the instance or the simulated service.
        popen: Handle of the process.
        addresses: Listening addresses that the process reported, by purpose.
    """

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def url(self) -> str:
        """Base URL of the HTTP interface of the process."""
        return f"http://{self.addresses['http']}"

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it to exit."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self, timeout_s: float = 40.0) -> int:
        """Request a graceful shutdown with SIGTERM and return the exit code."""
        self.popen.terminate()
        return self.popen.wait(timeout_s)


class Cluster:
    """Context manager that starts and stops the processes of a deployment."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        *,
        logs: pathlib.Path | None = None,
        vm_flags: tuple = (),
        endpoint_flags: tuple = (),
    ):
        """Create a cluster; its processes start when the context is entered.

        Args:
            deployment: Failure domains, databases and limits of the deployment.
            logs: Directory for the log files; a temporary directory if None.
            vm_flags: Additional command-line flags for each VM.
            endpoint_flags: Additional command-line flags for each instance.
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
        self._directory = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="currantlead-")))
        self.logs = logs or self._directory
        self.logs.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Cluster":
        try:
            self.start_endpoints()
            self.start_platform()
            for name in self.vm_names():
                self.start_vm(name, wait=False)
            for vm in self.vms.values():
                self.wait_until_ready(vm)
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
        """Return the names of all VMs, grouped by failure domain."""
        return [f"{domain}-{n}" for domain, count in self.deployment.vms.items() for n in range(1, count + 1)]

    def domain_of(self, vm: str) -> str:
        """Return the failure domain of the named VM."""
        return vm.rpartition("-")[0]

    def start_endpoints(self) -> None:
        """Start one instance of each database in each failure domain and configure replication."""
        deployment = self.deployment
        for database in deployment.databases:
            for domain in deployment.vms:
                name = f"{database}-{domain}"
                self.endpoints[name] = self._start_endpoint(name, database, 0)
        for process in self.endpoints.values():
            self._wait_for_port(process)
        for number, database in enumerate(deployment.databases):
            self._configure_group(database, number)

    def _start_endpoint(self, name: str, database: str, port: int) -> Process:
        deployment = self.deployment
        return self._start(
            name,
            "tests.standins.endpoint",
            *("--name", name, "--group", database, "--port", port),
            *("--connections", deployment.connections, "--connect-time", deployment.connect_time_s),
            *("--slots", deployment.slots, "--statement-time", deployment.statement_time_s),
            *self._endpoint_flags,
        )

    def restart_endpoint(self, name: str) -> Process:
        """Restart a killed instance on its previous port, with an empty database.

        Args:
            name: Name of the instance.

        Returns:
            The new process.
        """
        port = int(self.endpoints[name].addresses["http"].rpartition(":")[2])
        (self._directory / f"{name}.port").unlink(missing_ok=True)
        database = next(database for database in self.deployment.databases if name.startswith(f"{database}-"))
        self.endpoints[name] = self._start_endpoint(name, database, port)
        self._wait_for_port(self.endpoints[name])
        call(f"{self.endpoints[name].url}/control", {"lag_s": self.deployment.lag_s})
        return self.endpoints[name]

    def _configure_group(self, database: str, number: int) -> None:
        primary = self.initial_primary(database, number)
        members = {f"{database}-{domain}": self.endpoints[f"{database}-{domain}"] for domain in self.deployment.vms}
        peers = {name: process.url for name, process in members.items()}
        peer_list = [{"name": name, "url": url} for name, url in peers.items()]
        for name, process in sorted(members.items(), key=lambda item: item[0] != primary):
            role = "primary" if name == primary else "replica"
            body = {"term": 1, "role": role, "primary": primary, "primary_url": peers[primary], "start_index": 0}
            call(f"{process.url}/term", {**body, "peers": peer_list})
            call(f"{process.url}/control", {"lag_s": self.deployment.lag_s})

    def initial_primary(self, database: str, number: int) -> str:
        """Return the initial primary of a database; primaries are assigned to failure domains in rotation."""
        domains = list(self.deployment.vms)
        return f"{database}-{domains[number % len(domains)]}"

    def start_platform(self) -> None:
        """Start the simulated platform with the initial record of each replication group."""
        groups = {name: self._group_record(number, name) for number, name in enumerate(self.deployment.databases)}
        seed = {"groups": groups}
        path = self._directory / "seed.json"
        path.write_text(json.dumps(seed))
        self.platform = self._start("platform", "tests.standins.platform", "--port", "0", "--seed", path)
        self._wait_for_port(self.platform)

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
            "primary": self.initial_primary(database, number),
            "instances": instances,
            "starts": {"1": 0},
        }

    def start_vm(self, name: str, *, wait: bool = True) -> Process:
        """Start or restart the daemon of a VM.

        Args:
            name: Name of the VM.
            wait: Whether to wait until the VM is ready.

        Returns:
            The new process.
        """
        path = self._directory / f"{name}.json"
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
        arguments = [argument for flag in flags.items() for argument in flag]
        self.vms[name] = self._start(
            name,
            "currantlead",
            "serve",
            *arguments,
            *self._vm_flags,
            env={"CURRANTLEAD_OPERATOR_KEY": self.operator_key},
        )
        if wait:
            self.wait_until_ready(self.vms[name])
        return self.vms[name]

    def start_balancer(self) -> Process:
        """Start the load balancer in front of all VMs."""
        targets = [
            argument for vm in self.vms.values() for argument in ("--target", f"{vm.name}={vm.addresses['http']}")
        ]
        self.balancer = self._start("balancer", "tests.standins.balancer", "--port", "0", *targets)
        self._wait_for_port(self.balancer)
        return self.balancer

    def operate(self, *arguments: str, vm: str | None = None) -> str:
        """Run ``currantlead run`` against a VM and return its standard output.

        Args:
            arguments: Command-line arguments after ``run``.
            vm: Name of the VM, or None for the first running VM.

        Returns:
            Standard output of the command.

        Raises:
            ClusterError: The command exited with a non-zero status.
        """
        target = self.vms[vm] if vm else next(process for process in self.vms.values() if process.popen.poll() is None)
        environment = {
            **os.environ,
            "CURRANTLEAD_OPERATOR_KEY": self.operator_key,
            "CURRANTLEAD_OPERATOR_URL": f"http://{target.addresses['operator']}",
        }
        command = [sys.executable, "-m", "currantlead", "run", *arguments]
        completed = subprocess.run(command, env=environment, cwd=ROOT, capture_output=True, text=True, timeout=60)
        if completed.returncode != 0:
            raise ClusterError(
                f"currantlead run {' '.join(arguments)} exited with status {completed.returncode}: "
                f"{completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    def primary(self, database: str) -> str:
        """Return the primary recorded by the platform, or an empty string unless the group is in phase ``stable``."""
        record = call(f"{self.platform.url}/objects/groups/{database}")["value"]
        return record["primary"] if record.get("phase", "stable") == "stable" else ""

    def _start(self, name: str, module: str, *arguments: Any, env: dict[str, str] | None = None) -> Process:
        command = [sys.executable, "-m", module, *map(str, arguments)]
        if module != "currantlead":
            port_file = self._directory / f"{name}.port"
            port_file.unlink(missing_ok=True)
            command += ["--port-file", str(port_file)]
        log_file = self._stack.enter_context(open(self.logs / f"{name}.log", "ab"))  # noqa: SIM115
        popen = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **(env or {})},
            stdout=log_file,
            stderr=log_file,
            stdin=subprocess.DEVNULL,
        )
        return Process(name, popen)

    def _wait_for_port(self, process: Process) -> None:
        path = self._directory / f"{process.name}.port"
        self._wait_for(process, lambda: path.exists() and path.read_text().strip() != "")
        process.addresses["http"] = f"127.0.0.1:{path.read_text().strip()}"

    def wait_until_ready(self, vm: Process) -> None:
        """Wait until the VM has written its addresses and its health check succeeds."""
        path = self._directory / f"{vm.name}.json"
        self._wait_for(vm, lambda: path.exists() and path.read_text().endswith("}"))
        vm.addresses = json.loads(path.read_text())
        self._wait_for(vm, lambda: is_ready(vm.url))

    def _wait_for(self, process: Process, condition: Any) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if process.popen.poll() is not None or time.monotonic() > deadline:
                text = (self.logs / f"{process.name}.log").read_text()[-2000:]
                raise ClusterError(
                    f"{process.name} did not start within {START_TIMEOUT_S:.0f} s or exited "
                    f"(exit code {process.popen.poll()}); end of its log:\n{text}"
                )
            time.sleep(_POLL_INTERVAL_S)


def is_ready(url: str) -> bool:
    """Return whether the health check of a VM succeeds."""
    try:
        call(f"{url}/health", timeout_s=1.0)
    except OSError:
        return False
    return True
