"""Generate statements from an example workload and verify the stored rows against the reported results."""

import dataclasses
import json
import pathlib
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

from tools import load

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


@dataclasses.dataclass(slots=True)
class Violations:
    """Numbers of consistency violations found at the end of a run.

    Attributes:
        lost: Writes reported as completed whose row is missing.
        doubled: Surplus copies of rows that were inserted more than once.
        false_not_run: Writes reported as not run whose row exists.
        stale_reads: Reads that missed a write of the same session that had completed before the read was sent.
    """

    lost: int = 0
    doubled: int = 0
    false_not_run: int = 0
    stale_reads: int = 0


class Workload:
    """Generates random statements of an example workload from a seed."""

    def __init__(self, name: str, databases: Iterable[str], *, seed: int = 1):
        """Load a workload.

        Args:
            name: Name of the workload, read from ``examples/workload-NAME.json``.
            databases: Databases among which the sessions are distributed.
            seed: Seed of the random generator.
        """
        definition = json.loads((EXAMPLES / f"workload-{name}.json").read_text())
        self.schema: list[str] = definition["schema"]
        self.ledgers: list[str] = definition["ledgers"]
        self._generators: dict[str, dict[str, Any]] = definition["generators"]
        self._statements: list[dict[str, Any]] = definition["statements"]
        self._weights = [statement["weight"] for statement in self._statements]
        self._databases = list(databases)
        self._random = random.Random(seed)
        self._count = 0

    def next_operation(self, session: str, *, only: str | None = None) -> load.Operation:
        """Return the next statement of a session.

        Args:
            session: Name of the session, which determines the database.
            only: ``read`` or ``write`` to generate only statements of this access mode, or None for both.

        Returns:
            The statement with its parameters.
        """
        statement = self._random.choices(self._statements, self._weights)[0]
        while only is not None and statement["access"] != only:
            statement = self._random.choices(self._statements, self._weights)[0]
        self._count += 1
        write = statement["access"] == "write"
        row_id = f"{session}-{self._count}" if write else None
        return load.Operation(
            database=self.database_of(session),
            sql=statement["sql"],
            params=[self._value(name, session, row_id) for name in statement["params"]],
            write=write,
            max_age_ms=statement.get("max_age_ms"),
            idempotency_key=row_id if write and statement.get("keyed") else None,
            row_id=row_id,
            ledger=statement.get("ledger"),
            session=session,
        )

    def database_of(self, session: str) -> str:
        """Return the database that a session uses."""
        return self._databases[int(session.rpartition("-")[2]) % len(self._databases)]

    def _value(self, name: str, session: str, row_id: str | None) -> Any:
        if name in ("mark", "session"):
            return row_id if name == "mark" else session
        generator = self._generators[name]
        if generator["kind"] == "identifier":
            return f"{generator['prefix']}{self._random.randrange(generator['count'])}"
        if generator["kind"] == "choice":
            return self._random.choice(generator["values"])
        if generator["kind"] == "integer":
            return self._random.randint(generator["low"], generator["high"])
        return round(self._random.uniform(generator["low"], generator["high"]), 2)


def count_stale_reads(results: Iterable[load.Result]) -> int:
    """Count reads of a session's own rows that miss a write completed before the read was sent.

    Args:
        results: Results of all statements.

    Returns:
        The number of stale reads.
    """
    completed = [result for result in results if result.verdict == load.COMPLETED and result.operation.ledger]
    writes: dict[tuple[str, str | None], list[load.Result]] = {}
    for result in completed:
        if result.operation.write:
            writes.setdefault((result.operation.session, result.operation.ledger), []).append(result)
    stale_reads = 0
    for read in completed:
        if read.operation.write or read.operation.params != [read.operation.session]:
            continue
        row_ids = {row[0] for row in read.rows}
        earlier_writes = writes.get((read.operation.session, read.operation.ledger), [])
        stale_reads += any(
            write.at + write.latency_s <= read.at and write.operation.row_id not in row_ids for write in earlier_writes
        )
    return stale_reads


def find_violations(results: list[load.Result], row_ids: dict[tuple[str, str], list[str]]) -> Violations:
    """Compare the rows stored at the end of a run with the reported results.

    Args:
        results: Results of all statements.
        row_ids: IDs of all stored rows, by database and ledger table.

    Returns:
        The numbers of violations.
    """
    row_counts = {key: Counter(ids) for key, ids in row_ids.items()}
    violations = Violations(stale_reads=count_stale_reads(results))
    for result in results:
        operation = result.operation
        if not operation.write or operation.ledger is None or operation.row_id is None:
            continue
        count = row_counts[(operation.database, operation.ledger)][operation.row_id]
        violations.lost += result.verdict == load.COMPLETED and count == 0
        violations.false_not_run += result.verdict == load.NOT_RUN and count > 0
        violations.doubled += max(0, count - 1)
    return violations
