"""Running deployment with API keys, tables and client sessions, shared by the experiments."""

import asyncio
import collections
import contextlib
import hashlib
import json
import random
import sys
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping, Sequence
from typing import Any

import aiohttp

from tools import cluster, load, workload
from tools.experiments import figures

HEALTH_CHECK_INTERVAL_S = 0.5
"""Interval of the platform balancer's health checks."""
WARM_UP_S = 5.0
"""Rate owners start with empty token buckets; each small bucket is full again within this time."""


class VmSelector:
    """Selects VMs as a load balancer does: weighted random among those whose last health check passed."""

    def __init__(self, running_cluster: cluster.Cluster, weights: Mapping[str, float], seed: int):
        """Create a selector that considers every VM healthy.

        Args:
            running_cluster: Running deployment.
            weights: Share of callers by VM.
            seed: Seed of the random generator.
        """
        self._cluster = running_cluster
        self.weights = dict(weights)
        self._random = random.Random(seed)
        self.unhealthy: set[str] = set()

    def pick_vm(self) -> str:
        """Return the name of a randomly selected healthy VM, or of any VM if none is healthy."""
        names = [name for name in self.weights if name not in self.unhealthy] or list(self.weights)
        return self._random.choices(names, [self.weights[name] for name in names])[0]

    def url(self) -> str:
        """Return the base URL of a VM selected by ``pick_vm``."""
        return self._cluster.vms[self.pick_vm()].url

    def url_for(self, vm: str) -> str:
        """Return the base URL of a VM, or of a healthy one while it is unhealthy."""
        return self.url() if vm in self.unhealthy else self._cluster.vms[vm].url

    async def monitor_health(self, http: aiohttp.ClientSession) -> None:
        """Check the health of all VMs periodically until cancelled."""
        while True:
            await asyncio.gather(*(self._check_vm(http, name) for name in self.weights))
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _check_vm(self, http: aiohttp.ClientSession, name: str) -> None:
        url = f"{self._cluster.vms[name].url}/health"
        try:
            async with http.get(url, timeout=aiohttp.ClientTimeout(total=HEALTH_CHECK_INTERVAL_S)) as response:
                healthy = response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            healthy = False
        (self.unhealthy.discard if healthy else self.unhealthy.add)(name)


class Testbed:
    """Configures a running deployment and opens client sessions to it.

    Attributes:
        cluster: Running deployment.
        options: Options of the experiment.
        databases: Names of the databases.
        workload: Generator of statements.
        limits: Rate and burst by organisation.
        largest: Organisation with the highest rate.
    """

    def __init__(self, running_cluster: cluster.Cluster, options: figures.Options):
        """Apply the deployment's example configuration and add a key for each organisation.

        Args:
            running_cluster: Running deployment.
            options: Options of the experiment.
        """
        self.cluster = running_cluster
        self.options = options
        self.databases = running_cluster.deployment.databases
        self.workload = workload.Workload(running_cluster.deployment.name, self.databases, seed=options.seed)
        running_cluster.operate("-f", str(workload.EXAMPLES / f"{running_cluster.deployment.name}.commands"))
        listing = json.loads(running_cluster.operate("--json", "show organisations"))
        columns = {name: index for index, name in enumerate(listing["columns"])}
        self.limits: dict[str, tuple[float, float]] = {
            row[0]: (float(row[columns["rate"]]), float(row[columns["burst"]])) for row in listing["rows"]
        }
        self._keys = {name: f"key-of-{name}-{options.seed}" for name in self.limits}
        digests = {name: hashlib.sha256(key.encode()).hexdigest() for name, key in self._keys.items()}
        running_cluster.operate(
            "; ".join(f"add key bench organisation {name} digest {d}" for name, d in digests.items())
        )
        self.largest = max(self.limits, key=lambda name: self.limits[name][0])

    def key(self, organisation: str) -> str:
        """Return the API key of an organisation."""
        return self._keys[organisation]

    def selector(self, weights: Mapping[str, float] | None = None) -> VmSelector:
        """Return a VM selector; the weights are equal by default."""
        return VmSelector(self.cluster, weights or dict.fromkeys(self.cluster.vms, 1.0), self.options.seed)

    @contextlib.asynccontextmanager
    async def http_client(self, selector: VmSelector) -> AsyncIterator[aiohttp.ClientSession]:
        """Open an HTTP client, start the health checks and create the tables."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        async with aiohttp.ClientSession(connector=connector) as http:
            health_monitor = asyncio.ensure_future(selector.monitor_health(http))
            try:
                await self._create_tables(http, selector)
                await asyncio.sleep(WARM_UP_S)
                yield http
            finally:
                health_monitor.cancel()
                await asyncio.gather(health_monitor, return_exceptions=True)

    async def _create_tables(self, http: aiohttp.ClientSession, selector: VmSelector) -> None:
        session = load.Session(http, selector.url, self.key(self.largest))
        for database in self.databases:
            for sql in self.workload.schema:
                outcome = await session.send(load.Operation(database, sql, [], write=True), attempts=20)
                if outcome.verdict != load.COMPLETED:
                    raise cluster.ClusterError(f"cannot create table with {sql!r}: {outcome.verdict} {outcome.reason}")

    def sessions(
        self, http: aiohttp.ClientSession, choose_url: Callable[[], str], organisations: Sequence[str], count: int
    ) -> dict[str, load.Session]:
        """Return sessions by name that may use any VM, assigned to organisations in turn.

        The name of a session determines its database.
        """
        names = [f"{organisations[number % len(organisations)]}-{number}" for number in range(count)]
        return {name: load.Session(http, choose_url, self.key(name.rpartition("-")[0])) for name in names}


def run(options: figures.Options, experiment: Callable[[Testbed], Coroutine[Any, Any, Any]], **flags: Any) -> Any:
    """Start the deployment, run an experiment on it and stop all its processes.

    Args:
        options: Options of the experiment.
        experiment: Coroutine function that takes the test bed.
        flags: Keyword arguments of ``cluster.Cluster``.

    Returns:
        Result of the coroutine.
    """
    with cluster.Cluster(options.deployment, **flags) as running_cluster:
        return asyncio.run(experiment(Testbed(running_cluster, options)))


async def send_with_connect_retry(
    session: load.Session, operation: load.Operation, *, max_attempts: int = 3
) -> load.Result:
    """Send an operation, retrying only if the connection was not accepted, as a load balancer does.

    Args:
        session: Session that sends the operation.
        operation: Operation to send.
        max_attempts: Maximum number of attempts.

    Returns:
        Outcome of the last attempt, with the latency of all attempts.
    """
    outcome = await session.send(operation)
    for _ in range(max_attempts - 1):
        if outcome.reason != "no_connection":
            break
        latency_s = outcome.latency_s
        outcome = await session.send(operation)
        outcome.latency_s += latency_s
    return outcome


def fraction(items: Sequence[Any], predicate: Callable[[Any], bool]) -> float | None:
    """Return the fraction of items that satisfy a predicate, or None if there are no items."""
    return sum(map(predicate, items)) / len(items) if items else None


def is_completed(outcome: load.Result) -> bool:
    """Return whether a statement completed."""
    return outcome.verdict == load.COMPLETED


def latency_percentile(outcomes: Sequence[load.Result], percent: float) -> float:
    """Return a latency percentile of the completed statements in seconds."""
    return load.quantiles([item.latency_s for item in outcomes if is_completed(item)], (percent,))[percent]


def print_failures(name: str, outcomes: Sequence[load.Result]) -> None:
    """Print the verdicts and reasons of statements that did not complete to standard error."""
    failed = collections.Counter(f"{item.verdict} {item.reason}" for item in outcomes if not is_completed(item))
    print(f"{name}: {len(outcomes)} sent, failures by verdict and reason: {dict(failed)}", file=sys.stderr, flush=True)
