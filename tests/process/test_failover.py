"""The primary is frozen, cut from its peers, or replaced by plan, with callers attached."""

import asyncio

import pytest

from tests.process import harness
from tools import load, workload

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-2"), pytest.mark.timeout(90)]
FAILOVER_GAP_S = 5.0
PLANNED_GAP_S = 1.0


@pytest.fixture(scope="module")
def running():
    """Run one deployment for all tests of the module."""
    with harness.deploy() as deployed:
        yield deployed


async def _probe_during(running, fault, seconds_after):
    """Send writes to all VMs around a fault; return what callers were told and the ledger at the end."""
    stop = asyncio.Event()
    async with harness.http_client() as http:
        session = harness.roaming_session(running, http)
        probes = asyncio.ensure_future(harness.probe_writes(session, stop))
        await asyncio.sleep(1.0)
        await fault()
        await asyncio.sleep(seconds_after)
        stop.set()
        told = await probes
        return told, await harness.compare(running, http, told)


async def _await_promotion(running, old):
    return await harness.until(lambda: running.primary(harness.DATABASE) not in ("", old), 10.0)


async def test_frozen_primary_acknowledges_nothing_after_it_resumes(running):
    """Guard P2 against a primary that is paused, replaced, and resumed with requests in its sockets."""
    old = running.primary(harness.DATABASE)

    async def fault():
        running.endpoints[old].freeze()
        await _await_promotion(running, old)
        await asyncio.sleep(0.5)
        running.endpoints[old].resume()

    told, ledger = await _probe_during(running, fault, 2.0)
    gap = harness.longest_gap(told)
    print(f"gap {gap:.2f} s, {ledger}")
    assert ledger == workload.Ledger()
    assert gap <= FAILOVER_GAP_S
    await harness.until(lambda: harness.status(running, old)["role"] == "replica", 5.0)


async def test_primary_cut_from_its_peers_is_replaced(running):
    """Guard P2 and the failover gap against a primary that VMs still reach but its replicas don't."""
    old = running.primary(harness.DATABASE)
    others = [name for name in running.endpoints if name != old]

    async def fault():
        await asyncio.to_thread(harness.control_endpoint, running, old, cut_from=others)
        await _await_promotion(running, old)

    try:
        told, ledger = await _probe_during(running, fault, 2.0)
    finally:
        harness.control_endpoint(running, old, cut_from=[])
    gap = harness.longest_gap(told)
    print(f"gap {gap:.2f} s, {ledger}")
    assert ledger == workload.Ledger()
    assert gap <= FAILOVER_GAP_S
    await harness.until(lambda: harness.status(running, old)["role"] == "replica", 5.0)


async def test_drained_primary_is_replaced_without_a_cut(running):
    """Guard P12, P13 and the gap of a planned change against writes that are refused or cut during it."""
    old = running.primary(harness.DATABASE)

    async def fault():
        await asyncio.to_thread(harness.operate, running, f"drain endpoint {old}")
        await _await_promotion(running, old)

    try:
        told, ledger = await _probe_during(running, fault, 1.0)
    finally:
        harness.operate(running, f"return endpoint {old}")
    gap = harness.longest_gap(told)
    print(f"gap {gap:.2f} s, {ledger}")
    assert ledger == workload.Ledger()
    assert gap <= PLANNED_GAP_S
    cut = [item for item in told if item.verdict == load.MAY_HAVE_RUN]
    assert not cut, cut
