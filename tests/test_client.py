"""Tests of the caller library against a scripted server."""

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
    """Return the bytes of an answer."""
    raw = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(raw)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + raw


NOT_RUN = reply(503, refusal("not_run", "no_primary"))
OVER_RATE = reply(429, refusal("not_run", "over_rate"), "Retry-After: 2")
MAY_HAVE_RUN = reply(504, refusal("may_have_run", "timeout"))
BAD = reply(400, refusal("not_run", "malformed"))
DONE = reply(200, OK, "Currantlead-Session: v1:ledger.1.5")
CUT = DONE[:-3]
LOST = b""


class Script:
    """Give one prepared answer to each request, then close the connection."""

    def __init__(self, answers):
        self.requests = []
        self._answers = list(answers)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(5)
        self.url = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        for answer in self._answers:
            connection, _ = self._socket.accept()
            data = b""
            while b"\r\n\r\n" not in data or not data.endswith(b"}"):
                data += connection.recv(65536)
            self.requests.append(data.decode())
            connection.sendall(answer.replace(b" X\r\n", b" X\r\nConnection: close\r\n"))
            connection.close()

    def close(self):
        """Wait for the end of the script."""
        self._thread.join()
        self._socket.close()


def run(answers, call):
    """Run a call against a script; return its result or error, the requests and the waits."""
    script, waits = Script(answers), []
    session = client.Client(script.url, "the-secret-key", timeout_s=5, sleep=waits.append)
    try:
        found = call(session)
    except client.RefusedError as error:
        found = error
    script.close()
    return found, script.requests, waits, session


def read(session):
    """Read."""
    return session.read("ledger", "select 1")


def write(session):
    """Write without an idempotency key."""
    return session.write("ledger", "insert")


def keyed(session):
    """Write with an idempotency key."""
    return session.write("ledger", "insert", idempotency_key="k1")


@pytest.mark.parametrize(
    ("call", "answers", "completes"),
    [
        (write, [NOT_RUN, OVER_RATE, DONE], True),
        (write, [MAY_HAVE_RUN], False),
        (write, [LOST], False),
        (write, [CUT], False),
        (write, [BAD], False),
        (write, [reply(429, refusal("not_run", "over_rate"), "Retry-After: 60")], False),
        (write, [reply(503, {"verdict": "unknown"})], False),
        (read, [MAY_HAVE_RUN, LOST, CUT, DONE], True),
        (read, [NOT_RUN] * 4, False),
        (read, [BAD], False),
        (keyed, [LOST, MAY_HAVE_RUN, DONE], True),
    ],
)
def test_only_safe_requests_are_repeated(call, answers, completes):
    """Guards against a write that runs twice, and against endless retries."""
    found, requests, waits, _ = run(answers, call)
    assert isinstance(found, client.Answer) == completes
    assert len(requests) == len(answers) and len(waits) == len(answers) - 1
    if call is keyed:
        assert all("Idempotency-Key: k1" in request for request in requests)


def test_retry_after_is_honoured_and_session_is_kept():
    """Guards against a retry before the server's time, and against a lost session token."""

    def call(session):
        write(session)
        return read(session)

    _, requests, waits, session = run([OVER_RATE, DONE, reply(200, OK, "Currantlead-Session: v1:ledger.1.3")], call)
    assert 2.0 <= waits[0] <= 2.5
    assert "Currantlead-Session: v1:ledger.1.5" in requests[2]
    assert session.session == "v1:ledger.1.5"


def test_unreachable_server_is_not_run():
    """Guards against calling a refused connection a possible run."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    with pytest.raises(client.RefusedError) as caught:
        write(client.Client(f"http://127.0.0.1:{port}", "the-secret-key", attempts=2, sleep=lambda seconds: None))
    assert caught.value.refusal.verdict is verdict.Verdict.NOT_RUN
    assert "the-secret-key" not in str(caught.value)
