"""Experiment: service while a failure domain leaves and returns."""

import asyncio
import random

import aiohttp

from tools import load
from tools.experiments import arrivals, bed, figures

SECONDS = 8.0
RATE = 100.0
SESSIONS = 40

METHOD = """Organisations send at shares of their rates, 100 requests a second in all, from roaming sessions that follow
health checks every 0.5 s as the balancer does. Three phases of 8 s, or `--seconds`, run without a pause: all domains in
service; the first domain drained with the operators' command; the same domain returned. A request is sent again only
if no VM accepted its connection. A request is cut if its verdict is "may have run". The p99 of the phases "leaving" and
"returning" is compared with that of the first phase, the baseline."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.Sheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._random = random.Random(options.seed)
        self._seed = options.seed

    async def run(self, started: bed.Bed) -> None:
        chooser = started.chooser()
        domain = next(iter(started.cluster.deployment.vms))
        async with started.callers(chooser) as http:
            operators = asyncio.ensure_future(self._operate(started, domain))
            told = await load.run_open_loop(self._sends(started, http, chooser))
            await operators
        start = min(item.at for item in told)
        phases: list[list[load.Told]] = [[], [], []]
        for item in told:
            phases[min(2, int((item.at - start) / self._seconds))].append(item)
        self._report(told, phases)

    def _sends(self, started: bed.Bed, http: aiohttp.ClientSession, chooser: bed.Chooser) -> list:
        sessions = started.sessions(http, chooser.url, list(started.limits), SESSIONS)
        weights = [started.limits[name.rpartition("-")[0]][0] for name in sessions]
        sends, requests = [], []
        for at in load.poisson_arrivals(RATE, 3 * self._seconds, self._seed):
            name = self._random.choices(list(sessions), weights)[0]
            requests.append(arrivals.Arrival(at, name.rpartition("-")[0]))
            operation = started.work.draw(name)
            sends.append((at, lambda s=sessions[name], o=operation: bed.send_elsewhere(s, o)))
        admitted = arrivals.admit_centrally(requests, started.limits)
        return [send for send, inside in zip(sends, admitted, strict=True) if inside]

    async def _operate(self, started: bed.Bed, domain: str) -> None:
        for command in ("drain", "return"):
            await asyncio.sleep(self._seconds)
            await asyncio.to_thread(started.cluster.operate, f"{command} domain {domain}")

    def _report(self, told: list[load.Told], phases: list[list[load.Told]]) -> None:
        add = self._sheet.add
        add("cut", float(sum(item.verdict == load.MAY_HAVE_RUN for item in told)), "requests", bound="<= 0")
        before = bed.share(phases[0], bed.is_completed)
        add("completed", bed.share(told, bed.is_completed), "share", bound=">= 0.999", baseline=before)
        alone = bed.p(phases[0], 99.0)
        for name, phase in (("leaving", phases[1]), ("returning", phases[2])):
            p99 = bed.p(phase, 99.0)
            add(f"p99_{name}", p99, "s", baseline=alone)
            add(f"p99_ratio_{name}", p99 / alone, "ratio", bound="<= 3")


@figures.experiment("domain-return", "Domain leaves and returns", METHOD)
def run(options: figures.Options, sheet: figures.Sheet) -> None:
    """Drain a domain under load and return it."""
    bed.run(options, _Run(options, sheet).run)
