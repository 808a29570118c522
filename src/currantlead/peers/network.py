"""Requests and notifications between VMs over TCP streams."""

import asyncio
import inspect
import secrets
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from currantlead import errors, logs
from currantlead.peers import frames, identity, stream

if TYPE_CHECKING:
    # Imported for annotations only: its data classes would make the start of the session daemon a tenth slower.
    from currantlead import interfaces

CONNECT_TIMEOUT_S = 2.0
"""Timeout of opening a connection; TCP sends a lost SYN packet again after 1 s."""
BACKOFF_FIRST_S = 0.05
"""Initial back-off: a restarted VM listens about this long after its old process has ended."""
BACKOFF_MAX_S = 1.0
"""Maximum back-off, within which a recovered VM is reached."""

_log = logs.part("peers")


class Network:
    """Implementation of ``interfaces.Peers`` over asyncio TCP streams.

    A handler is a coroutine function, which runs in a task of its own, or a plain function that returns the body of
    the reply, which needs no task.

    Attributes:
        incarnation: Random number of this run of the process.
        dropped_frames: Number of dropped frames: replies with an unknown id or incarnation, and frames of an old
            incarnation of a peer.
        bytes_sent: Number of bytes of all frames written to streams.
        bytes_received: Number of bytes read from streams.
        max_backoff_s: Maximum back-off after a failed attempt to reach a VM; None for ``BACKOFF_MAX_S``.
    """

    def __init__(self, vm: str, domain: str, *, host: str = "127.0.0.1", port: int = 0, advertise: str | None = None):
        self._vm = vm
        self._domain = domain
        self._listen_address = (host, port)
        self._advertised_address = advertise
        self._address = advertise or f"{host}:{port}"
        self._addresses: dict[str, str] = {}
        self._streams: dict[str, stream.Stream] = {}
        self._all_streams: set[stream.Stream] = set()
        self._incarnations: dict[str, int] = {}
        self._connecting: dict[str, asyncio.Task[stream.Stream]] = {}
        self._backoff: dict[str, tuple[float, float]] = {}
        self._handlers: dict[str, interfaces.Handler] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._partitioned: frozenset[str] = frozenset()
        self._server: asyncio.Server | None = None
        self.incarnation = secrets.randbits(63)
        self.max_backoff_s: float | None = None
        self.dropped_frames = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def start(self) -> None:
        """Start to listen for streams of other VMs."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: stream.Stream(self), *self._listen_address)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = self._advertised_address or f"{host}:{port}"
        _log.info("{} listens for peers at {}", self._vm, self._address)

    async def stop(self) -> None:
        """Close the listener and all streams, and cancel running handlers."""
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *self._connecting.values()]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._connecting.values(), return_exceptions=True)
        for open_stream in list(self._all_streams):
            open_stream.finish()
        await asyncio.sleep(0)

    @property
    def member(self) -> identity.Member:
        """This VM's own identity."""
        return identity.Member(self._vm, self._domain, self.incarnation, self._address)

    def update_addresses(self, members: Sequence[identity.Member]) -> None:
        """Store the addresses of other VMs; a changed address resets the back-off."""
        for member in members:
            if member.vm != self._vm and self._addresses.get(member.vm) != member.address:
                self._addresses[member.vm] = member.address
                self._backoff.pop(member.vm, None)

    def connected(self) -> Sequence[str]:
        """Return the VMs with an open stream."""
        return [vm for vm, current in self._streams.items() if not current.closed]

    def heard_vms(self, within_s: float) -> list[str]:
        """Return the VMs from which something was received in the last ``within_s`` seconds."""
        since = asyncio.get_running_loop().time() - within_s
        return [vm for vm, current in self._streams.items() if current.received_at >= since]

    def silent_vms(self, quiet_s: float) -> list[str]:
        """Return the VMs with unanswered requests that have sent nothing for ``quiet_s`` seconds."""
        since = asyncio.get_running_loop().time() - quiet_s
        return [
            vm for vm, current in self._streams.items() if current.has_pending_requests and current.silent_since < since
        ]

    def disconnect(self, vm: str, reason: str) -> None:
        """Close the streams to a VM; requests that wait for replies on them fail at once."""
        for open_stream in list(self._all_streams):
            if open_stream.vm == vm:
                open_stream.close(reason)

    def handler(self, kind: str) -> "Callable[[interfaces.Handler], interfaces.Handler]":
        """Return a decorator that registers a handler for frames of a kind."""

        def add(handler: "interfaces.Handler") -> "interfaces.Handler":
            if kind in self._handlers:
                raise ValueError(f"frames of kind {kind!r} already have a handler")
            self._handlers[kind] = handler
            return handler

        return add

    def simulate_partition(self, vms: Iterable[str]) -> None:
        """Simulate a network partition in tests: close the streams to some VMs and refuse new ones.

        Args:
            vms: Names of all VMs that are unreachable from now on; the others become reachable again.
        """
        self._partitioned = frozenset(vms)
        for open_stream in list(self._all_streams):
            if open_stream.vm in self._partitioned:
                open_stream.close("network partition simulated by a test")

    async def request(self, vm: str, kind: str, body: dict[str, Any], *, timeout_s: float) -> dict[str, Any]:
        """Send a request and return the body of its reply.

        Args:
            vm: Name of the receiving VM.
            kind: Kind of the request.
            body: Body of the request.
            timeout_s: Timeout in seconds, including the time to open a stream.

        Returns:
            The body of the reply.

        Raises:
            errors.PeerUnreachableError: Nothing was sent.
            errors.PeerAnswerLostError: The frame may have arrived, but no reply was received.
        """
        current = self._streams.get(vm)
        if current is not None and not current.closed:
            return await current.request(kind, body, timeout_s)
        if vm == self._vm:
            return await self._request_locally(kind, body, timeout_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                current = await asyncio.shield(self._ensure_stream(vm))
        except TimeoutError:
            raise errors.PeerUnreachableError(f"no stream to {vm} within {timeout_s:.3f} s") from None
        return await current.request(kind, body, max(0.0, deadline - loop.time()))

    def notify(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        """Send a frame without waiting for a reply; it may be lost."""
        if vm == self._vm:
            self._spawn(self._run_handler(vm, kind, body))
            return
        current = self._streams.get(vm)
        if current is None or current.closed:
            self._spawn(self._notify_when_connected(vm, kind, body))
            return
        try:
            current.send(kind, 0, self.incarnation, body)
        except errors.PeerUnreachableError as error:
            _log.debug("notification {} to {} was lost: {}", kind, vm, error)

    async def _notify_when_connected(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        try:
            current = await asyncio.shield(self._ensure_stream(vm))
            current.send(kind, 0, self.incarnation, body)
        except errors.PeerUnreachableError as error:
            _log.debug("notification {} to {} was lost: {}", kind, vm, error)

    def _ensure_stream(self, vm: str) -> "asyncio.Task[stream.Stream]":
        task = self._connecting.get(vm)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(vm))
            self._connecting[vm] = task
            task.add_done_callback(lambda done: self._on_connected(vm, done))
        return task

    def _on_connected(self, vm: str, task: "asyncio.Task[stream.Stream]") -> None:
        self._connecting.pop(vm, None)
        # Retrieve the exception here, because the awaiting requests of the shielded task may have timed out.
        if not task.cancelled() and task.exception() is not None:
            _log.debug("no stream to {}: {}", vm, task.exception())

    async def _connect(self, vm: str) -> stream.Stream:
        loop = asyncio.get_running_loop()
        address = self._addresses.get(vm)
        retry_at, delay = self._backoff.get(vm, (0.0, BACKOFF_FIRST_S))
        if address is None or vm in self._partitioned:
            raise errors.PeerUnreachableError(
                f"the address of {vm} is unknown"
                if address is None
                else f"{vm} is unreachable: a test simulates a partition"
            )
        if loop.time() < retry_at:
            raise errors.PeerUnreachableError(f"{vm} was unreachable; no new attempt until its back-off ends")
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await loop.create_connection(lambda: stream.Stream(self, vm), host, int(port))
                await opened.ready
        except (OSError, TimeoutError, ValueError, errors.PeerUnreachableError) as error:
            self._backoff[vm] = (loop.time() + delay, min(self.max_backoff_s or BACKOFF_MAX_S, 2 * delay))
            raise errors.PeerUnreachableError(f"{vm} at {address}: {error or type(error).__name__}") from None
        self._backoff.pop(vm, None)
        return opened

    def hello(self) -> dict[str, Any]:
        """Return the body of this VM's hello frame."""
        return {
            "vm": self._vm,
            "domain": self._domain,
            "incarnation": self.incarnation,
            "protocol": frames.PROTOCOL,
        }

    def on_open(self, current: stream.Stream) -> None:
        """Handle a new stream, before its hello."""
        self._all_streams.add(current)

    def on_hello(self, current: stream.Stream, hello: dict[str, Any]) -> None:
        """Accept a stream after its hello, and close streams to other incarnations of the same VM."""
        vm = current.vm
        if vm in self._partitioned:
            raise errors.MalformedFrameError(f"{vm} is unreachable: a test simulates a partition")
        if self._incarnations.get(vm, current.incarnation) != current.incarnation:
            _log.info("{} restarted; closing the streams to its old incarnation", vm)
            for other in list(self._all_streams):
                if other.vm == vm and other.incarnation != current.incarnation:
                    other.close("the peer restarted")
        self._incarnations[vm] = current.incarnation
        previous = self._streams.get(vm)
        if previous is None or previous.closed:
            self._streams[vm] = current

    def on_close(self, current: stream.Stream) -> None:
        """Remove a closed stream, and use another one to the same VM if there is one."""
        self._all_streams.discard(current)
        if self._streams.get(current.vm) is not current:
            return
        del self._streams[current.vm]
        for other in self._all_streams:
            if other.vm == current.vm and not other.closed:
                self._streams[current.vm] = other

    def on_request(self, current: stream.Stream, kind: str, number: int, body: dict[str, Any]) -> None:
        """Run the handler of a request or notification."""
        handler = self._handlers.get(kind)
        if handler is None:
            self._reply(current, "error", number, {"error": f"no handler for {kind} frames"})
            return
        try:
            reply = handler(current.vm, body)
        except Exception as error:
            self._reply_error(current, kind, number, error)
            return
        if inspect.isawaitable(reply):
            self._spawn(self._reply_later(current, kind, number, reply))
        else:
            self._reply(current, "reply", number, reply)

    async def _reply_later(self, current: stream.Stream, kind: str, number: int, awaitable: Any) -> None:
        try:
            reply = await awaitable
        except Exception as error:
            self._reply_error(current, kind, number, error)
        else:
            self._reply(current, "reply", number, reply)

    def _reply_error(self, current: stream.Stream, kind: str, number: int, error: Exception) -> None:
        _log.opt(exception=error).error("handler of {} frames failed for {}", kind, current.vm)
        self._reply(current, "error", number, {"error": f"{type(error).__name__}: {error}"})

    def _reply(self, current: stream.Stream, kind: str, number: int, body: dict[str, Any] | None) -> None:
        if number == 0:
            return
        try:
            current.send(kind, number, current.incarnation, body or {})
        except errors.PeerUnreachableError as error:
            _log.debug("reply to {} was lost: {}", current.vm, error)
            if kind == "reply" and not current.closed:
                self._reply(current, "error", number, {"error": str(error)})

    async def _request_locally(self, kind: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._run_handler(self._vm, kind, body)
        except TimeoutError:
            raise errors.PeerAnswerLostError(f"{self._vm} did not reply to {kind} within {timeout_s:.3f} s") from None
        except errors.PeerAnswerLostError:
            raise
        except Exception as error:
            _log.opt(exception=error).error("handler of {} frames failed for a local request", kind)
            raise errors.PeerAnswerLostError(
                f"handler on {self._vm} failed: {type(error).__name__}: {error}"
            ) from error

    async def _run_handler(self, vm: str, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        handler = self._handlers.get(kind)
        if handler is None:
            raise errors.PeerAnswerLostError(f"no handler for {kind} frames")
        reply = handler(vm, body)
        return await reply if inspect.isawaitable(reply) else reply

    def _spawn(self, awaitable: Any) -> None:
        task = asyncio.get_running_loop().create_task(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error("task of a handler or notification failed")
