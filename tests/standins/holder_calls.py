"""Messages and calls that tests send to a holder."""

import itertools

from currantlead import messages
from currantlead.control import model
from tests.standins import fakes

FARM = messages.Caller("farm", fakes.KEY)
MILL = messages.Caller("mill", fakes.OTHER_KEY)
_numbers = itertools.count()


def execute_message(
    sql="select 1", *, write=False, instance="ledger-a", term=1, caller=FARM, timeout_s=2.0, **overrides
):
    """Return the message that runs a statement, with a new request id."""
    statement = messages.Statement(f"r{next(_numbers)}", "ledger", sql, write=write, **overrides)
    return messages.Execute(statement, caller, instance, term, timeout_s)


def insert(value=1, **overrides):
    """Return the message of a write."""
    return execute_message("insert into t values (?)", params=(value,), write=True, **overrides)


async def begin(cluster, caller=FARM, **overrides):
    """Begin a transaction at the holder."""
    fields = {"instance": "ledger-a", "term": 1, "after": None, "timeout_s": 2.0, **overrides}
    return await cluster.holder.begin(messages.Begin(f"b{next(_numbers)}", "ledger", caller, **fields))


async def transact(
    cluster, transaction, sql="insert into t values (9)", *, caller=FARM, write=True, timeout_s=2.0, database="ledger"
):
    """Run a statement in a transaction."""
    statement = messages.Statement(f"t{next(_numbers)}", database, sql, write=write)
    return await cluster.holder.transact(messages.Transact(transaction, statement, caller, timeout_s))


async def finish(cluster, transaction, *, commit=True, caller=FARM, timeout_s=2.0, database="ledger"):
    """Commit or roll back a transaction."""
    return await cluster.holder.finish(
        messages.Finish(transaction, f"f{next(_numbers)}", caller, commit, timeout_s, database)
    )


async def table_values(cluster, instance="ledger-a", term=1):
    """Return all values of the table ``t`` at an instance."""
    outcome = await cluster.holder.execute(execute_message("select x from t order by x", instance=instance, term=term))
    return [row[0] for row in outcome.ok_value.rows]


def reason_and_verdict(outcome):
    """Return the reason and the verdict of a refused outcome."""
    return outcome.err_value.reason, outcome.err_value.verdict


def withdraw_key(cluster):
    """Remove the key of the organisation ``farm`` from the configuration."""
    farm = model.Organisation("farm", 100, 100, ("sql",), {})
    cluster.directory.set_configuration(organisations={"farm": farm})
