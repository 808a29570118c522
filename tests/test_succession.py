"""Promotion of replicas: the duty in the store, the pause of all replicas, the order, and unanswered calls."""

import asyncio

import pytest

from tests import session_bed
from tests.standins import line_instance


@pytest.fixture
async def bed():
    """Provide a daemon with one service of three instances."""
    async with session_bed.Bed() as started:
        yield started


async def until(condition, timeout_s=8.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_leaving_primary_is_replaced_without_a_lost_commit(bed):
    """A draining primary hands over to the replica that has every acknowledged commit."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.register("i-1", state="draining")
    await until(lambda: bed.service.primary not in ("i-1", ""))
    assert (await caller.query("READ a1"))[0] == "ROW x"
    assert (await caller.query("WRITE a2 y"))[0].startswith(f"DONE {bed.service.primary}")
    assert len(bed.store.promotions) == 1


async def test_silent_primary_is_replaced(bed):
    """A primary that answers nothing is replaced, and writes go on at its successor."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].dark = True
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
    """The replica that does not answer may hold the only copy of an acknowledged commit."""
    bed.service.instances["i-3"].dark = True
    bed.register("i-1", state="draining")
    await asyncio.sleep(2.0)
    assert bed.store.promotions == []
    assert bed.service.instances["i-2"].held_term == 0
    bed.service.instances["i-3"].dark = False
    await until(lambda: bed.service.primary not in ("i-1", ""))


async def test_replica_with_the_newest_commit_wins(bed):
    """A replica that missed commits must not lead."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    held = bed.service.instances["i-2"]
    held.held_term, held.held_at = 9, 0
    bed.register("i-1", state="draining")
    await until(lambda: bed.service.primary not in ("i-1", ""))
    assert bed.service.primary == "i-3"
    assert (await caller.query("READ a1"))[0] == "ROW x"


@pytest.mark.parametrize("fault", ["lost", "reset", 429, 503])
async def test_unanswered_order_is_repeated_with_the_same_number(bed, fault):
    """An order without an answer may take effect later, so it is repeated and never replaced by another choice."""
    left = [3]

    def fail(method, path):
        if path == "/promotion" and left[0]:
            left[0] -= 1
            return fault
        return None

    bed.store.fault = fail
    bed.register("i-1", state="draining")
    await until(lambda: left[0] == 0 and bed.store.promotions)
    assert len({(instance, fence) for _, instance, _, fence in bed.store.promotions}) == 1


async def test_higher_number_stops_the_order(bed):
    """A refused generation number is not used again."""
    bed.store.fences["svc1"] = (10**9, "vm-9")
    bed.register("i-1", state="draining")
    await asyncio.sleep(1.5)
    assert bed.store.promotions == []
    orders = [path for _, path in bed.store.calls if path == "/promotion"]
    duties = [method for method, path in bed.store.calls if "/duties" in path and method in ("POST", "PUT")]
    assert 1 <= len(orders) <= len(duties)


async def test_duty_taken_by_another_vm_stops_the_promotion(bed):
    """Two VMs that act at once are told apart by the conditional update."""
    bed.store.put("duties", "svc1", {"holder": "vm-9"})
    bed.store.fault = lambda method, path: 409 if method == "PUT" and "/duties/" in path else None
    bed.register("i-1", state="draining")
    await asyncio.sleep(1.0)
    assert bed.store.promotions == []
    assert all(instance.held_term == 0 for instance in bed.service.instances.values())


async def test_no_second_order_while_another_vm_has_its_turn(bed):
    """A promotion takes effect after its order; a second one then rolls back commits (LOST on cantabrico scale-2)."""
    bed.store.put("duties", "svc1", {"holder": "vm-9", "previous": 0})
    bed.register("i-1", state="draining")
    await asyncio.sleep(2.0)
    assert bed.store.promotions == []
    assert all(instance.held_term == 0 for instance in bed.service.instances.values())
    await until(lambda: bed.service.primary not in ("i-1", ""))


async def test_vm_that_has_the_duty_may_act_again(bed):
    """The holder's own entry starts no turn of another VM."""
    bed.register("i-1", state="draining")
    await until(lambda: bed.service.primary not in ("i-1", ""))
    first = bed.service.primary
    bed.register("i-1", state="ready")
    await asyncio.sleep(0.7)
    bed.register(first, state="draining")
    await until(lambda: bed.service.primary not in (first, ""), 2.5)
    assert bed.store.promotions[0][3] < bed.store.promotions[1][3]


async def test_old_primary_is_demoted_before_the_order(bed):
    """A replica that joins while an order is pending would acknowledge commits that the chosen one lacks."""
    leaders = []
    promote = bed.store.promote

    def order(service, instance_id):
        leaders.append(bed.service.primary)
        return promote(service, instance_id)

    bed.store.promote = order
    bed.register("i-1", state="draining")
    await until(lambda: bed.store.promotions)
    assert leaders == [""]


async def test_replica_that_joins_during_the_promotion_is_paused_too(bed):
    """Every instance that may have acknowledged a commit has stopped before the choice."""
    bed.service.instances["i-4"] = joined = line_instance.Instance(bed.service, "i-4")
    await joined.start()
    held = []
    promote = bed.store.promote

    def order(service, instance_id):
        held.append(joined.held_term)
        return promote(service, instance_id)

    def join(method, path):
        if path.endswith("/duties/svc1") and "i-4" not in bed.store.objects["servers"]:
            asyncio.get_running_loop().call_later(0.05, bed.register, "i-4")

    bed.store.promote, bed.store.fault = order, join
    bed.register("i-1", state="draining")
    await until(lambda: bed.store.promotions)
    assert held[0] > 0
