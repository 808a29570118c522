"""Local cache of the platform's objects, with typed and non-blocking access."""

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from currantlead import errors, interfaces, logs
from currantlead.control import configuration, model, records

KINDS = (configuration.INDEX_KIND, records.GROUPS, records.VIEWS, records.SHARES)
# Maximum number of parts kept although no known index lists them, as parts may arrive before their index. An index
# lists at most 65 parts.
_MAX_UNREFERENCED_PARTS = 256

_log = logs.part("directory")

Callback = Callable[[str, str], None]


class Directory:
    """Implementation of ``interfaces.Directory``; ``apply`` accepts objects in any order, and repeatedly.

    An object replaces another only if its version is higher. A configuration replaces another only if its number is
    higher and all its parts are present and match their digests. Typed state is built once for each change and replaced
    atomically, so that a reader keeps a consistent snapshot.

    Args:
        now: Function that returns a monotonic clock reading in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._configuration = model.Configuration()
        self._records: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS[1:]}
        self._objects: dict[str, dict[str, interfaces.StoredObject]] = {kind: {} for kind in KINDS}
        self._summaries: dict[str, tuple[int, int]] = {kind: (0, 0) for kind in KINDS[1:]}
        self._part_texts: dict[str, str] = {}
        self._decoded_parts: dict[str, Mapping[str, Mapping[str, Any]]] = {}
        self._part_digests: Mapping[str, str] = {}
        self._pending: tuple[interfaces.StoredObject, configuration.Index] | None = None
        self._highest_number = 0
        self._confirmed_at: float | None = None
        self._callbacks: list[Callback] = []

    @property
    def configuration(self) -> model.Configuration:
        """The configuration in force on this VM."""
        return self._configuration

    @property
    def groups(self) -> Mapping[str, model.Group]:
        """The records of the database groups by name."""
        return self._records[records.GROUPS]

    @property
    def views(self) -> Mapping[str, model.View]:
        """The views by failure domain."""
        return self._records[records.VIEWS]

    @property
    def shares(self) -> model.Shares:
        """The latest division of rates; its number is 0 if there is none."""
        return self._records[records.SHARES].get(records.SHARES_NAME) or model.Shares(0)

    @property
    def confirmed_at(self) -> float | None:
        """Clock reading at which the configuration in force was last known to be the platform's newest, or None."""
        return self._confirmed_at

    @property
    def configuration_age_s(self) -> float | None:
        """Seconds since the configuration in force was last confirmed, or None if it never was."""
        return None if self._confirmed_at is None else max(0.0, self._now() - self._confirmed_at)

    def subscribe(self, callback: Callback) -> None:
        """Register a callback that is called with (kind, name) after each change of the shared state."""
        self._callbacks.append(callback)

    def apply(self, objects: Iterable[interfaces.StoredObject]) -> list[interfaces.StoredObject]:
        """Apply the objects that are newer than the cached ones, and notify the subscribers.

        Args:
            objects: Objects of any kind, possibly outdated or repeated.

        Returns:
            The objects that changed the shared state, without parts.
        """
        objects_by_kind: dict[str, list[interfaces.StoredObject]] = {}
        for stored in objects:
            objects_by_kind.setdefault(stored.kind, []).append(stored)
        for stored in objects_by_kind.get(configuration.PART_KIND, ()):
            self._cache_part(stored)
        for stored in objects_by_kind.get(configuration.INDEX_KIND, ()):
            self._cache_index(stored)
        changed = [
            applied for kind in KINDS[1:] for applied in self._apply_records(kind, objects_by_kind.get(kind, ()))
        ]
        changed += self._activate_pending()
        self._evict_unreferenced_parts()
        for stored in changed:
            self._notify_subscribers(stored.kind, stored.name)
        return changed

    def confirm(self, number: int, at: float) -> None:
        """Record that ``number`` was the platform's newest configuration at a clock reading.

        Args:
            number: Number reported by the platform, or by a peer that had it confirmed by the platform.
            at: Clock reading taken before the request was sent.
        """
        if self._configuration.number >= max(number, self._highest_number):
            self._confirmed_at = max(at, self._confirmed_at or at)

    def missing_parts(self) -> tuple[str, ...]:
        """Return the digests of the parts that the newest known index lists and that have not arrived."""
        if self._pending is None:
            return ()
        return tuple(sorted(set(self._pending[1].parts.values()) - set(self._part_texts)))

    def get(self, kind: str, name: str) -> interfaces.StoredObject | None:
        """Return an object in its stored form, or None; parts have version 1."""
        if kind == configuration.PART_KIND:
            text = self._part_texts.get(name)
            return None if text is None else interfaces.StoredObject(kind, name, 1, configuration.part_value(text))
        return self._objects.get(kind, {}).get(name)

    def versions(self, kind: str) -> dict[str, int]:
        """Return the versions of the objects of a kind by name."""
        return {name: stored.version for name, stored in self._objects[kind].items()}

    def part_names(self) -> Sequence[str]:
        """Return the digests of the cached parts."""
        return list(self._part_texts)

    def parts_in_force(self) -> Mapping[str, str]:
        """Return the digests of the parts of the configuration in force, by label."""
        return self._part_digests

    def summary(self, kind: str) -> tuple[int, int]:
        """Return the sum of the versions of a kind's objects, and a fingerprint of their names and versions.

        The sum grows with each change: of two directories that differ, the one with the smaller sum is outdated.
        """
        return self._summaries[kind]

    def _apply_records(
        self, kind: str, objects: Iterable[interfaces.StoredObject]
    ) -> Iterable[interfaces.StoredObject]:
        known = self._objects[kind]
        newer: dict[str, interfaces.StoredObject] = {}
        decoded_records: dict[str, Any] = {}
        for stored in objects:
            current = newer.get(stored.name) or known.get(stored.name)
            if current is not None and current.version >= stored.version:
                continue
            try:
                decoded_records[stored.name] = records.decode(kind, stored.name, stored.version, stored.value)
            except errors.MalformedObjectError as error:
                _log.error("ignoring invalid object of version {}: {}", stored.version, error)
                continue
            newer[stored.name] = stored
        if newer:
            self._update_summary(kind, newer)
            self._objects[kind] = {**known, **newer}
            self._records[kind] = {**self._records[kind], **decoded_records}
        return newer.values()

    def _update_summary(self, kind: str, newer: Mapping[str, interfaces.StoredObject]) -> None:
        total, fingerprint = self._summaries[kind]
        for name, stored in newer.items():
            old = self._objects[kind].get(name)
            if old is not None:
                total -= old.version
                fingerprint ^= _fingerprint(name, old.version)
            total += stored.version
            fingerprint ^= _fingerprint(name, stored.version)
        self._summaries[kind] = (total, fingerprint)

    def _cache_part(self, stored: interfaces.StoredObject) -> None:
        if stored.name in self._part_texts:
            return
        try:
            self._part_texts[stored.name] = configuration.part_text(stored.name, stored.value)
        except errors.MalformedObjectError as error:
            _log.error("ignoring invalid part: {}", error)

    def _cache_index(self, stored: interfaces.StoredObject) -> None:
        try:
            index = configuration.decode_index(stored.value)
        except errors.MalformedObjectError as error:
            _log.error("ignoring invalid object of version {}: {}", stored.version, error)
            return
        current = self._objects[stored.kind].get(stored.name)
        if current is not None and index.number == self._configuration.number and index.parts == self._part_digests:
            # Before parts are removed, the index is rewritten with the same number; only its version changes.
            if stored.version > current.version:
                self._objects[stored.kind] = {stored.name: stored}
            return
        if index.number > max(self._configuration.number, self._highest_number):
            self._highest_number = index.number
            self._pending = (stored, index)

    def _activate_pending(self) -> list[interfaces.StoredObject]:
        if self._pending is None or self.missing_parts():
            return []
        stored, index = self._pending
        self._pending = None
        try:
            decoded = {
                label: self._decoded_parts.get(name) or configuration.decode_part(label, self._part_texts[name])
                for label, name in index.parts.items()
            }
        except errors.MalformedObjectError as error:
            _log.error("ignoring invalid configuration {}: {}", index.number, error)
            return []
        self._decoded_parts = {name: decoded[label] for label, name in index.parts.items()}
        self._part_digests = index.parts
        self._objects[stored.kind] = {stored.name: stored}
        self._configuration = configuration.assemble(index.number, decoded)
        self._part_texts = {name: self._part_texts[name] for name in index.parts.values()}
        _log.info("configuration {} of change {} is in force", index.number, index.change_id)
        return [stored]

    def _evict_unreferenced_parts(self) -> None:
        referenced = set(self._part_digests.values()) | (
            set(self._pending[1].parts.values()) if self._pending else set()
        )
        unreferenced = [name for name in self._part_texts if name not in referenced]
        for name in unreferenced[: max(0, len(unreferenced) - _MAX_UNREFERENCED_PARTS)]:
            del self._part_texts[name]

    def _notify_subscribers(self, kind: str, name: str) -> None:
        for callback in self._callbacks:
            try:
                callback(kind, name)
            except Exception as error:
                _log.opt(exception=error).error("subscriber failed to handle the change of {}/{}", kind, name)


def _fingerprint(name: str, version: int) -> int:
    # 7 bytes, so that the fingerprint fits a signed 64-bit integer in any decoder.
    return int.from_bytes(hashlib.blake2b(f"{version}/{name}".encode(), digest_size=7).digest(), "big")
