"""The instances that this VM holds: dispatchers, trackers of positions, and clocks of primaries."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterator

from currantlead import interfaces, logs
from currantlead.connections import acknowledgement, checks, dispatch, endpoint, primary_clock
from currantlead.control import model

SWEEP_S = 0.1
# All groups are looked through less often than the held ones, because there may be hundreds.
SCAN_S = 2.0

_log = logs.part("holder")

# A planned change lets the old primary finish for up to 0.5 s after the record names the next term.
FINISH_S = 0.75


class Places:
    """Follow the shared state: open what this VM gains, release what it loses."""

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        rules: checks.Checks,
        sender: str,
    ):
        self._directory = directory
        self._membership = membership
        self._rules = rules
        self._sender = sender
        self._on_released: Callable[[dispatch.Dispatcher], None] | None = None
        self._dispatchers: dict[str, dispatch.Dispatcher] = {}
        self._trackers: dict[str, tuple[model.Group, acknowledgement.Tracker, list[endpoint.Endpoint]]] = {}
        self._clocks: dict[str, tuple[int, str, primary_clock.PrimaryClock, endpoint.Endpoint]] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._scanned_at = float("-inf")

    def __iter__(self) -> Iterator[dispatch.Dispatcher]:
        """Return an iterator over the dispatchers."""
        return iter(list(self._dispatchers.values()))

    def on_released(self, callback: Callable[[dispatch.Dispatcher], None]) -> None:
        """Call back when this VM releases an instance, before its connections are closed."""
        self._on_released = callback

    def dispatcher(self, database: str, instance: str) -> dispatch.Dispatcher | None:
        """Return the dispatcher of an instance that this VM holds."""
        found = self._dispatchers.get(instance)
        if found is None:
            group = self._directory.groups.get(database)
            described = group.instance(instance) if group else None
            found = self._open(group, described) if group and described else None
        return found if found is not None and found.group == database else None

    def tracker(self, database: str) -> acknowledgement.Tracker | None:
        """Return the tracker of a group's current term; start it at the first use."""
        group = self._directory.groups.get(database)
        if group is None or group.phase is not model.Phase.STABLE:
            return None
        known = self._trackers.get(database)
        if known is not None and (known[0] is group or _same_positions(known[0], group)):
            return known[1]
        self._drop_tracker(database)
        replicas = {
            each.name: endpoint.Endpoint.from_instance(each, sender=self._sender)
            for each in group.instances
            if each.name != group.primary
        }
        tracker = acknowledgement.Tracker(group, replicas)
        tracker.start()
        self._trackers[database] = (group, tracker, list(replicas.values()))
        return tracker

    def clock(self, database: str) -> primary_clock.PrimaryClock | None:
        """Return the clock of a group's current primary."""
        group = self._directory.groups.get(database)
        primary = group.instance(group.primary) if group else None
        if group is None or primary is None or group.phase is not model.Phase.STABLE:
            return None
        known = self._clocks.get(database)
        if known is not None and known[:2] == (group.term, primary.url):
            return known[2]
        self._drop_clock(database)
        client = endpoint.Endpoint.from_instance(primary, sender=self._sender)
        clock = primary_clock.PrimaryClock(group, client)
        self._clocks[database] = (group.term, primary.url, clock, client)
        return clock

    def refresh(self, *, scan: bool = False) -> None:
        """Adopt shares, terms and states as they are now."""
        for held in self:
            self._adopt(held)
        for database, (group, _, _) in list(self._trackers.items()):
            current = self._directory.groups.get(database)
            held = self._dispatchers.get(group.primary)
            if current is None or not _same_positions(group, current) or held is None:
                self._drop_tracker(database)
        now = time.monotonic()
        if scan or now - self._scanned_at >= SCAN_S:
            self._scanned_at = now
            self._scan()

    def request_scan(self) -> None:
        """Look through all groups at the next refresh; many changes at once then cost one scan."""
        self._scanned_at = float("-inf")

    def settled(self) -> bool:
        """Tell whether no instance has more connections than this VM's share allows."""
        return all(each.pool.open_count <= each.pool.limit for each in self._dispatchers.values())

    async def close(self) -> None:
        """Close all connections now and wait until questions under way have ended."""
        for held in self:
            self._remove(held)
        for database in list(self._trackers):
            self._drop_tracker(database)
        for database in list(self._clocks):
            self._drop_clock(database)
        while self._closing:
            await asyncio.gather(*self._closing, return_exceptions=True)

    def _scan(self) -> None:
        for group in self._directory.groups.values():
            for instance in group.instances:
                if instance.name not in self._dispatchers:
                    self._open(group, instance)
            held = self._dispatchers.get(group.primary)
            if held is not None and held.share > 0:
                self.tracker(group.name)

    def _open(self, group: model.Group, instance: model.Instance) -> dispatch.Dispatcher | None:
        service = self._rules.service(group.name)
        if service is None or self._membership.connection_share(instance.name, instance.domain) <= 0:
            return None
        held = dispatch.Dispatcher(group.name, instance, sender=self._sender)
        self._dispatchers[instance.name] = held
        _log.info("{}: this VM becomes a holder", instance.name)
        self._adopt(held)
        return held

    def _adopt(self, held: dispatch.Dispatcher) -> None:
        group = self._directory.groups.get(held.group)
        instance = group.instance(held.instance.name) if group else None
        service = self._rules.service(held.group)
        if instance is None or service is None or instance.url != held.instance.url:
            self._remove(held)
            return
        held.instance = instance
        leaving = self._rules.is_leaving(instance)
        held.leaving_since = (held.leaving_since or time.monotonic()) if leaving else None
        share = self._membership.connection_share(instance.name, instance.domain)
        if share > 0:
            held.set_share(service, share)
            held.pool.prune()
            return
        held.set_share(service, 0.0)
        # Without a lease another VM may open connections at any moment; with one, open transactions may finish,
        # because this VM reports the new view only once ``settled`` is true.
        if not self._membership.lease_valid() or held.pool.open_count == 0:
            self._remove(held)

    def _remove(self, held: dispatch.Dispatcher) -> None:
        if self._dispatchers.pop(held.instance.name, None) is None:
            return
        _log.info("{}: this VM releases its connections", held.instance.name)
        if self._on_released is not None:
            self._on_released(held)
        held.refuse_waiting()
        held.pool.close()
        self._run(held.close())

    def _drop_tracker(self, database: str) -> None:
        known = self._trackers.pop(database, None)
        if known is not None:
            self._run(_stop_tracker(known[1], known[2]))

    def _drop_clock(self, database: str) -> None:
        known = self._clocks.pop(database, None)
        if known is not None:
            known[2].stop()
            self._run(known[3].close())

    def _run(self, closing: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(closing)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _stop_tracker(tracker: acknowledgement.Tracker, clients: list[endpoint.Endpoint]) -> None:
    await tracker.finish(timeout_s=FINISH_S)
    await tracker.stop()
    for client in clients:
        await client.close()


def _same_positions(one: model.Group, other: model.Group) -> bool:
    return (one.term, one.phase, one.primary, [each.url for each in one.instances]) == (
        other.term,
        other.phase,
        other.primary,
        [each.url for each in other.instances],
    )
