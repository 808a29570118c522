"""Tests of relays and of pushes and pulls of objects between VMs."""

import asyncio
import dataclasses

import pytest

from currantlead import errors, interfaces, timers
from currantlead.control import configuration, directory, exchange, model, records, relay, store
from tests.standins import memory


class Vm:
    """The relay of one VM and the parts that it needs."""

    def __init__(self, world, name, domain):
        self.clock = world.clock
        self.platform = memory.CountingPlatform(world.platform)
        self.peers = world.network.join(name, domain)
        self.cache = directory.Directory(self.clock.now)
        self.relay = relay.Relay(
            self.platform,
            self.cache,
            self.peers,
            self.clock,
            lambda key, names: sorted(names),
            alive=lambda vm: vm not in world.dead,
        )


class World:
    """A store, a network and the VMs connected by it; ``dead`` names VMs that are believed not to run."""

    def __init__(self):
        self.clock, self.platform, self.network = timers.ManualTimers(), memory.MemoryPlatform(), memory.Network()
        self.vms, self.dead = {}, set()

    async def start(self, *names, domain="larisa"):
        """Start the relays of VMs."""
        for name in names:
            self.vms[name] = Vm(self, name, domain)
            await self.vms[name].relay.start()

    async def change(self, rate):
        """Store a configuration with one organisation of the given rate; return its number."""

        def mutate(old):
            return dataclasses.replace(old, organisations={"farm": model.Organisation("farm", rate, 5.0)})

        answer = await store.ConfigurationStore(self.platform, self.clock.now).change(mutate, f"rate {rate}")
        return answer.ok_value

    async def add_view(self, *names, domain="larisa"):
        """Store the first view of a domain."""
        members = tuple(model.Member(name, domain, 1, "127.0.0.1:1") for name in names)
        await records.write(self.platform, model.View(domain, 1, members))

    def rates(self):
        """Return the organisation's rate on each VM."""
        return {name: rate_of(vm) for name, vm in self.vms.items()}


def rate_of(vm):
    """Return the organisation's rate on a VM, or None."""
    farm = vm.cache.configuration.organisations.get("farm")
    return farm and farm.rate


async def wait_until(condition):
    """Wait until a condition is true, for at most 3 s."""
    for _ in range(300):
        if condition():
            return
        await asyncio.sleep(0.01)
    assert condition()


@pytest.fixture
async def world(monkeypatch):
    """Return an empty world with short watches and pauses."""
    monkeypatch.setattr(relay, "WATCH_TIMEOUT_S", 0.2)
    monkeypatch.setattr(relay, "RETRY_DELAY_S", 0.02)
    world = World()
    yield world
    for vm in world.vms.values():
        await vm.relay.stop()


async def test_two_relays_serve_a_domain(world):
    """A change reaches all VMs of a domain, and VMs that are not relays do not call the store."""
    await world.add_view("a", "b", "c", "d")
    await world.start("a", "b", "c", "d")
    before = [sum(world.vms[name].platform.calls.values()) for name in "cd"]
    await world.change(2.0)
    await wait_until(lambda: set(world.rates().values()) == {2.0})
    await records.write(world.platform, model.Shares(4, {"larisa": 1.0}))
    await wait_until(lambda: {vm.cache.shares.number for vm in world.vms.values()} == {4})
    assert [sum(world.vms[name].platform.calls.values()) for name in "cd"] == before
    assert [vm.relay.is_relay() for vm in world.vms.values()] == [True, True, False, False]


async def test_vm_outside_the_view_watches_for_itself(world):
    """A VM that is not in a view, or has none yet, learns of changes from its own watches."""
    await world.start("a", "b")
    await world.change(2.0)
    await wait_until(lambda: set(world.rates().values()) == {2.0})
    await world.add_view("a")
    await wait_until(lambda: "larisa" in world.vms["b"].cache.views)
    await world.change(3.0)
    await wait_until(lambda: set(world.rates().values()) == {3.0})


async def test_next_vm_replaces_a_dead_relay(world):
    """Another VM becomes a relay when both relays seem to be dead, before the view changes."""
    await world.add_view("a", "b", "c")
    await world.start("a", "b", "c")
    for name in "ab":
        world.vms[name].platform.down = True
        world.dead.add(name)
    await world.clock.advance(1.0)
    await world.change(2.0)
    await wait_until(lambda: rate_of(world.vms["c"]) == 2.0)


async def test_outage_of_the_store(world):
    """A VM that starts during an outage loads its state from peers, and receives changes after the outage."""
    await world.add_view("a", "b", "c")
    await world.start("a", "b")
    await world.change(2.0)
    await wait_until(lambda: set(world.rates().values()) == {2.0})
    await world.platform.set_down(True)
    await world.start("c")
    assert rate_of(world.vms["c"]) == 2.0 and world.vms["c"].relay.loaded
    await world.platform.set_down(False)
    await world.change(3.0)
    await wait_until(lambda: set(world.rates().values()) == {3.0})


async def test_start_without_store_and_peers(world):
    """A VM that reaches neither store nor peers loads its state as soon as the store answers."""
    await world.change(2.0)
    await world.platform.set_down(True)
    await world.start("a")
    assert not world.vms["a"].relay.loaded
    await world.platform.set_down(False)
    await world.clock.advance(0.1)
    assert world.vms["a"].relay.loaded and rate_of(world.vms["a"]) == 2.0


async def test_start_takes_the_highest_of_store_and_peers(world):
    """A starting VM loads the newer state of the store even if a peer has given it an older one."""
    await world.change(1.0)
    await world.start("a")
    world.vms["a"].platform.down = True
    await wait_until(lambda: world.vms["a"].platform.calls["watch"] > 3)
    await world.change(2.0)
    await world.start("b")
    assert world.rates() == {"a": 1.0, "b": 2.0}


async def test_vm_that_is_behind_pulls(world):
    """A VM that missed pushes pulls after a peer's state summary; an old summary never makes it go back."""
    await world.add_view("a", "b", "c")
    await world.start("a", "b", "c")
    await world.change(1.0)
    await wait_until(lambda: set(world.rates().values()) == {1.0})
    old = world.vms["a"].relay.state_summary()
    world.network.unreachable_vms.add("c")
    await world.change(2.0)
    await wait_until(lambda: rate_of(world.vms["a"]) == rate_of(world.vms["b"]) == 2.0)
    world.network.unreachable_vms.clear()
    late = world.vms["c"]
    late.relay.on_peer_summary("a", old)
    late.relay.on_peer_summary("a", {"configuration": "x"})
    await asyncio.sleep(0.02)
    assert rate_of(late) == 1.0 and late.cache.confirmed_at is None
    late.relay.on_peer_summary("a", world.vms["a"].relay.state_summary())
    await wait_until(lambda: rate_of(late) == 2.0)
    world.vms["a"].relay.on_peer_summary("c", old)
    await asyncio.sleep(0.02)
    assert rate_of(world.vms["a"]) == 2.0
    late.relay.on_peer_summary("a", world.vms["a"].relay.state_summary(), requested_at=world.clock.now())
    assert late.cache.confirmed_at is not None


async def test_own_write_reaches_the_domain(world):
    """An object that a VM has written and applied itself is pushed to its domain without a watch."""
    await world.add_view("a", "b", "c")
    await world.start("a", "b", "c")
    await asyncio.sleep(0.02)
    await world.platform.set_down(True)
    world.vms["c"].relay.publish([records.to_object(model.Group("g", 2, model.Phase.STABLE, "", (), {}, 50))])
    await wait_until(lambda: all("g" in vm.cache.groups for vm in world.vms.values()))


async def test_returning_relay_does_not_overwrite(world):
    """Outdated pushes, such as those of a relay that was paused, do not replace a newer state."""
    await world.change(1.0)
    await world.start("a", "b")
    old = exchange.configuration_objects(world.vms["a"].cache, ())
    await world.change(2.0)
    await wait_until(lambda: set(world.rates().values()) == {2.0})
    body = {"objects": [[row.kind, row.name, row.version, row.value] for row in old]}
    await world.vms["b"].peers.request("a", "objects", body, timeout_s=1.0)
    assert rate_of(world.vms["a"]) == 2.0


async def test_state_larger_than_a_frame(world, monkeypatch):
    """A starting VM loads a state that needs several frames from a peer, including configuration parts."""
    monkeypatch.setattr(exchange, "MAX_BATCH_BYTES", 500)
    await world.change(1.0)
    for number in range(10):
        await records.write(world.platform, model.Group(f"g{number}", 1, model.Phase.STABLE, "", ()))
    await world.start("a")
    await world.platform.set_down(True)
    await world.start("b")
    assert rate_of(world.vms["b"]) == 1.0 and len(world.vms["b"].cache.groups) == 10
    assert world.vms["a"].relay.state_summary()["sums"] == world.vms["b"].relay.state_summary()["sums"]


async def test_pull_by_name_and_malformed_pull(world):
    """Objects can be pulled by kind and name; a malformed request is rejected."""
    await world.change(1.0)
    await world.start("a", "b")
    part = next(iter(world.vms["a"].cache.parts_in_force().values()))
    names = [["parts", part], ["groups", "absent"]]
    body = await world.vms["b"].peers.request("a", "pull", {"names": names}, timeout_s=1.0)
    [stored] = exchange.decode_objects(body).stored_objects()
    assert isinstance(stored, interfaces.StoredObject) and configuration.part_text(part, stored.value)
    for fault in ({"names": 1}, {"have": {"secrets": {}}}, {"have": {"groups": 1}}):
        with pytest.raises(errors.MalformedFrameError):
            await world.vms["b"].peers.request("a", "pull", fault, timeout_s=1.0)


async def test_role_follows_the_order_without_dead_vms():
    """The relays are the first live VMs in the ranking of all, so dead VMs must not be counted."""
    world = World()
    names = [f"vm{number}" for number in range(6)]
    await world.start(*names)
    await world.add_view(*names)
    for dead in (set(), {"vm0"}, {"vm0", "vm1"}, {"vm0", "vm2", "vm3"}, set(names[:5])):
        world.dead = dead
        for name in names:
            world.vms[name].cache.apply([await world.platform.read("views", "larisa")])
            expected = [other for other in names if other == name or other not in dead][: relay.RELAYS_PER_DOMAIN]
            assert world.vms[name].relay.is_relay() == (name in expected), (dead, name)
    for vm in world.vms.values():
        await vm.relay.stop()


async def test_equal_numbers_are_recognised_without_validation():
    """The shortcut for equal summaries must not treat a peer with a newer state as equal."""
    world = World()
    await world.add_view("vm0")
    await world.start("vm0", "vm1")
    cache, own = world.vms["vm0"].cache, world.vms["vm1"].relay.state_summary()
    assert exchange.describes_same_state(cache, own)
    assert not exchange.describes_same_state(cache, {**own, "configuration": own["configuration"] + 1})
    for kind, (total, fingerprint) in own["sums"].items():
        assert not exchange.describes_same_state(
            cache, {**own, "sums": {**own["sums"], kind: [total + 1, fingerprint]}}
        )
    assert not exchange.describes_same_state(cache, {})
    for vm in world.vms.values():
        await vm.relay.stop()


def test_relays_share_the_members_between_them():
    """Each relay pushes to half of the members, together to all; both pushing to all would send twice the bytes."""
    members = tuple(model.Member(f"a-{n:02}", "a", n, "") for n in range(9))
    view = model.View("a", 1, members)
    first, second = (set(relay.push_targets(place, view, "a-00")) for place in (0, 1))
    assert first | second == {member.vm for member in members} - {"a-00"}
    assert not first & second


async def test_stored_change_is_pushed_while_the_watches_are_silent(world):
    """A revoked key is pushed to the own domain and the relays of others while the store answers no relay."""
    await world.add_view("a", "b", "c")
    await world.add_view("x", "y", "z", domain="naousa")
    await world.start("a", "b", "c")
    await world.start("x", "y", "z", domain="naousa")
    await wait_until(lambda: all(len(vm.cache.views) == 2 for vm in world.vms.values()))
    for vm in world.vms.values():
        vm.platform.down = True
    new = model.Configuration(organisations={"farm": model.Organisation("farm", 3.0, 5.0)})
    on_stored = world.vms["c"].relay.publish_everywhere
    await store.ConfigurationStore(world.platform, world.clock.now, on_stored=on_stored).change(lambda old: new, "x")
    await wait_until(lambda: [rate_of(world.vms[name]) for name in "abcxy"] == [3.0] * 5)
