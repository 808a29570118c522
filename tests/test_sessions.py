"""Sessions of callers against stand-in instances: values, prepared statements, transactions, freshness, outcomes."""

import asyncio

import pytest

from tests import session_bed


@pytest.fixture
async def bed():
    """Provide a daemon with one service of three instances."""
    async with session_bed.Bed() as started:
        yield started


def runs(bed, text):
    """Return the runs of a text."""
    return [run for run in bed.service.runs if run.text == text]


async def test_write_and_read_return_the_instances_signature(bed):
    """A success carries the signature and rows of the instance that ran the statement."""
    caller = await bed.caller()
    done = await caller.query("WRITE a1 wool")
    assert done[0].startswith("DONE i-1.") and done[1] == "READY I 1.1"
    rows = await caller.query("READ a1")
    assert rows[0] == "ROW wool" and rows[1].startswith("DONE i-") and rows[2].startswith("READY I")


async def test_session_reads_its_own_write_when_replicas_lag(bed):
    """A read after the session's own commit never runs on a log that lacks it."""
    bed.service.lag_s = {"i-2": 30.0, "i-3": 30.0}
    caller = await bed.caller()
    for number in range(5):
        await caller.query(f"WRITE a1 v{number}")
        assert (await caller.query("READ a1"))[0] == f"ROW v{number}"


async def test_bounded_read_covers_commits_older_than_the_allowed_age(bed):
    """A read with an allowed age runs on a log that has every commit acknowledged before that age."""
    bed.service.lag_s = {"i-2": 30.0, "i-3": 30.0}
    writer, reader = await bed.caller("own-db"), await bed.caller("bounded-db")
    await writer.query("WRITE a1 old")
    await asyncio.sleep(1.6)
    await writer.query("WRITE a2 other")
    assert (await reader.query("READ a1"))[0] == "ROW old"


async def test_read_on_a_primary_route_is_refused_by_a_replaced_primary(bed):
    """A replaced primary still answers plain reads, so the read has to prove the lead."""
    caller = await bed.caller("primary-db")
    await caller.query("WRITE a1 first")
    bed.service.promote("i-2")
    bed.service.runs.clear()
    assert (await caller.query("READ a1"))[0].startswith("ERR READONLY")
    assert bed.service.runs == []
    bed.register("i-2")
    await asyncio.sleep(0.1)
    assert (await caller.query("READ a1"))[0] == "ROW first"
    assert [run.instance for run in bed.service.runs] == ["i-2"]


async def test_session_that_comes_before_the_configuration_waits_for_it(bed):
    """A VM that has just started serves its first callers instead of refusing them."""
    configured = bed.store.objects["config"].pop("main")["spec"]
    starting = asyncio.create_task(bed.add_daemon("vm-2", "z1"))
    await asyncio.sleep(0.2)
    vm = bed._running[-1][0]
    caller = await bed.connect(vm)
    opened = asyncio.create_task(caller.ask(f"START own-db {session_bed.KEY}"))
    await asyncio.sleep(0.2)
    assert not opened.done()
    bed.store.put("config", "main", configured)
    assert await opened == ["READY I -"]
    await starting
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE")


async def test_read_that_failed_runs_once_more(bed):
    """An instance that fails a part of its statements costs callers no attempt of theirs; a second failure is told."""
    caller = await bed.caller("primary-db")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].refuse = ["FAILED"]
    assert (await caller.query("READ a1"))[0] == "ROW x"
    bed.service.instances["i-1"].refuse = ["FAILED", "FAILED"]
    assert (await caller.query("READ a1"))[0].startswith("ERR FAILED")


async def test_write_that_a_busy_primary_refused_is_offered_again(bed):
    """An instance that turns a part of its statements away costs callers no attempt of theirs."""
    caller = await bed.caller("primary-db")
    bed.service.instances["i-1"].refuse = ["BUSY"] * 5
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    assert len(runs(bed, "WRITE a1 x")) == 1


async def test_write_that_failed_is_not_sent_again(bed):
    """A failure says that the statement ran."""
    caller = await bed.caller("primary-db")
    bed.service.instances["i-1"].refuse = ["FAILED"]
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR FAILED")
    await caller.query("BEGIN")
    bed.service.instances["i-1"].refuse = ["FAILED"]
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR FAILED")
    assert runs(bed, "WRITE a1 x") == []


async def test_values_follow_the_session_over_connections(bed):
    """A statement runs only where exactly the acknowledged values of its own session are set."""
    first, second = await bed.caller(), await bed.caller()
    await first.query("SET lang el")
    await second.query("SET lang es")
    await second.query("SET unit kg")
    for _ in range(3):
        await first.query("WRITE a1 x")
        await second.query("WRITE a2 y")
    assert {run.values for run in runs(bed, "WRITE a1 x")} == {(("lang", "el"),)}
    assert {run.values for run in runs(bed, "WRITE a2 y")} == {(("lang", "es"), ("unit", "kg"))}


async def test_prepared_names_of_two_sessions_do_not_collide(bed):
    """Each session's name runs the shape that this session prepared."""
    first, second = await bed.caller(), await bed.caller()
    assert await first.query("PREPARE s1 WRITE shapeA") == ["DONE -", "READY I -"]
    await second.query("PREPARE s1 WRITE shapeB")
    await first.query("EXEC s1 a1 x")
    await second.query("EXEC s1 a1 y")
    await first.query("EXEC s1 a2 z")
    texts = [run.text for run in bed.service.runs]
    assert texts == ["EXEC shapeA a1 x", "EXEC shapeB a1 y", "EXEC shapeA a2 z"]
    await first.query("DEALLOC s1")
    assert (await first.query("EXEC s1 a1 x"))[0].startswith("ERR NOSTMT")


async def test_transaction_commits_once_on_one_connection(bed):
    """The writes of a transaction become one commit."""
    caller = await bed.caller()
    assert await caller.query("BEGIN") == ["DONE -", "READY T -"]
    await caller.query("WRITE a1 x")
    assert (await caller.query("WRITE a2 y"))[-1].startswith("READY T")
    done = await caller.query("COMMIT")
    assert done[0].startswith("DONE i-1.") and done[1].startswith("READY I")
    assert [len(commit.writes) for commit in bed.service.log] == [2]


async def test_rollback_keeps_nothing_and_frees_the_connection(bed):
    """A rolled back write is never committed, and the connection serves the next caller."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    assert await caller.query("ROLLBACK") == ["DONE -", "READY I -"]
    assert (await caller.query("READ a1"))[0] == "ROW none"
    assert bed.service.log == []


async def test_caller_that_leaves_inside_a_transaction_commits_nothing(bed):
    """A broken session rolls back, and its connection does not stay in the transaction."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    caller.close()
    await asyncio.sleep(0.1)
    other = await bed.caller()
    await other.query("WRITE a1 y")
    assert [commit.writes[0][2] for commit in bed.service.log] == ["y"]


async def test_failed_transaction_accepts_only_its_end(bed):
    """After a refused statement the rest of the transaction is malformed, and COMMIT promises that nothing is kept."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].refuse = ["BUSY"]
    assert (await caller.query("WRITE a2 y"))[-1].startswith("READY E")
    assert (await caller.query("WRITE a3 z"))[0].startswith("ERR MALFORMED")
    answer = await caller.query("COMMIT")
    assert answer[0].startswith("ERR ABORTED") and answer[-1].startswith("READY I")
    assert bed.service.log == []


async def test_write_whose_answer_is_lost_is_in_doubt_and_runs_once(bed):
    """A lost answer to a write promises nothing, and the write is not sent again."""
    caller = await bed.caller()
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert len(bed.service.log) == 1


async def test_commit_whose_answer_is_lost_is_in_doubt(bed):
    """A lost answer to COMMIT promises nothing."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("COMMIT"))[0].startswith("ERR INDOUBT")


async def test_read_whose_answer_is_lost_is_served_elsewhere(bed):
    """A read may run twice, so a lost answer costs the caller nothing."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    for instance in bed.service.instances.values():
        instance.lose_answers = 0
    bed.service.instances["i-2"].lose_answers = 1
    bed.service.instances["i-3"].lose_answers = 1
    assert (await caller.query("READ a1"))[0] == "ROW x"


async def test_lost_transaction_before_commit_is_aborted(bed):
    """A connection that breaks before COMMIT rolls back, so the promise that nothing is kept is true."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].lose_answers = 1
    answer = await caller.query("WRITE a2 y")
    assert answer[0].startswith("ERR ABORTED") and answer[-1].startswith("READY E")
    assert bed.service.log == []


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("START nowhere key-of-spinners", "NODB"),
        ("START own-db wrong-key", "NOAUTH"),
        ("START own-db", "NOAUTH"),
        ("QUERY 1 READ a1", "MALFORMED"),
        ("NONSENSE", "MALFORMED"),
        ("", "MALFORMED"),
    ],
)
async def test_bad_start_is_refused_and_closed(bed, line, code):
    """A session without a known database and key ends with a reason, and nothing runs."""
    caller = await bed.connect()
    answer = await caller.ask(line)
    assert answer[0].split(" ")[:2] == ["ERR", code]
    assert await caller.reader.read() == b""
    assert bed.service.runs == []


@pytest.mark.parametrize("text", ["DROP a1", "READ", "WRITE", "READ a b", "PREPARE s1 BOTH x", "begin", "EXEC s1"])
async def test_unknown_statement_is_malformed_and_the_session_goes_on(bed, text):
    """A statement that is not of the protocol reaches no instance."""
    caller = await bed.caller()
    answer = await caller.query(text)
    assert answer[0].startswith("ERR MALFORMED") and answer[-1] == "READY I -"
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    assert len(bed.service.runs) == 1


async def test_message_over_the_limit_is_refused(bed):
    """A message over 1 MiB is answered TOOLARGE and the session ends."""
    caller = await bed.caller()
    caller.writer.write(b"QUERY 1 WRITE a1 " + b"x" * 1024 * 1024)
    assert (await caller.answer())[0].startswith("ERR TOOLARGE")


async def test_message_cut_anywhere_is_answered_once(bed):
    """A message that arrives byte by byte is one message."""
    caller = await bed.caller()
    for byte in b"QUERY 77 WRITE a1 x\r\n":
        caller.writer.write(bytes([byte]))
        await caller.writer.drain()
        await asyncio.sleep(0)
    assert (await caller.answer())[0].startswith("DONE i-1.77.")
    assert len(bed.service.log) == 1


async def test_withdrawn_key_is_refused_on_an_open_session(bed):
    """A key that the new configuration lacks stops working on connected callers."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    changed = session_bed.configuration(2)
    changed["tenants"][0]["apiKeys"] = ["another"]
    bed.store.put("config", "main", changed)
    await asyncio.sleep(0.2)
    assert (await caller.query("WRITE a1 y"))[0].startswith("ERR NOAUTH")
    assert len(bed.service.log) == 1


async def test_statements_of_another_organisation_use_another_connection(bed):
    """Instances are told the organisation's name, never the key."""
    first, second = await bed.caller(), await bed.caller(key="key-of-dyers")
    await first.query("WRITE a1 x")
    await second.query("WRITE a2 y")
    assert [run.organisation for run in bed.service.runs] == ["spinners", "dyers"]


async def test_request_that_arrived_before_the_close_is_answered(bed):
    """A planned stop answers a request that already lies in the session's buffer (LOST on trouble-2)."""
    caller = await bed.caller()
    (served,) = bed.daemon.sessions
    caller.writer.write(b"QUERY 9 WRITE a1 x\r\n")
    while not served._reader._buffer:
        await asyncio.sleep(0)
        if bed.service.runs:
            break
    served.close_when_idle()
    assert (await caller.answer())[0].startswith("DONE i-1.9.")
    assert await caller.reader.read() == b""


async def test_transaction_may_end_after_the_order_to_stop(bed):
    """A session in a transaction is closed only after its end."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    (served,) = bed.daemon.sessions
    served.close_when_idle()
    assert (await caller.query("COMMIT"))[0].startswith("DONE i-1")
    assert await caller.reader.read() == b""


async def test_transaction_is_aborted_when_time_to_stop_runs_out(bed):
    """A transaction that is still open after half of the grace time fails with its next statement."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    (served,) = bed.daemon.sessions
    served.abort_transaction()
    assert (await caller.query("WRITE a2 y"))[0].startswith("ERR ABORTED")
    assert bed.service.log == []


async def test_start_of_a_transaction_does_not_hide_stuck_commits(bed):
    """A primary without replicas still answers BEGIN; unanswered commits must be noticed all the same."""
    caller, other = await bed.caller(), await bed.caller()
    for name in ("i-2", "i-3"):
        bed.service.instances[name].held_term = 9
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert bed.daemon.fleet.get("i-1").stuck_since is not None
    await other.query("BEGIN")
    await other.query("READ a1")
    assert bed.daemon.fleet.get("i-1").stuck_since is not None
