"""Paths by which orders reach an instance: over this VM's own connections, or through a holder."""

import abc
import contextlib
import dataclasses
import itertools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import clock, model, statements
from currantlead.sessions.decisions import admission, placement
from currantlead.sessions.instances import link, load_meter, orders, pool

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import arrivals

ROLLBACK_TIMEOUT_S = 1.0
"""Timeout of a rollback, which does not wait for an execution slot. An instance that takes longer is unresponsive, and
the connection is closed."""

SILENT_S = 0.4
"""Time without any response to running orders after which an instance is suspected to be down. Under load responses
arrive every few milliseconds, and the longest statements take about 0.1 s."""
STUCK_COMMITS_S = 0.5
"""Time without any successful commit, while commits are running, after which an instance may have lost its replicas."""
MAX_OVERRUN_S = 0.1
"""Maximum overrun of the wait for a connection. A longer one means that this VM was stalled, and the statement is not
sent, because its caller may have given up."""

WAITED_SHARE = 0.9
"""Share of the maximum wait after which a wait counts as over; timers may end it a little early."""
MIN_ORDER_S = 0.05
"""Minimum time for an order after a wait. Orders are admitted with time left, so that only a stalled VM needs this; a
shorter time would close the connection before any answer."""

SendCheck = Callable[[], statements.Failure | None]
"""Returns the reason why a statement must not be sent now, or None."""

_log = logs.part("route")
_codec = lines.InstanceCodec()


class Transaction(abc.ABC):
    """Open transaction on an instance.

    Attributes:
        instance: The instance on which it is open.
    """

    instance: model.Instance

    @abc.abstractmethod
    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement in the transaction.

        Raises:
            errors.LinkLostError: The connection was lost; the instance rolls back unless the statement was a commit.
        """

    @abc.abstractmethod
    async def end(self) -> None:
        """Roll back the transaction if it is still open, and release its connection."""


class Path(abc.ABC):
    """Way to run orders on one instance.

    Attributes:
        instance: The instance.
    """

    instance: model.Instance

    @property
    @abc.abstractmethod
    def saturated(self) -> bool:
        """Return whether a new order would have to wait for a connection."""

    @property
    @abc.abstractmethod
    def waiting(self) -> int:
        """Return the number of orders that compete with a new one."""

    @abc.abstractmethod
    def has_idle(self, organisation: str) -> bool:
        """Return whether a connection of the organisation is known to be idle."""

    def estimate(
        self, organisation: str, priority: int, now: float, *, reserved_share: float = 0.0
    ) -> placement.Estimate | None:
        """Return what an order has to expect, or None without a recent load report.

        Args:
            organisation: Organisation of the order.
            priority: Priority of the order.
            now: Clock reading, in seconds.
            reserved_share: Share of the slots that are kept for other work.
        """
        return None

    @abc.abstractmethod
    async def run(
        self,
        organisation: str,
        order: orders.Order,
        *,
        priority: int,
        wait_s: float,
        check: SendCheck,
        limits: admission.WaitLimits | None = None,
    ) -> tuple[orders.Report, Transaction | None]:
        """Run an order.

        Args:
            organisation: Organisation under whose name the connection was opened.
            order: The order.
            priority: Priority among the waiting orders; 0 is the highest.
            wait_s: Maximum wait for a connection, in seconds.
            check: Called just before anything is sent, to refuse the order if its conditions have changed.
            limits: Limits by which the order is admitted or refused on arrival, in place of ``wait_s``; None if it is
                not checked on arrival.

        Returns:
            The report, and the transaction that the order left open, or None.

        Raises:
            errors.OrderRefusedError: ``check`` refused the order; nothing was sent.
            errors.PoolUnavailableError: No connection became available in time, or none is expected to; nothing was
                sent.
            errors.LinkRefusedError: The instance refused a new connection; nothing was sent.
            errors.LinkLostError: The connection was closed or timed out.
        """


class RequestCounter(Protocol):
    """Counter of the requests that instances began to run."""

    async def count(self, organisation: str, running: Awaitable[orders.Report]) -> orders.Report:
        """Return the report of a request, and count the request if it ran."""


class CommitGuard(Protocol):
    """Decides whether commits may be sent, go on waiting, and be reported as successful."""

    async def find_refusal(self, instance: model.Instance) -> statements.Failure | None:
        """Return why a commit must not be sent to an instance, or None."""

    def watch(self, instance: model.Instance) -> contextlib.AbstractContextManager[Any]:
        """Return a context for the time in which a commit waits; it provides what ``confirm`` needs."""

    async def confirm(self, commit: Any, log_end: model.Position | None) -> bool:
        """Return whether the success of a commit, which has just arrived, may be passed on.

        Args:
            commit: What ``watch`` provided.
            log_end: End of the instance's log in the answer, or None if the answer has none.
        """


class Activity:
    """Tracks the running orders of an instance, to detect that it has stopped responding.

    Args:
        counter: Counts the requests of callers, or None if nothing counts them.

    Attributes:
        committed_at: Monotonic time of the last successful commit.
    """

    def __init__(self, counter: RequestCounter | None = None) -> None:
        self._counter = counter
        self._running: dict[int, tuple[float, bool]] = {}
        self._order_ids = itertools.count()
        self._last_response_at = float("-inf")
        self.committed_at = float("-inf")

    async def perform(self, order: orders.Order, connection: link.Link) -> orders.Report:
        """Run an order and track it; see ``orders.perform``.

        Raises:
            errors.LinkLostError: The connection was lost; it counts as timed out only if the instance answered nothing
                else meanwhile.
        """
        # A transaction counts once, with its first statement, as it does for the rate.
        continues = (
            order.begin_mode is orders.BeginMode.NONE and connection.state is not statements.TransactionState.IDLE
        )
        if self._counter is None or continues or order.request_id == orders.OWN_REQUEST_ID:
            return await self._perform(order, connection)
        return await self._counter.count(connection.organisation, self._perform(order, connection))

    async def _perform(self, order: orders.Order, connection: link.Link) -> orders.Report:
        order_id = next(self._order_ids)
        started_at = clock.now()
        self._running[order_id] = started_at, order.commits
        try:
            report = await orders.perform(order, connection)
            self._last_response_at = clock.now()
            if order.commits and report.reply.failure is None:
                self.committed_at = self._last_response_at
            return report
        except errors.LinkLostError as error:
            if error.timed_out and self._last_response_at > started_at:
                # The instance answered others meanwhile: this answer was lost, and the instance is alive.
                raise errors.LinkLostError(str(error), sent=error.sent) from error
            raise
        finally:
            del self._running[order_id]

    def silent_s(self) -> float:
        """Return the seconds since the last response or the start of the oldest running order, whichever is later.

        Returns 0 if no order is running.
        """
        start_times = [started_at for started_at, _ in self._running.values()]
        return clock.now() - max(self._last_response_at, min(start_times)) if start_times else 0.0

    def stuck_s(self) -> float:
        """Return the seconds since the last successful commit or the start of the oldest running one.

        The later of the two counts. Returns 0 if no commit is running.
        """
        start_times = [started_at for started_at, commits in self._running.values() if commits]
        return clock.now() - max(self.committed_at, min(start_times)) if start_times else 0.0


class DirectTransaction(Transaction):
    """Open transaction on a connection of this VM.

    The connection has one user at a time: a statement or the rollback. It is released once, by whichever ends last.
    """

    def __init__(self, connection: link.Link, path: "DirectPath"):
        self.instance = connection.instance
        self.link = connection
        self.path = path
        self._running = False
        self._ended = False

    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement; see ``Transaction.run``."""
        if self._ended or self._running:
            reason = "has ended" if self._ended else "runs another statement"
            raise errors.LinkLostError(f"the transaction {reason}", sent=False)
        self._running = True
        try:
            refusal = await self.path.check_commit(order)
            if refusal is not None or self._ended:
                raise errors.LinkLostError(refusal.detail if refusal else "the transaction has ended", sent=False)
            report, commit = await self.path.perform(order, self.link)
        except errors.LinkLostError:
            raise
        except BaseException:
            # What the instance answers next may belong to this statement.
            self.link.abort()
            raise
        finally:
            self._running = False
            if self._ended:
                self.path.release(self.link)
        return await self.path.confirm(report, commit)

    async def end(self) -> None:
        """Roll back the transaction if it is still open, and release its connection.

        While a statement runs, the connection is closed instead, and released when the statement has ended: a statement
        that is still being prepared must not run after a rollback.
        """
        if self._ended:
            return
        self._ended = True
        if self._running:
            _log.bind(instance=self.instance.id).info("transaction ended while a statement runs, connection closed")
            self.link.abort()
            return
        try:
            if self.link.open and self.link.state is not statements.TransactionState.IDLE:
                await self.link.exchange(_codec.encode_rollback(), timeout_s=ROLLBACK_TIMEOUT_S)
        except errors.LinkLostError as error:
            _log.bind(instance=self.instance.id).info("rollback failed, connection closed: {}", error)
        except BaseException:
            self.link.abort()
            raise
        finally:
            self.path.release(self.link)


class DirectPath(Path):
    """Runs orders on the connections of this VM.

    Attributes:
        pool: The connections to the instance.
        activity: The running orders, to detect that the instance has stopped responding.
        arrivals: Checks the orders that arrive, or None if they all wait.
    """

    def __init__(
        self,
        connections: pool.Pool,
        counter: RequestCounter | None = None,
        checked_arrivals: "arrivals.Arrivals | None" = None,
        guard: CommitGuard | None = None,
    ):
        self._guard = guard
        self.instance = connections.instance
        self.pool = connections
        self.activity = Activity(counter)
        self.arrivals = checked_arrivals
        self._committing: set[link.Link] = set()

    def abort_commits(self) -> None:
        """Close the connections with an unanswered commit, which is then in doubt."""
        for connection in list(self._committing):
            _log.bind(instance=self.instance.id).info("closing a connection with an unanswered commit")
            connection.abort()

    @property
    def saturated(self) -> bool:
        """Return whether a new order would have to wait for a connection."""
        return self.pool.saturated

    @property
    def waiting(self) -> int:
        """Return the number of orders waiting for a connection."""
        return self.pool.waiting

    def has_idle(self, organisation: str) -> bool:
        """Return whether a connection of the organisation is idle."""
        return self.pool.has_idle(organisation)

    def estimate(
        self, organisation: str, priority: int, now: float, *, reserved_share: float = 0.0
    ) -> placement.Estimate | None:
        """Return what an order has to expect; the service time contains the round trip to the instance."""
        from currantlead.sessions.instances import load_table

        return load_table.estimate(self.pool.load(now), 0.0, priority, now, reserved_share=reserved_share)

    def release(self, connection: link.Link) -> None:
        """Return a connection to the pool."""
        if self.arrivals is not None:
            self.arrivals.record_released(connection)
        self.pool.release(connection)

    async def run(
        self,
        organisation: str,
        order: orders.Order,
        *,
        priority: int,
        wait_s: float,
        check: SendCheck,
        limits: admission.WaitLimits | None = None,
    ) -> tuple[orders.Report, Transaction | None]:
        """Run an order; see ``Path.run``."""
        arrived_at = clock.now()
        admitted = None
        if self.arrivals is not None and limits is not None:
            admitted = self.arrivals.admit(order, limits, priority, self.activity.silent_s())
            priority, wait_s = admitted.decision.priority, admitted.decision.wait_s
        deadline = arrived_at + wait_s + MAX_OVERRUN_S
        try:
            connection = await self.pool.acquire(
                organisation,
                order.values,
                priority=priority,
                timeout_s=wait_s,
                opens_transaction=order.opens_transaction,
            )
        except errors.PoolUnavailableError as error:
            if self.arrivals is None or limits is None or admitted is None:
                raise
            if clock.now() - arrived_at < wait_s * WAITED_SHARE:
                # The pool was closed; the queue says nothing about another attempt.
                raise
            raise self.arrivals.refuse_after_wait(limits, admitted, error) from error
        if self.arrivals is not None:
            self.arrivals.record_acquired(connection, order, admitted, clock.now() - arrived_at)
        if clock.now() > deadline:
            self.release(connection)
            raise errors.PoolUnavailableError(f"a connection to {self.instance.id} became available too late")
        try:
            refusal = await self.check_commit(order) or check()
        except BaseException:
            self.release(connection)
            raise
        if refusal is not None:
            self.release(connection)
            raise errors.OrderRefusedError(refusal)
        if limits is not None and admitted is not None:
            order = _limit_time(order, limits.after(clock.now() - arrived_at).total_s)
        sent_at = clock.now()
        try:
            report, commit = await self.perform(order, connection)
        except BaseException:
            if self.arrivals is not None:
                self.arrivals.record_released(connection)
            self.pool.discard(connection)
            raise
        if self.arrivals is not None:
            self.arrivals.record_answered(clock.now() - sent_at)
        if connection.state is statements.TransactionState.IDLE:
            self.release(connection)
            return await self.confirm(report, commit), None
        transaction = DirectTransaction(connection, self)
        if report.reply.failure is not None:
            await transaction.end()
            return report, None
        return report, transaction

    async def check_commit(self, order: orders.Order) -> statements.Failure | None:
        """Return why an order must not be sent because it commits, or None."""
        return await self._guard.find_refusal(self.instance) if order.commits and self._guard is not None else None

    async def perform(self, order: orders.Order, connection: link.Link) -> tuple[orders.Report, Any]:
        """Run an order on a connection in use, and measure it if the pool measures statements.

        Returns:
            The report, and what ``confirm`` needs before the report is passed on.

        Raises:
            errors.LinkLostError: The connection was lost; see ``Activity.perform``.
        """
        if not order.commits:
            return await self._measure(order, connection), None
        if self._guard is None:
            return await self._commit(order, connection), None
        with self._guard.watch(self.instance) as commit:
            return await self._commit(order, connection), commit

    async def confirm(self, report: orders.Report, commit: Any) -> orders.Report:
        """Return a report, as in doubt if the success of a commit may not be passed on."""
        if commit is None or report.reply.failure is not None:
            return report
        if self._guard is None or await self._guard.confirm(commit, report.reply.position):
            return report
        failure = statements.Failure(statements.Code.IN_DOUBT, f"the success at {self.instance.id} is not confirmed")
        return dataclasses.replace(report, reply=dataclasses.replace(report.reply, result=failure))

    async def _commit(self, order: orders.Order, connection: link.Link) -> orders.Report:
        self._committing.add(connection)
        try:
            return await self._measure(order, connection)
        finally:
            self._committing.discard(connection)

    async def _measure(self, order: orders.Order, connection: link.Link) -> orders.Report:
        if self.pool.meter is None:
            return await self.activity.perform(order, connection)
        started_at = clock.now()
        outcome = load_meter.Outcome.OTHER
        self.pool.begin_statement(connection)
        try:
            report = await self.activity.perform(order, connection)
            outcome = _classify(order, report)
            return report
        except errors.LinkLostError as error:
            if error.timed_out and not order.commits:
                outcome = load_meter.Outcome.SILENT
            raise
        finally:
            kind = order.begin_mode, order.rolls_back
            self.pool.end_statement(connection, load_meter.Statement(kind, started_at, clock.now(), outcome))


def _classify(order: orders.Order, report: orders.Report) -> load_meter.Outcome:
    """Return what a report shows about the instance.

    Refusals take no time there, and commits wait for replicas, so the times of both are not compared.
    """
    failure = report.reply.failure
    if failure is None:
        return load_meter.Outcome.OTHER if order.commits else load_meter.Outcome.ANSWERED
    return load_meter.Outcome.BUSY if failure.code is statements.Code.BUSY else load_meter.Outcome.OTHER


def _limit_time(order: orders.Order, remaining_s: float) -> orders.Order:
    """Return an order that ends by its statement's time limit, although a part of the time was spent waiting."""
    if order.timeout_s <= remaining_s:
        return order
    return dataclasses.replace(order, timeout_s=max(MIN_ORDER_S, remaining_s))
