"""Tests of transactions whose VM is killed or whose caller disconnects."""

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


async def _read_marks(running, http):
    marks = await harness.read_marks(running, http)
    return marks[(harness.DATABASE, "consignments")]


async def test_killed_holder_rolls_back_and_transactions_do_not_mix(running):
    """Guards against a partly applied transaction, or one mixed with another caller's, after its VM is killed (P3)."""
    async with harness.http_client() as http:
        mill = harness.Caller(http, harness.KEYS[harness.LARGE_ORGANISATION])
        farm = harness.Caller(http, harness.KEYS[harness.SMALL_ORGANISATION])
        entry = running.vms["metsovo-1"].url
        rolled_back, before, after = harness.insert(), harness.insert(), harness.insert()
        transaction = await mill.begin(entry)
        assert (await mill.transact(entry, transaction, rolled_back))[0] == 200
        killed_vm = _holder_of(transaction)
        url = next(vm.url for name, vm in running.vms.items() if name not in (killed_vm, "metsovo-1"))
        other_transaction = asyncio.ensure_future(_insert_and_commit(farm, url, before, after))
        await asyncio.sleep(0.3)
        running.vms[killed_vm].kill()
        status, body = await mill.finish(url, transaction)
        assert status in (404, 503, 504), (status, body)
        await other_transaction
        marks = await _read_marks(running, http)
    running.start_vm(killed_vm)
    assert rolled_back.row_id not in marks
    assert (before.row_id in marks, after.row_id in marks) == (True, True)


async def _insert_and_commit(caller, url, *operations):
    transaction = await caller.begin(url)
    for operation in operations:
        status, body = await caller.transact(url, transaction, operation)
        assert status == 200, body
    status, body = await caller.finish(url, transaction)
    assert status == 200, body


async def test_transaction_of_disconnected_caller_is_rolled_back(running):
    """Guards against an abandoned transaction that is not rolled back and blocks other writers (P3)."""
    async with harness.http_client() as http:
        async with harness.http_client() as leaving_client:
            disconnected = harness.Caller(leaving_client, harness.KEYS[harness.LARGE_ORGANISATION])
            url = running.vms["naousa-2"].url
            transaction = await disconnected.begin(url)
            abandoned = harness.insert()
            assert (await disconnected.transact(url, transaction, abandoned))[0] == 200
        session = harness.roaming_session(running, http, harness.SMALL_ORGANISATION)
        started = asyncio.get_running_loop().time()
        result = await session.send(harness.insert(), attempts=200)
        waited = asyncio.get_running_loop().time() - started
        print(f"next write completed after {waited:.2f} s, {result.verdict}")
        assert result.verdict == load.COMPLETED
        assert waited <= holder.IDLE_TRANSACTION_TIMEOUT_S + 3.0
        mill = harness.Caller(http, harness.KEYS[harness.LARGE_ORGANISATION])
        assert (await mill.finish(url, transaction))[0] == 404
        assert abandoned.row_id not in await _read_marks(running, http)
