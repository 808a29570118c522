"""Tests of the endpoint client: each fault in a response must give the correct verdict."""

import pytest

from currantlead import verdict
from currantlead.connections import endpoint
from tests.standins import endpoint as standin

NOT_RUN, MAY_HAVE_RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN
Reason = verdict.Reason


@pytest.fixture
async def primary():
    """A stand-in instance with a table, as the primary of term 1."""
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
    """Return the number of rows, read on a new connection."""
    connection = (await client.open(timeout_s=1)).ok_value
    answer = (await run(connection, "select count(*) from t", write=False)).ok_value
    connection.close()
    return answer.rows[0][0]


@pytest.mark.parametrize(
    ("controls", "reason"),
    [
        ({"lose_answers": 1}, Reason.UNREACHABLE),
        ({"truncate_answers": 1}, Reason.UNREACHABLE),
        ({"cross_answers": 1}, Reason.INTERNAL),
        ({"answer_delay_s": 0.3}, Reason.TIMEOUT),
    ],
)
async def test_unusable_response_is_in_doubt_and_closes_the_connection(primary, controls, reason):
    """Guards against accepting a lost, truncated, mixed-up or late response, and against sending a statement twice."""
    instance, client, connection = primary
    for name, value in controls.items():
        setattr(instance.controls, name, value)
    refusal = (await run(connection, timeout_s=0.1 if "answer_delay_s" in controls else 1)).err_value
    assert (refusal.reason, refusal.verdict) == (reason, MAY_HAVE_RUN)
    assert connection.closed
    second_refusal = (await run(connection)).err_value
    assert (second_refusal.reason, second_refusal.verdict) == (Reason.UNREACHABLE, NOT_RUN)
    instance.controls.answer_delay_s = 0.0
    assert await count(client) == 1


async def test_duplicate_response_is_not_used_for_the_next_request(primary):
    """Guards against using a duplicate response as the response to the next statement."""
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
    """Guards against reporting a refused statement as in doubt, and against closing the connection then."""
    _, client, connection = primary
    refusal = (await run(connection, **call)).err_value
    assert (refusal.reason, refusal.verdict) == (reason, NOT_RUN)
    assert refusal.index == (1 if reason is Reason.BEHIND else None)
    assert connection.usable
    assert await count(client) == 0


async def test_closed_connection_rolls_back_and_stays_closed(primary):
    """Guards against reopening a connection implicitly, whose transaction would be lost."""
    _, client, connection = primary
    assert (await connection.control_transaction("begin", "r1", term=1, timeout_s=1)).is_ok()
    assert (await run(connection)).is_ok()
    connection._connector.protocol.transport.close()
    refusal = (await run(connection)).err_value
    assert (refusal.reason, refusal.verdict) == (Reason.UNREACHABLE, NOT_RUN)
    assert await count(client) == 0


async def test_open_reports_why_it_failed(primary):
    """Guards against giving the same reason for a full, a leaving and an unreachable instance."""
    instance, client, _ = primary
    instance.controls.connections = 1
    reasons = [(await client.open(timeout_s=1)).err_value.reason]
    instance.controls.leaving = True
    reasons.append((await client.open(timeout_s=1)).err_value.reason)
    missing = endpoint.Endpoint("ledger-x", "http://127.0.0.1:1")
    reasons.append((await missing.open(timeout_s=1)).err_value.reason)
    assert reasons == [Reason.NO_CONNECTION, Reason.LEAVING, Reason.UNREACHABLE]
    assert (await missing.status(timeout_s=1)).err_value.verdict is NOT_RUN
    await missing.close()


@pytest.mark.parametrize(
    ("status", "raw"),
    [(200, b"{}"), (200, b'{"term": "1", "index": 1}'), (500, b"oops"), (409, b'{"error": "odd"}'), (409, b"[]")],
)
def test_invalid_response_is_in_doubt(status, raw):
    """Guards against reporting "not run" after a response that does not follow the protocol."""
    assert endpoint._parse_response(status, raw).err_value.verdict is MAY_HAVE_RUN


async def test_request_id_with_line_break_is_refused(primary):
    """Guards against request smuggling by a peer's request id that contains a line break."""
    _, _, connection = primary
    outcome = await connection.execute(
        "r1\r\nX-Peer: other", term=1, sql="select 1", params=(), write=False, organisation="farm", timeout_s=1
    )
    assert (outcome.err_value.reason, outcome.err_value.verdict) == (Reason.MALFORMED, NOT_RUN)
    assert (await run(connection, "select 1", write=False)).is_ok()


async def test_large_responses_and_parameters(primary):
    """Guards against truncating statements or responses that are larger than the socket buffers."""
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
async def test_response_that_is_not_http_is_in_doubt(primary, raw):
    """Guards against reporting "not run" after an incomplete response, and against reusing the connection."""
    instance, _, connection = primary

    async def send_raw(request, response):
        request.transport.write(raw)
        request.transport.close()

    instance._send_with_faults = send_raw
    refusal = (await run(connection, timeout_s=1)).err_value
    assert refusal.verdict is MAY_HAVE_RUN
    assert connection.closed
