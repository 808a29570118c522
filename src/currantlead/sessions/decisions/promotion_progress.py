"""Progress of a promotion as one VM knows it, and the time until the new primary is expected.

Only methods change the data; they take a clock reading.
"""

import dataclasses
import enum

INITIAL_DURATION_S = 1.0
"""Assumed time from the claim of a promotion until the new primary serves: 0.1 to 0.3 s for the pause of the replicas,
and up to 1 s until the platform has carried it out. Measured durations replace it."""
DETECTION_S = 0.8
"""Time from the first failure of a primary until its promotion is claimed: 0.4 s of silence, a check every 0.1 s, and a
probe of the primary."""
SMOOTHING = 0.3
"""Weight of the latest measurement in the moving average of the duration."""
MAX_DURATION_S = 5.0
"""Age from which a claim no longer counts, because its promotion has failed or its end was not seen."""
OVERDUE_SHARE = 0.25
"""Share of the usual duration that is still expected of a promotion that has taken longer than usual."""


class Stage(enum.Enum):
    """Stage of a promotion."""

    NOT_BEGUN = "not begun"
    """No VM is known to have claimed it."""
    CLAIMED = "claimed"
    """A VM has claimed it."""
    PAUSED = "paused"
    """The replicas receive nothing more."""
    REQUESTED = "requested"
    """The platform has been asked for it."""


_REMAINING_SHARE = {Stage.CLAIMED: 1.0, Stage.PAUSED: 0.8, Stage.REQUESTED: 0.65}
"""Share of the whole duration that is left at the beginning of each stage."""


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of the promotions of one service.

    Attributes:
        stage: Latest known stage.
        stage_since: Clock reading at which it was reached.
        claimed_at: Clock reading at which the promotion was claimed.
        duration_s: Moving average of the time from the claim until the new primary serves, in seconds.
    """

    stage: Stage = Stage.NOT_BEGUN
    stage_since: float = 0.0
    claimed_at: float = 0.0
    duration_s: float = INITIAL_DURATION_S

    def advance(self, stage: Stage, now: float) -> None:
        """Record that a stage was reached."""
        if stage is Stage.CLAIMED:
            self.claimed_at = now
        self.stage, self.stage_since = stage, now

    def end(self, now: float) -> None:
        """Record that the primary serves; a promotion that was claimed before is taken to have ended now."""
        if self.current_stage(now) is not Stage.NOT_BEGUN:
            self.duration_s += SMOOTHING * (now - self.claimed_at - self.duration_s)
        self.stage = Stage.NOT_BEGUN

    def current_stage(self, now: float) -> Stage:
        """Return the stage; a claim older than ``MAX_DURATION_S`` does not count."""
        return Stage.NOT_BEGUN if now - self.claimed_at > MAX_DURATION_S else self.stage

    def remaining_s(self, now: float, failing_s: float) -> float:
        """Return the time until the new primary is expected, in seconds.

        Args:
            now: Clock reading, in seconds.
            failing_s: Seconds since the first failure of the present primary, or since it is missing.
        """
        stage = self.current_stage(now)
        if stage is Stage.NOT_BEGUN:
            return max(0.0, DETECTION_S - failing_s) + self.duration_s
        left_s = self.duration_s * _REMAINING_SHARE[stage] - (now - self.stage_since)
        return max(left_s, self.duration_s * OVERDUE_SHARE)
