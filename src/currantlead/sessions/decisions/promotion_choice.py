"""Which replica may be promoted without the loss of an acknowledged commit, and why none may be.

The functions are pure; ``failover.promotion`` gathers what they decide on. An acknowledged commit is on the primary and
on one replica at least. The replica that is promoted has it in one of these cases:

- It is as recent as the old primary, which leads no more.
- It is as recent as the latest commit that a caller was told of, by the reports of all VMs.
- It is the most recent of all replicas that may have acknowledged a commit, and all of these receive nothing more. An
  instance that has ended no longer counts once a commit that was sent after its end was acknowledged: the remaining
  replica that received this commit has all earlier ones.

A replica receives commits before its first entry is known, so the replicas that are known may not be all. If the old
primary has been demoted, it has every commit that such a replica may have acknowledged, and the third case is no proof.
"""

import dataclasses
from collections.abc import Sequence

from currantlead.sessions import model
from currantlead.sessions.decisions import acknowledgements

MIN_REPLICAS = 2
"""Minimum number of paused replicas for a promotion without the position of the old primary. One of two replicas is
synchronous, and either may be the one, so the latest commit may be on either."""
ACCOUNT_S = 10.0
"""Time before the departure of an instance, or before the old primary was demoted, from which the reports of VMs have
to reach back, unless a later commit was acknowledged. They are no proof if the primary was cut off from its other
replicas for longer, nobody has committed since, and a VM has started again."""


@dataclasses.dataclass(frozen=True, slots=True)
class PausedReplica:
    """A replica whose replication is paused.

    Attributes:
        instance: Identity of the replica.
        received: Position of the last commit that it has received.
        promotable: Whether it may become primary: it neither drains nor lies in an evacuated failure domain.
    """

    instance: str
    received: model.Position
    promotable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Departed:
    """An instance that is gone and whose log cannot be read.

    Attributes:
        instance: Identity of the instance.
        gone_at: Clock reading at which its entry was known to be gone, in seconds.
        ended_at: Clock reading at which its process was known to have ended, in seconds; None if it may still receive
            commits.
    """

    instance: str
    gone_at: float
    ended_at: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a VM knows before it promotes a replica.

    Attributes:
        paused: Replicas whose replication is paused, with their positions since.
        replicas: Number of replicas that may have acknowledged a commit. If some are not known to be paused, the old
            primary must lead no more.
        demoted: The old primary with its position, if it has confirmed that it leads no more, or None. Before anything
            is changed, its position at an earlier moment serves to explain what is missing.
        acknowledged: Bounds of the latest acknowledged commit that any VM has reported.
        reported_since: Clock reading since which all acknowledged commits are in the reports; infinite if too few VMs
            reported.
        departed: Instances that are gone.
        ordered: Instance of an earlier order that may still take effect, or empty.
        looked_at: Clock reading of the positions and reports, in seconds.
    """

    paused: Sequence[PausedReplica]
    replicas: int
    demoted: PausedReplica | None = None
    acknowledged: acknowledgements.Acknowledged = dataclasses.field(default_factory=acknowledgements.Acknowledged)
    reported_since: float = float("inf")
    departed: Sequence[Departed] = ()
    ordered: str = ""
    looked_at: float = 0.0

    @property
    def missing(self) -> int:
        """Return the number of replicas that are not known to be paused."""
        return max(0, self.replicas - len(self.paused))


def choose_replica(situation: Situation) -> "PausedReplica | str":
    """Return the instance to promote, or the reason why none may be promoted.

    The instance of an open order is preferred, because that order may take effect at any time.
    """
    paused = situation.paused
    if situation.demoted is None:
        if situation.missing:
            return f"{situation.missing} of {situation.replicas} replicas did not confirm the pause"
        if len(paused) < MIN_REPLICAS:
            return f"too few replicas for a promotion: {len(paused)} paused"
    latest = max((item.received for item in paused), default=acknowledgements.NO_POSITION)
    reason = explain_missing(situation, latest)
    if not reason:
        candidates = [item for item in paused if item.received == latest]
        for preferred in (
            [item for item in candidates if item.instance == situation.ordered],
            [item for item in candidates if item.promotable],
            # One that drains leads until others have its commits, which would leave with it otherwise.
            candidates if situation.demoted is None else [],
        ):
            if preferred:
                return min(preferred, key=lambda item: item.instance)
        reason = "every replica with the latest commit is draining or evacuated"
    if situation.demoted is None or situation.demoted.received < situation.acknowledged.at_least:
        return reason
    # All commits are on the old primary, and without it the service would have none.
    return situation.demoted


def explain_missing(situation: Situation, position: model.Position) -> str:
    """Return why a log that ends at a position may lack an acknowledged commit, or an empty string if it cannot.

    Args:
        situation: What is known; all replicas that can be reached end at the position or before.
        position: Position of the most recent replica.
    """
    acknowledged = situation.acknowledged
    if position < acknowledged.at_least:
        return f"callers were told of commits up to {acknowledged.at_least}, the replicas end at {position}"
    if situation.demoted is not None and position >= situation.demoted.received:
        return ""
    uncovered = [item for item in situation.departed if item.ended_at is None or acknowledged.sent_at <= item.ended_at]
    needed_since = min((item.gone_at for item in uncovered), default=situation.looked_at) - ACCOUNT_S
    if all(item.ended_at is None for item in uncovered):
        # Those that may only be cut off may have left long ago. Commits before the one that was sent last precede it in
        # the log; those after it are in the reports.
        needed_since = max(needed_since, acknowledged.sent_at)
    if position >= acknowledged.at_most and situation.reported_since <= needed_since:
        return ""
    if uncovered:
        return f"commits may be only on {', '.join(sorted(item.instance for item in uncovered))}, which left"
    if situation.missing:
        return f"commits may be only on {situation.missing} of {situation.replicas} replicas that did not answer"
    if situation.demoted is not None:
        return f"commits up to {situation.demoted.received} may be on a replica whose entry is not known yet"
    return ""


def may_lack_entries(situation: Situation) -> bool:
    """Return whether a replica whose entry is not known yet may have the latest acknowledged commit.

    It is known after the interval in which instances renew their entries. A demoted primary has its commits.
    """
    latest = max((item.received for item in situation.paused), default=acknowledgements.NO_POSITION)
    return situation.demoted is None and latest < situation.acknowledged.at_most
