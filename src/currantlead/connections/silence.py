"""Tell a slow statement from an instance that does not answer at all."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

CHECK_S = 0.5
"""A read that takes longer has its instance asked for its status, again after each such time."""
STATUS_TIMEOUT_S = 1.0
"""A live instance answers its status in milliseconds, whatever its statements do."""
SILENT_S = 2.0
"""For this long a silent instance gets no new statement: longer than the time between two checks."""


async def run_while_answering(
    step: Coroutine[Any, Any, T],
    answers: Callable[[], Awaitable[bool]],
    on_silent: Callable[[], None],
    *,
    abandon: bool,
) -> T | None:
    """Run a step, and notice if the other side stops answering meanwhile.

    Args:
        step: The step.
        answers: Asks the other side whether it answers.
        on_silent: Called after each question without an answer.
        abandon: Whether the step is cancelled then. If not, it goes on, as a write must: it may have run.

    Returns:
        The result of the step, or None if it was abandoned.
    """
    task = asyncio.ensure_future(step)
    try:
        while True:
            await asyncio.wait({task}, timeout=CHECK_S)
            if task.done():
                return task.result()
            if not await answers() and not task.done():
                on_silent()
                if abandon:
                    return None
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
