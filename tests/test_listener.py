"""Tests of the HTTP server with malformed requests, slow clients and many connections."""

import asyncio
import contextlib
import http.client
import json
import socket
import threading
import time

import pytest
from cherrypy import _cptree

from currantlead import errors
from currantlead.http_api import server
from tests import rates

KEY = "a-secret-key-of-a-caller"
OPERATOR_KEY = "the-operator-key"


class Servers:
    """HTTP servers with two worker threads, and the event loop of their proxy."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self.proxy = rates.EchoProxy()
        self.http = server.HttpServers(
            self.proxy,
            server.coroutine_runner(self.loop),
            operator_key_digest=rates.digest(OPERATOR_KEY),
            command=run_command,
            threads=2,
            client_timeout_s=0.6,
            request_timeout_s=5.0,
            tree=_cptree.Tree(),
        )
        self.http.start()
        self.http.mark_ready()

    def close(self):
        """Stop the servers and the event loop."""
        self.http.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def connect(self, address=None):
        """Open a connection, to the caller port by default."""
        return socket.create_connection(address or self.http.address, timeout=5)


def run_command(text):
    """Reject the text ``bad``; return any other text as a row."""
    if text == "bad":
        raise errors.CommandError("unknown command", line=1, column=2)
    return {"columns": ["text"], "rows": [[text]]}


@pytest.fixture(scope="module")
def shared_servers():
    """Run servers that the tests of this module share."""
    new_servers = Servers()
    yield new_servers
    new_servers.close()


@pytest.fixture
def servers(shared_servers):
    """Return the shared servers with the recorded requests cleared."""
    shared_servers.proxy.requests.clear()
    return shared_servers


@pytest.fixture
def disposable_servers():
    """Run servers for a test that stops them."""
    new_servers = Servers()
    yield new_servers
    new_servers.close()


def build_request(value, *headers, path="/v1/databases/ledger/statements", method="POST", version="1.1"):
    """Return the bytes of a request that runs a statement with one parameter."""
    body = json.dumps({"sql": "select ?", "params": [value], "access": "read"})
    lines = [f"{method} {path} HTTP/{version}", "Host: x", f"Authorization: Bearer {KEY}", *headers]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", body]).encode()


def read_response(connection, buffer=b""):
    """Read one response; return its status, headers and body, and the bytes after it."""
    while b"\r\n\r\n" not in buffer:
        received = connection.recv(65536)
        if not received:
            return 0, "", {}, b""
        buffer += received
    head, _, rest = buffer.partition(b"\r\n\r\n")
    text = head.decode().lower()
    length = int(text.partition("content-length: ")[2].partition("\r\n")[0])
    while len(rest) < length:
        rest += connection.recv(65536)
    body = rest[:length]
    return int(head.split()[1]), text, json.loads(body) if body[:1] == b"{" else body, rest[length:]


def test_pipelined_requests_get_matching_responses(servers):
    """Guards against a response that answers another request on the same connection."""
    with servers.connect() as connection:
        connection.sendall(b"".join(build_request(number) for number in range(20)))
        rest = b""
        for number in range(20):
            status, _, body, rest = read_response(connection, rest)
            assert (status, body["rows"]) == (200, [[number]])


def test_concurrent_connections_get_matching_responses(servers):
    """Guards against a response that is sent on another connection."""
    connections = [servers.connect() for _ in range(40)]
    for repeat in range(3):
        for number, connection in enumerate(connections):
            connection.sendall(build_request(number * 10 + repeat))
        for number, connection in enumerate(connections):
            assert read_response(connection)[2]["rows"] == [[number * 10 + repeat]]
    for connection in connections:
        connection.close()


SMUGGLED_REQUEST = build_request(99)
AMBIGUOUS_REQUESTS = [
    (build_request(1, "Content-Length: 3"), "Content-Length: header is repeated"),
    (build_request(1, "Transfer-Encoding: chunked") + SMUGGLED_REQUEST, "Transfer-Encoding:"),
    (build_request(1, "Transfer-Encoding: identity") + SMUGGLED_REQUEST, "Transfer-Encoding:"),
    (build_request(1, f"Authorization: Bearer {KEY}2"), "Authorization: header is repeated"),
    (
        build_request(1, "Currantlead-Session: v1:", "Currantlead-Session: v1:"),
        "Currantlead-Session: header is repeated",
    ),
    (build_request(1, "Idempotency-Key: a", "Idempotency-Key: b"), "Idempotency-Key: header is repeated"),
    (build_request(1, " folded"), "Authorization: header is repeated"),
    (b"nonsense\r\n\r\n", "Malformed Request-Line"),
    (build_request(1, "no colon"), "Illegal header line."),
]


@pytest.mark.parametrize(("data", "detail"), AMBIGUOUS_REQUESTS)
def test_ambiguous_request_is_rejected_and_connection_closed(servers, data, detail):
    """Guards against request smuggling: the rest of a request must not run as another request."""
    with servers.connect() as connection:
        connection.sendall(data)
        status, head, body, rest = read_response(connection)
        assert (status, body["verdict"], body["detail"][: len(detail)]) == (400, "not_run", detail)
        assert "connection: close" in head and KEY not in str(body)
        assert rest == b"" and connection.recv(10) == b""
    assert servers.proxy.requests == []


def test_underscore_header_is_not_a_session_token(servers):
    """Guards against a header with an underscore that WSGI maps to the name of another header."""
    with servers.connect() as connection:
        connection.sendall(build_request(1, "Currantlead_Session: v1:ledger.9.9"))
        assert read_response(connection)[0] == 200
    assert servers.proxy.requests[0].session == {}


@pytest.mark.parametrize("cut", [30, 120, len(build_request(1)) - 1])
def test_truncated_request_is_not_run(servers, cut):
    """Guards against running a request whose body is truncated."""
    with servers.connect() as connection:
        connection.sendall(build_request(1)[:cut])
        connection.shutdown(socket.SHUT_WR)
        status, _, body, _ = read_response(connection)
        assert status in (0, 400) and body.get("verdict", "not_run") == "not_run"
    assert servers.proxy.requests == []


def test_silent_and_slow_clients_do_not_block_worker_threads(servers):
    """Guards against clients that block the server by sending nothing, or one byte at a time."""
    silent = [servers.connect() for _ in range(20)]
    started = time.monotonic()
    with servers.connect() as connection:
        connection.sendall(build_request(1))
        assert read_response(connection)[0] == 200
    assert time.monotonic() - started < 0.5
    slow = [servers.connect() for _ in range(2)]
    for _ in range(4):
        for connection in slow:
            connection.sendall(b"P")
        time.sleep(0.05)
    with servers.connect() as connection:
        connection.sendall(build_request(2))
        for _ in range(12):
            time.sleep(0.05)
            for slow_connection in slow:
                # The server closes the slow connections during this loop.
                with contextlib.suppress(OSError):
                    slow_connection.sendall(b"P")
        assert read_response(connection)[0] == 200
    for connection in silent + slow:
        connection.close()


def test_health_metrics_and_head(servers):
    """Guards against a wrong state, and against a body in a HEAD response, which clients read as the next response."""
    with servers.connect() as connection:
        for state in (server.State.STARTING, server.State.READY):
            servers.http.state = state
            connection.sendall(build_request(1, path="/health", method="GET"))
            status, _, body, _ = read_response(connection)
            assert (status, body) == (200 if state is server.State.READY else 503, state.value.encode())
        connection.sendall(build_request(1, path="/metrics", method="GET"))
        assert b"currantlead_requests_total" in read_response(connection)[2]
        connection.sendall(build_request(1, method="HEAD"))
        data = b""
        while received := connection.recv(4096):
            data += received
        assert data.startswith(b"HTTP/1.1 405") and data.endswith(b"\r\n\r\n")


def test_leaving_closes_connections_and_waits_for_requests(disposable_servers):
    """Guards against a planned stop that aborts requests in progress."""
    servers = disposable_servers
    servers.proxy.delay_s = 0.3
    with servers.connect() as idle, servers.connect() as busy, servers.connect() as late:
        idle.sendall(build_request(1))
        assert "connection: close" not in read_response(idle)[1]
        busy.sendall(build_request(2))
        time.sleep(0.1)
        servers.http.mark_leaving()
        idle.sendall(build_request(3))
        late.sendall(build_request(4))
        stopping = threading.Thread(target=servers.http.stop)
        stopping.start()
        for connection, value in ((busy, 2), (idle, 3), (late, 4)):
            status, head, body, _ = read_response(connection)
            assert (status, body["rows"]) == (200, [[value]])
            assert "connection: close" in head and connection.recv(10) == b""
        stopping.join()
    with pytest.raises(OSError):
        servers.connect()


OPERATOR_REQUESTS = [
    ("POST", "/operators/commands", OPERATOR_KEY, '{"text": "show"}', 200, "rows"),
    ("POST", "/operators/commands", OPERATOR_KEY, '{"text": "bad"}', 400, "column"),
    ("POST", "/operators/commands", OPERATOR_KEY, '{"txt": "show"}', 400, "error"),
    ("POST", "/operators/commands", KEY, '{"text": "show"}', 401, "error"),
    ("POST", "/operators/commands", "", '{"text": "show"}', 401, "error"),
    ("GET", "/operators/commands", OPERATOR_KEY, "", 405, "error"),
    ("POST", "/operators/other", OPERATOR_KEY, "", 404, "error"),
    ("POST", "/v1/databases/ledger/statements", OPERATOR_KEY, "{}", 404, ""),
]


@pytest.mark.parametrize(("method", "path", "key", "body", "status", "field"), OPERATOR_REQUESTS)
def test_operator_port(servers, method, path, key, body, status, field):
    """Guards against commands that run without the operator key, and against caller routes on the operator port."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    with servers.connect(servers.http.operator_address) as connection:
        connection.sendall(head.encode() + body.encode())
        found_status, _, fields, _ = read_response(connection)
    assert found_status == status and (not field or field in fields)


def test_caller_port_does_not_serve_operator_routes(servers):
    """Guards against operator commands that are reachable on the caller port."""
    with servers.connect() as connection:
        connection.sendall(build_request(1, path="/operators/commands"))
        assert read_response(connection)[0] == 404


def test_keep_alive_limit_is_applied():
    """Guards against a limit without effect: connections beyond it must close after their response."""
    loop = asyncio.new_event_loop()
    http_servers = server.HttpServers(
        rates.EchoProxy(), server.coroutine_runner(loop), tree=_cptree.Tree(), threads=4, connections=1
    )
    http_servers.start()
    http_servers.mark_ready()
    open_connections = [http.client.HTTPConnection(*http_servers.address, timeout=5) for _ in range(3)]
    closed = []
    for connection in open_connections:
        connection.request("GET", "/health")
        answer = connection.getresponse()
        answer.read()
        closed.append(answer.getheader("Connection") == "close")
    for connection in open_connections:
        connection.close()
    http_servers.stop()
    loop.close()
    assert not closed[0] and closed[-1]
