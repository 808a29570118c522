"""What this VM knows about the duty of usage reports: its holder, and how far the windows have come."""

import dataclasses
from collections.abc import Mapping

from currantlead.sessions.shared import duty_claims


@dataclasses.dataclass(slots=True)
class DutyState:
    """Hold the state of the duty as this VM knows it.

    Attributes:
        claim: The latest known claim, or None.
        heard_at: Clock reading at which the claim's holder last replied, or the claim became known.
        holder_leaving: Whether the holder has said that it is shutting down.
        holder_obstructed_since: Clock reading since which the holder says that it gets no further, or None.
        generation: Generation number under which this VM holds the duty, or None.
        obstructed: Whether this VM holds the duty and gets no further.
        leaving: Whether this VM is shutting down.
        finalised: Last window that is known to be finalised or passed over; -1 if unknown.
        reported: Last window that is known to be reported or passed over, as all before it; -1 if unknown.
        earlier: Contents of windows that earlier holders have finalised and sent to this VM.
    """

    claim: duty_claims.Claim | None = None
    heard_at: float = float("-inf")
    holder_leaving: bool = False
    holder_obstructed_since: float | None = None
    generation: int | None = None
    obstructed: bool = False
    leaving: bool = False
    finalised: int = -1
    reported: int = -1
    earlier: dict[int, Mapping[str, int]] = dataclasses.field(default_factory=dict)

    @property
    def holder(self) -> str:
        """Return the VM that claimed the duty last, or an empty string."""
        return self.claim.holder if self.claim is not None else ""

    def follow(self, latest: duty_claims.Claim | None, now: float) -> None:
        """Take over the latest known claim; a new one starts the time in which its holder has to be heard."""
        if latest != self.claim:
            self.claim, self.heard_at = latest, now
            self.holder_leaving, self.holder_obstructed_since = False, None

    def hear(self, now: float, *, leaving: bool, obstructed: bool) -> None:
        """Record a reply of the holder."""
        self.heard_at, self.holder_leaving = now, leaving
        if not obstructed:
            self.holder_obstructed_since = None
        elif self.holder_obstructed_since is None:
            self.holder_obstructed_since = now

    def learn(self, finalised: int, reported: int, current: int) -> None:
        """Record how far the windows have come; numbers of windows that have not ended are ignored."""
        if finalised < current:
            self.finalised = max(self.finalised, finalised)
        if reported < current:
            self.reported = max(self.reported, reported)
