"""Tests of the pool against a fake instance that counts connections."""

import asyncio
import contextlib

import hypothesis
import pytest
import result
from hypothesis import strategies as st

from currantlead import verdict
from currantlead.connections import pool

REFUSED = result.Err(verdict.Refusal(verdict.Reason.UNREACHABLE, detail="refused"))


class FakeConnection:
    """Stand for a connection of the fake instance."""

    def __init__(self, instance):
        self.instance = instance
        self.closed = False
        self.usable = True
        instance.open += 1

    def close(self):
        """Close once."""
        if not self.closed:
            self.closed, self.usable = True, False
            self.instance.open -= 1


class FakeInstance:
    """Count open connections and those being opened, and record a passed limit."""

    def __init__(self, connect_s=0.0):
        self.open = self.opening = self.openings = 0
        self.connect_s = connect_s
        self.refuses = False
        self.limit = 1 << 30
        self.passed = False

    async def connect(self):
        """Open a connection."""
        self.openings += 1
        self.opening += 1
        self.passed |= self.open + self.opening > self.limit
        try:
            await asyncio.sleep(self.connect_s)
        finally:
            self.opening -= 1
        return REFUSED if self.refuses else result.Ok(FakeConnection(self))


def run_pool(steps, connect_s):
    """Apply steps to a pool and return the fake instance."""

    async def main():
        instance = FakeInstance(connect_s)
        lent, tasks = [], []
        shared = pool.Pool("ledger-a", instance.connect)

        async def acquire():
            outcome = await shared.acquire(timeout_s=0.002)
            if outcome.is_ok():
                lent.append(outcome.ok_value)

        for name, value in steps:
            if name == "limit":
                instance.limit = value
                shared.set_limit(value)
            elif name == "acquire":
                tasks.append(asyncio.create_task(acquire()))
            elif name == "cancel" and tasks:
                tasks[value % len(tasks)].cancel()
            elif name in ("release", "break") and lent:
                connection = lent.pop(value % len(lent))
                connection.usable = name == "release"
                shared.release(connection)
            elif name == "refuse":
                instance.refuses = value % 2 == 1
            await asyncio.sleep(0.001 if name == "wait" else 0)
            # Lent connections survive a smaller limit until they come back; nothing else does.
            assert shared.open_count <= max(shared.limit, len(shared._in_use))
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in lent:
            shared.release(connection)
        assert instance.open <= shared.limit
        shared.close()
        await asyncio.sleep(0)
        assert instance.open == 0
        return instance

    return asyncio.run(main())


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["limit", "acquire", "acquire", "release", "break", "refuse", "cancel", "wait"]),
            st.integers(0, 6),
        ),
        max_size=40,
    ),
    connect_s=st.sampled_from([0.0, 0.001]),
)
def test_property_openings_never_pass_limit(steps, connect_s):
    """No opening starts when the counted connections have reached the limit of that moment."""
    assert not run_pool([("limit", 3), *steps], connect_s).passed


async def test_idle_connection_is_lent_without_connect_time():
    """A request does not wait for a connection to open while a warm one is idle."""
    instance = FakeInstance(connect_s=0.2)
    shared = pool.Pool("ledger-a", instance.connect, limit=4)
    shared.refill()
    await asyncio.sleep(0.25)
    acquired = await shared.acquire(timeout_s=0.05)
    assert acquired.is_ok()
    await asyncio.sleep(0)
    assert instance.openings == 3
    shared.close()


async def test_connection_in_doubt_is_not_lent_again():
    """A connection whose answer is overdue never serves another request."""
    instance = FakeInstance()
    shared = pool.Pool("ledger-a", instance.connect, limit=2, min_idle=0)
    doubtful = (await shared.acquire(timeout_s=1)).ok_value
    doubtful.usable = False
    shared.release(doubtful)
    assert doubtful.closed
    assert (await shared.acquire(timeout_s=1)).ok_value is not doubtful
    shared.close()


@pytest.mark.parametrize(
    ("refuses", "limit", "reason"),
    [
        (True, 2, verdict.Reason.UNREACHABLE),
        (False, 0, verdict.Reason.NO_CONNECTION),
    ],
)
async def test_missing_connection_is_not_run(refuses, limit, reason):
    """Without a connection nothing was sent, so the refusal says not run."""
    instance = FakeInstance()
    instance.refuses = refuses
    shared = pool.Pool("ledger-a", instance.connect, limit=limit)
    refusal = (await shared.acquire(timeout_s=1)).err_value
    assert (refusal.reason, refusal.verdict) == (reason, verdict.Verdict.NOT_RUN)
    shared.close()


async def test_wait_for_lent_connection_times_out():
    """A request that waits for a lent connection is refused in time and takes none later."""
    instance = FakeInstance()
    shared = pool.Pool("ledger-a", instance.connect, limit=1)
    only = (await shared.acquire(timeout_s=1)).ok_value
    assert (await shared.acquire(timeout_s=0.02)).err_value.verdict is verdict.Verdict.NOT_RUN
    waiting = asyncio.create_task(shared.acquire(timeout_s=1))
    await asyncio.sleep(0)
    shared.release(only)
    waiting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await waiting
    assert (await shared.acquire(timeout_s=0.1)).ok_value is only
    shared.close()
