"""A store that is restored from a copy: it loses recent changes and gives out their revisions again."""

import asyncio

import pytest

from currantlead.platform import calls, objects
from currantlead.sessions import clock
from currantlead.sessions.decisions import election
from currantlead.sessions.instances import fleet
from currantlead.sessions.shared import copies
from tests import session_bed


@pytest.fixture
async def restored():
    """Provide a bed with two VMs of a failure domain and one of another, and a copy of the store."""
    async with session_bed.Bed() as bed:
        vms = [bed.daemon, await bed.add_daemon("vm-2", "z1"), await bed.add_daemon("vm-3", "z2")]
        await session_bed.wait_until(lambda: sum(vm.mirror.uses_relay for vm in vms) == 1)
        yield bed, vms, bed.store.copy()


async def test_configuration_at_a_revision_given_out_again_is_applied(restored):
    """A changed configuration never came into force because its revision was that of a lost one."""
    bed, vms, copied = restored
    bed.store.put("config", "main", session_bed.configuration(3))
    await session_bed.wait_until(lambda: all(vm.configuration.version == 3 for vm in vms))
    bed.store.restore(copied)
    bed.store.put("config", "main", session_bed.configuration(4))
    await session_bed.wait_until(
        lambda: all(vm.configuration.version == 4 for vm in vms), bed.daemon.settings.bounds.configuration_s
    )


async def test_watch_from_a_lost_revision_is_followed_by_a_list(restored):
    """A watch must not go on from a revision that now stands for another change: what came before it was missed."""
    bed, vms, copied = restored
    bed.store.put("evacuations", "z2", {})
    await session_bed.wait_until(lambda: all(not vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms))
    # Pending watches outlive the restoration and are answered by another change of their kind.
    bed.store.reset_connections = lambda: None
    bed.store.restore(copied)
    bed.store.put("evacuations", "z3", {})
    bed.store.put("evacuations", "z2", {})
    bounds = bed.daemon.settings.bounds
    await session_bed.wait_until(
        lambda: all(not vm.fleet.accepts_reads(vm.fleet.get("i-3")) for vm in vms), bounds.evacuation_s
    )


async def test_promotion_after_a_restoration_has_a_higher_generation_number(restored):
    """The platform refused each promotion until the restored store's revisions had passed those before."""
    bed, vms, copied = restored
    bed.store.revision += 100
    bed.register_instance("i-1", state="draining")
    await session_bed.wait_until(lambda: bed.store.promotions)
    # While the order is open, a VM may have no primary to send work to.
    primaries = {None, "i-1"}
    while primaries & {None, "i-1"}:
        await asyncio.sleep(0.01)
        found = [vm.fleet.primary(session_bed.SERVICE) for vm in vms]
        primaries = {tracked.instance.id if tracked is not None else None for tracked in found}
    first_token = bed.store.promotions[-1][3]
    bed.store.restore(copied)
    for name in bed.service.instances:
        bed.register_instance(name)
    old_primary = bed.store.promotions[-1][1]
    bed.register_instance(old_primary, state="draining")
    await session_bed.wait_until(lambda: len(bed.store.promotions) > 1, 8.0)
    assert bed.store.promotions[-1][3] > first_token


def test_revisions_are_ordered_across_eras():
    """The last revision of one era precedes the first of the next, and a store without eras keeps its numbers."""
    assert objects.combine_revision(1, 900) < objects.combine_revision(2, 3) < objects.combine_revision(2, 4)
    assert objects.combine_revision(0, 7) == 7
    assert objects.era_of(objects.combine_revision(2, 3)) == 2
    assert objects.format_revision(objects.combine_revision(2, 3)) == "2.3"
    call = calls.watch_call("config", objects.combine_revision(2, 3), 1.5)
    assert call.path == "/currantlead/objects/config?watch=3&waitMs=1500"


async def test_older_configuration_of_a_restored_store_is_not_applied(restored):
    """A configuration that is older than the one in force must not come back, nor count as confirmed."""
    bed, vms, copied = restored
    bed.store.put("config", "main", session_bed.configuration(3, tenants=[]))
    await session_bed.wait_until(lambda: all(vm.configuration.version == 3 for vm in vms))
    bed.store.restore(copied)
    await asyncio.sleep(2.0)
    assert all(vm.configuration.version == 3 for vm in vms)
    assert all(vm.configuration_age.age_s(clock.now()) > 1.5 for vm in vms)
    bed.store.put("config", "main", session_bed.configuration(3, tenants=[]))
    await session_bed.wait_until(lambda: all(vm.configuration_age.age_s(clock.now()) < 1.0 for vm in vms))
    assert all(vm.configuration.version == 3 for vm in vms)


async def test_members_lost_by_a_restored_store_are_counted_until_they_register_again(restored):
    """VMs missing from a restored list would raise the others' shares of rates and connections."""
    bed, vms, copied = restored
    vms.append(await bed.add_daemon("vm-4", "z2"))
    await session_bed.wait_until(lambda: all(vm.members.count == 4 for vm in vms))
    bed.store.restore(copied)
    fewest = 4
    for _ in range(600):
        await asyncio.sleep(0.01)
        fewest = min(fewest, *(vm.members.count for vm in vms))
    assert fewest == 4
    assert set(bed.store.objects["members"]) == {"vm-1", "vm-2", "vm-3", "vm-4"}


async def test_evacuation_lost_by_a_restored_store_stays_until_it_is_written_again(restored):
    """An evacuated domain would get work until the operator has written the evacuation again."""
    bed, vms, copied = restored
    bed.store.put("evacuations", "z2", {})
    await session_bed.wait_until(lambda: all(not vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms))
    bed.store.restore(copied)
    served = False
    for number in range(300):
        await asyncio.sleep(0.01)
        served = served or any(vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms)
        if number == 100:
            bed.store.put("evacuations", "z2", {})
    assert not served
    bed.store.delete("evacuations", "z2")
    await session_bed.wait_until(lambda: all(vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms))


async def test_object_that_is_not_written_again_is_removed_after_the_restoration(restored):
    """An evacuation that the restored store lost for good must not keep its domain out of service."""
    bed, vms, copied = restored
    bed.store.put("evacuations", "z2", {})
    await session_bed.wait_until(lambda: all(not vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms))
    bed.store.restore(copied)
    await session_bed.wait_until(
        lambda: all(vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms), copies.RESTORATION_GRACE_S + 2.0
    )


async def test_fault_while_a_lost_object_is_removed_does_not_end_the_polls(restored, monkeypatch):
    """An unexpected error in a component must not end the task that chooses the source of the copies."""
    bed, vms, copied = restored
    bed.store.put("evacuations", "z2", {})
    await session_bed.wait_until(lambda: all(not vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms))
    set_evacuated_domains = fleet.Fleet.set_evacuated_domains
    faults = [RuntimeError("fault of a component") for _ in vms]

    def fail_once(self, domains, since):
        if faults and not domains:
            raise faults.pop()
        set_evacuated_domains(self, domains, since)

    bed.store.restore(copied)
    await asyncio.sleep(1.0)
    monkeypatch.setattr(fleet.Fleet, "set_evacuated_domains", fail_once)
    await asyncio.sleep(copies.RESTORATION_GRACE_S)
    assert faults == []
    await session_bed.wait_until(lambda: sum(vm.mirror.uses_relay for vm in vms) == 1)
    bed.store.put("config", "main", session_bed.configuration(6))
    await session_bed.wait_until(lambda: all(vm.configuration.version == 6 for vm in vms))
    assert all(vm.fleet.accepts_reads(vm.fleet.get("i-2")) for vm in vms)


async def test_relay_that_has_not_seen_the_restoration_is_not_used(restored, monkeypatch):
    """Copies of a relay that is cut off from the store must not replace those of the restored store."""
    bed, vms, copied = restored
    relayed = next(vm for vm in vms if vm.mirror.uses_relay)
    relay = next(vm for vm in vms if vm is not relayed and vm.settings.domain == relayed.settings.domain)
    response = relay.mirror._handle_poll("vm-9", dict.fromkeys(relayed.mirror._copies))
    bed.store.restore(copied)
    bed.store.put("config", "main", session_bed.configuration(5))
    await session_bed.wait_until(lambda: relayed.configuration.version == 5)
    assert not relayed.mirror._apply_response(response, clock.now())


@pytest.mark.parametrize("remembered", ["nothing", "an older claim of this VM"])
async def test_promotion_waits_for_a_claim_that_the_restored_store_lost(remembered):
    """Two VMs promoted within a second because the restored store no longer had the claim of the first."""
    async with session_bed.Bed() as bed:
        if remembered != "nothing":
            bed.store.put("duties", "svc1", {"holder": "vm-1", "previous": 0})
        copied = bed.store.copy()
        bed.store.put("duties", "svc1", {"holder": "vm-9", "previous": 0})
        await asyncio.sleep(0.2)
        bed.store.restore(copied)
        bed.register_instance("i-1", state="draining")
        await asyncio.sleep(election.CLAIM_EXCLUSIVITY_S - 1.0)
        assert bed.store.promotions == []
        assert all(instance.paused_term == 0 for instance in bed.service.instances.values())
        await session_bed.wait_until(lambda: bed.service.primary not in ("i-1", ""))
