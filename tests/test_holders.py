"""Connections that VMs borrow from holders, where an instance accepts fewer of them than there are VMs."""

import asyncio

import pytest

from currantlead.peers import frames
from currantlead.sessions import forwarding, holders, liveness, model, orders, shares, statements
from tests import session_bed

MEMBERS = [model.Member(f"vm-{number}", "127.0.0.1", number, f"z{number % 3}") for number in range(12)]
INSTANCE = model.Instance("i-1", "svc1", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)


def test_holders_are_in_the_instances_domain():
    """Traffic between a holder and its instance stays in the domain, if the domain has VMs."""
    found = holders.rank(INSTANCE, MEMBERS, 2)
    assert sorted(found) == sorted(member.name for member in MEMBERS)
    assert all(int(name.removeprefix("vm-")) % 3 == 1 for name in found[:3])
    assert holders.rank(INSTANCE, [MEMBERS[0], MEMBERS[3]], 1) != []


def test_other_domains_follow_once_a_domain_seems_out_of_reach():
    """VMs of other domains come before the rest of the instance's own domain, which may be cut off as a whole."""
    found = holders.rank(INSTANCE, MEMBERS, 2)
    domains = [int(name.removeprefix("vm-")) % 3 for name in found]
    assert domains[:3] == [1, 1, 1] and 1 not in domains[3:11] and domains[11:] == [1]


def test_leaving_member_changes_few_holders():
    """Rendezvous keeps the other holders when one leaves."""
    found = holders.rank(INSTANCE, MEMBERS, 2)[:2]
    rest = [member for member in MEMBERS if member.name != found[0]]
    assert found[1] in holders.rank(INSTANCE, rest, 2)[:2]


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
@pytest.mark.parametrize("opened", [False, True])
def test_report_survives_the_way_between_vms(reply, opened):
    """Rows, outcome and position arrive as the instance sent them."""
    report = orders.Report(reply, reply if opened else None)
    answer = holders.decode_answer({"report": holders.encode_report(report), "transaction": 4}, 5.0)
    assert answer == holders.Answer(report, 4)


@pytest.mark.parametrize(
    "order",
    [
        orders.Order("id", "READ a1", {}, 0.5),
        orders.Order(
            "id",
            "a1 \udcff",
            {"lang": "\udcfe", "unit": "kg"},
            0.25,
            shape=(True, "sh\udcfd"),
            opening=orders.Opening.LEADS,
            after=model.Position(2, 7),
            leads=True,
            commits=True,
            discards=True,
        ),
    ],
)
def test_order_survives_the_way_between_vms(order):
    """Texts of any bytes, values and proof arrive as the caller's VM decided them, through a real frame."""
    (frame,) = frames.Decoder().feed(frames.encode("run", 1, 1, {"order": holders.encode_order(order)}))
    assert holders.decode_order(frame[3]["order"]) == order


@pytest.fixture
async def pair(monkeypatch):
    """Provide two VMs that share instances with two connections each: one VM holds, the other borrows."""
    monkeypatch.setattr(shares, "HOLDERS_LEAST", 1)
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
    assert isinstance(borrower.connections.path_of(borrower.fleet.get("i-1").instance), forwarding.ForwardingPath)
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
    assert holder.holder.active == 1
    (held,) = holder.holder._held.values()
    held.used_at -= holders.IDLE_S
    await asyncio.sleep(0.4)
    assert holder.holder.active == 0
    assert (await caller.query("COMMIT"))[0].startswith("ERR ABORTED")
    assert bed.service.log == []


async def test_lost_answer_of_a_borrowed_write_is_in_doubt(pair):
    """What the holder saw of a lost answer reaches the caller."""
    bed, _, borrower = pair
    caller = await bed.caller(at=borrower)
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert (await caller.query("WRITE a2 y"))[0].startswith("DONE")


async def test_leaving_holder_runs_nothing_and_another_takes_over(pair):
    """A VM that stops refuses new orders as not run; the next VM holds connections in its place."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder.leaving = holder.liveness.leaving = True
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    assert [run.text for run in bed.service.runs] == ["WRITE a1 x"]
    assert borrower.liveness.is_down(holder.settings.vm)
    assert borrower.shares.holders(borrower.fleet.get("i-1").instance, borrower.liveness.is_down) == [
        borrower.settings.vm
    ]


async def test_holder_that_is_gone_costs_no_write(pair):
    """A holder that cannot be reached has sent nothing, so another VM runs the statement, once."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("WRITE a1 x")
    await bed.stop_daemon(holder)
    second = (await caller.query("WRITE a2 y"))[0]
    assert second.startswith("DONE i-1") or second.split(" ")[1] == "INDOUBT"
    assert (await caller.query("WRITE a3 z"))[0].startswith("DONE i-1")
    written = [run.text for run in bed.service.runs]
    assert written.count("WRITE a1 x") == written.count("WRITE a3 z") == 1
    assert written.count("WRITE a2 y") <= 1 and (not second.startswith("DONE") or "WRITE a2 y" in written)


async def test_holder_that_answers_again_is_used_again(pair):
    """A VM that did not answer is asked until it does, without costing a statement."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder.leaving = holder.liveness.leaving = True
    await caller.query("WRITE a1 x")
    holder.holder.leaving = holder.liveness.leaving = False
    for _ in range(100):
        if not borrower.liveness.is_down(holder.settings.vm):
            break
        await asyncio.sleep(0.02)
    known = borrower.fleet.get("i-1").instance
    assert borrower.shares.holders(known, borrower.liveness.is_down) == [holder.settings.vm]


async def test_silent_holder_of_a_write_leaves_it_in_doubt(pair, monkeypatch):
    """A write that a holder took and never answered may have run; nobody sends it again."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)

    async def take_and_say_nothing(vm, body):
        await asyncio.sleep(30)

    monkeypatch.setitem(holder.network._handlers, holders.RUN, take_and_say_nothing)
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert not borrower.fleet.get("i-1").stuck_since, "the holder's silence says nothing about the instance"
    monkeypatch.undo()
    assert bed.service.log == []


async def test_orders_at_a_dead_holder_fail_before_their_time(pair, monkeypatch):
    """A holder that has stopped without closing its streams is found out by a ping, not by each order's timeout."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("WRITE a1 x")

    async def take_and_say_nothing(vm, body):
        await asyncio.sleep(30)

    monkeypatch.setitem(holder.network._handlers, holders.RUN, take_and_say_nothing)
    monkeypatch.setitem(holder.network._handlers, liveness.PING, take_and_say_nothing)
    closed = []
    disconnect = borrower.network.disconnect

    def note_and_disconnect(vm, reason):
        closed.append((vm, reason))
        disconnect(vm, reason)

    monkeypatch.setattr(borrower.network, "disconnect", note_and_disconnect)
    assert (await caller.query("WRITE a2 y"))[0].startswith("ERR INDOUBT")
    assert closed == [(holder.settings.vm, "it does not answer")], "the answer came of the ping, not of a timeout"
    assert borrower.liveness.is_down(holder.settings.vm)
    assert (await caller.query("WRITE a3 z"))[0].startswith("DONE i-1")


async def test_slow_statement_at_a_living_holder_is_waited_for(pair, monkeypatch):
    """A holder that answers pings keeps its time for the statement."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    run = holder.holder.run

    async def run_late(vm, body):
        await asyncio.sleep(0.7)
        return await run(vm, body)

    monkeypatch.setitem(holder.network._handlers, holders.RUN, run_late)
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")


async def test_order_that_waited_while_its_holder_was_stalled_is_refused(pair):
    """The caller was told that it is in doubt, and may have written again (soak seeds 136 and 137)."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("WRITE a1 x")
    holder.holder._called_at -= 2.0
    answer = await holder.holder.run(
        "vm-9",
        {
            "instance": "i-1",
            "organisation": session_bed.ORGANISATION,
            "priority": 0,
            "wait_s": 0.1,
            "order": holders.encode_order(orders.Order("late", "WRITE a1 old", {}, 0.5, commits=True)),
        },
    )
    assert answer == {"refused": "the holder was stalled"}
    assert [run.text for run in bed.service.runs] == ["WRITE a1 x"]


async def test_transaction_that_waited_while_its_holder_was_stalled_is_rolled_back(pair):
    """A commit that comes late must not take effect after its caller was told that it is in doubt."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    holder.holder._called_at -= 2.0
    assert (await caller.query("COMMIT"))[0].startswith("ERR ABORTED")
    assert bed.service.log == [] and holder.holder.active == 0


async def test_holder_works_again_after_a_stall(pair):
    """Only what had waited is refused."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder._called_at -= 2.0
    holder.holder.note_time()
    await asyncio.sleep(holders.AFTER_STALL_S + 0.05)
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
