"""Open-loop load generator that records the result of each statement.

The arrival times do not depend on earlier responses, so a slow system shows up as latency instead of a lower load.
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
    """A statement to send.

    Attributes:
        database: Name of the database.
        sql: Statement text.
        params: Statement parameters.
        write: Whether the statement modifies data.
        max_age_ms: Maximum accepted staleness of the data, or None.
        idempotency_key: Idempotency key, or None.
        row_id: Unique ID of the row that a write inserts, or None.
        ledger: Table whose rows are verified after the run, or None.
        session: Name of the client session.
    """

    database: str
    sql: str
    params: list[Any]
    write: bool = False
    max_age_ms: int | None = None
    idempotency_key: str | None = None
    row_id: str | None = None
    ledger: str | None = None
    session: str = ""


@dataclasses.dataclass(slots=True)
class Result:
    """The result of one statement as reported to the client.

    Attributes:
        operation: The statement.
        verdict: Verdict after the last attempt.
        reason: Reason for a refusal or failure.
        at: Monotonic time of the arrival.
        latency_s: Time from the arrival to the last response, in seconds.
        rows: Rows that a completed read returned.
        attempts: Number of attempts.
    """

    operation: Operation
    verdict: str
    reason: str
    at: float
    latency_s: float
    rows: list[list[Any]]
    attempts: int


class Session:
    """A client session that sends its token with each statement, so that any VM can serve it."""

    def __init__(
        self, http: aiohttp.ClientSession, choose_url: Callable[[], str], key: str, *, timeout_s: float = 15.0
    ):
        """Create a session.

        Args:
            http: HTTP client, shared between sessions.
            choose_url: Returns the base URL for the next request.
            key: API key of the organisation.
            timeout_s: Timeout of one request in seconds.
        """
        self._http = http
        self._choose_url = choose_url
        self._key = key
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.token: str | None = None

    async def send(self, operation: Operation, *, attempts: int = 1, seed: int = 0) -> Result:
        """Send a statement, and retry it only if it cannot run twice.

        Args:
            operation: The statement.
            attempts: Maximum number of attempts.
            seed: Seed for the jitter of the retry delays.

        Returns:
            The result of the last attempt. Once an attempt may have run, only a completed one changes the verdict from
            ``may_have_run``, because a later refusal does not undo the earlier attempt.
        """
        started = time.monotonic()
        jitter = random.Random(seed)
        may_have_run = False
        for attempt in range(1, attempts + 1):
            verdict, reason, rows, retry_after_s = await self._send_once(operation)
            may_have_run = may_have_run or verdict == MAY_HAVE_RUN
            retryable = verdict == NOT_RUN or not operation.write or operation.idempotency_key is not None
            if verdict == COMPLETED or not retryable or attempt == attempts:
                break
            await asyncio.sleep(min(retry_after_s * (0.5 + jitter.random()), 2.0))
        if may_have_run and verdict != COMPLETED:
            verdict = MAY_HAVE_RUN
        return Result(operation, verdict, reason, started, time.monotonic() - started, rows, attempt)

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
        url = f"{self._choose_url()}/v1/databases/{operation.database}/statements"
        try:
            async with self._http.post(url, json=body, headers=headers, timeout=self._timeout) as response:
                decoded = json.loads(await response.read())
                self._merge_token(response.headers.get("Currantlead-Session"))
                retry_after_s = float(response.headers.get("Retry-After") or 0.1)
        except aiohttp.ClientConnectorError:
            return NOT_RUN, "no_connection", [], 0.05
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return MAY_HAVE_RUN, type(error).__name__, [], 0.05
        return decoded["verdict"], decoded.get("reason", ""), decoded.get("rows", []), retry_after_s

    def _merge_token(self, token: str | None) -> None:
        """Merge a token into the session token; concurrent responses may arrive in any order."""
        if token is None:
            return
        merged = positions(self.token)
        for database, position in positions(token).items():
            merged[database] = max(merged.get(database, position), position)
        self.token = "v1:" + ",".join(f"{name}.{term}.{index}" for name, (term, index) in sorted(merged.items()))


def positions(token: str | None) -> dict[str, tuple[int, int]]:
    """Return the term and log index of each database in a session token."""
    entries = (entry.split(".") for entry in (token or "v1:")[3:].split(",") if entry)
    return {name: (int(term), int(index)) for name, term, index in entries}


async def run_open_loop(
    schedule: Sequence[tuple[float, Callable[[], Any]]], *, on_done: Callable[[Any], None] = lambda result: None
) -> list[Any]:
    """Start each operation at its scheduled time, regardless of unfinished earlier ones.

    Args:
        schedule: Pairs of a start time in seconds from now, ascending, and a function that returns a coroutine.
        on_done: Called with each result.

    Returns:
        The results in the order of the start times.
    """
    start = time.monotonic()
    tasks = []
    for at, send in schedule:
        delay = start + at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        task = asyncio.ensure_future(send())
        task.add_done_callback(lambda finished: on_done(finished.result()))
        tasks.append(task)
    return list(await asyncio.gather(*tasks))


def poisson_arrivals(rate: float, seconds: float, seed: int) -> list[float]:
    """Return the arrival times of a Poisson process.

    Args:
        rate: Mean number of arrivals per second.
        seconds: Duration in seconds.
        seed: Seed of the random generator.

    Returns:
        Arrival times in seconds, ascending.
    """
    rng = random.Random(seed)
    arrivals, at = [], rng.expovariate(rate)
    while at < seconds:
        arrivals.append(at)
        at += rng.expovariate(rate)
    return arrivals


def quantiles(seconds: Sequence[float], percents: Sequence[float] = (50.0, 99.0)) -> dict[float, float]:
    """Return latency percentiles computed with an HdrHistogram.

    Args:
        seconds: Latencies in seconds.
        percents: Percentiles from 0 to 100.

    Returns:
        Latency in seconds by percentile; 0 if there are no latencies.
    """
    latencies = histogram.HdrHistogram(1, 120_000_000, 3)
    for value in seconds:
        latencies.record_value(max(1, int(value * 1e6)))
    return {percent: latencies.get_value_at_percentile(percent) / 1e6 if seconds else 0.0 for percent in percents}
