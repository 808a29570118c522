"""Stand-in for the instances of one service: line protocol, log positions, replication, pauses and promotions.

Every statement that an instance runs for a client is recorded with its connection and its transaction.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

LIMIT = 1024 * 1024 + 64


@dataclasses.dataclass
class Commit:
    """A commit in a log; ``writes`` are request id, item and value."""

    term: int
    number: int
    writes: tuple[tuple[str, str, str], ...]

    @property
    def position(self) -> tuple[int, int]:
        """Return the position of the commit, or of the end of the log."""
        return self.term, self.number


@dataclasses.dataclass
class Run:
    """A statement that an instance ran, or the start or end of a connection or transaction."""

    at: float
    instance: str
    connection: int
    transaction: int
    tenant: str
    request: str
    text: str


class Service:
    """Instances of a service.

    Attributes:
        work_s: Called with request id and text; returns how long the statement takes.
        replicate_s: One-way time to a replica.
        runs: What the instances ran, in order.
        acknowledged: Commits that were acknowledged to the proxy: request ids and time.
    """

    def __init__(
        self, name: str, ids: list[str], now: Callable[[], float], *, max_connections: int, promote_s: float = 0.3
    ):
        self.name, self.now, self.max_connections, self.promote_s = name, now, max_connections, promote_s
        self.term = 1
        self.instances = {item: Instance(self, item) for item in ids}
        self.primary = ids[0]
        self.replicate_s = 0.002
        self.work_s: Callable[[str, str], float] = lambda request, text: 0.002
        self.runs: list[Run] = []
        self.on_change: Callable[[], None] = lambda: None
        self._connections = 0
        self._transactions = 0

    def next_connection(self) -> int:
        """Return the number of a new connection."""
        self._connections += 1
        return self._connections

    def next_transaction(self) -> int:
        """Return the number of a new transaction."""
        self._transactions += 1
        return self._transactions

    def promote(self, instance_id: str) -> bool:
        """Accept a promotion; it takes effect ``promote_s`` later."""
        if instance_id not in self.instances or not self.instances[instance_id].up:
            return False
        if instance_id != self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, instance_id)
        return True

    def _lead(self, instance_id: str) -> None:
        leader = self.instances[instance_id]
        self.term += 1
        self.primary = instance_id
        for instance in self.instances.values():
            instance.paused_term = 0
            if instance is not leader:
                kept = {commit.position for commit in leader.log}
                instance.log = [commit for commit in instance.log if commit.position in kept]
                instance.log = list(leader.log) if len(instance.log) < len(leader.log) else instance.log
        self.runs.append(Run(self.now(), instance_id, 0, 0, "", "-", f"PROMOTED term {self.term}"))
        self.on_change()

    async def start(self) -> None:
        """Open the listeners."""
        for instance in self.instances.values():
            await instance.start()

    def stop(self) -> None:
        """Close the listeners and all connections."""
        for instance in self.instances.values():
            instance.close()


class Instance:
    """One instance; ``deaf`` replicas receive nothing."""

    def __init__(self, service: Service, instance_id: str):
        self.service, self.id = service, instance_id
        self.log: list[Commit] = []
        self.paused_term = 0
        self.deaf = False
        self.up = True
        self.port = 0
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def leads(self) -> bool:
        """Return whether the instance is the primary."""
        return self.service.primary == self.id and self.up

    def receive(self, commit: Commit) -> None:
        """Append a commit that the primary has sent."""
        self.log.append(commit)

    def position(self) -> str:
        """Return the position of the commit, or of the end of the log."""
        return f"{self.log[-1].term}.{self.log[-1].number}" if self.log else "1.0"

    async def start(self) -> None:
        """Open the listeners."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the listener and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self, reader, writer)
        try:
            await connection.serve()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if connection in self.connections:
                self.connections.discard(connection)
                connection.record("-", "CONNECTION CLOSED")
            writer.close()


class Connection:
    """A connection of the proxy with at most one open transaction."""

    def __init__(self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.instance, self.service, self.reader, self.writer = instance, instance.service, reader, writer
        self.number = self.service.next_connection()
        self.transaction = 0
        self.plain = False
        self.term = 0
        self.state = "I"
        self.tenant = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.pending: list[tuple[str, str, str]] = []

    def record(self, request: str, text: str) -> None:
        """Record what ran on this connection."""
        self.service.runs.append(
            Run(self.service.now(), self.instance.id, self.number, self.transaction, self.tenant, request, text)
        )

    def ready(self) -> str:
        """Return the message that ends a response."""
        return f"READY {self.state} {self.instance.position()}"

    def send(self, *messages: str) -> None:
        """Send messages."""
        self.writer.write("".join(f"{message}\r\n" for message in messages).encode())

    async def _line(self) -> str:
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        word, service, self.tenant, *expected = (await self._line()).split(" ")
        if word != "START" or service != self.service.name or (expected and expected[0] != self.instance.id):
            self.send("ERR MISROUTED -")
            return
        if len(self.instance.connections) >= self.service.max_connections:
            self.send("ERR OVERLOAD -")
            return
        self.instance.connections.add(self)
        self.send(self.ready())
        while True:
            line = await self._line()
            if line == "BYE":
                return
            _, request, text = line.split(" ", 2)
            messages = await self._execute(request, text)
            self.send(*messages, self.ready())

    def _fail(self, code: str) -> list[str]:
        if self.state == "T":
            self.state, self.pending = "E", []
        return [f"ERR {code} {self.instance.id}"]

    async def _execute(self, request: str, text: str) -> list[str]:
        if self.state == "E" and text not in ("ROLLBACK", "COMMIT"):
            return ["ERR MALFORMED -"]
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            last = self.instance.log[-1].position if self.instance.log else (1, 0)
            if last < (term, number):
                return self._fail("LAGGING")
        word, _, rest = text.partition(" ")
        if word in ("READ", "WRITE", "EXEC", "COMMIT"):
            await asyncio.sleep(self.service.work_s(request, text))
        return await getattr(self, f"_do_{word.lower()}")(request, text, rest)

    def _lost_lead(self) -> bool:
        return self.state == "T" and self.plain and (not self.instance.leads or self.term != self.service.term)

    async def _do_begin(self, request: str, text: str, rest: str) -> list[str]:
        if rest != "READ" and not self.instance.leads:
            return self._fail("READONLY")
        self.state, self.plain, self.term, self.pending = "T", rest != "READ", self.service.term, []
        self.transaction = self.service.next_transaction()
        return ["DONE -"]

    async def _do_rollback(self, request: str, text: str, rest: str) -> list[str]:
        if self.state != "I":
            self.record(request, "ROLLBACK")
        self.state, self.pending, self.transaction = "I", [], 0
        return ["DONE -"]

    async def _do_commit(self, request: str, text: str, rest: str) -> list[str]:
        failed, writes = self.state != "T", self.pending
        lost = bool(writes) and self._lost_lead()
        self.state, self.pending = "I", []
        if failed or lost:
            self.transaction = 0
            return ["ERR READONLY -"] if lost else ["ERR ABORTED -"]
        self.record(request, text)
        self.transaction = 0
        if writes and not await self._commit(tuple(writes)):
            return ["ERR INDOUBT -"]
        return [f"DONE {self._sign(request)}"]

    async def _do_read(self, request: str, text: str, rest: str) -> list[str]:
        if self._lost_lead():
            return self._fail("READONLY")
        self.record(request, text)
        value = "none"
        for commit in self.instance.log:
            for _, item, data in commit.writes:
                value = data if item == rest else value
        for _, item, data in self.pending:
            value = data if item == rest else value
        return [f"ROW {value}", f"DONE {self._sign(request)}"]

    async def _do_write(self, request: str, text: str, rest: str) -> list[str]:
        if not self.instance.leads or self._lost_lead():
            return self._fail("READONLY")
        item, _, data = rest.partition(" ")
        self.record(request, text)
        if self.state == "T":
            self.pending.append((request, item, data))
        elif not await self._commit(((request, item, data),)):
            return ["ERR INDOUBT -"]
        return [f"DONE {self._sign(request)}"]

    async def _commit(self, writes: tuple[tuple[str, str, str], ...]) -> bool:
        """Append a commit and wait until one replica has received it."""
        number = (self.instance.log[-1].number if self.instance.log else 0) + 1
        commit = Commit(self.service.term, number, writes)
        self.instance.log.append(commit)
        while self.instance.leads and commit in self.instance.log:
            await asyncio.sleep(self.service.replicate_s)
            received = False
            for other in self.service.instances.values():
                if other is self.instance or not other.up or other.deaf or other.paused_term:
                    continue
                for missing in self.instance.log[len(other.log) :]:
                    other.receive(missing)
                received = received or commit in other.log
            if received:
                return True
        return False

    def _sign(self, request: str) -> str:
        return f"{self.instance.id}.{self.number}.{request}"

    async def _do_set(self, request: str, text: str, rest: str) -> list[str]:
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return ["DONE -"]

    async def _do_prepare(self, request: str, text: str, rest: str) -> list[str]:
        name, mode, shape = rest.split(" ", 2)
        self.prepared[name] = mode, shape
        return ["DONE -"]

    async def _do_exec(self, request: str, text: str, rest: str) -> list[str]:
        name, _, argument = rest.partition(" ")
        if name not in self.prepared:
            return self._fail("NOSTMT")
        mode, _ = self.prepared[name]
        return await (self._do_write if mode == "WRITE" else self._do_read)(request, text, argument)

    async def _do_reset(self, request: str, text: str, rest: str) -> list[str]:
        self.values, self.prepared = {}, {}
        return ["DONE -"]

    async def _do_status(self, request: str, text: str, rest: str) -> list[str]:
        role = "primary" if self.instance.leads else "replica"
        return [
            f"ROW {role} {self.service.term} {self.instance.position()} {self.instance.paused_term} 0 0"
            f" {len(self.instance.connections)}",
            "DONE -",
        ]

    async def _do_pause(self, request: str, text: str, rest: str) -> list[str]:
        if not self.instance.leads and int(rest) > self.service.term:
            self.instance.paused_term = int(rest)
        return await self._do_status(request, text, rest)

    async def _do_resume(self, request: str, text: str, rest: str) -> list[str]:
        self.instance.paused_term = 0
        return await self._do_status(request, text, rest)

    async def _do_demote(self, request: str, text: str, rest: str) -> list[str]:
        if self.instance.leads and int(rest) > self.service.term:
            self.service.primary = ""
            self.service.on_change()
        return await self._do_status(request, text, rest)


def registration(service: Service, instance: Instance, zone: str, sequence: int) -> dict[str, Any]:
    """Return the entry with which an instance registers itself."""
    return {
        "service": service.name,
        "addr": f"127.0.0.1:{instance.port}",
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "dbRole": "primary" if instance.leads else "replica",
        "sequence": sequence,
        "born": 1700000000000,
    }
