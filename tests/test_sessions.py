"""Caller sessions against stand-in instances: session values, prepared statements, transactions, freshness, errors."""

import asyncio

import pytest

from tests import session_bed


@pytest.fixture
async def bed():
    """Provide a daemon and one service with three instances."""
    async with session_bed.Bed() as started:
        yield started


def runs_of(bed, text):
    """Return the executions of a statement text on any instance."""
    return [run for run in bed.service.runs if run.text == text]


async def test_write_and_read_return_the_signature_of_the_instance(bed):
    """A successful response carries the rows and the signature of the instance that ran the statement."""
    caller = await bed.caller()
    response = await caller.query("WRITE a1 wool")
    assert response[0].startswith("DONE i-1.") and response[1] == "READY I 1.1"
    rows = await caller.query("READ a1")
    assert rows[0] == "ROW wool" and rows[1].startswith("DONE i-") and rows[2].startswith("READY I")


async def test_session_reads_its_own_write_when_replicas_lag(bed):
    """A read after the session's own commit never runs on an instance that has not applied that commit."""
    bed.service.lag_s = {"i-2": 30.0, "i-3": 30.0}
    caller = await bed.caller()
    for number in range(5):
        await caller.query(f"WRITE a1 v{number}")
        assert (await caller.query("READ a1"))[0] == f"ROW v{number}"


async def test_bounded_read_sees_commits_older_than_the_staleness_bound(bed):
    """A bounded read runs on an instance that has every commit acknowledged before the staleness bound."""
    bed.service.lag_s = {"i-2": 30.0, "i-3": 30.0}
    writer, reader = await bed.caller("own-db"), await bed.caller("bounded-db")
    await writer.query("WRITE a1 old")
    await asyncio.sleep(1.6)
    await writer.query("WRITE a2 other")
    assert (await reader.query("READ a1"))[0] == "ROW old"


async def test_read_on_a_primary_route_is_refused_by_a_former_primary(bed):
    """A former primary still answers plain reads, so the read must verify that the instance is the primary."""
    caller = await bed.caller("primary-db")
    await caller.query("WRITE a1 first")
    # The entries still name the former primary.
    bed.service.on_role_change = lambda: None
    bed.service.promote("i-2")
    bed.service.runs.clear()
    assert (await caller.query("READ a1"))[0].startswith("ERR READONLY")
    assert bed.service.runs == []
    bed.register_instance("i-2")
    await asyncio.sleep(0.1)
    assert (await caller.query("READ a1"))[0] == "ROW first"
    assert [run.instance for run in bed.service.runs] == ["i-2"]


async def test_session_start_waits_for_the_configuration(bed):
    """A VM that is still starting lets its first callers wait instead of refusing them."""
    configuration = bed.store.objects["config"]["main"]["spec"]
    # Deleted rather than hidden, because a starting VM gets the copy of the first one, which is its relay.
    bed.store.delete("config", "main")
    startup = asyncio.create_task(bed.add_daemon("vm-2", "z1"))
    # Two servers answer HTTP, and the third one accepts sessions.
    await session_bed.wait_until(lambda: len(bed._running) == 2 and len(bed._running[-1][0]._servers) == 3)
    vm = bed._running[-1][0]
    caller = await bed.connect(vm)
    session_start = asyncio.create_task(caller.request(f"START own-db {session_bed.KEY}"))
    await asyncio.sleep(0.2)
    assert not session_start.done()
    bed.store.put("config", "main", configuration)
    assert await session_start == ["READY I -"]
    await startup
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE")


async def test_failed_read_is_retried_once(bed):
    """A read that fails on an instance is retried transparently; a second failure is reported to the caller."""
    caller = await bed.caller("primary-db")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].error_codes = ["FAILED"]
    assert (await caller.query("READ a1"))[0] == "ROW x"
    bed.service.instances["i-1"].error_codes = ["FAILED", "FAILED"]
    assert (await caller.query("READ a1"))[0].startswith("ERR FAILED")


async def test_write_refused_as_busy_is_retried(bed):
    """A write that the primary refuses as busy is retried without an error to the caller, and runs once."""
    caller = await bed.caller("primary-db")
    bed.service.instances["i-1"].error_codes = ["BUSY"] * 5
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    assert len(runs_of(bed, "WRITE a1 x")) == 1


async def test_failed_write_is_not_retried(bed):
    """The error FAILED means that the statement ran, so a write must not be sent again."""
    caller = await bed.caller("primary-db")
    bed.service.instances["i-1"].error_codes = ["FAILED"]
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR FAILED")
    await caller.query("BEGIN")
    bed.service.instances["i-1"].error_codes = ["FAILED"]
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR FAILED")
    assert runs_of(bed, "WRITE a1 x") == []


async def test_session_values_are_set_on_every_connection(bed):
    """A statement runs only on a connection that has exactly the session values of its own session."""
    first, second = await bed.caller(), await bed.caller()
    await first.query("SET lang el")
    await second.query("SET lang es")
    await second.query("SET unit kg")
    for _ in range(3):
        await first.query("WRITE a1 x")
        await second.query("WRITE a2 y")
    assert {run.values for run in runs_of(bed, "WRITE a1 x")} == {(("lang", "el"),)}
    assert {run.values for run in runs_of(bed, "WRITE a2 y")} == {(("lang", "es"), ("unit", "kg"))}


async def test_prepared_statement_names_are_local_to_a_session(bed):
    """The same name in two sessions executes the shape that each session prepared."""
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
    """All writes of a transaction form a single commit."""
    caller = await bed.caller()
    assert await caller.query("BEGIN") == ["DONE -", "READY T -"]
    await caller.query("WRITE a1 x")
    assert (await caller.query("WRITE a2 y"))[-1].startswith("READY T")
    response = await caller.query("COMMIT")
    assert response[0].startswith("DONE i-1.") and response[1].startswith("READY I")
    assert [len(commit.writes) for commit in bed.service.log] == [2]


async def test_rollback_discards_writes_and_releases_the_connection(bed):
    """A rolled back write is never committed, and the connection can be reused."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    assert await caller.query("ROLLBACK") == ["DONE -", "READY I -"]
    assert (await caller.query("READ a1"))[0] == "ROW none"
    assert bed.service.log == []


async def test_disconnect_inside_a_transaction_rolls_back(bed):
    """If the caller disconnects, its transaction is rolled back and the connection does not stay inside it."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    caller.close()
    await asyncio.sleep(0.1)
    other = await bed.caller()
    await other.query("WRITE a1 y")
    assert [commit.writes[0][2] for commit in bed.service.log] == ["y"]


async def test_failed_transaction_accepts_only_its_end(bed):
    """After a refused statement, further ones are malformed, and COMMIT reports that nothing was committed."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].error_codes = ["BUSY"]
    assert (await caller.query("WRITE a2 y"))[-1].startswith("READY E")
    assert (await caller.query("WRITE a3 z"))[0].startswith("ERR MALFORMED")
    answer = await caller.query("COMMIT")
    assert answer[0].startswith("ERR ABORTED") and answer[-1].startswith("READY I")
    assert bed.service.log == []


async def test_write_with_lost_response_is_in_doubt_and_runs_once(bed):
    """If the response to a write is lost, the outcome is unknown, and the write is not sent again."""
    caller = await bed.caller()
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert len(bed.service.log) == 1


async def test_commit_with_lost_response_is_in_doubt(bed):
    """If the response to COMMIT is lost, the outcome is unknown."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    bed.service.instances["i-1"].lose_answers = 1
    assert (await caller.query("COMMIT"))[0].startswith("ERR INDOUBT")


async def test_read_with_lost_response_is_retried_elsewhere(bed):
    """A read is idempotent, so it is retried on another instance if its response is lost."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    for instance in bed.service.instances.values():
        instance.lose_answers = 0
    bed.service.instances["i-2"].lose_answers = 1
    bed.service.instances["i-3"].lose_answers = 1
    assert (await caller.query("READ a1"))[0] == "ROW x"


async def test_transaction_is_aborted_if_its_connection_breaks(bed):
    """A connection that breaks before COMMIT rolls back, so ABORTED truthfully reports that nothing was committed."""
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
    """A session start without a known database and a valid key gets an error, and the connection is closed."""
    caller = await bed.connect()
    answer = await caller.request(line)
    assert answer[0].split(" ")[:2] == ["ERR", code]
    assert await caller.reader.read() == b""
    assert bed.service.runs == []


@pytest.mark.parametrize("text", ["DROP a1", "READ", "WRITE", "READ a b", "PREPARE s1 BOTH x", "begin", "EXEC s1"])
async def test_invalid_statement_is_refused_and_the_session_continues(bed, text):
    """A statement that the protocol does not define is refused without being sent to an instance."""
    caller = await bed.caller()
    answer = await caller.query(text)
    assert answer[0].startswith("ERR MALFORMED") and answer[-1] == "READY I -"
    assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
    assert len(bed.service.runs) == 1


async def test_message_over_the_limit_is_refused(bed):
    """A message over 1 MiB is answered with TOOLARGE."""
    caller = await bed.caller()
    caller.writer.write(b"QUERY 1 WRITE a1 " + b"x" * 1024 * 1024)
    assert (await caller.read_reply())[0].startswith("ERR TOOLARGE")


async def test_fragmented_message_is_answered_once(bed):
    """A message that arrives byte by byte is processed as one message."""
    caller = await bed.caller()
    for byte in b"QUERY 77 WRITE a1 x\r\n":
        caller.writer.write(bytes([byte]))
        await caller.writer.drain()
        await asyncio.sleep(0)
    assert (await caller.read_reply())[0].startswith("DONE i-1.77.")
    assert len(bed.service.log) == 1


async def test_revoked_key_is_refused_on_an_open_session(bed):
    """After a configuration change that removes a key, open sessions with that key are refused."""
    caller = await bed.caller()
    await caller.query("WRITE a1 x")
    new_configuration = session_bed.configuration(2)
    new_configuration["tenants"][0]["apiKeys"] = ["another"]
    bed.store.put("config", "main", new_configuration)
    await asyncio.sleep(0.2)
    assert (await caller.query("WRITE a1 y"))[0].startswith("ERR NOAUTH")
    assert len(bed.service.log) == 1


async def test_organisations_use_separate_connections(bed):
    """Each organisation's statements run on connections opened under its name, not under the caller's key."""
    first, second = await bed.caller(), await bed.caller(key="key-of-dyers")
    await first.query("WRITE a1 x")
    await second.query("WRITE a2 y")
    assert [run.organisation for run in bed.service.runs] == ["spinners", "dyers"]


async def test_buffered_request_is_answered_on_shutdown(bed):
    """A planned shutdown must not drop a request that is already in the session's read buffer.

    Such a request was lost in the run "trouble-2", which reported it as LOST.
    """
    caller = await bed.caller()
    (session,) = bed.daemon.sessions
    caller.writer.write(b"QUERY 9 WRITE a1 x\r\n")
    while not session._reader._buffer:
        await asyncio.sleep(0)
        if bed.service.runs:
            break
    session.close_when_idle()
    assert (await caller.read_reply())[0].startswith("DONE i-1.9.")
    assert await caller.reader.read() == b""


async def test_open_transaction_can_finish_during_shutdown(bed):
    """A session inside a transaction is closed only after the transaction ends."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    (session,) = bed.daemon.sessions
    session.close_when_idle()
    assert (await caller.query("COMMIT"))[0].startswith("DONE i-1")
    assert await caller.reader.read() == b""


async def test_transaction_is_aborted_late_in_the_shutdown(bed):
    """A transaction that is still open after half of the grace period fails with its next statement."""
    caller = await bed.caller()
    await caller.query("BEGIN")
    await caller.query("WRITE a1 x")
    (session,) = bed.daemon.sessions
    session.abort_transaction()
    assert (await caller.query("WRITE a2 y"))[0].startswith("ERR ABORTED")
    assert bed.service.log == []


async def test_begin_does_not_hide_stuck_commits(bed):
    """A primary without replicas answers BEGIN but no commits; the stuck commits must be detected nevertheless."""
    caller, other = await bed.caller(), await bed.caller()
    for name in ("i-2", "i-3"):
        bed.service.instances[name].paused_term = 9
    assert (await caller.query("WRITE a1 x"))[0].startswith("ERR INDOUBT")
    assert bed.daemon.fleet.get("i-1").stuck_since is not None
    await other.query("BEGIN")
    await other.query("READ a1")
    assert bed.daemon.fleet.get("i-1").stuck_since is not None


async def test_unexpected_error_ends_only_its_session(bed, monkeypatch):
    """A fault while one statement runs closes that session without an answer; all others go on."""
    caller, other = await bed.caller(), await bed.caller()
    run_autocommit = bed.daemon.executor.run_autocommit

    async def fail(context, request_id, statement):
        if "a1" in statement.text:
            raise RuntimeError("fault of a component")
        return await run_autocommit(context, request_id, statement)

    monkeypatch.setattr(bed.daemon.executor, "run_autocommit", fail)
    assert await caller.query("WRITE a1 x") == []
    assert (await other.query("WRITE a2 y"))[0].startswith("DONE i-1")
    assert len(bed.daemon.sessions) == 1
