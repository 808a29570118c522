"""Experiment: duration of write unavailability after the failure of a primary."""

import asyncio
import sys
import time

import aiohttp

from tools import cluster, load
from tools.experiments import figures, testbed

REPETITIONS = 2
WINDOW_S = 6.0
REQUESTS_PER_S = 20.0
DETECTION_TIME_S = 1.5
"""Monitors poll every 0.5 s and suspect an instance after 1 s without a response."""
RECOVERY_TIMEOUT_S = 15.0
FAILURE_KINDS = ("kill", "freeze", "cut")

METHOD = """The primary of a database is killed, frozen (SIGSTOP) or isolated from the network (the stand-in drops
all traffic), in turn over the databases; `--runs` repeats each kind. From the failure on, 20 writes and 20 reads a
second arrive for 6 s, or `--seconds`; each is sent once. The gap is the time from the failure to the first answer
"completed" to a write that arrived after it. A run without one counts as the whole window. Then the instance is
started again, resumed or connected, and the next run waits until all three instances are in the same term. Writes
that failed count as "refused as not run" by their verdict; writes sent to the primary before it is suspected are in
doubt, and `not_run_of_failed_after_detection` leaves out those of the first 1.5 s and is 1 if no later write failed.
`unsettled` counts runs after which the group's instances did not reach the same term and index within 15 s. There is
no baseline."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.ResultSheet):
        self._options = options
        self._sheet = sheet
        self._window_s = options.seconds or WINDOW_S
        self._gaps: dict[str, list[float]] = {kind: [] for kind in FAILURE_KINDS}
        self._writes: list[tuple[float, load.Result]] = []
        self._reads: list[load.Result] = []
        self._unrecovered = 0

    async def run(self, env: testbed.Testbed) -> None:
        self._testbed = env
        selector = env.selector()
        async with env.http_client(selector) as http:
            run_index = 0
            for _ in range(self._options.runs or REPETITIONS):
                for kind in FAILURE_KINDS:
                    database = env.databases[run_index % len(env.databases)]
                    await self._run_failure(http, selector, kind, database, run_index)
                    run_index += 1
        self._report()

    async def _run_failure(
        self, http: aiohttp.ClientSession, selector: testbed.VmSelector, kind: str, database: str, run_index: int
    ) -> None:
        running_cluster = self._testbed.cluster
        primary = await asyncio.to_thread(running_cluster.primary, database)
        sends = []
        for write in (True, False):
            seed = 100 * self._options.seed + 2 * run_index + write
            for at in load.poisson_arrivals(REQUESTS_PER_S, self._window_s, seed):
                session = load.Session(http, selector.url, self._testbed.key(self._testbed.largest))
                name = f"probe-{self._testbed.databases.index(database)}"
                operation = self._testbed.workload.next_operation(name, only="write" if write else "read")
                sends.append((at, lambda s=session, o=operation: s.send(o)))
        failed_at = time.monotonic()
        await asyncio.to_thread(self._inject_failure, kind, primary)
        outcomes = await load.run_open_loop(sorted(sends, key=lambda send: send[0]))
        await asyncio.to_thread(self._revert_failure, kind, primary)
        self._record(kind, outcomes, failed_at)
        await self._wait_for_recovery(http, database)

    def _record(self, kind: str, outcomes: list[load.Result], failed_at: float) -> None:
        writes = [outcome for outcome in outcomes if outcome.operation.write]
        testbed.print_failures(f"writes after {kind}", writes)
        testbed.print_failures(f"reads after {kind}", [outcome for outcome in outcomes if not outcome.operation.write])
        self._writes += [(outcome.at - failed_at, outcome) for outcome in writes]
        self._reads += [outcome for outcome in outcomes if not outcome.operation.write]
        completion_times = [
            outcome.at + outcome.latency_s - failed_at for outcome in writes if testbed.is_completed(outcome)
        ]
        self._gaps[kind].append(min(completion_times, default=self._window_s))

    def _inject_failure(self, kind: str, instance: str) -> None:
        process = self._testbed.cluster.endpoints[instance]
        if kind == "kill":
            process.kill()
        elif kind == "freeze":
            process.freeze()
        else:
            cluster.call(f"{process.url}/control", {"cut_from": ["*"]})

    def _revert_failure(self, kind: str, instance: str) -> None:
        process = self._testbed.cluster.endpoints[instance]
        if kind == "kill":
            self._testbed.cluster.restart_endpoint(instance)
        elif kind == "freeze":
            process.resume()
        else:
            cluster.call(f"{process.url}/control", {"cut_from": []})

    async def _wait_for_recovery(self, http: aiohttp.ClientSession, database: str) -> None:
        """Wait until all instances of a group have the same term and index and one is primary, up to a time-out."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        states: list[tuple[int, int, str]] = []
        while time.monotonic() < deadline:
            states = []
            for name, process in self._testbed.cluster.endpoints.items():
                if name.startswith(f"{database}-"):
                    async with http.get(f"{process.url}/status") as response:
                        status = await response.json()
                    states.append((status["term"], status["index"], status["role"]))
            if len({(term, index) for term, index, _ in states}) == 1 and "primary" in {role for _, _, role in states}:
                return
            await asyncio.sleep(0.2)
        self._unrecovered += 1
        print(
            f"{database}: not recovered after {RECOVERY_TIMEOUT_S:.0f} s; term, index, role: {states}",
            file=sys.stderr,
            flush=True,
        )

    def _report(self) -> None:
        gaps = [gap for kind_gaps in self._gaps.values() for gap in kind_gaps]
        add = self._sheet.add
        add("p50", load.quantiles(gaps, (50.0,))[50.0], "s", bound="<= 3")
        add("max", max(gaps), "s", bound="<= 5")
        for kind, kind_gaps in self._gaps.items():
            add(f"max_{kind}", max(kind_gaps), "s")
        failed = [
            (since_failure_s, outcome) for since_failure_s, outcome in self._writes if not testbed.is_completed(outcome)
        ]
        failed_after_detection = [failure for failure in failed if failure[0] >= DETECTION_TIME_S]
        add("not_run_of_failed", testbed.fraction(failed, _is_not_run), "share")
        not_run_fraction = testbed.fraction(failed_after_detection, _is_not_run) if failed_after_detection else 1.0
        add("not_run_of_failed_after_detection", not_run_fraction, "share", bound=">= 1")
        add("failed_writes", float(len(failed)), "writes")
        add("unsettled", float(self._unrecovered), "runs")
        add("reads_served", testbed.fraction(self._reads, testbed.is_completed), "share", bound=">= 0.99")
        add("read_p99", testbed.latency_percentile(self._reads, 99.0), "s")
        for kind, kind_gaps in self._gaps.items():
            self._sheet.plot(f"gap after {kind} (run, s)", list(enumerate(kind_gaps, 1)))


def _is_not_run(failure: tuple[float, load.Result]) -> bool:
    return failure[1].verdict == load.NOT_RUN


@figures.experiment("failover-gap", "Failover gap", METHOD)
def run(options: figures.Options, sheet: figures.ResultSheet) -> None:
    """Measure the duration of write unavailability after the failure of a primary."""
    testbed.run(options, _Run(options, sheet).run)
