"""Stand-in for the platform's load balancer: forwards each new connection to a healthy VM."""

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import signal

import aiohttp

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Target:
    """Address of one VM and the result of its last health check."""

    name: str
    host: str
    port: int
    healthy: bool = False

    @classmethod
    def from_text(cls, text: str) -> "Target":
        """Parse ``NAME=HOST:PORT``."""
        name, _, address = text.partition("=")
        host, _, port = address.rpartition(":")
        return cls(name, host, int(port))


class Balancer:
    """Round-robin TCP load balancer; a target that becomes unhealthy keeps its open connections."""

    def __init__(self, targets: list[Target]) -> None:
        self.targets = targets
        self.next_target = 0

    async def check_health(self, session: aiohttp.ClientSession, target: Target) -> None:
        """Run the health check of a target."""
        try:
            async with session.get(f"http://{target.host}:{target.port}/health") as answer:
                target.healthy = answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            target.healthy = False

    async def check_all(self) -> None:
        """Check all targets every ``CHECK_INTERVAL_S`` (0.5 s)."""
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while True:
                await asyncio.gather(*(self.check_health(session, target) for target in self.targets))
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to the next healthy target that accepts, or return None if there is none."""
        for _ in self.targets:
            target = self.targets[self.next_target % len(self.targets)]
            self.next_target += 1
            if not target.healthy:
                continue
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    return await asyncio.open_connection(target.host, target.port)
            except (OSError, TimeoutError):
                target.healthy = False
        return None

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection, or abort it if no target is healthy."""
        upstream = await self.connect()
        if upstream is None:
            writer.transport.abort()
            return
        await asyncio.gather(forward_stream(reader, upstream[1]), forward_stream(upstream[0], writer))
        for side in (writer, upstream[1]):
            side.close()


async def forward_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy one direction and forward the end of the stream; a reset of one side resets the other."""
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except OSError:
        writer.transport.abort()


async def run(port: int, port_file: str | None, targets: list[Target]) -> None:
    """Serve on the loopback address until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    balancer = Balancer(targets)
    health_checks = asyncio.create_task(balancer.check_all())
    server = await asyncio.start_server(balancer.forward, "127.0.0.1", port)
    if port_file:
        path = pathlib.Path(port_file)
        partial = path.with_suffix(".partial")
        partial.write_text(str(server.sockets[0].getsockname()[1]))
        partial.rename(path)
    await stop.wait()
    server.close()
    health_checks.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await health_checks


def main() -> None:
    """Run the load balancer from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", help="file to write the port to once connections are accepted")
    parser.add_argument("--target", action="append", default=[], type=Target.from_text, help="NAME=HOST:PORT")
    arguments = parser.parse_args()
    asyncio.run(run(arguments.port, arguments.port_file, arguments.target))


if __name__ == "__main__":
    main()
