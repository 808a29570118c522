"""Tests that a withdrawn key stops working for connected callers, and that keys reach neither logs nor endpoints."""

import asyncio
import time

import pytest

from tests.process import harness
from tools import load

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-3"), pytest.mark.timeout(90)]


@pytest.fixture(scope="module")
def logs(tmp_path_factory):
    """Return the directory for the logs of the processes."""
    return tmp_path_factory.mktemp("logs")


@pytest.fixture(scope="module")
def running(logs):
    """Run one deployment whose instances print the requests that they receive."""
    with harness.deploy(logs=logs, endpoint_flags=("--print-requests",), vm_flags=("--log-level", "DEBUG")) as deployed:
        yield deployed


async def _poll_key(caller, url, stop):
    """Send reads on one connection; return the time of sending and the status of each."""
    responses = []
    while not stop.is_set():
        at = time.monotonic()
        status, _ = await caller.statement(url, harness.read())
        responses.append((at, status))
        await asyncio.sleep(harness.POLL_INTERVAL_S)
    return responses


async def _withdraw_while_connected(running, latency_s):
    """Withdraw a key that is in use on all VMs and in a transaction.

    Returns:
        Seconds from the response to the command to the sending of the last request that succeeded; negative if earlier.
    """
    name = f"extra-{time.monotonic_ns()}"
    key = f"key-{name}-withdrawn"
    harness.operate(running, f"add key {name} organisation {harness.LARGE_ORGANISATION} digest {harness.digest(key)}")
    stop = asyncio.Event()
    async with harness.http_client(keep_alive=True) as http:
        caller = harness.Caller(http, key)
        entry = running.vms["naousa-1"].url
        transaction = await caller.begin(entry)
        operation = harness.insert()
        assert (await caller.transact(entry, transaction, operation))[0] == 200
        polls = [asyncio.ensure_future(_poll_key(caller, vm.url, stop)) for vm in harness.running_vms(running)]
        await asyncio.sleep(0.5)
        harness.control_platform(running, latency_s=latency_s)
        text = f"withdraw key {name} organisation {harness.LARGE_ORGANISATION}"
        answered = await asyncio.to_thread(harness.operate, running, text)
        # The command returns once the change is in force on all VMs, at most 2 s after it was accepted.
        accepted = time.monotonic()
        assert answered["accepted"] and not answered["pending"], answered
        await asyncio.sleep(0.5)
        in_transaction = await caller.transact(entry, transaction, harness.insert())
        commit = await caller.finish(entry, transaction)
        await asyncio.sleep(1.5)
        stop.set()
        responses = await asyncio.gather(*polls)
    harness.control_platform(running, latency_s=0.0)
    assert all(any(status == 200 for _, status in vm) for vm in responses)
    assert all(vm[-1][1] == 401 for vm in responses)
    assert in_transaction[0] in (401, 404), in_transaction
    assert commit[0] in (401, 404), commit
    return max(at for vm in responses for at, status in vm if status == 200) - accepted


@pytest.mark.parametrize("latency_s", [0.0, 0.4])
async def test_withdrawn_key_stops_for_connected_callers(running, latency_s):
    """Guards against use of a withdrawn key on keep-alive connections, in transactions or with a slow platform (P6)."""
    last_use_s = await _withdraw_while_connected(running, latency_s)
    print(f"last use {last_use_s:+.2f} s after the response to the command, platform latency {latency_s} s")
    assert last_use_s <= 0.0


async def test_no_log_and_no_endpoint_sees_a_key(running, logs):
    """Guards against keys in logs and in requests to instances, also from refused and malformed requests (P5)."""
    secret_key = "key-that-must-stay-inside-77e0"
    text = f"add key hidden organisation {harness.LARGE_ORGANISATION} digest {harness.digest(secret_key)}"
    harness.operate(running, text)
    async with harness.http_client() as http:
        caller = harness.Caller(http, secret_key)
        for vm in running.vms.values():
            assert (await caller.statement(vm.url, harness.insert()))[0] == 200
            assert (await caller.statement(vm.url, harness.read()))[0] == 200
            await caller.post(vm.url, f"databases/{harness.DATABASE}/statements", {"sql": secret_key})
            broken = load.Operation(harness.DATABASE, "select broken from nowhere", [])
            assert (await caller.statement(vm.url, broken))[0] == 422
            transaction = await caller.begin(vm.url)
            await caller.transact(vm.url, transaction, harness.insert())
            assert (await caller.finish(vm.url, transaction))[0] == 200
    logs_by_name = {path.name: path.read_text() for path in logs.glob("*.log")}
    assert len(logs_by_name) == len(running.vms) + len(running.endpoints) + 1
    assert "insert into consignments" in logs_by_name[f"{running.primary(harness.DATABASE)}.log"]
    leaks = [
        name for name, content in logs_by_name.items() for key in (secret_key, *harness.KEYS.values()) if key in content
    ]
    assert leaks == []
