"""Stamps of sent heartbeats, and the time and content of received ones.

A heartbeat is a ``ping`` frame that is sent once per interval in each direction, without a reply. It contains a stamp
and, as an echo, the newest stamp of the receiver that the sender has acknowledged. Separate replies would double the
number of frames.

Keys of the body:
    d: Domain of the sender.
    i: Incarnation of the sender.
    v: Number of the view that the sender has adopted.
    a: Number of the view whose adoption the sender reports, if it differs from ``v``.
    s: Stamp.
    e: Echo.
    x: Present if the sender has suspended the receiver.
    n: Values that other parts attach to heartbeats, by name.
    w: A whole view, for a receiver with an older one.
    wv: Version of that view's platform object.
    r: Present if this is a reply to a heartbeat and needs no reply.
    o: Number of the view of the receiver's domain that a sender of another domain has adopted.
    q: Present if the sender has an older view than the receiver and requests the newer one.
    f: Present if the sender's lease expires soon and it needs the echo at once.
"""

import collections
import secrets
from typing import Any

from currantlead.control import lease

# Only stamps no older than a lease are of use. This many also cover the additional heartbeats during view changes.
_MAX_STAMPS = 256


class Stamps:
    """Stamps of sent heartbeats and the clock readings taken before sending.

    Stamps count up from a random 62-bit number, so that the echo of a stamp of an earlier incarnation is unknown.
    """

    def __init__(self) -> None:
        self._last_stamp = secrets.randbits(62)
        self._sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()

    def issue(self, now: float) -> int:
        """Return a new stamp for heartbeats sent after ``now``."""
        self._last_stamp += 1
        self._sent_at[self._last_stamp] = now
        if len(self._sent_at) > _MAX_STAMPS:
            self._sent_at.popitem(last=False)
        return self._last_stamp

    def sent_at(self, stamp: Any) -> float | None:
        """Return the clock reading of a stamp, or None if it is unknown."""
        return self._sent_at.get(stamp) if type(stamp) is int else None


class Contacts:
    """Time of the last heartbeat of each incarnation, and the last values of each VM."""

    def __init__(self) -> None:
        self._last_heard: dict[lease.Identity, float] = {}
        self._incarnations: dict[str, int] = {}
        self._values: dict[str, dict[str, Any]] = {}

    def expect(self, identity: lease.Identity, now: float) -> None:
        """Count the silence of an incarnation from ``now`` if it has sent no heartbeat yet."""
        if identity not in self._last_heard:
            self._last_heard[identity] = now
            self._incarnations[identity.vm] = identity.incarnation

    def record(self, identity: lease.Identity, values: dict[str, Any] | None, now: float) -> None:
        """Record a heartbeat and the values in it, if any."""
        self._last_heard[identity] = now
        if self._incarnations.get(identity.vm) != identity.incarnation:
            self._last_heard.pop(lease.Identity(identity.vm, self._incarnations.get(identity.vm, -1)), None)
            self._incarnations[identity.vm] = identity.incarnation
        if values is not None:
            self._values[identity.vm] = values

    def silent_s(self, identity: lease.Identity, now: float) -> float:
        """Return the seconds since the last heartbeat of an incarnation; infinite if it is not the latest of its VM."""
        known = self._incarnations.get(identity.vm, identity.incarnation)
        if known != identity.incarnation:
            return float("inf")
        return now - self._last_heard.get(identity, lease.LONG_AGO)

    def incarnation(self, vm: str) -> int | None:
        """Return the latest known incarnation of a VM, or None."""
        return self._incarnations.get(vm)

    def values(self, vm: str) -> dict[str, Any]:
        """Return the values from the latest heartbeat of a VM that contained any."""
        return self._values.get(vm, {})
