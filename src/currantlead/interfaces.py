"""Interfaces between the parts of the daemon.

Parts receive these by argument, so that tests can pass small fakes.
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
"""Handles a frame: takes the sender's VM name and the body, returns the body of the reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold an object of the platform with its version."""

    kind: str
    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """Hold one row of the platform's lagging list of VMs."""

    vm: str
    domain: str
    state: str
    peer_address: str


class Platform(Protocol):
    """Describe the client of the platform's object API.

    Each method raises ``errors.PlatformUnavailableError`` if there was no usable answer; a write may then have taken
    effect.
    """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    async def write(self, kind: str, name: str, value: Any, *, if_version: int) -> int:
        """Write an object if its version is ``if_version`` (0: it must not exist); return the new version.

        Raises ``errors.VersionConflictError`` otherwise.
        """

    async def remove(self, kind: str, name: str, *, if_version: int) -> None:
        """Remove an object; raise ``errors.VersionConflictError`` if it has another version."""

    async def names(self, kind: str) -> Mapping[str, int]:
        """Return the version of each object of a kind by name."""

    async def watch(self, kind: str, *, since: int, timeout_s: float) -> tuple[int, Sequence[tuple[str, int]]]:
        """Wait for changes after revision ``since``; return the newest revision and (name, version) of each change."""

    async def list_vms(self) -> Sequence[ListedVm]:
        """Return the lagging list of VMs."""


class Peers(Protocol):
    """Describe the streams to other VMs. A frame to the VM itself is handled locally."""

    @property
    def member(self) -> model.Member:
        """Return this VM's own identity."""

    async def request(self, vm: str, kind: str, body: dict[str, Any], *, timeout_s: float) -> dict[str, Any]:
        """Send a request and return the body of its reply.

        Raises ``errors.PeerUnreachableError`` if the frame was not sent at all, and ``errors.PeerAnswerLostError`` if
        it may have arrived.
        """

    def notify(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        """Send a frame without waiting for a reply; it may be lost."""

    def handler(self, kind: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler of a kind of frames."""

    def learn(self, members: Sequence[model.Member]) -> None:
        """Take note of the addresses of other VMs."""

    def connected(self) -> Sequence[str]:
        """Return the VMs with an open stream."""


class Directory(Protocol):
    """Describe what a VM knows of the shared state; reads are local and never wait."""

    @property
    def configuration(self) -> model.Configuration:
        """Return the newest configuration in force here."""

    @property
    def groups(self) -> Mapping[str, model.Group]:
        """Return the database groups by name."""

    @property
    def views(self) -> Mapping[str, model.View]:
        """Return the views by failure domain."""

    @property
    def shares(self) -> model.Shares:
        """Return the newest division of rates."""

    def subscribe(self, callback: Callable[[str, str], None]) -> None:
        """Call back with (kind, name) after each change of the shared state."""


class Membership(Protocol):
    """Describe this VM's lease and the roles that follow from its domain's view."""

    def lease_valid(self) -> bool:
        """Tell whether this VM's lease holds now; call it in the same step as the use."""

    def owns(self, organisation: str) -> bool:
        """Tell whether this VM is the active rate owner of the organisation in its own domain, lease included."""

    def owned_since(self, organisation: str) -> float | None:
        """Return the clock reading at which ownership became active, or None."""

    def connection_share(self, instance: str, domain: str) -> float:
        """Return the share (0 to 1) of the instance's connections that this VM may use now, lease included."""

    def owner(self, organisation: str, domain: str) -> str | None:
        """Return the VM that should own the organisation's bucket in a domain, or None if its view is empty."""

    def holders(self, instance: str, domain: str) -> Sequence[str]:
        """Return the VMs that should hold connections to the instance, best first."""

    def alive(self, vm: str) -> bool:
        """Tell whether a VM is believed to be running; only a hint."""


class Holder(Protocol):
    """Describe the execution of statements at the VM that holds the connections.

    A write is answered as completed only after a majority of the group's instances has it in the same term.
    """

    async def execute(self, work: messages.Execute) -> Outcome:
        """Run one statement outside a transaction."""

    async def begin(self, work: messages.Begin) -> Outcome:
        """Open a transaction."""

    async def transact(self, work: messages.Transact) -> Outcome:
        """Run one statement of a transaction."""

    async def finish(self, work: messages.Finish) -> Outcome:
        """Commit or roll back a transaction."""


class Gate(Protocol):
    """Describe the admission of requests within an organisation's rate."""

    async def admit(self, organisation: str) -> verdict.Refusal | None:
        """Take one token; return a refusal if the organisation is over its rate."""


class Action(enum.Enum):
    """Name what a caller asks for."""

    STATEMENT = "statement"
    BEGIN = "begin"
    TRANSACT = "transact"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OPEN = "open"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a validated request of a caller; the key itself stays in the border.

    Attributes:
        request: Request id, unique across VMs.
        action: What the caller asks for.
        key_digest: SHA-256 of the caller's key in hexadecimal, or None on open routes.
        session: Positions of the caller's session token.
        database: Database of a statement or begin.
        transaction: Id of an open transaction.
        route: Name of an open route.
        sql: Statement text.
        params: Positional parameters.
        write: Whether the statement may change data.
        max_age_s: Accepted age of the data in seconds, or None.
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
    """Hold the outcome of a caller's request and the session's new positions."""

    outcome: Outcome
    session: Mapping[str, messages.Position]


class Proxy(Protocol):
    """Describe the part that takes a request from identity to its answer."""

    async def handle(self, request: CallerRequest) -> CallerReply:
        """Serve one request of a caller."""
