"""Transactions and the connections that are pinned for them."""

from collections.abc import Awaitable, Callable

import result

from currantlead import interfaces, logs, messages, timers, verdict
from currantlead.connections import checks, endpoint, execution, scheduling, transactions
from currantlead.control import model

# Reasons of refusals after which a transaction cannot continue.
_FATAL_REASONS = (
    verdict.Reason.SQL_ERROR,
    verdict.Reason.STALE_TERM,
    verdict.Reason.NOT_PRIMARY,
    verdict.Reason.NOT_HOLDER,
)

_log = logs.part("holder")


class TransactionManager:
    """Manage the transactions that are open at this VM."""

    def __init__(
        self,
        member: model.Member,
        checker: checks.RequestChecker,
        executor: execution.Executor,
        clock: timers.Timers,
        max_idle_s: float,
    ):
        self._checker = checker
        self._executor = executor
        self._clock = clock
        self._max_idle_s = max_idle_s
        self._table = transactions.TransactionTable(member)

    def __len__(self) -> int:
        return len(self._table)

    def expire(self, now: float) -> None:
        """Roll back transactions that have been idle for too long."""
        for transaction in self._table:
            if not transaction.busy and now - transaction.used_at > self._max_idle_s:
                _log.info("transaction on {} exceeded the idle timeout and is rolled back", transaction.instance)
                self._close_and_end(transaction)

    def roll_back_released(self, scheduler: scheduling.InstanceScheduler) -> None:
        """Roll back the transactions on an instance that this VM releases."""
        for transaction in self._table:
            if transaction.pool is scheduler.pool:
                self._close_and_end(transaction)

    def close(self) -> None:
        """Roll back all transactions."""
        for transaction in self._table:
            self._close_and_end(transaction)

    async def begin(self, work: messages.Begin, deadline: float) -> interfaces.Outcome:
        """Open a transaction on a connection of its own."""
        refusal = self._executor.check_begin(work)
        if refusal is not None:
            return result.Err(refusal)
        scheduler = self._executor.find_scheduler(work.database, work.instance)
        if isinstance(scheduler, verdict.Refusal):
            return result.Err(scheduler)
        tracker = self._executor.primary_tracker(work.database, work.instance)
        refusal = await self._executor.check_majority(tracker, deadline)
        if refusal is not None:
            return result.Err(refusal)
        pinned_connections: list[endpoint.Connection] = []
        begun_transactions: list[transactions.Transaction] = []

        async def send(connection: endpoint.Connection) -> execution.Outcome:
            refusal = self._executor.check_begin(work) or self._check_pin_limits(scheduler, work.caller.organisation)
            if refusal is not None:
                return result.Err(refusal)
            transaction = self._pin_connection(work, scheduler, connection)
            outcome = await self._begin_on(connection, transaction, deadline, work.request)
            if outcome.is_ok():
                pinned_connections.append(connection)
                begun_transactions.append(transaction)
            return outcome

        outcome = await self._executor.run(scheduler, work.caller.organisation, deadline, send, pinned_connections)
        if outcome.is_err():
            self._executor.report_unresponsive_primary(work.database, work.instance, work.term, outcome.err_value)
            return outcome
        self.release(begun_transactions[0])
        return result.Ok(
            messages.Answer(work.request, instance=work.instance, transaction=begun_transactions[0].identifier)
        )

    def _pin_connection(
        self, work: messages.Begin, scheduler: scheduling.InstanceScheduler, connection: endpoint.Connection
    ) -> transactions.Transaction:
        transaction = transactions.Transaction(
            identifier=self._table.create_identifier(),
            organisation=work.caller.organisation,
            database=work.database,
            instance=work.instance,
            term=work.term,
            connection=connection,
            pool=scheduler.pool,
            used_at=self._clock.now(),
            busy=True,
        )
        self._table.add(transaction)
        return transaction

    async def _begin_on(
        self, connection: endpoint.Connection, transaction: transactions.Transaction, deadline: float, request: str
    ) -> execution.Outcome:
        succeeded = False
        try:
            outcome = await connection.control_transaction(
                "begin", request, term=transaction.term, timeout_s=self._executor.remaining_s(deadline)
            )
            succeeded = outcome.is_ok()
            return outcome
        finally:
            if not succeeded:
                self._table.remove(transaction)

    def _check_pin_limits(self, scheduler: scheduling.InstanceScheduler, organisation: str) -> verdict.Refusal | None:
        # Leaves one connection for each slot unpinned; one organisation can pin at most half of the others.
        max_pins = max(1, scheduler.pool.limit - scheduler.slots)
        name = scheduler.instance.name
        if self._table.count(name) < max_pins and (self._table.count(name, organisation) < max(1, max_pins // 2)):
            return None
        return checks.refuse(verdict.Reason.QUEUE_FULL, "too many transactions are open on the instance", 0.5)

    async def transact(
        self, transaction: transactions.Transaction, work: messages.Transact, deadline: float
    ) -> interfaces.Outcome:
        """Run one statement of a reserved transaction."""
        statement = work.statement

        async def send() -> execution.Outcome:
            refusal = self._checker.check_transaction(work.caller, transaction.database, transaction.term)
            if refusal is not None:
                return result.Err(refusal)
            return await transaction.connection.execute(
                statement.request,
                term=transaction.term,
                sql=statement.sql,
                params=statement.params,
                write=statement.write,
                organisation=transaction.organisation,
                timeout_s=self._executor.remaining_s(deadline),
            )

        outcome = await self._run_in_transaction(transaction, deadline, send)
        if outcome.is_err():
            await self._end_if_fatal(transaction, outcome.err_value, statement.request)
            return outcome
        reply = outcome.ok_value
        return result.Ok(
            messages.Answer(statement.request, reply.columns, reply.rows, reply.changed, None, transaction.instance)
        )

    async def finish(
        self, transaction: transactions.Transaction, work: messages.Finish, deadline: float
    ) -> interfaces.Outcome:
        """Commit or roll back a reserved transaction."""
        if not work.commit:
            await self._roll_back(transaction, work.request, min(1.0, work.timeout_s))
            return result.Ok(messages.Answer(work.request, instance=transaction.instance))
        tracker = self._executor.primary_tracker(transaction.database, transaction.instance)
        refusal = await self._executor.check_majority(tracker, deadline)
        if refusal is not None:
            return result.Err(refusal)

        async def send() -> execution.Outcome:
            refusal = self._checker.check_transaction(work.caller, transaction.database, transaction.term)
            if refusal is not None:
                return result.Err(refusal)
            timeout_s = self._executor.remaining_s(deadline)
            return await transaction.connection.control_transaction(
                "commit", work.request, term=transaction.term, timeout_s=timeout_s
            )

        outcome = await self._run_in_transaction(transaction, deadline, send)
        if outcome.is_err():
            await self._end_if_fatal(transaction, outcome.err_value, work.request)
            return outcome
        self._end(transaction)
        reply = outcome.ok_value
        refusal = await self._executor.await_majority(tracker, transaction.term, reply, deadline)
        if refusal is not None:
            return result.Err(refusal)
        position = messages.Position(reply.term, reply.index)
        return result.Ok(messages.Answer(work.request, position=position, instance=transaction.instance))

    async def _run_in_transaction(
        self, transaction: transactions.Transaction, deadline: float, send: Callable[[], Awaitable[execution.Outcome]]
    ) -> execution.Outcome:
        scheduler = self._executor.find_scheduler(transaction.database, transaction.instance)
        if isinstance(scheduler, verdict.Refusal):
            return result.Err(scheduler)
        return await self._executor.run_in_transaction(scheduler, transaction.organisation, deadline, send)

    def reserve(
        self, identifier: str, caller: messages.Caller, database: str
    ) -> transactions.Transaction | verdict.Refusal:
        """Find an open transaction of a database and reserve it for one request; return a refusal if that fails."""
        transaction = self._table.find(identifier, caller.organisation)
        if transaction is None or transaction.connection.closed or transaction.database != database:
            return checks.refuse(verdict.Reason.UNKNOWN_TRANSACTION, "the transaction is not open at this VM")
        refusal = self._checker.check_caller(caller, transaction.database, None)
        if refusal is not None:
            return refusal
        if transaction.busy:
            return checks.refuse(
                verdict.Reason.TRANSACTION_BUSY, "another statement of the transaction is running", 0.05
            )
        transaction.busy = True
        return transaction

    def release(self, transaction: transactions.Transaction) -> None:
        """Release a reserved transaction, so that its next request can run."""
        transaction.busy = False
        transaction.used_at = self._clock.now()
        if transaction.connection.closed:
            self._end(transaction)

    async def _end_if_fatal(
        self, transaction: transactions.Transaction, refusal: verdict.Refusal, request: str
    ) -> None:
        """End a transaction that cannot continue after a refusal; after others, such as a full queue, it stays open."""
        if transaction.connection.closed:
            self._end(transaction)
        elif refusal.reason in _FATAL_REASONS:
            await self._roll_back(transaction, request, 1.0)

    async def _roll_back(self, transaction: transactions.Transaction, request: str, timeout_s: float) -> None:
        """Roll back and end a transaction; without a response the connection is closed, which rolls back as well."""
        outcome = await transaction.connection.control_transaction(
            "rollback", request, term=transaction.term, timeout_s=timeout_s
        )
        if outcome.is_err():
            transaction.connection.close()
        self._end(transaction)

    def _end(self, transaction: transactions.Transaction) -> None:
        if self._table.remove(transaction):
            transaction.pool.release(transaction.connection)

    def _close_and_end(self, transaction: transactions.Transaction) -> None:
        transaction.connection.close()
        self._end(transaction)
