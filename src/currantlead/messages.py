"""Data classes that parts of one daemon, and daemons of different VMs, exchange."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Locate a record in the log of a database group.

    Attributes:
        term: Number of the primary's term.
        index: Log index, counted from 1; 0 is the empty log.
    """

    term: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Identify on whose behalf a request runs.

    Attributes:
        organisation: Name of the organisation; empty on open routes.
        key_digest: SHA-256 of the caller's key in hexadecimal; empty on open routes.
    """

    organisation: str
    key_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Hold one SQL statement and the conditions under which it may run.

    Attributes:
        request: Request id, unique across VMs.
        database: Name of the database.
        sql: Statement text.
        params: Positional parameters.
        write: Whether the statement may change data.
        after: Position that the answering instance must have applied, or None.
        max_age_s: Accepted age of the data in seconds, or None for the session's own consistency only.
        idempotency_key: The caller's idempotency key, or None.
    """

    request: str
    database: str
    sql: str
    params: tuple[Any, ...] = ()
    write: bool = False
    after: Position | None = None
    max_age_s: float | None = None
    idempotency_key: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold the complete result of one statement.

    Attributes:
        request: Request id of the statement that was answered.
        columns: Column names.
        rows: Rows in the order of the database.
        changed: Number of changed rows.
        position: Position that the session has seen after this answer, or None.
        instance: Name of the instance that ran the statement.
        transaction: Id of a transaction that was opened, or None.
    """

    request: str
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    changed: int = 0
    position: Position | None = None
    instance: str = ""
    transaction: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Ask a holder to run one statement outside a transaction.

    Attributes:
        statement: The statement.
        caller: On whose behalf it runs.
        instance: Name of the endpoint instance.
        term: Term of the group that the sender knows.
        timeout_s: Seconds that the sender will wait from the time of sending.
    """

    statement: Statement
    caller: Caller
    instance: str
    term: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Ask a holder to open a transaction on the primary; the answer carries its id."""

    request: str
    database: str
    caller: Caller
    instance: str
    term: int
    after: Position | None
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Ask a holder to run one statement of an open transaction."""

    transaction: str
    statement: Statement
    caller: Caller
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Ask a holder to commit or roll back an open transaction of a database."""

    transaction: str
    request: str
    caller: Caller
    commit: bool
    timeout_s: float
    database: str
