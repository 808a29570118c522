"""Cache of the platform's objects on one VM, with typed access that never waits."""

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from currantlead import errors, interfaces, logs
from currantlead.control import configuration, model, records

KINDS = (configuration.INDEX_KIND, records.GROUPS, records.VIEWS, records.SHARES)
# Parts that no known index names, kept because parts may arrive before their index; an index names at most 65.
_MAX_LOOSE_PARTS = 256

_log = logs.part("directory")

Callback = Callable[[str, str], None]


class Directory:
    """Implement ``interfaces.Directory``; objects arrive through ``apply`` in any order and any number of times.

    An object replaces another only if its version is higher, and a configuration only if its number is higher and
    all its parts are present and match their digests. Typed state is built once for each change and replaced in one
    step, so a reader keeps a consistent snapshot.

    Args:
        now: Monotonic clock reading in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._configuration = model.Configuration()
        self._records: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS[1:]}
        self._objects: dict[str, dict[str, interfaces.StoredObject]] = {kind: {} for kind in KINDS}
        self._sums: dict[str, tuple[int, int]] = {kind: (0, 0) for kind in KINDS[1:]}
        self._texts: dict[str, str] = {}
        self._decoded: dict[str, Mapping[str, Mapping[str, Any]]] = {}
        self._labels: Mapping[str, str] = {}
        self._pending: tuple[interfaces.StoredObject, configuration.Index] | None = None
        self._highest_number = 0
        self._confirmed_at: float | None = None
        self._callbacks: list[Callback] = []

    @property
    def configuration(self) -> model.Configuration:
        """Return the newest configuration in force here."""
        return self._configuration

    @property
    def groups(self) -> Mapping[str, model.Group]:
        """Return the database groups by name."""
        return self._records[records.GROUPS]

    @property
    def views(self) -> Mapping[str, model.View]:
        """Return the views by failure domain."""
        return self._records[records.VIEWS]

    @property
    def shares(self) -> model.Shares:
        """Return the newest division of rates; number 0 if there is none."""
        return self._records[records.SHARES].get(records.SHARES_NAME) or model.Shares(0)

    @property
    def confirmed_at(self) -> float | None:
        """Return the clock reading at which the store last held no newer configuration than the one in force."""
        return self._confirmed_at

    @property
    def configuration_age_s(self) -> float | None:
        """Return the seconds since the last confirmation by the store, or None if there was none."""
        return None if self._confirmed_at is None else max(0.0, self._now() - self._confirmed_at)

    def subscribe(self, callback: Callback) -> None:
        """Call back with (kind, name) after each change of the shared state."""
        self._callbacks.append(callback)

    def apply(self, objects: Iterable[interfaces.StoredObject]) -> list[interfaces.StoredObject]:
        """Take over what is newer than the known state.

        Args:
            objects: Objects of any kinds, possibly old or repeated.

        Returns:
            The objects that changed the shared state; parts are not listed.
        """
        batches: dict[str, list[interfaces.StoredObject]] = {}
        for stored in objects:
            batches.setdefault(stored.kind, []).append(stored)
        for stored in batches.get(configuration.PART_KIND, ()):
            self._keep_part(stored)
        for stored in batches.get(configuration.INDEX_KIND, ()):
            self._keep_index(stored)
        changed = [new for kind in KINDS[1:] for new in self._apply_records(kind, batches.get(kind, ()))]
        changed += self._adopt()
        self._drop_loose_parts()
        for stored in changed:
            self._report(stored.kind, stored.name)
        return changed

    def confirm(self, number: int, at: float) -> None:
        """Note that the store held no newer configuration than ``number`` at a clock reading.

        Args:
            number: Number that the store, or a peer that confirmed it with the store, had.
            at: Clock reading taken before the question was sent.
        """
        if self._configuration.number >= max(number, self._highest_number):
            self._confirmed_at = max(at, self._confirmed_at or at)

    def missing_parts(self) -> tuple[str, ...]:
        """Return the digests that the newest known index names and that are not present."""
        if self._pending is None:
            return ()
        return tuple(sorted(set(self._pending[1].parts.values()) - set(self._texts)))

    def get(self, kind: str, name: str) -> interfaces.StoredObject | None:
        """Return an object as stored, or None; parts have version 1."""
        if kind == configuration.PART_KIND:
            text = self._texts.get(name)
            return None if text is None else interfaces.StoredObject(kind, name, 1, configuration.part_value(text))
        return self._objects.get(kind, {}).get(name)

    def versions(self, kind: str) -> dict[str, int]:
        """Return the version of each object of a kind by name."""
        return {name: stored.version for name, stored in self._objects[kind].items()}

    def part_names(self) -> Sequence[str]:
        """Return the digests of the parts that are present."""
        return list(self._texts)

    def parts_in_force(self) -> Mapping[str, str]:
        """Return the digests of the parts of the configuration in force by label."""
        return self._labels

    def summary(self, kind: str) -> tuple[int, int]:
        """Return the sum of the versions of a kind, and a fingerprint of its (name, version) pairs.

        The sum grows with each change, so of two directories that differ the one with the smaller sum is behind.
        """
        return self._sums[kind]

    def _apply_records(
        self, kind: str, objects: Iterable[interfaces.StoredObject]
    ) -> Iterable[interfaces.StoredObject]:
        known = self._objects[kind]
        fresh: dict[str, interfaces.StoredObject] = {}
        typed: dict[str, Any] = {}
        for stored in objects:
            current = fresh.get(stored.name) or known.get(stored.name)
            if current is not None and current.version >= stored.version:
                continue
            try:
                typed[stored.name] = records.decode(kind, stored.name, stored.version, stored.value)
            except errors.MalformedObjectError as error:
                _log.error("version {} ignored: {}", stored.version, error)
                continue
            fresh[stored.name] = stored
        if fresh:
            self._count(kind, fresh)
            self._objects[kind] = {**known, **fresh}
            self._records[kind] = {**self._records[kind], **typed}
        return fresh.values()

    def _count(self, kind: str, fresh: Mapping[str, interfaces.StoredObject]) -> None:
        total, fingerprint = self._sums[kind]
        for name, stored in fresh.items():
            old = self._objects[kind].get(name)
            if old is not None:
                total -= old.version
                fingerprint ^= _fingerprint(name, old.version)
            total += stored.version
            fingerprint ^= _fingerprint(name, stored.version)
        self._sums[kind] = (total, fingerprint)

    def _keep_part(self, stored: interfaces.StoredObject) -> None:
        if stored.name in self._texts:
            return
        try:
            self._texts[stored.name] = configuration.part_text(stored.name, stored.value)
        except errors.MalformedObjectError as error:
            _log.error("part ignored: {}", error)

    def _keep_index(self, stored: interfaces.StoredObject) -> None:
        try:
            index = configuration.decode_index(stored.value)
        except errors.MalformedObjectError as error:
            _log.error("version {} ignored: {}", stored.version, error)
            return
        current = self._objects[stored.kind].get(stored.name)
        if current is not None and index.number == self._configuration.number and index.parts == self._labels:
            # The store rewrites an index with the same number before it removes parts; only its version is new.
            if stored.version > current.version:
                self._objects[stored.kind] = {stored.name: stored}
            return
        if index.number > max(self._configuration.number, self._highest_number):
            self._highest_number = index.number
            self._pending = (stored, index)

    def _adopt(self) -> list[interfaces.StoredObject]:
        if self._pending is None or self.missing_parts():
            return []
        stored, index = self._pending
        self._pending = None
        try:
            decoded = {
                label: self._decoded.get(name) or configuration.decode_part(label, self._texts[name])
                for label, name in index.parts.items()
            }
        except errors.MalformedObjectError as error:
            _log.error("configuration {} ignored: {}", index.number, error)
            return []
        self._decoded = {name: decoded[label] for label, name in index.parts.items()}
        self._labels = index.parts
        self._objects[stored.kind] = {stored.name: stored}
        self._configuration = configuration.assemble(index.number, decoded)
        self._texts = {name: self._texts[name] for name in index.parts.values()}
        _log.info("configuration {} of change {} in force", index.number, index.change_id)
        return [stored]

    def _drop_loose_parts(self) -> None:
        named = set(self._labels.values()) | (set(self._pending[1].parts.values()) if self._pending else set())
        loose = [name for name in self._texts if name not in named]
        for name in loose[: max(0, len(loose) - _MAX_LOOSE_PARTS)]:
            del self._texts[name]

    def _report(self, kind: str, name: str) -> None:
        for callback in self._callbacks:
            try:
                callback(kind, name)
            except Exception as error:
                _log.opt(exception=error).error("subscriber failed on {}/{}", kind, name)


def _fingerprint(name: str, version: int) -> int:
    # 7 bytes, so that the sum fits a signed 64-bit integer of any decoder.
    return int.from_bytes(hashlib.blake2b(f"{version}/{name}".encode(), digest_size=7).digest(), "big")
