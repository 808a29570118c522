"""Tests of the admission service on an event loop with virtual time."""

import asyncio

import pytest

from currantlead import errors, interfaces, verdict
from currantlead.control import model
from tests import rates


async def _started(services):
    for each in services.values():
        each.start()
    await asyncio.sleep(20)


def test_burst_is_admitted_at_any_vm_and_the_next_is_refused():
    """A VM without a bucket can spend exactly the whole burst, whose tokens are in the buckets of three domains."""

    async def scenario():
        services, *_ = rates.cluster(8, rate=1.0, burst=10.0)
        await _started(services)
        results = [await services["vm7"].admit("tenant") for _ in range(12)]
        refusals = [refusal for refusal in results if refusal]
        assert results.count(None) == 10
        assert {refusal.reason for refusal in refusals} == {verdict.Reason.OVER_RATE}
        assert all(refusal.verdict is verdict.Verdict.NOT_RUN for refusal in refusals)
        assert all(0.5 < refusal.retry_after_s <= 1.1 for refusal in refusals)

    rates.run(scenario())


def test_organisations_do_not_delay_each_other():
    """Guards against an organisation over its rate that delays the requests of another one."""

    async def scenario():
        services, *_ = rates.cluster(4, rate=10.0, burst=10.0, organisations=("slow", "flood"))
        await _started(services)
        clock, waits = asyncio.get_running_loop().time, []
        flood = [asyncio.ensure_future(services["vm3"].admit("flood")) for _ in range(3000)]
        for _ in range(30):
            started_at = clock()
            assert await services["vm3"].admit("slow") is None
            waits.append(clock() - started_at)
            flood += [asyncio.ensure_future(services["vm3"].admit("flood")) for _ in range(50)]
            await asyncio.sleep(0.2)
        assert max(waits) < 0.05
        admitted = [refusal for refusal in await asyncio.gather(*flood) if refusal is None]
        assert len(admitted) <= 10 + 10.0 * 6.5

    rates.run(scenario())


def test_unreachable_owner_falls_back_to_other_domains():
    """Guards against refusals within the rate while an owner is down, and against a time-out for each request."""

    async def scenario():
        services, network, *_ = rates.cluster(6, rate=30.0, burst=12.0)
        await _started(services)
        network.unreachable.add("vm0")
        assert await services["vm3"].admit("tenant") is None
        started_at = asyncio.get_running_loop().time()
        assert await services["vm3"].admit("tenant") is None
        assert asyncio.get_running_loop().time() - started_at < 0.1

    rates.run(scenario())


def test_without_reachable_owner_requests_are_refused_as_not_run():
    """Guards against a request that waits forever or is refused as over its rate."""

    async def scenario():
        services, network, *_ = rates.cluster(6, rate=30.0, burst=12.0)
        await _started(services)
        network.unreachable.update({"vm0", "vm1", "vm2"})
        refusal = await services["vm3"].admit("tenant")
        assert (refusal.reason, refusal.verdict) == (verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN)
        assert refusal.retry_after_s <= 1.0

    rates.run(scenario())


def test_partitioned_domain_serves_its_share():
    """Guards against an owner that stops when the others are unreachable: its domain keeps a third of the rate."""

    async def scenario():
        services, network, *_ = rates.cluster(6, rate=30.0, burst=12.0)
        await _started(services)
        network.unreachable.update({"vm1", "vm2", "vm4", "vm5"})
        clock = asyncio.get_running_loop().time
        started_at, tasks, waits = clock(), [], []

        async def send():
            sent = clock()
            refusal = await services["vm3"].admit("tenant")
            waits.append(clock() - sent)
            return refusal

        for _ in range(200):
            tasks.append(asyncio.ensure_future(send()))
            await asyncio.sleep(0.05)
        admitted = (await asyncio.gather(*tasks)).count(None)
        assert 85 <= admitted <= 4 + 10.0 * (clock() - started_at)
        assert max(waits) < 0.5

    rates.run(scenario())


def test_former_owner_spends_no_tokens_of_its_bucket():
    """Guards against a VM that admits requests from its bucket after its lease has ended."""

    async def scenario():
        services, _, directory, owners = rates.cluster(1, rate=30.0, burst=12.0, domains=("a",))
        await _started(services)
        assert await services["vm0"].admit("tenant") is None
        owners["a"] = "vm9"
        directory.views = {}
        refusal = await services["vm0"].admit("tenant")
        assert refusal.reason is verdict.Reason.UNREACHABLE

    rates.run(scenario())


def test_changed_rate_applies_at_once_and_creates_no_tokens():
    """Guards against a configuration change that refills a bucket or takes effect only at the next request."""

    async def scenario():
        services, _, directory, _ = rates.cluster(3, rate=10.0, burst=9.0)
        await _started(services)
        for _ in range(9):
            assert await services["vm0"].admit("tenant") is None
        await asyncio.sleep(0.5)
        organisation = model.Organisation("tenant", 0.1, 90.0)
        directory.change(configuration=model.Configuration(2, organisations={"tenant": organisation}))
        await asyncio.sleep(1.0)
        results = [await services["vm0"].admit("tenant") for _ in range(8)]
        assert results.count(None) in (4, 5)
        assert results[-1].retry_after_s > 1.0

    rates.run(scenario())


def test_stop_returns_tokens():
    """Guards against a planned stop that loses an organisation's tokens."""

    async def scenario():
        services, _, _, _ = rates.cluster(2, rate=400.0, burst=400.0, domains=("a",))
        await _started(services)
        for _ in range(200):
            await services["vm1"].admit("tenant")
            await asyncio.sleep(0.005)
        bucket = services["vm0"]._states["tenant"].owned.bucket
        assert bucket.outstanding > 0
        await services["vm1"].stop()
        await asyncio.sleep(0.01)
        assert bucket.outstanding == 0

    rates.run(scenario())


def test_planned_stop_hands_tokens_to_the_next_owner():
    """Guards against refusals within the rate after planned stops in turn, each of which emptied the buckets."""

    async def scenario():
        services, _, _, owners = rates.cluster(2, rate=1.0, burst=10.0, domains=("a",))
        await _started(services)
        assert await services["vm0"].admit("tenant") is None
        await services["vm0"].stop()
        owners["a"] = "vm1"
        services["vm1"]._bucket_owner._membership.since = asyncio.get_running_loop().time()
        services["vm0"].hand_over(lambda organisation: "vm1")
        await asyncio.sleep(0.1)
        results = [await services["vm1"].admit("tenant") for _ in range(10)]
        assert results.count(None) == 9

    rates.run(scenario())


def test_tokens_are_handed_over_once_and_only_by_their_last_owner():
    """Guards against tokens that a handover creates: of a bucket lost before the stop, repeated, or late."""

    async def scenario():
        services, _, _, owners = rates.cluster(3, rate=1.0, burst=10.0, domains=("a",))
        await _started(services)
        assert await services["vm0"].admit("tenant") is None
        owners["a"] = "vm2"
        await services["vm0"].stop()
        services["vm0"].hand_over(lambda organisation: "vm1")
        assert services["vm1"]._states == {}
        owners["a"] = "vm0"
        await services["vm0"].stop()
        services["vm0"].hand_over(lambda organisation: "vm1")
        await asyncio.sleep(0.1)
        assert "tenant" not in services["vm1"]._states, "vm0 is still the owner"
        owners["a"] = "vm1"
        services["vm1"]._bucket_owner._membership.since = asyncio.get_running_loop().time()
        services["vm0"].hand_over(lambda organisation: "vm1")
        services["vm0"].hand_over(lambda organisation: "vm1")
        await asyncio.sleep(0.5)
        bucket = services["vm1"]._bucket_owner.active_bucket(services["vm1"]._state("tenant").owned)
        assert bucket.level <= bucket.burst
        levels = bucket.level
        services["vm1"]._bucket_owner.accept_handover(services["vm1"]._state("tenant").owned, 10**9)
        assert levels <= bucket.level <= bucket.burst

    rates.run(scenario())


class Platform:
    """Fake of the platform that holds the object of shares."""

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


def test_decreased_share_is_confirmed_after_all_members_adopted_it():
    """Guards against a confirmation while a member uses the old share, and against one lost by a version conflict."""

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


def test_slow_reply_shortens_the_grant():
    """Guards against a lifetime that starts at the reply: the grant expires earlier at its owner."""

    async def scenario():
        services, network, *_ = rates.cluster(2, rate=30.0, burst=12.0, domains=("a",))
        await _started(services)
        network.delay = lambda source, target: 0.55
        asked = asyncio.get_running_loop().time()
        refusal = await services["vm1"].admit("tenant")
        assert refusal is not None and asyncio.get_running_loop().time() - asked > 1.0

    rates.run(scenario())


def test_idle_service_has_no_frequent_timer():
    """Guards against periodic work every 20 ms for each organisation that ever sent a request."""

    async def scenario():
        services, network, *_ = rates.cluster(3, rate=10.0, burst=10.0)
        await _started(services)
        assert await services["vm1"].admit("tenant") is None
        assert services["vm1"]._report_timer is not None
        await asyncio.sleep(8)
        assert all(service._report_timer is None and not service._active for service in services.values())
        sent = network.sent
        await asyncio.sleep(8)
        assert network.sent == sent
        assert await services["vm1"].admit("tenant") is None
        assert services["vm1"]._report_timer is not None

    rates.run(scenario())


def test_owner_is_not_idle_while_a_grant_is_open():
    """Guards against accrual in a single late step, which does not stop at the burst while tokens are outstanding."""

    async def scenario():
        services, *_ = rates.cluster(3, rate=10.0, burst=10.0, domains=("a",))
        await _started(services)
        owner = services["vm0"]
        owned = owner._state("tenant").owned
        assert owner._bucket_owner.active_bucket(owned) is not None
        owned.bucket.grant("vm9", 10_000_000, asyncio.get_running_loop().time())
        assert not owner._bucket_owner.is_idle(owned)
        await asyncio.sleep(0.9)
        assert owner._active
        assert owned.bucket.level + owned.bucket.outstanding <= owned.bucket.burst
        await asyncio.sleep(8)
        assert owner._bucket_owner.is_idle(owned)

    rates.run(scenario())


def test_increased_share_takes_effect_without_another_change():
    """Guards against a share that increases only when another object changes: the rate could be too low for hours."""

    async def scenario():
        services, _, directory, _ = rates.cluster(3, rate=30.0, burst=9.0)
        await _started(services)
        assert await services["vm0"].admit("tenant") is None
        third = 1 / 3
        shares = model.Shares(2, {"a": 0.5, "b": 0.5}, dict.fromkeys("abc", third), {"c": 2})
        directory.change(shares=shares)
        await asyncio.sleep(5)
        bucket = services["vm0"]._states["tenant"].owned.bucket
        assert bucket.rate == pytest.approx(15.0)

    rates.run(scenario())
