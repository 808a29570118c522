"""One turn of a request at an instance: checks, slot, connection, and the majority afterwards."""

import asyncio
from collections.abc import Awaitable, Callable

import result

from currantlead import interfaces, messages, timers, verdict
from currantlead.connections import acknowledgement, checks, dispatch, endpoint, places, silence

# An instance that is busy with locks refuses quickly; the statement gives its slot away and waits this long.
BUSY_PAUSE_S = 0.02
# An instance that cannot be reached is tried again for this long only: long enough to replace a closed connection,
# short enough that the proxy can turn to another instance or wait for a promotion.
UNREACHABLE_REPEAT_S = 0.1
# A replica confirms that it has lost its primary after 1 s, so an earlier report would find no evidence.
UNACKNOWLEDGED_S = 1.0
# An instance waits 0.1 s before it refuses as busy. A repeat that is cut off sooner may have run, although the refusal
# before it says for certain that the request has not run.
REPEAT_TIME_S = 0.25

Outcome = result.Result[endpoint.Reply, verdict.Refusal]
Send = Callable[[endpoint.Connection], Awaitable[Outcome]]
Silent = Callable[[str, str, int], None]


class Turns:
    """Bring requests to an instance, each in its turn."""

    def __init__(
        self,
        directory: interfaces.Directory,
        rules: checks.Checks,
        held_places: places.Places,
        clock: timers.Timers,
        on_silent: Silent | None,
    ):
        self._directory = directory
        self._rules = rules
        self._places = held_places
        self._clock = clock
        self._on_silent = on_silent

    def left(self, deadline: float) -> float:
        """Return the seconds left until a deadline."""
        return max(0.0, deadline - self._clock.now())

    def held(self, database: str, instance: str) -> dispatch.Dispatcher | verdict.Refusal:
        """Return the dispatcher of an instance, or a refusal if this VM does not hold it."""
        found = self._places.dispatcher(database, instance)
        return found or checks.refuse(verdict.Reason.NOT_HOLDER, "this VM does not hold the instance", 0.1)

    def tracker_of(self, database: str, instance: str) -> acknowledgement.Tracker | None:
        """Return the tracker of a group if the instance is its primary."""
        group = self._directory.groups.get(database)
        return self._places.tracker(database) if group is not None and group.primary == instance else None

    def check_work(self, work: messages.Execute) -> verdict.Refusal | None:
        """Check a statement outside a transaction."""
        statement = work.statement
        route_sql = None if statement.write else statement.sql
        return (
            self._rules.check_caller(work.caller, statement.database, route_sql)
            or self._rules.check_place(statement.database, work.instance, work.term, primary=statement.write)
            or self._rules.check_position(statement.database, statement.after)
            or self._check_leaving(statement.database, work.instance, statement.write)
        )

    def check_begin(self, work: messages.Begin) -> verdict.Refusal | None:
        """Check the opening of a transaction."""
        return (
            self._rules.check_caller(work.caller, work.database, None)
            or self._rules.check_place(work.database, work.instance, work.term, primary=True)
            or self._rules.check_position(work.database, work.after)
            or self._check_leaving(work.database, work.instance, True)
        )

    async def check_majority(self, tracker: acknowledgement.Tracker | None, deadline: float) -> verdict.Refusal | None:
        """Refuse a write before it is sent if no majority would acknowledge it."""
        if tracker is None:
            return checks.refuse(verdict.Reason.NO_PRIMARY, "the database has no primary", 0.5)
        if await tracker.reachable(timeout_s=min(1.0, self.left(deadline))):
            return None
        return checks.refuse(verdict.Reason.NO_MAJORITY, "no majority of the instances is reachable", 0.5)

    async def await_majority(
        self, tracker: acknowledgement.Tracker | None, term: int, reply: endpoint.Reply, deadline: float
    ) -> verdict.Refusal | None:
        """Wait until a majority has what a reply shows.

        A read at the primary waits too: otherwise its session could hold a position that a promotion discards. What a
        replica has applied, it and the primary have received, which is a majority of three.
        """
        if reply.term != term:
            detail = f"the instance answered in term {reply.term}, not {term}"
            return verdict.Refusal(verdict.Reason.STALE_TERM, verdict.Verdict.MAY_HAVE_RUN, detail)
        if tracker is None or (tracker.term == term and await self._wait_reporting(tracker, reply.index, deadline)):
            return None
        detail = "no majority acknowledged in time"
        return verdict.Refusal(verdict.Reason.NO_MAJORITY, verdict.Verdict.MAY_HAVE_RUN, detail)

    async def _wait_reporting(self, tracker: acknowledgement.Tracker, index: int, deadline: float) -> bool:
        """Wait for a majority; tell the monitors early if it takes long, since the primary may have lost its peers."""
        if await tracker.wait(index, timeout_s=min(UNACKNOWLEDGED_S, self.left(deadline))):
            return True
        group = self._directory.groups.get(tracker.group)
        if group is not None and group.term == tracker.term and self._on_silent is not None:
            self._on_silent(group.name, group.primary, group.term)
        return await tracker.wait(index, timeout_s=self.left(deadline))

    async def min_time(self, work: messages.Execute, deadline: float) -> float | verdict.Refusal | None:
        """Return the time on the primary's clock that a read with a maximum age must show."""
        statement = work.statement
        if statement.max_age_s is None:
            return None
        tracker = self.tracker_of(statement.database, work.instance)
        if tracker is not None:
            # A primary that lost its group still has a current clock, so its own time proves no age.
            if await tracker.confirm(statement.max_age_s, timeout_s=min(1.0, self.left(deadline))):
                return None
            return checks.refuse(verdict.Reason.NO_MAJORITY, "the primary is not confirmed by a majority", 0.5)
        clock = self._places.clock(statement.database)
        bound = await clock.bound(timeout_s=min(1.0, self.left(deadline))) if clock else None
        if bound is None:
            return checks.refuse(verdict.Reason.BEHIND, "the primary's clock is unknown", 0.2)
        return bound - statement.max_age_s

    async def run(
        self,
        held: dispatch.Dispatcher,
        organisation: str,
        deadline: float,
        send: Send,
        kept: list[endpoint.Connection] | None = None,
        *,
        read: bool = False,
    ) -> Outcome:
        """Wait for a slot and a connection, then send; repeat only what an instance refused as busy.

        Args:
            held: Dispatcher of the instance.
            organisation: On whose behalf.
            deadline: When the sender stops waiting.
            send: Checks once more and sends on a connection.
            kept: Connections that ``send`` pins and that are not given back here.
            read: Whether it is a read, which is abandoned once its instance stops answering.
        """

        async def lend() -> Outcome:
            acquired = await held.pool.acquire(timeout_s=self.left(deadline))
            if acquired.is_err():
                return acquired
            connection = acquired.ok_value
            try:
                return await send(connection)
            finally:
                if not kept or connection not in kept:
                    held.pool.release(connection)

        async def watch() -> Outcome:
            outcome = await silence.run_while_answering(lend(), held.answers, held.note_silent, abandon=read)
            if outcome is not None:
                return outcome
            detail = f"{held.instance.name} does not answer"
            return result.Err(verdict.Refusal(verdict.Reason.UNREACHABLE, verdict.Verdict.MAY_HAVE_RUN, detail))

        if (refusal := held.check_silence()) is not None:
            return result.Err(refusal)
        return await self._repeat(held, organisation, deadline, watch, pinned=False)

    async def run_pinned(
        self, held: dispatch.Dispatcher, organisation: str, deadline: float, send: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Wait for a slot, then send on the connection of a transaction."""
        return await self._repeat(held, organisation, deadline, send, pinned=True)

    def report_silence(self, database: str, instance: str, term: int, refusal: verdict.Refusal) -> None:
        """Tell the monitors if the primary of a group gave no answer."""
        if refusal.reason not in (verdict.Reason.TIMEOUT, verdict.Reason.UNREACHABLE) or self._on_silent is None:
            return
        group = self._directory.groups.get(database)
        if group is not None and group.primary == instance and group.term == term:
            self._on_silent(database, instance, term)

    async def _repeat(
        self,
        held: dispatch.Dispatcher,
        organisation: str,
        deadline: float,
        step: Callable[[], Awaitable[Outcome]],
        *,
        pinned: bool,
    ) -> Outcome:
        weight, length, queue_s = self._limits(held.group, organisation)
        started = self._clock.now()
        while True:
            queue_deadline = min(deadline, self._clock.now() + queue_s)
            refusal = await held.enter(
                organisation, weight=weight, limit=length, deadline=queue_deadline, pinned=pinned
            )
            if refusal is not None:
                return result.Err(refusal)
            try:
                if self.left(deadline) <= 0:
                    return result.Err(checks.refuse(verdict.Reason.QUEUE_TIMEOUT, "the sender's time is over", 0.1))
                outcome = await step()
            finally:
                held.leave()
            waited_s = self._clock.now() - started
            if outcome.is_ok() or not _may_repeat(outcome.err_value, waited_s) or self.left(deadline) <= REPEAT_TIME_S:
                return outcome
            await asyncio.sleep(BUSY_PAUSE_S)

    def _limits(self, database: str, organisation: str) -> tuple[float, int, float]:
        service = self._rules.service(database)
        found = self._directory.configuration.organisations.get(organisation)
        weight = found.weight if found else 1.0
        return (weight, service.queue_length, service.queue_timeout_s) if service else (weight, 0, 0.0)

    def _check_leaving(self, database: str, name: str, write: bool) -> verdict.Refusal | None:
        group = self._directory.groups.get(database)
        instance = group.instance(name) if group else None
        if instance is None or not self._rules.is_leaving(instance):
            return None
        held = self._places.dispatcher(database, name)
        if write and held is not None and held.left_in_service(checks.LEAVING_WRITES_S):
            return None
        return checks.refuse(verdict.Reason.LEAVING, f"{name} is leaving", 0.2)


def _may_repeat(refusal: verdict.Refusal, waited_s: float) -> bool:
    if refusal.verdict is not verdict.Verdict.NOT_RUN:
        return False
    unreachable = refusal.reason is verdict.Reason.UNREACHABLE and waited_s < UNREACHABLE_REPEAT_S
    return unreachable or refusal.reason is verdict.Reason.NO_CONNECTION
