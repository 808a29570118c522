"""Measurements over real sockets, with the peer in a second process where its CPU time would distort the result."""

import asyncio
import contextlib
import dataclasses
import json
import multiprocessing
import pathlib
import time
from collections.abc import AsyncIterator
from multiprocessing import connection
from typing import Any

import aiohttp

from currantlead import logs, timers
from currantlead.connections import acknowledgement, endpoint
from currantlead.control import coordinator, directory, instances, members, model, relay
from currantlead.peers import network
from currantlead.routing import placement
from tests.standins import memory
from tools import heartbeat_cost, measurements, sizes

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_WARM_UP_S = 1.0
_WINDOW_S = 4.0


@measurements.register(
    "heartbeats",
    x="members",
    how="Heartbeats of one VM with the daemon's constants over loopback; its peers run in another process.",
)
def measure_heartbeats() -> list[measurements.Point]:
    """Vary the number of members of a view."""
    points = []
    for count in (8, 22, 43, 64, 86):
        cpu_share, bytes_sent, received = asyncio.run(heartbeat_cost.measure_heartbeats(count, _WINDOW_S))
        interval = (
            members.LARGE_VIEW_HEARTBEAT_INTERVAL_S
            if count > members.LARGE_VIEW_VOTERS
            else members.HEARTBEAT_INTERVAL_S
        )
        frames = (count - 1) / interval
        points.append({"x": frames, "members": count, "core": cpu_share, "sent": bytes_sent, "received": received})
    return points


async def _serve_receivers(count: int, pipe: connection.Connection) -> None:
    received_at: list[float] = []
    networks = [network.Network(f"domain-0-vm-{number:03}", "domain-0") for number in range(1, count)]

    def record_arrival(vm: str, body: dict[str, Any]) -> dict[str, Any]:
        received_at.append(time.monotonic())
        return {}

    for peers in networks:
        await peers.start()
        peers.handler("objects")(record_arrival)
    pipe.send([peers.member for peers in networks])
    await asyncio.to_thread(pipe.recv)
    pipe.send(received_at)
    for peers in networks:
        await peers.stop()


def _receiver_process(count: int, pipe: connection.Connection) -> None:
    logs.configure(level="CRITICAL")
    asyncio.run(_serve_receivers(count, pipe))


def _with_changed_rate(settings: model.Configuration, number: int) -> model.Configuration:
    name = next(iter(settings.organisations))
    changed = dataclasses.replace(settings.organisations[name], rate=500.0 + number)
    return dataclasses.replace(settings, number=number, organisations={**settings.organisations, name: changed})


async def _fan_out(count: int, changes: int = 10) -> measurements.Point:
    pipe, child_pipe = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=_receiver_process, args=(count, child_pipe), daemon=True
    )
    process.start()
    other_members = await asyncio.to_thread(pipe.recv)
    peers = network.Network("domain-0-vm-000", "domain-0")
    await peers.start()
    cache = sizes.fill_directory(directory.Directory(time.monotonic), sizes.TARGET)
    # Ranking by name makes this VM the first of the two relays, which divide the members between them.
    config_relay = relay.Relay(
        memory.MemoryPlatform(), cache, peers, timers.ManualTimers(), lambda key, names: sorted(names)
    )
    peers.update_addresses(other_members)
    view = model.View("domain-0", 9, (peers.member, *other_members), None, 9)
    cache._records["views"] = {"domain-0": view}
    targets_per_push = len(relay.push_targets(0, view, peers.member.vm))
    config_relay._watching.set()
    for vm in other_members:
        await peers.request(vm.vm, "objects", {}, timeout_s=5)
    bytes_sent, cpu_s, pushed_at = peers.bytes_sent, 0.0, []
    for number in range(2, 2 + changes):
        known_parts = set(cache.part_names())
        objects = sizes.make_configuration_objects(_with_changed_rate(cache.configuration, number))
        changed = cache.apply(stored for stored in objects if stored.name not in known_parts)
        pushed_at.append(time.monotonic())
        cpu_before = time.process_time()
        config_relay._push_changes("configuration", changed, known_parts)
        await asyncio.sleep(0.05)
        cpu_s += time.process_time() - cpu_before
    await asyncio.sleep(0.2)
    pipe.send(None)
    received_at = sorted(await asyncio.to_thread(pipe.recv))[count - 1 :]
    await peers.stop()
    await asyncio.to_thread(process.join, 10)
    if len(received_at) != changes * targets_per_push:
        raise RuntimeError(f"received {len(received_at)} frames instead of {changes * targets_per_push}")
    delays = [received_at[(index + 1) * targets_per_push - 1] - pushed for index, pushed in enumerate(pushed_at)]
    bytes_sent = (peers.bytes_sent - bytes_sent) / changes
    return {"x": count, "seconds": cpu_s / changes, "bytes": bytes_sent, "delay_s": max(delays)}


@measurements.register(
    "fan_out",
    x="members",
    how="A relay pushes a changed part and the index to its half of the domain.",
)
def measure_fan_out() -> list[measurements.Point]:
    """Vary the number of members of the relay's domain."""
    return [asyncio.run(_fan_out(count)) for count in (8, 22, 43, 86)]


class _EndpointProtocol(asyncio.Protocol):
    """Minimal HTTP server that returns the same status for any instance after the requested ``timeout_s``."""

    def __init__(self, port: int):
        self._port = port
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Schedule the response to one request; the measured clients do not pipeline."""
        path = data.split(b" ", 2)[1].decode()
        _, _, wait = path.partition("timeout_s=")
        asyncio.get_running_loop().call_later(float(wait or 0), self._answer)

    def _answer(self) -> None:
        name = f"database-0000-{self._port}"
        body = {"instance": name, "group": "database-0000", "role": "replica", "term": 1, "index": 7, "leaving": False}
        body |= {"received_index": 7, "received_term": 1, "applied_time": 1.0, "now": 1.0, "connections": 3}
        text = json.dumps({**body, "primary_contact_age": 0.1}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
        self._transport.write(head.encode() + text)


async def _serve_endpoint(pipe: connection.Connection) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _EndpointProtocol(0), "127.0.0.1", 0)
    pipe.send(server.sockets[0].getsockname()[1])
    await asyncio.to_thread(pipe.poll, 60)
    server.close()


def _endpoint_process(pipe: connection.Connection) -> None:
    asyncio.run(_serve_endpoint(pipe))


@contextlib.asynccontextmanager
async def _run_fake_endpoint() -> AsyncIterator[str]:
    pipe, child_pipe = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_endpoint_process, args=(child_pipe,), daemon=True)
    process.start()
    port = await asyncio.to_thread(pipe.recv)
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        pipe.send(None)
        await asyncio.to_thread(process.join, 10)


async def _measure_cpu_share(seconds: float = _WINDOW_S) -> float:
    await asyncio.sleep(_WARM_UP_S)
    start, cpu_s = time.perf_counter(), time.process_time()
    await asyncio.sleep(seconds)
    return (time.process_time() - cpu_s) / (time.perf_counter() - start)


async def _poll_positions(count: int) -> float:
    async with _run_fake_endpoint() as url:
        trackers = []
        for number in range(count):
            name = f"database-{number:04}"
            group_instances = tuple(model.Instance(f"{name}-{index}", url, "domain-0") for index in range(3))
            group = model.Group(name, 1, model.Phase.STABLE, group_instances[0].name, group_instances, {1: 0}, 1)
            replicas = {
                instance.name: endpoint.Endpoint.from_instance(instance, sender="vm")
                for instance in group_instances[1:]
            }
            trackers.append((acknowledgement.AcknowledgementTracker(group, replicas), replicas))
            trackers[-1][0].start()
        cpu_share = await _measure_cpu_share()
        for tracker, replicas in trackers:
            await tracker.stop()
            for replica in replicas.values():
                await replica.close()
    return cpu_share


@measurements.register(
    "position_polls", x="primaries held", how="AcknowledgementTracker of two replicas each, while nothing is written."
)
def measure_positions() -> list[measurements.Point]:
    """Vary the number of primaries held."""
    return [{"x": count, "core": asyncio.run(_poll_positions(count))} for count in (0, 4, 8, 16)]


async def _poll_status(count: int) -> float:
    size = dataclasses.replace(sizes.TARGET, vms=7)
    async with _run_fake_endpoint() as url, aiohttp.ClientSession() as session:
        clock = timers.TimerService()
        clock.start()
        cache = sizes.fill_directory(directory.Directory(clock.now), dataclasses.replace(size, databases=0))
        name = "database-0000"
        group_instances = tuple(model.Instance(f"{name}-0", url, f"domain-{number}") for number in range(3))
        group = model.Group(name, 1, model.Phase.STABLE, group_instances[0].name, group_instances, {1: 0}, 1)
        cache._records["groups"] = {f"database-{n:04}": dataclasses.replace(group) for n in range(count)}
        failover_coordinator = coordinator.FailoverCoordinator(
            platform=memory.MemoryPlatform(),
            peers=memory.Network().join("domain-0-vm-000", "domain-0"),
            directory=cache,
            client=instances.HttpInstanceClient(session),
            clock=clock,
            rank=placement.rank,
            on_group=lambda changed: None,
        )
        # The VM ranks first as monitor of every group, so it polls each primary every 0.5 s.
        failover_coordinator._monitor_ranks = dict.fromkeys(cache.groups, 0)
        failover_coordinator.start()
        cpu_share = await _measure_cpu_share()
        await failover_coordinator.stop()
        await clock.stop()
    return cpu_share


@measurements.register(
    "status_polls",
    x="groups monitored first",
    how="FailoverCoordinator with HttpInstanceClient: 2 polls/s of the primary, 2 replicas every 3 s per group.",
)
def measure_status() -> list[measurements.Point]:
    """Vary the number of monitored groups."""
    return [{"x": count, "core": asyncio.run(_poll_status(count))} for count in (0, 4, 8, 16)]
