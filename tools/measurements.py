"""Registry of the measurements that ``tools/slopes.py`` runs, and shared helper functions."""

import dataclasses
import gc
import multiprocessing
import os
import time
from collections.abc import Callable
from multiprocessing import connection
from typing import Any

from currantlead import logs
from currantlead import registry as registries

Point = dict[str, float]
"""Value of ``x`` and the values measured there, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """A registered measurement.

    Attributes:
        x: Description of the independent variable.
        how: Description of the method, in one sentence.
        run: Function that measures and returns the points.
    """

    x: str
    how: str
    run: Callable[[], list[Point]]


registry: registries.Registry[Measurement] = registries.Registry("measurement")


def register(name: str, *, x: str, how: str) -> Callable[[Callable[[], list[Point]]], Callable[[], list[Point]]]:
    """Return a decorator that registers a function as a measurement."""

    def decorate(run: Callable[[], list[Point]]) -> Callable[[], list[Point]]:
        registry.register(name)(Measurement(x, how, run))
        return run

    return decorate


def time_calls(call: Callable[[], Any], *, budget_s: float = 0.3, max_calls: int = 2000) -> float:
    """Measure the mean CPU time of a call.

    Args:
        call: Function to measure; it is called once before the measurement as a warm-up.
        budget_s: Total CPU time after which no further calls are made.
        max_calls: Maximum number of measured calls.

    Returns:
        The mean in seconds, without the warm-up call.
    """
    call()
    count, start = 0, time.process_time()
    while count < max_calls and time.process_time() - start < budget_s:
        call()
        count += 1
    return (time.process_time() - start) / count


def resident_bytes() -> int:
    """Return the resident set size of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_growth(build: Callable[..., Any], *arguments: Any) -> float:
    """Return the growth in resident set size of a new process that calls ``build`` and keeps the result, in bytes."""
    parent_pipe, child_pipe = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_measure_build, args=(child_pipe, build, *arguments))
    process.start()
    growth = parent_pipe.recv() if parent_pipe.poll(60) else None
    process.join(10)
    if growth is None:
        raise RuntimeError(f"{build.__name__} returned no result within 60 s")
    return growth


def _measure_build(pipe: connection.Connection, build: Callable[..., Any], *arguments: Any) -> None:
    logs.configure(level="CRITICAL")
    gc.collect()
    before = resident_bytes()
    result = build(*arguments)
    gc.collect()
    pipe.send(resident_bytes() - before)
    del result
