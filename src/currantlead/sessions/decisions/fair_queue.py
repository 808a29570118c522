"""Order in which the statements that wait at a holder are started: by priority, and fair to organisations within it.

The queue decides on plain data and clock readings. ``docs/design/fair-queue.md`` compares the alternatives.
"""

import bisect
from collections.abc import Callable, Iterator
from typing import Protocol

MIN_WEIGHT = 0.1
"""Minimum weight of an organisation, in operations per second, so that a rate of 0 does not exclude it."""
INITIAL_COST_S = 0.02
"""Assumed slot time of a statement until the first one of its priority has been measured."""
COST_SMOOTHING = 0.1
"""Weight of the latest measurement in the moving average of the slot time of a priority's statements."""
AGEING_SHARE = 0.2
"""Slot time that each lower priority receives, as a share of that of higher ones, while those could use all slots. In a
replay of 2.5 times the capacity, 0.1 served 0.30 of the lowest priority, 0.2 served 0.42, and 0.3 cost the highest
0.05."""
MAX_CREDIT_S = 0.1
"""Maximum slot time that a waiting priority accumulates, so that it causes no long burst of its statements."""
MAX_DEBT_S = 2.0
"""Slot time of all organisations together for which one that used more than its share waits at most. An instance with
four slots provides it in half a second; with longer debts its statements would reach their time limits."""
FORGET_S = 1.0
"""Time without waiting statements after which the slot time that organisations used is forgotten: using an idle
instance takes nothing from others."""
AFFINITY_LEAD_S = 0.03
"""Slot time by which an organisation with an idle connection may be ahead of its share and still be preferred to one
for which a connection must be opened. An opening takes 12 ms, so this pays for two or three openings."""
REFUSAL_FACTOR = 1.5
"""Expected wait, as a multiple of the time left, from which a statement is refused on arrival. It is above 1 because
the estimate ignores statements that time out and connections that change hands."""


class Waiting(Protocol):
    """Waiting statement.

    Attributes:
        priority: Priority; 0 is the highest.
        number: Sequence number of its arrival.
        organisation: Organisation that is charged for it.
        deadline: Clock reading at which its wait ends, in seconds.
        opens_transaction: Whether it opens a transaction that keeps its connection.
        opening: Whether a connection is being opened for it.
    """

    priority: int
    number: int
    organisation: str
    deadline: float
    opens_transaction: bool
    opening: bool


_Entry = tuple[float, int, Waiting]


class _Level:
    """Waiting statements of one priority.

    Attributes:
        backlog: Waiting statements by organisation, each list sorted by deadline.
        served: Slot time divided by weight that each organisation has received.
        clock: Smallest value of ``served`` among the organisations that waited last; newcomers start from it.
        credit_s: Slot time that it may use before higher priorities.
        cost_s: Smoothed slot time of a statement.
        count: Number of waiting statements.
        weight: Sum of the weights of the organisations with waiting statements.
        emptied_at: Clock reading at which the last waiting statement left.
    """

    __slots__ = ("backlog", "clock", "cost_s", "count", "credit_s", "emptied_at", "served", "weight")

    def __init__(self) -> None:
        self.backlog: dict[str, list[_Entry]] = {}
        self.served: dict[str, float] = {}
        self.clock = 0.0
        self.credit_s = 0.0
        self.cost_s = INITIAL_COST_S
        self.count = 0
        self.weight = 0.0
        self.emptied_at = float("-inf")

    def remembers(self, now: float) -> bool:
        """Return whether used slot time still counts."""
        return self.count > 0 or now - self.emptied_at < FORGET_S


class FairQueue:
    """Statements that wait for connections and slots of one instance.

    Within a priority, the organisation that has received the least slot time in proportion to its weight is next, and
    within an organisation the statement with the earliest deadline. Lower priorities accumulate a credit while
    statements of higher ones are started, and go first once it pays for one of their statements.

    Args:
        weight_of: Returns the weight of an organisation, in operations per second.
    """

    def __init__(self, weight_of: Callable[[str], float]):
        self._weight_of = weight_of
        self._levels: dict[int, _Level] = {}

    def add(self, entry: Waiting, now: float) -> None:
        """Add a waiting statement."""
        level = self._level(entry.priority)
        if not level.remembers(now):
            level.served.clear()
            level.clock = level.credit_s = 0.0
        entries = level.backlog.get(entry.organisation)
        if entries is None:
            entries = level.backlog[entry.organisation] = []
            level.served[entry.organisation] = max(level.served.get(entry.organisation, 0.0), level.clock)
            level.weight += self._weight(entry.organisation)
        bisect.insort(entries, (entry.deadline, entry.number, entry))
        level.count += 1

    def remove(self, entry: Waiting, now: float) -> None:
        """Remove a statement that was started or has given up; do nothing if it does not wait."""
        level = self._level(entry.priority)
        entries = level.backlog.get(entry.organisation, [])
        index = bisect.bisect_left(entries, (entry.deadline, entry.number))
        if index == len(entries) or entries[index][2] is not entry:
            return
        del entries[index]
        level.count -= 1
        if not entries:
            del level.backlog[entry.organisation]
            level.weight -= self._weight(entry.organisation)
        if not level.count:
            level.weight = 0.0
            level.emptied_at = now

    def order(self, *, admits_transactions: bool = True) -> Iterator[Waiting]:
        """Yield the next statement of each organisation, in the order in which they should be started.

        Args:
            admits_transactions: Whether statements that open transactions are included.
        """
        for priority in self._priorities():
            level = self._levels[priority]
            # Usually the first one can be started, so the others are sorted only when they are needed.
            first = min(level.backlog, key=level.served.__getitem__)
            level.clock = max(level.clock, level.served[first])
            entry = _choose(level.backlog[first], admits_transactions)
            if entry is not None:
                yield entry
            for organisation in sorted(level.backlog, key=level.served.__getitem__):
                if organisation != first:
                    entry = _choose(level.backlog[organisation], admits_transactions)
                    if entry is not None:
                        yield entry

    def prefers_connected(self, entry: Waiting, connected: Waiting) -> bool:
        """Return whether a statement whose organisation has an idle connection may be started before the next one.

        Args:
            entry: The next statement, for which a connection would have to be opened.
            connected: A later statement of an organisation with an idle connection.
        """
        if entry.priority != connected.priority:
            return False
        level = self._level(entry.priority)
        lead = level.served.get(connected.organisation, level.clock) - level.served.get(entry.organisation, level.clock)
        return lead * self._weight(connected.organisation) <= AFFINITY_LEAD_S

    def start(self, entry: Waiting, now: float) -> None:
        """Remove a statement that is started from the queue; its slot time is charged separately."""
        level = self._level(entry.priority)
        for priority, lower in self._levels.items():
            if priority > entry.priority and lower.count:
                lower.credit_s = min(lower.credit_s + AGEING_SHARE * level.cost_s, MAX_CREDIT_S)
        level.credit_s = max(0.0, level.credit_s - level.cost_s)
        self.remove(entry, now)

    def charge(self, priority: int, organisation: str, slot_s: float, now: float) -> None:
        """Charge slot time to an organisation; a negative value corrects a charge that was too high."""
        level = self._level(priority)
        if not level.remembers(now):
            return
        weight = self._weight(organisation)
        served = max(level.served.get(organisation, 0.0), level.clock) + slot_s / weight
        max_debt_s = MAX_DEBT_S if level.count else level.cost_s
        served = min(served, level.clock + max_debt_s / max(level.weight, weight))
        level.served[organisation] = max(served, level.clock)

    def record_cost(self, priority: int, slot_s: float) -> None:
        """Record the slot time that a statement took."""
        level = self._level(priority)
        level.cost_s += COST_SMOOTHING * (slot_s - level.cost_s)

    def cost_s(self, priority: int) -> float:
        """Return the expected slot time of a statement, in seconds."""
        return self._level(priority).cost_s

    def expected_wait_s(self, priority: int, organisation: str, parallel: int) -> float:
        """Return the expected wait of a new statement, in seconds.

        Ahead of it are the statements of higher priorities, those of its own organisation, and as many of each other
        organisation as its weight allows meanwhile.

        Args:
            priority: Its priority.
            organisation: Its organisation.
            parallel: Number of statements that run at the same time.
        """
        level = self._level(priority)
        ahead_s = sum(higher.count * higher.cost_s for key, higher in self._levels.items() if key < priority)
        own = len(level.backlog.get(organisation, ()))
        rounds = (own + 1) / self._weight(organisation)
        others = sum(
            min(len(entries), rounds * self._weight(other))
            for other, entries in level.backlog.items()
            if other != organisation
        )
        return (ahead_s + (own + others) * level.cost_s) / max(1, parallel)

    def refuses(self, priority: int, organisation: str, parallel: int, time_left_s: float) -> bool:
        """Return whether a new statement is refused on arrival, because it would wait much longer than it can."""
        longest_s = sum(level.count * level.cost_s for key, level in self._levels.items() if key <= priority)
        if longest_s <= REFUSAL_FACTOR * time_left_s * parallel:
            # Usually the wait is short even if everything that waits goes first; this saves the sum over organisations.
            return False
        return self.expected_wait_s(priority, organisation, parallel) > REFUSAL_FACTOR * time_left_s

    def _level(self, priority: int) -> _Level:
        level = self._levels.get(priority)
        if level is None:
            level = self._levels[priority] = _Level()
        return level

    def _priorities(self) -> list[int]:
        """Return the priorities with waiting statements: those whose credit pays for a statement come first."""
        waiting = sorted(priority for priority, level in self._levels.items() if level.count)
        if len(waiting) > 1:
            levels = self._levels
            waiting.sort(key=lambda priority: levels[priority].credit_s < min(levels[priority].cost_s, MAX_CREDIT_S))
        return waiting

    def _weight(self, organisation: str) -> float:
        return max(self._weight_of(organisation), MIN_WEIGHT)


def _choose(entries: list[_Entry], admits_transactions: bool) -> Waiting | None:
    """Return the statement of an organisation that is next; those with a connection being opened come last."""
    opening = None
    for _, _, entry in entries:
        if entry.opens_transaction and not admits_transactions:
            continue
        if not entry.opening:
            return entry
        opening = opening or entry
    return opening
