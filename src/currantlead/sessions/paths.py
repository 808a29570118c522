"""Paths on which a VM's statements reach an instance: over its own connections, or by way of a holder."""

import abc
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import lines
from currantlead.sessions import link, model, orders, pool, statements

ROLLBACK_TIMEOUT_S = 1.0
"""A rollback waits for no slot; an instance that is this late is silent, and its connection is dropped."""

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


class DirectTransaction(Transaction):
    """Run statements on a connection of this VM that is inside a transaction."""

    def __init__(self, lent: link.Link, connections: pool.Pool):
        self.instance = lent.instance
        self.link = lent
        self.pool = connections

    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement; see ``Transaction.run``."""
        return await orders.perform(order, self.link)

    async def end(self) -> None:
        """Roll back what is still open, and give the connection back."""
        if self.link.open and self.link.state is not statements.TransactionState.IDLE:
            try:
                await self.link.exchange(_codec.encode_rollback(), timeout_s=ROLLBACK_TIMEOUT_S)
            except errors.LinkLostError as error:
                _log.bind(instance=self.instance.id).info("rollback unanswered, connection dropped: {}", error)
        self.pool.release(self.link)


class DirectPath(Path):
    """Run orders on this VM's own connections."""

    def __init__(self, connections: pool.Pool):
        self.instance = connections.instance
        self.pool = connections

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
        lent = await self.pool.acquire(organisation, order.values, priority=priority, timeout_s=wait_s)
        refusal = check()
        if refusal is not None:
            self.pool.release(lent)
            raise errors.OrderRefusedError(refusal)
        try:
            report = await orders.perform(order, lent)
        except BaseException:
            self.pool.discard(lent)
            raise
        if lent.state is statements.TransactionState.IDLE:
            self.pool.release(lent)
            return report, None
        transaction = DirectTransaction(lent, self.pool)
        if report.reply.failure is not None:
            await transaction.end()
            return report, None
        return report, transaction
