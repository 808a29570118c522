"""Adapt cheroot's server to many idle connections, slow clients and unambiguous requests."""

import contextlib
import io
import json
import os
import select
import socket
import time
from typing import Any

from cheroot import connections, server, wsgi

from currantlead import logs, verdict
from currantlead.border import streams

KEEP_ALIVE_CONNECTIONS = 8192
"""cheroot keeps 10 connections by default; a VM serves 2,667, and twice that when half of the VMs fail."""
MAX_HEADER = 16_384
"""Longest accepted request line plus headers in bytes; a session token takes up to 4,096."""

_SINGLE = frozenset(
    {b"Authorization", b"Content-Length", b"Currantlead-Session", b"Host", b"Idempotency-Key", b"Transfer-Encoding"}
)
_log = logs.part("border")


class _UniqueHeaders(dict[bytes, bytes]):
    """Refuse repeated headers: by keeping the last one, cheroot would drop a session token or a length."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name in _SINGLE:
            raise ValueError(f"{name.decode('ascii')}: is repeated")
        super().__setitem__(name, value)


class _HeaderReader(server.HeaderReader):
    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        headers = super().__call__(rfile, _UniqueHeaders())
        length = headers.get(b"Content-Length")
        # int() would also accept a sign, spaces and underscores, which other HTTP parsers on the path read differently.
        if length is not None and not length.isdigit():
            raise ValueError("Content-Length: is not a number")
        # The body's end must be certain, or its rest would be taken for the next request.
        if b"Transfer-Encoding" in headers:
            raise ValueError("Transfer-Encoding: is not accepted; send Content-Length")
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict

    def _allow_header(self, key_name: bytes) -> bool:
        # WSGI maps "Currantlead_Session" and "Currantlead-Session" to one name.
        return b"_" not in key_name


class _Request(server.HTTPRequest):
    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Read the request line and the headers, within one deadline."""
        self.conn.start_deadline()
        super().parse_request()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a fault found by cheroot in the form of a refusal, and close the connection."""
        reason, kind = _classify(status)
        number = os.urandom(12).hex()
        text = {"verdict": kind.value, "reason": reason.value, "detail": msg or status[4:], "request": number}
        body = json.dumps(text).encode()
        self.close_connection = True
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("ascii") + body)

    def send_headers(self) -> None:
        """Close the connection if the application says so; cheroot only repeats the header."""
        if (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        # Gives the client a full period to take the answer, whatever the proxy needed.
        self.conn.start_deadline()
        self.conn.wfile.hold()
        super().send_headers()

    def respond(self) -> None:
        """Answer; the head of an answer without a body is sent at the end."""
        try:
            super().respond()
        finally:
            self.conn.wfile.release()


def _classify(status: str) -> tuple[verdict.Reason, verdict.Verdict]:
    if status.startswith("500"):
        return verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN
    if status.startswith("408"):
        return verdict.Reason.TIMEOUT, verdict.Verdict.NOT_RUN
    if status.startswith(("413", "414")):
        return verdict.Reason.TOO_LARGE, verdict.Verdict.NOT_RUN
    return verdict.Reason.MALFORMED, verdict.Verdict.NOT_RUN


class _Connection(server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, httpserver: Any, sock: socket.socket, make: Any = None):
        self._deadline = time.monotonic() + httpserver.timeout
        super().__init__(httpserver, sock, self._make)

    def start_deadline(self) -> None:
        """Give the next transfer the server's timeout."""
        self._deadline = time.monotonic() + self.server.timeout

    def apply_deadline(self) -> None:
        """Limit the next socket call to the time left."""
        left = self._deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("timed out")
        self.socket.settimeout(left)

    def _make(self, sock: socket.socket, mode: str, bufsize: int = io.DEFAULT_BUFFER_SIZE) -> Any:
        raw = streams.DeadlineSocket(sock, mode, self.apply_deadline)
        return streams.Reader(raw, bufsize) if "r" in mode else streams.Writer(raw)


class _Connections(connections.ConnectionManager):
    """Wait for the first bytes of a new connection in the selector.

    cheroot gives a new connection to a worker thread at once, so as many silent connections as there are threads stop
    the server until they time out.
    """

    def _from_server_socket(self, server_socket: Any) -> Any:
        connection = super()._from_server_socket(server_socket)
        if connection is not None:
            self.put(connection)
        return None

    def take_ready(self) -> list[Any]:
        """Remove and return the connections that have unread bytes, after the loop has stopped."""
        found = [(fd, connection) for fd, connection in self._selector.connections if connection is not self.server]
        poll = select.poll()
        for fd, _ in found:
            poll.register(fd, select.POLLIN)
        ready = {fd for fd, event in poll.poll(0) if event & select.POLLIN}
        for fd in ready:
            self._selector.unregister(fd)
        return [connection for fd, connection in found if fd in ready]


class Listener(wsgi.Server):
    """Serve a WSGI application; requests that have arrived when it stops are still answered."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
    max_request_header_size = MAX_HEADER

    def prepare(self) -> None:
        """Bind the port and start the worker threads."""
        super().prepare()
        self._connections.close()
        self._connections = _Connections(self)

    def stop(self) -> None:
        """Stop accepting, answer what has arrived, then stop the threads."""
        if not self.ready:
            return
        self._connections._stop_requested = True
        # A connection ends the selector's wait of up to half a second.
        with contextlib.suppress(OSError):
            socket.create_connection(self.bind_addr, timeout=1).close()
        self._connections.stop()
        self._accept_pending()
        for connection in self._connections.take_ready():
            self.process_conn(connection)
        super().stop()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a fault of the server; no traceback, because it may hold what a caller sent."""
        _log.log("WARNING" if level >= 30 else "DEBUG", "http server: {}", msg.split("(")[0])

    def _accept_pending(self) -> None:
        # The kernel would reset connections that wait in the backlog when the listening socket closes.
        self.socket.settimeout(0)
        for _ in range(self.request_queue_size):
            before = self._connections._num_connections
            self._connections._from_server_socket(self.socket)
            if self._connections._num_connections == before:
                return
