"""Tests of promotions: the duty in the store, the pause of all replicas, and unanswered or refused promotion calls."""

import asyncio

import pytest

from currantlead.platform import objects
from currantlead.sessions import clock, model, settings
from currantlead.sessions.failover import instance_commands
from currantlead.sessions.instances import link
from tests import session_bed
from tests.standins import line_instance


@pytest.fixture(params=[False, True], ids=["", "early-refusal"])
async def bed(request):
    """Provide a daemon and one service with three instances."""
    async with session_bed.Bed(load_management=settings.LoadManagement(early_refusal=request.param)) as started:
        yield started


async def wait_until(condition, timeout_s=8.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_draining_primary_is_replaced_without_losing_a_commit(bed):
    """A draining primary is replaced by a replica that has every acknowledged commit."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.register_instance("i-1", state="draining")
    await wait_until(lambda: bed.service.primary not in ("i-1", ""))
    assert (await caller.query("READ a1"))[0] == "ROW x"
    assert (await caller.query("WRITE a2 y"))[0].startswith(f"DONE {bed.service.primary}")
    assert len(bed.store.promotions) == 1
    await wait_until(lambda: 'promotions_total{result="promoted"} 1' in bed.daemon.metrics.render())


async def test_silent_primary_is_replaced(bed):
    """A primary that answers nothing is replaced, and writes succeed at the new primary."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].unresponsive = True
    answers = []

    async def write():
        while not (answers and answers[-1][0].startswith("DONE")):
            answers.append(await caller.query("WRITE a2 y"))
            await asyncio.sleep(0.1)

    await asyncio.wait_for(write(), 10)
    assert bed.service.primary in ("i-2", "i-3")
    refused = {answer[0].split(" ")[1] for answer in answers[:-1]}
    assert refused <= {"BUSY", "INDOUBT", "READONLY"}


async def test_no_promotion_while_a_replica_is_unreachable(bed):
    """No replica is promoted while one does not answer, as it may hold the only copy of an acknowledged commit."""
    bed.service.instances["i-3"].unresponsive = True
    bed.register_instance("i-1", state="draining")
    await asyncio.sleep(2.0)
    assert bed.store.promotions == []
    assert bed.service.instances["i-2"].paused_term == 0
    bed.service.instances["i-3"].unresponsive = False
    await wait_until(lambda: bed.service.primary not in ("i-1", ""))


async def test_replica_with_the_newest_commit_is_promoted(bed):
    """A replica that lacks commits is not promoted."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    replica = bed.service.instances["i-2"]
    replica.paused_term = 9
    replica.log.commits.clear()
    bed.register_instance("i-1", state="draining")
    await wait_until(lambda: bed.service.primary not in ("i-1", ""))
    assert bed.service.primary == "i-3"
    assert (await caller.query("READ a1"))[0] == "ROW x"


@pytest.mark.parametrize("fault", ["lost", "reset", 429, 503])
async def test_unanswered_call_is_repeated_with_the_same_generation(bed, fault):
    """A call without an answer may take effect later, so it is repeated unchanged and no other replica is promoted."""
    remaining_faults, numbers = [3], []
    claims = bed.daemon.duty_claims

    def fail(method, path):
        if path == "/promotion":
            numbers.append(claims.latest("svc1").generation)
            if remaining_faults[0]:
                remaining_faults[0] -= 1
                return fault
        return None

    bed.store.fault = fail
    bed.register_instance("i-1", state="draining")
    await wait_until(lambda: remaining_faults[0] == 0 and bed.store.promotions)
    await wait_until(lambda: claims.latest("svc1").stage is model.DutyStage.ENDED)
    assert numbers[:4] == [bed.store.promotions[0][3]] * 4
    assert len({instance for _, instance, _, _ in bed.store.promotions}) == 1


async def test_higher_generation_stops_the_promotion(bed):
    """A promotion call refused for its generation number is not repeated with that number."""
    bed.store.fences["svc1"] = (objects.combine_revision(bed.store.era + 1, 0), "vm-9")
    bed.register_instance("i-1", state="draining")
    await asyncio.sleep(1.5)
    assert bed.store.promotions == []
    promotion_calls = [path for _, path in bed.store.calls if path == "/promotion"]
    duty_writes = [method for method, path in bed.store.calls if "/duties" in path and method in ("POST", "PUT")]
    assert 1 <= len(promotion_calls) <= len(duty_writes)


async def test_duty_claimed_by_another_vm_stops_the_promotion(bed):
    """Of two VMs that act at once, the one whose conditional update of the duty fails stops its promotion."""
    bed.store.put("duties", "svc1", {"holder": "vm-9"})
    bed.store.fault = lambda method, path: 409 if method == "PUT" and "/duties/" in path else None
    bed.register_instance("i-1", state="draining")
    await asyncio.sleep(1.0)
    assert bed.store.promotions == []
    assert all(instance.paused_term == 0 for instance in bed.service.instances.values())


async def test_no_second_promotion_soon_after_another_vm_claimed_the_duty(bed):
    """A VM waits after another one has claimed the duty.

    A promotion takes effect some time after its call; a second promotion in between rolled back acknowledged commits.
    """
    bed.store.put("duties", "svc1", {"holder": "vm-9", "previous": 0})
    bed.register_instance("i-1", state="draining")
    await asyncio.sleep(2.0)
    assert bed.store.promotions == []
    assert all(instance.paused_term == 0 for instance in bed.service.instances.values())
    await wait_until(lambda: bed.service.primary not in ("i-1", ""))


async def test_holder_of_the_duty_may_promote_again(bed):
    """A VM that holds the duty already need not wait before its next promotion."""
    bed.register_instance("i-1", state="draining")
    await wait_until(lambda: bed.service.primary not in ("i-1", ""))
    first_successor = bed.service.primary
    bed.register_instance("i-1", state="ready")
    await asyncio.sleep(0.7)
    bed.register_instance(first_successor, state="draining")
    await wait_until(lambda: bed.service.primary not in (first_successor, ""), 2.5)
    assert bed.store.promotions[0][3] < bed.store.promotions[1][3]


async def test_old_primary_is_demoted_before_the_promotion_call(bed):
    """The old primary is demoted before the promotion call.

    Otherwise a replica that joins while the promotion is pending lets it acknowledge commits that the chosen one lacks.
    """
    primaries_at_call = []
    promote = bed.store.promote

    def promote_and_note(service, instance_id):
        primaries_at_call.append(bed.service.primary)
        return promote(service, instance_id)

    bed.store.promote = promote_and_note
    bed.register_instance("i-1", state="draining")
    await wait_until(lambda: bed.store.promotions)
    assert primaries_at_call == [""]


async def test_replica_that_joins_during_the_promotion_is_paused_too(bed):
    """Every replica that may have acknowledged a commit is paused before one is chosen."""
    bed.service.instances["i-4"] = new_replica = line_instance.Instance(bed.service, "i-4")
    await new_replica.start()
    paused_terms = []
    promote = bed.store.promote

    def promote_and_note(service, instance_id):
        paused_terms.append(new_replica.paused_term)
        return promote(service, instance_id)

    def join(method, path):
        if path.endswith("/duties/svc1") and "i-4" not in bed.store.objects["servers"]:
            asyncio.get_running_loop().call_later(0.05, bed.register_instance, "i-4")

    bed.store.promote, bed.store.fault = promote_and_note, join
    bed.register_instance("i-1", state="draining")
    await wait_until(lambda: bed.store.promotions)
    assert paused_terms[0] > 0


async def test_writes_wait_for_the_successor_of_a_silent_primary(bed):
    """Load pattern: a primary goes dark while callers write, each with three attempts after the stated delays.

    Sent to the dark primary, the writes were in doubt; refused after a tenth of a second, all attempts failed before
    the promotion. Each must run once at the new primary.
    """
    callers = [await bed.caller() for _ in range(6)]
    for number, caller in enumerate(callers):
        await caller.query(f"WRITE a{number} x")
    bed.service.instances["i-1"].unresponsive = True
    bed.daemon.fleet.mark_suspect("i-1", "seen by the test")
    answers = {}

    async def write(number, caller):
        for _ in range(3):
            answers.setdefault(number, []).append((await caller.query(f"WRITE b{number} y"))[0])
            if answers[number][-1].startswith("DONE"):
                return
            await asyncio.sleep(int(answers[number][-1].rpartition("retry-after-ms=")[2]) / 1000)

    await asyncio.gather(*(write(number, caller) for number, caller in enumerate(callers)))
    assert bed.service.primary in ("i-2", "i-3")
    assert [answer[-1].split(".")[0] for answer in answers.values()] == [f"DONE {bed.service.primary}"] * 6
    assert all("INDOUBT" not in answer for attempts in answers.values() for answer in attempts)
    written = [item for commit in bed.service.log for _, item, _ in commit.writes if item.startswith("b")]
    assert sorted(written) == [f"b{number}" for number in range(6)]


async def test_unreachable_primary_is_not_connected_twice(bed, monkeypatch):
    """The check that the primary is dead has waited for a connection already; the promotion doesn't wait again."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].unresponsive = True
    connected = []
    connect = link.Link.connect

    async def record(instance, organisation):
        connected.append((instance.id, organisation))
        return await connect(instance, organisation)

    monkeypatch.setattr(link.Link, "connect", record)
    bed.daemon.fleet.mark_suspect("i-1", "seen by the test")
    await wait_until(lambda: bed.service.primary != "i-1")
    assert connected.count(("i-1", instance_commands.ORGANISATION)) == 1


async def test_primary_that_others_reach_is_not_waited_for(bed):
    """A single failed connection must not hold back the work of a primary that answers other VMs."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.daemon.fleet.mark_suspect("i-1", "seen by the test")
    bed.daemon.position_samples.record("svc1", clock.now(), model.Position(1, 1))
    started = clock.now()
    assert (await caller.query("WRITE a2 y"))[0].startswith("DONE i-1")
    assert clock.now() - started < 0.1


async def test_wrong_suspicion_of_a_primary_ends_with_a_sample(bed):
    """A VM without answers of its own asks the suspect primary, and holds work back no longer than that takes."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.daemon.fleet.mark_suspect("i-1", "seen by the test")
    assert (await caller.query("WRITE a2 y"))[0].startswith("DONE i-1")


async def test_lost_answer_of_a_live_primary_raises_no_suspicion(bed):
    """With answers lost now and then, each time-out made a VM hold all work for a primary that answers others."""
    first, second = await bed.caller(), await bed.caller()
    await first.query("WRITE a1 x")
    await second.query("WRITE a2 y")
    bed.service.instances["i-1"].swallow_answers = 1
    lost = asyncio.create_task(first.query("WRITE a3 z"))
    await asyncio.sleep(0.05)
    while not lost.done():
        assert (await second.query("WRITE a4 z"))[0].startswith("DONE i-1")
        await asyncio.sleep(0.05)
    assert (await lost)[0].startswith("ERR INDOUBT")
    assert not bed.daemon.fleet.is_suspect(bed.daemon.fleet.get("i-1"))
