"""What VMs tell those that would have to replace a primary, and what an instance's silence shows."""

import asyncio

import pytest

from currantlead.sessions import clock, election, paths
from tests import session_bed


async def until(condition, timeout_s=8.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.fixture
async def three():
    """Provide three VMs in the order in which they act for the service."""
    async with session_bed.Bed(cap=30) as bed:
        services = [{"name": "svc1", "maxConns": 30, "syncReplicas": 1}]
        bed.store.put("config", "main", session_bed.configuration(2, services=services))
        await bed.add_daemon("vm-2", "z2")
        await bed.add_daemon("vm-3", "z3")
        vms = {vm.settings.vm: vm for vm, _ in bed._running}
        await until(lambda: all(vm.peers.count == 3 for vm in vms.values()))
        yield bed, [vms[name] for name in election.promotion_order(session_bed.SERVICE, vms)]


async def test_vm_in_turn_learns_of_silence_that_it_does_not_see(three):
    """The first in turn has no traffic of the service, and still replaces the primary without waiting for its own."""
    bed, vms = three
    caller = await bed.caller(at=vms[2])
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].dark = True
    dark_at = clock.now()
    asking = asyncio.create_task(caller.query("WRITE a2 y"))
    await until(lambda: bed.store.promotions)
    assert clock.now() - dark_at < paths.SILENT_S + election.SILENCE_TIMEOUT_S + 1.5
    assert bed.store.promotions[0][2] == vms[0].settings.vm
    await asking


async def test_told_silence_of_a_living_primary_replaces_nobody(three):
    """A VM that is cut off from the primary by itself must not have it replaced."""
    bed, vms = three
    for _ in range(8):
        vms[2].fleet.suspect("i-1", "cut off here")
        await asyncio.sleep(0.2)
    assert bed.store.promotions == []
    assert bed.service.primary == "i-1"


async def test_lost_answers_alone_replace_nobody(three):
    """Writes whose answers were lost look like stuck commits; the replicas that receive show that they are not."""
    bed, vms = three
    caller = await bed.caller(at=vms[2])
    await caller.query("WRITE a1 x")
    for _ in range(10):
        vms[2].fleet.note_write("i-1", answered=False)
        await asyncio.sleep(0.2)
    assert bed.store.promotions == []


async def test_commits_without_a_replica_replace_the_primary(three):
    """A primary that answers reads, and whose commits hang, has lost its replicas."""
    bed, vms = three
    caller = await bed.caller(at=vms[2])
    await caller.query("WRITE a1 x")
    bed.service.cut_at = len(bed.service.log)
    asking = asyncio.create_task(caller.query("WRITE a2 y"))
    await until(lambda: bed.store.promotions)
    bed.service.cut_at = None
    await asking
    assert bed.service.primary != "i-1"


async def test_instance_that_answers_nothing_is_suspect_before_statements_end():
    """Silence shows after 0.4 s, whatever the statements' own limits are; an idle instance is not silent."""
    activity = paths.Activity()
    assert activity.silent_s() == activity.stuck_s() == 0.0
    activity._started = {1: (clock.now() - 0.6, False), 2: (clock.now() - 0.1, True)}
    assert 0.5 < activity.silent_s() < 0.8
    assert 0.05 < activity.stuck_s() < 0.3
    activity._heard_at = clock.now()
    assert activity.silent_s() < 0.1
