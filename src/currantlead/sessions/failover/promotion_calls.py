"""Calls for a promotion, and the record of them in the store.

A call without an answer may be carried out seconds later, also after another VM has called. The platform refuses it
only once it has seen a higher generation number. Before its first call a VM therefore records the instance that it
calls for, and the order stays open until a call with a higher number was answered or all calls have been answered.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import calls, objects
from currantlead.sessions import clock, model, settings
from currantlead.sessions.shared import duty_claims, http, store

CALL_TIMEOUT_S = 1.0
"""Time limit of a promotion call; the platform answers it before it carries it out, which takes 0.3 s to 1 s."""
CALL_PAUSE_S = 0.2
"""Pause before a promotion call is repeated; rejected calls are limited to 50 per second over all VMs."""
CLOSE_TIMEOUT_S = 0.3
"""Time limit of a call that closes an order. One without an answer makes the next one necessary, and the service may be
waiting for another primary."""
CLOSE_LIMIT_S = 1.5
"""Time for which a VM tries to close an order."""

_log = logs.part("succession")


@dataclasses.dataclass(slots=True)
class Order:
    """An order for a promotion.

    Attributes:
        service: The service.
        instance_id: Identity of the instance that is to be promoted.
        generation: Generation number of the calls.
        unanswered: Number of calls that got no answer and may still be carried out.
    """

    service: str
    instance_id: str
    generation: int
    unanswered: int = 0


class PromotionCalls:
    """Records orders and calls for promotions.

    Args:
        object_store: Sends the calls.
        claims: Claims of the duties; the duty of a service's promotions has the service's name.
        address: Address that takes promotion calls.
        vm: Name of this VM.
        count_call: Called with the result of each call, for metrics.
    """

    def __init__(
        self,
        object_store: store.Store,
        claims: duty_claims.DutyClaims,
        address: settings.Address,
        vm: str,
        count_call: Callable[[str], None] = lambda result: None,
    ):
        self._count_call = count_call
        self._store = object_store
        self._claims = claims
        self._address = address
        self._vm = vm

    async def record(self, service: str, generation: int, instance_id: str) -> Order | None:
        """Record an order before its first call; return None if another VM has claimed the duty since.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response; the order may have been recorded.
            errors.MalformedObjectError: The store sent a malformed entry.
        """
        number = await self._claims.advance(service, generation, model.DutyStage.ORDERED, instance_id)
        return Order(service, instance_id, number) if number is not None else None

    async def call(self, order: Order, has_log: Callable[[], bool] = lambda: True) -> str:
        """Repeat the call of an order until it is answered; return why it failed, or an empty string.

        It is not given up for lack of an answer, because no other instance may be promoted meanwhile.

        Args:
            order: The order.
            has_log: Returns whether the instance still has the log for which it was chosen.
        """
        client = http.HttpClient(self._address)
        try:
            while True:
                latest = self._claims.latest(order.service)
                if latest is not None and latest.generation > order.generation:
                    return "another VM has claimed the promotion duty"
                if not has_log():
                    return f"{order.instance_id} is gone or has started again"
                status = await self._send(order, client)
                if status == objects.OK:
                    return ""
                if status == objects.CONFLICT:
                    return f"promotion call for {order.instance_id} refused"
                await asyncio.sleep(CALL_PAUSE_S)
        finally:
            client.close()

    async def close(self, order: Order) -> Order | None:
        """Close an order, so that none of its calls can be carried out any more.

        The call is repeated under new numbers until the first call with a number is answered. The platform then refuses
        all earlier ones, and nothing changes if the instance leads already.

        Returns:
            The order with the last generation number, with unanswered calls if it could not be closed in time; None if
            another VM has claimed the duty.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed entry.
        """
        deadline = clock.now() + CLOSE_LIMIT_S
        client = http.HttpClient(self._address)
        try:
            while order.unanswered:
                if clock.now() >= deadline:
                    _log.bind(service=order.service, generation=order.generation).warning("the order stays open")
                    return order
                number = await self._claims.advance(
                    order.service, order.generation, model.DutyStage.ORDERED, order.instance_id
                )
                if number is None:
                    return None
                order = dataclasses.replace(order, generation=number, unanswered=0)
                status = await self._send(order, client, CLOSE_TIMEOUT_S)
                if status not in (objects.OK, objects.CONFLICT):
                    order.unanswered = max(1, order.unanswered)
                    await asyncio.sleep(CALL_PAUSE_S)
        finally:
            client.close()
        number = await self._claims.advance(order.service, order.generation, model.DutyStage.ENDED)
        if number is None:
            return None
        _log.bind(service=order.service, generation=number, instance=order.instance_id).info("order closed")
        return dataclasses.replace(order, generation=number)

    async def _send(self, order: Order, client: http.HttpClient, timeout_s: float = CALL_TIMEOUT_S) -> int | None:
        """Send a call once; return the status of the answer, or None if there was none."""
        call = calls.promote_call(order.service, order.instance_id, self._vm, order.generation)
        log = _log.bind(service=order.service, generation=order.generation, instance=order.instance_id)
        try:
            response = await self._store.call(call, client, timeout_s)
        except errors.HttpUnavailableError as error:
            order.unanswered += 1
            self._count_call("unanswered")
            log.warning("no answer to the promotion call: {}", error)
            return None
        self._count_call("accepted" if response.status == objects.OK else "refused")
        if response.status != objects.OK:
            log.warning("promotion call rejected with status {}: {!r}", response.status, response.body[:200])
        return response.status
