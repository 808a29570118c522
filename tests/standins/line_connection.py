"""Stand-in for one connection to an instance on the users' platform: the line protocol and the statements."""

import asyncio
import itertools
import time
import typing

from tests.standins import replicated_log

if typing.TYPE_CHECKING:
    from tests.standins import line_instance


class Connection:
    """Connection to an instance, with its session values, prepared statements and at most one open transaction.

    Attributes:
        state: State that READY reports: I (idle), T (in a transaction) or E (in a failed transaction).
        read_write: Whether the transaction was opened by BEGIN, not by BEGIN READ.
        term: Term in which the transaction began.
        pending: Writes of the open transaction.
        unanswered: Commit of the statement that is being run, or None.
    """

    _signature_numbers = itertools.count()

    def __init__(self, instance: "line_instance.Instance", reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
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
        self.unanswered: replicated_log.Commit | None = None

    def send(self, *messages: str) -> bool:
        """Send messages, unless the instance is unresponsive; return whether the connection was still open."""
        if self.instance.unresponsive:
            return False
        self.writer.write("".join(f"{message}\r\n" for message in messages).encode())
        return not (self.writer.is_closing() or self.reader.at_eof() or self.reader.exception())

    async def read_line(self) -> str:
        """Read the next line, without its line ending."""
        line = await self.reader.readuntil(b"\r\n")
        return line[:-2].decode()

    def ready_message(self) -> str:
        """Return the READY message that ends a response.

        That of the primary carries the end of its log, which may include commits that are not acknowledged yet.
        """
        return f"READY {self.state} {self.instance.position(self.service.applied(self.instance))}"

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
            self.unanswered = None
            messages = self.execute(request, text)
            if self.service.delays_s:
                await asyncio.sleep(self.service.delays_s.get(text.partition(" ")[0], 0.0))
            if self.unanswered is not None and not await self.wait_replicated(self.unanswered):
                return
            if request != "-" and self.instance.lose_answers:
                self.instance.lose_answers -= 1
                return
            if request != "-" and self.instance.swallow_answers:
                self.instance.swallow_answers -= 1
                continue
            if self.send(*messages, self.ready_message()) and self.unanswered is not None:
                self.service.acknowledged.append(self.unanswered)
            await self.writer.drain()

    async def wait_replicated(self, commit: replicated_log.Commit) -> bool:
        """Wait until a replica has received a commit; return False if this instance stops being the primary first."""
        while self.instance.is_primary and commit in self.instance.log:
            self.service.replicate()
            if any(commit in item.log for item in self.service.replicas()):
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
        if word in ("READ", "EXEC", "BEGIN", "STATUS") and self.instance.is_rolling_back:
            return self.fail("BUSY")
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
        for commit in self.instance.log.commits[: self.service.applied(self.instance)]:
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
        received = self.instance.position(self.service.received(self.instance))
        count = len(self.instance.connections)
        return [f"ROW {role} {self.service.term} {received} {self.instance.paused_term} 0 0 {count}", "DONE -"]

    def do_pause(self, request: str, text: str, rest: str) -> list[str]:
        """Pause replication to this replica until RESUME, a restart, or a promotion to the term of the pause."""
        self.instance.pause(int(rest))
        return self.do_status(request, text, rest)

    def do_demote(self, request: str, text: str, rest: str) -> list[str]:
        """Stop being the primary."""
        self.instance.demote(int(rest))
        return self.do_status(request, text, rest)

    def do_resume(self, request: str, text: str, rest: str) -> list[str]:
        """Resume replication to this replica."""
        self.instance.resume()
        return self.do_status(request, text, rest)

    def is_primary_of_transaction(self) -> bool:
        """Return whether this instance is still the primary in the term in which the transaction began."""
        return self.instance.is_primary and self.term == self.service.term

    def commit(self, writes: list[tuple[str, str, str]]) -> None:
        """Append a commit to the log of this instance; replicas that can be reached receive it at once."""
        number = len(self.instance.log) + 1
        self.unanswered = replicated_log.Commit(self.service.term, number, time.monotonic(), tuple(writes))
        self.instance.log.append(self.unanswered)
        self.service.replicate()

    def record_execution(self, request: str, text: str) -> None:
        """Record that a caller's statement ran on this instance."""
        applied = self.service.applied(self.instance)
        values = tuple(sorted(self.values.items()))
        self.service.runs.append(
            replicated_log.ExecutedStatement(
                self.instance.id, request, text, self.organisation, values, applied, time.monotonic()
            )
        )

    def signature(self, request: str) -> str:
        """Return the signature that proves that this instance ran a request."""
        return f"{self.instance.id}.{request}.{next(self._signature_numbers)}"
