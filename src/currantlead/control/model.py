"""Data classes of the state that all VMs share: configuration, database groups, views and shares of rates."""

import dataclasses
import enum
from collections.abc import Mapping

from currantlead import messages
from currantlead.peers import identity


class ServiceState(enum.Enum):
    """Say whether a domain, VM or endpoint instance takes new work."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"
    OUT = "out"


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Describe a failure domain."""

    name: str
    region: str = ""
    state: ServiceState = ServiceState.IN_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a kind of database.

    Attributes:
        name: Name of the service.
        slots: Statements that one instance runs at once.
        connections: Connections that one instance accepts, over all VMs.
        queue_length: Requests of one organisation that may wait at a holder.
        queue_timeout_s: Longest wait in that queue, in seconds.
    """

    name: str
    slots: int
    connections: int
    queue_length: int = 64
    queue_timeout_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """Describe one database of a service; its instances come from the platform's group record."""

    name: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Describe a tenant.

    Attributes:
        name: Name of the organisation.
        rate: Admitted requests per second over all VMs.
        burst: Requests admitted at once after a pause, over all VMs.
        services: Services that it may use.
        keys: SHA-256 digest in hexadecimal for each key's name.
        weight: Share of a busy endpoint relative to other organisations.
    """

    name: str
    rate: float
    burst: float
    services: tuple[str, ...] = ()
    keys: Mapping[str, str] = dataclasses.field(default_factory=dict)
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe an open route: a stored read statement that needs no key."""

    name: str
    database: str
    sql: str
    max_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one numbered snapshot of the whole configuration.

    Attributes:
        number: Number of the snapshot; 0 before the first one.
        domains: Failure domains by name.
        services: Services by name.
        databases: Databases by name.
        organisations: Organisations by name.
        routes: Open routes by name.
        instances: State of endpoint instances that are not in service, by instance name.
        vms: State of VMs that operators took out of service, by VM name.
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
    """Describe one instance of a database group.

    Attributes:
        name: Name of the instance.
        url: Base address of its HTTP interface.
        domain: Its failure domain.
        leaving: Whether the platform announced that it leaves.
    """

    name: str
    url: str
    domain: str
    leaving: bool = False


class Phase(enum.Enum):
    """Name the step of a group record."""

    STABLE = "stable"
    ELECTING = "electing"


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Hold the record of a database group, an object of kind ``groups``.

    Attributes:
        name: Name of the database.
        term: Number of the current term.
        phase: ``ELECTING`` while a promotion to ``term`` is under way; there is no primary then.
        primary: Name of the primary instance in ``term``.
        instances: The instances.
        starts: First index after which each term's own records begin, by term.
        version: Version of the platform object.
    """

    name: str
    term: int
    phase: Phase
    primary: str
    instances: tuple[Instance, ...]
    starts: Mapping[int, int] = dataclasses.field(default_factory=dict)
    version: int = 0

    def instance(self, name: str) -> Instance | None:
        """Return the instance of a name, or None."""
        return next((instance for instance in self.instances if instance.name == name), None)

    def lost(self, position: messages.Position) -> bool:
        """Tell whether a position lies beyond what the current term has kept.

        Args:
            position: A position that a session has seen.

        Returns:
            True if a record that the session has seen is missing from the group's log.
        """
        later = [start for term, start in self.starts.items() if term > position.term]
        return bool(later) and position.index > min(later)


Member = identity.Member


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Hold the numbered list of the active VMs of a failure domain, an object of kind ``views``.

    Attributes:
        domain: The failure domain.
        number: Number of the view; grows by one for each change.
        members: Active VMs, sorted by name.
        witness: A VM of another domain that acknowledges leases where the number of members is even, or None.
        version: Version of the platform object.
    """

    domain: str
    number: int
    members: tuple[Member, ...] = ()
    witness: Member | None = None
    version: int = 0

    def member(self, vm: str) -> Member | None:
        """Return the member of a VM's name, or None."""
        return next((member for member in self.members if member.vm == vm), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Hold the division of all rates over failure domains, the object ``shares/current``.

    While a change is under way a domain uses the smaller of its old and its new share, until all domains whose share
    falls have confirmed the new number.

    Attributes:
        number: Number of the division.
        shares: Share of each domain in this division; the sum is at most 1.
        previous: Share of each domain in the division before.
        confirmed: Number that each domain has confirmed.
        version: Version of the platform object.
    """

    number: int
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    previous: Mapping[str, float] = dataclasses.field(default_factory=dict)
    confirmed: Mapping[str, int] = dataclasses.field(default_factory=dict)
    version: int = 0
