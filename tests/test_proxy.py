"""Tests of the path of one request: what the caller is told after each failure, and who was asked how often."""

import asyncio
import collections

import pytest
import result

from currantlead import interfaces, messages, verdict
from currantlead.control import model
from currantlead.routing import proxy
from tests import rates
from tests.standins import routes

Reason = verdict.Reason
NOT_RUN, MAY, DONE = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.COMPLETED
KEYED = {"write": True, "idempotency_key": "k"}
KINDS = {"read": {}, "write": {"write": True}, "keyed write": KEYED}

# Fault of each holder's first answer; then what a plain write is told, and whether it reached the holder once only.
ELSEWHERE = [
    routes.refusal(Reason.BEHIND, index=3),
    routes.refusal(Reason.STALE_TERM),
    routes.refusal(Reason.NOT_PRIMARY),
    routes.refusal(Reason.NO_PRIMARY),
    routes.refusal(Reason.NO_CONNECTION),
    routes.refusal(Reason.NOT_HOLDER),
    routes.refusal(Reason.LEAVING),
    routes.UNREACHABLE,
]
FINAL = [
    Reason.UNKNOWN_KEY,
    Reason.NOT_GRANTED,
    Reason.SQL_ERROR,
    Reason.KEY_REUSED,
    Reason.QUEUE_FULL,
    Reason.QUEUE_TIMEOUT,
    Reason.NO_MAJORITY,
    Reason.TIMEOUT,
    Reason.INTERNAL,
]
UNKNOWN = [
    (routes.LOST, Reason.TIMEOUT),
    (routes.refusal(Reason.TIMEOUT, ran=True), Reason.TIMEOUT),
    (routes.refusal(Reason.NO_MAJORITY, ran=True), Reason.NO_MAJORITY),
    ({}, Reason.TIMEOUT),
    ({"answer": {"rows": 1}}, Reason.TIMEOUT),
    ({"answer": None}, Reason.TIMEOUT),
    ({"refusal": {"reason": "no_such_reason", "verdict": "not_run"}}, Reason.TIMEOUT),
    ({"refusal": {"reason": "unreachable"}}, Reason.TIMEOUT),
    ({"refusal": {"reason": "unreachable", "verdict": "completed"}}, Reason.TIMEOUT),
]


def ask(kind, *steps, **options):
    """Send one request of a kind while each holder answers with the steps first."""

    async def scenario():
        world = routes.World(**options)
        for vm in ("vm-a", "vm-b", "vm-c"):
            world.script.steps[vm] = collections.deque(steps)
        return await world.ask(**KINDS[kind])

    return rates.run(scenario())


@pytest.mark.parametrize("fault", ELSEWHERE, ids=str)
def test_refused_before_execution_is_sent_again(fault):
    """Guards against a caller that sees a refusal of one target though another attempt can succeed."""
    assert ask("write", fault) == ("ok", DONE, 2)
    assert ask("keyed write", fault) == ("ok", DONE, 2)
    assert ask("read", fault) == ("ok", DONE, 4)


@pytest.mark.parametrize("reason", FINAL)
@pytest.mark.parametrize("kind", KINDS)
def test_final_refusal_is_not_sent_again(kind, reason):
    """Guards against attempts that cannot help, and against a verdict that changes on its way."""
    assert ask(kind, routes.refusal(reason)) == (reason, NOT_RUN, 1)


@pytest.mark.parametrize(("fault", "reason"), UNKNOWN, ids=str)
def test_write_that_may_have_run_is_never_sent_again(fault, reason):
    """Guards against a write that runs twice, and against "not run" after an unusable answer."""
    assert ask("write", fault) == (reason, MAY, 1)
    assert ask("keyed write", fault) == ("ok", DONE, 2)
    assert ask("read", fault) == ("ok", DONE, 4)


@pytest.mark.parametrize("later", [*ELSEWHERE, routes.refusal(Reason.SQL_ERROR)], ids=str)
def test_may_have_run_outlives_later_refusals(later):
    """Guards against "not run" from a later attempt while an earlier one may have taken effect."""
    *told, asked = ask("keyed write", routes.LOST, *[later] * 100)
    assert told == [Reason.TIMEOUT, MAY] and asked >= 2


@pytest.mark.parametrize("kind", KINDS)
def test_lasting_refusal_ends_in_time(kind):
    """Guards against a request that is tried without end: the wait for a primary is bounded."""

    async def scenario():
        world, loop = routes.World(), asyncio.get_running_loop()
        for vm in ("vm-a", "vm-b", "vm-c"):
            world.script.steps[vm] = collections.deque([routes.refusal(Reason.STALE_TERM)] * 1000)
        begun = loop.time()
        assert (await world.ask(**KINDS[kind]))[:2] == (Reason.STALE_TERM, NOT_RUN)
        assert loop.time() - begun == pytest.approx(proxy.PRIMARY_WAIT_S, abs=0.11)

    rates.run(scenario())


@pytest.mark.parametrize(
    ("change", "request_", "reason", "charged"),
    [
        (None, {"key_digest": "0" * 64}, Reason.UNKNOWN_KEY, 0),
        (None, {"key_digest": None}, Reason.UNKNOWN_KEY, 0),
        (lambda world: world.grant(keys={}), {}, Reason.UNKNOWN_KEY, 0),
        (lambda world: world.grant(services=()), {}, Reason.NOT_GRANTED, 0),
        (None, {"database": "other"}, Reason.UNKNOWN_DATABASE, 0),
        (lambda world: setattr(world.gate, "left", 0), {}, Reason.OVER_RATE, 1),
        (lambda world: world.directory.groups.clear(), {}, Reason.NO_PRIMARY, 1),
        (
            lambda world: world.directory.set_group(term=2, starts={1: 0, 2: 4}),
            {"session": {"ledger": messages.Position(1, 5)}},
            Reason.LOST_POSITION,
            1,
        ),
    ],
)
def test_refused_at_the_entry(change, request_, reason, charged):
    """Guards against work that reaches a holder though the entry VM must refuse it, and against a wrong charge."""

    async def scenario():
        world = routes.World()
        if change is not None:
            change(world)
        assert await world.ask(**request_) == (reason, NOT_RUN, 0)
        assert world.gate.asked == charged

    rates.run(scenario())


@pytest.mark.parametrize(("age", "reason"), [(4.9, "ok"), (5.1, Reason.CONFIGURATION_TOO_OLD)])
def test_old_configuration_refuses_keyed_requests_only(age, reason):
    """Guards against a withdrawn key that works at a VM that cannot learn of the withdrawal."""

    async def scenario():
        world = routes.World(max_configuration_age_s=5.0, configuration_age=lambda: age)
        add_route(world)
        assert (await world.ask())[0] == reason
        assert (await world.ask(action=interfaces.Action.OPEN, route="prices", key_digest=None, database=""))[0] == "ok"

    rates.run(scenario())


def test_write_waits_for_a_promotion():
    """Guards against writes that fail during a planned change, and against one that is sent while none is primary."""

    async def scenario():
        world = routes.World()
        world.directory.set_group(term=2, phase=model.Phase.ELECTING)
        assert await world.ask(write=True) == (Reason.NO_PRIMARY, NOT_RUN, 0)
        waiting = asyncio.ensure_future(world.ask(write=True))
        await asyncio.sleep(0.5)
        world.directory.set_group(phase=model.Phase.STABLE, primary="ledger-b")
        assert await waiting == ("ok", DONE, 1)
        assert (world.script.works[-1][0], world.script.works[-1][1].term) == ("vm-b", 2)

    rates.run(scenario())


def test_token_never_goes_back():
    """Guards against a stale read by a session whose concurrent answers arrive in the wrong order."""

    async def scenario():
        world, seen = routes.World(), {"ledger": messages.Position(1, 9), "other": messages.Position(3, 3)}
        for index, expected in ((4, 9), (9, 9), (12, 12)):
            world.script.position = messages.Position(1, index)
            reply = await world.proxy.handle(routes.statement(session=seen))
            assert reply.session == {"ledger": messages.Position(1, expected), "other": messages.Position(3, 3)}
        world.script.steps["vm-a"].append(routes.LOST)
        assert (await world.proxy.handle(routes.statement(session=seen, write=True))).session == seen

    rates.run(scenario())


def test_session_roams_and_other_databases_are_ignored():
    """Guards against a session's position that gets lost at another VM, or comes from another database's log."""

    async def scenario():
        first, second = routes.World(), routes.World()
        written = await first.proxy.handle(routes.statement(write=True))
        await second.proxy.handle(routes.statement(session=written.session))
        assert second.script.works[-1][1].statement.after == messages.Position(1, 5)
        await second.proxy.handle(routes.statement(session={"other": messages.Position(9, 99)}))
        assert second.script.works[-1][1].statement.after is None

    rates.run(scenario())


def add_route(world):
    """Configure an open route."""
    world.directory.set_configuration(routes={"prices": model.Route("prices", "ledger", "select 7", 5.0)})


def test_open_route_runs_the_stored_statement_only():
    """Guards against an open route that runs what the caller sent, or on behalf of an organisation."""

    async def scenario():
        world = routes.World()
        add_route(world)
        request = {"action": interfaces.Action.OPEN, "database": "", "write": True, "sql": "drop table t"}
        assert (await world.ask(**request, route="nothing"))[:2] == (Reason.UNKNOWN_DATABASE, NOT_RUN)
        assert (await world.ask(**request, route="prices"))[0] == "ok"
        work = world.script.works[-1][1]
        assert (work.statement.sql, work.statement.write, work.statement.max_age_s) == ("select 7", False, 5.0)
        assert work.caller == messages.Caller("", "") and world.gate.asked == 0

    rates.run(scenario())


def test_begin_is_not_sent_again_after_a_lost_answer():
    """Guards against transactions that stay open because nobody got their ids."""

    async def scenario():
        world = routes.World()
        opened = await world.proxy.handle(routes.statement(action=interfaces.Action.BEGIN))
        assert opened.outcome.ok_value.transaction == "ledger.vm-a.7.1.secret"
        world.script.steps["vm-a"].append(routes.LOST)
        assert await world.ask(action=interfaces.Action.BEGIN) == (Reason.TIMEOUT, MAY, 1)
        world.script.steps["vm-a"].append(result.Err(verdict.Refusal(Reason.STALE_TERM)))
        assert await world.ask(action=interfaces.Action.BEGIN) == ("ok", DONE, 2)

    rates.run(scenario())
