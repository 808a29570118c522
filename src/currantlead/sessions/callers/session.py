"""Serves the session of one caller over one connection: session values, prepared statements and transactions."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import clock, metric_registry, model, refusals, statements
from currantlead.sessions.callers import access_control
from currantlead.sessions.routing import execution, operations

START_TIMEOUT_S = 5.0
"""A connection on which no START message arrives within this time is closed."""

_log = logs.part("session")
_codec = lines.CallerCodec()


@dataclasses.dataclass(slots=True)
class _Transaction:
    """A caller's open transaction; a connection is acquired with its first statement.

    Attributes:
        context: Execution context of its statements; shares the session's values, so later changes apply.
        read_only: Whether the caller began it as a read-only transaction.
        lease: The transaction on the instance, or None before the first statement.
        failed: Whether a statement failed, so that only COMMIT and ROLLBACK are accepted.
        aborted: Whether further statements are refused because the VM is shutting down.
    """

    context: operations.Context
    read_only: bool
    lease: operations.Lease | None = None
    failed: bool = False
    aborted: bool = False


class Session:
    """Serves one caller until it disconnects or the VM shuts down.

    Attributes:
        idle: Whether the session awaits a request outside a transaction, so that closing it interrupts nothing.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        access: access_control.AccessControl,
        executor: execution.Executor,
        transaction_idle_s: Callable[[], float],
        metrics: metric_registry.MetricRegistry,
        retries: refusals.Refusals,
    ):
        self.idle = False
        self._metrics = metrics
        self._refusals = retries
        self._retry = refusals.CallerRetry()
        self._reader = reader
        self._writer = writer
        self._access = access
        self._executor = executor
        self._transaction_idle_s = transaction_idle_s
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction: _Transaction | None = None
        self._own_position: model.Position | None = None
        self._ended = False
        self._closing = False
        self._identity = access_control.CallerIdentity("", "", "")
        self._handlers: dict[statements.Kind, Callable[[statements.Query, float], Awaitable[None]]] = {
            statements.Kind.BEGIN: self._begin,
            statements.Kind.BEGIN_READ: self._begin,
            statements.Kind.COMMIT: self._commit,
            statements.Kind.ROLLBACK: self._rollback,
            statements.Kind.READ: self._run,
            statements.Kind.WRITE: self._run,
            statements.Kind.EXECUTE: self._run,
            statements.Kind.SET: self._set,
            statements.Kind.PREPARE: self._prepare,
            statements.Kind.DEALLOCATE: self._deallocate,
        }

    async def serve(self) -> None:
        """Process the caller's messages until the session ends."""
        try:
            if await self._start():
                while not self._ended and not (self._closing and self._transaction is None):
                    await self._process_next_message()
        except (OSError, asyncio.IncompleteReadError) as error:
            _log.debug("caller disconnected: {!r}", error)
        except Exception as error:
            # Ends this session only; its caller must take the last statement as in doubt.
            _log.bind(database=self._identity.database, organisation=self._identity.organisation).opt(
                exception=error
            ).error("unexpected error, closing the session")
        finally:
            await self._end_transaction()
            self._writer.close()

    def close_when_idle(self) -> None:
        """Close the session now if it is idle, otherwise after the response that makes it idle.

        A request that is already in the read buffer is still processed: the end of input is placed behind it.
        """
        self._closing = True
        if self.idle:
            self._reader.feed_eof()

    def abort_transaction(self) -> None:
        """Make the next statement of the open transaction fail, so that the session can end."""
        if self._transaction is not None:
            self._transaction.aborted = True

    async def _start(self) -> bool:
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self._read_line()
        message = _codec.decode_request(line) if line is not None else None
        if not isinstance(message, statements.Start):
            if message is not None and not isinstance(message, statements.End):
                self._send_failure(statements.Failure(statements.Code.MALFORMED, "START expected"))
                await self._writer.drain()
            return False
        await self._access.wait_until_started()
        identity = self._access.authenticate(message)
        if isinstance(identity, statements.Failure):
            _log.bind(database=message.database, code=identity.code.value).info("session refused: {}", identity.detail)
            self._send_failure(identity)
            await self._writer.drain()
            return False
        self._identity = identity
        self._send_ready(None)
        return True

    async def _process_next_message(self) -> None:
        self.idle = self._transaction is None
        line = await self._read_message()
        self.idle = False
        if line is None:
            return
        message = _codec.decode_request(line)
        if isinstance(message, statements.Query):
            await self._handlers[message.statement.kind](message, clock.now())
        elif isinstance(message, statements.End):
            self._ended = True
        else:
            detail = message.detail if isinstance(message, statements.Malformed) else "unexpected START"
            await self._refuse(statements.Failure(statements.Code.MALFORMED, detail))
        await self._writer.drain()

    async def _read_message(self) -> bytes | None:
        """Read a line; roll back the transaction and return None if it stays idle for too long."""
        transaction = self._transaction
        if transaction is None or transaction.lease is None:
            return await self._read_line()
        try:
            async with asyncio.timeout(self._transaction_idle_s()):
                return await self._read_line()
        except TimeoutError:
            _log.bind(organisation=self._identity.organisation).info("idle transaction rolled back")
            await self._fail_transaction()
            return None

    async def _read_line(self) -> bytes | None:
        """Return the next line without its terminator, or None after refusing a message over the size limit.

        Raises:
            asyncio.IncompleteReadError: The caller closed the connection.
        """
        try:
            line = await self._reader.readuntil(lines.LINE_END)
        except asyncio.LimitOverrunError:
            self._send_failure(statements.Failure(statements.Code.TOO_LARGE, "message exceeds the size limit"))
            await self._writer.drain()
            self._ended = True
            return None
        return line[: -len(lines.LINE_END)]

    # Responses

    def _transaction_state(self) -> statements.TransactionState:
        if self._transaction is None:
            return statements.TransactionState.IDLE
        failed = self._transaction.failed
        return statements.TransactionState.FAILED if failed else statements.TransactionState.OPEN

    def _send_ready(self, position: model.Position | None) -> None:
        self._writer.write(_codec.encode_ready(self._transaction_state(), position))

    def _send_failure(self, failure: statements.Failure) -> None:
        self._writer.write(_codec.encode_failure(self._refusals.complete(failure, self._retry)))

    def _send_success(self) -> None:
        self._writer.write(_codec.encode_success((), ""))
        self._send_ready(None)

    async def _refuse(self, failure: statements.Failure) -> None:
        """Report a failure to the caller; an open transaction enters the failed state."""
        if self._transaction is not None:
            await self._fail_transaction()
        self._send_failure(failure)
        self._send_ready(None)

    async def _send_outcome(self, outcome: operations.Outcome) -> None:
        if outcome.failure is not None:
            await self._refuse(outcome.failure)
        elif isinstance(outcome.result, statements.Done):
            self._writer.write(_codec.encode_success(outcome.rows, outcome.result.signature))
            self._send_ready(outcome.position)

    # Statements that the session processes itself

    async def _set(self, query: statements.Query, started_at: float) -> None:
        if await self._refuse_if_failed():
            return
        self._values[query.statement.name] = query.statement.argument
        self._send_success()

    async def _prepare(self, query: statements.Query, started_at: float) -> None:
        if await self._refuse_if_failed():
            return
        self._prepared[query.statement.name] = (query.statement.writes, query.statement.argument)
        self._send_success()

    async def _deallocate(self, query: statements.Query, started_at: float) -> None:
        if await self._refuse_if_failed():
            return
        if self._prepared.pop(query.statement.name, None) is None:
            await self._refuse(statements.Failure(statements.Code.UNKNOWN_STATEMENT, query.statement.name))
            return
        self._send_success()

    async def _begin(self, query: statements.Query, started_at: float) -> None:
        if self._transaction is not None:
            await self._refuse(statements.Failure(statements.Code.MALFORMED, "a transaction is already open"))
            return
        context = await self._admit(started_at)
        if isinstance(context, statements.Failure):
            self._log_outcome(query, None, started_at, operations.Outcome.refused(context.code, context.detail))
            await self._refuse(context)
            return
        self._transaction = _Transaction(context, query.statement.kind is statements.Kind.BEGIN_READ)
        self._send_success()

    async def _rollback(self, query: statements.Query, started_at: float) -> None:
        await self._end_transaction()
        self._send_success()

    async def _refuse_if_failed(self) -> bool:
        if self._transaction is None or not self._transaction.failed:
            return False
        await self._refuse(statements.Failure(statements.Code.MALFORMED, "the transaction has failed"))
        return True

    # Statements that run on an instance

    async def _run(self, query: statements.Query, started_at: float) -> None:
        if await self._refuse_if_failed():
            return
        statement = query.statement
        if statement.kind is statements.Kind.EXECUTE and statement.name not in self._prepared:
            await self._refuse(statements.Failure(statements.Code.UNKNOWN_STATEMENT, statement.name))
            return
        if self._transaction is not None:
            await self._run_in_transaction(self._transaction, query, started_at)
            return
        context = await self._admit(started_at)
        if isinstance(context, statements.Failure):
            outcome = operations.Outcome.refused(context.code, context.detail)
        else:
            outcome = await self._executor.run_autocommit(context, query.id, statement)
            if not outcome.may_have_run:
                self._access.refund(self._identity)
            writes = statement.writes or (
                statement.kind is statements.Kind.EXECUTE and self._prepared[statement.name][0]
            )
            if writes and outcome.failure is None:
                self._own_position = outcome.position or self._own_position
        self._log_outcome(query, context, started_at, outcome)
        await self._send_outcome(outcome)

    async def _run_in_transaction(self, transaction: _Transaction, query: statements.Query, started_at: float) -> None:
        outcome = await self._execute_in_transaction(transaction, query)
        self._log_outcome(query, transaction.context, started_at, outcome)
        await self._send_outcome(outcome)

    async def _execute_in_transaction(self, transaction: _Transaction, query: statements.Query) -> operations.Outcome:
        """Run a statement of the transaction; the first one acquires a connection."""
        context = transaction.context
        if transaction.aborted:
            return operations.Outcome.refused(statements.Code.ABORTED, "this VM is shutting down", "leaving")
        refusal = context.check()
        if refusal is not None:
            return operations.Outcome((), refusal)
        if transaction.lease is None:
            outcome, transaction.lease = await self._executor.open_transaction(
                context, query.id, query.statement, read_only=transaction.read_only
            )
            return outcome
        try:
            return await self._executor.run_in_transaction(context, transaction.lease, query.id, query.statement)
        except errors.LinkLostError as error:
            _log.bind(request=query.id, instance=transaction.lease.transaction.instance.id).info(
                "transaction failed, connection to the instance lost: {}", error
            )
            commits = query.statement.kind is statements.Kind.COMMIT
            if commits and error.sent and transaction.lease.wrote:
                return operations.Outcome((), statements.Failure(statements.Code.IN_DOUBT, "no response to COMMIT"))
            # The instance rolls back an uncommitted transaction when the connection closes.
            return operations.Outcome((), statements.Failure(statements.Code.ABORTED, "connection lost"))

    async def _commit(self, query: statements.Query, started_at: float) -> None:
        transaction = self._transaction
        if transaction is None:
            await self._refuse(statements.Failure(statements.Code.MALFORMED, "no transaction is open"))
            return
        if transaction.failed:
            outcome = operations.Outcome.refused(
                statements.Code.ABORTED, "the transaction has failed and was rolled back"
            )
        else:
            outcome = await self._execute_in_transaction(transaction, query)
            if outcome.failure is None and transaction.lease is not None and transaction.lease.wrote:
                self._own_position = outcome.position or self._own_position
        self._log_outcome(query, transaction.context, started_at, outcome)
        await self._end_transaction()
        await self._send_outcome(outcome)

    async def _admit(self, started_at: float) -> "operations.Context | statements.Failure":
        """Check route, key, regions and rate limit of a new operation.

        Returns:
            The context that the operation runs with, or the reason why it is refused.
        """
        identity = self._identity
        route = self._access.route(identity.database)
        if route is None:
            return statements.Failure(statements.Code.UNKNOWN_DATABASE, identity.database)
        refusal = self._access.check_access(identity)
        if refusal is not None:
            return refusal
        allowed_regions = self._access.allowed_regions(identity, route)
        if allowed_regions is None:
            return statements.Failure(statements.Code.BUSY, "route and organisation have no allowed region in common")
        if not await self._access.admit(identity):
            return self._refusals.refuse_over_rate(identity.organisation)
        return operations.Context(
            route=route,
            organisation=identity.organisation,
            regions=allowed_regions,
            values=self._values,
            prepared=self._prepared,
            began_at=started_at,
            last_commit_position=self._own_position,
            check=lambda: self._access.check_access(identity),
            refused_since=self._retry.begin(started_at),
        )

    async def _fail_transaction(self) -> None:
        """Roll back and release the connection; the transaction stays failed until the caller ends it."""
        if self._transaction is not None:
            self._transaction.failed = True
            lease, self._transaction.lease = self._transaction.lease, None
            if lease is not None:
                await lease.transaction.end()

    async def _end_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.lease is not None:
            await transaction.lease.transaction.end()

    def _log_outcome(
        self,
        query: statements.Query,
        context: "operations.Context | statements.Failure | None",
        started_at: float,
        outcome: operations.Outcome,
    ) -> None:
        """Record the outcome in the metrics, and log failures; successes are logged with each attempt."""
        consistency = context.route.consistency.value if isinstance(context, operations.Context) else "none"
        failure = outcome.failure
        duration_s = clock.now() - started_at
        kind = query.statement.kind.value
        self._metrics.count(
            "statements", kind=kind, consistency=consistency, result="ok" if failure is None else failure.code.value
        )
        self._metrics.record("statement", duration_s, consistency=consistency)
        if failure is not None:
            _log.bind(
                request=query.id,
                kind=kind,
                database=self._identity.database,
                organisation=self._identity.organisation,
                consistency=consistency,
                ms=round(duration_s * 1000, 1),
            ).info("statement failed: {}: {}", failure.code.value, failure.detail)
