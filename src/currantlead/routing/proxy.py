"""Serve callers' requests: identity, admission, routing, execution and fallback."""

import dataclasses
from collections.abc import Callable

import result

from currantlead import interfaces, logs, messages, metrics, tokens, verdict
from currantlead.control import drain, model
from currantlead.identity import keys
from currantlead.routing import dispatch, freshness, router, transactions

_log = logs.part("proxy")

PRIMARY_WAIT_S = 1.5
"""A write waits this long for a promotion to end: a planned change takes under 1 s and must cut no request."""
RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Attempts:
    """Bound the time of one request."""

    deadline: float
    primary_deadline: float


class Proxy:
    """Implement ``interfaces.Proxy`` on the core loop."""

    def __init__(
        self,
        *,
        directory: interfaces.Directory,
        gate: interfaces.Gate,
        dispatcher: dispatch.Dispatcher,
        positions: freshness.Freshness,
        domain: str,
        clock: Callable[[], float],
        request_timeout_s: float,
        max_configuration_age_s: float = 0.0,
        configuration_age: Callable[[], float] = lambda: 0.0,
    ):
        """Create a proxy.

        Args:
            directory: Shared state known at this VM.
            gate: Admission within the organisations' rates.
            dispatcher: Sends work to a holder.
            positions: Estimate of the positions of the instances.
            domain: Failure domain of this VM.
            clock: Monotonic clock in seconds.
            request_timeout_s: Longest time for one request.
            max_configuration_age_s: Age of the configuration beyond which keyed requests are refused; 0 is off.
            configuration_age: Seconds since the configuration was last confirmed.
        """
        self._directory = directory
        self._gate = gate
        self._dispatcher = dispatcher
        self._positions = positions
        self._router = router.Router(domain=domain, positions=positions)
        self._clock = clock
        self._request_timeout_s = request_timeout_s
        self._max_configuration_age_s = max_configuration_age_s
        self._configuration_age = configuration_age
        self._keys = keys.Index.from_config(directory.configuration)
        directory.subscribe(self._on_change)
        self._transactions = transactions.Transactions(
            dispatcher=dispatcher, clock=clock, request_timeout_s=request_timeout_s
        )

    async def handle(self, request: interfaces.CallerRequest) -> interfaces.CallerReply:
        """Serve one request of a caller.

        Args:
            request: The validated request.

        Returns:
            The outcome and the session's new positions.
        """
        started = self._clock()
        outcome = await self._serve(request)
        session = request.session
        if isinstance(outcome, result.Ok):
            database = request.database or self._database_of(request)
            if database:
                session = tokens.advance(session, database, outcome.ok_value.position)
            metrics.count_request("completed", "").inc()
        else:
            refusal = outcome.err_value
            metrics.count_request(refusal.verdict.value, refusal.reason.value).inc()
            _log.info(
                "{} refused: {} {}", request.action.value, refusal.reason.value, refusal.detail, request=request.request
            )
        metrics.LATENCY.record(self._clock() - started)
        return interfaces.CallerReply(outcome, session)

    async def _serve(self, request: interfaces.CallerRequest) -> interfaces.Outcome:
        if request.action is interfaces.Action.OPEN:
            return await self._serve_open(request)
        caller = self._identify(request)
        if isinstance(caller, verdict.Refusal):
            return result.Err(caller)
        if request.action not in (interfaces.Action.COMMIT, interfaces.Action.ROLLBACK):
            # The end of a transaction is not charged: refusing it would keep a connection and locks busy.
            refusal = await self._gate.admit(caller.organisation)
            if refusal is not None:
                return result.Err(refusal)
        if request.action in (interfaces.Action.STATEMENT, interfaces.Action.BEGIN):
            return await self._serve_database(request, caller)
        return await self._transactions.serve(request, caller)

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "configuration":
            self._keys = keys.Index.from_config(self._directory.configuration)

    def _identify(self, request: interfaces.CallerRequest) -> messages.Caller | verdict.Refusal:
        if 0 < self._max_configuration_age_s < self._configuration_age():
            return verdict.Refusal(
                verdict.Reason.CONFIGURATION_TOO_OLD,
                detail="this VM cannot confirm which keys are withdrawn",
                retry_after_s=RETRY_AFTER_S,
            )
        organisation = self._keys.organisation(request.key_digest or "")
        if organisation is None:
            return verdict.Refusal(verdict.Reason.UNKNOWN_KEY, detail="the key is unknown or withdrawn")
        refusal = self._check_database(request, organisation)
        if refusal is not None:
            return refusal
        return messages.Caller(organisation, request.key_digest or "")

    def _check_database(self, request: interfaces.CallerRequest, organisation: str) -> verdict.Refusal | None:
        database = request.database or transactions.database_of(request.transaction)
        if database not in self._directory.configuration.databases:
            # The caller writes the text of a transaction id, and its database becomes part of the session token.
            if not request.database:
                return transactions.unknown()
            return verdict.Refusal(verdict.Reason.UNKNOWN_DATABASE, detail="there is no such database")
        if not self._keys.may_use(organisation, database):
            return verdict.Refusal(verdict.Reason.NOT_GRANTED, detail=f"{organisation} may not use {database!r}")
        return None

    async def _serve_open(self, request: interfaces.CallerRequest) -> interfaces.Outcome:
        route = self._directory.configuration.routes.get(request.route)
        if route is None:
            return result.Err(verdict.Refusal(verdict.Reason.UNKNOWN_DATABASE, detail="there is no such open route"))
        statement = messages.Statement(
            request.request,
            route.database,
            route.sql,
            after=request.session.get(route.database),
            max_age_s=route.max_age_s,
        )
        return await self._run_statement(statement, messages.Caller("", ""))

    async def _serve_database(self, request: interfaces.CallerRequest, caller: messages.Caller) -> interfaces.Outcome:
        begin = request.action is interfaces.Action.BEGIN
        statement = messages.Statement(
            request.request,
            request.database,
            request.sql,
            request.params,
            write=request.write or begin,
            after=request.session.get(request.database),
            max_age_s=request.max_age_s,
            idempotency_key=request.idempotency_key,
        )
        return await self._run_statement(statement, caller, begin=begin)

    async def _run_statement(
        self, statement: messages.Statement, caller: messages.Caller, *, begin: bool = False
    ) -> interfaces.Outcome:
        now = self._clock()
        attempts = _Attempts(now + self._request_timeout_s, now + min(PRIMARY_WAIT_S, self._request_timeout_s))
        last = verdict.Refusal(verdict.Reason.NO_PRIMARY, detail="no instance may serve", retry_after_s=RETRY_AFTER_S)
        while True:
            group = self._directory.groups.get(statement.database)
            if group is None:
                return result.Err(verdict.Refusal(verdict.Reason.NO_PRIMARY, detail="the database group is unknown"))
            if statement.after is not None and group.has_discarded(statement.after):
                return result.Err(_lost_position(statement))
            for target in self._choose(statement, group):
                outcome = await self._try_target(statement, caller, target, attempts, begin=begin)
                if isinstance(outcome, result.Ok):
                    return outcome
                # A later refusal does not prove that an earlier attempt left no trace.
                last = _combine(last, outcome.err_value)
                if not _may_try_again(outcome.err_value, statement):
                    return result.Err(last)
            if not await self._wait_for_change(attempts):
                return result.Err(last)

    def _choose(self, statement: messages.Statement, group: model.Group) -> list[router.Target]:
        configuration = self._directory.configuration
        return self._router.choose(
            statement,
            group,
            configuration=configuration,
            in_service=lambda instance: drain.accepts_new_work(drain.instance_state(configuration, instance)),
            now=self._clock(),
        )

    async def _try_target(
        self,
        statement: messages.Statement,
        caller: messages.Caller,
        target: router.Target,
        attempts: _Attempts,
        *,
        begin: bool,
    ) -> interfaces.Outcome:
        timeout_s = attempts.deadline - self._clock()
        _log.debug("route to {} {}", target.role.value, target.instance, request=statement.request)
        if begin:
            work = messages.Begin(
                statement.request, statement.database, caller, target.instance, target.term, statement.after, timeout_s
            )
            outcome = await self._dispatcher.begin(work, target.domain)
            return outcome.map(lambda answer: _with_public_id(answer, statement.database))
        outcome = await self._dispatcher.execute(
            messages.Execute(statement, caller, target.instance, target.term, timeout_s), target.domain
        )
        self._learn(statement, target, outcome)
        return outcome

    def _learn(self, statement: messages.Statement, target: router.Target, outcome: interfaces.Outcome) -> None:
        if isinstance(outcome, result.Ok):
            if outcome.ok_value.position is not None:
                self._positions.record_applied(target.instance, outcome.ok_value.position, self._clock())
            if not statement.write:
                metrics.count_read(target.role.value).inc()
        elif outcome.err_value.reason is verdict.Reason.BEHIND:
            index = outcome.err_value.index or 0
            self._positions.record_behind(target.instance, messages.Position(target.term, index), self._clock())

    async def _wait_for_change(self, attempts: _Attempts) -> bool:
        """Wait for a change of a group's record; tell whether another round is worthwhile."""
        limit = min(attempts.primary_deadline, attempts.deadline)
        return await self._dispatcher.wait_for_group(limit - self._clock())

    def _database_of(self, request: interfaces.CallerRequest) -> str:
        if request.action is interfaces.Action.OPEN:
            route = self._directory.configuration.routes.get(request.route)
            return route.database if route is not None else ""
        return transactions.database_of(request.transaction)


def _with_public_id(answer: messages.Answer, database: str) -> messages.Answer:
    return dataclasses.replace(answer, transaction=transactions.public_id(database, answer.transaction or ""))


def _combine(earlier: verdict.Refusal, later: verdict.Refusal) -> verdict.Refusal:
    """Return the refusal to report after another attempt: once a request may have run, that stays true."""
    if earlier.verdict is verdict.Verdict.MAY_HAVE_RUN and later.verdict is verdict.Verdict.NOT_RUN:
        return earlier
    return later


def _may_try_again(refusal: verdict.Refusal, statement: messages.Statement) -> bool:
    """Tell whether another target may get a statement that was refused or left unanswered."""
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        return refusal.reason in _OTHER_TARGET_MAY_SERVE
    return not statement.write or statement.idempotency_key is not None


_OTHER_TARGET_MAY_SERVE = frozenset(
    {
        verdict.Reason.BEHIND,
        verdict.Reason.STALE_TERM,
        verdict.Reason.NOT_PRIMARY,
        verdict.Reason.NO_PRIMARY,
        verdict.Reason.NO_CONNECTION,
        verdict.Reason.NOT_HOLDER,
        verdict.Reason.UNREACHABLE,
        verdict.Reason.LEAVING,
    }
)


def _lost_position(statement: messages.Statement) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Reason.LOST_POSITION,
        detail=f"the session has seen writes that database {statement.database!r} no longer has",
    )
