"""Limit on the traffic of one VM to instances of other failure domains."""


class TrafficLimit:
    """Token bucket of bytes that holds the traffic of ``WINDOW_S``.

    Traffic is counted after it was caused, because answers are only known then; a large one delays the next.

    Args:
        bytes_per_s: Limit in bytes per second; 0 is no limit.
        now: Clock reading, in seconds.
    """

    WINDOW_S = 1.0
    """Time whose traffic may be sent at once: a wave of demand is limited, a single answer is not."""

    def __init__(self, bytes_per_s: float, now: float):
        self._bytes_per_s = bytes_per_s
        self._available = bytes_per_s * self.WINDOW_S
        self._updated_at = now

    def allows(self, now: float) -> bool:
        """Return whether more may be sent now."""
        return not self._bytes_per_s or self._refill(now) > 0.0

    def spend(self, count: int, now: float) -> None:
        """Record a number of bytes that were sent or received."""
        if self._bytes_per_s:
            self._available = self._refill(now) - count

    def _refill(self, now: float) -> float:
        earned = max(0.0, now - self._updated_at) * self._bytes_per_s
        self._available = min(self._available + earned, self._bytes_per_s * self.WINDOW_S)
        self._updated_at = now
        return self._available
