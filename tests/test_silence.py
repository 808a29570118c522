"""Tests of statements at an instance that does not answer."""

import asyncio
import time

import pytest

from currantlead import verdict
from currantlead.connections import silence
from tests.standins import calls, fakes


async def _answer(value):
    return value


async def test_slow_step_of_a_live_instance_is_not_abandoned(monkeypatch):
    """A read that is only slow would otherwise never complete anywhere."""
    monkeypatch.setattr(silence, "CHECK_INTERVAL_S", 0.01)

    async def step():
        await asyncio.sleep(0.1)
        return "rows"

    assert (
        await silence.run_monitored(step(), lambda: _answer(True), pytest.fail, cancel_if_unresponsive=True) == "rows"
    )


async def test_step_of_a_silent_instance_is_cancelled(monkeypatch):
    """A read that stays at a frozen instance keeps one of its few slots."""
    monkeypatch.setattr(silence, "CHECK_INTERVAL_S", 0.01)
    seen, cancelled = [], []

    async def step():
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    outcome = await silence.run_monitored(
        step(), lambda: _answer(False), lambda: seen.append(1), cancel_if_unresponsive=True
    )
    assert (outcome, seen, cancelled) == (None, [1], [True])


async def test_write_of_a_silent_instance_goes_on(monkeypatch):
    """A write that was sent may have run, so only its own answer or timeout may end it."""
    monkeypatch.setattr(silence, "CHECK_INTERVAL_S", 0.01)
    seen = []

    async def step():
        await asyncio.sleep(0.1)
        return "written"

    outcome = await silence.run_monitored(
        step(), lambda: _answer(False), lambda: seen.append(1), cancel_if_unresponsive=False
    )
    assert outcome == "written"
    assert seen


async def test_reads_behind_a_stuck_write_are_refused_as_unreachable(monkeypatch):
    """Reads used to wait behind a write at a cut instance until ``queue_timeout`` and were not tried elsewhere."""
    monkeypatch.setattr(silence, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(silence, "STATUS_TIMEOUT_S", 0.1)
    async with fakes.running() as cluster:
        assert (await cluster.holder.execute(calls.work("create table t (x)", write=True))).is_ok()
        # Opens the connections, so that the write is sent before the instance is cut.
        assert (await cluster.holder.execute(calls.work("select x from t"))).is_ok()
        cluster.instances["ledger-a"].controls.cut_from = ["*"]
        writes = [asyncio.ensure_future(cluster.holder.execute(calls.insert())) for _ in range(8)]
        await asyncio.sleep(0.4)
        started = time.monotonic()
        refusal = (await cluster.holder.execute(calls.work("select x from t"))).err_value
        assert refusal.reason is verdict.Reason.UNREACHABLE
        assert time.monotonic() - started < 0.5
        for write in writes:
            write.cancel()
        await asyncio.gather(*writes, return_exceptions=True)
        cluster.instances["ledger-a"].controls.cut_from = []
