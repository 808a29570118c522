"""Run callers' statements on instances: choose one, lend a connection, prove freshness, and say what came of it."""

from collections.abc import Awaitable, Callable

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import clock, fleet, freshness, link, measures, model, operations, placement, pool, statements

HOLD_SHARE = 0.24
"""Share of an operation's response-time objective that it may wait for an instance; a refusal later than a quarter of
the objective leaves the caller too little time for another attempt."""
PATIENCE_SHARE = 0.35
"""Share of a read's time after which a silent instance is given up for another one."""
ROLLBACK_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.02
"""Pause after all candidates refused, unless something changes before."""

Use = Callable[[operations.Target, link.Conversation], Awaitable[operations.Outcome]]
"""Runs one attempt on a lent connection."""

_log = logs.part("route")
_codec = lines.InstanceLines()


class Executor:
    """Run statements; one object serves all sessions of the VM."""

    def __init__(
        self,
        known: fleet.Fleet,
        samples: freshness.Freshness,
        pool_of: Callable[[model.Instance], pool.Pool],
        *,
        domain: str,
        region: str,
        measured: measures.Measures,
    ):
        self._measures = measured
        self._fleet = known
        self._samples = samples
        self._pool_of = pool_of
        self._domain = domain
        self._region = region

    async def run_single(
        self, context: operations.Context, request_id: str, statement: statements.Statement
    ) -> operations.Outcome:
        """Run a statement outside a transaction."""
        writes = _writes(context, statement)
        deadline = clock.now() + context.route.timeout_s

        async def use(target: operations.Target, lent: link.Conversation) -> operations.Outcome:
            if writes or target.after is not None:
                return await self._run_plain(context, request_id, statement, target, lent, deadline)
            return await self._run_guarded(context, request_id, statement, target, lent, deadline)

        return await self._attempt(context, request_id, writes=writes, deadline=deadline, use=use)

    async def begin(
        self, context: operations.Context, request_id: str, *, read_only: bool
    ) -> tuple[operations.Lease | None, statements.Failure | None]:
        """Open a transaction on a connection; return it, or the reason why there is none."""
        deadline = clock.now() + context.route.timeout_s
        leases: list[operations.Lease] = []

        async def use(target: operations.Target, lent: link.Conversation) -> operations.Outcome:
            await lent.synchronise(context.values, timeout_s=_left(deadline))
            reply = await self._begin(lent, target, deadline)
            if reply.failure is None:
                leases.append(operations.Lease(lent, target.pool, leads=target.after is None))
            return operations.Outcome.of(reply)

        outcome = await self._attempt(context, request_id, writes=not read_only, deadline=deadline, use=use)
        return (leases[0], None) if leases else (None, outcome.failure)

    async def run_inside(
        self, context: operations.Context, lease: operations.Lease, request_id: str, statement: statements.Statement
    ) -> operations.Outcome:
        """Run a statement of an open transaction on its connection.

        Raises:
            errors.LinkLostError: The connection is gone; the instance rolls the transaction back unless it commits.
        """
        deadline = clock.now() + context.route.timeout_s
        lent = lease.link
        await lent.synchronise(context.values, timeout_s=_left(deadline))
        text = await self._text(context, statement, lent, deadline)
        lease.wrote = lease.wrote or _writes(context, statement)
        commits = statement.kind is statements.Kind.COMMIT
        try:
            (reply,) = await lent.exchange(_codec.encode_statement(request_id, text), timeout_s=_left(deadline))
        except errors.LinkLostError as error:
            if error.timed_out:
                self._fleet.suspect(lent.instance.id, str(error))
            if commits and lease.wrote:
                self._fleet.note_write(lent.instance.id, answered=False)
            raise
        self._fleet.trust(lent.instance.id)
        if commits and lease.wrote and reply.failure is None:
            self._fleet.note_write(lent.instance.id, answered=True)
        # Only the commit of a transaction that wrote nothing is answered by an instance that has lost the lead.
        self._record(context, reply, proves_lead=lease.leads and (lease.wrote or not commits))
        return operations.Outcome.of(reply)

    async def roll_back(self, lease: operations.Lease) -> None:
        """End a transaction without effect and give its connection back."""
        lent = lease.link
        if lent.open and lent.state is not statements.TransactionState.IDLE:
            try:
                await lent.exchange(_codec.encode_rollback(), timeout_s=ROLLBACK_TIMEOUT_S)
            except errors.LinkLostError as error:
                _log.bind(instance=lent.instance.id).info("rollback unanswered, connection dropped: {}", error)
        lease.pool.release(lent)

    async def _attempt(
        self, context: operations.Context, request_id: str, *, writes: bool, deadline: float, use: Use
    ) -> operations.Outcome:
        """Try instances until one serves, refuses for good, or the time to wait is over."""
        hold_until = clock.now() + min(context.route.target_s, context.route.timeout_s) * HOLD_SHARE
        tried: set[str] = set()
        last = operations.Outcome.refused(statements.Code.BUSY, "no instance")
        while True:
            now = clock.now()
            target = self._choose(context, writes, tried, now)
            if target is None:
                if now >= hold_until:
                    return last
                await self._fleet.wait_for_change(min(RETRY_PAUSE_S, hold_until - now))
                tried.clear()
                continue
            instance = target.known.instance
            try:
                lent = await target.pool.acquire(
                    context.organisation,
                    context.values,
                    priority=context.route.priority,
                    timeout_s=max(0.001, hold_until - now),
                )
            except errors.PoolUnavailableError as error:
                last = operations.Outcome.refused(statements.Code.BUSY, str(error))
                tried.add(instance.id)
                continue
            except errors.LinkRefusedError as error:
                last = operations.Outcome.refused(statements.Code.BUSY, str(error))
                tried.add(instance.id)
                continue
            outcome = await self._use(context, request_id, target, lent, use, writes, deadline)
            self._report(context, request_id, target, outcome, lent_after_s=clock.now() - now)
            if outcome is None or self._try_elsewhere(outcome, target):
                # A read may have run before its answer was lost, so it counts against the rate.
                failure = statements.Failure(statements.Code.TIMEOUT, f"{instance.id} did not answer")
                last = outcome or operations.Outcome((), failure)
                tried.add(instance.id)
                if clock.now() < hold_until:
                    continue
                return last
            return outcome

    async def _use(
        self,
        context: operations.Context,
        request_id: str,
        target: operations.Target,
        lent: link.Conversation,
        use: Use,
        writes: bool,
        deadline: float,
    ) -> operations.Outcome | None:
        """Run one attempt; None means that nothing came back and that a further attempt is harmless."""
        instance = target.known.instance
        refusal = context.refuse()
        if refusal is not None:
            target.pool.release(lent)
            return operations.Outcome((), refusal, None, may_have_run=False)
        if not self._may_use(target):
            target.pool.release(lent)
            return None
        try:
            outcome = await use(target, lent)
        except errors.LinkLostError as error:
            target.pool.discard(lent)
            _log.bind(request=request_id, instance=instance.id, sent=error.sent).info("attempt lost: {}", error)
            if error.timed_out:
                self._fleet.suspect(instance.id, str(error))
            if writes and error.sent:
                self._fleet.note_write(instance.id, answered=False)
                return operations.Outcome(
                    (), statements.Failure(statements.Code.IN_DOUBT, f"{instance.id} did not answer")
                )
            return None
        except BaseException:
            target.pool.discard(lent)
            raise
        if lent.state is statements.TransactionState.IDLE:
            target.pool.release(lent)
        elif outcome.failure is not None:
            await self.roll_back(operations.Lease(lent, target.pool, leads=False))
        self._fleet.trust(instance.id)
        # The start of a transaction is answered without any replica.
        if writes and outcome.failure is None and lent.state is statements.TransactionState.IDLE:
            self._fleet.note_write(instance.id, answered=True)
        return outcome

    def _report(
        self,
        context: operations.Context,
        request_id: str,
        target: operations.Target,
        outcome: operations.Outcome | None,
        *,
        lent_after_s: float,
    ) -> None:
        """Write down one attempt with what decided it."""
        result = _name(outcome)
        now = clock.now()
        _log.bind(
            request=request_id,
            database=context.route.database,
            organisation=context.organisation,
            instance=target.known.instance.id,
            proof="lead" if target.after is None else str(target.after),
            sample_age_ms=None if target.sampled_at is None else round((now - target.sampled_at) * 1000),
            entry_revision=target.known.instance.revision,
            attempt_ms=round(lent_after_s * 1000, 1),
            since_arrival_ms=round((now - context.began_at) * 1000, 1),
        ).info(result)
        self._measures.count("attempts", instance=target.known.instance.id, result=result)
        if target.sampled_at is not None:
            margin_s = context.route.max_staleness_s - (context.began_at - target.sampled_at)
            self._measures.record("freshness_margin", margin_s, consistency=context.route.consistency.value)

    def _try_elsewhere(self, outcome: operations.Outcome, target: operations.Target) -> bool:
        """Note what a refusal shows, and tell whether another attempt may succeed."""
        failure, instance = outcome.failure, target.known.instance
        if failure is None or failure.code not in statements.NOT_RUN:
            return False
        if failure.code is statements.Code.LAGGING and target.after is not None:
            self._fleet.behind(instance.id, target.after)
        elif failure.code is statements.Code.READ_ONLY:
            self._fleet.depose(instance.id)
        return True

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
        if primary is None or primary.instance.id in tried or not self._fleet.takes_primary_work(primary):
            return None
        if not self._allowed(context, primary):
            return None
        return operations.Target(primary, self._pool_of(primary.instance), None)

    def _choose_reader(
        self, context: operations.Context, after: model.Position, sampled_at: float, tried: set[str], now: float
    ) -> operations.Target | None:
        primary = self._fleet.primary(context.route.service)
        usable = {}
        candidates = []
        for known in self._fleet.of_service(context.route.service):
            is_primary = known is primary
            takes = self._fleet.takes_primary_work(known) if is_primary else self._fleet.takes_reads(known)
            if known.instance.id in tried or not takes or not self._allowed(context, known):
                continue
            connections = self._pool_of(known.instance)
            behind = known.behind is not None and known.behind[0] <= after and now < known.behind[1]
            usable[known.instance.id] = operations.Target(known, connections, after, sampled_at)
            candidates.append(
                placement.Candidate(
                    id=known.instance.id,
                    distance=placement.distance(
                        self._domain, self._region, known.instance.domain, self._fleet.region(known)
                    ),
                    primary=is_primary,
                    suspect=now < known.suspect_until,
                    behind=behind,
                    saturated=connections.saturated,
                    free_connection=connections.has_idle(context.organisation),
                    waiting=connections.waiting,
                )
            )
        ordered = placement.order_readers(candidates)
        return usable[ordered[0].id] if ordered else None

    def _may_use(self, target: operations.Target) -> bool:
        """Tell whether an instance still takes the statement after the wait for a connection."""
        known = self._fleet.get(target.known.instance.id)
        if known is None:
            return False
        leads = self._fleet.primary(known.instance.service) is known
        return self._fleet.takes_primary_work(known) if leads else self._fleet.takes_reads(known)

    def _allowed(self, context: operations.Context, known: fleet.Known) -> bool:
        return not context.regions or self._fleet.region(known) in context.regions

    async def _run_plain(
        self,
        context: operations.Context,
        request_id: str,
        statement: statements.Statement,
        target: operations.Target,
        lent: link.Conversation,
        deadline: float,
    ) -> operations.Outcome:
        await lent.synchronise(context.values, timeout_s=_left(deadline))
        text = await self._text(context, statement, lent, deadline)
        writes = _writes(context, statement)
        limit = _left(deadline) if writes else min(_left(deadline), context.route.timeout_s * PATIENCE_SHARE)
        (reply,) = await lent.exchange(_codec.encode_statement(request_id, text, target.after), timeout_s=limit)
        self._record(context, reply, proves_lead=writes)
        self._forget_unknown(lent, reply)
        return operations.Outcome.of(reply)

    async def _run_guarded(
        self,
        context: operations.Context,
        request_id: str,
        statement: statements.Statement,
        target: operations.Target,
        lent: link.Conversation,
        deadline: float,
    ) -> operations.Outcome:
        """Run a read inside the proxy's own transaction, which only an instance that leads accepts."""
        await lent.synchronise(context.values, timeout_s=_left(deadline))
        text = await self._text(context, statement, lent, deadline)
        begun = await self._begin(lent, target, deadline)
        if begun.failure is not None:
            return operations.Outcome.of(begun)
        self._record(context, begun, proves_lead=True)
        messages = _codec.encode_statement(request_id, text) + _codec.encode_rollback()
        reply, _ = await lent.exchange(messages, count=2, timeout_s=_left(deadline))
        self._forget_unknown(lent, reply)
        return operations.Outcome.of(reply)

    async def _begin(self, lent: link.Conversation, target: operations.Target, deadline: float) -> statements.Reply:
        message = _codec.encode_begin(read_only=target.after is not None, after=target.after)
        (reply,) = await lent.exchange(message, timeout_s=_left(deadline))
        return reply

    async def _text(
        self, context: operations.Context, statement: statements.Statement, lent: link.Conversation, deadline: float
    ) -> str:
        if statement.kind is not statements.Kind.EXECUTE:
            return statement.text
        writes, shape = context.prepared[statement.name]
        name = await lent.prepare(writes, shape, timeout_s=_left(deadline))
        return _codec.execute_text(name, statement.argument)

    def _forget_unknown(self, lent: link.Conversation, reply: statements.Reply) -> None:
        if reply.failure is not None and reply.failure.code is statements.Code.UNKNOWN_STATEMENT:
            lent.forget_prepared()

    def _record(self, context: operations.Context, reply: statements.Reply, *, proves_lead: bool) -> None:
        if proves_lead and reply.failure is None and reply.position is not None:
            self._samples.record(context.route.service, reply.asked_at, reply.position)


def _name(outcome: operations.Outcome | None) -> str:
    if outcome is None:
        return "unanswered"
    return "ran" if outcome.failure is None else outcome.failure.code.value


def _writes(context: operations.Context, statement: statements.Statement) -> bool:
    if statement.kind is statements.Kind.EXECUTE:
        return context.prepared[statement.name][0]
    return statement.writes


def _left(deadline: float) -> float:
    return max(0.001, deadline - clock.now())
