"""A small deployment for the scripts: daemons as processes, with the project's stand-ins for store and instances."""

import asyncio
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.request

from tests.standins import line_instance, object_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY, TENANT = "k-3f1a", "fair"
SETTINGS = """
node = "{vm}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
internalPorts = [{peers}, {peers}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "places", "platform"]
[zones]
z1 = "r1"
z2 = "r2"
z3 = "r3"
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4300
[bounds]
contactMs = 5000
ackMs = 6000
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
outerMs = 15000
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
evacuateMs = 5000
recoveryS = 12
fencingRequired = true
thawSlackMs = 300
[platform]
addr = "127.0.0.1:{store}"
form = "objects"
[cloudApi]
addr = "127.0.0.1:{store}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
"""


_candidates = itertools.count(10000 + os.getpid() * 17 % 20000)


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, below the range of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        candidate = next(_candidates)
        with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", candidate))
                datagram.bind(("127.0.0.1", candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._began_at, self._file = time.monotonic(), path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()


class Vm:
    """One daemon, started as the deploy file says."""

    def __init__(self, directory: pathlib.Path, vm: str, zone: str, store_port: int):
        self.name = vm
        self.port, self._ready, self._metrics, peers = free_ports(4)
        self._directory = directory
        self.settings = directory / f"{vm}.toml"
        self.settings.write_text(
            SETTINGS.format(
                vm=vm, zone=zone, region=f"r{zone[1:]}", peers=peers, callers=self.port, ready=self._ready,
                store=store_port,
            )
        )  # fmt: skip
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CURRANTLEAD_CONFIG": str(self.settings),
            "CURRANTLEAD_METRICS_PORT": str(self._metrics),
        }
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                run, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        """Ask the question of the platform's balancer."""
        try:
            url = f"http://127.0.0.1:{self._ready}/currantlead/readiness"
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return response.status == 200
        except OSError:
            return False

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Caller:
    """A caller's session; answers are recorded."""

    def __init__(self, record: Record, vm: Vm, database: str):
        self._record, self._vm, self._database = record, vm, database
        self._number = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def _request(self, line: str, timeout_s: float) -> list[str]:
        reader, writer = self._streams
        writer.write(f"{line}\r\n".encode())
        lines = []
        async with asyncio.timeout(timeout_s):
            while not lines or not lines[-1].startswith("READY"):
                received = await reader.readuntil(b"\r\n")
                lines.append(received[:-2].decode())
                if lines[-1].startswith("ERR") and line.startswith("START"):
                    return lines
        return lines

    async def query(self, text: str, timeout_s: float = 6.0) -> list[str]:
        """Run a statement, on a new session if there is none; return the lines, or an empty list without an answer."""
        self._number += 1
        request_id = f"{id(self):x}{self._number:06}"
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection("127.0.0.1", self._vm.port, limit=2 << 20)
                if not (await self._request(f"START {self._database} {KEY}", 2.0))[-1].startswith("READY"):
                    raise ConnectionError("refused")
            self._record.write(f"{self._vm.name} {self._database} sent     {request_id} {text}")
            lines = await self._request(f"QUERY {request_id} {text}", timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.write(f"{self._vm.name} {self._database} no answer {request_id} {error!r}")
            self.close()
            return []
        self._record.write(f"{self._vm.name} {self._database} answered {request_id} {' | '.join(lines)}")
        return lines

    def close(self) -> None:
        """Close the session."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def configuration(services: list[str], version: int = 1, timeout_ms: int = 2500) -> dict:
    """Return the desired state: one database for each service, with a route to its primary."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{service}", "host": f"db-{service}", "routeType": "primary", "timeoutMs": timeout_ms,
                "targetLatencyMs": 1000, "priority": 1, "service": service, "anonymous": False,
                "allowedRegions": [], "maxStalenessMs": 0,
            }
            for service in services
        ],
        "services": [{"name": service, "maxConns": 54, "syncReplicas": 1} for service in services],
        "limits": {"txIdleMs": 3000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 500, "burst": 500, "allowedRegions": []}],
    }  # fmt: skip


class Deployment:
    """Store, services with three instances each, and three daemons in three zones."""

    def __init__(self, directory: pathlib.Path, record: Record, services: list[str], *, promote_s: float = 0.3):
        self.record = record
        self.store = object_store.ObjectStore()
        self.services = {
            name: line_instance.Service(
                name, [f"{name}-{n}" for n in (1, 2, 3)], max_connections=54, promote_s=promote_s
            )
            for name in services
        }
        self._directory = directory
        self._zones: dict[str, str] = {}
        self.vms: list[Vm] = []

    async def __aenter__(self) -> "Deployment":
        await self.store.start()
        self.store.promote = self._promote
        for service in self.services.values():
            await service.start()
            service.on_role_change = self._report_roles
            service.on_command = lambda item, command, term: self.record.write(f"{item.id} gets {command} {term}")
            for number, name in enumerate(service.instances, 1):
                self.register(service, name, f"z{number}")
        self.store.put("config", "main", configuration(list(self.services)))
        self.vms = [Vm(self._directory, f"vm-{n}", f"z{n}", self.store.port) for n in (1, 2, 3)]
        for vm in self.vms:
            vm.start()
        async with asyncio.timeout(20.0):
            while not all([await asyncio.to_thread(vm.is_ready) for vm in self.vms]):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *failure: object) -> None:
        for vm in self.vms:
            vm.kill()
        for service in self.services.values():
            await service.stop()
        await self.store.stop()

    def register(self, service: line_instance.Service, name: str, zone: str, **changes: object) -> None:
        """Write an instance's entry."""
        instance = service.instances[name]
        self._zones[name] = zone
        entry = {
            "service": service.name, "addr": f"127.0.0.1:{instance.port}", "zone": zone, "version": "v1", "slots": 4,
            "state": "ready", "coldLeftMs": 0, "dbRole": "primary" if instance.is_primary else "replica",
            "sequence": 1, "born": 1_796_000_000_000,
        }  # fmt: skip
        self.store.put("servers", name, entry | changes)
        self.record.write(f"{name} registers as {entry['dbRole']} in {zone}")

    def _promote(self, service: str, instance_id: str) -> bool:
        accepted = self.services[service].request_promotion(instance_id)
        self.record.write(f"platform: promotion of {instance_id} {'accepted' if accepted else 'refused'}")
        return accepted

    def _report_roles(self) -> None:
        for service in self.services.values():
            for name, instance in service.instances.items():
                stored = self.store.objects["servers"].get(name)
                role = "primary" if instance.is_primary else "replica"
                if stored is not None and stored["spec"]["dbRole"] != role:
                    self.record.write(f"{name} is {role}, its log has {len(instance.log)} commits")
                    self.store.put("servers", name, stored["spec"] | {"dbRole": role})


def run_case(main, name: str) -> None:
    """Run a case in a temporary folder and exit with its result; 2 if it could not run."""
    import tempfile

    record = Record(pathlib.Path(sys.argv[0]).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"{name}, {'with' if trouble else 'without'} the disruption")
    try:
        with tempfile.TemporaryDirectory() as directory:
            directory = os.environ.get("CASE_DIR", directory)
            broken = asyncio.run(asyncio.wait_for(main(pathlib.Path(directory), record, trouble), 110.0))
    except BaseException as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    record.write("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
