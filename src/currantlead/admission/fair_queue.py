"""Fair queue of waiting requests: deficit round robin with one queue per organisation, bounded in length and time."""

import collections
import dataclasses
import itertools
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(eq=False, slots=True)
class Entry(Generic[T]):
    """Queued item.

    Attributes:
        item: The item.
        organisation: Name of the organisation that it belongs to.
        deadline: Time at which it expires.
        removed: Whether it has left the queue: served, expired or cancelled.
    """

    item: T
    organisation: str
    deadline: float
    removed: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class _OrganisationQueue(Generic[T]):
    weight: float
    entries: collections.deque[Entry[T]] = dataclasses.field(default_factory=collections.deque)
    waiting: int = 0
    deficit: float = 0.0


class FairQueue(Generic[T]):
    """Queue that serves organisations in proportion to their weights; each item costs 1."""

    def __init__(self) -> None:
        self._queues: dict[str, _OrganisationQueue[T]] = {}
        self._round: collections.deque[str] = collections.deque()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def length(self, organisation: str) -> int:
        """Return the number of waiting items of an organisation."""
        queue = self._queues.get(organisation)
        return queue.waiting if queue else 0

    def push(
        self, organisation: str, item: T, *, deadline: float, weight: float = 1.0, limit: int = 64
    ) -> Entry[T] | None:
        """Add an item.

        Args:
            organisation: Name of the organisation that the item belongs to.
            item: The item.
            deadline: Time at which the item expires.
            weight: Weight of the organisation relative to others; applies from its next turn.
            limit: Maximum number of waiting items of the organisation.

        Returns:
            The entry, or None if the organisation's queue is full.
        """
        queue = self._queues.get(organisation)
        if queue is None:
            queue = self._queues[organisation] = _OrganisationQueue(weight)
            self._round.append(organisation)
        if queue.waiting >= limit:
            return None
        # With a lower weight, one item would take more than 100 rounds.
        queue.weight = max(weight, 0.01)
        entry = Entry(item, organisation, deadline)
        queue.entries.append(entry)
        queue.waiting += 1
        self._length += 1
        return entry

    def pop(self) -> Entry[T] | None:
        """Remove and return the next item, or None if the queue is empty."""
        while self._round:
            organisation = self._round[0]
            queue = self._queues[organisation]
            self._skip_removed(queue)
            if queue.waiting == 0:
                self._remove_first(organisation)
                continue
            if queue.deficit < 1.0:
                queue.deficit += queue.weight
                if queue.deficit < 1.0:
                    self._round.rotate(-1)
                    continue
            return self._serve(organisation, queue)
        return None

    def cancel(self, entry: Entry[T]) -> bool:
        """Remove an item before it is served; return False if it has already left the queue."""
        if entry.removed:
            return False
        entry.removed = True
        queue = self._queues[entry.organisation]
        queue.waiting -= 1
        self._length -= 1
        if len(queue.entries) > 2 * queue.waiting + 16:
            queue.entries = collections.deque(queued for queued in queue.entries if not queued.removed)
        return True

    def expire(self, now: float) -> list[Entry[T]]:
        """Remove and return the items whose deadline has passed."""
        expired = [
            entry
            for entry in itertools.chain.from_iterable(queue.entries for queue in self._queues.values())
            if not entry.removed and entry.deadline <= now
        ]
        for entry in expired:
            self.cancel(entry)
        return expired

    def _serve(self, organisation: str, queue: _OrganisationQueue[T]) -> Entry[T]:
        entry = queue.entries.popleft()
        entry.removed = True
        queue.waiting -= 1
        queue.deficit -= 1.0
        self._length -= 1
        if queue.waiting == 0:
            self._remove_first(organisation)
        elif queue.deficit < 1.0:
            self._round.rotate(-1)
        return entry

    def _remove_first(self, organisation: str) -> None:
        # An organisation with an empty queue loses its deficit, so that it cannot accumulate credit for a burst.
        self._round.popleft()
        del self._queues[organisation]

    @staticmethod
    def _skip_removed(queue: _OrganisationQueue[T]) -> None:
        while queue.entries and queue.entries[0].removed:
            queue.entries.popleft()
