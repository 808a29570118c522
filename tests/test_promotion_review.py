"""Tests of interleavings in which promotions still lose acknowledged commits, or leave a service without a primary."""

import asyncio
import contextlib

import pytest

from tests import promotion_bed, session_bed
from tests.standins import loopback_proxy, object_store, replicated_log


@pytest.fixture
async def bed():
    """Provide two daemons and a service with four instances, whose promotions take effect after 0.3 s."""
    async with session_bed.Bed(instances=["i-1", "i-2", "i-3", "i-4"], promote_s=0.3) as started:
        other = await started.add_daemon("vm-2", "z2")
        await session_bed.wait_until(lambda: started.daemon.members.count == other.members.count == 2)
        started.other = other
        yield started


async def lose_power_after_commits(bed):
    """Let only the primary and i-4 receive commits of callers at vm-2, and stop these three; return the items."""
    async with promotion_bed.write(bed, bed.other) as writer:
        bed.service.cut("i-1", "i-2")
        bed.service.cut("i-1", "i-3")
        await writer.wait_for_acknowledged(5, 3.0)
    await bed.stop_daemon(bed.other)
    await bed.service.instances["i-1"].stop()
    await bed.service.instances["i-4"].stop()
    return writer


@pytest.mark.parametrize("comes_back", [False, True])
async def test_only_up_to_date_replica_starts_again_without_its_log(bed, comes_back):
    """Guards against taking the empty log of a replica that started again under its id for the one that it had."""
    writer = await lose_power_after_commits(bed)
    replica = bed.service.instances["i-4"]
    if comes_back:
        replica.log = replicated_log.Log()
        await replica.start()
        bed.register_instance("i-4", born=2000)
    else:
        bed.register_instance("i-4", state="draining")
        await asyncio.sleep(0.3)
        bed.store.delete("servers", "i-4")
    caller = await bed.caller()
    for _ in range(8):
        await caller.query("WRITE probe x")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=1.0)
    assert bed.service.primary == "i-1", f"{bed.service.primary} was promoted, lost: {bed.service.lost}"
    assert not promotion_bed.find_missing(bed, writer)


@contextlib.asynccontextmanager
async def make_pair_across_regions(delay_s=0.025):
    """Provide a bed, and a second VM that reaches all instances through proxies; the one of i-1 has no delay yet."""
    async with session_bed.Bed(promote_s=0.5) as bed:
        proxies = {}
        for name, instance in bed.service.instances.items():
            proxies[name] = loopback_proxy.LoopbackProxy(instance.port)
            await proxies[name].start()
            if name != "i-1":
                proxies[name].to_target.delay_s = proxies[name].from_target.delay_s = delay_s
        replaced = {
            f"127.0.0.1:{instance.port}": f"127.0.0.1:{proxies[name].port}"
            for name, instance in bed.service.instances.items()
        }
        distant = await bed.add_daemon("vm-2", "z2", store_port=await bed.store.add_view(replaced))
        await session_bed.wait_until(lambda: bed.daemon.members.count == distant.members.count == 2)
        try:
            yield bed, distant, proxies["i-1"]
        finally:
            for proxy in proxies.values():
                proxy.stop()


async def test_commit_that_waits_for_a_replica_when_the_primary_cannot_be_demoted():
    """Guards against a commit, sent before the order, that a replica which joins lets an undemoted primary acknowledge.

    The VM that reaches the primary cannot demote it, because the primary accepts no more connections.
    """
    async with make_pair_across_regions() as (bed, distant, proxy):
        request_promotion, joins = bed.store.promote, []

        def join_and_promote(service, instance_id):
            if not joins:
                joins.append(asyncio.create_task(bed.join("i-4")))
            return request_promotion(service, instance_id)

        def fill_primary(kind, value):
            if kind == "duties":
                bed.service.max_connections = len(bed.service.instances["i-1"].connections)
            return value

        bed.store.promote = join_and_promote
        async with promotion_bed.write(bed) as writer, promotion_bed.write(bed, distant):
            await writer.wait_for_acknowledged(20, 3.0)
            bed.store.rewrite = fill_primary
            proxy.to_target.dropped = proxy.from_target.dropped = True
            await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=5.0)
            bed.store.rewrite = lambda kind, value: value
            proxy.clear_faults()
            bed.service.max_connections = 16
            await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_zone_without_power_for_longer_than_departures_are_remembered(bed):
    """Guards against forgetting, after a time, the replica of a dark failure domain that may have the only copy."""
    writer = await lose_power_after_commits(bed)
    bed.store.delete("servers", "i-1")
    bed.store.delete("servers", "i-4")
    caller = await bed.caller()
    for _ in range(32):
        await caller.query("WRITE probe x")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=1.0)
    assert bed.service.primary == "i-1", f"{bed.service.primary} was promoted, lost: {bed.service.lost}"
    assert not promotion_bed.find_missing(bed, writer)


async def test_vm_that_started_after_the_departure_promotes_without_reports(bed):
    """Guards against a VM that knows of no departure because it was not running, and does not wait for the reports."""
    async with promotion_bed.write(bed, bed.other) as writer:
        bed.service.cut("i-1", "i-2")
        bed.service.cut("i-1", "i-3")
        bed.register_instance("i-4", state="draining")
        await writer.wait_for_acknowledged(5, 3.0)
    # Both VMs are killed; the entry of the one that had the answers stays among the members for 20 s.
    await bed.stop_daemon(bed.daemon)
    await bed.stop_daemon(bed.other)
    await bed.leave("i-4")
    await asyncio.sleep(1.0)
    await bed.start_daemon()
    await bed.service.instances["i-1"].stop()
    caller = await bed.caller()
    for _ in range(8):
        await caller.query("WRITE probe x")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=1.0)
    assert bed.service.primary == "i-1", f"{bed.service.primary} was promoted, lost: {bed.service.lost}"
    assert not promotion_bed.find_missing(bed, writer)


async def test_ordered_replica_leaves_before_its_promotion(bed):
    """Guards against waiting for 20 s although the demoted primary can be reached and shows that nothing is missing.

    The VMs have been running for less than 10 s, so that their reports alone prove nothing.
    """
    request_promotion, leaves = bed.store.promote, []

    def leave_or_promote(service, instance_id):
        if leaves:
            return request_promotion(service, instance_id)
        leaves.append(asyncio.create_task(bed.leave(instance_id)))
        return False

    bed.store.promote = leave_or_promote
    async with promotion_bed.write(bed) as writer:
        bed.register_instance("i-1", state="draining")
        await session_bed.wait_until(lambda: leaves)
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_demoted_primary_is_the_only_one_with_all_commits(bed):
    """Guards against a service without a primary for good: a demoted primary that is ahead never leads again.

    The replica that was to be promoted leaves, and the others were cut off from the primary before.
    """
    request_promotion, leaves = bed.store.promote, []

    def leave_or_promote(service, instance_id):
        if leaves:
            return request_promotion(service, instance_id)
        leaves.append(asyncio.create_task(bed.leave(instance_id)))
        return False

    bed.store.promote = leave_or_promote
    async with promotion_bed.write(bed) as writer:
        bed.service.cut("i-1", "i-2")
        bed.service.cut("i-1", "i-3")
        await writer.wait_for_acknowledged(5, 3.0)
        bed.register_instance("i-1", state="draining")
        await session_bed.wait_until(lambda: leaves)
        bed.register_instance("i-1")
        bed.service.cut_links.clear()
        await asyncio.sleep(25.0)
        await promotion_bed.check_nothing_is_lost(bed, writer)


async def test_holder_that_is_down_does_not_report():
    """Guards against complete reports that lack the VM through which the commits passed, because it is down."""
    async with session_bed.Bed(instances=["i-1", "i-2", "i-3", "i-4"], promote_s=0.3) as bed:
        services = [{"name": session_bed.SERVICE, "maxConns": 4, "syncReplicas": 1}]
        bed.store.put("config", "main", session_bed.configuration(2, services=services))
        others = [await bed.add_daemon(f"vm-{number}", f"z{number}") for number in (2, 3)]
        await session_bed.wait_until(lambda: all(item.members.count == 3 for item in others))
        async with promotion_bed.write(bed, others[0]):
            pass
        # The reports reach back far enough.
        await asyncio.sleep(12.0)
        async with promotion_bed.write(bed) as writer:
            bed.service.cut("i-1", "i-2")
            bed.service.cut("i-1", "i-3")
            await writer.wait_for_acknowledged(5, 3.0)
        await bed.stop_daemon(bed.daemon)
        await bed.service.instances["i-1"].stop()
        await bed.leave("i-4")
        caller = await bed.caller(at=others[0])
        for _ in range(10):
            await caller.query("WRITE probe x")
            await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=1.0)
        assert bed.service.primary == "i-1", f"{bed.service.primary} was promoted, lost: {bed.service.lost}"
        assert not promotion_bed.find_missing(bed, writer)


async def test_replica_whose_entry_lapsed_still_receives(bed):
    """Guards against taking a replica that only its entry shows as gone for one that acknowledges nothing more."""
    async with promotion_bed.write(bed, bed.other) as writer, promotion_bed.write(bed) as own_writer:
        bed.store.delete("servers", "i-4")
        await asyncio.sleep(3.0)
        await own_writer.wait_for_acknowledged(5, 3.0)
        await own_writer.stop()
        bed.service.cut("i-1", "i-2")
        bed.service.cut("i-1", "i-3")
        await writer.wait_for_acknowledged(5, 3.0)
    await bed.stop_daemon(bed.other)
    await bed.service.instances["i-1"].stop()
    caller = await bed.caller()
    for _ in range(8):
        await caller.query("WRITE probe x")
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=1.0)
    assert bed.service.primary in ("i-1", "i-4"), f"{bed.service.primary} was promoted, lost: {bed.service.lost}"
    assert not promotion_bed.find_missing(bed, writer)


async def test_former_primary_is_not_paused_after_the_present_one_was_forgotten(bed):
    """Guards against leaving the present primary and a former one out of a promotion, as if the latter still led.

    The present primary is alive, but its entry has lapsed; a replica that answers nothing for 3 s delays the promotion.
    """
    bed.register_instance("i-1", state="draining")
    async with promotion_bed.write(bed, timeout_s=5.0):
        await promotion_bed.wait_for_new_primary(bed, "i-1")
    bed.register_instance("i-1")
    present = bed.service.primary
    frozen = next(name for name in ("i-2", "i-3", "i-4") if name != present)
    await asyncio.sleep(1.0)
    caller = await bed.caller()
    commits = []

    def commit_and_promote(service, instance_id):
        if not commits:
            commits.append(asyncio.create_task(caller.query("COMMIT")))
        return bed.service.request_promotion(instance_id)

    bed.store.promote = commit_and_promote
    bed.service.instances[frozen].unresponsive = True
    bed.store.delete("servers", present)
    await asyncio.sleep(1.5)
    assert (await caller.query("BEGIN"))[0].startswith("DONE")
    assert (await caller.query("WRITE held x"))[0].startswith("DONE")
    await asyncio.sleep(1.0)
    bed.service.instances[frozen].unresponsive = False
    await session_bed.wait_until(lambda: commits, 8.0)
    answer = await commits[0]
    await promotion_bed.await_wrong_promotion(bed, present, timeout_s=3.0)
    assert not bed.service.lost, f"{bed.service.primary} was promoted without the commit, answered {answer}"


async def test_ordered_replica_starts_again_without_its_log(bed):
    """Guards against a late call that promotes an empty replica, as its order is not closed when it starts again."""
    restarts = []

    async def restart_empty(name):
        replica = bed.service.instances[name]
        await replica.stop()
        # It receives nothing, because no instance leads.
        replica.log = replicated_log.Log()
        await replica.start()
        bed.register_instance(name, born=2000)

    def find_fault(path, fields, fence):
        if restarts:
            return None if fence > restarts[0][1] else object_store.Late(2.0)
        restarts.append((asyncio.create_task(restart_empty(fields["id"])), fence))
        return object_store.Late(2.0)

    bed.store.duty_fault = find_fault
    async with promotion_bed.write(bed) as writer:
        bed.register_instance("i-1", state="draining")
        await promotion_bed.wait_for_new_primary(bed, "i-1")
    lost = [f"{item.commit.term}.{item.commit.number}" for item in bed.service.lost]
    assert not lost and not promotion_bed.find_missing(bed, writer), f"{bed.service.primary} leads without {lost}"
