"""Paths on which a VM's statements reach an instance: over its own connections, or by way of a holder."""

import abc
import itertools
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import clock, link, model, orders, pool, statements

ROLLBACK_TIMEOUT_S = 1.0
"""A rollback waits for no slot; an instance that is this late is silent, and its connection is dropped."""

SILENT_S = 0.4
"""An instance that answers nothing for this long while orders are under way is suspect; under load answers come every
few milliseconds, and the longest statements take about 0.1 s."""
COMMIT_S = 0.5
"""An instance whose commits take this long, while none succeeds, may have lost its replicas."""
LATE_S = 0.1
"""A wait that ended this much after its time was held up by a stall of this VM; the statement is not sent any more."""

Check = Callable[[], statements.Failure | None]
"""Says why a statement must not be sent at this moment, or None."""

_log = logs.part("route")
_codec = lines.InstanceLines()


class Transaction(abc.ABC):
    """Run statements inside one open transaction.

    Attributes:
        instance: Where it is open.
    """

    instance: model.Instance

    @abc.abstractmethod
    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement.

        Raises:
            errors.LinkLostError: The connection is gone; the instance rolls back unless the statement was a commit.
        """

    @abc.abstractmethod
    async def end(self) -> None:
        """Roll back what is still open, and give the connection back."""


class Path(abc.ABC):
    """Run orders on one instance.

    Attributes:
        instance: The instance.
    """

    instance: model.Instance

    @property
    @abc.abstractmethod
    def saturated(self) -> bool:
        """Tell whether a statement would have to wait."""

    @property
    @abc.abstractmethod
    def waiting(self) -> int:
        """Return the number of statements that wait already."""

    @abc.abstractmethod
    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is known to be free."""

    @abc.abstractmethod
    async def run(
        self, organisation: str, order: orders.Order, *, priority: int, wait_s: float, check: Check
    ) -> tuple[orders.Report, Transaction | None]:
        """Run an order; return what came of it, with the transaction that it left open.

        Args:
            organisation: Organisation that the instance is told.
            order: The order.
            priority: Precedence among those that wait; 0 is the highest.
            wait_s: Longest wait for a connection, in seconds.
            check: Asked just before anything is sent.

        Raises:
            errors.OrderRefusedError: ``check`` refused; nothing was sent.
            errors.PoolUnavailableError: No connection became free in time; nothing was sent.
            errors.LinkRefusedError: The instance refused a new connection; nothing was sent.
            errors.LinkLostError: The connection ended or was silent.
        """


class Activity:
    """Tell for how long an instance has answered none of the orders that are under way.

    Attributes:
        committed_at: Clock reading of the last commit that succeeded.
    """

    def __init__(self) -> None:
        self._started: dict[int, tuple[float, bool]] = {}
        self._numbers = itertools.count()
        self._heard_at = float("-inf")
        self.committed_at = float("-inf")

    async def perform(self, order: orders.Order, lent: link.Link) -> orders.Report:
        """Carry out an order; see ``orders.perform``."""
        number = next(self._numbers)
        self._started[number] = clock.now(), order.commits
        try:
            report = await orders.perform(order, lent)
            self._heard_at = clock.now()
            if order.commits and report.reply.failure is None:
                self.committed_at = self._heard_at
            return report
        finally:
            del self._started[number]

    def silent_s(self) -> float:
        """Return the seconds since the last answer, or since the oldest order under way if that is less; 0 if idle."""
        started = [at for at, _ in self._started.values()]
        return clock.now() - max(self._heard_at, min(started)) if started else 0.0

    def stuck_s(self) -> float:
        """Return the same for orders that commit and their success."""
        started = [at for at, commits in self._started.values() if commits]
        return clock.now() - max(self.committed_at, min(started)) if started else 0.0


class DirectTransaction(Transaction):
    """Run statements on a connection of this VM that is inside a transaction."""

    def __init__(self, lent: link.Link, path: "DirectPath"):
        self.instance = lent.instance
        self.link = lent
        self.path = path

    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement; see ``Transaction.run``."""
        return await self.path.activity.perform(order, self.link)

    async def end(self) -> None:
        """Roll back what is still open, and give the connection back."""
        if self.link.open and self.link.state is not statements.TransactionState.IDLE:
            try:
                await self.link.exchange(_codec.encode_rollback(), timeout_s=ROLLBACK_TIMEOUT_S)
            except errors.LinkLostError as error:
                _log.bind(instance=self.instance.id).info("rollback unanswered, connection dropped: {}", error)
        self.path.pool.release(self.link)


class DirectPath(Path):
    """Run orders on this VM's own connections.

    Attributes:
        pool: The connections.
        activity: Which orders are under way, and when the last answer came.
    """

    def __init__(self, connections: pool.Pool):
        self.instance = connections.instance
        self.pool = connections
        self.activity = Activity()

    @property
    def saturated(self) -> bool:
        """Tell whether a statement would have to wait."""
        return self.pool.saturated

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait already."""
        return self.pool.waiting

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is free."""
        return self.pool.has_idle(organisation)

    async def run(
        self, organisation: str, order: orders.Order, *, priority: int, wait_s: float, check: Check
    ) -> tuple[orders.Report, Transaction | None]:
        """Run an order; see ``Path.run``."""
        deadline = clock.now() + wait_s + LATE_S
        lent = await self.pool.acquire(organisation, order.values, priority=priority, timeout_s=wait_s)
        if clock.now() > deadline:
            self.pool.release(lent)
            raise errors.PoolUnavailableError(f"a connection to {self.instance.id} came too late")
        refusal = check()
        if refusal is not None:
            self.pool.release(lent)
            raise errors.OrderRefusedError(refusal)
        try:
            report = await self.activity.perform(order, lent)
        except BaseException:
            self.pool.discard(lent)
            raise
        if lent.state is statements.TransactionState.IDLE:
            self.pool.release(lent)
            return report, None
        transaction = DirectTransaction(lent, self)
        if report.reply.failure is not None:
            await transaction.end()
            return report, None
        return report, transaction
