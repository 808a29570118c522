"""Bounds of the acknowledged commits in the store, for the time in which no VM of another region answers."""

import asyncio

from currantlead import errors
from currantlead.platform import objects
from currantlead.sessions.decisions import acknowledgements
from currantlead.sessions.shared import store

MAX_ATTEMPTS = 3
"""Number of attempts to replace a record that other VMs change, too."""


class CommitRecords:
    """Writes and reads one record for each service; writes that wait for one under way go together in the next.

    Args:
        shared: The platform's store.
    """

    def __init__(self, shared: store.Store):
        self._store = shared
        self._locks: dict[str, asyncio.Lock] = {}
        self._wanted: dict[str, acknowledgements.Acknowledged] = {}
        self._stored: dict[str, tuple[int | None, acknowledgements.Acknowledged]] = {}

    async def record(self, service: str, bounds: acknowledgements.Acknowledged) -> None:
        """Record the bounds of an acknowledged commit.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response, or other VMs kept changing the record.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        self._wanted[service] = self._wanted.get(service, acknowledgements.Acknowledged()).merge(bounds)
        async with self._locks.setdefault(service, asyncio.Lock()):
            for _ in range(MAX_ATTEMPTS):
                revision, known = self._stored.get(service, (None, acknowledgements.Acknowledged()))
                if known.reaches(bounds):
                    return
                if not await self._replace(service, revision, known.merge(self._wanted[service])):
                    await self.read(service)
        raise errors.PlatformUnavailableError(f"the record of commits of {service} kept changing")

    async def read(self, service: str) -> acknowledgements.Acknowledged:
        """Return the recorded bounds of a service.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        stored = await self._store.read(objects.COMMITS, service)
        if stored is None:
            self._stored.pop(service, None)
            return acknowledgements.Acknowledged()
        bounds = acknowledgements.Acknowledged(*objects.decode_commits(stored))
        self._stored[service] = stored.revision, bounds
        return bounds

    async def _replace(self, service: str, revision: int | None, bounds: acknowledgements.Acknowledged) -> bool:
        """Store a record in place of the one with a revision, or of none; return whether that one was still there."""
        value = objects.encode_commits(bounds.at_least, bounds.at_most)
        if revision is None:
            stored = await self._store.create(objects.COMMITS, service, value)
        else:
            stored = await self._store.replace(objects.COMMITS, service, value, revision)
        if stored is not None:
            self._stored[service] = stored.revision, bounds
        return stored is not None
