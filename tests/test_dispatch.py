"""Tests of dispatching to holders: which ones are tried, how often, and which verdict follows from their responses."""

import asyncio

import pytest
import result

from currantlead import messages, verdict
from tests import rates
from tests.standins import holder_calls, proxy_fakes

Reason = verdict.Reason
NOT_RUN, MAY_HAVE_RUN, DONE = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.COMPLETED
RETRIED_ELSEWHERE = [Reason.NOT_HOLDER, Reason.NO_CONNECTION, Reason.QUEUE_FULL, Reason.LEAVING, Reason.UNREACHABLE]
NOT_RETRIED = [
    Reason.STALE_TERM,
    Reason.BEHIND,
    Reason.SQL_ERROR,
    Reason.UNKNOWN_KEY,
    Reason.QUEUE_TIMEOUT,
    Reason.TIMEOUT,
]


def run(*steps, holders=("vm-a", "vm-b"), unreachable=(), work=None):
    """Execute one statement against holders that return ``steps`` in turn; return the outcome and the VMs tried."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        world.membership.holders_by_instance["ledger-a"] = holders
        world.membership.failed_vms.update(unreachable)
        remaining = list(steps)
        for vm in holders:
            world.holders.responses[vm].append(
                lambda work: remaining.pop(0) if remaining else world.holders._success(work)
            )
        outcome = await world.dispatcher.execute(work or holder_calls.execute_message(write=True), "north")
        return *proxy_fakes.reason_and_verdict(outcome), [vm for vm, _ in world.holders.messages]

    return rates.run(scenario())


@pytest.mark.parametrize(
    "fault", [*[proxy_fakes.refusal(reason) for reason in RETRIED_ELSEWHERE], proxy_fakes.UNREACHABLE], ids=str
)
def test_other_holder_serves_after_a_refusal(fault):
    """Guards against refusing a request that the instance's second holder could serve."""
    *reason_and_verdict, vms_tried = run(fault)
    assert reason_and_verdict == ["ok", DONE] and sorted(vms_tried) == ["vm-a", "vm-b"]
    *reason_and_verdict, vms_tried = run(fault, fault)
    assert reason_and_verdict[1] is NOT_RUN and sorted(vms_tried) == ["vm-a", "vm-b"]


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        *[(proxy_fakes.refusal(reason), NOT_RUN) for reason in NOT_RETRIED],
        *[(proxy_fakes.refusal(reason, may_have_run=True), MAY_HAVE_RUN) for reason in RETRIED_ELSEWHERE],
        (proxy_fakes.LOST, MAY_HAVE_RUN),
        ({}, MAY_HAVE_RUN),
        ({"refusal": {"reason": "unreachable"}}, MAY_HAVE_RUN),
    ],
    ids=str,
)
def test_no_other_holder_is_tried(fault, kind):
    """Guards against a statement that runs at a second holder after the first may have run it."""
    _, verdict_, vms_tried = run(fault)
    assert verdict_ is kind and len(vms_tried) == 1


@pytest.mark.parametrize(
    ("holders", "unreachable", "first"),
    [(("vm-a", "vm-1"), (), "vm-1"), (("vm-a", "vm-b"), ("vm-a",), "vm-b"), (("vm-a", "vm-1"), ("vm-1",), "vm-1")],
)
def test_order_of_holders(holders, unreachable, first):
    """Guards against forwarding although the local VM is a holder, and against trying an unreachable holder first."""
    assert run(holders=holders, unreachable=unreachable)[2] == [first]


def test_missing_holder_and_expired_timeout_are_not_run():
    """Guards against waiting or sending a frame when the request cannot succeed."""
    assert run(holders=()) == (Reason.UNREACHABLE, NOT_RUN, [])
    assert run(holders=("vm-a",), work=holder_calls.execute_message(timeout_s=0.0)) == (Reason.TIMEOUT, NOT_RUN, [])


def test_second_holder_gets_the_remaining_time():
    """Guards against a request that takes twice its timeout because each holder is given the full timeout."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        world.membership.holders_by_instance["ledger-a"] = ("vm-a", "vm-b")

        async def refuse_late(work):
            await asyncio.sleep(1.5)
            return proxy_fakes.refusal(Reason.NO_CONNECTION)

        for vm in ("vm-a", "vm-b"):
            world.holders.responses[vm].append(refuse_late)
        await world.dispatcher.execute(holder_calls.execute_message(timeout_s=2.0), "north")
        assert [work.timeout_s for _, work in world.holders.messages] == [2.0, pytest.approx(0.5)]

    rates.run(scenario())


def test_wait_for_group_wakes_on_a_change_and_ends_in_time():
    """Guards against writes that miss the end of a promotion, and against waiting beyond the request's timeout."""

    async def scenario():
        world, loop = proxy_fakes.ProxyFixture(), asyncio.get_running_loop()
        assert not await world.dispatcher.wait_for_group(0.0)
        started_at = loop.time()
        assert not await world.dispatcher.wait_for_group(0.05)
        assert await world.dispatcher.wait_for_group(5.0)
        assert loop.time() - started_at == pytest.approx(0.15)
        waiting = asyncio.ensure_future(world.dispatcher.wait_for_group(0.05))
        await asyncio.sleep(0.01)
        world.directory.set_group(term=2)
        assert await waiting and loop.time() - started_at < 0.17

    rates.run(scenario())


def test_response_to_another_request_is_reported_as_may_have_run():
    """Guards against returning the rows of one request to the caller of another."""
    other = result.Ok(messages.Answer("another", rows=((1,),)))
    *reason_and_verdict, vms_tried = run(other)
    assert reason_and_verdict == [Reason.TIMEOUT, MAY_HAVE_RUN] and len(vms_tried) == 1
