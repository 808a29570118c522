"""Finalised windows in the store: each window gets its content once, whichever VM holds the duty.

The record is replaced only by conditional updates. A new holder rewrites it with its own generation number before it
does anything else, so that the conditional updates of the holder before it fail.
"""

from collections.abc import Mapping

from currantlead import logs
from currantlead.platform import objects
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import usage_windows
from currantlead.sessions.shared import store

Contents = Mapping[int, Mapping[str, int]]
"""Counts by window and organisation."""

_log = logs.part("usage")


class FinalisedWindows:
    """Reads and writes the record of finalised windows.

    The contents of the last windows are kept in memory too, so that they stay the same if the store loses its last
    changes.

    Args:
        object_store: The store.

    Attributes:
        record: The record as it was last read or written by this VM.
        contents: Contents that this VM has finalised or taken over, for the last windows.
        confirmed_at: Clock reading as of which the store confirmed that this VM's generation is the last one.
    """

    def __init__(self, object_store: store.Store):
        self._store = object_store
        self._revision: int | None = None
        self.record = model.UsageRecord(0)
        self.contents: dict[int, Mapping[str, int]] = {}
        self.confirmed_at = float("-inf")

    async def read(self) -> model.UsageRecord | None:
        """Read the record from the store.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The record is malformed.
        """
        stored = await self._store.read(objects.USAGE, objects.USAGE_NAME)
        return None if stored is None else objects.decode_usage(stored)

    async def take_over(self, generation: int, reported: int) -> bool:
        """Write this VM's generation number into the record, so that earlier holders can't replace it any more.

        Windows that this VM knows to be finalised, and that the record lacks because the store was restored, are added.

        Args:
            generation: Generation number of this VM's claim.
            reported: Last window that is known to be reported, as all before it.

        Returns:
            False if the record has a later generation number, or was replaced meanwhile.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the record may have been written.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        requested_at = clock.now()
        stored = await self._store.read(objects.USAGE, objects.USAGE_NAME)
        found = model.UsageRecord(0) if stored is None else objects.decode_usage(stored)
        if found.generation > generation:
            return False
        lost = {window: counts for window, counts in self.contents.items() if window > max(found.last, reported)}
        if lost and found.last >= 0:
            _log.bind(windows=sorted(lost)).warning("store lacks finalised windows, writing them again")
        windows = {window: counts for window, counts in (found.windows | lost).items() if window > reported}
        last = max([found.last, *self.contents])
        self._revision = None if stored is None else stored.revision
        return await self._write(model.UsageRecord(generation, last, windows), requested_at)

    async def finalise(self, last: int, contents: Contents) -> bool:
        """Add windows to the record; return False after a conflict, so that ``confirm`` has to be called.

        Args:
            last: Last window that is finalised or passed over.
            contents: Counts of the added windows.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the windows may have been added, and
                then the next update finds a conflict.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        windows = {**self.record.windows, **contents}
        return await self._write(model.UsageRecord(self.record.generation, last, windows), clock.now())

    async def confirm(self) -> bool:
        """Read the record again; return whether this VM still holds the duty.

        It is called after a conflict, which may be with a write of this VM whose answer was lost, and to confirm the
        duty before calls that are made again.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        requested_at = clock.now()
        stored = await self._store.read(objects.USAGE, objects.USAGE_NAME)
        if stored is None:
            return False
        found = objects.decode_usage(stored)
        if found.generation != self.record.generation or found.last < self.record.last:
            # Without the last windows, the record is that of a restored store.
            return False
        unsent = {window: counts for window, counts in found.windows.items() if window > self.record.last}
        self._accept(
            model.UsageRecord(found.generation, found.last, {**self.record.windows, **unsent}),
            stored.revision,
            requested_at,
        )
        return True

    def mark_reported(self, window: int) -> None:
        """Leave a window out of the next record, because its report was accepted."""
        windows = {number: counts for number, counts in self.record.windows.items() if number != window}
        self.record = model.UsageRecord(self.record.generation, self.record.last, windows)

    async def _write(self, record: model.UsageRecord, requested_at: float) -> bool:
        value = objects.encode_usage(record)
        if self._revision is None:
            stored = await self._store.create(objects.USAGE, objects.USAGE_NAME, value)
        else:
            stored = await self._store.replace(objects.USAGE, objects.USAGE_NAME, value, self._revision)
        if stored is None:
            return False
        self._accept(record, stored.revision, requested_at)
        return True

    def _accept(self, record: model.UsageRecord, revision: int, requested_at: float) -> None:
        self.record, self._revision, self.confirmed_at = record, revision, requested_at
        self.contents |= record.windows
        oldest = record.last - usage_windows.KEPT_WINDOWS
        self.contents = {window: counts for window, counts in self.contents.items() if window > oldest}
