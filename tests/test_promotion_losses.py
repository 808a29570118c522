"""Tests that promotions lose no acknowledged commit while instances leave, join or restart and orders act late.

They look only at the answers that callers get, at the acknowledged commits that a promoted log lacked, and at the time
until writes succeed again.
"""

import asyncio

import pytest

from currantlead.sessions.instances import replacements
from tests import promotion_bed, session_bed
from tests.standins import object_store


def cut_off_primary(bed, *replicas):
    """Cut the primary off from replicas."""
    for name in replicas:
        bed.service.cut(bed.service.primary, name)


@pytest.fixture
async def bed():
    """Provide a daemon and a service with four instances, whose promotions take effect after 0.3 s."""
    async with session_bed.Bed(instances=["i-1", "i-2", "i-3", "i-4"], promote_s=0.3) as started:
        yield started


async def test_commits_stuck_after_the_only_up_to_date_replica_left(bed):
    """Guards against promoting a replica that lacks commits whose only other copy left, though the primary lives."""
    async with promotion_bed.write(bed) as writer:
        # Stuck commits cause no promotion in the first 6 s after a primary is first seen.
        await asyncio.sleep(6.0)
        cut_off_primary(bed, "i-2", "i-3")
        bed.register_instance("i-4", state="draining")
        await writer.wait_for_acknowledged(5, 3.0)
        await bed.leave("i-4")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=3.0)
        bed.service.cut_links.clear()
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_drained_primary_replaced_by_a_replica_that_was_cut_off(bed):
    """Guards against promoting a replica behind a primary that drains, after the only replica with its commits left."""
    async with promotion_bed.write(bed) as writer:
        cut_off_primary(bed, "i-2", "i-3")
        bed.register_instance("i-4", state="draining")
        await writer.wait_for_acknowledged(5, 3.0)
        await bed.leave("i-4")
        bed.register_instance("i-1", state="draining")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=2.0)
        bed.service.cut_links.clear()
        await promotion_bed.wait_for_new_primary(bed, "i-1")
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_draining_replica_still_acknowledges_after_its_entry_was_removed(bed, monkeypatch):
    """Guards against taking a draining replica, whose entry the store removes for its silence, for one that has ended.

    The service is quiet, so that the VM of the last commit does not know the commits before it.
    """
    monkeypatch.setattr(replacements.Departures, "complete_since", lambda departures: None)
    other = await bed.add_daemon("vm-2", "z2")
    await session_bed.wait_until(lambda: bed.daemon.members.count == other.members.count == 2)
    quiet, busy = await bed.caller(at=other), await bed.caller()
    assert (await quiet.query("WRITE a x"))[0].startswith("DONE")
    for number in range(5):
        assert (await busy.query(f"WRITE b{number} x"))[0].startswith("DONE")
    bed.register_instance("i-4", state="draining")
    await session_bed.wait_until(lambda: other.fleet.get("i-4").instance.draining)
    bed.store.delete("servers", "i-4")
    cut_off_primary(bed, "i-2", "i-3")
    await asyncio.sleep(0.2)
    assert (await quiet.query("WRITE c x"))[0].startswith("DONE")
    bed.register_instance("i-1", state="draining")
    await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=4.0)
    assert not bed.service.lost, f"{bed.service.primary} was promoted without {bed.service.lost}"
    bed.service.cut_links.clear()
    await promotion_bed.wait_for_new_primary(bed, "i-1")
    assert not bed.service.lost


async def test_crashed_primary_replaced_after_the_only_up_to_date_replica_left(bed):
    """Guards against promoting a replica that lacks commits, while the crashed primary has them and comes back."""
    async with promotion_bed.write(bed) as writer:
        cut_off_primary(bed, "i-2", "i-3")
        bed.register_instance("i-4", state="draining")
        await writer.wait_for_acknowledged(5, 3.0)
        await bed.service.instances["i-1"].stop()
        await bed.leave("i-4")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=3.0)
        await bed.service.instances["i-1"].start()
        bed.service.on_role_change()
        bed.service.cut_links.clear()
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_replica_joins_a_primary_that_the_promoting_vm_cannot_reach():
    """Guards against commits that a replica which joined after the pause lets the old primary acknowledge."""
    async with promotion_bed.make_pair_with_cut_off_vm() as (bed, cut_off, proxy):
        request_promotion, joins = bed.store.promote, []

        def join_and_promote(service, instance_id):
            if not joins:
                joins.append(asyncio.create_task(bed.join("i-4")))
            return request_promotion(service, instance_id)

        bed.store.promote = join_and_promote
        async with promotion_bed.write(bed) as writer, promotion_bed.write(bed, cut_off):
            proxy.to_target.dropped = proxy.from_target.dropped = True
            await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=5.0)
            proxy.clear_faults()
            await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_replica_restarts_while_the_promoting_vm_cannot_reach_the_primary():
    """Guards against commits that a replica whose restart ended its pause lets the old primary acknowledge."""
    async with promotion_bed.make_pair_with_cut_off_vm() as (bed, cut_off, proxy):
        request_promotion, restarts = bed.store.promote, []

        def restart_and_promote(service, instance_id):
            if not restarts:
                (other,) = {"i-2", "i-3"} - {instance_id}
                restarts.append(asyncio.create_task(bed.service.instances[other].restart()))
            return request_promotion(service, instance_id)

        bed.store.promote = restart_and_promote
        async with promotion_bed.write(bed) as writer, promotion_bed.write(bed, cut_off):
            proxy.to_target.dropped = proxy.from_target.dropped = True
            await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=5.0)
            proxy.clear_faults()
            await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_replicas_stay_paused_after_two_orders_for_one_successor(bed):
    """Guards against replicas that stay paused for a higher term than the new primary's, and are promoted later."""
    await bed.add_daemon("vm-2", "z2")
    await promotion_bed.replace_twice_with_late_orders(bed)


async def test_late_copy_of_an_order_acts_while_its_instance_is_replaced(bed):
    """Guards against an old order that makes a demoted primary lead once more before its successor is promoted."""
    fences, demoted = [], []

    def find_fault(path, fields, fence):
        fences.append(fence)
        if len(fences) == 1:
            return object_store.Late(30.0)
        if demoted and fence > fences[0] and fences.count(fence) == 1:
            # The call for the successor is slow, and so is the replication to it, as between failure domains.
            if fields["id"] != demoted[0]:
                bed.service.cut(demoted[0], fields["id"])
            return object_store.Late(0.4)
        return None

    def act_when_demoted(instance, command, term):
        if command == "DEMOTE" and fences and instance.id != "i-1" and not demoted:
            demoted.append(instance.id)
            asyncio.get_running_loop().call_soon(bed.store.carry_out_late_calls)

    bed.store.duty_fault = find_fault
    bed.service.on_command = act_when_demoted
    async with promotion_bed.write(bed) as writer:
        bed.register_instance("i-1", state="draining")
        await promotion_bed.wait_for_new_primary(bed, "i-1", timeout_s=promotion_bed.REPLACED_WITHIN_S)
        await writer.wait_for_acknowledged(3, 5.0)
        bed.register_instance("i-1")
        first = bed.service.primary
        bed.register_instance(first, state="draining")
        await promotion_bed.wait_for_new_primary(bed, first, timeout_s=promotion_bed.REPLACED_WITHIN_S)
        bed.service.cut_links.clear()
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_orders_of_two_vms_for_different_successors_act_one_after_the_other(bed):
    """Guards against a second order whose instance lacks what the first order's instance has acknowledged since."""
    second = await bed.add_daemon("vm-2", "z2")
    await session_bed.wait_until(lambda: bed.daemon.members.count == second.members.count == 2)
    chosen = []

    def drain_chosen(instance_id):
        chosen.append(instance_id)
        bed.register_instance(instance_id, state="draining")

    # The second order takes effect a little later than the first one.
    promotion_bed.LateOrders(bed, next_delay_s=0.4, on_first_call=drain_chosen)
    async with promotion_bed.write(bed) as writer:
        bed.register_instance("i-1", state="draining")
        await session_bed.wait_until(lambda: chosen, 5.0)
        await promotion_bed.wait_for_new_primary(bed, "i-1", *chosen, timeout_s=promotion_bed.REPLACED_WITHIN_S)
        await promotion_bed.check_nothing_is_lost(bed, writer)


@pytest.mark.parametrize("cause", ["silent-replica", "refused-call"])
async def test_promotion_stopped_after_the_demotion_leaves_no_primary(bed, cause):
    """Guards against a service without a primary when a promotion stops late and the drain is taken back."""
    demoted = []

    async def disturb():
        if cause == "refused-call":
            refusals = [409, 409]
            bed.store.duty_fault = lambda path, fields, fence: refusals.pop() if refusals else None
        else:
            joined = await bed.join("i-5")
            joined.unresponsive = True
            await asyncio.sleep(1.0)
            joined.unresponsive = False
        bed.register_instance("i-1")

    def disturb_when_demoted(instance, command, term):
        if command == "DEMOTE" and not demoted:
            demoted.append(asyncio.create_task(disturb()))

    bed.service.on_command = disturb_when_demoted
    async with promotion_bed.write(bed) as writer:
        bed.register_instance("i-1", state="draining")
        await session_bed.wait_until(lambda: demoted, 5.0)
        await demoted[0]
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_replicas_that_an_attempt_left_paused_keep_the_primary_stuck(bed):
    """Guards against writes that fail for ever, as paused replicas lack commits and nobody resumes them."""
    async with promotion_bed.write(bed) as writer:
        # Stuck commits cause no promotion in the first 6 s after a primary is first seen.
        await asyncio.sleep(6.0)
        for name in ("i-2", "i-3"):
            bed.service.instances[name].paused_term = 2
        bed.register_instance("i-4", state="draining")
        await writer.wait_for_acknowledged(5, 3.0)
        await bed.leave("i-4")
        await promotion_bed.check_nothing_is_lost(bed, writer)
