"""Experiment: share of reads served by replicas."""

import asyncio
import bisect
import dataclasses
import random
import time
from collections.abc import Sequence

import aiohttp

from tools import cluster, load
from tools.experiments import figures, testbed

SECONDS = 12.0
RATE = 100.0
SESSIONS = 40
READ_SHARE = 0.8
MAX_LAG_S = 0.3
MAX_AGES_MS = (50, 200, 1000)
POLL_INTERVAL_S = 0.02
LAG_CHANGE_INTERVAL_S = 1.0

METHOD = """80% reads, 40 sessions that use all VMs. The lag of each replica is drawn again every second from 0 to
300 ms. A third of the reads has a maximum age of 50, 200 or 1000 ms. The experiment polls `/status` of each instance
every 20 ms. A replica could serve a read consistently if, in the last poll before the answer, it had the newest term
seen, its position reached the position in the session's token and, for a read with a maximum age, its applied time
reached the primary's clock at the arrival minus the maximum age. The poll before the answer counts replicas that
caught up while the read was under way, so the denominator is the larger one. The numerator is the VMs'
`currantlead_reads_total` by role. Baseline: the same kind of load with every read sent to the primary, so its share
is 0; its p99 is the baseline of the latency."""


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Response of an instance to ``/status``.

    Attributes:
        at: Monotonic time when the response arrived.
        role: ``primary`` or ``replica``.
        term: Term of the instance.
        index: Index of the last applied log entry.
        applied_time: Time up to which changes are applied, on the primary's clock.
        now: Time of the instance's clock.
    """

    at: float
    role: str
    term: int
    index: int
    applied_time: float
    now: float


def last_poll_before(polls: Sequence[Poll], at: float) -> Poll | None:
    """Return the last poll at or before a time, or None."""
    index = bisect.bisect_right(polls, at, key=lambda poll: poll.at)
    return polls[index - 1] if index else None


def could_serve(
    polls: dict[str, list[Poll]],
    position: tuple[int, int],
    max_age_s: float | None,
    sent_at: float,
    responded_at: float,
) -> bool:
    """Return whether a replica could serve a read within its consistency requirements.

    Args:
        polls: Polls by instance of the group, in order of time.
        position: Term and index in the session's token.
        max_age_s: Maximum age of the read in seconds, or None.
        sent_at: Monotonic time when the read was sent.
        responded_at: Monotonic time when the response arrived.

    Returns:
        Whether the last poll of a replica before the response satisfies the requirements.
    """
    latest_polls = [
        poll for poll in (last_poll_before(instance_polls, responded_at) for instance_polls in polls.values()) if poll
    ]
    newest_term = max((poll.term for poll in latest_polls), default=0)
    primary = next((poll for poll in latest_polls if poll.role == "primary" and poll.term == newest_term), None)
    for poll in latest_polls:
        if poll.role == "primary" or poll.term != newest_term:
            continue
        has_position = position[0] < poll.term or poll.index >= position[1]
        # The primary's clock at the time of sending is extrapolated from its last poll.
        is_fresh = max_age_s is None or (
            primary and poll.applied_time >= primary.now + sent_at - primary.at - max_age_s
        )
        if has_position and is_fresh:
            return True
    return False


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.ResultSheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._random = random.Random(options.seed)
        self._seed = options.seed
        self._polls: dict[str, dict[str, list[Poll]]] = {}
        self._completed_reads: list[tuple[load.Result, tuple[int, int]]] = []

    async def run(self, env: testbed.Testbed) -> None:
        self._testbed = env
        selector = env.selector()
        async with env.http_client(selector) as http:
            tasks = [asyncio.ensure_future(self._poll_status(http, name)) for name in env.cluster.endpoints]
            tasks.append(asyncio.ensure_future(self._vary_lag(http)))
            try:
                counts_before = await asyncio.to_thread(self._count_reads)
                outcomes = await self._run_load(http, selector, primary_only=False, seconds=self._seconds)
                counts_after = await asyncio.to_thread(self._count_reads)
                completed_reads = list(self._completed_reads)
                baseline = await self._run_load(http, selector, primary_only=True, seconds=self._seconds / 2)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        self._report(
            outcomes,
            baseline,
            completed_reads,
            {role: counts_after[role] - counts_before[role] for role in counts_after},
        )

    def _report(
        self,
        outcomes: list[load.Result],
        baseline: list[load.Result],
        completed_reads: list[tuple[load.Result, tuple[int, int]]],
        served_by_role: dict[str, float],
    ) -> None:
        eligible = sum(self._could_replica_serve(outcome, position) for outcome, position in completed_reads)
        total = sum(served_by_role.values())
        add = self._sheet.add
        add("lawful", served_by_role["replica"] / eligible if eligible else None, "share", bound=">= 0.9", baseline=0.0)
        add("of_all", served_by_role["replica"] / total if total else None, "share", baseline=0.0)
        add("lawful_of_all", eligible / len(completed_reads) if completed_reads else None, "share")
        reads = [outcome for outcome in outcomes if not outcome.operation.write]
        add(
            "completed",
            testbed.fraction(outcomes, testbed.is_completed),
            "share",
            baseline=testbed.fraction(baseline, testbed.is_completed),
        )
        baseline_reads = [outcome for outcome in baseline if outcome.operation.row_id is None]
        add(
            "read_p99",
            testbed.latency_percentile(reads, 99.0),
            "s",
            baseline=testbed.latency_percentile(baseline_reads, 99.0),
        )

    def _could_replica_serve(self, outcome: load.Result, position: tuple[int, int]) -> bool:
        max_age_ms = outcome.operation.max_age_ms
        polls = self._polls.get(outcome.operation.database, {})
        return could_serve(
            polls, position, max_age_ms and max_age_ms / 1000, outcome.at, outcome.at + outcome.latency_s
        )

    async def _run_load(
        self, http: aiohttp.ClientSession, selector: testbed.VmSelector, *, primary_only: bool, seconds: float
    ) -> list[load.Result]:
        largest_organisations = sorted(self._testbed.limits, key=lambda name: -self._testbed.limits[name][0])[:3]
        sessions = self._testbed.sessions(http, selector.url, largest_organisations, SESSIONS)
        sends = []
        for at in load.poisson_arrivals(RATE, seconds, self._seed):
            name = self._random.choice(list(sessions))
            is_read = self._random.random() < READ_SHARE
            operation = self._testbed.workload.next_operation(name, only="read" if is_read else "write")
            if is_read:
                operation.max_age_ms = self._random.choice(MAX_AGES_MS) if self._random.random() < 1 / 3 else None
                # Statements with access "write" are sent to the primary.
                operation.write = primary_only
            sends.append((at, lambda s=sessions[name], o=operation: self._send(s, o)))
        return await load.run_open_loop(sends)

    async def _send(self, session: load.Session, operation: load.Operation) -> load.Result:
        position = load.positions(session.token).get(operation.database, (0, 0))
        outcome = await session.send(operation)
        if not operation.write and outcome.verdict == load.COMPLETED:
            self._completed_reads.append((outcome, position))
        return outcome

    def _count_reads(self) -> dict[str, float]:
        return count_reads(self._testbed.cluster)

    async def _poll_status(self, http: aiohttp.ClientSession, name: str) -> None:
        url = f"{self._testbed.cluster.endpoints[name].url}/status"
        while True:
            async with http.get(url) as response:
                status = await response.json()
            poll = Poll(
                time.monotonic(),
                status["role"],
                status["term"],
                status["index"],
                status["applied_time"] or 0.0,
                status["now"],
            )
            self._polls.setdefault(status["group"], {}).setdefault(name, []).append(poll)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _vary_lag(self, http: aiohttp.ClientSession) -> None:
        while True:
            for process in self._testbed.cluster.endpoints.values():
                async with http.post(f"{process.url}/control", json={"lag_s": self._random.uniform(0.0, MAX_LAG_S)}):
                    pass
            await asyncio.sleep(LAG_CHANGE_INTERVAL_S)


def count_reads(running_cluster: cluster.Cluster) -> dict[str, float]:
    """Return the number of completed reads of all VMs by the role of the instance that served them."""
    counts = {"replica": 0.0, "primary": 0.0}
    for vm in running_cluster.vms.values():
        for line in cluster.call(f"{vm.url}/metrics").splitlines():
            if line.startswith("currantlead_reads_total{"):
                counts["replica" if 'role="replica"' in line else "primary"] += float(line.split()[-1])
    return counts


@figures.experiment("replica-reads", "Replica reads", METHOD)
def run(options: figures.Options, sheet: figures.ResultSheet) -> None:
    """Measure the share of reads served by replicas."""
    testbed.run(options, _Run(options, sheet).run)
