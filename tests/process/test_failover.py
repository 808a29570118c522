"""Tests of failover under load: the primary is frozen, partitioned from its replicas, or drained."""

import asyncio

import pytest

from tests.process import harness
from tools import load, workload

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-2"), pytest.mark.timeout(90)]
MAX_FAILOVER_GAP_S = 5.0
MAX_PLANNED_GAP_S = 1.0


@pytest.fixture(scope="module")
def running():
    """Run one deployment for all tests of the module."""
    with harness.deploy() as deployed:
        yield deployed


async def _probe_during(running, fault, seconds_after):
    """Send writes to all VMs around a fault; return their results and the comparison with the tables."""
    stop = asyncio.Event()
    async with harness.http_client() as http:
        session = harness.roaming_session(running, http)
        probes = asyncio.ensure_future(harness.probe_writes(session, stop))
        await asyncio.sleep(1.0)
        await fault()
        await asyncio.sleep(seconds_after)
        stop.set()
        results = await probes
        return results, await harness.compare(running, http, results)


async def _wait_for_promotion(running, old_primary):
    return await harness.wait_until(lambda: running.primary(harness.DATABASE) not in ("", old_primary), 10.0)


async def test_frozen_primary_acknowledges_nothing_after_it_resumes(running):
    """Guards against acknowledgements by a replaced primary that resumes with queued requests after a pause (P2)."""
    old_primary = running.primary(harness.DATABASE)

    async def fault():
        running.endpoints[old_primary].freeze()
        await _wait_for_promotion(running, old_primary)
        await asyncio.sleep(0.5)
        running.endpoints[old_primary].resume()

    results, ledger = await _probe_during(running, fault, 2.0)
    gap = harness.longest_gap(results)
    print(f"gap {gap:.2f} s, {ledger}")
    assert ledger == workload.Violations()
    assert gap <= MAX_FAILOVER_GAP_S
    await harness.wait_until(lambda: harness.status(running, old_primary)["role"] == "replica", 5.0)


async def test_primary_partitioned_from_its_peers_is_replaced(running):
    """Guards against lost writes and a long failover when VMs still reach the primary but its replicas do not (P2)."""
    old_primary = running.primary(harness.DATABASE)
    others = [name for name in running.endpoints if name != old_primary]

    async def fault():
        await asyncio.to_thread(harness.control_endpoint, running, old_primary, cut_from=others)
        await _wait_for_promotion(running, old_primary)

    try:
        results, ledger = await _probe_during(running, fault, 2.0)
    finally:
        harness.control_endpoint(running, old_primary, cut_from=[])
    gap = harness.longest_gap(results)
    print(f"gap {gap:.2f} s, {ledger}")
    assert ledger == workload.Violations()
    assert gap <= MAX_FAILOVER_GAP_S
    await harness.wait_until(lambda: harness.status(running, old_primary)["role"] == "replica", 5.0)


async def test_drained_primary_is_replaced_without_cut_requests(running):
    """Guards against a long gap and cut writes during a planned change of the primary (P12, P13)."""
    old_primary = running.primary(harness.DATABASE)

    async def fault():
        await asyncio.to_thread(harness.operate, running, f"drain endpoint {old_primary}")
        await _wait_for_promotion(running, old_primary)

    try:
        results, ledger = await _probe_during(running, fault, 1.0)
    finally:
        harness.operate(running, f"return endpoint {old_primary}")
    gap = harness.longest_gap(results)
    print(f"gap {gap:.2f} s, {ledger}")
    assert ledger == workload.Violations()
    assert gap <= MAX_PLANNED_GAP_S
    cut = [result for result in results if result.verdict == load.MAY_HAVE_RUN]
    assert not cut, cut
