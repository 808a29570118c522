"""Turns of statements at one instance: slots, fair queue and pool of connections."""

import asyncio
import math
import time

from currantlead import verdict
from currantlead.admission import fairness
from currantlead.connections import endpoint, pool, silence
from currantlead.control import model


class Dispatcher:
    """Let at most this VM's share of an instance's slots run at once, in fair order of organisations."""

    def __init__(self, group: str, instance: model.Instance, *, sender: str, open_timeout_s: float = 2.0):
        self.group = group
        self.instance = instance
        self.endpoint = endpoint.Endpoint.from_instance(instance, sender=sender)
        self.pool = pool.Pool(instance.name, lambda: self.endpoint.open(timeout_s=open_timeout_s))
        self.share = 0.0
        self.leaving_since: float | None = None
        self._silent_until = 0.0
        self._slots = 0
        self._in_flight = 0
        self._queue: fairness.FairQueue[asyncio.Future[verdict.Refusal | None]] = fairness.FairQueue()

    @property
    def in_flight(self) -> int:
        """Return the statements that have a slot."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Return the statements that wait for a slot."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """Return how many statements may run at once."""
        return self._slots

    def left_in_service(self, grace_s: float) -> bool:
        """Tell whether the instance began to leave less than ``grace_s`` ago."""
        return self.leaving_since is None or time.monotonic() - self.leaving_since < grace_s

    def set_share(self, service: model.Service, share: float) -> None:
        """Adopt a share of the instance's slots and connections."""
        self.share = share
        # A holder without any slot could not serve at all; the instance queues the one statement too many.
        self._slots = max(1, math.floor(service.slots * share)) if share > 0 else 0
        self.pool.set_limit(math.floor(service.connections * share))
        self._pump()
        if share <= 0:
            self.refuse_waiting()

    def refuse_waiting(self) -> None:
        """Refuse everything in the queue, because this VM does not hold the instance any more."""
        self._refuse_queue(
            verdict.Refusal(
                verdict.Reason.NOT_HOLDER, verdict.Verdict.NOT_RUN, "this VM does not hold the instance", 0.1
            )
        )

    def note_silent(self) -> None:
        """Refuse what waits and what comes in the next moment, so that it can run at another instance."""
        self._silent_until = time.monotonic() + silence.SILENT_S
        self._refuse_queue(self._silent())

    def check_silence(self) -> verdict.Refusal | None:
        """Return a refusal if the instance gave no answer a moment ago."""
        return self._silent() if time.monotonic() < self._silent_until else None

    async def answers(self) -> bool:
        """Ask the instance whether it answers at all."""
        return (await self.endpoint.status(timeout_s=silence.STATUS_TIMEOUT_S)).is_ok()

    async def enter(
        self, organisation: str, *, weight: float, limit: int, deadline: float, pinned: bool = False
    ) -> verdict.Refusal | None:
        """Wait for a slot; the caller gives it back with ``leave`` unless it got a refusal.

        Open transactions (``pinned``) may finish after this VM lost its share.
        """
        if pinned and self._slots == 0:
            self._in_flight += 1
            return None
        if self._in_flight < self._slots and not len(self._queue):
            self._in_flight += 1
            return None
        turn: asyncio.Future[verdict.Refusal | None] = asyncio.get_running_loop().create_future()
        entry = self._queue.push(organisation, turn, deadline=deadline, weight=weight, limit=limit)
        if entry is None:
            detail = f"{limit} requests of the organisation wait for the instance"
            return verdict.Refusal(verdict.Reason.QUEUE_FULL, verdict.Verdict.NOT_RUN, detail, 0.1)
        try:
            return await turn
        except asyncio.CancelledError:
            if not self._queue.cancel(entry) and turn.done() and not turn.cancelled() and turn.result() is None:
                self.leave()
            raise

    def leave(self) -> None:
        """Give a slot back."""
        self._in_flight -= 1
        self._pump()

    def expire(self, now: float) -> None:
        """Refuse what waited too long."""
        if not len(self._queue):
            return
        for entry in self._queue.expire(now):
            refusal = verdict.Refusal(
                verdict.Reason.QUEUE_TIMEOUT, verdict.Verdict.NOT_RUN, "no slot became free in time", 0.1
            )
            self._answer(entry, refusal)

    async def close(self) -> None:
        """Close all connections now."""
        self.pool.close()
        await self.endpoint.close()

    def _silent(self) -> verdict.Refusal:
        detail = f"{self.instance.name} does not answer"
        return verdict.Refusal(verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN, detail, 0.1)

    def _refuse_queue(self, refusal: verdict.Refusal) -> None:
        while (entry := self._queue.pop()) is not None:
            self._answer(entry, refusal)

    def _pump(self) -> None:
        while self._in_flight < self._slots and (entry := self._queue.pop()) is not None:
            if not entry.item.done():
                self._in_flight += 1
                entry.item.set_result(None)

    @staticmethod
    def _answer(entry: fairness.Entry[asyncio.Future[verdict.Refusal | None]], refusal: verdict.Refusal) -> None:
        if not entry.item.done():
            entry.item.set_result(refusal)
