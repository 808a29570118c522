"""Age of the configuration: the time since it was last confirmed to be the store's current version."""

from currantlead.sessions import settings

WATCH_STALENESS_MARGIN_S = 1.2
"""Subtracted from the revocation bound, because a pending watch may miss changes for about 1 s before the store drops
its history and closes the watch."""
NEW_SESSION_AGE_FRACTION = 0.6
"""Fraction of the revocation bound after which a VM that cannot reach the store accepts no new sessions."""


class ConfigurationAge:
    """Track when the configuration was last confirmed, and decide whether requests with a key may run."""

    def __init__(self, bounds: settings.Bounds):
        self._confirmed_at: float | None = None
        self.apply_bounds(bounds)

    def apply_bounds(self, bounds: settings.Bounds) -> None:
        """Apply the bound within which a revoked key must be rejected."""
        self._key_age_limit_s = bounds.revocation_s - WATCH_STALENESS_MARGIN_S
        self._new_session_age_limit_s = bounds.revocation_s * NEW_SESSION_AGE_FRACTION

    def confirm(self, at: float) -> None:
        """Record that the known configuration was the store's current version at a clock reading."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation; infinite before the first."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def allows_keys(self, now: float) -> bool:
        """Return whether requests with a key may run.

        The configuration must be recent enough that a key revoked since is rejected within the revocation bound.
        """
        return self.age_s(now) < self._key_age_limit_s

    def allows_new_sessions(self, now: float) -> bool:
        """Return whether this VM should receive new sessions."""
        return self.age_s(now) < self._new_session_age_limit_s
