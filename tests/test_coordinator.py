"""Tests of the coordinator with a fake store, fake instances and a controlled clock."""

import asyncio
import dataclasses

import pytest

from currantlead import errors, interfaces, timers, wire
from currantlead.control import coordinator, exchange, group_records, model
from tests import group_model


class FakePlatform:
    """Hold group records; lose answers or fail on demand."""

    def __init__(self):
        group = group_model.make_group()
        self.objects = {"db": interfaces.StoredObject("groups", "db", 1, group_records.group_to_value(group, "first"))}
        self.lose_answers = 0
        self.down = False
        self.down_after_write = False

    async def read(self, kind, name):
        """Return the object."""
        if self.down:
            raise errors.PlatformUnavailableError("down")
        return self.objects.get(name)

    async def write(self, kind, name, value, *, if_version):
        """Write conditionally."""
        if self.down:
            raise errors.PlatformUnavailableError("down")
        if self.objects[name].version != if_version:
            raise errors.VersionConflictError("conflict")
        self.objects[name] = interfaces.StoredObject(kind, name, if_version + 1, value)
        self.down = self.down_after_write
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.PlatformUnavailableError("answer lost")
        return if_version + 1

    @property
    def group(self):
        """Return the stored record."""
        stored = self.objects["db"]
        return group_records.group_from_value("db", stored.value, stored.version)


class FakePeers:
    """Record notifications and handlers of one VM."""

    def __init__(self, place):
        name = group_model.NAMES[place]
        self.member = model.Member(f"vm-{name}", f"domain-{name}", 1, "")
        self.sent = []
        self.handlers = {}

    def handler(self, kind):
        """Register a handler."""
        return lambda function: self.handlers.setdefault(kind, function)

    def connected(self):
        """Return one other VM."""
        return ["other"]

    def notify(self, vm, kind, body):
        """Note a frame."""
        self.sent.append((vm, kind, body))


class FakeDirectory:
    """Hold the shared state."""

    def __init__(self, platform):
        self.configuration = model.Configuration()
        self.groups = {"db": platform.group}
        members = {n: model.Member(f"vm-{n}", f"domain-{n}", 1, "") for n in group_model.NAMES}
        self.views = {m.domain: model.View(m.domain, 1, (m,)) for m in members.values()}
        self.callbacks = []

    def subscribe(self, callback):
        """Note a callback."""
        self.callbacks.append(callback)

    def apply(self, group):
        """Take a newer record."""
        if group.version > self.groups[group.name].version:
            self.groups[group.name] = group
            for callback in self.callbacks:
                callback("groups", group.name)


class FakeClient:
    """Reach the instances of a cluster."""

    def __init__(self, clock, blind_to=()):
        self.clock = clock
        self.instances = {name: group_model.FakeInstance(name) for name in group_model.NAMES}
        self.instances["a"].role = "primary"
        self.died = None
        self.blind_to = set(blind_to)
        self.lost_orders = 0
        self.cut = None
        self.cut_at = 0.0

    def kill(self, name):
        """Stop an instance."""
        self.instances[name].up = False
        self.died = self.clock.now()

    async def status(self, instance):
        """Answer unless the instance is down or cannot be seen."""
        fake = self.instances[instance.name]
        if not fake.up or instance.name in self.blind_to:
            return None
        fake.silent_s = 0.1 if self.died is None or fake.term > 1 else self.clock.now() - self.died
        if self.cut is not None and self.cut in (instance.name, fake.follows) and fake.role == "replica":
            fake.silent_s = self.clock.now() - self.cut_at
        return fake.status()

    def cut_from_peers(self, name):
        """Let VMs reach an instance that exchanges nothing with its peers."""
        self.cut, self.cut_at = name, self.clock.now()

    async def set_term(self, group, order):
        """Apply the order unless it is lost."""
        fake = self.instances[order.instance]
        if not fake.up or self.lost_orders:
            self.lost_orders = max(0, self.lost_orders - 1)
            return None
        return fake.set_term(order)


class World:
    """Hold coordinators of up to three VMs that share store, directory and instances."""

    def __init__(self, places=(0,), **options):
        self.clock = timers.ManualTimers()
        self.platform = FakePlatform()
        self.directory = FakeDirectory(self.platform)
        self.client = FakeClient(self.clock, **options)
        self.peers = [FakePeers(place) for place in places]
        self.coordinators = [self._build(peers) for peers in self.peers]

    def _build(self, peers):
        built = coordinator.Coordinator(
            platform=self.platform,
            peers=peers,
            directory=self.directory,
            client=self.client,
            clock=self.clock,
            rank=lambda key, candidates: sorted(candidates),
            on_group=self.directory.apply,
        )
        built.start()
        return built

    async def run(self, seconds, until=lambda: False):
        """Move the clock in small steps; return the seconds until the condition held."""
        start = self.clock.now()
        while self.clock.now() - start < seconds and not until():
            await self.clock.advance(0.05)
            for _ in range(30):
                await asyncio.sleep(0)
        return self.clock.now() - start

    def promoted(self):
        """Tell whether a later term has a primary."""
        group = self.platform.group
        return group.term > 1 and group.phase is model.Phase.STABLE

    async def stop(self):
        """Stop all coordinators."""
        for built in self.coordinators:
            await built.stop()


@pytest.mark.parametrize(("places", "limit"), [((0,), 3.0), ((1,), 5.0), ((0, 1, 2), 3.0)])
async def test_dead_primary_is_replaced_in_time(places, limit):
    """Guards against a gap over the target, also when only the second monitor is left."""
    world = World(places)
    await world.run(2.0)
    world.client.kill("a")
    assert await world.run(6.0, world.promoted) <= limit
    await world.run(0.5)
    assert world.platform.group.term == 2
    assert world.client.instances[world.platform.group.primary].role == "primary"
    kinds = [
        (kind, wire.from_map(exchange.Objects, body).stored()[0].value["phase"])
        for p in world.peers
        for _, kind, body in p.sent
    ]
    assert kinds[:2] == [("objects", "electing"), ("objects", "stable")]
    await world.stop()


async def test_one_blind_vm_promotes_nobody():
    """Guards against a promotion because one VM alone lost sight of the primary."""
    world = World(blind_to=["a"])
    await world.run(6.0)
    assert world.platform.group.term == 1
    await world.stop()


async def test_lost_store_answers_are_recognised():
    """Guards against a second term, or a stop, after a write that took effect without an answer."""
    world = World()
    world.client.kill("a")
    world.platform.lose_answers = 2
    await world.run(4.0)
    assert world.promoted() and world.platform.group.term == 2
    await world.stop()


async def test_store_outage_starts_nothing_and_stops_what_is_under_way():
    """Guards against a primary that no record names."""
    world = World()
    world.client.kill("a")
    world.platform.down = True
    await world.run(4.0)
    assert all(fake.term == 1 for fake in world.client.instances.values())
    world.platform.down, world.platform.down_after_write = False, True
    await world.run(6.0)
    assert world.platform.group.phase is model.Phase.ELECTING
    assert not any(fake.up and fake.role == "primary" for fake in world.client.instances.values())
    world.platform.down = world.platform.down_after_write = False
    await world.run(6.0, world.promoted)
    assert world.promoted()
    await world.stop()


async def test_abandoned_promotion_is_taken_over():
    """Guards against a group that stays without primary after its coordinator died in the middle."""
    world = World((0, 1))
    world.client.kill("a")
    world.client.lost_orders = 10**6
    await world.run(4.0, lambda: world.platform.group.phase is model.Phase.ELECTING)
    await world.coordinators[0].stop()
    world.client.lost_orders = 0
    assert await world.run(5.0, world.promoted) <= 3.0
    assert world.platform.group.term == 3
    await world.stop()


async def test_planned_change_takes_under_a_second():
    """Guards against a long stop of writes when operators drain the primary."""
    world = World()
    await world.run(1.0)
    world.directory.configuration = model.Configuration(instances={"a": model.ServiceState.LEAVING})
    await world.run(3.0, lambda: world.platform.group.phase is model.Phase.ELECTING)
    assert await world.run(3.0, world.promoted) <= 1.0
    await world.run(1.0)
    assert world.platform.group.primary != "a" and world.client.instances["a"].role == "replica"
    await world.stop()


async def test_returning_primary_is_told_the_term():
    """Guards against an old primary that keeps its role after it returns."""
    world = World()
    world.client.kill("a")
    await world.run(4.0, world.promoted)
    world.client.instances["a"].up = True
    await world.run(4.0)
    returned = world.client.instances["a"]
    assert (returned.term, returned.role, returned.follows) == (2, "replica", world.platform.group.primary)
    await world.stop()


async def test_primary_without_its_records_is_replaced():
    """Guards against giving the role back to a primary that restarted without acknowledged records."""
    world = World()
    for fake in world.client.instances.values():
        fake.log = [(1, 1), (1, 2)]
    await world.run(1.0)
    restarted = world.client.instances["a"]
    restarted.role, restarted.follows, restarted.log = "replica", None, []
    await world.run(3.0, world.promoted)
    group = world.platform.group
    assert (group.term, group.primary, group.starts[2]) == (2, "c", 2)
    await world.stop()


async def test_primary_with_its_records_gets_its_role_back():
    """Guards against a new term, and a gap, where the recorded primary only has to be told its role."""
    world = World()
    await world.run(1.0)
    world.client.instances["a"].role = "replica"
    await world.run(1.0)
    assert (world.platform.group.term, world.client.instances["a"].role) == (1, "primary")
    await world.stop()


async def test_primary_that_lost_its_peers_is_replaced_in_time():
    """Guards against a primary that answers the monitors, and keeps its role, but can have no write acknowledged."""
    world = World()
    for fake in world.client.instances.values():
        fake.log = [(1, 1), (1, 2)]
    await world.run(2.0)
    # Records that no replica has received must not let the cut instance win.
    world.client.instances["a"].log.append((1, 3))
    world.client.cut_from_peers("a")
    await world.run(1.0)
    await world.peers[0].handlers["suspect"]("vm-x", {"group": "db"})
    assert 1.0 + await world.run(6.0, world.promoted) <= 3.5
    await world.run(4.0)
    group = world.platform.group
    assert (group.term, group.primary, group.starts[2]) == (2, "c", 2)
    await world.stop()


async def test_primary_that_one_replica_hears_stays():
    """Guards against a promotion while a majority can still acknowledge."""
    world = World()
    await world.run(1.0)
    world.client.cut_from_peers("b")
    await world.run(6.0)
    assert world.client.instances["b"].silent_s > 1.0
    assert world.platform.group.term == 1
    await world.stop()


async def test_suspect_hint_polls_at_once():
    """Guards against hints that are ignored until the next regular poll; a hint is no evidence by itself."""
    world = World((1,))
    await world.run(1.2)
    calls = []
    ask = world.client.status
    world.client.status = lambda instance: (calls.append(instance.name), ask(instance))[1]
    await world.peers[0].handlers["suspect"]("vm-x", {"group": "db"})
    await world.run(0.15)
    assert calls == ["a"]
    await world.run(3.0)
    assert world.platform.group.term == 1
    await world.stop()


async def test_stale_record_is_not_promoted():
    """Guards against a coordinator that acts on a record older than the stored one."""
    world = World()
    newer = dataclasses.replace(group_model.make_group(), term=5, primary="b", starts={1: 0, 5: 0})
    world.platform.objects["db"] = interfaces.StoredObject("groups", "db", 9, group_records.group_to_value(newer, "x"))
    world.client.kill("a")
    await world.run(2.5)
    assert world.platform.group.term == 5 and world.directory.groups["db"].primary == "b"
    await world.stop()
