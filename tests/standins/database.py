"""Replicated log and sqlite state of the stand-in endpoint instance."""

import dataclasses
import json
import pathlib
import sqlite3
import tempfile
from typing import Any

_TRANSACTION_ACTIONS = {
    sqlite3.SQLITE_TRANSACTION,
    sqlite3.SQLITE_SAVEPOINT,
    sqlite3.SQLITE_ATTACH,
    sqlite3.SQLITE_DETACH,
}
_READ_ACTIONS = {sqlite3.SQLITE_SELECT, sqlite3.SQLITE_READ, sqlite3.SQLITE_FUNCTION, sqlite3.SQLITE_RECURSIVE}


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Log record: the write statements of one committed transaction."""

    term: int
    index: int
    statements: list[Any]


class Session:
    """Run statements on one sqlite connection.

    SQL statements that control transactions are denied, because the HTTP interface has its own routes for them.
    """

    def __init__(self, path: pathlib.Path):
        self.statements: list[Any] = []
        self.in_transaction = False
        self._access: str | None = None
        self._database = sqlite3.connect(path, isolation_level=None, cached_statements=0)
        self._database.execute("PRAGMA journal_mode=WAL")
        self._database.execute("PRAGMA synchronous=OFF")
        self._database.set_authorizer(self._authorize)

    def begin(self) -> None:
        """Begin a transaction that holds sqlite's write lock."""
        self._database.execute("BEGIN IMMEDIATE")
        self.in_transaction = True
        self.statements = []

    def commit(self) -> list[Any]:
        """Commit and return the write statements of the transaction."""
        self._database.execute("COMMIT")
        self.in_transaction = False
        return self.statements

    def rollback(self) -> None:
        """Roll back if a transaction is open."""
        if self._database.in_transaction:
            self._database.execute("ROLLBACK")
        self.in_transaction = False
        self.statements = []

    def run(self, sql: str, params: list[Any], access: str) -> dict[str, Any]:
        """Run one statement; return its columns, its rows and the number of changed rows."""
        self._access = access
        before = self._database.total_changes
        try:
            cursor = self._database.execute(sql, params)
            rows = cursor.fetchall()
        finally:
            self._access = None
        if access == "write":
            self.statements.append([sql, params])
        columns = [column[0] for column in cursor.description or ()]
        return {"columns": columns, "rows": rows, "changed": self._database.total_changes - before}

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        self._database.close()

    def _authorize(self, action: int, *_: Any) -> int:
        if self._access is None:
            return sqlite3.SQLITE_OK
        if action in _TRANSACTION_ACTIONS or (self._access == "read" and action not in _READ_ACTIONS):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK


class Log:
    """Ordered log records, and the sqlite file to which a prefix of them is applied.

    If a directory is given, records and term survive a restart of the process. They are not synced to disk, so they
    may be lost if the machine crashes.
    """

    def __init__(self, directory: str | None = None):
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="endpoint-")
        self._directory = pathlib.Path(directory) if directory else None
        self._generation = 0
        self.records: list[Record] = []
        self.applied = 0
        self.meta: dict[str, Any] = {}
        self._load()
        self._apply_session = self.session()

    @property
    def index(self) -> int:
        """Return the index of the last record."""
        return len(self.records)

    @property
    def term(self) -> int:
        """Return the term of the last record."""
        return self.records[-1].term if self.records else 0

    def term_at(self, index: int) -> int | None:
        """Return the term of the record at an index; 0 for index 0, None beyond the last record."""
        if index == 0:
            return 0
        return self.records[index - 1].term if index <= len(self.records) else None

    def session(self) -> Session:
        """Open a connection to the current sqlite file."""
        return Session(pathlib.Path(self._temporary_directory.name) / f"{self._generation}.db")

    def append(self, record: Record) -> None:
        """Append the next record."""
        self.records.append(record)
        if self._directory is not None:
            with (self._directory / "log.jsonl").open("a") as file:
                file.write(json.dumps(dataclasses.astuple(record)) + "\n")

    def apply(self, through: int) -> None:
        """Apply the records up to an index that are not yet applied to the sqlite file."""
        for record in self.records[self.applied : through]:
            self._apply_session.begin()
            for sql, params in record.statements:
                self._apply_session.run(sql, params, "write")
            self._apply_session.commit()
        self.applied = max(self.applied, min(through, self.index))

    def truncate(self, index: int) -> bool:
        """Discard the records after an index; return whether the sqlite file had to be rebuilt."""
        if index >= self.index:
            return False
        del self.records[index:]
        if self._directory is not None:
            lines = [json.dumps(dataclasses.astuple(record)) + "\n" for record in self.records]
            (self._directory / "log.jsonl").write_text("".join(lines))
        if index >= self.applied:
            return False
        self._apply_session.close()
        self._generation += 1
        self._apply_session = self.session()
        self.applied = 0
        self.apply(index)
        return True

    def save_meta(self, meta: dict[str, Any]) -> None:
        """Store the metadata: term, primary and its URL."""
        self.meta = meta
        if self._directory is not None:
            (self._directory / "meta.json").write_text(json.dumps(meta))

    def close(self) -> None:
        """Close and remove the sqlite file."""
        self._apply_session.close()
        self._temporary_directory.cleanup()

    def _load(self) -> None:
        if self._directory is None or not (self._directory / "meta.json").exists():
            return
        self.meta = json.loads((self._directory / "meta.json").read_text())
        log = self._directory / "log.jsonl"
        if log.exists():
            self.records = [Record(*json.loads(line)) for line in log.read_text().splitlines() if line.endswith("]")]
