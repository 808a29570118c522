"""Tests of the coordinator with a fake platform, fake instances and a manual clock."""

import asyncio
import dataclasses

import pytest

from currantlead import errors, interfaces, timers, wire
from currantlead.control import coordinator, exchange, group_records, model
from tests import group_model


class FakePlatform:
    """Fake platform with one group record that fails or loses answers on demand."""

    def __init__(self):
        group = group_model.make_group()
        self.objects = {"db": interfaces.StoredObject("groups", "db", 1, group_records.group_to_value(group, "first"))}
        self.lose_answers = 0
        self.down = False
        self.down_after_write = False

    async def read(self, kind, name):
        """Return a stored object."""
        if self.down:
            raise errors.PlatformUnavailableError("down")
        return self.objects.get(name)

    async def write(self, kind, name, value, *, if_version):
        """Write an object by conditional update."""
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
    """Fake peers of one VM that record sent frames and registered handlers."""

    def __init__(self, index):
        name = group_model.NAMES[index]
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
        """Record a sent frame."""
        self.sent.append((vm, kind, body))


class FakeDirectory:
    """Fake directory that applies newer group records."""

    def __init__(self, platform):
        self.configuration = model.Configuration()
        self.groups = {"db": platform.group}
        members = {n: model.Member(f"vm-{n}", f"domain-{n}", 1, "") for n in group_model.NAMES}
        self.views = {m.domain: model.View(m.domain, 1, (m,)) for m in members.values()}
        self.callbacks = []

    def subscribe(self, callback):
        """Register a callback."""
        self.callbacks.append(callback)

    def apply(self, group):
        """Apply a group record if it is newer."""
        if group.version > self.groups[group.name].version:
            self.groups[group.name] = group
            for callback in self.callbacks:
                callback("groups", group.name)


class FakeClient:
    """Fake instance client that can simulate failures and partitions.

    Attributes:
        clock: Manual clock.
        instances: Fake instances by name.
        stopped_at: Clock reading at which an instance was stopped, or None.
        unreachable: Instances that VMs cannot reach although they run.
        commands_to_lose: Number of commands still to be lost.
        isolated: Instance that cannot reach its peers, or None.
        isolated_at: Clock reading at which it was cut off.
    """

    def __init__(self, clock, unreachable=()):
        self.clock = clock
        self.instances = {name: group_model.FakeInstance(name) for name in group_model.NAMES}
        self.instances["a"].role = "primary"
        self.stopped_at = None
        self.unreachable = set(unreachable)
        self.commands_to_lose = 0
        self.isolated = None
        self.isolated_at = 0.0

    def stop_instance(self, name):
        """Stop an instance."""
        self.instances[name].up = False
        self.stopped_at = self.clock.now()

    async def status(self, instance):
        """Return the status of an instance, or None if it is down or unreachable."""
        fake = self.instances[instance.name]
        if not fake.up or instance.name in self.unreachable:
            return None
        fake.primary_contact_age = (
            0.1 if self.stopped_at is None or fake.term > 1 else self.clock.now() - self.stopped_at
        )
        if self.isolated is not None and self.isolated in (instance.name, fake.follows) and fake.role == "replica":
            fake.primary_contact_age = self.clock.now() - self.isolated_at
        return fake.status()

    def isolate(self, name):
        """Cut an instance off from its peers; VMs can still reach it."""
        self.isolated, self.isolated_at = name, self.clock.now()

    async def set_term(self, group, command):
        """Apply a command, or return None if it is lost."""
        fake = self.instances[command.instance]
        if not fake.up or self.commands_to_lose:
            self.commands_to_lose = max(0, self.commands_to_lose - 1)
            return None
        return fake.set_term(command)


class Environment:
    """Coordinators of up to three VMs that share one platform, directory and set of instances."""

    def __init__(self, vms=(0,), **options):
        self.clock = timers.ManualTimers()
        self.platform = FakePlatform()
        self.directory = FakeDirectory(self.platform)
        self.client = FakeClient(self.clock, **options)
        self.peers = [FakePeers(index) for index in vms]
        self.coordinators = [self._build(peers) for peers in self.peers]

    def _build(self, peers):
        built = coordinator.FailoverCoordinator(
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
        """Advance the clock in small steps until a condition holds; return the seconds that passed."""
        start = self.clock.now()
        while self.clock.now() - start < seconds and not until():
            await self.clock.advance(0.05)
            for _ in range(30):
                await asyncio.sleep(0)
        return self.clock.now() - start

    def promoted(self):
        """Return whether a promotion has succeeded."""
        group = self.platform.group
        return group.term > 1 and group.phase is model.Phase.STABLE

    async def stop(self):
        """Stop all coordinators."""
        for built in self.coordinators:
            await built.stop()


@pytest.mark.parametrize(("vms", "limit"), [((0,), 3.0), ((1,), 5.0), ((0, 1, 2), 3.0)])
async def test_failed_primary_is_replaced_in_time(vms, limit):
    """Guards against a time without a primary over the target, also if only the second monitor is running."""
    environment = Environment(vms)
    await environment.run(2.0)
    environment.client.stop_instance("a")
    assert await environment.run(6.0, environment.promoted) <= limit
    await environment.run(0.5)
    assert environment.platform.group.term == 2
    assert environment.client.instances[environment.platform.group.primary].role == "primary"
    kinds = [
        (kind, wire.from_map(exchange.Objects, body).stored_objects()[0].value["phase"])
        for p in environment.peers
        for _, kind, body in p.sent
    ]
    assert kinds[:2] == [("objects", "electing"), ("objects", "stable")]
    await environment.stop()


async def test_primary_unreachable_only_for_the_monitor_stays():
    """Guards against a promotion when only the monitor cannot reach the primary."""
    environment = Environment(unreachable=["a"])
    await environment.run(6.0)
    assert environment.platform.group.term == 1
    await environment.stop()


async def test_write_with_lost_answer_is_recognised():
    """Guards against a second term, or a stopped promotion, when the answer to a successful write is lost."""
    environment = Environment()
    environment.client.stop_instance("a")
    environment.platform.lose_answers = 2
    await environment.run(4.0)
    assert environment.promoted() and environment.platform.group.term == 2
    await environment.stop()


async def test_platform_outage_prevents_and_stops_promotions():
    """Guards against a primary that is not in the group's record."""
    environment = Environment()
    environment.client.stop_instance("a")
    environment.platform.down = True
    await environment.run(4.0)
    assert all(fake.term == 1 for fake in environment.client.instances.values())
    environment.platform.down, environment.platform.down_after_write = False, True
    await environment.run(6.0)
    assert environment.platform.group.phase is model.Phase.ELECTING
    assert not any(fake.up and fake.role == "primary" for fake in environment.client.instances.values())
    environment.platform.down = environment.platform.down_after_write = False
    await environment.run(6.0, environment.promoted)
    assert environment.promoted()
    await environment.stop()


async def test_abandoned_promotion_is_taken_over():
    """Guards against a group that stays without a primary after its coordinator failed during the promotion."""
    environment = Environment((0, 1))
    environment.client.stop_instance("a")
    environment.client.commands_to_lose = 10**6
    await environment.run(4.0, lambda: environment.platform.group.phase is model.Phase.ELECTING)
    await environment.coordinators[0].stop()
    environment.client.commands_to_lose = 0
    assert await environment.run(5.0, environment.promoted) <= 3.0
    assert environment.platform.group.term == 3
    await environment.stop()


async def test_switchover_takes_less_than_a_second():
    """Guards against writes being blocked for long when an operator drains the primary."""
    environment = Environment()
    await environment.run(1.0)
    environment.directory.configuration = model.Configuration(instances={"a": model.ServiceState.LEAVING})
    await environment.run(3.0, lambda: environment.platform.group.phase is model.Phase.ELECTING)
    assert await environment.run(3.0, environment.promoted) <= 1.0
    await environment.run(1.0)
    assert environment.platform.group.primary != "a" and environment.client.instances["a"].role == "replica"
    await environment.stop()


async def test_restarted_old_primary_becomes_replica():
    """Guards against an old primary that keeps its role after a restart."""
    environment = Environment()
    environment.client.stop_instance("a")
    await environment.run(4.0, environment.promoted)
    environment.client.instances["a"].up = True
    await environment.run(4.0)
    returned = environment.client.instances["a"]
    assert (returned.term, returned.role, returned.follows) == (2, "replica", environment.platform.group.primary)
    await environment.stop()


async def test_primary_restarted_without_records_is_replaced():
    """Guards against giving the role back to a primary that lost acknowledged records in a restart."""
    environment = Environment()
    for fake in environment.client.instances.values():
        fake.log = [(1, 1), (1, 2)]
    await environment.run(1.0)
    restarted = environment.client.instances["a"]
    restarted.role, restarted.follows, restarted.log = "replica", None, []
    await environment.run(3.0, environment.promoted)
    group = environment.platform.group
    assert (group.term, group.primary, group.starts[2]) == (2, "c", 2)
    await environment.stop()


async def test_primary_restarted_with_records_gets_its_role_back():
    """Guards against a needless promotion where it is enough to send the recorded primary its role."""
    environment = Environment()
    await environment.run(1.0)
    environment.client.instances["a"].role = "replica"
    await environment.run(1.0)
    assert (environment.platform.group.term, environment.client.instances["a"].role) == (1, "primary")
    await environment.stop()


async def test_primary_cut_off_from_replicas_is_replaced_in_time():
    """Guards against a primary that answers the monitors but can no longer acknowledge writes."""
    environment = Environment()
    for fake in environment.client.instances.values():
        fake.log = [(1, 1), (1, 2)]
    await environment.run(2.0)
    # A record that no replica has received must not make the isolated primary win.
    environment.client.instances["a"].log.append((1, 3))
    environment.client.isolate("a")
    await environment.run(1.0)
    await environment.peers[0].handlers["suspect"]("vm-x", {"group": "db"})
    assert 1.0 + await environment.run(6.0, environment.promoted) <= 3.5
    await environment.run(4.0)
    group = environment.platform.group
    assert (group.term, group.primary, group.starts[2]) == (2, "c", 2)
    await environment.stop()


async def test_primary_in_contact_with_one_replica_stays():
    """Guards against a promotion while a majority can still acknowledge writes."""
    environment = Environment()
    await environment.run(1.0)
    environment.client.isolate("b")
    await environment.run(6.0)
    assert environment.client.instances["b"].primary_contact_age > 1.0
    assert environment.platform.group.term == 1
    await environment.stop()


async def test_suspect_frame_causes_an_immediate_poll():
    """Guards against waiting for the next regular poll, and against a promotion because of the frame alone."""
    environment = Environment((1,))
    await environment.run(1.2)
    calls = []
    original = environment.client.status
    environment.client.status = lambda instance: (calls.append(instance.name), original(instance))[1]
    await environment.peers[0].handlers["suspect"]("vm-x", {"group": "db"})
    await environment.run(0.15)
    assert calls == ["a"]
    await environment.run(3.0)
    assert environment.platform.group.term == 1
    await environment.stop()


async def test_promotion_needs_the_stored_record():
    """Guards against a promotion based on a cached record that is older than the stored one."""
    environment = Environment()
    newer = dataclasses.replace(group_model.make_group(), term=5, primary="b", starts={1: 0, 5: 0})
    environment.platform.objects["db"] = interfaces.StoredObject(
        "groups", "db", 9, group_records.group_to_value(newer, "x")
    )
    environment.client.stop_instance("a")
    await environment.run(2.5)
    assert environment.platform.group.term == 5 and environment.directory.groups["db"].primary == "b"
    await environment.stop()
