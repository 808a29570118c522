"""Sessions roam over VMs while replicas lag, a VM is killed and a primary is killed."""

import asyncio
import random
from collections import Counter

import pytest

from tests.process import harness
from tools import load, workload

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-1"), pytest.mark.timeout(90)]


async def _vary_lag(running, seconds):
    draws = random.Random(3)
    for _ in range(int(seconds / 0.5)):
        for name, process in running.endpoints.items():
            if process.popen.poll() is None:
                await asyncio.to_thread(harness.control_endpoint, running, name, lag_s=draws.uniform(0.0, 0.3))
        await asyncio.sleep(0.5)


async def _kill_vm_and_primary(running):
    await asyncio.sleep(4.0)
    running.vms["larisa-2"].kill()
    await asyncio.sleep(3.0)
    running.endpoints[running.primary(harness.DATABASE)].kill()


async def test_roaming_sessions_keep_their_writes():
    """Guard P1, P2, P10 and P11 against stale replicas, a killed VM and a killed primary (12 s, 100 statements/s)."""
    with harness.deploy() as running:
        async with harness.http_client() as http:
            sent = harness.Load(running, http, rate=100.0, sessions=24).run(12.0)
            told, *_ = await asyncio.gather(sent, _vary_lag(running, 12.0), _kill_vm_and_primary(running))
            ledger = await harness.compare(running, http, told)
    verdicts = Counter(item.verdict for item in told)
    print(verdicts, ledger)
    assert ledger == workload.Ledger()
    assert verdicts[load.COMPLETED] >= 0.95 * len(told), Counter(
        item.reason for item in told if item.verdict != load.COMPLETED
    )
