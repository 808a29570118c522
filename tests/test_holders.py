"""Connections that VMs borrow from holders, where an instance accepts fewer of them than there are VMs."""

import asyncio

import pytest

from currantlead.sessions import borrowing, holders, model, statements
from tests import session_bed

MEMBERS = [model.Member(f"vm-{number}", "127.0.0.1", number, f"z{number % 3}") for number in range(12)]
INSTANCE = model.Instance("i-1", "svc1", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)


def test_holders_are_in_the_instances_domain():
    """Traffic between a holder and its instance stays in the domain, if the domain has VMs."""
    found = holders.holders_of(INSTANCE, MEMBERS, 2)
    assert len(found) == 2
    assert all(int(name.removeprefix("vm-")) % 3 == 1 for name in found)
    assert holders.holders_of(INSTANCE, [MEMBERS[0], MEMBERS[3]], 1) != []


def test_leaving_member_changes_few_holders():
    """Rendezvous keeps the other holders when one leaves."""
    found = holders.holders_of(INSTANCE, MEMBERS, 2)
    rest = [member for member in MEMBERS if member.name != found[0]]
    assert found[1] in holders.holders_of(INSTANCE, rest, 2)


@pytest.mark.parametrize(
    "reply",
    [
        statements.Reply(("a", "\udcff"), statements.Done("x.1"), statements.TransactionState.IDLE, None, 5.0),
        statements.Reply(
            (),
            statements.Failure(statements.Code.LAGGING, "i-1"),
            statements.TransactionState.FAILED,
            model.Position(2, 7),
            5.0,
        ),
    ],
)
def test_reply_survives_the_way_between_vms(reply):
    """Rows, outcome and position arrive as the instance sent them."""
    assert holders.decode_reply(holders.encode_reply(reply), 5.0) == reply


@pytest.fixture
async def pair():
    """Provide two VMs that share instances with two connections each: one VM holds, the other borrows."""
    async with session_bed.Bed(cap=2) as bed:
        bed.store.put("config", "main", session_bed.configuration(2, services=[{"name": "svc1", "maxConns": 2}]))
        second = await bed.add_daemon("vm-2", "z1")
        await asyncio.sleep(0.2)
        known = bed.daemon.fleet.get("i-1").instance
        (holder,) = bed.daemon.shares.holders(known)
        daemons = {"vm-1": bed.daemon, "vm-2": second}
        yield bed, daemons.pop(holder), daemons.popitem()[1]


async def test_borrowed_connection_serves_statements_and_transactions(pair):
    """A caller sees no difference, and the instance has no connection of the borrower."""
    bed, _, borrower = pair
    assert isinstance(borrower._pool_of(borrower.fleet.get("i-1").instance), borrowing.BorrowingPool)
    caller = await bed.caller(at=borrower)
    await caller.query("SET lang el")
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    await caller.query("BEGIN")
    await caller.query("WRITE a2 y")
    assert (await caller.query("COMMIT"))[0].startswith("DONE i-1")
    assert (await caller.query("READ a2"))[0] == "ROW y"
    assert {run.values for run in bed.service.runs} == {(("lang", "el"),)}
    assert bed.service.instances["i-1"].opened == 1


async def test_values_set_by_a_borrower_do_not_leak(pair):
    """The holder knows what a returned connection has set."""
    bed, holder, borrower = pair
    first, second = await bed.caller(at=borrower), await bed.caller(at=holder)
    await first.query("SET lang el")
    await first.query("PREPARE s1 WRITE shapeA")
    await first.query("EXEC s1 a1 x")
    await second.query("PREPARE s1 WRITE shapeB")
    await second.query("EXEC s1 a1 y")
    assert [run.values for run in bed.service.runs] == [(("lang", "el"),), ()]
    assert [run.text for run in bed.service.runs] == ["EXEC shapeA a1 x", "EXEC shapeB a1 y"]


async def test_borrower_that_disappears_leaves_no_open_transaction(pair):
    """A loan that nobody uses is taken back, and its transaction rolled back."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    assert holder.holder.lent == 1
    (loan,) = holder.holder._loans.values()
    loan.used_at -= holders.IDLE_S
    await asyncio.sleep(0.4)
    assert holder.holder.lent == 0
    assert (await caller.query("COMMIT"))[0].startswith("ERR ABORTED")
    assert bed.service.log == []


async def test_lost_answer_of_a_borrowed_write_is_in_doubt(pair):
    """What the holder saw of a lost answer reaches the caller."""
    bed, _, borrower = pair
    caller = await bed.caller(at=borrower)
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert (await caller.query("WRITE a2 y"))[0].startswith("DONE")


async def test_leaving_holder_lends_nothing(pair):
    """A VM that stops refuses new loans as not run."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder.leaving = True
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR BUSY")
    assert bed.service.runs == []


async def test_holder_that_is_gone_costs_no_write(pair):
    """A holder that cannot be reached has sent nothing."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("WRITE a1 x")
    await bed.stop_daemon(holder)
    assert (await caller.query("WRITE a2 y"))[0].split(" ")[1] in ("BUSY", "INDOUBT")
    assert (await caller.query("WRITE a3 z"))[0].startswith("ERR BUSY")
    assert len(bed.service.log) == 1
