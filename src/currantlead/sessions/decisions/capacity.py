"""Capacity of VMs: its estimate, the choice of VMs in proportion to it, and steps of overload; all decisions are pure.

The capacities in the members' records are the only input of a choice, so that all VMs choose alike. Overload, which VMs
learn at different times, only moves work between VMs that have been chosen already.
"""

import math
from collections.abc import Callable, Sequence

from currantlead.sessions import model

MIN_CAPACITY, MAX_CAPACITY = 0.05, 16.0
"""Limits of a capacity, in cores: a wrong setting must neither exclude a VM nor give it all roles."""
LINK_MBPS_PER_CORE = 11.0
"""Link that a core needs, in Mbit/s: a core runs about 1,000 orders a second, and an order moves about 1.4 KB over the
streams and the connections to instances."""
BASE_MEMORY_MB = 64.0
"""Memory that a VM needs without any role, in megabytes: the process takes 17 MB idle and more with its sessions."""
MEMORY_MB_PER_CORE = 128.0
"""Memory that a core needs for the sessions, connections and queues that it serves, in megabytes. It limits only VMs
with less than half of the smallest memory in service, 152 MB."""
CAPACITY_DIGITS = 3
"""Decimal digits of a capacity in a record, so that a restarted VM finds exactly its own value."""

MAX_LEVEL = 3
"""Number of steps in which an overloaded VM gives up its work."""
OVERLOAD_LAG_S = 0.03
"""Delay of the event loop from which a VM is overloaded. An order passes the loop of a holder four times, so that this
takes 0.12 s, which is 30% of the shortest objective, 0.4 s."""
RECOVERED_LAG_S = 0.01
"""Delay of the event loop below which a VM takes work back; well below ``OVERLOAD_LAG_S``, because the delay falls as
soon as work has moved away."""
LAG_SMOOTHING = 0.2
"""Weight of the latest measurement in the moving average of the delay, with ten measurements a second."""
MAX_LAG_S = 0.25
"""Longest delay that one measurement counts as: after a single pause of the process the average is above
``OVERLOAD_LAG_S`` for 0.3 s, which is at most one step."""
RAISE_INTERVAL_S = 0.5
"""Minimum time between two steps up, in which the effect of the first one shows."""
LOWER_INTERVAL_S = 3.0
"""Time without overload after which one step is taken back. It is longer than ``RAISE_INTERVAL_S``, so that work does
not move back and forth."""


def estimate_capacity(cores: float | None, memory_mb: float | None, link_mbps: float | None) -> float | None:
    """Return the capacity of a VM in cores, limited by the scarcest resource, or None if no resource is known.

    Args:
        cores: Processor cores that the VM may use.
        memory_mb: Memory that it may use, in megabytes.
        link_mbps: Rate of its network link, in Mbit/s.
    """
    limits = []
    if cores is not None:
        limits.append(cores)
    if memory_mb is not None:
        limits.append((memory_mb - BASE_MEMORY_MB) / MEMORY_MB_PER_CORE)
    if link_mbps is not None:
        limits.append(link_mbps / LINK_MBPS_PER_CORE)
    if not limits:
        return None
    return round(min(max(min(limits), MIN_CAPACITY), MAX_CAPACITY), CAPACITY_DIGITS)


def sort_by_hash(members: Sequence[model.Member], hash_of: Callable[[model.Member], bytes]) -> list[model.Member]:
    """Return VMs in the order of weighted rendezvous hashing: each comes first with a probability as its capacity.

    A VM whose record has no capacity counts as the average of the others. If no record has one, or all have the same,
    the order is that of the hashes.

    Args:
        members: The VMs.
        hash_of: Returns the hash of a VM and the subject of the choice.
    """
    known = [member.capacity for member in members if member.capacity is not None]
    if not known:
        return sorted(members, key=hash_of)
    average = math.fsum(known) / len(known)

    def sort_key(member: model.Member) -> tuple[float, bytes]:
        digest = hash_of(member)
        # 53 bits keep the fraction below 1.
        fraction = (int.from_bytes(digest[:8]) >> 11) / (1 << 53)
        return -math.log1p(-fraction) / (average if member.capacity is None else member.capacity), digest

    return sorted(members, key=sort_key)


def gives_up(digest: bytes, level: int) -> bool:
    """Return whether a VM that is overloaded by ``level`` gives up the subject of a hash to the others.

    Args:
        digest: Hash of the VM and the subject.
        level: Step of overload, up to ``MAX_LEVEL``, at which it gives up everything that others can do.
    """
    # The last byte is nearly independent of the order of the hashes.
    return digest[-1] % MAX_LEVEL < level


class OverloadTracker:
    """Derive the step of overload of a VM from the delays of its event loop.

    Attributes:
        level: Present step; 0 is not overloaded.
        lag_s: Smoothed delay of the event loop, in seconds.
    """

    def __init__(self) -> None:
        self.level = 0
        self.lag_s = 0.0
        self._changed_at = float("-inf")

    def observe(self, lag_s: float, now: float) -> str | None:
        """Take a measurement; return the reason if it changes the step.

        Args:
            lag_s: Delay of a timer on the event loop, in seconds.
            now: Clock reading, in seconds.
        """
        self.lag_s += LAG_SMOOTHING * (min(lag_s, MAX_LAG_S) - self.lag_s)
        if self.lag_s > OVERLOAD_LAG_S:
            if self.level == MAX_LEVEL:
                self._changed_at = now
                return None
            if now - self._changed_at < RAISE_INTERVAL_S:
                return None
            self.level += 1
        elif self.lag_s > RECOVERED_LAG_S:
            # Work is taken back only after an uninterrupted time without overload.
            self._changed_at = now
            return None
        elif not self.level or now - self._changed_at < LOWER_INTERVAL_S:
            return None
        else:
            self.level -= 1
        self._changed_at = now
        return f"event loop is {self.lag_s * 1000:.0f} ms late"
