"""Tests of the connection pool with a fake instance that counts connections."""

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
    """A connection of the fake instance."""

    def __init__(self, instance):
        self.instance = instance
        self.closed = False
        self.usable = True
        instance.open += 1

    def close(self):
        """Close the connection; further calls have no effect."""
        if not self.closed:
            self.closed, self.usable = True, False
            self.instance.open -= 1


class FakeInstance:
    """Count open connections and those being opened, and record whether the limit was exceeded."""

    def __init__(self, connect_s=0.0):
        self.open = self.opening = self.openings = 0
        self.connect_s = connect_s
        self.refuse_connections = False
        self.limit = 1 << 30
        self.limit_exceeded = False

    async def connect(self):
        """Open a connection."""
        self.openings += 1
        self.opening += 1
        self.limit_exceeded |= self.open + self.opening > self.limit
        try:
            await asyncio.sleep(self.connect_s)
        finally:
            self.opening -= 1
        return REFUSED if self.refuse_connections else result.Ok(FakeConnection(self))


def run_pool(steps, connect_s):
    """Apply a sequence of steps to a pool and return the fake instance."""

    async def main():
        instance = FakeInstance(connect_s)
        acquired, tasks = [], []
        shared = pool.Pool("ledger-a", instance.connect)

        async def acquire():
            outcome = await shared.acquire(timeout_s=0.002)
            if outcome.is_ok():
                acquired.append(outcome.ok_value)

        for name, value in steps:
            if name == "limit":
                instance.limit = value
                shared.set_limit(value)
            elif name == "acquire":
                tasks.append(asyncio.create_task(acquire()))
            elif name == "cancel" and tasks:
                tasks[value % len(tasks)].cancel()
            elif name in ("release", "break") and acquired:
                connection = acquired.pop(value % len(acquired))
                connection.usable = name == "release"
                shared.release(connection)
            elif name == "refuse":
                instance.refuse_connections = value % 2 == 1
            await asyncio.sleep(0.001 if name == "wait" else 0)
            # Only connections in use may exceed a reduced limit, until they are released.
            assert shared.open_count <= max(shared.limit, len(shared._in_use))
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in acquired:
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
def test_property_connections_never_exceed_the_limit(steps, connect_s):
    """Guards against opening a connection when the current limit is already reached."""
    assert not run_pool([("limit", 3), *steps], connect_s).limit_exceeded


async def test_idle_connection_is_used_without_connecting():
    """Guards against waiting for a new connection while another one is idle."""
    instance = FakeInstance(connect_s=0.2)
    shared = pool.Pool("ledger-a", instance.connect, limit=4)
    shared.refill()
    await asyncio.sleep(0.25)
    acquired = await shared.acquire(timeout_s=0.05)
    assert acquired.is_ok()
    await asyncio.sleep(0)
    assert instance.openings == 3
    shared.close()


async def test_connection_in_doubt_is_not_reused():
    """Guards against reusing a connection on which a response is still outstanding."""
    instance = FakeInstance()
    shared = pool.Pool("ledger-a", instance.connect, limit=2, min_idle=0)
    in_doubt = (await shared.acquire(timeout_s=1)).ok_value
    in_doubt.usable = False
    shared.release(in_doubt)
    assert in_doubt.closed
    assert (await shared.acquire(timeout_s=1)).ok_value is not in_doubt
    shared.close()


@pytest.mark.parametrize(
    ("refuse_connections", "limit", "reason"),
    [
        (True, 2, verdict.Reason.UNREACHABLE),
        (False, 0, verdict.Reason.NO_CONNECTION),
    ],
)
async def test_acquire_without_connection_is_not_run(refuse_connections, limit, reason):
    """Guards against reporting a request in doubt that was never sent because there was no connection."""
    instance = FakeInstance()
    instance.refuse_connections = refuse_connections
    shared = pool.Pool("ledger-a", instance.connect, limit=limit)
    refusal = (await shared.acquire(timeout_s=1)).err_value
    assert (refusal.reason, refusal.verdict) == (reason, verdict.Verdict.NOT_RUN)
    shared.close()


async def test_wait_for_connection_in_use_times_out():
    """Guards against a wait beyond the timeout, and against losing a connection to a cancelled request."""
    instance = FakeInstance()
    shared = pool.Pool("ledger-a", instance.connect, limit=1)
    single = (await shared.acquire(timeout_s=1)).ok_value
    assert (await shared.acquire(timeout_s=0.02)).err_value.verdict is verdict.Verdict.NOT_RUN
    waiting = asyncio.create_task(shared.acquire(timeout_s=1))
    await asyncio.sleep(0)
    shared.release(single)
    waiting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await waiting
    assert (await shared.acquire(timeout_s=0.1)).ok_value is single
    shared.close()
