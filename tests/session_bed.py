"""Test bed that runs session daemons in the test's event loop, with stand-ins for the store and the instances."""

import asyncio
import itertools
import os
import socket
from collections.abc import Callable

from currantlead.sessions import daemon, settings
from tests.standins import line_instance, object_store

KEY = "key-of-spinners"
ORGANISATION = "spinners"
SERVICE = "svc1"
ROUTES = {"primary-db": "primary", "bounded-db": "bounded_staleness", "own-db": "own_writes"}


FIRST_PORT, PORT_COUNT = 20000, 12000
"""Ports below the kernel's range for outgoing connections, which could take a port between its check and its use."""
WORKERS = 4
"""Workers of a test run. Each has ports of its own, because another worker could take a port in the same way."""
_BLOCK_SIZE = PORT_COUNT // WORKERS
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % WORKERS
_port_offsets = itertools.count(os.getpid() * 37 % _BLOCK_SIZE)


def free_port() -> int:
    """Return a port that is free for TCP and UDP on the loopback address."""
    while True:
        port = FIRST_PORT + _worker * _BLOCK_SIZE + next(_port_offsets) % _BLOCK_SIZE
        try:
            with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


async def wait_until(condition: Callable[[], object], timeout_s: float = 3.0) -> None:
    """Wait until a condition holds, and fail after ``timeout_s`` seconds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def configuration(version: int = 1, **changes) -> dict:
    """Return a configuration as operators write it to the store."""
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "routeType": route_type,
            "timeoutMs": 800,
            "targetLatencyMs": 2000,
            "priority": 1,
            "service": SERVICE,
            "anonymous": False,
            "allowedRegions": [],
            "maxStalenessMs": 1500,
        }
        for host, route_type in ROUTES.items()
    ]
    base = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "maxConns": 16, "syncReplicas": 1}],
        "limits": {"txIdleMs": 3000},
        "tenants": [
            {"name": ORGANISATION, "apiKeys": [KEY], "ratePerS": 1000, "burst": 1000, "allowedRegions": []},
            {"name": "dyers", "apiKeys": ["key-of-dyers"], "ratePerS": 1000, "burst": 1000, "allowedRegions": []},
        ],
    }
    return base | changes


class Bed:
    """Run a store, the instances of one service, and one or more daemons."""

    def __init__(
        self,
        usage_reports: settings.UsageReports | None = None,
        *,
        load_management: settings.LoadManagement | None = None,
        instances: list[str] | None = None,
        **service_options,
    ) -> None:
        self.usage_reports = usage_reports or settings.UsageReports()
        self.load_management = load_management or settings.LoadManagement()
        self.store = object_store.ObjectStore()
        self.service = line_instance.Service(SERVICE, instances or ["i-1", "i-2", "i-3"], **service_options)
        self.store.promote = self._promote
        self.service.on_role_change = self.report_roles
        self.daemon: daemon.Daemon | None = None
        self._running: list[tuple[daemon.Daemon, asyncio.Task[None]]] = []
        self._ports: dict[str, list[int]] = {}
        self._callers: list[Caller] = []

    async def __aenter__(self) -> "Bed":
        await self.store.start()
        await self.service.start()
        self.store.put("config", "main", configuration())
        for name in self.service.instances:
            self.register_instance(name)
        await self.start_daemon()
        return self

    async def __aexit__(self, *failure) -> None:
        for caller in self._callers:
            caller.close()
        for running, _ in list(self._running):
            await self.stop_daemon(running)
        await self.service.stop()
        await self.store.stop()

    def register_instance(self, name: str, **changes) -> None:
        """Write an instance's entry to the store."""
        instance = self.service.instances[name]
        entry = {
            "service": SERVICE,
            "addr": f"127.0.0.1:{instance.port}",
            "zone": "z" + name[-1],
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if instance.is_primary else "replica",
            "sequence": 1,
            "born": 1000,
        }
        self.store.put("servers", name, entry | changes)

    def _promote(self, service: str, instance_id: str) -> bool:
        return self.service.request_promotion(instance_id)

    def report_roles(self) -> None:
        """Write the roles of the instances to their entries, as they do themselves when their role changes."""
        for name, instance in self.service.instances.items():
            stored = self.store.objects["servers"].get(name)
            role = "primary" if instance.is_primary else "replica"
            if stored is not None and stored["spec"].get("dbRole", role) != role:
                self.store.put("servers", name, stored["spec"] | {"dbRole": role})

    async def join(self, name: str, **changes) -> line_instance.Instance:
        """Start and register a new replica, which copies the log of the primary."""
        joined = await self.service.join(name)
        self.register_instance(name, **changes)
        return joined

    async def leave(self, name: str) -> None:
        """Stop an instance for good, with its log, and remove its entry."""
        await self.service.leave(name)
        self.store.delete("servers", name)

    async def start_daemon(self) -> None:
        """Start the first daemon and wait until it is ready."""
        self.daemon = await self.add_daemon("vm-1", "z1")

    async def add_daemon(self, vm: str, domain: str, *, store_port: int = 0) -> daemon.Daemon:
        """Start a daemon and wait until it is ready; a VM that is started again keeps its addresses.

        Args:
            vm: Name of the VM.
            domain: Its failure domain.
            store_port: Port at which it reaches the store, or 0 for the usual one.
        """
        ports = self._ports.setdefault(vm, [free_port() for _ in range(4)])
        session_settings = settings.SessionSettings(
            vm=vm,
            domain=domain,
            region_of={"z1": "r1", "z2": "r2", "z3": "r3"},
            callers=settings.Address("127.0.0.1", ports[0]),
            readiness=settings.Address("127.0.0.1", ports[1]),
            metrics=settings.Address("127.0.0.1", ports[2]),
            peers=settings.Address("127.0.0.1", ports[3]),
            store=settings.Address("127.0.0.1", store_port or self.store.port),
            promotions=settings.Address("127.0.0.1", store_port or self.store.port),
            heartbeat_s=1.2,
            bounds=settings.Bounds(),
            usage_reports=self.usage_reports,
            load_management=self.load_management,
        )
        started = daemon.Daemon.from_config(session_settings)
        task = asyncio.create_task(started.run())
        self._running.append((started, task))
        while not started.is_ready():
            if task.done():
                raise RuntimeError(f"{vm} ended before it was ready") from task.exception()
            await asyncio.sleep(0.01)
        return started

    async def stop_daemon(self, stopped: daemon.Daemon) -> None:
        """Stop a daemon immediately."""
        for running, task in list(self._running):
            if running is stopped:
                self._running.remove((running, task))
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await running.close()

    async def caller(self, database: str = "own-db", key: str = KEY, *, at: daemon.Daemon | None = None) -> "Caller":
        """Open a session and check that it was accepted."""
        caller = await self.connect(at)
        assert await caller.request(f"START {database} {key}") == ["READY I -"]
        return caller

    async def connect(self, at: daemon.Daemon | None = None) -> "Caller":
        """Connect without opening a session, to the first daemon unless another is given."""
        address = (at or self.daemon).settings.callers
        caller = Caller(*await asyncio.open_connection(address.host, address.port))
        self._callers.append(caller)
        return caller


class Caller:
    """Caller's side of the line protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self._requests = 0

    async def request(self, line: str) -> list[str]:
        """Send a line and return the lines of the reply up to READY, or up to the end of the connection."""
        self.writer.write(f"{line}\r\n".encode())
        return await self.read_reply()

    async def read_reply(self) -> list[str]:
        """Return the lines of a reply up to READY, or up to the end of the connection."""
        received = []
        while line := await self.reader.readline():
            received.append(line.decode().rstrip("\r\n"))
            if received[-1].startswith("READY"):
                break
        return received

    async def query(self, text: str) -> list[str]:
        """Run a statement with a new request id."""
        self._requests += 1
        return await self.request(f"QUERY {id(self):x}{self._requests} {text}")

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
