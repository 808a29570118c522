"""Upper bound of the clock of a group's primary, for reads with a stated maximum age."""

import asyncio
import time

from currantlead.connections import endpoint
from currantlead.control import model

# Clocks may drift by 1% against each other.
DRIFT = 0.01
SAMPLE_S = 1.0


class PrimaryClock:
    """Keep the last reading of the primary's clock in one term."""

    def __init__(self, group: model.Group, primary: endpoint.Endpoint):
        self.term = group.term
        self._primary = primary
        self._seen: tuple[float, float] | None = None
        self._sampling: asyncio.Task[None] | None = None

    async def bound(self, *, timeout_s: float) -> float | None:
        """Return a reading that the primary's clock has not passed, or None if it was never read."""
        now = time.monotonic()
        if self._seen is None or now - self._seen[1] > SAMPLE_S:
            self._start_sample(timeout_s)
        if self._seen is None and self._sampling is not None:
            await asyncio.wait({self._sampling}, timeout=timeout_s)
        if self._seen is None:
            return None
        seen, asked_at = self._seen
        return seen + (time.monotonic() - asked_at) * (1 + DRIFT)

    def stop(self) -> None:
        """Cancel a question under way."""
        if self._sampling is not None:
            self._sampling.cancel()

    def _start_sample(self, timeout_s: float) -> None:
        if self._sampling is None or self._sampling.done():
            self._sampling = asyncio.get_running_loop().create_task(self._sample(timeout_s))

    async def _sample(self, timeout_s: float) -> None:
        outcome = await self._primary.status(timeout_s=min(timeout_s, SAMPLE_S))
        if outcome.is_ok() and outcome.ok_value.term == self.term and outcome.ok_value.role == "primary":
            self._seen = (outcome.ok_value.now, outcome.ok_value.asked_at)
