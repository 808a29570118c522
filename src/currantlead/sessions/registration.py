"""Enter this VM in the store's list of members, and again if others removed it."""

import asyncio

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions import clock, members, store

RETRY_S = 0.3
"""The store may be away while a VM starts; a call takes 4 ms when it is back."""
CHECK_S = 0.25
"""Interval at which the own entry is looked for."""
MISSING_S = 2.0
"""Copies of the members may lack an entry for about a second after it was made."""

_log = logs.part("members")


class Registration:
    """Keep this VM's entry in the list of members."""

    def __init__(self, shared: store.Store, known: members.Members):
        self._store = shared
        self._members = known
        self._entered_at: float | None = None

    async def enter(self) -> None:
        """Enter this VM, and keep trying until that is done."""
        own = self._members.own
        value = objects.encode_member(own)
        while True:
            try:
                if await self._store.create(objects.MEMBERS, own.name, value) is None:
                    found = await self._store.read(objects.MEMBERS, own.name)
                    if found is not None and objects.decode_member(found) != own:
                        await self._store.replace(objects.MEMBERS, own.name, value, found.revision)
                self._entered_at = clock.now()
                return
            except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                _log.warning("not registered yet: {}", error)
                await asyncio.sleep(RETRY_S)

    async def check(self) -> None:
        """Enter this VM again if others took it for gone; to be called regularly."""
        missing_since = self._members.missing_since
        if self._entered_at is None or missing_since is None:
            return
        if clock.now() - max(missing_since, self._entered_at) > MISSING_S:
            _log.warning("this VM is missing among the members, entering it again")
            self._entered_at = None
            await self.enter()
