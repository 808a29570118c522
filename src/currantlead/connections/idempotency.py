"""Idempotency keys, recorded in the same database transaction as the write.

The records are stored in the group's own database, so that they are replicated, kept and lost together with the write.
"""

import hashlib
import json
from collections.abc import Callable
from typing import Any

import result

from currantlead import messages, verdict
from currantlead.connections import endpoint

CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS currantlead_idempotency (organisation TEXT NOT NULL, idempotency_key TEXT NOT NULL,"
    " digest TEXT NOT NULL, answer TEXT NOT NULL, PRIMARY KEY (organisation, idempotency_key))"
)
SELECT_RECORD = "SELECT digest, answer FROM currantlead_idempotency WHERE organisation = ? AND idempotency_key = ?"
INSERT_RECORD = (
    "INSERT INTO currantlead_idempotency (organisation, idempotency_key, digest, answer) VALUES (?, ?, ?, ?)"
)

Outcome = result.Result[endpoint.Reply, verdict.Refusal]


def digest(statement: messages.Statement) -> str:
    """Return the hexadecimal SHA-256 digest of a statement's database, text and parameters."""
    text = json.dumps([statement.database, statement.sql, statement.params], separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


class IdempotentWrite:
    """A write with an idempotency key on a connection that the caller has acquired.

    Args:
        connection: Connection without an open transaction.
        work: Request with a statement that has an idempotency key.
        remaining_s: Returns the remaining seconds of the whole request.
    """

    def __init__(self, connection: endpoint.Connection, work: messages.Execute, remaining_s: Callable[[], float]):
        self._connection = connection
        self._work = work
        self._remaining_s = remaining_s
        self._digest = digest(work.statement)

    async def execute(self) -> Outcome:
        """Return the recorded answer, or run the statement and record its answer.

        Returns:
            The reply; its position is that of the commit or, for a recorded answer, that of the lookup.
        """
        outcome = await self._run_once()
        if outcome.is_err() and outcome.err_value.reason is verdict.Reason.SQL_ERROR and not self._table_exists:
            created = await self._run(CREATE_TABLE, (), write=True)
            if created.is_err():
                return created
            outcome = await self._run_once()
        if outcome.is_err() and outcome.err_value.reason is verdict.Reason.SQL_ERROR and self._insert_failed:
            # A concurrent request inserted the same key after the lookup; the retry returns its recorded answer.
            outcome = await self._run_once()
        return outcome

    async def _run_once(self) -> Outcome:
        self._table_exists = self._insert_failed = False
        begun = await self._control_transaction("begin")
        if begun.is_err():
            return begun
        statement = self._work.statement
        key = (self._work.caller.organisation, statement.idempotency_key)
        found = await self._run(SELECT_RECORD, key, write=False)
        if found.is_err():
            return await self._roll_back(found)
        self._table_exists = True
        if found.ok_value.rows:
            return await self._roll_back(self._replay(found.ok_value))
        executed = await self._run(statement.sql, statement.params, write=True)
        if executed.is_err():
            return await self._roll_back(executed)
        inserted = await self._run(
            INSERT_RECORD, (*key, self._digest, _serialize_answer(executed.ok_value)), write=True
        )
        if inserted.is_err():
            self._insert_failed = True
            return await self._roll_back(inserted)
        committed = await self._control_transaction("commit")
        if committed.is_err():
            return await self._roll_back(committed)
        position = committed.ok_value
        reply = executed.ok_value
        return result.Ok(endpoint.Reply(position.term, position.index, reply.columns, reply.rows, reply.changed))

    def _replay(self, found: endpoint.Reply) -> Outcome:
        recorded_digest, answer = found.rows[0]
        if recorded_digest != self._digest:
            detail = "the idempotency key was already used for a different statement"
            return result.Err(verdict.Refusal(verdict.Reason.KEY_REUSED, verdict.Verdict.NOT_RUN, detail))
        columns, rows, changed = json.loads(answer)
        return result.Ok(endpoint.Reply(found.term, found.index, tuple(columns), tuple(map(tuple, rows)), changed))

    async def _roll_back(self, outcome: Outcome) -> Outcome:
        """Roll back and return the outcome; close the connection if the rollback fails, as it cannot be reused."""
        if not self._connection.closed and (await self._control_transaction("rollback")).is_err():
            self._connection.close()
        return outcome

    async def _run(self, sql: str, params: tuple[Any, ...], *, write: bool) -> Outcome:
        return await self._connection.execute(
            self._work.statement.request,
            term=self._work.term,
            sql=sql,
            params=params,
            write=write,
            organisation=self._work.caller.organisation,
            timeout_s=self._remaining_s(),
        )

    async def _control_transaction(self, route: str) -> Outcome:
        return await self._connection.control_transaction(
            route, self._work.statement.request, term=self._work.term, timeout_s=self._remaining_s()
        )


def _serialize_answer(reply: endpoint.Reply) -> str:
    return json.dumps([reply.columns, reply.rows, reply.changed], separators=(",", ":"))
