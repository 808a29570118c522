"""Measurements that run in one process: state, periodic checks and placement."""

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

_WARM = sizes.Size(vms=7, databases=1, organisations=1)


def build_directory(size: sizes.Size) -> directory.Directory:
    """Return a directory that learned a deployment from decoded frames, as a VM does."""
    sizes.fill(directory.Directory(lambda: 0.0), _WARM)
    return sizes.fill(directory.Directory(lambda: 0.0), size)


def build_size(size: sizes.Size) -> list[Any]:
    """Return what ``build_directory`` needs besides the directory, to be subtracted from its growth."""
    sizes.fill(directory.Directory(lambda: 0.0), _WARM)
    return sizes.objects(size)


def _grow(x: float, size: sizes.Size) -> measurements.Point:
    return {"x": x, "bytes": measurements.measure_growth(build_directory, size)}


@measurements.register("memory_organisations", x="organisations", how="Resident growth of a process by one directory.")
def measure_organisations() -> list[measurements.Point]:
    """Vary the organisations, with 650 databases and 600 VMs."""
    return [_grow(n, dataclasses.replace(sizes.TARGET, organisations=n)) for n in (400, 1600, 6400, 16000)]


@measurements.register("memory_keys", x="keys of all organisations", how="As memory_organisations.")
def measure_keys() -> list[measurements.Point]:
    """Vary the keys of 1,600 organisations."""
    return [_grow(1600 * n, dataclasses.replace(sizes.TARGET, keys=n)) for n in (1, 4, 8, 16)]


@measurements.register("memory_databases", x="databases", how="As memory_organisations.")
def measure_databases() -> list[measurements.Point]:
    """Vary the databases."""
    return [_grow(n, dataclasses.replace(sizes.TARGET, databases=n)) for n in (65, 650, 1300, 2600)]


@measurements.register("memory_vms", x="VMs", how="As memory_organisations.")
def measure_vms() -> list[measurements.Point]:
    """Vary the VMs."""
    return [_grow(n, dataclasses.replace(sizes.TARGET, vms=n)) for n in (70, 600, 1200, 2400)]


def _changed_objects(size: sizes.Size, number: int) -> list[interfaces.StoredObject]:
    settings = sizes.make_configuration(size, number)
    changed = sizes.organisation(0, size.keys, rate=500.0 + number)
    settings = dataclasses.replace(settings, organisations={**settings.organisations, changed.name: changed})
    return sizes.configuration_objects(settings)


@measurements.register(
    "apply_change", x="organisations", how="Directory.apply of one changed part and its index, as a push brings them."
)
def measure_apply() -> list[measurements.Point]:
    """Vary the organisations; one part of 64 changes."""
    points = []
    for count in (400, 1600, 6400, 16000):
        size = dataclasses.replace(sizes.TARGET, organisations=count)
        cache = sizes.fill(directory.Directory(lambda: 0.0), size)
        changes = []
        known = set(cache.part_names())
        for number in range(2, 12):
            found = [each for each in _changed_objects(size, number) if each.name not in known]
            known |= {each.name for each in found if each.kind == "parts"}
            changes.append(found)
        following = iter(changes)
        points.append({"x": count, "seconds": measurements.time_calls(lambda: cache.apply(next(following)), most=9)})  # noqa: B023
    return points


class _Instances:
    """Answer no status; the measured calls send none."""

    async def status(self, instance: model.Instance) -> None:
        """Give no answer."""

    async def set_term(self, group: model.Group, order: failover.SetTerm) -> None:
        """Give no answer."""


def _coordinator(size: sizes.Size) -> tuple[coordinator.FailoverCoordinator, directory.Directory, timers.ManualTimers]:
    clock = timers.ManualTimers()
    cache = sizes.fill(directory.Directory(clock.now), size)
    peers = memory.Network().join("domain-0-vm-000", "domain-0")
    part = coordinator.FailoverCoordinator(
        platform=memory.MemoryPlatform(),
        peers=peers,
        directory=cache,
        client=_Instances(),
        clock=clock,
        rank=placement.rank,
        on_group=lambda group: None,
    )
    return part, cache, clock


def _change_view(cache: directory.Directory, domain: str, number: int) -> None:
    view = cache.views[domain]
    member = dataclasses.replace(view.members[-1], incarnation=number)
    view = dataclasses.replace(view, number=number, version=number, members=(*view.members[:-1], member))
    cache.apply([records.to_object(view)])


def _tick_costs(size: sizes.Size) -> dict[str, float]:
    async def run() -> dict[str, float]:
        part, cache, _ = _coordinator(size)
        part._changed("views", "")
        part._monitored()
        # A group becomes due again only after the clock has moved, so that these ticks poll nothing.
        await part.tick()
        idle = measurements.time_calls(lambda: _drive(part.tick()))
        numbers = iter(range(2, 10**6))

        def follow_restart() -> None:
            _change_view(cache, "domain-0", next(numbers))
            part._changed("views", "domain-0")
            part._monitored()

        def follow_removal() -> None:
            placement._ranking.cache_clear()
            part._changed("views", "domain-0")
            part._monitored()

        return {
            "tick_s": idle,
            "restart_s": measurements.time_calls(follow_restart, most=20),
            "membership_s": measurements.time_calls(follow_removal, most=20),
        }

    return asyncio.run(run())


def _drive(coroutine: Any) -> None:
    """Run a coroutine that does not wait to its end."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine waits")


@measurements.register(
    "coordinator_groups",
    x="groups",
    how="FailoverCoordinator.tick with no group due; monitor ranks of all groups after a restart and a change of VMs.",
)
def measure_coordinator() -> list[measurements.Point]:
    """Vary the groups, with 600 VMs."""
    return [{"x": n, **_tick_costs(dataclasses.replace(sizes.TARGET, databases=n))} for n in (65, 325, 650, 1300)]


@measurements.register("coordinator_vms", x="VMs", how="As coordinator_groups, with 650 groups.")
def measure_coordinator_vms() -> list[measurements.Point]:
    """Vary the VMs."""
    return [{"x": n, **_tick_costs(dataclasses.replace(sizes.TARGET, vms=n))} for n in (70, 300, 600, 1200)]


@measurements.register("ranking", x="members", how="placement.Ranking.rank of a key that is not cached, and cached.")
def measure_ranking() -> list[measurements.Point]:
    """Vary the candidates."""
    points = []
    for count in (8, 22, 43, 86, 172):
        names = [f"domain-0-vm-{n:03}" for n in range(count)]
        keys = iter(range(10**9))
        ranking = placement.Ranking(names)
        first = measurements.time_calls(lambda: ranking.rank(f"holder:{next(keys)}"))  # noqa: B023
        known = measurements.time_calls(lambda: placement.rank("relay/domain-0", names), most=20000)  # noqa: B023
        points.append({"x": count, "new_s": first, "known_s": known})
    return points


@measurements.register("division_check", x="VMs", how="DivisionWriter.check on a VM that is not the one to write.")
def measure_division() -> list[measurements.Point]:
    """Vary the VMs."""
    points = []
    for count in (70, 300, 600, 1200):
        cache = sizes.fill(directory.Directory(lambda: 0.0), dataclasses.replace(sizes.TARGET, vms=count))
        own = model.Member("outside", "domain-0", 1, "127.0.0.1:1")
        part = division.DivisionWriter(
            platform=memory.MemoryPlatform(), directory=cache, clock=timers.ManualTimers(), member=own
        )
        points.append({"x": count, "seconds": measurements.time_calls(lambda: _drive(part.check()))})  # noqa: B023
    return points


@measurements.register("relay_role", x="members", how="Relay.is_relay with Members.alive, as every 0.5 s.")
def measure_relay_role() -> list[measurements.Point]:
    """Vary the members of the own domain."""
    return [{"x": n, "seconds": asyncio.run(_relay_role(n))} for n in (8, 22, 43, 86, 172)]


async def _relay_role(count: int) -> float:
    cache = sizes.fill(directory.Directory(lambda: 0.0), dataclasses.replace(sizes.TARGET, vms=7 * count))
    view = cache.views["domain-0"]
    peers = network.Network(view.members[0].vm, "domain-0")
    peers.incarnation = view.members[0].incarnation
    clock = timers.ManualTimers()
    vm = members.MembershipService(peers, memory.MemoryPlatform(), cache, clock)
    part = relay.Relay(memory.MemoryPlatform(), cache, peers, clock, placement.rank, alive=vm.alive)
    vm.adopt(view)
    cost = measurements.time_calls(part.is_relay)
    await vm.stop(leave=False)
    return cost


class _Membership:
    """Own every organisation, or none."""

    def __init__(self, owns: bool):
        self._owns = owns

    def owns(self, organisation: str) -> bool:
        """Tell whether this VM is the owner."""
        return self._owns

    def owned_since(self, organisation: str) -> float | None:
        """Return since when."""
        return 0.0 if self._owns else None

    def owner(self, organisation: str, domain: str) -> str:
        """Return a VM that does not exist."""
        return "domain-0-vm-001"


async def _report_cost(count: int, *, owns: bool) -> float:
    clock = timers.ManualTimers()
    cache = sizes.fill(directory.Directory(clock.now), dataclasses.replace(sizes.TARGET, organisations=max(count, 1)))
    peers = memory.Network().join("domain-0-vm-000", "domain-0")
    part = service.AdmissionService(cache, _Membership(owns), peers, clock)
    for name in list(cache.configuration.organisations)[:count]:
        state = part._state(name)
        if owns:
            part._owner.ledger(state.account)
    # After this time every organisation counts as idle.
    await clock.advance(20.0)
    return measurements.time_calls(part._report)


@measurements.register(
    "token_reports", x="organisations known to the VM", how="Service._report, every 20 ms, while no request comes."
)
def measure_reports() -> list[measurements.Point]:
    """Vary the organisations that sent a request at some time."""
    points = []
    for count in (0, 200, 800, 1600):
        seen = asyncio.run(_report_cost(count, owns=False))
        owned = asyncio.run(_report_cost(count, owns=True))
        points.append({"x": count, "seen_s": seen, "owned_s": owned})
    return points
