"""Estimate an upper bound of the primary's clock, to limit the age of a replica's data in reads with a maximum age."""

import asyncio
import time

from currantlead.connections import endpoint
from currantlead.control import model

# Maximum difference between the rates of two clocks (1%).
MAX_CLOCK_DRIFT = 0.01
SAMPLE_INTERVAL_S = 1.0


class PrimaryClock:
    """Upper bound of the clock of a group's primary in one term, computed from the last reading of that clock."""

    def __init__(self, group: model.Group, primary: endpoint.Endpoint):
        self.term = group.term
        self._primary = primary
        self._reading: tuple[float, float] | None = None
        self._sample_task: asyncio.Task[None] | None = None

    async def upper_bound(self, *, timeout_s: float) -> float | None:
        """Return an upper bound of the primary's current clock, or None if the clock could not be read."""
        now = time.monotonic()
        if self._reading is None or now - self._reading[1] > SAMPLE_INTERVAL_S:
            self._start_sample(timeout_s)
        if self._reading is None and self._sample_task is not None:
            await asyncio.wait({self._sample_task}, timeout=timeout_s)
        if self._reading is None:
            return None
        primary_time, asked_at = self._reading
        return primary_time + (time.monotonic() - asked_at) * (1 + MAX_CLOCK_DRIFT)

    def stop(self) -> None:
        """Cancel a status request in progress."""
        if self._sample_task is not None:
            self._sample_task.cancel()

    def _start_sample(self, timeout_s: float) -> None:
        if self._sample_task is None or self._sample_task.done():
            self._sample_task = asyncio.get_running_loop().create_task(self._sample(timeout_s))

    async def _sample(self, timeout_s: float) -> None:
        outcome = await self._primary.status(timeout_s=min(timeout_s, SAMPLE_INTERVAL_S))
        if outcome.is_ok() and outcome.ok_value.term == self.term and outcome.ok_value.role == "primary":
            self._reading = (outcome.ok_value.now, outcome.ok_value.asked_at)
