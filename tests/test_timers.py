"""Timer service: order of calls, errors, slow callbacks and shared wake-ups."""

import asyncio
import time

from currantlead import timers


async def test_manual_timers_call_in_order():
    """Periodic and one-time callbacks run when they are due."""
    clock = timers.ManualTimers()
    calls = []
    clock.subscribe("tick", 1.0, lambda: calls.append(("tick", clock.now() - 1000)))
    clock.call_after("once", 1.5, lambda: calls.append(("once", clock.now() - 1000)))
    await clock.advance(2.0)
    assert calls == [("tick", 1.0), ("once", 1.5), ("tick", 2.0)]


async def test_failing_callback_does_not_stop_others():
    """An exception in one callback doesn't affect the other subscriptions."""
    service = timers.TimerService()
    service.start()
    called = asyncio.Event()

    def fail():
        raise RuntimeError("fails")

    service.subscribe("fails", 0.005, fail)
    service.subscribe("works", 0.01, called.set)
    await asyncio.wait_for(called.wait(), 2)
    await service.stop()


async def test_cancelled_subscription_is_not_called():
    """A cancelled subscription gets no further calls."""
    clock = timers.ManualTimers()
    calls = []
    subscription = clock.subscribe("tick", 1.0, lambda: calls.append(1))
    subscription.cancel()
    await clock.advance(5.0)
    assert calls == []


async def test_slow_callback_leaves_time_for_other_tasks():
    """A callback that takes longer than its interval doesn't starve the other tasks of the event loop."""
    service = timers.TimerService()
    service.start()
    service.subscribe("slow", 0.001, lambda: time.sleep(0.005))
    turns = 0
    end = asyncio.get_running_loop().time() + 0.2
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(0)
        turns += 1
    await service.stop()
    assert turns > 10


async def test_related_intervals_are_due_together():
    """Subscriptions are aligned to one grid whenever they are made, so that timers don't each wake up the process."""
    service = timers.TimerService()
    service.start()
    calls = {"short": [], "long": []}
    service.subscribe("short", 0.05, lambda: calls["short"].append(service.now()))
    await asyncio.sleep(0.017)
    service.subscribe("long", 0.1, lambda: calls["long"].append(service.now()))
    await asyncio.sleep(0.45)
    await service.stop()
    assert len(calls["long"]) >= 2
    assert all(min(abs(at - other) for other in calls["short"]) < 0.001 for at in calls["long"])


async def test_stopped_service_makes_no_calls():
    """A timer must not run on after the components of a daemon have stopped."""
    service = timers.TimerService()
    service.start()
    calls = []
    service.subscribe("tick", 0.01, lambda: calls.append(1))
    await service.stop()
    await asyncio.sleep(0.05)
    assert calls == []
