"""Send statements in an open loop and keep a record of what each caller was told.

Arrivals do not wait for answers, so a slow system shows as latency and not as a lower load.
"""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
from hdrh import histogram

COMPLETED, NOT_RUN, MAY_HAVE_RUN = "completed", "not_run", "may_have_run"


@dataclasses.dataclass(slots=True)
class Operation:
    """Describe one statement to send.

    Attributes:
        database: Database it goes to.
        sql: Statement text.
        params: Parameters.
        write: Whether it changes data.
        max_age_ms: Accepted age of the data, or None.
        idempotency_key: Idempotency key, or None.
        mark: Value that identifies the row that a write inserts, or None.
        ledger: Table that is compared at the end, or None.
        session: Name of the session.
    """

    database: str
    sql: str
    params: list[Any]
    write: bool = False
    max_age_ms: int | None = None
    idempotency_key: str | None = None
    mark: str | None = None
    ledger: str | None = None
    session: str = ""


@dataclasses.dataclass(slots=True)
class Told:
    """Hold what a caller was told about one statement.

    Attributes:
        operation: What was sent.
        verdict: The last verdict.
        reason: Reason of a refusal.
        at: Clock reading at the arrival.
        latency_s: Seconds from the arrival to the last answer.
        rows: Rows of a completed read.
        attempts: Times it was sent.
    """

    operation: Operation
    verdict: str
    reason: str
    at: float
    latency_s: float
    rows: list[list[Any]]
    attempts: int


class Session:
    """Send statements of one caller session to any VM; the session token travels with it."""

    def __init__(self, http: aiohttp.ClientSession, choose: Callable[[], str], key: str, *, timeout_s: float = 15.0):
        """Create a session.

        Args:
            http: HTTP client shared by sessions.
            choose: Returns the base address for the next request.
            key: The organisation's key.
            timeout_s: Longest wait for one answer.
        """
        self._http = http
        self._choose = choose
        self._key = key
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.token: str | None = None

    async def send(self, operation: Operation, *, attempts: int = 1, seed: int = 0) -> Told:
        """Send a statement; send it again only where that is safe.

        Args:
            operation: The statement.
            attempts: Times it is sent at most.
            seed: Seed of the pauses between attempts.

        Returns:
            What the caller was told last; once an attempt may have run, a later refusal does not undo that.
        """
        started = time.monotonic()
        pauses = random.Random(seed)
        doubtful = False
        for number in range(1, attempts + 1):
            verdict, reason, rows, retry_after_s = await self._send_once(operation)
            doubtful = doubtful or verdict == MAY_HAVE_RUN
            safe = verdict == NOT_RUN or not operation.write or operation.idempotency_key is not None
            if verdict == COMPLETED or not safe or number == attempts:
                break
            await asyncio.sleep(min(retry_after_s * (0.5 + pauses.random()), 2.0))
        if doubtful and verdict != COMPLETED:
            verdict = MAY_HAVE_RUN
        return Told(operation, verdict, reason, started, time.monotonic() - started, rows, number)

    async def _send_once(self, operation: Operation) -> tuple[str, str, list[list[Any]], float]:
        headers = {"Authorization": f"Bearer {self._key}"}
        if self.token is not None:
            headers["Currantlead-Session"] = self.token
        if operation.idempotency_key is not None:
            headers["Idempotency-Key"] = operation.idempotency_key
        body = {
            "sql": operation.sql,
            "params": operation.params,
            "access": "write" if operation.write else "read",
            "max_age_ms": operation.max_age_ms,
        }
        url = f"{self._choose()}/v1/databases/{operation.database}/statements"
        try:
            async with self._http.post(url, json=body, headers=headers, timeout=self._timeout) as answer:
                decoded = json.loads(await answer.read())
                self._advance(answer.headers.get("Currantlead-Session"))
                retry_after_s = float(answer.headers.get("Retry-After") or 0.1)
        except aiohttp.ClientConnectorError:
            return NOT_RUN, "no_connection", [], 0.05
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return MAY_HAVE_RUN, type(error).__name__, [], 0.05
        return decoded["verdict"], decoded.get("reason", ""), decoded.get("rows", []), retry_after_s

    def _advance(self, token: str | None) -> None:
        """Keep the newest position of each database; concurrent answers may come in any order."""
        if token is None:
            return
        newest = positions(self.token)
        for database, position in positions(token).items():
            newest[database] = max(newest.get(database, position), position)
        self.token = "v1:" + ",".join(f"{name}.{term}.{index}" for name, (term, index) in sorted(newest.items()))


def positions(token: str | None) -> dict[str, tuple[int, int]]:
    """Return term and index by database of a session token."""
    entries = (entry.split(".") for entry in (token or "v1:")[3:].split(",") if entry)
    return {name: (int(term), int(index)) for name, term, index in entries}


async def run_open_loop(
    sends: Sequence[tuple[float, Callable[[], Any]]], *, on_done: Callable[[Any], None] = lambda told: None
) -> list[Any]:
    """Start each send at its time, however long earlier ones take.

    Args:
        sends: Pairs of seconds from now, in order, and a function that returns a coroutine.
        on_done: Called with each result.

    Returns:
        All results.
    """
    start = time.monotonic()
    tasks = []
    for at, send in sends:
        delay = start + at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        task = asyncio.ensure_future(send())
        task.add_done_callback(lambda done: on_done(done.result()))
        tasks.append(task)
    return list(await asyncio.gather(*tasks))


def poisson_arrivals(rate: float, seconds: float, seed: int) -> list[float]:
    """Return seeded arrival times of a Poisson process.

    Args:
        rate: Mean arrivals per second.
        seconds: Length in seconds.
        seed: Seed.

    Returns:
        Times in seconds, in order.
    """
    generator = random.Random(seed)
    times, at = [], generator.expovariate(rate)
    while at < seconds:
        times.append(at)
        at += generator.expovariate(rate)
    return times


def quantiles(seconds: Sequence[float], percents: Sequence[float] = (50.0, 99.0)) -> dict[float, float]:
    """Return latency quantiles from an HdrHistogram.

    Args:
        seconds: Latencies.
        percents: Quantiles from 0 to 100.

    Returns:
        Seconds by quantile; 0 without latencies.
    """
    recorded = histogram.HdrHistogram(1, 120_000_000, 3)
    for value in seconds:
        recorded.record_value(max(1, int(value * 1e6)))
    return {percent: recorded.get_value_at_percentile(percent) / 1e6 if seconds else 0.0 for percent in percents}
