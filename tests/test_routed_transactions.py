"""Tests of requests on open transactions: hostile ids, faults and tokens."""

import pytest

from currantlead import interfaces, messages, tokens, verdict
from currantlead.control import model
from tests import rates
from tests.standins import routes

Action, Reason = interfaces.Action, verdict.Reason
NOT_RUN, MAY = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
GOOD = "ledger.vm-a.7.1.secret"
ACTIONS = [Action.TRANSACT, Action.COMMIT, Action.ROLLBACK]
HOSTILE = [
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


def send(action, transaction=GOOD, *steps, prepare=lambda world: None):
    """Send one request; return reason, verdict, the number of frames to ``vm-a`` and the reply's session."""

    async def scenario():
        world = routes.World()
        prepare(world)
        world.script.steps["vm-a"].extend(steps)
        reply = await world.proxy.handle(routes.on_transaction(action, transaction, session={}))
        return *routes.told(reply.outcome), world.script.asked.total(), dict(reply.session)

    return rates.run(scenario())


@pytest.mark.parametrize("action", ACTIONS)
@pytest.mark.parametrize("text", HOSTILE)
def test_hostile_id_is_unknown(text, action):
    """Guards against an id that reaches a holder, or a session token that no VM accepts afterwards."""
    reason, kind, asked, session = send(action, text)
    assert (reason, kind, asked) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN, 0)
    assert tokens.parse(tokens.render(session)) == {}


@pytest.mark.parametrize("action", ACTIONS)
@pytest.mark.parametrize(
    ("fault", "reason", "kind"),
    [
        (routes.UNREACHABLE, Reason.UNKNOWN_TRANSACTION, NOT_RUN),
        (routes.LOST, Reason.TIMEOUT, MAY),
        ({}, Reason.TIMEOUT, MAY),
        (routes.refusal(Reason.NOT_HOLDER), Reason.NOT_HOLDER, NOT_RUN),
        (routes.refusal(Reason.STALE_TERM), Reason.STALE_TERM, NOT_RUN),
        (routes.refusal(Reason.NO_MAJORITY, ran=True), Reason.NO_MAJORITY, MAY),
        (routes.refusal(Reason.UNREACHABLE, ran=True), Reason.UNREACHABLE, MAY),
    ],
    ids=str,
)
def test_fault_is_told_and_nothing_is_sent_twice(action, fault, reason, kind):
    """Guards against a statement or commit that runs twice, and against a commit under way that is called not run."""
    assert send(action, GOOD, fault)[:3] == (reason, kind, 1)


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (lambda world: world.grant(keys={}), Reason.UNKNOWN_KEY),
        (lambda world: world.grant(services=()), Reason.NOT_GRANTED),
    ],
)
@pytest.mark.parametrize("action", ACTIONS)
def test_key_and_grant_are_checked_at_each_statement(action, prepare, reason):
    """Guards against a key that is withdrawn while its transaction is open."""
    assert send(action, prepare=prepare)[:3] == (reason, NOT_RUN, 0)


def test_only_statements_are_charged():
    """Guards against an end of a transaction that is refused by the rate and keeps its locks."""
    empty = {"prepare": lambda world: setattr(world.gate, "left", 0)}
    assert send(Action.TRANSACT, **empty)[:3] == (Reason.OVER_RATE, NOT_RUN, 0)
    for action in (Action.COMMIT, Action.ROLLBACK):
        assert send(action, **empty)[0] == "ok"


def test_commit_advances_the_token_of_the_transaction_s_database():
    """Guards against a session that does not see its own transaction, and against another database's position."""
    assert send(Action.COMMIT)[3] == {"ledger": messages.Position(1, 5)}


def test_holder_learns_which_database_the_id_names():
    """Guards against an id with another granted database in front, whose token would get a foreign position."""

    async def scenario():
        world = routes.World()
        configuration = world.directory.configuration
        databases = {**configuration.databases, "mill-db": model.Database("mill-db", "sql")}
        world.directory.set_configuration(databases=databases)
        for action in ACTIONS:
            await world.proxy.handle(routes.on_transaction(action, "mill-db.vm-a.7.1.secret"))
            work = world.script.works[-1][1]
            assert (work.statement if action is Action.TRANSACT else work).database == "mill-db"

    rates.run(scenario())
