"""Test doubles for membership tests: an in-memory platform, a directory, and VMs connected over loopback."""

import asyncio
import dataclasses

from currantlead import errors, interfaces, timers
from currantlead.control import members, views
from currantlead.peers import network


class FakePlatform:
    """In-memory platform that can simulate outages and lost answers."""

    def __init__(self):
        self.objects = {}
        self.outage = False
        self.lose_next_answers = 0
        self.writes = 0
        self.listed = {}

    async def read(self, kind, name):
        """Return an object, or None."""
        await self._answer()
        found = self.objects.get((kind, name))
        return None if found is None else interfaces.StoredObject(kind, name, *found)

    async def write(self, kind, name, value, *, if_version):
        """Write an object if its version is ``if_version``; return the new version."""
        await self._answer()
        version = self.objects.get((kind, name), (0, None))[0]
        if version != if_version:
            raise errors.VersionConflictError(f"the object has version {version}")
        self.objects[kind, name] = (version + 1, value)
        self.writes += 1
        if self.lose_next_answers:
            self.lose_next_answers -= 1
            raise errors.PlatformUnavailableError("answer lost")
        return version + 1

    async def list_vms(self):
        """Return the VM that was started last under each name."""
        await self._answer()
        return list(self.listed.values())

    async def _answer(self):
        await asyncio.sleep(0.002)
        if self.outage:
            raise errors.PlatformUnavailableError("outage")


class FakeDirectory:
    """Directory that contains the views set by a test."""

    def __init__(self):
        self.views = {}
        self._callbacks = []

    def subscribe(self, callback):
        """Register a callback for changes."""
        self._callbacks.append(callback)

    def put(self, view):
        """Set a view and notify the subscribers."""
        self.views[view.domain] = view
        for callback in self._callbacks:
            callback("views", view.domain)


@dataclasses.dataclass
class Vm:
    """The membership service of one VM and the parts that it needs."""

    network: network.Network
    clock: timers.TimerService
    directory: FakeDirectory
    members: members.MembershipService

    async def stop(self, *, leave=True):
        """Stop all parts."""
        await self.members.stop(leave=leave)
        await self.network.stop()
        await self.clock.stop()


async def start_vm(name, domain, platform, **options):
    """Start a VM on loopback; options are passed to ``members.MembershipService``."""
    peers = network.Network(name, domain)
    await peers.start()
    platform.listed[name] = interfaces.ListedVm(name, domain, "running", peers.member.address)
    clock = timers.TimerService()
    clock.start()
    directory = FakeDirectory()
    vm = Vm(peers, clock, directory, members.MembershipService(peers, platform, directory, clock, **options))
    await vm.members.start()
    return vm


def stored_view(platform, domain):
    """Return the stored view of a domain."""
    version, value = platform.objects[views.KIND, domain]
    return views.decode(value, version)


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition is true; return the elapsed seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not condition():
        if loop.time() - start > timeout_s:
            raise TimeoutError("condition not true within the time limit")
        await asyncio.sleep(0.005)
    return loop.time() - start
