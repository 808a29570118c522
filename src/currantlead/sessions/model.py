"""Data model of long-lived sessions: configuration, instances, members and log positions."""

import dataclasses
import enum
from collections.abc import Mapping


class Consistency(enum.Enum):
    """Consistency level of the reads on a route."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


class Role(enum.Enum):
    """Replication role that an instance reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Position of a commit in the log of a service; every position of a later term follows those of earlier terms."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe a database that callers may connect to.

    Attributes:
        database: Database name that callers connect with.
        service: Name of the service that runs its statements.
        consistency: Consistency level of its reads.
        timeout_s: Time limit of a single statement, in seconds.
        target_latency_s: Target response time of a whole operation, in seconds.
        priority: Priority of its statements in queues; 0 is the highest.
        max_staleness_s: Maximum age of the data that its reads accept, in seconds; 0 on routes to the primary.
        anonymous: Whether callers may connect without a key.
        regions: Regions in which its statements may run; empty for all.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_s: float
    target_latency_s: float
    priority: int
    max_staleness_s: float = 0.0
    anonymous: bool = False
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that one instance accepts in total.
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Describe a tenant.

    Attributes:
        name: Name that is sent to instances.
        rate: Maximum number of operations per second, summed over all VMs.
        burst: Capacity of the token bucket in operations, summed over all VMs.
        regions: Regions in which its statements may run; empty for all.
    """

    name: str
    rate: float
    burst: float
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the complete configuration.

    Attributes:
        revision: Store revision at which it was written; 0 before the first one was read.
        version: Version number that the operator assigned.
        routes: Routes by database name.
        services: Services by name.
        organisations: Organisations by name.
        organisation_by_key: Name of the organisation for each valid key.
        transaction_idle_s: Idle time after which a transaction may be aborted, in seconds.
    """

    revision: int = 0
    version: int = 0
    routes: Mapping[str, Route] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    organisations: Mapping[str, Organisation] = dataclasses.field(default_factory=dict)
    organisation_by_key: Mapping[str, str] = dataclasses.field(default_factory=dict, repr=False)
    transaction_idle_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Describe a running instance of a service as listed in the store.

    Attributes:
        id: Unique id of the instance; unlike addresses, ids are never reused.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        domain: Its failure domain.
        draining: Whether it has announced its shutdown.
        role: Replication role that it reports.
        revision: Store revision of the entry's last change.
        started_at_ms: Unix time of its start in milliseconds, or 0 if unknown.
        slots: Number of statements that it runs at the same time, as it reports it; 0 if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    draining: bool
    role: Role
    revision: int
    started_at_ms: int = 0
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe a VM of the system as it registered itself in the store.

    Attributes:
        name: Name of the VM.
        host: IP address of its peer sockets.
        port: Port of its peer sockets, UDP and TCP.
        domain: Its failure domain.
        capacity: What it can do, in cores; None counts as average.
    """

    name: str
    host: str
    port: int
    domain: str = ""
    capacity: float | None = None


class DutyStage(enum.Enum):
    """Stage of a duty that its holder has recorded."""

    CLAIMED = "claimed"
    """The holder may act."""
    ORDERED = "ordered"
    """The holder calls for the promotion of an instance."""
    ENDED = "ended"
    """The holder is done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """Describe a duty as the store has it.

    Attributes:
        holder: VM that claimed it last.
        stage: Stage that the holder has reached.
        ordered: Instance that a call names which may still be carried out; empty if there is none.
    """

    holder: str
    stage: DutyStage = DutyStage.CLAIMED
    ordered: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Hold an instance's response to a status request.

    Attributes:
        role: Replication role that the instance reports.
        term: Highest term that it has seen.
        received: Position of the last commit that it has received.
        paused_term: Term for which its replication is paused; 0 if it is not paused.
    """

    role: Role
    term: int
    received: Position
    paused_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageRecord:
    """Describe the windows of usage that are finalised, as the store has them.

    Attributes:
        generation: Generation number of the holder that wrote the record.
        last: Last window that is finalised or passed over; -1 before the first.
        windows: Counts by organisation, for each finalised window that is not known to be reported.
    """

    generation: int
    last: int = -1
    windows: Mapping[int, Mapping[str, int]] = dataclasses.field(default_factory=dict)
