"""Tests of the holder with three stand-in instances."""

import asyncio
import itertools

import msgpack
import pytest

from currantlead import messages, verdict, wire
from currantlead.control import model
from tests.standins import fakes, holder_calls

NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
Reason = verdict.Reason


@pytest.fixture
async def cluster():
    """A group with table ``t``, and a holder of all its instances."""
    async with fakes.running_cluster() as running:
        assert (await running.holder.execute(holder_calls.execute_message("create table t (x)", write=True))).is_ok()
        yield running


async def test_replica_read_sees_acknowledged_write(cluster):
    """Guards against a session that does not see its own write when it reads at a replica."""
    position = (await cluster.holder.execute(holder_calls.insert())).ok_value.position
    read = await cluster.holder.execute(
        holder_calls.execute_message("select x from t", instance="ledger-b", after=position)
    )
    assert (read.ok_value.rows, read.ok_value.position) == (((1,),), position)


def withdraw_grant(cluster):
    """Withdraw the grant of the organisation ``farm``."""
    cluster.directory.set_configuration(
        organisations={"farm": model.Organisation("farm", 100, 100, (), {"main": fakes.KEY})}
    )


REFUSALS = {
    "stale term": (None, {"term": 0}, Reason.STALE_TERM),
    "later term": (None, {"term": 2}, Reason.STALE_TERM),
    "write at a replica": (None, {"instance": "ledger-b", "write": True}, Reason.NOT_PRIMARY),
    "unknown instance": (None, {"instance": "ledger-x"}, Reason.NOT_HOLDER),
    "unknown key": (None, {"caller": messages.Caller("farm", fakes.OTHER_KEY)}, Reason.UNKNOWN_KEY),
    "no key": (None, {"caller": messages.Caller("", "")}, Reason.UNKNOWN_KEY),
    "withdrawn key": (holder_calls.withdraw_key, {}, Reason.UNKNOWN_KEY),
    "withdrawn grant": (withdraw_grant, {}, Reason.NOT_GRANTED),
    "no share": (lambda each: setattr(each.membership, "share", 0.0), {}, Reason.NOT_HOLDER),
    "no lease": (lambda each: setattr(each.membership, "has_lease", False), {}, Reason.NOT_HOLDER),
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


@pytest.mark.parametrize("case", REFUSALS)
async def test_refusal_is_not_run(cluster, case):
    """Guards against running a statement that must be refused."""
    prepare, fields, reason = REFUSALS[case]
    if prepare is not None:
        prepare(cluster)
    before = [each.counts["statements"] for each in cluster.instances.values()]
    assert holder_calls.reason_and_verdict(await cluster.holder.execute(holder_calls.execute_message(**fields))) == (
        reason,
        NOT_RUN,
    )
    if reason is not Reason.SQL_ERROR:
        assert [each.counts["statements"] for each in cluster.instances.values()] == before


async def test_open_route_runs_only_its_statement(cluster):
    """Guards against an open route that lets a caller without a key run other statements."""
    cluster.directory.set_configuration(routes={"one": model.Route("one", "ledger", "select 1", 1.0)})
    anonymous = messages.Caller("", "")
    assert (await cluster.holder.execute(holder_calls.execute_message(caller=anonymous))).ok_value.rows == ((1,),)
    assert (
        await cluster.holder.execute(holder_calls.execute_message("select 2", caller=anonymous))
    ).err_value.reason is Reason.UNKNOWN_KEY


async def test_key_withdrawn_while_waiting_in_queue(cluster):
    """Guards against running a queued statement whose key was withdrawn while it waited for a slot."""
    cluster.primary.controls.statement_s = 0.2
    running = [asyncio.create_task(cluster.holder.execute(holder_calls.execute_message())) for _ in range(5)]
    await asyncio.sleep(0.05)
    waiting = asyncio.create_task(cluster.holder.execute(holder_calls.insert()))
    await asyncio.sleep(0.05)
    holder_calls.withdraw_key(cluster)
    assert holder_calls.reason_and_verdict(await waiting) == (Reason.UNKNOWN_KEY, NOT_RUN)
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
    """Guards against an unbounded queue, and against more concurrent statements than slots."""
    async with fakes.running_cluster(service={"slots": 2, **service}) as cluster:
        cluster.primary.controls.statement_s = 0.3
        works = [holder_calls.execute_message(timeout_s=timeout_s if number >= 2 else 2.0) for number in range(8)]
        outcomes = await asyncio.gather(*(cluster.holder.execute(each) for each in works))
        refused = [holder_calls.reason_and_verdict(each) for each in outcomes if each.is_err()]
        assert set(refused) == {(reason, NOT_RUN)}
        assert cluster.primary.counts["statements"] == 8 - len(refused) >= 2
        assert cluster.primary.counts["most_running"] == 2


async def test_busy_organisation_does_not_starve_another():
    """Guards against an organisation's backlog that delays the requests of other organisations."""
    async with fakes.running_cluster(service={"slots": 1}) as cluster:
        cluster.primary.controls.statement_s = 0.02
        backlog = [asyncio.create_task(cluster.holder.execute(holder_calls.execute_message())) for _ in range(20)]
        await asyncio.sleep(0.05)
        assert (await cluster.holder.execute(holder_calls.execute_message(caller=holder_calls.MILL))).is_ok()
        assert sum(each.done() for each in backlog) <= 6
        assert all(each.is_ok() for each in await asyncio.gather(*backlog))


@pytest.mark.parametrize("control", [{"lose_answers": 1}, {"truncate_answers": 1}, {"cross_answers": 1}])
async def test_write_with_lost_response_is_in_doubt_and_not_retried(cluster, control):
    """Guards against a write that runs twice because its response was lost."""
    for name, value in control.items():
        setattr(cluster.primary.controls, name, value)
    assert (await cluster.holder.execute(holder_calls.insert())).err_value.verdict is MAY_HAVE_RUN
    assert await holder_calls.table_values(cluster) == [1]


async def test_unresponsive_primary_is_reported(cluster):
    """Guards against an unresponsive primary that is not reported to its monitors."""
    cluster.primary.controls.cut_from = ["*"]
    assert holder_calls.reason_and_verdict(await cluster.holder.execute(holder_calls.insert(timeout_s=0.2))) == (
        Reason.TIMEOUT,
        MAY_HAVE_RUN,
    )
    assert cluster.unresponsive_primaries == [("ledger", "ledger-a", 1)]


async def test_write_without_majority(cluster):
    """Guards against sending writes that no majority can acknowledge; only the first one after the loss is in doubt."""
    for name in ("ledger-b", "ledger-c"):
        cluster.instances[name].controls.cut_from = ["*"]
    assert holder_calls.reason_and_verdict(await cluster.holder.execute(holder_calls.insert(timeout_s=0.3))) == (
        Reason.NO_MAJORITY,
        MAY_HAVE_RUN,
    )
    await asyncio.sleep(2.0)
    before = cluster.primary.counts["statements"]
    assert holder_calls.reason_and_verdict(await cluster.holder.execute(holder_calls.insert())) == (
        Reason.NO_MAJORITY,
        NOT_RUN,
    )
    assert holder_calls.reason_and_verdict(await holder_calls.begin(cluster)) == (Reason.NO_MAJORITY, NOT_RUN)
    assert cluster.primary.counts["statements"] == before
    # A read could return the write that a promotion may discard.
    assert holder_calls.reason_and_verdict(
        await cluster.holder.execute(holder_calls.execute_message(timeout_s=0.2))
    ) == (
        Reason.NO_MAJORITY,
        MAY_HAVE_RUN,
    )


async def test_deposed_primary_acknowledges_nothing(cluster):
    """Guards against acknowledging a write at the old primary when the holder does not know of the promotion yet."""
    cluster.primary.controls.cut_from = ["ledger-b", "ledger-c"]
    group = cluster.directory.groups["ledger"]
    await cluster.promote("ledger-b", 2, reachable=("ledger-b", "ledger-c"))
    cluster.directory.groups["ledger"] = group
    refusal = (await cluster.holder.execute(holder_calls.insert(5, timeout_s=0.4))).err_value
    assert refusal.reason is Reason.NO_MAJORITY
    cluster.primary.controls.cut_from = []
    await cluster.promote("ledger-b", 2)
    assert (await cluster.holder.execute(holder_calls.insert(6, instance="ledger-b", term=2))).is_ok()
    await asyncio.sleep(0.3)
    assert (
        await holder_calls.table_values(cluster, "ledger-a", 2)
        == await holder_calls.table_values(cluster, "ledger-b", 2)
        == [6]
    )


async def test_maximum_age(cluster):
    """Guards against reads that return data older than their maximum age."""
    assert (await cluster.holder.execute(holder_calls.execute_message(instance="ledger-b", max_age_s=1.0))).is_ok()
    assert (await cluster.holder.execute(holder_calls.execute_message(max_age_s=0.0))).is_ok()
    cluster.instances["ledger-b"].controls.cut_from = ["ledger-a"]
    await asyncio.sleep(0.6)
    outdated = await cluster.holder.execute(holder_calls.execute_message(instance="ledger-b", max_age_s=0.3))
    assert holder_calls.reason_and_verdict(outdated) == (Reason.BEHIND, NOT_RUN)
    assert (await cluster.holder.execute(holder_calls.execute_message(instance="ledger-b", max_age_s=5.0))).is_ok()


async def test_idempotency_key(cluster):
    """Guards against a retried write that runs twice, and against reusing its key for a different statement."""
    first = await cluster.holder.execute(holder_calls.insert(1, idempotency_key="k"))
    repeated = await cluster.holder.execute(holder_calls.insert(1, idempotency_key="k"))
    assert (first.ok_value.changed, repeated.ok_value.changed) == (1, 1)
    assert holder_calls.reason_and_verdict(
        await cluster.holder.execute(holder_calls.insert(2, idempotency_key="k"))
    ) == (
        Reason.KEY_REUSED,
        NOT_RUN,
    )
    assert (await cluster.holder.execute(holder_calls.insert(3, idempotency_key="k", caller=holder_calls.MILL))).is_ok()
    failed = await cluster.holder.execute(
        holder_calls.execute_message("insert into missing values (1)", write=True, idempotency_key="q")
    )
    assert holder_calls.reason_and_verdict(failed) == (Reason.SQL_ERROR, NOT_RUN)
    assert (await cluster.holder.execute(holder_calls.insert(4, idempotency_key="q"))).is_ok()
    assert await holder_calls.table_values(cluster) == [1, 3, 4]


@pytest.mark.parametrize("lost", range(1, 6))
async def test_idempotent_write_runs_once_whichever_response_is_lost(cluster, lost):
    """Guards against a write with an idempotency key that runs twice when it is retried after a lost response."""
    await cluster.holder.execute(holder_calls.insert(0, idempotency_key="create the table"))
    original, numbers = cluster.primary._send_with_faults, itertools.count(1)

    async def spoil(request, response):
        cluster.primary.controls.lose_answers = int(next(numbers) == lost)
        await original(request, response)

    cluster.primary._send_with_faults = spoil
    outcome = await cluster.holder.execute(holder_calls.insert(1, idempotency_key="k"))
    assert outcome.err_value.verdict is MAY_HAVE_RUN
    outcomes = await asyncio.gather(
        *(cluster.holder.execute(holder_calls.insert(1, idempotency_key="k")) for _ in range(3))
    )
    assert [each.ok_value.changed for each in outcomes] == [1, 1, 1]
    assert await holder_calls.table_values(cluster) == [0, 1]


async def test_connections_follow_the_share():
    """Guards against holders with half a share each that together exceed the connection limit of the instance."""
    async with fakes.running_cluster(service={"connections": 5, "slots": 5}, connections=5) as cluster:
        cluster.membership.share = 0.5
        await asyncio.sleep(0.3)
        cluster.primary.controls.statement_s = 0.05
        outcomes = await asyncio.gather(*(cluster.holder.execute(holder_calls.execute_message()) for _ in range(10)))
        assert all(each.is_ok() for each in outcomes)
        assert cluster.primary.counts["most_running"] <= 2
        assert len(cluster.primary._connections) <= 2


async def test_stop_waits_for_open_work(cluster):
    """Guards against a planned stop that interrupts statements or transactions, or accepts new ones."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    cluster.primary.controls.statement_s = 0.1
    running = asyncio.create_task(cluster.holder.execute(holder_calls.execute_message()))
    await asyncio.sleep(0.02)
    stopping = asyncio.create_task(cluster.holder.stop(timeout_s=5))
    await asyncio.sleep(0.02)
    assert holder_calls.reason_and_verdict(await cluster.holder.execute(holder_calls.execute_message())) == (
        Reason.LEAVING,
        NOT_RUN,
    )
    assert holder_calls.reason_and_verdict(await holder_calls.begin(cluster)) == (Reason.LEAVING, NOT_RUN)
    assert (await running).is_ok()
    assert (await holder_calls.finish(cluster, transaction)).is_ok()
    await asyncio.wait_for(stopping, 1)
    assert sum(len(each._connections) for each in cluster.instances.values()) == 0


async def test_writes_continue_soon_after_a_promotion(cluster):
    """Guards against a holder that needs long after a promotion to write at the new primary."""
    for name, term in (("ledger-b", 2), ("ledger-a", 3)):
        await asyncio.sleep(0.1)
        await cluster.promote(name, term)
        assert holder_calls.reason_and_verdict(
            await cluster.holder.execute(holder_calls.insert(term, instance=name))
        ) == (
            Reason.STALE_TERM,
            NOT_RUN,
        )
        written = await cluster.holder.execute(holder_calls.insert(term, instance=name, term=term, timeout_s=1.0))
        assert written.ok_value.position.term == term
    assert await holder_calls.table_values(cluster, "ledger-a", 3) == [2, 3]


async def test_closed_idle_connections_are_replaced(cluster):
    """Guards against a pool that keeps idle connections that the instance has closed."""
    replica = cluster.instances["ledger-b"]
    for connection in list(replica._connections.values()):
        connection.protocol.transport.abort()
    await asyncio.sleep(0.3)
    assert len(replica._connections) >= 2
    assert (await cluster.holder.execute(holder_calls.execute_message(instance="ledger-b"))).is_ok()


async def test_peer_handlers(cluster):
    """Guards against forwarded or malformed requests without a valid reply."""
    body = msgpack.unpackb(msgpack.packb(wire.to_map(holder_calls.execute_message("select 1"))))
    reply = await cluster.peers.handlers["execute"]("vm-2", body)
    assert wire.outcome_from_map(reply).ok_value.rows == ((1,),)
    reply = await cluster.peers.handlers["begin"]("vm-2", {"request": 1})
    assert holder_calls.reason_and_verdict(wire.outcome_from_map(reply)) == (Reason.MALFORMED, NOT_RUN)
    assert set(cluster.peers.handlers) == {"execute", "begin", "transact", "finish"}


async def test_requests_to_a_failed_instance_are_refused_quickly(cluster):
    """Guards against a failed instance that uses up a request's timeout, so that no time is left for a promotion."""
    await cluster.instances["ledger-b"].stop()
    started = asyncio.get_running_loop().time()
    refused = await cluster.holder.execute(holder_calls.execute_message(instance="ledger-b", timeout_s=10.0))
    assert holder_calls.reason_and_verdict(refused) == (Reason.UNREACHABLE, NOT_RUN)
    assert asyncio.get_running_loop().time() - started < 1.0


async def test_primary_without_acknowledgements_is_reported():
    """Guards against noticing a primary without contact to its replicas only at the next regular poll."""
    async with fakes.running_cluster(service={"queue_timeout_s": 5.0}) as running:
        assert (await running.holder.execute(holder_calls.execute_message("create table t (x)", write=True))).is_ok()
        running.primary.controls.cut_from = ["ledger-b", "ledger-c"]
        for name in ("ledger-b", "ledger-c"):
            running.instances[name].controls.cut_from = ["ledger-a"]
        outcome = await running.holder.execute(holder_calls.insert(timeout_s=2.0))
        assert outcome.err_value.verdict is MAY_HAVE_RUN
        assert ("ledger", "ledger-a", 1) in running.unresponsive_primaries


async def test_write_in_flight_is_acknowledged_when_a_planned_change_begins(cluster):
    """Guards against reporting a write in doubt because a planned primary change starts while it awaits a replica."""
    for name in ("ledger-b", "ledger-c"):
        await fakes.set_controls(cluster.instances[name].url, receive_lag_s=0.2)
    writing = asyncio.ensure_future(cluster.holder.execute(holder_calls.insert()))
    await asyncio.sleep(0.1)
    assert not writing.done()
    cluster.directory.set_group(term=2, phase=model.Phase.ELECTING)
    assert (await writing).is_ok()


@pytest.mark.parametrize("timeout_s", [0.6, 0.63, 0.66, 0.69])
async def test_write_that_waited_for_a_lock_is_not_run(cluster, timeout_s):
    """Guards against a last retry that is cut off by the timeout, which would put a refused write in doubt."""
    begun = await holder_calls.begin(cluster, caller=holder_calls.MILL)
    assert begun.is_ok()
    outcome = await cluster.holder.execute(holder_calls.insert(timeout_s=timeout_s))
    assert outcome.err_value.verdict is NOT_RUN
