"""Holders: VMs that run statements for other VMs, if an instance accepts fewer connections than there are VMs."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantlead import errors
from currantlead.peers import frames
from currantlead.sessions import clock, model, settings, statements
from currantlead.sessions.decisions import holder_choice
from currantlead.sessions.instances import connection_limits, forwarding, holders, order_codec, orders
from currantlead.sessions.membership import liveness
from tests import session_bed

MEMBERS = [model.Member(f"vm-{number}", "127.0.0.1", number, f"z{number % 3}") for number in range(12)]
INSTANCE = model.Instance("i-1", "svc1", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)


def test_holders_are_in_the_domain_of_the_instance():
    """Traffic between a holder and its instance stays in the failure domain, if the domain has VMs."""
    ranked = holder_choice.rank_holders(INSTANCE, MEMBERS, 2)
    assert sorted(ranked) == sorted(member.name for member in MEMBERS)
    assert all(int(name.removeprefix("vm-")) % 3 == 1 for name in ranked[:3])
    assert holder_choice.rank_holders(INSTANCE, [MEMBERS[0], MEMBERS[3]], 1) != []


def test_other_domains_precede_the_rest_of_an_unreachable_domain():
    """VMs in other domains come before the rest of the instance's domain, which may be unreachable as a whole."""
    ranked = holder_choice.rank_holders(INSTANCE, MEMBERS, 2)
    domains = [int(name.removeprefix("vm-")) % 3 for name in ranked]
    assert domains[:3] == [1, 1, 1] and 1 not in domains[3:11] and domains[11:] == [1]


def test_leaving_member_changes_few_holders():
    """Rendezvous hashing keeps the other holders when one leaves."""
    ranked = holder_choice.rank_holders(INSTANCE, MEMBERS, 2)[:2]
    remaining = [member for member in MEMBERS if member.name != ranked[0]]
    assert ranked[1] in holder_choice.rank_holders(INSTANCE, remaining, 2)[:2]


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
def test_report_round_trip(reply, opened):
    """Rows, result and position are unchanged after encoding and decoding."""
    report = orders.Report(reply, reply if opened else None)
    answer = holders.decode_response({"report": order_codec.encode_report(report), "transaction": 4}, 5.0)
    assert answer == holders.HolderResponse(report, 4)


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
            begin_mode=orders.BeginMode.PRIMARY_ONLY,
            after=model.Position(2, 7),
            needs_primary=True,
            commits=True,
            rolls_back=True,
        ),
    ],
)
def test_order_round_trip(order):
    """Texts with arbitrary bytes, session values and positions are unchanged after a trip through a real frame."""
    (frame,) = frames.Decoder().feed(frames.encode("run", 1, 1, {"order": order_codec.encode_order(order)}))
    assert order_codec.decode_order(frame[3]["order"]) == order


@pytest.fixture(params=[False, True], ids=["", "early-refusal"])
async def pair(monkeypatch, request):
    """Provide two VMs and instances that accept two connections each: one VM is the holder, the other borrows."""
    monkeypatch.setattr(connection_limits, "MIN_HOLDERS", 1)
    load_management = settings.LoadManagement(early_refusal=request.param)
    async with session_bed.Bed(load_management=load_management, max_connections=2) as bed:
        bed.store.put("config", "main", session_bed.configuration(2, services=[{"name": "svc1", "maxConns": 2}]))
        second = await bed.add_daemon("vm-2", "z1")
        await asyncio.sleep(0.2)
        instance = bed.daemon.fleet.get("i-1").instance
        (holder,) = bed.daemon.connection_limits.holders(instance)
        daemons = {"vm-1": bed.daemon, "vm-2": second}
        yield bed, daemons.pop(holder), daemons.popitem()[1]


async def test_holder_runs_statements_and_transactions_of_another_vm(pair):
    """Forwarding is invisible to the caller, and the borrower opens no connection to the instance."""
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
    assert bed.service.instances["i-1"].accepted_connections == 1


async def test_session_values_of_a_borrower_do_not_leak(pair):
    """The holder tracks the values and prepared statements that are set on a connection, and resets them."""
    bed, holder, borrower = pair
    first, second = await bed.caller(at=borrower), await bed.caller(at=holder)
    await first.query("SET lang el")
    await first.query("PREPARE s1 WRITE shapeA")
    await first.query("EXEC s1 a1 x")
    await second.query("PREPARE s1 WRITE shapeB")
    await second.query("EXEC s1 a1 y")
    assert [run.values for run in bed.service.runs] == [(("lang", "el"),), ()]
    assert [run.text for run in bed.service.runs] == ["EXEC shapeA a1 x", "EXEC shapeB a1 y"]


async def test_abandoned_transaction_of_a_borrower_is_rolled_back(pair):
    """If the borrower's VM disappears, the holder rolls its transaction back and reuses the connection."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    assert holder.holder.active == 1
    (entry,) = holder.holder._transactions.values()
    entry.last_used_at -= holders.ABANDONED_S
    await asyncio.sleep(0.4)
    assert holder.holder.active == 0
    assert (await caller.query("COMMIT"))[0].startswith("ERR ABORTED")
    assert bed.service.log == []


async def start_slow_statement(bed, holder, caller, slow_word):
    """Open a transaction and begin a statement whose step with a word is answered late; return its task."""
    await caller.query("SET lang el")
    await caller.query("BEGIN")
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    await caller.query("SET unit kg")
    await caller.query("PREPARE s1 WRITE shapeA")
    bed.service.delays_s = {slow_word: 0.3}
    statement = asyncio.create_task(caller.query("EXEC s1 a2 y"))
    await session_bed.wait_until(lambda: next(iter(holder.holder._transactions.values())).busy)
    await asyncio.sleep(0.05)
    return statement


def connections_in_use(holder):
    """Return the number of connections to the primary that are in use, and of those that transactions use."""
    used = holder.connections.direct_path(holder.fleet.get("i-1").instance).pool
    return used.busy, used.in_transaction


@pytest.mark.parametrize("slow_word", ["SET", "PREPARE", "EXEC"])
@pytest.mark.parametrize("ended_by", ["frame", "abandoned"])
async def test_statement_of_an_ended_transaction_is_not_kept(pair, slow_word, ended_by):
    """Guards against REFUSED: a statement ran after the rollback of its transaction, and was committed by itself."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    statement = await start_slow_statement(bed, holder, caller, slow_word)
    ((number, entry),) = holder.holder._transactions.items()
    if ended_by == "frame":
        await holder.holder.end(borrower.settings.vm, {"transaction": number})
    else:
        await entry.transaction.end()
    assert (await statement)[0].startswith("ERR ABORTED")
    await asyncio.sleep(0.4)
    assert bed.service.log == []
    assert connections_in_use(holder) == (0, 0)
    bed.service.delays_s = {}
    await caller.query("ROLLBACK")
    assert (await caller.query("WRITE a3 z"))[0].startswith("DONE i-1")


@pytest.mark.parametrize("slow_word", ["SET", "PREPARE", "EXEC"])
async def test_reset_between_vms_keeps_no_statement_and_no_connection(pair, slow_word):
    """Guards against REFUSED and lost connections: the holder went on after the caller's VM had lost its stream."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    statement = await start_slow_statement(bed, holder, caller, slow_word)
    borrower.network.disconnect(holder.settings.vm, "reset by a test")
    assert (await statement)[0].startswith("ERR ABORTED")
    await asyncio.sleep(0.4)
    assert bed.service.log == []
    assert connections_in_use(holder) == (0, 0)
    assert holder.holder.active == 0


async def test_commit_of_an_ended_transaction_is_in_doubt(pair):
    """A transaction that ends while its COMMIT runs gives its connection back once, and is not rolled back there."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    bed.service.delays_s = {"COMMIT": 0.3}
    commit = asyncio.create_task(caller.query("COMMIT"))
    await session_bed.wait_until(lambda: next(iter(holder.holder._transactions.values())).busy)
    await asyncio.sleep(0.05)
    borrower.network.disconnect(holder.settings.vm, "reset by a test")
    assert (await commit)[0].startswith("ERR INDOUBT")
    await asyncio.sleep(0.4)
    assert connections_in_use(holder) == (0, 0)


@pytest.mark.parametrize(
    ("statement", "answer"),
    [
        ("WRITE a2 y", "ERR ABORTED"),
        ("COMMIT", "ERR ABORTED"),
        ("ROLLBACK", "DONE -"),
        (None, None),
    ],
    ids=["write", "commit", "rollback", "disconnect"],
)
async def test_transaction_of_a_restarted_holder_is_not_taken_for_a_new_one(pair, statement, answer):
    """Statements of a transaction that was open at a holder's restart must not run in, or end, another caller's."""
    # Guards against PINNED: the restarted holder gave out the transaction's number again.
    bed, holder, borrower = pair
    first = await bed.caller(at=borrower)
    await first.query("BEGIN")
    await first.query("WRITE a1 x")
    (entry,) = holder.holder._transactions.values()
    await bed.stop_daemon(holder)
    # The kernel closes the connections of a killed process.
    entry.transaction.link.abort()
    restarted = await bed.add_daemon(holder.settings.vm, holder.settings.domain)
    instance = borrower.fleet.get("i-1").instance
    await session_bed.wait_until(
        lambda: borrower.connection_limits.holders(instance, borrower.liveness.is_down) == [holder.settings.vm]
    )
    second = await bed.caller(key="key-of-dyers", at=borrower)
    await second.query("BEGIN")
    assert (await second.query("WRITE b1 x"))[0].startswith("DONE i-1")
    assert restarted.holder.active == 1
    if statement is None:
        first.close()
        await asyncio.sleep(0.05)
    else:
        assert (await first.query(statement))[0].startswith(answer)
    assert (await second.query("WRITE b2 y"))[0].startswith("DONE i-1")
    assert (await second.query("COMMIT"))[0].startswith("DONE i-1")
    texts = [(run.text, run.organisation) for run in bed.service.runs]
    assert texts == [
        ("WRITE a1 x", session_bed.ORGANISATION),
        ("WRITE b1 x", "dyers"),
        ("WRITE b2 y", "dyers"),
        ("COMMIT", "dyers"),
    ]


async def test_forwarded_write_with_lost_response_is_in_doubt(pair):
    """A response that the holder did not get from the instance is reported to the caller as in doubt."""
    bed, _, borrower = pair
    caller = await bed.caller(at=borrower)
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert (await caller.query("WRITE a2 y"))[0].startswith("DONE")


async def test_leaving_holder_runs_nothing_and_is_replaced(pair):
    """A VM that is shutting down refuses new orders without running them, and the next VM becomes a holder."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder.leaving = holder.liveness.leaving = True
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    assert [run.text for run in bed.service.runs] == ["WRITE a1 x"]
    assert borrower.liveness.is_down(holder.settings.vm)
    assert borrower.connection_limits.holders(borrower.fleet.get("i-1").instance, borrower.liveness.is_down) == [
        borrower.settings.vm
    ]


async def test_holder_refuses_on_arrival_what_it_cannot_serve(pair):
    """With the part, a holder's refusal reaches the caller of another VM at once, unsent, and with a delay."""
    bed, holder, borrower = pair
    resting, caller = await bed.caller(at=borrower), await bed.caller(at=borrower)
    await resting.query("BEGIN")
    await resting.query("WRITE a1 x")
    path = holder.connections.direct_path(holder.fleet.get("i-1").instance)
    if path.arrivals is None:
        answer = (await caller.query("WRITE a2 y"))[0]
        assert answer == "ERR BUSY no holder of i-1 had a free connection"
        return
    path.arrivals._hold_s = 10.0
    began_at = clock.now()
    answer = (await caller.query("WRITE a2 y"))[0]
    assert clock.now() - began_at < 0.2
    assert answer.startswith("ERR BUSY") and int(answer.rpartition("retry-after-ms=")[2]) > 0
    assert [run.text for run in bed.service.runs] == ["WRITE a1 x"]
    await resting.query("ROLLBACK")
    assert (await caller.query("WRITE a2 y"))[0].startswith("DONE i-1")


async def test_unreachable_holder_fails_no_write(pair):
    """An unreachable holder has sent nothing to the instance, so another VM runs the statement, once."""
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


async def test_recovered_holder_is_used_again(pair):
    """A VM that did not respond is probed until it does, without using a statement as the probe."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder.leaving = holder.liveness.leaving = True
    await caller.query("WRITE a1 x")
    holder.holder.leaving = holder.liveness.leaving = False
    for _ in range(100):
        if not borrower.liveness.is_down(holder.settings.vm):
            break
        await asyncio.sleep(0.02)
    instance = borrower.fleet.get("i-1").instance
    assert borrower.connection_limits.holders(instance, borrower.liveness.is_down) == [holder.settings.vm]


async def test_write_at_a_silent_holder_is_in_doubt(pair, monkeypatch):
    """A write that a holder received and never answered may have run, so it is not sent again."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)

    async def never_respond(vm, body):
        await asyncio.sleep(30)

    monkeypatch.setitem(holder.network._handlers, holders.RUN, never_respond)
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert not borrower.fleet.get("i-1").stuck_since, "the holder's silence says nothing about the instance"
    monkeypatch.undo()
    assert bed.service.log == []


async def test_orders_at_a_dead_holder_fail_before_their_timeout(pair, monkeypatch):
    """A holder that died without closing its streams is detected by a ping, not by the timeout of each order."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("WRITE a1 x")

    async def never_respond(vm, body):
        await asyncio.sleep(30)

    monkeypatch.setitem(holder.network._handlers, holders.RUN, never_respond)
    monkeypatch.setitem(holder.network._handlers, liveness.PING, never_respond)
    disconnected = []
    disconnect = borrower.network.disconnect

    def record_and_disconnect(vm, reason):
        disconnected.append((vm, reason))
        disconnect(vm, reason)

    monkeypatch.setattr(borrower.network, "disconnect", record_and_disconnect)
    assert (await caller.query("WRITE a2 y"))[0].startswith("ERR INDOUBT")
    assert disconnected == [(holder.settings.vm, "no response to a ping")], "the ping ended the wait, not a timeout"
    assert borrower.liveness.is_down(holder.settings.vm)
    assert (await caller.query("WRITE a3 z"))[0].startswith("DONE i-1")


async def test_slow_statement_at_a_responsive_holder_is_awaited(pair, monkeypatch):
    """A holder that answers pings keeps the full timeout for the statement."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    run = holder.holder.run

    async def run_late(vm, body):
        await asyncio.sleep(0.7)
        return await run(vm, body)

    monkeypatch.setitem(holder.network._handlers, holders.RUN, run_late)
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")


async def test_order_queued_while_its_holder_was_stalled_is_refused(pair):
    """An order read after a stall must not run: its caller was told that it is in doubt, and may have written again.

    The soak test failed this way with seeds 136 and 137.
    """
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("WRITE a1 x")
    holder.holder._last_check_at -= 2.0
    answer = await holder.holder.run(
        "vm-9",
        {
            "instance": "i-1",
            "organisation": session_bed.ORGANISATION,
            "priority": 0,
            "wait_s": 0.1,
            "order": order_codec.encode_order(orders.Order("late", "WRITE a1 old", {}, 0.5, commits=True)),
        },
    )
    assert answer == {"refused": "the holder was stalled while the order was queued"}
    assert [run.text for run in bed.service.runs] == ["WRITE a1 x"]


async def test_commit_queued_while_its_holder_was_stalled_is_rolled_back(pair):
    """A commit read after a stall must not take effect, because its caller was told that it is in doubt."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    holder.holder._last_check_at -= 2.0
    assert (await caller.query("COMMIT"))[0].startswith("ERR ABORTED")
    assert bed.service.log == [] and holder.holder.active == 0


async def test_holder_recovers_after_a_stall(pair):
    """Only the orders that were queued during the stall are refused."""
    bed, holder, borrower = pair
    caller = await bed.caller(at=borrower)
    holder.holder._last_check_at -= 2.0
    holder.holder.detect_stall()
    await asyncio.sleep(holders.STALL_RECOVERY_S + 0.05)
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")


@given(
    st.dictionaries(
        st.sampled_from(["report", "transaction", "lost", "sent", "timed_out", "refused", "unreachable"]),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=4) | st.binary(max_size=4),
            lambda inner: st.lists(inner, max_size=5),
            max_leaves=8,
        ),
    )
)
def test_malformed_response_of_a_holder_property(response):
    """A malformed response leaves the order in doubt, and ends no session with an unexpected error."""
    try:
        decoded = holders.decode_response(response, 1.0)
    except errors.HolderLostError as error:
        assert error.sent
    except (errors.LinkLostError, errors.LinkRefusedError, errors.PoolUnavailableError):
        assert {"lost", "refused"} & set(response)
    else:
        assert decoded.transaction is None or isinstance(decoded.transaction, int)
