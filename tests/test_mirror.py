"""Copies of the store's objects that VMs of a failure domain take from a relay."""

import asyncio

import pytest

from currantlead.platform import objects
from currantlead.sessions import clock, mirror
from tests import session_bed


async def eventually(holds, seconds=3.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not holds():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.fixture
async def trio():
    """Provide a relay, a VM of its failure domain that takes its copies from it, and one of another domain."""
    async with session_bed.Bed() as bed:
        near = await bed.add_daemon("vm-2", "z1")
        far = await bed.add_daemon("vm-3", "z2")
        pair = [bed.daemon, near]
        await eventually(lambda: sum(vm.mirror.relayed for vm in pair) == 1)
        relay, relayed = sorted(pair, key=lambda vm: vm.mirror.relayed)
        yield bed, relay, relayed, far


async def test_one_vm_of_a_domain_asks_the_store(trio):
    """Calls to the store do not grow with the VMs of a failure domain; the other domain has its own relay."""
    bed, _, relayed, far = trio
    assert not far.mirror.relayed
    before = len(bed.store.calls)
    await asyncio.sleep(2.0)
    watches = [path for _, path in bed.store.calls[before:] if objects.CONFIGURATION in path]
    assert 2 <= len(watches) <= 5
    assert relayed.confirmation.age_s(clock.now()) < mirror.STALE_S


async def test_change_reaches_a_relayed_vm_at_once(trio):
    """A relay tells of changes; a VM does not wait for its next question."""
    bed, _, relayed, _ = trio
    for version in range(2, 6):
        bed.store.put("config", "main", session_bed.configuration(version))
        await eventually(lambda version=version: relayed.configuration.version == version, mirror.POLL_S * 0.8)


async def test_entries_come_and_go_at_a_relayed_vm(trio):
    """Instances, evacuations and members are followed like the configuration, deletions included."""
    bed, _, relayed, _ = trio
    bed.register("i-3", state="draining")
    bed.store.put("evacuations", "z2", {})
    await eventually(lambda: relayed.fleet.get("i-3").instance.draining)
    await eventually(lambda: not relayed.fleet.takes_reads(relayed.fleet.get("i-2")))
    bed.store.delete("evacuations", "z2")
    bed.store.delete("servers", "i-3")
    await eventually(lambda: relayed.fleet.takes_reads(relayed.fleet.get("i-2")))
    await eventually(lambda: relayed.fleet.get("i-3") is None)


async def test_relayed_vm_follows_the_store_when_its_relay_is_gone(trio):
    """The configuration stays confirmed when a relay dies."""
    bed, relay, relayed, _ = trio
    oldest = 0.0
    await bed.stop_daemon(relay)
    for _ in range(150):
        await asyncio.sleep(0.01)
        oldest = max(oldest, relayed.confirmation.age_s(clock.now()))
    assert not relayed.mirror.relayed
    assert oldest < mirror.STALE_S
    bed.store.put("config", "main", session_bed.configuration(7))
    await eventually(lambda: relayed.configuration.version == 7)


async def test_relay_that_the_store_turns_away_is_passed_over(trio, monkeypatch):
    """A VM asks the store itself before its relay's age would make it refuse callers."""
    _, relay, relayed, _ = trio
    ask = relay.store._send

    async def refuse(call, client, timeout_s):
        response = await ask(call, client, timeout_s)
        return type(response)(503, b"{}")

    monkeypatch.setattr(relay.store, "_send", refuse)
    oldest = 0.0
    for _ in range(450):
        await asyncio.sleep(0.01)
        oldest = max(oldest, relayed.confirmation.age_s(clock.now()))
    assert not relayed.mirror.relayed
    assert oldest < 3.0, "sessions are refused from 3 s on"
    assert relay.confirmation.age_s(clock.now()) > 3.0


async def test_age_counts_from_the_relays_own_confirmation(trio, monkeypatch):
    """A relay that hears nothing new passes its age on; its answers do not make the configuration younger."""
    _, relay, relayed, _ = trio
    stopped_at = clock.now()
    monkeypatch.setattr(relay.confirmation, "confirm", lambda at: None)
    for copy in relay.mirror._copies.values():
        monkeypatch.setattr(copy.follower, "on_confirmed", lambda at: None)
    await asyncio.sleep(1.2)
    assert relayed.mirror.relayed
    assert relayed.confirmation.age_s(clock.now()) >= clock.now() - stopped_at - 0.05


async def test_copies_of_any_content_are_passed_on(trio):
    """Entries of other writers may hold lone surrogates and other types; they must not stop the relaying."""
    bed, _, relayed, _ = trio
    bed.store.put("servers", "i-9", {"service": "\ud800", "addr": 7, "zone": None})
    bed.store.put("servers", "i-8", "no object")
    bed.store.put("config", "main", session_bed.configuration(4))
    await eventually(lambda: relayed.configuration.version == 4)
    assert relayed.mirror.relayed


async def test_older_copy_does_not_replace_a_newer_one(trio):
    """A relay that missed a change is taken for stale."""
    bed, relay, relayed, _ = trio
    body = {kind: None for kind in relayed.mirror._copies}
    older = relay.mirror._answer("vm-9", body)
    bed.store.put("config", "main", session_bed.configuration(5))
    await eventually(lambda: relayed.configuration.version == 5)
    assert not relayed.mirror._take(older, clock.now())
    assert relayed.configuration.version == 5
