"""Tests of the proxy: the outcome that the caller gets after each fault, and how often holders were tried."""

import asyncio
import collections

import pytest
import result

from currantlead import interfaces, messages, verdict
from currantlead.control import model
from currantlead.routing import proxy
from tests import rates
from tests.standins import proxy_fakes

Reason = verdict.Reason
NOT_RUN, MAY_HAVE_RUN, DONE = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.COMPLETED
KEYED = {"write": True, "idempotency_key": "k"}
REQUEST_OPTIONS = {"read": {}, "write": {"write": True}, "keyed write": KEYED}

# Faults in the first response of each holder, grouped by how the proxy must react.
RETRYABLE = [
    proxy_fakes.refusal(Reason.BEHIND, index=3),
    proxy_fakes.refusal(Reason.STALE_TERM),
    proxy_fakes.refusal(Reason.NOT_PRIMARY),
    proxy_fakes.refusal(Reason.NO_PRIMARY),
    proxy_fakes.refusal(Reason.NO_CONNECTION),
    proxy_fakes.refusal(Reason.NOT_HOLDER),
    proxy_fakes.refusal(Reason.LEAVING),
    proxy_fakes.UNREACHABLE,
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
IN_DOUBT = [
    (proxy_fakes.LOST, Reason.TIMEOUT),
    (proxy_fakes.refusal(Reason.TIMEOUT, may_have_run=True), Reason.TIMEOUT),
    (proxy_fakes.refusal(Reason.NO_MAJORITY, may_have_run=True), Reason.NO_MAJORITY),
    ({}, Reason.TIMEOUT),
    ({"answer": {"rows": 1}}, Reason.TIMEOUT),
    ({"answer": None}, Reason.TIMEOUT),
    ({"refusal": {"reason": "no_such_reason", "verdict": "not_run"}}, Reason.TIMEOUT),
    ({"refusal": {"reason": "unreachable"}}, Reason.TIMEOUT),
    ({"refusal": {"reason": "unreachable", "verdict": "completed"}}, Reason.TIMEOUT),
]


def send_request(kind, *steps, **options):
    """Send one request of a kind; each holder responds with the steps first."""

    async def scenario():
        world = proxy_fakes.ProxyFixture(**options)
        for vm in ("vm-a", "vm-b", "vm-c"):
            world.holders.responses[vm] = collections.deque(steps)
        return await world.send_statement(**REQUEST_OPTIONS[kind])

    return rates.run(scenario())


@pytest.mark.parametrize("fault", RETRYABLE, ids=str)
def test_refusal_before_execution_is_retried(fault):
    """Guards against returning the refusal of one target although another attempt can succeed."""
    assert send_request("write", fault) == ("ok", DONE, 2)
    assert send_request("keyed write", fault) == ("ok", DONE, 2)
    assert send_request("read", fault) == ("ok", DONE, 4)


@pytest.mark.parametrize("reason", FINAL)
@pytest.mark.parametrize("kind", REQUEST_OPTIONS)
def test_final_refusal_is_not_retried(kind, reason):
    """Guards against useless retries, and against changing the verdict of a refusal."""
    assert send_request(kind, proxy_fakes.refusal(reason)) == (reason, NOT_RUN, 1)


@pytest.mark.parametrize(("fault", "reason"), IN_DOUBT, ids=str)
def test_write_that_may_have_run_is_never_retried(fault, reason):
    """Guards against a write that runs twice, and against reporting "not run" after an unusable response."""
    assert send_request("write", fault) == (reason, MAY_HAVE_RUN, 1)
    assert send_request("keyed write", fault) == ("ok", DONE, 2)
    assert send_request("read", fault) == ("ok", DONE, 4)


@pytest.mark.parametrize("later", [*RETRYABLE, proxy_fakes.refusal(Reason.SQL_ERROR)], ids=str)
def test_may_have_run_is_kept_after_later_refusals(later):
    """Guards against reporting "not run" from a later attempt although an earlier one may have taken effect."""
    *reason_and_verdict, attempts = send_request("keyed write", proxy_fakes.LOST, *[later] * 100)
    assert reason_and_verdict == [Reason.TIMEOUT, MAY_HAVE_RUN] and attempts >= 2


@pytest.mark.parametrize("kind", REQUEST_OPTIONS)
def test_retries_are_bounded(kind):
    """Guards against endless retries: the wait for a usable primary is limited."""

    async def scenario():
        world, loop = proxy_fakes.ProxyFixture(), asyncio.get_running_loop()
        for vm in ("vm-a", "vm-b", "vm-c"):
            world.holders.responses[vm] = collections.deque([proxy_fakes.refusal(Reason.STALE_TERM)] * 1000)
        started_at = loop.time()
        assert (await world.send_statement(**REQUEST_OPTIONS[kind]))[:2] == (Reason.STALE_TERM, NOT_RUN)
        assert loop.time() - started_at == pytest.approx(proxy.PRIMARY_TIMEOUT_S, abs=0.11)

    rates.run(scenario())


@pytest.mark.parametrize(
    ("change", "request_", "reason", "charged"),
    [
        (None, {"key_digest": "0" * 64}, Reason.UNKNOWN_KEY, 0),
        (None, {"key_digest": None}, Reason.UNKNOWN_KEY, 0),
        (lambda world: world.change_organisation(keys={}), {}, Reason.UNKNOWN_KEY, 0),
        (lambda world: world.change_organisation(services=()), {}, Reason.NOT_GRANTED, 0),
        (None, {"database": "other"}, Reason.UNKNOWN_DATABASE, 0),
        (lambda world: setattr(world.admission, "left", 0), {}, Reason.OVER_RATE, 1),
        (lambda world: world.directory.groups.clear(), {}, Reason.NO_PRIMARY, 1),
        (
            lambda world: world.directory.set_group(term=2, starts={1: 0, 2: 4}),
            {"session": {"ledger": messages.Position(1, 5)}},
            Reason.LOST_POSITION,
            1,
        ),
    ],
)
def test_refused_at_the_entry_vm(change, request_, reason, charged):
    """Guards against sending a holder what the entry VM must refuse, and against wrong rate accounting."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        if change is not None:
            change(world)
        assert await world.send_statement(**request_) == (reason, NOT_RUN, 0)
        assert world.admission.request_count == charged

    rates.run(scenario())


@pytest.mark.parametrize(("age", "reason"), [(4.9, "ok"), (5.1, Reason.CONFIGURATION_TOO_OLD)])
def test_old_configuration_refuses_keyed_requests_only(age, reason):
    """Guards against a withdrawn key that keeps working at a VM with an outdated configuration."""

    async def scenario():
        world = proxy_fakes.ProxyFixture(max_configuration_age_s=5.0, configuration_age=lambda: age)
        add_route(world)
        assert (await world.send_statement())[0] == reason
        assert (
            await world.send_statement(action=interfaces.Action.OPEN, route="prices", key_digest=None, database="")
        )[0] == "ok"

    rates.run(scenario())


def test_write_waits_for_a_promotion():
    """Guards against writes that fail during a planned primary change, and against sending one during the election."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        world.directory.set_group(term=2, phase=model.Phase.ELECTING)
        assert await world.send_statement(write=True) == (Reason.NO_PRIMARY, NOT_RUN, 0)
        waiting = asyncio.ensure_future(world.send_statement(write=True))
        await asyncio.sleep(0.5)
        world.directory.set_group(phase=model.Phase.STABLE, primary="ledger-b")
        assert await waiting == ("ok", DONE, 1)
        assert (world.holders.messages[-1][0], world.holders.messages[-1][1].term) == ("vm-b", 2)

    rates.run(scenario())


def test_session_position_never_decreases():
    """Guards against stale reads in a session whose concurrent responses arrive out of order."""

    async def scenario():
        world, session = (
            proxy_fakes.ProxyFixture(),
            {"ledger": messages.Position(1, 9), "other": messages.Position(3, 3)},
        )
        for index, expected in ((4, 9), (9, 9), (12, 12)):
            world.holders.position = messages.Position(1, index)
            reply = await world.proxy.handle(proxy_fakes.statement(session=session))
            assert reply.session == {"ledger": messages.Position(1, expected), "other": messages.Position(3, 3)}
        world.holders.responses["vm-a"].append(proxy_fakes.LOST)
        assert (await world.proxy.handle(proxy_fakes.statement(session=session, write=True))).session == session

    rates.run(scenario())


def test_session_works_at_another_vm_and_ignores_other_databases():
    """Guards against losing a session's position at another VM, or using that of another database's log."""

    async def scenario():
        first, second = proxy_fakes.ProxyFixture(), proxy_fakes.ProxyFixture()
        written = await first.proxy.handle(proxy_fakes.statement(write=True))
        await second.proxy.handle(proxy_fakes.statement(session=written.session))
        assert second.holders.messages[-1][1].statement.after == messages.Position(1, 5)
        await second.proxy.handle(proxy_fakes.statement(session={"other": messages.Position(9, 99)}))
        assert second.holders.messages[-1][1].statement.after is None

    rates.run(scenario())


def add_route(world):
    """Add an open route to the configuration."""
    world.directory.set_configuration(routes={"prices": model.Route("prices", "ledger", "select 7", 5.0)})


def test_open_route_runs_the_stored_statement_only():
    """Guards against an open route that runs the caller's SQL, or runs on behalf of an organisation."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        add_route(world)
        request = {"action": interfaces.Action.OPEN, "database": "", "write": True, "sql": "drop table t"}
        assert (await world.send_statement(**request, route="nothing"))[:2] == (Reason.UNKNOWN_DATABASE, NOT_RUN)
        assert (await world.send_statement(**request, route="prices"))[0] == "ok"
        work = world.holders.messages[-1][1]
        assert (work.statement.sql, work.statement.write, work.statement.max_age_s) == ("select 7", False, 5.0)
        assert work.caller == messages.Caller("", "") and world.admission.request_count == 0

    rates.run(scenario())


def test_begin_is_not_retried_after_a_lost_response():
    """Guards against transactions that stay open because no caller received their ids."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        opened = await world.proxy.handle(proxy_fakes.statement(action=interfaces.Action.BEGIN))
        assert opened.outcome.ok_value.transaction == "ledger.vm-a.7.1.secret"
        world.holders.responses["vm-a"].append(proxy_fakes.LOST)
        assert await world.send_statement(action=interfaces.Action.BEGIN) == (Reason.TIMEOUT, MAY_HAVE_RUN, 1)
        world.holders.responses["vm-a"].append(result.Err(verdict.Refusal(Reason.STALE_TERM)))
        assert await world.send_statement(action=interfaces.Action.BEGIN) == ("ok", DONE, 2)

    rates.run(scenario())
