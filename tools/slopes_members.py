"""Measurements of joins, token exchange, configuration changes and promotions, over loopback or in-memory fakes."""

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

_JOIN_TIMEOUT_S = 40.0
_EXCHANGE_DURATION_S = 2.5


class _CountingPlatform(fakes_membership.FakePlatform):
    """Platform that also counts reads; the base class counts writes."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read(self, kind: str, name: str) -> Any:
        """Return an object."""
        self.reads += 1
        return await super().read(kind, name)

    async def list_vms(self) -> Any:
        """Return the registered VMs."""
        self.reads += 1
        return await super().list_vms()


async def _join(count: int) -> measurements.Point:
    platform = _CountingPlatform()
    started_at, cpu_s = time.perf_counter(), time.process_time()
    vms = [await fakes_membership.start_vm(f"vm-{n:03}", "domain-0", platform) for n in range(count)]

    def joined() -> bool:
        return all(vm.members.roles_active and len(vm.members.view.members) == count for vm in vms)

    await fakes_membership.wait_until(joined, timeout_s=_JOIN_TIMEOUT_S)
    elapsed_s, cpu_s = time.perf_counter() - started_at, time.process_time() - cpu_s
    bytes_sent = sum(vm.network.bytes_sent for vm in vms)
    calls = {"reads": platform.reads, "writes": platform.writes}
    await asyncio.gather(*(vm.stop(leave=False) for vm in vms))
    return {"x": count, "elapsed_s": elapsed_s, "core_s": cpu_s, "bytes": bytes_sent, **calls}


@measurements.register(
    "joins", x="VMs that join at once", how="Members of a whole domain start together over loopback in one process."
)
def measure_joins() -> list[measurements.Point]:
    """Vary the number of VMs that start simultaneously in an empty domain."""
    return [asyncio.run(_join(count)) for count in (8, 16, 32, 48)]


class _SingleOwnership:
    """Rate ownership in which one VM owns all organisations of the domain."""

    def __init__(self, vm: str, owner: str):
        self._vm, self._owner = vm, owner

    def owns(self, organisation: str) -> bool:
        """Return whether this VM is the owner."""
        return self._vm == self._owner

    def owned_since(self, organisation: str) -> float | None:
        """Return the start of the clock if this VM is the owner, otherwise None."""
        return 0.0 if self._vm == self._owner else None

    def owner(self, organisation: str, domain: str) -> str | None:
        """Return the owner in the only domain."""
        return self._owner


async def _exchange_tokens(rate: int) -> measurements.Point:
    clock = timers.TimerService()
    clock.start()
    # Number of the 1,600 organisations that one VM owns. At the target size, a VM's token requests go to as many owners
    # as its domain has VMs.
    owned_organisations = round(sizes.TARGET.organisations / sizes.TARGET.members)
    size = dataclasses.replace(sizes.TARGET, vms=86, domains=1, databases=0, organisations=owned_organisations)
    cache = sizes.fill_directory(directory.Directory(clock.now), size)
    networks = [network.Network(f"domain-0-vm-{n:03}", "domain-0") for n in range(2)]
    for peers in networks:
        await peers.start()
    networks[0].update_addresses([networks[1].member])
    networks[1].update_addresses([networks[0].member])
    owner = networks[1].member.vm
    services = [
        service.AdmissionService(cache, _SingleOwnership(peers.member.vm, owner), peers, clock) for peers in networks
    ]
    for admission in services:
        admission.start()
    names = list(cache.configuration.organisations)
    refused, requests = 0, 0
    cpu_s, bytes_sent, started_at = (
        time.process_time(),
        sum(peers.bytes_sent for peers in networks),
        time.perf_counter(),
    )
    while (now := time.perf_counter() - started_at) < _EXCHANGE_DURATION_S:
        while requests < now * rate:
            refused += await services[0].admit(names[requests % len(names)]) is not None
            requests += 1
        await asyncio.sleep(0.01)
    cpu_s = time.process_time() - cpu_s
    bytes_sent = sum(peers.bytes_sent for peers in networks) - bytes_sent
    for admission in services:
        await admission.stop()
    for peers in networks:
        await peers.stop()
    await clock.stop()
    if refused:
        raise RuntimeError(f"{refused} requests within the rate were refused")
    return {
        "x": requests / _EXCHANGE_DURATION_S,
        "core": cpu_s / _EXCHANGE_DURATION_S,
        "bytes_s": bytes_sent / _EXCHANGE_DURATION_S,
    }


@measurements.register(
    "token_exchange",
    x="statements/s",
    how="Two AdmissionServices over loopback, requester and owner of 19 organisations in one process; each statement "
    "requests one token from the owner. Both ends are counted.",
)
def measure_exchange() -> list[measurements.Point]:
    """Vary the rate of statements admitted by one VM."""
    return [asyncio.run(_exchange_tokens(rate)) for rate in (40, 80, 160, 320)]


async def _apply_changes(count: int) -> measurements.Point:
    platform, net, clock = memory.MemoryPlatform(), memory.Network(), timers.TimerService()
    clock.start()
    for stored in sizes.make_objects(dataclasses.replace(sizes.TARGET, databases=10)):
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
    calls_before = collections.Counter(platform.calls)
    for number in range(count):
        outcome = await editor.change(_set_rate(number), f"change {number}")
        await fakes_membership.wait_until(
            lambda expected=outcome.ok_value: all(cache.configuration.number == expected for _, cache in relays)
        )
    calls = platform.calls - calls_before
    for config_relay, _ in relays:
        await config_relay.stop()
    await clock.stop()
    return {"x": count, **{kind: calls[kind] for kind in ("read", "write", "watch")}}


def _set_rate(number: int) -> store.Mutate:
    def mutate(current: model.Configuration) -> model.Configuration:
        name = f"organisation-{number:05}"
        changed = dataclasses.replace(current.organisations[name], rate=700.0 + number)
        return dataclasses.replace(current, organisations={**current.organisations, name: changed})

    return mutate


@measurements.register(
    "configuration_calls",
    x="configuration changes",
    how="Store calls of ConfigurationStore.change and of two relays that follow.",
)
def measure_changes() -> list[measurements.Point]:
    """Vary the number of changes."""
    return [asyncio.run(_apply_changes(count)) for count in (0, 5, 10, 20)]


class _GroupClient:
    """Instance client for the three instances of one group, whose old primary does not respond to a new term."""

    def __init__(self, group: model.Group):
        self._terms = dict.fromkeys((instance.name for instance in group.instances), group.term)
        self.calls = 0

    async def status(self, instance: model.Instance) -> failover.InstanceStatus:
        """Return the status of a replica in the instance's current term."""
        self.calls += 1
        return failover.InstanceStatus(instance.name, "replica", self._terms[instance.name], 1, 7, 7, 9.0)

    async def set_term(self, group: model.Group, order: failover.SetTerm) -> failover.InstanceStatus | None:
        """Set the term of an instance; the old primary does not respond."""
        self.calls += 1
        if order.instance == group.instances[0].name:
            return None
        self._terms[order.instance] = order.term
        return failover.InstanceStatus(order.instance, order.role, order.term, 1, 7, 7, 9.0)


async def _run_promotions(count: int) -> measurements.Point:
    platform, clock = memory.MemoryPlatform(), timers.TimerService()
    clock.start()
    peers = memory.Network().join("vm-0", "domain-0")
    groups = sizes.make_groups(dataclasses.replace(sizes.TARGET, databases=max(1, count)))[:count]
    group_store = group_records.GroupRecords(platform=platform, peers=peers, on_group=lambda group: None)
    for group in groups:
        await platform.write(records.GROUPS, group.name, records.encode(group), if_version=0)
    calls_before, instance_calls = collections.Counter(platform.calls), 0
    cpu_s, longest_s = time.process_time(), 0.0
    for group in groups:
        started_at, client = time.perf_counter(), _GroupClient(group)
        steps = promotion.Promotion(await group_store.read(group.name), now=clock.now())
        await promotion_runner.PromotionRunner(steps, store=group_store, client=client, clock=clock).run()
        instance_calls, longest_s = instance_calls + client.calls, max(longest_s, time.perf_counter() - started_at)
    calls, cpu_s = platform.calls - calls_before, time.process_time() - cpu_s
    await clock.stop()
    store_calls = {kind: calls[kind] for kind in ("read", "write")}
    return {"x": count, "core_s": cpu_s, "longest_s": longest_s, "instance_calls": instance_calls, **store_calls}


@measurements.register(
    "promotions",
    x="changes of primary",
    how="Promotion and PromotionRunner with a memory platform; the old primary does not respond.",
)
def measure_promotions() -> list[measurements.Point]:
    """Vary the number of promotions, run one after the other."""
    return [asyncio.run(_run_promotions(count)) for count in (0, 2, 4, 8)]
