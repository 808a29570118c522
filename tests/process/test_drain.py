"""Tests of draining domains and endpoints under load, and of planned stops of every VM."""

import asyncio
import itertools
import time

import pytest

from tests.process import harness
from tools import cluster, load, workload

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-2"), pytest.mark.timeout(120)]
DRAIN_S = 3.0


@pytest.fixture(scope="module")
def running():
    """Run one deployment for all tests of the module."""
    with harness.deploy() as deployed:
        yield deployed


def _statement_count(running, instance):
    return harness.status(running, instance)["counts"]["statements"]


def _answer_count(running, vm):
    """Return the number of statements from callers that a VM has answered."""
    lines = cluster.call(f"{running.vms[vm].url}/metrics").splitlines()
    found = [line for line in lines if line.startswith("currantlead_requests_total{") and "statement" in line]
    return sum(float(line.split()[-1]) for line in found)


def _cut_requests(results):
    return [(result.verdict, result.reason) for result in results if result.verdict == load.MAY_HAVE_RUN]


async def _restart_balancer(running):
    if running.balancer is not None:
        running.balancer.kill()
    await asyncio.to_thread(running.start_balancer)
    await asyncio.sleep(1.0)


async def test_drained_domain_gets_no_new_work(running):
    """Guards against new work on endpoints and VMs of a drained domain, and against requests cut by the drain (P8)."""
    domain = "larisa"
    vms = [name for name in running.vms if running.domain_of(name) == domain]
    instance = f"{harness.DATABASE}-{domain}"
    await _restart_balancer(running)

    async def drain_and_return():
        await asyncio.sleep(2.0)
        accepted = await asyncio.to_thread(harness.operate, running, f"drain domain {domain}", vm="naousa-1")
        assert accepted["accepted"] and not accepted["pending"], accepted
        await asyncio.sleep(DRAIN_S)
        before = [_statement_count(running, instance), *(_answer_count(running, vm) for vm in vms)]
        await asyncio.sleep(3.0)
        after = [_statement_count(running, instance), *(_answer_count(running, vm) for vm in vms)]
        await asyncio.to_thread(harness.operate, running, f"return domain {domain}", vm="naousa-1")
        await asyncio.sleep(3.0)
        returned = [_statement_count(running, instance), *(_answer_count(running, vm) for vm in vms)]
        return before, after, returned, time.monotonic()

    async with harness.http_client() as http:
        # The two commands take up to several seconds on a busy machine; the load has to go on until the last count.
        started, load_s = time.monotonic(), 20.0
        sent = harness.LoadGenerator(running, http, rate=80.0, seed=6, through_balancer=True).run(load_s)
        results, (before, after, returned, counted_at) = await asyncio.gather(sent, drain_and_return())
        ledger = await harness.compare(running, http, results)
    completed = sum(result.verdict == load.COMPLETED for result in results)
    counted_after_s = counted_at - started
    print(f"sent {len(results)}, completed {completed}, work {before} {after} {returned}, {ledger}")
    print(f"last count after {counted_after_s:.1f} s")
    assert counted_after_s < load_s
    assert before == after
    assert all(new > old for old, new in zip(after, returned, strict=True))
    assert _cut_requests(results) == []
    assert ledger == workload.Violations()
    assert completed >= 0.999 * len(results)


async def test_drained_endpoint_gets_no_new_work(running):
    """Guards against statements that reach a draining primary or replica after 3 s, and against cut requests (P12)."""

    async def drain_and_return():
        counts = []
        primary = running.primary(harness.DATABASE)
        replica = next(name for name in running.endpoints if name != primary)
        for name in (primary, replica):
            await asyncio.sleep(1.0)
            await asyncio.to_thread(harness.operate, running, f"drain endpoint {name}")
            await asyncio.sleep(DRAIN_S)
            before = _statement_count(running, name)
            await asyncio.sleep(1.0)
            counts.append((before, _statement_count(running, name)))
            await asyncio.to_thread(harness.operate, running, f"return endpoint {name}")
        return counts

    async with harness.http_client() as http:
        sent = harness.LoadGenerator(running, http, rate=80.0, seed=7).run(11.0)
        results, counts = await asyncio.gather(sent, drain_and_return())
        ledger = await harness.compare(running, http, results)
    print(f"sent {len(results)}, work {counts}, {ledger}")
    assert all(before == after for before, after in counts)
    assert _cut_requests(results) == []
    assert ledger == workload.Violations()


async def _run_transactions(running, http, stop):
    """Run transactions of 0.3 s through the balancer.

    Returns:
        The number of successful transactions, and status and body of each response that is not a success.
    """
    caller, url = harness.Caller(http, harness.KEYS[harness.SMALL_ORGANISATION]), running.balancer.url
    failed, committed = [], 0
    while not stop.is_set():
        transaction = await caller.begin(url)
        answers = []
        for _ in range(3):
            answers.append(await caller.transact(url, transaction, harness.insert("tx-0")))
            await asyncio.sleep(0.1)
        answers.append(await caller.finish(url, transaction))
        failed += [answer for answer in answers if answer[0] != 200]
        committed += not failed
    return committed, failed


def _is_in_view(running, vm):
    value = cluster.call(f"{running.platform.url}/objects/views/{running.domain_of(vm)}")["value"]
    return vm in str(value)


async def test_planned_stop_of_each_vm_cuts_no_request(running):
    """Guards against requests and transactions that are cut off by the planned stop of any VM (P13)."""
    await _restart_balancer(running)
    names = list(running.vms)
    stop = asyncio.Event()

    async def stop_each():
        stops = []
        for name in names[:-1]:
            started = time.monotonic()
            exit_code = await asyncio.to_thread(running.vms[name].terminate)
            stops.append((name, exit_code, round(time.monotonic() - started, 2), _is_in_view(running, name)))
        stop.set()
        return stops

    async with harness.http_client(keep_alive=True) as http:
        load_generator = harness.LoadGenerator(running, http, rate=30.0, seed=8, through_balancer=True)
        sent = asyncio.ensure_future(_send_load_until(load_generator, stop))
        transactions = asyncio.ensure_future(_run_transactions(running, http, stop))
        stops = await stop_each()
        results, (committed, failed) = await asyncio.gather(sent, transactions)
        ledger = await harness.compare(running, http, results)
    print(f"sent {len(results)}, transactions {committed}, stops {stops}, {ledger}")
    assert [exit_code for _, exit_code, _, _ in stops] == [0] * len(stops)
    assert not any(still_in_view for *_, still_in_view in stops)
    assert failed == []
    assert _cut_requests(results) == []
    assert ledger == workload.Violations()


async def _send_load_until(load_generator, stop):
    results = []
    for number in itertools.count():
        if stop.is_set():
            return results
        load_generator.seed = 800 + number
        results += await load_generator.run(2.0)
