"""Measure what a statement costs: latency beside direct access, and processor time at each VM.

Direct and proxied statements are mixed in one seeded stream of arrivals, so that both meet the same machine. Processor
time comes from ``/proc`` and is net of what the idle VMs used just before. Usage:
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
DIRECT_SHARE = 0.2
"""Direct statements for each proxied one: enough for quantiles, while most of the load comes through the proxy."""
IDLE_S = 3.0
WARM_UP = 100
MOST_STATEMENTS = 20_000
ROWS = 50
_TICKS = os.sysconf("SC_CLK_TCK")
_READ = "select id, amount from costs where id = ?"
_WRITE = "insert into costs (amount) values (?)"


class Kind(enum.StrEnum):
    """Name where a statement runs, seen from its entry VM."""

    LOCAL = "local"
    FORWARDED = "forwarded"
    PRIMARY = "primary"
    WRITE = "write"


@dataclasses.dataclass(slots=True)
class Plan:
    """Hold what a run sends, and where."""

    kind: Kind
    entry: str
    instance: str

    @classmethod
    def from_cluster(cls, running: cluster.Cluster, kind: Kind) -> "Plan":
        """Choose the instance and the entry VM that make a statement of this kind."""
        domain = list(running.deployment.vms)[0 if kind in (Kind.PRIMARY, Kind.WRITE) else 1]
        instance = f"{DATABASE}-{domain}"
        names = [name for name in running.vm_names() if running.domain_of(name) == domain]
        members = tuple(model.Member(name, domain, 1, "") for name in names)
        holders = membership.RoleAssignment(model.View(domain, 1, members, None, 1)).holders(instance)
        others = [name for name in names if name not in holders]
        return cls(kind, others[0] if kind is Kind.FORWARDED else holders[0], instance)

    def operation(self, number: int) -> load.Operation:
        """Return a statement; reads of replicas state an age, reads of the primary follow a write."""
        if self.kind is Kind.WRITE:
            return load.Operation(DATABASE, _WRITE, [number], write=True)
        age = None if self.kind is Kind.PRIMARY else 60_000
        return load.Operation(DATABASE, _READ, [1 + number % ROWS], max_age_ms=age)


class Direct:
    """Send statements straight to an instance."""

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
        """Run one statement; return its result and seconds."""
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
    """Return one database in three domains of 3, 3 and 2 VMs."""
    return deployments.Deployment(
        name="cost",
        vms={"a": 3, "b": 3, "c": 2},
        databases=(DATABASE,),
        slots=slots,
        connections=24,
        connect_time_s=0.01,
    )


def configure(running: cluster.Cluster, slots: int) -> None:
    """Give one organisation a rate that does not limit the run."""
    commands = [f"add domain {domain} region here" for domain in running.deployment.vms]
    commands.append(f"add service costs slots {slots} connections {running.deployment.connections}")
    commands.append(f"add database {DATABASE} service costs")
    commands.append("add organisation cost rate 20000 burst 20000 services costs")
    running.operate("; ".join(commands))
    running.operate(f"add key cost organisation cost digest {hashlib.sha256(KEY.encode()).hexdigest()}")


def read_processor_s(running: cluster.Cluster) -> dict[str, float]:
    """Return the processor seconds of each VM, the system's part included."""
    used = {}
    for name, vm in running.vms.items():
        fields = pathlib.Path(f"/proc/{vm.popen.pid}/stat").read_text().rpartition(")")[2].split()
        used[name] = (int(fields[11]) + int(fields[12])) / _TICKS
    return used


async def prepare(running: cluster.Cluster, plan: Plan, session: load.Session) -> None:
    """Create the table, let the session see a write where needed, and warm the path up."""
    for sql in ("create table costs (id integer primary key, amount real)", *[_WRITE] * ROWS):
        params = [1] if sql == _WRITE else []
        await session.send(load.Operation(DATABASE, sql, params, write=True), attempts=5)
    await asyncio.sleep(1.0)
    if plan.kind is Kind.PRIMARY:
        for endpoint in running.endpoints.values():
            await asyncio.to_thread(cluster.call, f"{endpoint.url}/control", {"lag_s": 3600.0})
        await session.send(load.Operation(DATABASE, _WRITE, [0], write=True), attempts=5)
    for number in range(WARM_UP):
        await session.send(plan.operation(number))


async def measure(running: cluster.Cluster, plan: Plan, rate: float, seconds: float, seed: int) -> None:
    """Run the stream and print the figures."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
    direct = Direct(running.endpoints[plan.instance].url)
    async with aiohttp.ClientSession(connector=connector) as http:
        session = load.Session(http, lambda: running.vms[plan.entry].url, KEY)
        await prepare(running, plan, session)
        await direct.open()
        idle_from = read_processor_s(running)
        await asyncio.sleep(IDLE_S)
        idle_to = read_processor_s(running)

        async def proxied(number: int) -> tuple[bool, str, float]:
            told = await session.send(plan.operation(number))
            return True, told.verdict + told.reason, told.latency_s

        async def straight(number: int) -> tuple[bool, str, float]:
            return False, *(await direct.send(plan.operation(number)))

        choices = random.Random(seed)
        arrivals = load.poisson_arrivals(rate * (1 + DIRECT_SHARE), seconds, seed)[:MOST_STATEMENTS]
        sends = []
        for number, at in enumerate(arrivals):
            send = straight if choices.random() < DIRECT_SHARE / (1 + DIRECT_SHARE) else proxied
            sends.append((at, lambda send=send, number=number: send(number)))
        started = time.monotonic()
        done = await load.run_open_loop(sends)
        lasted_s = time.monotonic() - started
        end = read_processor_s(running)
    await direct.close()
    idle = {name: (idle_to[name] - idle_from[name]) / IDLE_S for name in end}
    used = {name: end[name] - idle_to[name] - idle[name] * lasted_s for name in end}
    report(plan, done, used, idle, lasted_s)


def report(
    plan: Plan, done: list[tuple[bool, str, float]], used: dict[str, float], idle: dict[str, float], lasted_s: float
) -> None:
    """Print latencies, processor time and load average."""
    through = [item for item in done if item[0]]
    print(f"{plan.kind} at {plan.entry}, instance {plan.instance}: {len(through)} in {lasted_s:.1f} s")
    medians = {}
    for name, items in (("direct", [item for item in done if not item[0]]), ("proxied", through)):
        found = load.quantiles([seconds for _, result, seconds in items if result == load.COMPLETED])
        medians[name] = found[50.0]
        outcomes = dict(Counter(result for _, result, _ in items))
        print(f"  {name}: p50 {found[50.0] * 1e3:.2f} ms, p99 {found[99.0] * 1e3:.2f} ms, {outcomes}")
    print(f"  added at p50: {(medians['proxied'] - medians['direct']) * 1e3:.2f} ms")
    count = max(1, len(through))
    costs = {name: seconds / count * 1e3 for name, seconds in used.items()}
    named = ", ".join(f"{name} {cost:.2f}" for name, cost in sorted(costs.items()) if cost > 0.05)
    print(f"  processor ms a statement: {named}; all VMs {sum(costs.values()):.2f}")
    print(f"  idle, mean of VMs: {sum(idle.values()) / len(idle) * 100:.1f}% of a core")
    print(f"  load average {' '.join(f'{value:.1f}' for value in os.getloadavg())}", flush=True)


def main(
    kind: Annotated[list[Kind] | None, typer.Option(help="Kind of statement; may be repeated.")] = None,
    rate: Annotated[float, typer.Option(min=1, max=1000, help="Proxied statements per second.")] = 250.0,
    seconds: Annotated[float, typer.Option(min=1, max=60, help="Length of the load.")] = 8.0,
    slots: Annotated[int, typer.Option(min=1, max=50, help="Slots of an instance.")] = 5,
    seed: Annotated[int, typer.Option(help="Seed of arrivals and choices.")] = 1,
    log_level: Annotated[str, typer.Option(help="Log level of the VMs.")] = "INFO",
    logs: Annotated[pathlib.Path | None, typer.Option(help="Folder for the processes' logs.")] = None,
) -> None:
    """Run each kind on a deployment of its own."""
    for each in kind or list(Kind):
        flags = ("--log-level", log_level)
        with cluster.Cluster(create_deployment(slots), logs=logs, vm_flags=flags) as running:
            configure(running, slots)
            asyncio.run(measure(running, Plan.from_cluster(running, each), rate, seconds, seed))


if __name__ == "__main__":
    typer.run(main)
