"""Connections to one instance: limits, organisations, waiting, slow and refused openings."""

import asyncio

import pytest

from currantlead import errors
from currantlead.sessions import model, pool

INSTANCE = model.Instance("i-1", "svc", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)


class FakeLink:
    """Stand for a connection."""

    def __init__(self, organisation):
        self.organisation = organisation
        self.values = {}
        self.usable = True
        self.open = True

    def close(self):
        """Close it."""
        self.open = self.usable = False


class Opener:
    """Open fake connections; each opening waits for ``gate``."""

    def __init__(self):
        self.opened = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.error = None

    async def __call__(self, instance, organisation):
        """Open one."""
        await self.gate.wait()
        if self.error is not None:
            raise self.error
        self.opened.append(FakeLink(organisation))
        return self.opened[-1]

    @property
    def alive(self):
        """Return how many are open."""
        return sum(item.open for item in self.opened)


def make(limit=2):
    """Return a pool and its opener."""
    opener = Opener()
    return pool.Pool(INSTANCE, limit, opener), opener


async def acquire(found, organisation="a", priority=1, timeout_s=0.2):
    """Lend a connection."""
    return await found.acquire(organisation, {}, priority=priority, timeout_s=timeout_s)


async def test_connection_is_reused_by_its_organisation():
    """A connection is opened once and lent again."""
    found, opener = make()
    for _ in range(3):
        found.release(await acquire(found))
    assert len(opener.opened) == 1


async def test_limit_holds_and_a_waiter_gets_the_released_one():
    """No more connections than the limit are open, whoever waits."""
    found, opener = make(limit=1)
    first = await acquire(found)
    waiting = asyncio.create_task(acquire(found))
    await asyncio.sleep(0.01)
    found.release(first)
    assert await waiting is first
    assert opener.alive == 1


async def test_other_organisation_replaces_the_longest_idle():
    """A connection is never lent to another organisation; it makes room for one."""
    found, opener = make(limit=2)
    first, second = await acquire(found, "a"), await acquire(found, "b")
    found.release(first)
    found.release(second)
    third = await acquire(found, "c")
    assert third.organisation == "c" and not first.open and second.open
    assert opener.alive == 2


async def test_released_connection_of_another_organisation_is_exchanged():
    """A waiter of another organisation gets a new connection in place of the released one."""
    found, opener = make(limit=1)
    first = await acquire(found, "a")
    waiting = asyncio.create_task(acquire(found, "b"))
    await asyncio.sleep(0.01)
    found.release(first)
    assert (await waiting).organisation == "b"
    assert opener.alive == 1


async def test_waiters_are_served_by_priority():
    """The most urgent statement gets the next connection."""
    found, _ = make(limit=1)
    first = await acquire(found)
    late = asyncio.create_task(acquire(found, priority=2))
    await asyncio.sleep(0)
    urgent = asyncio.create_task(acquire(found, priority=0))
    await asyncio.sleep(0.01)
    found.release(first)
    assert await urgent is first
    found.release(first)
    assert await late is first


async def test_wait_ends_in_time_and_loses_no_connection():
    """A statement that gave up leaves nothing behind."""
    found, _ = make(limit=1)
    first = await acquire(found)
    with pytest.raises(errors.PoolUnavailableError):
        await acquire(found, timeout_s=0.02)
    found.release(first)
    assert (found.idle, found.busy, found.waiting) == (1, 0, 0)


async def test_slow_opening_serves_the_next_statement():
    """A connection that opens after its statement gave up is kept."""
    found, opener = make()
    opener.gate.clear()
    with pytest.raises(errors.PoolUnavailableError):
        await acquire(found, timeout_s=0.02)
    opener.gate.set()
    await asyncio.sleep(0.01)
    assert found.idle == 1
    await acquire(found)
    assert len(opener.opened) == 1


async def test_few_connections_are_opened_at_a_time():
    """Openings occupy the instance's slots; with many at once none was ready in time (no statement ran for 7 s)."""
    found, opener = make(limit=14)
    opener.gate.clear()
    waiting = [asyncio.create_task(acquire(found, f"org-{number}", timeout_s=1.0)) for number in range(20)]
    await asyncio.sleep(0.01)
    assert found.busy == pool.MOST_OPENINGS
    opener.gate.set()
    done, pending = await asyncio.wait(waiting, timeout=0.2)
    assert len(done) == 14 and len(pending) == 6
    for item in pending:
        item.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


async def test_saturated_pool_serves_all_organisations_in_turn():
    """Connections are exchanged between organisations without an opening that nobody uses."""
    found, opener = make(limit=2)

    async def slow_opening(instance, organisation):
        await asyncio.sleep(0.01)
        return await opener(instance, organisation)

    found._opener = slow_opening
    served = []

    async def caller(organisation):
        for _ in range(40):
            try:
                lent = await acquire(found, organisation, timeout_s=0.1)
            except errors.PoolUnavailableError:
                continue
            await asyncio.sleep(0.002)
            served.append(organisation)
            found.release(lent)

    async with asyncio.timeout(10):
        await asyncio.gather(*(caller(f"org-{number}") for number in range(8)))
    assert len(set(served)) == 8
    assert len(opener.opened) <= len(served) * 1.2, "openings that served no statement"


async def test_one_organisation_does_not_take_all_connections_from_those_who_wait():
    """Callers that rest inside transactions leave half of the connections to other organisations."""
    found, _ = make(limit=4)
    resting = [await acquire(found, "a") for _ in range(4)]
    again = asyncio.create_task(acquire(found, "a", timeout_s=1.0))
    await asyncio.sleep(0)
    others = [asyncio.create_task(acquire(found, "b", timeout_s=1.0)) for _ in range(2)]
    await asyncio.sleep(0.01)
    for lent in resting[:2]:
        found.release(lent)
        await asyncio.sleep(0.12)
    assert all(item.done() for item in others) and not again.done()
    found.release(resting[2])
    assert (await again).organisation == "a"


async def test_connections_in_use_are_counted_through_all_ends():
    """Released, discarded, cancelled and late connections leave no count behind."""
    found, opener = make(limit=2)
    found.release(await acquire(found))
    found.discard(await acquire(found))
    opener.gate.clear()
    with pytest.raises(errors.PoolUnavailableError):
        await acquire(found, "b", timeout_s=0.02)
    opener.gate.set()
    await asyncio.sleep(0.02)
    lent = await acquire(found, "b")
    assert dict(+found._in_use) == {"b": 1}
    found.release(lent)
    assert not +found._in_use


async def test_opening_is_tried_although_the_last_one_was_slow():
    """An expected time beyond every wait must not keep the pool empty for ever."""
    found, opener = make()
    found._opening_s = 30.0
    await acquire(found)
    assert opener.alive == 1


async def test_refused_opening_tells_its_waiter_at_once():
    """A full instance is left for another one without a wait."""
    found, opener = make()
    opener.error = errors.LinkRefusedError("full", overloaded=True)
    with pytest.raises(errors.LinkRefusedError):
        await acquire(found)
    assert found.full and found.saturated and found.busy == 0


async def test_cancelled_waiter_returns_what_it_was_given():
    """A caller that leaves while it waits does not take a connection with it."""
    found, _ = make(limit=1)
    first = await acquire(found)
    waiting = asyncio.create_task(acquire(found))
    await asyncio.sleep(0.01)
    found.release(first)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert (found.idle, found.busy) == (1, 0)


async def test_closed_pool_refuses_and_closes_what_comes_back():
    """An instance that is gone keeps no connection."""
    found, opener = make()
    lent = await acquire(found)
    found.close()
    with pytest.raises(errors.PoolUnavailableError):
        await acquire(found)
    found.release(lent)
    assert opener.alive == 0


async def test_dead_idle_connection_is_not_lent():
    """A connection that the instance closed meanwhile is replaced."""
    found, opener = make(limit=1)
    lent = await acquire(found)
    found.release(lent)
    lent.usable = False
    assert await acquire(found) is not lent
    assert len(opener.opened) == 2
