"""Count refusals of an organisation that stays within its rate, in a simulation with a controlled clock."""

import asyncio
import random

import pytest

from tests import rates

BURST = 10
VMS = 8
WEIGHTS = [30, 20, 15, 12, 9, 7, 5, 2]
DURATION_S = 120.0


def arrivals(rate, seed):
    """Return (time, VM number) pairs that one token bucket with 90% of the rate and the full burst would all admit."""
    generator = random.Random(seed)
    now, tokens, requests = 0.0, float(BURST), []
    while now < DURATION_S:
        size = generator.randint(1, BURST)
        wait = max(0.0, (size - tokens) / (0.9 * rate))
        now, tokens = now + wait, min(BURST, tokens + wait * 0.9 * rate) - size
        spread_over_vms = generator.random() < 0.5
        vm = generator.choices(range(VMS), WEIGHTS)[0]
        for _ in range(size):
            requests.append((now, generator.choices(range(VMS), WEIGHTS)[0] if spread_over_vms else vm))
    return requests


def largest_excess(times, rate, burst):
    """Return by how much admissions exceed ``rate * t + burst`` in the worst interval."""
    excess, tokens, last_time = 0.0, 0.0, None
    for now in times:
        tokens = 1.0 if last_time is None else max(0.0, tokens - (now - last_time) * rate) + 1
        last_time = now
        excess = max(excess, tokens - burst)
    return excess


def count_static_refusals(requests, rate):
    """Return the number of refusals if each VM has a fixed, equal share of rate and burst."""
    tokens_by_vm, last_time, refused = [BURST / VMS] * VMS, [0.0] * VMS, 0
    for now, vm in requests:
        tokens_by_vm[vm] = min(BURST / VMS, tokens_by_vm[vm] + (now - last_time[vm]) * rate / VMS)
        last_time[vm] = now
        if tokens_by_vm[vm] >= 1:
            tokens_by_vm[vm] -= 1
        else:
            refused += 1
    return refused


def simulate(rate, seed):
    """Simulate the service; return the numbers of refusals and requests, the times of admissions and the frames."""
    requests = arrivals(rate, seed)

    async def scenario():
        services, network, *_ = rates.cluster(VMS, rate, BURST)
        for service in services.values():
            service.start()
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
def test_requests_within_the_rate_are_not_refused(rate):
    """Guards against refusals within the rate because unused tokens stay at a VM or in a domain."""
    refused, total, times, _ = simulate(rate, seed=1)
    assert refused <= 0.001 * total
    assert largest_excess(times, rate, BURST) <= 0
