"""Settings of the session daemon: where it listens, where the store is, and the bounds that it has to keep."""

import dataclasses
import socket
from collections.abc import Mapping

ACCEPT_BACKLOG = 512
"""Callers of one VM that reconnect at once after a restart; beyond it opening packets are sent again a second later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    def listen(self) -> socket.socket:
        """Return a socket that accepts connections here; those that come before they are served wait in its queue."""
        return socket.create_server((self.host, self.port), backlog=ACCEPT_BACKLOG)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the times and allowances that the deployment promises.

    Attributes:
        revocation_s: A withdrawn key must not work for longer, in seconds.
        configuration_s: A stored configuration must be in force within this time, in seconds.
        drain_s: A draining instance must get no new work after this time, in seconds.
        evacuation_s: An evacuated failure domain must get no new work after this time, in seconds.
        grace_s: Time between the order to stop and the kill, in seconds.
        rate_window_s: Window over which an organisation's operations are counted, in seconds.
        rate_excess: Part of rate and burst that a window may hold beyond them.
        rate_slack: Operations that a window may hold beyond that.
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
    """Hold the checked settings of one VM.

    Attributes:
        vm: Name of this VM.
        domain: Its failure domain.
        region_of: Region of each failure domain.
        callers: Address that callers connect to.
        readiness: Address that answers whether this VM takes new sessions.
        metrics: Address that serves metrics.
        peers: Address for datagrams between VMs.
        store: Address of the platform's store.
        promotions: Address that takes promotion calls.
        heartbeat_s: Interval at which instances renew their entries, in seconds.
        bounds: Promised times and allowances.
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
