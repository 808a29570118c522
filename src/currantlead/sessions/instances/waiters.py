"""Statements that wait for a connection to an instance."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from currantlead.sessions.decisions import load
from currantlead.sessions.instances import link


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """Statement that waits for a connection.

    Attributes:
        priority: Priority; 0 is the highest.
        number: Sequence number, for first-come, first-served order within a priority.
        organisation: Organisation that the connection must belong to.
        waiting_since: Monotonic time at which the wait began.
        deadline: Monotonic time at which the wait ends.
        future: Receives the connection.
        opens_transaction: Whether the statement opens a transaction that keeps the connection.
        opening: Whether a connection is being opened for it.
    """

    priority: int
    number: int
    organisation: str
    waiting_since: float
    deadline: float
    future: "asyncio.Future[link.Link]"
    opens_transaction: bool = False
    opening: bool = False


def count_by_priority(waiting: Iterable[Waiter]) -> tuple[int, ...]:
    """Return the number of waiting statements by priority; the last entry includes all lower priorities."""
    counts = [0] * load.PRIORITIES
    for waiter in waiting:
        counts[min(waiter.priority, load.PRIORITIES - 1)] += 1
    return tuple(counts)


def sort(waiting: Iterable[Waiter], exceeds_share: Callable[[str], bool], *, admits_transactions: bool) -> list[Waiter]:
    """Return the waiters that may get a connection, by priority and arrival.

    Args:
        waiting: The waiting statements.
        exceeds_share: Returns whether an organisation uses more than its share; those come last in their priority.
        admits_transactions: Whether statements that open a transaction may get a connection.
    """

    def key(waiter: Waiter) -> tuple[int, bool, int]:
        return waiter.priority, exceeds_share(waiter.organisation), waiter.number

    admitted = (waiter for waiter in waiting if admits_transactions or not waiter.opens_transaction)
    return sorted((waiter for waiter in admitted if not waiter.future.done()), key=key)
