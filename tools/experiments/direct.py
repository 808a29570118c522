"""Direct access to an instance, without a VM: one TCP connection for each database connection."""

import asyncio
import time
from collections.abc import Sequence
from typing import Any

import aiohttp

from tools import load


class Connections:
    """Serve statements in the order of their arrival on a few connections of an instance."""

    def __init__(self, url: str, count: int, *, queue_timeout_s: float = 2.0):
        """Create the connections; they open with the context.

        Args:
            url: Base address of the instance.
            count: Number of connections, each with one statement at a time.
            queue_timeout_s: Longest wait for a connection.
        """
        self._url = url
        self._count = count
        self._queue_timeout_s = queue_timeout_s
        self._idle: asyncio.Queue[tuple[aiohttp.ClientSession, str]] = asyncio.Queue()
        self._sessions: list[aiohttp.ClientSession] = []
        self._term = 0

    async def __aenter__(self) -> "Connections":
        for _ in range(self._count):
            session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=3600.0))
            self._sessions.append(session)
            async with session.post(f"{self._url}/connect", json={}) as answer:
                number = (await answer.json())["connection"]
            async with session.get(f"{self._url}/status") as answer:
                self._term = (await answer.json())["term"]
            self._idle.put_nowait((session, number))
        return self

    async def __aexit__(self, *_: object) -> None:
        for session in self._sessions:
            await session.close()

    async def send(self, operation: load.Operation) -> load.Told:
        """Run a read in first-in-first-out order."""
        started = time.monotonic()

        def told(verdict: str, reason: str = "", rows: Sequence[Any] = ()) -> load.Told:
            return load.Told(operation, verdict, reason, started, time.monotonic() - started, list(rows), 1)

        try:
            session, number = await asyncio.wait_for(self._idle.get(), self._queue_timeout_s)
        except TimeoutError:
            return told(load.NOT_RUN, "queue_timeout")
        body = {"connection": number, "term": self._term, "sql": operation.sql, "params": operation.params}
        body |= {"access": "read", "organisation": ""}
        try:
            async with session.post(f"{self._url}/execute", json=body) as answer:
                decoded = await answer.json()
        finally:
            self._idle.put_nowait((session, number))
        if "error" in decoded:
            return told(load.NOT_RUN, decoded["error"])
        return told(load.COMPLETED, rows=decoded["rows"])
