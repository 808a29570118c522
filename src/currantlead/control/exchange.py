"""Bodies of the frames in which VMs exchange platform objects and summaries of their state."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from currantlead import errors, interfaces, wire
from currantlead.control import configuration, directory

# A frame is limited to 4 MiB. A value has at most 1 MB, so that a batch stays below half of that.
MAX_BATCH_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class StateSummary:
    """Summary of the state that a VM knows, sent with heartbeats.

    Attributes:
        configuration: Number of the configuration in force.
        age_s: Seconds since the store confirmed that configuration, or None if it never did.
        sums: For each other kind of objects, the sum of their versions and a fingerprint of their names and versions.
    """

    configuration: int
    age_s: float | None
    sums: dict[str, tuple[int, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Objects:
    """Body of an ``objects`` frame and of the reply to a ``pull``.

    Attributes:
        objects: Kind, name, version and value of each object.
        more: Whether another ``pull`` would return further objects.
        numbers: Summary of the sender's state.
    """

    objects: tuple[tuple[str, str, int, Any], ...] = ()
    more: bool = False
    numbers: StateSummary | None = None

    def stored_objects(self) -> list[interfaces.StoredObject]:
        """Return the objects as platform objects."""
        return [interfaces.StoredObject(*row) for row in self.objects]


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """Body of a ``pull`` frame, a request for objects.

    Attributes:
        names: Kind and name of objects that are requested whatever their version.
        have: Versions of the requester's objects by kind and name. Newer objects of these kinds are returned.
        number: Number of the requester's configuration, or None if a newer one is not requested.
        parts: Digests of the configuration parts that the requester has.
    """

    names: tuple[tuple[str, str], ...] = ()
    have: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    number: int | None = None
    parts: frozenset[str] = frozenset()


def summarize_state(cache: directory.Directory) -> StateSummary:
    """Return the summary of a directory's state."""
    sums = {kind: cache.summary(kind) for kind in directory.KINDS[1:]}
    return StateSummary(cache.configuration.number, cache.configuration_age_s, sums)


def describes_same_state(cache: directory.Directory, body: Mapping[str, Any]) -> bool:
    """Return whether an encoded summary, not yet validated, describes the same state as a directory's, except the age.

    This holds for nearly all heartbeats, and the comparison takes a tenth of the time of ``decode_summary``.
    """
    sums = {kind: list(cache.summary(kind)) for kind in directory.KINDS[1:]}
    return body.get("configuration") == cache.configuration.number and body.get("sums") == sums


def plan_pull(cache: directory.Directory, peer_summary: StateSummary) -> PullRequest | None:
    """Return the request for what a peer has newer than a directory, or None if there is nothing.

    Args:
        cache: The directory.
        peer_summary: Summary of the peer's state.
    """
    # If each of two VMs has newer objects than the other, the one with the smaller sum pulls first; then the other one
    # is behind.
    kinds = [
        kind
        for kind in directory.KINDS[1:]
        if kind in peer_summary.sums
        and peer_summary.sums[kind] != cache.summary(kind)
        and peer_summary.sums[kind][0] >= cache.summary(kind)[0]
    ]
    behind = peer_summary.configuration > cache.configuration.number
    if not kinds and not behind:
        return None
    have = {kind: cache.versions(kind) for kind in kinds}
    if not behind:
        return PullRequest(have=have)
    return PullRequest((), have, cache.configuration.number, frozenset(cache.part_names()))


def answer_pull(cache: directory.Directory, body: dict[str, Any]) -> dict[str, Any]:
    """Return the body of the reply to a ``pull``: as many objects as fit into one frame, parts before their index.

    Raises:
        errors.MalformedFrameError: The body is not valid.
    """
    request = wire.from_map(PullRequest, body)
    batches = batch(_requested_objects(cache, request))
    first = next(batches, ())
    more = next(batches, None) is not None
    return wire.to_map(Objects(tuple(first), more, summarize_state(cache)))


def batch(objects: Iterable[interfaces.StoredObject]) -> Iterator[Sequence[tuple[str, str, int, Any]]]:
    """Group objects into batches of at most ``MAX_BATCH_BYTES``; a larger object is a batch of its own."""
    rows: list[tuple[str, str, int, Any]] = []
    size = 0
    for stored in objects:
        length = _encoded_size(stored)
        if rows and size + length > MAX_BATCH_BYTES:
            yield rows
            rows, size = [], 0
        rows.append((stored.kind, stored.name, stored.version, stored.value))
        size += length
    if rows:
        yield rows


def configuration_objects(cache: directory.Directory, known: Iterable[str]) -> list[interfaces.StoredObject]:
    """Return the parts of the configuration in force whose digests are not in ``known``, followed by its index."""
    names = sorted(set(cache.parts_in_force().values()) - set(known))
    found = [cache.get(configuration.PART_KIND, name) for name in names]
    found.append(cache.get(configuration.INDEX_KIND, configuration.INDEX_NAME))
    return [stored for stored in found if stored is not None]


def decode_objects(body: Mapping[str, Any]) -> Objects:
    """Decode the body of an ``objects`` frame or of the reply to a ``pull``.

    Raises:
        errors.MalformedFrameError: The body is not valid.
    """
    return wire.from_map(Objects, body)


def decode_summary(body: Any) -> StateSummary:
    """Decode the state summary of a peer.

    Raises:
        errors.MalformedFrameError: The body is not valid.
    """
    return wire.from_map(StateSummary, body)


def _requested_objects(cache: directory.Directory, request: PullRequest) -> Iterator[interfaces.StoredObject]:
    if request.number is not None and cache.configuration.number > request.number:
        yield from configuration_objects(cache, request.parts)
    for kind, versions in request.have.items():
        if kind not in directory.KINDS[1:]:
            raise errors.MalformedFrameError(f"PullRequest.have: unknown kind of objects {kind}")
        for name, version in cache.versions(kind).items():
            stored = cache.get(kind, name)
            if version > versions.get(name, 0) and stored is not None:
                yield stored
    for kind, name in request.names:
        stored = cache.get(kind, name)
        if stored is not None:
            yield stored


def _encoded_size(stored: interfaces.StoredObject) -> int:
    if stored.kind == configuration.PART_KIND:
        return len(stored.value["text"].encode()) + 100
    return len(json.dumps(stored.value)) + 100
