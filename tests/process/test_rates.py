"""One organisation sends five times its rate while a VM is killed, one freezes, and the platform is out."""

import asyncio
import itertools
import random
import time

import pytest

from tests.process import harness
from tools import load

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-1"), pytest.mark.timeout(120)]
RATE, BURST = 20.0, 40.0
SECONDS = 24.0


def _most_over(started, ended, rate, burst):
    """Return the largest excess over ``rate * t + burst`` of requests that certainly ran inside an interval.

    A request was admitted between its sending and its answer, so it counts only in intervals that hold both.
    """
    worst = float("-inf")
    for first in sorted(set(started)):
        inside = sorted(end for begin, end in zip(started, ended, strict=True) if begin >= first)
        for count, last in enumerate(inside, start=1):
            worst = max(worst, count - (rate * (last - first) + burst))
    return worst


async def _cause_failures(running):
    await asyncio.sleep(3.0)
    running.vms["larisa-1"].kill()
    await asyncio.sleep(2.0)
    harness.control_platform(running, outage=True)
    running.vms["naousa-3"].freeze()
    await asyncio.sleep(8.0)
    running.vms["naousa-3"].resume()
    await asyncio.sleep(7.0)
    harness.control_platform(running, outage=False)


async def test_admitted_stays_under_rate_and_burst():
    """Guard P7 against owners that are killed, replaced or frozen past their lease, and a platform outage of 15 s."""
    with harness.deploy() as running:
        text = f"set organisation {harness.SMALL} rate {RATE:g} burst {BURST:g}"
        harness.operate(running, text)
        await asyncio.sleep(2.0)
        async with harness.http_client() as http:
            draws = random.Random(5)
            sends = []
            for number, at in enumerate(load.poisson_arrivals(5 * RATE, SECONDS, 5)):
                session = harness.roaming_session(running, http, harness.SMALL, seed=draws.randrange(1 << 30))
                sends.append((at, lambda s=session, n=number: s.send(harness.read(f"farm-{n}"))))
            told, _ = await asyncio.gather(load.run_open_loop(sends), _cause_failures(running))
    admitted = [item for item in told if _may_be_admitted(item)]
    started = [item.at for item in admitted]
    over = _most_over(started, [item.at + item.latency_s for item in admitted], RATE, BURST)
    refused = sum(item.reason == "rate" or "rate" in item.reason for item in told)
    allowed = RATE * SECONDS + BURST
    print(f"sent {len(told)}, admitted {len(admitted)} of at most {allowed:.0f}, refused {refused}, excess {over:.1f}")
    assert over <= 0.0
    assert len(admitted) >= 0.5 * RATE * SECONDS


def _may_be_admitted(item):
    return item.verdict in (load.COMPLETED, load.MAY_HAVE_RUN)


def test_excess_counts_only_what_ran_inside():
    """Guard the measure itself: it must see a doubled rate and accept a rate that is kept."""
    now = time.monotonic()
    kept = list(itertools.accumulate([0.05] * 200, initial=now))
    assert _most_over(kept, kept, 20.0, 10.0) <= 0.0
    doubled = list(itertools.accumulate([0.025] * 400, initial=now))
    assert _most_over(doubled, doubled, 20.0, 10.0) > 150.0
