"""Run a deployment under load, kill a VM and a primary, and verify the stored rows against the reported results."""

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
PROBE_INTERVAL_S = 0.05
MAX_ATTEMPTS = 6
_console = rich.console.Console(stderr=True)


@dataclasses.dataclass(slots=True)
class Result:
    """Summary of a run, printed as the last line of the demo."""

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

    def is_consistent(self) -> bool:
        """Return whether the stored rows agree with the reported results."""
        return not (self.lost or self.doubled or self.stale_reads or self.false_not_run)


class Demo:
    """One run of the load and the failures on a deployment."""

    def __init__(self, running: cluster.Cluster, *, seconds: float, rate: float, seed: int):
        """Create a run.

        Args:
            running: The running cluster.
            seconds: Duration of the load in seconds.
            rate: Statements per second of all sessions together.
            seed: Seed of the arrival times and the statements.
        """
        self._cluster = running
        self._seconds = seconds
        self._rate = rate
        self._random = random.Random(seed)
        self._seed = seed
        self._databases = running.deployment.databases
        self._workload = workload.Workload(running.deployment.name, self._databases, seed=seed)
        self._failover_gap_s = 0.0
        self._keys: dict[str, str] = {}

    def configure(self) -> None:
        """Apply the example configuration with the command language and add an API key for each organisation."""
        path = workload.EXAMPLES / f"{self._cluster.deployment.name}.commands"
        self._cluster.operate("-f", str(path))
        table = json.loads(self._cluster.operate("--json", "show organisations"))
        names = [row[0] for row in table["rows"]]
        self._keys = {name: f"key-of-{name}-{self._seed}" for name in names}
        commands = [
            f"add key demo organisation {name} digest {hashlib.sha256(key.encode()).hexdigest()}"
            for name, key in self._keys.items()
        ]
        self._cluster.operate("; ".join(commands))

    async def run(self) -> Result:
        """Send the load, inject the failures and verify the stored rows."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as http:
            await self._create_tables(http)
            results = await self._run_load(http)
            violations = workload.find_violations(results, await self._read_row_ids(http))
        verdicts = Counter(result.verdict for result in results)
        return Result(
            sent=len(results),
            completed=verdicts[load.COMPLETED],
            not_run=verdicts[load.NOT_RUN],
            may_have_run=verdicts[load.MAY_HAVE_RUN],
            lost=violations.lost,
            doubled=violations.doubled,
            stale_reads=violations.stale_reads,
            false_not_run=violations.false_not_run,
            replica_read_share=round(self._replica_read_share(), 3),
            failover_gap_s=round(self._failover_gap_s, 2),
        )

    def _create_session(self, http: aiohttp.ClientSession, organisation: str) -> load.Session:
        assert self._cluster.balancer is not None
        url = self._cluster.balancer.url
        return load.Session(http, lambda: url, self._keys[organisation])

    def _largest_organisation(self) -> str:
        """Return the organisation with the highest rate limit, so that the demo's own statements are not refused."""
        table = json.loads(self._cluster.operate("--json", "show organisations"))
        rate_column = table["columns"].index("rate")
        return max(table["rows"], key=lambda row: float(row[rate_column]))[0]

    async def _create_tables(self, http: aiohttp.ClientSession) -> None:
        session = self._create_session(http, self._largest_organisation())
        for database in self._databases:
            for sql in self._workload.schema:
                result = await session.send(load.Operation(database, sql, [], write=True), attempts=20)
                if result.verdict != load.COMPLETED:
                    raise cluster.ClusterError(f"cannot run {sql!r} on {database}: {result.verdict} {result.reason}")

    async def _run_load(self, http: aiohttp.ClientSession) -> list[load.Result]:
        sessions = self._create_sessions(http)
        arrivals = load.poisson_arrivals(self._rate, self._seconds, self._seed)
        schedule = []
        for number, at in enumerate(arrivals):
            name = self._random.choices(list(sessions), [weight for _, weight in sessions.values()])[0]
            operation = self._workload.next_operation(name)
            schedule.append(
                (at, lambda s=sessions[name][0], o=operation, n=number: s.send(o, attempts=MAX_ATTEMPTS, seed=n))
            )
        failures = asyncio.ensure_future(self._inject_failures(http))
        columns = (*rich.progress.Progress.get_default_columns(), rich.progress.MofNCompleteColumn())
        with rich.progress.Progress(*columns, console=_console) as progress:
            task = progress.add_task("statements", total=len(schedule))
            results = await load.run_open_loop(schedule, on_done=lambda _: progress.advance(task))
        await failures
        return results

    def _create_sessions(self, http: aiohttp.ClientSession) -> dict[str, tuple[load.Session, float]]:
        """Create the sessions of all organisations, weighted by rate so that no organisation exceeds its limit."""
        table = json.loads(self._cluster.operate("--json", "show organisations"))
        rate_column = table["columns"].index("rate")
        rates = {row[0]: float(row[rate_column]) for row in table["rows"]}
        sessions = {}
        for number in range(SESSIONS):
            organisation = list(rates)[number % len(rates)]
            weight = rates[organisation] * len(rates) / SESSIONS / sum(rates.values())
            sessions[f"{organisation}-{number}"] = (self._create_session(http, organisation), weight)
        return sessions

    async def _inject_failures(self, http: aiohttp.ClientSession) -> None:
        await asyncio.sleep(self._seconds / 3)
        vm = self._cluster.vm_names()[1]
        _console.print(f"[bold]killing VM {vm}[/bold]")
        self._cluster.vms[vm].kill()
        await asyncio.sleep(self._seconds / 3)
        database = self._databases[0]
        primary = self._cluster.primary(database)
        _console.print(f"[bold]killing primary {primary}[/bold]")
        self._cluster.endpoints[primary].kill()
        await self._measure_failover_gap(http, database, time.monotonic())

    async def _measure_failover_gap(self, http: aiohttp.ClientSession, database: str, killed_at: float) -> None:
        """Measure the time from the kill to the first completed write that was sent after it."""
        session = self._create_session(http, self._largest_organisation())
        operation = load.Operation(database, "create table if not exists probe (x integer)", [], write=True)
        while time.monotonic() - killed_at < 20.0:
            result = await session.send(operation)
            if result.verdict == load.COMPLETED:
                break
            await asyncio.sleep(PROBE_INTERVAL_S)
        self._failover_gap_s = time.monotonic() - killed_at
        _console.print(f"first write completed {self._failover_gap_s:.2f} s after the kill")

    async def _read_row_ids(self, http: aiohttp.ClientSession) -> dict[tuple[str, str], list[str]]:
        """Read the IDs of all stored rows from the primaries."""
        session = self._create_session(http, self._largest_organisation())
        row_ids = {}
        for database in self._databases:
            for ledger in self._workload.ledgers:
                operation = load.Operation(database, f"select id from {ledger}", [], write=True)
                result = await session.send(operation, attempts=20)
                if result.verdict != load.COMPLETED:
                    raise cluster.ClusterError(
                        f"cannot read table {ledger} of {database}: {result.verdict} {result.reason}"
                    )
                row_ids[(database, ledger)] = [row[0] for row in result.rows]
        return row_ids

    def _replica_read_share(self) -> float:
        reads: Counter[str] = Counter()
        for vm in self._cluster.vms.values():
            if vm.popen.poll() is None:
                for line in cluster.call(f"{vm.url}/metrics").splitlines():
                    if line.startswith("currantlead_reads_total{"):
                        reads["replica" if 'role="replica"' in line else "primary"] += float(line.split()[-1])
        return reads["replica"] / max(1.0, sum(reads.values()))


def main() -> int:
    """Run the demo and print the summary as JSON on the last line of standard output."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(deployments.DEPLOYMENTS), default="thessaly")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--rate", type=float, default=RATE)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path, default=None, help="directory for the log files of the processes")
    arguments = parser.parse_args()
    deployment = deployments.DEPLOYMENTS[arguments.deployment]
    _console.print(
        f"starting {len(deployment.databases) * len(deployment.vms)} endpoints, 8 VMs, platform, load balancer"
    )
    with cluster.Cluster(deployment, logs=arguments.logs) as running:
        running.start_balancer()
        demo = Demo(running, seconds=arguments.seconds, rate=arguments.rate, seed=arguments.seed)
        demo.configure()
        result = asyncio.run(demo.run())
    print(json.dumps(dataclasses.asdict(result)))
    return 0 if result.is_consistent() else 1


if __name__ == "__main__":
    sys.exit(main())
