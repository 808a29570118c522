"""One connection to an instance, opened for one organisation."""

import abc
import asyncio
from collections.abc import Mapping

from currantlead import errors
from currantlead.peers import sockets
from currantlead.platform import lines
from currantlead.sessions import clock, model, statements

CONNECT_TIMEOUT_S = 0.6
"""Two round trips between regions (50 ms), the instance's handshake work (30 ms) and a queue for its slots."""

codec = lines.InstanceLines()


class Conversation(abc.ABC):
    """Exchange statements with an instance, and know the values and prepared statements of the connection.

    Attributes:
        instance: The instance.
        organisation: Organisation that the connection was opened for.
        state: State of the connection's transaction after the last answer.
        values: Session values set on the connection.
        prepared: Name of each prepared statement, by whether it writes and its shape.
    """

    def __init__(self, instance: model.Instance, organisation: str):
        self.instance = instance
        self.organisation = organisation
        self.state = statements.TransactionState.IDLE
        self.values: dict[str, str] = {}
        self.prepared: dict[tuple[bool, str], str] = {}

    @property
    @abc.abstractmethod
    def open(self) -> bool:
        """Tell whether the connection has not been closed here."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Drop the connection at once; the instance rolls back what is open on it."""

    @abc.abstractmethod
    async def exchange(self, messages: bytes, *, count: int = 1, timeout_s: float) -> list[statements.Reply]:
        """Send messages together and return their answers.

        Args:
            messages: One or more encoded messages.
            count: How many answers they have.
            timeout_s: Limit for all answers, in seconds.

        Raises:
            errors.LinkLostError: The connection ended or was silent; it has been dropped.
        """

    async def synchronise(self, values: Mapping[str, str], *, timeout_s: float) -> None:
        """Give the connection exactly a session's values.

        Raises:
            errors.LinkLostError: The connection ended, or the instance refused a value; it has been dropped.
        """
        messages = []
        if any(name not in values for name in self.values):
            messages.append(codec.encode_reset())
            self.values = {}
            self.prepared = {}
        changed = {name: value for name, value in values.items() if self.values.get(name) != value}
        messages += [codec.encode_set(name, value) for name, value in changed.items()]
        if not messages:
            return
        replies = await self.exchange(b"".join(messages), count=len(messages), timeout_s=timeout_s)
        for reply in replies:
            self._check(reply, "a session value")
        self.values.update(changed)

    async def prepare(self, writes: bool, shape: str, *, timeout_s: float) -> str:
        """Return the connection's name of a prepared statement, after preparing it if need be.

        Raises:
            errors.LinkLostError: The connection ended, or the instance refused it; it has been dropped.
        """
        name = self.prepared.get((writes, shape))
        if name is None:
            name = f"p{len(self.prepared)}"
            (reply,) = await self.exchange(codec.encode_prepare(name, writes, shape), timeout_s=timeout_s)
            self._check(reply, "a prepared statement")
            self.prepared[writes, shape] = name
        return name

    def forget_prepared(self) -> None:
        """Let every statement be prepared again, after the instance did not know one."""
        self.prepared = {}

    def _check(self, reply: statements.Reply, what: str) -> None:
        if reply.failure is not None:
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id} refused {what}: {reply.failure}", sent=False)


class Link(Conversation):
    """Hold a connection of this VM to an instance."""

    def __init__(
        self,
        instance: model.Instance,
        organisation: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        super().__init__(instance, organisation)
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, instance: model.Instance, organisation: str) -> "Link":
        """Open a connection.

        Args:
            instance: The instance; its identity is checked by the instance itself.
            organisation: Name of the organisation that the instance is told.

        Raises:
            errors.LinkRefusedError: The instance refused it or cannot be reached.
        """
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    instance.host, instance.port, limit=lines.MAX_MESSAGE_BYTES + len(lines.LINE_END)
                )
                sockets.configure(writer)
                writer.write(codec.encode_start(instance.service, organisation, instance.id))
                link = cls(instance, organisation, reader, writer)
                message = await link._receive()
        except (TimeoutError, OSError, asyncio.IncompleteReadError, errors.MalformedFrameError) as error:
            if writer is not None:
                writer.transport.abort()
            raise errors.LinkRefusedError(f"cannot connect to {instance.id}: {error!r}", overloaded=False) from error
        except asyncio.CancelledError:
            if writer is not None:
                writer.transport.abort()
            raise
        if isinstance(message, statements.Ready):
            return link
        link.close()
        overloaded = isinstance(message, statements.Failure) and message.code is statements.Code.OVERLOADED
        raise errors.LinkRefusedError(f"{instance.id} refused a connection: {message}", overloaded=overloaded)

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and outside a transaction."""
        return (
            not self._reader.at_eof()
            and not self._writer.is_closing()
            and (self.state is statements.TransactionState.IDLE)
        )

    @property
    def open(self) -> bool:
        """Tell whether the connection has not been closed here."""
        return not self._writer.is_closing()

    def close(self) -> None:
        """Close the connection; the instance rolls back what is open on it."""
        self._writer.close()

    def abort(self) -> None:
        """Drop the connection at once, without waiting for bytes that are still to be sent."""
        self._writer.transport.abort()

    async def exchange(self, messages: bytes, *, count: int = 1, timeout_s: float) -> list[statements.Reply]:
        """Send messages together and return their answers; see ``Conversation.exchange``."""
        if self._reader.at_eof() or self._writer.is_closing():
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id} closed the connection", sent=False)
        asked_at = clock.now()
        self._writer.write(messages)
        try:
            async with asyncio.timeout(timeout_s):
                return [await self._reply(asked_at) for _ in range(count)]
        except TimeoutError as error:
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id} is silent", sent=True, timed_out=True) from error
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, errors.MalformedFrameError) as error:
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id}: {error!r}", sent=True) from error
        except asyncio.CancelledError:
            self.abort()
            raise

    async def _receive(self) -> statements.InstanceMessage:
        line = await self._reader.readuntil(lines.LINE_END)
        return codec.decode_reply(line[: -len(lines.LINE_END)])

    async def _reply(self, asked_at: float) -> statements.Reply:
        rows: list[str] = []
        result: statements.Done | statements.Failure | None = None
        while True:
            message = await self._receive()
            if isinstance(message, statements.Row):
                rows.append(message.data)
            elif isinstance(message, statements.Ready):
                if result is None:
                    raise errors.MalformedFrameError("answer without a result")
                self.state = message.state
                return statements.Reply(tuple(rows), result, message.state, message.position, asked_at)
            else:
                result = message
