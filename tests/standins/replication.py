"""Terms and asynchronous replication of the stand-in endpoint instance.

A replica pulls log records from the primary of its term. Each request names the term of the last record fetched; if
the primary's log differs there, the replica truncates its log until both match. Records that only a former primary
had are replaced in this way.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from tests.standins import database

LONG_POLL_S = 0.2
BATCH_RECORDS = 500


class Replica:
    """Role, term and log of one instance, and the task that pulls records from the primary."""

    def __init__(self, name: str, log: database.Log, controls: Any, reset_sessions: Callable[[bool], None]):
        self.name, self.log, self._controls = name, log, controls
        self._reset_sessions = reset_sessions
        meta = log.meta
        self.term = meta.get("term", 0)
        self.role = "replica"
        self.primary, self.primary_url = meta.get("primary", ""), meta.get("primary_url", "")
        if self.primary == name:
            self.primary = self.primary_url = ""
        self._applied_time = 0.0
        self._last_contact: float | None = None
        self._matches_primary = False
        self._last_due = 0.0
        self._fetch_position = (log.index, log.term)
        self._generation = 0
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._client: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start pulling if the primary is known."""
        self._client = aiohttp.ClientSession(headers={"X-Peer": self.name})
        self._restart_pulling()

    async def stop(self) -> None:
        """Stop pulling."""
        self._generation += 1
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._client is not None:
            await self._client.close()

    def applied_time(self) -> float:
        """Return the time, by the primary's clock, up to which all records are applied."""
        return time.time() if self.role == "primary" else self._applied_time

    def status(self) -> dict[str, Any]:
        """Return the fields of ``GET /status`` that depend on replication."""
        now = time.monotonic()
        age = 0.0 if self.role == "primary" else (now - self._last_contact if self._last_contact is not None else None)
        return {
            "role": self.role,
            "term": self.term,
            "primary": self.primary,
            "index": self.log.applied,
            "received_index": self.log.index,
            "received_term": self.log.term,
            "applied_time": self.applied_time(),
            "now": time.time(),
            "primary_contact_age": age,
        }

    def commit(self, statements: list[Any]) -> None:
        """Append a record for a transaction that was committed in sqlite."""
        self.log.append(database.Record(self.term, self.log.index + 1, statements))
        self.log.applied = self.log.index
        self._notify_waiters()

    async def wait_received(self, term: int, beyond: int, timeout_s: float) -> int:
        """Wait until a record after an index has been received from the primary of a term.

        Returns:
            The last index that matches the primary's log. It is 0 while that is unknown, so that a record of a former
            primary never counts as received in the newer term.
        """
        deadline = time.monotonic() + timeout_s
        while self._matching_index(term) <= beyond and (left := deadline - time.monotonic()) > 0 and self.term <= term:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return self._matching_index(term)

    async def serve(self, term: int, after: int, after_term: int) -> dict[str, Any] | None:
        """Return the records after an index, or None if this instance is not the primary of that term.

        Waits up to ``LONG_POLL_S`` if there are none yet.
        """
        if term != self.term or self.role != "primary":
            return None
        if self.log.term_at(after) != after_term:
            return {"mismatch": True, "index": self.log.index}
        if self.log.index == after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), LONG_POLL_S)
        if term != self.term:
            return None
        records = self.log.records[after : after + BATCH_RECORDS]
        # A replica is up to date as of ``now`` only if this batch reaches the end of the log.
        now = time.time() if after + len(records) == self.log.index else None
        return {"records": [[each.term, each.index, each.statements] for each in records], "now": now}

    def set_term(self, order: dict[str, Any]) -> bool:
        """Adopt a term and a role; return False if the term is older than the current one."""
        if order["term"] < self.term:
            return False
        primary = order.get("primary") or ""
        before = (self.term, self.role, self.primary, self.primary_url)
        after = (order["term"], order["role"], primary, order.get("primary_url") or "")
        if before == after:
            return True
        if order["term"] == self.term and self.role == "primary" and order["role"] != "primary":
            return True
        self.term, self.role, self.primary, self.primary_url = after
        self._reset_sessions(False)
        if primary and order.get("start_index") is not None:
            self._discard_after(order["start_index"])
        if self.role == "primary":
            self.log.apply(self.log.index)
        self.log.save_meta({"term": self.term, "primary": self.primary, "primary_url": self.primary_url})
        self._restart_pulling()
        return True

    def _discard_after(self, start_index: int) -> None:
        last_index = start_index
        while last_index < self.log.index and self.log.term_at(last_index + 1) == self.term:
            last_index += 1
        if self.log.truncate(last_index):
            self._reset_sessions(True)

    def _matching_index(self, term: int) -> int:
        if term != self.term or (self.role != "primary" and not self._matches_primary):
            return 0
        return self.log.index

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _restart_pulling(self) -> None:
        self._generation += 1
        self._matches_primary = False
        self._applied_time = 0.0
        self._fetch_position = (self.log.index, self.log.term)
        self._last_due = 0.0
        self._notify_waiters()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.role == "replica" and self.primary_url:
            self._task = asyncio.get_running_loop().create_task(self._pull_records(self._generation))

    async def _pull_records(self, generation: int) -> None:
        while generation == self._generation:
            answer = None if self._controls.is_cut(self.primary) else await self._request_records()
            if generation != self._generation:
                return
            if answer is None or self._controls.is_cut(self.primary):
                await asyncio.sleep(0.05)
                continue
            self._last_contact = time.monotonic()
            if answer.get("mismatch"):
                self._truncate_to_primary(answer["index"])
                continue
            self._matches_primary = True
            records = [database.Record(*each) for each in answer["records"]]
            if records:
                self._fetch_position = (records[-1].index, records[-1].term)
            self._call_after_lag(
                self._controls.receive_lag_s, self._receive_records, generation, records, answer["now"]
            )

    async def _request_records(self) -> dict[str, Any] | None:
        query = {
            "term": self.term,
            "after": self._fetch_position[0],
            "after_term": self._fetch_position[1],
            "name": self.name,
        }
        try:
            async with self._client.get(
                f"{self.primary_url}/log", params=query, timeout=aiohttp.ClientTimeout(total=1.0)
            ) as answer:
                return await answer.json() if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _truncate_to_primary(self, primary_index: int) -> None:
        last_index = min(self.log.index - 1, primary_index)
        if self.log.truncate(max(0, last_index)):
            self._reset_sessions(True)
        self._fetch_position = (self.log.index, self.log.term)

    def _call_after_lag(self, lag_s: float, callback: Callable[..., None], *args: Any) -> None:
        loop = asyncio.get_running_loop()
        due = max(loop.time() + lag_s, self._last_due + 1e-6)
        if lag_s == 0 and loop.time() > self._last_due:
            callback(*args)
            return
        # The due times increase strictly, so that delayed batches are handled in order.
        self._last_due = due
        loop.call_at(due, callback, *args)

    def _receive_records(self, generation: int, records: list[database.Record], now: float | None) -> None:
        if generation != self._generation:
            return
        for record in records:
            self.log.append(record)
        if records:
            self._notify_waiters()
        loop = asyncio.get_running_loop()
        if self._controls.lag_s:
            loop.call_later(self._controls.lag_s, self._apply_records, generation, self.log.index, now)
        else:
            self._apply_records(generation, self.log.index, now)

    def _apply_records(self, generation: int, through: int, now: float | None) -> None:
        if generation != self._generation:
            return
        self.log.apply(through)
        if now is not None:
            self._applied_time = max(self._applied_time, now)
