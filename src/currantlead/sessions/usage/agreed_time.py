"""True time of this VM: the steady clock and the offset on which the VMs agree."""

from collections.abc import Callable

from currantlead import logs
from currantlead.sessions import clock
from currantlead.sessions.decisions import true_time

_log = logs.part("usage")


class AgreedTime:
    """Keeps the offset of true time to the steady clock.

    Args:
        read_wall: Reads the wall clock.

    Attributes:
        offset_s: The offset in force; this VM's own estimate until VMs have agreed on one.
        is_agreed: Whether the offset in force is one on which VMs agreed.
    """

    def __init__(self, read_wall: Callable[[], float] = clock.wall):
        self._read_wall = read_wall
        self._observed_at = clock.now()
        self._held = true_time.observe_offset((), read_wall() - self._observed_at, 0.0)
        self.offset_s = self.own_offset_s
        self.is_agreed = False

    @property
    def own_offset_s(self) -> float:
        """Return this VM's own estimate of the offset."""
        return true_time.estimate_offset(self._held)

    def now(self) -> float:
        """Return the true time in seconds since the start of 1970."""
        return clock.now() + self.offset_s

    def observe(self) -> None:
        """Compare the wall clock with the steady clock; call it periodically."""
        now = clock.now()
        offset_s = self._read_wall() - now
        jump_s = offset_s - self._held[0].offset_s
        if abs(jump_s) > true_time.JUMP_S:
            _log.bind(jump_s=round(jump_s, 3)).warning("wall clock jumped")
        self._held = true_time.observe_offset(self._held, offset_s, now - self._observed_at)
        self._observed_at = now

    def adopt(self, agreed_s: float) -> float:
        """Move the offset in force to the one on which VMs agree.

        Returns:
            The change of the offset, in seconds. Only the first agreed offset changes it by more than
            ``true_time.MAX_SLEW_S``.
        """
        before_s = self.offset_s
        self.offset_s = true_time.slew_offset(before_s, agreed_s) if self.is_agreed else agreed_s
        if not self.is_agreed:
            _log.bind(offset_s=round(agreed_s - self.own_offset_s, 3)).info("agreed with other VMs on the time")
        self.is_agreed = True
        return self.offset_s - before_s
