"""Experiment: organisations inside their rates while another one sends many times its rate."""

import asyncio
import contextlib
import itertools
from collections.abc import Sequence

import aiohttp

from tools import cluster, load
from tools.experiments import arrivals, bed, direct, figures

SECONDS = 8.0
FACTORS = (5, 20)
SMALL = 5
VICTIM_SHARE = 0.8
FLOOD_SHARE = 0.5
PAUSE_S = 2.5

METHOD = """The five organisations with the smallest rates send Poisson arrivals at 80% of their rates, filtered by
one central bucket each, so that every request is in its rate. The next larger organisation sends 5 times and 20 times
its rate. All are reads of one database. The stand-ins' statement time is raised so that the slots of the two
replicas, which serve the reads, are exactly enough for the small organisations and half of the other one's rate: its
admitted requests saturate them. "Alone" is the same load of the small organisations without the other one, in the
same run. The figures are of the small organisation with the smallest share or largest p99. Baseline, without the fair
queue: the same arrivals, filtered by a central bucket for each organisation, sent directly to the two replicas, which
serve them in the order of arrival with as many connections as slots and the same queue timeout of 2 s."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.Sheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._seed = options.seed
        self._slots = options.deployment.slots

    async def run(self, started: bed.Bed) -> None:
        self._bed = started
        ranked = sorted(started.limits, key=lambda name: started.limits[name][0])
        self._victims = ranked[:SMALL]
        self._noisy = next(
            name for name in ranked[SMALL:] if started.limits[name][0] > started.limits[ranked[SMALL - 1]][0]
        )
        chooser = started.chooser()
        async with started.callers(chooser) as http:
            await self._slow_down(http)
            alone = await self._through_vms(http, chooser, self._arrivals(0))
            for factor in FACTORS:
                made = self._arrivals(factor)
                await asyncio.sleep(PAUSE_S)
                told = await self._through_vms(http, chooser, made)
                await asyncio.sleep(PAUSE_S)
                self._report(factor, alone, told, await self._first_in_first_out(made))

    async def _slow_down(self, http: aiohttp.ClientSession) -> None:
        limits = self._bed.limits
        offered = VICTIM_SHARE * sum(limits[name][0] for name in self._victims)
        capacity = offered + FLOOD_SHARE * limits[self._noisy][0]
        statement_s = 2 * self._slots / capacity
        for process in self._bed.cluster.endpoints.values():
            async with http.post(f"{process.url}/control", json={"statement_s": statement_s}):
                pass

    def _arrivals(self, factor: int) -> list[arrivals.Arrival]:
        limits = self._bed.limits
        made = []
        for number, name in enumerate(self._victims):
            times = load.poisson_arrivals(VICTIM_SHARE * limits[name][0], self._seconds, self._seed + number)
            own = [arrivals.Arrival(at, name) for at in times]
            inside = arrivals.admit_centrally(own, limits)
            made += itertools.compress(own, inside)
        if factor:
            times = load.poisson_arrivals(factor * limits[self._noisy][0], self._seconds, self._seed + SMALL)
            made += [arrivals.Arrival(at, self._noisy) for at in times]
        return sorted(made)

    async def _through_vms(
        self, http: aiohttp.ClientSession, chooser: bed.Chooser, made: Sequence[arrivals.Arrival]
    ) -> list[load.Told]:
        def send(organisation: str):
            session = load.Session(http, chooser.url, self._bed.key(organisation))
            return bed.send_elsewhere(session, self._read(organisation))

        told = await load.run_open_loop([(each.at, lambda o=each.organisation: send(o)) for each in made])
        bed.show_failures("through VMs", [item for item in told if self._organisation(item) != self._noisy])
        return told

    async def _first_in_first_out(self, made: Sequence[arrivals.Arrival]) -> list[load.Told]:
        admitted = list(itertools.compress(made, arrivals.admit_centrally(made, self._bed.limits)))
        database = self._bed.databases[0]
        primary = await asyncio.to_thread(self._bed.cluster.primary, database)
        urls = [
            process.url
            for name, process in self._bed.cluster.endpoints.items()
            if name.startswith(f"{database}-") and name != primary
        ]
        if len(urls) != 2:
            raise cluster.ClusterError(f"{database} has {len(urls)} replicas")
        async with contextlib.AsyncExitStack() as stack:
            places = [await stack.enter_async_context(direct.Connections(url, self._slots)) for url in urls]
            turns = itertools.cycle(places)
            return await load.run_open_loop(
                [(each.at, lambda o=each.organisation: next(turns).send(self._read(o))) for each in admitted]
            )

    def _read(self, organisation: str) -> load.Operation:
        operation = self._bed.work.draw(f"{organisation}-0", only="read")
        operation.max_age_ms = None
        return operation

    def _organisation(self, told: load.Told) -> str:
        return told.operation.session.rpartition("-")[0]

    def _report(
        self, factor: int, alone: Sequence[load.Told], told: Sequence[load.Told], baseline: Sequence[load.Told]
    ) -> None:
        def of(items: Sequence[load.Told], name: str) -> list[load.Told]:
            return [item for item in items if self._organisation(item) == name]

        def worst_completed(items: Sequence[load.Told]) -> float:
            return min(bed.share(of(items, name), bed.is_completed) or 0.0 for name in self._victims)

        def worst_p99(items: Sequence[load.Told]) -> float:
            return max(bed.p(of(items, name), 99.0) / bed.p(of(alone, name), 99.0) for name in self._victims)

        add = self._sheet.add
        add(f"completed_{factor}x", worst_completed(told), "share", bound=">= 0.95", baseline=worst_completed(baseline))
        add(f"p99_ratio_{factor}x", worst_p99(told), "ratio", bound="<= 3", baseline=worst_p99(baseline))
        p99 = max(bed.p(of(told, name), 99.0) for name in self._victims)
        add(f"p99_{factor}x", p99, "s", baseline=max(bed.p(of(alone, name), 99.0) for name in self._victims))
        add(f"completed_alone_{factor}x", worst_completed(alone), "share")
        sent = of(told, self._noisy)
        add(f"noisy_completed_{factor}x", sum(map(bed.is_completed, sent)) / self._seconds, "1/s")


@figures.experiment("worst-served", "Worst-served organisation", METHOD)
def run(options: figures.Options, sheet: figures.Sheet) -> None:
    """Measure small organisations while another one sends many times its rate."""
    bed.run(options, _Run(options, sheet).run)
