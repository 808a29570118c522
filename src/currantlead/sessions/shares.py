"""How many connections of each instance a VM may use, and which VMs hold those that are too few for all."""

import itertools
from collections.abc import Callable

from currantlead.sessions import holders, members, model

USED_SHARE = 0.6
"""Share of an instance's connections that the VMs use: it keeps those of VMs without power for 3 s, and VMs that come
back need some of their own meanwhile."""
HELD_SHARE = 0.85
"""Share of an instance's connections that holders use together: each organisation needs connections of its own, and a
holder that loses power leaves fewer of them behind than all VMs would."""
LARGE_SHARE = 0.04
"""Share of all rates from which an organisation is spread over all holders: it fills a connection of 25 by itself."""
OWN_CONNECTIONS = 2.5
"""Connections to an instance that each VM needs for itself; with fewer, organisations exchange them all the time (2 of
253 for each of 77 VMs: four in ten statements opened one)."""
HOLDERS_LEAST, HOLDERS_MOST = 2, 4
"""Holders of one instance: another is there when one dies, and each has enough connections for its organisations."""


class Shares:
    """Divide the connections by the VMs that are known."""

    def __init__(self, configuration: Callable[[], model.Configuration], peers: members.Members):
        self._configuration = configuration
        self._peers = peers
        self._ranked: dict[str, tuple[tuple[str, int, int], list[str]]] = {}

    def shared(self, service: str) -> bool:
        """Tell whether an instance accepts too few connections for all VMs, so that a few hold them for the others."""
        return self._connections(service) * USED_SHARE < OWN_CONNECTIONS * self._peers.count

    def limit(self, service: str) -> int:
        """Return how many connections to one instance a VM that holds any may open."""
        connections = self._connections(service)
        if self.shared(service):
            return max(1, int(connections * HELD_SHARE) // self._holder_count(service))
        return max(1, int(connections * USED_SHARE) // self._peers.count)

    def holders(self, instance: model.Instance, is_down: Callable[[str], bool] = lambda vm: False) -> list[str]:
        """Return the VMs that hold an instance's connections, those that do not answer left out."""
        count = self._holder_count(instance.service)
        key = instance.id, self._peers.version, count
        ranked = self._ranked.get(instance.id)
        if ranked is None or ranked[0] != key:
            ranked = self._ranked[instance.id] = key, holders.rank(instance, self._peers.all(), count)
        return list(itertools.islice((name for name in ranked[1] if not is_down(name)), count))

    def is_large(self, organisation: str) -> bool:
        """Tell whether an organisation needs several connections of an instance; callers without a key may be many."""
        found = self._configuration().organisations
        if organisation not in found:
            return True
        return found[organisation].rate >= LARGE_SHARE * sum(item.rate for item in found.values())

    def _holder_count(self, service: str) -> int:
        wanted = int(self._connections(service) * HELD_SHARE) // holders.HELD_CONNECTIONS
        return min(max(wanted, HOLDERS_LEAST), HOLDERS_MOST)

    def _connections(self, service: str) -> int:
        found = self._configuration().services.get(service)
        return found.connections if found is not None else 1
