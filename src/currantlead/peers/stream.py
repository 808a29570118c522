"""Carry frames over one TCP connection between two VMs."""

import asyncio
from typing import Any, Protocol

from currantlead import errors, logs
from currantlead.peers import frames, sockets

SEND_BUFFER_BYTES = 8 * 1024 * 1024
"""Two of the largest frames; a peer that reads no more loses its stream."""
HELLO_TIMEOUT_S = 2.0
"""As long as the opening of a connection may take."""

_log = logs.part("peers")


class Owner(Protocol):
    """Describe what a stream needs of the network that it belongs to."""

    incarnation: int
    dropped: int
    bytes_sent: int
    bytes_received: int

    def hello(self) -> dict[str, Any]:
        """Return the body of this VM's hello frame."""

    def opened(self, stream: "Stream") -> None:
        """Take note of a stream before its hello."""

    def greeted(self, stream: "Stream", hello: dict[str, Any]) -> None:
        """Accept a stream after its hello; raise ``errors.MalformedFrameError`` to refuse it."""

    def received(self, stream: "Stream", kind: str, number: int, body: dict[str, Any]) -> None:
        """Handle a request or notification."""

    def lost(self, stream: "Stream") -> None:
        """Forget a closed stream."""


class Stream(asyncio.Protocol):
    """Exchange frames with one peer.

    Attributes:
        vm: Name of the peer, empty before its hello.
        incarnation: The peer's incarnation.
        heard_at: Reading of the loop's clock when the last bytes came, or when the oldest unanswered request was sent.
        ready: Becomes done after the peer's hello, or fails when the stream closes before it.
    """

    def __init__(self, owner: Owner, expected: str = ""):
        self._owner = owner
        self._expected = expected
        self._loop = asyncio.get_running_loop()
        self._decoder = frames.Decoder()
        self._waiting: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self._transport: asyncio.Transport | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self._numbers = 0
        self.vm = ""
        self.incarnation = 0
        self.heard_at = self._loop.time()
        self.ready: asyncio.Future[None] = self._loop.create_future()
        # Nobody waits for an accepted stream; this marks its failure as seen.
        self.ready.add_done_callback(lambda done: done.cancelled() or done.exception())

    @property
    def waiting(self) -> bool:
        """Tell whether requests wait for their replies."""
        return bool(self._waiting)

    @property
    def closed(self) -> bool:
        """Tell whether no more frames can be sent."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        """Send the hello frame."""
        self._transport = transport
        sockets.configure(transport)
        self._owner.opened(self)
        transport.write(frames.encode("hello", 0, self._owner.incarnation, self._owner.hello()))
        self._deadline = self._loop.call_later(HELLO_TIMEOUT_S, self.close, "no hello")

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are complete."""
        self._owner.bytes_received += len(data)
        self.heard_at = self._loop.time()
        try:
            for kind, number, incarnation, body in self._decoder.feed(data):
                if not self.vm:
                    self._greet(kind, body)
                elif kind == "reply" or kind == "error":
                    self._answer(kind, number, incarnation, body)
                elif incarnation == self.incarnation:
                    self._owner.received(self, kind, number, body)
                else:
                    self._owner.dropped += 1
                if self.closed:
                    return
        except errors.MalformedFrameError as error:
            self.close(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail everything that waits for an answer."""
        if self._deadline is not None:
            self._deadline.cancel()
        if self._decoder.pending:
            _log.warning("stream of {} ended inside a frame", self.vm or "unknown peer")
        if not self.ready.done():
            self.ready.set_exception(errors.PeerUnreachableError(f"stream of {self._expected} closed before its hello"))
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(errors.PeerAnswerLostError(f"stream of {self.vm} closed before the answer"))
        self._waiting.clear()
        self._owner.lost(self)

    def finish(self) -> None:
        """Close the stream after the bytes in its send buffer."""
        if self._transport is not None:
            self._transport.close()

    def close(self, reason: str) -> None:
        """Close the stream at once.

        Args:
            reason: Cause for the log.
        """
        if self._transport is not None and not self._transport.is_closing():
            _log.info("closing stream of {}: {}", self.vm or self._expected or "unknown peer", reason)
            self._transport.abort()

    def send(self, kind: str, number: int, incarnation: int, body: dict[str, Any]) -> None:
        """Send one frame.

        Raises:
            errors.PeerUnreachableError: No byte was sent.
        """
        try:
            data = frames.encode(kind, number, incarnation, body)
        except errors.MalformedFrameError as error:
            raise errors.PeerUnreachableError(str(error)) from None
        transport = self._transport
        if transport is None or transport.is_closing():
            raise errors.PeerUnreachableError(f"stream of {self.vm} is closed")
        if transport.get_write_buffer_size() + len(data) > SEND_BUFFER_BYTES:
            raise errors.PeerUnreachableError(f"send buffer of {self.vm} is full")
        transport.write(data)
        self._owner.bytes_sent += len(data)

    async def request(self, kind: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Send a request and wait for its reply.

        Raises:
            errors.PeerUnreachableError: No byte was sent.
            errors.PeerAnswerLostError: No reply came in time, or the peer's handler failed.
        """
        self._numbers = number = self._numbers + 1
        self.send(kind, number, self._owner.incarnation, body)
        if not self._waiting:
            self.heard_at = self._loop.time()
        self._waiting[number] = waiting = self._loop.create_future()
        timer = self._loop.call_later(timeout_s, self._expire, number, kind)
        try:
            return await waiting
        finally:
            timer.cancel()
            self._waiting.pop(number, None)

    def _expire(self, number: int, kind: str) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None and not waiting.done():
            waiting.set_exception(errors.PeerAnswerLostError(f"{self.vm} did not answer {kind} in time"))

    def _greet(self, kind: str, body: dict[str, Any]) -> None:
        vm, incarnation = body.get("vm"), body.get("incarnation")
        if kind != "hello" or type(vm) is not str or not vm or type(incarnation) is not int:
            raise errors.MalformedFrameError("first frame is no hello")
        if body.get("protocol") != frames.PROTOCOL:
            raise errors.MalformedFrameError(f"{vm} speaks protocol {body.get('protocol')!r}, not {frames.PROTOCOL}")
        if self._expected and vm != self._expected:
            raise errors.MalformedFrameError(f"{vm} answered at the address of {self._expected}")
        if self._deadline is not None:
            self._deadline.cancel()
        self.vm, self.incarnation = vm, incarnation
        self._owner.greeted(self, body)
        if not self.ready.done():
            self.ready.set_result(None)

    def _answer(self, kind: str, number: int, incarnation: int, body: dict[str, Any]) -> None:
        waiting = self._waiting.pop(number, None) if incarnation == self._owner.incarnation else None
        if waiting is None or waiting.done():
            self._owner.dropped += 1
        elif kind == "reply":
            waiting.set_result(body)
        else:
            waiting.set_exception(errors.PeerAnswerLostError(f"{self.vm} failed: {body.get('error')}"))
