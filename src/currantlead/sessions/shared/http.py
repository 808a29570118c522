"""Minimal HTTP/1.1 client over a single keep-alive connection, based on h11."""

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence

import h11

from currantlead import errors, logs
from currantlead.peers import sockets
from currantlead.sessions import settings

READ_BYTES = 65536
"""Bytes per read from the connection; the usual size of a socket buffer."""
CONNECT_TIMEOUT_S = 1.0
"""Allows for several round trips between regions (24 ms) and one retransmitted SYN packet."""
STALL_TIMEOUT_S = 0.8
"""Silence within a response after which the connection counts as lost. A large response may take longer than the call's
time limit: 1,300 routes are 0.4 MB, and calls that were given up and sent again kept a link of 5 Mbit/s full."""
MAX_TRANSFER_S = 8.0
"""Limit of a whole call whose response arrives in parts."""

_log = logs.part("store")


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Hold the status, the complete body and the headers of a response; header names are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class HttpClient:
    """Send one call at a time to one address; a connection is discarded after an error or a time-out."""

    def __init__(self, address: settings.Address):
        self._address = address
        self._codec: h11.Connection | None = None
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        repeatable: bool = False,
        timeout_s: float,
    ) -> Response:
        """Send a call and return its response.

        A repeatable call is sent once more if the connection was kept alive from an earlier call and turns out to be
        dead.

        Args:
            method: HTTP method.
            path: Path including the query.
            body: JSON body, or empty.
            headers: Additional headers.
            repeatable: Whether the call may be sent again.
            timeout_s: Time limit of the call in seconds. Once the response has begun, ``STALL_TIMEOUT_S`` and
                ``MAX_TRANSFER_S`` apply to its other parts.

        Raises:
            errors.HttpUnavailableError: There was no complete response; the call may have taken effect.
        """
        reused = self._streams is not None
        try:
            return await self._send(method, path, body=body, headers=headers, timeout_s=timeout_s)
        except errors.HttpUnavailableError as error:
            cause = error.__cause__
            # TCP keep-alive reports a dead connection as a TimeoutError too, but with an errno.
            timed_out = isinstance(cause, TimeoutError) and cause.errno is None
            if not repeatable or not reused or timed_out:
                raise
            _log.info("kept connection was lost, sending the call again: {}", error)
        return await self._send(method, path, body=body, headers=headers, timeout_s=timeout_s)

    async def _send(
        self, method: str, path: str, *, body: bytes, headers: Sequence[tuple[str, str]], timeout_s: float
    ) -> Response:
        try:
            async with asyncio.timeout(timeout_s) as time_limit:
                codec, reader, writer = await self._get_connection()
                all_headers = [
                    ("Host", str(self._address)),
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                    *headers,
                ]
                message = codec.send(h11.Request(method=method, target=path, headers=all_headers))
                message += codec.send(h11.Data(data=body)) if body else b""
                message += codec.send(h11.EndOfMessage())
                writer.write(message)
                response = await self._receive(codec, reader, time_limit)
        except (TimeoutError, OSError, h11.ProtocolError) as error:
            self.close()
            raise errors.HttpUnavailableError(f"{method} {path}: {error!r}") from error
        except BaseException:
            self.close()
            raise
        if codec.our_state is h11.DONE and codec.their_state is h11.DONE:
            codec.start_next_cycle()
        else:
            self.close()
        return response

    def close(self) -> None:
        """Abort the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = self._codec = None

    async def _get_connection(self) -> tuple[h11.Connection, asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None or self._codec is None or self._streams[0].at_eof():
            self.close()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(self._address.host, self._address.port)
            sockets.configure(self._streams[1])
            self._codec = h11.Connection(h11.CLIENT)
        return self._codec, *self._streams

    async def _receive(
        self, codec: h11.Connection, reader: asyncio.StreamReader, time_limit: asyncio.Timeout
    ) -> Response:
        """Receive a response; each part of it that arrives extends the time limit."""
        loop = asyncio.get_running_loop()
        latest = loop.time() + MAX_TRANSFER_S
        status, headers, parts = 0, {}, []
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await reader.read(READ_BYTES))
                time_limit.reschedule(max(time_limit.when(), min(latest, loop.time() + STALL_TIMEOUT_S)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(parts), headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed before the response was complete")
