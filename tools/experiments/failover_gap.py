"""Experiment: time without writes after the loss of a primary."""

import asyncio
import sys
import time

import aiohttp

from tools import cluster, load
from tools.experiments import bed, figures

RUNS = 2
WINDOW_S = 6.0
PROBES_PER_S = 20.0
DETECTION_S = 1.5
"""A monitor polls every 0.5 s and suspects after 1 s without an answer."""
SETTLE_S = 15.0
KINDS = ("kill", "freeze", "cut")

METHOD = """The primary of a database is killed, frozen (SIGSTOP) or cut off from everything (the stand-in drops all
traffic), in turn over the databases; `--runs` repeats each kind. From the failure on, 20 writes and 20 reads a second
arrive for 6 s, or `--seconds`; each is sent once. The gap is the time from the failure to the first answer
"completed" to a write that arrived after it. A run without one counts as the whole window. Then the instance is started
again, resumed or connected, and the next run waits until all three instances are in the same term. Writes that failed
count as "refused as not run" by their verdict; writes sent to the primary before it is suspected are in doubt, and
`not_run_of_failed_after_detection` leaves out those of the first 1.5 s and is 1 if no later write failed. `unsettled`
counts runs after which the group did not come together within 15 s. There is no baseline."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.Sheet):
        self._options = options
        self._sheet = sheet
        self._window_s = options.seconds or WINDOW_S
        self._gaps: dict[str, list[float]] = {kind: [] for kind in KINDS}
        self._writes: list[tuple[float, load.Told]] = []
        self._reads: list[load.Told] = []
        self._unsettled = 0

    async def run(self, started: bed.Bed) -> None:
        self._bed = started
        chooser = started.chooser()
        async with started.callers(chooser) as http:
            number = 0
            for _ in range(self._options.runs or RUNS):
                for kind in KINDS:
                    database = started.databases[number % len(started.databases)]
                    await self._fail(http, chooser, kind, database, number)
                    number += 1
        self._report()

    async def _fail(
        self, http: aiohttp.ClientSession, chooser: bed.Chooser, kind: str, database: str, number: int
    ) -> None:
        running = self._bed.cluster
        primary = await asyncio.to_thread(running.primary, database)
        sends = []
        for write in (True, False):
            seed = 100 * self._options.seed + 2 * number + write
            for at in load.poisson_arrivals(PROBES_PER_S, self._window_s, seed):
                session = load.Session(http, chooser.url, self._bed.key(self._bed.largest))
                name = f"probe-{self._bed.databases.index(database)}"
                operation = self._bed.work.draw(name, only="write" if write else "read")
                sends.append((at, lambda s=session, o=operation: s.send(o)))
        failed_at = time.monotonic()
        await asyncio.to_thread(self._cause, kind, primary)
        told = await load.run_open_loop(sorted(sends, key=lambda send: send[0]))
        await asyncio.to_thread(self._repair, kind, primary)
        self._record(kind, told, failed_at)
        await self._settle(http, database)

    def _record(self, kind: str, told: list[load.Told], failed_at: float) -> None:
        writes = [item for item in told if item.operation.write]
        bed.show_failures(f"writes after {kind}", writes)
        bed.show_failures(f"reads after {kind}", [item for item in told if not item.operation.write])
        self._writes += [(item.at - failed_at, item) for item in writes]
        self._reads += [item for item in told if not item.operation.write]
        completed = [item.at + item.latency_s - failed_at for item in writes if bed.is_completed(item)]
        self._gaps[kind].append(min(completed, default=self._window_s))

    def _cause(self, kind: str, instance: str) -> None:
        process = self._bed.cluster.endpoints[instance]
        if kind == "kill":
            process.kill()
        elif kind == "freeze":
            process.freeze()
        else:
            cluster.call(f"{process.url}/control", {"cut_from": ["*"]})

    def _repair(self, kind: str, instance: str) -> None:
        process = self._bed.cluster.endpoints[instance]
        if kind == "kill":
            self._bed.cluster.restart_endpoint(instance)
        elif kind == "freeze":
            process.resume()
        else:
            cluster.call(f"{process.url}/control", {"cut_from": []})

    async def _settle(self, http: aiohttp.ClientSession, database: str) -> None:
        """Wait until all instances of a group are in one term and have caught up."""
        limit = time.monotonic() + SETTLE_S
        states: list[tuple[int, int, str]] = []
        while time.monotonic() < limit:
            states = []
            for name, process in self._bed.cluster.endpoints.items():
                if name.startswith(f"{database}-"):
                    async with http.get(f"{process.url}/status") as answer:
                        told = await answer.json()
                    states.append((told["term"], told["index"], told["role"]))
            if len({(term, index) for term, index, _ in states}) == 1 and "primary" in {role for _, _, role in states}:
                return
            await asyncio.sleep(0.2)
        self._unsettled += 1
        print(f"{database} did not settle in {SETTLE_S:.0f} s: {states}", file=sys.stderr, flush=True)

    def _report(self) -> None:
        gaps = [gap for each in self._gaps.values() for gap in each]
        add = self._sheet.add
        add("p50", load.quantiles(gaps, (50.0,))[50.0], "s", bound="<= 3")
        add("max", max(gaps), "s", bound="<= 5")
        for kind, each in self._gaps.items():
            add(f"max_{kind}", max(each), "s")
        failed = [(after, item) for after, item in self._writes if not bed.is_completed(item)]
        late = [entry for entry in failed if entry[0] >= DETECTION_S]
        add("not_run_of_failed", bed.share(failed, _is_not_run), "share")
        refused = bed.share(late, _is_not_run) if late else 1.0
        add("not_run_of_failed_after_detection", refused, "share", bound=">= 1")
        add("failed_writes", float(len(failed)), "writes")
        add("unsettled", float(self._unsettled), "runs")
        add("reads_served", bed.share(self._reads, bed.is_completed), "share", bound=">= 0.99")
        add("read_p99", bed.p(self._reads, 99.0), "s")
        for kind, each in self._gaps.items():
            self._sheet.plot(f"gap after {kind} (run, s)", list(enumerate(each, 1)))


def _is_not_run(entry: tuple[float, load.Told]) -> bool:
    return entry[1].verdict == load.NOT_RUN


@figures.experiment("failover-gap", "Failover gap", METHOD)
def run(options: figures.Options, sheet: figures.Sheet) -> None:
    """Measure the time without writes after the loss of a primary."""
    bed.run(options, _Run(options, sheet).run)
