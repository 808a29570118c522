"""Preference among the instances that may run a read; all functions are pure."""

import dataclasses
import math
import random
from collections.abc import Sequence

ROUND_TRIPS_S = (0.0004, 0.001, 0.024)
"""Round trips within a failure domain, within a region and between regions, in seconds, until they are measured."""
PRIMARY_COST_S = 0.001
"""Cost of a read at a primary: less than that of leaving the domain, so that it only decides between instances at the
same distance, where the replica leaves the primary's capacity to writes."""
PRIMARY_RESERVE_SHARE = 0.25
"""Share of a primary's slots that reads count as occupied, so that they expect a wait there before writes do."""
BASE_SPREAD_S = 0.03
"""Difference of the expected completions at which all work would leave if reports had no age: the longest work of one
statement, below which a queue is shorter than one statement and the difference may be chance."""
AGE_SPREAD = 1.0
"""Seconds added to this difference for each second of the report's age: while other VMs stop or start to send work, a
queue shrinks or grows by about that much."""
GAIN_PER_S = 5.0
"""Growth of the share that leaves, per second, while the other instance is earlier by the whole spread: the share
follows a wave of demand with a period of 15 s."""
RETURN_S = 0.5
"""Time constant in which the share returns while no other instance is earlier: two intervals of the reports, so that
one outdated report does not bring all work back."""
MAX_STEP_S = 0.25
"""Longest time for which one decision lets the share grow: the interval of the reports. It returns for all of the time,
so that a VM without work for a while does not start with an old share."""
MIN_HOME_SHARE = 0.02
"""Share of the work that stays in any case, which shows when a slow instance has recovered."""
MIN_LEAVING_SHARE = 0.01
"""Share below which no work leaves without a current reason."""
MAX_UNKNOWN_SHARE = 0.05
"""Maximum share of the work for an instance without a report; the first response shows its load."""
UNKNOWN_AGE_S = 0.5
"""Age that is assumed for the load of an instance without a report: the middle of the ages of reports that expire."""
DISTANCES = ("domain", "region", "other_region")
"""Names of the distances of instances, in metrics and log lines."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may run a read.

    Attributes:
        id: Identity of the instance.
        distance: 0 in the same failure domain, 1 in the same region, 2 elsewhere.
        primary: Whether it is taken for the primary, whose capacity writes need.
        suspect: Whether it recently did not answer or refused connections.
        lagging: Whether it recently lacked the position that the read needs.
        saturated: Whether the statement would have to wait for a connection.
        free_connection: Whether a connection of the caller's organisation is free.
        waiting: Number of statements that already wait for a connection.
        ejected: Whether its answers are worse than those of its peers.
    """

    id: str
    distance: int
    primary: bool
    suspect: bool
    lagging: bool
    saturated: bool
    free_connection: bool
    waiting: int
    ejected: bool = False


def distance(own_domain: str, own_region: str, domain: str, region: str) -> int:
    """Return the distance of an instance: 0 in the same failure domain, 1 in the same region, 2 elsewhere."""
    if domain == own_domain:
        return 0
    return 1 if region == own_region else 2


def sort_candidates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates, best first.

    Near instances are preferred, because traffic between regions is expensive and slow. An instance whose connections
    are all in use comes after a more distant one that can serve at once.
    """
    return sorted(
        candidates,
        key=lambda candidate: (
            candidate.suspect,
            candidate.ejected,
            candidate.lagging,
            candidate.saturated,
            candidate.distance,
            candidate.primary,
            candidate.waiting,
            not candidate.free_connection,
            candidate.id,
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a statement has to expect at a candidate, all in seconds.

    Attributes:
        round_trip_s: Round trip over the network to the connection.
        wait_s: Wait until it runs.
        service_s: Time that the instance takes; 0 if it is unknown.
        age_s: Age of the report that this follows from.
    """

    round_trip_s: float
    wait_s: float
    service_s: float
    age_s: float

    @property
    def completion_s(self) -> float:
        """Return the expected time until the answer arrives."""
        return self.round_trip_s + self.wait_s + self.service_s


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A candidate that the rules allow, with its expected completion.

    Attributes:
        id: Identity of the instance.
        leave_s: Cost of sending work there, in seconds; candidates with the lowest cost are preferred.
        estimate: What a statement has to expect there, or None without a recent report.
    """

    id: str
    leave_s: float
    estimate: Estimate | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingShare:
    """Share of the work that leaves the preferred candidates, as of the last decision.

    Attributes:
        share: The share.
        updated_at: Clock reading of the decision, in seconds.
    """

    share: float = 0.0
    updated_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Chosen candidate.

    Attributes:
        id: Identity of the instance.
        reason: ``unreported``: no report about the preferred candidates, so they are sorted as without reports;
            ``nearest``: one of those with the lowest cost of leaving; ``earlier``: another one completes earlier.
        completion_s: Expected completion with the cost of leaving, in seconds, or None without a report.
        share: The share that leaves, for the next decision.
    """

    id: str
    reason: str
    completion_s: float | None
    share: LeavingShare


def choose(options: Sequence[Option], share: LeavingShare, now: float, rng: random.Random) -> Choice:
    """Choose a candidate by expected completion.

    Work stays with the candidates of the lowest cost of leaving while no other is earlier. While one is, a share of the
    work leaves that grows with the difference and with time, until the completions are equal. Each statement draws
    whether it leaves, so that VMs which see the same reports do not all move.

    Args:
        options: The candidates in the order that applies without reports; at least one.
        share: The share that the last decision for these candidates returned.
        now: Clock reading, in seconds.
        rng: Source of randomness.
    """
    situation = _assess(options)
    if situation is None:
        return Choice(options[0].id, "unreported", None, share)
    preferred, others, typical = situation
    stay = preferred[0]
    if len(preferred) > 1:
        (stay,) = rng.choices(preferred, _balance(preferred, typical))
    stay_s = _completion_s(stay, typical)
    if not others:
        return Choice(stay.id, "nearest", stay_s, share)
    gains = _gains(stay, others, typical)
    reported = [gain for gain, option in zip(gains, others, strict=True) if option.estimate is not None]
    share = advance(share, max(reported, default=0.0), now)
    leaving = _divide(others, gains, share.share)
    if rng.random() >= min(sum(leaving), 1.0 - MIN_HOME_SHARE):
        return Choice(stay.id, "nearest", stay_s, share)
    (other,) = rng.choices(others, leaving)
    return Choice(other.id, "earlier", _completion_s(other, typical), share)


def probabilities(options: Sequence[Option], share: LeavingShare) -> dict[str, float] | None:
    """Return the probability with which ``choose`` takes each candidate, or None without a report.

    Args:
        options: The candidates.
        share: The share that the last decision for these candidates returned.
    """
    situation = _assess(options)
    if situation is None:
        return None
    preferred, others, typical = situation
    weights = _balance(preferred, typical)
    result = dict.fromkeys((option.id for option in options), 0.0)
    for stay, weight in zip(preferred, weights, strict=True):
        stay_share = weight / sum(weights)
        leaving = _divide(others, _gains(stay, others, typical), share.share) if others else []
        total = min(sum(leaving), 1.0 - MIN_HOME_SHARE)
        result[stay.id] += stay_share * (1.0 - total)
        for other, part in zip(others, leaving, strict=True):
            result[other.id] += stay_share * total * part / sum(leaving) if part else 0.0
    return result


def _assess(options: Sequence[Option]) -> tuple[list[Option], list[Option], Estimate] | None:
    """Return the preferred candidates, the others, and the estimate that stands for a missing one.

    Returns None if none of the preferred candidates has a report.
    """
    lowest_s = min(option.leave_s for option in options)
    preferred = [option for option in options if option.leave_s == lowest_s]
    known = [option.estimate for option in preferred if option.estimate is not None]
    if not known:
        return None
    services = [estimate.service_s for estimate in known if estimate.service_s > 0.0]
    typical = Estimate(
        round_trip_s=sum(estimate.round_trip_s for estimate in known) / len(known),
        wait_s=0.0,
        service_s=sum(services) / len(services) if services else 0.0,
        age_s=UNKNOWN_AGE_S,
    )
    return preferred, [option for option in options if option.leave_s != lowest_s], typical


def _gains(stay: Option, others: Sequence[Option], typical: Estimate) -> list[float]:
    """Return how much earlier others complete, as shares of the difference at which all work leaves."""
    stay_s = _completion_s(stay, typical)
    return [(stay_s - _completion_s(option, typical)) / _spread_s([stay, option], typical) for option in others]


def _divide(others: Sequence[Option], gains: Sequence[float], share: float) -> list[float]:
    """Return the share of the work for each candidate that is not preferred, in proportion to the gain.

    Args:
        others: The candidates.
        gains: Differences of the expected completions as shares of the difference at which all work leaves.
        share: Share that leaves as a result of earlier differences.
    """
    reported = [gain for gain, option in zip(gains, others, strict=True) if option.estimate is not None]
    largest = max(reported, default=0.0)
    kept = share if share >= MIN_LEAVING_SHARE else 0.0
    positive = sum(gain for gain in reported if gain > 0.0)
    leaving = []
    for option, gain in zip(others, gains, strict=True):
        if option.estimate is None:
            leaving.append(min(MAX_UNKNOWN_SHARE, max(0.0, gain)))
        elif largest > 0.0:
            leaving.append((min(1.0, largest) + kept) * max(0.0, gain) / positive)
        else:
            leaving.append(kept if gain == largest else 0.0)
    return leaving


def _balance(options: Sequence[Option], typical: Estimate) -> list[float]:
    """Return the weights of candidates with the same cost; the earlier ones get more work."""
    completions = [_completion_s(option, typical) for option in options]
    spread_s = _spread_s(options, typical)
    earliest_s = min(completions)
    return [max(MIN_HOME_SHARE, 1.0 - (completion - earliest_s) / spread_s) for completion in completions]


def _completion_s(option: Option, typical: Estimate) -> float:
    """Return the expected completion of a candidate with the cost of leaving.

    Without a report it is assumed to be idle and otherwise like the preferred ones, so that a share of the work finds
    out; its round trip is then contained in the cost of leaving.
    """
    estimate = option.estimate or typical
    return option.leave_s + estimate.round_trip_s + estimate.wait_s + (estimate.service_s or typical.service_s)


def _spread_s(options: Sequence[Option], typical: Estimate) -> float:
    return BASE_SPREAD_S + AGE_SPREAD * max((option.estimate or typical).age_s for option in options)


def advance(share: LeavingShare, gain: float, now: float) -> LeavingShare:
    """Return the share after the time since the last decision; a gain above 0 lets it grow, any other one return."""
    elapsed_s = max(0.0, now - share.updated_at)
    if gain > 0.0:
        step_s = min(elapsed_s, MAX_STEP_S)
        return LeavingShare(min(1.0, share.share + GAIN_PER_S * step_s * min(1.0, gain)), now)
    return LeavingShare(share.share * math.exp(-elapsed_s / RETURN_S), now)
