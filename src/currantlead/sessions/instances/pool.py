"""Bounded pool of connections to one instance; each is used by one statement or transaction at a time."""

import asyncio
import collections
import itertools
import math
from collections.abc import Awaitable, Callable, Mapping

from currantlead import errors, logs
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import load
from currantlead.sessions.instances import link, load_meter, waiters

AFFINITY_S = 0.1
"""A released connection goes to a waiter of its own organisation, ahead of the first waiter in the queue, only until
that one has waited this long."""
MAX_ORGANISATION_SHARE = 0.5
"""Share of the connections that one organisation may use while others wait; otherwise idle transactions of a single
organisation could occupy all of them."""
MIN_ORGANISATION_CONNECTIONS = 2
"""Connections that one organisation may use in any case; otherwise small pools would constantly reopen connections for
other organisations."""
TRANSACTION_SHARE = 0.6
"""Share of the connections that transactions may use: callers that rest inside transactions would otherwise keep all
connections from single statements, until the transactions have been idle for too long."""
MAX_CONCURRENT_OPENINGS = 2
"""Maximum number of connections that a pool opens concurrently. Opening a connection occupies an execution slot of the
instance. Many at once take so long that the waiters time out, while statements lack the slots."""
INITIAL_OPENING_S = 0.02
"""Assumed time to open a connection until the first one has been measured."""
OPENING_SMOOTHING = 0.2
"""Weight of the latest measurement in the moving average of the time to open a connection."""
FULL_BACKOFF_S = 0.3
"""Time for which no further connection is opened after the instance refused one because it was full."""

Connector = Callable[[model.Instance, str], Awaitable[link.Link]]
RefusalCallback = Callable[[str, errors.LinkRefusedError], None]

_log = logs.part("pool")


class Pool:
    """Pool of connections to one instance; statements wait in order of priority while all are in use.

    Connections are opened in background tasks. If the statement that a connection was opened for times out first, the
    connection is kept for others, so that a slow opening is not mistaken for an unresponsive instance.

    Attributes:
        instance: The instance.
        limit: Maximum number of open connections.
        meter: Measures statements for load reports; None if nothing uses them.
        full_backoff_s: Time for which no further connection is opened after the instance refused one as full.
        keeps_refused: Whether a statement goes on waiting if the connection that was being opened for it was refused
            because the instance was full.
    """

    def __init__(
        self,
        instance: model.Instance,
        limit: int,
        connector: Connector = link.Link.connect,
        on_refused: RefusalCallback = lambda instance_id, error: None,
        *,
        meter: load_meter.LoadMeter | None = None,
    ):
        self.instance = instance
        self.limit = limit
        self.meter = meter
        self._connector = connector
        self._on_refused = on_refused
        self._idle: list[link.Link] = []
        self._size = 0
        self._in_use: collections.Counter[str] = collections.Counter()
        self._in_transaction: set[link.Link] = set()
        self._waiters: list[waiters.Waiter] = []
        self._numbers = itertools.count()
        self._openings: set[asyncio.Task[None]] = set()
        self._expected_opening_s, self._full_until = INITIAL_OPENING_S, 0.0
        self.full_backoff_s = FULL_BACKOFF_S
        self.keeps_refused = False
        self._closed = False

    @property
    def waiting(self) -> int:
        """Return the number of statements waiting for a connection."""
        return len(self._waiters)

    def waiting_priorities(self) -> list[tuple[int, bool]]:
        """Return the priority of each statement waiting for a connection, and whether it opens a transaction."""
        return [(waiter.priority, waiter.opens_transaction) for waiter in self._waiters]

    @property
    def in_transaction(self) -> int:
        """Return the number of connections that transactions use."""
        return len(self._in_transaction)

    @property
    def transaction_limit(self) -> int:
        """Return how many connections transactions may use."""
        return max(1, min(self.limit - 1, math.ceil(self.limit * TRANSACTION_SHARE)))

    @property
    def busy(self) -> int:
        """Return the number of connections in use or being opened."""
        return self._size - len(self._idle)

    @property
    def idle(self) -> int:
        """Return the number of open connections that are not in use."""
        return len(self._idle)

    @property
    def full(self) -> bool:
        """Return whether the instance refused a connection as full within the last ``FULL_BACKOFF_S`` seconds."""
        return clock.now() < self._full_until

    @property
    def saturated(self) -> bool:
        """Return whether a new statement would have to wait."""
        return not self._idle and (self._size >= self.limit or self.full)

    @property
    def running_limit(self) -> int:
        """Return the maximum number of statements that may run at the same time."""
        return self.limit

    @property
    def wait_seconds(self) -> float:
        """Return the smoothed wait of the statements that were started last, in seconds; 0 without a meter."""
        return self.meter.wait_s if self.meter is not None else 0.0

    def load(self, now: float) -> load.QueueReport:
        """Return the state of the queue and of the instance as its answers show it.

        Without a meter, the times are 0, and each connection in use counts as a running statement.
        """
        return load.QueueReport(
            measured_at=now,
            waiting=waiters.count_by_priority(self._waiters),
            running=self.meter.running if self.meter is not None else self.busy,
            limit=self.running_limit,
            free=len(self._idle) + max(0, self.limit - self._size),
            service_s=self.meter.service_s if self.meter is not None else 0.0,
            wait_s=self.wait_seconds,
        )

    def begin_statement(self, connection: link.Link) -> None:
        """Record that a statement is sent on a connection in use."""
        if self.meter is not None:
            self.meter.running += 1

    def end_statement(self, connection: link.Link, statement: load_meter.Statement) -> None:
        """Record that a statement ended; its connection is released or discarded next, or stays in a transaction."""
        if self.meter is not None:
            self.meter.record(statement)

    def has_idle(self, organisation: str) -> bool:
        """Return whether a connection of the organisation is idle."""
        return any(connection.organisation == organisation for connection in self._idle)

    def idle_organisation(self) -> str:
        """Return the organisation of the connection that became idle last, or an empty name if none is idle."""
        return self._idle[-1].organisation if self._idle else ""

    async def acquire(
        self,
        organisation: str,
        values: Mapping[str, str],
        *,
        priority: int,
        timeout_s: float,
        opens_transaction: bool = False,
    ) -> link.Link:
        """Return a connection of an organisation for exclusive use; the caller must release or discard it.

        Args:
            organisation: The organisation.
            values: Session values; a connection that already has them is preferred.
            priority: Priority among the waiters; 0 is the highest.
            timeout_s: Maximum wait, in seconds.
            opens_transaction: Whether a transaction will keep the connection; only a share of them is available for
                that.

        Raises:
            errors.PoolUnavailableError: No connection became available in time, or the pool is closed.
            errors.LinkRefusedError: The instance refused a new connection.
        """
        if self._closed:
            raise errors.PoolUnavailableError(f"{self.instance.id}: connection pool is closed")
        connection = self._take_idle(organisation, values) if self._admits(opens_transaction) else None
        if connection is not None:
            self._mark_used(connection, opens_transaction, priority)
            if self.meter is not None:
                self.meter.record_wait(0.0)
            return connection
        future: asyncio.Future[link.Link] = asyncio.get_running_loop().create_future()
        now = clock.now()
        waiter = waiters.Waiter(
            priority, next(self._numbers), organisation, now, now + timeout_s, future, opens_transaction
        )
        self._add_waiter(waiter)
        self._open_for_waiters()
        try:
            await asyncio.wait({future}, timeout=timeout_s)
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.release(future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._remove_waiter(waiter)
        if not future.done():
            future.cancel()
            detail = f"no connection to {self.instance.id} became available within {timeout_s:.3f} s"
            raise errors.PoolUnavailableError(detail)
        return future.result()

    def release(self, connection: link.Link) -> None:
        """Return a connection to the pool; it is closed if it cannot be reused."""
        self._mark_unused(connection)
        self._assign_or_keep(connection)

    def discard(self, connection: link.Link) -> None:
        """Close a connection, so that another one can be opened in its place."""
        self._mark_unused(connection)
        self._drop(connection)

    def _add_waiter(self, waiter: waiters.Waiter) -> None:
        self._waiters.append(waiter)

    def _remove_waiter(self, waiter: waiters.Waiter) -> None:
        self._waiters.remove(waiter)

    def _mark_used(self, connection: link.Link, opens_transaction: bool, priority: int) -> None:
        self._in_use[connection.organisation] += 1
        if opens_transaction:
            self._in_transaction.add(connection)

    def _mark_unused(self, connection: link.Link) -> None:
        self._in_use[connection.organisation] -= 1
        self._in_transaction.discard(connection)

    def _admits(self, opens_transaction: bool) -> bool:
        """Return whether a statement may get a connection: a share is reserved for those that open no transaction."""
        if not opens_transaction:
            return True
        opening = sum(waiter.opening and waiter.opens_transaction for waiter in self._waiters)
        return self.in_transaction + opening < self.transaction_limit

    def _assign_or_keep(self, connection: link.Link) -> None:
        """Assign an unused connection to a waiter, or keep it idle."""
        if self._closed or not connection.usable or self._size > self.limit:
            self._drop(connection)
            return
        waiter = self._next_waiter(connection.organisation)
        if waiter is None:
            self._idle.append(connection)
        elif waiter.organisation == connection.organisation:
            self._assign(waiter, connection)
        else:
            connection.close()
            self._open(waiter)

    def _drop(self, connection: link.Link) -> None:
        if connection.open:
            connection.close()
        self._size -= 1
        self._open_for_waiters()

    def close_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; return whether there was one."""
        if not self._idle:
            return False
        connection = self._idle.pop(0)
        connection.close()
        self._size -= 1
        return True

    def close(self) -> None:
        """Close idle connections and refuse new requests; connections in use are closed when they are released."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._size -= len(self._idle)
        self._idle.clear()
        for waiter in self._waiters:
            self._fail(waiter, errors.PoolUnavailableError(f"{self.instance.id}: connection pool is closed"))
        for task in self._openings:
            task.cancel()

    def _take_idle(self, organisation: str, values: Mapping[str, str]) -> link.Link | None:
        for connection in [connection for connection in self._idle if not connection.usable]:
            self._idle.remove(connection)
            connection.close()
            self._size -= 1
        candidates = [connection for connection in self._idle if connection.organisation == organisation]
        if not candidates:
            return None
        connection = next((connection for connection in candidates if connection.values == values), candidates[-1])
        self._idle.remove(connection)
        return connection

    def _open_for_waiters(self) -> None:
        """Open connections for the waiters, as far as the limits allow."""
        for waiter in self._sorted_waiters():
            if len(self._openings) >= MAX_CONCURRENT_OPENINGS:
                return
            if not self._should_open(waiter):
                continue
            if self._size < self.limit and not (self.full and (self._size or self.keeps_refused)):
                self._size += 1
            elif self._idle:
                # The longest idle connection is replaced by one for the waiter's organisation.
                self._idle.pop(0).close()
            else:
                return
            self._open(waiter)

    def _sorted_waiters(self) -> list[waiters.Waiter]:
        """Return the waiters that may get a connection; see ``waiters.sort``."""
        return waiters.sort(self._waiters, self._exceeds_share, admits_transactions=self._admits(True))

    def _exceeds_share(self, organisation: str) -> bool:
        return self._in_use[organisation] >= max(MIN_ORGANISATION_CONNECTIONS, self.limit * MAX_ORGANISATION_SHARE)

    def _should_open(self, waiter: waiters.Waiter) -> bool:
        """Return whether to open a connection for a waiter: it must be expected to open before the waiter times out.

        If nothing is being opened, the expected time is ignored; otherwise one slow opening would prevent all others.
        """
        if waiter.opening or waiter.future.done():
            return False
        return not self._openings or waiter.deadline - clock.now() > self._expected_opening_s

    def _open(self, waiter: waiters.Waiter) -> None:
        waiter.opening = True
        task = asyncio.get_running_loop().create_task(self._connect(waiter))
        self._openings.add(task)
        task.add_done_callback(self._on_opening_done)

    def _on_opening_done(self, task: "asyncio.Task[None]") -> None:
        self._openings.discard(task)
        self._open_again()

    def _open_again(self) -> None:
        if not self._closed:
            self._open_for_waiters()

    async def _connect(self, waiter: waiters.Waiter) -> None:
        started_at = clock.now()
        try:
            opened = await self._connector(self.instance, waiter.organisation)
        except errors.LinkRefusedError as error:
            self._size -= 1
            if error.overloaded and not self.full:
                self._full_until = clock.now() + self.full_backoff_s
                _log.bind(instance=self.instance.id, size=self._size).info(
                    "instance refused a connection because it is full"
                )
            self._on_refused(self.instance.id, error)
            if error.overloaded and self.keeps_refused:
                # A connection that is released or a place that becomes free may still come in time.
                waiter.opening = False
                asyncio.get_running_loop().call_later(self.full_backoff_s, self._open_again)
                return
            self._fail(waiter, error)
            if not error.overloaded:
                self._open_for_waiters()
            return
        except BaseException:
            self._size -= 1
            raise
        self._expected_opening_s += OPENING_SMOOTHING * (clock.now() - started_at - self._expected_opening_s)
        if waiter in self._waiters and not waiter.future.done():
            self._assign(waiter, opened)
        else:
            self._assign_or_keep(opened)

    def _assign(self, waiter: waiters.Waiter, connection: link.Link) -> None:
        self._remove_waiter(waiter)
        self._mark_used(connection, waiter.opens_transaction, waiter.priority)
        if self.meter is not None:
            self.meter.record_wait(clock.now() - waiter.waiting_since)
        waiter.future.set_result(connection)

    def _fail(self, waiter: waiters.Waiter, error: Exception) -> None:
        if not waiter.future.done():
            waiter.future.set_exception(error)
            # Marks the exception as retrieved, in case the waiter timed out in the same iteration of the event loop.
            waiter.future.exception()

    def _next_waiter(self, organisation: str) -> waiters.Waiter | None:
        """Return the waiter that gets a released connection of an organisation, or None.

        If the waiter belongs to another organisation, the connection has to be replaced by a new one.
        """
        waiting = self._sorted_waiters()
        same_organisation = next((waiter for waiter in waiting if waiter.organisation == organisation), None)
        if len(self._openings) >= MAX_CONCURRENT_OPENINGS:
            return same_organisation
        first = next((waiter for waiter in waiting if self._should_open(waiter)), None)
        prefer_same_organisation = (
            not self._exceeds_share(organisation)
            and first is not None
            and clock.now() - first.waiting_since < AFFINITY_S
        )
        if same_organisation is not None and (first is None or prefer_same_organisation):
            return same_organisation
        return first
