"""Samples of a primary's log position, each of which covers all commits acknowledged up to a known time.

Only an answer that proves that the instance is primary yields a sample, because a replaced primary keeps answering
plain reads. A sample has the time of its request, because commits may be acknowledged while the answer is in transit.
"""

import collections
import dataclasses

from currantlead.sessions import model
from currantlead.sessions.instances import orders

RETENTION_S = 10.0
"""Age up to which samples are kept; it exceeds the maximum staleness of any route, so older ones are never needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A log position of a primary.

    Attributes:
        asked_at: Clock reading at which the position was requested, in seconds.
        position: The position.
    """

    asked_at: float
    position: model.Position


class PositionSamples:
    """Stores the recent samples of each service."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[Sample]] = {}

    def record(self, service: str, asked_at: float, position: model.Position) -> None:
        """Add a sample from an answer that proves that the instance is primary."""
        samples = self._samples.setdefault(service, collections.deque())
        if samples and asked_at < samples[-1].asked_at:
            # Answers of concurrent statements may arrive out of order; a later sample also covers earlier times.
            return
        samples.append(Sample(asked_at, position))
        while samples[0].asked_at < asked_at - RETENTION_S:
            samples.popleft()

    def record_report(self, service: str, order: orders.Order, report: orders.Report) -> None:
        """Add the sample that an order's report contains, if it proves that the instance is primary."""
        proof = report.primary_proof(order)
        if proof is not None:
            self.record(service, proof.asked_at, proof.position)

    def latest(self, service: str) -> Sample | None:
        """Return the sample that was requested last, or None."""
        samples = self._samples.get(service)
        return samples[-1] if samples else None

    def reached_at(self, service: str, position: model.Position) -> float | None:
        """Return when the primary was first known to have reached a position, or None if it is not known."""
        for sample in self._samples.get(service, ()):
            if sample.position >= position:
                return sample.asked_at
        return None

    def lag_s(self, service: str, position: model.Position, now: float) -> float | None:
        """Return how old the data up to a position are, in seconds, or None if it is not known.

        The primary passed the position between two samples; the middle between them is assumed.
        """
        covered = first_missing = None
        for sample in self._samples.get(service, ()):
            if sample.position > position:
                first_missing = sample
                break
            covered = sample
        if first_missing is None:
            return 0.0 if covered is not None else None
        passed_at = first_missing.asked_at if covered is None else (covered.asked_at + first_missing.asked_at) / 2
        return max(0.0, now - passed_at)

    def oldest_since(self, service: str, since: float) -> Sample | None:
        """Return the first sample requested at ``since`` or later, or None.

        It covers all commits acknowledged before ``since`` with the lowest position that a replica must have reached.
        """
        for sample in self._samples.get(service, ()):
            if sample.asked_at >= since:
                return sample
        return None
