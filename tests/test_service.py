"""Tests of the admission service on a loop with controlled time."""

import asyncio

import pytest

from currantlead import errors, interfaces, verdict
from currantlead.control import model
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


def test_organisations_do_not_delay_each_other():
    """Guards against an organisation over its rate that slows down another one."""

    async def scenario():
        services, *_ = rates.cluster(4, rate=10.0, burst=10.0, organisations=("calm", "flood"))
        await _started(services)
        clock, waits = asyncio.get_running_loop().time, []
        flood = [asyncio.ensure_future(services["vm3"].admit("flood")) for _ in range(3000)]
        for _ in range(30):
            begun = clock()
            assert await services["vm3"].admit("calm") is None
            waits.append(clock() - begun)
            flood += [asyncio.ensure_future(services["vm3"].admit("flood")) for _ in range(50)]
            await asyncio.sleep(0.2)
        assert max(waits) < 0.05
        admitted = [refusal for refusal in await asyncio.gather(*flood) if refusal is None]
        assert len(admitted) <= 10 + 10.0 * 6.5

    rates.run(scenario())


def test_unreachable_owner_falls_back_to_other_domains():
    """Guards against refusals inside the rate while one owner is down, and against waiting for it each time."""

    async def scenario():
        services, network, *_ = rates.cluster(6, rate=30.0, burst=12.0)
        await _started(services)
        network.cut.add("vm0")
        assert await services["vm3"].admit("tenant") is None
        begun = asyncio.get_running_loop().time()
        assert await services["vm3"].admit("tenant") is None
        assert asyncio.get_running_loop().time() - begun < 0.1

    rates.run(scenario())


def test_no_reachable_owner_is_not_run_with_a_short_retry():
    """Guards against a request that waits without end, or is called over its rate."""

    async def scenario():
        services, network, *_ = rates.cluster(6, rate=30.0, burst=12.0)
        await _started(services)
        network.cut.update({"vm0", "vm1", "vm2"})
        refusal = await services["vm3"].admit("tenant")
        assert (refusal.reason, refusal.verdict) == (verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN)
        assert refusal.retry_after_s <= 1.0

    rates.run(scenario())


def test_partitioned_domain_serves_its_share():
    """Guards against an owner that stops when the others are cut off: the domain keeps its third of the rate."""

    async def scenario():
        services, network, *_ = rates.cluster(6, rate=30.0, burst=12.0)
        await _started(services)
        network.cut.update({"vm1", "vm2", "vm4", "vm5"})
        clock = asyncio.get_running_loop().time
        begun, tasks, waits = clock(), [], []

        async def send():
            sent = clock()
            refusal = await services["vm3"].admit("tenant")
            waits.append(clock() - sent)
            return refusal

        for _ in range(200):
            tasks.append(asyncio.ensure_future(send()))
            await asyncio.sleep(0.05)
        admitted = (await asyncio.gather(*tasks)).count(None)
        assert 85 <= admitted <= 4 + 10.0 * (clock() - begun)
        assert max(waits) < 0.5

    rates.run(scenario())


def test_frozen_owner_uses_no_tokens_of_its_role():
    """Guards against a VM that admits from its ledger after its lease has ended."""

    async def scenario():
        services, _, directory, owners = rates.cluster(1, rate=30.0, burst=12.0, domains=("a",))
        await _started(services)
        assert await services["vm0"].admit("tenant") is None
        owners["a"] = "vm9"
        directory.views = {}
        refusal = await services["vm0"].admit("tenant")
        assert refusal.reason is verdict.Reason.UNREACHABLE

    rates.run(scenario())


def test_changed_rate_holds_at_once_and_creates_no_tokens():
    """Guards against a configuration change that refills a bucket or waits for the next use."""

    async def scenario():
        services, _, directory, _ = rates.cluster(3, rate=10.0, burst=9.0)
        await _started(services)
        for _ in range(9):
            assert await services["vm0"].admit("tenant") is None
        await asyncio.sleep(0.5)
        organisation = model.Organisation("tenant", 0.1, 90.0)
        directory.change(configuration=model.Configuration(2, organisations={"tenant": organisation}))
        await asyncio.sleep(1.0)
        found = [await services["vm0"].admit("tenant") for _ in range(8)]
        assert found.count(None) in (4, 5)
        assert found[-1].retry_after_s > 1.0

    rates.run(scenario())


def test_stop_hands_tokens_back_and_refuses_as_not_run():
    """Guards against a planned stop that loses an organisation's tokens or leaves requests waiting."""

    async def scenario():
        services, _, _, _ = rates.cluster(2, rate=400.0, burst=400.0, domains=("a",))
        await _started(services)
        for _ in range(200):
            await services["vm1"].admit("tenant")
            await asyncio.sleep(0.005)
        ledger = services["vm0"]._states["tenant"].account.ledger
        assert ledger.outstanding > 0
        await services["vm1"].stop()
        await asyncio.sleep(0.01)
        assert ledger.outstanding == 0

    rates.run(scenario())


class Platform:
    """Hold the object of shares."""

    def __init__(self, value):
        self.value, self.version, self.conflicts = value, 1, 1

    async def read(self, kind, name):
        """Return the object."""
        return interfaces.StoredObject(kind, name, self.version, self.value)

    async def write(self, kind, name, value, *, if_version):
        """Refuse the first update with a conflict."""
        if self.conflicts:
            self.conflicts -= 1
            raise errors.VersionConflictError("conflict")
        self.value, self.version = value, if_version + 1


def test_falling_share_is_confirmed_after_all_members_adopted_it():
    """Guards against a confirmation while a member still uses the old share, and against one lost to a conflict."""

    async def scenario():
        platform = Platform({"number": 2, "shares": {"a": 0.2}, "confirmed": {"c": 2}})
        services, _, directory, _ = rates.cluster(3, rate=10.0, burst=9.0, platform=platform)
        adopted = [1]
        services["vm0"]._shares_adopted = lambda: adopted[0]
        await _started(services)
        third = 1 / 3
        directory.change(shares=model.Shares(2, {"a": 0.2, "b": 0.8 - third, "c": third}, dict.fromkeys("abc", third)))
        await asyncio.sleep(3)
        assert platform.version == 1
        adopted[0] = 2
        await asyncio.sleep(2)
        assert platform.value["confirmed"] == {"a": 2, "c": 2} and platform.value["shares"] == {"a": 0.2}

    rates.run(scenario())


def test_slow_answer_shortens_the_grant():
    """Guards against a lifetime that counts from the answer: the owner counts the grant as void by then."""

    async def scenario():
        services, network, *_ = rates.cluster(2, rate=30.0, burst=12.0, domains=("a",))
        await _started(services)
        network.delay = lambda source, target: 0.55
        asked = asyncio.get_running_loop().time()
        refusal = await services["vm1"].admit("tenant")
        assert refusal is not None and asyncio.get_running_loop().time() - asked > 1.0

    rates.run(scenario())


def test_idle_service_has_no_frequent_timer():
    """Guards against work every 20 ms for each organisation that ever sent a request."""

    async def scenario():
        services, network, *_ = rates.cluster(3, rate=10.0, burst=10.0)
        await _started(services)
        assert await services["vm1"].admit("tenant") is None
        assert services["vm1"]._reports is not None
        await asyncio.sleep(8)
        assert all(service._reports is None and not service._busy for service in services.values())
        sent = network.sent
        await asyncio.sleep(8)
        assert network.sent == sent
        assert await services["vm1"].admit("tenant") is None
        assert services["vm1"]._reports is not None

    rates.run(scenario())


def test_owner_watches_an_open_grant_until_its_end():
    """Guards against accrual in one step after a quiet time, which would not have stopped at the bound."""

    async def scenario():
        services, *_ = rates.cluster(3, rate=10.0, burst=10.0, domains=("a",))
        await _started(services)
        owner = services["vm0"]
        account = owner._state("tenant").account
        assert owner._owner.ledger(account) is not None
        account.ledger.grant("vm9", 10_000_000, asyncio.get_running_loop().time())
        assert not owner._owner.is_idle(account)
        await asyncio.sleep(0.9)
        assert owner._busy
        assert account.ledger.level + account.ledger.outstanding <= account.ledger.burst
        await asyncio.sleep(8)
        assert owner._owner.is_idle(account)

    rates.run(scenario())


def test_rising_share_takes_effect_without_another_change():
    """Guards against a share that rises only when some other object changes: the rate would stay too low for hours."""

    async def scenario():
        services, _, directory, _ = rates.cluster(3, rate=30.0, burst=9.0)
        await _started(services)
        assert await services["vm0"].admit("tenant") is None
        third = 1 / 3
        shares = model.Shares(2, {"a": 0.5, "b": 0.5}, dict.fromkeys("abc", third), {"c": 2})
        directory.change(shares=shares)
        await asyncio.sleep(5)
        ledger = services["vm0"]._states["tenant"].account.ledger
        assert ledger.rate == pytest.approx(15.0)

    rates.run(scenario())
