"""Assign keys to VMs by rendezvous hashing."""

import functools
import hashlib
import zlib
from collections.abc import Sequence

# At the target size, the keys of a domain are about 300 instances and the organisations of its callers.
_MAX_CACHED_KEYS = 16384
_MAX_CACHED_RANKINGS = 64


class Ranking:
    """Rank a fixed set of candidates by key; rankings are cached."""

    def __init__(self, candidates: Sequence[str]):
        self.candidates = tuple(candidates)
        self._rankings: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str) -> tuple[str, ...]:
        """Return the candidates in descending order of their weight for a key."""
        ranked = self._rankings.get(key)
        if ranked is None:
            if len(self._rankings) >= _MAX_CACHED_KEYS:
                self._rankings.clear()
            ranked = tuple(sorted(self.candidates, key=lambda name: (_weight(key, name), name), reverse=True))
            self._rankings[key] = ranked
        return ranked


def rank(key: str, candidates: Sequence[str]) -> tuple[str, ...]:
    """Return candidates in descending order of their weight for a key.

    The order depends only on the key and the set of candidates, so that all VMs agree on it. Removing a candidate does
    not change the order of the others, so that a view change moves only the roles of the VM that left or joined.

    Args:
        key: Key to assign.
        candidates: Distinct names.

    Returns:
        The candidates, highest weight first.
    """
    return _ranking(tuple(candidates)).rank(key)


def rotate(key: str, candidates: Sequence[str]) -> tuple[str, ...]:
    """Rotate the candidates by a hash of the key.

    Meant for keys that occur once, such as request ids: ``rank`` caches each key, so they would evict the rankings of
    roles.
    """
    if not candidates:
        return ()
    first = zlib.crc32(key.encode()) % len(candidates)
    return (*candidates[first:], *candidates[:first])


@functools.lru_cache(maxsize=_MAX_CACHED_RANKINGS)
def _ranking(candidates: tuple[str, ...]) -> Ranking:
    return Ranking(candidates)


def _weight(key: str, candidate: str) -> bytes:
    # The length prefix distinguishes pairs whose concatenations are equal.
    return hashlib.blake2b(f"{len(key)}:{key}:{candidate}".encode(), digest_size=8).digest()
