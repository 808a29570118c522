"""Distinguish slow statements from unresponsive instances."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

CHECK_INTERVAL_S = 0.5
"""Interval of status requests to an instance while a statement runs on it."""
STATUS_TIMEOUT_S = 1.0
"""Timeout of a status request; a running instance responds within milliseconds regardless of its statements."""
UNRESPONSIVE_PERIOD_S = 2.0
"""Period for which an unresponsive instance gets no new statements; longer than the time between two checks."""


async def run_monitored(
    operation: Coroutine[Any, Any, T],
    is_responding: Callable[[], Awaitable[bool]],
    on_unresponsive: Callable[[], None],
    *,
    cancel_if_unresponsive: bool,
) -> T | None:
    """Run an operation on an instance, and check regularly whether the instance still responds.

    Args:
        operation: The operation.
        is_responding: Returns whether the instance responds.
        on_unresponsive: Called after each check to which the instance did not respond.
        cancel_if_unresponsive: Whether to cancel the operation then. Must be False for writes, which may have run.

    Returns:
        The result of the operation, or None if it was cancelled.
    """
    task = asyncio.ensure_future(operation)
    try:
        while True:
            await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
            if task.done():
                return task.result()
            if not await is_responding() and not task.done():
                on_unresponsive()
                if cancel_if_unresponsive:
                    return None
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
