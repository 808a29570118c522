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
async def pair(monkeypatch):
    """Provide the VM that follows the store for its failure domain, and another one of the domain."""
    monkeypatch.setattr(patrol, "PATROL_S", 0.1)
    monkeypatch.setattr(patrol, "GONE_S", 0.6)
    monkeypatch.setattr(registration, "MISSING_S", 0.2)
    async with session_bed.Bed() as bed:
        second = await bed.add_daemon("vm-2", "z1")
        vms = [bed.daemon, second]
        await eventually(lambda: sum(vm.mirror.relayed for vm in vms) == 1)
        relay, other = sorted(vms, key=lambda vm: vm.mirror.relayed)
        yield bed, relay, other


async def test_vm_that_is_gone_is_removed(pair):
    """Rates and connections are divided among the VMs that are left."""
    bed, relay, other = pair
    assert relay.peers.count == 2
    await bed.stop_daemon(other)
    await eventually(lambda: relay.peers.count == 1)
    assert list(bed.store.objects["members"]) == [relay.settings.vm]


async def test_vm_that_answers_stays(pair):
    """Nobody is removed who polls or answers."""
    bed, relay, _ = pair
    await asyncio.sleep(1.5)
    assert relay.peers.count == 2 and len(bed.store.objects["members"]) == 2


async def test_vm_that_was_only_cut_off_enters_itself_again(pair, monkeypatch):
    """A VM that lives and reaches the store is missing for a moment only."""
    bed, relay, other = pair
    monkeypatch.setattr(liveness, "PING_INTERVAL_S", 0.1)
    relay.network.cut([other.settings.vm])
    other.network.cut([relay.settings.vm])
    await eventually(lambda: other.settings.vm not in bed.store.objects["members"])
    await eventually(lambda: other.settings.vm in bed.store.objects["members"])
    relay.network.cut([])
    other.network.cut([])
    await eventually(lambda: relay.peers.count == 2 and other.peers.count == 2)
    await asyncio.sleep(0.8)
    assert len(bed.store.objects["members"]) == 2


async def test_changed_entry_is_not_removed(pair):
    """A VM that entered itself anew since the decision keeps its entry."""
    bed, relay, _ = pair
    name = "vm-9"
    bed.store.put("members", name, {"peerHost": "127.0.0.1", "peerPort": 1, "domain": "z1"})
    old = bed.store.objects["members"][name]["meta"]["revision"]
    bed.store.put("members", name, {"peerHost": "127.0.0.1", "peerPort": 2, "domain": "z1"})
    assert not await relay.store.delete("members", name, old)
    assert name in bed.store.objects["members"]
