"""HTTP server based on cheroot that handles many idle connections and slow clients and rejects ambiguous requests."""

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
from currantlead.http_api import streams

MAX_KEEP_ALIVE_CONNECTIONS = 8192
"""Default limit; a VM serves 2,667 connections, and twice that when half of the VMs fail. cheroot's default is 10."""
MAX_HEADER_BYTES = 16_384
"""Maximum size of the request line and the headers; a session token takes up to 4,096 bytes."""

_UNREPEATABLE_HEADERS = frozenset(
    {b"Authorization", b"Content-Length", b"Currantlead-Session", b"Host", b"Idempotency-Key", b"Transfer-Encoding"}
)
_log = logs.part("border")


class _UniqueHeaders(dict[bytes, bytes]):
    """Headers that reject repetition: cheroot would keep only the last session token or content length."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name in _UNREPEATABLE_HEADERS:
            raise ValueError(f"{name.decode('ascii')}: header is repeated")
        super().__setitem__(name, value)


class _HeaderReader(server.HeaderReader):
    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        headers = super().__call__(rfile, _UniqueHeaders())
        length = headers.get(b"Content-Length")
        # int() would also accept signs, spaces and underscores, which proxies on the path may interpret differently.
        if length is not None and not length.isdigit():
            raise ValueError("Content-Length: must be a decimal number")
        # Prevents request smuggling: with an ambiguous length, the rest of a body would be parsed as the next request.
        if b"Transfer-Encoding" in headers:
            raise ValueError("Transfer-Encoding: not supported; send Content-Length")
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict

    def _allow_header(self, key_name: bytes) -> bool:
        # WSGI maps "Currantlead_Session" and "Currantlead-Session" to the same variable.
        return b"_" not in key_name


class _Request(server.HTTPRequest):
    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Read the request line and the headers under a single deadline."""
        self.conn.reset_deadline()
        super().parse_request()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Report an error detected by cheroot in the API's format, and close the connection."""
        reason, outcome = _classify_status(status)
        request_id = os.urandom(12).hex()
        payload = {"verdict": outcome.value, "reason": reason.value, "detail": msg or status[4:], "request": request_id}
        body = json.dumps(payload).encode()
        self.close_connection = True
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("ascii") + body)

    def send_headers(self) -> None:
        """Close the connection if the application asks for it; cheroot itself only forwards the header."""
        if (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        # Gives the client the full timeout to receive the response, however long the proxy took.
        self.conn.reset_deadline()
        self.conn.wfile.defer_next_write()
        super().send_headers()

    def respond(self) -> None:
        """Send the response; the headers of a response without a body are sent at the end."""
        try:
            super().respond()
        finally:
            self.conn.wfile.flush_deferred()


def _classify_status(status: str) -> tuple[verdict.Reason, verdict.Verdict]:
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
        super().__init__(httpserver, sock, self._make_file)

    def reset_deadline(self) -> None:
        """Start a new deadline, the server's timeout from now."""
        self._deadline = time.monotonic() + self.server.timeout

    def apply_deadline(self) -> None:
        """Limit the next socket call to the time until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            # cheroot recognizes a timeout by this exact message.
            raise TimeoutError("timed out")
        self.socket.settimeout(remaining_s)

    def _make_file(self, sock: socket.socket, mode: str, bufsize: int = io.DEFAULT_BUFFER_SIZE) -> Any:
        raw = streams.DeadlineSocket(sock, mode, self.apply_deadline)
        return streams.Reader(raw, bufsize) if "r" in mode else streams.Writer(raw)


class _ConnectionManager(connections.ConnectionManager):
    """Connection manager that hands a new connection to a worker thread only once it has sent data.

    cheroot hands over new connections immediately, so as many silent connections as there are worker threads would
    block the server until they time out.
    """

    def _from_server_socket(self, server_socket: Any) -> Any:
        connection = super()._from_server_socket(server_socket)
        if connection is not None:
            self.put(connection)
        return None

    def pop_connections_with_data(self) -> list[Any]:
        """Remove and return the connections with unread data; only valid after the selector loop has stopped."""
        registered = [
            (fd, connection) for fd, connection in self._selector.connections if connection is not self.server
        ]
        poll = select.poll()
        for fd, _ in registered:
            poll.register(fd, select.POLLIN)
        with_data = {fd for fd, event in poll.poll(0) if event & select.POLLIN}
        for fd in with_data:
            self._selector.unregister(fd)
        return [connection for fd, connection in registered if fd in with_data]


class Listener(wsgi.Server):
    """HTTP server for a WSGI application; on ``stop`` it still answers the requests that have already arrived."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
    max_request_header_size = MAX_HEADER_BYTES

    def prepare(self) -> None:
        """Bind the port and start the worker threads."""
        super().prepare()
        self._connections.close()
        self._connections = _ConnectionManager(self)

    def stop(self) -> None:
        """Stop accepting connections, answer the requests that have arrived, then stop the worker threads."""
        if not self.ready:
            return
        self._connections._stop_requested = True
        # Wakes up the selector, which otherwise waits for up to 0.5 s.
        with contextlib.suppress(OSError):
            socket.create_connection(self.bind_addr, timeout=1).close()
        self._connections.stop()
        self._accept_backlog()
        for connection in self._connections.pop_connections_with_data():
            self.process_conn(connection)
        super().stop()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log an error of the server without its traceback, which may contain data that a caller sent."""
        _log.log("WARNING" if level >= 30 else "DEBUG", "HTTP server: {}", msg.split("(")[0])

    def _accept_backlog(self) -> None:
        # The kernel resets the connections in the backlog when the listening socket is closed.
        self.socket.settimeout(0)
        for _ in range(self.request_queue_size):
            previous_count = self._connections._num_connections
            self._connections._from_server_socket(self.socket)
            if self._connections._num_connections == previous_count:
                return
