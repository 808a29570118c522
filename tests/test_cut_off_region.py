"""Promotions while a region with the primary is cut off from all others and from the store."""

import asyncio

import pytest

from currantlead.sessions.instances import replacements
from tests import promotion_bed


@pytest.fixture
async def regions(monkeypatch):
    """Provide a bed, the VM outside of the primary's region, and its path to the primary; both VMs run long enough."""
    monkeypatch.setattr(replacements, "DEPARTURE_RETENTION_S", 0.5)
    async with promotion_bed.make_pair_with_cut_off_vm() as (bed, outside, proxy):
        await asyncio.sleep(0.5)
        yield bed, outside, proxy


def cut_off(bed, outside, proxy):
    """Cut off the first VM and the primary from everything else."""
    bed.service.cut("i-1", "i-2")
    bed.service.cut("i-1", "i-3")
    proxy.to_target.dropped = proxy.from_target.dropped = True
    bed.daemon.network.simulate_partition([outside.settings.vm])
    outside.network.simulate_partition([bed.daemon.settings.vm])
    bed.store.fault = lambda method, path: "silent" if bed.store.serving_port == bed.store.port else None


def mend(bed, outside, proxy):
    """End the cut."""
    bed.service.cut_links.clear()
    proxy.clear_faults()
    for vm in (bed.daemon, outside):
        vm.network.simulate_partition([])
    bed.store.fault = lambda method, path: None


@pytest.mark.timeout(60)
async def test_replica_that_nobody_outside_knows_acknowledges_no_commit(regions):
    """Guards against commits of a region that is cut off, which a promotion outside rolls back."""
    bed, outside, proxy = regions
    async with promotion_bed.write(bed) as writer, promotion_bed.write(bed, outside):
        await writer.wait_for_acknowledged(20, 3.0)
        cut_off(bed, outside, proxy)
        await asyncio.sleep(0.6)
        await bed.service.join("i-4")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=6.0)
        assert bed.service.primary != "i-1", "no replica outside was promoted"
        mend(bed, outside, proxy)
        await promotion_bed.check_nothing_is_lost(bed, writer)
