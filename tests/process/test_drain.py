"""Domains and endpoints leave and return under load, and every VM in turn is stopped by plan."""

import asyncio
import itertools
import time

import pytest

from tests.process import harness
from tools import cluster, load, workload

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-2"), pytest.mark.timeout(120)]
LEAVE_S = 3.0


@pytest.fixture(scope="module")
def running():
    """Run one deployment for all tests of the module."""
    with harness.deploy() as deployed:
        yield deployed


def _statements(running, instance):
    return harness.status(running, instance)["counts"]["statements"]


def _answers(running, vm):
    """Return the number of callers' statements that a VM has answered."""
    lines = cluster.call(f"{running.vms[vm].url}/metrics").splitlines()
    found = [line for line in lines if line.startswith("currantlead_requests_total{") and "statement" in line]
    return sum(float(line.split()[-1]) for line in found)


def _cut(told):
    return [(item.verdict, item.reason) for item in told if item.verdict == load.MAY_HAVE_RUN]


async def _restart_balancer(running):
    if running.balancer is not None:
        running.balancer.kill()
    await asyncio.to_thread(running.start_balancer)
    await asyncio.sleep(1.0)


async def test_drained_domain_gets_no_new_work(running):
    """Guard P8 against a domain whose endpoints or VMs go on working, or whose requests are cut, as it leaves."""
    domain = "larisa"
    vms = [name for name in running.vms if running.domain_of(name) == domain]
    instance = f"{harness.DATABASE}-{domain}"
    await _restart_balancer(running)

    async def drain_and_return():
        await asyncio.sleep(2.0)
        accepted = await asyncio.to_thread(harness.operate, running, f"drain domain {domain}", vm="naousa-1")
        assert accepted["accepted"] and not accepted["pending"], accepted
        await asyncio.sleep(LEAVE_S)
        before = [_statements(running, instance), *(_answers(running, vm) for vm in vms)]
        await asyncio.sleep(3.0)
        after = [_statements(running, instance), *(_answers(running, vm) for vm in vms)]
        await asyncio.to_thread(harness.operate, running, f"return domain {domain}", vm="naousa-1")
        await asyncio.sleep(3.0)
        returned = [_statements(running, instance), *(_answers(running, vm) for vm in vms)]
        return before, after, returned

    async with harness.http_client() as http:
        sent = harness.Load(running, http, rate=80.0, seed=6, through_balancer=True).run(12.0)
        told, (before, after, returned) = await asyncio.gather(sent, drain_and_return())
        ledger = await harness.compare(running, http, told)
    completed = sum(item.verdict == load.COMPLETED for item in told)
    print(f"sent {len(told)}, completed {completed}, work {before} {after} {returned}, {ledger}")
    assert before == after
    assert all(new > old for old, new in zip(after, returned, strict=True))
    assert _cut(told) == []
    assert ledger == workload.Ledger()
    assert completed >= 0.999 * len(told)


async def test_drained_endpoint_gets_no_new_work(running):
    """Guard P12 against statements that reach a leaving primary or replica after 3 s, and against cut requests."""

    async def drain_and_return():
        counts = []
        primary = running.primary(harness.DATABASE)
        replica = next(name for name in running.endpoints if name != primary)
        for name in (primary, replica):
            await asyncio.sleep(1.0)
            await asyncio.to_thread(harness.operate, running, f"drain endpoint {name}")
            await asyncio.sleep(LEAVE_S)
            before = _statements(running, name)
            await asyncio.sleep(1.0)
            counts.append((before, _statements(running, name)))
            await asyncio.to_thread(harness.operate, running, f"return endpoint {name}")
        return counts

    async with harness.http_client() as http:
        sent = harness.Load(running, http, rate=80.0, seed=7).run(11.0)
        told, counts = await asyncio.gather(sent, drain_and_return())
        ledger = await harness.compare(running, http, told)
    print(f"sent {len(told)}, work {counts}, {ledger}")
    assert all(before == after for before, after in counts)
    assert _cut(told) == []
    assert ledger == workload.Ledger()


async def _transactions(running, http, stop):
    """Run transactions of 0.3 s through the balancer; return each status and body that is not a success."""
    caller, url = harness.Caller(http, harness.KEYS[harness.SMALL]), running.balancer.url
    failed, done = [], 0
    while not stop.is_set():
        transaction = await caller.begin(url)
        answers = []
        for _ in range(3):
            answers.append(await caller.transact(url, transaction, harness.insert("tx-0")))
            await asyncio.sleep(0.1)
        answers.append(await caller.finish(url, transaction))
        failed += [answer for answer in answers if answer[0] != 200]
        done += not failed
    return done, failed


def _in_view(running, vm):
    value = cluster.call(f"{running.platform.url}/objects/views/{running.domain_of(vm)}")["value"]
    return vm in str(value)


async def test_each_vm_stops_by_plan_without_a_cut(running):
    """Guard P13 against requests and transactions that a planned stop of any VM cuts."""
    await _restart_balancer(running)
    names = list(running.vms)
    stop = asyncio.Event()

    async def stop_each():
        codes = []
        for name in names[:-1]:
            started = time.monotonic()
            code = await asyncio.to_thread(running.vms[name].terminate)
            codes.append((name, code, round(time.monotonic() - started, 2), _in_view(running, name)))
        stop.set()
        return codes

    async with harness.http_client(keep_alive=True) as http:
        load_ = harness.Load(running, http, rate=30.0, seed=8, through_balancer=True)
        sent = asyncio.ensure_future(_load_until(load_, stop))
        transactions = asyncio.ensure_future(_transactions(running, http, stop))
        codes = await stop_each()
        told, (done, failed) = await asyncio.gather(sent, transactions)
        ledger = await harness.compare(running, http, told)
    print(f"sent {len(told)}, transactions {done}, stops {codes}, {ledger}")
    assert [code for _, code, _, _ in codes] == [0] * len(codes)
    assert not any(in_view for *_, in_view in codes)
    assert failed == []
    assert _cut(told) == []
    assert ledger == workload.Ledger()


async def _load_until(sending, stop):
    told = []
    for number in itertools.count():
        if stop.is_set():
            return told
        sending.seed = 800 + number
        told += await sending.run(2.0)
