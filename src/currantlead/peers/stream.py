"""Stream of frames over one TCP connection between two VMs."""

import asyncio
from typing import Any, Protocol

from currantlead import errors, logs
from currantlead.peers import frames, sockets

SEND_BUFFER_BYTES = 8 * 1024 * 1024
"""Maximum bytes that wait to be sent, two frames of the maximum size; more frames are refused."""
HELLO_TIMEOUT_S = 2.0
"""Timeout of the peer's hello frame, equal to the timeout of opening a connection."""

_log = logs.part("peers")


class StreamOwner(Protocol):
    """Interface of the network that a stream belongs to."""

    incarnation: int
    dropped_frames: int
    bytes_sent: int
    bytes_received: int

    def hello(self) -> dict[str, Any]:
        """Return the body of this VM's hello frame."""

    def on_open(self, stream: "Stream") -> None:
        """Handle a new stream, before its hello."""

    def on_hello(self, stream: "Stream", hello: dict[str, Any]) -> None:
        """Accept a stream after its hello; raise ``errors.MalformedFrameError`` to refuse it."""

    def on_request(self, stream: "Stream", kind: str, number: int, body: dict[str, Any]) -> None:
        """Handle a request or notification."""

    def on_close(self, stream: "Stream") -> None:
        """Handle the end of a stream."""


class Stream(asyncio.Protocol):
    """Stream of frames to and from one peer.

    Attributes:
        vm: Name of the peer, empty before its hello.
        incarnation: Incarnation of the peer.
        received_at: Time on the loop's clock of the last received bytes, or of the start of the stream.
        silent_since: Time on the loop's clock of the last received bytes, or of the oldest unanswered request if it
            was sent later.
        ready: Future that completes after the peer's hello, or fails if the stream closes before it.
    """

    def __init__(self, owner: StreamOwner, expected_vm: str = ""):
        self._owner = owner
        self._expected_vm = expected_vm
        self._loop = asyncio.get_running_loop()
        self._decoder = frames.Decoder()
        self._replies: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self._transport: asyncio.Transport | None = None
        self._hello_timer: asyncio.TimerHandle | None = None
        self._last_number = 0
        self.vm = ""
        self.incarnation = 0
        self.received_at = self.silent_since = self._loop.time()
        self.ready: asyncio.Future[None] = self._loop.create_future()
        # Nothing awaits this future of an accepted stream; retrieving the exception prevents a warning of asyncio.
        self.ready.add_done_callback(lambda done: done.cancelled() or done.exception())

    @property
    def has_pending_requests(self) -> bool:
        """Whether requests wait for their replies."""
        return bool(self._replies)

    @property
    def closed(self) -> bool:
        """Whether the stream is closed, so that no frames can be sent."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        """Send the hello frame."""
        self._transport = transport
        sockets.configure(transport)
        self._owner.on_open(self)
        transport.write(frames.encode("hello", 0, self._owner.incarnation, self._owner.hello()))
        self._hello_timer = self._loop.call_later(HELLO_TIMEOUT_S, self.close, "no hello in time")

    def data_received(self, data: bytes) -> None:
        """Handle the frames that the received bytes complete."""
        self._owner.bytes_received += len(data)
        self.received_at = self.silent_since = self._loop.time()
        try:
            for kind, number, incarnation, body in self._decoder.feed(data):
                if not self.vm:
                    self._handle_hello(kind, body)
                elif kind == "reply" or kind == "error":
                    self._handle_reply(kind, number, incarnation, body)
                elif incarnation == self.incarnation:
                    self._owner.on_request(self, kind, number, body)
                else:
                    self._owner.dropped_frames += 1
                if self.closed:
                    return
        except errors.MalformedFrameError as error:
            self.close(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the requests that wait for replies, and the hello if it is outstanding."""
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        if self._decoder.pending_bytes:
            _log.warning("stream to {} closed in the middle of a frame", self.vm or "unknown peer")
        if not self.ready.done():
            self.ready.set_exception(
                errors.PeerUnreachableError(f"stream to {self._expected_vm} closed before its hello")
            )
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(errors.PeerAnswerLostError(f"stream to {self.vm} closed before the reply"))
        self._replies.clear()
        self._owner.on_close(self)

    def finish(self) -> None:
        """Close the stream after its send buffer has been written."""
        if self._transport is not None:
            self._transport.close()

    def close(self, reason: str) -> None:
        """Close the stream at once and discard its send buffer.

        Args:
            reason: Reason for the log line.
        """
        if self._transport is not None and not self._transport.is_closing():
            _log.info("closing stream to {}: {}", self.vm or self._expected_vm or "unknown peer", reason)
            self._transport.abort()

    def send(self, kind: str, number: int, incarnation: int, body: dict[str, Any]) -> None:
        """Send one frame.

        Raises:
            errors.PeerUnreachableError: Nothing was sent: the stream is closed or its send buffer is full, or the frame
                cannot be encoded.
        """
        try:
            data = frames.encode(kind, number, incarnation, body)
        except errors.MalformedFrameError as error:
            raise errors.PeerUnreachableError(str(error)) from None
        transport = self._transport
        if transport is None or transport.is_closing():
            raise errors.PeerUnreachableError(f"stream to {self.vm} is closed")
        if transport.get_write_buffer_size() + len(data) > SEND_BUFFER_BYTES:
            raise errors.PeerUnreachableError(
                f"send buffer of the stream to {self.vm} is full, the limit is {SEND_BUFFER_BYTES} bytes"
            )
        transport.write(data)
        self._owner.bytes_sent += len(data)

    async def request(self, kind: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Send a request and wait for its reply.

        Raises:
            errors.PeerUnreachableError: Nothing was sent.
            errors.PeerAnswerLostError: No reply was received in time, or the peer's handler failed.
        """
        self._last_number = number = self._last_number + 1
        self.send(kind, number, self._owner.incarnation, body)
        if not self._replies:
            self.silent_since = self._loop.time()
        self._replies[number] = reply = self._loop.create_future()
        timer = self._loop.call_later(timeout_s, self._fail_reply, number, kind)
        try:
            return await reply
        finally:
            timer.cancel()
            self._replies.pop(number, None)

    def _fail_reply(self, number: int, kind: str) -> None:
        reply = self._replies.pop(number, None)
        if reply is not None and not reply.done():
            reply.set_exception(errors.PeerAnswerLostError(f"{self.vm} did not reply to {kind} in time"))

    def _handle_hello(self, kind: str, body: dict[str, Any]) -> None:
        vm, incarnation = body.get("vm"), body.get("incarnation")
        if kind != "hello" or type(vm) is not str or not vm or type(incarnation) is not int:
            raise errors.MalformedFrameError("first frame is not a valid hello")
        if body.get("protocol") != frames.PROTOCOL:
            raise errors.MalformedFrameError(
                f"{vm} uses protocol version {body.get('protocol')!r}, expected {frames.PROTOCOL}"
            )
        if self._expected_vm and vm != self._expected_vm:
            raise errors.MalformedFrameError(f"{vm} answered at the address of {self._expected_vm}")
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self.vm, self.incarnation = vm, incarnation
        self._owner.on_hello(self, body)
        if not self.ready.done():
            self.ready.set_result(None)

    def _handle_reply(self, kind: str, number: int, incarnation: int, body: dict[str, Any]) -> None:
        reply = self._replies.pop(number, None) if incarnation == self._owner.incarnation else None
        if reply is None or reply.done():
            self._owner.dropped_frames += 1
        elif kind == "reply":
            reply.set_result(body)
        else:
            reply.set_exception(errors.PeerAnswerLostError(f"handler on {self.vm} failed: {body.get('error')}"))
