"""Tests of requests on open transactions: invalid ids, faults and session tokens."""

import pytest

from currantlead import interfaces, messages, session_tokens, verdict
from currantlead.control import model
from tests import rates
from tests.standins import proxy_fakes

Action, Reason = interfaces.Action, verdict.Reason
NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
VALID_ID = "ledger.vm-a.7.1.secret"
ACTIONS = [Action.TRANSACT, Action.COMMIT, Action.ROLLBACK]
INVALID_IDS = [
    "",
    ".",
    "ledger",
    "ledger.",
    "ledger..7.1.secret",
    "ledger.vm-a",
    "ledger.vm-a.7.1.",
    "ledger.vm-a.x.1.secret",
    ".vm-a.7.1.secret",
    "nothing.vm-a.7.1.secret",
    "led:ger~x.vm-a.7.1.secret",
    "LEDGER.vm-a.7.1.secret",
    "v1:ledger.vm-a.7.1.secret",
    "../ledger.vm-a.7.1.secret",
    "ledger\r\n.vm-a.7.1.secret",
    "ledger,other.vm-a.7.1.secret",
]


def send(action, transaction=VALID_ID, *steps, prepare=lambda world: None):
    """Send one request; return the reason, the verdict, the number of holder calls and the session of the reply."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        prepare(world)
        world.holders.responses["vm-a"].extend(steps)
        reply = await world.proxy.handle(proxy_fakes.on_transaction(action, transaction, session={}))
        return *proxy_fakes.reason_and_verdict(reply.outcome), world.holders.request_counts.total(), dict(reply.session)

    return rates.run(scenario())


@pytest.mark.parametrize("action", ACTIONS)
@pytest.mark.parametrize("text", INVALID_IDS)
def test_invalid_id_is_unknown(text, action):
    """Guards against forwarding an invalid id to a holder, and against a session token that no VM can parse."""
    reason, kind, holder_calls, session = send(action, text)
    assert (reason, kind, holder_calls) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN, 0)
    assert session_tokens.parse(session_tokens.render(session)) == {}


@pytest.mark.parametrize("action", ACTIONS)
@pytest.mark.parametrize(
    ("fault", "reason", "kind"),
    [
        (proxy_fakes.UNREACHABLE, Reason.UNKNOWN_TRANSACTION, NOT_RUN),
        (proxy_fakes.LOST, Reason.TIMEOUT, MAY_HAVE_RUN),
        ({}, Reason.TIMEOUT, MAY_HAVE_RUN),
        (proxy_fakes.refusal(Reason.NOT_HOLDER), Reason.NOT_HOLDER, NOT_RUN),
        (proxy_fakes.refusal(Reason.STALE_TERM), Reason.STALE_TERM, NOT_RUN),
        (proxy_fakes.refusal(Reason.NO_MAJORITY, may_have_run=True), Reason.NO_MAJORITY, MAY_HAVE_RUN),
        (proxy_fakes.refusal(Reason.UNREACHABLE, may_have_run=True), Reason.UNREACHABLE, MAY_HAVE_RUN),
    ],
    ids=str,
)
def test_fault_is_reported_and_nothing_is_sent_twice(action, fault, reason, kind):
    """Guards against a statement or commit that runs twice, and against reporting a commit in doubt as not run."""
    assert send(action, VALID_ID, fault)[:3] == (reason, kind, 1)


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (lambda world: world.change_organisation(keys={}), Reason.UNKNOWN_KEY),
        (lambda world: world.change_organisation(services=()), Reason.NOT_GRANTED),
    ],
)
@pytest.mark.parametrize("action", ACTIONS)
def test_key_and_grant_are_checked_at_each_statement(action, prepare, reason):
    """Guards against a key that keeps working after its withdrawal because its transaction is open."""
    assert send(action, prepare=prepare)[:3] == (reason, NOT_RUN, 0)


def test_commit_and_rollback_are_exempt_from_the_rate():
    """Guards against a transaction that keeps its locks because the rate limit refuses its end."""
    exhausted_rate = {"prepare": lambda world: setattr(world.admission, "left", 0)}
    assert send(Action.TRANSACT, **exhausted_rate)[:3] == (Reason.OVER_RATE, NOT_RUN, 0)
    for action in (Action.COMMIT, Action.ROLLBACK):
        assert send(action, **exhausted_rate)[0] == "ok"


def test_commit_advances_the_position_of_its_database():
    """Guards against a session that does not see its own transaction, and against advancing another database."""
    assert send(Action.COMMIT)[3] == {"ledger": messages.Position(1, 5)}


def test_holder_gets_the_database_of_the_id():
    """Guards against an id that was changed to name another granted database, whose session position would be wrong."""

    async def scenario():
        world = proxy_fakes.ProxyFixture()
        configuration = world.directory.configuration
        databases = {**configuration.databases, "mill-db": model.Database("mill-db", "sql")}
        world.directory.set_configuration(databases=databases)
        for action in ACTIONS:
            await world.proxy.handle(proxy_fakes.on_transaction(action, "mill-db.vm-a.7.1.secret"))
            work = world.holders.messages[-1][1]
            assert (work.statement if action is Action.TRANSACT else work).database == "mill-db"

    rates.run(scenario())
