"""Tests of the stand-in instances: logs, cuts, pauses and promotions, and promotion calls that are carried out late."""

import asyncio

import pytest

from tests import session_bed
from tests.standins import line_instance, object_store


@pytest.fixture
async def service():
    """Provide a service with three instances."""
    started = line_instance.Service("svc1", ["i-1", "i-2", "i-3"], promote_s=0.05)
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
async def connect():
    """Provide a function that connects to an instance, and close its connections."""
    callers = []

    async def open_caller(instance):
        callers.append(session_bed.Caller(*await asyncio.open_connection("127.0.0.1", instance.port)))
        await callers[-1].request(f"START {instance.service.name} -")
        return callers[-1]

    yield open_caller
    for caller in callers:
        caller.close()
        await asyncio.gather(caller.writer.wait_closed(), return_exceptions=True)


def lengths(service):
    """Return the number of commits in each log."""
    return {name: len(instance.log) for name, instance in service.instances.items()}


async def test_commit_without_a_replica_is_not_acknowledged(service, connect):
    """A commit waits while the primary is cut off from all replicas, and READY carries its position all the same."""
    writer, reader = [await connect(service.instances["i-1"]) for _ in range(2)]
    service.cut("i-1", "i-2")
    service.cut("i-1", "i-3")
    pending = asyncio.create_task(writer.query("WRITE a x"))
    await session_bed.wait_until(lambda: service.log)
    assert (await reader.query("READ a"))[-1] == "READY I 1.1"
    assert lengths(service) == {"i-1": 1, "i-2": 0, "i-3": 0}
    assert not pending.done() and not service.acknowledged
    service.cut_links.clear()
    assert (await pending)[0].startswith("DONE")
    assert len(service.acknowledged) == 1


async def test_answer_to_a_closed_connection_acknowledges_nothing(service, connect):
    """A commit whose caller has gone before the answer does not count as acknowledged."""
    writer = await connect(service.instances["i-1"])
    service.cut("i-1", "i-2")
    service.cut("i-1", "i-3")
    pending = asyncio.create_task(writer.query("WRITE a x"))
    await session_bed.wait_until(lambda: service.log)
    writer.close()
    await asyncio.sleep(0.05)
    service.cut_links.clear()
    await session_bed.wait_until(lambda: lengths(service)["i-2"] == 1)
    await asyncio.sleep(0.05)
    assert await pending == [] and not service.acknowledged


async def test_promotion_records_the_acknowledged_commits_that_it_loses(service, connect):
    """A promoted replica has what it had received; others are rolled back, and a replica that left had its own log."""
    writer = await connect(service.instances["i-1"])
    await writer.query("WRITE a x")
    service.cut("i-1", "i-2")
    await writer.query("WRITE a y")
    await service.leave("i-3")
    assert service.request_promotion("i-2")
    assert service.primary == "i-1"
    await session_bed.wait_until(lambda: service.primary == "i-2")
    assert lengths(service) == {"i-1": 1, "i-2": 1}
    assert [(item.promoted, item.commit.number) for item in service.lost] == [("i-2", 2)]
    old_primary = await connect(service.instances["i-1"])
    assert (await old_primary.query("STATUS"))[0].startswith("ERR BUSY")


async def test_replica_paused_for_a_higher_term_stays_paused(service, connect):
    """A promotion ends only the pauses for its own term or a lower one; RESUME and a restart end all."""
    paused, others = service.instances["i-3"], [service.instances["i-2"]]
    client = await connect(paused)
    assert (await client.query("PAUSE 1"))[0] == "ROW replica 1 1.0 0 0 0 1"
    assert (await client.query("PAUSE 3"))[0].split(" ")[4] == "3"
    others[0].pause(2)
    service.promote("i-2")
    assert (others[0].paused_term, paused.paused_term) == (0, 3)
    writer = await connect(service.instances["i-2"])
    await writer.query("WRITE a x")
    assert lengths(service) == {"i-1": 1, "i-2": 1, "i-3": 0}
    await paused.restart()
    service.replicate()
    assert lengths(service)["i-3"] == 1
    paused.pause(4)
    await writer.query("WRITE a y")
    assert lengths(service)["i-3"] == 1
    paused.resume()
    service.replicate()
    assert lengths(service)["i-3"] == 2


async def test_crashed_primary_comes_back_with_its_log(service, connect):
    """A primary that crashed leads again with its log, or follows the instance that was promoted meanwhile."""
    writer = await connect(service.instances["i-1"])
    service.cut("i-1", "i-2")
    await writer.query("WRITE a x")
    await service.instances["i-1"].stop()
    assert not service.promote("i-1")
    await service.instances["i-1"].start()
    assert service.primary == "i-1" and lengths(service) == {"i-1": 1, "i-2": 0, "i-3": 1}
    await service.instances["i-1"].stop()
    service.promote("i-2")
    service.cut_links.clear()
    await service.instances["i-1"].start()
    service.replicate()
    assert not service.instances["i-1"].is_primary and lengths(service)["i-1"] == 0


async def test_demoted_primary_receives_and_counts_as_a_replica(service, connect):
    """After DEMOTE nobody leads; the old primary lets its successor acknowledge commits."""
    client = await connect(service.instances["i-1"])
    assert (await client.query("DEMOTE 1"))[0].startswith("ROW primary")
    assert (await client.query("DEMOTE 2"))[0].startswith("ROW replica")
    assert service.primary == ""
    service.promote("i-2")
    service.cut("i-2", "i-3")
    writer = await connect(service.instances["i-2"])
    assert (await writer.query("WRITE a x"))[0].startswith("DONE")
    assert lengths(service) == {"i-1": 1, "i-2": 1, "i-3": 0}


async def test_new_replica_copies_the_log(service, connect):
    """A replica that joins has the commits of the primary, also those that are not acknowledged."""
    writer = await connect(service.instances["i-1"])
    service.cut("i-1", "i-2")
    service.cut("i-1", "i-3")
    pending = asyncio.create_task(writer.query("WRITE a x"))
    await session_bed.wait_until(lambda: service.log)
    await service.join("i-4")
    assert (await pending)[0].startswith("DONE")
    assert lengths(service) == {"i-1": 1, "i-2": 0, "i-3": 0, "i-4": 1}


def call_promotion(store, instance, fence):
    """Carry out a promotion call and return its status."""
    headers = {"duty-holder": "vm-1", "fence-token": str(fence)}
    status, _ = store._handle_duty_call("/promotion", f'{{"service": "svc1", "id": "{instance}"}}'.encode(), headers)
    return status


async def test_late_call_is_checked_when_it_is_carried_out(service):
    """A late call gets 409 for a lower token or an instance that is gone, and changes nothing for the primary."""
    store = object_store.ObjectStore()
    store.promote = lambda name, instance: service.request_promotion(instance)
    statuses = []
    for instance, fence in (("i-2", 1), ("i-1", 2), ("i-2", 2), ("i-9", 3), ("i-2", 3)):
        store._postpone_call(60.0, lambda call=(instance, fence): statuses.append(call_promotion(store, *call)))
    assert call_promotion(store, "i-1", 2) == 200
    assert store.carry_out_late_calls() == 5 and store.late_calls == 0
    assert statuses == [409, 200, 200, 409, 200]
    await session_bed.wait_until(lambda: service.primary == "i-2")
    assert service.term == 2
