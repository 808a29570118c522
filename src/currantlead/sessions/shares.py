"""How many connections of each instance a VM may use, and which VMs hold those that are too few for all."""

import itertools
from collections.abc import Callable

from currantlead.sessions import holders, members, model

SPARE_CONNECTIONS = 1
"""Connections of each instance that stay free for promotions."""
USED_SHARE = 0.6
"""Share of an instance's connections that the VMs use: it keeps those of VMs without power for 3 s, and VMs that come
back need some of their own meanwhile."""
HELD_SHARE = 0.85
"""Share of an instance's connections that holders use together: each organisation needs connections of its own, and a
holder that loses power leaves fewer of them behind than all VMs would."""
LARGE_SHARE = 0.04
"""Share of all rates from which an organisation is spread over all holders: it fills a connection of 25 by itself."""
LEAST_CONNECTIONS = 2
"""Connections of a VM to an instance, if all VMs can have that many: one alone is taken by a single transaction."""


class Shares:
    """Divide the connections by the VMs that are known."""

    def __init__(self, configuration: Callable[[], model.Configuration], peers: members.Members):
        self._configuration = configuration
        self._peers = peers
        self._ranked: dict[str, tuple[tuple[str, int, int], list[str]]] = {}

    def shared(self, service: str) -> bool:
        """Tell whether an instance accepts fewer connections than there are VMs, so that holders lend them."""
        return self._connections(service) - SPARE_CONNECTIONS < self._peers.count

    def limit(self, service: str) -> int:
        """Return how many connections to one instance a VM that holds any may open."""
        connections = self._connections(service)
        if self.shared(service):
            return max(1, int(connections * HELD_SHARE) // self._holder_count(service))
        usual = int(connections * USED_SHARE) // self._peers.count
        least = min(LEAST_CONNECTIONS, (connections - SPARE_CONNECTIONS) // self._peers.count)
        return max(1, usual, least)

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
        return max(1, int(self._connections(service) * HELD_SHARE) // holders.HELD_CONNECTIONS)

    def _connections(self, service: str) -> int:
        found = self._configuration().services.get(service)
        return found.connections if found is not None else 1
