"""Run a deployment under load, kill a VM and a primary, and compare the ledgers with what callers were told."""

import argparse
import asyncio
import dataclasses
import hashlib
import json
import pathlib
import random
import sys
import time
from collections import Counter

import aiohttp
import rich.console
import rich.progress

from tools import cluster, deployments, load, workload

SESSIONS = 40
RATE = 100.0
SECONDS = 30.0
PROBE_S = 0.05
ATTEMPTS = 6
_console = rich.console.Console(stderr=True)


@dataclasses.dataclass(slots=True)
class Result:
    """Hold the last line of the demo."""

    sent: int
    completed: int
    not_run: int
    may_have_run: int
    lost: int
    doubled: int
    stale_reads: int
    false_not_run: int
    replica_read_share: float
    failover_gap_s: float

    def holds(self) -> bool:
        """Tell whether the ledgers agree with what callers were told."""
        return not (self.lost or self.doubled or self.stale_reads or self.false_not_run)


class Demo:
    """Drive one deployment."""

    def __init__(self, running: cluster.Cluster, *, seconds: float, rate: float, seed: int):
        """Prepare a run.

        Args:
            running: The started deployment.
            seconds: Length of the load.
            rate: Statements per second over all sessions.
            seed: Seed of arrivals and statements.
        """
        self._cluster = running
        self._seconds = seconds
        self._rate = rate
        self._random = random.Random(seed)
        self._seed = seed
        self._databases = running.deployment.databases
        self._work = workload.Workload(running.deployment.name, self._databases, seed=seed)
        self._gap_s = 0.0
        self._keys: dict[str, str] = {}

    def configure(self) -> None:
        """Load the example through the command language and give each organisation a key."""
        path = workload.EXAMPLES / f"{self._cluster.deployment.name}.commands"
        self._cluster.operate("-f", str(path))
        listed = json.loads(self._cluster.operate("--json", "show organisations"))
        names = [row[0] for row in listed["rows"]]
        self._keys = {name: f"key-of-{name}-{self._seed}" for name in names}
        commands = [
            f"add key demo organisation {name} digest {hashlib.sha256(key.encode()).hexdigest()}"
            for name, key in self._keys.items()
        ]
        self._cluster.operate("; ".join(commands))

    async def run(self) -> Result:
        """Send the load, cause the failures and compare."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as http:
            await self._create_tables(http)
            told = await self._send_load(http)
            ledger = workload.compare(told, await self._read_marks(http))
        verdicts = Counter(item.verdict for item in told)
        return Result(
            sent=len(told),
            completed=verdicts[load.COMPLETED],
            not_run=verdicts[load.NOT_RUN],
            may_have_run=verdicts[load.MAY_HAVE_RUN],
            lost=ledger.lost,
            doubled=ledger.doubled,
            stale_reads=ledger.stale_reads,
            false_not_run=ledger.false_not_run,
            replica_read_share=round(self._replica_read_share(), 3),
            failover_gap_s=round(self._gap_s, 2),
        )

    def _session(self, http: aiohttp.ClientSession, organisation: str) -> load.Session:
        assert self._cluster.balancer is not None
        url = self._cluster.balancer.url
        return load.Session(http, lambda: url, self._keys[organisation])

    def _largest(self) -> str:
        """Return an organisation whose rate does not limit the demo's own questions."""
        listed = json.loads(self._cluster.operate("--json", "show organisations"))
        place = listed["columns"].index("rate")
        return max(listed["rows"], key=lambda row: float(row[place]))[0]

    async def _create_tables(self, http: aiohttp.ClientSession) -> None:
        session = self._session(http, self._largest())
        for database in self._databases:
            for sql in self._work.schema:
                told = await session.send(load.Operation(database, sql, [], write=True), attempts=20)
                if told.verdict != load.COMPLETED:
                    raise cluster.ClusterError(f"{sql}: {told.verdict} {told.reason}")

    async def _send_load(self, http: aiohttp.ClientSession) -> list[load.Told]:
        sessions = self._make_sessions(http)
        arrivals = load.poisson_arrivals(self._rate, self._seconds, self._seed)
        sends = []
        for number, at in enumerate(arrivals):
            name = self._random.choices(list(sessions), [weight for _, weight in sessions.values()])[0]
            operation = self._work.draw(name)
            sends.append((at, lambda s=sessions[name][0], o=operation, n=number: s.send(o, attempts=ATTEMPTS, seed=n)))
        faults = asyncio.ensure_future(self._cause_failures(http))
        columns = (*rich.progress.Progress.get_default_columns(), rich.progress.MofNCompleteColumn())
        with rich.progress.Progress(*columns, console=_console) as progress:
            bar = progress.add_task("statements", total=len(sends))
            told = await load.run_open_loop(sends, on_done=lambda _: progress.advance(bar))
        await faults
        return told

    def _make_sessions(self, http: aiohttp.ClientSession) -> dict[str, tuple[load.Session, float]]:
        """Spread sessions over organisations; small organisations send less, inside their rate."""
        listed = json.loads(self._cluster.operate("--json", "show organisations"))
        place = listed["columns"].index("rate")
        rates = {row[0]: float(row[place]) for row in listed["rows"]}
        sessions = {}
        for number in range(SESSIONS):
            organisation = list(rates)[number % len(rates)]
            share = rates[organisation] * len(rates) / SESSIONS / sum(rates.values())
            sessions[f"{organisation}-{number}"] = (self._session(http, organisation), share)
        return sessions

    async def _cause_failures(self, http: aiohttp.ClientSession) -> None:
        await asyncio.sleep(self._seconds / 3)
        victim = self._cluster.vm_names()[1]
        _console.print(f"[bold]kills VM {victim}[/bold]")
        self._cluster.vms[victim].kill()
        await asyncio.sleep(self._seconds / 3)
        database = self._databases[0]
        primary = self._cluster.primary(database)
        _console.print(f"[bold]kills primary {primary}[/bold]")
        self._cluster.endpoints[primary].kill()
        await self._measure_gap(http, database, time.monotonic())

    async def _measure_gap(self, http: aiohttp.ClientSession, database: str, killed_at: float) -> None:
        """Measure from the kill to the first write that is sent after it and completed."""
        session = self._session(http, self._largest())
        operation = load.Operation(database, "create table if not exists probe (x integer)", [], write=True)
        while time.monotonic() - killed_at < 20.0:
            told = await session.send(operation)
            if told.verdict == load.COMPLETED:
                break
            await asyncio.sleep(PROBE_S)
        self._gap_s = time.monotonic() - killed_at
        _console.print(f"first completed write after {self._gap_s:.2f} s")

    async def _read_marks(self, http: aiohttp.ClientSession) -> dict[tuple[str, str], list[str]]:
        """Read all marks at the primaries."""
        session = self._session(http, self._largest())
        marks = {}
        for database in self._databases:
            for ledger in self._work.ledgers:
                operation = load.Operation(database, f"select id from {ledger}", [], write=True)
                told = await session.send(operation, attempts=20)
                if told.verdict != load.COMPLETED:
                    raise cluster.ClusterError(f"ledger {ledger} of {database}: {told.verdict} {told.reason}")
                marks[(database, ledger)] = [row[0] for row in told.rows]
        return marks

    def _replica_read_share(self) -> float:
        reads: Counter[str] = Counter()
        for vm in self._cluster.vms.values():
            if vm.popen.poll() is None:
                for line in cluster.call(f"{vm.url}/metrics").splitlines():
                    if line.startswith("currantlead_reads_total{"):
                        reads["replica" if 'role="replica"' in line else "primary"] += float(line.split()[-1])
        return reads["replica"] / max(1.0, sum(reads.values()))


def main() -> int:
    """Run the demo; the last line of standard output is JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(deployments.DEPLOYMENTS), default="thessaly")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--rate", type=float, default=RATE)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path, default=None, help="folder for the processes' logs")
    arguments = parser.parse_args()
    deployment = deployments.DEPLOYMENTS[arguments.deployment]
    _console.print(f"starts {len(deployment.databases) * len(deployment.vms)} endpoints, 8 VMs, platform, balancer")
    with cluster.Cluster(deployment, logs=arguments.logs) as running:
        running.start_balancer()
        demo = Demo(running, seconds=arguments.seconds, rate=arguments.rate, seed=arguments.seed)
        demo.configure()
        result = asyncio.run(demo.run())
    print(json.dumps(dataclasses.asdict(result)))
    return 0 if result.holds() else 1


if __name__ == "__main__":
    sys.exit(main())
