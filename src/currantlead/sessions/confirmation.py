"""Age of the configuration: up to when this VM knows that no newer version was stored."""

from currantlead.sessions import settings

BLIND_S = 1.2
"""A waiting watch may miss changes for about a second before the store drops its history and cuts the watch."""
UNSOUND_SHARE = 0.6
"""Share of the revocation bound after which callers' work at a VM without a path to the store is no longer owed."""


class Confirmation:
    """Tell whether requests with a key may run."""

    def __init__(self, bounds: settings.Bounds):
        self._limit_s = bounds.revocation_s - BLIND_S
        self._ready_s = bounds.revocation_s * UNSOUND_SHARE
        self._confirmed_at: float | None = None

    def confirm(self, at: float) -> None:
        """Take note that the known configuration was the newest at a clock reading."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation; infinite before the first."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def allows_keys(self, now: float) -> bool:
        """Tell whether a key that was withdrawn would be known to be so within the bound."""
        return self.age_s(now) < self._limit_s

    def allows_new_sessions(self, now: float) -> bool:
        """Tell whether this VM should receive new sessions."""
        return self.age_s(now) < self._ready_s
