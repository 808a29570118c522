"""Tests of statements on an unresponsive instance."""

import asyncio
import time

import pytest

from currantlead import verdict
from currantlead.connections import responsiveness
from tests.standins import fakes, holder_calls


async def _respond(value):
    return value


async def test_slow_operation_on_a_responding_instance_is_not_cancelled(monkeypatch):
    """Guards against cancelling slow reads, which would then never complete on any instance."""
    monkeypatch.setattr(responsiveness, "CHECK_INTERVAL_S", 0.01)

    async def operation():
        await asyncio.sleep(0.1)
        return "rows"

    assert (
        await responsiveness.run_monitored(
            operation(), lambda: _respond(True), pytest.fail, cancel_if_unresponsive=True
        )
        == "rows"
    )


async def test_operation_on_an_unresponsive_instance_is_cancelled(monkeypatch):
    """Guards against a read that occupies a slot of an unresponsive instance."""
    monkeypatch.setattr(responsiveness, "CHECK_INTERVAL_S", 0.01)
    unresponsive_calls, cancelled = [], []

    async def operation():
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    outcome = await responsiveness.run_monitored(
        operation(), lambda: _respond(False), lambda: unresponsive_calls.append(1), cancel_if_unresponsive=True
    )
    assert (outcome, unresponsive_calls, cancelled) == (None, [1], [True])


async def test_write_on_an_unresponsive_instance_continues(monkeypatch):
    """Guards against cancelling a write that may have run; only its own response or timeout may end it."""
    monkeypatch.setattr(responsiveness, "CHECK_INTERVAL_S", 0.01)
    unresponsive_calls = []

    async def operation():
        await asyncio.sleep(0.1)
        return "written"

    outcome = await responsiveness.run_monitored(
        operation(), lambda: _respond(False), lambda: unresponsive_calls.append(1), cancel_if_unresponsive=False
    )
    assert outcome == "written"
    assert unresponsive_calls


async def test_reads_queued_behind_a_stuck_write_are_refused_as_unreachable(monkeypatch):
    """Guards against reads that wait behind a write on a disconnected instance until ``queue_timeout``.

    Such reads were not tried on another instance.
    """
    monkeypatch.setattr(responsiveness, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(responsiveness, "STATUS_TIMEOUT_S", 0.1)
    async with fakes.running_cluster() as cluster:
        assert (await cluster.holder.execute(holder_calls.execute_message("create table t (x)", write=True))).is_ok()
        # Opens the connections, so that the write is sent before the instance is disconnected.
        assert (await cluster.holder.execute(holder_calls.execute_message("select x from t"))).is_ok()
        cluster.instances["ledger-a"].controls.cut_from = ["*"]
        writes = [asyncio.ensure_future(cluster.holder.execute(holder_calls.insert())) for _ in range(8)]
        await asyncio.sleep(0.4)
        started = time.monotonic()
        refusal = (await cluster.holder.execute(holder_calls.execute_message("select x from t"))).err_value
        assert refusal.reason is verdict.Reason.UNREACHABLE
        assert time.monotonic() - started < 0.5
        for write in writes:
            write.cancel()
        await asyncio.gather(*writes, return_exceptions=True)
        cluster.instances["ledger-a"].controls.cut_from = []
