"""Seeded arrivals of organisations and the rates that they would be admitted at; pure."""

import dataclasses
import random
from collections.abc import Iterable, Mapping, Sequence


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """Describe one request.

    Attributes:
        at: Seconds from the start.
        organisation: On whose behalf.
        vm: VM at which it arrives.
    """

    at: float
    organisation: str
    vm: str = ""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Hold a token bucket that starts full."""

    rate: float
    burst: float
    level: float | None = None
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one token at a time; times must not go back."""
        level = self.burst if self.level is None else self.level
        self.level = min(self.burst, level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1.0 - 1e-9:
            return False
        self.level -= 1.0
        return True


def bursts(rate: float, burst: float, seconds: float, seed: str, *, share: float = 0.9) -> list[float]:
    """Return arrival times in bursts of half the allowed burst, at a share of the rate.

    Args:
        rate: Allowed requests per second.
        burst: Allowed burst.
        seconds: Length.
        seed: Seed of the first burst's time.
        share: Share of the rate that is sent.

    Returns:
        Times in order; a bucket of this rate and burst admits all of them.
    """
    size = max(1, int(burst / 2))
    period = size / (rate * share)
    start = random.Random(seed).uniform(0.0, period)
    times = []
    while start < seconds:
        # A burst is spread over 20 ms, as from callers that act on the same event.
        times += [start + 0.02 * number / size for number in range(size)]
        start += period
    return [at for at in times if at < seconds]


def uneven_weights(vms: Sequence[str], *, ratio: float = 0.75) -> dict[str, float]:
    """Return the shares of callers by VM: each VM has ``ratio`` times the callers of the VM before it."""
    weights = [ratio**number for number in range(len(vms))]
    return {vm: weight / sum(weights) for vm, weight in zip(vms, weights, strict=True)}


def spread(times: Mapping[str, Iterable[float]], weights: Mapping[str, float], seed: int) -> list[Arrival]:
    """Give each request a VM.

    Args:
        times: Arrival times by organisation.
        weights: Share of callers by VM.
        seed: Seed of the draw.

    Returns:
        Arrivals in the order of time.
    """
    generator = random.Random(seed)
    vms, shares = list(weights), list(weights.values())
    flat = sorted((at, organisation) for organisation, each in times.items() for at in each)
    return [Arrival(at, organisation, generator.choices(vms, shares)[0]) for at, organisation in flat]


def admit_centrally(arrivals: Iterable[Arrival], limits: Mapping[str, tuple[float, float]]) -> list[bool]:
    """Tell for each arrival whether one bucket for each organisation admits it.

    Args:
        arrivals: Arrivals in order.
        limits: Rate and burst by organisation.

    Returns:
        One entry for each arrival.
    """
    buckets = {name: Bucket(*limit) for name, limit in limits.items()}
    return [buckets[arrival.organisation].take(arrival.at) for arrival in arrivals]


def admit_by_static_slices(
    arrivals: Iterable[Arrival], limits: Mapping[str, tuple[float, float]], vms: Sequence[str]
) -> list[bool]:
    """Tell for each arrival whether a fixed equal slice of rate and burst at its VM admits it.

    Args:
        arrivals: Arrivals in order.
        limits: Rate and burst by organisation.
        vms: VMs over which rate and burst are divided.

    Returns:
        One entry for each arrival.
    """
    count = len(vms)
    buckets = {(name, vm): Bucket(rate / count, burst / count) for name, (rate, burst) in limits.items() for vm in vms}
    return [buckets[(arrival.organisation, arrival.vm)].take(arrival.at) for arrival in arrivals]


def refused_share(admitted: Sequence[bool]) -> float:
    """Return the share of refused arrivals; 0 without arrivals."""
    return admitted.count(False) / len(admitted) if admitted else 0.0
