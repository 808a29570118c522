"""Connection pool of one instance with a strict limit.

A connection counts towards the limit from the start of its opening until it is closed, so that the sum over all VMs
never exceeds the limit of the instance.
"""

import asyncio
import collections
import contextlib
from collections.abc import Awaitable, Callable

import result

from currantlead import logs, verdict
from currantlead.connections import endpoint

OpenConnection = Callable[[], Awaitable[result.Result[endpoint.Connection, verdict.Refusal]]]

MIN_IDLE = 2
# Exponential backoff after failed attempts to open a connection, so that a failed instance is not flooded.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

_log = logs.part("pool")


class Pool:
    """Pool the connections of one instance and keep a minimum number idle."""

    def __init__(self, name: str, open_connection: OpenConnection, *, limit: int = 0, min_idle: int = MIN_IDLE):
        self._name = name
        self._open_connection = open_connection
        self._limit = limit
        self._min_idle = min_idle
        self._idle: list[endpoint.Connection] = []
        self._in_use: set[endpoint.Connection] = set()
        self._waiters: collections.deque[asyncio.Future[endpoint.Connection]] = collections.deque()
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._last_failure: verdict.Refusal | None = None
        self._retry_at = 0.0
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._closed = False

    @property
    def open_count(self) -> int:
        """Return the number of connections that count towards the limit: idle, in use and being opened."""
        return len(self._idle) + len(self._in_use) + len(self._open_tasks)

    @property
    def limit(self) -> int:
        """Return the maximum number of connections."""
        return self._limit

    def set_limit(self, limit: int) -> None:
        """Change the limit; surplus idle connections are closed immediately, those in use when they are released."""
        if limit == self._limit:
            return
        _log.info("{}: connection limit changed from {} to {}", self._name, self._limit, limit)
        self._limit = limit
        self._close_surplus()
        self.refill()

    async def acquire(self, *, timeout_s: float) -> result.Result[endpoint.Connection, verdict.Refusal]:
        """Return an idle connection, or wait for one.

        The caller must return the connection with ``release``. The verdict of a refusal is always ``NOT_RUN``.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                self._in_use.add(connection)
                self.refill()
                return result.Ok(connection)
            connection.close()
        if self._closed or self._limit <= 0:
            return result.Err(self._refuse("this VM may not open connections to the instance"))
        waiter: asyncio.Future[endpoint.Connection] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self.refill()
        try:
            async with asyncio.timeout(timeout_s):
                return result.Ok(await waiter)
        except TimeoutError:
            self._cancel_wait(waiter)
            return result.Err(self._last_failure or self._refuse("no connection became available before the timeout"))
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise
        except _OpenFailedError as error:
            return result.Err(error.refusal)

    def release(self, connection: endpoint.Connection) -> None:
        """Return a connection to the pool; it is closed if it is unusable or the limit is exceeded."""
        self._in_use.discard(connection)
        if self._closed or not connection.usable or self.open_count >= self._limit:
            connection.close()
        else:
            self._assign(connection)
        self.refill()

    def refill(self) -> None:
        """Open connections in the background for waiting requests and to keep the minimum number idle."""
        if self._closed:
            return
        missing = max(len(self._waiters), self._min_idle - len(self._idle)) - len(self._open_tasks)
        available = self._limit - self.open_count
        if missing <= 0 or available <= 0:
            return
        if asyncio.get_running_loop().time() < self._retry_at:
            self._fail_waiters()
            return
        for _ in range(min(missing, available)):
            task = asyncio.get_running_loop().create_task(self._open_in_background())
            self._open_tasks.add(task)
            task.add_done_callback(self._open_tasks.discard)

    def prune(self) -> None:
        """Replace idle connections that the instance has closed."""
        if not all(connection.usable for connection in self._idle):
            for connection in self._idle:
                if not connection.usable:
                    connection.close()
            self._idle = [connection for connection in self._idle if connection.usable]
        self.refill()

    def close(self) -> None:
        """Close all connections; statements on connections in use end in doubt."""
        self._closed = True
        for connection in [*self._idle, *self._in_use]:
            connection.close()
        for task in self._open_tasks:
            task.cancel()
        self._idle.clear()
        self._in_use.clear()
        self._last_failure = self._refuse("this VM has released the instance")
        self._fail_waiters()

    async def _open_in_background(self) -> None:
        outcome = await self._open_connection()
        self._open_tasks.discard(asyncio.current_task())
        if outcome.is_err():
            self._record_failure(outcome.err_value)
            return
        self._last_failure, self._retry_at, self._retry_delay_s = None, 0.0, INITIAL_RETRY_DELAY_S
        if self._closed or self.open_count >= self._limit:
            outcome.ok_value.close()
            return
        self._assign(outcome.ok_value)

    def _record_failure(self, refusal: verdict.Refusal) -> None:
        if self._last_failure is None:
            _log.warning("{}: {}", self._name, refusal.detail)
        self._last_failure = refusal
        now = asyncio.get_running_loop().time()
        if now >= self._retry_at:
            self._retry_at = now + self._retry_delay_s
            self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)
        self._fail_waiters()

    def _assign(self, connection: endpoint.Connection) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._in_use.add(connection)
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def _cancel_wait(self, waiter: asyncio.Future[endpoint.Connection]) -> None:
        with contextlib.suppress(ValueError):
            self._waiters.remove(waiter)
        # A connection may have been assigned in the same iteration of the event loop in which the wait ended.
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(waiter.result())

    def _fail_waiters(self) -> None:
        # While connections are in use, waiters may still get one that is released; otherwise they would wait in vain.
        if self._in_use and not self._closed:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(
                    _OpenFailedError(self._last_failure or self._refuse("no connection could be opened"))
                )

    def _close_surplus(self) -> None:
        while self._idle and self.open_count > self._limit:
            self._idle.pop(0).close()
        for task in list(self._open_tasks)[: max(0, self.open_count - self._limit)]:
            task.cancel()
            self._open_tasks.discard(task)

    def _refuse(self, detail: str) -> verdict.Refusal:
        return verdict.Refusal(verdict.Reason.NO_CONNECTION, verdict.Verdict.NOT_RUN, detail, 0.1)


class _OpenFailedError(Exception):
    def __init__(self, refusal: verdict.Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal
