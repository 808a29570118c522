"""Experiment: requests inside their organisation's rate that are refused."""

import asyncio
from collections.abc import Sequence

import aiohttp

from tools import load
from tools.experiments import arrivals, bed, figures

SECONDS = 8.0
FAILURE_S = 1.0
"""A failure starts this long after its phase, so that requests are under way."""

METHOD = """Each organisation sends 90% of its rate in bursts of half its burst, 90% reads. Writes carry no
idempotency key, so that the write locks of the stand-ins do not become the limit. Callers are spread unevenly: each
VM has 3/4 of the callers of the VM before it. One central bucket admits all arrivals. Phases of 8 s, or `--seconds`,
each with new bursts: steady; the store down (the platform's process is frozen); a VM killed (the second one; its
callers move on as the balancer's health checks tell); and a failure domain cut, by freezing all VMs of the first
domain. The callers of that domain are on the other side of the cut and send nothing from then on; those of the other
domains stay where they are. The bounded figure counts every request that did not complete, refused or in doubt;
`_refused` counts only answers "not run" and `_over_rate` only those of admission. A request that found no VM is sent
again by the balancer. In a phase with a failure the share is taken from the failure to the phase's end, which is
stricter than the whole minute. Baseline: a static slice of rate and burst for each VM (those that run, where one was
killed), computed on the same arrivals."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.Sheet):
        self._options = options
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet

    async def run(self, started: bed.Bed) -> None:
        self._bed = started
        running = started.cluster
        names = list(running.vms)
        self._weights = arrivals.uneven_weights(names)
        chooser = started.chooser(self._weights)
        killed = names[1]
        domain = running.domain_of(names[0])
        cut = [name for name in names if running.domain_of(name) == domain]
        async with started.callers(chooser) as http:
            await self._phase(http, chooser, "steady", [], names, bound="<= 0.001")
            running.platform.freeze()
            await self._phase(http, chooser, "store_down", [], names, bound="<= 0.01")
            running.platform.resume()
            failure = [running.vms[killed].kill]
            await self._phase(http, chooser, "vm_killed", failure, [n for n in names if n != killed], bound="<= 0.01")
            await asyncio.to_thread(running.start_vm, killed)
            await asyncio.sleep(bed.WARM_UP_S)
            failure = [running.vms[name].freeze for name in cut]
            await self._phase(http, chooser, "domain_cut", failure, names, bound="<= 0.01", gone=cut)
            for name in cut:
                running.vms[name].resume()

    async def _phase(
        self,
        http: aiohttp.ClientSession,
        chooser: bed.Chooser,
        name: str,
        failures: Sequence,
        slices: Sequence[str],
        *,
        bound: str,
        gone: Sequence[str] = (),
    ) -> None:
        limits = self._bed.limits
        times = {
            each: arrivals.bursts(*limits[each], self._seconds, f"{self._options.seed} {name} {each}")
            for each in limits
        }
        made = arrivals.spread(times, self._weights, self._options.seed)
        made = [each for each in made if each.vm not in gone or each.at < FAILURE_S]
        sends = [
            (each.at, lambda a=each, n=number: self._send(http, chooser, a, n)) for number, each in enumerate(made)
        ]
        causing = asyncio.ensure_future(self._cause(failures))
        told = await load.run_open_loop(sends)
        await causing
        bed.show_failures(name, told)
        since = FAILURE_S if failures else 0.0
        kept = [(arrival, item) for arrival, item in zip(made, told, strict=True) if arrival.at >= since]
        self._report(name, kept, made, slices, since, bound)

    def _report(
        self,
        name: str,
        kept: list[tuple[arrivals.Arrival, load.Told]],
        made: list[arrivals.Arrival],
        slices: Sequence[str],
        since: float,
        bound: str,
    ) -> None:
        moved = [
            each if each.vm in slices else arrivals.Arrival(each.at, each.organisation, slices[0]) for each in made
        ]
        static = arrivals.admit_by_static_slices(moved, self._bed.limits, slices)
        baseline = arrivals.refused_share([ok for ok, each in zip(static, moved, strict=True) if each.at >= since])
        told = [item for _, item in kept]
        failed = bed.share(told, lambda item: not bed.is_completed(item))
        self._sheet.add(name, failed, "share", bound=bound, baseline=baseline)
        self._sheet.add(f"{name}_refused", bed.share(told, is_refused), "share", baseline=baseline)
        over_rate = bed.share(told, lambda item: item.reason == "over_rate")
        self._sheet.add(f"{name}_over_rate", over_rate, "share", baseline=baseline)
        shares = [
            bed.share(
                [item for each, item in kept if each.organisation == organisation],
                lambda item: not bed.is_completed(item),
            )
            for organisation in self._bed.limits
        ]
        self._sheet.add(f"{name}_worst_organisation", max(each or 0.0 for each in shares), "share")
        self._sheet.add(f"{name}_p99", bed.p(told, 99.0), "s")

    async def _cause(self, failures: Sequence) -> None:
        await asyncio.sleep(FAILURE_S)
        for cause in failures:
            cause()

    async def _send(
        self, http: aiohttp.ClientSession, chooser: bed.Chooser, arrival: arrivals.Arrival, number: int
    ) -> load.Told:
        session = load.Session(http, lambda: chooser.url_of(arrival.vm), self._bed.key(arrival.organisation))
        only = "write" if number % 10 == 0 else "read"
        operation = self._bed.work.draw(f"{arrival.organisation}-{number}", only=only)
        operation.idempotency_key = None
        return await bed.send_elsewhere(session, operation)


def is_refused(told: load.Told) -> bool:
    """Tell whether a VM answered that the request was not run."""
    return told.verdict == load.NOT_RUN and told.reason != "no_connection"


@figures.experiment("rate-refusals", "In-rate refusals", METHOD)
def run(options: figures.Options, sheet: figures.Sheet) -> None:
    """Measure refusals inside the rate, in steady state and under failures."""
    bed.run(options, _Run(options, sheet).run)
