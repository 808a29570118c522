"""Measurements within one process: memory of the shared state, periodic checks and placement."""

import asyncio
import dataclasses
from typing import Any

from currantlead import interfaces, timers
from currantlead.admission import service
from currantlead.control import coordinator, directory, division, failover, members, model, records, relay
from currantlead.peers import network
from currantlead.routing import placement
from tests.standins import memory
from tools import measurements, sizes

_WARM_UP_SIZE = sizes.Size(vms=7, databases=1, organisations=1)


def build_directory(size: sizes.Size) -> directory.Directory:
    """Return a directory filled with a deployment's decoded objects, as on a VM."""
    sizes.fill_directory(directory.Directory(lambda: 0.0), _WARM_UP_SIZE)
    return sizes.fill_directory(directory.Directory(lambda: 0.0), size)


def build_objects(size: sizes.Size) -> list[Any]:
    """Return the objects that ``build_directory`` applies, whose memory can be subtracted from its result."""
    sizes.fill_directory(directory.Directory(lambda: 0.0), _WARM_UP_SIZE)
    return sizes.make_objects(size)


def _memory_point(x: float, size: sizes.Size) -> measurements.Point:
    return {"x": x, "bytes": measurements.measure_growth(build_directory, size)}


@measurements.register(
    "memory_organisations", x="organisations", how="Growth of the resident set size of a process by one directory."
)
def measure_organisations() -> list[measurements.Point]:
    """Vary the number of organisations, with 650 databases and 600 VMs."""
    return [_memory_point(n, dataclasses.replace(sizes.TARGET, organisations=n)) for n in (400, 1600, 6400, 16000)]


@measurements.register("memory_keys", x="keys of all organisations", how="As memory_organisations.")
def measure_keys() -> list[measurements.Point]:
    """Vary the number of keys of 1,600 organisations."""
    return [_memory_point(1600 * n, dataclasses.replace(sizes.TARGET, keys=n)) for n in (1, 4, 8, 16)]


@measurements.register("memory_databases", x="databases", how="As memory_organisations.")
def measure_databases() -> list[measurements.Point]:
    """Vary the number of databases."""
    return [_memory_point(n, dataclasses.replace(sizes.TARGET, databases=n)) for n in (65, 650, 1300, 2600)]


@measurements.register("memory_vms", x="VMs", how="As memory_organisations.")
def measure_vms() -> list[measurements.Point]:
    """Vary the number of VMs."""
    return [_memory_point(n, dataclasses.replace(sizes.TARGET, vms=n)) for n in (70, 600, 1200, 2400)]


def _changed_objects(size: sizes.Size, number: int) -> list[interfaces.StoredObject]:
    settings = sizes.make_configuration(size, number)
    changed = sizes.make_organisation(0, size.keys, rate=500.0 + number)
    settings = dataclasses.replace(settings, organisations={**settings.organisations, changed.name: changed})
    return sizes.make_configuration_objects(settings)


@measurements.register(
    "apply_change", x="organisations", how="Directory.apply of one changed part and its index, as a push brings them."
)
def measure_apply() -> list[measurements.Point]:
    """Vary the number of organisations; one of 64 parts changes."""
    points = []
    for count in (400, 1600, 6400, 16000):
        size = dataclasses.replace(sizes.TARGET, organisations=count)
        cache = sizes.fill_directory(directory.Directory(lambda: 0.0), size)
        changes = []
        known_parts = set(cache.part_names())
        for number in range(2, 12):
            objects = [stored for stored in _changed_objects(size, number) if stored.name not in known_parts]
            known_parts |= {stored.name for stored in objects if stored.kind == "parts"}
            changes.append(objects)
        next_change = iter(changes)
        points.append(
            {"x": count, "seconds": measurements.time_calls(lambda: cache.apply(next(next_change)), max_calls=9)}  # noqa: B023
        )
    return points


class _SilentInstanceClient:
    """Instance client that returns no status; the measured calls do not use it."""

    async def status(self, instance: model.Instance) -> None:
        """Return no status."""

    async def set_term(self, group: model.Group, order: failover.SetTerm) -> None:
        """Return no status."""


def _create_coordinator(
    size: sizes.Size,
) -> tuple[coordinator.FailoverCoordinator, directory.Directory, timers.ManualTimers]:
    clock = timers.ManualTimers()
    cache = sizes.fill_directory(directory.Directory(clock.now), size)
    peers = memory.Network().join("domain-0-vm-000", "domain-0")
    failover_coordinator = coordinator.FailoverCoordinator(
        platform=memory.MemoryPlatform(),
        peers=peers,
        directory=cache,
        client=_SilentInstanceClient(),
        clock=clock,
        rank=placement.rank,
        on_group=lambda group: None,
    )
    return failover_coordinator, cache, clock


def _change_view(cache: directory.Directory, domain: str, number: int) -> None:
    view = cache.views[domain]
    member = dataclasses.replace(view.members[-1], incarnation=number)
    view = dataclasses.replace(view, number=number, version=number, members=(*view.members[:-1], member))
    cache.apply([records.to_object(view)])


def _coordinator_costs(size: sizes.Size) -> dict[str, float]:
    async def run() -> dict[str, float]:
        failover_coordinator, cache, _ = _create_coordinator(size)
        failover_coordinator._on_change("views", "")
        failover_coordinator._monitored_groups()
        # Groups become due again only when the clock advances, so these ticks poll no instances.
        await failover_coordinator.tick()
        tick_s = measurements.time_calls(lambda: _run_to_completion(failover_coordinator.tick()))
        view_numbers = iter(range(2, 10**6))

        def handle_restart() -> None:
            _change_view(cache, "domain-0", next(view_numbers))
            failover_coordinator._on_change("views", "domain-0")
            failover_coordinator._monitored_groups()

        def handle_membership_change() -> None:
            placement._ranking.cache_clear()
            failover_coordinator._on_change("views", "domain-0")
            failover_coordinator._monitored_groups()

        return {
            "tick_s": tick_s,
            "restart_s": measurements.time_calls(handle_restart, max_calls=20),
            "membership_s": measurements.time_calls(handle_membership_change, max_calls=20),
        }

    return asyncio.run(run())


def _run_to_completion(coroutine: Any) -> None:
    """Run a coroutine that never suspends to completion."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("coroutine suspended instead of running to completion")


@measurements.register(
    "coordinator_groups",
    x="groups",
    how="FailoverCoordinator.tick with no group due; monitor ranks of all groups after a restart or membership change.",
)
def measure_coordinator() -> list[measurements.Point]:
    """Vary the number of groups, with 600 VMs."""
    return [
        {"x": n, **_coordinator_costs(dataclasses.replace(sizes.TARGET, databases=n))} for n in (65, 325, 650, 1300)
    ]


@measurements.register("coordinator_vms", x="VMs", how="As coordinator_groups, with 650 groups.")
def measure_coordinator_vms() -> list[measurements.Point]:
    """Vary the number of VMs."""
    return [{"x": n, **_coordinator_costs(dataclasses.replace(sizes.TARGET, vms=n))} for n in (70, 300, 600, 1200)]


@measurements.register("ranking", x="members", how="placement.Ranking.rank of a key that is not cached, and cached.")
def measure_ranking() -> list[measurements.Point]:
    """Vary the number of candidates."""
    points = []
    for count in (8, 22, 43, 86, 172):
        names = [f"domain-0-vm-{n:03}" for n in range(count)]
        keys = iter(range(10**9))
        ranking = placement.Ranking(names)
        new_s = measurements.time_calls(lambda: ranking.rank(f"holder:{next(keys)}"))  # noqa: B023
        known_s = measurements.time_calls(lambda: placement.rank("relay/domain-0", names), max_calls=20000)  # noqa: B023
        points.append({"x": count, "new_s": new_s, "known_s": known_s})
    return points


@measurements.register("division_check", x="VMs", how="DivisionWriter.check on a VM that is not the writer.")
def measure_division() -> list[measurements.Point]:
    """Vary the number of VMs."""
    points = []
    for count in (70, 300, 600, 1200):
        cache = sizes.fill_directory(directory.Directory(lambda: 0.0), dataclasses.replace(sizes.TARGET, vms=count))
        own = model.Member("outside", "domain-0", 1, "127.0.0.1:1")
        writer = division.DivisionWriter(
            platform=memory.MemoryPlatform(), directory=cache, clock=timers.ManualTimers(), member=own
        )
        points.append({"x": count, "seconds": measurements.time_calls(lambda: _run_to_completion(writer.check()))})  # noqa: B023
    return points


@measurements.register("relay_role", x="members", how="Relay.is_relay with Members.alive, as every 0.5 s.")
def measure_relay_role() -> list[measurements.Point]:
    """Vary the number of members of the VM's domain."""
    return [{"x": n, "seconds": asyncio.run(_relay_check_cost(n))} for n in (8, 22, 43, 86, 172)]


async def _relay_check_cost(count: int) -> float:
    cache = sizes.fill_directory(directory.Directory(lambda: 0.0), dataclasses.replace(sizes.TARGET, vms=7 * count))
    view = cache.views["domain-0"]
    peers = network.Network(view.members[0].vm, "domain-0")
    peers.incarnation = view.members[0].incarnation
    clock = timers.ManualTimers()
    membership = members.MembershipService(peers, memory.MemoryPlatform(), cache, clock)
    config_relay = relay.Relay(memory.MemoryPlatform(), cache, peers, clock, placement.rank, alive=membership.alive)
    membership.adopt(view)
    seconds = measurements.time_calls(config_relay.is_relay)
    await membership.stop(leave=False)
    return seconds


class _FixedOwnership:
    """Rate ownership in which this VM owns every organisation or none."""

    def __init__(self, owns: bool):
        self._owns = owns

    def owns(self, organisation: str) -> bool:
        """Return whether this VM is the owner."""
        return self._owns

    def owned_since(self, organisation: str) -> float | None:
        """Return the time since which this VM is the owner, or None."""
        return 0.0 if self._owns else None

    def owner(self, organisation: str, domain: str) -> str:
        """Return the name of a VM that does not exist."""
        return "domain-0-vm-001"


async def _report_cost(count: int, *, owns: bool) -> float:
    clock = timers.ManualTimers()
    cache = sizes.fill_directory(
        directory.Directory(clock.now), dataclasses.replace(sizes.TARGET, organisations=max(count, 1))
    )
    peers = memory.Network().join("domain-0-vm-000", "domain-0")
    admission = service.AdmissionService(cache, _FixedOwnership(owns), peers, clock)
    for name in list(cache.configuration.organisations)[:count]:
        state = admission._state(name)
        if owns:
            admission._bucket_owner.active_bucket(state.owned)
    # After 20 s every organisation counts as idle.
    await clock.advance(20.0)
    return measurements.time_calls(admission._send_all_reports)


@measurements.register(
    "token_reports",
    x="organisations known to the VM",
    how="AdmissionService._send_all_reports, every 20 ms, while no requests arrive.",
)
def measure_reports() -> list[measurements.Point]:
    """Vary the number of organisations that have sent a request."""
    points = []
    for count in (0, 200, 800, 1600):
        seen_s = asyncio.run(_report_cost(count, owns=False))
        owned_s = asyncio.run(_report_cost(count, owns=True))
        points.append({"x": count, "seen_s": seen_s, "owned_s": owned_s})
    return points
