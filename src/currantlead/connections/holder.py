"""Execution of statements and transactions at the VM that holds connections to an instance."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import result

from currantlead import errors, interfaces, logs, messages, timers, verdict, wire
from currantlead.connections import checks, endpoint, execution, held_instances, idempotency, transaction_manager

IDLE_TRANSACTION_TIMEOUT_S = 10.0
EXPIRY_INTERVAL_S = 0.05

_log = logs.part("holder")


class Holder:
    """Run statements and transactions on the instances to which this VM holds connections.

    Args:
        directory: This VM's copy of the shared state.
        membership: This VM's lease and its share of each instance.
        peers: Streams from other VMs, on which ``execute``, ``begin``, ``transact`` and ``finish`` requests arrive.
        clock: Timer service.
        on_unresponsive_primary: Called with (group, instance, term) if a primary does not respond.
        idle_transaction_timeout_s: Transactions that are idle for longer than this are rolled back.
    """

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        peers: interfaces.Peers,
        clock: timers.Timers,
        *,
        on_unresponsive_primary: execution.PrimaryUnresponsiveCallback | None = None,
        idle_transaction_timeout_s: float = IDLE_TRANSACTION_TIMEOUT_S,
    ):
        self._directory = directory
        self._clock = clock
        checker = checks.RequestChecker(directory, membership)
        self._held_instances = held_instances.HeldInstances(directory, membership, checker, peers.member.vm)
        self._executor = execution.Executor(directory, checker, self._held_instances, clock, on_unresponsive_primary)
        self._transactions = transaction_manager.TransactionManager(
            peers.member, checker, self._executor, clock, idle_transaction_timeout_s
        )
        self._held_instances.on_release(self._transactions.roll_back_released)
        self._in_flight = 0
        self._stopping = False
        self._drained = asyncio.Event()
        self._subscriptions: list[timers.Subscription] = []
        self._expiry_timer: timers.Subscription | None = None
        self._register_handlers(peers)

    def start(self) -> None:
        """Open connections to the instances that this VM holds, and keep following the shared state."""
        self._subscriptions = [
            self._clock.subscribe("held instances", held_instances.REFRESH_INTERVAL_S, self._held_instances.refresh),
        ]
        self._directory.subscribe(self._on_directory_change)
        self._held_instances.refresh(scan=True)

    async def stop(self, *, timeout_s: float = 20.0) -> None:
        """Refuse new work, wait for open statements and transactions, then close all connections."""
        self._stopping = True
        if self._in_flight or len(self._transactions):
            self._start_expiry_timer()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._drained.wait()
        for subscription in self._subscriptions:
            subscription.cancel()
        self._stop_expiry_timer()
        self._transactions.close()
        await self._held_instances.close()

    def release_complete(self) -> bool:
        """Return whether all connections beyond this VM's current shares are closed, as after a view change."""
        return self._held_instances.release_complete()

    async def execute(self, work: messages.Execute) -> interfaces.Outcome:
        """Run one statement outside a transaction."""
        if self._stopping:
            return result.Err(checks.refuse(verdict.Reason.LEAVING, "this VM is shutting down", 0.1))
        self._start_request()
        try:
            outcome = await self._execute(work, self._clock.now() + work.timeout_s)
        finally:
            self._in_flight -= 1
        return self._log_outcome(work.statement.request, work.instance, work.term, outcome)

    async def begin(self, work: messages.Begin) -> interfaces.Outcome:
        """Open a transaction and return its id."""
        if self._stopping:
            return result.Err(checks.refuse(verdict.Reason.LEAVING, "this VM is shutting down", 0.1))
        self._start_request()
        try:
            outcome = await self._transactions.begin(work, self._clock.now() + work.timeout_s)
        finally:
            self._in_flight -= 1
        return self._log_outcome(work.request, work.instance, work.term, outcome)

    async def transact(self, work: messages.Transact) -> interfaces.Outcome:
        """Run one statement of an open transaction."""
        request = work.statement.request
        transaction = self._transactions.reserve(work.transaction, work.caller, work.statement.database)
        if isinstance(transaction, verdict.Refusal):
            return self._log_outcome(request, "-", 0, result.Err(transaction))
        self._start_request()
        try:
            outcome = await self._transactions.transact(transaction, work, self._clock.now() + work.timeout_s)
        finally:
            self._in_flight -= 1
            self._transactions.release(transaction)
        return self._log_outcome(request, transaction.instance, transaction.term, outcome)

    async def finish(self, work: messages.Finish) -> interfaces.Outcome:
        """Commit or roll back an open transaction."""
        transaction = self._transactions.reserve(work.transaction, work.caller, work.database)
        if isinstance(transaction, verdict.Refusal):
            return self._log_outcome(work.request, "-", 0, result.Err(transaction))
        self._start_request()
        try:
            outcome = await self._transactions.finish(transaction, work, self._clock.now() + work.timeout_s)
        finally:
            self._in_flight -= 1
            self._transactions.release(transaction)
        return self._log_outcome(work.request, transaction.instance, transaction.term, outcome)

    async def _execute(self, work: messages.Execute, deadline: float) -> interfaces.Outcome:
        statement, executor = work.statement, self._executor
        refusal = executor.check_statement(work)
        if refusal is not None:
            return result.Err(refusal)
        scheduler = executor.find_scheduler(statement.database, work.instance)
        if isinstance(scheduler, verdict.Refusal):
            return result.Err(scheduler)
        tracker = executor.primary_tracker(statement.database, work.instance)
        if statement.write and (refusal := await executor.check_majority(tracker, deadline)) is not None:
            return result.Err(refusal)
        min_time = await executor.min_time(work, deadline)
        if isinstance(min_time, verdict.Refusal):
            return result.Err(min_time)

        async def send(connection: endpoint.Connection) -> execution.Outcome:
            return await self._send(connection, work, min_time, deadline)

        outcome = await executor.run(scheduler, work.caller.organisation, deadline, send, read=not statement.write)
        if outcome.is_err():
            executor.report_unresponsive_primary(statement.database, work.instance, work.term, outcome.err_value)
            return outcome
        reply = outcome.ok_value
        refusal = await executor.await_majority(tracker, work.term, reply, deadline)
        if refusal is not None:
            return result.Err(refusal)
        position = messages.Position(reply.term, reply.index)
        return result.Ok(
            messages.Answer(statement.request, reply.columns, reply.rows, reply.changed, position, work.instance)
        )

    async def _send(
        self, connection: endpoint.Connection, work: messages.Execute, min_time: float | None, deadline: float
    ) -> execution.Outcome:
        # Repeats the checks, because the wait for a slot and a connection may have taken long.
        refusal = self._executor.check_statement(work)
        if refusal is not None:
            return result.Err(refusal)
        statement = work.statement
        if statement.write and statement.idempotency_key is not None:
            return await idempotency.IdempotentWrite(
                connection, work, lambda: self._executor.remaining_s(deadline)
            ).execute()
        return await connection.execute(
            statement.request,
            term=work.term,
            sql=statement.sql,
            params=statement.params,
            write=statement.write,
            organisation=work.caller.organisation,
            timeout_s=self._executor.remaining_s(deadline),
            min_index=statement.after.index if statement.after else None,
            min_time=min_time,
        )

    def _start_request(self) -> None:
        self._in_flight += 1
        self._start_expiry_timer()

    def _start_expiry_timer(self) -> None:
        if self._expiry_timer is None:
            self._expiry_timer = self._clock.subscribe("holder queues", EXPIRY_INTERVAL_S, self._expire)

    def _stop_expiry_timer(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _expire(self) -> None:
        now = self._clock.now()
        for scheduler in self._held_instances:
            scheduler.expire_queued(now)
        self._transactions.expire(now)
        if not self._in_flight and not len(self._transactions):
            # Queued requests count as in flight, so an idle holder has nothing to expire.
            self._stop_expiry_timer()
            if self._stopping:
                self._drained.set()

    def _on_directory_change(self, kind: str, name: str) -> None:
        if not self._stopping:
            self._held_instances.refresh()
            self._held_instances.request_scan()

    def _log_outcome(self, request: str, instance: str, term: int, outcome: interfaces.Outcome) -> interfaces.Outcome:
        if outcome.is_ok():
            _log.info("request {} ran on {} in term {}", request, instance, term)
        else:
            refusal = outcome.err_value
            _log.info(
                "request {} failed on {} in term {}: {}, {}: {}",
                request,
                instance,
                term,
                refusal.verdict.value,
                refusal.reason.value,
                refusal.detail,
            )
        return outcome

    def _register_handlers(self, peers: interfaces.Peers) -> None:
        for kind, message_type, serve in (
            ("execute", messages.Execute, self.execute),
            ("begin", messages.Begin, self.begin),
            ("transact", messages.Transact, self.transact),
            ("finish", messages.Finish, self.finish),
        ):
            peers.handler(kind)(_create_handler(message_type, serve))


def _create_handler(message_type: type, serve: Callable[[Any], Awaitable[interfaces.Outcome]]) -> interfaces.Handler:
    async def handle(sender: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            work = wire.from_map(message_type, body)
        except errors.MalformedFrameError as error:
            return wire.outcome_to_map(result.Err(checks.refuse(verdict.Reason.MALFORMED, str(error))))
        return wire.outcome_to_map(await serve(work))

    return handle
