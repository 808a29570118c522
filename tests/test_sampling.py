"""Samples of the primaries' positions that VMs share, where their connections are shared too."""

import asyncio

import pytest

from currantlead.sessions import clock, shares
from tests import session_bed


@pytest.fixture
async def pair(monkeypatch):
    """Provide two VMs of one failure domain that share two connections to each instance."""
    monkeypatch.setattr(shares, "HOLDERS_LEAST", 1)
    async with session_bed.Bed(cap=2) as bed:
        bed.store.put("config", "main", session_bed.configuration(2, services=[{"name": "svc1", "maxConns": 2}]))
        second = await bed.add_daemon("vm-2", "z1")
        await asyncio.sleep(0.2)
        yield bed, bed.daemon, second


def age_s(vm):
    """Return the age of a VM's newest sample."""
    sample = vm.samples.newest("svc1")
    return float("inf") if sample is None else clock.now() - sample.asked_at


async def test_vms_without_traffic_have_young_samples(pair):
    """Reads with an allowed age run at replicas on every VM, although only one VM had traffic once."""
    bed, first, second = pair
    caller = await bed.caller("primary-db", at=first)
    await caller.query("WRITE a1 x")
    await asyncio.sleep(2.2)
    assert age_s(first) < 1.5 and age_s(second) < 1.5
    for vm in (first, second):
        reader = await bed.caller("bounded-db", at=vm)
        bed.service.runs.clear()
        await reader.query("READ a1")
        assert [run.text for run in bed.service.runs] == ["READ a1"]
        assert bed.service.runs[0].instance in ("i-1", "i-2", "i-3")


async def test_sample_covers_what_was_acknowledged_before_it_was_asked_for(pair):
    """A shared sample never claims a time at which a later commit had been acknowledged already."""
    bed, first, second = pair
    writer = await bed.caller("primary-db", at=first)
    for number in range(40):
        acknowledged = (await writer.query(f"WRITE a1 v{number}"))[1]
        at = clock.now()
        position = int(acknowledged.rpartition(".")[2])
        await asyncio.sleep(0.03)
        for vm in (first, second):
            for sample in vm.samples._samples.get("svc1", ()):
                assert sample.asked_at < at or sample.position.number >= position


async def test_no_sample_comes_from_a_replaced_primary(pair):
    """Only an instance that leads gives samples."""
    bed, first, second = pair
    caller = await bed.caller("primary-db", at=first)
    await caller.query("WRITE a1 x")
    bed.service.promote("i-2")
    promoted_at = clock.now()
    await asyncio.sleep(1.5)
    for vm in (first, second):
        assert all(
            sample.asked_at <= promoted_at or sample.position.term == 2
            for sample in vm.samples._samples.get("svc1", ())
        )
