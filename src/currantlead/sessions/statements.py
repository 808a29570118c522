"""Typed messages between callers, sessions and instances, without their form on the wire."""

import dataclasses
import enum

from currantlead.sessions import model


class Kind(enum.Enum):
    """Name what a statement does."""

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
    """Name why a statement failed."""

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
"""Codes by which an instance says that the statement did not run."""


class TransactionState(enum.Enum):
    """State of a session's transaction as it is told after each answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Hold one statement of a caller.

    Attributes:
        kind: What it does.
        text: The caller's text, passed on unchanged where it runs.
        name: Name of a value or of a prepared statement.
        argument: New value of a session value, shape of a prepared statement, or item and data of an execution.
        writes: Whether a prepared statement writes.
    """

    kind: Kind
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Ask to open a session for a database; ``key`` identifies the caller."""

    database: str
    key: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Ask to run a statement; ``id`` is the caller's name for this attempt."""

    id: str
    statement: Statement


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End the session."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Stand for a message that could not be understood; ``id`` is empty where there is none."""

    id: str
    detail: str


CallerMessage = Start | Query | End | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Describe a statement that failed; ``detail`` is text for the caller."""

    code: Code
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Hold one row as the instance sent it."""

    data: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Report success with the instance's signature."""

    signature: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """Close an answer: the transaction's state and the position of the instance's log."""

    state: TransactionState
    position: model.Position | None


InstanceMessage = Row | Done | Failure | Ready


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold one complete answer of an instance.

    Attributes:
        rows: Rows in order.
        result: The signature, or why the statement failed.
        state: State of the connection's transaction after it.
        position: Position of the instance's log, or None if it told none.
        asked_at: Clock reading just before the statement was sent, in seconds.
    """

    rows: tuple[str, ...]
    result: Done | Failure
    state: TransactionState
    position: model.Position | None
    asked_at: float

    @property
    def failure(self) -> Failure | None:
        """Return why the statement failed, or None after a success."""
        return self.result if isinstance(self.result, Failure) else None
