"""Measure the CPU time and traffic of heartbeats and peer requests on one VM.

The measured VM runs in this process and its peers in another, connected over the loopback interface. The peers exchange
heartbeats only with the measured VM, which costs that VM as much as a full view but needs fewer sockets. The results
are the user and system CPU time of this process and the bytes of its frames. Usage:
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


class _FixedPlatform:
    """Simulated platform that holds one fixed view."""

    def __init__(self, view):
        self._view = view

    async def read(self, kind, name):
        return _StoredObject(views.encode(self._view), self._view.version)


class _StoredObject:
    def __init__(self, value, version):
        self.value = value
        self.version = version


class _EmptyDirectory:
    """Simulated directory without views."""

    views: dict[str, model.View] = {}

    def subscribe(self, callback):
        """Accept the callback and never call it."""


def _make_service(
    peers: network.Network,
    cache: directory.Directory,
    view: model.View,
    clock: timers.TimerService,
    interval_s: float = members.HEARTBEAT_INTERVAL_S,
) -> members.MembershipService:
    """Create a membership service whose heartbeats carry the same values as those of the daemon."""
    platform = _FixedPlatform(view)
    vm = members.MembershipService(peers, platform, _EmptyDirectory(), clock, heartbeat_s=interval_s)
    relay_state = relay.Relay(platform, cache, peers, clock, placement.rank)
    vm.add_heartbeat_value("state", relay_state.state_summary)
    vm.add_heartbeat_value("shares", lambda: cache.shares.number)
    vm.add_heartbeat_callback(lambda name, numbers: relay_state.on_peer_summary(name, numbers.get("state", {})))
    return vm


def _make_directory() -> directory.Directory:
    """Return a directory of the target size; it is confirmed so that heartbeats carry its age, as in the daemon."""
    cache = sizes.fill_directory(directory.Directory(time.monotonic), sizes.TARGET)
    cache.confirm(0, time.monotonic())
    return cache


async def _start_networks(names: list[str]) -> list[network.Network]:
    networks = [network.Network(name, "larisa") for name in names]
    for peers in networks:
        await peers.start()
    return networks


def _run_peers(count: int, seconds: float, pipe: connection.Connection) -> None:
    """Run the peers of the measured VM for the given number of seconds."""
    logs.configure(level="ERROR")

    async def run() -> None:
        networks = await _start_networks([f"larisa-vm-{number:03d}" for number in range(1, count)])
        pipe.send([peers.member for peers in networks])
        measured = pipe.recv()
        clock = timers.TimerService()
        clock.start()
        cache = _make_directory()
        for peers in networks:
            view = model.View("larisa", 1, (measured, peers.member), None, 1)
            # A peer's own view has only two members, so it is given the interval that the measured VM's view requires.
            is_large_view = count > members.LARGE_VIEW_VOTERS
            vm = _make_service(
                peers,
                cache,
                view,
                clock,
                members.LARGE_VIEW_HEARTBEAT_INTERVAL_S if is_large_view else members.HEARTBEAT_INTERVAL_S,
            )
            await vm.start()
            vm.adopt(view)
        await asyncio.sleep(seconds)

    asyncio.run(run())


async def measure_heartbeats(count: int, seconds: float) -> tuple[float, float, float]:
    """Return the CPU usage as a share of a core, and the bytes sent and received per second, of one VM."""
    pipe, peer_pipe = multiprocessing.Pipe()
    warm_up_s = 4.0
    arguments = (count, seconds + warm_up_s + 2.0, peer_pipe)
    process = multiprocessing.get_context("spawn").Process(target=_run_peers, args=arguments, daemon=True)
    process.start()
    (peers,) = await _start_networks(["larisa-vm-000"])
    others = await asyncio.to_thread(pipe.recv)
    pipe.send(peers.member)
    clock = timers.TimerService()
    clock.start()
    view = model.View("larisa", 1, (peers.member, *others), None, 1)
    vm = _make_service(peers, _make_directory(), view, clock)
    await vm.start()
    vm.adopt(view)
    await asyncio.sleep(warm_up_s)
    if not vm.roles_active:
        raise RuntimeError(f"the measured VM has no lease or no active roles after {warm_up_s:.0f} s")
    gc.collect()
    bytes_before = peers.bytes_sent, peers.bytes_received
    start, cpu_s = time.perf_counter(), time.process_time()
    await asyncio.sleep(seconds)
    elapsed, cpu_s = time.perf_counter() - start, time.process_time() - cpu_s
    sent, received = peers.bytes_sent - bytes_before[0], peers.bytes_received - bytes_before[1]
    if not vm.lease_valid():
        raise RuntimeError("the lease of the measured VM expired during the measurement")
    await vm.stop(leave=False)
    await peers.stop()
    await clock.stop()
    await asyncio.to_thread(process.join, 10)
    return cpu_s / elapsed, sent / elapsed, received / elapsed


async def _measure_requests(count: int, concurrent: int) -> float:
    """Return the CPU time of one request and its reply in microseconds, client and server together."""
    first, second = network.Network("vm1", "larisa"), network.Network("vm2", "larisa")
    await first.start()
    await second.start()
    first.update_addresses([second.member])

    @second.handler("echo")
    async def echo(vm, body):
        return body

    body = {"statement": {"sql": "SELECT name FROM fruit WHERE id = ?", "params": [17]}, "timeout_s": 2.0}
    await first.request("vm2", "echo", body, timeout_s=2)
    cpu_s = time.process_time()

    async def send_requests():
        for _ in range(count // concurrent):
            await first.request("vm2", "echo", body, timeout_s=2)

    await asyncio.gather(*(send_requests() for _ in range(concurrent)))
    cpu_s = time.process_time() - cpu_s
    await first.stop()
    await second.stop()
    return cpu_s / count * 1e6


def main(seconds: float = 5.0, requests: int = 20000) -> None:
    """Print the cost of requests, and of heartbeats in views of several sizes."""
    logs.configure(level="ERROR")
    for concurrent in (1, 16):
        cost = asyncio.run(_measure_requests(requests, concurrent))
        print(f"request and reply, {concurrent} concurrent: {cost:.0f} us of CPU time, client and server together")
    rows = []
    for count in (8, 22, 43, 86):
        share, sent, received = asyncio.run(measure_heartbeats(count, seconds))
        rows.append((count, share, sent + received))
        print(f"view of {count} members: {share:.3%} of a core, {sent:.0f} B/s sent, {received:.0f} B/s received")
    (small_count, share, traffic), (large_count, large_share, large_traffic) = rows[0], rows[-1]
    added_members = large_count - small_count
    print(
        f"increase per member: {(large_share - share) / added_members:.4%} of a core, "
        f"{(large_traffic - traffic) / added_members:.0f} B/s sent and received"
    )


if __name__ == "__main__":
    typer.run(main)
