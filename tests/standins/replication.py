"""Terms and asynchronous replication of the stand-in endpoint instance.

A replica pulls records from the primary of its term. It compares the term of its last record with the primary's and
steps back until both agree, so that records of a lost primary are replaced.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from tests.standins import database

PULL_S = 0.2
BATCH = 500


class Replica:
    """Hold the role, the term and the log of one instance."""

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
        self._contact: float | None = None
        self._synced = False
        self._pending_due = 0.0
        self._fetched = (log.index, log.term)
        self._epoch = 0
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._client: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start to pull if the primary is known."""
        self._client = aiohttp.ClientSession(headers={"X-Peer": self.name})
        self._restart()

    async def stop(self) -> None:
        """Stop pulling."""
        self._epoch += 1
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._client is not None:
            await self._client.close()

    def applied_time(self) -> float:
        """Return the time on the primary's clock up to which all records are applied."""
        return time.time() if self.role == "primary" else self._applied_time

    def status(self) -> dict[str, Any]:
        """Return the fields of ``GET /status`` that depend on replication."""
        now = time.monotonic()
        age = 0.0 if self.role == "primary" else (now - self._contact if self._contact is not None else None)
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
        """Add a record for a transaction that is committed in sqlite."""
        self.log.append(database.Record(self.term, self.log.index + 1, statements))
        self.log.applied = self.log.index
        self._notify()

    async def wait_received(self, term: int, beyond: int, timeout_s: float) -> int:
        """Wait until a record beyond an index was received from the primary of a term.

        Returns:
            The last index that agrees with the primary's log; 0 while that is unknown, so that a record of a lost
            primary never counts as received in the newer term.
        """
        deadline = time.monotonic() + timeout_s
        while self._agreed(term) <= beyond and (left := deadline - time.monotonic()) > 0 and self.term <= term:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return self._agreed(term)

    async def serve(self, term: int, after: int, after_term: int) -> dict[str, Any] | None:
        """Return records to a replica, or None if this instance is not the primary of that term."""
        if term != self.term or self.role != "primary":
            return None
        if self.log.term_at(after) != after_term:
            return {"mismatch": True, "index": self.log.index}
        if self.log.index == after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), PULL_S)
        if term != self.term:
            return None
        records = self.log.records[after : after + BATCH]
        # The time covers the records only if this batch reaches the end of the log.
        now = time.time() if after + len(records) == self.log.index else None
        return {"records": [[each.term, each.index, each.statements] for each in records], "now": now}

    def set_term(self, order: dict[str, Any]) -> bool:
        """Adopt a term and a role; return False for an older term."""
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
            self._discard(order["start_index"])
        if self.role == "primary":
            self.log.apply(self.log.index)
        self.log.save({"term": self.term, "primary": self.primary, "primary_url": self.primary_url})
        self._restart()
        return True

    def _discard(self, start_index: int) -> None:
        keep = start_index
        while keep < self.log.index and self.log.term_at(keep + 1) == self.term:
            keep += 1
        if self.log.truncate(keep):
            self._reset_sessions(True)

    def _agreed(self, term: int) -> int:
        if term != self.term or (self.role != "primary" and not self._synced):
            return 0
        return self.log.index

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _restart(self) -> None:
        self._epoch += 1
        self._synced = False
        self._applied_time = 0.0
        self._fetched = (self.log.index, self.log.term)
        self._pending_due = 0.0
        self._notify()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.role == "replica" and self.primary_url:
            self._task = asyncio.get_running_loop().create_task(self._pull(self._epoch))

    async def _pull(self, epoch: int) -> None:
        while epoch == self._epoch:
            answer = None if self._controls.is_cut(self.primary) else await self._ask()
            if epoch != self._epoch:
                return
            if answer is None or self._controls.is_cut(self.primary):
                await asyncio.sleep(0.05)
                continue
            self._contact = time.monotonic()
            if answer.get("mismatch"):
                self._step_back(answer["index"])
                continue
            self._synced = True
            records = [database.Record(*each) for each in answer["records"]]
            if records:
                self._fetched = (records[-1].index, records[-1].term)
            self._later(self._controls.receive_lag_s, self._receive, epoch, records, answer["now"])

    async def _ask(self) -> dict[str, Any] | None:
        query = {"term": self.term, "after": self._fetched[0], "after_term": self._fetched[1], "name": self.name}
        try:
            async with self._client.get(
                f"{self.primary_url}/log", params=query, timeout=aiohttp.ClientTimeout(total=1.0)
            ) as answer:
                return await answer.json() if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _step_back(self, primary_index: int) -> None:
        keep = min(self.log.index - 1, primary_index)
        if self.log.truncate(max(0, keep)):
            self._reset_sessions(True)
        self._fetched = (self.log.index, self.log.term)

    def _later(self, lag_s: float, callback: Callable[..., None], *args: Any) -> None:
        loop = asyncio.get_running_loop()
        due = max(loop.time() + lag_s, self._pending_due + 1e-6)
        if lag_s == 0 and loop.time() > self._pending_due:
            callback(*args)
            return
        # Steps that are due together keep their order.
        self._pending_due = due
        loop.call_at(due, callback, *args)

    def _receive(self, epoch: int, records: list[database.Record], now: float | None) -> None:
        if epoch != self._epoch:
            return
        for record in records:
            self.log.append(record)
        if records:
            self._notify()
        loop = asyncio.get_running_loop()
        if self._controls.lag_s:
            loop.call_later(self._controls.lag_s, self._apply, epoch, self.log.index, now)
        else:
            self._apply(epoch, self.log.index, now)

    def _apply(self, epoch: int, through: int, now: float | None) -> None:
        if epoch != self._epoch:
            return
        self.log.apply(through)
        if now is not None:
            self._applied_time = max(self._applied_time, now)
