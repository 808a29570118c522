"""Pool of connections with a fair queue, a limit of the statements that run at the same time, or both."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from currantlead import errors, logs
from currantlead.sessions import clock, model, statements
from currantlead.sessions.decisions import concurrency, fair_queue, load
from currantlead.sessions.instances import link, load_meter, pool, waiters

OPENING_SHARE = 0.5
"""Share of the limit of running statements that openings may use. They occupy slots, so that without a bound an
overload by many organisations would leave few slots to statements."""
HOLDING_SHARE = 0.1
"""Slot time that an organisation is charged per second for which a transaction holds a connection without running a
statement. An instance has about ten connections per slot."""
MAX_DEFERRAL_SHARE = 0.5
"""Share of its wait limit after which a statement is no longer deferred in favour of organisations with idle
connections. The rest suffices to open a connection for it."""

_log = logs.part("pool")


@dataclasses.dataclass(eq=False, slots=True)
class _Use:
    """Connection in use.

    Attributes:
        priority: Priority of the statement or transaction.
        charged_s: Expected slot time that has been charged and not yet been corrected.
        running: Whether a statement is running or about to be sent on it.
        paused_at: Clock reading at which the last statement of a transaction ended.
    """

    priority: int
    charged_s: float
    running: bool = True
    paused_at: float = 0.0


class ScheduledPool(pool.Pool):
    """Pool whose waiters get a connection and a slot together.

    Statements of open transactions are not delayed, because they hold connections; they count as running, so that the
    waiters start later. Openings count as running too, because they occupy a slot of the instance.

    Args:
        instance: The instance.
        limit: Maximum number of open connections.
        connector: Opens a connection.
        on_refused: Called when the instance refuses a connection.
        meter: Measures the statements.
        queue: Decides on the order of the waiters; None for the order of ``pool.Pool``.
        running_limit: Limits the running statements; None for no limit.
    """

    def __init__(
        self,
        instance: model.Instance,
        limit: int,
        connector: pool.Connector = link.Link.connect,
        on_refused: pool.RefusalCallback = lambda instance_id, error: None,
        *,
        meter: load_meter.LoadMeter,
        queue: fair_queue.FairQueue | None = None,
        running_limit: concurrency.ConcurrencyLimit | None = None,
    ):
        super().__init__(instance, limit, connector, on_refused, meter=meter)
        self._queue = queue
        self._running_limit = running_limit
        self._uses: dict[link.Link, _Use] = {}
        self._running = 0

    @property
    def running_limit(self) -> int:
        """Return the maximum number of statements that may run at the same time."""
        return self.limit if self._running_limit is None else min(self.limit, self._running_limit.limit)

    @property
    def saturated(self) -> bool:
        """Return whether a new statement would have to wait."""
        return not self._has_slot() or super().saturated

    def divide(self, slots: int, holders: int, part: int) -> None:
        """Set this VM's part of the statements that may run on the instance.

        Args:
            slots: Number of slots that the instance reports, or 0 if it does not.
            holders: Number of VMs that hold its connections.
            part: Maximum number of statements that this VM may run.
        """
        if self._running_limit is not None:
            self._running_limit.divide(slots, holders, part)
            self._open_for_waiters()

    def load(self, now: float) -> load.QueueReport:
        """Return the state of the queue; statements count as running once they have a slot."""
        return dataclasses.replace(super().load(now), running=self._running + len(self._openings))

    def begin_statement(self, connection: link.Link) -> None:
        """Occupy a slot for a statement of an open transaction; other statements already have theirs."""
        super().begin_statement(connection)
        use = self._uses.get(connection)
        if use is not None and not use.running:
            use.running = True
            self._running += 1
            self._charge(connection, HOLDING_SHARE * (clock.now() - use.paused_at))

    def end_statement(self, connection: link.Link, statement: load_meter.Statement) -> None:
        """Free the slot of a statement, and learn from its answer."""
        super().end_statement(connection, statement)
        use = self._uses.get(connection)
        if use is None:
            # The transaction was rolled back and its connection closed while the statement was running.
            return
        duration_s = statement.ended_at - statement.started_at
        if self._running_limit is not None:
            self._learn(self._running_limit, use.priority, duration_s, statement)
        self._pause(use)
        if self._queue is not None:
            if statement.outcome is load_meter.Outcome.ANSWERED:
                self._queue.record_cost(use.priority, duration_s)
            self._charge(connection, duration_s - use.charged_s)
            use.charged_s = 0.0
        if connection.open and connection.state is not statements.TransactionState.IDLE:
            # The connection stays in its transaction, but its slot may be used.
            self._open_for_waiters()

    def _learn(
        self,
        limit: concurrency.ConcurrencyLimit,
        priority: int,
        duration_s: float,
        statement: load_meter.Statement,
    ) -> None:
        change = None
        if statement.outcome is load_meter.Outcome.ANSWERED:
            kind = priority, statement.kind
            running = self._running + len(self._openings)
            change = limit.record_answer(kind, duration_s, statement.started_at, running, statement.ended_at)
        elif statement.outcome is load_meter.Outcome.BUSY:
            change = limit.record_refusal(statement.started_at, statement.ended_at)
        elif statement.outcome is load_meter.Outcome.SILENT:
            change = limit.record_silence(statement.started_at, statement.ended_at)
        if change is not None:
            _log.bind(instance=self.instance.id, previous=change.previous, limit=change.limit).info(
                "limit of running statements changed: {}", change.reason
            )

    def _pause(self, use: _Use) -> None:
        if use.running:
            use.running = False
            use.paused_at = clock.now()
            self._running -= 1

    def _charge(self, connection: link.Link, slot_s: float) -> None:
        if self._queue is not None:
            self._queue.charge(self._uses[connection].priority, connection.organisation, slot_s, clock.now())

    def _has_slot(self) -> bool:
        """Return whether another statement or opening may start; one always may if nothing runs."""
        return self._running_limit is None or self._running + len(self._openings) < self._running_limit.limit

    def _add_waiter(self, waiter: waiters.Waiter) -> None:
        if self._queue is not None:
            now = clock.now()
            resting = sum(not use.running for use in self._uses.values())
            parallel = max(1, min(self.running_limit, self.limit - resting))
            if self._queue.refuses(waiter.priority, waiter.organisation, parallel, waiter.deadline - now):
                raise errors.PoolUnavailableError(
                    f"the queue for {self.instance.id} is longer than the statement may wait"
                )
            self._queue.add(waiter, now)
        super()._add_waiter(waiter)

    def _remove_waiter(self, waiter: waiters.Waiter) -> None:
        if self._queue is not None:
            self._queue.remove(waiter, clock.now())
        super()._remove_waiter(waiter)

    def _take_idle(self, organisation: str, values: Mapping[str, str]) -> link.Link | None:
        return super()._take_idle(organisation, values) if self._idle and self._has_slot() else None

    def _mark_used(self, connection: link.Link, opens_transaction: bool, priority: int) -> None:
        super()._mark_used(connection, opens_transaction, priority)
        use = self._uses[connection] = _Use(priority, 0.0)
        self._running += 1
        if self._queue is not None:
            use.charged_s = self._queue.cost_s(priority)
            self._charge(connection, use.charged_s)

    def _mark_unused(self, connection: link.Link) -> None:
        use = self._uses[connection]
        if use.running:
            self._pause(use)
            self._charge(connection, -use.charged_s)
        else:
            self._charge(connection, HOLDING_SHARE * (clock.now() - use.paused_at))
        del self._uses[connection]
        super()._mark_unused(connection)

    def _fail(self, waiter: waiters.Waiter, error: Exception) -> None:
        super()._fail(waiter, error)
        if self._queue is not None:
            self._queue.remove(waiter, clock.now())

    def _assign(self, waiter: waiters.Waiter, connection: link.Link) -> None:
        if self._queue is not None:
            self._queue.start(waiter, clock.now())
        super()._assign(waiter, connection)

    def _assign_or_keep(self, connection: link.Link) -> None:
        """Keep an unused connection, and give it to a waiter if its turn has come."""
        if self._closed or not connection.usable or self._size > self.limit:
            self._drop(connection)
            return
        self._idle.append(connection)
        self._open_for_waiters()

    def _open_for_waiters(self) -> None:
        """Start waiters, on idle connections or by opening connections for them, as far as the limits allow."""
        while self._waiters and not self._closed and self._has_slot() and self._start_next():
            pass

    def _start_next(self) -> bool:
        """Start the next waiter, or open a connection for it; return whether one was found.

        Waiters whose organisation has an idle connection may go before one that needs an opening.
        """
        can_open = len(self._openings) < self._max_openings() and bool(self._idle or self._has_place())
        if not self._idle and not can_open:
            return False
        idle_organisations = {connection.organisation for connection in self._idle}
        deferred = None
        for waiter in self._order():
            if waiter.organisation in idle_organisations:
                if deferred is not None and not self._may_overtake(deferred, waiter):
                    continue
                connection = self._take_idle(waiter.organisation, {})
                if connection is not None:
                    self._assign(waiter, connection)
                    return True
            elif can_open and deferred is None and self._should_open(waiter):
                if not idle_organisations or self._queue is None or not self._is_deferrable(waiter):
                    return self._open_in_place(waiter)
                deferred = waiter
        return deferred is not None and self._open_in_place(deferred)

    def _order(self) -> Iterable[waiters.Waiter]:
        if self._queue is None:
            return self._sorted_waiters()
        return self._queue.order(admits_transactions=self._admits(True))

    def _may_overtake(self, deferred: waiters.Waiter, waiter: waiters.Waiter) -> bool:
        return self._queue is not None and self._queue.prefers_connected(deferred, waiter)

    def _is_deferrable(self, waiter: waiters.Waiter) -> bool:
        waited_s = clock.now() - waiter.waiting_since
        limit_s = (waiter.deadline - waiter.waiting_since) * MAX_DEFERRAL_SHARE
        return waited_s < min(pool.AFFINITY_S, limit_s)

    def _has_place(self) -> bool:
        return self._size < self.limit and not (self.full and self._size)

    def _open_in_place(self, waiter: waiters.Waiter) -> bool:
        """Open a connection for a waiter, in place of an idle one if there is no free place; return whether it did."""
        if self._has_place():
            self._size += 1
        elif self._idle:
            self._idle.pop(self._choose_victim()).close()
        else:
            # The idle connections turned out to be closed by the instance, which refuses others because it is full.
            return False
        self._open(waiter)
        return True

    def _max_openings(self) -> int:
        """Return how many connections may be opened at the same time."""
        if self._running_limit is None:
            return pool.MAX_CONCURRENT_OPENINGS
        return max(1, int(self._running_limit.limit * OPENING_SHARE))

    def _choose_victim(self) -> int:
        """Return the index of the idle connection that is closed in favour of another organisation.

        It is the longest idle one of the organisation with the most idle connections, among those without waiters: an
        organisation that loses its only connection has to open it again soon.
        """
        wanted = {waiter.organisation for waiter in self._waiters}
        counts = collections.Counter(connection.organisation for connection in self._idle)
        return max(
            range(len(self._idle)),
            key=lambda index: (
                self._idle[index].organisation not in wanted,
                counts[self._idle[index].organisation],
                -index,
            ),
        )
