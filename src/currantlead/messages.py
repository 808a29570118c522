"""Messages between the components of a daemon and between the daemons of different VMs."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Position of a record in the replicated log of a database group.

    Attributes:
        term: Term of the primary that wrote the record.
        index: Index in the log, counted from 1; 0 for an empty log.
    """

    term: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Caller on whose behalf a request runs.

    Attributes:
        organisation: Name of the organisation; empty on open routes.
        key_digest: SHA-256 digest of the caller's key in hexadecimal; empty on open routes.
    """

    organisation: str
    key_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """SQL statement and the conditions under which it may run.

    Attributes:
        request: Request id, unique across VMs.
        database: Name of the database.
        sql: Statement text.
        params: Positional parameters.
        write: Whether the statement may change data.
        after: Position that the executing instance must have applied, or None.
        max_age_s: Maximum age of the data in seconds; None if only the session's consistency is required.
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
    """Complete result of a statement.

    Attributes:
        request: Request id of the statement.
        columns: Column names.
        rows: Rows in the order returned by the database.
        changed: Number of changed rows.
        position: Position that later reads of the session must have applied, or None.
        instance: Name of the instance that ran the statement.
        transaction: Id of the opened transaction, or None.
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
    """Request to a holder to run a statement outside a transaction.

    Attributes:
        statement: The statement.
        caller: Caller on whose behalf it runs.
        instance: Name of the endpoint instance.
        term: Term of the group as known to the sender.
        timeout_s: Seconds for which the sender waits after sending the request.
    """

    statement: Statement
    caller: Caller
    instance: str
    term: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Request to a holder to open a transaction on the primary; the answer contains its id."""

    request: str
    database: str
    caller: Caller
    instance: str
    term: int
    after: Position | None
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Request to a holder to run a statement in an open transaction."""

    transaction: str
    statement: Statement
    caller: Caller
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Request to a holder to commit or roll back an open transaction of a database."""

    transaction: str
    request: str
    caller: Caller
    commit: bool
    timeout_s: float
    database: str
