"""Counts that the VMs have sent to this one, merged by window and organisation."""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from currantlead import errors
from currantlead.sessions.decisions import usage_windows
from currantlead.sessions.usage import counts as usage_counts

Run = tuple[str, int]
"""One run of a VM's process: the VM's name, and the incarnation of its streams."""
Totals = Mapping[int, Mapping[str, int]]
"""Counts by window and organisation."""


class Collection:
    """Merges totals of requests from the runs of all VMs.

    Totals are cumulative within a run, so that a repeated message changes nothing. Once a run has closed a window, its
    totals of that window are final and are added to the sum, so that memory grows with the organisations and not with
    the VMs.

    Attributes:
        done: Last window whose counts are no longer collected.
    """

    def __init__(self) -> None:
        self.done = -1
        self._sums: dict[int, collections.Counter[str]] = {}
        self._open: dict[int, dict[Run, dict[str, int]]] = {}
        self._closed: dict[Run, int] = {}

    def add(self, run: Run, totals: Totals, closed: int, current: int, *, folds: bool = True) -> None:
        """Merge totals of a run.

        Args:
            run: The run that counted.
            totals: Its totals by window and organisation; organisations that are not named have not changed.
            closed: Last window that the run has closed.
            current: Present window; totals of later ones than the next are ignored.
            folds: Whether final totals may be added to the sum. A VM that only keeps copies does not, so that it can
                pass them on.
        """
        final = self._closed.get(run, -1)
        for window, counts in totals.items():
            if max(self.done, final) < window <= current + 1:
                known = self._open.setdefault(window, {}).setdefault(run, {})
                for organisation, total in counts.items():
                    if organisation in known or len(known) < usage_counts.MAX_ORGANISATIONS:
                        known[organisation] = max(known.get(organisation, 0), total)
        closed = min(closed, current)
        if closed > final:
            self._closed[run] = closed
            for window in [window for window in self._open if folds and window <= closed]:
                counts = self._open[window].pop(run, None)
                if counts:
                    self._sums.setdefault(window, collections.Counter()).update(counts)

    def open_runs(self, max_entries: int) -> dict[Run, dict[int, dict[str, int]]]:
        """Return the totals that are not added to the sum, by run and window.

        Args:
            max_entries: Maximum number of totals; those of further runs are left out.
        """
        found: dict[Run, dict[int, dict[str, int]]] = {}
        for window, by_run in sorted(self._open.items()):
            for run, counts in by_run.items():
                max_entries -= len(counts)
                if max_entries >= 0:
                    found.setdefault(run, {})[window] = dict(counts)
        return found

    def windows(self) -> list[int]:
        """Return the windows that have counts, in order."""
        return sorted(self._sums.keys() | self._open.keys())

    def counts(self, window: int) -> dict[str, int]:
        """Return the counts of a window by organisation, in the order of their names."""
        merged = collections.Counter(self._sums.get(window, {}))
        for counts in self._open.get(window, {}).values():
            merged.update(counts)
        return dict(sorted(merged.items()))

    def missing(self, window: int, vms: Iterable[str]) -> tuple[str, ...]:
        """Return those of the given VMs that have not closed a window in any run."""
        closed = {vm for (vm, _), last in self._closed.items() if last >= window}
        return tuple(sorted(vm for vm in vms if vm not in closed))

    def discard_through(self, window: int) -> None:
        """Discard the counts of all windows up to one that is finalised."""
        self.done = max(self.done, window)
        for known in (self._sums, self._open):
            for number in [number for number in known if number <= window]:
                del known[number]
        oldest = self.done - usage_windows.KEPT_WINDOWS
        self._closed = {run: closed for run, closed in self._closed.items() if closed > oldest}

    def retain(self, vms: Iterable[str]) -> None:
        """Forget which windows were closed by VMs that are not among the given ones."""
        kept = set(vms)
        self._closed = {run: closed for run, closed in self._closed.items() if run[0] in kept}


def encode_totals(totals: Totals) -> list[list[Any]]:
    """Convert counts to values that a frame can carry."""
    return [[window, dict(counts)] for window, counts in totals.items()]


def decode_totals(values: Sequence[Any]) -> dict[int, dict[str, int]]:
    """Return the counts that ``encode_totals`` converted to values.

    Raises:
        errors.MalformedObjectError: The values are malformed, or a number is negative.
    """
    try:
        decoded = {int(window): {str(name): int(total) for name, total in counts.items()} for window, counts in values}
    except (AttributeError, TypeError, ValueError) as error:
        raise errors.MalformedObjectError(f"malformed counts: {error!r}") from error
    if any(window < 0 or any(total < 0 for total in counts.values()) for window, counts in decoded.items()):
        raise errors.MalformedObjectError("counts with a negative number")
    return decoded
