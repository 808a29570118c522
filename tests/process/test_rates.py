"""Test that an organisation that sends five times its rate stays within it during failures."""

import asyncio
import itertools
import random
import time

import pytest

from tests.process import harness
from tools import load

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes-1"), pytest.mark.timeout(120)]
RATE, BURST = 20.0, 40.0
LOAD_S = 24.0


def _max_excess(started, ended, rate, burst):
    """Return the largest excess over ``rate * t + burst`` of requests certainly admitted within an interval of t.

    A request was admitted between its sending and its response, so it counts only in intervals that contain both.
    """
    max_excess = float("-inf")
    for interval_start in sorted(set(started)):
        ends_inside = sorted(end for start, end in zip(started, ended, strict=True) if start >= interval_start)
        for count, interval_end in enumerate(ends_inside, start=1):
            max_excess = max(max_excess, count - (rate * (interval_end - interval_start) + burst))
    return max_excess


async def _inject_failures(running):
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
    """Guards against excess admissions (P7).

    Owners are killed, replaced, or frozen beyond the end of their lease, and the platform is down for 15 s.
    """
    with harness.deploy() as running:
        text = f"set organisation {harness.SMALL_ORGANISATION} rate {RATE:g} burst {BURST:g}"
        harness.operate(running, text)
        await asyncio.sleep(2.0)
        async with harness.http_client() as http:
            rng = random.Random(5)
            schedule = []
            for number, at in enumerate(load.poisson_arrivals(5 * RATE, LOAD_S, 5)):
                session = harness.roaming_session(
                    running, http, harness.SMALL_ORGANISATION, seed=rng.randrange(1 << 30)
                )
                schedule.append((at, lambda s=session, n=number: s.send(harness.read(f"farm-{n}"))))
            results, _ = await asyncio.gather(load.run_open_loop(schedule), _inject_failures(running))
    admitted = [result for result in results if _may_have_been_admitted(result)]
    started = [result.at for result in admitted]
    excess = _max_excess(started, [result.at + result.latency_s for result in admitted], RATE, BURST)
    refused = sum(result.reason == "rate" or "rate" in result.reason for result in results)
    allowed = RATE * LOAD_S + BURST
    print(
        f"sent {len(results)}, admitted {len(admitted)} (limit {allowed:.0f}), refused {refused}, excess {excess:.1f}"
    )
    assert excess <= 0.0
    assert len(admitted) >= 0.5 * RATE * LOAD_S


def _may_have_been_admitted(result):
    return result.verdict in (load.COMPLETED, load.MAY_HAVE_RUN)


def test_excess_detects_only_rate_above_limit():
    """Guards the check itself: it must detect a doubled rate and accept a rate within the limit."""
    now = time.monotonic()
    allowed_times = list(itertools.accumulate([0.05] * 200, initial=now))
    assert _max_excess(allowed_times, allowed_times, 20.0, 10.0) <= 0.0
    doubled_times = list(itertools.accumulate([0.025] * 400, initial=now))
    assert _max_excess(doubled_times, doubled_times, 20.0, 10.0) > 150.0
