"""One caller's session: its values, prepared statements and transaction, over one connection."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import clock, execution, gate, measures, model, operations, statements

START_TIMEOUT_S = 5.0
"""A caller that connects and sends nothing is dropped after this time."""
RETRY_MS = 200
"""Time after which a refused caller should come back, in milliseconds; a few times the usual answer time."""

_log = logs.part("session")
_codec = lines.CallerLines()


@dataclasses.dataclass(slots=True)
class _Transaction:
    """Hold a caller's transaction; the connection is taken with its first statement.

    Attributes:
        context: What its statements run with; the session's values in it follow the session.
        read_only: Whether the caller announced that it only reads.
        lease: The connection, or None before the first statement.
        failed: Whether a statement failed; only its end is accepted then.
        aborted: Whether the VM leaves and refuses further statements.
    """

    context: operations.Context
    read_only: bool
    lease: operations.Lease | None = None
    failed: bool = False
    aborted: bool = False


class Session:
    """Serve one caller until it leaves, its key is withdrawn or the VM stops.

    Attributes:
        idle: Whether the session waits for a request outside a transaction, so that closing it breaks nothing.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        admission: gate.Gate,
        executor: execution.Executor,
        transaction_idle_s: Callable[[], float],
        measured: measures.Measures,
    ):
        self.idle = False
        self._measures = measured
        self._reader = reader
        self._writer = writer
        self._gate = admission
        self._executor = executor
        self._transaction_idle_s = transaction_idle_s
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction: _Transaction | None = None
        self._own_position: model.Position | None = None
        self._ended = False
        self._leaving = False
        self._grant = gate.Grant("", "", "")
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
        """Answer the caller's messages until the session ends."""
        try:
            if await self._start():
                while not self._ended and not (self._leaving and self._transaction is None):
                    await self._next()
        except (OSError, asyncio.IncompleteReadError) as error:
            _log.debug("caller left: {!r}", error)
        finally:
            await self._end_transaction()
            self._writer.close()

    def close_when_idle(self) -> None:
        """Close the session now if it is idle, otherwise after the answer that leaves it idle.

        A request that has arrived but was not looked at yet is still answered: the end of input comes after it.
        """
        self._leaving = True
        if self.idle:
            self._reader.feed_eof()

    def abort_transaction(self) -> None:
        """Let the open transaction fail with its next statement, so that the session can end."""
        if self._transaction is not None:
            self._transaction.aborted = True

    async def _start(self) -> bool:
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self._read_line()
        message = _codec.decode_request(line) if line is not None else None
        if not isinstance(message, statements.Start):
            if message is not None and not isinstance(message, statements.End):
                self._fail(statements.Failure(statements.Code.MALFORMED, "START expected"))
                await self._writer.drain()
            return False
        await self._gate.wait_prepared()
        found = self._gate.open(message)
        if isinstance(found, statements.Failure):
            _log.bind(database=message.database, code=found.code.value).info("session refused: {}", found.detail)
            self._fail(found)
            await self._writer.drain()
            return False
        self._grant = found
        self._ready(None)
        return True

    async def _next(self) -> None:
        self.idle = self._transaction is None
        line = await self._read_in_time()
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

    async def _read_in_time(self) -> bytes | None:
        """Read a line; give up the connection of a transaction that stays idle for too long."""
        transaction = self._transaction
        if transaction is None or transaction.lease is None:
            return await self._read_line()
        try:
            async with asyncio.timeout(self._transaction_idle_s()):
                return await self._read_line()
        except TimeoutError:
            _log.bind(organisation=self._grant.organisation).info("idle transaction rolled back")
            await self._fail_transaction()
            return None

    async def _read_line(self) -> bytes | None:
        """Return the next line without its end; None after the end of a session or of a message that is too long."""
        try:
            line = await self._reader.readuntil(lines.LINE_END)
        except asyncio.LimitOverrunError:
            self._fail(statements.Failure(statements.Code.TOO_LARGE, "message over the limit"))
            await self._writer.drain()
            self._ended = True
            return None
        return line[: -len(lines.LINE_END)]

    # Answers

    def _state(self) -> statements.TransactionState:
        if self._transaction is None:
            return statements.TransactionState.IDLE
        failed = self._transaction.failed
        return statements.TransactionState.FAILED if failed else statements.TransactionState.OPEN

    def _ready(self, position: model.Position | None) -> None:
        self._writer.write(_codec.encode_ready(self._state(), position))

    def _fail(self, failure: statements.Failure) -> None:
        self._writer.write(_codec.encode_failure(failure))

    def _succeed(self) -> None:
        self._writer.write(_codec.encode_success((), ""))
        self._ready(None)

    async def _refuse(self, failure: statements.Failure) -> None:
        """Answer with a failure; a transaction fails as a whole."""
        if self._transaction is not None:
            await self._fail_transaction()
        self._fail(failure)
        self._ready(None)

    async def _answer(self, outcome: operations.Outcome) -> None:
        if outcome.failure is not None:
            await self._refuse(outcome.failure)
        elif isinstance(outcome.result, statements.Done):
            self._writer.write(_codec.encode_success(outcome.rows, outcome.result.signature))
            self._ready(outcome.position)

    # Statements that the session answers itself

    async def _set(self, query: statements.Query, began_at: float) -> None:
        if await self._refuse_in_failed():
            return
        self._values[query.statement.name] = query.statement.argument
        self._succeed()

    async def _prepare(self, query: statements.Query, began_at: float) -> None:
        if await self._refuse_in_failed():
            return
        self._prepared[query.statement.name] = (query.statement.writes, query.statement.argument)
        self._succeed()

    async def _deallocate(self, query: statements.Query, began_at: float) -> None:
        if await self._refuse_in_failed():
            return
        if self._prepared.pop(query.statement.name, None) is None:
            await self._refuse(_unknown(query.statement.name))
            return
        self._succeed()

    async def _begin(self, query: statements.Query, began_at: float) -> None:
        if self._transaction is not None:
            await self._refuse(statements.Failure(statements.Code.MALFORMED, "a transaction is open"))
            return
        context = await self._admit(began_at)
        if isinstance(context, statements.Failure):
            self._log_outcome(query, None, began_at, operations.Outcome.refused(context.code, context.detail))
            await self._refuse(context)
            return
        self._transaction = _Transaction(context, query.statement.kind is statements.Kind.BEGIN_READ)
        self._succeed()

    async def _rollback(self, query: statements.Query, began_at: float) -> None:
        await self._end_transaction()
        self._succeed()

    async def _refuse_in_failed(self) -> bool:
        if self._transaction is None or not self._transaction.failed:
            return False
        await self._refuse(statements.Failure(statements.Code.MALFORMED, "the transaction has failed"))
        return True

    # Statements that an instance runs

    async def _run(self, query: statements.Query, began_at: float) -> None:
        if await self._refuse_in_failed():
            return
        statement = query.statement
        if statement.kind is statements.Kind.EXECUTE and statement.name not in self._prepared:
            await self._refuse(_unknown(statement.name))
            return
        if self._transaction is not None:
            await self._run_in_transaction(self._transaction, query, began_at)
            return
        context = await self._admit(began_at)
        if isinstance(context, statements.Failure):
            outcome = operations.Outcome.refused(context.code, context.detail)
        else:
            outcome = await self._executor.run_single(context, query.id, statement)
            if not outcome.may_have_run:
                self._gate.give_back(self._grant)
            writes = statement.writes or (
                statement.kind is statements.Kind.EXECUTE and self._prepared[statement.name][0]
            )
            if writes and outcome.failure is None:
                self._own_position = outcome.position or self._own_position
        self._log_outcome(query, context, began_at, outcome)
        await self._answer(outcome)

    async def _run_in_transaction(self, transaction: _Transaction, query: statements.Query, began_at: float) -> None:
        outcome = await self._inside(transaction, query)
        self._log_outcome(query, transaction.context, began_at, outcome)
        await self._answer(outcome)

    async def _inside(self, transaction: _Transaction, query: statements.Query) -> operations.Outcome:
        """Run a statement of the transaction, on a connection taken before if there is none yet."""
        context = transaction.context
        if transaction.aborted:
            return operations.Outcome.refused(statements.Code.ABORTED, "this VM is leaving")
        refusal = context.refuse()
        if refusal is not None:
            return operations.Outcome((), refusal)
        if transaction.lease is None:
            outcome, transaction.lease = await self._executor.run_first(
                context, query.id, query.statement, read_only=transaction.read_only
            )
            return outcome
        try:
            return await self._executor.run_inside(context, transaction.lease, query.id, query.statement)
        except errors.LinkLostError as error:
            _log.bind(request=query.id, instance=transaction.lease.transaction.instance.id).info(
                "transaction lost: {}", error
            )
            commits = query.statement.kind is statements.Kind.COMMIT
            if commits and error.sent and transaction.lease.wrote:
                return operations.Outcome((), statements.Failure(statements.Code.IN_DOUBT, "commit unanswered"))
            # Without a commit the instance rolls back when the connection ends.
            return operations.Outcome((), statements.Failure(statements.Code.ABORTED, "connection lost"))

    async def _commit(self, query: statements.Query, began_at: float) -> None:
        transaction = self._transaction
        if transaction is None:
            await self._refuse(statements.Failure(statements.Code.MALFORMED, "no transaction is open"))
            return
        if transaction.failed:
            outcome = operations.Outcome.refused(statements.Code.ABORTED, "the transaction had failed")
        else:
            outcome = await self._inside(transaction, query)
            if outcome.failure is None and transaction.lease is not None and transaction.lease.wrote:
                self._own_position = outcome.position or self._own_position
        self._log_outcome(query, transaction.context, began_at, outcome)
        await self._end_transaction()
        await self._answer(outcome)

    async def _admit(self, began_at: float) -> "operations.Context | statements.Failure":
        """Check route, key and rate of a new operation."""
        grant = self._grant
        route = self._gate.route(grant.database)
        if route is None:
            return statements.Failure(statements.Code.UNKNOWN_DATABASE, grant.database)
        refusal = self._gate.refuse(grant)
        if refusal is not None:
            return refusal
        regions = self._gate.regions(grant, route)
        if regions is None:
            return statements.Failure(statements.Code.BUSY, "no region is allowed to both route and organisation")
        if not await self._gate.admit(grant):
            return statements.Failure(statements.Code.BUSY, f"over the rate, retry-after-ms={RETRY_MS}")
        return operations.Context(
            route=route,
            organisation=grant.organisation,
            regions=regions,
            values=self._values,
            prepared=self._prepared,
            began_at=began_at,
            own_position=self._own_position,
            refuse=lambda: self._gate.refuse(grant),
        )

    async def _fail_transaction(self) -> None:
        """Release the connection of a transaction that failed; its end is still to come from the caller."""
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
        began_at: float,
        outcome: operations.Outcome,
    ) -> None:
        """Count the outcome; write it down if it is no success, which the attempts already tell."""
        consistency = context.route.consistency.value if isinstance(context, operations.Context) else "none"
        failure = outcome.failure
        took_s = clock.now() - began_at
        kind = query.statement.kind.value
        self._measures.count(
            "statements", kind=kind, consistency=consistency, result="ok" if failure is None else failure.code.value
        )
        self._measures.record("statement", took_s, consistency=consistency)
        if failure is not None:
            _log.bind(
                request=query.id,
                kind=kind,
                database=self._grant.database,
                organisation=self._grant.organisation,
                consistency=consistency,
                ms=round(took_s * 1000, 1),
            ).info("failed: {} {}", failure.code.value, failure.detail)


def _unknown(name: str) -> statements.Failure:
    return statements.Failure(statements.Code.UNKNOWN_STATEMENT, name)
