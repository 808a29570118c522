"""Make operations from an example workload and compare ledgers with what callers were told."""

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
class Ledger:
    """Count what the end of a run shows.

    Attributes:
        lost: Writes that were answered as completed and are missing.
        doubled: Rows that stand more than once.
        false_not_run: Writes that were answered as not run and are there.
        stale_reads: Reads that missed a write of their own session completed before them.
    """

    lost: int = 0
    doubled: int = 0
    false_not_run: int = 0
    stale_reads: int = 0


class Workload:
    """Draw statements of an example workload with seeded parameters."""

    def __init__(self, name: str, databases: Iterable[str], *, seed: int = 1):
        """Load a workload.

        Args:
            name: ``examples/workload-NAME.json``.
            databases: Databases over which sessions are spread.
            seed: Seed of all draws.
        """
        described = json.loads((EXAMPLES / f"workload-{name}.json").read_text())
        self.schema: list[str] = described["schema"]
        self.ledgers: list[str] = described["ledgers"]
        self._generators: dict[str, dict[str, Any]] = described["generators"]
        self._statements: list[dict[str, Any]] = described["statements"]
        self._weights = [statement["weight"] for statement in self._statements]
        self._databases = list(databases)
        self._random = random.Random(seed)
        self._count = 0

    def draw(self, session: str, *, only: str | None = None) -> load.Operation:
        """Return the next operation of a session.

        Args:
            session: Name of the session; decides its database.
            only: ``read`` or ``write`` to draw only these, or None.

        Returns:
            The operation.
        """
        statement = self._random.choices(self._statements, self._weights)[0]
        while only is not None and statement["access"] != only:
            statement = self._random.choices(self._statements, self._weights)[0]
        self._count += 1
        write = statement["access"] == "write"
        mark = f"{session}-{self._count}" if write else None
        return load.Operation(
            database=self.database_of(session),
            sql=statement["sql"],
            params=[self._value(name, session, mark) for name in statement["params"]],
            write=write,
            max_age_ms=statement.get("max_age_ms"),
            idempotency_key=mark if write and statement.get("keyed") else None,
            mark=mark,
            ledger=statement.get("ledger"),
            session=session,
        )

    def database_of(self, session: str) -> str:
        """Return the database of a session."""
        return self._databases[int(session.rpartition("-")[2]) % len(self._databases)]

    def _value(self, name: str, session: str, mark: str | None) -> Any:
        if name in ("mark", "session"):
            return mark if name == "mark" else session
        generator = self._generators[name]
        if generator["kind"] == "identifier":
            return f"{generator['prefix']}{self._random.randrange(generator['count'])}"
        if generator["kind"] == "choice":
            return self._random.choice(generator["values"])
        if generator["kind"] == "integer":
            return self._random.randint(generator["low"], generator["high"])
        return round(self._random.uniform(generator["low"], generator["high"]), 2)


def count_stale_reads(told: Iterable[load.Told]) -> int:
    """Count reads of a session's own rows that miss a write completed before the read was sent.

    Args:
        told: What callers were told.

    Returns:
        The number of stale reads.
    """
    completed = [item for item in told if item.verdict == load.COMPLETED and item.operation.ledger]
    writes: dict[tuple[str, str | None], list[load.Told]] = {}
    for item in completed:
        if item.operation.write:
            writes.setdefault((item.operation.session, item.operation.ledger), []).append(item)
    stale = 0
    for read in completed:
        if read.operation.write or read.operation.params != [read.operation.session]:
            continue
        seen = {row[0] for row in read.rows}
        before = writes.get((read.operation.session, read.operation.ledger), [])
        stale += any(w.at + w.latency_s <= read.at and w.operation.mark not in seen for w in before)
    return stale


def compare(told: list[load.Told], marks: dict[tuple[str, str], list[str]]) -> Ledger:
    """Compare the ledgers at the end with what callers were told.

    Args:
        told: What callers were told.
        marks: All marks by database and ledger.

    Returns:
        The counts.
    """
    counted = {place: Counter(found) for place, found in marks.items()}
    ledger = Ledger(stale_reads=count_stale_reads(told))
    for item in told:
        operation = item.operation
        if not operation.write or operation.ledger is None or operation.mark is None:
            continue
        found = counted[(operation.database, operation.ledger)][operation.mark]
        ledger.lost += item.verdict == load.COMPLETED and found == 0
        ledger.false_not_run += item.verdict == load.NOT_RUN and found > 0
        ledger.doubled += max(0, found - 1)
    return ledger
