"""Connection to an instance, opened on behalf of one organisation."""

import abc
import asyncio
from collections.abc import Mapping

from currantlead import errors
from currantlead.peers import sockets
from currantlead.platform import lines
from currantlead.sessions import clock, model, statements

CONNECT_TIMEOUT_S = 0.6
"""Covers two round trips between regions (50 ms), the instance's handshake (30 ms) and a queue for its slots."""

_codec = lines.InstanceCodec()


class BaseLink(abc.ABC):
    """Connection to an instance that tracks its session values and prepared statements.

    Attributes:
        instance: The instance.
        organisation: Organisation that the connection was opened for.
        state: State of the connection's transaction after the last reply.
        values: Session values that are set on the connection.
        prepared: Names of the prepared statements, by whether they write and their shape.
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
        """Return whether the connection has not been closed by this side."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection immediately; the instance rolls back an open transaction."""

    @abc.abstractmethod
    async def exchange(self, messages: bytes, *, count: int = 1, timeout_s: float) -> list[statements.Reply]:
        """Send pipelined messages and return their replies.

        Args:
            messages: One or more encoded messages.
            count: Number of replies to expect.
            timeout_s: Time limit for all replies, in seconds.

        Raises:
            errors.LinkLostError: The connection was closed or timed out; it has been aborted.
        """

    async def set_session_values(self, values: Mapping[str, str], *, timeout_s: float) -> None:
        """Set exactly the given session values, resetting the connection if it has others.

        Raises:
            errors.LinkLostError: The connection was lost, or the instance refused a value; it has been aborted.
        """
        messages = []
        if any(name not in values for name in self.values):
            messages.append(_codec.encode_reset())
            self.values = {}
            self.prepared = {}
        to_set = {name: value for name, value in values.items() if self.values.get(name) != value}
        messages += [_codec.encode_set(name, value) for name, value in to_set.items()]
        if not messages:
            return
        replies = await self.exchange(b"".join(messages), count=len(messages), timeout_s=timeout_s)
        for reply in replies:
            self._check_accepted(reply, "a session value")
        self.values.update(to_set)

    async def prepare(self, writes: bool, shape: str, *, timeout_s: float) -> str:
        """Return the name of a prepared statement on this connection, preparing it if necessary.

        Raises:
            errors.LinkLostError: The connection was lost, or the instance refused the statement; it has been aborted.
        """
        name = self.prepared.get((writes, shape))
        if name is None:
            name = f"p{len(self.prepared)}"
            (reply,) = await self.exchange(_codec.encode_prepare(name, writes, shape), timeout_s=timeout_s)
            self._check_accepted(reply, "a prepared statement")
            self.prepared[writes, shape] = name
        return name

    def forget_prepared(self) -> None:
        """Forget all prepared statements, so that they are prepared again after the instance did not know one."""
        self.prepared = {}

    def _check_accepted(self, reply: statements.Reply, subject: str) -> None:
        if reply.failure is not None:
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id} refused {subject}: {reply.failure}", sent=False)


class Link(BaseLink):
    """TCP connection of this VM to an instance."""

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
        self._exchanging = False

    @classmethod
    async def connect(cls, instance: model.Instance, organisation: str) -> "Link":
        """Open a connection.

        Args:
            instance: The instance; it refuses the connection itself if another instance has taken over its address.
            organisation: Name of the organisation, as reported to the instance.

        Raises:
            errors.LinkRefusedError: The instance refused the connection or cannot be reached.
        """
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    instance.host, instance.port, limit=lines.MAX_MESSAGE_BYTES + len(lines.LINE_END)
                )
                sockets.configure(writer)
                writer.write(_codec.encode_start(instance.service, organisation, instance.id))
                link = cls(instance, organisation, reader, writer)
                message = await link._read_message()
        except (
            TimeoutError,
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            errors.MalformedFrameError,
        ) as error:
            if writer is not None:
                writer.transport.abort()
            absent = isinstance(error, ConnectionRefusedError)
            raise errors.LinkRefusedError(
                f"cannot connect to {instance.id}: {error!r}", overloaded=False, absent=absent
            ) from error
        except asyncio.CancelledError:
            if writer is not None:
                writer.transport.abort()
            raise
        if isinstance(message, statements.Ready):
            return link
        link.close()
        code = message.code if isinstance(message, statements.Failure) else None
        raise errors.LinkRefusedError(
            f"{instance.id} refused a connection: {message}",
            overloaded=code is statements.Code.OVERLOADED,
            absent=code is statements.Code.MISROUTED,
        )

    @property
    def usable(self) -> bool:
        """Return whether the connection is open on both sides and outside a transaction."""
        return (
            not self._reader.at_eof()
            and not self._writer.is_closing()
            and (self.state is statements.TransactionState.IDLE)
        )

    @property
    def open(self) -> bool:
        """Return whether the connection has not been closed by this side."""
        return not self._writer.is_closing()

    def close(self) -> None:
        """Close the connection; the instance rolls back an open transaction."""
        self._writer.close()

    def abort(self) -> None:
        """Close the connection immediately, discarding data that has not been sent yet."""
        self._writer.transport.abort()

    async def exchange(self, messages: bytes, *, count: int = 1, timeout_s: float) -> list[statements.Reply]:
        """Send pipelined messages and return their replies; see ``BaseLink.exchange``."""
        if self._reader.at_eof() or self._writer.is_closing():
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id} closed the connection", sent=False)
        if self._exchanging:
            # Two users would read each other's replies.
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id}: the connection is in use", sent=False)
        asked_at = clock.now()
        self._exchanging = True
        self._writer.write(messages)
        try:
            async with asyncio.timeout(timeout_s):
                return [await self._read_reply(asked_at) for _ in range(count)]
        except TimeoutError as error:
            self.abort()
            raise errors.LinkLostError(
                f"{self.instance.id} did not respond in time", sent=True, timed_out=True
            ) from error
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, errors.MalformedFrameError) as error:
            self.abort()
            raise errors.LinkLostError(f"{self.instance.id}: connection lost: {error!r}", sent=True) from error
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._exchanging = False

    async def _read_message(self) -> statements.InstanceMessage:
        line = await self._reader.readuntil(lines.LINE_END)
        return _codec.decode_reply(line[: -len(lines.LINE_END)])

    async def _read_reply(self, asked_at: float) -> statements.Reply:
        rows: list[str] = []
        result: statements.Done | statements.Failure | None = None
        while True:
            message = await self._read_message()
            if isinstance(message, statements.Row):
                rows.append(message.data)
            elif isinstance(message, statements.Ready):
                if result is None:
                    raise errors.MalformedFrameError("reply without a result")
                self.state = message.state
                return statements.Reply(tuple(rows), result, message.state, message.position, asked_at)
            else:
                result = message
