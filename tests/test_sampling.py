"""Samples of the primaries' positions that VMs share, where their connections are shared too."""

import asyncio

import pytest

from currantlead.sessions import clock, model, orders, shares, statements
from tests import session_bed


@pytest.fixture
async def pair(monkeypatch):
    """Provide two VMs of one failure domain that share two connections to each instance."""
    monkeypatch.setattr(shares, "HOLDERS_LEAST", 1)
    async with session_bed.Bed(cap=2) as bed:
        bed.store.put("config", "main", session_bed.configuration(2, services=[{"name": "svc1", "maxConns": 2}]))
        second = await bed.add_daemon("vm-2", "z1")
        await asyncio.sleep(0.2)
        yield bed, bed.daemon, second


def age_s(vm):
    """Return the age of a VM's newest sample."""
    sample = vm.samples.newest("svc1")
    return float("inf") if sample is None else clock.now() - sample.asked_at


async def test_vms_without_traffic_have_young_samples(pair):
    """Reads with an allowed age run at replicas on every VM, although only one VM had traffic once."""
    bed, first, second = pair
    caller = await bed.caller("primary-db", at=first)
    await caller.query("WRITE a1 x")
    await asyncio.sleep(2.2)
    assert age_s(first) < 1.5 and age_s(second) < 1.5
    for vm in (first, second):
        reader = await bed.caller("bounded-db", at=vm)
        bed.service.runs.clear()
        await reader.query("READ a1")
        assert [run.text for run in bed.service.runs] == ["READ a1"]
        assert bed.service.runs[0].instance in ("i-1", "i-2", "i-3")


async def test_sample_covers_what_was_acknowledged_before_it_was_asked_for(pair):
    """A shared sample never claims a time at which a later commit had been acknowledged already."""
    bed, first, second = pair
    writer = await bed.caller("primary-db", at=first)
    for number in range(40):
        acknowledged = (await writer.query(f"WRITE a1 v{number}"))[1]
        at = clock.now()
        position = int(acknowledged.rpartition(".")[2])
        await asyncio.sleep(0.03)
        for vm in (first, second):
            for sample in vm.samples._samples.get("svc1", ()):
                assert sample.asked_at < at or sample.position.number >= position


async def test_no_sample_comes_from_a_replaced_primary(pair):
    """Only an instance that leads gives samples."""
    bed, first, second = pair
    caller = await bed.caller("primary-db", at=first)
    await caller.query("WRITE a1 x")
    bed.service.promote("i-2")
    promoted_at = clock.now()
    await asyncio.sleep(1.5)
    for vm in (first, second):
        assert all(
            sample.asked_at <= promoted_at or sample.position.term == 2
            for sample in vm.samples._samples.get("svc1", ())
        )


async def test_first_read_of_a_vm_asks_for_a_sample_and_goes_to_a_replica(pair):
    """The reads of VMs that have just started must not all fall on the primary."""
    bed, first, second = pair
    known = first.fleet.get("i-1").instance
    holder = second if first.shares.holders(known) == [second.settings.vm] else first
    other = first if holder is second else second
    caller = await bed.caller("primary-db", at=holder)
    await caller.query("WRITE a1 x")
    other.samples._samples.clear()
    reader = await bed.caller("own-db", at=other)
    bed.service.runs.clear()
    assert (await reader.query("READ a1"))[0] == "ROW x"
    assert [run.text for run in bed.service.runs] == ["READ a1"]
    assert age_s(other) < 1.5


async def test_holder_learns_positions_from_orders_of_other_vms(pair):
    """Samples that others ask a holder for need no statement of its own while there is traffic."""
    bed, first, second = pair
    known = first.fleet.get("i-1").instance
    holder = second if first.shares.holders(known) == [second.settings.vm] else first
    other = first if holder is second else second
    caller = await bed.caller("primary-db", at=other)
    await caller.query("WRITE a1 x")
    sample = holder.samples.newest("svc1")
    assert sample is not None and sample.position.number == 1


@pytest.mark.parametrize(
    ("order", "opened", "failed", "proves"),
    [
        ({"opening": orders.Opening.LEADS}, True, False, True),
        ({"opening": orders.Opening.READS}, True, False, False),
        ({"commits": True}, False, False, True),
        ({"leads": True}, False, False, True),
        ({"leads": True}, False, True, False),
        ({}, False, False, False),
    ],
)
def test_only_answers_that_prove_the_lead_are_samples(order, opened, failed, proves):
    """A plain read is answered by a replaced primary, too; its position covers nothing."""
    result = statements.Failure(statements.Code.READ_ONLY) if failed else statements.Done("x")
    reply = statements.Reply((), result, statements.TransactionState.IDLE, model.Position(1, 2), 5.0)
    report = orders.Report(reply, reply if opened else None)
    assert (report.sample(orders.Order("id", "READ a1", {}, 0.5, **order)) is not None) == proves
