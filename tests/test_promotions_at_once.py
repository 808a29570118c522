"""Promotions of several services by one VM: the call of one service must not end that of another."""

import asyncio

import pytest

from currantlead.sessions.failover import promotion_calls
from tests import session_bed

INTERVAL_S = 0.02
SLOW_BODY = 1.0
"""Fault of the stand-in with which an answer of a few bytes is complete a tenth of a second after its call."""


@pytest.mark.parametrize("services", [("svc1", "svc2"), ("svc1", "svc2", "svc3")], ids=len)
async def test_promotion_call_is_not_broken_off_by_that_of_another_service(services):
    """A call that began while another waited for its answer aborted the shared connection.

    The other call had reached the platform, had no answer, and was sent again, so that one order became several.
    """
    async with session_bed.Bed() as bed:
        received = []

        def answer_late(method, path):
            if path != "/promotion":
                return None
            received.append(path)
            return SLOW_BODY

        bed.store.fault = answer_late
        bed.store.promote = lambda service, instance: True
        daemon = bed.daemon
        calls = promotion_calls.PromotionCalls(daemon.store, daemon.duty_claims, daemon.settings.promotions, "vm-1")

        async def request(index, service):
            await asyncio.sleep(index * INTERVAL_S)
            return await calls.call(promotion_calls.Order(service, "i-2", 10 + index))

        await calls.call(promotion_calls.Order("svc0", "i-2", 1))
        received.clear()
        outcomes = await asyncio.gather(*(request(index, service) for index, service in enumerate(services)))
        assert outcomes == [""] * len(services)
        assert len(received) == len(services)
