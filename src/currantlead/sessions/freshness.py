"""Positions of a primary's log that cover every commit acknowledged up to a known time.

Only an answer that proves the lead counts: a primary that was replaced keeps answering plain reads. A sample counts
from when it was asked for, because commits may be acknowledged while the answer is on its way.
"""

import collections
import dataclasses

from currantlead.sessions import model, orders

KEEP_S = 10.0
"""Longer than any route's accepted age; older samples are never asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Hold a position of the primary and the reading at which it was asked for, in seconds."""

    asked_at: float
    position: model.Position


class Freshness:
    """Keep the samples of each service."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[Sample]] = {}

    def record(self, service: str, asked_at: float, position: model.Position) -> None:
        """Add a sample from an answer that proves the lead."""
        samples = self._samples.setdefault(service, collections.deque())
        if samples and asked_at < samples[-1].asked_at:
            # Answers of concurrent statements overtake each other; a later position covers earlier times too.
            return
        samples.append(Sample(asked_at, position))
        while samples[0].asked_at < asked_at - KEEP_S:
            samples.popleft()

    def record_report(self, service: str, order: orders.Order, report: orders.Report) -> None:
        """Add the sample that an order brought, if its answer proves the lead."""
        proof = report.sample(order)
        if proof is not None:
            self.record(service, proof.asked_at, proof.position)

    def newest(self, service: str) -> Sample | None:
        """Return the sample that was asked for last, or None."""
        samples = self._samples.get(service)
        return samples[-1] if samples else None

    def oldest_since(self, service: str, since: float) -> Sample | None:
        """Return the first sample asked for at ``since`` or later: it covers that time and asks least of a replica."""
        for sample in self._samples.get(service, ()):
            if sample.asked_at >= since:
                return sample
        return None
