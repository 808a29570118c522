"""Build and read heartbeats; pure, apart from the clock reading that each call takes.

A heartbeat is one notification in each direction and second. It carries the sender's own ping and, as an echo, the
newest ping that the sender acknowledged for the receiver. Separate replies would double the number of frames.

Keys of the body: ``d`` domain, ``i`` incarnation, ``v`` number of the adopted view, ``a`` the view that was reported
as adopted where it differs from ``v``, ``s`` stamp, ``e`` echo, ``x`` the receiver is suspended, ``n`` numbers, ``w``
a whole view and ``wv`` its version for a receiver that is behind, ``r`` this answers a heartbeat and wants no answer,
``o`` number of the receiver's view that a sender of another domain has adopted, ``q`` the sender is behind and asks for
the receiver's view, ``f`` the sender's lease ends soon and it needs the echo at once.
"""

import collections
import secrets
from typing import Any

from currantlead.control import lease

# A stamp that is older than the lease is of no use; this covers extra heartbeats during view changes.
_KEPT_STAMPS = 256


class Stamps:
    """Map stamps of sent heartbeats to the clock readings taken before sending.

    Stamps start at a random 62-bit number, so that an echo meant for an earlier incarnation is not recognised.
    """

    def __init__(self) -> None:
        self._next = secrets.randbits(62)
        self._sent: collections.OrderedDict[int, float] = collections.OrderedDict()

    def issue(self, now: float) -> int:
        """Return a new stamp for heartbeats that are sent after ``now``."""
        self._next += 1
        self._sent[self._next] = now
        if len(self._sent) > _KEPT_STAMPS:
            self._sent.popitem(last=False)
        return self._next

    def sent(self, stamp: Any) -> float | None:
        """Return the clock reading of a stamp, or None if it is unknown."""
        return self._sent.get(stamp) if type(stamp) is int else None


class Contacts:
    """Remember when each incarnation was heard last, and what it reported."""

    def __init__(self) -> None:
        self._heard: dict[lease.Identity, float] = {}
        self._incarnations: dict[str, int] = {}
        self._numbers: dict[str, dict[str, Any]] = {}

    def expect(self, identity: lease.Identity, now: float) -> None:
        """Start to wait for an incarnation that was not heard yet."""
        if identity not in self._heard:
            self._heard[identity] = now
            self._incarnations[identity.vm] = identity.incarnation

    def hear(self, identity: lease.Identity, numbers: dict[str, Any] | None, now: float) -> None:
        """Take note of a heartbeat."""
        self._heard[identity] = now
        if self._incarnations.get(identity.vm) != identity.incarnation:
            self._heard.pop(lease.Identity(identity.vm, self._incarnations.get(identity.vm, -1)), None)
            self._incarnations[identity.vm] = identity.incarnation
        if numbers is not None:
            self._numbers[identity.vm] = numbers

    def silent_s(self, identity: lease.Identity, now: float) -> float:
        """Return for how long an incarnation has been silent."""
        known = self._incarnations.get(identity.vm, identity.incarnation)
        if known != identity.incarnation:
            return float("inf")
        return now - self._heard.get(identity, lease.NEVER)

    def incarnation(self, vm: str) -> int | None:
        """Return the newest incarnation that was heard of a VM."""
        return self._incarnations.get(vm)

    def numbers(self, vm: str) -> dict[str, Any]:
        """Return the numbers that a VM reported last."""
        return self._numbers.get(vm, {})
