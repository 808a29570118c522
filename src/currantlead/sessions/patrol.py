"""Remove VMs that are gone for good from the list of members, so that their part of rates and connections is used."""

import asyncio

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions import liveness, members, mirror, store

PATROL_S = 2.0
"""Interval of the checks."""
GONE_S = 20.0
"""A VM that has not answered for this long is removed: restarts take a few seconds, cuts up to about 12 s. One that
lives finds its entry missing and enters itself again."""

_log = logs.part("members")


class Patrol:
    """Watch the VMs of this failure domain on behalf of all, where this VM follows the store itself."""

    def __init__(
        self, shared: store.Store, known: members.Members, alive: liveness.Liveness, copies: mirror.Mirror
    ) -> None:
        self._store = shared
        self._members = known
        self._liveness = alive
        self._mirror = copies

    async def check(self) -> None:
        """Ask the VMs that were not heard of, and remove those that are gone; to be called regularly."""
        if self._mirror.uses_relay:
            return
        own = self._members.own
        near = [member for member in self._members.others() if member.domain == own.domain]
        quiet = [member.name for member in near if not self._mirror.has_polled_recently(member.name)]
        await asyncio.gather(*(self._liveness.check(name) for name in quiet))
        gone = [member.name for member in near if self._liveness.down_for(member.name) > GONE_S]
        answering = sum(not self._liveness.is_down(member.name) for member in near)
        # A VM that hears of few others is probably cut off itself. One at a time, as each removal divides rates anew.
        if gone and 2 * answering >= len(near):
            await self._remove(gone[0])

    async def _remove(self, name: str) -> None:
        revision = self._mirror.revision_of(objects.MEMBERS, name)
        if revision is None:
            return
        try:
            removed = await self._store.delete(objects.MEMBERS, name, revision)
        except errors.PlatformUnavailableError as error:
            _log.bind(member=name).warning("VM is gone, but not removed yet: {}", error)
            return
        _log.bind(member=name, silent_s=GONE_S, revision=revision).warning(
            "VM removed from the members" if removed else "entry of a silent VM has changed"
        )
