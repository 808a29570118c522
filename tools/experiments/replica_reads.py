"""Experiment: share of reads that replicas serve."""

import asyncio
import bisect
import dataclasses
import random
import time
from collections.abc import Sequence

import aiohttp

from tools import cluster, load
from tools.experiments import bed, figures

SECONDS = 12.0
RATE = 100.0
SESSIONS = 40
READ_SHARE = 0.8
MAX_LAG_S = 0.3
AGES_MS = (50, 200, 1000)
POLL_S = 0.02
LAG_CHANGE_S = 1.0

METHOD = """80% reads, 40 sessions that roam over all VMs. The lag of each replica is drawn again every second from 0 to
300 ms. A third of the reads states an age of 50, 200 or 1000 ms. The experiment polls `/status` of each instance every
20 ms. A replica could lawfully serve a read if, in the last poll before the answer, it had the newest term seen, its
position reached the position in the session's token and, for a read with an age, its applied time reached the primary's
clock at the arrival minus the age. The poll before the answer counts replicas that caught up while the read was under
way, so the denominator is the larger one. The numerator is the VMs' `currantlead_reads_total` by role. Baseline:
the same kind of load with every read sent to the primary, so its share is 0; its p99 is the baseline of the latency."""


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Hold one answer of an instance to ``/status``.

    Attributes:
        at: Clock reading after the answer.
        role: ``primary`` or ``replica``.
        term: Term.
        index: Applied position.
        applied_time: Applied time on the primary's clock.
        now: The instance's clock.
    """

    at: float
    role: str
    term: int
    index: int
    applied_time: float
    now: float


def last_before(polls: Sequence[Poll], at: float) -> Poll | None:
    """Return the last poll at or before a clock reading."""
    place = bisect.bisect_right(polls, at, key=lambda poll: poll.at)
    return polls[place - 1] if place else None


def could_serve(
    polls: dict[str, list[Poll]], position: tuple[int, int], age_s: float | None, sent: float, answered: float
) -> bool:
    """Tell whether a replica could lawfully serve a read.

    Args:
        polls: Polls of the group's instances, in order.
        position: Term and index in the session's token.
        age_s: Stated age, or None.
        sent: Clock reading at the arrival.
        answered: Clock reading at the answer.

    Returns:
        Whether a replica's last poll before the answer satisfies the read.
    """
    latest = [poll for poll in (last_before(each, answered) for each in polls.values()) if poll]
    newest = max((poll.term for poll in latest), default=0)
    primary = next((poll for poll in latest if poll.role == "primary" and poll.term == newest), None)
    for poll in latest:
        if poll.role == "primary" or poll.term != newest:
            continue
        reached = position[0] < poll.term or poll.index >= position[1]
        # The primary's clock at the arrival follows from its last poll and the time between.
        fresh = age_s is None or (primary and poll.applied_time >= primary.now + sent - primary.at - age_s)
        if reached and fresh:
            return True
    return False


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.Sheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._random = random.Random(options.seed)
        self._seed = options.seed
        self._polls: dict[str, dict[str, list[Poll]]] = {}
        self._answers: list[tuple[load.Told, tuple[int, int]]] = []

    async def run(self, started: bed.Bed) -> None:
        self._bed = started
        chooser = started.chooser()
        async with started.callers(chooser) as http:
            tasks = [asyncio.ensure_future(self._poll(http, name)) for name in started.cluster.endpoints]
            tasks.append(asyncio.ensure_future(self._change_lags(http)))
            try:
                before = await asyncio.to_thread(self._counts)
                told = await self._load(http, chooser, primary_only=False, seconds=self._seconds)
                after = await asyncio.to_thread(self._counts)
                answers = list(self._answers)
                baseline = await self._load(http, chooser, primary_only=True, seconds=self._seconds / 2)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        self._report(told, baseline, answers, {role: after[role] - before[role] for role in after})

    def _report(
        self,
        told: list[load.Told],
        baseline: list[load.Told],
        answers: list[tuple[load.Told, tuple[int, int]]],
        served: dict[str, float],
    ) -> None:
        lawful = sum(self._is_lawful(item, position) for item, position in answers)
        total = sum(served.values())
        add = self._sheet.add
        add("lawful", served["replica"] / lawful if lawful else None, "share", bound=">= 0.9", baseline=0.0)
        add("of_all", served["replica"] / total if total else None, "share", baseline=0.0)
        add("lawful_of_all", lawful / len(answers) if answers else None, "share")
        reads = [item for item in told if not item.operation.write]
        add("completed", bed.share(told, bed.is_completed), "share", baseline=bed.share(baseline, bed.is_completed))
        marked = [item for item in baseline if item.operation.mark is None]
        add("read_p99", bed.p(reads, 99.0), "s", baseline=bed.p(marked, 99.0))

    def _is_lawful(self, told: load.Told, position: tuple[int, int]) -> bool:
        age = told.operation.max_age_ms
        polls = self._polls.get(told.operation.database, {})
        return could_serve(polls, position, age and age / 1000, told.at, told.at + told.latency_s)

    async def _load(
        self, http: aiohttp.ClientSession, chooser: bed.Chooser, *, primary_only: bool, seconds: float
    ) -> list[load.Told]:
        largest = sorted(self._bed.limits, key=lambda name: -self._bed.limits[name][0])[:3]
        sessions = self._bed.sessions(http, chooser.url, largest, SESSIONS)
        sends = []
        for at in load.poisson_arrivals(RATE, seconds, self._seed):
            name = self._random.choice(list(sessions))
            read = self._random.random() < READ_SHARE
            operation = self._bed.work.draw(name, only="read" if read else "write")
            if read:
                operation.max_age_ms = self._random.choice(AGES_MS) if self._random.random() < 1 / 3 else None
                # A statement with access "write" goes to the primary.
                operation.write = primary_only
            sends.append((at, lambda s=sessions[name], o=operation: self._send(s, o)))
        return await load.run_open_loop(sends)

    async def _send(self, session: load.Session, operation: load.Operation) -> load.Told:
        position = load.positions(session.token).get(operation.database, (0, 0))
        told = await session.send(operation)
        if not operation.write and told.verdict == load.COMPLETED:
            self._answers.append((told, position))
        return told

    def _counts(self) -> dict[str, float]:
        return count_reads(self._bed.cluster)

    async def _poll(self, http: aiohttp.ClientSession, name: str) -> None:
        url = f"{self._bed.cluster.endpoints[name].url}/status"
        while True:
            async with http.get(url) as answer:
                told = await answer.json()
            poll = Poll(
                time.monotonic(), told["role"], told["term"], told["index"], told["applied_time"] or 0.0, told["now"]
            )
            self._polls.setdefault(told["group"], {}).setdefault(name, []).append(poll)
            await asyncio.sleep(POLL_S)

    async def _change_lags(self, http: aiohttp.ClientSession) -> None:
        while True:
            for process in self._bed.cluster.endpoints.values():
                async with http.post(f"{process.url}/control", json={"lag_s": self._random.uniform(0.0, MAX_LAG_S)}):
                    pass
            await asyncio.sleep(LAG_CHANGE_S)


def count_reads(running: cluster.Cluster) -> dict[str, float]:
    """Return the completed reads by role over all VMs."""
    counts = {"replica": 0.0, "primary": 0.0}
    for vm in running.vms.values():
        for line in cluster.call(f"{vm.url}/metrics").splitlines():
            if line.startswith("currantlead_reads_total{"):
                counts["replica" if 'role="replica"' in line else "primary"] += float(line.split()[-1])
    return counts


@figures.experiment("replica-reads", "Replica reads", METHOD)
def run(options: figures.Options, sheet: figures.Sheet) -> None:
    """Measure the share of reads that replicas serve."""
    bed.run(options, _Run(options, sheet).run)
