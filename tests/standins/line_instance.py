"""Stand-in for the instances of one service on the users' platform: logs, replication, terms and promotions.

A commit is acknowledged once at least one replica has received it, as in semi-synchronous replication. Each instance
has a log of its own, which is gone when it leaves.
"""

import asyncio
import time
from collections.abc import Callable

from tests.standins import line_connection, replicated_log

MAX_LINE_BYTES = 1024 * 1024 + 2
ROLLBACK_S = 0.1
"""Time for which a replica is busy after commits were rolled back on it."""


class Service:
    """Instances of a service and the replication between them; each commit with writes gets the next number.

    Attributes:
        promote_s: Time after which an accepted promotion takes effect, in seconds.
        primary: Identity of the primary, or empty while there is none; it may have crashed.
        lag_s: Apply lag by replica, in seconds.
        cut_off_after: Number of commits after which the replicas receive nothing more from the primary, or None.
        cut_links: Pairs of instances between which nothing is replicated.
        runs: Statements that the instances ran, in order.
        acknowledged: Commits whose answer was sent on a connection that was still open, and that are not lost.
        lost: Acknowledged commits that were missing from the promoted log when a promotion took effect.
        delays_s: Delay of the answers to statements by their first word, in seconds.
        on_role_change: Called when an instance has become the primary or a replica.
        on_command: Called with an instance, the command and its term before it carries out PAUSE, DEMOTE or RESUME.
    """

    def __init__(self, name: str, ids: list[str], *, max_connections: int = 16, promote_s: float = 0.05):
        self.name = name
        self.max_connections = max_connections
        self.promote_s = promote_s
        self.term = 1
        self.instances = {instance_id: Instance(self, instance_id) for instance_id in ids}
        self.primary = ids[0]
        self._last_primary = self.instances[ids[0]]
        self.runs: list[replicated_log.ExecutedStatement] = []
        self.acknowledged: list[replicated_log.Commit] = []
        self.lost: list[replicated_log.LostCommit] = []
        self.lag_s: dict[str, float] = {}
        self.cut_off_after: int | None = None
        self.cut_links: set[frozenset[str]] = set()
        self.delays_s: dict[str, float] = {}
        self.on_role_change: Callable[[], None] = lambda: None
        self.on_command: Callable[[Instance, str, int], None] = lambda instance, command, term: None

    @property
    def log(self) -> list[replicated_log.Commit]:
        """Commits of the primary, or of the last one while there is none."""
        return self._last_primary.log.commits

    def cut(self, one: str, other: str) -> None:
        """Stop replication between two instances."""
        self.cut_links.add(frozenset((one, other)))

    def replicate(self) -> None:
        """Let the replicas receive what the primary has committed."""
        primary = self.instances.get(self.primary)
        if primary is None or not primary.is_running:
            return
        for replica in self.replicas():
            if replica.paused_term == 0 and frozenset((primary.id, replica.id)) not in self.cut_links:
                replica.receive(primary.log, self.cut_off_after)

    def received(self, instance: "Instance") -> int:
        """Return how many commits an instance has received."""
        self.replicate()
        return len(instance.log)

    def applied(self, instance: "Instance") -> int:
        """Return how many commits an instance has applied."""
        received = self.received(instance)
        lag_s = self.lag_s.get(instance.id, 0.0)
        return instance.log.count_until(time.monotonic() - lag_s) if lag_s and not instance.is_primary else received

    def replicas(self) -> list["Instance"]:
        """Return the replicas that are running and responsive and so receive commits, also those that drain."""
        return [
            item
            for item in self.instances.values()
            if item.is_running and not item.is_primary and not item.unresponsive
        ]

    def promote(self, instance_id: str) -> bool:
        """Make an instance the primary of the next term at once; return False if it cannot be promoted.

        Commits that the new primary has not received are rolled back on all others. A replica that was paused for a
        term higher than the new one stays paused.
        """
        chosen = self.instances.get(instance_id)
        if chosen is None or not chosen.can_be_promoted:
            return False
        if instance_id == self.primary:
            return True
        self.replicate()
        missing = [commit for commit in self.acknowledged if commit not in chosen.log]
        self.lost += [replicated_log.LostCommit(instance_id, commit) for commit in missing]
        self.acknowledged = [commit for commit in self.acknowledged if commit in chosen.log]
        self.term += 1
        self.primary = instance_id
        self._last_primary = chosen
        chosen.paused_term = 0
        for instance in self.instances.values():
            if instance.paused_term <= self.term:
                instance.paused_term = 0
            if instance.is_running:
                instance.roll_back(chosen.log)
        self.on_role_change()
        return True

    def request_promotion(self, instance_id: str) -> bool:
        """Let a promotion take effect ``promote_s`` later; return False if the instance is not running.

        For the present primary, nothing changes.
        """
        chosen = self.instances.get(instance_id)
        if chosen is None or not chosen.can_be_promoted:
            return False
        if instance_id != self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.promote, instance_id)
        return True

    async def join(self, instance_id: str) -> "Instance":
        """Start a new replica, which copies the log of the primary."""
        joined = Instance(self, instance_id)
        joined.log.follow(self._last_primary.log)
        await joined.start()
        self.instances[instance_id] = joined
        return joined

    async def leave(self, instance_id: str) -> None:
        """Stop an instance for good; its log is gone with it."""
        if self.primary == instance_id:
            self.primary = ""
        await self.instances.pop(instance_id).stop()

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
        log: Commits that the instance has received.
        unresponsive: Whether the instance sends nothing on new and open connections.
        paused_term: Term of the PAUSE that stopped replication to this replica, or 0 if it is replicating.
        lose_answers: Number of next responses to callers' statements to drop by closing the connection.
        swallow_answers: Number of next responses to callers' statements that are never sent on an open connection.
        error_codes: Error codes with which the next statements fail, without being run.
        accepted_connections: Number of connections accepted so far.
    """

    def __init__(self, service: Service, instance_id: str):
        self.service = service
        self.id = instance_id
        self.log = replicated_log.Log()
        self.unresponsive = False
        self.paused_term = 0
        self.lose_answers = 0
        self.swallow_answers = 0
        self.error_codes: list[str] = []
        self.connections: set[line_connection.Connection] = set()
        self.accepted_connections = 0
        self.port = 0
        self._busy_until = 0.0
        self._server: asyncio.Server | None = None

    @property
    def is_primary(self) -> bool:
        """Whether this instance is the primary."""
        return self.service.primary == self.id

    @property
    def is_running(self) -> bool:
        """Whether the instance is running."""
        return self._server is not None

    @property
    def can_be_promoted(self) -> bool:
        """Whether the instance is running and responsive."""
        return self.is_running and not self.unresponsive

    @property
    def is_rolling_back(self) -> bool:
        """Whether the instance is busy because commits were rolled back on it."""
        return time.monotonic() < self._busy_until

    def position(self, count: int) -> str:
        """Return the log position after ``count`` commits, as ``term.number``."""
        if count:
            return f"{self.log.commits[count - 1].term}.{count}"
        return f"{1 if self.service.log else self.service.term}.0"

    def receive(self, log: replicated_log.Log, limit: int | None) -> None:
        """Receive commits of the primary's log, up to a limit."""
        if self.log.follow(log, limit):
            self._busy_until = time.monotonic() + ROLLBACK_S

    def roll_back(self, log: replicated_log.Log) -> None:
        """Remove the commits that the log of a new primary lacks."""
        if self.log.roll_back(log):
            self._busy_until = time.monotonic() + ROLLBACK_S

    def pause(self, term: int) -> None:
        """Stop receiving, if this is a replica and the term is the newest."""
        self.service.on_command(self, "PAUSE", term)
        if not self.is_primary and term > max(self.service.term, self.paused_term):
            self.service.replicate()
            self.paused_term = term

    def resume(self) -> None:
        """Receive again."""
        self.service.on_command(self, "RESUME", 0)
        self.paused_term = 0

    def demote(self, term: int) -> None:
        """Become a replica, if this is the primary of a lower term."""
        self.service.on_command(self, "DEMOTE", term)
        if self.is_primary and term > self.service.term:
            self.service.replicate()
            self.service.primary = ""
            self.service.on_role_change()

    async def start(self) -> None:
        """Listen on a free loopback port, or on the previous one after a stop; the log is kept, and a pause ends."""
        self.paused_term = 0
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", self.port, limit=MAX_LINE_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    async def restart(self) -> None:
        """Stop and start again."""
        await self.stop()
        await self.start()
        self.service.on_role_change()

    async def stop(self) -> None:
        """Close the listener and abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = line_connection.Connection(self, reader, writer)
        try:
            await connection.serve()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()
