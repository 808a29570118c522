"""Execution of statements at the VM that holds the connections to an instance."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import result

from currantlead import errors, interfaces, logs, messages, timers, verdict, wire
from currantlead.connections import checks, endpoint, idempotency, pinned, places, turns

IDLE_TRANSACTION_S = 10.0
EXPIRE_S = 0.05

_log = logs.part("holder")


class Holder:
    """Run statements and transactions on the instances that this VM holds.

    Args:
        directory: The shared state.
        membership: This VM's lease and its shares of instances.
        peers: Streams on which other VMs send ``execute``, ``begin``, ``transact`` and ``finish``.
        clock: Timer service.
        on_silent: Called with (group, instance, term) if a primary gave no answer.
        idle_transaction_s: A transaction that is not used for this long is rolled back.
    """

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        peers: interfaces.Peers,
        clock: timers.Timers,
        *,
        on_silent: turns.Silent | None = None,
        idle_transaction_s: float = IDLE_TRANSACTION_S,
    ):
        self._directory = directory
        self._clock = clock
        rules = checks.Checks(directory, membership)
        self._places = places.Places(directory, membership, rules, peers.member.vm)
        self._turns = turns.Turns(directory, rules, self._places, clock, on_silent)
        self._pinned = pinned.Pinned(peers.member, rules, self._turns, clock, idle_transaction_s)
        self._places.on_released(self._pinned.forget)
        self._under_way = 0
        self._stopping = False
        self._quiet = asyncio.Event()
        self._subscriptions: list[timers.Subscription] = []
        self._expiry: timers.Subscription | None = None
        self._register(peers)

    def start(self) -> None:
        """Open the connections of held instances and follow the shared state."""
        self._subscriptions = [
            self._clock.subscribe("holder places", places.SWEEP_S, self._places.refresh),
        ]
        self._directory.subscribe(self._on_change)
        self._places.refresh(scan=True)

    async def stop(self, *, timeout_s: float = 20.0) -> None:
        """Refuse new work, let statements and transactions finish, then close all connections."""
        self._stopping = True
        if self._under_way or len(self._pinned):
            self._start_expiry()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._quiet.wait()
        for subscription in self._subscriptions:
            subscription.cancel()
        self._end_expiry()
        self._pinned.close()
        await self._places.close()

    def settled(self) -> bool:
        """Tell whether connections that this VM lost in a view change are closed."""
        return self._places.settled()

    async def execute(self, work: messages.Execute) -> interfaces.Outcome:
        """Run one statement outside a transaction."""
        if self._stopping:
            return result.Err(checks.refuse(verdict.Reason.LEAVING, "this VM is leaving", 0.1))
        self._begin_work()
        try:
            outcome = await self._execute(work, self._clock.now() + work.timeout_s)
        finally:
            self._under_way -= 1
        return self._note(work.statement.request, work.instance, work.term, outcome)

    async def begin(self, work: messages.Begin) -> interfaces.Outcome:
        """Open a transaction and return its id."""
        if self._stopping:
            return result.Err(checks.refuse(verdict.Reason.LEAVING, "this VM is leaving", 0.1))
        self._begin_work()
        try:
            outcome = await self._pinned.begin(work, self._clock.now() + work.timeout_s)
        finally:
            self._under_way -= 1
        return self._note(work.request, work.instance, work.term, outcome)

    async def transact(self, work: messages.Transact) -> interfaces.Outcome:
        """Run one statement of a transaction."""
        request = work.statement.request
        taken = self._pinned.take(work.transaction, work.caller, work.statement.database)
        if isinstance(taken, verdict.Refusal):
            return self._note(request, "-", 0, result.Err(taken))
        self._begin_work()
        try:
            outcome = await self._pinned.transact(taken, work, self._clock.now() + work.timeout_s)
        finally:
            self._under_way -= 1
            self._pinned.give_back(taken)
        return self._note(request, taken.instance, taken.term, outcome)

    async def finish(self, work: messages.Finish) -> interfaces.Outcome:
        """Commit or roll back a transaction."""
        taken = self._pinned.take(work.transaction, work.caller, work.database)
        if isinstance(taken, verdict.Refusal):
            return self._note(work.request, "-", 0, result.Err(taken))
        self._begin_work()
        try:
            outcome = await self._pinned.finish(taken, work, self._clock.now() + work.timeout_s)
        finally:
            self._under_way -= 1
            self._pinned.give_back(taken)
        return self._note(work.request, taken.instance, taken.term, outcome)

    async def _execute(self, work: messages.Execute, deadline: float) -> interfaces.Outcome:
        statement, turns_ = work.statement, self._turns
        refusal = turns_.check_work(work)
        if refusal is not None:
            return result.Err(refusal)
        held = turns_.held(statement.database, work.instance)
        if isinstance(held, verdict.Refusal):
            return result.Err(held)
        tracker = turns_.tracker_of(statement.database, work.instance)
        if statement.write and (refusal := await turns_.check_majority(tracker, deadline)) is not None:
            return result.Err(refusal)
        min_time = await turns_.min_time(work, deadline)
        if isinstance(min_time, verdict.Refusal):
            return result.Err(min_time)

        async def send(connection: endpoint.Connection) -> turns.Outcome:
            return await self._send(connection, work, min_time, deadline)

        outcome = await turns_.run(held, work.caller.organisation, deadline, send, read=not statement.write)
        if outcome.is_err():
            turns_.report_silence(statement.database, work.instance, work.term, outcome.err_value)
            return outcome
        reply = outcome.ok_value
        refusal = await turns_.await_majority(tracker, work.term, reply, deadline)
        if refusal is not None:
            return result.Err(refusal)
        position = messages.Position(reply.term, reply.index)
        return result.Ok(
            messages.Answer(statement.request, reply.columns, reply.rows, reply.changed, position, work.instance)
        )

    async def _send(
        self, connection: endpoint.Connection, work: messages.Execute, min_time: float | None, deadline: float
    ) -> turns.Outcome:
        # The wait for a slot and a connection may have lasted, so everything is checked once more.
        refusal = self._turns.check_work(work)
        if refusal is not None:
            return result.Err(refusal)
        statement = work.statement
        if statement.write and statement.idempotency_key is not None:
            return await idempotency.Run(connection, work, lambda: self._turns.left(deadline)).execute()
        return await connection.execute(
            statement.request,
            term=work.term,
            sql=statement.sql,
            params=statement.params,
            write=statement.write,
            organisation=work.caller.organisation,
            timeout_s=self._turns.left(deadline),
            min_index=statement.after.index if statement.after else None,
            min_time=min_time,
        )

    def _begin_work(self) -> None:
        self._under_way += 1
        self._start_expiry()

    def _start_expiry(self) -> None:
        if self._expiry is None:
            self._expiry = self._clock.subscribe("holder queues", EXPIRE_S, self._expire)

    def _end_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None

    def _expire(self) -> None:
        now = self._clock.now()
        for held in self._places:
            held.expire(now)
        self._pinned.expire(now)
        if not self._under_way and not len(self._pinned):
            # What waits in a queue is under way, so an idle holder needs no wake-ups.
            self._end_expiry()
            if self._stopping:
                self._quiet.set()

    def _on_change(self, kind: str, name: str) -> None:
        if not self._stopping:
            self._places.refresh()
            self._places.request_scan()

    def _note(self, request: str, instance: str, term: int, outcome: interfaces.Outcome) -> interfaces.Outcome:
        if outcome.is_ok():
            _log.info("request {} ran at {} in term {}", request, instance, term)
        else:
            refusal = outcome.err_value
            _log.info(
                "request {} at {} in term {}: {}, {}: {}",
                request,
                instance,
                term,
                refusal.verdict.value,
                refusal.reason.value,
                refusal.detail,
            )
        return outcome

    def _register(self, peers: interfaces.Peers) -> None:
        for kind, body, serve in (
            ("execute", messages.Execute, self.execute),
            ("begin", messages.Begin, self.begin),
            ("transact", messages.Transact, self.transact),
            ("finish", messages.Finish, self.finish),
        ):
            peers.handler(kind)(_handler(body, serve))


def _handler(kind: type, serve: Callable[[Any], Awaitable[interfaces.Outcome]]) -> interfaces.Handler:
    async def handle(sender: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            work = wire.from_map(kind, body)
        except errors.MalformedFrameError as error:
            return wire.outcome_to_map(result.Err(checks.refuse(verdict.Reason.MALFORMED, str(error))))
        return wire.outcome_to_map(await serve(work))

    return handle
