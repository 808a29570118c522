"""Name the VM that does work which one VM should do but several may do without harm."""

from collections.abc import Mapping

from currantlead import errors, interfaces, logs, timers
from currantlead.control import model, store
from currantlead.routing import placement

COLLECT_S = 120.0
"""Unused parts of old configurations are looked for this often; a part must be unused for ten minutes."""

_log = logs.part("duties")


def is_assigned(duty: str, views: Mapping[str, model.View], vm: str) -> bool:
    """Tell whether a VM should do a duty.

    Args:
        duty: Name of the duty.
        views: The newest views.
        vm: Name of the VM.

    Returns:
        True for the member of any view that ranks first for the duty. Two VMs with different views may both get True,
        so a duty must be protected by conditional updates.
    """
    candidates = tuple(sorted(member.vm for view in views.values() for member in view.members))
    return bool(candidates) and placement.rank(duty, candidates)[0] == vm


class Collector:
    """Remove unused parts of old configurations from the platform."""

    def __init__(self, configurations: store.Store, clock: timers.Timers, *, cache: interfaces.Directory, vm: str):
        """Create the part.

        Args:
            configurations: Changes of the configuration.
            clock: Timer service.
            cache: Shared state known at this VM.
            vm: Name of this VM.
        """
        self._store = configurations
        self._clock = clock
        self._directory = cache
        self._vm = vm
        self._subscription: timers.Subscription | None = None

    def start(self) -> None:
        """Begin to collect."""
        self._subscription = self._clock.subscribe("collect", COLLECT_S, self.collect)

    def stop(self) -> None:
        """End the collection."""
        if self._subscription is not None:
            self._subscription.cancel()

    async def collect(self) -> None:
        """Collect once if this VM is the one to do it; a failure is tried again at the next turn."""
        if not is_assigned("collect", self._directory.views, self._vm):
            return
        try:
            await self._store.collect()
        except (errors.PlatformUnavailableError, errors.VersionConflictError) as error:
            _log.warning("unused parts not removed: {}", error)
