"""A run of the soak test in which promotions overlap with faults and with planned changes of the instances.

Instances join, drain and leave with their logs. Each VM reaches each instance through a proxy of its own, so that an
instance can be cut off from some VMs only. What the instances and the run do is written to ``events.log`` beside the
logs of the daemons, with the same clock.
"""

import asyncio
import contextlib
import datetime
import itertools
import pathlib
import random
import time
from collections.abc import Callable, Collection, Iterator
from typing import Any

from tests import session_bed
from tests.standins import line_instance, loopback_proxy, object_store
from tools import soak_checks, soak_faults, soak_run, soak_service

MAX_INSTANCES = 8
ADDRESSES = MAX_INSTANCES + 4
"""Addresses of instances; the address of one that has left is given to another one later."""
ADDRESS_REST_S = 2.0
"""Time after which the address of an instance that has left is used again."""
LAPSE_S = 3.6
"""Time after which the entry of a silent instance is removed: three intervals of its reports."""
DRAIN_S = 5.0
"""Time for which a draining instance is served, before it leaves; the daemons' setting has the same value."""
RECOVERY_BOUND_S = 12.0
"""Time after the last fault in which a write must succeed through each VM; the platform's bound of recovery."""
PROBE_TIMEOUT_S = 3.0
PROBE_PAUSE_S = 0.1

StoreFault = Callable[[str, str, str], int | str | None]
"""Takes VM, method and path of a call, and returns the fault to inject or None."""
OrderFault = Callable[[str], "object_store.Late | None"]
"""Takes the VM that calls for a promotion, and returns the fault to inject or None."""


class PromotionSoak(soak_run.Soak):
    """One run with faults around promotions.

    Attributes:
        store_faults: Faults of the store that are in effect; the first that applies to a call is injected.
        order_faults: The same for promotion calls that the store's faults let through.
        draining: Identities of the instances that drain.
        changing: Identities of the instances that drain or are about to.
        dark: Identities of the instances that reach nothing and cannot be reached.
    """

    service: soak_service.Service
    _more_bounds = f"drainMs = {DRAIN_S * 1000:.0f}\n"

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        fault_names: Collection[str],
        more_settings: str = "",
        *,
        vms: int = soak_run.VMS,
    ):
        """Create a run; see ``soak_run.Soak``."""
        super().__init__(seed, seconds, directory, fault_names, more_settings, vms=vms)
        self.store_faults: list[StoreFault] = []
        self.order_faults: list[OrderFault] = []
        self.draining: set[str] = set()
        self.changing: set[str] = set()
        self.dark: set[str] = set()
        self._events = (directory / "events.log").open("a")
        self._plan = random.Random(f"{seed}/plan")
        self._names = (f"i-{number}" for number in itertools.count(len(self.service.instances) + 1))
        self._free_addresses = [session_bed.free_port() for _ in range(ADDRESSES)]
        self._addresses: dict[str, int] = {}
        self._born: dict[str, int] = {}
        self._vm_at: dict[int, str] = {}
        self._step_waiters: list[tuple[Collection[str], asyncio.Future[str]]] = []
        self._postponed: list[asyncio.Task[None]] = []

    async def run(self) -> soak_checks.Result:
        """Start all components, run the load with faults, and check the results."""
        try:
            await super().run()
        finally:
            soak_checks.check_promotions(self.record, self.service, self.result)
            for lost in self.result.losses:
                self.log(f"lost: {lost}")
            self._events.close()
        return self.result

    def log(self, text: str) -> None:
        """Write a line to the log of events."""
        at = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
        self._events.write(f"{at} {text}\n")
        self._events.flush()

    @contextlib.contextmanager
    def logged(self, text: str) -> Iterator[None]:
        """Log the begin and the end of a fault."""
        self.log(f"begin: {text}")
        try:
            yield
        finally:
            self.log(f"end: {text}")

    # Parts of the run.

    def _create_service(self, max_connections: int) -> line_instance.Service:
        service = soak_service.Service(session_bed.SERVICE, ["i-1", "i-2", "i-3"], max_connections=max_connections)
        service.on_role_change = self._report_roles
        service.on_command = self._handle_command
        service.before_promotion = self._log_promotion
        return service

    async def _add_instances(self) -> None:
        self.store.fault = self._find_store_fault
        self.store.duty_fault = self._find_order_fault
        for name in self.service.instances:
            self._assign_address(name)
            self.register(name)

    async def _open_store_port(self, vm: str) -> int:
        """Open a port of the store whose answers name the proxies that this VM uses instead of the instances."""
        replaced = {}
        for address in [*self._addresses.values(), *self._free_addresses]:
            proxy = self.proxies[f"{address} of {vm}"] = loopback_proxy.LoopbackProxy(self._port_at(address))
            await proxy.start(session_bed.free_port())
            replaced[f'"127.0.0.1:{address}"'] = f'"127.0.0.1:{proxy.port}"'
        port = await self.store.add_view(replaced)
        self._vm_at[port] = vm
        return port

    def _port_at(self, address: int) -> int:
        used = {value: name for name, value in self._addresses.items()}
        return self.service.instances[used[address]].port if address in used else address

    def _assign_address(self, name: str) -> None:
        address = self._addresses[name] = self._free_addresses.pop(0)
        self._born[name] = time.time_ns() // 1_000_000
        for vm in self.vms:
            self.proxies[f"{address} of {vm.name}"].target_port = self.service.instances[name].port

    def proxies_of(self, instance_id: str, vms: Collection[str]) -> list[loopback_proxy.LoopbackProxy]:
        """Return the proxies through which some VMs reach an instance."""
        return [self.proxies[f"{self._addresses[instance_id]} of {vm}"] for vm in vms]

    # Instances and their entries.

    def register(self, name: str) -> None:
        """Write the entry of an instance to the store if it differs from the stored one."""
        number = int(name.removeprefix("i-"))
        entry = {
            "service": session_bed.SERVICE,
            "addr": f"127.0.0.1:{self._addresses[name]}",
            "zone": f"z{number % 3 + 1}",
            "state": "draining" if name in self.draining else "ready",
            "dbRole": "primary" if self.service.instances[name].is_primary else "replica",
            "born": self._born[name],
        }
        stored = self.store.objects.get("servers", {}).get(name)
        if stored is None or stored["spec"] != entry:
            self.store.put("servers", name, entry)

    def _report_roles(self) -> None:
        for name, instance in self.service.instances.items():
            if instance.is_running and name not in self.dark and name in self.store.objects["servers"]:
                self.register(name)

    def _promote(self, service: str, instance_id: str) -> bool:
        self.service.promote_s = self.random.uniform(0.1, 0.9)
        accepted = self.service.request_promotion(instance_id)
        self.log(f"promotion of {instance_id} {'accepted' if accepted else 'refused'}, {self.service.promote_s:.2f} s")
        return accepted

    async def join(self) -> str | None:
        """Start and register a new replica; return its identity, or None if there is nothing to copy or no room."""
        if len(self.service.instances) >= MAX_INSTANCES or not self.can_copy() or not self._free_addresses:
            return None
        name = next(self._names)
        await self._join_as(name)
        return name

    async def _join_as(self, name: str) -> None:
        joined = await self.service.join(name)
        self._assign_address(name)
        self.register(name)
        self.log(f"{name} joined with {len(joined.log)} commits; {self.describe()}")

    def can_copy(self) -> bool:
        """Return whether there is a primary whose log a new replica can copy."""
        primary = self.service.instances.get(self.service.primary)
        return primary is not None and primary.is_running and not primary.unresponsive

    async def drain_and_leave(self, name: str) -> None:
        """Let an instance drain and then leave with its log.

        It stays longer while it has the only copy of an acknowledged commit, because nothing could keep that one. Such
        a stay is no fault that has an end: a VM has to promote the instance.
        """
        self.changing.add(name)
        self.draining.add(name)
        if self.service.instances[name].is_running and name not in self.dark:
            self.register(name)
        self.log(f"{name} drains; {self.describe()}")
        await asyncio.sleep(DRAIN_S + self.random.uniform(0.2, 2.0))
        if not await self._leave(name):
            self._postponed.append(asyncio.create_task(self._leave_later(name)))

    async def _leave_later(self, name: str) -> None:
        self.log(f"{name} stays, it is down or has the only copy of a commit; {self.describe()}")
        while not await self._leave(name):  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    async def _leave(self, name: str) -> bool:
        instance = self.service.instances[name]
        if not instance.is_running or instance.unresponsive or self.service.holds_only_copy(name):
            return False
        self.log(f"{name} leaves; {self.describe()}")
        address = self._addresses.pop(name)
        self.draining.discard(name)
        self.changing.discard(name)
        if name in self.store.objects["servers"]:
            self.store.delete("servers", name)
        asyncio.get_running_loop().call_later(ADDRESS_REST_S, self._free_addresses.append, address)
        await self.service.leave(name)
        return True

    async def restart_empty(self, name: str) -> None:
        """Start a replica again under its identity, with a new copy of the primary's log."""
        self.changing.add(name)
        if self.service.primary != name and self.can_copy() and await self._leave(name):
            await self._join_as(name)
        self.changing.discard(name)

    async def crash(self, name: str, down_s: float) -> None:
        """Stop an instance and start it again with its log; its entry lapses in between."""
        instance = self.service.instances[name]
        with self.logged(f"{name} is down for {down_s:.1f} s; {self.describe()}"):
            await instance.stop()
            await self._sleep_and_lapse(name, down_s)
            self._born[name] = time.time_ns() // 1_000_000
            await instance.start()
            self.register(name)

    async def darken(self, name: str, dark_s: float) -> None:
        """Cut an instance off from everything for a while; its entry lapses meanwhile."""
        instance = self.service.instances[name]
        with self.logged(f"{name} is dark for {dark_s:.1f} s; {self.describe()}"):
            instance.unresponsive = True
            self.dark.add(name)
            await self._sleep_and_lapse(name, dark_s)
            instance.unresponsive = False
            self.dark.discard(name)
            self.register(name)

    async def _sleep_and_lapse(self, name: str, silent_s: float) -> None:
        await asyncio.sleep(min(silent_s, LAPSE_S))
        if silent_s > LAPSE_S:
            if name in self.store.objects["servers"]:
                self.store.delete("servers", name)
            await asyncio.sleep(silent_s - LAPSE_S)

    def is_undisturbed(self, name: str) -> bool:
        """Return whether an instance runs, can be reached, and does not drain."""
        instance = self.service.instances.get(name)
        return instance is not None and instance.is_running and not instance.unresponsive and name not in self.changing

    def replicas(self) -> list[str]:
        """Return the identities of the replicas that run, can be reached, and do not drain."""
        return [name for name in self.service.instances if name != self.service.primary and self.is_undisturbed(name)]

    def describe(self) -> str:
        """Return the state of all instances, for the log."""
        return self.service.describe(self.draining)

    # Steps of the promotions.

    def promoter(self) -> str | None:
        """Return the VM that claimed the duty of promotions last, or None."""
        stored = self.store.objects.get("duties", {}).get(session_bed.SERVICE)
        return stored["spec"].get("holder") if stored is not None else None

    async def wait_for_step(self, steps: Collection[str], timeout_s: float) -> str | None:
        """Wait until an instance gets one of some commands, or the platform a call (``CALL``); return the VM."""
        waiter: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        entry = (steps, waiter)
        self._step_waiters.append(entry)
        try:
            return await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return None
        finally:
            self._step_waiters.remove(entry)

    def _handle_command(self, instance: line_instance.Instance, command: str, term: int) -> None:
        self.log(f"{command} {term} at {instance.id}, {self.promoter()} holds the duty; {self.describe()}")
        self._handle_step(command, self.promoter())

    def _handle_step(self, step: str, vm: str | None) -> None:
        for steps, waiter in self._step_waiters:
            if step in steps and vm is not None and not waiter.done():
                waiter.set_result(vm)

    def _find_store_fault(self, method: str, path: str) -> int | str | None:
        vm = self._vm_at.get(self.store.serving_port, "")
        return next(filter(None, (fault(vm, method, path) for fault in self.store_faults)), None)

    def _find_order_fault(self, path: str, fields: dict[str, Any], fence: int) -> object_store.Late | None:
        if path != "/promotion":
            return None
        vm = self._vm_at.get(self.store.serving_port, "")
        late = next(filter(None, (fault(vm) for fault in self.order_faults)), None)
        carried_out = f"carried out after {late.delay_s:.2f} s" if late is not None else "carried out at once"
        self.log(f"{vm} calls for {fields['id']} with number {fence}, {carried_out}")
        self._handle_step("CALL", vm)
        return late

    def _log_promotion(self, instance_id: str) -> None:
        last = max(((commit.term, commit.number) for commit in self.service.acknowledged), default=(0, 0))
        self.log(f"promotion of {instance_id} takes effect; acknowledged {last[0]}.{last[1]}; {self.describe()}")
        self.result.promotions += 1

    # Faults and recovery.

    async def _inject_faults(self) -> None:
        """Start series of overlapping faults with pauses between, wait for their ends, and check the recovery.

        Each series has a fault that causes a promotion.
        """
        self.sessions.end = float("inf")
        ends_at = time.monotonic() + self._seconds
        running: list[asyncio.Task[None]] = []
        try:
            while time.monotonic() < ends_at:
                causes, others = sorted(soak_faults.PROMOTION_CAUSES), self._plan.randint(1, 3)
                names = [self._plan.choice(causes), *(self._plan.choice(self._fault_names) for _ in range(others))]
                self._plan.shuffle(names)
                for name in names:
                    running.append(self.start_fault(name))
                    await asyncio.sleep(self._plan.uniform(0.0, 1.5))
                await asyncio.sleep(self._plan.uniform(0.5, 4.0))
            await asyncio.gather(*running)
            self._cancel_leaving()
            self.log(f"last fault ended; {self.describe()}")
            await self._check_recovery()
        finally:
            for task in running:
                task.cancel()
            self._cancel_leaving()
            self.sessions.end = time.monotonic()

    def _cancel_leaving(self) -> None:
        """Let the instances that still have the only copy of a commit stay until the end of the run."""
        for task in self._postponed:
            task.cancel()

    async def _check_recovery(self) -> None:
        began_at = time.monotonic()
        writes = await asyncio.gather(*(self._probe(vm.name, began_at + RECOVERY_BOUND_S) for vm in self.vms))
        self.result.recovery_s = [round(at - began_at, 2) if at is not None else None for at in writes]
        self.result.unrecovered = sum(at is None for at in writes)
        self.log(f"seconds to the first write through each VM: {self.result.recovery_s}; {self.describe()}")
        for name, instance in self.service.instances.items():
            counts = {vm.name: self.proxies_of(name, [vm.name])[0].connections for vm in self.vms}
            organisations = sorted(connection.organisation for connection in instance.connections)
            self.log(f"connections to {name}: {counts} through proxies, {organisations} there")

    async def _probe(self, vm: str, deadline: float) -> float | None:
        """Write through a VM until one write succeeds; return when, or None if none does before the deadline."""
        process = next(item for item in self.vms if item.name == vm)
        for number in itertools.count():
            if time.monotonic() > deadline:
                break
            request = f"probe-{vm}x{number}"
            # What an attempt cannot reach is logged by the daemons; only the bound counts here.
            with contextlib.suppress(OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    if await self.sessions.write_once(process, request, f"probe-{vm}"):
                        return at if (at := time.monotonic()) <= deadline else None
            await asyncio.sleep(PROBE_PAUSE_S)
        return None
