"""Storage of the configuration on the platform, changed by conditional updates."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import result

from currantlead import errors, interfaces, logs
from currantlead.control import configuration, directory, model

_log = logs.part("store")

Mutate = Callable[[model.Configuration], model.Configuration]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Fault: another change was stored first; nothing was stored.

    Attributes:
        number: Number of the current configuration.
        detail: Explanation for the operator.
    """

    number: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Fault: the change or the stored configuration is not valid; nothing was stored.

    Attributes:
        detail: Explanation for the operator.
        error: The error that the change raised, or None.
    """

    detail: str
    error: errors.CurrantleadError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Fault: the platform gave no usable answer in time.

    Attributes:
        detail: Explanation for the operator.
        may_be_stored: Whether the change may have been stored; it is safe to repeat it with the same change id.
    """

    detail: str
    may_be_stored: bool


Fault = Conflict | Refused | Unavailable
Outcome = result.Result[int, Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredIndex:
    """The index of the stored configuration, or None if there is none, and the version of its object."""

    index: configuration.Index | None
    version: int

    @property
    def number(self) -> int:
        return 0 if self.index is None else self.index.number

    @property
    def parts(self) -> dict[str, str]:
        return {} if self.index is None else self.index.parts

    @property
    def recent(self) -> tuple[configuration.Change, ...]:
        return () if self.index is None else self.index.recent


@dataclasses.dataclass(slots=True)
class _Attempt:
    """State of a change over its retries.

    Attributes:
        mutate: Returns the changed configuration.
        change_id: Unique id of the change.
        expected_number: Number of the only configuration that the change may be applied to, or None.
        unconfirmed_base: The index that a write of unknown outcome would have replaced, or None.
        applied_before: Whether the change could be applied to an earlier configuration.
        number: Number of the configuration that was read last.
    """

    mutate: Mutate
    change_id: str
    expected_number: int | None
    unconfirmed_base: _StoredIndex | None = None
    applied_before: bool = False
    number: int = 0


class ConfigurationStore:
    """Client for the stored configuration, whose changes take effect by one conditional update of the index.

    Args:
        platform: Client of the platform.
        now: Returns a monotonic clock reading in seconds.
        cache: Directory from which parts are taken before they are read from the platform, or None.
        deadline_s: How long a change is retried if the platform does not answer or other changes are stored first.
        retry_s: Pause before a retry after a call without a usable answer.
        grace_s: How long a part must be unused before ``remove_unused_parts`` removes it. VMs learn of a newer index
            within seconds; the default leaves them ten minutes to finish fetching the parts of an older one.
        sleep: Waits for a number of seconds; tests replace it.
        on_stored: Called with the new parts and the index after each change that is known to be stored.
    """

    def __init__(
        self,
        platform: interfaces.Platform,
        now: Callable[[], float],
        *,
        cache: directory.Directory | None = None,
        deadline_s: float = 5.0,
        retry_s: float = 0.2,
        grace_s: float = 600.0,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        on_stored: Callable[[list[interfaces.StoredObject]], None] = lambda written: None,
    ) -> None:
        self._platform = platform
        self._now = now
        self._cache = cache
        self._deadline_s = deadline_s
        self._retry_s = retry_s
        self._grace_s = grace_s
        self._sleep = sleep
        self._on_stored = on_stored
        self._part_texts: dict[str, str] = {}
        self._unused_since: dict[tuple[str, int], float] = {}

    async def read(self) -> model.Configuration:
        """Return the stored configuration, or one with number 0 if there is none.

        Raises:
            errors.PlatformUnavailableError: No usable answer.
            errors.MalformedObjectError: The stored configuration is not valid.
        """
        return await self._load(await self._read_index())

    async def change(self, mutate: Mutate, change_id: str, *, expected_number: int | None = None) -> Outcome:
        """Change the stored configuration.

        Args:
            mutate: Returns the changed configuration, or raises ``errors.CurrantleadError`` if the change cannot be
                applied to the given one. It is called again if another change was stored first.
            change_id: Unique id of this change; repeated calls with the same id store the change once.
            expected_number: Number of the only configuration that the change may be applied to, or None for any.

        Returns:
            The number of the configuration that contains the change, or the fault.
        """
        attempt = _Attempt(mutate, change_id, expected_number)
        deadline = self._now() + self._deadline_s
        while True:
            try:
                return await self._try_change(attempt)
            except errors.VersionConflictError as error:
                fault: Fault = Conflict(attempt.number, f"other changes were stored first at each attempt: {error}")
                pause_s = 0.0
            except errors.PlatformUnavailableError as error:
                fault = Unavailable(
                    f"the platform gave no usable answer: {error}", attempt.unconfirmed_base is not None
                )
                pause_s = self._retry_s
            except errors.MalformedObjectError as error:
                return result.Err(Refused(f"the stored configuration is not valid: {error}"))
            if self._now() + pause_s >= deadline:
                if attempt.unconfirmed_base is not None:
                    fault = Unavailable("the platform gave no answer that shows whether the change was stored", True)
                return result.Err(fault)
            await self._sleep(pause_s)

    async def remove_unused_parts(self) -> int:
        """Remove parts that have been unused for the grace period; to be called every few minutes on one VM.

        Returns:
            Number of removed parts.

        Raises:
            errors.PlatformUnavailableError: No usable answer; the next call continues.
            errors.VersionConflictError: The configuration was changed at the same time; the next call continues.
        """
        current = await self._read_index()
        due = self._find_unused(current, await self._platform.names(configuration.PART_KIND))
        if not due or current.index is None:
            return 0
        # Rewriting the index lets the conditional update of every change that has read the old version fail, since its
        # parts may have been written long ago. A change that reads the new version writes its parts again, so that
        # they get a new version and the removals below fail.
        await self._write_index(current.index, current.version)
        removed = 0
        for name, version in due:
            with contextlib.suppress(errors.VersionConflictError):
                await self._platform.remove(configuration.PART_KIND, name, if_version=version)
                removed += 1
        _log.info("removed {} unused parts of the configuration", removed)
        return removed

    def _find_unused(self, current: _StoredIndex, present: Any) -> list[tuple[str, int]]:
        used = set(current.parts.values())
        now = self._now()
        unused = {(name, version) for name, version in present.items() if name not in used}
        self._unused_since = {key: self._unused_since.get(key, now) for key in unused}
        return sorted(key for key, since in self._unused_since.items() if now - since >= self._grace_s)

    async def _try_change(self, attempt: _Attempt) -> Outcome:
        current = await self._read_index()
        attempt.number = current.number
        resolved = self._outcome_without_write(attempt, current)
        if resolved is not None:
            return resolved
        old = await self._load(current)
        try:
            new = dataclasses.replace(attempt.mutate(old), number=old.number)
            encoded = configuration.encode(new)
        except errors.CurrantleadError as error:
            if attempt.applied_before:
                return result.Err(Conflict(current.number, f"not applicable after another change: {error}"))
            return result.Err(Refused(str(error), error))
        attempt.applied_before = True
        if new == old and attempt.unconfirmed_base is None:
            return result.Ok(current.number)
        await self._write_parts(encoded, current)
        return await self._write_change(attempt, current, encoded)

    def _outcome_without_write(self, attempt: _Attempt, current: _StoredIndex) -> Outcome | None:
        """Return the outcome of a change that needs no further write, or None."""
        stored = None if current.index is None else current.index.number_of_change(attempt.change_id)
        if stored is not None:
            return result.Ok(stored)
        if attempt.unconfirmed_base is not None and attempt.unconfirmed_base.version != current.version:
            if attempt.unconfirmed_base.number + 1 < min(
                (change.number for change in current.recent), default=current.number + 1
            ):
                return result.Err(
                    Unavailable("too many later changes were stored to determine whether this one was", True)
                )
            # The earlier conditional update can no longer take effect, since the index has another version now.
            attempt.unconfirmed_base = None
        if attempt.expected_number not in (None, current.number):
            detail = f"the stored configuration has number {current.number}, expected {attempt.expected_number}"
            return result.Err(Conflict(current.number, detail))
        return None

    async def _write_change(
        self, attempt: _Attempt, current: _StoredIndex, encoded: configuration.EncodedConfiguration
    ) -> Outcome:
        number = current.number + 1
        change = configuration.Change(number=number, change_id=attempt.change_id)
        index = configuration.Index(
            number=number,
            change_id=attempt.change_id,
            parts=dict(encoded.labels),
            recent=(*current.recent, change)[-configuration.RECENT_CHANGES :],
        )
        try:
            written = await self._write_index(index, current.version)
        except errors.PlatformUnavailableError:
            attempt.unconfirmed_base = current
            raise
        known = set(current.parts.values())
        self._on_stored(
            [
                interfaces.StoredObject(configuration.PART_KIND, digest, 1, configuration.part_value(text))
                for digest, text in encoded.texts.items()
                if digest not in known
            ]
            + [written]
        )
        self._part_texts = dict(encoded.texts)
        _log.info("stored configuration {} with change {}", number, attempt.change_id)
        return result.Ok(number)

    async def _write_index(self, index: configuration.Index, if_version: int) -> interfaces.StoredObject:
        kind, name, value = configuration.INDEX_KIND, configuration.INDEX_NAME, configuration.encode_index(index)
        version = await self._platform.write(kind, name, value, if_version=if_version)
        return interfaces.StoredObject(kind, name, version, value)

    async def _read_index(self) -> _StoredIndex:
        stored = await self._platform.read(configuration.INDEX_KIND, configuration.INDEX_NAME)
        if stored is None:
            return _StoredIndex(None, 0)
        return _StoredIndex(configuration.decode_index(stored.value), stored.version)

    async def _load(self, current: _StoredIndex) -> model.Configuration:
        self._part_texts = {name: text for name, text in self._part_texts.items() if name in current.parts.values()}
        missing = [name for name in current.parts.values() if name not in self._part_texts]
        await _await_all(self._read_part(name) for name in missing)
        return configuration.decode(current.number, current.parts, self._part_texts)

    async def _read_part(self, name: str) -> None:
        stored = self._cache.get(configuration.PART_KIND, name) if self._cache is not None else None
        if stored is None:
            stored = await self._platform.read(configuration.PART_KIND, name)
        if stored is None:
            # Expected only if the index that names the part has been replaced; the caller reads the index again.
            raise errors.PlatformUnavailableError(f"part {name} of the configuration is missing")
        self._part_texts[name] = configuration.part_text(name, stored.value)

    async def _write_parts(self, encoded: configuration.EncodedConfiguration, current: _StoredIndex) -> None:
        known = set(current.parts.values())
        await _await_all(self._write_part(name, text) for name, text in encoded.texts.items() if name not in known)

    async def _write_part(self, name: str, text: str) -> None:
        value = configuration.part_value(text)
        try:
            await self._platform.write(configuration.PART_KIND, name, value, if_version=0)
        except errors.VersionConflictError:
            # The part exists but the index does not refer to it, so ``remove_unused_parts`` may be about to remove it.
            # A new version prevents the removal.
            stored = await self._platform.read(configuration.PART_KIND, name)
            version = 0 if stored is None else stored.version
            await self._platform.write(configuration.PART_KIND, name, value, if_version=version)


async def _await_all(calls: Iterable[Awaitable[None]]) -> None:
    """Wait for all calls to end, also after a failure, and then raise the first error."""
    for outcome in await asyncio.gather(*calls, return_exceptions=True):
        if isinstance(outcome, BaseException):
            raise outcome
