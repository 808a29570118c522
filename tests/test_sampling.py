"""Tests of the exchange of position samples between VMs that share the connections to an instance."""

import asyncio

import pytest

from currantlead.sessions import clock, model, statements
from currantlead.sessions.instances import connection_limits, orders
from tests import session_bed


@pytest.fixture
async def pair(monkeypatch):
    """Provide a deployment with two VMs of one failure domain that share two connections to each instance."""
    monkeypatch.setattr(connection_limits, "MIN_HOLDERS", 1)
    async with session_bed.Bed(max_connections=2) as bed:
        bed.store.put("config", "main", session_bed.configuration(2, services=[{"name": "svc1", "maxConns": 2}]))
        second = await bed.add_daemon("vm-2", "z1")
        await asyncio.sleep(0.2)
        yield bed, bed.daemon, second


def age_s(vm):
    """Return the age of a VM's most recent sample, in seconds."""
    sample = vm.position_samples.latest("svc1")
    return float("inf") if sample is None else clock.now() - sample.asked_at


async def test_vms_without_traffic_have_recent_samples(pair):
    """Bounded-staleness reads use a sample on every VM, although only one VM has ever had traffic."""
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


async def test_sample_covers_what_was_acknowledged_before_its_request(pair):
    """A shared sample never covers a time at which a commit after its position had been acknowledged."""
    bed, first, second = pair
    writer = await bed.caller("primary-db", at=first)
    for number in range(40):
        ready_line = (await writer.query(f"WRITE a1 v{number}"))[1]
        acknowledged_at = clock.now()
        position = int(ready_line.rpartition(".")[2])
        await asyncio.sleep(0.03)
        for vm in (first, second):
            for sample in vm.position_samples._samples.get("svc1", ()):
                assert sample.asked_at < acknowledged_at or sample.position.number >= position


async def test_replaced_primary_yields_no_samples(pair):
    """After a promotion, no sample comes from the old primary."""
    bed, first, second = pair
    caller = await bed.caller("primary-db", at=first)
    await caller.query("WRITE a1 x")
    # The entries still name the former primary.
    bed.service.on_role_change = lambda: None
    bed.service.promote("i-2")
    promoted_at = clock.now()
    await asyncio.sleep(1.5)
    for vm in (first, second):
        assert all(
            sample.asked_at <= promoted_at or sample.position.term == 2
            for sample in vm.position_samples._samples.get("svc1", ())
        )


async def test_first_read_of_a_vm_fetches_a_sample_and_runs_at_a_replica(pair):
    """The first read fetches a sample; otherwise the reads of VMs that have just started would saturate the primary."""
    bed, first, second = pair
    primary = first.fleet.get("i-1").instance
    holder = second if first.connection_limits.holders(primary) == [second.settings.vm] else first
    other = first if holder is second else second
    caller = await bed.caller("primary-db", at=holder)
    await caller.query("WRITE a1 x")
    other.position_samples._samples.clear()
    reader = await bed.caller("own-db", at=other)
    bed.service.runs.clear()
    assert (await reader.query("READ a1"))[0] == "ROW x"
    assert [run.text for run in bed.service.runs] == ["READ a1"]
    assert age_s(other) < 1.5


async def test_holder_takes_samples_from_statements_of_other_vms(pair):
    """A holder learns positions from the statements that it runs for other VMs, without a transaction of its own."""
    bed, first, second = pair
    primary = first.fleet.get("i-1").instance
    holder = second if first.connection_limits.holders(primary) == [second.settings.vm] else first
    other = first if holder is second else second
    caller = await bed.caller("primary-db", at=other)
    await caller.query("WRITE a1 x")
    sample = holder.position_samples.latest("svc1")
    assert sample is not None and sample.position.number == 1


@pytest.mark.parametrize(
    ("order", "opened", "failed", "proves"),
    [
        ({"begin_mode": orders.BeginMode.PRIMARY_ONLY}, True, False, True),
        ({"begin_mode": orders.BeginMode.READ_ONLY}, True, False, False),
        ({"commits": True}, False, False, True),
        ({"needs_primary": True}, False, False, True),
        ({"needs_primary": True}, False, True, False),
        ({}, False, False, False),
    ],
)
def test_only_answers_that_prove_the_primary_role_are_samples(order, opened, failed, proves):
    """Only an answer that a replaced primary could not have given is a sample; a plain read is none."""
    result = statements.Failure(statements.Code.READ_ONLY) if failed else statements.Done("x")
    reply = statements.Reply((), result, statements.TransactionState.IDLE, model.Position(1, 2), 5.0)
    report = orders.Report(reply, reply if opened else None)
    assert (report.primary_proof(orders.Order("id", "READ a1", {}, 0.5, **order)) is not None) == proves


@pytest.mark.parametrize(
    "message",
    [
        {"positions": {"svc1": [9, 9, -30.0]}},
        {"positions": {"svc1": [9, 9, float("nan")]}},
        {"positions": {"svc1": [9, 9]}},
        {"positions": {"svc1": "9.9"}},
        {"positions": [9, 9, 0.1]},
        {"positions": {"svc1": [9, 9, 0.1]}, "behind": {"i-2": [1, None, 0.1]}},
        "no map",
    ],
)
async def test_malformed_samples_are_ignored(pair, message):
    """A sample from the future would cover commits that its position lacks; a malformed one must end no task."""
    _, first, _ = pair
    before = first.position_samples.latest("svc1")
    first.sampler.merge(message, clock.now())
    after = first.position_samples.latest("svc1")
    assert after is before or after.position.term != 9
