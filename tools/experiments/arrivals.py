"""Seeded arrival processes and reference rate limiters; no I/O."""

import dataclasses
import random
from collections.abc import Iterable, Mapping, Sequence


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """Arrival of one request.

    Attributes:
        at: Arrival time in seconds from the start.
        organisation: Organisation that sends the request.
        vm: VM that receives the request; empty if not assigned.
    """

    at: float
    organisation: str
    vm: str = ""


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket that starts full.

    Attributes:
        rate: Refill rate in tokens per second.
        burst: Capacity.
        tokens: Available tokens at the time ``at``, or None if the bucket was not used yet.
        at: Time of the last refill in seconds.
    """

    rate: float
    burst: float
    tokens: float | None = None
    at: float = 0.0

    def try_take(self, now: float) -> bool:
        """Take one token if one is available; ``now`` must not decrease between calls."""
        tokens = self.burst if self.tokens is None else self.tokens
        self.tokens = min(self.burst, tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True


def burst_arrivals(rate: float, burst: float, seconds: float, seed: str, *, share: float = 0.9) -> list[float]:
    """Return the arrival times of periodic bursts of half the burst limit.

    A token bucket of this rate and burst admits all of them while ``share`` is less than 1.

    Args:
        rate: Rate limit in requests per second.
        burst: Burst limit.
        seconds: Duration in seconds.
        seed: Seed for the time of the first burst.
        share: Mean rate of the arrivals as a share of the rate limit.

    Returns:
        Arrival times in seconds, ascending.
    """
    size = max(1, int(burst / 2))
    period = size / (rate * share)
    start = random.Random(seed).uniform(0.0, period)
    times = []
    while start < seconds:
        # The requests of a burst arrive within 20 ms, as from callers that react to the same event.
        times += [start + 0.02 * index / size for index in range(size)]
        start += period
    return [at for at in times if at < seconds]


def uneven_weights(vms: Sequence[str], *, ratio: float = 0.75) -> dict[str, float]:
    """Return the share of callers by VM; each VM has ``ratio`` times the callers of the previous one."""
    weights = [ratio**index for index in range(len(vms))]
    return {vm: weight / sum(weights) for vm, weight in zip(vms, weights, strict=True)}


def assign_vms(times: Mapping[str, Iterable[float]], weights: Mapping[str, float], seed: int) -> list[Arrival]:
    """Assign each arrival to a randomly chosen VM.

    Args:
        times: Arrival times by organisation.
        weights: Share of callers by VM.
        seed: Seed of the random generator.

    Returns:
        Arrivals in order of time.
    """
    rng = random.Random(seed)
    vms, shares = list(weights), list(weights.values())
    ordered = sorted((at, organisation) for organisation, arrival_times in times.items() for at in arrival_times)
    return [Arrival(at, organisation, rng.choices(vms, shares)[0]) for at, organisation in ordered]


def admit_centrally(arrivals: Iterable[Arrival], limits: Mapping[str, tuple[float, float]]) -> list[bool]:
    """Return for each arrival whether a central token bucket of its organisation admits it.

    Args:
        arrivals: Arrivals in order of time.
        limits: Rate and burst by organisation.

    Returns:
        Whether each arrival is admitted, in the order of the arrivals.
    """
    buckets = {name: TokenBucket(*limit) for name, limit in limits.items()}
    return [buckets[arrival.organisation].try_take(arrival.at) for arrival in arrivals]


def admit_by_static_slices(
    arrivals: Iterable[Arrival], limits: Mapping[str, tuple[float, float]], vms: Sequence[str]
) -> list[bool]:
    """Return for each arrival whether its VM admits it, if rate and burst are divided equally among the VMs.

    Args:
        arrivals: Arrivals in order of time.
        limits: Rate and burst by organisation.
        vms: VMs among which rate and burst are divided.

    Returns:
        Whether each arrival is admitted, in the order of the arrivals.
    """
    count = len(vms)
    buckets = {
        (name, vm): TokenBucket(rate / count, burst / count) for name, (rate, burst) in limits.items() for vm in vms
    }
    return [buckets[(arrival.organisation, arrival.vm)].try_take(arrival.at) for arrival in arrivals]


def refused_share(admitted: Sequence[bool]) -> float:
    """Return the share of refused arrivals, or 0 if there are none."""
    return admitted.count(False) / len(admitted) if admitted else 0.0
