"""Stand-in for the instances of one service on the users' platform: line protocol, log positions, terms and lag.

A commit is acknowledged once one replica has received it, as with one synchronous replica.
"""

import asyncio
import dataclasses
import itertools
import time

MAX_LINE_BYTES = 1024 * 1024 + 2


@dataclasses.dataclass(frozen=True)
class Commit:
    """Hold one commit of the log."""

    term: int
    number: int
    at: float
    writes: tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class Run:
    """Record one statement that an instance ran for a caller."""

    instance: str
    request: str
    text: str
    organisation: str
    values: tuple[tuple[str, str], ...]
    applied: int


class Service:
    """Hold the instances of a service and their replication; each commit that writes gets the next number.

    Attributes:
        lag_s: Delay of each replica, in seconds.
        cut_at: Number of commits after which the replicas are cut off from the primary, or None.
        runs: Statements that ran, in order.
        answered: Commits that were acknowledged, with the reading of the clock.
    """

    def __init__(self, name: str, ids: list[str], *, cap: int = 16, promote_s: float = 0.05):
        self.name = name
        self.cap = cap
        self.promote_s = promote_s
        self.term = 1
        self.log: list[Commit] = []
        self.instances = {name_: Instance(self, name_) for name_ in ids}
        self.primary = ids[0]
        self.runs: list[Run] = []
        self.lag_s: dict[str, float] = {}
        self.cut_at: int | None = None

    def received(self, instance: "Instance") -> int:
        """Return how many commits an instance has received."""
        if instance.id == self.primary:
            return len(self.log)
        reached = len(self.log) if self.cut_at is None else min(self.cut_at, len(self.log))
        return reached if instance.held_term == 0 else min(instance.held_at, reached)

    def applied(self, instance: "Instance") -> int:
        """Return how many commits an instance has applied."""
        if instance.id == self.primary:
            return len(self.log)
        horizon = time.monotonic() - self.lag_s.get(instance.id, 0.0)
        return sum(commit.at <= horizon for commit in self.log[: self.received(instance)])

    def replicas(self) -> list["Instance"]:
        """Return the replicas that receive at all."""
        return [item for item in self.instances.values() if not item.leads and not item.dark]

    def position(self, count: int) -> str:
        """Return the position after ``count`` commits."""
        return f"{self.log[count - 1].term}.{count}" if count else f"{1 if self.log else self.term}.0"

    def promote(self, instance_id: str) -> bool:
        """Make an instance the primary of the next term; return whether it runs."""
        chosen = self.instances.get(instance_id)
        if chosen is None or chosen.dark:
            return False
        if instance_id != self.primary:
            del self.log[self.received(chosen) :]
            self.term += 1
            self.primary = instance_id
            for instance in self.instances.values():
                instance.held_term = 0
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
    """Serve one instance.

    Attributes:
        dark: Whether it answers nothing, on new and open connections.
        lose_answers: Number of answers to callers' statements that are still to be lost, with their connection.
        refuse: Codes to answer to the next statements, without running them.
    """

    def __init__(self, service: Service, id_: str):
        self.service = service
        self.id = id_
        self.dark = False
        self.held_term = 0
        self.held_at = 0
        self.lose_answers = 0
        self.refuse: list[str] = []
        self.connections: set[Connection] = set()
        self.opened = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def leads(self) -> bool:
        """Tell whether this is the primary."""
        return self.service.primary == self.id

    async def start(self) -> None:
        """Listen on a free loopback port, or on the one of before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port, limit=MAX_LINE_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self, reader, writer)
        try:
            await connection.serve()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """Serve one connection: values, prepared statements and one transaction."""

    _numbers = itertools.count()

    def __init__(self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.instance = instance
        self.service = instance.service
        self.reader = reader
        self.writer = writer
        self.organisation = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.plain = False
        self.term = 0
        self.pending: list[tuple[str, str, str]] = []

    def send(self, *messages: str) -> None:
        """Send messages, unless the instance is dark."""
        if not self.instance.dark:
            self.writer.write("".join(f"{message}\r\n" for message in messages).encode())

    async def line(self) -> str:
        """Return the next line without its end."""
        line = await self.reader.readuntil(b"\r\n")
        return line[:-2].decode()

    def ready(self) -> str:
        """Return the closing message of an answer."""
        return f"READY {self.state} {self.service.position(self.service.applied(self.instance))}"

    async def serve(self) -> None:
        """Answer messages until the connection ends."""
        word, service, self.organisation, *expected = (await self.line()).split(" ")
        if word != "START" or service != self.service.name or (expected and expected[0] != self.instance.id):
            self.send("ERR MISROUTED -")
            return
        if len(self.instance.connections) >= self.service.cap:
            self.send("ERR OVERLOAD -")
            return
        self.instance.connections.add(self)
        self.instance.opened += 1
        self.send(self.ready())
        while True:
            line = await self.line()
            if line == "BYE":
                return
            word, request, text = line.split(" ", 2)
            if self.instance.dark:
                continue
            before = len(self.service.log)
            messages = self.answer(request, text)
            if len(self.service.log) > before and not await self.replicated(self.service.log[-1]):
                return
            if request != "-" and self.instance.lose_answers:
                self.instance.lose_answers -= 1
                return
            self.send(*messages, self.ready())
            await self.writer.drain()

    async def replicated(self, commit: Commit) -> bool:
        """Wait until a replica has received a commit; return False if the lead was lost before that."""
        while self.instance.leads and commit in self.service.log:
            if any(self.service.received(item) >= commit.number for item in self.service.replicas()):
                return True
            await asyncio.sleep(0.005)
        return False

    def fail(self, code: str) -> list[str]:
        """Return a failure; an open transaction fails with it."""
        if self.state == "T":
            self.state = "E"
            self.pending = []
        return [f"ERR {code} {self.instance.id}"]

    def answer(self, request: str, text: str) -> list[str]:
        """Return the messages that answer a statement, without the closing one."""
        if self.state == "E" and text not in ("ROLLBACK", "COMMIT"):
            return ["ERR MALFORMED -"]
        if request != "-" and self.instance.refuse:
            return self.fail(self.instance.refuse.pop(0))
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if int(position.split(".")[1]) > self.service.applied(self.instance):
                return self.fail("LAGGING")
        word, _, rest = text.partition(" ")
        return getattr(self, f"do_{word.lower()}")(request, text, rest)

    def do_begin(self, request: str, text: str, rest: str) -> list[str]:
        """Open a transaction; a plain one only at the primary."""
        if rest != "READ" and not self.instance.leads:
            return self.fail("READONLY")
        self.state, self.plain, self.term, self.pending = "T", rest != "READ", self.service.term, []
        return ["DONE -"]

    def do_rollback(self, request: str, text: str, rest: str) -> list[str]:
        """Drop the transaction."""
        self.state, self.pending = "I", []
        return ["DONE -"]

    def do_commit(self, request: str, text: str, rest: str) -> list[str]:
        """Apply the transaction's writes."""
        failed, writes, self.pending = self.state == "E", self.pending, []
        self.state = "I"
        if failed:
            return ["DONE -"]
        if writes:
            if not self.instance.leads:
                return ["ERR READONLY -"]
            self.commit(writes)
        self.record(request, text)
        return [f"DONE {self.signature(request)}"]

    def do_read(self, request: str, text: str, rest: str) -> list[str]:
        """Return the newest value of an item in this instance's log."""
        if self.state == "T" and self.plain and not self.still_leads():
            return self.fail("READONLY")
        self.record(request, text)
        value = "none"
        for commit in self.service.log[: self.service.applied(self.instance)]:
            for _, item, data in commit.writes:
                value = data if item == rest else value
        for _, item, data in self.pending:
            value = data if item == rest else value
        return [f"ROW {value}", f"DONE {self.signature(request)}"]

    def do_write(self, request: str, text: str, rest: str) -> list[str]:
        """Write an item, at once outside a transaction."""
        if not self.instance.leads or (self.state == "T" and not self.still_leads()):
            return self.fail("READONLY")
        item, _, data = rest.partition(" ")
        self.record(request, text)
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
        """Keep a prepared statement."""
        name, mode, shape = rest.split(" ", 2)
        self.prepared[name] = mode, shape
        return ["DONE -"]

    def do_exec(self, request: str, text: str, rest: str) -> list[str]:
        """Run a prepared statement."""
        name, _, argument = rest.partition(" ")
        if name not in self.prepared:
            return self.fail("NOSTMT")
        mode, shape = self.prepared[name]
        word = "do_write" if mode == "WRITE" else "do_read"
        return getattr(self, word)(request, f"EXEC {shape} {argument}", argument)

    def do_reset(self, request: str, text: str, rest: str) -> list[str]:
        """Drop values and prepared statements."""
        self.values, self.prepared = {}, {}
        return ["DONE -"]

    def do_status(self, request: str, text: str, rest: str) -> list[str]:
        """Return role, term, received position, held term, lag, busy slots and connections."""
        role = "primary" if self.instance.leads else "replica"
        received = self.service.position(self.service.received(self.instance))
        count = len(self.instance.connections)
        return [f"ROW {role} {self.service.term} {received} {self.instance.held_term} 0 0 {count}", "DONE -"]

    def do_pause(self, request: str, text: str, rest: str) -> list[str]:
        """Stop receiving until resumed or promoted."""
        if not self.instance.leads and int(rest) > self.service.term:
            self.instance.held_at = self.service.received(self.instance)
            self.instance.held_term = int(rest)
        return self.do_status(request, text, rest)

    def do_demote(self, request: str, text: str, rest: str) -> list[str]:
        """Stop leading."""
        if self.instance.leads and int(rest) > self.service.term:
            self.service.primary = ""
        return self.do_status(request, text, rest)

    def do_resume(self, request: str, text: str, rest: str) -> list[str]:
        """Receive again."""
        self.instance.held_term = 0
        return self.do_status(request, text, rest)

    def still_leads(self) -> bool:
        """Tell whether this instance leads the term in which the transaction began."""
        return self.instance.leads and self.term == self.service.term

    def commit(self, writes: list[tuple[str, str, str]]) -> None:
        """Append a commit to the log."""
        number = len(self.service.log) + 1
        self.service.log.append(Commit(self.service.term, number, time.monotonic(), tuple(writes)))

    def record(self, request: str, text: str) -> None:
        """Note that a caller's statement ran here."""
        applied = self.service.applied(self.instance)
        values = tuple(sorted(self.values.items()))
        self.service.runs.append(Run(self.instance.id, request, text, self.organisation, values, applied))

    def signature(self, request: str) -> str:
        """Return the proof that this instance ran a request."""
        return f"{self.instance.id}.{request}.{next(self._numbers)}"
