"""Place keys on VMs by rendezvous hashing."""

import functools
import hashlib
import zlib
from collections.abc import Sequence

# At the target size one domain places about 300 instances and the organisations of its callers.
_CACHED_KEYS = 16384
_CACHED_RANKINGS = 64


class Ranking:
    """Rank one set of candidates for many keys; results are kept, so that a repeated call is one look-up."""

    def __init__(self, candidates: Sequence[str]):
        self.candidates = tuple(candidates)
        self._known: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str) -> tuple[str, ...]:
        """Return the candidates in the order of their weight for a key, best first."""
        ranked = self._known.get(key)
        if ranked is None:
            if len(self._known) >= _CACHED_KEYS:
                self._known.clear()
            ranked = tuple(sorted(self.candidates, key=lambda name: (_weight(key, name), name), reverse=True))
            self._known[key] = ranked
        return ranked


def rank(key: str, candidates: Sequence[str]) -> tuple[str, ...]:
    """Order candidates by their weight for a key, best first.

    The order depends only on the key and the set of candidates, on every VM. Without one candidate the order of the
    others stays the same, so that a change of a view moves only the roles of the VM that left or came.

    Args:
        key: What is placed.
        candidates: Distinct names.

    Returns:
        The candidates, best first.
    """
    return _ranking(tuple(candidates)).rank(key)


def rotate(key: str, candidates: Sequence[str]) -> tuple[str, ...]:
    """Return the candidates with one of them first that depends on the key.

    For keys that are used once, such as request ids: ``rank`` keeps each key, so they would push out those of roles.
    """
    if not candidates:
        return ()
    first = zlib.crc32(key.encode()) % len(candidates)
    return (*candidates[first:], *candidates[:first])


@functools.lru_cache(maxsize=_CACHED_RANKINGS)
def _ranking(candidates: tuple[str, ...]) -> Ranking:
    return Ranking(candidates)


def _weight(key: str, candidate: str) -> bytes:
    # The length keeps different pairs apart whose concatenations are equal.
    return hashlib.blake2b(f"{len(key)}:{key}:{candidate}".encode(), digest_size=8).digest()
