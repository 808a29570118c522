"""Tests of the acknowledgement of writes by a majority."""

import asyncio
import contextlib

import pytest
import result

from currantlead import verdict
from currantlead.connections import acknowledgement, endpoint
from currantlead.control import model

NO_RESPONSE = result.Err(verdict.Refusal(verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN))
INSTANCES = tuple(model.Instance(name, "http://127.0.0.1:1", "north") for name in "abc")
GROUP = model.Group("ledger", 2, model.Phase.STABLE, "a", INSTANCES)


class Replica:
    """A fake replica that answers long polls with the state set by a test."""

    def __init__(self, name, received=0, term=2):
        self.name, self.received, self.term = name, received, term
        self.unresponsive = False
        self.changed = asyncio.Event()
        self.polls = 0

    def set(self, **values):
        """Change the state and end the current long poll."""
        for name, value in values.items():
            setattr(self, name, value)
        self.changed.set()

    async def positions(self, *, term, beyond, wait_s, timeout_s):
        """Answer a long poll as an instance does."""
        self.polls += 1
        if self.unresponsive:
            await asyncio.sleep(0.01)
            return NO_RESPONSE
        if self.received <= beyond and wait_s:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        if self.unresponsive:
            return NO_RESPONSE
        received = self.received
        return result.Ok(
            endpoint.Status(self.name, "replica", self.term, received, received, 0.0, 0.0, 0.0, 0, False, None, 0.0)
        )


@pytest.fixture
async def tracker_and_replicas():
    """A running tracker with two fake replicas."""
    replicas = {name: Replica(name) for name in "bc"}
    tracker = acknowledgement.AcknowledgementTracker(GROUP, replicas)
    tracker.start()
    yield tracker, replicas
    await tracker.stop()


CASES = {
    "one replica suffices": ({"b": {"received": 5}}, True),
    "the other replica suffices": ({"c": {"received": 6}}, True),
    "a lower index does not count": ({"b": {"received": 4}, "c": {"received": 4}}, False),
    "an index of another term does not count": (
        {"b": {"received": 9, "term": 3}, "c": {"received": 9, "term": 1}},
        False,
    ),
    "a response of another instance does not count": ({"b": {"received": 9, "name": "c"}}, False),
    "no response does not count": ({"b": {"unresponsive": True}, "c": {"unresponsive": True}}, False),
}


@pytest.mark.parametrize("case", CASES)
async def test_write_completes_only_with_majority(tracker_and_replicas, case):
    """Guards against acknowledging a write that no replica has received in the same term."""
    tracker, replicas = tracker_and_replicas
    changes, expected = CASES[case]
    assert await tracker.majority_reachable(timeout_s=1)
    writes = [asyncio.create_task(tracker.wait(5, timeout_s=0.1)) for _ in range(20)]
    await asyncio.sleep(0)
    for name, values in changes.items():
        replicas[name].set(**values)
    assert await asyncio.gather(*writes) == [expected] * 20
    # One poll serves all writes; an unresponsive replica is polled again after a delay.
    assert sum(replica.polls for replica in replicas.values()) <= 8


@pytest.mark.parametrize(("lost", "expected"), [("", True), ("b", True), ("bc", False)])
async def test_lost_majority_is_detected_before_sending(tracker_and_replicas, lost, expected):
    """Guards against sending writes, which would end in doubt, although both replicas are unresponsive."""
    tracker, replicas = tracker_and_replicas
    assert await tracker.majority_reachable(timeout_s=1)
    for name in lost:
        replicas[name].set(unresponsive=True)
    await asyncio.sleep(0.05)
    assert await tracker.majority_reachable(timeout_s=1) is expected
    assert await tracker.confirm_majority(0.0, timeout_s=0.1) is expected


async def test_first_write_waits_for_first_response():
    """Guards against a new tracker that refuses writes because replicas have not responded or adopted the term yet."""
    replicas = {name: Replica(name) for name in "bc"}
    tracker = acknowledgement.AcknowledgementTracker(GROUP, replicas)
    waiting = asyncio.create_task(tracker.majority_reachable(timeout_s=1))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    for replica in replicas.values():
        replica.set(term=1)
    tracker.start()
    await asyncio.sleep(0.1)
    assert not waiting.done()
    replicas["c"].set(term=2)
    assert await waiting
    await tracker.stop()
    assert not await tracker.wait(1, timeout_s=1)


async def test_write_can_be_acknowledged_shortly_after_its_term(tracker_and_replicas):
    """Guards against a planned change that puts a write in doubt although a majority is about to acknowledge it."""
    tracker, replicas = tracker_and_replicas
    waiting = asyncio.ensure_future(tracker.wait(5, timeout_s=2.0))
    await asyncio.sleep(0.05)
    keeping_open = asyncio.ensure_future(tracker.keep_open(timeout_s=1.0))
    await asyncio.sleep(0.05)
    replicas["b"].set(received=5)
    assert await waiting
    replicas["b"].set(received=6)
    # A write that starts to wait while no other one waits is acknowledged as well.
    assert await tracker.wait(6, timeout_s=0.5)
    await keeping_open


async def test_grace_period_is_bounded(tracker_and_replicas):
    """Guards against tracking a replaced term indefinitely."""
    tracker, _ = tracker_and_replicas
    waiting = asyncio.ensure_future(tracker.wait(5, timeout_s=5.0))
    await asyncio.sleep(0.05)
    await tracker.keep_open(timeout_s=0.1)
    await tracker.stop()
    assert not await waiting
