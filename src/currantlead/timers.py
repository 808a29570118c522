"""Let parts subscribe to periodic and single calls on one clock."""

import asyncio
import dataclasses
import heapq
import itertools
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
    """Order subscriptions by the time of their next call."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()

    def add(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))

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
            # Skips missed calls: after a pause of the process one call is enough. The next call lies after ``now``, or
            # a callback that takes longer than its interval would keep the loop from everything else.
            following = due + subscription.interval_s
            self.add(following if following > now else now + subscription.interval_s, subscription)
        return subscription


class TimerService:
    """Run subscribers' callbacks on the asyncio loop."""

    def __init__(self) -> None:
        self._queue = _Queue()
        self._wake = asyncio.Event()
        self._running: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    def now(self) -> float:
        """Return a monotonic clock reading in seconds."""
        return time.monotonic()

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds.

        Args:
            name: Name for logs.
            interval_s: Seconds between calls.
            callback: A function or coroutine function without arguments.

        Returns:
            The subscription, which can be cancelled.
        """
        return self._add(Subscription(name, interval_s, callback), interval_s)

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds."""
        return self._add(Subscription(name, None, callback), delay_s)

    def start(self) -> None:
        """Start the service on the running loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop the service and wait for callbacks under way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, *self._running, return_exceptions=True)

    def _add(self, subscription: Subscription, delay_s: float) -> Subscription:
        self._queue.add(self.now() + delay_s, subscription)
        self._wake.set()
        return subscription

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            while (subscription := self._queue.take_due(self.now())) is not None:
                self._call(subscription)
            due = self._queue.next_due()
            delay = None if due is None else max(0.0, due - self.now())
            try:
                # asyncio.wait_for of Python 3.11 may swallow a cancellation that comes together with the event.
                async with asyncio.timeout(delay):
                    await self._wake.wait()
            except TimeoutError:
                continue

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
