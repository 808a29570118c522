"""Counted connections of one instance.

A connection counts from the moment its opening starts until it is closed, so that the sum over all VMs never passes
the instance's limit.
"""

import asyncio
import collections
import contextlib
from collections.abc import Awaitable, Callable

import result

from currantlead import logs, verdict
from currantlead.connections import endpoint

Open = Callable[[], Awaitable[result.Result[endpoint.Connection, verdict.Refusal]]]

WARM = 2
# After a failed opening the next one waits, twice as long each time, so that a dead instance is not flooded.
RETRY_S = 0.1
RETRY_MOST_S = 1.0

_log = logs.part("pool")


class Pool:
    """Lend the connections of one instance and keep a few open in advance."""

    def __init__(self, name: str, open_connection: Open, *, limit: int = 0, warm: int = WARM):
        self._name = name
        self._open = open_connection
        self._limit = limit
        self._warm = warm
        self._idle: list[endpoint.Connection] = []
        self._lent: set[endpoint.Connection] = set()
        self._waiting: collections.deque[asyncio.Future[endpoint.Connection]] = collections.deque()
        self._openings: set[asyncio.Task[None]] = set()
        self._failure: verdict.Refusal | None = None
        self._retry_at = 0.0
        self._retry_s = RETRY_S
        self._closed = False

    @property
    def open_count(self) -> int:
        """Return the connections that count: idle, lent and being opened."""
        return len(self._idle) + len(self._lent) + len(self._openings)

    @property
    def limit(self) -> int:
        """Return how many connections may exist."""
        return self._limit

    def set_limit(self, limit: int) -> None:
        """Change the limit; surplus idle connections are closed now, lent ones when they come back."""
        if limit == self._limit:
            return
        _log.info("{}: limit of connections changes from {} to {}", self._name, self._limit, limit)
        self._limit = limit
        self._trim()
        self.refill()

    async def acquire(self, *, timeout_s: float) -> result.Result[endpoint.Connection, verdict.Refusal]:
        """Return a connection, waiting for one if none is idle.

        A refusal is always NOT_RUN. The caller gives the connection back with ``release``.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                self._lent.add(connection)
                self.refill()
                return result.Ok(connection)
            connection.close()
        if self._closed or self._limit <= 0:
            return result.Err(self._refuse("this VM holds no connections to the instance"))
        waiter: asyncio.Future[endpoint.Connection] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        self.refill()
        try:
            async with asyncio.timeout(timeout_s):
                return result.Ok(await waiter)
        except TimeoutError:
            self._abandon(waiter)
            return result.Err(self._failure or self._refuse("no connection became free in time"))
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        except _OpeningError as error:
            return result.Err(error.refusal)

    def release(self, connection: endpoint.Connection) -> None:
        """Take a connection back; one that is closed, in doubt or over the limit is not kept."""
        self._lent.discard(connection)
        if self._closed or not connection.usable or self.open_count >= self._limit:
            connection.close()
        else:
            self._hand_over(connection)
        self.refill()

    def refill(self) -> None:
        """Open connections in the background for those who wait, and keep a few idle ones."""
        if self._closed:
            return
        wanted = max(len(self._waiting), self._warm - len(self._idle)) - len(self._openings)
        room = self._limit - self.open_count
        if wanted <= 0 or room <= 0:
            return
        if asyncio.get_running_loop().time() < self._retry_at:
            self._fail_waiters()
            return
        for _ in range(min(wanted, room)):
            task = asyncio.get_running_loop().create_task(self._open_one())
            self._openings.add(task)
            task.add_done_callback(self._openings.discard)

    def prune(self) -> None:
        """Drop idle connections that the instance closed, and open others in their place."""
        if not all(each.usable for each in self._idle):
            for connection in self._idle:
                if not connection.usable:
                    connection.close()
            self._idle = [each for each in self._idle if each.usable]
        self.refill()

    def close(self) -> None:
        """Close every connection, lent ones included; their statements end in doubt."""
        self._closed = True
        for connection in [*self._idle, *self._lent]:
            connection.close()
        for task in self._openings:
            task.cancel()
        self._idle.clear()
        self._lent.clear()
        self._failure = self._refuse("this VM released the instance")
        self._fail_waiters()

    async def _open_one(self) -> None:
        outcome = await self._open()
        self._openings.discard(asyncio.current_task())
        if outcome.is_err():
            self._note_failure(outcome.err_value)
            return
        self._failure, self._retry_at, self._retry_s = None, 0.0, RETRY_S
        if self._closed or self.open_count >= self._limit:
            outcome.ok_value.close()
            return
        self._hand_over(outcome.ok_value)

    def _note_failure(self, refusal: verdict.Refusal) -> None:
        if self._failure is None:
            _log.warning("{}: {}", self._name, refusal.detail)
        self._failure = refusal
        now = asyncio.get_running_loop().time()
        if now >= self._retry_at:
            self._retry_at = now + self._retry_s
            self._retry_s = min(2 * self._retry_s, RETRY_MOST_S)
        self._fail_waiters()

    def _hand_over(self, connection: endpoint.Connection) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self._lent.add(connection)
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def _abandon(self, waiter: asyncio.Future[endpoint.Connection]) -> None:
        with contextlib.suppress(ValueError):
            self._waiting.remove(waiter)
        # A connection may have been handed over in the same step in which the wait ended.
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(waiter.result())

    def _fail_waiters(self) -> None:
        # Those who wait for a lent connection keep waiting; without one nothing will come back.
        if self._lent and not self._closed:
            return
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_exception(_OpeningError(self._failure or self._refuse("no connection could be opened")))

    def _trim(self) -> None:
        while self._idle and self.open_count > self._limit:
            self._idle.pop(0).close()
        for task in list(self._openings)[: max(0, self.open_count - self._limit)]:
            task.cancel()
            self._openings.discard(task)

    def _refuse(self, detail: str) -> verdict.Refusal:
        return verdict.Refusal(verdict.Reason.NO_CONNECTION, verdict.Verdict.NOT_RUN, detail, 0.1)


class _OpeningError(Exception):
    def __init__(self, refusal: verdict.Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal
