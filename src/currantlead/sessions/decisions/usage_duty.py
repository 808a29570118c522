"""Which VM takes over the duty of usage reports, and why; all functions are pure."""

import dataclasses
from collections.abc import Iterable, Sequence

from currantlead.sessions.decisions import election

DUTY = "usage_report"
"""Name of the duty in the store, and key of the order of ranks."""
START_S = 2.0
"""Time after its start in which a VM claims no duty that nobody holds: VMs that start together register within 0.3 s,
and read the duties within 2 s."""
RESTART_S = 0.5
"""Time after its start after which a VM claims again what the store says it holds."""
SILENCE_S = 1.5
"""Time without a reply from the holder after which other VMs are asked about it. Counts are sent twice a second."""
OBSTRUCTED_S = 1.0
"""Time for which a holder that says that it gets no further may recover, as when the store answers again."""
OVERDUE_SHARE = 0.9
"""Share of the time until a report is due after which an unfinalised window shows that the holder gets no further. A
holder finalises windows after ``usage_windows.FINALISE_SHARE`` of that time at the latest. The windows that follow can
still be reported in time by a new holder, which needs 3 s before it may act."""
COPIES = 2
"""Number of VMs that get copies of the counts, besides the holder: those that would take over first. If 55% of the VMs
are killed at once, the counts of the killed ones are lost only if the holder and these are among them."""
MAX_PROBES = 100
"""Maximum number of VMs that are asked whether they hear the holder, which is all of them in present deployments. Of 80
VMs, 27 that were cut off took over from the others when only seven were asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """State of the duty as one VM that does not act as its holder sees it.

    Attributes:
        holder: VM that claimed it last, or empty.
        is_own: Whether that is this VM, so that an earlier run of it, or a call without an answer, made the claim.
        is_member: Whether that VM is registered.
        leaving: Whether that VM has said that it is shutting down.
        obstructed_s: Seconds for which that VM has said that it gets no further, or 0.
        silent_s: Seconds since its last reply, or since its claim.
        started_s: Seconds since this VM started.
        overdue_s: Seconds since the first window that is not known to be finalised should have been, or a negative
            number.
    """

    holder: str
    is_own: bool = False
    is_member: bool = True
    leaving: bool = False
    obstructed_s: float = 0.0
    silent_s: float = 0.0
    started_s: float = float("inf")
    overdue_s: float = float("-inf")


SILENT, OVERDUE = "silent", "windows are overdue"
"""Reasons that other VMs or the store have to confirm."""
OBSTRUCTED = "holder gets no further"
"""Reason that may be over by itself: after an outage of the store, the holder goes on at once."""


def reason_to_take_over(observed: Observation) -> str:
    """Return why another VM has to take the duty over, or an empty string if it need not."""
    if not observed.holder:
        return "no holder" if observed.started_s >= START_S else ""
    if observed.is_own:
        return "own claim of an earlier run" if observed.started_s >= RESTART_S else ""
    if observed.started_s < START_S:
        return ""
    if observed.leaving:
        return "holder is shutting down"
    if observed.obstructed_s >= OBSTRUCTED_S:
        return OBSTRUCTED
    if observed.silent_s >= SILENCE_S:
        return SILENT if observed.is_member else "holder was removed"
    return OVERDUE if observed.overdue_s >= 0.0 else ""


def rank_candidates(members: Iterable[str], holder: str) -> list[str]:
    """Return the VMs in the order in which they take the duty over from a holder."""
    return [name for name in election.promotion_order(DUTY, members) if name != holder]


def delay_s(rank: int, reason: str) -> float:
    """Return how long a VM that reaches the store waits before it takes over.

    Those ranked before it act first, and a holder that gets no further may have reached the store again too.
    """
    return rank * election.RANK_DELAY_S + (OBSTRUCTED_S if reason == OBSTRUCTED else 0.0)


def is_silence_confirmed(asked: int, heard_s: Sequence[float]) -> bool:
    """Return whether a holder is silent for others too.

    It counts as silent if most VMs answer, this one included, and none of them has heard it recently.

    Args:
        asked: Number of other VMs that were asked.
        heard_s: For each that answered, the seconds since it heard the holder.
    """
    return 2 * (len(heard_s) + 1) > asked + 1 and all(age_s >= SILENCE_S for age_s in heard_s)
