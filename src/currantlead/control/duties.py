"""Assignment of background tasks to one VM, for tasks that are safe if several VMs run them."""

from collections.abc import Mapping

from currantlead import errors, interfaces, logs, timers
from currantlead.control import model, store
from currantlead.routing import placement

COLLECT_INTERVAL_S = 120.0
"""Interval of the search for unused parts; a part is removed after it has been unused for ten minutes."""

_log = logs.part("duties")


def is_assigned(duty: str, views: Mapping[str, model.View], vm: str) -> bool:
    """Return whether a background task is assigned to a VM.

    Args:
        duty: Name of the task.
        views: The newest views.
        vm: Name of the VM.

    Returns:
        True for the VM that ranks first for the task among the members of all views. Two VMs that know different views
        may both get True, so a task must use conditional updates.
    """
    candidates = tuple(sorted(member.vm for view in views.values() for member in view.members))
    return bool(candidates) and placement.rank(duty, candidates)[0] == vm


class PartCollector:
    """Background task that removes unused parts of old configurations from the platform."""

    def __init__(
        self, configurations: store.ConfigurationStore, clock: timers.Timers, *, cache: interfaces.Directory, vm: str
    ):
        """Initialize the collector.

        Args:
            configurations: Store of the configuration.
            clock: Timer service.
            cache: Shared state known to this VM.
            vm: Name of this VM.
        """
        self._store = configurations
        self._clock = clock
        self._directory = cache
        self._vm = vm
        self._subscription: timers.Subscription | None = None

    def start(self) -> None:
        """Start the periodic collection."""
        self._subscription = self._clock.subscribe("collect", COLLECT_INTERVAL_S, self.collect)

    def stop(self) -> None:
        """Stop the periodic collection."""
        if self._subscription is not None:
            self._subscription.cancel()

    async def collect(self) -> None:
        """Collect once if the task is assigned to this VM; after a failure the next run tries again."""
        if not is_assigned("collect", self._directory.views, self._vm):
            return
        try:
            await self._store.remove_unused_parts()
        except (errors.PlatformUnavailableError, errors.VersionConflictError) as error:
            _log.warning("could not remove unused parts: {}", error)
