"""Messages exchanged between callers, sessions and instances, independent of their wire format."""

import dataclasses
import enum

from currantlead.sessions import model


class Kind(enum.Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Code(enum.Enum):
    """Error code of a failed statement."""

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    MISROUTED = "misrouted"
    OVERLOADED = "overloaded"
    ABORTED = "aborted"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown_statement"
    TIMEOUT = "timeout"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_DATABASE = "unknown_database"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    IN_DOUBT = "in_doubt"


NOT_RUN = frozenset(
    {
        Code.BUSY,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.MISROUTED,
        Code.OVERLOADED,
        Code.UNKNOWN_STATEMENT,
    }
)
"""Error codes with which an instance reports that it did not run the statement."""


NO_CONTACT = "no_contact"
"""Cause of the refusal of a commit while no VM answers that may replace the primary; another attempt would be refused
too."""


class TransactionState(enum.Enum):
    """State of a session's transaction, reported at the end of each response."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One parsed statement of a caller.

    Attributes:
        kind: Kind of the statement.
        text: The caller's text, forwarded unchanged to the instance.
        name: Name of the session value or of the prepared statement.
        argument: Value to set, shape of the statement to prepare, or item and data of a statement to execute.
        writes: Whether the statement writes, or prepares a statement that does.
    """

    kind: Kind
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Request to open a session for a database; ``key`` authenticates the caller."""

    database: str
    key: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Request to run a statement; ``id`` is the request id that the caller assigned to this attempt."""

    id: str
    statement: Statement


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Request to close the session."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Message that could not be parsed; ``id`` is empty if it has no request id."""

    id: str
    detail: str


CallerMessage = Start | Query | End | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reason why a statement failed.

    Attributes:
        code: Error code.
        detail: Message for the caller.
        cause: Cause of a refusal, for metrics; empty if it is not known.
    """

    code: Code
    detail: str = ""
    cause: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One result row, as the instance sent it."""

    data: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Successful completion of a statement, with the instance's signature."""

    signature: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """End of a response, with the state of the transaction and the position of the instance's log."""

    state: TransactionState
    position: model.Position | None


InstanceMessage = Row | Done | Failure | Ready


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """One complete response of an instance.

    Attributes:
        rows: Result rows in order.
        result: Completion with the signature, or the failure.
        state: State of the connection's transaction after the statement.
        position: Position of the instance's log, or None if it was not reported.
        asked_at: Monotonic time just before the statement was sent, in seconds.
    """

    rows: tuple[str, ...]
    result: Done | Failure
    state: TransactionState
    position: model.Position | None
    asked_at: float

    @property
    def failure(self) -> Failure | None:
        """Return the failure, or None if the statement succeeded."""
        return self.result if isinstance(self.result, Failure) else None
