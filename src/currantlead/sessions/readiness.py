"""Answer the platform's question whether this VM takes new sessions, and serve metrics beside it."""

import asyncio
from collections.abc import Callable

import h11

from currantlead import logs
from currantlead.sessions import settings

READ_BYTES = 16384
"""Questions are far smaller."""
IDLE_S = 30.0
"""The platform asks once a second, and metrics are read every 5 s to 15 s."""

_log = logs.part("readiness")


class Readiness:
    """Serve short HTTP/1.1 answers: 200 while ready and 503 otherwise on any path but that of the metrics."""

    def __init__(self, ready: Callable[[], bool], metrics: Callable[[], str], metrics_path: str):
        self._ready = ready
        self._metrics = metrics
        self._metrics_path = metrics_path.encode()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: settings.Address) -> asyncio.Server:
        """Listen on an address."""
        return await asyncio.start_server(self._accept, address.host, address.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(IDLE_S) as limit:
                while True:
                    event = codec.next_event()
                    if event is h11.NEED_DATA:
                        codec.receive_data(await reader.read(READ_BYTES))
                    elif isinstance(event, h11.Request):
                        target = event.target.split(b"?")[0]
                    elif isinstance(event, h11.EndOfMessage):
                        writer.write(self._answer(codec, target))
                        await writer.drain()
                        if codec.our_state is h11.MUST_CLOSE:
                            return
                        codec.start_next_cycle()
                        limit.reschedule(asyncio.get_running_loop().time() + IDLE_S)
                    elif isinstance(event, h11.ConnectionClosed):
                        return
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            _log.debug("connection ended: {!r}", error)
        finally:
            writer.close()

    def _answer(self, codec: h11.Connection, target: bytes) -> bytes:
        if target == self._metrics_path:
            status, body = 200, self._metrics().encode()
        else:
            status = 200 if self._ready() else 503
            body = b"{}"
        kind = "text/plain; version=0.0.4" if target == self._metrics_path else "application/json"
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        message = codec.send(h11.Response(status_code=status, headers=headers))
        return message + codec.send(h11.Data(data=body)) + codec.send(h11.EndOfMessage())
