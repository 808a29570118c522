"""Transactions on pinned connections."""

from collections.abc import Awaitable, Callable

import result

from currantlead import interfaces, logs, messages, timers, verdict
from currantlead.connections import checks, dispatch, endpoint, transactions, turns
from currantlead.control import model

# After these refusals a transaction cannot go on.
_FATAL = (
    verdict.Reason.SQL_ERROR,
    verdict.Reason.STALE_TERM,
    verdict.Reason.NOT_PRIMARY,
    verdict.Reason.NOT_HOLDER,
)

_log = logs.part("holder")


class Pinned:
    """Open, use and end the transactions of this VM."""

    def __init__(
        self,
        member: model.Member,
        rules: checks.Checks,
        served: turns.Turns,
        clock: timers.Timers,
        idle_s: float,
    ):
        self._rules = rules
        self._turns = served
        self._clock = clock
        self._idle_s = idle_s
        self._transactions = transactions.Table(member)

    def __len__(self) -> int:
        return len(self._transactions)

    def expire(self, now: float) -> None:
        """Roll back transactions that were not used for long."""
        for transaction in self._transactions:
            if not transaction.busy and now - transaction.used_at > self._idle_s:
                _log.info("transaction at {} was idle too long and is rolled back", transaction.instance)
                self._abort(transaction)

    def forget(self, held: dispatch.Dispatcher) -> None:
        """Roll back the transactions at an instance that this VM released."""
        for transaction in self._transactions:
            if transaction.pool is held.pool:
                self._abort(transaction)

    def close(self) -> None:
        """Roll back all transactions."""
        for transaction in self._transactions:
            self._abort(transaction)

    async def begin(self, work: messages.Begin, deadline: float) -> interfaces.Outcome:
        """Open a transaction."""
        refusal = self._turns.check_begin(work)
        if refusal is not None:
            return result.Err(refusal)
        held = self._turns.held(work.database, work.instance)
        if isinstance(held, verdict.Refusal):
            return result.Err(held)
        tracker = self._turns.tracker_of(work.database, work.instance)
        refusal = await self._turns.check_majority(tracker, deadline)
        if refusal is not None:
            return result.Err(refusal)
        kept: list[endpoint.Connection] = []
        opened: list[transactions.Transaction] = []

        async def send(connection: endpoint.Connection) -> turns.Outcome:
            refused = self._turns.check_begin(work) or self._check_pins(held, work.caller.organisation)
            if refused is not None:
                return result.Err(refused)
            transaction = self._pin(work, held, connection)
            begun = await self._begin_on(connection, transaction, deadline, work.request)
            if begun.is_ok():
                kept.append(connection)
                opened.append(transaction)
            return begun

        outcome = await self._turns.run(held, work.caller.organisation, deadline, send, kept)
        if outcome.is_err():
            self._turns.report_silence(work.database, work.instance, work.term, outcome.err_value)
            return outcome
        self.give_back(opened[0])
        return result.Ok(messages.Answer(work.request, instance=work.instance, transaction=opened[0].identifier))

    def _pin(
        self, work: messages.Begin, held: dispatch.Dispatcher, connection: endpoint.Connection
    ) -> transactions.Transaction:
        transaction = transactions.Transaction(
            identifier=self._transactions.create_identifier(),
            organisation=work.caller.organisation,
            database=work.database,
            instance=work.instance,
            term=work.term,
            connection=connection,
            pool=held.pool,
            used_at=self._clock.now(),
            busy=True,
        )
        self._transactions.add(transaction)
        return transaction

    async def _begin_on(
        self, connection: endpoint.Connection, transaction: transactions.Transaction, deadline: float, request: str
    ) -> turns.Outcome:
        done = False
        try:
            begun = await connection.control(
                "begin", request, term=transaction.term, timeout_s=self._turns.left(deadline)
            )
            done = begun.is_ok()
            return begun
        finally:
            if not done:
                self._transactions.remove(transaction)

    def _check_pins(self, held: dispatch.Dispatcher, organisation: str) -> verdict.Refusal | None:
        # Enough connections stay free for every slot, and one organisation pins at most half of the others.
        most = max(1, held.pool.limit - held.slots)
        name = held.instance.name
        if self._transactions.count(name) < most and (self._transactions.count(name, organisation) < max(1, most // 2)):
            return None
        return checks.refuse(verdict.Reason.QUEUE_FULL, "too many transactions are open at the instance", 0.5)

    async def transact(
        self, taken: transactions.Transaction, work: messages.Transact, deadline: float
    ) -> interfaces.Outcome:
        """Run one statement of a taken transaction."""
        statement = work.statement

        async def send() -> turns.Outcome:
            refused = self._rules.check_transaction(work.caller, taken.database, taken.term)
            if refused is not None:
                return result.Err(refused)
            return await taken.connection.execute(
                statement.request,
                term=taken.term,
                sql=statement.sql,
                params=statement.params,
                write=statement.write,
                organisation=taken.organisation,
                timeout_s=self._turns.left(deadline),
            )

        outcome = await self._run_pinned(taken, deadline, send)
        if outcome.is_err():
            await self._end_after(taken, outcome.err_value, statement.request)
            return outcome
        reply = outcome.ok_value
        return result.Ok(
            messages.Answer(statement.request, reply.columns, reply.rows, reply.changed, None, taken.instance)
        )

    async def finish(
        self, taken: transactions.Transaction, work: messages.Finish, deadline: float
    ) -> interfaces.Outcome:
        """Commit or roll back a taken transaction."""
        if not work.commit:
            await self._roll_back(taken, work.request, min(1.0, work.timeout_s))
            return result.Ok(messages.Answer(work.request, instance=taken.instance))
        tracker = self._turns.tracker_of(taken.database, taken.instance)
        refusal = await self._turns.check_majority(tracker, deadline)
        if refusal is not None:
            return result.Err(refusal)

        async def send() -> turns.Outcome:
            refused = self._rules.check_transaction(work.caller, taken.database, taken.term)
            if refused is not None:
                return result.Err(refused)
            timeout_s = self._turns.left(deadline)
            return await taken.connection.control("commit", work.request, term=taken.term, timeout_s=timeout_s)

        outcome = await self._run_pinned(taken, deadline, send)
        if outcome.is_err():
            await self._end_after(taken, outcome.err_value, work.request)
            return outcome
        self._end(taken)
        reply = outcome.ok_value
        refusal = await self._turns.await_majority(tracker, taken.term, reply, deadline)
        if refusal is not None:
            return result.Err(refusal)
        position = messages.Position(reply.term, reply.index)
        return result.Ok(messages.Answer(work.request, position=position, instance=taken.instance))

    async def _run_pinned(
        self, taken: transactions.Transaction, deadline: float, send: Callable[[], Awaitable[turns.Outcome]]
    ) -> turns.Outcome:
        held = self._turns.held(taken.database, taken.instance)
        if isinstance(held, verdict.Refusal):
            return result.Err(held)
        return await self._turns.run_pinned(held, taken.organisation, deadline, send)

    def take(
        self, identifier: str, caller: messages.Caller, database: str
    ) -> transactions.Transaction | verdict.Refusal:
        """Find an open transaction of a database and reserve it for one statement, or refuse."""
        found = self._transactions.find(identifier, caller.organisation)
        if found is None or found.connection.closed or found.database != database:
            return checks.refuse(verdict.Reason.UNKNOWN_TRANSACTION, "there is no such open transaction")
        refusal = self._rules.check_caller(caller, found.database, None)
        if refusal is not None:
            return refusal
        if found.busy:
            return checks.refuse(verdict.Reason.TRANSACTION_BUSY, "a statement of the transaction is under way", 0.05)
        found.busy = True
        return found

    def give_back(self, taken: transactions.Transaction) -> None:
        """Let the next statement of a transaction come."""
        taken.busy = False
        taken.used_at = self._clock.now()
        if taken.connection.closed:
            self._end(taken)

    async def _end_after(self, taken: transactions.Transaction, refusal: verdict.Refusal, request: str) -> None:
        """End a transaction that cannot go on; one whose statement only had to wait stays open."""
        if taken.connection.closed:
            self._end(taken)
        elif refusal.reason in _FATAL:
            await self._roll_back(taken, request, 1.0)

    async def _roll_back(self, taken: transactions.Transaction, request: str, timeout_s: float) -> None:
        """Roll back and end; closing the connection does the same if the instance does not answer."""
        outcome = await taken.connection.control("rollback", request, term=taken.term, timeout_s=timeout_s)
        if outcome.is_err():
            taken.connection.close()
        self._end(taken)

    def _end(self, taken: transactions.Transaction) -> None:
        if self._transactions.remove(taken):
            taken.pool.release(taken.connection)

    def _abort(self, taken: transactions.Transaction) -> None:
        taken.connection.close()
        self._end(taken)
