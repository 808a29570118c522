"""One attempt to replace the primary of a service: the steps from the claim of the duty to the new primary.

Three safeguards keep acknowledged commits between the steps. All replicas that may have acknowledged a commit have
stopped receiving before one is chosen. The old primary is demoted, through another VM if this one cannot reach it. And
the order is recorded before it is sent, after which the VMs that learn of it send no commits to another instance. What
callers were told is compared with the choice.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Collection
from typing import Any

from currantlead import errors, logs
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import acknowledgements, election, promotion_choice, promotion_progress, vm_contact
from currantlead.sessions.failover import commit_reports, instance_commands, promotion_calls, remote_commands
from currantlead.sessions.instances import fleet, link, replacements
from currantlead.sessions.shared import duty_claims

SETTLE_S = 0.1
"""Time after the demotion of the old primary in which the replicas receive its last commits, and this VM learns of a
replica that has just joined."""
ENTRY_TIMEOUT_S = 1.5
"""Time after which the first entry of an instance that reaches the store is known: the interval of its pings, 1.2 s,
and the delay of a watch."""
EFFECT_TIMEOUT_S = 3.0
"""Time within which an accepted promotion takes effect; it takes 0.3 s to 1 s."""
EFFECT_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether a promotion has taken effect."""
CODEC = instance_commands.CODEC

_log = logs.part("succession")


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What all attempts of a VM use.

    Attributes:
        instances: The known instances.
        claims: Claims of the duties; the duty of a service's promotions has the service's name.
        reports: Collects the other VMs' reports on acknowledged commits.
        remote: Helps with instances through other VMs.
        calls: Records orders and calls for promotions.
        find_contact_among: Returns which of the VMs that were not told of the claim may give others of them contact;
            called with those that did not report.
        on_stage: Called with the service when its promotion reaches a stage.
    """

    instances: fleet.Fleet
    claims: duty_claims.DutyClaims
    reports: commit_reports.CommitReports
    remote: remote_commands.RemoteCommands
    calls: promotion_calls.PromotionCalls
    find_contact_among: Callable[[Collection[str]], list[str]]
    on_stage: Callable[[str, promotion_progress.Stage], None]


class Promotion:
    """Replaces the primary of a service once.

    Args:
        service: The service.
        old: The old primary, or None if none is known.
        tools: What the attempt uses.
        connects: Whether this VM tries to connect to the old primary; another attempt at one that has just been
            unreachable would only make the service wait for the whole timeout once more.
        reached_by: Other VMs that have just reached the old primary, or None if they have not been asked.
        is_due: Returns whether the reason for the attempt still holds.
    """

    def __init__(
        self,
        service: str,
        old: model.Instance | None,
        tools: Tools,
        *,
        connects: bool = True,
        reached_by: list[str] | None = None,
        is_due: Callable[[], bool] = lambda: True,
    ):
        self._service = service
        self._old = old
        self._tools = tools
        self._connects = connects
        self._reached_by = reached_by
        self._is_due = is_due
        self._generation = 0
        self._claimed_at = float("-inf")
        self._term = 0
        self._old_link: link.Link | None = None
        self._links: dict[str, link.Link] = {}
        self._tried: list[model.Instance] = []
        self._paused: list[model.Instance] = []
        self._full: set[str] = set()
        self._silent_vms: frozenset[str] = frozenset()
        self._told_at: float | None = None
        self._held_until = float("-inf")
        self._keeps_pauses = False
        self._is_overtaken = False

    async def run(self, reason: str) -> str:
        """Run the attempt; return why it stopped, or an empty string if the service has a new primary.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed entry.
        """
        try:
            # The claim comes first, so that only one VM at a time opens connections, of which instances accept few.
            refusal = await self._claim(reason)
            if not refusal:
                refusal = await self._examine()
            if not refusal and not self._is_due():
                refusal = f"no longer: {reason}"
            if not refusal:
                refusal = await self._close_order_of_old()
            if refusal:
                if self._told_at is not None:
                    self._tools.reports.release(self._service, self._generation)
                return refusal
            chosen = await self._stop_replication()
            if isinstance(chosen, str):
                await self._resume()
                return chosen
            self._tools.on_stage(self._service, promotion_progress.Stage.PAUSED)
            return await self._order(chosen.instance)
        except Exception:
            await self._resume()
            raise
        finally:
            for item in self._links.values():
                item.close()
            if self._old_link is not None:
                self._old_link.close()

    # Before any instance is changed

    async def _claim(self, reason: str) -> str:
        """Claim the duty; return why that failed."""
        claims = self._tools.claims
        previous = claims.latest(self._service)
        generation = await claims.claim(self._service, election.CLAIM_EXCLUSIVITY_S)
        if generation is None:
            return "another VM holds the promotion duty"
        self._generation, self._claimed_at = generation, clock.now()
        self._bind(previous_holder=previous and previous.holder, open_order=self._open_order()).info(
            "promotion began: {}", reason
        )
        return ""

    async def _connect_old(self) -> None:
        """Connect to the old primary, or find other VMs that reach it."""
        if self._old is None:
            return
        if self._connects:
            self._old_link = await instance_commands.connect(self._old, self._tools.remote.make_room)
        if self._old_link is None and self._reached_by is None:
            self._reached_by = await self._tools.remote.find_vms(self._old)

    async def _examine(self) -> str:
        """Return why no replica could be promoted as things are, before anything is changed."""
        # Commits are held from the first reports on if nobody who was asked reaches the old primary. This shortens the
        # wait for VMs that were not told.
        is_out_of_reach = self._old is not None and not self._connects and self._reached_by == []
        report, _, _ = await asyncio.gather(
            self._collect_report(held_for=self._generation if is_out_of_reach else 0),
            self._connect_old(),
            self._connect_replicas(),
        )
        # Read before the positions of the replicas: those that have reached it lack nothing acknowledged before.
        old_status = await self._read_old()
        statuses = await self._read_statuses()
        refusal = self._find_refusal(report, old_status, statuses)
        if not refusal and old_status is not None and old_status.role is model.Role.PRIMARY:
            refusal = await self._await_commits_of_leaving(statuses)
        paused = [self._links[name] for name, status in statuses.items() if status.paused_term]
        if refusal and paused and old_status is not None and old_status.role is model.Role.PRIMARY:
            await self._resume_for(paused)
        return refusal

    async def _await_commits_of_leaving(self, statuses: dict[str, model.InstanceStatus]) -> str:
        """Wait until a replica that may lead has all commits of those that leave; return why none has, or empty.

        Without such a replica, the old primary would have to lead again after it was demoted.
        """
        latest = max((status.received for status in statuses.values()), default=acknowledgements.NO_POSITION)
        if not statuses or self._has_promotable(statuses, latest):
            return ""
        await asyncio.sleep(instance_commands.REPLICATION_WAIT_S)
        if self._has_promotable(await self._read_statuses(), latest):
            return ""
        return f"only replicas that leave have the commits up to {latest}, and the old primary still leads"

    def _has_promotable(self, statuses: dict[str, model.InstanceStatus], position: model.Position) -> bool:
        return any(status.received >= position and self._is_promotable(name) for name, status in statuses.items())

    async def _resume_for(self, paused: list[link.Link]) -> None:
        """Resume replicas that an earlier attempt left paused, as the old primary goes on."""
        if not self._open_order() and await self._tools.claims.is_current(self._service, self._generation):
            self._bind(instances=[item.instance.id for item in paused]).info("resuming paused replicas")
            await instance_commands.send_to_all(paused, CODEC.encode_resume())

    def _find_refusal(
        self,
        report: commit_reports.CommitReport,
        old_status: model.InstanceStatus | None,
        statuses: dict[str, model.InstanceStatus],
    ) -> str:
        missing = sorted(instance.id for instance in self._known_replicas() if instance.id not in statuses)
        if not self._can_do_without(missing):
            return f"replicas did not answer the status request: {', '.join(missing)}"
        if any(status.role is model.Role.PRIMARY for status in statuses.values()):
            return "a replica is already primary"
        if self._old_link is None and not self._reached_by:
            refusal = self._find_unnoticed_commits(report)
            if refusal:
                return refusal
        self._term = max((status.term for status in statuses.values()), default=0) + 1
        latest = max((status.received for status in statuses.values()), default=acknowledgements.NO_POSITION)
        if not statuses or (old_status is not None and old_status.role is model.Role.REPLICA):
            # Without a primary, the old one may lead again if only it has all commits.
            return ""
        promotable = [status.received for name, status in statuses.items() if self._is_promotable(name)]
        if (
            old_status is not None
            and max(promotable, default=acknowledgements.NO_POSITION) < report.acknowledged.at_least
        ):
            return "no replica that may lead has all commits yet, and the old primary still leads"
        old = None if old_status is None else promotion_choice.PausedReplica(self._old.id, old_status.received, False)
        return promotion_choice.explain_missing(self._describe([], 0, old, report), latest)

    def _find_unnoticed_commits(self, report: commit_reports.CommitReport) -> str:
        """Return why VMs that did not report may go on with commits at an old primary that is not demoted, or empty.

        A replica that starts meanwhile could acknowledge them, and nobody on this side might know of it.
        """
        partners = self._tools.find_contact_among(report.unanswered)
        if not partners:
            return ""
        return f"VMs that did not report may get contact from {', '.join(partners)} and go on with commits"

    async def _read_old(self) -> model.InstanceStatus | None:
        """Return the status of the old primary, or None if this VM cannot reach it."""
        if self._old_link is None:
            return None
        return await instance_commands.send(self._old_link, CODEC.encode_status())

    def _can_do_without(self, missing: Collection[str]) -> bool:
        """Return whether a replica may be promoted although some did not answer.

        If the old primary can be demoted, its position tells what the chosen one must have. Replicas that are only full
        receive the commits of the new primary; with others missing, it might have no replica that acknowledges them.
        """
        return not missing or (
            self._full.issuperset(missing) and (self._old_link is not None or bool(self._reached_by))
        )

    async def _collect_report(self, *, held_for: int = 0) -> commit_reports.CommitReport:
        """Collect the reports of the VMs, and note since when all that answer have held back commits."""
        asked_at = clock.now()
        report = await self._tools.reports.collect(
            self._service, self._old, skipped=self._silent_vms, held_for=held_for
        )
        self._silent_vms = report.unanswered
        if held_for and (self._told_at is None or report.answered_at > self._held_until):
            # The first hold, or an earlier one has ended before all VMs had this one.
            self._told_at = report.answered_at
        self._held_until = asked_at + replacements.HOLD_S
        return report

    def _known_replicas(self) -> list[model.Instance]:
        return [
            tracked.instance
            for tracked in self._tools.instances.instances_of(self._service)
            if self._old is None or tracked.instance.id != self._old.id
        ]

    async def _connect_replicas(self) -> None:
        """Connect to the replicas that have not been tried, also to those that are only gone from the store."""
        gone = [item.instance for item in self._tools.instances.departures(self._service) if item.ended_at is None]
        new = {
            instance.id: instance
            for instance in [*gone, *self._known_replicas()]
            if instance.id not in self._links and instance not in self._tried
        }
        self._tried += new.values()
        refusals = await instance_commands.connect_all(new.values(), self._links, self._tools.remote.make_room)
        self._full |= refusals.full
        for instance in refusals.absent:
            self._tools.instances.record_end(instance.id, instance.started_at_ms, clock.now())

    async def _read_statuses(self) -> dict[str, model.InstanceStatus]:
        """Return the statuses of the connected replicas that answer."""
        statuses = await instance_commands.send_to_all(self._links.values(), CODEC.encode_status())
        return {name: status for name, status in zip(self._links, statuses, strict=True) if status is not None}

    # From the first change to the choice

    async def _close_order_of_old(self) -> str:
        """Close the order by which the old primary leads; return why that failed.

        One of its calls, carried out after the demotion, would make the old primary lead again. If the order cannot be
        closed, VMs still send the old primary no commits once the next order is recorded.
        """
        if self._old is None or self._open_order() != self._old.id:
            return ""
        order = promotion_calls.Order(self._service, self._old.id, self._generation, unanswered=1)
        closed = await self._tools.calls.close(order)
        if closed is None:
            return "another VM has claimed the promotion duty"
        self._generation = closed.generation
        # The entry of the closed order has ended the hold.
        self._told_at = None
        return ""

    def _open_order(self) -> str:
        latest = self._tools.claims.latest(self._service)
        return latest.ordered if latest is not None else ""

    async def _stop_replication(self) -> promotion_choice.PausedReplica | str:
        """Pause all replicas, demote the old primary, and return the instance to promote or why there is none."""
        demoted = await self._demote()
        if demoted is not None:
            await asyncio.sleep(SETTLE_S)
        situation = await self._pause_and_read(demoted)
        entries_at = self._claimed_at + ENTRY_TIMEOUT_S
        if not isinstance(situation, str) and promotion_choice.may_lack_entries(situation) and clock.now() < entries_at:
            await asyncio.sleep(entries_at - clock.now())
            situation = await self._pause_and_read(demoted)
        if isinstance(situation, str):
            return situation
        chosen = promotion_choice.choose_replica(situation)
        self._log_choice(situation, chosen)
        return chosen

    async def _pause_and_read(self, demoted: promotion_choice.PausedReplica | None) -> promotion_choice.Situation | str:
        """Pause all replicas and return what is known then, or why nothing may be promoted."""
        report = await self._pause()
        silent_until = self._told_at + vm_contact.SILENCE_S
        if demoted is None and report.unanswered and clock.now() < silent_until:
            # VMs that were not told go on with commits until then, and replicas may become known meanwhile.
            await asyncio.sleep(silent_until - clock.now())
            report = await self._pause()
        refusal = self._find_unnoticed_commits(report) if demoted is None else ""
        if refusal:
            return refusal
        return await self._read_situation(demoted, report) or "another promotion has taken effect"

    async def _read_situation(
        self, demoted: promotion_choice.PausedReplica | None, report: commit_reports.CommitReport
    ) -> promotion_choice.Situation | None:
        """Read the positions of the replicas; return what is known, or None if an earlier order has taken effect."""
        statuses = await self._read_statuses()
        if any(status.role is model.Role.PRIMARY or status.term >= self._term for status in statuses.values()):
            # A call of an earlier order has been carried out since the first look.
            self._is_overtaken = any(status.role is model.Role.PRIMARY for status in statuses.values())
            return None
        paused = [
            promotion_choice.PausedReplica(name, status.received, self._is_promotable(name))
            for name, status in statuses.items()
            if status.role is model.Role.REPLICA and status.paused_term >= self._term
        ]
        expected = {instance.id for instance in self._known_replicas()} | set(self._links)
        return self._describe(paused, len(expected), demoted, report)

    async def _pause(self) -> commit_reports.CommitReport:
        """Pause all replicas, and return the reports of the VMs, which hold back commits from now on."""
        await self._connect_replicas()
        self._paused = [item.instance for item in self._links.values()]
        await instance_commands.send_to_all(self._links.values(), CODEC.encode_pause(self._term))
        return await self._collect_report(held_for=self._generation)

    async def _demote(self) -> promotion_choice.PausedReplica | None:
        """Demote the old primary; return its position, or None if it has not confirmed that it leads no more."""
        if self._old is None:
            return None
        status = None
        if self._old_link is not None:
            status = await instance_commands.send(self._old_link, CODEC.encode_demote(self._term))
        elif self._reached_by:
            status = await self._tools.remote.demote(self._reached_by, self._old, self._term)
        self._bind(
            instance=self._old.id, position=str(status.received) if status else None, through=self._reached_by
        ).info("demotion of the old primary requested")
        if status is None or status.role is model.Role.PRIMARY:
            return None
        return promotion_choice.PausedReplica(self._old.id, status.received, self._is_promotable(self._old.id))

    def _is_promotable(self, instance_id: str) -> bool:
        tracked = self._tools.instances.get(instance_id)
        return tracked is not None and self._tools.instances.accepts_reads(tracked)

    def _describe(
        self,
        paused: list[promotion_choice.PausedReplica],
        replicas: int,
        demoted: promotion_choice.PausedReplica | None,
        report: commit_reports.CommitReport,
    ) -> promotion_choice.Situation:
        connected = {(item.instance.id, item.instance.started_at_ms) for item in self._links.values()}
        departed = [
            promotion_choice.Departed(item.instance.id, item.gone_at, item.ended_at)
            for item in self._tools.instances.departures(self._service)
            if (item.instance.id, item.instance.started_at_ms) not in connected
            # What the old primary acknowledged is on a replica, too.
            and (self._old is None or item.instance.id != self._old.id)
        ]
        known = {item.instance for item in departed} | {item.instance.id for item in self._links.values()}
        departed += [
            promotion_choice.Departed(instance_id, gone_at, None)
            for (instance_id, _), gone_at in report.departed.items()
            if instance_id not in known
            and self._tools.instances.get(instance_id) is None
            and (self._old is None or instance_id != self._old.id)
        ]
        known_since = self._tools.instances.departures_known_since()
        if known_since is not None:
            departed.append(
                promotion_choice.Departed("an instance before the start of this VM", known_since, known_since)
            )
        return promotion_choice.Situation(
            paused, replicas, demoted, report.acknowledged, report.since, departed, self._open_order(), clock.now()
        )

    def _log_choice(self, situation: promotion_choice.Situation, chosen: promotion_choice.PausedReplica | str) -> None:
        """Log the choice with all that it was based on."""
        now = clock.now()
        acknowledged = situation.acknowledged
        self._bind(
            positions={item.instance: str(item.received) for item in situation.paused},
            demoted=str(situation.demoted.received) if situation.demoted is not None else None,
            gone_s={item.instance: round(now - item.gone_at, 2) for item in situation.departed},
            acknowledged=[str(acknowledged.at_least), str(acknowledged.at_most)],
            last_sent_s=round(now - acknowledged.sent_at, 2) if acknowledged.sent_at > float("-inf") else None,
            silent_vms=sorted(self._silent_vms),
            open_order=situation.ordered,
        ).info("{}", f"no promotion: {chosen}" if isinstance(chosen, str) else f"promoting {chosen.instance}")

    # From the order to its end

    async def _order(self, instance_id: str) -> str:
        """Record the order and call for the promotion; return why it failed, or an empty string."""
        # Also if the answer of the store is lost, because other VMs may act on the order.
        self._keeps_pauses = True
        order = await self._tools.calls.record(self._service, self._generation, instance_id)
        if order is None:
            return "another VM has claimed the promotion duty"
        self._generation = order.generation
        refusal = await self._tools.calls.call(order, self._watch_start(instance_id))
        if refusal:
            if not order.unanswered and await self._tools.calls.close(order):
                self._keeps_pauses = False
                await self._resume()
            return refusal
        self._tools.on_stage(self._service, promotion_progress.Stage.REQUESTED)
        self._tools.instances.mark_promoted(instance_id)
        try:
            await self._finish(order)
        except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
            self._bind().warning("the order stays open, store error: {}", error)
        return ""

    def _watch_start(self, instance_id: str) -> Callable[[], bool]:
        """Return a function that tells whether an instance has neither left nor started again, without its log."""
        known = self._tools.instances.get(instance_id)
        started_at_ms = known.instance.started_at_ms if known is not None else None

        def has_log() -> bool:
            now_known = self._tools.instances.get(instance_id)
            return (now_known.instance.started_at_ms if now_known is not None else None) == started_at_ms

        return has_log

    async def _finish(self, order: promotion_calls.Order) -> None:
        """Resume the replicas that are still paused once the new primary leads, and close the order."""
        if not await self._await_effect(order.instance_id):
            self._bind(instance=order.instance_id).warning("the promoted instance does not say that it leads")
            return
        # A promotion ends only the pauses for earlier terms; an overlapping attempt may have paused for later ones.
        statuses = await self._read_statuses()
        paused = [self._links[name] for name, status in statuses.items() if status.paused_term]
        if paused and await self._tools.claims.is_current(self._service, self._generation):
            self._bind(instances=[item.instance.id for item in paused]).info("resuming paused replicas")
            await instance_commands.send_to_all(paused, CODEC.encode_resume())
        if not order.unanswered or self._is_promotable(order.instance_id):
            await self._tools.calls.close(order)
        # An instance that has to be replaced itself is not held up; its replacement closes the order.

    async def _await_effect(self, instance_id: str) -> bool:
        """Wait until an instance says that it leads; return whether it did in time."""
        if instance_id not in self._links and self._old is not None:
            # The old primary leads again.
            await instance_commands.connect_all([self._old], self._links, self._tools.remote.make_room)
        deadline = clock.now() + EFFECT_TIMEOUT_S
        while instance_id in self._links and clock.now() < deadline:
            status = await instance_commands.send(self._links[instance_id], CODEC.encode_status())
            if status is None:
                return False
            if status.role is model.Role.PRIMARY:
                return True
            await asyncio.sleep(EFFECT_CHECK_INTERVAL_S)
        return False

    async def _resume(self) -> None:
        """Resume replication, unless an order may take effect or another VM may rely on the pauses.

        The pauses are for a later term than that of an order that has taken effect meanwhile, which does not end them.
        """
        if self._keeps_pauses or not self._generation:
            return
        self._tools.reports.release(self._service, self._generation)
        try:
            if (
                not self._paused
                or (self._open_order() and not self._is_overtaken)
                or not await self._tools.claims.is_current(self._service, self._generation)
            ):
                return
        except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
            self._bind().warning("replicas stay paused, store error: {}", error)
            return
        # A connection is lost with the answer to a pause that may have taken effect.
        lost = [instance for instance in self._paused if not self._links[instance.id].open]
        await instance_commands.connect_all(lost, self._links, self._tools.remote.make_room)
        await instance_commands.send_to_all(self._links.values(), CODEC.encode_resume())

    def _bind(self, **facts: object) -> Any:
        return _log.bind(service=self._service, generation=self._generation, **facts)
