"""Pace of the work after a VM has started, when all VMs may have started at once; all decisions are pure.

After a power loss, instances keep the connections of the former processes for 3 s and have room for few new ones, no VM
has a sample of a primary's position, and the callers of all VMs return at once. Almost every statement needs a new
connection of its organisation.
"""

import dataclasses

from currantlead.sessions.decisions import waiting

START_PHASE_S = 4.0
"""Time after the start of a VM in which it paces its work: instances drop the connections of dead VMs after 3 s, and
what has queued up until then takes a second."""
WAIT_SHARE = 0.75
"""Share of an operation's response-time objective for which it may wait for an instance in the start phase. Another
attempt finds the same queue and begins at its end, and a connection that is opened for a statement that has given up
wastes an execution slot."""
FULL_RETRY_S = 0.05
"""Time after which a pool tries again to open a connection after the instance refused one because it was full. Places
become free one by one, as other VMs replace connections and as those of dead VMs are dropped."""
FIRST_SAMPLE_WAIT_S = 0.1
"""Time for which the reads of a VM wait for the sample of the one that runs at the primary in the start phase:
opening a connection, the work and two round trips between regions take 0.07 s at a primary that is not busy."""
MIN_RETRY_MS = 250
"""Shortest retry delay that refused callers are told, in milliseconds. What waited before them has left the queue then,
because the shortest wait is 300 ms."""
RETRY_SPREAD_MS = 1000
"""Range over which the retry delays of refused callers are spread, in milliseconds, so that they return one by one. It
shrinks with the rest of the start phase."""
PEER_RETRY_S = 0.1
"""Interval at which VMs that do not respond are tried in the start phase: they are starting, too. Until a relay
responds, this VM has no configuration; until a holder responds, another VM takes an instance's places in its stead."""
_GOLDEN_RATIO = 0.618034
"""Fraction whose multiples are spread evenly over the range from 0 to 1, however many there are."""


@dataclasses.dataclass(slots=True)
class StartPhase:
    """The start phase of one VM.

    Attributes:
        began_at: Clock reading at which the VM started, in seconds.
        refused: Number of callers that were told when to return.
    """

    began_at: float
    refused: int = 0

    def is_active(self, now: float) -> bool:
        """Return whether the VM still paces its work."""
        return now - self.began_at < START_PHASE_S

    def wait_share(self, now: float) -> float:
        """Return the share of its objective for which a statement that begins now may wait for an instance."""
        return WAIT_SHARE if self.is_active(now) else waiting.WAIT_SHARE

    def retry_hint(self, now: float) -> str:
        """Return what the text of a refusal says about the return of its caller; empty after the start phase."""
        return f", retry-after-ms={self.next_retry_ms(now)}" if self.is_active(now) else ""

    def next_retry_ms(self, now: float) -> int:
        """Return after how many milliseconds the caller of a refused statement should return."""
        self.refused += 1
        remaining_share = max(0.0, 1.0 - (now - self.began_at) / START_PHASE_S)
        return MIN_RETRY_MS + int(RETRY_SPREAD_MS * remaining_share * (self.refused * _GOLDEN_RATIO % 1.0))
