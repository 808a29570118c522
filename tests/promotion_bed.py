"""Test bed for promotions: writers, late orders, a VM that is cut off, and the check that no commit is lost."""

import asyncio
import contextlib

from tests import session_bed
from tests.standins import loopback_proxy, object_store

WRITABLE_WITHIN_S = 10.0
"""Longest time until a write succeeds after the last disturbance has ended."""

REPLACED_WITHIN_S = 20.0
"""Longest time until a primary that drains is replaced although calls get no answer: such a call may act 12 s later."""


class Writer:
    """Caller that writes one item after the other and records the answers.

    Attributes:
        acknowledged: Items of the writes that succeeded.
    """

    def __init__(self, bed, at=None):
        self.acknowledged = []
        self._bed = bed
        self._at = at
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        for number in range(100_000):
            with contextlib.suppress(OSError, IndexError):
                if number == 0 or self._caller.reader.at_eof():
                    self._caller = await self._bed.caller(at=self._at)
                item = f"{id(self):x}-{number}"
                answer = await self._caller.query(f"WRITE {item} x")
                if answer[0].startswith("DONE"):
                    self.acknowledged.append(item)
            await asyncio.sleep(0.01)

    async def wait_for_acknowledged(self, count, timeout_s):
        """Wait until as many more writes have succeeded."""
        wanted = len(self.acknowledged) + count
        await session_bed.wait_until(lambda: len(self.acknowledged) >= wanted, timeout_s)

    async def stop(self):
        """Stop writing."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


@contextlib.asynccontextmanager
async def write(bed, at=None, timeout_s=3.0):
    """Write at a VM while the context is open; the first write must succeed within the time limit."""
    writer = Writer(bed, at)
    try:
        with contextlib.suppress(TimeoutError):
            await writer.wait_for_acknowledged(1, timeout_s)
        assert writer.acknowledged, f"no write succeeds, the primary is {bed.service.primary!r}"
        yield writer
    finally:
        await writer.stop()


def find_missing(bed, writer):
    """Return the acknowledged items that the present log lacks."""
    written = {item for commit in bed.service.log for _, item, _ in commit.writes}
    return [item for item in writer.acknowledged if item not in written]


async def check_nothing_is_lost(bed, writer):
    """Check that writes succeed within the bound, and that no acknowledged commit is lost, also by late orders."""
    count = len(writer.acknowledged)
    with contextlib.suppress(TimeoutError):
        await writer.wait_for_acknowledged(3, WRITABLE_WITHIN_S)
    if bed.store.late_calls:
        await session_bed.wait_until(lambda: not bed.store.late_calls, WRITABLE_WITHIN_S)
        await asyncio.sleep(bed.service.promote_s * 2)
    await writer.stop()
    lost = [(item.promoted, f"{item.commit.term}.{item.commit.number}") for item in bed.service.lost]
    missing = find_missing(bed, writer)
    assert not lost and not missing, f"acknowledged commits are lost: {lost}; items of callers: {missing}"
    assert len(writer.acknowledged) >= count + 3, f"no write succeeds, the primary is {bed.service.primary!r}"


async def wait_for_new_primary(bed, *old, timeout_s=WRITABLE_WITHIN_S):
    """Wait until another instance than the given ones leads."""
    await session_bed.wait_until(lambda: bed.service.primary not in ("", *old), timeout_s)


async def await_wrong_promotion(bed, *old, timeout_s=3.0):
    """Give a wrong promotion, which the test guards against, time to take effect."""
    with contextlib.suppress(TimeoutError):
        await wait_for_new_primary(bed, *old, timeout_s=timeout_s)


@contextlib.asynccontextmanager
async def make_pair_with_cut_off_vm(promote_s=0.5):
    """Provide a bed, a VM that reaches all instances, and one that reaches the primary through a proxy."""
    async with session_bed.Bed(promote_s=promote_s) as bed:
        port = bed.service.instances["i-1"].port
        proxy = loopback_proxy.LoopbackProxy(port)
        await proxy.start()
        view = await bed.store.add_view({f"127.0.0.1:{port}": f"127.0.0.1:{proxy.port}"})
        cut_off = await bed.add_daemon("vm-2", "z2", store_port=view)
        await session_bed.wait_until(lambda: bed.daemon.members.count == cut_off.members.count == 2)
        try:
            yield bed, cut_off, proxy
        finally:
            proxy.stop()


class LateOrders:
    """Leaves the promotion calls of the first claim without an answer for a time, and carries them out late.

    They are carried out just before the first call of another claim, or ``delay_s`` after they were sent.

    Args:
        bed: The test bed.
        delay_s: Seconds for which the calls get no answer and after which they are carried out.
        next_delay_s: Seconds after which the first call of another claim is carried out, without an answer too; 0 if
            it is answered.
        on_first_call: Called with the instance that the first call names.
    """

    def __init__(self, bed, *, delay_s=4.0, next_delay_s=0.0, on_first_call=lambda instance_id: None):
        self._store = bed.store
        self._delay_s = delay_s
        self._next_delay_s = next_delay_s
        self._on_first_call = on_first_call
        self._first_fence = 0
        self._until = 0.0
        bed.store.duty_fault = self._find_fault

    def _find_fault(self, path, fields, fence):
        now = asyncio.get_running_loop().time()
        if not self._first_fence:
            self._first_fence, self._until = fence, now + self._delay_s
            self._on_first_call(fields["id"])
        if fence == self._first_fence:
            return object_store.Late(self._delay_s) if now < self._until else None
        self._store.carry_out_late_calls()
        delay_s, self._next_delay_s = self._next_delay_s, 0.0
        return object_store.Late(delay_s) if delay_s else None


async def replace_twice_with_late_orders(bed):
    """Drain the primary while orders act late; it leaves after its replacement, which then drains in its turn."""
    LateOrders(bed)
    async with write(bed) as writer:
        bed.register_instance("i-1", state="draining")
        await wait_for_new_primary(bed, "i-1", timeout_s=REPLACED_WITHIN_S)
        await writer.wait_for_acknowledged(5, WRITABLE_WITHIN_S)
        await bed.leave("i-1")
        successor = bed.service.primary
        bed.register_instance(successor, state="draining")
        await wait_for_new_primary(bed, successor, timeout_s=REPLACED_WITHIN_S)
        await check_nothing_is_lost(bed, writer)
