"""How long a statement waits for an instance before it is refused as not run; all functions are pure.

A refusal leaves the caller time for another attempt, so most waits are short. A primary that is being replaced is the
exception: the caller's few attempts would all fail before the replacement, and a later answer is worth more than none.
"""

import dataclasses

WAIT_SHARE = 0.24
"""Share of an operation's response-time objective for which it may wait for an instance. A refusal after more than a
quarter of the objective would leave the caller too little time for another attempt."""
BUSY_WAIT_SHARE = 0.6
"""The same for a statement that an instance refused as busy: retrying here costs less than a retry by the caller."""
FAILOVER_WAIT_SHARE = 0.45
"""Share of the statement's time limit for which it may wait for a new primary. More than half of the time is left to
run there, or for the caller to try another VM."""
FAILOVER_RETRY_MS = 300
"""Retry delay suggested to callers that have waited for a new primary in vain, in milliseconds."""


@dataclasses.dataclass(slots=True)
class Wait:
    """Limits of the waits of one statement.

    Attributes:
        began_at: Clock reading at which the first attempt began, in seconds.
        objective_s: Response-time objective of the operation, or the statement's time limit if that is shorter.
        timeout_s: Time limit of the statement.
        share: Share of the objective for which it may wait.
        until: Clock reading until which it may wait for an instance that accepts work.
    """

    began_at: float
    objective_s: float
    timeout_s: float
    share: float = WAIT_SHARE
    until: float = 0.0

    def __post_init__(self) -> None:
        self.until = self.began_at + self.objective_s * self.share

    def extend_for_busy_instance(self) -> None:
        """Allow a longer wait after an instance refused the statement as busy."""
        self.until = max(self.until, self.began_at + self.objective_s * BUSY_WAIT_SHARE)

    @property
    def objective_until(self) -> float:
        """Return the clock reading until which other queues may still serve the statement in time."""
        return max(self.until, self.began_at + self.objective_s)

    def failover_until(self) -> float:
        """Return the clock reading until which the statement may wait for a new primary."""
        return max(self.until, self.began_at + self.timeout_s * FAILOVER_WAIT_SHARE)

    def resume(self, now: float) -> None:
        """Allow a usual wait at a new primary, or at a replica that has caught up, within the time limit."""
        self.until = max(self.until, min(now + self.objective_s * WAIT_SHARE, self.began_at + self.timeout_s))
