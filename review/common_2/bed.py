"""A small deployment on loopback addresses: the store, the instances of one service, and daemons as processes.

The store and the instances are the project's own stand-ins; they follow the users' pages. Links with a delay or with
resets are loopback proxies. A daemon that reaches another machine through a proxy gets the proxy's address from its
view of the store's entries.
"""

import asyncio
import contextlib
import ctypes
import dataclasses
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib
import urllib.request
from collections.abc import Awaitable, Callable
from typing import Any

from tests.standins import line_instance, object_store

ROOT = pathlib.Path.cwd()
STORE = "store"
"""Name of the store as a target of links."""
HEARTBEAT_S = 1.2
BORN_MS = 1_790_000_000_000
"""Unix time of the first start of the instances, in milliseconds."""
PR_SET_PDEATHSIG = 1
MESSAGE_BYTES = 1024 * 1024
"""Maximum size of a message of the line protocol."""
SETTINGS = """
node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{peer_port}, {last_peer_port}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","places","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4300
linkMbps = 1000.0
[bounds]
contactMs = 5000
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
evacuateMs = 5000
fencingRequired = true
[platform]
addr = "127.0.0.1:{store_port}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
[cloudApi]
addr = "127.0.0.1:{store_port}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
"""


def run_case(folder: pathlib.Path, run: Callable[[pathlib.Path, "Record"], Awaitable[int]]) -> int:
    """Run a case in a temporary folder, with its record in a folder; return its exit code, or 2 if it could not run."""
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            return asyncio.run(run(pathlib.Path(temporary), record))
        except Exception as error:
            record.write("script", f"the case could not run: {error!r}")
            return 2
        finally:
            record.close()


def free_port(*hosts: str) -> int:
    """Return a port below the range of outgoing connections that is free for TCP and UDP on all the addresses."""
    first = 20000 + os.getpid() * 131 % 9000
    for port in range(first, first + 2000):
        if port in _used_ports:
            continue
        try:
            for host in hosts or ("127.0.0.1",):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((host, port))
        except OSError:
            continue
        _used_ports.add(port)
        return port
    raise OSError("no free port")


_used_ports: set[int] = set()


def _end_with_parent() -> None:
    """Let the kernel kill this process when the script ends, however it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def run_command() -> list[str]:
    """Return the command of the deploy file's role."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    return roles["entry"]["run"].split()


class Link:
    """Proxy to one TCP address, which delays what it forwards and can reset its connections.

    Attributes:
        delay_s: Delay in each direction, in seconds.
        held: Whether everything is held up, as by a partition; it is forwarded once this ends.
    """

    def __init__(self, host: str, port: int, delay_s: float = 0.0):
        self.delay_s = delay_s
        self.held = False
        self.port = 0
        self.opened = 0
        self._target = host, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "Link":
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", free_port())
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def reset(self) -> int:
        """Reset all open connections; return how many there were."""
        writers = list(self._writers)
        for writer in writers:
            writer.transport.abort()
        return len(writers) // 2

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        await asyncio.sleep(self.delay_s)
        target = None
        try:
            target_reader, target = await asyncio.open_connection(*self._target)
            for each in (writer, target):
                each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._writers.add(target)
            self.opened += 1
            done, others = await asyncio.wait(
                [
                    asyncio.create_task(self._forward(reader, target)),
                    asyncio.create_task(self._forward(target_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in others:
                task.cancel()
            await asyncio.gather(*done, *others, return_exceptions=True)
        except OSError:
            pass
        finally:
            for each in (writer, target):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort() if each.transport.is_closing() else each.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                while self.held:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                if not data:
                    return
                writer.write(data)

        delivery = loop.create_task(deliver())
        try:
            while True:
                data = await reader.read(65536)
                queue.put_nowait((loop.time() + self.delay_s, data))
                if not data:
                    await delivery
                    return
        finally:
            delivery.cancel()


@dataclasses.dataclass(frozen=True)
class Machine:
    """Machine of the deployment."""

    name: str
    ip: str
    zone: str


class Daemon:
    """The deploy file's program on one machine, as a process.

    Attributes:
        front: Address for callers.
        peer: Address for other machines.
    """

    def __init__(self, machine: Machine, ports: tuple[int, ...], zones: dict[str, str], folder: pathlib.Path):
        self.machine = machine
        self.front = machine.ip, ports[0]
        self.peer = machine.ip, ports[2]
        self._ready = f"http://{machine.ip}:{ports[1]}/currantlead/readiness"
        self._ports, self._zones = ports, zones
        self._settings = folder / f"{machine.name}.toml"
        self.log = folder / f"{machine.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store_port: int) -> None:
        """Write the settings file."""
        machine = self.machine
        self._settings.write_text(
            SETTINGS.format(
                name=machine.name,
                ip=machine.ip,
                zone=machine.zone,
                region=self._zones[machine.zone],
                front_port=self._ports[0],
                ready_port=self._ports[1],
                peer_port=self._ports[2],
                last_peer_port=self._ports[2] + 15,
                store_port=store_port,
                zones="\n".join(f'{zone} = "{region}"' for zone, region in self._zones.items()),
            )
        )

    async def start(self, level: str = "INFO") -> None:
        """Start the process."""
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables |= {"CURRANTLEAD_CONFIG": str(self._settings), "CURRANTLEAD_LOG_LEVEL": level}
        variables |= {"CURRANTLEAD_METRICS_PORT": str(self._ports[3])}
        variables |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run_command(),
                cwd=ROOT,
                env=variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the program says that it is ready."""
        while not await asyncio.to_thread(self._is_ready):  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    def _is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(self._ready, timeout=1.0) as response:
                return response.status == 200
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Record:
    """Writes the record of a run: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, subject: str, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {subject}: {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _shorten(text: str) -> str:
    return text if len(text) <= 200 else f"{text[:60]}... ({len(text)} characters)"


class Caller:
    """Caller's side of the line protocol, one session.

    Attributes:
        state: State in the last READY.
    """

    def __init__(self, name: str, record: Record):
        self.name = name
        self.state = "I"
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: tuple[str, int], database: str, key: str) -> bool:
        """Open a session; return whether it was accepted."""
        self._reader, self._writer = await asyncio.open_connection(*address, limit=4 * MESSAGE_BYTES)
        self._writer.write(f"START {database} {key}\r\n".encode())
        reply = await self._read_reply()
        self._record.write(self.name, f"START {database} -> {' | '.join(reply)}")
        return bool(reply) and reply[-1].startswith("READY")

    async def query(self, request: str, text: str) -> list[str]:
        """Run a statement; return the lines of the answer, which lack READY if the connection ended."""
        self._record.write(self.name, f"sent {request} {_shorten(text)}")
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        reply = await self._read_reply()
        self._record.write(self.name, f"answer to {request}: {_shorten(' | '.join(reply)) or 'connection ended'}")
        return reply

    async def _read_reply(self) -> list[str]:
        received: list[str] = []
        # Otherwise the kernel delays the acknowledgement of an answer that comes in two parts.
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
        with contextlib.suppress(OSError):
            while line := await self._reader.readline():
                received.append(line.decode().rstrip("\r\n"))
                if received[-1].startswith("READY"):
                    self.state = received[-1].split(" ")[1]
                    break
        return received

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class Bed:
    """The deployment.

    Args:
        machines: The machines with the program.
        zones: Region of each zone.
        places: Zone of each instance; the first one is the primary.
        configuration: The desired state.
        folder: Folder for settings and logs.
        service_options: Options of the stand-in for the service.

    Attributes:
        places: Zone of each instance.
        states: State of the instances that are not ready, as they report it.
        silent: Instances that do not reach the store, so that their entries stay as they are.
        born: Unix time of the start of the instances that have started again, in milliseconds.
    """

    def __init__(
        self,
        machines: list[Machine],
        zones: dict[str, str],
        places: dict[str, str],
        configuration: dict[str, Any],
        folder: pathlib.Path,
        **service_options: Any,
    ):
        ips = [machine.ip for machine in machines]
        ports = tuple(free_port(*ips) for _ in range(4))
        self.daemons = {machine.name: Daemon(machine, ports, zones, folder) for machine in machines}
        self.store = object_store.ObjectStore()
        self.configuration = configuration
        service_name = configuration["services"][0]["name"]
        self.service = line_instance.Service(service_name, list(places), **service_options)
        self.service.on_role_change = self.report
        self.store.promote = lambda service, instance: self.service.request_promotion(instance)
        self.links: dict[tuple[str, str], Link] = {}
        self.silent: set[str] = set()
        self.born: dict[str, int] = {}
        self.places = dict(places)
        self.states: dict[str, str] = {}
        self._sequence = 0
        self._heartbeats: asyncio.Task[None] | None = None
        self._delays: dict[tuple[str, str], float] = {}

    def add_link(self, daemon: str, target: str, delay_s: float = 0.0) -> None:
        """Let a daemon reach another daemon, an instance or the ``STORE`` through a link; call it before ``start``."""
        self._delays[daemon, target] = delay_s

    async def start(self, level: str = "INFO") -> None:
        """Start everything and wait until all daemons are ready."""
        await self.store.start()
        await self.service.start()
        self.store.put("config", "main", self.configuration)
        self.report()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        for name, daemon in self.daemons.items():
            daemon.write_settings(await self._add_view(name))
        for daemon in self.daemons.values():
            await daemon.start(level)
        async with asyncio.timeout(20):
            await asyncio.gather(*(daemon.wait_until_ready() for daemon in self.daemons.values()))

    async def _add_view(self, name: str) -> int:
        replaced = {}
        for (daemon, target), delay_s in self._delays.items():
            if daemon != name or target == STORE:
                continue
            if target in self.daemons:
                host, port = self.daemons[target].peer
                link = await Link(host, port, delay_s).start()
                old = f'"peerHost": "{host}", "peerPort": {port}'
                replaced[old] = f'"peerHost": "127.0.0.1", "peerPort": {link.port}'
            else:
                port = self.service.instances[target].port
                link = await Link("127.0.0.1", port, delay_s).start()
                replaced[f'"addr": "127.0.0.1:{port}"'] = f'"addr": "127.0.0.1:{link.port}"'
            self.links[daemon, target] = link
        port = await self.store.add_view(replaced)
        if (name, STORE) not in self._delays:
            return port
        link = self.links[name, STORE] = await Link("127.0.0.1", port, self._delays[name, STORE]).start()
        return link.port

    def report(self) -> None:
        """Write the entries of the instances, as they do themselves."""
        self._sequence += 1
        for name, instance in self.service.instances.items():
            if not instance.can_be_promoted or name in self.silent:
                continue
            entry = {
                "service": self.service.name,
                "addr": f"127.0.0.1:{instance.port}",
                "zone": self.places[name],
                "version": "v1",
                "slots": 4,
                "state": self.states.get(name, "ready"),
                "coldLeftMs": 0,
                "dbRole": "primary" if instance.is_primary else "replica",
                "sequence": self._sequence,
                "born": self.born.get(name, BORN_MS),
            }
            self.store.put("servers", name, entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    async def stop(self) -> None:
        """Stop everything that was started."""
        for daemon in self.daemons.values():
            await daemon.stop()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for link in self.links.values():
            link.stop()
        await self.service.stop()
        await self.store.stop()
