"""A started deployment with keys, tables and callers, shared by the experiments."""

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

HEALTH_INTERVAL_S = 0.5
"""The platform's balancer checks health this often."""
WARM_UP_S = 5.0
"""Rate owners start empty; within this time each small bucket has filled again."""


class Chooser:
    """Choose VMs for callers as a balancer does: by weight among those whose last health check passed."""

    def __init__(self, running: cluster.Cluster, weights: Mapping[str, float], seed: int):
        """Create a chooser that takes every VM as healthy.

        Args:
            running: The deployment.
            weights: Share of callers by VM.
            seed: Seed of the draw.
        """
        self._cluster = running
        self.weights = dict(weights)
        self._random = random.Random(seed)
        self.unhealthy: set[str] = set()

    def draw(self) -> str:
        """Return the name of a healthy VM."""
        names = [name for name in self.weights if name not in self.unhealthy] or list(self.weights)
        return self._random.choices(names, [self.weights[name] for name in names])[0]

    def url(self) -> str:
        """Return the base address of a healthy VM."""
        return self._cluster.vms[self.draw()].url

    def url_of(self, vm: str) -> str:
        """Return the base address of a VM, or of another one while it is unhealthy."""
        return self.url() if vm in self.unhealthy else self._cluster.vms[vm].url

    async def watch(self, http: aiohttp.ClientSession) -> None:
        """Check the health of all VMs until cancelled."""
        while True:
            await asyncio.gather(*(self._check(http, name) for name in self.weights))
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _check(self, http: aiohttp.ClientSession, name: str) -> None:
        url = f"{self._cluster.vms[name].url}/health"
        try:
            async with http.get(url, timeout=aiohttp.ClientTimeout(total=HEALTH_INTERVAL_S)) as answer:
                healthy = answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            healthy = False
        (self.unhealthy.discard if healthy else self.unhealthy.add)(name)


class Bed:
    """Drive one started deployment."""

    def __init__(self, running: cluster.Cluster, options: figures.Options):
        """Apply the example's configuration and give each organisation a key.

        Args:
            running: The started deployment.
            options: What the experiment is asked to do.
        """
        self.cluster = running
        self.options = options
        self.databases = running.deployment.databases
        self.work = workload.Workload(running.deployment.name, self.databases, seed=options.seed)
        running.operate("-f", str(workload.EXAMPLES / f"{running.deployment.name}.commands"))
        listed = json.loads(running.operate("--json", "show organisations"))
        columns = {name: place for place, name in enumerate(listed["columns"])}
        self.limits: dict[str, tuple[float, float]] = {
            row[0]: (float(row[columns["rate"]]), float(row[columns["burst"]])) for row in listed["rows"]
        }
        self._keys = {name: f"key-of-{name}-{options.seed}" for name in self.limits}
        digests = {name: hashlib.sha256(key.encode()).hexdigest() for name, key in self._keys.items()}
        running.operate("; ".join(f"add key bench organisation {name} digest {d}" for name, d in digests.items()))
        self.largest = max(self.limits, key=lambda name: self.limits[name][0])

    def key(self, organisation: str) -> str:
        """Return an organisation's key."""
        return self._keys[organisation]

    def chooser(self, weights: Mapping[str, float] | None = None) -> Chooser:
        """Return a chooser over all VMs, with equal weights by default."""
        return Chooser(self.cluster, weights or dict.fromkeys(self.cluster.vms, 1.0), self.options.seed)

    @contextlib.asynccontextmanager
    async def callers(self, chooser: Chooser) -> AsyncIterator[aiohttp.ClientSession]:
        """Open an HTTP client with its health checks and create the tables."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        async with aiohttp.ClientSession(connector=connector) as http:
            checks = asyncio.ensure_future(chooser.watch(http))
            try:
                await self._create_tables(http, chooser)
                await asyncio.sleep(WARM_UP_S)
                yield http
            finally:
                checks.cancel()
                await asyncio.gather(checks, return_exceptions=True)

    async def _create_tables(self, http: aiohttp.ClientSession, chooser: Chooser) -> None:
        session = load.Session(http, chooser.url, self.key(self.largest))
        for database in self.databases:
            for sql in self.work.schema:
                told = await session.send(load.Operation(database, sql, [], write=True), attempts=20)
                if told.verdict != load.COMPLETED:
                    raise cluster.ClusterError(f"{sql}: {told.verdict} {told.reason}")

    def sessions(
        self, http: aiohttp.ClientSession, choose: Callable[[], str], organisations: Sequence[str], count: int
    ) -> dict[str, load.Session]:
        """Return roaming sessions, spread over organisations; their names decide their databases."""
        names = [f"{organisations[number % len(organisations)]}-{number}" for number in range(count)]
        return {name: load.Session(http, choose, self.key(name.rpartition("-")[0])) for name in names}


def run(options: figures.Options, body: Callable[[Bed], Coroutine[Any, Any, Any]], **flags: Any) -> Any:
    """Start the deployment, run a coroutine on it and stop all its processes.

    Args:
        options: What the experiment is asked to do.
        body: Coroutine function that takes the bed.
        flags: Arguments of ``cluster.Cluster``.

    Returns:
        What the coroutine returned.
    """
    with cluster.Cluster(options.deployment, **flags) as running:
        return asyncio.run(body(Bed(running, options)))


async def send_elsewhere(session: load.Session, operation: load.Operation, *, tries: int = 3) -> load.Told:
    """Send once, and try again only where no VM accepted the connection, as a balancer does."""
    told = await session.send(operation)
    for _ in range(tries - 1):
        if told.reason != "no_connection":
            break
        latency_s = told.latency_s
        told = await session.send(operation)
        told.latency_s += latency_s
    return told


def share(items: Sequence[Any], condition: Callable[[Any], bool]) -> float | None:
    """Return the share of items that meet a condition, or None without items."""
    return sum(map(condition, items)) / len(items) if items else None


def is_completed(told: load.Told) -> bool:
    """Tell whether a statement completed."""
    return told.verdict == load.COMPLETED


def p(told: Sequence[load.Told], percent: float) -> float:
    """Return a latency quantile in seconds of the completed statements."""
    return load.quantiles([item.latency_s for item in told if is_completed(item)], (percent,))[percent]


def show_failures(name: str, told: Sequence[load.Told]) -> None:
    """Write verdicts and reasons of what did not complete to standard error."""
    failed = collections.Counter(f"{item.verdict} {item.reason}" for item in told if not is_completed(item))
    print(f"{name}: {len(told)} sent, not completed: {dict(failed)}", file=sys.stderr, flush=True)
