"""Bounds of the acknowledged commits in the store, for the time in which no VM of another region answers."""

import asyncio
import dataclasses

from currantlead import errors, logs
from currantlead.platform import objects
from currantlead.sessions import clock
from currantlead.sessions.decisions import acknowledgements
from currantlead.sessions.shared import store

MAX_ATTEMPTS = 3
"""Number of attempts to replace a record that other VMs change, too."""

_log = logs.part("succession")


@dataclasses.dataclass(frozen=True, slots=True)
class _Stored:
    """A record as the store had it after a clock reading; ``revision`` is None if there was none."""

    at: float
    revision: int | None
    bounds: acknowledgements.Acknowledged


class CommitRecords:
    """Writes and reads one record for each service; writes that wait for one under way go together in the next.

    Args:
        shared: The platform's store.
    """

    def __init__(self, shared: store.Store):
        self._store = shared
        self._locks: dict[str, asyncio.Lock] = {}
        self._wanted: dict[str, acknowledgements.Acknowledged] = {}
        self._stored: dict[str, _Stored] = {}

    async def record(self, service: str, bounds: acknowledgements.Acknowledged) -> None:
        """Record the bounds of an acknowledged commit.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response, or other VMs kept changing the record.
        """
        asked_at = clock.now()
        self._wanted[service] = self._wanted.get(service, acknowledgements.Acknowledged()).merge(bounds)
        async with self._locks.setdefault(service, asyncio.Lock()):
            for _ in range(MAX_ATTEMPTS):
                known = self._stored.get(service, _Stored(float("-inf"), None, acknowledgements.Acknowledged()))
                # What the store had earlier may be gone: it may have been restored from a copy since.
                if known.at >= asked_at and known.bounds.reaches(bounds):
                    return
                if await self._replace(service, known.revision, known.bounds.merge(self._wanted[service])):
                    return
                await self._read_to_replace(service)
        raise errors.PlatformUnavailableError(
            f"the record of commits of {service} changed during each of {MAX_ATTEMPTS} attempts to replace it"
        )

    async def read(self, service: str) -> acknowledgements.Acknowledged:
        """Return the recorded bounds of a service.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        asked_at = clock.now()
        found = await self._store.read(objects.COMMITS, service)
        revision, bounds = (found.revision if found is not None else None), acknowledgements.Acknowledged()
        try:
            if found is not None:
                bounds = acknowledgements.Acknowledged(*objects.decode_commits(found))
        finally:
            self._stored[service] = _Stored(asked_at, revision, bounds)
        return bounds

    async def _read_to_replace(self, service: str) -> None:
        """Read the record that is to be replaced; nothing of a malformed one is kept."""
        try:
            await self.read(service)
        except errors.MalformedObjectError as error:
            _log.bind(service=service).warning("replacing a malformed record of commits: {}", error)

    async def _replace(self, service: str, revision: int | None, bounds: acknowledgements.Acknowledged) -> bool:
        """Store a record in place of the one with a revision, or of none; return whether that one was still there."""
        asked_at = clock.now()
        value = objects.encode_commits(bounds.at_least, bounds.at_most)
        if revision is None:
            stored = await self._store.create(objects.COMMITS, service, value)
        else:
            stored = await self._store.replace(objects.COMMITS, service, value, revision)
        if stored is not None:
            self._stored[service] = _Stored(asked_at, stored.revision, bounds)
        return stored is not None
