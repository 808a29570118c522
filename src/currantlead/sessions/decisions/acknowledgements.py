"""Log positions up to which callers were told that their commits succeeded.

Every answer to a caller passes a VM, so that the VMs together know which commits a new primary must have. An instance
does not say which number a commit got: its answer carries the end of its log, which may include commits of others that
are still waiting for a replica. Each VM therefore keeps a lower and an upper bound.
"""

import dataclasses
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from currantlead import errors
from currantlead.sessions import model

NO_POSITION = model.Position(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """Bounds of the latest acknowledged commit of a service.

    Attributes:
        at_least: Its position or an earlier one; a log that ends before it lacks an acknowledged commit.
        at_most: Its position or a later one; a log that has reached it has all acknowledged commits.
        sent_at: Clock reading at which the acknowledged commit that was sent last was sent, in seconds.
    """

    at_least: model.Position = NO_POSITION
    at_most: model.Position = NO_POSITION
    sent_at: float = float("-inf")

    def merge(self, other: "Acknowledged") -> "Acknowledged":
        """Return the bounds for the commits of both."""
        return Acknowledged(
            max(self.at_least, other.at_least), max(self.at_most, other.at_most), max(self.sent_at, other.sent_at)
        )

    def reaches(self, other: "Acknowledged") -> bool:
        """Return whether the positions of other bounds change nothing about these."""
        return other.at_least <= self.at_least and other.at_most <= self.at_most

    def encode(self, now: float) -> list[Any]:
        """Encode the bounds for other VMs; the time becomes an age, because the clocks of VMs differ."""
        age_s = now - self.sent_at if self.sent_at > float("-inf") else None
        return [self.at_least.term, self.at_least.number, self.at_most.term, self.at_most.number, age_s]

    @classmethod
    def decode(cls, value: Any, asked_at: float) -> "Acknowledged":
        """Decode the bounds that another VM sent after the clock reading ``asked_at``.

        Raises:
            errors.MalformedObjectError: The value is malformed.
        """
        try:
            low_term, low_number, high_term, high_number, age_s = value
            # A time in the future would cover departures that came after the commit; NaN fails the check too.
            if age_s is not None and not age_s >= 0.0:
                raise ValueError(f"age {age_s!r}")
            return cls(
                model.Position(int(low_term), int(low_number)),
                model.Position(int(high_term), int(high_number)),
                float("-inf") if age_s is None else asked_at - float(age_s),
            )
        except (TypeError, ValueError, OverflowError) as error:
            raise errors.MalformedObjectError(f"another VM sent malformed bounds of commits: {error!r}") from error


def merge_all(items: Iterable[Acknowledged]) -> Acknowledged:
    """Return the bounds for the commits of all items."""
    merged = Acknowledged()
    for item in items:
        merged = merged.merge(item)
    return merged


def bound_commit(log_end: model.Position, *, known_before: model.Position | None, sent_at: float) -> Acknowledged:
    """Return the bounds for a successful commit.

    Args:
        log_end: End of the primary's log in the answer.
        known_before: A position that the primary's log had reached when the commit was sent, or None.
        sent_at: Clock reading at which it was sent.
    """
    at_least = model.Position(log_end.term, 0)
    if known_before is not None and known_before.term == log_end.term:
        # The commit follows what was in the log before.
        at_least = min(model.Position(log_end.term, known_before.number + 1), log_end)
    return Acknowledged(at_least, log_end, sent_at)


def find_complete_since(up_since: Mapping[str, float], partners: Mapping[str, Collection[str]]) -> float:
    """Return the clock reading since which the reports of VMs together have all acknowledged commits.

    A VM and one of its partners have recorded each commit before the caller was told, so that one of the two suffices.

    Args:
        up_since: For each VM that may have recorded commits the clock reading since which it has kept account; infinite
            if it did not report.
        partners: For each VM those that may have recorded its commits. All others may have for a VM without an entry.
    """
    since = float("-inf")
    for vm, up in up_since.items():
        recording = partners[vm] if vm in partners else up_since.keys() - {vm}
        latest_start = max((up_since.get(other, float("inf")) for other in recording), default=up)
        since = max(since, min(up, latest_start))
    return since


class AcknowledgedCommits:
    """Keeps the bounds for each service, from the answers that a VM has received and from other VMs."""

    def __init__(self) -> None:
        self._by_service: dict[str, Acknowledged] = {}

    def of(self, service: str) -> Acknowledged:
        """Return the bounds of a service."""
        return self._by_service.get(service, Acknowledged())

    def services(self) -> set[str]:
        """Return the services with acknowledged commits."""
        return set(self._by_service)

    def record(
        self, service: str, log_end: model.Position | None, *, known_before: model.Position | None, sent_at: float
    ) -> None:
        """Record a successful commit of a service; see ``bound_commit``. An answer may have no end of the log."""
        if log_end is not None:
            self.merge(service, bound_commit(log_end, known_before=known_before, sent_at=sent_at))

    def merge(self, service: str, reported: Acknowledged) -> None:
        """Record the bounds that another VM has reported."""
        self._by_service[service] = self.of(service).merge(reported)
