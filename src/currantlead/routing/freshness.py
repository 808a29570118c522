"""Estimate the log positions that instances have applied.

The estimate is used only to choose an instance; the instance itself checks the position of each read.
"""

import dataclasses

from currantlead import messages

RETRY_BEHIND_AFTER_S = 0.02
"""Interval after which a replica that was behind is tried again; limits wasted round trips during a short lag."""


@dataclasses.dataclass(slots=True)
class _Observation:
    position: messages.Position
    observed_at: float
    refused_at: float | None


class PositionEstimates:
    """Track the newest position that each instance has reported."""

    def __init__(self) -> None:
        self._observations: dict[str, _Observation] = {}

    def record_applied(self, instance: str, position: messages.Position, now: float) -> None:
        """Record that an instance answered a read or write at a position.

        Args:
            instance: Name of the instance.
            position: Position that the instance had applied.
            now: Clock reading in seconds.
        """
        known = self._observations.get(instance)
        newest = position if known is None else max(known.position, position)
        # The read may have required an older position than the refused one, so this does not reset the retry interval.
        self._observations[instance] = _Observation(newest, now, known.refused_at if known is not None else None)

    def record_behind(self, instance: str, position: messages.Position, now: float) -> None:
        """Record that an instance refused a read because it had not applied the required position.

        Args:
            instance: Name of the instance.
            position: Position that the instance had applied.
            now: Clock reading in seconds.
        """
        # Replaces a higher known position too: a restarted instance may have lost records.
        self._observations[instance] = _Observation(position, now, refused_at=now)

    def observations(self) -> list[tuple[str, messages.Position, float]]:
        """Return the name, newest position and time of the last observation of each known instance."""
        return [(name, observed.position, observed.observed_at) for name, observed in self._observations.items()]

    def may_serve(self, instance: str, after: messages.Position | None, now: float) -> bool:
        """Return whether an instance may be able to serve a read.

        Args:
            instance: Name of the instance.
            after: Position that the instance must have applied, or None.
            now: Clock reading in seconds.

        Returns:
            False if the known position is too old and the instance refused a read less than ``RETRY_BEHIND_AFTER_S``
            ago.
        """
        known = self._observations.get(instance)
        if known is None or after is None or known.position >= after:
            return True
        return known.refused_at is None or now - known.refused_at >= RETRY_BEHIND_AFTER_S
