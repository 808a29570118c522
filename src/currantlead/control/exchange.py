"""Bodies of the frames by which VMs pass on platform objects, and of the numbers that they report."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from currantlead import errors, interfaces, wire
from currantlead.control import configuration, directory

# A frame holds at most 4 MiB. One value is at most 1 MB, so a batch stays below half of that.
MAX_BATCH_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Numbers:
    """Tell how new a VM's state is; heartbeats carry it.

    Attributes:
        configuration: Number of the configuration in force.
        age_s: Seconds since the store confirmed that configuration, or None.
        sums: For each other kind, the sum of the versions and a fingerprint of names and versions.
    """

    configuration: int
    age_s: float | None
    sums: dict[str, tuple[int, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Objects:
    """Carry objects: the body of the frame ``objects`` and of the reply to ``pull``.

    Attributes:
        objects: Kind, name, version and value of each object.
        more: Whether a repeated ``pull`` returns more.
        numbers: Numbers of the sender.
    """

    objects: tuple[tuple[str, str, int, Any], ...] = ()
    more: bool = False
    numbers: Numbers | None = None

    def stored(self) -> list[interfaces.StoredObject]:
        """Return the objects."""
        return [interfaces.StoredObject(*row) for row in self.objects]


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Ask for objects: the body of the frame ``pull``.

    Attributes:
        names: Kind and name of wanted objects.
        have: Version of each known object by kind and name. What is newer is returned, for these kinds only.
        number: Number of the configuration in force, or None if a newer one is not wanted.
        parts: Digests of the parts that are present.
    """

    names: tuple[tuple[str, str], ...] = ()
    have: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    number: int | None = None
    parts: frozenset[str] = frozenset()


def numbers(cache: directory.Directory) -> Numbers:
    """Return the numbers of a directory."""
    sums = {kind: cache.summary(kind) for kind in directory.KINDS[1:]}
    return Numbers(cache.configuration.number, cache.configuration_age_s, sums)


def same_state(cache: directory.Directory, body: Mapping[str, Any]) -> bool:
    """Tell whether the numbers of a peer, not yet validated, equal those of a directory apart from the age.

    Nearly all heartbeats say so, and the comparison takes a tenth of the time of ``read_numbers``.
    """
    sums = {kind: list(cache.summary(kind)) for kind in directory.KINDS[1:]}
    return body.get("configuration") == cache.configuration.number and body.get("sums") == sums


def plan_pull(cache: directory.Directory, theirs: Numbers) -> Pull | None:
    """Return the request that brings a directory up to a peer's state, or None if it is not behind.

    Args:
        cache: The directory.
        theirs: Numbers of the peer.
    """
    # Of two VMs that each know something newer, the one with the smaller sum asks first; then the other is behind.
    kinds = [
        kind
        for kind in directory.KINDS[1:]
        if kind in theirs.sums
        and theirs.sums[kind] != cache.summary(kind)
        and theirs.sums[kind][0] >= cache.summary(kind)[0]
    ]
    behind = theirs.configuration > cache.configuration.number
    if not kinds and not behind:
        return None
    have = {kind: cache.versions(kind) for kind in kinds}
    if not behind:
        return Pull(have=have)
    return Pull((), have, cache.configuration.number, frozenset(cache.part_names()))


def answer_pull(cache: directory.Directory, body: dict[str, Any]) -> dict[str, Any]:
    """Return the reply to a ``pull``: as much as one frame may hold, parts before the index that names them.

    Raises:
        errors.MalformedFrameError: The body is not valid.
    """
    wanted = wire.from_map(Pull, body)
    batches = batch(_wanted(cache, wanted))
    first = next(batches, ())
    more = next(batches, None) is not None
    return wire.to_map(Objects(tuple(first), more, numbers(cache)))


def batch(objects: Iterable[interfaces.StoredObject]) -> Iterator[Sequence[tuple[str, str, int, Any]]]:
    """Split objects into rows for frames of bounded size; an object is never split."""
    rows: list[tuple[str, str, int, Any]] = []
    size = 0
    for stored in objects:
        length = _size(stored)
        if rows and size + length > MAX_BATCH_BYTES:
            yield rows
            rows, size = [], 0
        rows.append((stored.kind, stored.name, stored.version, stored.value))
        size += length
    if rows:
        yield rows


def configuration_objects(cache: directory.Directory, known: Iterable[str]) -> list[interfaces.StoredObject]:
    """Return the parts in force that are not in ``known``, followed by their index."""
    names = sorted(set(cache.parts_in_force().values()) - set(known))
    found = [cache.get(configuration.PART_KIND, name) for name in names]
    found.append(cache.get(configuration.INDEX_KIND, configuration.INDEX_NAME))
    return [stored for stored in found if stored is not None]


def read_objects(body: Mapping[str, Any]) -> Objects:
    """Decode the body of an ``objects`` frame or of the reply to a ``pull``.

    Raises:
        errors.MalformedFrameError: The body is not valid.
    """
    return wire.from_map(Objects, body)


def read_numbers(body: Any) -> Numbers:
    """Decode the numbers of a peer.

    Raises:
        errors.MalformedFrameError: The body is not valid.
    """
    return wire.from_map(Numbers, body)


def _wanted(cache: directory.Directory, wanted: Pull) -> Iterator[interfaces.StoredObject]:
    if wanted.number is not None and cache.configuration.number > wanted.number:
        yield from configuration_objects(cache, wanted.parts)
    for kind, versions in wanted.have.items():
        if kind not in directory.KINDS[1:]:
            raise errors.MalformedFrameError(f"Pull.have: unknown kind {kind}")
        for name, version in cache.versions(kind).items():
            stored = cache.get(kind, name)
            if version > versions.get(name, 0) and stored is not None:
                yield stored
    for kind, name in wanted.names:
        stored = cache.get(kind, name)
        if stored is not None:
            yield stored


def _size(stored: interfaces.StoredObject) -> int:
    if stored.kind == configuration.PART_KIND:
        return len(stored.value["text"].encode()) + 100
    return len(json.dumps(stored.value)) + 100
