"""Registration of this VM in the store's list of members, repeated if others removed the entry."""

import asyncio
import dataclasses

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions import clock, model, settings
from currantlead.sessions.decisions import capacity
from currantlead.sessions.membership import members
from currantlead.sessions.shared import store

RETRY_DELAY_S = 0.3
"""Delay between attempts: the store may be unavailable while a VM starts; otherwise a call takes 4 ms."""
CHECK_INTERVAL_S = 0.5
"""Interval of the check for this VM's own entry."""
REGISTER_AGAIN_AFTER_S = 2.0
"""Time without an own entry after which this VM registers again. Local copies of the members may lack an entry for
about a second after it was created."""

_log = logs.part("members")


def own_member(config: settings.SessionSettings) -> model.Member:
    """Return this VM's own entry; it has a capacity only if capacities are used and the settings state resources."""
    resources = config.resources
    own_capacity = None
    if config.load_management.capacity_weights:
        own_capacity = capacity.estimate_capacity(resources.cores, resources.memory_mb, resources.link_mbps)
        _log.bind(capacity=own_capacity, **dataclasses.asdict(resources)).info("capacity of this VM determined")
    return model.Member(config.vm, config.peers.host, config.peers.port, config.domain, own_capacity)


class Registration:
    """Keep this VM registered in the list of members."""

    def __init__(self, object_store: store.Store, known_members: members.Members):
        self._store = object_store
        self._members = known_members
        self._registered_at: float | None = None

    async def register(self) -> None:
        """Write this VM's entry unless the store has it, retrying until that succeeds.

        A restarted VM usually finds its entry in the list of members and needs no call.
        """
        await self._members.listed.wait()
        if self._members.missing_since is None:
            self._registered_at = clock.now()
            return
        own = self._members.own
        value = objects.encode_member(own)
        while True:
            try:
                if await self._store.create(objects.MEMBERS, own.name, value) is None:
                    existing = await self._store.read(objects.MEMBERS, own.name)
                    if existing is not None and objects.decode_member(existing) != own:
                        await self._store.replace(objects.MEMBERS, own.name, value, existing.revision)
                self._registered_at = clock.now()
                return
            except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                _log.warning("registration failed, trying again in {} s: {}", RETRY_DELAY_S, error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def check(self) -> None:
        """Register this VM again if others removed its entry; call it periodically."""
        missing_since = self._members.missing_since
        if self._registered_at is None or missing_since is None:
            return
        if clock.now() - max(missing_since, self._registered_at) > REGISTER_AGAIN_AFTER_S:
            _log.warning(
                "this VM has been missing from the members for more than {} s, registering again",
                REGISTER_AGAIN_AFTER_S,
            )
            self._registered_at = None
            await self.register()
