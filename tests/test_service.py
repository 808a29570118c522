"""Tests of the admission service on a loop with controlled time."""

import asyncio

from currantlead import verdict
from tests import rates


async def _started(services):
    for one in services.values():
        one.start()
    await asyncio.sleep(20)


def test_burst_is_admitted_at_any_vm_and_the_next_is_refused():
    """A VM that owns nothing can spend the whole burst, whose tokens lie in three domains, and no more."""

    async def scenario():
        services, *_ = rates.cluster(8, rate=1.0, burst=10.0)
        await _started(services)
        found = [await services["vm7"].admit("tenant") for _ in range(12)]
        refused = [refusal for refusal in found if refusal]
        assert found.count(None) == 10
        assert {refusal.reason for refusal in refused} == {verdict.Reason.OVER_RATE}
        assert all(refusal.verdict is verdict.Verdict.NOT_RUN for refusal in refused)
        assert all(0.5 < refusal.retry_after_s <= 1.1 for refusal in refused)

    rates.run(scenario())
