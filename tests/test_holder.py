"""Tests of the holder against three stand-in instances."""

import asyncio
import itertools

import msgpack
import pytest

from currantlead import messages, verdict, wire
from currantlead.control import model
from tests.standins import fakes

NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
Reason = verdict.Reason
FARM = messages.Caller("farm", fakes.KEY)
MILL = messages.Caller("mill", fakes.OTHER_KEY)
_numbers = itertools.count()


def work(sql="select 1", *, write=False, instance="ledger-a", term=1, caller=FARM, timeout_s=2.0, **more):
    """Return a statement with a new request id."""
    statement = messages.Statement(f"r{next(_numbers)}", "ledger", sql, write=write, **more)
    return messages.Execute(statement, caller, instance, term, timeout_s)


def insert(value=1, **more):
    """Return a write."""
    return work("insert into t values (?)", params=(value,), write=True, **more)


async def begin(cluster, caller=FARM, **more):
    """Ask for a transaction."""
    fields = {"instance": "ledger-a", "term": 1, "after": None, "timeout_s": 2.0, **more}
    return await cluster.holder.begin(messages.Begin(f"b{next(_numbers)}", "ledger", caller, **fields))


async def transact(cluster, transaction, sql="insert into t values (9)", *, caller=FARM, write=True, timeout_s=2.0):
    """Run a statement of a transaction."""
    statement = messages.Statement(f"t{next(_numbers)}", "ledger", sql, write=write)
    return await cluster.holder.transact(messages.Transact(transaction, statement, caller, timeout_s))


async def finish(cluster, transaction, *, commit=True, caller=FARM, timeout_s=2.0):
    """Commit or roll back."""
    return await cluster.holder.finish(
        messages.Finish(transaction, f"f{next(_numbers)}", caller, commit, timeout_s=timeout_s)
    )


async def rows(cluster, instance="ledger-a", term=1):
    """Return all values of the table."""
    outcome = await cluster.holder.execute(work("select x from t order by x", instance=instance, term=term))
    return [row[0] for row in outcome.ok_value.rows]


def reason_of(outcome):
    """Return reason and verdict of a refusal."""
    return outcome.err_value.reason, outcome.err_value.verdict


@pytest.fixture
async def cluster():
    """Run a group with the table ``t`` and a holder of all its instances."""
    async with fakes.running() as running:
        assert (await running.holder.execute(work("create table t (x)", write=True))).is_ok()
        yield running


async def test_replica_read_sees_acknowledged_write(cluster):
    """A session that wrote reads its own write at a replica."""
    position = (await cluster.holder.execute(insert())).ok_value.position
    read = await cluster.holder.execute(work("select x from t", instance="ledger-b", after=position))
    assert (read.ok_value.rows, read.ok_value.position) == (((1,),), position)


def withdraw(cluster):
    """Withdraw the key of the organisation ``farm``."""
    farm = model.Organisation("farm", 100, 100, ("sql",), {})
    cluster.directory.set_configuration(organisations={"farm": farm})


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
    "withdrawn key": (withdraw, {}, Reason.UNKNOWN_KEY),
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
    assert reason_of(await cluster.holder.execute(work(**fields))) == (reason, NOT_RUN)
    if reason is not Reason.SQL_ERROR:
        assert [each.counts["statements"] for each in cluster.instances.values()] == before


async def test_open_route_runs_only_its_statement(cluster):
    """Without a key only the stored statement of an open route runs."""
    cluster.directory.set_configuration(routes={"one": model.Route("one", "ledger", "select 1", 1.0)})
    nobody = messages.Caller("", "")
    assert (await cluster.holder.execute(work(caller=nobody))).ok_value.rows == ((1,),)
    assert (await cluster.holder.execute(work("select 2", caller=nobody))).err_value.reason is Reason.UNKNOWN_KEY


async def test_key_withdrawn_while_waiting_in_queue(cluster):
    """A key withdrawn while its statement waits for a slot does not run the statement."""
    cluster.primary.controls.statement_s = 0.2
    running = [asyncio.create_task(cluster.holder.execute(work())) for _ in range(5)]
    await asyncio.sleep(0.05)
    waiting = asyncio.create_task(cluster.holder.execute(insert()))
    await asyncio.sleep(0.05)
    withdraw(cluster)
    assert reason_of(await waiting) == (Reason.UNKNOWN_KEY, NOT_RUN)
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
        works = [work(timeout_s=timeout_s if number >= 2 else 2.0) for number in range(8)]
        outcomes = await asyncio.gather(*(cluster.holder.execute(each) for each in works))
        refused = [reason_of(each) for each in outcomes if each.is_err()]
        assert set(refused) == {(reason, NOT_RUN)}
        assert cluster.primary.counts["statements"] == 8 - len(refused) >= 2
        assert cluster.primary.counts["most_running"] == 2


async def test_busy_organisation_does_not_starve_another():
    """One request of a quiet organisation passes the backlog of a busy one."""
    async with fakes.running(service={"slots": 1}) as cluster:
        cluster.primary.controls.statement_s = 0.02
        backlog = [asyncio.create_task(cluster.holder.execute(work())) for _ in range(20)]
        await asyncio.sleep(0.05)
        assert (await cluster.holder.execute(work(caller=MILL))).is_ok()
        assert sum(each.done() for each in backlog) <= 6
        assert all(each.is_ok() for each in await asyncio.gather(*backlog))


@pytest.mark.parametrize("control", [{"lose_answers": 1}, {"truncate_answers": 1}, {"cross_answers": 1}])
async def test_lost_answer_of_write_may_have_run_once(cluster, control):
    """A write whose answer is lost is reported as in doubt and is not sent again."""
    for name, value in control.items():
        setattr(cluster.primary.controls, name, value)
    assert (await cluster.holder.execute(insert())).err_value.verdict is MAY_HAVE_RUN
    assert await rows(cluster) == [1]


async def test_frozen_primary_is_reported(cluster):
    """Monitors learn of a primary that does not answer."""
    cluster.primary.controls.cut_from = ["*"]
    assert reason_of(await cluster.holder.execute(insert(timeout_s=0.2))) == (Reason.TIMEOUT, MAY_HAVE_RUN)
    assert cluster.silent == [("ledger", "ledger-a", 1)]


async def test_write_without_majority(cluster):
    """A lost majority makes the first write doubtful; once it is known, writes are not sent."""
    for name in ("ledger-b", "ledger-c"):
        cluster.instances[name].controls.cut_from = ["*"]
    assert reason_of(await cluster.holder.execute(insert(timeout_s=0.3))) == (Reason.NO_MAJORITY, MAY_HAVE_RUN)
    await asyncio.sleep(2.0)
    before = cluster.primary.counts["statements"]
    assert reason_of(await cluster.holder.execute(insert())) == (Reason.NO_MAJORITY, NOT_RUN)
    assert reason_of(await begin(cluster)) == (Reason.NO_MAJORITY, NOT_RUN)
    assert cluster.primary.counts["statements"] == before
    # A read would show the write that a promotion may discard.
    assert reason_of(await cluster.holder.execute(work(timeout_s=0.2))) == (Reason.NO_MAJORITY, MAY_HAVE_RUN)


async def test_deposed_primary_acknowledges_nothing(cluster):
    """A holder that has not heard of the promotion gets no acknowledgement from the old primary."""
    cluster.primary.controls.cut_from = ["ledger-b", "ledger-c"]
    group = cluster.directory.groups["ledger"]
    await cluster.promote("ledger-b", 2, reachable=("ledger-b", "ledger-c"))
    cluster.directory.groups["ledger"] = group
    refusal = (await cluster.holder.execute(insert(5, timeout_s=0.4))).err_value
    assert refusal.reason is Reason.NO_MAJORITY
    cluster.primary.controls.cut_from = []
    await cluster.promote("ledger-b", 2)
    assert (await cluster.holder.execute(insert(6, instance="ledger-b", term=2))).is_ok()
    await asyncio.sleep(0.3)
    assert await rows(cluster, "ledger-a", 2) == await rows(cluster, "ledger-b", 2) == [6]


async def test_maximum_age(cluster):
    """A read with a maximum age is served only by data that is at most that old."""
    assert (await cluster.holder.execute(work(instance="ledger-b", max_age_s=1.0))).is_ok()
    assert (await cluster.holder.execute(work(max_age_s=0.0))).is_ok()
    cluster.instances["ledger-b"].controls.cut_from = ["ledger-a"]
    await asyncio.sleep(0.6)
    late = await cluster.holder.execute(work(instance="ledger-b", max_age_s=0.3))
    assert reason_of(late) == (Reason.BEHIND, NOT_RUN)
    assert (await cluster.holder.execute(work(instance="ledger-b", max_age_s=5.0))).is_ok()


async def test_idempotency_key(cluster):
    """A repeated write returns the recorded answer; another statement with the same key is refused."""
    first = await cluster.holder.execute(insert(1, idempotency_key="k"))
    repeated = await cluster.holder.execute(insert(1, idempotency_key="k"))
    assert (first.ok_value.changed, repeated.ok_value.changed) == (1, 1)
    assert reason_of(await cluster.holder.execute(insert(2, idempotency_key="k"))) == (Reason.KEY_REUSED, NOT_RUN)
    assert (await cluster.holder.execute(insert(3, idempotency_key="k", caller=MILL))).is_ok()
    failed = await cluster.holder.execute(work("insert into missing values (1)", write=True, idempotency_key="q"))
    assert reason_of(failed) == (Reason.SQL_ERROR, NOT_RUN)
    assert (await cluster.holder.execute(insert(4, idempotency_key="q"))).is_ok()
    assert await rows(cluster) == [1, 3, 4]


@pytest.mark.parametrize("lost", range(1, 6))
async def test_idempotent_write_runs_once_whichever_answer_is_lost(cluster, lost):
    """Repeating a write with a key after any lost answer gives one effect."""
    await cluster.holder.execute(insert(0, idempotency_key="create the table"))
    original, numbers = cluster.primary._spoil, itertools.count(1)

    async def spoil(request, response):
        cluster.primary.controls.lose_answers = int(next(numbers) == lost)
        await original(request, response)

    cluster.primary._spoil = spoil
    outcome = await cluster.holder.execute(insert(1, idempotency_key="k"))
    assert outcome.err_value.verdict is MAY_HAVE_RUN
    outcomes = await asyncio.gather(*(cluster.holder.execute(insert(1, idempotency_key="k")) for _ in range(3)))
    assert [each.ok_value.changed for each in outcomes] == [1, 1, 1]
    assert await rows(cluster) == [0, 1]


async def test_transaction_commits_or_rolls_back(cluster):
    """A transaction takes effect as a whole, and its id is of no use afterwards."""
    for commit in (True, False):
        transaction = (await begin(cluster)).ok_value.transaction
        assert (await transact(cluster, transaction)).is_ok()
        assert await rows(cluster) == ([] if commit else [9])
        finished = await finish(cluster, transaction, commit=commit)
        assert (finished.ok_value.position is not None) == commit
        assert reason_of(await transact(cluster, transaction)) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN)
    assert await rows(cluster) == [9]


async def test_transaction_belongs_to_one_organisation(cluster):
    """Neither another organisation nor a guessed secret reaches a transaction."""
    transaction = (await begin(cluster)).ok_value.transaction
    guessed = transaction.rpartition(".")[0] + ".guess"
    for outcome in (
        await transact(cluster, transaction, caller=MILL),
        await finish(cluster, transaction, caller=MILL),
        await transact(cluster, guessed),
        await transact(cluster, "nonsense"),
    ):
        assert reason_of(outcome) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN)
    assert (await finish(cluster, transaction)).is_ok()


async def test_key_withdrawn_inside_transaction(cluster):
    """A withdrawn key cannot go on with a transaction, nor commit it."""
    transaction = (await begin(cluster)).ok_value.transaction
    assert (await transact(cluster, transaction)).is_ok()
    withdraw(cluster)
    assert reason_of(await transact(cluster, transaction)) == (Reason.UNKNOWN_KEY, NOT_RUN)
    assert reason_of(await finish(cluster, transaction)) == (Reason.UNKNOWN_KEY, NOT_RUN)


async def test_transaction_runs_one_statement_at_a_time(cluster):
    """Two statements of a transaction are never mixed."""
    transaction = (await begin(cluster)).ok_value.transaction
    cluster.primary.controls.statement_s = 0.1
    first = asyncio.create_task(transact(cluster, transaction))
    await asyncio.sleep(0.02)
    assert reason_of(await transact(cluster, transaction)) == (Reason.TRANSACTION_BUSY, NOT_RUN)
    assert (await first).is_ok()
    assert (await finish(cluster, transaction)).is_ok()


async def test_begin_waits_for_lock_without_blocking_the_lock_owner():
    """With one slot, a begin that waits for a lock does not keep the owner of the lock from committing."""
    async with fakes.running(service={"slots": 1}) as cluster:
        await cluster.holder.execute(work("create table t (x)", write=True))
        first = (await begin(cluster)).ok_value.transaction
        waiting = asyncio.create_task(begin(cluster, MILL))
        await asyncio.sleep(0.05)
        assert (await transact(cluster, first)).is_ok()
        assert (await finish(cluster, first)).is_ok()
        assert (await finish(cluster, (await waiting).ok_value.transaction, caller=MILL)).is_ok()


@pytest.mark.parametrize(
    ("sql", "control", "reason"),
    [
        ("insert into missing values (1)", {}, (Reason.SQL_ERROR, NOT_RUN)),
        ("insert into t values (1)", {"lose_answers": 1}, (Reason.UNREACHABLE, MAY_HAVE_RUN)),
    ],
)
async def test_failed_statement_ends_transaction(cluster, sql, control, reason):
    """After an error or a lost answer the transaction is rolled back and cannot be committed."""
    transaction = (await begin(cluster)).ok_value.transaction
    assert (await transact(cluster, transaction)).is_ok()
    for name, value in control.items():
        setattr(cluster.primary.controls, name, value)
    assert reason_of(await transact(cluster, transaction, sql)) == reason
    assert reason_of(await finish(cluster, transaction)) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN)
    assert await rows(cluster) == []


async def test_lost_answer_of_commit_may_have_run(cluster):
    """A commit in doubt is reported as such."""
    transaction = (await begin(cluster)).ok_value.transaction
    await transact(cluster, transaction)
    cluster.primary.controls.lose_answers = 1
    assert (await finish(cluster, transaction)).err_value.verdict is MAY_HAVE_RUN
    assert await rows(cluster) == [9]


async def test_idle_transaction_is_rolled_back(cluster):
    """A forgotten transaction does not keep its connection and its locks."""
    cluster.holder._pinned._idle_s = 0.1
    transaction = (await begin(cluster)).ok_value.transaction
    await transact(cluster, transaction)
    await asyncio.sleep(0.25)
    assert (await finish(cluster, transaction)).err_value.reason is Reason.UNKNOWN_TRANSACTION
    assert (await cluster.holder.execute(insert(2))).is_ok()
    assert await rows(cluster) == [2]


async def test_lost_lease_closes_all_connections(cluster):
    """A VM without a lease keeps no connection, not even one of a transaction."""
    transaction = (await begin(cluster)).ok_value.transaction
    cluster.membership.lease = False
    await asyncio.sleep(0.3)
    assert reason_of(await finish(cluster, transaction)) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN)
    assert [len(each._connections) for each in cluster.instances.values()] == [0, 0, 0]


async def test_lost_share_lets_transaction_finish(cluster):
    """A role that moves in a view change closes idle connections at once and cuts no transaction."""
    transaction = (await begin(cluster)).ok_value.transaction
    cluster.membership.share = 0.0
    await asyncio.sleep(0.3)
    assert not cluster.holder.settled()
    assert sum(len(each._connections) for each in cluster.instances.values()) == 1
    assert (await transact(cluster, transaction)).is_ok()
    assert (await finish(cluster, transaction)).is_ok()
    assert cluster.holder.settled()


async def test_connections_follow_the_share():
    """Two holders with half a share each never open more than the limit together."""
    async with fakes.running(service={"connections": 5, "slots": 5}, connections=5) as cluster:
        cluster.membership.share = 0.5
        await asyncio.sleep(0.3)
        cluster.primary.controls.statement_s = 0.05
        outcomes = await asyncio.gather(*(cluster.holder.execute(work()) for _ in range(10)))
        assert all(each.is_ok() for each in outcomes)
        assert cluster.primary.counts["most_running"] <= 2
        assert len(cluster.primary._connections) <= 2


async def test_stop_drains(cluster):
    """A planned stop finishes statements and transactions and takes no new work."""
    transaction = (await begin(cluster)).ok_value.transaction
    cluster.primary.controls.statement_s = 0.1
    running = asyncio.create_task(cluster.holder.execute(work()))
    await asyncio.sleep(0.02)
    stopping = asyncio.create_task(cluster.holder.stop(timeout_s=5))
    await asyncio.sleep(0.02)
    assert reason_of(await cluster.holder.execute(work())) == (Reason.LEAVING, NOT_RUN)
    assert reason_of(await begin(cluster)) == (Reason.LEAVING, NOT_RUN)
    assert (await running).is_ok()
    assert (await finish(cluster, transaction)).is_ok()
    await asyncio.wait_for(stopping, 1)
    assert sum(len(each._connections) for each in cluster.instances.values()) == 0


async def test_promotion_interrupts_writes_briefly(cluster):
    """After a promotion a holder writes at the new primary as soon as a replica follows it."""
    for name, term in (("ledger-b", 2), ("ledger-a", 3)):
        await asyncio.sleep(0.1)
        await cluster.promote(name, term)
        assert reason_of(await cluster.holder.execute(insert(term, instance=name))) == (Reason.STALE_TERM, NOT_RUN)
        written = await cluster.holder.execute(insert(term, instance=name, term=term, timeout_s=1.0))
        assert written.ok_value.position.term == term
    assert await rows(cluster, "ledger-a", 3) == [2, 3]


async def test_returning_instance_gets_connections_again(cluster):
    """Connections that an instance closed are replaced in the background."""
    replica = cluster.instances["ledger-b"]
    for connection in list(replica._connections.values()):
        connection.protocol.transport.abort()
    await asyncio.sleep(0.3)
    assert len(replica._connections) >= 2
    assert (await cluster.holder.execute(work(instance="ledger-b"))).is_ok()


async def test_peer_handlers(cluster):
    """Forwarded work and malformed bodies get replies in the form of the peer interface."""
    body = msgpack.unpackb(msgpack.packb(wire.to_map(work("select 1"))))
    reply = await cluster.peers.handlers["execute"]("vm-2", body)
    assert wire.outcome_from_map(reply).ok_value.rows == ((1,),)
    reply = await cluster.peers.handlers["begin"]("vm-2", {"request": 1})
    assert reason_of(wire.outcome_from_map(reply)) == (Reason.MALFORMED, NOT_RUN)
    assert set(cluster.peers.handlers) == {"execute", "begin", "transact", "finish"}


async def test_dead_instance_is_refused_quickly(cluster):
    """A dead instance costs a request a moment, not its whole time, so that the proxy can wait for a promotion."""
    await cluster.instances["ledger-b"].stop()
    started = asyncio.get_running_loop().time()
    refused = await cluster.holder.execute(work(instance="ledger-b", timeout_s=10.0))
    assert reason_of(refused) == (Reason.UNREACHABLE, NOT_RUN)
    assert asyncio.get_running_loop().time() - started < 1.0
