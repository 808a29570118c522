"""Coordination of failover: polls the instances of the groups that this VM monitors, and starts promotions."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors, interfaces, logs, timers
from currantlead.control import failover, group_records, instances, model, promotion, promotion_runner

_log = logs.part("failover")

# A divisor of 0.5 s, like the intervals of other timers, so that several timers share a wake-up.
TICK_S = 0.1
FIRST_MONITOR_POLL_S = 0.5
OTHER_MONITORS_POLL_S = 1.0
# Replicas are polled less often than the primary, so that a VM makes about 4 polls/s for all its groups at the target
# size.
REPLICA_POLL_S = 3.0
# Delay of the next attempt after a promotion that stopped or a switchover that did not replace the primary.
PAUSE_AFTER_ATTEMPT_S = 2.0


@dataclasses.dataclass(slots=True)
class _MonitorState:
    """State of the monitoring of one group.

    Attributes:
        failure_detector: Failure detector of the primary.
        primary: Name of the primary that the detectors refer to.
        next_poll: Clock reading at which the primary is polled next.
        isolation_detector: Detector of a primary that is cut off from its replicas.
        version: Version of the group's record at the last poll.
        version_seen_at: Clock reading at which this version was first seen.
        next_replica_poll: Clock reading at which the replicas are polled next.
        next_attempt: Clock reading before which no further promotion is started.
        busy: Whether a poll is under way.
        promoting: Whether a promotion is under way.
    """

    failure_detector: failover.FailureDetector
    primary: str
    next_poll: float
    isolation_detector: failover.IsolationDetector = dataclasses.field(default_factory=failover.IsolationDetector)
    version: int = 0
    version_seen_at: float = 0.0
    next_replica_poll: float = 0.0
    next_attempt: float = 0.0
    busy: bool = False
    promoting: bool = False


class FailoverCoordinator:
    """Monitor of database groups that promotes a replica when a primary fails or must be replaced.

    Several coordinators may act on a group at once; the terms keep the group consistent.
    """

    def __init__(
        self,
        *,
        platform: interfaces.Platform,
        peers: interfaces.Peers,
        directory: interfaces.Directory,
        client: instances.InstanceClient,
        clock: timers.Timers,
        rank: failover.Rank,
        on_group: Callable[[model.Group], None],
    ):
        """Initialize the coordinator and register the handler of ``suspect`` frames.

        Args:
            platform: Client of the platform.
            peers: Streams to other VMs.
            directory: Shared state known to this VM.
            client: Client of the instances.
            clock: Timer service.
            rank: Orders candidates for a key, best first.
            on_group: Called with each group record that this coordinator has written or found changed.
        """
        self._records = group_records.GroupRecords(platform=platform, peers=peers, on_group=on_group)
        self._peers = peers
        self._directory = directory
        self._client = client
        self._clock = clock
        self._rank = rank
        self._states: dict[str, _MonitorState] = {}
        self._monitor_ranks: dict[str, int] | None = None
        self._empty_since: dict[str, float] = {}
        self._subscription: timers.Subscription | None = None
        self._promotions: set[asyncio.Task[None]] = set()
        peers.handler("suspect")(self._on_suspect)

    def start(self) -> None:
        """Start polling."""
        self._directory.subscribe(self._on_change)
        self._subscription = self._clock.subscribe("coordinator", TICK_S, self.tick)

    async def stop(self) -> None:
        """Stop polling and cancel running promotions; another monitor takes them over."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None
        for task in self._promotions:
            task.cancel()
        await asyncio.gather(*self._promotions, return_exceptions=True)

    async def tick(self) -> None:
        """Poll each monitored group that is due."""
        now = self._clock.now()
        self._track_empty_domains(now)
        due = [
            self._poll(name, monitor_rank)
            for name, monitor_rank in self._monitored_groups().items()
            if self._monitor_state(name, now).next_poll <= now
            and not (self._states[name].busy or self._states[name].promoting)
        ]
        if due:
            await asyncio.gather(*due)

    def _on_change(self, kind: str, _name: str) -> None:
        if kind in ("views", "groups"):
            self._monitor_ranks = None

    def _monitored_groups(self) -> dict[str, int]:
        if self._monitor_ranks is None:
            own = self._peers.member
            views = self._directory.views
            ranks = {
                name: failover.monitor_rank_of(group, views, own, self._rank)
                for name, group in self._directory.groups.items()
            }
            self._monitor_ranks = {
                name: monitor_rank for name, monitor_rank in ranks.items() if monitor_rank is not None
            }
            for name in self._states.keys() - self._monitor_ranks.keys():
                if not (self._states[name].busy or self._states[name].promoting):
                    del self._states[name]
        return self._monitor_ranks

    def _track_empty_domains(self, now: float) -> None:
        for domain, view in self._directory.views.items():
            if view.members:
                self._empty_since.pop(domain, None)
            else:
                self._empty_since.setdefault(domain, now)

    def _monitor_state(self, name: str, now: float) -> _MonitorState:
        state = self._states.get(name)
        if state is None:
            state = _MonitorState(failover.FailureDetector(now), "", now)
            self._states[name] = state
        return state

    async def _poll(self, name: str, monitor_rank: int) -> None:
        state = self._states[name]
        state.busy = True
        started_at = self._clock.now()
        interval = FIRST_MONITOR_POLL_S if monitor_rank == 0 else OTHER_MONITORS_POLL_S
        # The interval starts with the poll, so that a poll that times out does not lengthen it.
        state.next_poll = started_at + interval
        try:
            group = self._directory.groups.get(name)
            if group is not None:
                await self._poll_group(group, state, monitor_rank)
        finally:
            state.busy = False

    async def _poll_group(self, group: model.Group, state: _MonitorState, monitor_rank: int) -> None:
        now = self._clock.now()
        if state.version != group.version:
            state.version, state.version_seen_at = group.version, now
        if state.primary != group.primary:
            state.primary, state.failure_detector = group.primary, failover.FailureDetector(now)
            state.isolation_detector = failover.IsolationDetector()
        if group.phase is model.Phase.ELECTING:
            if failover.is_abandoned(state.version_seen_at, now) and now >= state.next_attempt:
                await self._promote(group, state, "the previous promotion was abandoned")
            return
        started_at = now
        primary = group.instance(group.primary)
        status = await self._client.status(primary) if primary is not None else None
        now = self._clock.now()
        state.failure_detector.observe(now, answered=status is not None)
        if status is not None:
            await self._maintain(group, state, monitor_rank, status)
            return
        # A primary that does not answer is polled more often, so that the second monitor acts soon after its delay.
        state.next_poll = min(state.next_poll, started_at + FIRST_MONITOR_POLL_S)
        if now >= state.next_attempt and state.failure_detector.suspects(now, monitor_rank):
            await self._promote_if_confirmed(group, state)

    async def _maintain(
        self, group: model.Group, state: _MonitorState, monitor_rank: int, primary: failover.InstanceStatus
    ) -> None:
        """Correct roles and start a due switchover in a group whose primary answers; only the first monitor does so."""
        if monitor_rank != 0:
            return
        now = self._clock.now()
        configuration = self._directory.configuration
        reason = failover.switchover_reason(group, configuration, self._empty_since, now)
        switchover_due = reason is not None and now >= state.next_attempt
        needs_correction = failover.role_correction(group, primary) is not None
        if not (switchover_due or needs_correction or now >= state.next_replica_poll):
            return
        state.next_replica_poll = now + REPLICA_POLL_S
        statuses = await self._collect_statuses(group, primary)
        if failover.primary_lost_records(group, statuses):
            if now >= state.next_attempt:
                await self._promote(
                    group, state, f"primary {group.primary} lost its role and has fewer records than a replica"
                )
            return
        await self._correct_roles(group, statuses)
        if await self._replace_isolated(group, state, statuses):
            return
        if reason is None or not switchover_due:
            return
        target = failover.switchover_target(group, configuration, self._empty_since, statuses, now)
        if target is None:
            _log.warning("group {}: no switchover, as no replica can take over: {}", group.name, reason)
            state.next_attempt = now + PAUSE_AFTER_ATTEMPT_S
            return
        await self._promote(group, state, reason, target)

    async def _replace_isolated(
        self, group: model.Group, state: _MonitorState, statuses: Mapping[str, failover.InstanceStatus | None]
    ) -> bool:
        """Promote a replica if the primary answers this VM but has lost its majority.

        Returns:
            Whether the primary is to be replaced, even if the attempt ended before its first step.
        """
        now = self._clock.now()
        state.isolation_detector.observe(now, isolated=failover.is_isolated(group, statuses))
        if state.isolation_detector.suspected:
            state.next_replica_poll = now
        if not state.isolation_detector.confirmed(now) or now < state.next_attempt:
            return False
        reason = f"primary {group.primary} answers, but the replicas lost contact with it"
        await self._promote(group, state, reason, excluded=group.primary)
        return True

    async def _correct_roles(self, group: model.Group, statuses: Mapping[str, failover.InstanceStatus | None]) -> None:
        for status in statuses.values():
            if (
                status is not None
                and (command := failover.role_correction(group, status, primary_answers=True)) is not None
            ):
                _log.info(
                    "group {}: setting {} to term {} as {}", group.name, command.instance, command.term, command.role
                )
                await self._client.set_term(group, command)

    async def _collect_statuses(
        self, group: model.Group, primary: failover.InstanceStatus | None
    ) -> dict[str, failover.InstanceStatus | None]:
        others = [instance for instance in group.instances if instance.name != group.primary]
        answers = await asyncio.gather(*(self._client.status(instance) for instance in others))
        return {group.primary: primary} | {i.name: answer for i, answer in zip(others, answers, strict=True)}

    async def _promote_if_confirmed(self, group: model.Group, state: _MonitorState) -> None:
        assessment = failover.assess_failure(group, await self._collect_statuses(group, None))
        if assessment.confirmed:
            await self._promote(group, state, assessment.reason)
            return
        _log.info("group {}: not promoting a replica: {}", group.name, assessment.reason)
        # A replica may confirm the failure shortly after; the regular poll would lengthen the time without a primary.
        state.next_poll = min(state.next_poll, self._clock.now() + 2 * TICK_S)

    async def _on_suspect(self, sender: str, body: dict[str, Any]) -> dict[str, Any]:
        """Handle a ``suspect`` frame by polling the group at once; the frame itself does not prove a failure."""
        name = str(body.get("group", ""))
        if name in self._monitored_groups():
            _log.debug("group {}: {} reports that the primary does not answer", name, sender)
            state = self._monitor_state(name, self._clock.now())
            state.next_poll = min(state.next_poll, self._clock.now())
            state.next_replica_poll = min(state.next_replica_poll, self._clock.now())
        return {}

    async def _promote(
        self,
        cached: model.Group,
        state: _MonitorState,
        reason: str,
        target: str | None = None,
        *,
        excluded: str | None = None,
    ) -> None:
        state.next_attempt = self._clock.now() + PAUSE_AFTER_ATTEMPT_S
        try:
            group = await self._records.read(cached.name)
        except errors.PlatformUnavailableError:
            _log.warning("group {}: not promoting a replica: the platform is unavailable", cached.name)
            return
        if group is None or group.version != cached.version:
            _log.info("group {}: not promoting a replica: the group record has changed", cached.name)
            if group is not None:
                self._records.apply_locally(group)
            return
        _log.info("group {}: starting promotion to term {}: {}", group.name, group.term + 1, reason)
        machine = promotion.Promotion(group, now=self._clock.now(), target=target, excluded=excluded)
        task = asyncio.create_task(self._run_promotion(machine, state))
        self._promotions.add(task)
        task.add_done_callback(self._promotions.discard)

    async def _run_promotion(self, machine: promotion.Promotion, state: _MonitorState) -> None:
        state.promoting = True
        try:
            await promotion_runner.PromotionRunner(
                machine, store=self._records, client=self._client, clock=self._clock
            ).run()
        except Exception as error:
            _log.opt(exception=error).error("group {}: promotion failed with an unexpected error", machine.group.name)
        finally:
            state.promoting = False
