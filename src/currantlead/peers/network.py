"""Exchange requests and notifications with other VMs over TCP streams."""

import asyncio
import inspect
import secrets
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from currantlead import errors, logs
from currantlead.peers import frames, identity, stream

if TYPE_CHECKING:
    # Only the annotations need it; its data classes would add a tenth to the start of the session daemon.
    from currantlead import interfaces

CONNECT_TIMEOUT_S = 2.0
"""A lost opening packet is sent again after 1 s."""
BACKOFF_FIRST_S = 0.05
"""A VM that restarts listens within about this time after its old process ended."""
BACKOFF_MAX_S = 1.0
"""A VM that is back is reached within a second."""

_log = logs.part("peers")


class Network:
    """Implement ``interfaces.Peers`` over asyncio TCP.

    A handler may be a coroutine function, which runs in a task of its own, or a plain function that returns the
    reply's body, which costs no task.

    Attributes:
        incarnation: Random number of this start of the process.
        dropped: Number of frames that were dropped: replies with an unknown id or incarnation, and frames of an old
            incarnation.
        bytes_sent: Bytes of frames given to streams.
        bytes_received: Bytes read from streams.
    """

    def __init__(self, vm: str, domain: str, *, host: str = "127.0.0.1", port: int = 0, advertise: str | None = None):
        self._vm = vm
        self._domain = domain
        self._listen = (host, port)
        self._advertise = advertise
        self._address = advertise or f"{host}:{port}"
        self._addresses: dict[str, str] = {}
        self._streams: dict[str, stream.Stream] = {}
        self._all: set[stream.Stream] = set()
        self._incarnations: dict[str, int] = {}
        self._opening: dict[str, asyncio.Task[stream.Stream]] = {}
        self._backoff: dict[str, tuple[float, float]] = {}
        self._handlers: dict[str, interfaces.Handler] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._cut: frozenset[str] = frozenset()
        self._server: asyncio.Server | None = None
        self.incarnation = secrets.randbits(63)
        self.dropped = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def start(self) -> None:
        """Listen for streams of other VMs."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: stream.Stream(self), *self._listen)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = self._advertise or f"{host}:{port}"
        _log.info("{} listens at {}", self._vm, self._address)

    async def stop(self) -> None:
        """Close the listener and all streams, and end handlers under way."""
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *self._opening.values()]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._opening.values(), return_exceptions=True)
        for open_stream in list(self._all):
            open_stream.finish()
        await asyncio.sleep(0)

    @property
    def member(self) -> identity.Member:
        """Return this VM's own identity."""
        return identity.Member(self._vm, self._domain, self.incarnation, self._address)

    def learn(self, members: Sequence[identity.Member]) -> None:
        """Take note of the addresses of other VMs."""
        for member in members:
            if member.vm != self._vm and self._addresses.get(member.vm) != member.address:
                self._addresses[member.vm] = member.address
                self._backoff.pop(member.vm, None)

    def connected(self) -> Sequence[str]:
        """Return the VMs with an open stream."""
        return [vm for vm, current in self._streams.items() if not current.closed]

    def silent(self, quiet_s: float) -> list[str]:
        """Return the VMs that owe replies and have sent nothing for a number of seconds."""
        since = asyncio.get_running_loop().time() - quiet_s
        return [vm for vm, current in self._streams.items() if current.waiting and current.heard_at < since]

    def disconnect(self, vm: str, reason: str) -> None:
        """Close the streams with a VM; requests that wait for replies on them fail at once."""
        for open_stream in list(self._all):
            if open_stream.vm == vm:
                open_stream.close(reason)

    def handler(self, kind: str) -> "Callable[[interfaces.Handler], interfaces.Handler]":
        """Return a decorator that registers the handler of a kind of frames."""

        def add(handler: "interfaces.Handler") -> "interfaces.Handler":
            if kind in self._handlers:
                raise ValueError(f"frames of kind {kind!r} have a handler already")
            self._handlers[kind] = handler
            return handler

        return add

    def cut(self, vms: Iterable[str]) -> None:
        """Close the streams with some VMs and refuse new ones; for tests.

        Args:
            vms: Names of all VMs that are unreachable from now on; others are reachable again.
        """
        self._cut = frozenset(vms)
        for open_stream in list(self._all):
            if open_stream.vm in self._cut:
                open_stream.close("cut by a test")

    async def request(self, vm: str, kind: str, body: dict[str, Any], *, timeout_s: float) -> dict[str, Any]:
        """Send a request and return the body of its reply.

        Args:
            vm: Name of the receiver.
            kind: Kind of the request.
            body: Its body.
            timeout_s: Seconds to wait, the time to open a stream included.

        Returns:
            The body of the reply.

        Raises:
            errors.PeerUnreachableError: No byte of the frame was sent.
            errors.PeerAnswerLostError: The frame may have arrived, but no reply came.
        """
        current = self._streams.get(vm)
        if current is not None and not current.closed:
            return await current.request(kind, body, timeout_s)
        if vm == self._vm:
            return await self._request_locally(kind, body, timeout_s)
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                current = await asyncio.shield(self._open(vm))
        except TimeoutError:
            raise errors.PeerUnreachableError(f"no stream to {vm} in time") from None
        return await current.request(kind, body, max(0.0, end - loop.time()))

    def notify(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        """Send a frame without waiting for a reply; it may be lost."""
        if vm == self._vm:
            self._keep(self._run_handler(vm, kind, body))
            return
        current = self._streams.get(vm)
        if current is None or current.closed:
            self._keep(self._notify_after_open(vm, kind, body))
            return
        try:
            current.send(kind, 0, self.incarnation, body)
        except errors.PeerUnreachableError as error:
            _log.debug("notification {} to {} was lost: {}", kind, vm, error)

    async def _notify_after_open(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        try:
            current = await asyncio.shield(self._open(vm))
            current.send(kind, 0, self.incarnation, body)
        except errors.PeerUnreachableError as error:
            _log.debug("notification {} to {} was lost: {}", kind, vm, error)

    def _open(self, vm: str) -> "asyncio.Task[stream.Stream]":
        task = self._opening.get(vm)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(vm))
            self._opening[vm] = task
            task.add_done_callback(lambda done: self._opened(vm, done))
        return task

    def _opened(self, vm: str, task: "asyncio.Task[stream.Stream]") -> None:
        self._opening.pop(vm, None)
        # The exception is read here, because the waiters of a shielded task may be gone.
        if not task.cancelled() and task.exception() is not None:
            _log.debug("no stream to {}: {}", vm, task.exception())

    async def _connect(self, vm: str) -> stream.Stream:
        loop = asyncio.get_running_loop()
        address = self._addresses.get(vm)
        retry_at, delay = self._backoff.get(vm, (0.0, BACKOFF_FIRST_S))
        if address is None or vm in self._cut:
            raise errors.PeerUnreachableError(f"{vm} has no known address" if address is None else f"{vm} is cut off")
        if loop.time() < retry_at:
            raise errors.PeerUnreachableError(f"{vm} was unreachable; the next attempt waits for its back-off")
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await loop.create_connection(lambda: stream.Stream(self, vm), host, int(port))
                await opened.ready
        except (OSError, TimeoutError, ValueError, errors.PeerUnreachableError) as error:
            self._backoff[vm] = (loop.time() + delay, min(BACKOFF_MAX_S, 2 * delay))
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

    def opened(self, current: stream.Stream) -> None:
        """Take note of a stream before its hello."""
        self._all.add(current)

    def greeted(self, current: stream.Stream, hello: dict[str, Any]) -> None:
        """Accept a stream after its hello; streams of another incarnation of the same VM are closed."""
        vm = current.vm
        if vm in self._cut:
            raise errors.MalformedFrameError(f"{vm} is cut off")
        if self._incarnations.get(vm, current.incarnation) != current.incarnation:
            _log.info("{} restarted; requests under way with its old incarnation are lost", vm)
            for other in list(self._all):
                if other.vm == vm and other.incarnation != current.incarnation:
                    other.close("the peer restarted")
        self._incarnations[vm] = current.incarnation
        previous = self._streams.get(vm)
        if previous is None or previous.closed:
            self._streams[vm] = current

    def lost(self, current: stream.Stream) -> None:
        """Forget a closed stream, and use another one of the same VM if there is one."""
        self._all.discard(current)
        if self._streams.get(current.vm) is not current:
            return
        del self._streams[current.vm]
        for other in self._all:
            if other.vm == current.vm and not other.closed:
                self._streams[current.vm] = other

    def received(self, current: stream.Stream, kind: str, number: int, body: dict[str, Any]) -> None:
        """Run the handler of a request or notification."""
        handler = self._handlers.get(kind)
        if handler is None:
            self._reply(current, "error", number, {"error": f"no handler for {kind}"})
            return
        try:
            reply = handler(current.vm, body)
        except Exception as error:
            self._fail(current, kind, number, error)
            return
        if inspect.isawaitable(reply):
            self._keep(self._finish(current, kind, number, reply))
        else:
            self._reply(current, "reply", number, reply)

    async def _finish(self, current: stream.Stream, kind: str, number: int, pending: Any) -> None:
        try:
            reply = await pending
        except Exception as error:
            self._fail(current, kind, number, error)
        else:
            self._reply(current, "reply", number, reply)

    def _fail(self, current: stream.Stream, kind: str, number: int, error: Exception) -> None:
        _log.opt(exception=error).error("handler of {} failed for {}", kind, current.vm)
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
            raise errors.PeerAnswerLostError(f"{self._vm} did not answer {kind} in time") from None
        except errors.PeerAnswerLostError:
            raise
        except Exception as error:
            _log.opt(exception=error).error("handler of {} failed locally", kind)
            raise errors.PeerAnswerLostError(f"{self._vm} failed: {type(error).__name__}: {error}") from error

    async def _run_handler(self, vm: str, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        handler = self._handlers.get(kind)
        if handler is None:
            raise errors.PeerAnswerLostError(f"no handler for {kind}")
        reply = handler(vm, body)
        return await reply if inspect.isawaitable(reply) else reply

    def _keep(self, pending: Any) -> None:
        task = asyncio.get_running_loop().create_task(pending)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error("a peer task failed")
