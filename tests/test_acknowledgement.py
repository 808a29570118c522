"""Tests of the acknowledgement by a majority."""

import asyncio
import contextlib

import pytest
import result

from currantlead import verdict
from currantlead.connections import acknowledgement, endpoint
from currantlead.control import model

SILENT = result.Err(verdict.Refusal(verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN))
INSTANCES = tuple(model.Instance(name, "http://127.0.0.1:1", "north") for name in "abc")
GROUP = model.Group("ledger", 2, model.Phase.STABLE, "a", INSTANCES)


class Replica:
    """Answer long polls with what a test sets."""

    def __init__(self, name, received=0, term=2):
        self.name, self.received, self.term = name, received, term
        self.silent = False
        self.changed = asyncio.Event()
        self.polls = 0

    def set(self, **values):
        """Change the state and wake the long poll."""
        for name, value in values.items():
            setattr(self, name, value)
        self.changed.set()

    async def positions(self, *, term, beyond, wait_s, timeout_s):
        """Answer as an instance does."""
        self.polls += 1
        if self.silent:
            await asyncio.sleep(0.01)
            return SILENT
        if self.received <= beyond and wait_s:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        if self.silent:
            return SILENT
        received = self.received
        return result.Ok(
            endpoint.Status(self.name, "replica", self.term, received, received, 0.0, 0.0, 0.0, 0, False, None, 0.0)
        )


@pytest.fixture
async def tracked():
    """Run a tracker over two fake replicas."""
    replicas = {name: Replica(name) for name in "bc"}
    tracker = acknowledgement.Tracker(GROUP, replicas)
    tracker.start()
    yield tracker, replicas
    await tracker.stop()


CASES = {
    "one replica is enough": ({"b": {"received": 5}}, True),
    "the other replica too": ({"c": {"received": 6}}, True),
    "a lower index is none": ({"b": {"received": 4}, "c": {"received": 4}}, False),
    "an index of another term is none": ({"b": {"received": 9, "term": 3}, "c": {"received": 9, "term": 1}}, False),
    "an answer in the name of another instance is none": ({"b": {"received": 9, "name": "c"}}, False),
    "no answer is none": ({"b": {"silent": True}, "c": {"silent": True}}, False),
}


@pytest.mark.parametrize("case", CASES)
async def test_write_completes_only_with_majority(tracked, case):
    """A write is acknowledged only if a replica has received its index in the same term."""
    tracker, replicas = tracked
    changes, expected = CASES[case]
    assert await tracker.majority_reachable(timeout_s=1)
    writes = [asyncio.create_task(tracker.wait(5, timeout_s=0.1)) for _ in range(20)]
    await asyncio.sleep(0)
    for name, values in changes.items():
        replicas[name].set(**values)
    assert await asyncio.gather(*writes) == [expected] * 20
    # One poll covers all writes; a silent replica is asked again after a pause.
    assert sum(replica.polls for replica in replicas.values()) <= 8


@pytest.mark.parametrize(("lost", "expected"), [("", True), ("b", True), ("bc", False)])
async def test_lost_majority_is_known_before_sending(tracked, lost, expected):
    """Writes can be refused as not run as soon as both replicas are silent."""
    tracker, replicas = tracked
    assert await tracker.majority_reachable(timeout_s=1)
    for name in lost:
        replicas[name].set(silent=True)
    await asyncio.sleep(0.05)
    assert await tracker.majority_reachable(timeout_s=1) is expected
    assert await tracker.confirm_majority(0.0, timeout_s=0.1) is expected


async def test_first_write_waits_for_first_answer():
    """A new holder takes neither silence nor replicas of the older term for a lost majority."""
    replicas = {name: Replica(name) for name in "bc"}
    tracker = acknowledgement.Tracker(GROUP, replicas)
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


async def test_waiting_write_outlives_its_term_for_a_moment(tracked):
    """Guards against a planned change that makes a write uncertain although a majority is about to report it."""
    tracker, replicas = tracked
    waiting = asyncio.ensure_future(tracker.wait(5, timeout_s=2.0))
    await asyncio.sleep(0.05)
    finishing = asyncio.ensure_future(tracker.keep_open(timeout_s=1.0))
    await asyncio.sleep(0.05)
    replicas["b"].set(received=5)
    assert await waiting
    replicas["b"].set(received=6)
    # A write whose answer comes while nothing waits is still acknowledged.
    assert await tracker.wait(6, timeout_s=0.5)
    await finishing


async def test_finish_is_bounded(tracked):
    """Guards against a replaced term that is followed for ever."""
    tracker, _ = tracked
    waiting = asyncio.ensure_future(tracker.wait(5, timeout_s=5.0))
    await asyncio.sleep(0.05)
    await tracker.keep_open(timeout_s=0.1)
    await tracker.stop()
    assert not await waiting
