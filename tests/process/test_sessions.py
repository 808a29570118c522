"""Test of session consistency over several VMs while replicas lag and a VM and a primary are killed."""

import asyncio
import random
from collections import Counter

import pytest

from tests.process import harness
from tools import load, workload

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-1"), pytest.mark.timeout(90)]


async def _vary_lag(running, seconds):
    rng = random.Random(3)
    for _ in range(int(seconds / 0.5)):
        for name, process in running.endpoints.items():
            if process.popen.poll() is None:
                await asyncio.to_thread(harness.control_endpoint, running, name, lag_s=rng.uniform(0.0, 0.3))
        await asyncio.sleep(0.5)


async def _kill_vm_and_primary(running):
    await asyncio.sleep(4.0)
    running.vms["larisa-2"].kill()
    await asyncio.sleep(3.0)
    running.endpoints[running.primary(harness.DATABASE)].kill()


async def test_roaming_sessions_keep_their_writes():
    """Guards against stale reads and lost writes (P1, P2, P10, P11).

    Replicas lag, and a VM and a primary are killed, during 12 s of load at 100 statements/s.
    """
    with harness.deploy() as running:
        async with harness.http_client() as http:
            sent = harness.LoadGenerator(running, http, rate=100.0, sessions=24).run(12.0)
            results, *_ = await asyncio.gather(sent, _vary_lag(running, 12.0), _kill_vm_and_primary(running))
            ledger = await harness.compare(running, http, results)
    verdicts = Counter(result.verdict for result in results)
    print(verdicts, ledger)
    assert ledger == workload.Violations()
    assert verdicts[load.COMPLETED] >= 0.95 * len(results), Counter(
        result.reason for result in results if result.verdict != load.COMPLETED
    )
