"""Acknowledgement of writes by a majority of a group's instances.

Each replica is followed with one long poll for all writes. A response advances the acknowledged index, which completes
all writes up to that index.
"""

import asyncio
import heapq
import itertools
from collections.abc import Mapping

from currantlead import logs
from currantlead.connections import endpoint
from currantlead.control import model

POLL_TIMEOUT_S = 1.0
# A replica counts as reachable for two poll timeouts, so that one late response does not cause refused writes.
CONTACT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.05
# Replicas adopt a new term shortly after the group record changes, so a new tracker waits before it refuses writes.
STARTUP_GRACE_S = 2.0

_log = logs.part("acknowledge")


class AcknowledgementTracker:
    """Track the positions that a group's replicas have received in one term."""

    def __init__(self, group: model.Group, replicas: Mapping[str, endpoint.Endpoint]):
        self.term = group.term
        self.group = group.name
        self._replicas = replicas
        self._majority = len(group.instances) // 2 + 1
        self._received: dict[str, int] = {}
        self._last_contact: dict[str, float] = {}
        self._started_at: float | None = None
        self._acknowledged = -1 if self._majority > 1 else 1 << 62
        self._majority_seen = asyncio.Event()
        self._waiters: list[tuple[int, int, asyncio.Future[bool]]] = []
        self._tie_breaker = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._closed = False

    @property
    def acknowledged(self) -> int:
        """Return the highest log index that a majority has received in this term."""
        return self._acknowledged

    def start(self) -> None:
        """Start polling the replicas."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        if self._majority == 1:
            self._majority_seen.set()
        self._tasks = [loop.create_task(self._poll_replica(name)) for name in self._replicas]

    async def keep_open(self, *, timeout_s: float) -> None:
        """Keep accepting acknowledgements for a period after the term has ended.

        The full period is awaited even if nothing waits, because a write that still runs on the primary starts to wait
        only after the primary's response.
        """
        await asyncio.sleep(timeout_s)

    async def stop(self) -> None:
        """Stop polling; waiting writes are not acknowledged."""
        self._closed = True
        self._fail_waiters()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def majority_reachable(self, *, timeout_s: float) -> bool:
        """Return whether a majority, including the primary, was recently reachable in this term.

        Waits during the startup period until a majority has been reachable once; later calls do not wait.
        """
        loop = asyncio.get_running_loop()
        if self._started_at is None or (
            not self._majority_seen.is_set() and loop.time() - self._started_at < STARTUP_GRACE_S
        ):
            try:
                async with asyncio.timeout(timeout_s):
                    await self._majority_seen.wait()
            except TimeoutError:
                return False
        return self._majority_reachable()

    async def confirm_majority(self, age_s: float, *, timeout_s: float) -> bool:
        """Return whether a majority was in this term at most ``age_s`` ago; query the replicas if that is not known."""
        if self._majority_reachable(age_s):
            return True
        sent_at = asyncio.get_running_loop().time()
        queries = [asyncio.ensure_future(self._query_once(name, timeout_s)) for name in self._replicas]
        try:
            for query in asyncio.as_completed(queries):
                await query
                # The data is read after the query was sent, so its age is counted from that time.
                if self._majority_reachable(asyncio.get_running_loop().time() - sent_at):
                    return True
        finally:
            for query in queries:
                query.cancel()
        return False

    async def wait(self, index: int, *, timeout_s: float) -> bool:
        """Wait until a majority has received an index in this term; return False if that could not be confirmed."""
        if index <= self._acknowledged:
            return True
        if self._closed:
            return False
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (index, next(self._tie_breaker), waiter))
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return False

    def record_status(self, name: str, status: endpoint.Status, now: float) -> bool:
        """Record a replica's status; return False if it is of another term or instance and therefore ignored."""
        if self._closed or status.term != self.term or status.instance != name:
            self._mark_unreachable(name)
            return False
        self._last_contact[name] = now
        if status.received_index > self._received.get(name, -1):
            self._received[name] = status.received_index
            self._update_acknowledged()
        if self._majority_reachable():
            self._majority_seen.set()
        return True

    def _update_acknowledged(self) -> None:
        # The primary has received every index that it reported, so a majority needs one replica less.
        received = sorted(self._received.values(), reverse=True)
        required = self._majority - 1
        if required == 0 or len(received) < required:
            return
        self._acknowledged = max(self._acknowledged, received[required - 1])
        while self._waiters and self._waiters[0][0] <= self._acknowledged:
            waiter = heapq.heappop(self._waiters)[2]
            if not waiter.done():
                waiter.set_result(True)

    def _majority_reachable(self, age_s: float = CONTACT_TIMEOUT_S) -> bool:
        now = asyncio.get_running_loop().time()
        reachable = sum(now - contact <= age_s for contact in self._last_contact.values())
        return not self._closed and reachable + 1 >= self._majority

    def _mark_unreachable(self, name: str) -> None:
        if self._last_contact.pop(name, None) is not None:
            _log.warning("{}: replica {} does not report positions in term {}", self.group, name, self.term)

    def _fail_waiters(self) -> None:
        for _, _, waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(False)
        self._waiters.clear()

    async def _query_once(self, name: str, timeout_s: float) -> None:
        sent_at = asyncio.get_running_loop().time()
        outcome = await self._replicas[name].positions(term=self.term, beyond=-1, wait_s=0.0, timeout_s=timeout_s)
        if outcome.is_ok():
            self.record_status(name, outcome.ok_value, sent_at)

    async def _poll_replica(self, name: str) -> None:
        replica = self._replicas[name]
        loop = asyncio.get_running_loop()
        # The first poll returns at once, so that writes learn early whether a majority is reachable.
        wait_s = 0.0
        while not self._closed:
            sent_at = loop.time()
            beyond = self._received.get(name, -1)
            outcome = await replica.positions(
                term=self.term, beyond=beyond, wait_s=wait_s, timeout_s=wait_s + CONTACT_TIMEOUT_S - POLL_TIMEOUT_S
            )
            if outcome.is_err():
                self._mark_unreachable(name)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if not self.record_status(name, outcome.ok_value, sent_at):
                await asyncio.sleep(RETRY_DELAY_S)
            wait_s = POLL_TIMEOUT_S
