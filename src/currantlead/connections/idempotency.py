"""Record of idempotency keys, written in the same database transaction as the write.

The table lives in the group's own database, so that the record is replicated, kept and lost together with the write.
"""

import hashlib
import json
from collections.abc import Callable
from typing import Any

import result

from currantlead import messages, verdict
from currantlead.connections import endpoint

CREATE = (
    "CREATE TABLE IF NOT EXISTS currantlead_idempotency (organisation TEXT NOT NULL, idempotency_key TEXT NOT NULL,"
    " digest TEXT NOT NULL, answer TEXT NOT NULL, PRIMARY KEY (organisation, idempotency_key))"
)
FIND = "SELECT digest, answer FROM currantlead_idempotency WHERE organisation = ? AND idempotency_key = ?"
INSERT = "INSERT INTO currantlead_idempotency (organisation, idempotency_key, digest, answer) VALUES (?, ?, ?, ?)"

Outcome = result.Result[endpoint.Reply, verdict.Refusal]


def digest(statement: messages.Statement) -> str:
    """Return the SHA-256 of what a statement does, in hexadecimal."""
    text = json.dumps([statement.database, statement.sql, statement.params], separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


class Run:
    """Run one write with an idempotency key on a connection that the caller holds.

    Args:
        connection: A connection without a transaction.
        work: The statement, which has an idempotency key.
        left: Returns the seconds left for the whole request.
    """

    def __init__(self, connection: endpoint.Connection, work: messages.Execute, left: Callable[[], float]):
        self._connection = connection
        self._work = work
        self._left = left
        self._digest = digest(work.statement)

    async def execute(self) -> Outcome:
        """Return the recorded answer, or run the statement and record its answer.

        Returns:
            The reply, whose position is that of the commit or, for a recorded answer, of the lookup.
        """
        outcome = await self._attempt()
        if outcome.is_err() and outcome.err_value.reason is verdict.Reason.SQL_ERROR and not self._found_table:
            created = await self._run(CREATE, (), write=True)
            if created.is_err():
                return created
            outcome = await self._attempt()
        if outcome.is_err() and outcome.err_value.reason is verdict.Reason.SQL_ERROR and self._insert_failed:
            # Another request inserted the same key since the lookup; its record is the answer.
            outcome = await self._attempt()
        return outcome

    async def _attempt(self) -> Outcome:
        self._found_table = self._insert_failed = False
        begun = await self._control("begin")
        if begun.is_err():
            return begun
        statement = self._work.statement
        key = (self._work.caller.organisation, statement.idempotency_key)
        found = await self._run(FIND, key, write=False)
        if found.is_err():
            return await self._give_up(found)
        self._found_table = True
        if found.ok_value.rows:
            return await self._give_up(self._recorded(found.ok_value))
        ran = await self._run(statement.sql, statement.params, write=True)
        if ran.is_err():
            return await self._give_up(ran)
        inserted = await self._run(INSERT, (*key, self._digest, _dump(ran.ok_value)), write=True)
        if inserted.is_err():
            self._insert_failed = True
            return await self._give_up(inserted)
        committed = await self._control("commit")
        if committed.is_err():
            return await self._give_up(committed)
        position = committed.ok_value
        reply = ran.ok_value
        return result.Ok(endpoint.Reply(position.term, position.index, reply.columns, reply.rows, reply.changed))

    def _recorded(self, found: endpoint.Reply) -> Outcome:
        recorded, answer = found.rows[0]
        if recorded != self._digest:
            detail = "the idempotency key was used for another statement"
            return result.Err(verdict.Refusal(verdict.Reason.KEY_REUSED, verdict.Verdict.NOT_RUN, detail))
        columns, rows, changed = json.loads(answer)
        return result.Ok(endpoint.Reply(found.term, found.index, tuple(columns), tuple(map(tuple, rows)), changed))

    async def _give_up(self, outcome: Outcome) -> Outcome:
        """Roll back and keep the outcome; without a rollback the connection must not be used again."""
        if not self._connection.closed and (await self._control("rollback")).is_err():
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
            timeout_s=self._left(),
        )

    async def _control(self, route: str) -> Outcome:
        return await self._connection.control(
            route, self._work.statement.request, term=self._work.term, timeout_s=self._left()
        )


def _dump(reply: endpoint.Reply) -> str:
    return json.dumps([reply.columns, reply.rows, reply.changed], separators=(",", ":"))
