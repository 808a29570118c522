"""Fair queue: deficit round robin with one queue per organisation, bounded in length and time."""

import collections
import dataclasses
import itertools
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(eq=False, slots=True)
class Entry(Generic[T]):
    """Hold one waiting item.

    Attributes:
        item: What waits.
        organisation: On whose behalf.
        deadline: Clock reading at which it times out.
        gone: Whether it was served, expired or cancelled.
    """

    item: T
    organisation: str
    deadline: float
    gone: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class _Lane(Generic[T]):
    weight: float
    entries: collections.deque[Entry[T]] = dataclasses.field(default_factory=collections.deque)
    waiting: int = 0
    deficit: float = 0.0


class FairQueue(Generic[T]):
    """Serve organisations in turn, each in proportion to its weight. Every item costs 1."""

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane[T]] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def length(self, organisation: str) -> int:
        """Return how many items of an organisation wait."""
        lane = self._lanes.get(organisation)
        return lane.waiting if lane else 0

    def push(
        self, organisation: str, item: T, *, deadline: float, weight: float = 1.0, limit: int = 64
    ) -> Entry[T] | None:
        """Add an item.

        Args:
            organisation: On whose behalf the item waits.
            item: What waits.
            deadline: Clock reading at which the item times out.
            weight: The organisation's share relative to others; applies from its next turn.
            limit: How many items of the organisation may wait.

        Returns:
            The entry, or None if the organisation's queue is full.
        """
        lane = self._lanes.get(organisation)
        if lane is None:
            lane = self._lanes[organisation] = _Lane(weight)
            self._turns.append(organisation)
        if lane.waiting >= limit:
            return None
        # Below this weight one item would need more than 100 rounds.
        lane.weight = max(weight, 0.01)
        entry = Entry(item, organisation, deadline)
        lane.entries.append(entry)
        lane.waiting += 1
        self._length += 1
        return entry

    def pop(self) -> Entry[T] | None:
        """Remove and return the next item in turn, or None if nothing waits."""
        while self._turns:
            organisation = self._turns[0]
            lane = self._lanes[organisation]
            self._skip_gone(lane)
            if lane.waiting == 0:
                self._leave(organisation)
                continue
            if lane.deficit < 1.0:
                lane.deficit += lane.weight
                if lane.deficit < 1.0:
                    self._turns.rotate(-1)
                    continue
            return self._serve(organisation, lane)
        return None

    def cancel(self, entry: Entry[T]) -> bool:
        """Remove an item that no longer waits for service; return False if it was already gone."""
        if entry.gone:
            return False
        entry.gone = True
        lane = self._lanes[entry.organisation]
        lane.waiting -= 1
        self._length -= 1
        if len(lane.entries) > 2 * lane.waiting + 16:
            lane.entries = collections.deque(each for each in lane.entries if not each.gone)
        return True

    def expire(self, now: float) -> list[Entry[T]]:
        """Remove and return the items whose deadline has passed."""
        due = [
            entry
            for entry in itertools.chain.from_iterable(lane.entries for lane in self._lanes.values())
            if not entry.gone and entry.deadline <= now
        ]
        for entry in due:
            self.cancel(entry)
        return due

    def _serve(self, organisation: str, lane: _Lane[T]) -> Entry[T]:
        entry = lane.entries.popleft()
        entry.gone = True
        lane.waiting -= 1
        lane.deficit -= 1.0
        self._length -= 1
        if lane.waiting == 0:
            self._leave(organisation)
        elif lane.deficit < 1.0:
            self._turns.rotate(-1)
        return entry

    def _leave(self, organisation: str) -> None:
        # An organisation with an empty queue keeps no credit, so that it cannot save up for a burst.
        self._turns.popleft()
        del self._lanes[organisation]

    @staticmethod
    def _skip_gone(lane: _Lane[T]) -> None:
        while lane.entries and lane.entries[0].gone:
            lane.entries.popleft()
