"""Experiment: availability and latency while a failure domain is drained and returned to service."""

import asyncio
import random

import aiohttp

from tools import load
from tools.experiments import arrivals, figures, testbed

SECONDS = 8.0
RATE = 100.0
SESSIONS = 40

METHOD = """Organisations send 100 requests a second in total, in proportion to their rates, from sessions that use
any VM that passed its last health check, every 0.5 s, as the balancer does. Three phases of 8 s, or `--seconds`, run
without a pause: all domains in service; the first domain drained with the operators' command; the same domain
returned. A request is sent again only if its connection was not accepted. A request counts as cut if its verdict is
"may have run". The p99 of the phases "leaving" and "returning" is compared with that of the first phase, the
baseline."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.ResultSheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._random = random.Random(options.seed)
        self._seed = options.seed

    async def run(self, env: testbed.Testbed) -> None:
        selector = env.selector()
        domain = next(iter(env.cluster.deployment.vms))
        async with env.http_client(selector) as http:
            domain_changes = asyncio.ensure_future(self._drain_and_return(env, domain))
            outcomes = await load.run_open_loop(self._schedule_sends(env, http, selector))
            await domain_changes
        start = min(outcome.at for outcome in outcomes)
        phases: list[list[load.Result]] = [[], [], []]
        for outcome in outcomes:
            phases[min(2, int((outcome.at - start) / self._seconds))].append(outcome)
        self._report(outcomes, phases)

    def _schedule_sends(self, env: testbed.Testbed, http: aiohttp.ClientSession, selector: testbed.VmSelector) -> list:
        sessions = env.sessions(http, selector.url, list(env.limits), SESSIONS)
        weights = [env.limits[name.rpartition("-")[0]][0] for name in sessions]
        scheduled, requests = [], []
        for at in load.poisson_arrivals(RATE, 3 * self._seconds, self._seed):
            name = self._random.choices(list(sessions), weights)[0]
            requests.append(arrivals.Arrival(at, name.rpartition("-")[0]))
            operation = env.workload.next_operation(name)
            scheduled.append((at, lambda s=sessions[name], o=operation: testbed.send_with_connect_retry(s, o)))
        admitted = arrivals.admit_centrally(requests, env.limits)
        return [send for send, is_admitted in zip(scheduled, admitted, strict=True) if is_admitted]

    async def _drain_and_return(self, env: testbed.Testbed, domain: str) -> None:
        for command in ("drain", "return"):
            await asyncio.sleep(self._seconds)
            await asyncio.to_thread(env.cluster.operate, f"{command} domain {domain}")

    def _report(self, outcomes: list[load.Result], phases: list[list[load.Result]]) -> None:
        add = self._sheet.add
        add("cut", float(sum(outcome.verdict == load.MAY_HAVE_RUN for outcome in outcomes)), "requests", bound="<= 0")
        baseline_completed = testbed.fraction(phases[0], testbed.is_completed)
        add(
            "completed",
            testbed.fraction(outcomes, testbed.is_completed),
            "share",
            bound=">= 0.999",
            baseline=baseline_completed,
        )
        baseline_p99 = testbed.latency_percentile(phases[0], 99.0)
        for name, phase in (("leaving", phases[1]), ("returning", phases[2])):
            p99 = testbed.latency_percentile(phase, 99.0)
            add(f"p99_{name}", p99, "s", baseline=baseline_p99)
            add(f"p99_ratio_{name}", p99 / baseline_p99, "ratio", bound="<= 3")


@figures.experiment("domain-return", "Domain leaves and returns", METHOD)
def run(options: figures.Options, sheet: figures.ResultSheet) -> None:
    """Drain a domain under load and return it to service."""
    testbed.run(options, _Run(options, sheet).run)
