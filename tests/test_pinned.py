"""Tests of transactions at the holder, with three stand-in instances."""

import asyncio

import pytest

from currantlead import verdict
from tests.standins import fakes, holder_calls

NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
Reason = verdict.Reason


@pytest.fixture
async def cluster():
    """A group with table ``t``, and a holder of all its instances."""
    async with fakes.running_cluster() as running:
        assert (await running.holder.execute(holder_calls.execute_message("create table t (x)", write=True))).is_ok()
        yield running


async def test_transaction_commits_or_rolls_back(cluster):
    """Guards against partial effects of a transaction, and against an id that stays valid after its end."""
    for commit in (True, False):
        transaction = (await holder_calls.begin(cluster)).ok_value.transaction
        assert (await holder_calls.transact(cluster, transaction)).is_ok()
        assert await holder_calls.table_values(cluster) == ([] if commit else [9])
        finished = await holder_calls.finish(cluster, transaction, commit=commit)
        assert (finished.ok_value.position is not None) == commit
        assert holder_calls.reason_and_verdict(await holder_calls.transact(cluster, transaction)) == (
            Reason.UNKNOWN_TRANSACTION,
            NOT_RUN,
        )
    assert await holder_calls.table_values(cluster) == [9]


async def test_transaction_belongs_to_one_organisation(cluster):
    """Guards against access to a transaction by another organisation, with a guessed secret or for another database."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    guessed = transaction.rpartition(".")[0] + ".guess"
    for outcome in (
        await holder_calls.transact(cluster, transaction, caller=holder_calls.MILL),
        await holder_calls.finish(cluster, transaction, caller=holder_calls.MILL),
        await holder_calls.transact(cluster, transaction, database="other"),
        await holder_calls.finish(cluster, transaction, database="other"),
        await holder_calls.transact(cluster, guessed),
        await holder_calls.transact(cluster, "nonsense"),
    ):
        assert holder_calls.reason_and_verdict(outcome) == (Reason.UNKNOWN_TRANSACTION, NOT_RUN)
    assert (await holder_calls.finish(cluster, transaction)).is_ok()


async def test_key_withdrawn_during_transaction(cluster):
    """Guards against continuing or committing a transaction with a withdrawn key."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    assert (await holder_calls.transact(cluster, transaction)).is_ok()
    holder_calls.withdraw_key(cluster)
    assert holder_calls.reason_and_verdict(await holder_calls.transact(cluster, transaction)) == (
        Reason.UNKNOWN_KEY,
        NOT_RUN,
    )
    assert holder_calls.reason_and_verdict(await holder_calls.finish(cluster, transaction)) == (
        Reason.UNKNOWN_KEY,
        NOT_RUN,
    )


async def test_transaction_runs_one_statement_at_a_time(cluster):
    """Guards against concurrent statements on the connection of a transaction."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    cluster.primary.controls.statement_s = 0.1
    first = asyncio.create_task(holder_calls.transact(cluster, transaction))
    await asyncio.sleep(0.02)
    assert holder_calls.reason_and_verdict(await holder_calls.transact(cluster, transaction)) == (
        Reason.TRANSACTION_BUSY,
        NOT_RUN,
    )
    assert (await first).is_ok()
    assert (await holder_calls.finish(cluster, transaction)).is_ok()


async def test_begin_waits_for_lock_without_blocking_the_lock_owner():
    """Guards against a deadlock with one slot, where a begin that waits for a lock blocks the commit of its owner."""
    async with fakes.running_cluster(service={"slots": 1}) as cluster:
        await cluster.holder.execute(holder_calls.execute_message("create table t (x)", write=True))
        first = (await holder_calls.begin(cluster)).ok_value.transaction
        waiting = asyncio.create_task(holder_calls.begin(cluster, holder_calls.MILL))
        await asyncio.sleep(0.05)
        assert (await holder_calls.transact(cluster, first)).is_ok()
        assert (await holder_calls.finish(cluster, first)).is_ok()
        assert (
            await holder_calls.finish(cluster, (await waiting).ok_value.transaction, caller=holder_calls.MILL)
        ).is_ok()


@pytest.mark.parametrize(
    ("sql", "control", "reason"),
    [
        ("insert into missing values (1)", {}, (Reason.SQL_ERROR, NOT_RUN)),
        ("insert into t values (1)", {"lose_answers": 1}, (Reason.UNREACHABLE, MAY_HAVE_RUN)),
    ],
)
async def test_failed_statement_ends_transaction(cluster, sql, control, reason):
    """Guards against committing a transaction after an error or a lost response in it."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    assert (await holder_calls.transact(cluster, transaction)).is_ok()
    for name, value in control.items():
        setattr(cluster.primary.controls, name, value)
    assert holder_calls.reason_and_verdict(await holder_calls.transact(cluster, transaction, sql)) == reason
    assert holder_calls.reason_and_verdict(await holder_calls.finish(cluster, transaction)) == (
        Reason.UNKNOWN_TRANSACTION,
        NOT_RUN,
    )
    assert await holder_calls.table_values(cluster) == []


async def test_commit_with_lost_response_is_in_doubt(cluster):
    """Guards against reporting a commit as not run although only its response was lost."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    await holder_calls.transact(cluster, transaction)
    cluster.primary.controls.lose_answers = 1
    assert (await holder_calls.finish(cluster, transaction)).err_value.verdict is MAY_HAVE_RUN
    assert await holder_calls.table_values(cluster) == [9]


async def test_idle_transaction_is_rolled_back(cluster):
    """Guards against an abandoned transaction that keeps its connection and locks."""
    cluster.holder._transactions._max_idle_s = 0.1
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    await holder_calls.transact(cluster, transaction)
    await asyncio.sleep(0.25)
    assert (await holder_calls.finish(cluster, transaction)).err_value.reason is Reason.UNKNOWN_TRANSACTION
    assert (await cluster.holder.execute(holder_calls.insert(2))).is_ok()
    assert await holder_calls.table_values(cluster) == [2]


async def test_lost_lease_closes_all_connections(cluster):
    """Guards against a VM without a lease that keeps connections, including those of transactions."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    cluster.membership.has_lease = False
    await asyncio.sleep(0.3)
    assert holder_calls.reason_and_verdict(await holder_calls.finish(cluster, transaction)) == (
        Reason.UNKNOWN_TRANSACTION,
        NOT_RUN,
    )
    assert [len(each._connections) for each in cluster.instances.values()] == [0, 0, 0]


async def test_lost_share_lets_transaction_finish(cluster):
    """Guards against a view change that interrupts open transactions or keeps idle connections open."""
    transaction = (await holder_calls.begin(cluster)).ok_value.transaction
    cluster.membership.share = 0.0
    await asyncio.sleep(0.3)
    assert not cluster.holder.release_complete()
    assert sum(len(each._connections) for each in cluster.instances.values()) == 1
    assert (await holder_calls.transact(cluster, transaction)).is_ok()
    assert (await holder_calls.finish(cluster, transaction)).is_ok()
    assert cluster.holder.release_complete()
