"""Finds out whether instances whose entries are gone from the store have ended.

An entry disappears when its instance has left, and also when the instance only cannot reach the store. Until it has
ended, a replica acknowledges commits.
"""

import asyncio
from collections.abc import Callable, Iterable

from currantlead import errors, logs
from currantlead.sessions import clock, model
from currantlead.sessions.failover import instance_commands
from currantlead.sessions.instances import fleet, link

PROBING_VMS = 3
"""Number of VMs that probe the instances of a service: those that would replace its primary first. Each probe of an
instance that still runs takes one of its execution slots for a moment."""
PROBE_INTERVAL_S = 1.0
"""Interval between two probes of an instance."""

_log = logs.part("succession")


class DepartureProbes:
    """Connects to instances that are gone from the store until nothing answers as them any more.

    Args:
        instances: The known instances.
        is_responsible: Returns whether this VM probes the instances of a service.
    """

    def __init__(self, instances: fleet.Fleet, is_responsible: Callable[[str], bool]):
        self._fleet = instances
        self._is_responsible = is_responsible
        self._tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._probed_at: dict[tuple[str, int], float] = {}

    def check(self, services: Iterable[str]) -> None:
        """Start the probes that are due for services; call it periodically."""
        now = clock.now()
        due = {
            (item.instance.id, item.instance.started_at_ms): item.instance
            for service in services
            for item in self._fleet.departures(service)
            if item.ended_at is None and self._is_responsible(service)
        }
        self._probed_at = {key: at for key, at in self._probed_at.items() if key in due}
        for key, instance in due.items():
            if key not in self._tasks and now - self._probed_at.get(key, float("-inf")) >= PROBE_INTERVAL_S:
                self._probed_at[key] = now
                task = self._tasks[key] = asyncio.get_running_loop().create_task(self._probe(instance))
                task.add_done_callback(lambda done, key=key: self._tasks.pop(key, None))

    async def close(self) -> None:
        """Stop the probes that are under way."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _probe(self, instance: model.Instance) -> None:
        log = _log.bind(instance=instance.id, service=instance.service)
        try:
            connection = await link.Link.connect(instance, instance_commands.ORGANISATION)
        except errors.LinkRefusedError as error:
            if error.absent:
                self._fleet.record_end(instance.id, instance.started_at_ms, clock.now())
                log.info("instance has ended: {}", error)
            else:
                log.debug("instance may still run: {}", error)
            return
        connection.close()
        log.info("instance still runs, although its entry is gone")
