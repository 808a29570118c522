"""Check of orders that arrive at the queue of a connection pool: which may wait, and when refused ones may return."""

import dataclasses

from currantlead import errors, logs
from currantlead.sessions import clock, metric_registry
from currantlead.sessions.decisions import admission, load
from currantlead.sessions.instances import link, orders, pool

SMOOTHING = 0.1
"""Weight of the latest measurement in the moving averages of the times for which connections are held and answers take.
Ten statements are a few tens of milliseconds at the load at which statements wait."""
INITIAL_TRANSACTION_S = 0.1
"""Assumed time for which a transaction holds its connection until the first one has ended."""
SILENT_S = 0.4
"""Time without any answer to running orders from which no connection is expected sooner than after the same time again;
the longest statements take about 0.1 s."""
IMMEDIATE_S = 0.001
"""Time within which an order got an idle connection without waiting; the rest of it is the program's own work."""
MIN_INTERVALS = 5
"""Number of connections that waiting statements must have got before the interval between them is used."""
INTERVAL_SMOOTHING = 0.04
"""Weight of the latest interval in its moving average. Intervals vary more than times of statements, and each is
multiplied by the length of the queue."""
GAP_SHARE = 0.1
"""Share of the time since the last connection was given out that counts as the interval. Gaps of up to ten times the
average interval are usual."""
MAX_IDLE_S = 1.0
"""Time without waiting statements after which the measured interval no longer counts."""
INITIAL_SERVICE_S = 0.02
"""Assumed time of a statement until the first one has been measured."""

_log = logs.part("admission")


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted order.

    Attributes:
        decision: The decision.
        queue: State of the queue that it waits in.
    """

    decision: admission.Decision
    queue: admission.QueueAdmission


class Arrivals:
    """Admits orders to the queue of one connection pool.

    Args:
        connections: The pool.
        metrics: Metrics of this VM.
    """

    def __init__(self, connections: pool.Pool, metrics: metric_registry.MetricRegistry):
        self._pool = connections
        self._metrics = metrics
        self._admission = admission.QueueAdmission()
        self._transaction_admission = admission.QueueAdmission()
        self._acquired_at: dict[link.Link, tuple[float, bool]] = {}
        self._hold_s = INITIAL_SERVICE_S
        self._transaction_s = INITIAL_TRANSACTION_S
        self._answer_s = INITIAL_SERVICE_S
        self._interval_s = 0.0
        self._intervals = 0
        self._served_at = 0.0
        self._left_waiting = False

    def admit(self, order: orders.Order, limits: admission.WaitLimits, priority: int, silent_s: float) -> Admitted:
        """Decide about an order that reaches the pool.

        Args:
            order: The order.
            limits: Limits of its waits.
            priority: Its priority; 0 is the highest.
            silent_s: Seconds for which the instance has answered none of the running orders.

        Raises:
            errors.PoolUnavailableError: The order is refused.
        """
        now = clock.now()
        service_s = max(self._answer_s, silent_s)
        statements = admission.TRANSACTION_STATEMENTS if order.opens_transaction else 1
        report, queue = self.report(now, silent_s), self._admission
        if order.opens_transaction and self._pool.in_transaction >= self._pool.transaction_limit:
            report, queue = self._transaction_report(now), self._transaction_admission
        decision = queue.decide(limits, priority, report, now, service_s=service_s * statements)
        if decision.expected_s:
            self._metrics.count("arrivals", instance=self._pool.instance.id, decision=decision.reason.value)
            self._metrics.record("expected_wait", decision.expected_s)
        if decision.reason is not admission.Reason.IN_TIME:
            self._log_decision(order, limits, priority, report, decision)
        if not decision.admitted:
            raise errors.PoolUnavailableError(
                f"{self._pool.instance.id} is busy, expected wait {decision.expected_s or 0.0:.3f} s",
                retry_after_s=decision.retry_after_s,
                offers_late=decision.offers_late,
            )
        return Admitted(decision, queue)

    def _log_decision(
        self,
        order: orders.Order,
        limits: admission.WaitLimits,
        priority: int,
        report: load.QueueReport,
        decision: admission.Decision,
    ) -> None:
        """Log a decision with the figures that it was based on."""
        _log.bind(
            request=order.request_id,
            instance=self._pool.instance.id,
            priority=priority,
            waiting=sum(report.waiting),
            running=report.running,
            limit=report.limit,
            service_ms=round(report.service_s * 1000, 1),
            expected_ms=None if decision.expected_s is None else round(decision.expected_s * 1000, 1),
            in_time_ms=round(limits.in_time_s * 1000),
            late_ms=round(limits.late_s * 1000),
            retry_ms=None if decision.retry_after_s is None else round(decision.retry_after_s * 1000),
        ).info("{}: {}", "admitted" if decision.admitted else "refused on arrival", decision.reason.value)

    def refuse_after_wait(
        self, limits: admission.WaitLimits, admitted: Admitted, error: errors.PoolUnavailableError
    ) -> errors.PoolUnavailableError:
        """Return the refusal of an order that waited in vain, with the delay after which its caller returns."""
        now = clock.now()
        decision = admitted.decision
        if decision.reason is admission.Reason.IN_TIME:
            admitted.queue.errors.record(decision.expected_s or 0.0, decision.wait_s)
        self._metrics.count("arrivals", instance=self._pool.instance.id, decision="waited in vain")
        _log.bind(instance=self._pool.instance.id, admitted_as=decision.reason.value).info(
            "refused after a wait of {:.3f} s: {}", decision.wait_s, error
        )
        delay_s = admitted.queue.book_after_wait(limits, self.report(now, 0.0), now)
        return errors.PoolUnavailableError(str(error), suspect=error.suspect, retry_after_s=delay_s)

    def record_acquired(
        self, connection: link.Link, order: orders.Order, admitted: Admitted | None, waited_s: float
    ) -> None:
        """Record that an order got a connection after a wait."""
        now = clock.now()
        self._acquired_at[connection] = now, order.opens_transaction
        if waited_s > IMMEDIATE_S:
            self._record_served(now)
        if admitted is not None and admitted.decision.expected_s:
            decision = admitted.decision
            self._metrics.record("actual_wait", waited_s)
            if decision.reason is admission.Reason.IN_TIME:
                admitted.queue.errors.record(decision.expected_s, waited_s)

    def _record_served(self, now: float) -> None:
        """Record that a waiting statement got a connection, for the rate at which the queue is processed."""
        if now - self._served_at > MAX_IDLE_S:
            self._intervals = 0
        elif self._left_waiting:
            self._intervals += 1
            weight = max(INTERVAL_SMOOTHING, 1.0 / self._intervals)
            self._interval_s += weight * (now - self._served_at - self._interval_s)
        self._served_at = now
        self._left_waiting = self._pool.waiting > 0

    def record_answered(self, duration_s: float) -> None:
        """Record the time that an order took on its connection."""
        self._answer_s += SMOOTHING * (duration_s - self._answer_s)

    def record_released(self, connection: link.Link) -> None:
        """Record that a connection is no longer in use."""
        acquired = self._acquired_at.pop(connection, None)
        if acquired is None:
            return
        acquired_at, in_transaction = acquired
        held_s = clock.now() - acquired_at
        if in_transaction:
            self._transaction_s += SMOOTHING * (held_s - self._transaction_s)
        else:
            self._hold_s += SMOOTHING * (held_s - self._hold_s)

    def report(self, now: float, silent_s: float) -> load.QueueReport:
        """Return the load of the pool.

        Without a limit on running statements, they also queue inside the instance, and a connection of another
        organisation has to be replaced first. The rate at which the queue is processed is therefore measured while
        statements wait. Until it has been, it follows from the time for which connections are held.

        Args:
            now: Clock reading, in seconds.
            silent_s: Seconds for which the instance has answered none of the running orders.
        """
        waiting = [0] * load.PRIORITIES
        for priority, _ in self._pool.waiting_priorities():
            waiting[min(priority, load.PRIORITIES - 1)] += 1
        service_s = self._hold_s
        if self._intervals >= MIN_INTERVALS and now - self._served_at <= MAX_IDLE_S:
            gap_s = now - self._served_at if self._left_waiting else 0.0
            service_s = max(self._interval_s, gap_s * GAP_SHARE) * self._pool.limit
        if silent_s >= SILENT_S:
            service_s = max(service_s, silent_s * self._pool.limit)
        loaded = self._pool.load(now)
        return load.QueueReport(
            measured_at=now,
            waiting=tuple(waiting),
            running=self._pool.busy,
            limit=self._pool.limit,
            free=loaded.free if loaded.running < loaded.limit else 0,
            service_s=service_s,
            wait_s=0.0,
        )

    def _transaction_report(self, now: float) -> load.QueueReport:
        """Return the load of the connections that transactions may use, while all of them are in use.

        They are released when callers end their transactions, which may rest between statements.
        """
        waiting = [0] * load.PRIORITIES
        for priority, opens_transaction in self._pool.waiting_priorities():
            waiting[min(priority, load.PRIORITIES - 1)] += opens_transaction
        limit = self._pool.transaction_limit
        return load.QueueReport(now, tuple(waiting), limit, limit, 0, self._transaction_s, 0.0)
