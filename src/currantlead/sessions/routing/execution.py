"""Execution of callers' statements: choice of an instance, proof of freshness, retries and the outcome."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions import clock, metric_registry, model, refusals, statements
from currantlead.sessions.decisions import acknowledgements, admission, start_pacing, waiting
from currantlead.sessions.instances import fleet, orders
from currantlead.sessions.routing import composition, freshness, operations, targets

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import answer_health

READ_ATTEMPT_SHARE = 0.35
"""Share of the route's time limit after which a read is retried elsewhere if the instance does not answer."""
MIN_TIMEOUT_S = 0.001
"""Lower limit of all time-outs, so that an attempt made after its deadline still ends by timing out."""
RETRY_PAUSE_S = 0.02
"""Pause after all candidates have refused; it ends early if the state of an instance changes."""

_log = logs.part("route")


class Executor:
    """Executes the statements of all sessions of this VM.

    Args:
        instances: The known instances.
        samples: Samples of the primaries' positions.
        selector: Chooses the instance for each attempt.
        metrics: Metrics of this VM.
        fetch_sample: Fetches a sample for a service that has none.
        health: Health of the instances as their answers show it, or None if they are not judged by it.
        retries: Retry delays of refusals; also whether statements are refused on arrival.
        start_phase: Pace of the work after the start of this VM, or None if it is not paced.
        acknowledged: Records the commits that succeeded.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        samples: freshness.PositionSamples,
        selector: targets.TargetSelector,
        *,
        metrics: metric_registry.MetricRegistry,
        fetch_sample: Callable[[str], Awaitable[None]],
        retries: refusals.Refusals,
        health: "answer_health.AnswerHealth | None" = None,
        start_phase: start_pacing.StartPhase | None = None,
        acknowledged: acknowledgements.AcknowledgedCommits | None = None,
    ):
        self._acknowledged = acknowledged or acknowledgements.AcknowledgedCommits()
        self._refusals = retries
        self._health = health
        self._start_phase = start_phase
        self._sampling_until: dict[str, float] = {}
        self._measures = metrics
        self._fetch_sample = fetch_sample
        self._fleet = instances
        self._samples = samples
        self._targets = selector

    async def run_autocommit(
        self, context: operations.Context, request_id: str, statement: statements.Statement
    ) -> operations.Outcome:
        """Run a statement outside of a transaction."""
        writes = composition.is_write(context, statement)

        def order_for(target: operations.Target, remaining_s: float) -> orders.Order:
            in_transaction = not writes and target.after is None
            return composition.build_order(
                context,
                request_id,
                statement,
                timeout_s=remaining_s,
                begin_mode=orders.BeginMode.PRIMARY_ONLY if in_transaction else orders.BeginMode.NONE,
                after=target.after,
                commits=writes,
                rolls_back=in_transaction,
            )

        outcome, _ = await self._run_with_retries(
            context, request_id, order_for, writes=writes, may_commit=writes, repeatable=not writes
        )
        return composition.add_retry_delay(outcome, self._start_phase, clock.now())

    async def open_transaction(
        self, context: operations.Context, request_id: str, statement: statements.Statement, *, read_only: bool
    ) -> tuple[operations.Outcome, operations.Lease | None]:
        """Open a transaction and run its first statement.

        Returns:
            The outcome, and the transaction if it is still open.
        """

        def order_for(target: operations.Target, remaining_s: float) -> orders.Order:
            begin_mode = orders.BeginMode.PRIMARY_ONLY if target.after is None else orders.BeginMode.READ_ONLY
            return composition.build_order(
                context, request_id, statement, timeout_s=remaining_s, begin_mode=begin_mode, after=target.after
            )

        outcome, lease = await self._run_with_retries(
            context,
            request_id,
            order_for,
            writes=not read_only,
            may_commit=False,
            repeatable=statement.kind is not statements.Kind.COMMIT and not composition.is_write(context, statement),
        )
        if lease is not None:
            lease.wrote = composition.is_write(context, statement)
        return composition.add_retry_delay(outcome, self._start_phase, clock.now()), lease

    async def run_in_transaction(
        self, context: operations.Context, lease: operations.Lease, request_id: str, statement: statements.Statement
    ) -> operations.Outcome:
        """Run a statement of an open transaction on its connection.

        Raises:
            errors.LinkLostError: The connection was lost; the instance rolls back unless the statement was a commit.
        """
        instance_id = lease.transaction.instance.id
        lease.wrote = lease.wrote or composition.is_write(context, statement)
        commits = statement.kind is statements.Kind.COMMIT
        order = composition.build_order(
            context,
            request_id,
            statement,
            timeout_s=context.route.timeout_s,
            # An instance that is no longer primary also answers the commit of a transaction that wrote nothing.
            needs_primary=lease.needs_primary and not commits,
            commits=commits and lease.wrote,
        )
        known_before, sent_at = self._latest_position(context), clock.now()
        if order.commits and self._fleet.is_replaced(instance_id):
            raise errors.LinkLostError(f"{instance_id} is being replaced as the primary", sent=False)
        try:
            report = await lease.transaction.run(order)
        except errors.LinkLostError as error:
            self._record_lost_link(instance_id, error, commits=commits and lease.wrote)
            raise
        if self._health is not None:
            self._health.record_report(instance_id, order, report)
        self._fleet.mark_healthy(instance_id)
        if commits and lease.wrote and report.reply.failure is None:
            self._fleet.record_write(instance_id, answered=True)
            self._acknowledged.record(
                context.route.service, report.reply.position, known_before=known_before, sent_at=sent_at
            )
        self._samples.record_report(context.route.service, order, report)
        return operations.Outcome.of(report.reply)

    async def _run_with_retries(
        self,
        context: operations.Context,
        request_id: str,
        order_for: Callable[[operations.Target, float], orders.Order],
        *,
        writes: bool,
        may_commit: bool,
        repeatable: bool,
    ) -> tuple[operations.Outcome, operations.Lease | None]:
        """Try instances until one gives a final answer or the time to wait is over.

        Args:
            context: The caller's session and route.
            request_id: The caller's id of the statement.
            order_for: Returns the order for a target and the seconds that it may take.
            writes: Whether the statement needs the primary.
            may_commit: Whether a lost answer leaves it unknown whether something was committed.
            repeatable: Whether a statement that failed at an instance may be run once more.

        Returns:
            The last outcome, and the transaction if one is open.
        """
        began_at = clock.now()
        deadline = began_at + context.route.timeout_s
        objective_s = min(context.route.target_latency_s, context.route.timeout_s)
        wait_share = waiting.WAIT_SHARE if self._start_phase is None else self._start_phase.wait_share(began_at)
        wait = waiting.Wait(began_at, objective_s, context.route.timeout_s, wait_share)
        awaited_failover = False
        if not writes and self._targets.lacks_sample(context):
            await self._fetch_sample(context.route.service)
            # The other half of the wait is left for a connection.
            await self._wait_for_first_sample(context, (began_at + wait.until) / 2)
        tried_ids: set[str] = set()
        queues = operations.QueueRefusals()
        last_outcome = nothing_tried = operations.Outcome.refused(statements.Code.BUSY, "no instance available")
        while True:
            now = clock.now()
            target = self._targets.choose(context, writes, tried_ids, now, queues.replica_waits)
            if target is None:
                awaits_failover = self._targets.awaits_failover(context, writes)
                if not awaits_failover and queues.refused_ids and tried_ids <= queues.refused_ids:
                    if queues.offer_late(tried_ids):
                        continue
                    return queues.complete(last_outcome), None
                wait_until = self._failover_until(context, wait, now) if awaits_failover else wait.until
                if now >= wait_until and (awaited_failover or not awaits_failover or not self._refusals.enabled):
                    unsent = awaits_failover and last_outcome is nothing_tried
                    return (self._failover_refusal(context) if unsent else queues.complete(last_outcome)), None
                if awaits_failover and not awaited_failover:
                    # An answer of the primary ends the wait if the suspicion is wrong.
                    awaited_failover = True
                    await self._fetch_sample(context.route.service)
                    continue
                await self._fleet.wait_for_change(min(RETRY_PAUSE_S, wait_until - now))
                tried_ids.clear()
                continue
            if target.wait_s:
                queues.replica_waits += 1
                await asyncio.sleep(target.wait_s)
                now = clock.now()
                wait.resume(now)
            if awaited_failover:
                wait.resume(now)
                self._refusals.record_primary(context.route.service)
            use_full_limit = may_commit or target.after is None
            attempt_s = context.route.timeout_s * (1.0 if use_full_limit else READ_ATTEMPT_SHARE)
            order = order_for(target, max(MIN_TIMEOUT_S, min(deadline - now, attempt_s)))
            limits = self._wait_limits(context, wait, target, queues, now) if self._refusals.enabled else None
            outcome, lease = await self._run_attempt(
                context, target, order, max(MIN_TIMEOUT_S, wait.until - now), may_commit, limits
            )
            self._record_attempt(context, request_id, target, outcome, duration_s=clock.now() - now)
            failed = outcome.failure is not None and outcome.failure.code is statements.Code.FAILED
            if failed and repeatable:
                # Some instances fail some of their statements; a second failure is returned to the caller.
                repeatable = False
            elif not self._should_retry(outcome, target):
                return outcome, lease
            if outcome.from_instance and outcome.failure is not None and outcome.failure.code is statements.Code.BUSY:
                wait.extend_for_busy_instance()
            last_outcome = outcome
            tried_ids.add(target.tracked.instance.id)
            queues.record(target.tracked.instance.id, outcome)
            until = wait.until if outcome.retry_after_s is None else wait.objective_until
            if clock.now() >= until and not self._targets.awaits_failover(context, writes):
                return queues.complete(last_outcome), None

    def _wait_limits(
        self,
        context: operations.Context,
        wait: waiting.Wait,
        target: operations.Target,
        queues: operations.QueueRefusals,
        now: float,
    ) -> admission.WaitLimits:
        """Return the limits by which a queue admits a statement or refuses it on arrival."""
        limits = admission.WaitLimits.for_statement(
            objective_s=context.route.target_latency_s,
            timeout_s=context.route.timeout_s,
            usual_s=wait.until - now,
            operation_s=now - (context.refused_since or context.began_at),
            statement_s=now - wait.began_at,
            returning=context.refused_since is not None,
        )
        if target.after is None:
            return limits
        # Another instance may serve a read in time, so it is served late only after all have refused it.
        limits = limits.divide(len(self._fleet.instances_of(context.route.service)))
        return limits if queues.serves_late else limits.in_time_only()

    def _failover_until(self, context: operations.Context, wait: waiting.Wait, now: float) -> float:
        """Return the clock reading until which a statement may wait for a new primary."""
        if not self._refusals.enabled:
            return wait.failover_until()
        service = context.route.service
        return self._refusals.failover_until(service, self._targets.failing_s(service), wait, now)

    def _failover_refusal(self, context: operations.Context) -> operations.Outcome:
        """Return the outcome of an unsent statement for whose new primary it is not worth waiting."""
        service = context.route.service
        if not self._refusals.enabled:
            detail = f"{service} has no primary, retry-after-ms={waiting.FAILOVER_RETRY_MS}"
            return operations.Outcome.refused(statements.Code.BUSY, detail)
        failure = self._refusals.refuse_without_primary(
            service, self._targets.failing_s(service), context.route.timeout_s * admission.MAX_RETURN_LIMITS
        )
        return operations.Outcome((), failure, None, may_have_run=False)

    async def _wait_for_first_sample(self, context: operations.Context, until: float) -> None:
        """Let one read at a time run at the primary for lack of a sample in the start phase; the others wait for it.

        The answer of that read is a sample, with which the others may run at replicas.
        """
        service = context.route.service
        while (
            self._start_phase is not None
            and self._start_phase.is_active(clock.now())
            and self._targets.lacks_sample(context)
        ):
            now = clock.now()
            if now >= self._sampling_until.get(service, 0.0):
                self._sampling_until[service] = now + start_pacing.FIRST_SAMPLE_WAIT_S
                return
            if now >= until:
                return
            await asyncio.sleep(min(RETRY_PAUSE_S, until - now))

    async def _run_attempt(
        self,
        context: operations.Context,
        target: operations.Target,
        order: orders.Order,
        wait_s: float,
        may_commit: bool,
        limits: admission.WaitLimits | None,
    ) -> tuple[operations.Outcome, operations.Lease | None]:
        """Make one attempt at a target."""
        instance = target.tracked.instance
        known_before, sent_at = self._latest_position(context), clock.now()
        try:
            report, transaction = await target.path.run(
                context.organisation,
                order,
                priority=target.priority(context),
                wait_s=wait_s,
                check=lambda: context.check() or self._targets.check(target),
                limits=limits,
            )
        except errors.OrderRefusedError as error:
            return operations.Outcome((), error.failure, None, may_have_run=False), None
        except errors.LinkRefusedError as error:
            if self._health is not None:
                self._health.record_failure(instance.id, error)
            if not error.overloaded:
                self._fleet.mark_suspect(instance.id, str(error))
            return operations.Outcome.refused(statements.Code.BUSY, str(error)), None
        except errors.PoolUnavailableError as error:
            if error.suspect:
                self._fleet.mark_suspect(instance.id, str(error), reported=True)
            return operations.Outcome.busy(error), None
        except errors.LinkLostError as error:
            self._record_lost_link(instance.id, error, commits=may_commit)
            _log.bind(request=order.request_id, instance=instance.id, sent=error.sent).info(
                "connection lost during an attempt: {}", error
            )
            return composition.lost_outcome(instance.id, error, may_commit), None
        if self._health is not None:
            self._health.record_report(instance.id, order, report)
        self._targets.record_traffic(target, order, report)
        self._fleet.mark_healthy(instance.id)
        if may_commit and report.reply.failure is None:
            self._fleet.record_write(instance.id, answered=True)
            self._acknowledged.record(
                context.route.service, report.reply.position, known_before=known_before, sent_at=sent_at
            )
        self._samples.record_report(context.route.service, order, report)
        self._targets.record_position(instance, report.reply.position)
        lease = None if transaction is None else operations.Lease(transaction, needs_primary=target.after is None)
        return operations.Outcome.of(report.reply), lease

    def _latest_position(self, context: operations.Context) -> model.Position | None:
        """Return a position that the primary's log is known to have reached, or None."""
        sample = self._samples.latest(context.route.service)
        return None if sample is None else sample.position

    def _record_lost_link(self, instance_id: str, error: errors.LinkLostError, *, commits: bool) -> None:
        """Record what a lost connection reveals about the instance."""
        if self._health is not None:
            self._health.record_failure(instance_id, error)
        if error.timed_out:
            self._fleet.mark_suspect(instance_id, str(error))
        if commits and error.sent and not isinstance(error, errors.HolderLostError):
            self._fleet.record_write(instance_id, answered=False)

    def _record_attempt(
        self,
        context: operations.Context,
        request_id: str,
        target: operations.Target,
        outcome: operations.Outcome,
        *,
        duration_s: float,
    ) -> None:
        """Log and count one attempt with the facts that it was based on."""
        result = "ran" if outcome.failure is None else outcome.failure.code.value
        now = clock.now()
        placed = target.placed
        placement_fields = {}
        if placed is not None:
            expected_ms = None if placed.completion_s is None else round(placed.completion_s * 1000, 1)
            placement_fields = {"distance": placed.distance, "placement": placed.reason, "expected_ms": expected_ms}
            self._measures.count("placements", distance=placed.distance, reason=placed.reason)
        _log.bind(
            request=request_id,
            database=context.route.database,
            organisation=context.organisation,
            instance=target.tracked.instance.id,
            proof="lead" if target.after is None else str(target.after),
            sample_age_ms=None if target.sampled_at is None else round((now - target.sampled_at) * 1000),
            entry_revision=objects.format_revision(target.tracked.instance.revision),
            attempt_ms=round(duration_s * 1000, 1),
            since_arrival_ms=round((now - context.began_at) * 1000, 1),
            **placement_fields,
        ).info(result)
        self._measures.count("attempts", instance=target.tracked.instance.id, result=result)
        if target.sampled_at is not None:
            margin_s = context.route.max_staleness_s - (context.began_at - target.sampled_at)
            self._measures.record("freshness_margin", margin_s, consistency=context.route.consistency.value)

    def _should_retry(self, outcome: operations.Outcome, target: operations.Target) -> bool:
        """Record what a refusal reveals about the instance; return whether another attempt may succeed."""
        failure, instance = outcome.failure, target.tracked.instance
        if outcome.unanswered:
            return True
        if failure is None or failure.code not in statements.NOT_RUN or failure.cause == statements.NO_CONTACT:
            return False
        if failure.code is statements.Code.LAGGING and target.after is not None:
            self._fleet.mark_lagging(instance.id, target.after)
        elif failure.code is statements.Code.READ_ONLY:
            self._fleet.mark_not_primary(instance.id)
        return True
