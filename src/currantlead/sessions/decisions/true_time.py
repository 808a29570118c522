"""True time from wall clocks that may be wrong or jump, and the windows that it divides; all functions are pure.

An offset is the wall clock's reading less the steady clock's. It stays the same unless the wall clock jumps, so a jump
shows on the VM itself, and the offset that was held longest is the VM's own estimate. VMs whose clocks are always
wrong are outvoted: the offset in force is the median of the own estimates of all VMs.
"""

import dataclasses
import statistics
from collections.abc import Sequence

JUMP_S = 0.1
"""Change of the offset that counts as a jump. Clocks are slewed by less than 1 ms in a second."""
MAX_HELD_S = 60.0
"""Time for which an offset counts as held at most, so that a clock that was set right for good is believed after this
time. Jumps that are taken back last for seconds."""
MAX_OFFSETS = 8
"""Number of offsets that are remembered; a clock that jumps there and back needs two."""
MAX_SLEW_S = 0.05
"""Largest change of the offset in force at a time. Estimates arrive several times a second, so that a
difference of a tenth of a second is made up for within a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldOffset:
    """An offset of the wall clock, and for how long it was observed.

    Attributes:
        offset_s: The offset, in seconds.
        held_s: Time for which the clock had it, in seconds, up to ``MAX_HELD_S``.
    """

    offset_s: float
    held_s: float


def observe_offset(held: Sequence[HeldOffset], offset_s: float, elapsed_s: float) -> tuple[HeldOffset, ...]:
    """Return the observed offsets after another observation, the present one first.

    Args:
        held: The offsets observed so far, the present one first.
        offset_s: The offset now, in seconds.
        elapsed_s: Time since the last observation, in seconds.
    """
    known = next((item for item in held if abs(item.offset_s - offset_s) <= JUMP_S), None)
    held_s = min(MAX_HELD_S, (known.held_s if known is not None else 0.0) + elapsed_s)
    return (HeldOffset(offset_s, held_s), *(item for item in held if item is not known))[:MAX_OFFSETS]


def estimate_offset(held: Sequence[HeldOffset]) -> float:
    """Return the offset that was held longest; of several, the one that was observed last."""
    return max(held, key=lambda item: item.held_s).offset_s


def agree_offset(offsets: Sequence[float]) -> float:
    """Return the offset on which VMs agree, given their own estimates relative to one steady clock."""
    return statistics.median(offsets)


def slew_offset(offset_s: float, agreed_s: float) -> float:
    """Return the next offset in force on the way to the agreed one."""
    return offset_s + min(MAX_SLEW_S, max(-MAX_SLEW_S, agreed_s - offset_s))


def window_at(true_time: float, window_s: float) -> int:
    """Return the number of the window that contains a true time, in seconds since the start of 1970."""
    return int(true_time // window_s)


def window_end(window: int, window_s: float) -> float:
    """Return the true time at which a window ends, in seconds since the start of 1970."""
    return (window + 1) * window_s
