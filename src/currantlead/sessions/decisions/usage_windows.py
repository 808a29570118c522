"""Which windows of usage are finalised now, with which content, and when a holder may send; all functions are pure.

A window is finalised once: its content is stored before it is sent, and never changes afterwards.
"""

import dataclasses
import enum
from collections.abc import Callable, Collection

from currantlead.sessions.decisions import true_time

KEPT_WINDOWS = 24
"""Number of windows whose counts VMs keep while they are not reported: two minutes of windows of 5 s, which bounds the
memory in an outage of the store."""
FINALISE_SHARE = 0.8
"""Share of the time until a report is due after which a window is finalised without the VMs whose counts are missing.
VMs that are cut off for some seconds return with their counts; with 0.5, a cut of a third of the VMs for 12 s made four
reports wrong. The rest of the time is for an update of the store and a call, which may have to be repeated."""


class Source(enum.Enum):
    """Where the content of a window comes from."""

    COUNTS = "counts"
    """The counts that the VMs have sent."""
    EARLIER = "earlier"
    """An earlier holder, which finalised the window in a store that no longer has the content."""
    NONE = "none"
    """Nowhere: the window is not reported by this holder."""


@dataclasses.dataclass(frozen=True, slots=True)
class DueWindow:
    """A window that is finalised now, or passed over.

    Attributes:
        window: Number of the window.
        source: Where its content comes from.
        reason: Why it is finalised now, or passed over.
        missing: VMs whose counts are missing.
    """

    window: int
    source: Source
    reason: str
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """State of the windows as a holder knows it.

    Attributes:
        last: Last window that is finalised or passed over.
        known_finalised: Last window that any VM knows to be finalised.
        known_reported: Last window that any VM knows to be reported, as all before it.
        earlier: Windows whose content earlier holders have sent.
    """

    last: int
    known_finalised: int
    known_reported: int
    earlier: Collection[int]


def choose_due(
    progress: Progress, now: float, window_s: float, late_s: float, find_missing: Callable[[int], tuple[str, ...]]
) -> list[DueWindow]:
    """Return the windows to finalise or pass over now, in order.

    A window that is known to be finalised gets no other content: if its content is unknown, it is passed over, because
    its report may have been accepted.

    Args:
        progress: State of the windows.
        now: True time in seconds since the start of 1970.
        window_s: Length of a window, in seconds.
        late_s: Time after the end of a window at which its report is due, in seconds.
        find_missing: Returns the VMs whose counts of a window are missing or not final.
    """
    due: list[DueWindow] = []
    current = true_time.window_at(now, window_s)
    oldest = current - KEPT_WINDOWS
    if progress.last + 1 < oldest:
        due.append(DueWindow(oldest - 1, Source.NONE, "counts are no longer kept"))
    for window in range(max(progress.last + 1, oldest), current):
        if window in progress.earlier:
            due.append(DueWindow(window, Source.EARLIER, "finalised by an earlier holder"))
        elif window <= progress.known_reported:
            due.append(DueWindow(window, Source.NONE, ""))
        elif window <= progress.known_finalised:
            due.append(DueWindow(window, Source.NONE, "content lost by the store"))
        else:
            missing = find_missing(window)
            age_s = now - true_time.window_end(window, window_s)
            if missing and age_s < FINALISE_SHARE * late_s:
                break
            reason = "counts are missing" if missing else "complete"
            due.append(DueWindow(window, Source.COUNTS, reason, missing))
    return due


def may_send(now: float, confirmed_at: float, lease_s: float, timeout_s: float) -> bool:
    """Return whether a holder may begin a call: the call ends before another holder may act.

    Args:
        now: Clock reading.
        confirmed_at: Clock reading as of which the store has confirmed that this VM holds the duty.
        lease_s: Time for which a new holder waits before it acts, in seconds.
        timeout_s: Time limit of the call, in seconds.
    """
    return now + timeout_s <= confirmed_at + lease_s
