"""Execution of requests on an instance: checks, slot, connection, retries and acknowledgement by a majority."""

import asyncio
from collections.abc import Awaitable, Callable

import result

from currantlead import interfaces, messages, timers, verdict
from currantlead.connections import acknowledgement, checks, endpoint, held_instances, responsiveness, scheduling

# Delay before a retry after an instance refused a statement because of locks; the slot is released meanwhile.
BUSY_RETRY_DELAY_S = 0.02
# Period for which an unreachable instance is retried: long enough to replace a closed connection, short enough that the
# proxy can still try another instance or wait for a promotion.
UNREACHABLE_RETRY_PERIOD_S = 0.1
# Delay before a missing acknowledgement is reported. Replicas report the loss of their primary only after 1 s, so an
# earlier report could not be confirmed.
ACKNOWLEDGEMENT_REPORT_DELAY_S = 1.0
# Minimum remaining time for a retry. An instance waits 0.1 s for locks before it refuses; a retry that is cut off
# earlier is in doubt, although the refusal before it was certain.
MIN_RETRY_TIME_S = 0.25

Outcome = result.Result[endpoint.Reply, verdict.Refusal]
Send = Callable[[endpoint.Connection], Awaitable[Outcome]]
PrimaryUnresponsiveCallback = Callable[[str, str, int], None]


class Executor:
    """Run requests on the instances to which this VM holds connections."""

    def __init__(
        self,
        directory: interfaces.Directory,
        checker: checks.RequestChecker,
        instances: held_instances.HeldInstances,
        clock: timers.Timers,
        on_unresponsive_primary: PrimaryUnresponsiveCallback | None,
    ):
        self._directory = directory
        self._checker = checker
        self._held_instances = instances
        self._clock = clock
        self._on_unresponsive_primary = on_unresponsive_primary

    def remaining_s(self, deadline: float) -> float:
        """Return the seconds until a deadline, or 0 if it has passed."""
        return max(0.0, deadline - self._clock.now())

    def find_scheduler(self, database: str, instance: str) -> scheduling.InstanceScheduler | verdict.Refusal:
        """Return the scheduler of an instance, or a refusal if this VM does not hold connections to it."""
        found = self._held_instances.find(database, instance)
        return found or checks.refuse(verdict.Reason.NOT_HOLDER, "this VM holds no connections to the instance", 0.1)

    def primary_tracker(self, database: str, instance: str) -> acknowledgement.AcknowledgementTracker | None:
        """Return the acknowledgement tracker of a group if the instance is its primary, else None."""
        group = self._directory.groups.get(database)
        return self._held_instances.tracker(database) if group is not None and group.primary == instance else None

    def check_statement(self, work: messages.Execute) -> verdict.Refusal | None:
        """Check a statement outside a transaction."""
        statement = work.statement
        route_sql = None if statement.write else statement.sql
        return (
            self._checker.check_caller(work.caller, statement.database, route_sql)
            or self._checker.check_target(statement.database, work.instance, work.term, primary=statement.write)
            or self._checker.check_position(statement.database, statement.after)
            or self._check_leaving(statement.database, work.instance, statement.write)
        )

    def check_begin(self, work: messages.Begin) -> verdict.Refusal | None:
        """Check a request to open a transaction."""
        return (
            self._checker.check_caller(work.caller, work.database, None)
            or self._checker.check_target(work.database, work.instance, work.term, primary=True)
            or self._checker.check_position(work.database, work.after)
            or self._check_leaving(work.database, work.instance, True)
        )

    async def check_majority(
        self, tracker: acknowledgement.AcknowledgementTracker | None, deadline: float
    ) -> verdict.Refusal | None:
        """Return a refusal if no majority is reachable that could acknowledge a write."""
        if tracker is None:
            return checks.refuse(verdict.Reason.NO_PRIMARY, "the database has no primary", 0.5)
        if await tracker.majority_reachable(timeout_s=min(1.0, self.remaining_s(deadline))):
            return None
        return checks.refuse(verdict.Reason.NO_MAJORITY, "no majority of the instances is reachable", 0.5)

    async def await_majority(
        self, tracker: acknowledgement.AcknowledgementTracker | None, term: int, reply: endpoint.Reply, deadline: float
    ) -> verdict.Refusal | None:
        """Wait until a majority has received the records up to the position of a reply.

        Reads at the primary wait as well; otherwise a session could hold a position that a promotion discards. Reads at
        a replica need not wait: the replica and the primary have received what it applied, a majority of three.
        """
        if reply.term != term:
            detail = f"the instance replied in term {reply.term} instead of {term}"
            return verdict.Refusal(verdict.Reason.STALE_TERM, verdict.Verdict.MAY_HAVE_RUN, detail)
        if tracker is None or (
            tracker.term == term and await self._wait_and_report_delay(tracker, reply.index, deadline)
        ):
            return None
        detail = "no majority acknowledged the position before the timeout"
        return verdict.Refusal(verdict.Reason.NO_MAJORITY, verdict.Verdict.MAY_HAVE_RUN, detail)

    async def _wait_and_report_delay(
        self, tracker: acknowledgement.AcknowledgementTracker, index: int, deadline: float
    ) -> bool:
        """Wait for a majority; report the primary if it takes long, as it may have lost contact with its replicas."""
        if await tracker.wait(index, timeout_s=min(ACKNOWLEDGEMENT_REPORT_DELAY_S, self.remaining_s(deadline))):
            return True
        group = self._directory.groups.get(tracker.group)
        if group is not None and group.term == tracker.term and self._on_unresponsive_primary is not None:
            self._on_unresponsive_primary(group.name, group.primary, group.term)
        return await tracker.wait(index, timeout_s=self.remaining_s(deadline))

    async def min_time(self, work: messages.Execute, deadline: float) -> float | verdict.Refusal | None:
        """Return the primary's clock time up to which a read with a maximum age needs all records applied.

        Returns None if the read needs no bound, and a refusal if the bound cannot be determined.
        """
        statement = work.statement
        if statement.max_age_s is None:
            return None
        tracker = self.primary_tracker(statement.database, work.instance)
        if tracker is not None:
            # The clock of a primary that was cut off from its group keeps running, so it does not bound the data's age.
            if await tracker.confirm_majority(statement.max_age_s, timeout_s=min(1.0, self.remaining_s(deadline))):
                return None
            return checks.refuse(verdict.Reason.NO_MAJORITY, "no majority confirms the primary in its term", 0.5)
        clock = self._held_instances.clock(statement.database)
        bound = await clock.upper_bound(timeout_s=min(1.0, self.remaining_s(deadline))) if clock else None
        if bound is None:
            return checks.refuse(verdict.Reason.BEHIND, "the clock of the primary could not be read", 0.2)
        return bound - statement.max_age_s

    async def run(
        self,
        scheduler: scheduling.InstanceScheduler,
        organisation: str,
        deadline: float,
        send: Send,
        pinned_connections: list[endpoint.Connection] | None = None,
        *,
        read: bool = False,
    ) -> Outcome:
        """Wait for a slot and a connection, then send; retry only requests that were not run.

        Args:
            scheduler: Scheduler of the instance.
            organisation: Organisation on whose behalf the request runs.
            deadline: Clock reading at which the sender stops waiting.
            send: Repeats the checks and sends the request on a connection.
            pinned_connections: Filled by ``send`` with connections that it pinned; these are not released here.
            read: Whether the request is a read, which is cancelled once the instance stops responding.
        """

        async def run_once() -> Outcome:
            acquired = await scheduler.pool.acquire(timeout_s=self.remaining_s(deadline))
            if acquired.is_err():
                return acquired
            connection = acquired.ok_value
            try:
                return await send(connection)
            finally:
                if not pinned_connections or connection not in pinned_connections:
                    scheduler.pool.release(connection)

        async def run_monitored() -> Outcome:
            outcome = await responsiveness.run_monitored(
                run_once(), scheduler.probe, scheduler.mark_unresponsive, cancel_if_unresponsive=read
            )
            if outcome is not None:
                return outcome
            detail = f"{scheduler.instance.name} does not respond"
            return result.Err(verdict.Refusal(verdict.Reason.UNREACHABLE, verdict.Verdict.MAY_HAVE_RUN, detail))

        if (refusal := scheduler.unresponsive_refusal()) is not None:
            return result.Err(refusal)
        return await self._run_with_retries(scheduler, organisation, deadline, run_monitored, in_transaction=False)

    async def run_in_transaction(
        self,
        scheduler: scheduling.InstanceScheduler,
        organisation: str,
        deadline: float,
        send: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        """Wait for a slot, then send on the pinned connection of a transaction."""
        return await self._run_with_retries(scheduler, organisation, deadline, send, in_transaction=True)

    def report_unresponsive_primary(self, database: str, instance: str, term: int, refusal: verdict.Refusal) -> None:
        """Report the primary of a group to its monitors if the refusal shows that it did not respond."""
        if (
            refusal.reason not in (verdict.Reason.TIMEOUT, verdict.Reason.UNREACHABLE)
            or self._on_unresponsive_primary is None
        ):
            return
        group = self._directory.groups.get(database)
        if group is not None and group.primary == instance and group.term == term:
            self._on_unresponsive_primary(database, instance, term)

    async def _run_with_retries(
        self,
        scheduler: scheduling.InstanceScheduler,
        organisation: str,
        deadline: float,
        attempt: Callable[[], Awaitable[Outcome]],
        *,
        in_transaction: bool,
    ) -> Outcome:
        weight, queue_length, queue_timeout_s = self._queue_limits(scheduler.group, organisation)
        started_at = self._clock.now()
        while True:
            queue_deadline = min(deadline, self._clock.now() + queue_timeout_s)
            refusal = await scheduler.acquire_slot(
                organisation, weight=weight, limit=queue_length, deadline=queue_deadline, in_transaction=in_transaction
            )
            if refusal is not None:
                return result.Err(refusal)
            try:
                if self.remaining_s(deadline) <= 0:
                    return result.Err(
                        checks.refuse(verdict.Reason.QUEUE_TIMEOUT, "the request timed out in the queue", 0.1)
                    )
                outcome = await attempt()
            finally:
                scheduler.release_slot()
            waited_s = self._clock.now() - started_at
            if (
                outcome.is_ok()
                or not _may_retry(outcome.err_value, waited_s)
                or self.remaining_s(deadline) <= MIN_RETRY_TIME_S
            ):
                return outcome
            await asyncio.sleep(BUSY_RETRY_DELAY_S)

    def _queue_limits(self, database: str, organisation: str) -> tuple[float, int, float]:
        service = self._checker.service(database)
        organisation_record = self._directory.configuration.organisations.get(organisation)
        weight = organisation_record.weight if organisation_record else 1.0
        return (weight, service.queue_length, service.queue_timeout_s) if service else (weight, 0, 0.0)

    def _check_leaving(self, database: str, name: str, write: bool) -> verdict.Refusal | None:
        group = self._directory.groups.get(database)
        instance = group.instance(name) if group else None
        if instance is None or not self._checker.is_leaving(instance):
            return None
        scheduler = self._held_instances.find(database, name)
        if write and scheduler is not None and scheduler.is_usable(checks.DRAINING_WRITES_GRACE_S):
            return None
        return checks.refuse(verdict.Reason.LEAVING, f"{name} is being drained", 0.2)


def _may_retry(refusal: verdict.Refusal, waited_s: float) -> bool:
    if refusal.verdict is not verdict.Verdict.NOT_RUN:
        return False
    unreachable = refusal.reason is verdict.Reason.UNREACHABLE and waited_s < UNREACHABLE_RETRY_PERIOD_S
    return unreachable or refusal.reason is verdict.Reason.NO_CONNECTION
