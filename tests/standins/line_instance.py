"""Stand-in for the instances of one service on the users' platform: line protocol, log positions, terms and lag.

A commit is acknowledged once at least one replica has received it, as in semi-synchronous replication.
"""

import asyncio
import dataclasses
import itertools
import time

MAX_LINE_BYTES = 1024 * 1024 + 2


@dataclasses.dataclass(frozen=True)
class Commit:
    """Commit record of the log; a write is a tuple of request, item and value."""

    term: int
    number: int
    committed_at: float
    writes: tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class ExecutedStatement:
    """Statement that an instance ran for a caller, with its session values, applied commits and monotonic time."""

    instance: str
    request: str
    text: str
    organisation: str
    values: tuple[tuple[str, str], ...]
    applied: int
    ran_at: float


class Service:
    """Instances of a service and the replication between them; each commit with writes gets the next number.

    Attributes:
        lag_s: Apply lag by replica, in seconds.
        cut_off_after: Number of commits after which the replicas receive nothing more from the primary, or None.
        runs: Statements that the instances ran, in order.
    """

    def __init__(self, name: str, ids: list[str], *, max_connections: int = 16, promote_s: float = 0.05):
        self.name = name
        self.max_connections = max_connections
        self.promote_s = promote_s
        self.term = 1
        self.log: list[Commit] = []
        self.instances = {instance_id: Instance(self, instance_id) for instance_id in ids}
        self.primary = ids[0]
        self.runs: list[ExecutedStatement] = []
        self.lag_s: dict[str, float] = {}
        self.cut_off_after: int | None = None

    def received(self, instance: "Instance") -> int:
        """Return how many commits an instance has received."""
        if instance.id == self.primary:
            return len(self.log)
        replicated = len(self.log) if self.cut_off_after is None else min(self.cut_off_after, len(self.log))
        return replicated if instance.paused_term == 0 else min(instance.paused_at, replicated)

    def applied(self, instance: "Instance") -> int:
        """Return how many commits an instance has applied."""
        if instance.id == self.primary:
            return len(self.log)
        applied_until = time.monotonic() - self.lag_s.get(instance.id, 0.0)
        return sum(commit.committed_at <= applied_until for commit in self.log[: self.received(instance)])

    def replicas(self) -> list["Instance"]:
        """Return the replicas that are responsive and so receive commits."""
        return [item for item in self.instances.values() if not item.is_primary and not item.unresponsive]

    def position(self, count: int) -> str:
        """Return the log position after ``count`` commits, as ``term.number``."""
        return f"{self.log[count - 1].term}.{count}" if count else f"{1 if self.log else self.term}.0"

    def promote(self, instance_id: str) -> bool:
        """Make an instance the primary of the next term; return False if it is unknown or unresponsive.

        Commits that the new primary has not received are discarded.
        """
        chosen = self.instances.get(instance_id)
        if chosen is None or chosen.unresponsive:
            return False
        if instance_id != self.primary:
            del self.log[self.received(chosen) :]
            self.term += 1
            self.primary = instance_id
            for instance in self.instances.values():
                instance.paused_term = 0
        return True

    async def start(self) -> None:
        """Open the listeners of all instances."""
        for instance in self.instances.values():
            await instance.start()

    async def stop(self) -> None:
        """Close the listeners and all connections."""
        for instance in self.instances.values():
            await instance.stop()


class Instance:
    """Server of one instance.

    Attributes:
        unresponsive: Whether the instance sends nothing on new and open connections.
        paused_term: Term of the PAUSE that stopped replication to this replica, or 0 if it is replicating.
        paused_at: Number of commits that the replica had received when it was paused.
        lose_answers: Number of next responses to callers' statements to drop by closing the connection.
        swallow_answers: Number of next responses to callers' statements that are never sent on an open connection.
        error_codes: Error codes with which the next statements fail, without being run.
        accepted_connections: Number of connections accepted so far.
    """

    def __init__(self, service: Service, instance_id: str):
        self.service = service
        self.id = instance_id
        self.unresponsive = False
        self.paused_term = 0
        self.paused_at = 0
        self.lose_answers = 0
        self.swallow_answers = 0
        self.error_codes: list[str] = []
        self.connections: set[Connection] = set()
        self.accepted_connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def is_primary(self) -> bool:
        """Whether this instance is the primary."""
        return self.service.primary == self.id

    async def start(self) -> None:
        """Listen on a free loopback port, or on the previous one after a stop."""
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", self.port, limit=MAX_LINE_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self, reader, writer)
        try:
            await connection.serve()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """Connection to an instance, with its session values, prepared statements and at most one open transaction.

    Attributes:
        state: State that READY reports: I (idle), T (in a transaction) or E (in a failed transaction).
        read_write: Whether the transaction was opened by BEGIN, not by BEGIN READ.
        term: Term in which the transaction began.
        pending: Writes of the open transaction.
    """

    _signature_numbers = itertools.count()

    def __init__(self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.instance = instance
        self.service = instance.service
        self.reader = reader
        self.writer = writer
        self.organisation = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.read_write = False
        self.term = 0
        self.pending: list[tuple[str, str, str]] = []

    def send(self, *messages: str) -> None:
        """Send messages, unless the instance is unresponsive."""
        if not self.instance.unresponsive:
            self.writer.write("".join(f"{message}\r\n" for message in messages).encode())

    async def read_line(self) -> str:
        """Read the next line, without its line ending."""
        line = await self.reader.readuntil(b"\r\n")
        return line[:-2].decode()

    def ready_message(self) -> str:
        """Return the READY message that ends a response."""
        return f"READY {self.state} {self.service.position(self.service.applied(self.instance))}"

    async def serve(self) -> None:
        """Handle the connection until it ends."""
        word, service, self.organisation, *expected = (await self.read_line()).split(" ")
        if word != "START" or service != self.service.name or (expected and expected[0] != self.instance.id):
            self.send("ERR MISROUTED -")
            return
        if len(self.instance.connections) >= self.service.max_connections:
            self.send("ERR OVERLOAD -")
            return
        self.instance.connections.add(self)
        self.instance.accepted_connections += 1
        self.send(self.ready_message())
        while True:
            line = await self.read_line()
            if line == "BYE":
                return
            word, request, text = line.split(" ", 2)
            if self.instance.unresponsive:
                continue
            before = len(self.service.log)
            messages = self.execute(request, text)
            if len(self.service.log) > before and not await self.wait_replicated(self.service.log[-1]):
                return
            if request != "-" and self.instance.lose_answers:
                self.instance.lose_answers -= 1
                return
            if request != "-" and self.instance.swallow_answers:
                self.instance.swallow_answers -= 1
                continue
            self.send(*messages, self.ready_message())
            await self.writer.drain()

    async def wait_replicated(self, commit: Commit) -> bool:
        """Wait until a replica has received a commit; return False if this instance stops being the primary first."""
        while self.instance.is_primary and commit in self.service.log:
            if any(self.service.received(item) >= commit.number for item in self.service.replicas()):
                return True
            await asyncio.sleep(0.005)
        return False

    def fail(self, code: str) -> list[str]:
        """Return an error message; an open transaction fails with it."""
        if self.state == "T":
            self.state = "E"
            self.pending = []
        return [f"ERR {code} {self.instance.id}"]

    def execute(self, request: str, text: str) -> list[str]:
        """Run a statement and return its response messages, without the final READY."""
        if self.state == "E" and text not in ("ROLLBACK", "COMMIT"):
            return ["ERR MALFORMED -"]
        if request != "-" and self.instance.error_codes:
            return self.fail(self.instance.error_codes.pop(0))
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if int(position.split(".")[1]) > self.service.applied(self.instance):
                return self.fail("LAGGING")
        word, _, rest = text.partition(" ")
        return getattr(self, f"do_{word.lower()}")(request, text, rest)

    def do_begin(self, request: str, text: str, rest: str) -> list[str]:
        """Begin a transaction; a replica accepts only BEGIN READ."""
        if rest != "READ" and not self.instance.is_primary:
            return self.fail("READONLY")
        self.state, self.read_write, self.term, self.pending = "T", rest != "READ", self.service.term, []
        return ["DONE -"]

    def do_rollback(self, request: str, text: str, rest: str) -> list[str]:
        """Roll back the transaction."""
        self.state, self.pending = "I", []
        return ["DONE -"]

    def do_commit(self, request: str, text: str, rest: str) -> list[str]:
        """Commit the writes of the transaction; a failed transaction is rolled back instead."""
        failed, writes, self.pending = self.state == "E", self.pending, []
        self.state = "I"
        if failed:
            return ["DONE -"]
        if writes:
            if not self.instance.is_primary:
                return ["ERR READONLY -"]
            self.commit(writes)
        self.record_execution(request, text)
        return [f"DONE {self.signature(request)}"]

    def do_read(self, request: str, text: str, rest: str) -> list[str]:
        """Return the latest value of an item among the applied commits and the pending writes."""
        if self.state == "T" and self.read_write and not self.is_primary_of_transaction():
            return self.fail("READONLY")
        self.record_execution(request, text)
        value = "none"
        for commit in self.service.log[: self.service.applied(self.instance)]:
            for _, item, data in commit.writes:
                value = data if item == rest else value
        for _, item, data in self.pending:
            value = data if item == rest else value
        return [f"ROW {value}", f"DONE {self.signature(request)}"]

    def do_write(self, request: str, text: str, rest: str) -> list[str]:
        """Write an item; outside a transaction it is committed at once."""
        if not self.instance.is_primary or (self.state == "T" and not self.is_primary_of_transaction()):
            return self.fail("READONLY")
        item, _, data = rest.partition(" ")
        self.record_execution(request, text)
        if self.state == "T":
            self.pending.append((request, item, data))
        else:
            self.commit([(request, item, data)])
        return [f"DONE {self.signature(request)}"]

    def do_set(self, request: str, text: str, rest: str) -> list[str]:
        """Set a session value."""
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return ["DONE -"]

    def do_prepare(self, request: str, text: str, rest: str) -> list[str]:
        """Store a prepared statement."""
        name, mode, template = rest.split(" ", 2)
        self.prepared[name] = mode, template
        return ["DONE -"]

    def do_exec(self, request: str, text: str, rest: str) -> list[str]:
        """Run a prepared statement."""
        name, _, argument = rest.partition(" ")
        if name not in self.prepared:
            return self.fail("NOSTMT")
        mode, template = self.prepared[name]
        word = "do_write" if mode == "WRITE" else "do_read"
        return getattr(self, word)(request, f"EXEC {template} {argument}", argument)

    def do_reset(self, request: str, text: str, rest: str) -> list[str]:
        """Clear the session values and prepared statements."""
        self.values, self.prepared = {}, {}
        return ["DONE -"]

    def do_status(self, request: str, text: str, rest: str) -> list[str]:
        """Return role, term, received position, term of the pause, lag, busy slots and number of connections."""
        role = "primary" if self.instance.is_primary else "replica"
        received = self.service.position(self.service.received(self.instance))
        count = len(self.instance.connections)
        return [f"ROW {role} {self.service.term} {received} {self.instance.paused_term} 0 0 {count}", "DONE -"]

    def do_pause(self, request: str, text: str, rest: str) -> list[str]:
        """Pause replication to this replica until RESUME or a promotion."""
        if not self.instance.is_primary and int(rest) > self.service.term:
            self.instance.paused_at = self.service.received(self.instance)
            self.instance.paused_term = int(rest)
        return self.do_status(request, text, rest)

    def do_demote(self, request: str, text: str, rest: str) -> list[str]:
        """Stop being the primary."""
        if self.instance.is_primary and int(rest) > self.service.term:
            self.service.primary = ""
        return self.do_status(request, text, rest)

    def do_resume(self, request: str, text: str, rest: str) -> list[str]:
        """Resume replication to this replica."""
        self.instance.paused_term = 0
        return self.do_status(request, text, rest)

    def is_primary_of_transaction(self) -> bool:
        """Return whether this instance is still the primary in the term in which the transaction began."""
        return self.instance.is_primary and self.term == self.service.term

    def commit(self, writes: list[tuple[str, str, str]]) -> None:
        """Append a commit to the log of the service."""
        number = len(self.service.log) + 1
        self.service.log.append(Commit(self.service.term, number, time.monotonic(), tuple(writes)))

    def record_execution(self, request: str, text: str) -> None:
        """Record that a caller's statement ran on this instance."""
        applied = self.service.applied(self.instance)
        values = tuple(sorted(self.values.items()))
        self.service.runs.append(
            ExecutedStatement(self.instance.id, request, text, self.organisation, values, applied, time.monotonic())
        )

    def signature(self, request: str) -> str:
        """Return the signature that proves that this instance ran a request."""
        return f"{self.instance.id}.{request}.{next(self._signature_numbers)}"
