"""Tests of the holder against three stand-in instances."""

import itertools

from currantlead import messages
from tests.standins import fakes

FARM = messages.Caller("farm", fakes.KEY)
MILL = messages.Caller("mill", fakes.OTHER_KEY)
_numbers = itertools.count()


def work(sql, *, write=False, instance="ledger-a", term=1, caller=FARM, timeout_s=2.0, **more):
    """Return a statement with a new request id."""
    statement = messages.Statement(f"r{next(_numbers)}", "ledger", sql, write=write, **more)
    return messages.Execute(statement, caller, instance, term, timeout_s)


async def test_replica_read_sees_acknowledged_write():
    """A session that wrote reads its own write at a replica."""
    async with fakes.running() as cluster:
        await cluster.holder.execute(work("create table t (x)", write=True))
        written = await cluster.holder.execute(work("insert into t values (1)", write=True))
        position = written.ok_value.position
        read = await cluster.holder.execute(work("select x from t", instance="ledger-b", after=position))
        assert (read.ok_value.rows, read.ok_value.position) == (((1,),), position)
