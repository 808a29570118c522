"""A small deployment: the platform, one service with three instances, and daemons in three failure domains."""

import asyncio
import pathlib
import tempfile
from typing import Any

from standins import daemons, instances, platform

SERVICE = "huvo11a"
DATABASES = {"consign-db": "primary", "board-db": "bounded_staleness", "settle-db": "own_writes"}
TENANTS = {name: f"key-of-{name}" for name in ("bode960", "vocu161", "nypu920", "seka417")}


def desired_state(version: int, max_connections: int, **changes: Any) -> dict[str, Any]:
    """Return a desired state as the operator writes it."""
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "pathPrefix": "/",
            "routeType": route_type,
            "timeoutMs": 800,
            "targetLatencyMs": 800,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
            "maxStalenessMs": 1500,
            "anonymous": False,
            "allowedRegions": [],
        }
        for host, route_type in DATABASES.items()
    ]
    tenants = [
        {"name": name, "apiKeys": [key], "priority": 1, "ratePerS": 65, "burst": 65, "allowedRegions": []}
        for name, key in TENANTS.items()
    ]
    state = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "maxConns": max_connections, "syncReplicas": 1}],
        "limits": {"txIdleMs": 3000},
        "tenants": tenants,
    }
    return state | changes


class Bed:
    """Starts everything, and ends all processes.

    Args:
        zones: Failure domain of each daemon, by name.
        max_connections: Connections that one instance accepts.
    """

    def __init__(self, zones: dict[str, str], *, max_connections: int = 16):
        self.record = daemons.Record()
        self.max_connections = max_connections
        self.platform = platform.Platform(self.record.now)
        self.service = instances.Service(
            SERVICE, ["i-1", "i-2", "i-3"], self.record.now, max_connections=max_connections
        )
        self._zones = zones
        self._temporary = tempfile.TemporaryDirectory()
        self._sequence = 0
        self.daemons: dict[str, daemons.Daemon] = {}

    async def __aenter__(self) -> "Bed":
        await self.platform.start()
        await self.service.start()
        self.service.on_change = self.register
        self.platform.promote = lambda service, instance: self.service.promote(instance)
        self.platform.put("config", "main", desired_state(1, self.max_connections))
        self.register()
        for name, zone in self._zones.items():
            self.daemons[name] = daemons.Daemon(name, zone, self.platform.port, pathlib.Path(self._temporary.name))
        return self

    async def __aexit__(self, *failure: Any) -> None:
        for daemon in self.daemons.values():
            await daemon.stop()
        self.service.stop()
        self.platform.stop()
        self._temporary.cleanup()

    async def start_daemons(self) -> None:
        """Start the daemons and wait until they are ready and know each other."""
        for daemon in self.daemons.values():
            daemon.start()
        await asyncio.gather(*(daemon.wait_until_ready() for daemon in self.daemons.values()))
        await asyncio.sleep(1.5)

    def register(self) -> None:
        """Write the entries of the instances to the store."""
        for name, instance in self.service.instances.items():
            self._sequence += 1
            entry = instances.registration(self.service, instance, f"z{name[-1]}", self._sequence)
            self.platform.put("servers", name, entry)

    def client(self, name: str) -> daemons.Client:
        """Return a client that adds its messages to the record."""
        return daemons.Client(name, self.record)

    def log(self, name: str) -> str:
        """Return what a daemon has logged."""
        return (pathlib.Path(self._temporary.name) / f"{name}.log").read_text(errors="replace")
