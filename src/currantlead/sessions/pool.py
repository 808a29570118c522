"""Connections of this VM to one instance: a bounded number, lent to one statement or transaction at a time."""

import asyncio
import collections
import dataclasses
import itertools
from collections.abc import Awaitable, Callable, Mapping

from currantlead import errors, logs
from currantlead.sessions import clock, link, model

AFFINITY_S = 0.1
"""A free connection goes to a waiter of its own organisation only until the first in line has waited this long."""
MOST_SHARE = 0.5
"""Share of the connections that one organisation may use while others wait: transactions that rest would take all."""
LEAST_SHARE = 2
"""Connections that one organisation may use in any case: small pools would exchange theirs all the time."""
MOST_OPENINGS = 2
"""Connections that a pool opens at a time. An opening occupies a slot of the instance; many at once take so long that
those they were opened for have given up, and the slots are lost to statements."""
OPENING_S = 0.02
"""Expected time of an opening before one was measured."""
OPENING_WEIGHT = 0.2
"""Weight of the newest opening in the expected time."""
FULL_PAUSE_S = 0.3
"""After an instance reported that it is full, no further connection is tried for this long."""

Opener = Callable[[model.Instance, str], Awaitable[link.Link]]
Refused = Callable[[str, errors.LinkRefusedError], None]

_log = logs.part("pool")


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    priority: int
    number: int
    organisation: str
    since: float
    deadline: float
    future: "asyncio.Future[link.Link]"
    opening: bool = False


class Pool:
    """Lend connections; a statement waits in order of priority when all are in use.

    A connection is opened beside the wait for it: a statement whose time is over leaves it to others, so a slow opening
    is not taken for an instance that does not answer.

    Attributes:
        limit: Connections that may be open at once.
    """

    def __init__(
        self,
        instance: model.Instance,
        limit: int,
        opener: Opener = link.Link.connect,
        on_refused: Refused = lambda instance_id, error: None,
    ):
        self.instance = instance
        self.limit = limit
        self._opener = opener
        self._on_refused = on_refused
        self._idle: list[link.Link] = []
        self._size = 0
        self._in_use: collections.Counter[str] = collections.Counter()
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._openings: set[asyncio.Task[None]] = set()
        self._opening_s = OPENING_S
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

    @property
    def full(self) -> bool:
        """Tell whether the instance refused a connection a moment ago because it has too many."""
        return clock.now() < self._full_until

    @property
    def saturated(self) -> bool:
        """Tell whether a statement would have to wait."""
        return not self._idle and (self._size >= self.limit or self.full)

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is free."""
        return any(item.organisation == organisation for item in self._idle)

    def idle_organisation(self) -> str:
        """Return the organisation of the connection that became free last, or an empty name if none is free."""
        return self._idle[-1].organisation if self._idle else ""

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
        found = self._take(organisation, values)
        if found is not None:
            self._in_use[organisation] += 1
            return found
        future: asyncio.Future[link.Link] = asyncio.get_running_loop().create_future()
        now = clock.now()
        waiter = _Waiter(priority, next(self._numbers), organisation, now, now + timeout_s, future)
        self._waiters.append(waiter)
        self._pump()
        try:
            await asyncio.wait({future}, timeout=timeout_s)
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.release(future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if not future.done():
            future.cancel()
            raise errors.PoolUnavailableError(f"no connection to {self.instance.id} in {timeout_s:.3f} s")
        return future.result()

    def release(self, lent: link.Link) -> None:
        """Take a connection back; one that is not usable is dropped."""
        self._in_use[lent.organisation] -= 1
        self._place(lent)

    def discard(self, lent: link.Link) -> None:
        """Drop a connection and let a waiter open another."""
        self._in_use[lent.organisation] -= 1
        self._drop(lent)

    def _place(self, free: link.Link) -> None:
        """Give a connection that nobody uses to a waiter, or keep it."""
        if self._closed or not free.usable or self._size > self.limit:
            self._drop(free)
            return
        waiter = self._next_waiter(free.organisation)
        if waiter is None:
            self._idle.append(free)
        elif waiter.organisation == free.organisation:
            self._hand_over(waiter, free)
        else:
            free.close()
            self._open(waiter)

    def _drop(self, free: link.Link) -> None:
        if free.open:
            free.close()
        self._size -= 1
        self._pump()

    def close(self) -> None:
        """Close free connections and refuse further ones; lent ones close when they come back."""
        self._closed = True
        for item in self._idle:
            item.close()
        self._size -= len(self._idle)
        self._idle.clear()
        for waiter in self._waiters:
            self._fail(waiter, errors.PoolUnavailableError(f"{self.instance.id} takes no new work"))
        for task in self._openings:
            task.cancel()

    def _take(self, organisation: str, values: Mapping[str, str]) -> link.Link | None:
        for item in [item for item in self._idle if not item.usable]:
            self._idle.remove(item)
            item.close()
            self._size -= 1
        own = [item for item in self._idle if item.organisation == organisation]
        if not own:
            return None
        found = next((item for item in own if item.values == values), own[-1])
        self._idle.remove(found)
        return found

    def _pump(self) -> None:
        """Open connections for those who wait, as far as the limit allows."""
        for waiter in self._in_order():
            if len(self._openings) >= MOST_OPENINGS:
                return
            if not self._may_open(waiter):
                continue
            if self._size < self.limit and not (self.full and self._size):
                self._size += 1
            elif self._idle:
                # The connection that is free for longest makes room for one of another organisation.
                self._idle.pop(0).close()
            else:
                return
            self._open(waiter)

    def _in_order(self) -> list[_Waiter]:
        """Return those who wait, best first: of one priority, organisations that use most connections come last."""

        def key(waiter: _Waiter) -> tuple[int, bool, int]:
            return waiter.priority, self._uses_much(waiter.organisation), waiter.number

        return sorted((waiter for waiter in self._waiters if not waiter.future.done()), key=key)

    def _uses_much(self, organisation: str) -> bool:
        return self._in_use[organisation] >= max(LEAST_SHARE, self.limit * MOST_SHARE)

    def _may_open(self, waiter: _Waiter) -> bool:
        """Tell whether a connection should be opened for a waiter: it must still be there when that is done.

        One opening is always under way, or a slow one would keep others from being tried.
        """
        if waiter.opening or waiter.future.done():
            return False
        return not self._openings or waiter.deadline - clock.now() > self._opening_s

    def _open(self, waiter: _Waiter) -> None:
        waiter.opening = True
        task = asyncio.get_running_loop().create_task(self._connect(waiter))
        self._openings.add(task)
        task.add_done_callback(self._opened)

    def _opened(self, task: "asyncio.Task[None]") -> None:
        self._openings.discard(task)
        if not self._closed:
            self._pump()

    async def _connect(self, waiter: _Waiter) -> None:
        began_at = clock.now()
        try:
            opened = await self._opener(self.instance, waiter.organisation)
        except errors.LinkRefusedError as error:
            self._size -= 1
            if error.overloaded and not self.full:
                self._full_until = clock.now() + FULL_PAUSE_S
                _log.bind(instance=self.instance.id, size=self._size).info("instance is full")
            self._on_refused(self.instance.id, error)
            self._fail(waiter, error)
            if not error.overloaded:
                self._pump()
            return
        except BaseException:
            self._size -= 1
            raise
        self._opening_s += OPENING_WEIGHT * (clock.now() - began_at - self._opening_s)
        if waiter in self._waiters and not waiter.future.done():
            self._hand_over(waiter, opened)
        else:
            self._place(opened)

    def _hand_over(self, waiter: _Waiter, lent: link.Link) -> None:
        self._waiters.remove(waiter)
        self._in_use[waiter.organisation] += 1
        waiter.future.set_result(lent)

    def _fail(self, waiter: _Waiter, error: Exception) -> None:
        if not waiter.future.done():
            waiter.future.set_exception(error)
            # A waiter that gave up in the same step does not look at it.
            waiter.future.exception()

    def _next_waiter(self, organisation: str) -> _Waiter | None:
        """Return who gets a connection of an organisation, or has it replaced by one of its own; None if nobody."""
        waiting = self._in_order()
        same = next((waiter for waiter in waiting if waiter.organisation == organisation), None)
        if len(self._openings) >= MOST_OPENINGS:
            return same
        first = next((waiter for waiter in waiting if self._may_open(waiter)), None)
        prefers_same = (
            not self._uses_much(organisation) and first is not None and clock.now() - first.since < AFFINITY_S
        )
        if same is not None and (first is None or prefers_same):
            return same
        return first
