"""Watch the primaries of the groups that this VM monitors, and start promotions."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors, interfaces, logs, timers
from currantlead.control import failover, group_records, instances, model, promotion, runner

_log = logs.part("failover")

# Divides 0.5 s as the other periods do, so that one wake-up serves several timers.
TICK_S = 0.1
FIRST_POLL_S = 0.5
OTHER_POLL_S = 1.0
# Replicas are checked less often than the primary: at the target size a VM has about 4 polls/s for all its groups.
REPLICA_POLL_S = 3.0
# After a promotion that stopped, or a planned change that did not move the primary.
PAUSE_AFTER_ATTEMPT_S = 2.0


@dataclasses.dataclass(slots=True)
class _Watch:
    """Hold what this VM remembers about one group that it monitors."""

    suspicion: failover.Suspicion
    primary: str
    next_poll: float
    isolation: failover.Isolation = dataclasses.field(default_factory=failover.Isolation)
    version: int = 0
    version_since: float = 0.0
    next_replica_poll: float = 0.0
    not_before: float = 0.0
    busy: bool = False
    promoting: bool = False


class Coordinator:
    """Monitor groups and promote replicas.

    The terms protect the groups if several coordinators act at once.
    """

    def __init__(
        self,
        *,
        platform: interfaces.Platform,
        peers: interfaces.Peers,
        directory: interfaces.Directory,
        client: instances.Instances,
        clock: timers.Timers,
        rank: failover.Rank,
        on_group: Callable[[model.Group], None],
    ):
        """Take the parts to work with; ``start`` begins the work.

        Args:
            platform: Client of the platform.
            peers: Streams to other VMs.
            directory: What this VM knows of the shared state.
            client: Client of the instances.
            clock: Timer service.
            rank: Orders candidates for a key, best first.
            on_group: Called with each record that this coordinator wrote or read.
        """
        self._records = group_records.GroupRecords(platform=platform, peers=peers, on_group=on_group)
        self._peers = peers
        self._directory = directory
        self._client = client
        self._clock = clock
        self._rank = rank
        self._watches: dict[str, _Watch] = {}
        self._places: dict[str, int] | None = None
        self._empty_since: dict[str, float] = {}
        self._subscription: timers.Subscription | None = None
        self._promotions: set[asyncio.Task[None]] = set()
        peers.handler("suspect")(self._suspect)

    def start(self) -> None:
        """Begin to poll."""
        self._directory.subscribe(self._changed)
        self._subscription = self._clock.subscribe("coordinator", TICK_S, self.tick)

    async def stop(self) -> None:
        """End the polls and abandon promotions under way; another monitor takes them over."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None
        for task in self._promotions:
            task.cancel()
        await asyncio.gather(*self._promotions, return_exceptions=True)

    async def tick(self) -> None:
        """Check each monitored group that is due."""
        now = self._clock.now()
        self._note_empty_domains(now)
        due = [
            self._check(name, place)
            for name, place in self._monitored().items()
            if self._watch(name, now).next_poll <= now
            and not (self._watches[name].busy or self._watches[name].promoting)
        ]
        if due:
            await asyncio.gather(*due)

    def _changed(self, kind: str, _name: str) -> None:
        if kind in ("views", "groups"):
            self._places = None

    def _monitored(self) -> dict[str, int]:
        if self._places is None:
            own = self._peers.member
            views = self._directory.views
            places = {
                name: failover.own_rank(group, views, own, self._rank) for name, group in self._directory.groups.items()
            }
            self._places = {name: place for name, place in places.items() if place is not None}
            for name in self._watches.keys() - self._places.keys():
                if not (self._watches[name].busy or self._watches[name].promoting):
                    del self._watches[name]
        return self._places

    def _note_empty_domains(self, now: float) -> None:
        for domain, view in self._directory.views.items():
            if view.members:
                self._empty_since.pop(domain, None)
            else:
                self._empty_since.setdefault(domain, now)

    def _watch(self, name: str, now: float) -> _Watch:
        watch = self._watches.get(name)
        if watch is None:
            watch = _Watch(failover.Suspicion(now), "", now)
            self._watches[name] = watch
        return watch

    async def _check(self, name: str, place: int) -> None:
        watch = self._watches[name]
        watch.busy = True
        started = self._clock.now()
        interval = FIRST_POLL_S if place == 0 else OTHER_POLL_S
        # The interval counts from the start, so that a poll that runs into its time limit does not lengthen it.
        watch.next_poll = started + interval
        try:
            group = self._directory.groups.get(name)
            if group is not None:
                await self._check_group(group, watch, place)
        finally:
            watch.busy = False

    async def _check_group(self, group: model.Group, watch: _Watch, place: int) -> None:
        now = self._clock.now()
        if watch.version != group.version:
            watch.version, watch.version_since = group.version, now
        if watch.primary != group.primary:
            watch.primary, watch.suspicion = group.primary, failover.Suspicion(now)
            watch.isolation = failover.Isolation()
        if group.phase is model.Phase.ELECTING:
            if failover.abandoned(watch.version_since, now) and now >= watch.not_before:
                await self._promote(group, watch, "the promotion before was abandoned")
            return
        started = now
        primary = group.instance(group.primary)
        status = await self._client.status(primary) if primary is not None else None
        now = self._clock.now()
        watch.suspicion.observe(now, answered=status is not None)
        if status is not None:
            await self._care(group, watch, place, status)
            return
        # A silent primary is asked more often, so that the second monitor acts soon after its waiting time.
        watch.next_poll = min(watch.next_poll, started + FIRST_POLL_S)
        if now >= watch.not_before and watch.suspicion.suspects(now, place):
            await self._act_on_suspicion(group, watch)

    async def _care(self, group: model.Group, watch: _Watch, place: int, primary: failover.Status) -> None:
        """Look after a group whose primary answers; only the first monitor does so."""
        if place != 0:
            return
        now = self._clock.now()
        configuration = self._directory.configuration
        reason = failover.planned_reason(group, configuration, self._empty_since, now)
        planned = reason is not None and now >= watch.not_before
        misplaced = failover.repair(group, primary) is not None
        if not (planned or misplaced or now >= watch.next_replica_poll):
            return
        watch.next_replica_poll = now + REPLICA_POLL_S
        statuses = await self._statuses(group, primary)
        if failover.lost_records(group, statuses):
            if now >= watch.not_before:
                await self._promote(group, watch, f"primary {group.primary} returned with fewer records than a replica")
            return
        await self._repair(group, statuses)
        if await self._replace_isolated(group, watch, statuses):
            return
        if reason is None or not planned:
            return
        target = failover.planned_target(group, configuration, self._empty_since, statuses, now)
        if target is None:
            _log.warning("group {}: {}, but no replica can take over", group.name, reason)
            watch.not_before = now + PAUSE_AFTER_ATTEMPT_S
            return
        await self._promote(group, watch, reason, target)

    async def _replace_isolated(
        self, group: model.Group, watch: _Watch, statuses: Mapping[str, failover.Status | None]
    ) -> bool:
        """Promote a replica if the primary answers here but no majority hears it; tell whether one was started."""
        now = self._clock.now()
        watch.isolation.observe(now, isolated=failover.is_isolated(group, statuses))
        if watch.isolation.suspected:
            watch.next_replica_poll = now
        if not watch.isolation.confirmed(now) or now < watch.not_before:
            return False
        reason = f"primary {group.primary} answers, but the replicas have lost it"
        await self._promote(group, watch, reason, excluded=group.primary)
        return True

    async def _repair(self, group: model.Group, statuses: Mapping[str, failover.Status | None]) -> None:
        for status in statuses.values():
            if status is not None and (order := failover.repair(group, status, primary_answers=True)) is not None:
                _log.info("group {}: tells {} term {} as {}", group.name, order.instance, order.term, order.role)
                await self._client.set_term(group, order)

    async def _statuses(self, group: model.Group, primary: failover.Status | None) -> dict[str, failover.Status | None]:
        others = [instance for instance in group.instances if instance.name != group.primary]
        answers = await asyncio.gather(*(self._client.status(instance) for instance in others))
        return {group.primary: primary} | {i.name: answer for i, answer in zip(others, answers, strict=True)}

    async def _act_on_suspicion(self, group: model.Group, watch: _Watch) -> None:
        evidence = failover.weigh(group, await self._statuses(group, None))
        if evidence.confirmed:
            await self._promote(group, watch, evidence.reason)
            return
        _log.info("group {}: no promotion: {}", group.name, evidence.reason)
        # A replica may confirm a moment later; waiting for the next poll would lengthen the gap.
        watch.next_poll = min(watch.next_poll, self._clock.now() + 2 * TICK_S)

    async def _suspect(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        """Poll at once after a holder's hint; the hint itself is no evidence."""
        name = str(body.get("group", ""))
        if name in self._monitored():
            _log.debug("group {}: {} gets no answer from the primary", name, sender)
            watch = self._watch(name, self._clock.now())
            watch.next_poll = min(watch.next_poll, self._clock.now())
            watch.next_replica_poll = min(watch.next_replica_poll, self._clock.now())
        return {}

    async def _promote(
        self,
        known: model.Group,
        watch: _Watch,
        reason: str,
        target: str | None = None,
        *,
        excluded: str | None = None,
    ) -> None:
        watch.not_before = self._clock.now() + PAUSE_AFTER_ATTEMPT_S
        try:
            group = await self._records.read(known.name)
        except errors.PlatformUnavailableError:
            _log.warning("group {}: no promotion while the platform is unavailable", known.name)
            return
        if group is None or group.version != known.version:
            _log.info("group {}: no promotion: the record has changed", known.name)
            if group is not None:
                self._records.announce(group)
            return
        _log.info("group {}: starts term {}: {}", group.name, group.term + 1, reason)
        steps = promotion.Promotion(group, now=self._clock.now(), target=target, excluded=excluded)
        task = asyncio.create_task(self._run(steps, watch))
        self._promotions.add(task)
        task.add_done_callback(self._promotions.discard)

    async def _run(self, steps: promotion.Promotion, watch: _Watch) -> None:
        watch.promoting = True
        try:
            await runner.Runner(steps, store=self._records, client=self._client, clock=self._clock).run()
        except Exception as error:
            _log.opt(exception=error).error("group {}: promotion failed", steps.group.name)
        finally:
            watch.promoting = False
