"""Registry of the measurements of ``tools/slopes.py``, and helpers that they share."""

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
"""One point: ``x`` and the measured values."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Describe one measurement.

    Attributes:
        x: What the points vary.
        how: One sentence on what runs.
        run: Measures and returns the points.
    """

    x: str
    how: str
    run: Callable[[], list[Point]]


registry: registries.Registry[Measurement] = registries.Registry("measurement")


def register(name: str, *, x: str, how: str) -> Callable[[Callable[[], list[Point]]], Callable[[], list[Point]]]:
    """Return a decorator that registers a function as a measurement."""

    def add(run: Callable[[], list[Point]]) -> Callable[[], list[Point]]:
        registry.register(name)(Measurement(x, how, run))
        return run

    return add


def time_calls(call: Callable[[], Any], *, budget_s: float = 0.3, most: int = 2000) -> float:
    """Return the seconds of processor time of one call, the mean of calls that take ``budget_s`` together."""
    call()
    count, start = 0, time.process_time()
    while count < most and time.process_time() - start < budget_s:
        call()
        count += 1
    return (time.process_time() - start) / count


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_growth(build: Callable[..., Any], *arguments: Any) -> float:
    """Return the bytes by which ``build`` makes a new process grow while its result is kept."""
    own, other = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_build, args=(other, build, *arguments))
    process.start()
    grown = own.recv() if own.poll(60) else None
    process.join(10)
    if grown is None:
        raise RuntimeError(f"{build.__name__} did not end within 60 s")
    return grown


def _build(pipe: connection.Connection, build: Callable[..., Any], *arguments: Any) -> None:
    logs.configure(level="CRITICAL")
    gc.collect()
    before = resident_bytes()
    kept = build(*arguments)
    gc.collect()
    pipe.send(resident_bytes() - before)
    del kept
