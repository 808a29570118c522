"""Orders that wait at a holder: none is sent to an instance that stopped accepting work while they waited."""

import asyncio

import pytest

from currantlead.sessions import clock
from currantlead.sessions.instances import connection_limits, order_codec, orders
from tests import session_bed

PRIMARY = "i-1"


@pytest.fixture
async def holder(monkeypatch):
    """Provide a bed with two VMs, and the one that holds the only connection to each instance."""
    monkeypatch.setattr(connection_limits, "MIN_HOLDERS", 1)
    async with session_bed.Bed(max_connections=2) as bed:
        bed.store.put("config", "main", session_bed.configuration(2, services=[{"name": "svc1", "maxConns": 2}]))
        second = await bed.add_daemon("vm-2", "z1")
        await asyncio.sleep(0.2)
        (name,) = bed.daemon.connection_limits.holders(bed.daemon.fleet.get(PRIMARY).instance)
        yield bed, {"vm-1": bed.daemon, "vm-2": second}[name]


def evacuate(holder):
    """Let the holder learn of an evacuation whose bound is over."""
    domain = holder.fleet.get(PRIMARY).instance.domain
    holder.fleet.set_evacuated_domains({domain}, clock.now() - holder.settings.bounds.evacuation_s)


def drain(holder):
    """Let the holder learn of a drain whose bound is over."""
    holder.fleet.get(PRIMARY).draining_since = clock.now() - holder.settings.bounds.drain_s


@pytest.mark.parametrize("leave", [evacuate, drain])
async def test_order_that_waited_past_the_bound_of_its_instance_is_not_sent(holder, leave):
    """A holder sent orders to an instance whose evacuation or drain came into force while they waited for a connection.

    The sender's check precedes the wait at the holder.
    """
    bed, vm = holder
    pool = vm.connections.direct_path(vm.fleet.get(PRIMARY).instance).pool
    connection = await pool.acquire(session_bed.ORGANISATION, {}, priority=0, timeout_s=1.0)
    order = orders.Order("waits", "WRITE a1 x", {}, 0.5, commits=True)
    body = {
        "instance": PRIMARY,
        "organisation": session_bed.ORGANISATION,
        "priority": 0,
        "wait_s": 1.0,
        "order": order_codec.encode_order(order),
    }
    waiting = asyncio.create_task(vm.holder.run("vm-9", body))
    await session_bed.wait_until(lambda: pool.waiting == 1)
    leave(vm)
    assert not vm.fleet.accepts_primary_work(vm.fleet.get(PRIMARY))
    pool.release(connection)
    answer = await waiting
    assert [run.text for run in bed.service.runs] == []
    assert "refused" in answer
