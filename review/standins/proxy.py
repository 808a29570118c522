"""TCP proxy on a loopback address that can reset the connections it forwards."""

import asyncio


class Proxy:
    """Forwards connections from its port to a target port until they are reset."""

    def __init__(self, target_port: int):
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections; new ones are forwarded."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, other_writer}
        try:
            await asyncio.gather(self._copy(reader, other_writer), self._copy(other_reader, writer))
        finally:
            self._writers -= {writer, other_writer}

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
