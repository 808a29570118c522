"""Probes of instances whose entries are gone from the store."""

import asyncio

import pytest

from currantlead.sessions import clock
from currantlead.sessions.failover import departure_probes
from tests import session_bed


@pytest.fixture
async def bed(monkeypatch):
    """Provide a daemon that probes every 0.1 s, and a service with three instances."""
    monkeypatch.setattr(departure_probes, "PROBE_INTERVAL_S", 0.1)
    async with session_bed.Bed() as started:
        yield started


async def remove_entry(bed):
    """Let a replica drain, and remove its entry; return its departure."""
    bed.register_instance("i-2", state="draining")
    await session_bed.wait_until(lambda: bed.daemon.fleet.get("i-2").instance.draining)
    bed.store.delete("servers", "i-2")
    await session_bed.wait_until(lambda: bed.daemon.fleet.departures(session_bed.SERVICE))
    return find_departure(bed)


def find_departure(bed):
    """Return the only known departure."""
    (departure,) = bed.daemon.fleet.departures(session_bed.SERVICE)
    return departure


async def test_instance_that_answers_has_not_ended(bed):
    """A removed entry does not show that the instance has ended while it still answers."""
    assert (await remove_entry(bed)).ended_at is None
    await asyncio.sleep(0.4)
    assert find_departure(bed).ended_at is None


async def test_instance_has_ended_when_nothing_listens_at_its_address(bed):
    """The end counts from the probe that found nothing, not from the removal of the entry."""
    await remove_entry(bed)
    stopped_at = clock.now()
    await bed.service.leave("i-2")
    await session_bed.wait_until(lambda: find_departure(bed).ended_at is not None)
    assert find_departure(bed).ended_at >= stopped_at


async def test_instance_has_ended_when_another_one_has_its_address(bed):
    """The instance that answers at the address says that it is not the expected one."""
    await remove_entry(bed)
    bed.service.instances["i-2"].id = "i-9"
    await session_bed.wait_until(lambda: find_departure(bed).ended_at is not None)


async def test_instance_that_reports_again_is_no_longer_gone(bed):
    """An instance that reaches the store again is asked and paused as a known one."""
    await remove_entry(bed)
    bed.register_instance("i-2", state="draining")
    await session_bed.wait_until(lambda: bed.daemon.fleet.get("i-2") is not None)
    assert bed.daemon.fleet.departures(session_bed.SERVICE) == []
