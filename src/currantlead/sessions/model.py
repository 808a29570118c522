"""Data classes that long-lived sessions work on: configuration, instances and log positions."""

import dataclasses
import enum
from collections.abc import Mapping


class Consistency(enum.Enum):
    """Say which commits a read on a route must see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


class Role(enum.Enum):
    """Say what an instance takes itself for."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Locate a commit in the log of a service; a later term comes after every number of an earlier one."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe one database that callers may connect to.

    Attributes:
        database: Name that callers give.
        service: Service that runs its statements.
        consistency: Which commits its reads must see.
        timeout_s: Limit of a single statement, in seconds.
        target_s: Response-time objective of a whole operation, in seconds.
        priority: Precedence among waiting statements; 0 is the highest.
        max_staleness_s: Age of data that its reads accept, in seconds; 0 on routes to the primary.
        anonymous: Whether callers need no key.
        regions: Regions that its statements may run in; empty for all.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_s: float
    target_s: float
    priority: int
    max_staleness_s: float = 0.0
    anonymous: bool = False
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service.

    Attributes:
        name: Name of the service.
        connections: Connections that one instance accepts, over all callers.
    """

    name: str
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Describe a tenant.

    Attributes:
        name: Name that instances are told.
        rate: Operations per second over all VMs.
        burst: Operations admitted at once after a pause, over all VMs.
        regions: Regions that its statements may run in; empty for all.
    """

    name: str
    rate: float
    burst: float
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the whole configuration.

    Attributes:
        revision: Revision of the store at which it was written; 0 before the first one.
        version: The operator's version number.
        routes: Routes by database name.
        services: Services by name.
        organisations: Organisations by name.
        organisation_by_key: Name of the organisation for each valid key.
        transaction_idle_s: A transaction that is idle for longer may be ended, in seconds.
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
    """Describe one running instance of a service as the store lists it.

    Attributes:
        id: Identity of the instance; addresses are reused, identities are not.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        domain: Its failure domain.
        draining: Whether it has announced that it leaves.
        role: What it takes itself for.
        revision: Revision of the store at which the entry changed last.
        born_ms: Unix time of its start in milliseconds, or 0 if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    draining: bool
    role: Role
    revision: int
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe one VM of the system as it registered itself.

    Attributes:
        name: Name of the VM.
        host: IP address of its peer sockets.
        port: Port of its peer sockets, UDP and TCP.
        domain: Its failure domain.
    """

    name: str
    host: str
    port: int
    domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Hold an instance's answer to a status question.

    Attributes:
        role: What the instance takes itself for.
        term: Newest term that it knows.
        received: Position of the last commit that it has received.
        held_term: Term with which its replication is paused; 0 if it is not paused.
    """

    role: Role
    term: int
    received: Position
    held_term: int
