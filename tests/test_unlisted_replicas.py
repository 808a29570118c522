"""Promotions while a replica that has no entry in the store yet receives commits."""

import asyncio

import pytest

from tests import promotion_bed, session_bed

SETTLED_S = 6.5
"""Time after the start from which promotions for stuck commits are due."""
FIRST_ENTRY_S = 0.9


class _LateEntry:
    """Starts a replica when the promotion duty is claimed; its entry comes later.

    Args:
        bed: The test bed.
        joins_after_s: Seconds from the claim to its start.
    """

    def __init__(self, bed, joins_after_s):
        self.started = []
        self._bed = bed
        self._joins_after_s = joins_after_s
        bed.store.rewrite = self._start_on_claim

    def _start_on_claim(self, kind, value):
        if kind == "duties" and not self.started:
            # The look at the instances before any change takes until the replica has acknowledged a commit.
            self._bed.service.delays_s["STATUS"] = 0.25
            self.started.append(asyncio.create_task(self._join()))
        return value

    async def _join(self):
        await asyncio.sleep(self._joins_after_s)
        await self._bed.service.join("i-4")
        await asyncio.sleep(FIRST_ENTRY_S)
        self._bed.register_instance("i-4")
        self._bed.service.delays_s.clear()


@pytest.mark.parametrize("joins_after_s", [0.0, 0.1, 0.2])
async def test_replica_without_an_entry_acknowledges_a_stuck_commit(joins_after_s):
    """Guards against promoting a replica without a commit that a replica without an entry has acknowledged.

    The primary is cut off from its replicas, and while it is being replaced, another replica starts and receives the
    commit that waits. Its VM does not know of the commit before, so that the lower bound of its answer is too low.
    """
    async with session_bed.Bed(promote_s=0.3) as bed:
        # The commit is to wait until the other replica starts.
        routes = [item | {"timeoutMs": 3000} for item in session_bed.configuration()["routes"]]
        bed.store.put("config", "main", session_bed.configuration(2, routes=routes))
        other = await bed.add_daemon("vm-2", "z2")
        await session_bed.wait_until(lambda: bed.daemon.members.count == other.members.count == 2)
        first, second = await bed.caller(), await bed.caller(at=other)
        reader = asyncio.create_task(_read(await bed.caller("primary-db")))
        await asyncio.sleep(SETTLED_S)
        for number, caller in enumerate([first, second, first]):
            assert (await caller.query(f"WRITE a{number} x"))[0].startswith("DONE")
        late = _LateEntry(bed, joins_after_s)
        bed.service.cut("i-1", "i-2")
        bed.service.cut("i-1", "i-3")
        answer = await second.query("WRITE b0 x")
        await session_bed.wait_until(lambda: late.started, 5.0)
        await late.started[0]
        async with promotion_bed.write(bed, timeout_s=promotion_bed.WRITABLE_WITHIN_S) as writer:
            await promotion_bed.check_nothing_is_lost(bed, writer)
        written = {item for commit in bed.service.log for _, item, _ in commit.writes}
        assert not answer[0].startswith("DONE") or "b0" in written, f"{bed.service.primary} leads without the commit"
        reader.cancel()


async def test_primary_whose_commits_are_answered_again_is_not_demoted():
    """Guards against going on with a promotion for stuck commits after a new replica has acknowledged them."""
    async with session_bed.Bed(promote_s=0.3) as bed, promotion_bed.write(bed) as writer:
        reader = asyncio.create_task(_read(await bed.caller("primary-db")))
        await asyncio.sleep(SETTLED_S)
        late = _LateEntry(bed, 0.1)
        bed.service.cut("i-1", "i-2")
        bed.service.cut("i-1", "i-3")
        await session_bed.wait_until(lambda: late.started, 5.0)
        await promotion_bed.await_wrong_promotion(bed, "i-1", timeout_s=2.0)
        assert bed.service.primary == "i-1" and bed.service.term == 1
        await promotion_bed.check_nothing_is_lost(bed, writer)
        reader.cancel()


async def _read(caller):
    """Read from the primary, so that its silence on the commit does not look like its end."""
    while True:
        await caller.query("READ a0")
        await asyncio.sleep(0.1)
