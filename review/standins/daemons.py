"""Daemons as the platform starts them, and clients that speak the line protocol."""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import time
import urllib.request
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "currantlead.sessions")
"""The ``run`` line of ``deploy/system.toml``."""
RESTART_DELAY_S = 0.2

SETTINGS = """
node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
internalPorts = [{peers},{peers}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","places","platform"]
[zones]
z1 = "r1"
z2 = "r2"
z3 = "r3"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4300
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 1
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
recoveryS = 12
fencingRequired = true
[platform]
addr = "127.0.0.1:{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
[cloudApi]
addr = "127.0.0.1:{store}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
"""

_taken: set[int] = set()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a loopback address that is free for TCP and UDP."""
    for port in range(20000 + os.getpid() * 37 % 9000, 32000):
        if port in _taken:
            continue
        try:
            with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                stream.bind((host, port))
                datagram.bind((host, port))
        except OSError:
            continue
        _taken.add(port)
        return port
    raise OSError("no free port")


class Daemon:
    """A process of the deploy file's role; it is started again whenever it ends, as the platform does.

    Attributes:
        exits: Time and return code of each end of the process.
    """

    def __init__(self, name: str, zone: str, store_port: int, directory: pathlib.Path):
        self.name, self.host = name, "127.0.0.1"
        self.front, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self._directory = directory
        self.settings = directory / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                host=self.host,
                zone=zone,
                region=f"r{zone[1:]}",
                peers=self.peers,
                front=self.front,
                ready=self.ready,
                store=store_port,
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[tuple[float, int]] = []
        self.starts = 0
        self._supervisor: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the process, and again whenever it ends."""
        self._supervisor = asyncio.create_task(self._supervise())

    async def _supervise(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CURRANTLEAD_CONFIG": str(self.settings),
            "CURRANTLEAD_METRICS_PORT": str(self.metrics),
        }
        while True:
            with (self._directory / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *COMMAND, env=environment, cwd=ROOT, stdout=log, stderr=log
                )
            self.starts += 1
            code = await self.process.wait()
            self.exits.append((time.monotonic(), code))
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the process answers the platform's question with 200."""
        try:
            url = f"http://{self.host}:{self.ready}/currantlead/readiness"
            with urllib.request.urlopen(url, timeout=0.5) as response:
                return response.status == 200
        except OSError:
            return False

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the process is ready."""
        async with asyncio.timeout(timeout_s):
            while not await asyncio.to_thread(self.is_ready):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Kill the process and do not start it again."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Client:
    """A client's session; every message is added to the record."""

    _count = 0

    def __init__(self, name: str, record: "Record"):
        self.name, self._record = name, record
        self._requests = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, daemon: Daemon, database: str, key: str) -> bool:
        """Open a session, and return whether it was accepted."""
        self._reader, self._writer = await asyncio.open_connection(daemon.host, daemon.front)
        answer = await self._exchange(f"START {database} {key}", f"START {database} at {daemon.name}")
        return answer[-1:] == ["READY I -"]

    async def query(self, text: str, timeout_s: float = 6.0) -> tuple[str, list[str]]:
        """Send a statement under a new id; return the id and the lines of the answer."""
        self._requests += 1
        request = f"{self.name}.{self._requests}"
        async with asyncio.timeout(timeout_s):
            return request, await self._exchange(f"QUERY {request} {text}", f"{request} {text}")

    async def _exchange(self, line: str, shown: str) -> list[str]:
        self._record.add(f"{self.name} sends     {shown}")
        self._writer.write(f"{line}\r\n".encode())
        answer: list[str] = []
        while not answer or not answer[-1].startswith("READY"):
            received = await self._reader.readline()
            if not received:
                answer.append("CLOSED")
                break
            answer.append(received.decode().rstrip("\r\n"))
        self._record.add(f"{self.name} receives  {' | '.join(answer)}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class Record:
    """What was sent, answered and run; written to ``record.txt`` of a case."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def now(self) -> float:
        """Return the clock reading of the record."""
        return time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, at the present time unless another is given."""
        self._lines.append((time.monotonic() if at is None else at, text))

    def add_runs(self, runs: list[Any]) -> None:
        """Add what the instances ran."""
        for run in runs:
            place = f"{run.instance} connection {run.connection}"
            place += f" transaction {run.transaction}" if run.transaction else ""
            self.add(f"{place}: runs {run.request} {run.text} (tenant {run.tenant})", run.at)

    def write(self, path: pathlib.Path) -> None:
        """Write all lines in the order of their times."""
        lines = sorted(self._lines, key=lambda line: line[0])
        path.write_text("".join(f"{at - self._began_at:8.3f}  {text}\n" for at, text in lines))


def troubled() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(coroutine: Any, limit_s: float = 110.0) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await coroutine

    try:
        return asyncio.run(limited())
    except Exception as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2
