"""Ejection of instances whose answers are worse than those of their peers; all decisions are pure.

An instance that fails or delays statements may look healthy to every check but its callers'. Services have three
instances, so the median of the peers is weak: an answer time counts as long only if it is long for the instance's own
past and for its peers, and a share of errors only if the peers have none of it.
"""

import dataclasses
import enum
import math
import statistics
from collections.abc import Mapping, Sequence

HALF_LIFE_S = 1.0
"""Time after which evidence has half of its weight: at 40 answers a second, an instance that begins to fail 45% of its
statements is above ``ERROR_SHARE`` after 1.2 s."""
MIN_ANSWERS = 8
"""Number of answers, weighted by age, from which an instance is judged."""
MIN_TIMES = 5
"""Number of answer times, weighted by age, from which their mean counts."""
MIN_ERRORS = 4
"""Number of errors, weighted by age, from which an instance is ejected: reset connections alone are fewer."""
ERROR_SHARE = 0.25
"""Share of errors from which an instance is ejected. A failed read runs once more elsewhere, so that callers see few of
the errors below it; above it, the second attempts cost more than the capacity of the instance is worth."""
PEER_FACTOR = 3.0
"""Factor by which errors or answer times must exceed those of the peers. Statements that fail everywhere and loads that
slow all instances down eject none; an instance that is five times slower is beyond it."""
MIN_EXCESS_S = 0.02
"""Time by which answers must be later than usual, in seconds: 5% of the shortest objective of callers, 0.4 s."""
PAST_TIME_S = 30.0
"""Time constant of an instance's usual answer time, which forgets the day's changes of load but not a fault."""
EJECTION_S = 2.0
"""Duration of a first ejection, in seconds; it doubles with each further one."""
MAX_EJECTION_S = 16.0
"""Longest duration of an ejection: an instance that has been repaired is missing for no longer."""
FORGIVE_S = 30.0
"""Time without an ejection after which the next one is a first one again."""
TRIAL_ANSWERS = 8
"""Number of answers of a trial after which the instance returns: with errors in 45% of them, less than one trial in a
hundred has none."""
TRIAL_ERRORS = 2
"""Number of errors of a trial after which the instance is ejected again."""
MAX_TRIAL_S = 10.0
"""Longest duration of a trial; an instance that gets too few statements for ``TRIAL_ANSWERS`` returns after it."""


class Phase(enum.Enum):
    """Phase of an ejection."""

    EJECTED = "ejected"
    """Other instances are preferred."""
    TRIAL = "trial"
    """A few statements show whether it may return."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance of a service.

    Attributes:
        id: Identity of the instance.
        primary: Whether it is the primary, which is never ejected: writes have no other place to go.
        available: Whether it may get reads at all.
    """

    id: str
    primary: bool
    available: bool


@dataclasses.dataclass(slots=True)
class Evidence:
    """What the answers of an instance have shown, weighted by age.

    Attributes:
        answers: Number of answers, including errors.
        errors: Number of errors: failed statements, silence and refused connections.
        timed: Number of answers whose time is known.
        time_s: Sum of their times, in seconds.
        past_s: Usual answer time, in seconds, or None if it is unknown.
        updated_at: Clock reading of the last weighting, in seconds.
    """

    answers: float = 0.0
    errors: float = 0.0
    timed: float = 0.0
    time_s: float = 0.0
    past_s: float | None = None
    updated_at: float | None = None

    @property
    def mean_s(self) -> float | None:
        """Return the mean answer time, or None if too few times are known."""
        return self.time_s / self.timed if self.timed >= MIN_TIMES else None

    @property
    def growth(self) -> float | None:
        """Return the ratio of the mean answer time to the usual one, or None if one is unknown."""
        return self.mean_s / self.past_s if self.mean_s is not None and self.past_s else None

    def age(self, now: float, *, is_out: bool) -> None:
        """Reduce the weight of the evidence by its age, and learn the usual answer time unless the instance is out."""
        elapsed_s = 0.0 if self.updated_at is None else max(0.0, now - self.updated_at)
        self.updated_at = now
        if is_out:
            return
        if self.mean_s is not None:
            weight = 1.0 if self.past_s is None else min(1.0, elapsed_s / PAST_TIME_S)
            self.past_s = (self.past_s or 0.0) + weight * (self.mean_s - (self.past_s or 0.0))
        self.scale(0.5 ** (elapsed_s / HALF_LIFE_S))

    def scale(self, factor: float) -> None:
        """Multiply the weight of the evidence."""
        self.answers *= factor
        self.errors *= factor
        self.timed *= factor
        self.time_s *= factor


@dataclasses.dataclass(slots=True)
class Ejection:
    """An instance that gets no statements or only trials.

    Attributes:
        phase: The phase.
        until: Clock reading at which the phase ends, in seconds.
        strikes: Number of ejections since the last time without one.
        reason: Why it was ejected.
    """

    phase: Phase
    until: float
    strikes: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of an instance's state.

    Attributes:
        id: Identity of the instance.
        phase: The new phase, or None if it has returned.
        reason: Why.
    """

    id: str
    phase: Phase | None
    reason: str


def max_out(count: int) -> int:
    """Return how many of ``count`` instances may be out, so that at least half of them stay."""
    return count // 2


def judge(subject: Evidence, peers: Sequence[Evidence], *, in_trial: bool = False) -> str | None:
    """Return why an instance is worse than its peers, or None if it is not.

    Args:
        subject: Evidence about the instance.
        peers: Evidence about the other instances of its service that are not out.
        in_trial: Whether the evidence is that of a trial, in which fewer errors suffice.
    """
    known = [peer for peer in peers if peer.answers >= MIN_ANSWERS]
    usual_share = statistics.median(peer.errors / peer.answers for peer in known) if known else 0.0
    min_answers, min_errors = (TRIAL_ERRORS, TRIAL_ERRORS) if in_trial else (MIN_ANSWERS, MIN_ERRORS)
    if subject.answers >= min_answers and subject.errors >= min_errors:
        share = subject.errors / subject.answers
        if share >= max(ERROR_SHARE, PEER_FACTOR * usual_share):
            return f"{share:.0%} of its answers are errors, {usual_share:.0%} of its peers'"
    mean_s = subject.mean_s
    if mean_s is None:
        return None
    growths = [peer.growth for peer in known if peer.growth is not None]
    usual_growth = statistics.median(growths) if growths else 1.0
    if (
        subject.growth is not None
        and subject.growth > PEER_FACTOR * max(1.0, usual_growth)
        and mean_s - subject.past_s > MIN_EXCESS_S
    ):
        return f"answers take {mean_s * 1000:.0f} ms, {subject.past_s * 1000:.0f} ms before"
    # After a start its past may have been slow, too. Replicas and primaries run different statements, so that only an
    # instance that is slower than all peers is worse.
    means_s = [peer.mean_s for peer in known if peer.mean_s is not None]
    if len(means_s) >= 2 and mean_s > PEER_FACTOR * max(means_s) and mean_s - max(means_s) > MIN_EXCESS_S:
        return f"answers take {mean_s * 1000:.0f} ms, at most {max(means_s) * 1000:.0f} ms at its peers"
    return None


class EjectionTable:
    """The instances that are out, and the evidence about all instances."""

    def __init__(self) -> None:
        self._evidence: dict[str, Evidence] = {}
        self._out: dict[str, Ejection] = {}
        self._strikes: dict[str, tuple[int, float]] = {}

    @property
    def out(self) -> Mapping[str, Ejection]:
        """Return the ejections by instance."""
        return self._out

    def add(self, instance_id: str, answers: float, errors: float, timed: float, time_s: float) -> None:
        """Add evidence about an instance; see ``Evidence``."""
        evidence = self._evidence.setdefault(instance_id, Evidence())
        evidence.answers += answers
        evidence.errors += errors
        evidence.timed += timed
        evidence.time_s += time_s

    def retain(self, instance_ids: set[str]) -> None:
        """Forget the instances that no longer exist."""
        for table in (self._evidence, self._out, self._strikes):
            for name in [name for name in table if name not in instance_ids]:
                del table[name]

    def replace_out(self, out: Mapping[str, Ejection], now: float) -> list[Change]:
        """Adopt the decisions of another VM that has more evidence; return the changes."""
        changes = [Change(name, None, "the relay decided so") for name in self._out if name not in out]
        for name, ejection in out.items():
            if name not in self._out or self._out[name].phase is not ejection.phase:
                changes.append(Change(name, ejection.phase, ejection.reason))
            self._strikes[name] = ejection.strikes, now
        self._out = dict(out)
        return changes

    def decide(self, peers: Sequence[Peer], now: float, *, judges: bool = True) -> list[Change]:
        """Decide which instances of a service are out; return the changes.

        Args:
            peers: All instances of the service.
            now: Clock reading, in seconds.
            judges: Whether to judge by the evidence, or only to keep the limits of the ejections.
        """
        changes = []
        for peer in peers:
            self._evidence.setdefault(peer.id, Evidence()).age(now, is_out=peer.id in self._out)
            if peer.id in self._out and peer.primary:
                changes.append(self._return(peer.id, "it is the primary", now))
        if judges:
            for peer in peers:
                if peer.id in self._out:
                    changes += self._advance(peer, peers, now)
        needed = len(peers) - max_out(len(peers))
        staying = sum(peer.available and peer.id not in self._out for peer in peers)
        for peer in sorted(
            peers, key=lambda peer: (self._out[peer.id].until if peer.id in self._out else 0.0, peer.id)
        ):
            if peer.id in self._out and peer.available and staying < needed:
                changes.append(self._return(peer.id, "too few other instances are left", now))
                staying += 1
        if not judges:
            return changes
        for _, instance_id, reason in sorted(self._find_worse(peers), reverse=True):
            if staying <= needed:
                break
            changes.append(self._eject(instance_id, reason, now))
            staying -= 1
        return changes

    def _find_worse(self, peers: Sequence[Peer]) -> list[tuple[float, str, str]]:
        """Return the instances that are worse than their peers, with their numbers of errors and the reasons."""
        worse = []
        for peer in peers:
            if not peer.primary and peer.available and peer.id not in self._out:
                reason = judge(self._evidence[peer.id], self._others(peer, peers))
                if reason is not None:
                    worse.append((self._evidence[peer.id].errors, peer.id, reason))
        return worse

    def _others(self, subject: Peer, peers: Sequence[Peer]) -> list[Evidence]:
        return [
            self._evidence[peer.id]
            for peer in peers
            if peer is not subject and peer.id not in self._out and peer.id in self._evidence
        ]

    def _advance(self, peer: Peer, peers: Sequence[Peer], now: float) -> list[Change]:
        """Advance an ejection to its trial, and a trial to its end."""
        ejection, evidence = self._out[peer.id], self._evidence[peer.id]
        if ejection.phase is Phase.EJECTED:
            if now < ejection.until:
                return []
            # Answers to what was sent before the ejection do not count in the trial.
            evidence.scale(0.0)
            self._out[peer.id] = dataclasses.replace(ejection, phase=Phase.TRIAL, until=now + MAX_TRIAL_S)
            return [Change(peer.id, Phase.TRIAL, "its ejection is over")]
        reason = judge(evidence, self._others(peer, peers), in_trial=True)
        if reason is not None:
            return [self._eject(peer.id, f"trial: {reason}", now)]
        if evidence.answers >= TRIAL_ANSWERS or now >= ejection.until:
            return [self._return(peer.id, f"trial: {evidence.answers:.0f} answers, {evidence.errors:.0f} errors", now)]
        return []

    def _eject(self, instance_id: str, reason: str, now: float) -> Change:
        strikes, ended_at = self._strikes.get(instance_id, (0, float("-inf")))
        strikes = strikes + 1 if now - ended_at < FORGIVE_S else 1
        duration_s = min(MAX_EJECTION_S, EJECTION_S * math.pow(2.0, min(strikes - 1, 8)))
        self._strikes[instance_id] = strikes, now + duration_s
        self._out[instance_id] = Ejection(Phase.EJECTED, now + duration_s, strikes, reason)
        self._evidence[instance_id].scale(0.0)
        return Change(instance_id, Phase.EJECTED, f"{reason}; for {duration_s:.0f} s")

    def _return(self, instance_id: str, reason: str, now: float) -> Change:
        ejection = self._out.pop(instance_id)
        self._strikes[instance_id] = ejection.strikes, now
        self._evidence.setdefault(instance_id, Evidence()).scale(0.0)
        return Change(instance_id, None, reason)
