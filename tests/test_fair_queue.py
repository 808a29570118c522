"""Tests of the fair queue."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead.admission import fair_queue

NAMES = st.sampled_from(["farm", "mill", "dairy"])


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with plain lists: each accepted item leaves exactly once, in the order of its organisation."""

    def __init__(self):
        super().__init__()
        self.queue = fair_queue.FairQueue()
        self.waiting = collections.defaultdict(list)
        self.number = 0
        self.now = 0.0

    @stateful.rule(name=NAMES, weight=st.floats(0, 4), timeout_s=st.floats(0.1, 5), limit=st.integers(0, 6))
    def push(self, name, weight, timeout_s, limit):
        """Add an item unless the organisation's queue is full."""
        self.number += 1
        entry = self.queue.push(name, self.number, deadline=self.now + timeout_s, weight=weight, limit=limit)
        assert (entry is None) == (len(self.waiting[name]) >= limit)
        if entry is not None:
            self.waiting[name].append(entry)

    @stateful.rule()
    def pop(self):
        """Remove the oldest item of some organisation."""
        entry = self.queue.pop()
        if entry is None:
            assert not any(self.waiting.values())
        else:
            assert self.waiting[entry.organisation].pop(0) is entry

    @stateful.rule(name=NAMES, index=st.integers(0, 5))
    def cancel(self, name, index):
        """Cancel an item once."""
        if index < len(self.waiting[name]):
            entry = self.waiting[name].pop(index)
            assert self.queue.cancel(entry)
            assert not self.queue.cancel(entry)

    @stateful.rule(seconds=st.floats(0, 3))
    def expire(self, seconds):
        """Advance the time and remove expired items."""
        self.now += seconds
        expired = {id(entry) for entry in self.queue.expire(self.now)}
        expected = [each for entries in self.waiting.values() for each in entries if each.deadline <= self.now]
        assert expired == {id(entry) for entry in expected}
        for entry in expected:
            self.waiting[entry.organisation].remove(entry)

    @stateful.invariant()
    def lengths_agree(self):
        """The lengths of the queue are the numbers of waiting items."""
        assert len(self.queue) == sum(map(len, self.waiting.values()))
        assert all(self.queue.length(name) == len(entries) for name, entries in self.waiting.items())


TestFairQueueMachine = FairQueueMachine.TestCase


@hypothesis.given(
    weights=st.lists(st.floats(0.25, 4), min_size=2, max_size=5),
    served=st.integers(1, 200),
    surplus=st.integers(0, 400),
)
def test_property_share_is_proportional_to_weight(weights, served, surplus):
    """An organisation that sends far more than the others gets no more than the share of its weight."""
    queue = fair_queue.FairQueue()
    for number, weight in enumerate(weights):
        for item in range(served + (surplus if number == 0 else 0)):
            queue.push(str(number), item, deadline=1.0, weight=weight, limit=10_000)
    counts = collections.Counter(queue.pop().organisation for _ in range(served))
    for number, weight in enumerate(weights):
        fair = served * weight / sum(weights)
        # An organisation gets its weight in each round; the current round and the deficit carried over bound the error.
        assert abs(counts[str(number)] - fair) <= 2 * max(weights) + 2


def test_single_request_is_not_delayed_by_a_backlog():
    """A single request does not wait for the backlog of another organisation."""
    queue = fair_queue.FairQueue()
    for item in range(50):
        queue.push("farm", item, deadline=1.0)
    queue.pop()
    queue.push("mill", "only", deadline=1.0)
    assert "only" in [queue.pop().item for _ in range(2)]
