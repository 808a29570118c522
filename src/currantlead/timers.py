"""Timer service for periodic and one-time callbacks."""

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
    """Represent a subscription to a timer; ``cancel`` ends it.

    Attributes:
        name: Name in log lines.
        interval_s: Seconds between calls, or None for a one-time call.
        callback: Function or coroutine function to call.
        cancelled: Whether the subscription was cancelled.
    """

    name: str
    interval_s: float | None
    callback: Callback
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent all further calls."""
        self.cancelled = True


class Timers(Protocol):
    """Interface of a timer service."""

    def now(self) -> float:
        """Return a monotonic clock reading in seconds."""

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds."""

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds."""


class _SubscriptionQueue:
    """Priority queue of subscriptions, ordered by the time of their next call.

    Args:
        phase: Clock reading to which periodic calls are aligned: they are due at this reading plus a multiple of their
            interval, so that subscriptions with related intervals are due together. With None, each call is due one
            interval after the previous one was due.
    """

    def __init__(self, phase: float | None = None) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._phase = phase

    def add(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), subscription))

    def add_periodic(self, now: float, subscription: Subscription, interval_s: float) -> None:
        self.add(self._next_call_at(now, now, interval_s), subscription)

    def _next_call_at(self, now: float, due: float, interval_s: float) -> float:
        # Missed calls are skipped: one call is enough after a pause of the process. The next call is always later than
        # ``now``; otherwise a callback that takes longer than its interval would starve the event loop.
        if self._phase is None:
            next_call_at = due + interval_s
        else:
            next_call_at = self._phase + (math.floor((now - self._phase) / interval_s) + 1) * interval_s
        return next_call_at if next_call_at > now else now + interval_s

    def next_due(self) -> float | None:
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: float) -> Subscription | None:
        """Return a subscription that is due, or None, and schedule its next call."""
        due = self.next_due()
        if due is None or due > now:
            return None
        _, _, subscription = heapq.heappop(self._heap)
        if subscription.interval_s is not None:
            self.add(self._next_call_at(now, due, subscription.interval_s), subscription)
        return subscription


class TimerService:
    """Run callbacks on the asyncio event loop.

    Each wake-up of the process costs about 0.1 ms, mostly in the selector, so all periodic calls of a service are
    aligned to a common grid. Its phase is random, because VMs that send heartbeats at the same moment would receive
    each other's echoes late.
    """

    def __init__(self) -> None:
        self._queue = _SubscriptionQueue(random.random())
        self._running: set[asyncio.Task[None]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake_up: tuple[float, asyncio.TimerHandle] | None = None

    def now(self) -> float:
        """Return a monotonic clock reading in seconds."""
        return time.monotonic()

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds; the first call is at most one interval away.

        Args:
            name: Name in log lines.
            interval_s: Seconds between calls.
            callback: Function or coroutine function without arguments.

        Returns:
            The subscription, which can be cancelled.
        """
        subscription = Subscription(name, interval_s, callback)
        self._queue.add_periodic(self.now(), subscription, interval_s)
        self._schedule_wake_up()
        return subscription

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds."""
        subscription = Subscription(name, None, callback)
        self._queue.add(self.now() + delay_s, subscription)
        self._schedule_wake_up()
        return subscription

    def start(self) -> None:
        """Start the service on the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._schedule_wake_up()

    async def stop(self) -> None:
        """Stop the service and wait for running callbacks."""
        self._loop = None
        if self._wake_up is not None:
            self._wake_up[1].cancel()
            self._wake_up = None
        await asyncio.gather(*self._running, return_exceptions=True)

    def _schedule_wake_up(self) -> None:
        due = self._queue.next_due()
        if self._loop is None or due is None or (self._wake_up is not None and self._wake_up[0] <= due):
            return
        if self._wake_up is not None:
            self._wake_up[1].cancel()
        self._wake_up = due, self._loop.call_later(max(0.0, due - self.now()), self._run_due)

    def _run_due(self) -> None:
        self._wake_up = None
        now = self.now()
        while (subscription := self._queue.take_due(now)) is not None:
            self._call(subscription)
        self._schedule_wake_up()

    def _call(self, subscription: Subscription) -> None:
        try:
            awaitable = subscription.callback()
        except Exception as error:
            _log.opt(exception=error).error("timer {} failed", subscription.name)
            return
        if awaitable is not None:
            task = asyncio.ensure_future(self._await_callback(subscription, awaitable))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _await_callback(self, subscription: Subscription, awaitable: Awaitable[None]) -> None:
        try:
            await awaitable
        except asyncio.CancelledError:
            raise
        except Exception as error:
            _log.opt(exception=error).error("timer {} failed", subscription.name)


class ManualTimers:
    """Timer service for tests with a simulated clock that only ``advance`` moves."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._queue = _SubscriptionQueue()

    def now(self) -> float:
        """Return the simulated clock reading in seconds."""
        return self._now

    def subscribe(self, name: str, interval_s: float, callback: Callback) -> Subscription:
        """Call back every ``interval_s`` seconds of simulated time."""
        subscription = Subscription(name, interval_s, callback)
        self._queue.add(self._now + interval_s, subscription)
        return subscription

    def call_after(self, name: str, delay_s: float, callback: Callback) -> Subscription:
        """Call back once after ``delay_s`` seconds of simulated time."""
        subscription = Subscription(name, None, callback)
        self._queue.add(self._now + delay_s, subscription)
        return subscription

    async def advance(self, seconds: float) -> None:
        """Advance the clock and run each callback when it is due.

        Args:
            seconds: Seconds by which to advance.
        """
        end = self._now + seconds
        while (due := self._queue.next_due()) is not None and due <= end:
            self._now = max(self._now, due)
            subscription = self._queue.take_due(self._now)
            if subscription is None:
                break
            awaitable = subscription.callback()
            if awaitable is not None:
                await awaitable
        self._now = end
