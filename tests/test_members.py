"""Tests of the membership service over loopback: VMs join, leave, fail and restart."""

import asyncio

from currantlead.control import lease
from tests import fakes_membership as fakes


async def _start(platform, names, domain="larisa", **options):
    return await asyncio.gather(*(fakes.start_vm(name, domain, platform, **options) for name in names))


async def _stop(vms):
    await asyncio.gather(*(vm.stop(leave=False) for vm in vms))


async def test_eight_vms_join_within_two_seconds():
    """Concurrent joins must not keep each other out of the view through update conflicts."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, [f"vm{n}" for n in range(8)])
    took = await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    assert took < 2.0
    assert len(fakes.stored_view(platform, "larisa").members) == 8
    owners = [sum(vm.members.owns(f"org{n}") for vm in vms) for n in range(50)]
    assert owners == [1] * 50
    shares = [sum(vm.members.connection_share(f"db{n}-1", "larisa") for vm in vms) for n in range(50)]
    assert shares == [1.0] * 50
    await _stop(vms)


async def test_vms_exchange_requests_and_numbers():
    """Members of a view can send requests and heartbeat values to each other."""
    platform = fakes.FakePlatform()
    first, second = await _start(platform, ["vm1", "vm2"])
    second.members.add_heartbeat_value("c", lambda: 17)

    @second.network.handler("add")
    async def add(vm, body):
        return {"sum": body["a"] + body["b"], "from": vm}

    await fakes.wait_until(lambda: first.members.roles_active and second.members.roles_active)
    reply = await first.network.request("vm2", "add", {"a": 1, "b": 2}, timeout_s=1)
    assert reply == {"sum": 3, "from": "vm1"}
    second.members.send_heartbeats()
    await fakes.wait_until(lambda: first.members.heartbeat_values("vm2") == {"c": 17})
    await _stop([first, second])


async def test_planned_stop_moves_roles_at_once():
    """The roles of a VM that stops must move without waiting for its lease to expire."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, ["vm1", "vm2", "vm3"])
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    await vms[0].stop()
    took = await fakes.wait_until(
        lambda: all(len(vm.members.view.members) == 2 and vm.members.roles_active for vm in vms[1:])
    )
    assert took < 0.5
    assert [sum(vm.members.owns(f"org{n}") for vm in vms) for n in range(30)] == [1] * 30
    await _stop(vms[1:])


async def test_silent_member_is_removed_and_comes_back():
    """A VM that is cut off is removed, loses its lease and releases its roles, and joins again later."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, ["vm1", "vm2", "vm3"])
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    released = []
    vms[2].members.add_release_callback(lambda: released.append(True))
    for vm in vms[:2]:
        vm.network.simulate_partition(["vm3"])
    vms[2].network.simulate_partition(["vm1", "vm2"])
    took = await fakes.wait_until(lambda: all(len(vm.members.view.members) == 2 for vm in vms[:2]), 10)
    assert took < 7
    assert not vms[2].members.lease_valid() and vms[2].members.lease_remaining_s() == 0.0
    assert released
    for vm in vms:
        vm.network.simulate_partition([])
    await fakes.wait_until(lambda: all(len(vm.members.view.members) == 3 and vm.members.roles_active for vm in vms), 10)
    await _stop(vms)


async def test_lost_answers_of_the_store_are_recognised():
    """A VM must not take its own stored view for that of another VM when the answer to the write is lost."""
    platform = fakes.FakePlatform()
    platform.lose_next_answers = 3
    vms = await _start(platform, ["vm1", "vm2", "vm3"])
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    assert platform.writes == 3
    await _stop(vms)


async def test_leases_continue_while_the_store_is_down():
    """Leases are renewed by peers only, so an outage of the store must not end them."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, ["vm1", "vm2", "vm3"], lease_s=0.8, heartbeat_s=0.2)
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    platform.outage = True
    for _ in range(40):
        await asyncio.sleep(0.05)
        assert all(vm.members.lease_valid() and 0.0 < vm.members.lease_remaining_s() <= 0.8 for vm in vms)
    await _stop(vms)


async def test_domain_of_two_survives_one_death_with_an_outside_witness():
    """A domain of two survives the failure of one VM; the witness is dropped when one member is left."""
    platform = fakes.FakePlatform()
    first, second = await _start(platform, ["vm1", "vm2"])
    (outside,) = await _start(platform, ["vm9"], "naousa")
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in (first, second, outside)))
    for vm in (first, second, outside):
        vm.directory.put(outside.members.view)
    await fakes.wait_until(lambda: all(vm.members.view.witness is not None for vm in (first, second)), 6)
    await fakes.wait_until(lambda: first.members.roles_active and second.members.roles_active)
    await second.stop(leave=False)
    await fakes.wait_until(lambda: len(first.members.view.members) == 1 and first.members.roles_active, 10)
    assert first.members.connection_share("db1-1", "larisa") == 1.0
    await fakes.wait_until(lambda: first.members.view.witness is None and first.members.roles_active, 5)
    assert first.members.owner("org1", "naousa") == "vm9"
    await _stop([first, outside])


async def test_killed_vm_restarts_under_its_name():
    """A VM restarted after a crash replaces its earlier incarnation instead of waiting forever for its removal."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, ["vm1", "vm2", "vm3"], lease_s=1.0, heartbeat_s=0.25)
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    await vms[2].stop(leave=False)
    vms[2] = await fakes.start_vm("vm3", "larisa", platform, lease_s=1.0, heartbeat_s=0.25)
    await fakes.wait_until(lambda: all(vm.members.roles_active and vm.members.view.member("vm3") for vm in vms), 8)
    assert vms[0].members.view.member("vm3") == vms[2].network.member
    await _stop(vms)


async def test_whole_domain_restarts():
    """After a crash of all members, the new processes must be able to change the stored view."""
    platform = fakes.FakePlatform()
    options = {"lease_s": 0.8, "heartbeat_s": 0.2}
    vms = await _start(platform, ["vm1", "vm2", "vm3"], **options)
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    await _stop(vms)
    vms = await _start(platform, ["vm1", "vm2", "vm3"], **options)
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms), 15)
    await _stop(vms)


async def test_abandoned_removal_ends():
    """If the remover fails, a witness that has suspended a VM must start to acknowledge it again."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, ["vm1", "vm2", "vm3"])
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    number = vms[0].members.view.number
    vms[1].members.promise("larisa", number, [lease.identity_of(vms[0].network.member)])
    await fakes.wait_until(
        lambda: all(vm.members.view.number == number + 1 and vm.members.roles_active for vm in vms), 8
    )
    assert len(vms[0].members.view.members) == 3
    await _stop(vms)


async def test_last_member_leaves_an_empty_view():
    """The last member drops its own adoption report when it stops, but must still find a quorum to leave."""
    platform = fakes.FakePlatform()
    vms = await _start(platform, ["vm1", "vm2"])
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in vms))
    await vms[0].stop()
    await fakes.wait_until(lambda: len(vms[1].members.view.members) == 1 and vms[1].members.roles_active)
    await asyncio.wait_for(vms[1].stop(), 2.0)
    assert fakes.stored_view(platform, "larisa").members == ()


async def test_last_member_leaves_although_its_witness_is_in_a_domain_that_it_witnesses():
    """Two domains with their witnesses in each other must still report the adoption of views to each other."""
    platform = fakes.FakePlatform()
    here = await _start(platform, ["vm1", "vm2"])
    there = await _start(platform, ["vm8", "vm9"], "naousa")
    await fakes.wait_until(lambda: all(vm.members.roles_active for vm in [*here, *there]))
    for vm, other in [(here[0], there[0]), (here[1], there[0]), (there[0], here[0]), (there[1], here[0])]:
        vm.directory.put(other.members.view)
    await fakes.wait_until(lambda: all(vm.members.view.witness is not None for vm in [*here, *there]), 6)
    await here[0].stop()
    await fakes.wait_until(lambda: here[1].members.view.member("vm1") is None)
    stopping = asyncio.ensure_future(here[1].stop())
    await fakes.wait_until(lambda: fakes.stored_view(platform, "larisa").members == (), 4.0)
    # It remains the witness of the other domain for a while, which has no other candidate here.
    assert not stopping.done()
    await stopping
    await _stop(there)
