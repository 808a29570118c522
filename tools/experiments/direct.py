"""Connection pool that bypasses the VMs: one TCP connection to the instance for each database connection."""

import asyncio
import time
from collections.abc import Sequence
from typing import Any

import aiohttp

from tools import load


class ConnectionPool:
    """Fixed-size pool of connections to an instance that serves statements in FIFO order."""

    def __init__(self, url: str, size: int, *, queue_timeout_s: float = 2.0):
        """Create a pool; the connections are opened when the context is entered.

        Args:
            url: Base URL of the instance.
            size: Number of connections; each runs one statement at a time.
            queue_timeout_s: Maximum wait for an idle connection in seconds.
        """
        self._url = url
        self._size = size
        self._queue_timeout_s = queue_timeout_s
        self._idle: asyncio.Queue[tuple[aiohttp.ClientSession, str]] = asyncio.Queue()
        self._sessions: list[aiohttp.ClientSession] = []
        self._term = 0

    async def __aenter__(self) -> "ConnectionPool":
        for _ in range(self._size):
            session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=3600.0))
            self._sessions.append(session)
            async with session.post(f"{self._url}/connect", json={}) as response:
                connection_id = (await response.json())["connection"]
            async with session.get(f"{self._url}/status") as response:
                self._term = (await response.json())["term"]
            self._idle.put_nowait((session, connection_id))
        return self

    async def __aexit__(self, *_: object) -> None:
        for session in self._sessions:
            await session.close()

    async def send(self, operation: load.Operation) -> load.Result:
        """Run a read on the next idle connection; waiting reads are served in FIFO order."""
        started = time.monotonic()

        def outcome(verdict: str, reason: str = "", rows: Sequence[Any] = ()) -> load.Result:
            return load.Result(operation, verdict, reason, started, time.monotonic() - started, list(rows), 1)

        try:
            session, connection_id = await asyncio.wait_for(self._idle.get(), self._queue_timeout_s)
        except TimeoutError:
            return outcome(load.NOT_RUN, "queue_timeout")
        body = {"connection": connection_id, "term": self._term, "sql": operation.sql, "params": operation.params}
        body |= {"access": "read", "organisation": ""}
        try:
            async with session.post(f"{self._url}/execute", json=body) as response:
                decoded = await response.json()
        finally:
            self._idle.put_nowait((session, connection_id))
        if "error" in decoded:
            return outcome(load.NOT_RUN, decoded["error"])
        return outcome(load.COMPLETED, rows=decoded["rows"])
