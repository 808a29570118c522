"""Tests of the fair queue."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead.admission import fair_queue

NAMES = st.sampled_from(["farm", "mill", "dairy"])


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Compare the queue with plain lists: each accepted item leaves exactly once, in order of its organisation."""

    def __init__(self):
        super().__init__()
        self.queue = fair_queue.FairQueue()
        self.waiting = collections.defaultdict(list)
        self.number = 0
        self.now = 0.0

    @stateful.rule(name=NAMES, weight=st.floats(0, 4), patience=st.floats(0.1, 5), limit=st.integers(0, 6))
    def push(self, name, weight, patience, limit):
        """Add an item unless the organisation's queue is full."""
        self.number += 1
        entry = self.queue.push(name, self.number, deadline=self.now + patience, weight=weight, limit=limit)
        assert (entry is None) == (len(self.waiting[name]) >= limit)
        if entry is not None:
            self.waiting[name].append(entry)

    @stateful.rule()
    def pop(self):
        """Take the oldest item of some organisation."""
        entry = self.queue.pop()
        if entry is None:
            assert not any(self.waiting.values())
        else:
            assert self.waiting[entry.organisation].pop(0) is entry

    @stateful.rule(name=NAMES, place=st.integers(0, 5))
    def cancel(self, name, place):
        """Cancel an item once."""
        if place < len(self.waiting[name]):
            entry = self.waiting[name].pop(place)
            assert self.queue.cancel(entry)
            assert not self.queue.cancel(entry)

    @stateful.rule(seconds=st.floats(0, 3))
    def expire(self, seconds):
        """Move time and remove what is due."""
        self.now += seconds
        due = {id(entry) for entry in self.queue.expire(self.now)}
        expected = [each for entries in self.waiting.values() for each in entries if each.deadline <= self.now]
        assert due == {id(entry) for entry in expected}
        for entry in expected:
            self.waiting[entry.organisation].remove(entry)

    @stateful.invariant()
    def lengths_agree(self):
        """The counted lengths are those of the items that wait."""
        assert len(self.queue) == sum(map(len, self.waiting.values()))
        assert all(self.queue.length(name) == len(entries) for name, entries in self.waiting.items())


TestFairQueueMachine = FairQueueMachine.TestCase


@hypothesis.given(
    weights=st.lists(st.floats(0.25, 4), min_size=2, max_size=5),
    served=st.integers(1, 200),
    surplus=st.integers(0, 400),
)
def test_property_share_follows_weight(weights, served, surplus):
    """An organisation that sends far more than the others gets no more than its weight."""
    queue = fair_queue.FairQueue()
    for number, weight in enumerate(weights):
        for item in range(served + (surplus if number == 0 else 0)):
            queue.push(str(number), item, deadline=1.0, weight=weight, limit=10_000)
    counts = collections.Counter(queue.pop().organisation for _ in range(served))
    for number, weight in enumerate(weights):
        fair = served * weight / sum(weights)
        # In each round an organisation gets its weight; the round under way and the carried deficit bound the error.
        assert abs(counts[str(number)] - fair) <= 2 * max(weights) + 2


def test_quiet_organisation_overtakes_backlog():
    """A single request is not kept waiting behind the backlog of another organisation."""
    queue = fair_queue.FairQueue()
    for item in range(50):
        queue.push("farm", item, deadline=1.0)
    queue.pop()
    queue.push("mill", "only", deadline=1.0)
    assert "only" in [queue.pop().item for _ in range(2)]
