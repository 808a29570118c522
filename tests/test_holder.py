"""Tests of the holder against three stand-in instances."""

import asyncio
import itertools

import msgpack
import pytest

from currantlead import messages, verdict, wire
from currantlead.control import model
from tests.standins import calls, fakes

NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
Reason = verdict.Reason


@pytest.fixture
async def cluster():
    """Run a group with the table ``t`` and a holder of all its instances."""
    async with fakes.running() as running:
        assert (await running.holder.execute(calls.work("create table t (x)", write=True))).is_ok()
        yield running


async def test_replica_read_sees_acknowledged_write(cluster):
    """A session that wrote reads its own write at a replica."""
    position = (await cluster.holder.execute(calls.insert())).ok_value.position
    read = await cluster.holder.execute(calls.work("select x from t", instance="ledger-b", after=position))
    assert (read.ok_value.rows, read.ok_value.position) == (((1,),), position)


def revoke(cluster):
    """Withdraw the grant of the organisation ``farm``."""
    cluster.directory.set_configuration(
        organisations={"farm": model.Organisation("farm", 100, 100, (), {"main": fakes.KEY})}
    )


REFUSED = {
    "stale term": (None, {"term": 0}, Reason.STALE_TERM),
    "later term": (None, {"term": 2}, Reason.STALE_TERM),
    "write at a replica": (None, {"instance": "ledger-b", "write": True}, Reason.NOT_PRIMARY),
    "unknown instance": (None, {"instance": "ledger-x"}, Reason.NOT_HOLDER),
    "unknown key": (None, {"caller": messages.Caller("farm", fakes.OTHER_KEY)}, Reason.UNKNOWN_KEY),
    "no key": (None, {"caller": messages.Caller("", "")}, Reason.UNKNOWN_KEY),
    "withdrawn key": (calls.withdraw, {}, Reason.UNKNOWN_KEY),
    "withdrawn grant": (revoke, {}, Reason.NOT_GRANTED),
    "no share": (lambda each: setattr(each.membership, "share", 0.0), {}, Reason.NOT_HOLDER),
    "no lease": (lambda each: setattr(each.membership, "lease", False), {}, Reason.NOT_HOLDER),
    "electing": (
        lambda each: each.directory.set_group(phase=model.Phase.ELECTING),
        {"write": True},
        Reason.NO_PRIMARY,
    ),
    "primary being replaced": (
        lambda each: each.directory.set_group(phase=model.Phase.ELECTING),
        {},
        Reason.NO_PRIMARY,
    ),
    "lost position": (
        lambda each: each.directory.set_group(starts={2: 5}),
        {"after": messages.Position(1, 6)},
        Reason.LOST_POSITION,
    ),
    "replica behind": (None, {"instance": "ledger-b", "after": messages.Position(1, 99)}, Reason.BEHIND),
    "leaving instance": (
        lambda each: each.directory.set_configuration(instances={"ledger-b": model.ServiceState.LEAVING}),
        {"instance": "ledger-b"},
        Reason.LEAVING,
    ),
    "syntax": (None, {"sql": "selec"}, Reason.SQL_ERROR),
}


@pytest.mark.parametrize("case", REFUSED)
async def test_refusal_is_not_run(cluster, case):
    """A statement that may not run here is refused, and no instance has executed it."""
    change, fields, reason = REFUSED[case]
    if change is not None:
        change(cluster)
    before = [each.counts["statements"] for each in cluster.instances.values()]
    assert calls.reason_of(await cluster.holder.execute(calls.work(**fields))) == (reason, NOT_RUN)
    if reason is not Reason.SQL_ERROR:
        assert [each.counts["statements"] for each in cluster.instances.values()] == before


async def test_open_route_runs_only_its_statement(cluster):
    """Without a key only the stored statement of an open route runs."""
    cluster.directory.set_configuration(routes={"one": model.Route("one", "ledger", "select 1", 1.0)})
    nobody = messages.Caller("", "")
    assert (await cluster.holder.execute(calls.work(caller=nobody))).ok_value.rows == ((1,),)
    assert (await cluster.holder.execute(calls.work("select 2", caller=nobody))).err_value.reason is Reason.UNKNOWN_KEY


async def test_key_withdrawn_while_waiting_in_queue(cluster):
    """A key withdrawn while its statement waits for a slot does not run the statement."""
    cluster.primary.controls.statement_s = 0.2
    running = [asyncio.create_task(cluster.holder.execute(calls.work())) for _ in range(5)]
    await asyncio.sleep(0.05)
    waiting = asyncio.create_task(cluster.holder.execute(calls.insert()))
    await asyncio.sleep(0.05)
    calls.withdraw(cluster)
    assert calls.reason_of(await waiting) == (Reason.UNKNOWN_KEY, NOT_RUN)
    assert all(each.is_ok() for each in await asyncio.gather(*running))


@pytest.mark.parametrize(
    ("service", "timeout_s", "reason"),
    [
        ({"queue_length": 2}, 2.0, Reason.QUEUE_FULL),
        ({"queue_timeout_s": 0.1}, 2.0, Reason.QUEUE_TIMEOUT),
        ({}, 0.1, Reason.QUEUE_TIMEOUT),
    ],
)
async def test_queue_is_bounded(service, timeout_s, reason):
    """A full or slow queue refuses as not run, and never more statements run than there are slots."""
    async with fakes.running(service={"slots": 2, **service}) as cluster:
        cluster.primary.controls.statement_s = 0.3
        works = [calls.work(timeout_s=timeout_s if number >= 2 else 2.0) for number in range(8)]
        outcomes = await asyncio.gather(*(cluster.holder.execute(each) for each in works))
        refused = [calls.reason_of(each) for each in outcomes if each.is_err()]
        assert set(refused) == {(reason, NOT_RUN)}
        assert cluster.primary.counts["statements"] == 8 - len(refused) >= 2
        assert cluster.primary.counts["most_running"] == 2


async def test_busy_organisation_does_not_starve_another():
    """One request of a quiet organisation passes the backlog of a busy one."""
    async with fakes.running(service={"slots": 1}) as cluster:
        cluster.primary.controls.statement_s = 0.02
        backlog = [asyncio.create_task(cluster.holder.execute(calls.work())) for _ in range(20)]
        await asyncio.sleep(0.05)
        assert (await cluster.holder.execute(calls.work(caller=calls.MILL))).is_ok()
        assert sum(each.done() for each in backlog) <= 6
        assert all(each.is_ok() for each in await asyncio.gather(*backlog))


@pytest.mark.parametrize("control", [{"lose_answers": 1}, {"truncate_answers": 1}, {"cross_answers": 1}])
async def test_lost_answer_of_write_may_have_run_once(cluster, control):
    """A write whose answer is lost is reported as in doubt and is not sent again."""
    for name, value in control.items():
        setattr(cluster.primary.controls, name, value)
    assert (await cluster.holder.execute(calls.insert())).err_value.verdict is MAY_HAVE_RUN
    assert await calls.rows(cluster) == [1]


async def test_frozen_primary_is_reported(cluster):
    """Monitors learn of a primary that does not answer."""
    cluster.primary.controls.cut_from = ["*"]
    assert calls.reason_of(await cluster.holder.execute(calls.insert(timeout_s=0.2))) == (Reason.TIMEOUT, MAY_HAVE_RUN)
    assert cluster.silent == [("ledger", "ledger-a", 1)]


async def test_write_without_majority(cluster):
    """A lost majority makes the first write doubtful; once it is known, writes are not sent."""
    for name in ("ledger-b", "ledger-c"):
        cluster.instances[name].controls.cut_from = ["*"]
    assert calls.reason_of(await cluster.holder.execute(calls.insert(timeout_s=0.3))) == (
        Reason.NO_MAJORITY,
        MAY_HAVE_RUN,
    )
    await asyncio.sleep(2.0)
    before = cluster.primary.counts["statements"]
    assert calls.reason_of(await cluster.holder.execute(calls.insert())) == (Reason.NO_MAJORITY, NOT_RUN)
    assert calls.reason_of(await calls.begin(cluster)) == (Reason.NO_MAJORITY, NOT_RUN)
    assert cluster.primary.counts["statements"] == before
    # A read would show the write that a promotion may discard.
    assert calls.reason_of(await cluster.holder.execute(calls.work(timeout_s=0.2))) == (
        Reason.NO_MAJORITY,
        MAY_HAVE_RUN,
    )


async def test_deposed_primary_acknowledges_nothing(cluster):
    """A holder that has not heard of the promotion gets no acknowledgement from the old primary."""
    cluster.primary.controls.cut_from = ["ledger-b", "ledger-c"]
    group = cluster.directory.groups["ledger"]
    await cluster.promote("ledger-b", 2, reachable=("ledger-b", "ledger-c"))
    cluster.directory.groups["ledger"] = group
    refusal = (await cluster.holder.execute(calls.insert(5, timeout_s=0.4))).err_value
    assert refusal.reason is Reason.NO_MAJORITY
    cluster.primary.controls.cut_from = []
    await cluster.promote("ledger-b", 2)
    assert (await cluster.holder.execute(calls.insert(6, instance="ledger-b", term=2))).is_ok()
    await asyncio.sleep(0.3)
    assert await calls.rows(cluster, "ledger-a", 2) == await calls.rows(cluster, "ledger-b", 2) == [6]


async def test_maximum_age(cluster):
    """A read with a maximum age is served only by data that is at most that old."""
    assert (await cluster.holder.execute(calls.work(instance="ledger-b", max_age_s=1.0))).is_ok()
    assert (await cluster.holder.execute(calls.work(max_age_s=0.0))).is_ok()
    cluster.instances["ledger-b"].controls.cut_from = ["ledger-a"]
    await asyncio.sleep(0.6)
    late = await cluster.holder.execute(calls.work(instance="ledger-b", max_age_s=0.3))
    assert calls.reason_of(late) == (Reason.BEHIND, NOT_RUN)
    assert (await cluster.holder.execute(calls.work(instance="ledger-b", max_age_s=5.0))).is_ok()


async def test_idempotency_key(cluster):
    """A repeated write returns the recorded answer; another statement with the same key is refused."""
    first = await cluster.holder.execute(calls.insert(1, idempotency_key="k"))
    repeated = await cluster.holder.execute(calls.insert(1, idempotency_key="k"))
    assert (first.ok_value.changed, repeated.ok_value.changed) == (1, 1)
    assert calls.reason_of(await cluster.holder.execute(calls.insert(2, idempotency_key="k"))) == (
        Reason.KEY_REUSED,
        NOT_RUN,
    )
    assert (await cluster.holder.execute(calls.insert(3, idempotency_key="k", caller=calls.MILL))).is_ok()
    failed = await cluster.holder.execute(calls.work("insert into missing values (1)", write=True, idempotency_key="q"))
    assert calls.reason_of(failed) == (Reason.SQL_ERROR, NOT_RUN)
    assert (await cluster.holder.execute(calls.insert(4, idempotency_key="q"))).is_ok()
    assert await calls.rows(cluster) == [1, 3, 4]


@pytest.mark.parametrize("lost", range(1, 6))
async def test_idempotent_write_runs_once_whichever_answer_is_lost(cluster, lost):
    """Repeating a write with a key after any lost answer gives one effect."""
    await cluster.holder.execute(calls.insert(0, idempotency_key="create the table"))
    original, numbers = cluster.primary._spoil, itertools.count(1)

    async def spoil(request, response):
        cluster.primary.controls.lose_answers = int(next(numbers) == lost)
        await original(request, response)

    cluster.primary._spoil = spoil
    outcome = await cluster.holder.execute(calls.insert(1, idempotency_key="k"))
    assert outcome.err_value.verdict is MAY_HAVE_RUN
    outcomes = await asyncio.gather(*(cluster.holder.execute(calls.insert(1, idempotency_key="k")) for _ in range(3)))
    assert [each.ok_value.changed for each in outcomes] == [1, 1, 1]
    assert await calls.rows(cluster) == [0, 1]


async def test_connections_follow_the_share():
    """Two holders with half a share each never open more than the limit together."""
    async with fakes.running(service={"connections": 5, "slots": 5}, connections=5) as cluster:
        cluster.membership.share = 0.5
        await asyncio.sleep(0.3)
        cluster.primary.controls.statement_s = 0.05
        outcomes = await asyncio.gather(*(cluster.holder.execute(calls.work()) for _ in range(10)))
        assert all(each.is_ok() for each in outcomes)
        assert cluster.primary.counts["most_running"] <= 2
        assert len(cluster.primary._connections) <= 2


async def test_stop_drains(cluster):
    """A planned stop finishes statements and transactions and takes no new work."""
    transaction = (await calls.begin(cluster)).ok_value.transaction
    cluster.primary.controls.statement_s = 0.1
    running = asyncio.create_task(cluster.holder.execute(calls.work()))
    await asyncio.sleep(0.02)
    stopping = asyncio.create_task(cluster.holder.stop(timeout_s=5))
    await asyncio.sleep(0.02)
    assert calls.reason_of(await cluster.holder.execute(calls.work())) == (Reason.LEAVING, NOT_RUN)
    assert calls.reason_of(await calls.begin(cluster)) == (Reason.LEAVING, NOT_RUN)
    assert (await running).is_ok()
    assert (await calls.finish(cluster, transaction)).is_ok()
    await asyncio.wait_for(stopping, 1)
    assert sum(len(each._connections) for each in cluster.instances.values()) == 0


async def test_promotion_interrupts_writes_briefly(cluster):
    """After a promotion a holder writes at the new primary as soon as a replica follows it."""
    for name, term in (("ledger-b", 2), ("ledger-a", 3)):
        await asyncio.sleep(0.1)
        await cluster.promote(name, term)
        assert calls.reason_of(await cluster.holder.execute(calls.insert(term, instance=name))) == (
            Reason.STALE_TERM,
            NOT_RUN,
        )
        written = await cluster.holder.execute(calls.insert(term, instance=name, term=term, timeout_s=1.0))
        assert written.ok_value.position.term == term
    assert await calls.rows(cluster, "ledger-a", 3) == [2, 3]


async def test_returning_instance_gets_connections_again(cluster):
    """Connections that an instance closed are replaced in the background."""
    replica = cluster.instances["ledger-b"]
    for connection in list(replica._connections.values()):
        connection.protocol.transport.abort()
    await asyncio.sleep(0.3)
    assert len(replica._connections) >= 2
    assert (await cluster.holder.execute(calls.work(instance="ledger-b"))).is_ok()


async def test_peer_handlers(cluster):
    """Forwarded work and malformed bodies get replies in the form of the peer interface."""
    body = msgpack.unpackb(msgpack.packb(wire.to_map(calls.work("select 1"))))
    reply = await cluster.peers.handlers["execute"]("vm-2", body)
    assert wire.outcome_from_map(reply).ok_value.rows == ((1,),)
    reply = await cluster.peers.handlers["begin"]("vm-2", {"request": 1})
    assert calls.reason_of(wire.outcome_from_map(reply)) == (Reason.MALFORMED, NOT_RUN)
    assert set(cluster.peers.handlers) == {"execute", "begin", "transact", "finish"}


async def test_dead_instance_is_refused_quickly(cluster):
    """A dead instance costs a request a moment, not its whole time, so that the proxy can wait for a promotion."""
    await cluster.instances["ledger-b"].stop()
    started = asyncio.get_running_loop().time()
    refused = await cluster.holder.execute(calls.work(instance="ledger-b", timeout_s=10.0))
    assert calls.reason_of(refused) == (Reason.UNREACHABLE, NOT_RUN)
    assert asyncio.get_running_loop().time() - started < 1.0


async def test_write_without_acknowledgement_is_reported():
    """Guards against a primary that lost its peers, which nobody would ask about before the next regular poll."""
    async with fakes.running(service={"queue_timeout_s": 5.0}) as running:
        assert (await running.holder.execute(calls.work("create table t (x)", write=True))).is_ok()
        running.primary.controls.cut_from = ["ledger-b", "ledger-c"]
        for name in ("ledger-b", "ledger-c"):
            running.instances[name].controls.cut_from = ["ledger-a"]
        outcome = await running.holder.execute(calls.insert(timeout_s=2.0))
        assert outcome.err_value.verdict is MAY_HAVE_RUN
        assert ("ledger", "ledger-a", 1) in running.silent


async def test_write_under_way_is_acknowledged_when_a_planned_change_begins(cluster):
    """A write that waits for a replica while a planned change starts is not answered as doubtful."""
    for name in ("ledger-b", "ledger-c"):
        await fakes.control(cluster.instances[name].url, receive_lag_s=0.2)
    writing = asyncio.ensure_future(cluster.holder.execute(calls.insert()))
    await asyncio.sleep(0.1)
    assert not writing.done()
    cluster.directory.set_group(term=2, phase=model.Phase.ELECTING)
    assert (await writing).is_ok()


@pytest.mark.parametrize("timeout_s", [0.6, 0.63, 0.66, 0.69])
async def test_write_that_only_found_a_lock_is_not_run(cluster, timeout_s):
    """Guards against a last repeat that is cut off at the sender's limit and makes a certain refusal uncertain."""
    begun = await calls.begin(cluster, caller=calls.MILL)
    assert begun.is_ok()
    outcome = await cluster.holder.execute(calls.insert(timeout_s=timeout_s))
    assert outcome.err_value.verdict is NOT_RUN
