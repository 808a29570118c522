"""Scheduling of statements on one instance: slots, fair queue and connection pool."""

import asyncio
import math
import time

from currantlead import verdict
from currantlead.admission import fair_queue
from currantlead.connections import endpoint, pool, responsiveness
from currantlead.control import model


class InstanceScheduler:
    """Limit concurrent statements to this VM's share of an instance's slots; queue others fairly by organisation.

    A VM with a share above 0 is a holder of the instance.
    """

    def __init__(self, group: str, instance: model.Instance, *, sender: str, open_timeout_s: float = 2.0):
        self.group = group
        self.instance = instance
        self.endpoint = endpoint.Endpoint.from_instance(instance, sender=sender)
        self.pool = pool.Pool(instance.name, lambda: self.endpoint.open(timeout_s=open_timeout_s))
        self.share = 0.0
        self.draining_since: float | None = None
        self._unresponsive_until = 0.0
        self._slots = 0
        self._in_flight = 0
        self._queue: fair_queue.FairQueue[asyncio.Future[verdict.Refusal | None]] = fair_queue.FairQueue()

    @property
    def in_flight(self) -> int:
        """Return the number of statements that occupy a slot."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait for a slot."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """Return the maximum number of concurrent statements."""
        return self._slots

    def is_usable(self, grace_s: float) -> bool:
        """Return whether the instance is in service or began to drain less than ``grace_s`` seconds ago."""
        return self.draining_since is None or time.monotonic() - self.draining_since < grace_s

    def set_share(self, service: model.Service, share: float) -> None:
        """Set this VM's share (0 to 1) of the instance's slots and connections."""
        self.share = share
        # Round up to one slot, or this VM could serve no requests. If the VMs together then exceed the instance's
        # slots, the instance queues the excess statements.
        self._slots = max(1, math.floor(service.slots * share)) if share > 0 else 0
        self.pool.set_limit(math.floor(service.connections * share))
        self._grant_slots()
        if share <= 0:
            self.refuse_queued()

    def refuse_queued(self) -> None:
        """Refuse all queued statements, because this VM is no longer a holder of the instance."""
        self._refuse_queue(
            verdict.Refusal(
                verdict.Reason.NOT_HOLDER,
                verdict.Verdict.NOT_RUN,
                "this VM no longer holds connections to the instance",
                0.1,
            )
        )

    def mark_unresponsive(self) -> None:
        """Refuse queued statements now and new ones for a short period, so that other instances can run them."""
        self._unresponsive_until = time.monotonic() + responsiveness.UNRESPONSIVE_PERIOD_S
        self._refuse_queue(self._make_unresponsive_refusal())

    def unresponsive_refusal(self) -> verdict.Refusal | None:
        """Return a refusal if the instance is currently marked as unresponsive; sends no request."""
        return self._make_unresponsive_refusal() if time.monotonic() < self._unresponsive_until else None

    async def probe(self) -> bool:
        """Send a status request and return whether the instance responds to it."""
        return (await self.endpoint.status(timeout_s=responsiveness.STATUS_TIMEOUT_S)).is_ok()

    async def acquire_slot(
        self, organisation: str, *, weight: float, limit: int, deadline: float, in_transaction: bool = False
    ) -> verdict.Refusal | None:
        """Wait for a slot, which the caller must release with ``release_slot``.

        Args:
            organisation: Organisation in whose queue the statement waits.
            weight: Weight of the organisation in the fair queue.
            limit: Maximum number of queued statements of the organisation.
            deadline: Clock reading at which the statement is refused if it is still queued.
            in_transaction: Whether the statement belongs to an open transaction; such a statement is not queued if this
                VM has lost its share, so that the transaction can finish.

        Returns:
            None once a slot is acquired, or a refusal.
        """
        if in_transaction and self._slots == 0:
            self._in_flight += 1
            return None
        if self._in_flight < self._slots and not len(self._queue):
            self._in_flight += 1
            return None
        waiter: asyncio.Future[verdict.Refusal | None] = asyncio.get_running_loop().create_future()
        entry = self._queue.push(organisation, waiter, deadline=deadline, weight=weight, limit=limit)
        if entry is None:
            detail = f"{limit} requests of the organisation are already queued for the instance"
            return verdict.Refusal(verdict.Reason.QUEUE_FULL, verdict.Verdict.NOT_RUN, detail, 0.1)
        try:
            return await waiter
        except asyncio.CancelledError:
            if not self._queue.cancel(entry) and waiter.done() and not waiter.cancelled() and waiter.result() is None:
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Release a slot and grant it to the next queued statement."""
        self._in_flight -= 1
        self._grant_slots()

    def expire_queued(self, now: float) -> None:
        """Refuse queued statements whose deadline has passed."""
        if not len(self._queue):
            return
        for entry in self._queue.expire(now):
            refusal = verdict.Refusal(
                verdict.Reason.QUEUE_TIMEOUT,
                verdict.Verdict.NOT_RUN,
                "no slot became free before the queue timeout",
                0.1,
            )
            self._resolve(entry, refusal)

    async def close(self) -> None:
        """Close all connections immediately."""
        self.pool.close()
        await self.endpoint.close()

    def _make_unresponsive_refusal(self) -> verdict.Refusal:
        detail = f"{self.instance.name} does not respond"
        return verdict.Refusal(verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN, detail, 0.1)

    def _refuse_queue(self, refusal: verdict.Refusal) -> None:
        while (entry := self._queue.pop()) is not None:
            self._resolve(entry, refusal)

    def _grant_slots(self) -> None:
        while self._in_flight < self._slots and (entry := self._queue.pop()) is not None:
            if not entry.item.done():
                self._in_flight += 1
                entry.item.set_result(None)

    @staticmethod
    def _resolve(entry: fair_queue.Entry[asyncio.Future[verdict.Refusal | None]], refusal: verdict.Refusal) -> None:
        if not entry.item.done():
            entry.item.set_result(refusal)
