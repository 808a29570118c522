"""Estimate which instances have applied a position.

The estimate only chooses an instance; the instance itself checks each read.
"""

import dataclasses

from currantlead import messages

PROBE_INTERVAL_S = 0.02
"""A replica that was behind is tried again after this long, so that a short lag costs few wasted round trips."""


@dataclasses.dataclass(slots=True)
class _Sighting:
    position: messages.Position
    seen_at: float
    behind_at: float | None


class Freshness:
    """Remember the newest position that each instance has shown."""

    def __init__(self) -> None:
        self._sightings: dict[str, _Sighting] = {}

    def record_applied(self, instance: str, position: messages.Position, now: float) -> None:
        """Note that an instance answered a read or write at a position.

        Args:
            instance: Name of the instance.
            position: Position that it had applied.
            now: Clock reading in seconds.
        """
        known = self._sightings.get(instance)
        newest = position if known is None else max(known.position, position)
        # An answer to a read that needed less does not show that the instance has caught up.
        self._sightings[instance] = _Sighting(newest, now, known.behind_at if known is not None else None)

    def record_behind(self, instance: str, position: messages.Position, now: float) -> None:
        """Note that an instance refused a read because it had only reached a position.

        Args:
            instance: Name of the instance.
            position: Position that it had applied.
            now: Clock reading in seconds.
        """
        # A restarted instance may have lost records, so a higher position of the past does not count.
        self._sightings[instance] = _Sighting(position, now, behind_at=now)

    def known(self) -> list[tuple[str, messages.Position, float]]:
        """Return instance, newest position and the clock reading of its last sighting."""
        return [(name, seen.position, seen.seen_at) for name, seen in self._sightings.items()]

    def may_serve(self, instance: str, after: messages.Position | None, now: float) -> bool:
        """Tell whether a read after a position is worth sending to an instance.

        Args:
            instance: Name of the instance.
            after: Position that the read needs, or None.
            now: Clock reading in seconds.

        Returns:
            False only if the instance was behind a moment ago.
        """
        known = self._sightings.get(instance)
        if known is None or after is None or known.position >= after:
            return True
        return known.behind_at is None or now - known.behind_at >= PROBE_INTERVAL_S
