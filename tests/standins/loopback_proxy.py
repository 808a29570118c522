"""TCP proxy on the loopback address that delays or drops the data it forwards and resets connections."""

import asyncio
import dataclasses

CHUNK_BYTES = 65536


@dataclasses.dataclass(slots=True)
class Fault:
    """Network fault in one direction.

    Attributes:
        delay_s: Delay of each chunk in seconds.
        dropped: Whether data is dropped, as in a network partition.
    """

    delay_s: float = 0.0
    dropped: bool = False


class LoopbackProxy:
    """Proxy that forwards connections to one target port, with faults that apply to open and new connections.

    Attributes:
        port: Port that clients connect to.
        target_port: Port that new connections are forwarded to.
        to_target: Fault in the direction from the client to the target.
        from_target: Fault in the direction from the target to the client.
    """

    def __init__(self, target_port: int):
        self.port = 0
        self.to_target = Fault()
        self.from_target = Fault()
        self.target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one if it is 0."""
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Number of open connections of clients."""
        return (len(self._writers) + 1) // 2

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def clear_faults(self) -> None:
        """Clear the faults; if data is being dropped, reset all open connections, whose streams have gaps."""
        if self.to_target.dropped or self.from_target.dropped:
            self.reset()
        self.to_target, self.from_target = Fault(), Fault()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            self._writers.add(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, "to_target"))
                group.create_task(self._forward(target_reader, writer, "from_target"))
        except* (OSError, EOFError):
            # One side has closed the connection; the other side is closed below.
            pass
        finally:
            for each_writer in (writer, target_writer):
                if each_writer is not None:
                    self._writers.discard(each_writer)
                    each_writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str) -> None:
        while data := await reader.read(CHUNK_BYTES):
            fault: Fault = getattr(self, direction)
            if fault.delay_s:
                await asyncio.sleep(fault.delay_s)
            if not fault.dropped:
                writer.write(data)
                await writer.drain()
        raise EOFError
