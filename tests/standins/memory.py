"""In-memory implementations of ``interfaces.Platform`` and ``interfaces.Peers`` with fault injection."""

import asyncio
import collections
import copy
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

from currantlead import errors, interfaces
from currantlead.control import model


class Clock:
    """Simulated clock; ``sleep`` advances it without waiting."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.time_s

    async def sleep(self, seconds: float) -> None:
        """Advance the clock, by at least 0.01 s."""
        self.time_s += max(seconds, 0.01)


class MemoryPlatform:
    """Platform that keeps its objects in memory.

    Each call except ``watch`` takes the next fault of ``faults``: ``None`` (no fault), ``"down"``
    (the call fails without effect), ``"lost"`` (a write takes effect but its response is lost), or a coroutine
    function that runs before the call.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, interfaces.StoredObject]] = {}
        self.removed: dict[str, dict[str, int]] = {}
        self.faults: collections.deque[str | Callable[[], Awaitable[None]] | None] = collections.deque()
        self.down = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.vms: list[interfaces.ListedVm] = []
        self.changed = asyncio.Condition()

    async def read(self, kind: str, name: str) -> interfaces.StoredObject | None:
        """Return an object, or None if it does not exist."""
        await self._begin_call("read")
        return copy.deepcopy(self.objects.get(kind, {}).get(name))

    async def write(self, kind: str, name: str, value: Any, *, if_version: int) -> int:
        """Write an object if its current version equals ``if_version``; return the new version."""
        fault = await self._begin_call("write")
        self._check_version(kind, name, if_version)
        self.revision += 1
        stored = interfaces.StoredObject(kind, name, self.revision, copy.deepcopy(value))
        self.objects.setdefault(kind, {})[name] = stored
        self.removed.get(kind, {}).pop(name, None)
        await self._end_write(fault)
        return stored.version

    async def remove(self, kind: str, name: str, *, if_version: int) -> None:
        """Remove an object if its current version equals ``if_version``."""
        fault = await self._begin_call("write")
        self._check_version(kind, name, if_version)
        self.revision += 1
        del self.objects[kind][name]
        self.removed.setdefault(kind, {})[name] = self.revision
        await self._end_write(fault)

    async def names(self, kind: str) -> Mapping[str, int]:
        """Return the objects of a kind as a map from name to version."""
        await self._begin_call("read")
        return {name: stored.version for name, stored in self.objects.get(kind, {}).items()}

    async def watch(self, kind: str, *, since: int, timeout_s: float) -> tuple[int, Sequence[tuple[str, int]]]:
        """Wait for changes to objects of a kind; return the revision, and name and version of each change."""
        await self._begin_call("watch")
        try:
            async with asyncio.timeout(timeout_s), self.changed:
                await self.changed.wait_for(lambda: self.down or self._changes(kind, since))
        except TimeoutError:
            pass
        if self.down:
            raise errors.PlatformUnavailableError("stand-in is down")
        return self.revision, self._changes(kind, since)

    async def list_vms(self) -> Sequence[interfaces.ListedVm]:
        """Return the registered VMs."""
        await self._begin_call("read")
        return list(self.vms)

    async def set_down(self, down: bool) -> None:
        """Start or end an outage; waiting watches fail when it starts."""
        self.down = down
        async with self.changed:
            self.changed.notify_all()

    async def _begin_call(self, kind: str) -> Any:
        self.calls[kind] += 1
        fault = self.faults.popleft() if self.faults and kind != "watch" else None
        if callable(fault):
            await fault()
        if self.down or fault == "down":
            raise errors.PlatformUnavailableError("stand-in is down")
        return fault

    async def _end_write(self, fault: Any) -> None:
        async with self.changed:
            self.changed.notify_all()
        if fault == "lost":
            raise errors.PlatformUnavailableError("response lost after the write took effect")

    def _check_version(self, kind: str, name: str, if_version: int) -> None:
        current = self.objects.get(kind, {}).get(name)
        version = 0 if current is None else current.version
        if version != if_version:
            raise errors.VersionConflictError(f"{kind}/{name} has version {version}")

    def _changes(self, kind: str, since: int) -> list[tuple[str, int]]:
        found = [(stored.version, name, stored.version) for name, stored in self.objects.get(kind, {}).items()]
        found += [(revision, name, 0) for name, revision in self.removed.get(kind, {}).items()]
        return [(name, version) for at, name, version in sorted(found) if at > since]


class CountingPlatform:
    """Proxy of one VM to a shared platform; it counts the calls, and ``down`` makes the platform unreachable."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self.platform = platform
        self.calls: collections.Counter[str] = collections.Counter()
        self.down = False

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        """Return the platform's method of this name, with counting."""

        async def call(*arguments: Any, **options: Any) -> Any:
            self.calls[name] += 1
            if self.down:
                raise errors.PlatformUnavailableError("platform is unreachable from this VM")
            return await getattr(self.platform, name)(*arguments, **options)

        return call


class Network:
    """Deliver frames between ``MemoryPeers``; ``unreachable_vms`` names the VMs that are unreachable."""

    def __init__(self) -> None:
        self.peers: dict[str, MemoryPeers] = {}
        self.unreachable_vms: set[str] = set()
        self.frames: list[tuple[str, str, str, dict[str, Any]]] = []

    def join(self, vm: str, domain: str) -> "MemoryPeers":
        """Add a VM to the network and return its peers."""
        self.peers[vm] = MemoryPeers(self, model.Member(vm, domain, len(self.peers) + 1, f"127.0.0.1:{len(vm)}"))
        return self.peers[vm]


class MemoryPeers:
    """Implementation of ``interfaces.Peers`` over a ``Network``."""

    def __init__(self, network: Network, member: model.Member) -> None:
        self._network = network
        self.member = member
        self.handlers: dict[str, interfaces.Handler] = {}
        self.learned_members: dict[str, model.Member] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def request(self, vm: str, kind: str, body: dict[str, Any], *, timeout_s: float) -> dict[str, Any]:
        """Send a request and return the reply."""
        target = self._network.peers.get(vm)
        if target is None or {vm, self.member.vm} & self._network.unreachable_vms or kind not in target.handlers:
            raise errors.PeerUnreachableError(vm)
        self._network.frames.append((self.member.vm, vm, kind, body))
        return await target.handlers[kind](self.member.vm, copy.deepcopy(body))

    def notify(self, vm: str, kind: str, body: dict[str, Any]) -> None:
        """Send a frame in the background, without confirmation."""

        async def deliver() -> None:
            try:
                await self.request(vm, kind, body, timeout_s=1.0)
            except errors.PeerUnreachableError:
                return

        task = asyncio.ensure_future(deliver())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handler(self, kind: str) -> Callable[[interfaces.Handler], interfaces.Handler]:
        """Return a decorator that registers the handler of a kind of frame."""

        def register(handler: interfaces.Handler) -> interfaces.Handler:
            self.handlers[kind] = handler
            return handler

        return register

    def update_addresses(self, members: Sequence[model.Member]) -> None:
        """Record the addresses of other VMs."""
        self.learned_members.update({member.vm: member for member in members})

    def connected(self) -> Sequence[str]:
        """Return the reachable VMs."""
        return [vm for vm in self._network.peers if vm != self.member.vm and vm not in self._network.unreachable_vms]
