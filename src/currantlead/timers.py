"""Let parts subscribe to periodic and single calls on one clock."""

import asyncio
import dataclasses
import heapq
import itertools
import math
import random
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from currantlead import logs

Callback = Callable[[], Awaitable[None] | None]

_log = logs.part("timers")


@dataclasses.dataclass(eq=False, slots=True)
class Subscription:
    """Represent one subscriber; ``cancel`` ends its calls.

    Attributes:
        name: Name for logs.
        interval_s: Seconds between calls, or None for a single call.
        callback: The function or coroutine function to call.
        cancelled: Whether the subscriber has left.
    """

    name: str
    interval_s: float | None
    callback: Callback
    cancelled: bool = False

    def cancel(self) -> None:
        """End the calls to this subscriber."""
        self.cancelled = True


class Timers(Protocol):
    """Describe what parts may ask of a timer service."""

    def now(self) -> float:
        """Return a monotonic clock reading in seconds."""

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds."""

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds."""


class _Queue:
    """Order subscriptions by the time of their next call.

    Args:
        phase: Periodic calls come at this reading plus multiples of their interval, so that subscriptions of related
            intervals are due together; None counts the intervals from the first call.
    """

    def __init__(self, phase: float | None = None) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._phase = phase

    def add(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))

    def add_periodic(self, now: float, subscription: Subscription, interval_s: float) -> None:
        self.add(self._following(now, now, interval_s), subscription)

    def _following(self, now: float, due: float, interval_s: float) -> float:
        # Skips missed calls: after a pause of the process one call is enough. The next call lies after ``now``, or a
        # callback that takes longer than its interval would keep the loop from everything else.
        if self._phase is None:
            following = due + interval_s
        else:
            following = self._phase + (math.floor((now - self._phase) / interval_s) + 1) * interval_s
        return following if following > now else now + interval_s

    def next_due(self) -> float | None:
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: float) -> Subscription | None:
        """Remove and return one subscription that is due, and schedule its next call."""
        due = self.next_due()
        if due is None or due > now:
            return None
        _, _, subscription = heapq.heappop(self._heap)
        if subscription.interval_s is not None:
            self.add(self._following(now, due, subscription.interval_s), subscription)
        return subscription


class TimerService:
    """Run subscribers' callbacks on the asyncio loop.

    Each wake-up of the process costs about 0.1 ms, mostly in the selector, so periodic calls of one service fall on a
    common grid. Its phase is random, because VMs that send heartbeats at the same moment would get their echoes late.
    """

    def __init__(self) -> None:
        self._queue = _Queue(random.random())
        self._running: set[asyncio.Task[None]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._alarm: tuple[float, asyncio.TimerHandle] | None = None

    def now(self) -> float:
        """Return a monotonic clock reading in seconds."""
        return time.monotonic()

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds; the first call comes within that time.

        Args:
            name: Name for logs.
            interval_s: Seconds between calls.
            callback: A function or coroutine function without arguments.

        Returns:
            The subscription, which can be cancelled.
        """
        subscription = Subscription(name, interval_s, callback)
        self._queue.add_periodic(self.now(), subscription, interval_s)
        self._arm()
        return subscription

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds."""
        subscription = Subscription(name, None, callback)
        self._queue.add(self.now() + delay_s, subscription)
        self._arm()
        return subscription

    def start(self) -> None:
        """Start the service on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._arm()

    async def stop(self) -> None:
        """Stop the service and wait for callbacks under way."""
        self._loop = None
        if self._alarm is not None:
            self._alarm[1].cancel()
            self._alarm = None
        await asyncio.gather(*self._running, return_exceptions=True)

    def _arm(self) -> None:
        due = self._queue.next_due()
        if self._loop is None or due is None or (self._alarm is not None and self._alarm[0] <= due):
            return
        if self._alarm is not None:
            self._alarm[1].cancel()
        self._alarm = due, self._loop.call_later(max(0.0, due - self.now()), self._run_due)

    def _run_due(self) -> None:
        self._alarm = None
        now = self.now()
        while (subscription := self._queue.take_due(now)) is not None:
            self._call(subscription)
        self._arm()

    def _call(self, subscription: Subscription) -> None:
        try:
            result = subscription.callback()
        except Exception as error:
            _log.opt(exception=error).error("timer {} failed", subscription.name)
            return
        if result is not None:
            task = asyncio.ensure_future(self._guard(subscription, result))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _guard(self, subscription: Subscription, result: Awaitable[None]) -> None:
        try:
            await result
        except asyncio.CancelledError:
            raise
        except Exception as error:
            _log.opt(exception=error).error("timer {} failed", subscription.name)


class ManualTimers:
    """Replace the timer service in tests: time moves only by ``advance``."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._queue = _Queue()

    def now(self) -> float:
        """Return the controlled clock reading in seconds."""
        return self._now

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds of controlled time."""
        subscription = Subscription(name, interval_s, callback)
        self._queue.add(self._now + interval_s, subscription)
        return subscription

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds of controlled time."""
        subscription = Subscription(name, None, callback)
        self._queue.add(self._now + delay_s, subscription)
        return subscription

    async def advance(self, seconds: float) -> None:
        """Move the clock and run each callback at its time.

        Args:
            seconds: How far to move.
        """
        end = self._now + seconds
        while (due := self._queue.next_due()) is not None and due <= end:
            self._now = max(self._now, due)
            subscription = self._queue.take_due(self._now)
            if subscription is None:
                break
            result = subscription.callback()
            if result is not None:
                await result
        self._now = end
