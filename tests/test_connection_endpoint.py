"""Tests of the endpoint client: each fault of an answer has the right verdict."""

import pytest

from currantlead import verdict
from currantlead.connections import endpoint
from tests.standins import endpoint as standin

NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
Reason = verdict.Reason


@pytest.fixture
async def primary():
    """Run one stand-in as the primary of term 1 with a table."""
    instance = standin.Instance("ledger-a", "ledger")
    await standin.form_group({"ledger-a": await instance.start()}, "ledger-a")
    client = endpoint.Endpoint("ledger-a", instance.url)
    connection = (await client.open(timeout_s=1)).ok_value
    await run(connection, "create table t (x integer primary key)")
    yield instance, client, connection
    connection.close()
    await client.close()
    await instance.stop()


async def run(connection, sql="insert into t values (1)", *, write=True, term=1, timeout_s=0.5, **more):
    """Run one statement."""
    return await connection.execute(
        "r1", term=term, sql=sql, params=(), write=write, organisation="farm", timeout_s=timeout_s, **more
    )


async def count(client):
    """Count rows on a new connection."""
    connection = (await client.open(timeout_s=1)).ok_value
    answer = (await run(connection, "select count(*) from t", write=False)).ok_value
    connection.close()
    return answer.rows[0][0]


@pytest.mark.parametrize(
    ("control", "reason"),
    [
        ({"lose_answers": 1}, Reason.UNREACHABLE),
        ({"truncate_answers": 1}, Reason.UNREACHABLE),
        ({"cross_answers": 1}, Reason.INTERNAL),
        ({"answer_delay_s": 0.3}, Reason.TIMEOUT),
    ],
)
async def test_unusable_answer_may_have_run_and_closes(primary, control, reason):
    """A lost, truncated, crossed or late answer is never taken as complete, and nothing is sent again."""
    instance, client, connection = primary
    for name, value in control.items():
        setattr(instance.controls, name, value)
    refusal = (await run(connection, timeout_s=0.1 if "answer_delay_s" in control else 1)).err_value
    assert (refusal.reason, refusal.verdict) == (reason, MAY_HAVE_RUN)
    assert connection.closed
    again = (await run(connection)).err_value
    assert (again.reason, again.verdict) == (Reason.UNREACHABLE, NOT_RUN)
    instance.controls.answer_delay_s = 0.0
    assert await count(client) == 1


async def test_duplicated_answer_is_not_taken_by_next_request(primary):
    """A duplicate that arrives first is not taken as the answer of the next statement."""
    instance, client, connection = primary
    instance.controls.duplicate_answers = 1
    first = await run(connection, "insert into t values (7)")
    assert first.is_ok() or first.err_value.verdict is MAY_HAVE_RUN
    second = await run(connection, "select 42", write=False)
    assert second.is_err() or second.ok_value.rows == ((42,),)
    assert await count(client) == 1


@pytest.mark.parametrize(
    ("call", "reason"),
    [
        ({"term": 9}, Reason.STALE_TERM),
        ({"sql": "insert into missing values (1)"}, Reason.SQL_ERROR),
        ({"sql": "commit"}, Reason.SQL_ERROR),
        ({"sql": "insert into t values (1)", "write": False}, Reason.SQL_ERROR),
        ({"sql": "select 1", "write": False, "min_index": 99}, Reason.BEHIND),
        ({"sql": "select 1", "write": False, "min_time": 1e12}, Reason.BEHIND),
    ],
)
async def test_refusal_before_execution_is_not_run(primary, call, reason):
    """A refusal of the instance is evidence that nothing ran, and the connection stays usable."""
    _, client, connection = primary
    refusal = (await run(connection, **call)).err_value
    assert (refusal.reason, refusal.verdict) == (reason, NOT_RUN)
    assert refusal.index == (1 if reason is Reason.BEHIND else None)
    assert connection.usable
    assert await count(client) == 0


async def test_closed_connection_rolls_back_and_stays_closed(primary):
    """A connection is not opened silently again, because its transaction is gone."""
    _, client, connection = primary
    assert (await connection.control("begin", "r1", term=1, timeout_s=1)).is_ok()
    assert (await run(connection)).is_ok()
    connection._connector.protocol.transport.close()
    refusal = (await run(connection)).err_value
    assert (refusal.reason, refusal.verdict) == (Reason.UNREACHABLE, NOT_RUN)
    assert await count(client) == 0


async def test_open_states_why_there_is_no_connection(primary):
    """A full, a leaving and a missing instance are told apart; none of them ran anything."""
    instance, client, _ = primary
    instance.controls.connections = 1
    reasons = [(await client.open(timeout_s=1)).err_value.reason]
    instance.controls.leaving = True
    reasons.append((await client.open(timeout_s=1)).err_value.reason)
    nobody = endpoint.Endpoint("ledger-x", "http://127.0.0.1:1")
    reasons.append((await nobody.open(timeout_s=1)).err_value.reason)
    assert reasons == [Reason.NO_CONNECTION, Reason.LEAVING, Reason.UNREACHABLE]
    assert (await nobody.status(timeout_s=1)).err_value.verdict is NOT_RUN
    await nobody.close()


@pytest.mark.parametrize(
    ("status", "raw"),
    [(200, b"{}"), (200, b'{"term": "1", "index": 1}'), (500, b"oops"), (409, b'{"error": "odd"}'), (409, b"[]")],
)
def test_unknown_answer_is_in_doubt(status, raw):
    """An answer outside the interface is no evidence that nothing ran."""
    assert endpoint._parse_response(status, raw).err_value.verdict is MAY_HAVE_RUN


async def test_request_id_cannot_end_its_header(primary):
    """A request id of a peer that holds a line break is refused and does not add a second request to the stream."""
    _, _, connection = primary
    outcome = await connection.execute(
        "r1\r\nX-Peer: other", term=1, sql="select 1", params=(), write=False, organisation="farm", timeout_s=1
    )
    assert (outcome.err_value.reason, outcome.err_value.verdict) == (Reason.MALFORMED, NOT_RUN)
    assert (await run(connection, "select 1", write=False)).is_ok()


async def test_connection_takes_large_answers_and_parameters(primary):
    """A statement and an answer larger than the socket buffers are complete, and the connection stays usable."""
    _, _, connection = primary
    text = "x" * 900_000
    answer = await connection.execute(
        "r1", term=1, sql="select ?", params=(text,), write=False, organisation="farm", timeout_s=5
    )
    assert answer.ok_value.rows == ((text,),)
    assert connection.usable


@pytest.mark.parametrize(
    "raw",
    [
        b"no http at all\r\n\r\n",
        b"HTTP/1.1 302 Found\r\nLocation: /execute\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\n\r\n{}",
    ],
)
async def test_answer_outside_http_is_in_doubt(primary, raw):
    """Bytes that are no complete answer leave the statement in doubt and close the connection."""
    instance, _, connection = primary

    async def spoil(request, response):
        request.transport.write(raw)
        request.transport.close()

    instance._spoil = spoil
    refusal = (await run(connection, timeout_s=1)).err_value
    assert refusal.verdict is MAY_HAVE_RUN
    assert connection.closed
