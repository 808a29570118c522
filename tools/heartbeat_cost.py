"""Measure what heartbeats and peer requests cost one VM.

The measured VM runs in this process and its peers in another one, over loopback. The peers exchange heartbeats only
with the measured VM, which costs it the same as a full view and keeps the number of sockets small. The figures are the
processor time of this process, the system's part included, and the bytes of frames. Usage:
``python -m tools.heartbeat_cost``.
"""

import asyncio
import gc
import multiprocessing
import time
from multiprocessing import connection

import typer

from currantlead import logs, timers
from currantlead.control import directory, members, model, relay, views
from currantlead.peers import network
from currantlead.routing import placement
from tools import sizes


class _NoPlatform:
    """Stand in for a platform that holds one fixed view."""

    def __init__(self, view):
        self._view = view

    async def read(self, kind, name):
        return _Stored(views.encode(self._view), self._view.version)


class _Stored:
    def __init__(self, value, version):
        self.value = value
        self.version = version


class _NoDirectory:
    """Stand in for a directory without views."""

    views: dict[str, model.View] = {}

    def subscribe(self, callback):
        """Ignore the subscriber."""


def _make(
    peers: network.Network,
    cache: directory.Directory,
    view: model.View,
    clock: timers.TimerService,
    interval_s: float = members.HEARTBEAT_INTERVAL_S,
) -> members.MembershipService:
    """Create the members' part with the numbers that the daemon's heartbeats carry."""
    platform = _NoPlatform(view)
    vm = members.MembershipService(peers, platform, _NoDirectory(), clock, heartbeat_s=interval_s)
    state = relay.Relay(platform, cache, peers, clock, placement.rank)
    vm.add_heartbeat_value("state", state.state_summary)
    vm.add_heartbeat_value("shares", lambda: cache.shares.number)
    vm.add_heartbeat_callback(lambda name, numbers: state.on_peer_summary(name, numbers.get("state", {})))
    return vm


def _make_cache() -> directory.Directory:
    """Return a directory of the target size, confirmed so that the numbers carry an age as in a daemon."""
    cache = sizes.fill(directory.Directory(time.monotonic), sizes.TARGET)
    cache.confirm(0, time.monotonic())
    return cache


async def _start_networks(names: list[str]) -> list[network.Network]:
    networks = [network.Network(name, "larisa") for name in names]
    for peers in networks:
        await peers.start()
    return networks


def _run_peers(count: int, seconds: float, pipe: connection.Connection) -> None:
    """Run the peers of the measured VM for a bounded time."""
    logs.configure(level="ERROR")

    async def run() -> None:
        networks = await _start_networks([f"larisa-vm-{number:03d}" for number in range(1, count)])
        pipe.send([peers.member for peers in networks])
        measured = pipe.recv()
        clock = timers.TimerService()
        clock.start()
        cache = _make_cache()
        for peers in networks:
            view = model.View("larisa", 1, (measured, peers.member), None, 1)
            # The peers' own views are small; they take the interval of the measured VM's view.
            large = count > members.LARGE_VIEW_VOTERS
            vm = _make(
                peers,
                cache,
                view,
                clock,
                members.LARGE_VIEW_HEARTBEAT_INTERVAL_S if large else members.HEARTBEAT_INTERVAL_S,
            )
            await vm.start()
            vm.adopt(view)
        await asyncio.sleep(seconds)

    asyncio.run(run())


async def measure_heartbeats(count: int, seconds: float) -> tuple[float, float, float]:
    """Return the share of a core, bytes sent and bytes received, for one VM and second."""
    pipe, other_end = multiprocessing.Pipe()
    settling_s = 4.0
    arguments = (count, seconds + settling_s + 2.0, other_end)
    process = multiprocessing.get_context("spawn").Process(target=_run_peers, args=arguments, daemon=True)
    process.start()
    (peers,) = await _start_networks(["larisa-vm-000"])
    others = await asyncio.to_thread(pipe.recv)
    pipe.send(peers.member)
    clock = timers.TimerService()
    clock.start()
    view = model.View("larisa", 1, (peers.member, *others), None, 1)
    vm = _make(peers, _make_cache(), view, clock)
    await vm.start()
    vm.adopt(view)
    await asyncio.sleep(settling_s)
    if not vm.roles_active:
        raise RuntimeError("the measured VM has no lease or no active roles")
    gc.collect()
    counts = peers.bytes_sent, peers.bytes_received
    start, processor = time.perf_counter(), time.process_time()
    await asyncio.sleep(seconds)
    elapsed, processor = time.perf_counter() - start, time.process_time() - processor
    sent, received = peers.bytes_sent - counts[0], peers.bytes_received - counts[1]
    if not vm.lease_valid():
        raise RuntimeError("the lease lapsed under the load of the measurement")
    await vm.stop(leave=False)
    await peers.stop()
    await clock.stop()
    await asyncio.to_thread(process.join, 10)
    return processor / elapsed, sent / elapsed, received / elapsed


async def _measure_requests(count: int, concurrent: int) -> float:
    """Return the microseconds of processor time of one request and reply, both ends together."""
    first, second = network.Network("vm1", "larisa"), network.Network("vm2", "larisa")
    await first.start()
    await second.start()
    first.learn([second.member])

    @second.handler("echo")
    async def echo(vm, body):
        return body

    body = {"statement": {"sql": "SELECT name FROM fruit WHERE id = ?", "params": [17]}, "timeout_s": 2.0}
    await first.request("vm2", "echo", body, timeout_s=2)
    processor = time.process_time()

    async def work():
        for _ in range(count // concurrent):
            await first.request("vm2", "echo", body, timeout_s=2)

    await asyncio.gather(*(work() for _ in range(concurrent)))
    processor = time.process_time() - processor
    await first.stop()
    await second.stop()
    return processor / count * 1e6


def main(seconds: float = 5.0, requests: int = 20000) -> None:
    """Print the cost of requests and of heartbeats in views of several sizes."""
    logs.configure(level="ERROR")
    for concurrent in (1, 16):
        cost = asyncio.run(_measure_requests(requests, concurrent))
        print(f"request and reply, {concurrent} at once: {cost:.0f} us of processor time, both ends")
    rows = []
    for count in (8, 22, 43, 86):
        share, sent, received = asyncio.run(measure_heartbeats(count, seconds))
        rows.append((count, share, sent + received))
        print(f"view of {count}: {share:.3%} of a core, {sent:.0f} B/s sent, {received:.0f} B/s received")
    (small, share, traffic), (large, large_share, large_traffic) = rows[0], rows[-1]
    steps = large - small
    print(
        f"slope for each member: {(large_share - share) / steps:.4%} of a core, "
        f"{(large_traffic - traffic) / steps:.0f} B/s sent and received"
    )


if __name__ == "__main__":
    typer.run(main)
