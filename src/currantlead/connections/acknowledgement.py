"""Acknowledgement of writes by a majority of a group's instances.

One long poll for each replica covers all writes: its answer moves the acknowledged index, which completes every write
up to it.
"""

import asyncio
import heapq
import itertools
from collections.abc import Mapping

from currantlead import logs
from currantlead.connections import endpoint
from currantlead.control import model

POLL_S = 1.0
# A replica counts as reachable for two polls, so that one late answer does not refuse writes.
REACHABLE_S = 2.0
PAUSE_S = 0.05
# Replicas learn of a new term a little after the group record has it, so a young tracker does not refuse at once.
START_S = 2.0

_log = logs.part("acknowledge")


class Tracker:
    """Follow the received positions of a group's replicas in one term."""

    def __init__(self, group: model.Group, replicas: Mapping[str, endpoint.Endpoint]):
        self.term = group.term
        self.group = group.name
        self._replicas = replicas
        self._majority = len(group.instances) // 2 + 1
        self._received: dict[str, int] = {}
        self._contact: dict[str, float] = {}
        self._started_at: float | None = None
        self._acknowledged = -1 if self._majority > 1 else 1 << 62
        self._known = asyncio.Event()
        self._waiting: list[tuple[int, int, asyncio.Future[bool]]] = []
        self._sequence = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._closed = False

    @property
    def acknowledged(self) -> int:
        """Return the highest index that a majority has received in this term."""
        return self._acknowledged

    def start(self) -> None:
        """Start one long poll for each replica."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        if self._majority == 1:
            self._known.set()
        self._tasks = [loop.create_task(self._follow(name)) for name in self._replicas]

    async def finish(self, *, timeout_s: float) -> None:
        """Give writes some time after the term; what replicas report of this term still counts.

        A write that is still at the primary waits here only after its answer, so the time is not cut short while none
        waits.
        """
        await asyncio.sleep(timeout_s)

    async def stop(self) -> None:
        """Stop polling; writes that wait are not acknowledged."""
        self._closed = True
        self._fail_waiting()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def reachable(self, *, timeout_s: float) -> bool:
        """Tell whether a majority, the primary included, was reachable in this term a moment ago.

        Waits if no majority was reachable since the start; later calls do not wait.
        """
        loop = asyncio.get_running_loop()
        if self._started_at is None or (not self._known.is_set() and loop.time() - self._started_at < START_S):
            try:
                async with asyncio.timeout(timeout_s):
                    await self._known.wait()
            except TimeoutError:
                return False
        return self._majority_reachable()

    async def confirm(self, age_s: float, *, timeout_s: float) -> bool:
        """Tell whether a majority was in this term at most ``age_s`` ago; ask the replicas if that is not known."""
        if self._majority_reachable(age_s):
            return True
        asked = asyncio.get_running_loop().time()
        questions = [asyncio.ensure_future(self._question(name, timeout_s)) for name in self._replicas]
        try:
            for question in asyncio.as_completed(questions):
                await question
                # The data is read after this question, so the answer bounds its age from the asking time.
                if self._majority_reachable(asyncio.get_running_loop().time() - asked):
                    return True
        finally:
            for question in questions:
                question.cancel()
        return False

    async def wait(self, index: int, *, timeout_s: float) -> bool:
        """Wait until a majority has received an index in this term; False if that is not certain."""
        if index <= self._acknowledged:
            return True
        if self._closed:
            return False
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (index, next(self._sequence), waiter))
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return False

    def observe(self, name: str, status: endpoint.Status, now: float) -> bool:
        """Take a replica's answer into account; return False for one of another term, which proves nothing."""
        if self._closed or status.term != self.term or status.instance != name:
            self._lose(name)
            return False
        self._contact[name] = now
        if status.received_index > self._received.get(name, -1):
            self._received[name] = status.received_index
            self._advance()
        if self._majority_reachable():
            self._known.set()
        return True

    def _advance(self) -> None:
        # The primary has every index that it answered with, so one replica less makes a majority.
        received = sorted(self._received.values(), reverse=True)
        needed = self._majority - 1
        if needed == 0 or len(received) < needed:
            return
        self._acknowledged = max(self._acknowledged, received[needed - 1])
        while self._waiting and self._waiting[0][0] <= self._acknowledged:
            waiter = heapq.heappop(self._waiting)[2]
            if not waiter.done():
                waiter.set_result(True)

    def _majority_reachable(self, age_s: float = REACHABLE_S) -> bool:
        now = asyncio.get_running_loop().time()
        reachable = sum(now - contact <= age_s for contact in self._contact.values())
        return not self._closed and reachable + 1 >= self._majority

    def _lose(self, name: str) -> None:
        if self._contact.pop(name, None) is not None:
            _log.warning("{}: replica {} gives no positions in term {}", self.group, name, self.term)

    def _fail_waiting(self) -> None:
        for _, _, waiter in self._waiting:
            if not waiter.done():
                waiter.set_result(False)
        self._waiting.clear()

    async def _question(self, name: str, timeout_s: float) -> None:
        asked = asyncio.get_running_loop().time()
        outcome = await self._replicas[name].positions(term=self.term, beyond=-1, wait_s=0.0, timeout_s=timeout_s)
        if outcome.is_ok():
            self.observe(name, outcome.ok_value, asked)

    async def _follow(self, name: str) -> None:
        replica = self._replicas[name]
        loop = asyncio.get_running_loop()
        # The first question does not wait, so that writes learn soon whether a majority is reachable.
        wait_s = 0.0
        while not self._closed:
            asked = loop.time()
            beyond = self._received.get(name, -1)
            outcome = await replica.positions(
                term=self.term, beyond=beyond, wait_s=wait_s, timeout_s=wait_s + REACHABLE_S - POLL_S
            )
            if outcome.is_err():
                self._lose(name)
                await asyncio.sleep(PAUSE_S)
                continue
            if not self.observe(name, outcome.ok_value, asked):
                await asyncio.sleep(PAUSE_S)
            wait_s = POLL_S
