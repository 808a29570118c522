"""One run of the soak test of the session daemons: its parts, its load, its faults, and the checks at its end."""

import asyncio
import pathlib
import random
import time
from collections.abc import Iterable
from typing import Any

import rich.console

from tests import session_bed
from tests.standins import line_instance, loopback_proxy, object_store
from tools import daemon_processes, soak_checks, soak_faults, soak_sessions

VMS = 4
SESSIONS = 24
START_TIMEOUT_S = 20.0
"""Longest time for all daemons to become ready."""
FEW_CONNECTIONS = 3
"""Maximum number of connections to an instance with an odd seed; less than the number of daemons."""
LIMITED_SESSIONS = 4
RESTING_SESSIONS = 12
RESTING_CONNECTIONS = 8
"""Maximum number of connections to an instance beside sessions that rest: several for each holder."""
_console = rich.console.Console(stderr=True)


class Soak:
    """One run of the soak test."""

    _more_bounds = ""
    """Lines added to the bounds in the daemons' settings files."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        fault_names: Iterable[str],
        more_settings: str = "",
        *,
        rests: bool = False,
        vms: int = VMS,
    ):
        """Create a run.

        Args:
            seed: Seed of the faults and the load.
            seconds: Duration of the load.
            directory: Directory for settings and logs.
            fault_names: Names of the faults to draw from; a seed stands for the same run only with the same names.
            more_settings: Lines added to the daemons' settings files.
            rests: Whether there are also sessions that rest inside transactions.
            vms: Number of daemons.
        """
        self._resting_sessions = RESTING_SESSIONS if rests else 0
        self._more_settings = more_settings
        self.result = soak_checks.Result(seed)
        self._fault_names = sorted(fault_names)
        self.random = random.Random(seed)
        self._seconds = seconds
        self._directory = directory
        self.record = soak_checks.Record()
        self.store = object_store.ObjectStore()
        few_connections = RESTING_CONNECTIONS if rests else FEW_CONNECTIONS
        self._service_limit = few_connections if seed % 2 or rests else 16
        instance_limit = few_connections if seed % 2 or rests else 24
        self.service = self._create_service(instance_limit)
        self.proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.vms: list[daemon_processes.DaemonProcess] = []
        self._vm_count = vms
        # Other transactions would use up the low numbers of a restarted holder, which a resting one may have.
        transaction_share = 0.0 if rests else soak_sessions.TRANSACTION_SHARE
        self.sessions = soak_sessions.Sessions(self.vms, self.record, self.result, transaction_share=transaction_share)
        self._version = 1
        self._configuration: dict[str, Any] = {}

    async def run(self) -> soak_checks.Result:
        """Start all components, run the load with faults, and check the results."""
        await self.store.start()
        await self.service.start()
        self.store.promote = self._promote
        self.store.rewrite = self._rewrite_peer_port
        self.configure(with_limited_key=True)
        await self._add_instances()
        for number in range(self._vm_count):
            vm = f"vm-{number}"
            store_port = await self._add_proxy(f"store of {vm}", await self._open_store_port(vm))
            self.vms.append(
                daemon_processes.DaemonProcess(
                    vm, f"z{number % 3 + 1}", store_port, self._directory, self._more_settings, self._more_bounds
                )
            )
            await self._add_proxy(f"peers of {vm}", self.vms[-1].peer_port)
        for vm in self.vms:
            vm.start()
        try:
            # On a busy machine the start takes seconds; faults that strike earlier could last for the whole run.
            async with asyncio.timeout(START_TIMEOUT_S):
                await asyncio.gather(*(vm.wait_until_ready() for vm in self.vms))
            self.sessions.end = time.monotonic() + self._seconds
            sessions = [
                self.sessions.run_session(number, random.Random(f"{self.result.seed}/{number}"))
                for number in range(SESSIONS)
            ]
            sessions += [self.sessions.run_limited_session(number) for number in range(LIMITED_SESSIONS)]
            sessions += [self.sessions.run_resting_session(number) for number in range(self._resting_sessions)]
            await asyncio.gather(self._inject_faults(), *sessions)
        finally:
            self.sessions.close()
            for vm in self.vms:
                await vm.stop()
            for proxy in self.proxies.values():
                proxy.stop()
            await self.service.stop()
            await self.store.stop()
        soak_checks.check(self.record, self.service, self.result)
        self.result.usage_conflicts = soak_checks.count_conflicts(self.store.usage_calls)
        return self.result

    @property
    def revokes_key(self) -> bool:
        """Return whether the key of the second organisation is revoked now."""
        return bool(self.record.revocations) and self.record.revocations[-1][1] == float("inf")

    def configure(self, *, with_limited_key: bool) -> None:
        """Store the next version of the configuration, with or without the key of the second organisation."""
        organisation = {"name": session_bed.ORGANISATION, "apiKeys": [session_bed.KEY], "ratePerS": 1e4, "burst": 1e4}
        limited = {
            "name": soak_sessions.LIMITED_ORGANISATION,
            "apiKeys": [soak_sessions.LIMITED_KEY] if with_limited_key else [],
            "ratePerS": soak_checks.LIMITED_RATE,
            "burst": soak_checks.LIMITED_RATE,
        }
        services = [{"name": session_bed.SERVICE, "maxConns": self._service_limit, "syncReplicas": 1}]
        state = session_bed.configuration(self._version, services=services, tenants=[organisation, limited])
        self.store.put("config", "main", state)
        self._configuration = state
        self._version += 1

    def write_state_again(self) -> None:
        """Write what the operator and the instances have written last, as they do after the store was restored."""
        self.store.put("config", "main", self._configuration)
        for name in self.service.instances:
            self.register(name)
        written = self.store.objects.setdefault("evacuations", {})
        current = {domain for domain, _, ended_at in self.record.evacuations if ended_at == float("inf")}
        for domain in set(written) - current:
            self.store.delete("evacuations", domain)
        for domain in current:
            self.store.put("evacuations", domain, {})

    def _create_service(self, max_connections: int) -> line_instance.Service:
        """Return the service, with its first instances."""
        return line_instance.Service(session_bed.SERVICE, ["i-1", "i-2", "i-3"], max_connections=max_connections)

    async def _add_instances(self) -> None:
        """Add a proxy in front of each instance, and its entry."""
        for name, instance in self.service.instances.items():
            await self._add_proxy(name, instance.port)
            self.register(name)

    async def _open_store_port(self, vm: str) -> int:
        """Return the port of the store that a VM uses."""
        return self.store.port

    async def _add_proxy(self, name: str, target_port: int) -> int:
        """Start a proxy in front of a port and return the port of the proxy."""
        proxy = self.proxies[name] = loopback_proxy.LoopbackProxy(target_port)
        await proxy.start(session_bed.free_port())
        return proxy.port

    def _rewrite_peer_port(self, kind: str, value: Any) -> Any:
        """Replace a daemon's peer port with its proxy's port; the proxy forwards only TCP, so datagrams are lost."""
        if kind != "members":
            return value
        for vm in self.vms:
            if vm.peer_port == value["peerPort"]:
                return value | {"peerPort": self.proxies[f"peers of {vm.name}"].port}
        return value

    def register(self, name: str) -> None:
        """Write the entry of an instance that is ready to the store."""
        instance = self.service.instances[name]
        port = self.proxies[name].port
        entry = {"service": session_bed.SERVICE, "addr": f"127.0.0.1:{port}", "zone": f"z{name[-1]}"}
        entry |= {"state": "ready", "dbRole": "primary" if instance.is_primary else "replica", "born": 1}
        self.store.put("servers", name, entry)

    def _promote(self, service: str, instance_id: str) -> bool:
        promoted = self.service.promote(instance_id)
        for name in self.service.instances:
            self.register(name)
        return promoted

    async def _inject_faults(self) -> None:
        """Start random faults at random intervals; they may overlap."""
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < self.sessions.end - 4.0:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            running.add(self.start_fault(self.random.choice(self._fault_names)))
        await asyncio.gather(*running)

    def start_fault(self, name: str) -> asyncio.Task[None]:
        """Start a fault, and return the task that ends when its effects are undone."""
        self.result.faults.append(name)
        _console.print(f"fault: {name}")
        return asyncio.create_task(soak_faults.FAULTS[name](self))
