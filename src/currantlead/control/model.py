"""Data classes of the state shared by all VMs: configuration, database groups, views and rate shares."""

import dataclasses
import enum
from collections.abc import Mapping

from currantlead import messages
from currantlead.peers import identity


class ServiceState(enum.Enum):
    """Service state of a failure domain, VM or endpoint instance; only ``IN_SERVICE`` accepts new work."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"
    OUT = "out"


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Failure domain.

    Attributes:
        name: Name of the domain.
        region: Region of the domain.
        state: Service state.
    """

    name: str
    region: str = ""
    state: ServiceState = ServiceState.IN_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Kind of database, with the limits that apply to each of its instances.

    Attributes:
        name: Name of the service.
        slots: Maximum number of statements that an instance runs concurrently.
        connections: Maximum number of connections to an instance, over all VMs.
        queue_length: Maximum number of requests of one organisation that wait at a holder of connections.
        queue_timeout_s: Maximum time in that queue, in seconds.
    """

    name: str
    slots: int
    connections: int
    queue_length: int = 64
    queue_timeout_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """Database of a service; its instances are listed in its group record."""

    name: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Tenant, with its rate limit and API keys.

    Attributes:
        name: Name of the organisation.
        rate: Maximum number of requests per second, over all VMs.
        burst: Capacity of the token bucket in requests, over all VMs.
        services: Names of the services that it may use.
        keys: SHA-256 digests of its API keys in hexadecimal, by key name.
        weight: Weight in fair queueing at a busy endpoint, relative to other organisations.
    """

    name: str
    rate: float
    burst: float
    services: tuple[str, ...] = ()
    keys: Mapping[str, str] = dataclasses.field(default_factory=dict)
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Open route: a stored read statement that callers run without an API key.

    Attributes:
        name: Name of the route.
        database: Name of the database.
        sql: The statement.
        max_age_s: Maximum age of the data in seconds.
    """

    name: str
    database: str
    sql: str
    max_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Numbered snapshot of the whole configuration.

    Attributes:
        number: Number of the snapshot; 0 stands for no configuration.
        domains: Failure domains by name.
        services: Services by name.
        databases: Databases by name.
        organisations: Organisations by name.
        routes: Open routes by name.
        instances: Service states of endpoint instances that are not in service, by instance name.
        vms: Service states of VMs that operators took out of service, by VM name.
    """

    number: int = 0
    domains: Mapping[str, Domain] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    databases: Mapping[str, Database] = dataclasses.field(default_factory=dict)
    organisations: Mapping[str, Organisation] = dataclasses.field(default_factory=dict)
    routes: Mapping[str, Route] = dataclasses.field(default_factory=dict)
    instances: Mapping[str, ServiceState] = dataclasses.field(default_factory=dict)
    vms: Mapping[str, ServiceState] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Instance of a database group.

    Attributes:
        name: Name of the instance.
        url: Base URL of its HTTP interface.
        domain: Name of its failure domain.
        leaving: Whether the platform announced its shutdown.
    """

    name: str
    url: str
    domain: str
    leaving: bool = False


class Phase(enum.Enum):
    """Phase of a group record: a primary is recorded, or a promotion is under way."""

    STABLE = "stable"
    ELECTING = "electing"


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Record of a database group, stored as an object of kind ``groups``.

    Attributes:
        name: Name of the database.
        term: Number of the current term.
        phase: ``ELECTING`` while a promotion to ``term`` is under way; the group has no primary then.
        primary: Name of the primary in ``term``, or empty.
        instances: Instances of the group.
        starts: Index of the last record before a term's own records, by term.
        version: Version of the stored object.
    """

    name: str
    term: int
    phase: Phase
    primary: str
    instances: tuple[Instance, ...]
    starts: Mapping[int, int] = dataclasses.field(default_factory=dict)
    version: int = 0

    def instance(self, name: str) -> Instance | None:
        """Return the instance with a name, or None."""
        return next((instance for instance in self.instances if instance.name == name), None)

    def has_discarded(self, position: messages.Position) -> bool:
        """Return whether the record at a position was discarded by a later promotion.

        Args:
            position: Position that a session has read or written.

        Returns:
            True if the group's log no longer contains the record.
        """
        later = [start for term, start in self.starts.items() if term > position.term]
        return bool(later) and position.index > min(later)


Member = identity.Member


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Numbered membership view of a failure domain, stored as an object of kind ``views``.

    Attributes:
        domain: Name of the failure domain.
        number: Number of the view, incremented with each change.
        members: Active VMs, sorted by name.
        witness: VM of another domain that acknowledges leases if the number of members is even, or None.
        version: Version of the stored object.
    """

    domain: str
    number: int
    members: tuple[Member, ...] = ()
    witness: Member | None = None
    version: int = 0

    def member(self, vm: str) -> Member | None:
        """Return the member with a VM name, or None."""
        return next((member for member in self.members if member.vm == vm), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Division of all rate limits among the failure domains, stored as the object ``shares/current``.

    During a change, a domain uses the smaller of its previous and its new share until each domain whose share decreases
    has confirmed the new division.

    Attributes:
        number: Number of the division; 0 stands for no division.
        shares: Share of each domain, by name; the sum is at most 1.
        previous: Share of each domain in the previous division, by name.
        confirmed: Number of the latest division that each domain has confirmed, by name.
        version: Version of the stored object.
    """

    number: int
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    previous: Mapping[str, float] = dataclasses.field(default_factory=dict)
    confirmed: Mapping[str, int] = dataclasses.field(default_factory=dict)
    version: int = 0
