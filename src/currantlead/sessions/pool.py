"""Connections of this VM to one instance: a bounded number, lent to one statement or transaction at a time."""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable, Callable, Mapping

from currantlead import errors, logs
from currantlead.sessions import clock, link, model

AFFINITY_S = 0.1
"""A free connection goes to a waiter of its own organisation only until the first in line has waited this long."""
FULL_PAUSE_S = 0.3
"""After an instance reported that it is full, no further connection is tried for this long."""

Opener = Callable[[model.Instance, str, float], Awaitable[link.Link]]

_log = logs.part("pool")


@dataclasses.dataclass(slots=True)
class _Waiter:
    priority: int
    number: int
    organisation: str
    since: float
    # The result is a connection, or None for the right to open one.
    future: "asyncio.Future[link.Link | None]"


class Pool:
    """Lend connections; a statement waits in order of priority when all are in use.

    Attributes:
        limit: Connections that may be open at once.
    """

    def __init__(self, instance: model.Instance, limit: int, opener: Opener = link.Link.connect):
        self.instance = instance
        self.limit = limit
        self._opener = opener
        self._idle: list[link.Link] = []
        self._size = 0
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._full_until = 0.0
        self._closed = False

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait for a connection."""
        return len(self._waiters)

    @property
    def busy(self) -> int:
        """Return the number of connections in use or being opened."""
        return self._size - len(self._idle)

    @property
    def idle(self) -> int:
        """Return the number of open connections that are not in use."""
        return len(self._idle)

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is free."""
        return any(item.organisation == organisation for item in self._idle)

    @property
    def saturated(self) -> bool:
        """Tell whether a statement would have to wait."""
        return not self._idle and (self._size >= self.limit or clock.now() < self._full_until)

    async def acquire(
        self, organisation: str, values: Mapping[str, str], *, priority: int, timeout_s: float
    ) -> link.Link:
        """Lend a connection of an organisation.

        Args:
            organisation: The organisation.
            values: Session values; a connection that has them already is preferred.
            priority: Precedence among waiters; 0 is the highest.
            timeout_s: Longest wait, in seconds.

        Raises:
            errors.PoolUnavailableError: None became free in time, or the pool is closed.
            errors.LinkRefusedError: The instance refused a new connection.
        """
        if self._closed:
            raise errors.PoolUnavailableError(f"{self.instance.id} takes no new work")
        deadline = clock.now() + timeout_s
        found = self._take(organisation, values)
        if found is not None:
            return found
        if not self._reserve():
            found = await self._wait(organisation, priority, timeout_s)
            if found is not None:
                return found
        return await self._open(organisation, max(0.05, deadline - clock.now()))

    def release(self, lent: link.Link) -> None:
        """Take a connection back; one that is not usable is dropped."""
        if self._closed or not lent.usable or self._size > self.limit:
            self.discard(lent)
            return
        waiter = self._next_waiter(lent.organisation)
        if waiter is None:
            self._idle.append(lent)
        elif waiter.organisation == lent.organisation:
            waiter.future.set_result(lent)
        else:
            lent.close()
            waiter.future.set_result(None)

    def discard(self, lent: link.Link) -> None:
        """Drop a connection and let a waiter open another."""
        if lent.open:
            lent.close()
        self._free()

    def close(self) -> None:
        """Close free connections and refuse further ones; lent ones close when they come back."""
        self._closed = True
        for item in self._idle:
            item.close()
        self._size -= len(self._idle)
        self._idle.clear()
        for waiter in self._waiters:
            if not waiter.future.done():
                waiter.future.set_exception(errors.PoolUnavailableError(f"{self.instance.id} takes no new work"))
        self._waiters.clear()

    def _take(self, organisation: str, values: Mapping[str, str]) -> link.Link | None:
        self._drop_dead()
        own = [item for item in self._idle if item.organisation == organisation]
        if not own:
            return None
        found = next((item for item in own if item.values == values), own[-1])
        self._idle.remove(found)
        return found

    def _drop_dead(self) -> None:
        for item in [item for item in self._idle if not item.usable]:
            self._idle.remove(item)
            item.close()
            self._size -= 1

    def _reserve(self) -> bool:
        """Take the right to open a connection, at the cost of the one that is free for longest if need be."""
        if self._size < self.limit and (clock.now() >= self._full_until or not self._size):
            self._size += 1
            return True
        if self._idle:
            self._idle.pop(0).close()
            return True
        return False

    def _free(self) -> None:
        waiter = self._next_waiter(None) if self._size <= self.limit else None
        if waiter is None:
            self._size -= 1
        else:
            waiter.future.set_result(None)

    def _next_waiter(self, organisation: str | None) -> _Waiter | None:
        waiting = [waiter for waiter in self._waiters if not waiter.future.done()]
        if not waiting:
            return None
        first = min(waiting, key=lambda waiter: (waiter.priority, waiter.number))
        if first.organisation != organisation and clock.now() - first.since < AFFINITY_S:
            same = [waiter for waiter in waiting if waiter.organisation == organisation]
            first = min(same, key=lambda waiter: (waiter.priority, waiter.number), default=first)
        self._waiters.remove(first)
        return first

    async def _wait(self, organisation: str, priority: int, timeout_s: float) -> link.Link | None:
        future: asyncio.Future[link.Link | None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(priority, next(self._numbers), organisation, clock.now(), future)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            # The connection may have been handed over in the same step in which the time ran out.
            if future.done() and not future.cancelled() and future.exception() is None:
                return future.result()
            raise errors.PoolUnavailableError(f"no connection to {self.instance.id} in {timeout_s:.3f} s") from error
        except asyncio.CancelledError:
            self._return_unused(future)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _return_unused(self, future: "asyncio.Future[link.Link | None]") -> None:
        if future.done() and not future.cancelled() and future.exception() is None:
            unused = future.result()
            if unused is None:
                self._free()
            else:
                self.release(unused)

    async def _open(self, organisation: str, timeout_s: float) -> link.Link:
        try:
            opened = await self._opener(self.instance, organisation, timeout_s)
        except errors.LinkRefusedError as error:
            if error.overloaded:
                self._full_until = clock.now() + FULL_PAUSE_S
                _log.bind(instance=self.instance.id, size=self._size).info("instance is full")
            self._free()
            raise
        except BaseException:
            self._free()
            raise
        return opened
