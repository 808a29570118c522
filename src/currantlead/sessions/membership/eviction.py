"""Evict failed VMs from the list of members, so that the others get their share of rates and connections."""

import asyncio

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions.membership import liveness, members
from currantlead.sessions.shared import mirror, store

CHECK_INTERVAL_S = 2.0
"""Interval of the checks."""
EVICT_AFTER_S = 20.0
"""Time without a response after which a VM is evicted: restarts take a few seconds, network partitions last up to about
12 s. A VM that is still running notices that its entry is missing and registers itself again."""

_log = logs.part("members")


class Evictor:
    """Monitor the VMs of this failure domain; active only on a VM that watches the store directly.

    Args:
        object_store: Client of the store.
        known_members: The registered VMs.
        peer_liveness: Which VMs respond.
        store_mirror: Local copies of the store's objects; it also knows which VMs poll this one.
    """

    def __init__(
        self,
        object_store: store.Store,
        known_members: members.Members,
        peer_liveness: liveness.Liveness,
        store_mirror: mirror.Mirror,
    ) -> None:
        self._store = object_store
        self._members = known_members
        self._liveness = peer_liveness
        self._mirror = store_mirror

    async def check(self) -> None:
        """Ping the VMs that have not polled this one, and evict a failed one; call it periodically."""
        if self._mirror.uses_relay:
            return
        own = self._members.own
        same_domain = [member for member in self._members.others() if member.domain == own.domain]
        not_polling = [member.name for member in same_domain if not self._mirror.has_polled_recently(member.name)]
        await asyncio.gather(*(self._liveness.check(name) for name in not_polling))
        failed = [member.name for member in same_domain if self._liveness.down_for_s(member.name) > EVICT_AFTER_S]
        responding = sum(not self._liveness.is_down(member.name) for member in same_domain)
        # A VM that gets no response from most others is probably isolated itself. At most one VM is evicted per check,
        # because each eviction redistributes the rates.
        if failed and 2 * responding >= len(same_domain):
            await self._evict(failed[0])

    async def _evict(self, name: str) -> None:
        revision = self._mirror.revision_of(objects.MEMBERS, name)
        if revision is None:
            return
        try:
            removed = await self._store.delete(objects.MEMBERS, name, revision)
        except errors.PlatformUnavailableError as error:
            _log.bind(member=name).warning("failed VM could not be removed from the members: {}", error)
            return
        _log.bind(member=name, silent_s=EVICT_AFTER_S, revision=objects.format_revision(revision)).warning(
            "failed VM removed from the members" if removed else "entry of a failed VM has changed, keeping it"
        )
