"""Divides the connections of each instance among the VMs.

If an instance accepts too few connections for every VM, a few VMs, the holders, open them for all others.
"""

import itertools
from collections.abc import Callable, Sequence

from currantlead.sessions import model
from currantlead.sessions.decisions import holder_choice
from currantlead.sessions.instances import holders
from currantlead.sessions.membership import members

DIRECT_SHARE = 0.6
"""Share of an instance's connections that the VMs use if each VM has its own: an instance keeps the connections of a VM
that lost power for another 3 s, and restarted VMs need connections of their own in the meantime."""
HOLDER_SHARE = 0.85
"""Share of an instance's connections that all its holders use together. It is higher, because each organisation needs
connections of its own, and a holder that loses power leaves fewer connections open than all VMs together would."""
LARGE_RATE_SHARE = 0.04
"""Share of the sum of all rates from which an organisation is spread over all holders: at this share it alone keeps one
of 25 connections busy."""
UNKNOWN_WEIGHT = 1.0
"""Weight in queues of organisations without a rate, such as callers without a key, in operations per second: less than
the rates of organisations, so that many unknown callers take little from them."""
MIN_DIRECT_CONNECTIONS = 2.5
"""Minimum number of connections per VM and instance for direct use. With fewer, connections are constantly reopened for
other organisations: with 2 of 253 connections for each of 77 VMs, four in ten statements opened one."""
MIN_HOLDERS, MAX_HOLDERS = 2, 4
"""Limits of the number of holders per instance: another one remains if one fails, and each has enough connections for
its organisations."""

MAX_REMEMBERED_ORDERS = 1024
"""Number of orders of holders that are remembered, one for each instance and organisation: computing one takes 14 us or
more for each statement, and this many take about 200 KB."""


class ConnectionLimits:
    """Connection limits and holders, computed from the configuration and the known VMs.

    Args:
        configuration: Returns the configuration in force.
        known_members: The VMs of the system.
    """

    def __init__(self, configuration: Callable[[], model.Configuration], known_members: members.Members):
        self._configuration = configuration
        self._members = known_members
        self._rate_sum: tuple[model.Configuration | None, float] = None, 0.0
        self._orders: dict[tuple[str, ...], list[str]] = {}
        self._orders_version = -1
        self._rankings: dict[str, tuple[tuple[str, int, int], list[str]]] = {}

    def uses_holders(self, service: str) -> bool:
        """Return whether instances of a service accept too few connections for all VMs, so that holders share them."""
        return self._connection_limit(service) * DIRECT_SHARE < MIN_DIRECT_CONNECTIONS * self._members.count

    def limit(self, service: str) -> int:
        """Return how many connections to one instance a VM may open, if it opens any."""
        instance_limit = self._connection_limit(service)
        if self.uses_holders(service):
            return max(1, int(instance_limit * HOLDER_SHARE) // self.holder_count(service))
        return max(1, int(instance_limit * DIRECT_SHARE) // self._members.count)

    def holder_count(self, service: str) -> int:
        """Return how many VMs hold the connections of an instance, if holders share them."""
        needed = int(self._connection_limit(service) * HOLDER_SHARE) // holders.HOLDER_CONNECTIONS
        return min(max(needed, MIN_HOLDERS), MAX_HOLDERS)

    def ranking(self, instance: model.Instance) -> list[str]:
        """Return all VMs in order of preference as holders of an instance."""
        count = self.holder_count(instance.service)
        key = instance.id, self._members.version, count
        cached = self._rankings.get(instance.id)
        if cached is None or cached[0] != key:
            cached = self._rankings[instance.id] = key, holder_choice.rank_holders(instance, self._members.all(), count)
        return cached[1]

    def holders(self, instance: model.Instance, is_down: Callable[[str], bool] = lambda vm: False) -> list[str]:
        """Return the VMs that hold an instance's connections, skipping those that are down."""
        available = (name for name in self.ranking(instance) if not is_down(name))
        return list(itertools.islice(available, self.holder_count(instance.service)))

    def weight(self, organisation: str) -> float:
        """Return the weight of an organisation in queues: its rate, in operations per second."""
        known = self._configuration().organisations.get(organisation)
        return known.rate if known is not None else UNKNOWN_WEIGHT

    def order_holders(
        self, names: Sequence[str], *subject: str, level_of: Callable[[str], int] | None = None
    ) -> list[str]:
        """Return holders in the order in which they are tried; see ``holder_choice.order_holders``.

        With capacities, the order without overload is remembered until the members change.
        """
        if level_of is None:
            return holder_choice.order_holders(self._find_members(names), *subject)
        if self._orders_version != self._members.version or len(self._orders) >= MAX_REMEMBERED_ORDERS:
            self._orders.clear()
            self._orders_version = self._members.version
        key = (*names, "", *subject)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = holder_choice.order_holders(self._find_members(names), *subject)
        if any(map(level_of, order)):
            return holder_choice.order_holders(self._find_members(names), *subject, level_of=level_of)
        return list(order)

    def _find_members(self, names: Sequence[str]) -> list[model.Member]:
        return [self._members.get(name) or model.Member(name, "", 0) for name in names]

    def is_large(self, organisation: str) -> bool:
        """Return whether an organisation needs several connections to an instance.

        Unknown organisations, such as callers without a key, count as large, because they may be many.
        """
        configuration = self._configuration()
        organisations = configuration.organisations
        if organisation not in organisations:
            return True
        if self._rate_sum[0] is not configuration:
            self._rate_sum = configuration, sum(entry.rate for entry in organisations.values())
        return organisations[organisation].rate >= LARGE_RATE_SHARE * self._rate_sum[1]

    def _connection_limit(self, service: str) -> int:
        configured = self._configuration().services.get(service)
        return configured.max_connections if configured is not None else 1
