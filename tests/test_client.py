"""Tests of the client library against a scripted server."""

import json
import socket
import threading

import pytest

from currantlead import client, verdict

OK = {"verdict": "completed", "columns": ["a"], "rows": [[1]], "changed": 0, "request": "r"}


def refusal(kind, reason):
    """Return the body of a refusal."""
    return {"verdict": kind, "reason": reason, "detail": "d", "request": "r"}


def reply(status, body, *headers):
    """Return the bytes of an HTTP response."""
    raw = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(raw)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + raw


NOT_RUN = reply(503, refusal("not_run", "no_primary"))
OVER_RATE = reply(429, refusal("not_run", "over_rate"), "Retry-After: 2")
MAY_HAVE_RUN = reply(504, refusal("may_have_run", "timeout"))
BAD = reply(400, refusal("not_run", "malformed"))
DONE = reply(200, OK, "Currantlead-Session: v1:ledger.1.5")
TRUNCATED = DONE[:-3]
NO_RESPONSE = b""


class ScriptedServer:
    """Server that sends a prepared response to each request, then closes the connection."""

    def __init__(self, responses):
        self.requests = []
        self._responses = list(responses)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(5)
        self.url = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        for response in self._responses:
            connection, _ = self._socket.accept()
            data = b""
            while b"\r\n\r\n" not in data or not data.endswith(b"}"):
                data += connection.recv(65536)
            self.requests.append(data.decode())
            connection.sendall(response.replace(b" X\r\n", b" X\r\nConnection: close\r\n"))
            connection.close()

    def close(self):
        """Wait until all prepared responses are sent."""
        self._thread.join()
        self._socket.close()


def run(responses, call):
    """Run a call against a scripted server; return its result or error, the requests, the delays and the client."""
    scripted_server, delays = ScriptedServer(responses), []
    session = client.Client(scripted_server.url, "the-secret-key", timeout_s=5, sleep=delays.append)
    try:
        outcome = call(session)
    except client.RefusedError as error:
        outcome = error
    scripted_server.close()
    return outcome, scripted_server.requests, delays, session


def read(session):
    """Run a read."""
    return session.read("ledger", "select 1")


def write(session):
    """Run a write without an idempotency key."""
    return session.write("ledger", "insert")


def write_with_key(session):
    """Run a write with an idempotency key."""
    return session.write("ledger", "insert", idempotency_key="k1")


@pytest.mark.parametrize(
    ("call", "responses", "completes"),
    [
        (write, [NOT_RUN, OVER_RATE, DONE], True),
        (write, [MAY_HAVE_RUN], False),
        (write, [NO_RESPONSE], False),
        (write, [TRUNCATED], False),
        (write, [BAD], False),
        (write, [reply(429, refusal("not_run", "over_rate"), "Retry-After: 60")], False),
        (write, [reply(503, {"verdict": "unknown"})], False),
        (read, [MAY_HAVE_RUN, NO_RESPONSE, TRUNCATED, DONE], True),
        (read, [NOT_RUN] * 4, False),
        (read, [BAD], False),
        (write_with_key, [NO_RESPONSE, MAY_HAVE_RUN, DONE], True),
    ],
)
def test_only_safe_requests_are_retried(call, responses, completes):
    """Guards against a retry that could run a write twice, and against endless retries."""
    outcome, requests, delays, _ = run(responses, call)
    assert isinstance(outcome, client.Answer) == completes
    assert len(requests) == len(responses) and len(delays) == len(responses) - 1
    if call is write_with_key:
        assert all("Idempotency-Key: k1" in request for request in requests)


def test_retry_after_is_honoured_and_session_advances():
    """Guards against a retry before the time in Retry-After, and against a lost or outdated session token."""

    def call(session):
        write(session)
        return read(session)

    _, requests, delays, session = run([OVER_RATE, DONE, reply(200, OK, "Currantlead-Session: v1:ledger.1.3")], call)
    assert 2.0 <= delays[0] <= 2.5
    assert "Currantlead-Session: v1:ledger.1.5" in requests[2]
    assert session.session == "v1:ledger.1.5"


def test_refused_connection_is_reported_as_not_run():
    """Guards against reporting a request as possibly run although no connection was established."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    with pytest.raises(client.RefusedError) as raised:
        write(client.Client(f"http://127.0.0.1:{port}", "the-secret-key", attempts=2, sleep=lambda seconds: None))
    assert raised.value.refusal.verdict is verdict.Verdict.NOT_RUN
    assert "the-secret-key" not in str(raised.value)
