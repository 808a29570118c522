"""Connections to instances: one user at a time, and statements of a transaction only while it is open."""

import asyncio

import pytest

from currantlead import errors
from currantlead.platform import lines
from currantlead.sessions import statements
from currantlead.sessions.instances import link, orders
from tests import session_bed

CODEC = lines.InstanceCodec()


@pytest.fixture
async def transaction():
    """Provide a bed, and a connection to the primary with an open transaction."""
    async with session_bed.Bed() as bed:
        connection = await link.Link.connect(bed.daemon.fleet.get("i-1").instance, session_bed.ORGANISATION)
        await connection.exchange(CODEC.encode_begin(read_only=False, after=None), timeout_s=1.0)
        assert connection.state is statements.TransactionState.OPEN
        yield bed, connection
        connection.close()


async def test_second_exchange_closes_the_connection(transaction):
    """Two users of a connection would read each other's replies, so both lose it."""
    bed, connection = transaction
    bed.service.delays_s = {"READ": 0.3}
    first = asyncio.create_task(connection.exchange(CODEC.encode_statement("r1", "READ a1", None), timeout_s=1.0))
    await asyncio.sleep(0.05)
    with pytest.raises(errors.LinkLostError) as second:
        await connection.exchange(CODEC.encode_rollback(), timeout_s=1.0)
    assert not second.value.sent
    with pytest.raises(errors.LinkLostError):
        await first
    assert not connection.open


@pytest.mark.parametrize("slow_word", ["SET", "PREPARE"])
async def test_statement_is_not_sent_after_its_transaction_has_ended(transaction, slow_word):
    """Guards against a write outside its transaction, which ended while the statement was prepared."""
    bed, connection = transaction
    bed.service.delays_s = {slow_word: 0.3}
    order = orders.Order("r1", "a1 x", {"lang": "el"}, 1.0, shape=(True, "shapeA"))
    running = asyncio.create_task(orders.perform(order, connection))
    await asyncio.sleep(0.05)
    (at_instance,) = [
        item for item in bed.service.instances["i-1"].connections if item.organisation == session_bed.ORGANISATION
    ]
    at_instance.state = "I"
    with pytest.raises(errors.LinkLostError) as lost:
        await running
    assert not lost.value.sent
    assert bed.service.runs == [] and bed.service.log == []
