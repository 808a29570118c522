"""Measure refusals of an organisation that stays inside its rate, in a simulation with a controlled clock."""

import asyncio
import random

import pytest

from tests import rates

BURST = 10
VMS = 8
WEIGHTS = [30, 20, 15, 12, 9, 7, 5, 2]
DURATION_S = 120.0


def arrivals(rate, seed):
    """Generate (time, VM number) pairs that a bucket of 90% of the rate and the whole burst would all admit."""
    source = random.Random(seed)
    now, level, found = 0.0, float(BURST), []
    while now < DURATION_S:
        size = source.randint(1, BURST)
        wait = max(0.0, (size - level) / (0.9 * rate))
        now, level = now + wait, min(BURST, level + wait * 0.9 * rate) - size
        scattered = source.random() < 0.5
        vm = source.choices(range(VMS), WEIGHTS)[0]
        for _ in range(size):
            found.append((now, source.choices(range(VMS), WEIGHTS)[0] if scattered else vm))
    return found


def most_above(times, rate, burst):
    """Return by how much admissions exceed ``rate * t + burst`` in the worst interval."""
    excess, level, last = 0.0, 0.0, None
    for now in times:
        level = 1.0 if last is None else max(0.0, level - (now - last) * rate) + 1
        last = now
        excess = max(excess, level - burst)
    return excess


def static_refusals(requests, rate):
    """Count refusals when each VM has a fixed equal slice of rate and burst."""
    levels, last, refused = [BURST / VMS] * VMS, [0.0] * VMS, 0
    for now, vm in requests:
        levels[vm] = min(BURST / VMS, levels[vm] + (now - last[vm]) * rate / VMS)
        last[vm] = now
        if levels[vm] >= 1:
            levels[vm] -= 1
        else:
            refused += 1
    return refused


def simulate(rate, seed):
    """Return (refusals, requests, times of admissions, frames) of the service."""
    requests = arrivals(rate, seed)

    async def scenario():
        services, network, *_ = rates.cluster(VMS, rate, BURST)
        for one in services.values():
            one.start()
        await asyncio.sleep(3 + BURST / rate * 1.2)
        start, times, refused = asyncio.get_running_loop().time(), [], []

        async def send(vm):
            refusal = await services[f"vm{vm}"].admit("tenant")
            (times if refusal is None else refused).append(asyncio.get_running_loop().time())

        tasks = []
        for now, vm in requests:
            delay = start + now - asyncio.get_running_loop().time()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.ensure_future(send(vm)))
        await asyncio.gather(*tasks)
        return len(refused), times, network.sent

    refused, times, sent = rates.run(scenario())
    return refused, len(requests), times, sent


@pytest.mark.parametrize("rate", [2.0, 20.0, 100.0])
def test_in_rate_refusals(rate):
    """Guards against refusals inside the rate: tokens stranded at a VM or in a full domain."""
    refused, total, times, _ = simulate(rate, seed=1)
    assert refused <= 0.001 * total
    assert most_above(times, rate, BURST) <= 0
