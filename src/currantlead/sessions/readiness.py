"""HTTP endpoints for the platform's readiness checks and for metrics."""

import asyncio
import json
import urllib.parse
from collections.abc import Callable, Mapping

import h11

from currantlead import errors, logs
from currantlead.sessions import settings

READ_BYTES = 16384
"""Bytes per read from a connection; requests are far smaller."""
IDLE_TIMEOUT_S = 30.0
"""Idle time after which a connection is closed; the platform checks readiness once a second, and metrics are scraped
every 5 s to 15 s."""

_log = logs.part("readiness")


class ReadinessServer:
    """Serve metrics and queries on some paths of an HTTP/1.1 server; all others return 200 if ready and 503 if not.

    Args:
        is_ready: Returns whether this VM accepts new sessions.
        render_metrics: Returns the metrics as text.
        metrics_path: Path of the metrics.
        queries: Returns the answer to the parameters of a query as JSON-compatible map, by path.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], str],
        metrics_path: str,
        queries: Mapping[str, Callable[[Mapping[str, str]], Mapping[str, object]]],
    ):
        self._queries = queries
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._metrics_path = metrics_path.encode()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: settings.Address) -> asyncio.Server:
        """Listen on an address and return the server."""
        return await asyncio.start_server(self._serve_connection, address.host, address.port)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S) as idle_timeout:
                while True:
                    event = codec.next_event()
                    if event is h11.NEED_DATA:
                        codec.receive_data(await reader.read(READ_BYTES))
                    elif isinstance(event, h11.Request):
                        target = event.target
                    elif isinstance(event, h11.EndOfMessage):
                        writer.write(self._encode_response(codec, target))
                        await writer.drain()
                        if codec.our_state is h11.MUST_CLOSE:
                            return
                        codec.start_next_cycle()
                        idle_timeout.reschedule(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S)
                    elif isinstance(event, h11.ConnectionClosed):
                        return
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            _log.debug("connection closed after an error: {!r}", error)
        finally:
            writer.close()

    def _encode_response(self, codec: h11.Connection, target: bytes) -> bytes:
        target, _, parameters = target.partition(b"?")
        query = self._queries.get(target.decode(errors="replace"))
        if query is not None:
            try:
                status, body = 200, json.dumps(query(_parse_parameters(parameters))).encode()
            except errors.UnknownNameError as error:
                status, body = 404, json.dumps({"error": str(error)}).encode()
        elif target == self._metrics_path:
            status, body = 200, self._render_metrics().encode()
        else:
            status = 200 if self._is_ready() else 503
            body = b"{}"
        content_type = "text/plain; version=0.0.4" if target == self._metrics_path else "application/json"
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        message = codec.send(h11.Response(status_code=status, headers=headers))
        return message + codec.send(h11.Data(data=body)) + codec.send(h11.EndOfMessage())


def _parse_parameters(text: bytes) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(text.decode(errors="replace"), keep_blank_values=True))
