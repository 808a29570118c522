"""Measure the added latency of a proxied statement over direct access, and its CPU time on each VM.

Direct and proxied statements are mixed in one random stream of arrivals, so that both run under the same conditions.
The CPU time is read from ``/proc``, minus the idle CPU time measured immediately before the load. Usage:
``python -m tools.statement_cost --kind forwarded --rate 250``.
"""

import asyncio
import dataclasses
import enum
import hashlib
import os
import pathlib
import random
import time
from collections import Counter
from typing import Annotated, Any

import aiohttp
import typer

from currantlead.control import membership, model
from tools import cluster, deployments, load

DATABASE = "cost-1"
KEY = "key-of-the-cost-tool"
DIRECT_CONNECTIONS = 3
DIRECT_RATIO = 0.2
"""Direct statements per proxied statement: enough for percentiles, while most of the load goes through the proxy."""
IDLE_INTERVAL_S = 3.0
WARM_UP_STATEMENTS = 100
MAX_STATEMENTS = 20_000
ROWS = 50
_TICKS = os.sysconf("SC_CLK_TCK")
_READ = "select id, amount from costs where id = ?"
_WRITE = "insert into costs (amount) values (?)"


class Kind(enum.StrEnum):
    """Where a statement runs relative to its entry VM."""

    LOCAL = "local"
    FORWARDED = "forwarded"
    PRIMARY = "primary"
    WRITE = "write"


@dataclasses.dataclass(slots=True)
class Plan:
    """The statements of a run, the entry VM and the instance."""

    kind: Kind
    entry: str
    instance: str

    @classmethod
    def from_cluster(cls, running: cluster.Cluster, kind: Kind) -> "Plan":
        """Select an instance and an entry VM for which statements are of the given kind."""
        domain = list(running.deployment.vms)[0 if kind in (Kind.PRIMARY, Kind.WRITE) else 1]
        instance = f"{DATABASE}-{domain}"
        names = [name for name in running.vm_names() if running.domain_of(name) == domain]
        members = tuple(model.Member(name, domain, 1, "") for name in names)
        holders = membership.RoleAssignment(model.View(domain, 1, members, None, 1)).holders(instance)
        others = [name for name in names if name not in holders]
        return cls(kind, others[0] if kind is Kind.FORWARDED else holders[0], instance)

    def operation(self, number: int) -> load.Operation:
        """Return a statement; reads accept stale data unless they are to run on the primary."""
        if self.kind is Kind.WRITE:
            return load.Operation(DATABASE, _WRITE, [number], write=True)
        age = None if self.kind is Kind.PRIMARY else 60_000
        return load.Operation(DATABASE, _READ, [1 + number % ROWS], max_age_ms=age)


class DirectClient:
    """Client that sends statements directly to an instance."""

    def __init__(self, url: str):
        self._url = url
        self._idle: asyncio.Queue[tuple[aiohttp.ClientSession, str]] = asyncio.Queue()

    async def open(self) -> None:
        """Open the database connections."""
        for _ in range(DIRECT_CONNECTIONS):
            session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=600))
            async with session.post(f"{self._url}/connect", json={}) as answer:
                self._idle.put_nowait((session, (await answer.json())["connection"]))

    async def close(self) -> None:
        """Close the database connections."""
        while not self._idle.empty():
            await self._idle.get_nowait()[0].close()

    async def send(self, operation: load.Operation) -> tuple[str, float]:
        """Run one statement and return its result and its latency in seconds."""
        started = time.monotonic()
        session, number = await self._idle.get()
        body: dict[str, Any] = {"connection": number, "term": 1, "sql": operation.sql, "params": operation.params}
        body |= {"access": "write" if operation.write else "read", "organisation": "cost"}
        try:
            async with session.post(f"{self._url}/execute", json=body) as answer:
                await answer.read()
        finally:
            self._idle.put_nowait((session, number))
        result = load.COMPLETED if answer.status == 200 else f"status {answer.status}"
        return result, time.monotonic() - started


def create_deployment(slots: int) -> deployments.Deployment:
    """Return a deployment with one database and three failure domains of 3, 3 and 2 VMs."""
    return deployments.Deployment(
        name="cost",
        vms={"a": 3, "b": 3, "c": 2},
        databases=(DATABASE,),
        slots=slots,
        connections=24,
        connect_time_s=0.01,
    )


def configure(running: cluster.Cluster, slots: int) -> None:
    """Configure one organisation whose rate limit exceeds the load."""
    commands = [f"add domain {domain} region here" for domain in running.deployment.vms]
    commands.append(f"add service costs slots {slots} connections {running.deployment.connections}")
    commands.append(f"add database {DATABASE} service costs")
    commands.append("add organisation cost rate 20000 burst 20000 services costs")
    running.operate("; ".join(commands))
    running.operate(f"add key cost organisation cost digest {hashlib.sha256(KEY.encode()).hexdigest()}")


def read_cpu_seconds(running: cluster.Cluster) -> dict[str, float]:
    """Return the user and system CPU time of each VM in seconds."""
    used = {}
    for name, vm in running.vms.items():
        fields = pathlib.Path(f"/proc/{vm.popen.pid}/stat").read_text().rpartition(")")[2].split()
        used[name] = (int(fields[11]) + int(fields[12])) / _TICKS
    return used


async def prepare(running: cluster.Cluster, plan: Plan, session: load.Session) -> None:
    """Create the table and send warm-up statements.

    For reads on the primary, the replicas lag behind a write of the session, so that they cannot serve its reads.
    """
    for sql in ("create table costs (id integer primary key, amount real)", *[_WRITE] * ROWS):
        params = [1] if sql == _WRITE else []
        await session.send(load.Operation(DATABASE, sql, params, write=True), attempts=5)
    await asyncio.sleep(1.0)
    if plan.kind is Kind.PRIMARY:
        for endpoint in running.endpoints.values():
            await asyncio.to_thread(cluster.call, f"{endpoint.url}/control", {"lag_s": 3600.0})
        await session.send(load.Operation(DATABASE, _WRITE, [0], write=True), attempts=5)
    for number in range(WARM_UP_STATEMENTS):
        await session.send(plan.operation(number))


async def measure(running: cluster.Cluster, plan: Plan, rate: float, seconds: float, seed: int) -> None:
    """Run the load and print the measured values."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
    direct = DirectClient(running.endpoints[plan.instance].url)
    async with aiohttp.ClientSession(connector=connector) as http:
        session = load.Session(http, lambda: running.vms[plan.entry].url, KEY)
        await prepare(running, plan, session)
        await direct.open()
        idle_start = read_cpu_seconds(running)
        await asyncio.sleep(IDLE_INTERVAL_S)
        idle_end = read_cpu_seconds(running)

        async def send_proxied(number: int) -> tuple[bool, str, float]:
            result = await session.send(plan.operation(number))
            return True, result.verdict + result.reason, result.latency_s

        async def send_direct(number: int) -> tuple[bool, str, float]:
            return False, *(await direct.send(plan.operation(number)))

        rng = random.Random(seed)
        arrivals = load.poisson_arrivals(rate * (1 + DIRECT_RATIO), seconds, seed)[:MAX_STATEMENTS]
        schedule = []
        for number, at in enumerate(arrivals):
            send = send_direct if rng.random() < DIRECT_RATIO / (1 + DIRECT_RATIO) else send_proxied
            schedule.append((at, lambda send=send, number=number: send(number)))
        started = time.monotonic()
        results = await load.run_open_loop(schedule)
        elapsed_s = time.monotonic() - started
        end = read_cpu_seconds(running)
    await direct.close()
    idle = {name: (idle_end[name] - idle_start[name]) / IDLE_INTERVAL_S for name in end}
    used = {name: end[name] - idle_end[name] - idle[name] * elapsed_s for name in end}
    report(plan, results, used, idle, elapsed_s)


def report(
    plan: Plan, results: list[tuple[bool, str, float]], used: dict[str, float], idle: dict[str, float], elapsed_s: float
) -> None:
    """Print the latencies, the CPU time and the load average."""
    proxied = [item for item in results if item[0]]
    print(f"{plan.kind} at {plan.entry}, instance {plan.instance}: {len(proxied)} statements in {elapsed_s:.1f} s")
    medians = {}
    for name, items in (("direct", [item for item in results if not item[0]]), ("proxied", proxied)):
        found = load.quantiles([seconds for _, result, seconds in items if result == load.COMPLETED])
        medians[name] = found[50.0]
        outcomes = dict(Counter(result for _, result, _ in items))
        print(f"  {name}: p50 {found[50.0] * 1e3:.2f} ms, p99 {found[99.0] * 1e3:.2f} ms, {outcomes}")
    print(f"  added latency at p50: {(medians['proxied'] - medians['direct']) * 1e3:.2f} ms")
    count = max(1, len(proxied))
    costs = {name: seconds / count * 1e3 for name, seconds in used.items()}
    listed_costs = ", ".join(f"{name} {cost:.2f}" for name, cost in sorted(costs.items()) if cost > 0.05)
    print(f"  CPU ms per statement: {listed_costs}; all VMs {sum(costs.values()):.2f}")
    print(f"  idle CPU usage, mean of VMs: {sum(idle.values()) / len(idle) * 100:.1f}% of a core")
    print(f"  load average {' '.join(f'{value:.1f}' for value in os.getloadavg())}", flush=True)


def main(
    kind: Annotated[list[Kind] | None, typer.Option(help="Kind of statement; may be given more than once.")] = None,
    rate: Annotated[float, typer.Option(min=1, max=1000, help="Proxied statements per second.")] = 250.0,
    seconds: Annotated[float, typer.Option(min=1, max=60, help="Duration of the load in seconds.")] = 8.0,
    slots: Annotated[int, typer.Option(min=1, max=50, help="Concurrent statements per instance.")] = 5,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals and of the choice between direct and proxied.")] = 1,
    log_level: Annotated[str, typer.Option(help="Log level of the VMs.")] = "INFO",
    logs: Annotated[pathlib.Path | None, typer.Option(help="Directory for the log files of the processes.")] = None,
) -> None:
    """Measure each kind of statement on a newly started deployment."""
    for statement_kind in kind or list(Kind):
        flags = ("--log-level", log_level)
        with cluster.Cluster(create_deployment(slots), logs=logs, vm_flags=flags) as running:
            configure(running, slots)
            asyncio.run(measure(running, Plan.from_cluster(running, statement_kind), rate, seconds, seed))


if __name__ == "__main__":
    typer.run(main)
