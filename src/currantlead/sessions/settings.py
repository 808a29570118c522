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
class LoadManagement:
    """Hold the switches of the decisions under load; all are off by default.

    Attributes:
        load_reports: Whether holders report their queues to other VMs.
        fair_queue: Whether statements wait in a queue that is fair to organisations.
        early_refusal: Whether statements that cannot be served in time are refused on arrival.
        concurrency_limit: Whether the statements that run on an instance are limited by what its answers show.
        completion_placement: Whether reads go to the instance with the earliest expected completion.
        capacity_weights: Whether VMs take on roles in proportion to their capacity.
        answer_health: Whether instances are judged by their answers.
        stale_reads: Whether reads wait for a replica that will catch up in time.
        start_pacing: Whether work and connections are paced after a start of all VMs.
        leave_domain_s: Cost of leaving the failure domain, added to the expected completion, in seconds.
        leave_region_s: Cost of leaving the region, in place of ``leave_domain_s``, in seconds.
        leave_domain_bytes_per_s: Limit of a VM's traffic to instances of other failure domains while those of its own
            can serve in time, in bytes per second; 0 is no limit.
    """

    load_reports: bool = False
    fair_queue: bool = False
    early_refusal: bool = False
    concurrency_limit: bool = False
    completion_placement: bool = False
    capacity_weights: bool = False
    answer_health: bool = False
    stale_reads: bool = False
    start_pacing: bool = False
    leave_domain_s: float = 0.002
    leave_region_s: float = 0.024
    leave_domain_bytes_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReports:
    """Hold the switch and the bounds of usage reports, which are off by default.

    Attributes:
        enabled: Whether the requests that run are counted and reported by organisation.
        window_s: Length of a report's window, in seconds; window ``n`` begins ``n * window_s`` after the start of 1970.
        late_s: Time after the end of a window at which its report is due, in seconds.
        lease_s: Minimum time between the actions of two holders of the duty, in seconds.
        tolerance: Fraction by which a reported count may differ from the truth.
        calls_per_s: Maximum number of calls of all duties per second, over all VMs.
        fencing: Whether the platform checks generation numbers.
    """

    enabled: bool = False
    window_s: float = 5.0
    late_s: float = 10.0
    lease_s: float = 3.0
    tolerance: float = 0.05
    calls_per_s: float = 50.0
    fencing: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Hold the resources of the machine that this VM may use; None is unknown.

    Attributes:
        cores: Processor cores, as a number that may be a fraction.
        memory_mb: Memory, in megabytes.
        link_mbps: Rate of the network link, in Mbit/s.
    """

    cores: float | None = None
    memory_mb: float | None = None
    link_mbps: float | None = None


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
        load_management: Switches of the decisions under load.
        usage_reports: Switch and bounds of usage reports.
        resources: What this VM may use of its machine; unknown if ``capacity_weights`` is off.
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
    load_management: LoadManagement = LoadManagement()
    usage_reports: UsageReports = UsageReports()
    resources: Resources = Resources()
