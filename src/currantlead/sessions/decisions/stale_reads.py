"""Reads while the replicas are behind: which wait for a replica, and which use the primary; all functions are pure.

Reads whose replicas lack a position would otherwise all run at the primary, whose capacity writes need.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping

from currantlead.sessions import model
from currantlead.sessions.decisions import admission, load

MAX_WAITS = 2
"""Number of times that a statement waits for a replica. The second wait follows the position that the replica reported
after the first one; a third would rest on an estimate that was wrong twice."""
MIN_WAIT_S = 0.005
"""Minimum wait for a replica that should have caught up already: the length of a round trip and of a small commit."""
MAX_AGE_S = 2.0
"""Age from which an observation of a replica counts as unknown; lags change within seconds."""
STUCK_S = 1.0
"""Time without progress of a replica that is behind from which it counts as receiving nothing. Applying the log in
batches takes less."""
SERVICE_SHARE = 0.2
"""Share of the objective that is kept for running the read after the wait."""


@dataclasses.dataclass(slots=True)
class ReplicaProgress:
    """How far a replica is behind, from the positions in its answers.

    Attributes:
        position: Position of its log.
        advanced_at: Clock reading at which the position was first seen.
        measured_at: Clock reading of the latest answer, in seconds.
        lag_s: Age of the position at that time, in seconds.
    """

    position: model.Position
    advanced_at: float
    measured_at: float
    lag_s: float

    def record(self, position: model.Position, lag_s: float, now: float) -> None:
        """Record the position in an answer."""
        if position > self.position:
            self.position, self.advanced_at = position, now
        self.measured_at, self.lag_s = now, lag_s

    def ready_in_s(self, after: model.Position, reached_at: float, now: float) -> float | None:
        """Return the seconds until the replica has a position; infinite if it makes no progress, None if unknown.

        Args:
            after: The position.
            reached_at: Clock reading at which the primary had reached it.
            now: Clock reading, in seconds.
        """
        if self.position >= after:
            return MIN_WAIT_S
        if now - self.measured_at > MAX_AGE_S:
            return None
        if self.measured_at - self.advanced_at >= STUCK_S:
            return math.inf
        return max(MIN_WAIT_S, reached_at + self.lag_s - now)


class Place(enum.Enum):
    """Where a read runs."""

    REPLICA = "replica"
    """At a replica, after a wait until it has caught up."""
    PRIMARY = "primary"
    """At the primary, behind its writes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision about a read for which no replica is known to be recent enough.

    Attributes:
        place: Where it runs.
        instance: The replica, or empty.
        wait_s: Wait before it is sent, in seconds.
        reason: The reason, for the log.
    """

    place: Place
    instance: str
    wait_s: float
    reason: str


def decide(ready_in_s: Mapping[str, float | None], *, objective_s: float, elapsed_s: float, waits: int) -> Decision:
    """Decide where a read runs while all replicas are taken to be behind.

    Args:
        ready_in_s: For each replica, the seconds until it has the position; None if unknown.
        objective_s: Response-time objective of the operation, or the statement's time limit if that is shorter.
        elapsed_s: Seconds since the operation began.
        waits: Number of times that the read has waited for a replica.
    """
    if waits >= MAX_WAITS:
        return Decision(Place.PRIMARY, "", 0.0, "waited for replicas in vain")
    known = {name: seconds for name, seconds in ready_in_s.items() if seconds is not None}
    if not known:
        return Decision(Place.PRIMARY, "", 0.0, "progress of the replicas unknown")
    soonest = min(known, key=lambda name: (known[name], name))
    left_s = objective_s * (admission.IN_TIME_SHARE - SERVICE_SHARE) - elapsed_s
    if known[soonest] > left_s:
        return Decision(Place.PRIMARY, "", 0.0, "no replica catches up in time")
    return Decision(Place.REPLICA, soonest, known[soonest], "catches up in time")


def priority_at_primary(priority: int) -> int:
    """Return the priority of a read that runs at the primary only because the replicas are behind.

    Writes of the same route go first, because they have no other place to go.
    """
    return min(priority + 1, load.PRIORITIES - 1)
