"""Interfaces between the components of the daemon.

Components get them as arguments, so that tests can pass fakes.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol

import result

from currantlead import messages, verdict
from currantlead.control import model

Outcome = result.Result[messages.Answer, verdict.Refusal]
Handler = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]
"""Handler of frames: takes the name of the sending VM and the body, returns the body of the reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Object in the platform's store, with its version."""

    kind: str
    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """Row of the platform's list of VMs, which may be out of date."""

    vm: str
    domain: str
    state: str
    peer_address: str


class Platform(Protocol):
    """Client of the platform's object API.

    Each method raises ``errors.PlatformUnavailableError`` if there is no usable response; a write may then have taken
    effect.
    """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def write(self, kind: str, name: str, value: Any, *, if_version: int) -> int:
        """Write an object if its version is ``if_version``, where 0 means that it must not exist.

        Returns:
            The new version.

        Raises:
            errors.VersionConflictError: The object has another version.
        """

    async def remove(self, kind: str, name: str, *, if_version: int) -> None:
        """Remove an object; raise ``errors.VersionConflictError`` if it has another version than ``if_version``."""

    async def names(self, kind: str) -> Mapping[str, int]:
        """Return the versions of all objects of a kind by name."""

    async def watch(self, kind: str, *, since: int, timeout_s: float) -> tuple[int, Sequence[tuple[str, int]]]:
        """Wait for changes after the revision ``since``.

        Returns:
            The newest revision, and (name, version) of each changed object.
        """

    async def list_vms(self) -> Sequence[ListedVm]:
        """Return the list of VMs, which may be out of date."""


class Peers(Protocol):
    """Streams to other VMs; a frame to the VM itself is handled locally."""

    @property
    def member(self) -> model.Member:
        """This VM's own identity."""

    async def request(self, vm: str, kind: str, body: dict[str, Any], *, timeout_s: float) -> dict[str, Any]:
        """Send a request and return the body of its reply.

        Raises:
            errors.PeerUnreachableError: Nothing was sent.
            errors.PeerAnswerLostError: The frame may have arrived, but no reply was received.
        """

    def notify(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        """Send a frame without waiting for a reply; it may be lost."""

    def handler(self, kind: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler for frames of a kind."""

    def update_addresses(self, members: Sequence[model.Member]) -> None:
        """Store the addresses of other VMs."""

    def connected(self) -> Sequence[str]:
        """Return the VMs with an open stream."""


class Directory(Protocol):
    """Local copy of the shared state; reads never block."""

    @property
    def configuration(self) -> model.Configuration:
        """The newest configuration in force on this VM."""

    @property
    def groups(self) -> Mapping[str, model.Group]:
        """The database groups by name."""

    @property
    def views(self) -> Mapping[str, model.View]:
        """The views by failure domain."""

    @property
    def shares(self) -> model.Shares:
        """The newest division of rates among the failure domains."""

    def subscribe(self, callback: Callable[[str, str], None]) -> None:
        """Call ``callback`` with kind and name of the object after each change of the shared state."""


class Membership(Protocol):
    """This VM's lease, and the roles that follow from the views of the failure domains."""

    def lease_valid(self) -> bool:
        """Return whether this VM's lease is valid now; call it without an await before the use of the result."""

    def owns(self, organisation: str) -> bool:
        """Return whether this VM, with a valid lease, is the active owner of an organisation's bucket in its domain."""

    def owned_since(self, organisation: str) -> float | None:
        """Return the time at which ownership became active, or None."""

    def connection_share(self, instance: str, domain: str) -> float:
        """Return the share, 0 to 1, of the instance's connections that this VM may use; 0 without a valid lease."""

    def owner(self, organisation: str, domain: str) -> str | None:
        """Return the VM that should own an organisation's bucket in a domain, or None if the domain's view is empty."""

    def holders(self, instance: str, domain: str) -> Sequence[str]:
        """Return the VMs that should hold connections to the instance, in order of preference."""

    def alive(self, vm: str) -> bool:
        """Return whether a VM seems to be running; the result may be wrong."""


class Holder(Protocol):
    """Execution of statements on the VM that holds the connections to an instance.

    A write is reported as completed only after a majority of the group's instances has received it in the same term.
    """

    async def execute(self, work: messages.Execute) -> Outcome:
        """Run a statement outside a transaction."""

    async def begin(self, work: messages.Begin) -> Outcome:
        """Open a transaction."""

    async def transact(self, work: messages.Transact) -> Outcome:
        """Run a statement in a transaction."""

    async def finish(self, work: messages.Finish) -> Outcome:
        """Commit or roll back a transaction."""


class Admission(Protocol):
    """Admission of requests within the rates of organisations."""

    async def admit(self, organisation: str) -> verdict.Refusal | None:
        """Spend one token of the organisation; return None if the request is admitted, otherwise the refusal."""


class Action(enum.Enum):
    """Kind of a caller's request."""

    STATEMENT = "statement"
    BEGIN = "begin"
    TRANSACT = "transact"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OPEN = "open"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Validated request of a caller; it holds a digest of the caller's key instead of the key.

    Attributes:
        request: Request id, unique across VMs.
        action: Kind of the request.
        key_digest: SHA-256 digest of the caller's key in hexadecimal, or None on open routes.
        session: Positions in the caller's session token.
        database: Database of a statement or of a new transaction.
        transaction: Id of an open transaction.
        route: Name of an open route.
        sql: Statement text.
        params: Positional parameters.
        write: Whether the statement may change data.
        max_age_s: Maximum age of the data in seconds, or None.
        idempotency_key: The caller's idempotency key, or None.
    """

    request: str
    action: Action
    key_digest: str | None = None
    session: Mapping[str, messages.Position] = dataclasses.field(default_factory=dict)
    database: str = ""
    transaction: str = ""
    route: str = ""
    sql: str = ""
    params: tuple[Any, ...] = ()
    write: bool = False
    max_age_s: float | None = None
    idempotency_key: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReply:
    """Outcome of a caller's request, and the new positions of its session."""

    outcome: Outcome
    session: Mapping[str, messages.Position]


class Proxy(Protocol):
    """Processing of callers' requests, from authentication to the answer."""

    async def handle(self, request: CallerRequest) -> CallerReply:
        """Process a request of a caller."""
