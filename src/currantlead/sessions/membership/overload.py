"""Overload of this VM, from the delays of its event loop, and of the other VMs, as their responses report it."""

import asyncio
from typing import Any

from currantlead import logs
from currantlead.sessions import clock, settings
from currantlead.sessions.decisions import capacity

CHECK_INTERVAL_S = 0.1
"""Interval of the measurements."""
PROBE_DELAY_S = 0.02
"""Delay of the timer whose lateness is measured. It is longer than one pass of an event loop that is not overloaded, so
that the measurement does not see only the pass that started it."""
REPORT_LIFETIME_S = 2.0
"""Time after which a reported step lapses: a VM that gets no orders any more reports nothing, and the next order shows
its present step."""

_log = logs.part("members")


class OverloadMonitor:
    """Measure the overload of this VM, and remember the steps that other VMs report."""

    def __init__(self, vm: str) -> None:
        """Create the monitor of the VM ``vm``."""
        self._vm = vm
        self._tracker = capacity.OverloadTracker()
        self._reports: dict[str, tuple[int, float]] = {}

    @classmethod
    def from_config(cls, config: settings.SessionSettings) -> "OverloadMonitor | None":
        """Return a monitor, or None if VMs do not take on roles in proportion to their capacity."""
        return cls(config.vm) if config.load_management.capacity_weights else None

    @property
    def lag_s(self) -> float:
        """Return the smoothed delay of the event loop, in seconds."""
        return self._tracker.lag_s

    def own_level(self) -> int:
        """Return the step of overload of this VM; 0 is not overloaded."""
        return self._tracker.level

    def level_of(self, vm: str) -> int:
        """Return the step of overload that a VM reported last; 0 if it reported none for ``REPORT_LIFETIME_S``."""
        if vm == self._vm:
            return self._tracker.level
        level, reported_at = self._reports.get(vm, (0, 0.0))
        return level if level and clock.now() - reported_at <= REPORT_LIFETIME_S else 0

    def record(self, vm: str, level: Any) -> None:
        """Record the step that a response of another VM carries; a malformed one is ignored."""
        if not level:
            self._reports.pop(vm, None)
            return
        if not isinstance(level, int) or not 0 < level <= capacity.MAX_LEVEL:
            _log.bind(peer=vm).warning("ignoring malformed step of overload {!r}", level)
            return
        if self.level_of(vm) != level:
            _log.bind(peer=vm, level=level).info("VM reports that it is overloaded")
        self._reports[vm] = level, clock.now()

    def measure(self) -> None:
        """Start a measurement; call it every ``CHECK_INTERVAL_S``."""
        asyncio.get_running_loop().call_later(PROBE_DELAY_S, self._observe, clock.now() + PROBE_DELAY_S)

    def _observe(self, due: float) -> None:
        now = clock.now()
        reason = self._tracker.observe(max(0.0, now - due), now)
        if reason is not None:
            _log.bind(level=self._tracker.level, reason=reason).warning("step of overload of this VM changed")
