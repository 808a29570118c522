"""A VM is killed inside a transaction, and a caller goes away inside one."""

import asyncio

import pytest

from currantlead.connections import holder
from tests.process import harness
from tools import load

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-3"), pytest.mark.timeout(90)]


@pytest.fixture(scope="module")
def running():
    """Run one deployment for all tests of the module."""
    with harness.deploy() as deployed:
        yield deployed


def _holder_of(transaction):
    return transaction.split(".")[1]


async def _marks(running, http):
    marks = await harness.read_marks(running, http)
    return marks[(harness.DATABASE, "consignments")]


async def test_killed_holder_rolls_back_and_nothing_mixes(running):
    """Guard P3 against a killed VM whose half transaction is kept, or whose connection serves another caller."""
    async with harness.http_client() as http:
        mill = harness.Caller(http, harness.KEYS[harness.LARGE])
        farm = harness.Caller(http, harness.KEYS[harness.SMALL])
        entry = running.vms["metsovo-1"].url
        doomed, before, after = harness.insert(), harness.insert(), harness.insert()
        transaction = await mill.begin(entry)
        assert (await mill.transact(entry, transaction, doomed))[0] == 200
        victim = _holder_of(transaction)
        url = next(vm.url for name, vm in running.vms.items() if name not in (victim, "metsovo-1"))
        other = asyncio.ensure_future(_insert_and_commit(farm, url, before, after))
        await asyncio.sleep(0.3)
        running.vms[victim].kill()
        status, body = await mill.finish(url, transaction)
        assert status in (404, 503, 504), (status, body)
        await other
        marks = await _marks(running, http)
    running.start_vm(victim)
    assert doomed.mark not in marks
    assert (before.mark in marks, after.mark in marks) == (True, True)


async def _insert_and_commit(caller, url, *operations):
    transaction = await caller.begin(url)
    for operation in operations:
        status, body = await caller.transact(url, transaction, operation)
        assert status == 200, body
    status, body = await caller.finish(url, transaction)
    assert status == 200, body


async def test_transaction_of_a_caller_that_is_gone_is_rolled_back(running):
    """Guard P3 against a transaction that nobody finishes: it must end and let other writers go on."""
    async with harness.http_client() as http:
        async with harness.http_client() as leaving:
            gone = harness.Caller(leaving, harness.KEYS[harness.LARGE])
            url = running.vms["naousa-2"].url
            transaction = await gone.begin(url)
            abandoned = harness.insert()
            assert (await gone.transact(url, transaction, abandoned))[0] == 200
        session = harness.roaming_session(running, http, harness.SMALL)
        started = asyncio.get_running_loop().time()
        told = await session.send(harness.insert(), attempts=200)
        waited = asyncio.get_running_loop().time() - started
        print(f"next write completed after {waited:.2f} s, {told.verdict}")
        assert told.verdict == load.COMPLETED
        assert waited <= holder.IDLE_TRANSACTION_TIMEOUT_S + 3.0
        mill = harness.Caller(http, harness.KEYS[harness.LARGE])
        assert (await mill.finish(url, transaction))[0] == 404
        assert abandoned.mark not in await _marks(running, http)
