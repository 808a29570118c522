"""Measurements of joins, token exchange, and store calls of changes, with whole parts over loopback."""

import asyncio
import collections
import dataclasses
import time
from typing import Any

from currantlead import timers
from currantlead.admission import service
from currantlead.control import (
    directory,
    failover,
    group_records,
    model,
    promotion,
    promotion_runner,
    records,
    relay,
    store,
)
from currantlead.peers import network
from currantlead.routing import placement
from tests import fakes_membership
from tests.standins import memory
from tools import measurements, sizes

_LIMIT_S = 40.0
_RATE_S = 2.5


class _CountingPlatform(fakes_membership.FakePlatform):
    """Count reads; the base class counts writes."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read(self, kind: str, name: str) -> Any:
        """Return an object."""
        self.reads += 1
        return await super().read(kind, name)

    async def list_vms(self) -> Any:
        """Return the listed VMs."""
        self.reads += 1
        return await super().list_vms()


async def _join(count: int) -> measurements.Point:
    platform = _CountingPlatform()
    start, spent = time.perf_counter(), time.process_time()
    vms = [await fakes_membership.start_vm(f"vm-{n:03}", "domain-0", platform) for n in range(count)]

    def joined() -> bool:
        return all(vm.members.roles_active and len(vm.members.view.members) == count for vm in vms)

    await fakes_membership.wait_until(joined, timeout_s=_LIMIT_S)
    elapsed, spent = time.perf_counter() - start, time.process_time() - spent
    sent = sum(vm.network.bytes_sent for vm in vms)
    calls = {"reads": platform.reads, "writes": platform.writes}
    await asyncio.gather(*(vm.stop(leave=False) for vm in vms))
    return {"x": count, "elapsed_s": elapsed, "core_s": spent, "bytes": sent, **calls}


@measurements.register(
    "joins", x="VMs that join at once", how="Members of a whole domain start together over loopback in one process."
)
def measure_joins() -> list[measurements.Point]:
    """Vary the VMs that start at once in an empty domain."""
    return [asyncio.run(_join(count)) for count in (8, 16, 32, 48)]


class _Membership:
    """Assign all organisations of the domain to one VM."""

    def __init__(self, vm: str, owner: str):
        self._vm, self._owner = vm, owner

    def owns(self, organisation: str) -> bool:
        """Tell whether this VM is the owner."""
        return self._vm == self._owner

    def owned_since(self, organisation: str) -> float | None:
        """Return a reading long ago."""
        return 0.0 if self._vm == self._owner else None

    def owner(self, organisation: str, domain: str) -> str | None:
        """Return the owner in the only domain."""
        return self._owner


async def _exchange(rate: int) -> measurements.Point:
    clock = timers.TimerService()
    clock.start()
    # A VM owns this many of the 1,600 organisations; at the target its own asks go to as many owners as there are VMs.
    owned = round(sizes.TARGET.organisations / sizes.TARGET.members)
    size = dataclasses.replace(sizes.TARGET, vms=86, domains=1, databases=0, organisations=owned)
    cache = sizes.fill(directory.Directory(clock.now), size)
    networks = [network.Network(f"domain-0-vm-{n:03}", "domain-0") for n in range(2)]
    for peers in networks:
        await peers.start()
    networks[0].update_addresses([networks[1].member])
    networks[1].update_addresses([networks[0].member])
    owner = networks[1].member.vm
    parts = [service.AdmissionService(cache, _Membership(peers.member.vm, owner), peers, clock) for peers in networks]
    for part in parts:
        part.start()
    names = list(cache.configuration.organisations)
    refused, done = 0, 0
    spent, sent, start = time.process_time(), sum(peers.bytes_sent for peers in networks), time.perf_counter()
    while (now := time.perf_counter() - start) < _RATE_S:
        while done < now * rate:
            refused += await parts[0].admit(names[done % len(names)]) is not None
            done += 1
        await asyncio.sleep(0.01)
    spent = time.process_time() - spent
    sent = sum(peers.bytes_sent for peers in networks) - sent
    for part in parts:
        await part.stop()
    for peers in networks:
        await peers.stop()
    await clock.stop()
    if refused:
        raise RuntimeError(f"{refused} requests within the rate were refused")
    return {"x": done / _RATE_S, "core": spent / _RATE_S, "bytes_s": sent / _RATE_S}


@measurements.register(
    "token_exchange",
    x="statements/s",
    how="Two Services over loopback, requester and owner of 19 organisations in one process; each statement asks the "
    "owner for one token. Both ends are counted.",
)
def measure_exchange() -> list[measurements.Point]:
    """Vary the admitted statements of one VM."""
    return [asyncio.run(_exchange(rate)) for rate in (40, 80, 160, 320)]


async def _changes(count: int) -> measurements.Point:
    platform, net, clock = memory.MemoryPlatform(), memory.Network(), timers.TimerService()
    clock.start()
    for stored in sizes.objects(dataclasses.replace(sizes.TARGET, databases=10)):
        if stored.kind != records.VIEWS:
            await platform.write(stored.kind, stored.name, stored.value, if_version=0)
    relays = []
    for number in range(2):
        cache = directory.Directory(clock.now)
        peers = net.join(f"vm-{number}", "domain-0")
        relays.append((relay.Relay(platform, cache, peers, clock, placement.rank), cache))
        await relays[-1][0].start()
    await asyncio.sleep(0.3)
    editor = store.ConfigurationStore(platform, clock.now, cache=relays[0][1])
    before = collections.Counter(platform.calls)
    for number in range(count):
        outcome = await editor.change(_set_rate(number), f"change {number}")
        await fakes_membership.wait_until(
            lambda wanted=outcome.ok_value: all(cache.configuration.number == wanted for _, cache in relays)
        )
    calls = platform.calls - before
    for part, _ in relays:
        await part.stop()
    await clock.stop()
    return {"x": count, **{kind: calls[kind] for kind in ("read", "write", "watch")}}


def _set_rate(number: int) -> store.Mutate:
    def mutate(old: model.Configuration) -> model.Configuration:
        name = f"organisation-{number:05}"
        changed = dataclasses.replace(old.organisations[name], rate=700.0 + number)
        return dataclasses.replace(old, organisations={**old.organisations, name: changed})

    return mutate


@measurements.register(
    "configuration_calls", x="configuration changes", how="Store calls of Store.change and of two relays that follow."
)
def measure_changes() -> list[measurements.Point]:
    """Vary the changes."""
    return [asyncio.run(_changes(count)) for count in (0, 5, 10, 20)]


class _Group:
    """Answer status and terms for the three instances of one group."""

    def __init__(self, group: model.Group):
        self._terms = dict.fromkeys((each.name for each in group.instances), group.term)
        self.calls = 0

    async def status(self, instance: model.Instance) -> failover.InstanceStatus:
        """Return a status in the instance's term."""
        self.calls += 1
        return failover.InstanceStatus(instance.name, "replica", self._terms[instance.name], 1, 7, 7, 9.0)

    async def set_term(self, group: model.Group, order: failover.SetTerm) -> failover.InstanceStatus | None:
        """Adopt a term; the old primary gives no answer."""
        self.calls += 1
        if order.instance == group.instances[0].name:
            return None
        self._terms[order.instance] = order.term
        return failover.InstanceStatus(order.instance, order.role, order.term, 1, 7, 7, 9.0)


async def _promote(count: int) -> measurements.Point:
    platform, clock = memory.MemoryPlatform(), timers.TimerService()
    clock.start()
    peers = memory.Network().join("vm-0", "domain-0")
    groups = sizes.groups(dataclasses.replace(sizes.TARGET, databases=max(1, count)))[:count]
    written = group_records.GroupRecords(platform=platform, peers=peers, on_group=lambda group: None)
    for group in groups:
        await platform.write(records.GROUPS, group.name, records.encode(group), if_version=0)
    before, asked = collections.Counter(platform.calls), 0
    spent, longest = time.process_time(), 0.0
    for group in groups:
        start, client = time.perf_counter(), _Group(group)
        steps = promotion.Promotion(await written.read(group.name), now=clock.now())
        await promotion_runner.PromotionRunner(steps, store=written, client=client, clock=clock).run()
        asked, longest = asked + client.calls, max(longest, time.perf_counter() - start)
    calls, spent = platform.calls - before, time.process_time() - spent
    await clock.stop()
    counted = {kind: calls[kind] for kind in ("read", "write")}
    return {"x": count, "core_s": spent, "longest_s": longest, "instance_calls": asked, **counted}


@measurements.register(
    "promotions",
    x="changes of primary",
    how="Promotion and PromotionRunner with a memory platform; the old primary is silent.",
)
def measure_promotions() -> list[measurements.Point]:
    """Vary the changes, one after the other."""
    return [asyncio.run(_promote(count)) for count in (0, 2, 4, 8)]
