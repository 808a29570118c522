"""VMs that are gone for good leave the list of members; living ones stay in it."""

import asyncio

import pytest

from currantlead.sessions import liveness, patrol, registration
from tests import session_bed


async def eventually(holds, seconds=4.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not holds():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.fixture
async def trio(monkeypatch):
    """Provide the VM that follows the store for its failure domain, and two others of the domain."""
    monkeypatch.setattr(patrol, "PATROL_S", 0.1)
    monkeypatch.setattr(patrol, "GONE_S", 0.6)
    monkeypatch.setattr(registration, "MISSING_S", 0.2)
    async with session_bed.Bed() as bed:
        vms = [bed.daemon, await bed.add_daemon("vm-2", "z1"), await bed.add_daemon("vm-3", "z1")]
        await eventually(lambda: sum(vm.mirror.relayed for vm in vms) == 2)
        relay, other, third = sorted(vms, key=lambda vm: vm.mirror.relayed)
        yield bed, relay, other, third


async def test_vm_that_is_gone_is_removed(trio):
    """Rates and connections are divided among the VMs that are left."""
    bed, relay, other, third = trio
    assert relay.peers.count == 3
    await bed.stop_daemon(other)
    await eventually(lambda: relay.peers.count == 2)
    assert set(bed.store.objects["members"]) == {relay.settings.vm, third.settings.vm}


async def test_vm_that_answers_stays(trio):
    """Nobody is removed who polls or answers."""
    bed, relay, _, _ = trio
    await asyncio.sleep(1.5)
    assert relay.peers.count == 3 and len(bed.store.objects["members"]) == 3


async def test_vm_that_was_only_cut_off_enters_itself_again(trio, monkeypatch):
    """A VM that lives and reaches the store is missing for a moment only."""
    bed, relay, other, _ = trio
    monkeypatch.setattr(liveness, "PING_INTERVAL_S", 0.1)
    relay.network.cut([other.settings.vm])
    other.network.cut([relay.settings.vm])
    await eventually(lambda: other.settings.vm not in bed.store.objects["members"])
    await eventually(lambda: other.settings.vm in bed.store.objects["members"])
    relay.network.cut([])
    other.network.cut([])
    await eventually(lambda: relay.peers.count == 3 and other.peers.count == 3)
    await asyncio.sleep(0.8)
    assert len(bed.store.objects["members"]) == 3


async def test_vm_that_hears_of_no_other_removes_nobody(trio):
    """A VM that is cut off itself, and still reaches the store, must not take all others for gone."""
    bed, relay, other, third = trio
    relay.network.cut([other.settings.vm, third.settings.vm])
    for vm in (other, third):
        vm.network.cut([relay.settings.vm])
    await asyncio.sleep(2.0)
    assert len(bed.store.objects["members"]) >= 2
    assert {other.settings.vm, third.settings.vm} <= set(bed.store.objects["members"])


async def test_changed_entry_is_not_removed(trio):
    """A VM that entered itself anew since the decision keeps its entry."""
    bed, relay, _, _ = trio
    name = "vm-9"
    bed.store.put("members", name, {"peerHost": "127.0.0.1", "peerPort": 1, "domain": "z1"})
    old = bed.store.objects["members"][name]["meta"]["revision"]
    bed.store.put("members", name, {"peerHost": "127.0.0.1", "peerPort": 2, "domain": "z1"})
    assert not await relay.store.delete("members", name, old)
    assert name in bed.store.objects["members"]
