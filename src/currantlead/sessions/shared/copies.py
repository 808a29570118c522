"""Local copy of one kind of the store's objects, and its encoding for other VMs."""

import dataclasses
import json
import math
import zlib
from collections.abc import Iterable
from typing import Any

from currantlead import errors, logs
from currantlead.platform import json_documents, objects
from currantlead.sessions import clock
from currantlead.sessions.shared import store

COMPRESSION_LEVEL = 1
"""zlib compression level: a configuration of 100 KB is compressed in 1 ms to a tenth of its size."""
RESTORATION_GRACE_S = 4.0
"""Time for which objects that a restored store lacks are kept: instances write their entries again within about 2 s,
and VMs register again within 2.5 s."""

_log = logs.part("store")


@dataclasses.dataclass(eq=False, slots=True)
class Copy:
    """Hold the local copy of one kind of objects.

    Attributes:
        follower: Callbacks for changes.
        own_name: Name of this VM's own object of this kind, or empty if it has none.
        objects_by_name: Objects by name; None before the first list.
        confirmed_at: Clock reading at which the copy was last known to be current.
        as_of: Revision of the store as of which the copy is known.
        changed_at: Revision as of which it changed last; a copy as of an earlier one is older.
        version: Incremented with each change of the copy.
        relay_version: The relay's version of the copy, or None if the copy was read from the store.
        encoded: The version that was encoded last, with its bytes.
        missing: Names of the objects that a restored store lacks and that are kept for a while.
        kept_until: Clock reading until which they are kept.
    """

    follower: store.Follower
    own_name: str = ""
    objects_by_name: dict[str, objects.StoredObject] | None = None
    confirmed_at: float = float("-inf")
    as_of: int = 0
    changed_at: int = 0
    version: int = 0
    relay_version: str | None = None
    encoded: tuple[int, bytes] | None = None
    missing: set[str] = dataclasses.field(default_factory=set)
    kept_until: float = float("-inf")

    def replace(self, present: Iterable[objects.StoredObject], as_of: int) -> bool:
        """Replace the objects by a complete list; return whether that changed any.

        Objects that a restored store lacks are kept for ``RESTORATION_GRACE_S``, in which their writers notice the loss
        and write them again. This VM's own entry is not kept, because its absence makes the VM register again.

        Args:
            present: The list.
            as_of: Revision of the store as of which it was read.
        """
        known = self.objects_by_name
        by_name = {stored.name: stored for stored in present}
        if known is not None and objects.era_of(as_of) > objects.era_of(self.as_of):
            self.missing = known.keys() - by_name.keys() - {self.own_name}
            self.kept_until = clock.now() + RESTORATION_GRACE_S
            if self.missing:
                _log.bind(kind=self.follower.kind, names=sorted(self.missing)).warning(
                    "restored store lacks objects, keeping them for {} s", RESTORATION_GRACE_S
                )
        self.missing -= by_name.keys()
        by_name |= {name: known[name] for name in self.missing}
        self.as_of = as_of
        if by_name == known:
            self.relay_version = None
            return False
        removed = known is not None and known.keys() - by_name.keys()
        self.objects_by_name = by_name
        self._record_change(as_of if removed else self.newest_revision)
        return True

    def update(self, present: Iterable[objects.StoredObject], removed: Iterable[str], as_of: int) -> None:
        """Apply changed and removed objects.

        Args:
            present: Changed objects.
            removed: Names of removed objects.
            as_of: Revision of the store as of which the changes were read.
        """
        changed, removed = {stored.name: stored for stored in present}, set(removed)
        self.objects_by_name |= changed
        for name in removed:
            self.objects_by_name.pop(name, None)
        self.missing -= changed.keys() | removed
        self.as_of = as_of
        self._record_change(as_of if removed else self.newest_revision)

    def expire_missing(self, now: float) -> tuple[str, ...]:
        """Return the names of the objects whose writers have not written them again in time."""
        return tuple(sorted(self.missing)) if now > self.kept_until else ()

    def _record_change(self, changed_at: int) -> None:
        self.changed_at = max(self.changed_at, changed_at)
        age_s = None if math.isinf(self.confirmed_at) else round(clock.now() - self.confirmed_at, 3)
        revision = objects.format_revision(self.changed_at)
        _log.bind(kind=self.follower.kind, revision=revision, age_s=age_s).info("copy changed")
        self.version += 1
        self.relay_version = None

    def encode(self) -> bytes:
        """Return the objects as compressed JSON for other VMs; JSON carries any string, also lone surrogates."""
        if self.encoded is None or self.encoded[0] != self.version:
            entries = [[stored.name, stored.revision, stored.value] for stored in (self.objects_by_name or {}).values()]
            self.encoded = self.version, zlib.compress(json.dumps(entries).encode(), COMPRESSION_LEVEL)
        return self.encoded[1]

    @property
    def newest_revision(self) -> int:
        """Return the highest revision among the objects of the copy."""
        return max((stored.revision for stored in (self.objects_by_name or {}).values()), default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCopy:
    """Copy of one kind of objects in a relay's response.

    Attributes:
        version: The relay's version of the copy.
        age_s: Seconds since the relay last confirmed it.
        as_of: Revision of the store as of which the relay knows it.
        present: The objects, or None if the receiver already has this version.
    """

    version: str
    age_s: float
    as_of: int
    present: tuple[objects.StoredObject, ...] | None


def decode_relayed(kind: str, entry: Any, as_of: Any) -> RelayedCopy:
    """Decode one kind of objects in a relay's response.

    Args:
        kind: Kind of the objects.
        entry: Version, age and encoded objects.
        as_of: Revision of the store as of which the relay knows them.

    Raises:
        errors.MalformedObjectError: The entry is malformed, or its age is negative.
    """
    try:
        version, age_s, encoded = entry
        # A negative age would confirm the configuration for a time that has not come yet; NaN fails the check too.
        if not isinstance(version, str) or not isinstance(as_of, int) or not age_s >= 0.0:
            raise ValueError(f"version {version!r}, age {age_s!r}, as of {as_of!r}")
        present = None
        if encoded is not None:
            present = tuple(
                objects.StoredObject(str(name), int(revision), value)
                for name, revision, value in json_documents.decode(zlib.decompress(encoded))
            )
    except (TypeError, ValueError, OverflowError, zlib.error) as error:
        raise errors.MalformedObjectError(f"copy of {kind} from a relay is malformed: {error!r}") from error
    return RelayedCopy(version, float(age_s), as_of, present)
