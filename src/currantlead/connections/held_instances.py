"""Instances to which this VM holds connections, with their schedulers, trackers and clocks of primaries."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterator

from currantlead import interfaces, logs
from currantlead.connections import acknowledgement, checks, endpoint, primary_clock, scheduling
from currantlead.control import model

REFRESH_INTERVAL_S = 0.1
# All groups are scanned less often than the held instances are refreshed, because there may be hundreds of groups.
SCAN_INTERVAL_S = 2.0

_log = logs.part("holder")

# In a planned change the old primary may complete writes for up to 0.5 s after the group record has the next term.
TRACKER_GRACE_S = 0.75


class HeldInstances:
    """Open and close connections as the shared state assigns instances to this VM."""

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        checker: checks.RequestChecker,
        sender: str,
    ):
        self._directory = directory
        self._membership = membership
        self._checker = checker
        self._sender = sender
        self._on_release: Callable[[scheduling.InstanceScheduler], None] | None = None
        self._schedulers: dict[str, scheduling.InstanceScheduler] = {}
        self._trackers: dict[
            str, tuple[model.Group, acknowledgement.AcknowledgementTracker, list[endpoint.Endpoint]]
        ] = {}
        self._clocks: dict[str, tuple[int, str, primary_clock.PrimaryClock, endpoint.Endpoint]] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()
        self._scanned_at = float("-inf")

    def __iter__(self) -> Iterator[scheduling.InstanceScheduler]:
        """Return an iterator over the schedulers."""
        return iter(list(self._schedulers.values()))

    def on_release(self, callback: Callable[[scheduling.InstanceScheduler], None]) -> None:
        """Set the callback for the release of an instance; it runs before the connections are closed."""
        self._on_release = callback

    def find(self, database: str, instance: str) -> scheduling.InstanceScheduler | None:
        """Return the scheduler of an instance, or None if this VM does not hold it; open it if it was just assigned."""
        found = self._schedulers.get(instance)
        if found is None:
            group = self._directory.groups.get(database)
            record = group.instance(instance) if group else None
            found = self._open(group, record) if group and record else None
        return found if found is not None and found.group == database else None

    def tracker(self, database: str) -> acknowledgement.AcknowledgementTracker | None:
        """Return the tracker of a group's current term, started on first use; None during an election."""
        group = self._directory.groups.get(database)
        if group is None or group.phase is not model.Phase.STABLE:
            return None
        tracked = self._trackers.get(database)
        if tracked is not None and (tracked[0] is group or _same_replication(tracked[0], group)):
            return tracked[1]
        self._drop_tracker(database)
        replicas = {
            instance.name: endpoint.Endpoint.from_instance(instance, sender=self._sender)
            for instance in group.instances
            if instance.name != group.primary
        }
        tracker = acknowledgement.AcknowledgementTracker(group, replicas)
        tracker.start()
        self._trackers[database] = (group, tracker, list(replicas.values()))
        return tracker

    def clock(self, database: str) -> primary_clock.PrimaryClock | None:
        """Return the clock of a group's current primary; None during an election."""
        group = self._directory.groups.get(database)
        primary = group.instance(group.primary) if group else None
        if group is None or primary is None or group.phase is not model.Phase.STABLE:
            return None
        tracked = self._clocks.get(database)
        if tracked is not None and tracked[:2] == (group.term, primary.url):
            return tracked[2]
        self._drop_clock(database)
        client = endpoint.Endpoint.from_instance(primary, sender=self._sender)
        clock = primary_clock.PrimaryClock(group, client)
        self._clocks[database] = (group.term, primary.url, clock, client)
        return clock

    def refresh(self, *, scan: bool = False) -> None:
        """Apply the current shares, terms and service states.

        Args:
            scan: Whether to scan all groups now instead of every ``SCAN_INTERVAL_S``.
        """
        for scheduler in self:
            self._update(scheduler)
        for database, (group, _, _) in list(self._trackers.items()):
            current = self._directory.groups.get(database)
            scheduler = self._schedulers.get(group.primary)
            if current is None or not _same_replication(group, current) or scheduler is None:
                self._drop_tracker(database)
        now = time.monotonic()
        if scan or now - self._scanned_at >= SCAN_INTERVAL_S:
            self._scanned_at = now
            self._scan()

    def request_scan(self) -> None:
        """Scan all groups at the next refresh, so that many changes at once cost one scan."""
        self._scanned_at = float("-inf")

    def release_complete(self) -> bool:
        """Return whether no instance has more connections than this VM's share allows."""
        return all(scheduler.pool.open_count <= scheduler.pool.limit for scheduler in self._schedulers.values())

    async def close(self) -> None:
        """Close all connections, and wait until background tasks and status requests have ended."""
        for scheduler in self:
            self._remove(scheduler)
        for database in list(self._trackers):
            self._drop_tracker(database)
        for database in list(self._clocks):
            self._drop_clock(database)
        while self._close_tasks:
            await asyncio.gather(*self._close_tasks, return_exceptions=True)

    def _scan(self) -> None:
        for group in self._directory.groups.values():
            for instance in group.instances:
                if instance.name not in self._schedulers:
                    self._open(group, instance)
            scheduler = self._schedulers.get(group.primary)
            if scheduler is not None and scheduler.share > 0:
                self.tracker(group.name)

    def _open(self, group: model.Group, instance: model.Instance) -> scheduling.InstanceScheduler | None:
        service = self._checker.service(group.name)
        if service is None or self._membership.connection_share(instance.name, instance.domain) <= 0:
            return None
        scheduler = scheduling.InstanceScheduler(group.name, instance, sender=self._sender)
        self._schedulers[instance.name] = scheduler
        _log.info("{}: this VM becomes a holder", instance.name)
        self._update(scheduler)
        return scheduler

    def _update(self, scheduler: scheduling.InstanceScheduler) -> None:
        group = self._directory.groups.get(scheduler.group)
        instance = group.instance(scheduler.instance.name) if group else None
        service = self._checker.service(scheduler.group)
        if instance is None or service is None or instance.url != scheduler.instance.url:
            self._remove(scheduler)
            return
        scheduler.instance = instance
        leaving = self._checker.is_leaving(instance)
        scheduler.draining_since = (scheduler.draining_since or time.monotonic()) if leaving else None
        share = self._membership.connection_share(instance.name, instance.domain)
        if share > 0:
            scheduler.set_share(service, share)
            scheduler.pool.prune()
            return
        scheduler.set_share(service, 0.0)
        # Without a lease, another VM may open connections at any time. With one, open transactions may finish, because
        # this VM confirms the new view only once ``release_complete`` returns True.
        if not self._membership.lease_valid() or scheduler.pool.open_count == 0:
            self._remove(scheduler)

    def _remove(self, scheduler: scheduling.InstanceScheduler) -> None:
        if self._schedulers.pop(scheduler.instance.name, None) is None:
            return
        _log.info("{}: this VM releases its connections", scheduler.instance.name)
        if self._on_release is not None:
            self._on_release(scheduler)
        scheduler.refuse_queued()
        scheduler.pool.close()
        self._start_closing(scheduler.close())

    def _drop_tracker(self, database: str) -> None:
        tracked = self._trackers.pop(database, None)
        if tracked is not None:
            self._start_closing(_stop_tracker(tracked[1], tracked[2]))

    def _drop_clock(self, database: str) -> None:
        tracked = self._clocks.pop(database, None)
        if tracked is not None:
            tracked[2].stop()
            self._start_closing(tracked[3].close())

    def _start_closing(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


async def _stop_tracker(tracker: acknowledgement.AcknowledgementTracker, clients: list[endpoint.Endpoint]) -> None:
    await tracker.keep_open(timeout_s=TRACKER_GRACE_S)
    await tracker.stop()
    for client in clients:
        await client.close()


def _same_replication(first: model.Group, second: model.Group) -> bool:
    return (first.term, first.phase, first.primary, [instance.url for instance in first.instances]) == (
        second.term,
        second.phase,
        second.primary,
        [instance.url for instance in second.instances],
    )
