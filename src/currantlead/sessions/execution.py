"""Run callers' statements on instances: choose one, lend a connection, prove freshness, and say what came of it."""

from collections.abc import Awaitable, Callable

from currantlead import errors, logs
from currantlead.sessions import (
    clock,
    fleet,
    freshness,
    measures,
    model,
    operations,
    orders,
    paths,
    placement,
    statements,
)

HOLD_SHARE = 0.24
"""Share of an operation's response-time objective that it may wait for an instance; a refusal later than a quarter of
the objective leaves the caller too little time for another attempt."""
OFFERED_HOLD_SHARE = 0.6
"""The same for a statement that an instance refused as busy: trying again costs the caller less than coming back."""
PATIENCE_SHARE = 0.35
"""Share of a read's time after which a silent instance is given up for another one."""
LEAST_TIMEOUT_S = 0.001
"""A wait whose time is over still ends by itself."""
RETRY_PAUSE_S = 0.02
"""Pause after all candidates refused, unless something changes before."""

_log = logs.part("route")


class Executor:
    """Run statements; one object serves all sessions of the VM."""

    def __init__(
        self,
        known: fleet.Fleet,
        samples: freshness.Freshness,
        path_of: Callable[[model.Instance], paths.Path],
        *,
        domain: str,
        region: str,
        measured: measures.Measures,
        fetch_sample: Callable[[str], Awaitable[None]],
    ):
        self._measures = measured
        self._fetch_sample = fetch_sample
        self._fleet = known
        self._samples = samples
        self._path_of = path_of
        self._domain = domain
        self._region = region

    async def run_single(
        self, context: operations.Context, request_id: str, statement: statements.Statement
    ) -> operations.Outcome:
        """Run a statement outside a transaction."""
        writes = _writes(context, statement)

        def order_for(target: operations.Target, left_s: float) -> orders.Order:
            guarded = not writes and target.after is None
            return _order(
                context,
                request_id,
                statement,
                timeout_s=left_s,
                opening=orders.Opening.LEADS if guarded else orders.Opening.NOTHING,
                after=target.after,
                commits=writes,
                discards=guarded,
            )

        outcome, _ = await self._attempt(
            context, request_id, order_for, writes=writes, may_commit=writes, repeatable=not writes
        )
        return outcome

    async def run_first(
        self, context: operations.Context, request_id: str, statement: statements.Statement, *, read_only: bool
    ) -> tuple[operations.Outcome, operations.Lease | None]:
        """Open a transaction and run its first statement; return the transaction if it is open after that."""

        def order_for(target: operations.Target, left_s: float) -> orders.Order:
            opening = orders.Opening.LEADS if target.after is None else orders.Opening.READS
            return _order(context, request_id, statement, timeout_s=left_s, opening=opening, after=target.after)

        outcome, lease = await self._attempt(
            context,
            request_id,
            order_for,
            writes=not read_only,
            may_commit=False,
            repeatable=statement.kind is not statements.Kind.COMMIT and not _writes(context, statement),
        )
        if lease is not None:
            lease.wrote = _writes(context, statement)
        return outcome, lease

    async def run_inside(
        self, context: operations.Context, lease: operations.Lease, request_id: str, statement: statements.Statement
    ) -> operations.Outcome:
        """Run a statement of an open transaction on its connection.

        Raises:
            errors.LinkLostError: The connection is gone; the instance rolls the transaction back unless it commits.
        """
        instance_id = lease.transaction.instance.id
        lease.wrote = lease.wrote or _writes(context, statement)
        commits = statement.kind is statements.Kind.COMMIT
        order = _order(
            context,
            request_id,
            statement,
            timeout_s=context.route.timeout_s,
            # The commit of a transaction that wrote nothing is answered by an instance that has lost the lead, too.
            leads=lease.leads and not commits,
            commits=commits and lease.wrote,
        )
        try:
            report = await lease.transaction.run(order)
        except errors.LinkLostError as error:
            self._note_lost(instance_id, error, commits=commits and lease.wrote)
            raise
        self._fleet.mark_healthy(instance_id)
        if commits and lease.wrote and report.reply.failure is None:
            self._fleet.note_write(instance_id, answered=True)
        self._samples.record_report(context.route.service, order, report)
        return operations.Outcome.of(report.reply)

    async def _attempt(
        self,
        context: operations.Context,
        request_id: str,
        order_for: Callable[[operations.Target, float], orders.Order],
        *,
        writes: bool,
        may_commit: bool,
        repeatable: bool,
    ) -> tuple[operations.Outcome, operations.Lease | None]:
        """Try instances until one serves, refuses for good, or the time to wait is over.

        Args:
            context: On whose behalf.
            request_id: The caller's id.
            order_for: Returns the order for a target, with the seconds that it may take.
            writes: Whether only the primary will do.
            may_commit: Whether a lost answer leaves open if something was committed.
            repeatable: Whether a statement that failed at an instance may run once more.
        """
        began_at = clock.now()
        deadline = began_at + context.route.timeout_s
        most_s = min(context.route.target_s, context.route.timeout_s)
        hold_until = began_at + most_s * HOLD_SHARE
        if not writes and self._lacks_sample(context):
            await self._fetch_sample(context.route.service)
        tried: set[str] = set()
        last = operations.Outcome.refused(statements.Code.BUSY, "no instance")
        while True:
            now = clock.now()
            target = self._choose(context, writes, tried, now)
            if target is None:
                if now >= hold_until:
                    return last, None
                await self._fleet.wait_for_change(min(RETRY_PAUSE_S, hold_until - now))
                tried.clear()
                continue
            patient = may_commit or target.after is None
            limit_s = context.route.timeout_s * (1.0 if patient else PATIENCE_SHARE)
            order = order_for(target, max(LEAST_TIMEOUT_S, min(deadline - now, limit_s)))
            outcome, lease = await self._try(context, target, order, max(LEAST_TIMEOUT_S, hold_until - now), may_commit)
            self._report(context, request_id, target, outcome, took_s=clock.now() - now)
            failed = outcome.failure is not None and outcome.failure.code is statements.Code.FAILED
            if failed and repeatable:
                # Some instances fail a part of their statements; a second failure is the caller's answer.
                repeatable = False
            elif not self._try_elsewhere(outcome, target):
                return outcome, lease
            if outcome.offered and outcome.failure is not None and outcome.failure.code is statements.Code.BUSY:
                hold_until = began_at + most_s * OFFERED_HOLD_SHARE
            last = outcome
            tried.add(target.known.instance.id)
            if clock.now() >= hold_until:
                return last, None

    async def _try(
        self,
        context: operations.Context,
        target: operations.Target,
        order: orders.Order,
        wait_s: float,
        may_commit: bool,
    ) -> tuple[operations.Outcome, operations.Lease | None]:
        """Run one attempt."""
        instance = target.known.instance
        try:
            report, transaction = await target.path.run(
                context.organisation,
                order,
                priority=context.route.priority,
                wait_s=wait_s,
                check=lambda: context.refuse() or self._refuse(target),
            )
        except errors.OrderRefusedError as error:
            return operations.Outcome((), error.failure, None, may_have_run=False), None
        except errors.LinkRefusedError as error:
            if not error.overloaded:
                self._fleet.suspect(instance.id, str(error))
            return operations.Outcome.refused(statements.Code.BUSY, str(error)), None
        except errors.PoolUnavailableError as error:
            return operations.Outcome.refused(statements.Code.BUSY, str(error)), None
        except errors.LinkLostError as error:
            self._note_lost(instance.id, error, commits=may_commit)
            _log.bind(request=order.request, instance=instance.id, sent=error.sent).info("attempt lost: {}", error)
            return _lost(instance.id, error, may_commit), None
        self._fleet.mark_healthy(instance.id)
        if may_commit and report.reply.failure is None:
            self._fleet.note_write(instance.id, answered=True)
        self._samples.record_report(context.route.service, order, report)
        lease = None if transaction is None else operations.Lease(transaction, leads=target.after is None)
        return operations.Outcome.of(report.reply), lease

    def _note_lost(self, instance_id: str, error: errors.LinkLostError, *, commits: bool) -> None:
        """Take note of what a lost connection shows of the instance."""
        if error.timed_out:
            self._fleet.suspect(instance_id, str(error))
        if commits and error.sent and not isinstance(error, errors.HolderLostError):
            self._fleet.note_write(instance_id, answered=False)

    def _report(
        self,
        context: operations.Context,
        request_id: str,
        target: operations.Target,
        outcome: operations.Outcome,
        *,
        took_s: float,
    ) -> None:
        """Write down one attempt with what decided it."""
        result = "ran" if outcome.failure is None else outcome.failure.code.value
        now = clock.now()
        _log.bind(
            request=request_id,
            database=context.route.database,
            organisation=context.organisation,
            instance=target.known.instance.id,
            proof="lead" if target.after is None else str(target.after),
            sample_age_ms=None if target.sampled_at is None else round((now - target.sampled_at) * 1000),
            entry_revision=target.known.instance.revision,
            attempt_ms=round(took_s * 1000, 1),
            since_arrival_ms=round((now - context.began_at) * 1000, 1),
        ).info(result)
        self._measures.count("attempts", instance=target.known.instance.id, result=result)
        if target.sampled_at is not None:
            margin_s = context.route.max_staleness_s - (context.began_at - target.sampled_at)
            self._measures.record("freshness_margin", margin_s, consistency=context.route.consistency.value)

    def _try_elsewhere(self, outcome: operations.Outcome, target: operations.Target) -> bool:
        """Note what a refusal shows, and tell whether another attempt may succeed."""
        failure, instance = outcome.failure, target.known.instance
        if outcome.unanswered:
            return True
        if failure is None or failure.code not in statements.NOT_RUN:
            return False
        if failure.code is statements.Code.LAGGING and target.after is not None:
            self._fleet.mark_lagging(instance.id, target.after)
        elif failure.code is statements.Code.READ_ONLY:
            self._fleet.mark_not_primary(instance.id)
        return True

    def _lacks_sample(self, context: operations.Context) -> bool:
        since = context.began_at - context.route.max_staleness_s
        return (
            context.route.consistency is not model.Consistency.PRIMARY
            and self._samples.oldest_since(context.route.service, since) is None
        )

    def _choose(
        self, context: operations.Context, writes: bool, tried: set[str], now: float
    ) -> operations.Target | None:
        """Return where the next attempt goes, or None if no instance is left."""
        service = context.route.service
        if not writes and context.route.consistency is not model.Consistency.PRIMARY:
            sample = self._samples.oldest_since(service, context.began_at - context.route.max_staleness_s)
            if sample is not None:
                after = max(sample.position, context.own_position or sample.position)
                return self._choose_reader(context, after, sample.asked_at, tried, now)
        primary = self._fleet.primary(service)
        if primary is None or primary.instance.id in tried or not self._fleet.accepts_primary_work(primary):
            return None
        if not self._allowed(context, primary):
            return None
        return operations.Target(primary, self._path_of(primary.instance), None)

    def _choose_reader(
        self, context: operations.Context, after: model.Position, sampled_at: float, tried: set[str], now: float
    ) -> operations.Target | None:
        primary = self._fleet.primary(context.route.service)
        usable = {}
        candidates = []
        for known in self._fleet.instances_of(context.route.service):
            if known.instance.id in tried or not self._takes(known) or not self._allowed(context, known):
                continue
            path = self._path_of(known.instance)
            behind = known.lagging is not None and known.lagging[0] <= after and now < known.lagging[1]
            usable[known.instance.id] = operations.Target(known, path, after, sampled_at)
            candidates.append(
                placement.Candidate(
                    id=known.instance.id,
                    distance=placement.distance(
                        self._domain, self._region, known.instance.domain, self._fleet.region(known)
                    ),
                    primary=known is primary,
                    suspect=now < known.suspect_until,
                    behind=behind,
                    saturated=path.saturated,
                    free_connection=path.has_idle(context.organisation),
                    waiting=path.waiting,
                )
            )
        ordered = placement.order_readers(candidates)
        return usable[ordered[0].id] if ordered else None

    def _refuse(self, target: operations.Target) -> statements.Failure | None:
        """Say why an instance takes no statement after the wait for a connection, or None."""
        known = self._fleet.get(target.known.instance.id)
        if known is not None and self._takes(known):
            return None
        return statements.Failure(statements.Code.BUSY, f"{target.known.instance.id} takes no new work")

    def _takes(self, known: fleet.TrackedInstance) -> bool:
        leads = self._fleet.primary(known.instance.service) is known
        return self._fleet.accepts_primary_work(known) if leads else self._fleet.takes_reads(known)

    def _allowed(self, context: operations.Context, known: fleet.TrackedInstance) -> bool:
        return not context.regions or self._fleet.region(known) in context.regions


def _order(
    context: operations.Context,
    request_id: str,
    statement: statements.Statement,
    *,
    timeout_s: float,
    opening: orders.Opening = orders.Opening.NOTHING,
    after: model.Position | None = None,
    leads: bool = False,
    commits: bool = False,
    discards: bool = False,
) -> orders.Order:
    prepared = statement.kind is statements.Kind.EXECUTE
    return orders.Order(
        request=request_id,
        text=statement.argument if prepared else statement.text,
        values=context.values,
        timeout_s=timeout_s,
        shape=context.prepared[statement.name] if prepared else None,
        opening=opening,
        after=after,
        leads=leads,
        commits=commits,
        discards=discards,
    )


def _lost(instance_id: str, error: errors.LinkLostError, may_commit: bool) -> operations.Outcome:
    """Return what a lost connection means for the statement."""
    if may_commit and error.sent:
        failure = statements.Failure(statements.Code.IN_DOUBT, f"{instance_id} did not answer")
        return operations.Outcome((), failure)
    # A read may have run before its answer was lost, so it counts against the rate.
    code = statements.Code.TIMEOUT if error.sent else statements.Code.BUSY
    failure = statements.Failure(code, f"{instance_id} did not answer")
    return operations.Outcome((), failure, may_have_run=error.sent, unanswered=True)


def _writes(context: operations.Context, statement: statements.Statement) -> bool:
    if statement.kind is statements.Kind.EXECUTE:
        return context.prepared[statement.name][0]
    return statement.writes
