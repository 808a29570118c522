"""Settings of the session daemon: its addresses, the address of the store, and the bounds that it must keep."""

import dataclasses
import socket
from collections.abc import Mapping

ACCEPT_BACKLOG = 512
"""Listen backlog for the callers of one VM that reconnect at once after a restart. If it is full, a caller's SYN packet
is dropped and retransmitted a second later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    def listen(self) -> socket.socket:
        """Return a listening socket; connections wait in its backlog until they are accepted."""
        return socket.create_server((self.host, self.port), backlog=ACCEPT_BACKLOG)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the time limits and rate tolerances that the deployment guarantees.

    Attributes:
        revocation_s: Maximum time for which a revoked key may still work, in seconds.
        configuration_s: Maximum time until a stored configuration is applied, in seconds.
        drain_s: Time after which a draining instance must not receive new work, in seconds.
        evacuation_s: Time after which an evacuated failure domain must not receive new work, in seconds.
        grace_s: Time between the stop signal and the kill signal, in seconds.
        rate_window_s: Length of the window in which an organisation's operations are counted, in seconds.
        rate_excess: Fraction by which the operations in a window may exceed rate and burst.
        rate_slack: Number of operations by which a window may exceed rate and burst in addition.
    """

    revocation_s: float = 5.0
    configuration_s: float = 3.0
    drain_s: float = 7.0
    evacuation_s: float = 5.0
    grace_s: float = 6.0
    rate_window_s: float = 5.0
    rate_excess: float = 0.1
    rate_slack: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class SessionSettings:
    """Hold the validated settings of one VM.

    Attributes:
        vm: Name of this VM.
        domain: Its failure domain.
        region_of: Region of each failure domain.
        callers: Listen address for callers.
        readiness: Listen address for readiness checks.
        metrics: Listen address for metrics.
        peers: Listen address for streams and datagrams from other VMs.
        store: Address of the platform's store.
        promotions: Address of the platform's promotion API; None if this VM promotes no primaries.
        heartbeat_s: Interval at which instances renew their entries, in seconds.
        bounds: Time limits and rate tolerances that the deployment guarantees.
    """

    vm: str
    domain: str
    region_of: Mapping[str, str]
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    store: Address
    promotions: Address | None
    heartbeat_s: float
    bounds: Bounds
