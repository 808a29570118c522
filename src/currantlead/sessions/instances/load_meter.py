"""Measures the statements on the connections to one instance, for load reports and for the limit of running ones."""

import dataclasses
import enum
from collections.abc import Hashable

SERVICE_SMOOTHING = 0.1
"""Weight of the latest answer in the moving average of the answer times: about ten answers count."""
WAIT_SMOOTHING = 0.1
"""The same for the waits of the statements that were started last."""


class Outcome(enum.Enum):
    """What the end of a statement shows about the instance."""

    ANSWERED = "answered"
    """It ran and was answered."""
    BUSY = "busy"
    """The instance refused it because its own queue is full."""
    SILENT = "silent"
    """The instance did not answer within the time limit."""
    OTHER = "other"
    """It was a commit, failed or was refused for another reason, or the connection was lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Statement that has ended.

    Attributes:
        kind: Kind of statement; answer times are compared only within a kind.
        started_at: Clock reading at which it was sent, in seconds.
        ended_at: Clock reading at which it ended, in seconds.
        outcome: What its end shows about the instance.
    """

    kind: Hashable
    started_at: float
    ended_at: float
    outcome: Outcome


class LoadMeter:
    """Counts running statements and smooths answer times and waits.

    Attributes:
        running: Number of running statements.
        service_s: Smoothed answer time, in seconds; 0 before the first answer.
        wait_s: Smoothed wait of the statements that were started last, in seconds.
    """

    __slots__ = ("running", "service_s", "wait_s")

    def __init__(self) -> None:
        self.running = 0
        self.service_s = 0.0
        self.wait_s = 0.0

    def record(self, statement: Statement) -> None:
        """Record the end of a statement."""
        self.running -= 1
        if statement.outcome is Outcome.ANSWERED or statement.outcome is Outcome.SILENT:
            duration_s = statement.ended_at - statement.started_at
            self.service_s += (SERVICE_SMOOTHING if self.service_s else 1.0) * (duration_s - self.service_s)

    def record_wait(self, wait_s: float) -> None:
        """Record how long a statement waited until it was started."""
        self.wait_s += WAIT_SMOOTHING * (wait_s - self.wait_s)
