"""TCP proxy on the loopback address that delays, cuts, silences and resets what passes through it."""

import asyncio
import dataclasses

CHUNK_BYTES = 65536


@dataclasses.dataclass(slots=True)
class Trouble:
    """Say what happens to bytes of one direction.

    Attributes:
        delay_s: Seconds by which they are late.
        swallowed: Whether they are lost, as behind a partition.
    """

    delay_s: float = 0.0
    swallowed: bool = False


class LoopbackProxy:
    """Forward connections to one port.

    Attributes:
        port: Port that callers connect to.
        forth: Trouble on the way to the target; also holds for new connections.
        back: Trouble on the way from the target.
    """

    def __init__(self, target_port: int):
        self.port = 0
        self.forth = Trouble()
        self.back = Trouble()
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on any free one."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """End all trouble; connections that have lost bytes end too."""
        if self.forth.swallowed or self.back.swallowed:
            self.reset()
        self.forth, self.back = Trouble(), Trouble()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        outward = None
        try:
            inward, outward = await asyncio.open_connection("127.0.0.1", self._target_port)
            self._writers.add(outward)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, outward, "forth"))
                group.create_task(self._pump(inward, writer, "back"))
        except* (OSError, EOFError):
            # Either side has ended; the other is closed below.
            pass
        finally:
            for found in (writer, outward):
                if found is not None:
                    self._writers.discard(found)
                    found.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str) -> None:
        while data := await reader.read(CHUNK_BYTES):
            trouble: Trouble = getattr(self, direction)
            if trouble.delay_s:
                await asyncio.sleep(trouble.delay_s)
            if not trouble.swallowed:
                writer.write(data)
                await writer.drain()
        raise EOFError
