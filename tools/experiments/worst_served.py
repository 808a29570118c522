"""Experiment: service of organisations within their rate limits while another one far exceeds its limit."""

import asyncio
import contextlib
import itertools
from collections.abc import Sequence

import aiohttp

from tools import cluster, load
from tools.experiments import arrivals, direct, figures, testbed

SECONDS = 8.0
OVERLOAD_FACTORS = (5, 20)
SMALL_ORGANISATIONS = 5
SMALL_RATE_SHARE = 0.8
OVERLOAD_CAPACITY_SHARE = 0.5
PAUSE_S = 2.5

METHOD = """The five organisations with the smallest rates send Poisson arrivals at 80% of their rates, filtered by
one central bucket each, so that every request is within its rate. The next larger organisation sends 5 times and 20
times its rate. All are reads of one database. The stand-ins' statement time is raised so that the slots of the two
replicas, which serve the reads, exactly suffice for the small organisations and half of the other one's rate: its
admitted requests saturate them. "Alone" is the same load of the small organisations without the other one, in the
same run. The figures are of the small organisation with the smallest share or largest p99. Baseline, without the
fair queue: the same arrivals, filtered by a central bucket for each organisation, sent directly to the two replicas,
which serve them in the order of arrival with as many connections as slots and the same queue timeout of 2 s."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.ResultSheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._seed = options.seed
        self._slots = options.deployment.slots

    async def run(self, env: testbed.Testbed) -> None:
        self._testbed = env
        by_rate = sorted(env.limits, key=lambda name: env.limits[name][0])
        self._small = by_rate[:SMALL_ORGANISATIONS]
        self._overloading = next(
            name
            for name in by_rate[SMALL_ORGANISATIONS:]
            if env.limits[name][0] > env.limits[by_rate[SMALL_ORGANISATIONS - 1]][0]
        )
        selector = env.selector()
        async with env.http_client(selector) as http:
            await self._limit_capacity(http)
            outcomes_alone = await self._run_through_vms(http, selector, self._create_schedule(0))
            for factor in OVERLOAD_FACTORS:
                schedule = self._create_schedule(factor)
                await asyncio.sleep(PAUSE_S)
                outcomes = await self._run_through_vms(http, selector, schedule)
                await asyncio.sleep(PAUSE_S)
                self._report(factor, outcomes_alone, outcomes, await self._run_fifo_baseline(schedule))

    async def _limit_capacity(self, http: aiohttp.ClientSession) -> None:
        limits = self._testbed.limits
        offered_rate = SMALL_RATE_SHARE * sum(limits[name][0] for name in self._small)
        capacity = offered_rate + OVERLOAD_CAPACITY_SHARE * limits[self._overloading][0]
        statement_s = 2 * self._slots / capacity
        for process in self._testbed.cluster.endpoints.values():
            async with http.post(f"{process.url}/control", json={"statement_s": statement_s}):
                pass

    def _create_schedule(self, factor: int) -> list[arrivals.Arrival]:
        limits = self._testbed.limits
        schedule = []
        for index, name in enumerate(self._small):
            times = load.poisson_arrivals(SMALL_RATE_SHARE * limits[name][0], self._seconds, self._seed + index)
            own_arrivals = [arrivals.Arrival(at, name) for at in times]
            admitted = arrivals.admit_centrally(own_arrivals, limits)
            schedule += itertools.compress(own_arrivals, admitted)
        if factor:
            times = load.poisson_arrivals(
                factor * limits[self._overloading][0], self._seconds, self._seed + SMALL_ORGANISATIONS
            )
            schedule += [arrivals.Arrival(at, self._overloading) for at in times]
        return sorted(schedule)

    async def _run_through_vms(
        self, http: aiohttp.ClientSession, selector: testbed.VmSelector, schedule: Sequence[arrivals.Arrival]
    ) -> list[load.Result]:
        def send(organisation: str):
            session = load.Session(http, selector.url, self._testbed.key(organisation))
            return testbed.send_with_connect_retry(session, self._read(organisation))

        outcomes = await load.run_open_loop(
            [(arrival.at, lambda o=arrival.organisation: send(o)) for arrival in schedule]
        )
        testbed.print_failures(
            "through VMs", [outcome for outcome in outcomes if self._organisation_of(outcome) != self._overloading]
        )
        return outcomes

    async def _run_fifo_baseline(self, schedule: Sequence[arrivals.Arrival]) -> list[load.Result]:
        admitted = list(itertools.compress(schedule, arrivals.admit_centrally(schedule, self._testbed.limits)))
        database = self._testbed.databases[0]
        primary = await asyncio.to_thread(self._testbed.cluster.primary, database)
        urls = [
            process.url
            for name, process in self._testbed.cluster.endpoints.items()
            if name.startswith(f"{database}-") and name != primary
        ]
        if len(urls) != 2:
            raise cluster.ClusterError(f"{database} has {len(urls)} replicas instead of 2")
        async with contextlib.AsyncExitStack() as stack:
            pools = [await stack.enter_async_context(direct.ConnectionPool(url, self._slots)) for url in urls]
            round_robin = itertools.cycle(pools)
            return await load.run_open_loop(
                [
                    (arrival.at, lambda o=arrival.organisation: next(round_robin).send(self._read(o)))
                    for arrival in admitted
                ]
            )

    def _read(self, organisation: str) -> load.Operation:
        operation = self._testbed.workload.next_operation(f"{organisation}-0", only="read")
        operation.max_age_ms = None
        return operation

    def _organisation_of(self, outcome: load.Result) -> str:
        return outcome.operation.session.rpartition("-")[0]

    def _report(
        self,
        factor: int,
        outcomes_alone: Sequence[load.Result],
        outcomes: Sequence[load.Result],
        baseline: Sequence[load.Result],
    ) -> None:
        def outcomes_of(items: Sequence[load.Result], name: str) -> list[load.Result]:
            return [outcome for outcome in items if self._organisation_of(outcome) == name]

        def worst_completed(items: Sequence[load.Result]) -> float:
            return min(testbed.fraction(outcomes_of(items, name), testbed.is_completed) or 0.0 for name in self._small)

        def worst_p99(items: Sequence[load.Result]) -> float:
            return max(
                testbed.latency_percentile(outcomes_of(items, name), 99.0)
                / testbed.latency_percentile(outcomes_of(outcomes_alone, name), 99.0)
                for name in self._small
            )

        add = self._sheet.add
        add(
            f"completed_{factor}x",
            worst_completed(outcomes),
            "share",
            bound=">= 0.95",
            baseline=worst_completed(baseline),
        )
        add(f"p99_ratio_{factor}x", worst_p99(outcomes), "ratio", bound="<= 3", baseline=worst_p99(baseline))
        p99 = max(testbed.latency_percentile(outcomes_of(outcomes, name), 99.0) for name in self._small)
        add(
            f"p99_{factor}x",
            p99,
            "s",
            baseline=max(testbed.latency_percentile(outcomes_of(outcomes_alone, name), 99.0) for name in self._small),
        )
        add(f"completed_alone_{factor}x", worst_completed(outcomes_alone), "share")
        overloading_outcomes = outcomes_of(outcomes, self._overloading)
        add(f"noisy_completed_{factor}x", sum(map(testbed.is_completed, overloading_outcomes)) / self._seconds, "1/s")


@figures.experiment("worst-served", "Worst-served organisation", METHOD)
def run(options: figures.Options, sheet: figures.ResultSheet) -> None:
    """Measure how small organisations are served while another one far exceeds its rate limit."""
    testbed.run(options, _Run(options, sheet).run)
