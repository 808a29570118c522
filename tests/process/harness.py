"""Runs a small deployment for tests with real processes, sends load to it and injects faults."""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import random
import time
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any

import aiohttp

from tools import cluster, deployments, load, workload

DATABASE = "ledger-1"
LARGE_ORGANISATION, SMALL_ORGANISATION = "mill", "farm"
KEYS = {LARGE_ORGANISATION: "key-of-the-mill-5c1f", SMALL_ORGANISATION: "key-of-the-farm-88ab"}
DEPLOYMENT = deployments.Deployment(
    name="thessaly",
    vms={"larisa": 3, "naousa": 3, "metsovo": 2},
    databases=(DATABASE,),
    slots=4,
    connections=12,
    connect_time_s=0.01,
)
MAX_IN_FORCE_S = 2.0
POLL_INTERVAL_S = 0.05
_mark_numbers = itertools.count()


@contextlib.contextmanager
def deploy(deployment: deployments.Deployment = DEPLOYMENT, **options: Any) -> Iterator[cluster.Cluster]:
    """Run a deployment that is configured and has its tables."""
    with cluster.Cluster(deployment, **options) as running:
        commands = [f"add domain {domain} region greece" for domain in deployment.vms]
        commands.append(f"add service ledger slots {deployment.slots} connections {deployment.connections}")
        commands += [f"add database {name} service ledger" for name in deployment.databases]
        commands.append(f"add organisation {LARGE_ORGANISATION} rate 400 burst 800 services ledger")
        commands.append(f"add organisation {SMALL_ORGANISATION} rate 100 burst 200 services ledger")
        commands += [f"add key first organisation {name} digest {digest(key)}" for name, key in KEYS.items()]
        operate(running, "; ".join(commands))
        with futures.ThreadPoolExecutor(1) as thread:
            # A thread of its own, because the calling thread may already run an event loop.
            thread.submit(asyncio.run, _create_tables(running)).result()
        yield running


def digest(key: str) -> str:
    """Return the digest under which the configuration stores a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def running_vms(running: cluster.Cluster) -> list[cluster.Process]:
    """Return the VMs whose process is running."""
    return [vm for vm in running.vms.values() if vm.popen.poll() is None]


def operate(running: cluster.Cluster, text: str, *, vm: str | None = None) -> dict[str, Any]:
    """Send operator commands to a VM, by default the first running one, and return the response."""
    target = running.vms[vm] if vm else running_vms(running)[0]
    headers = {"Authorization": f"Bearer {running.operator_key}"}
    url = f"http://{target.addresses['operator']}/operators/commands"
    return cluster.call(url, {"text": text}, headers=headers, timeout_s=15.0)


def control_platform(running: cluster.Cluster, **faults: Any) -> None:
    """Set faults of the platform."""
    cluster.call(f"{running.platform.url}/control", faults)


def control_endpoint(running: cluster.Cluster, instance: str, **faults: Any) -> None:
    """Set limits and faults of an instance."""
    cluster.call(f"{running.endpoints[instance].url}/control", faults)


def status(running: cluster.Cluster, instance: str) -> dict[str, Any]:
    """Return the status of an instance."""
    return cluster.call(f"{running.endpoints[instance].url}/status", timeout_s=2.0)


async def wait_until(condition: Callable[[], Any], timeout_s: float) -> float:
    """Poll a condition on a worker thread until it holds; return the seconds that this took.

    Raises:
        AssertionError: If the condition does not hold within the timeout.
    """
    started = time.monotonic()
    while not await asyncio.to_thread(condition):
        if time.monotonic() - started > timeout_s:
            raise AssertionError(f"condition did not hold within {timeout_s} s")
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


@contextlib.asynccontextmanager
async def http_client(*, keep_alive: bool = False) -> Any:
    """Open an HTTP client without a limit on connections."""
    connector = aiohttp.TCPConnector(limit=0, force_close=not keep_alive)
    async with aiohttp.ClientSession(connector=connector) as http:
        yield http


def insert(session: str = "probe-0", *, keyed: bool = False) -> load.Operation:
    """Return a write that inserts a unique mark."""
    mark = f"{session}-m{next(_mark_numbers)}"
    sql = "insert into consignments (id, session, shepherd, fleeces) values (?, ?, 'ares', 1)"
    return load.Operation(
        DATABASE,
        sql,
        [mark, session],
        write=True,
        row_id=mark,
        ledger="consignments",
        session=session,
        idempotency_key=mark if keyed else None,
    )


def read(session: str = "probe-0") -> load.Operation:
    """Return a read of the rows that a session has written."""
    sql = "select id from consignments where session = ?"
    return load.Operation(DATABASE, sql, [session], ledger="consignments", session=session)


def roaming_session(
    running: cluster.Cluster,
    http: aiohttp.ClientSession,
    organisation: str = LARGE_ORGANISATION,
    *,
    seed: int = 0,
    vms: Any = None,
) -> load.Session:
    """Return a session that sends each request to a random VM, drawn from the seed."""
    rng = random.Random(seed)
    names = vms or list(running.vms)
    return load.Session(http, lambda: running.vms[rng.choice(names)].url, KEYS[organisation])


@dataclasses.dataclass(slots=True)
class LoadGenerator:
    """Open-loop load with a Poisson arrival process from several sessions."""

    running: cluster.Cluster
    http: aiohttp.ClientSession
    rate: float = 80.0
    sessions: int = 16
    attempts: int = 6
    seed: int = 1
    organisation: str = LARGE_ORGANISATION
    through_balancer: bool = False
    vms: list[str] | None = None

    async def run(self, seconds: float) -> list[load.Result]:
        """Send requests for a number of seconds and return their results."""
        rng = random.Random(self.seed)
        generator = workload.Workload("thessaly", self.running.deployment.databases, seed=self.seed)
        sessions = {f"s{self.seed}-{n}": self._session(n) for n in range(self.sessions)}
        schedule = []
        for number, at in enumerate(load.poisson_arrivals(self.rate, seconds, self.seed)):
            name = rng.choice(list(sessions))
            send = sessions[name].send
            operation = generator.next_operation(name)
            schedule.append((at, lambda s=send, o=operation, n=number: s(o, attempts=self.attempts, seed=n)))
        return await load.run_open_loop(schedule)

    def _session(self, number: int) -> load.Session:
        if self.through_balancer:
            url = self.running.balancer.url
            return load.Session(self.http, lambda: url, KEYS[self.organisation])
        seed = self.seed * 1000 + number
        return roaming_session(self.running, self.http, self.organisation, seed=seed, vms=self.vms)


async def probe_writes(session: load.Session, stop: asyncio.Event, every_s: float = 0.05) -> list[load.Result]:
    """Send writes at a fixed interval, without waiting for results, until the event is set."""
    tasks = []
    while not stop.is_set():
        tasks.append(asyncio.ensure_future(session.send(insert())))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*tasks))


def longest_gap(results: list[load.Result]) -> float:
    """Return the longest time between two successive completions, or infinity if there are fewer than two."""
    ends = sorted(result.at + result.latency_s for result in results if result.verdict == load.COMPLETED)
    return max((after - before for before, after in itertools.pairwise(ends)), default=float("inf"))


async def read_marks(running: cluster.Cluster, http: aiohttp.ClientSession) -> dict[tuple[str, str], list[str]]:
    """Read all marks at the primaries, by database and table."""
    session = load.Session(http, lambda: running_vms(running)[0].url, KEYS[LARGE_ORGANISATION])
    marks = {}
    for database in running.deployment.databases:
        for ledger in workload.Workload("thessaly", [database]).ledgers:
            operation = load.Operation(database, f"select id from {ledger}", [], write=True)
            result = await session.send(operation, attempts=20)
            assert result.verdict == load.COMPLETED, (result.verdict, result.reason)
            marks[(database, ledger)] = [row[0] for row in result.rows]
    return marks


async def compare(
    running: cluster.Cluster, http: aiohttp.ClientSession, results: list[load.Result]
) -> workload.Violations:
    """Compare the tables at the primaries with the results that callers received."""
    return workload.find_violations(results, await read_marks(running, http))


async def _create_tables(running: cluster.Cluster) -> None:
    async with http_client() as http:
        session = load.Session(http, lambda: running_vms(running)[0].url, KEYS[LARGE_ORGANISATION])
        for database in running.deployment.databases:
            for sql in workload.Workload("thessaly", [database]).schema:
                result = await session.send(load.Operation(database, sql, [], write=True), attempts=20)
                assert result.verdict == load.COMPLETED, (result.verdict, result.reason)


@dataclasses.dataclass(slots=True)
class Caller:
    """HTTP caller with one key; requests return status and body."""

    http: aiohttp.ClientSession
    key: str

    async def post(self, url: str, path: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
        """Send a request to a VM; status 0 means that there was no response."""
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            async with self.http.post(
                f"{url}/v1/{path}", json=body, headers=headers, timeout=aiohttp.ClientTimeout(total=15.0)
            ) as answer:
                return answer.status, await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, {"verdict": "none", "reason": type(error).__name__}

    async def statement(self, url: str, operation: load.Operation) -> tuple[int, dict[str, Any]]:
        """Send a statement outside a transaction."""
        body = {"sql": operation.sql, "params": operation.params, "access": "write" if operation.write else "read"}
        return await self.post(url, f"databases/{operation.database}/statements", body)

    async def begin(self, url: str) -> str:
        """Begin a transaction, with up to 50 attempts in case another one holds the write lock."""
        for _ in range(50):
            status, body = await self.post(url, f"databases/{DATABASE}/transactions")
            if status == 200:
                return body["transaction"]
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"transaction was not begun in 50 attempts, last response: {body}")

    async def transact(self, url: str, transaction: str, operation: load.Operation) -> tuple[int, dict[str, Any]]:
        """Send a write statement in a transaction."""
        body = {"sql": operation.sql, "params": operation.params, "access": "write"}
        return await self.post(url, f"transactions/{transaction}/statements", body)

    async def finish(self, url: str, transaction: str, action: str = "commit") -> tuple[int, dict[str, Any]]:
        """Commit or roll back a transaction."""
        return await self.post(url, f"transactions/{transaction}/{action}")
