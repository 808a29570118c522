"""Tests of forwarding to holders: which are asked, how often, and what their answers prove."""

import asyncio

import pytest
import result

from currantlead import messages, verdict
from tests import rates
from tests.standins import calls, routes

Reason = verdict.Reason
NOT_RUN, MAY, DONE = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.COMPLETED
NEXT = [Reason.NOT_HOLDER, Reason.NO_CONNECTION, Reason.QUEUE_FULL, Reason.LEAVING, Reason.UNREACHABLE]
STOP = [Reason.STALE_TERM, Reason.BEHIND, Reason.SQL_ERROR, Reason.UNKNOWN_KEY, Reason.QUEUE_TIMEOUT, Reason.TIMEOUT]


def run(*steps, holders=("vm-a", "vm-b"), dead=(), work=None):
    """Execute one statement while the first holder answers ``steps``; return the outcome and the VMs asked."""

    async def scenario():
        world = routes.World()
        world.membership.table["ledger-a"] = holders
        world.membership.dead.update(dead)
        given = list(steps)
        for vm in holders:
            world.script.steps[vm].append(lambda work: given.pop(0) if given else world.script._complete(work))
        outcome = await world.dispatcher.execute(work or calls.work(write=True), "north")
        return *routes.told(outcome), [vm for vm, _ in world.script.works]

    return rates.run(scenario())


@pytest.mark.parametrize("fault", [*[routes.refusal(reason) for reason in NEXT], routes.UNREACHABLE], ids=str)
def test_other_holder_serves_after_a_refusal(fault):
    """Guards against a refusal to the caller while the second holder of the instance could serve."""
    *told, asked = run(fault)
    assert told == ["ok", DONE] and sorted(asked) == ["vm-a", "vm-b"]
    *told, asked = run(fault, fault)
    assert told[1] is NOT_RUN and sorted(asked) == ["vm-a", "vm-b"]


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        *[(routes.refusal(reason), NOT_RUN) for reason in STOP],
        *[(routes.refusal(reason, ran=True), MAY) for reason in NEXT],
        (routes.LOST, MAY),
        ({}, MAY),
        ({"refusal": {"reason": "unreachable"}}, MAY),
    ],
    ids=str,
)
def test_one_holder_only(fault, kind):
    """Guards against a second holder that runs what the first one may have run."""
    _, verdict_, asked = run(fault)
    assert verdict_ is kind and len(asked) == 1


@pytest.mark.parametrize(
    ("holders", "dead", "first"),
    [(("vm-a", "vm-1"), (), "vm-1"), (("vm-a", "vm-b"), ("vm-a",), "vm-b"), (("vm-a", "vm-1"), ("vm-1",), "vm-1")],
)
def test_order_of_holders(holders, dead, first):
    """Guards against a needless hop, and against a dead holder that is asked first."""
    assert run(holders=holders, dead=dead)[2] == [first]


def test_no_holder_and_no_time_are_not_run():
    """Guards against a wait or a frame that cannot lead to an answer."""
    assert run(holders=()) == (Reason.UNREACHABLE, NOT_RUN, [])
    assert run(holders=("vm-a",), work=calls.work(timeout_s=0.0)) == (Reason.TIMEOUT, NOT_RUN, [])


def test_second_holder_gets_the_time_that_is_left():
    """Guards against a request that lasts twice its timeout because each holder gets the whole of it."""

    async def scenario():
        world = routes.World()
        world.membership.table["ledger-a"] = ("vm-a", "vm-b")

        async def refuse_late(work):
            await asyncio.sleep(1.5)
            return routes.refusal(Reason.NO_CONNECTION)

        for vm in ("vm-a", "vm-b"):
            world.script.steps[vm].append(refuse_late)
        await world.dispatcher.execute(calls.work(timeout_s=2.0), "north")
        assert [work.timeout_s for _, work in world.script.works] == [2.0, pytest.approx(0.5)]

    rates.run(scenario())


def test_wait_for_group_wakes_on_a_change_and_ends_in_time():
    """Guards against writes that sleep through a promotion, and against a wait past the request's time."""

    async def scenario():
        world, loop = routes.World(), asyncio.get_running_loop()
        assert not await world.dispatcher.wait_for_group(0.0)
        begun = loop.time()
        assert not await world.dispatcher.wait_for_group(0.05)
        assert await world.dispatcher.wait_for_group(5.0)
        assert loop.time() - begun == pytest.approx(0.15)
        waiting = asyncio.ensure_future(world.dispatcher.wait_for_group(0.05))
        await asyncio.sleep(0.01)
        world.directory.set_group(term=2)
        assert await waiting and loop.time() - begun < 0.17

    rates.run(scenario())


def test_answer_to_another_request_may_have_run():
    """Guards against rows of one request that another caller gets."""
    other = result.Ok(messages.Answer("another", rows=((1,),)))
    *told, asked = run(other)
    assert told == [Reason.TIMEOUT, MAY] and len(asked) == 1
