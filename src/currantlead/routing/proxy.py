"""Serve callers' requests: authentication, admission, routing, execution and retries."""

import dataclasses
from collections.abc import Callable

import result

from currantlead import interfaces, logs, messages, metrics, session_tokens, verdict
from currantlead.control import model, service_state
from currantlead.identity import keys
from currantlead.routing import dispatch, freshness, router, transactions

_log = logs.part("proxy")

PRIMARY_TIMEOUT_S = 1.5
"""Maximum time for which a request is retried while its group has no usable primary.

A planned primary change takes less than 1 s and must not fail any request.
"""
RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Deadlines:
    """Hold the deadlines of one request, as clock readings in seconds.

    Attributes:
        deadline: When the request times out.
        primary_deadline: When to stop waiting for a usable primary.
    """

    deadline: float
    primary_deadline: float


class Proxy:
    """Implement ``interfaces.Proxy``; runs on the core event loop."""

    def __init__(
        self,
        *,
        directory: interfaces.Directory,
        admission: interfaces.Admission,
        dispatcher: dispatch.Dispatcher,
        positions: freshness.PositionEstimates,
        domain: str,
        clock: Callable[[], float],
        request_timeout_s: float,
        max_configuration_age_s: float = 0.0,
        configuration_age: Callable[[], float] = lambda: 0.0,
    ):
        """Create a proxy.

        Args:
            directory: This VM's copy of the shared state.
            admission: Rate limiting by organisation.
            dispatcher: Sends statements to the VMs that hold connections to an instance.
            positions: Estimated log positions of the instances.
            domain: Failure domain of this VM.
            clock: Monotonic clock in seconds.
            request_timeout_s: Timeout of one request in seconds.
            max_configuration_age_s: Requests with a key are refused if the configuration is older than this; 0 disables
                the check.
            configuration_age: Seconds since the configuration was last confirmed.
        """
        self._directory = directory
        self._admission = admission
        self._dispatcher = dispatcher
        self._positions = positions
        self._router = router.Router(domain=domain, positions=positions)
        self._clock = clock
        self._request_timeout_s = request_timeout_s
        self._max_configuration_age_s = max_configuration_age_s
        self._configuration_age = configuration_age
        self._key_index = keys.KeyIndex.from_config(directory.configuration)
        directory.subscribe(self._on_directory_change)
        self._transaction_forwarder = transactions.TransactionForwarder(
            dispatcher=dispatcher, clock=clock, request_timeout_s=request_timeout_s
        )

    async def handle(self, request: interfaces.CallerRequest) -> interfaces.CallerReply:
        """Serve one request of a caller, and count it in the metrics.

        Args:
            request: The validated request.

        Returns:
            The outcome and the session's positions after it.
        """
        started_at = self._clock()
        outcome = await self._serve(request)
        session = request.session
        if isinstance(outcome, result.Ok):
            database = request.database or self._request_database(request)
            if database:
                session = session_tokens.advance(session, database, outcome.ok_value.position)
            metrics.count_request("completed", "").inc()
        else:
            refusal = outcome.err_value
            metrics.count_request(refusal.verdict.value, refusal.reason.value).inc()
            _log.info(
                "{} refused: {} {}",
                request.action.value,
                refusal.reason.value,
                refusal.detail,
                request=request.request,
            )
        metrics.LATENCY.record(self._clock() - started_at)
        return interfaces.CallerReply(outcome, session)

    async def _serve(self, request: interfaces.CallerRequest) -> interfaces.Outcome:
        if request.action is interfaces.Action.OPEN:
            return await self._serve_open_route(request)
        caller = self._authenticate(request)
        if isinstance(caller, verdict.Refusal):
            return result.Err(caller)
        if request.action not in (interfaces.Action.COMMIT, interfaces.Action.ROLLBACK):
            # COMMIT and ROLLBACK are exempt from the rate limit: refusing one would keep a connection and locks in use.
            refusal = await self._admission.admit(caller.organisation)
            if refusal is not None:
                return result.Err(refusal)
        if request.action in (interfaces.Action.STATEMENT, interfaces.Action.BEGIN):
            return await self._serve_statement(request, caller)
        return await self._transaction_forwarder.serve(request, caller)

    def _on_directory_change(self, kind: str, name: str) -> None:
        if kind == "configuration":
            self._key_index = keys.KeyIndex.from_config(self._directory.configuration)

    def _authenticate(self, request: interfaces.CallerRequest) -> messages.Caller | verdict.Refusal:
        if 0 < self._max_configuration_age_s < self._configuration_age():
            return verdict.Refusal(
                verdict.Reason.CONFIGURATION_TOO_OLD,
                detail="the configuration of this VM is too old to tell whether the key was withdrawn",
                retry_after_s=RETRY_AFTER_S,
            )
        organisation = self._key_index.organisation(request.key_digest or "")
        if organisation is None:
            return verdict.Refusal(verdict.Reason.UNKNOWN_KEY, detail="the key is unknown or was withdrawn")
        refusal = self._check_database(request, organisation)
        if refusal is not None:
            return refusal
        return messages.Caller(organisation, request.key_digest or "")

    def _check_database(self, request: interfaces.CallerRequest, organisation: str) -> verdict.Refusal | None:
        database = request.database or transactions.database_of(request.transaction)
        if database not in self._directory.configuration.databases:
            # A transaction id comes from the caller, and the database that it names would enter the session token.
            if not request.database:
                return transactions.unknown_transaction()
            return verdict.Refusal(verdict.Reason.UNKNOWN_DATABASE, detail="the database is not configured")
        if not self._key_index.is_granted(organisation, database):
            return verdict.Refusal(
                verdict.Reason.NOT_GRANTED, detail=f"{organisation} is not granted the service of database {database!r}"
            )
        return None

    async def _serve_open_route(self, request: interfaces.CallerRequest) -> interfaces.Outcome:
        route = self._directory.configuration.routes.get(request.route)
        if route is None:
            return result.Err(
                verdict.Refusal(verdict.Reason.UNKNOWN_DATABASE, detail="the open route is not configured")
            )
        statement = messages.Statement(
            request.request,
            route.database,
            route.sql,
            after=request.session.get(route.database),
            max_age_s=route.max_age_s,
        )
        return await self._run_with_retries(statement, messages.Caller("", ""))

    async def _serve_statement(self, request: interfaces.CallerRequest, caller: messages.Caller) -> interfaces.Outcome:
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
        return await self._run_with_retries(statement, caller, begin=begin)

    async def _run_with_retries(
        self, statement: messages.Statement, caller: messages.Caller, *, begin: bool = False
    ) -> interfaces.Outcome:
        now = self._clock()
        deadlines = _Deadlines(now + self._request_timeout_s, now + min(PRIMARY_TIMEOUT_S, self._request_timeout_s))
        refusal = verdict.Refusal(
            verdict.Reason.NO_PRIMARY, detail="no instance can serve the request", retry_after_s=RETRY_AFTER_S
        )
        while True:
            group = self._directory.groups.get(statement.database)
            if group is None:
                return result.Err(
                    verdict.Refusal(verdict.Reason.NO_PRIMARY, detail="the group of the database is unknown at this VM")
                )
            if statement.after is not None and group.has_discarded(statement.after):
                return result.Err(_lost_position_refusal(statement))
            for target in self._choose_targets(statement, group):
                outcome = await self._try_target(statement, caller, target, deadlines, begin=begin)
                if isinstance(outcome, result.Ok):
                    return outcome
                # A refusal of this attempt does not prove that an earlier attempt did not run.
                refusal = _merge_refusals(refusal, outcome.err_value)
                if not _may_retry(outcome.err_value, statement):
                    return result.Err(refusal)
            if not await self._wait_for_group_change(deadlines):
                return result.Err(refusal)

    def _choose_targets(self, statement: messages.Statement, group: model.Group) -> list[router.Target]:
        configuration = self._directory.configuration
        return self._router.choose(
            statement,
            group,
            configuration=configuration,
            in_service=lambda instance: service_state.accepts_new_work(
                service_state.instance_state(configuration, instance)
            ),
            now=self._clock(),
        )

    async def _try_target(
        self,
        statement: messages.Statement,
        caller: messages.Caller,
        target: router.Target,
        deadlines: _Deadlines,
        *,
        begin: bool,
    ) -> interfaces.Outcome:
        timeout_s = deadlines.deadline - self._clock()
        _log.debug("routing to {} {}", target.role.value, target.instance, request=statement.request)
        if begin:
            work = messages.Begin(
                statement.request, statement.database, caller, target.instance, target.term, statement.after, timeout_s
            )
            outcome = await self._dispatcher.begin(work, target.domain)
            return outcome.map(lambda answer: _with_public_transaction_id(answer, statement.database))
        outcome = await self._dispatcher.execute(
            messages.Execute(statement, caller, target.instance, target.term, timeout_s), target.domain
        )
        self._record_position(statement, target, outcome)
        return outcome

    def _record_position(
        self, statement: messages.Statement, target: router.Target, outcome: interfaces.Outcome
    ) -> None:
        if isinstance(outcome, result.Ok):
            if outcome.ok_value.position is not None:
                self._positions.record_applied(target.instance, outcome.ok_value.position, self._clock())
            if not statement.write:
                metrics.count_read(target.role.value).inc()
        elif outcome.err_value.reason is verdict.Reason.BEHIND:
            index = outcome.err_value.index or 0
            self._positions.record_behind(target.instance, messages.Position(target.term, index), self._clock())

    async def _wait_for_group_change(self, deadlines: _Deadlines) -> bool:
        """Wait until a group record changes, at most a short interval; return False if no time is left."""
        limit = min(deadlines.primary_deadline, deadlines.deadline)
        return await self._dispatcher.wait_for_group(limit - self._clock())

    def _request_database(self, request: interfaces.CallerRequest) -> str:
        if request.action is interfaces.Action.OPEN:
            route = self._directory.configuration.routes.get(request.route)
            return route.database if route is not None else ""
        return transactions.database_of(request.transaction)


def _with_public_transaction_id(answer: messages.Answer, database: str) -> messages.Answer:
    return dataclasses.replace(answer, transaction=transactions.public_id(database, answer.transaction or ""))


def _merge_refusals(earlier: verdict.Refusal, later: verdict.Refusal) -> verdict.Refusal:
    """Return the refusal to report after a further attempt: "may have run" is not overridden by "not run"."""
    if earlier.verdict is verdict.Verdict.MAY_HAVE_RUN and later.verdict is verdict.Verdict.NOT_RUN:
        return earlier
    return later


def _may_retry(refusal: verdict.Refusal, statement: messages.Statement) -> bool:
    """Return whether a refused or unanswered statement can safely be sent to another target."""
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        return refusal.reason in _RETRYABLE_REASONS
    return not statement.write or statement.idempotency_key is not None


_RETRYABLE_REASONS = frozenset(
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


def _lost_position_refusal(statement: messages.Statement) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Reason.LOST_POSITION,
        detail=f"the session has read or written records that database {statement.database!r} has lost",
    )
