"""Experiment: refusals of requests that are within their organisation's rate limit."""

import asyncio
from collections.abc import Sequence

import aiohttp

from tools import load
from tools.experiments import arrivals, figures, testbed

SECONDS = 8.0
FAILURE_DELAY_S = 1.0
"""Delay of a failure from the start of its phase, so that requests are in progress."""

METHOD = """Each organisation sends 90% of its rate in bursts of half its burst, 90% reads. Writes carry no
idempotency key, so that the write locks of the stand-ins do not become the bottleneck. Callers are spread unevenly:
each VM has 3/4 of the callers of the VM before it. One central bucket admits all arrivals. Phases of 8 s, or
`--seconds`, each with new bursts: steady; the store down (the platform's process is frozen); a VM killed (the second
one; its callers use other VMs once the balancer's health check fails); and a failure domain cut, by freezing all VMs
of the first domain. The callers of that domain are isolated with it and send nothing from then on; those of the
other domains keep their VMs. The bounded figure counts every request that did not complete, refused or in doubt;
`_refused` counts only answers "not run" and `_over_rate` only those of admission. A request whose connection was not
accepted is sent again by the balancer. In a phase with a failure the share is taken from the failure to the phase's
end, which is stricter than the whole minute. Baseline: a static slice of rate and burst for each VM (those that run,
where one was killed), computed on the same arrivals."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.ResultSheet):
        self._options = options
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet

    async def run(self, env: testbed.Testbed) -> None:
        self._testbed = env
        cluster = env.cluster
        vm_names = list(cluster.vms)
        self._caller_weights = arrivals.uneven_weights(vm_names)
        selector = env.selector(self._caller_weights)
        killed_vm = vm_names[1]
        domain = cluster.domain_of(vm_names[0])
        isolated_vms = [name for name in vm_names if cluster.domain_of(name) == domain]
        async with env.http_client(selector) as http:
            await self._run_phase(http, selector, "steady", [], vm_names, bound="<= 0.001")
            cluster.platform.freeze()
            await self._run_phase(http, selector, "store_down", [], vm_names, bound="<= 0.01")
            cluster.platform.resume()
            failures = [cluster.vms[killed_vm].kill]
            await self._run_phase(
                http,
                selector,
                "vm_killed",
                failures,
                [vm for vm in vm_names if vm != killed_vm],
                bound="<= 0.01",
            )
            await asyncio.to_thread(cluster.start_vm, killed_vm)
            await asyncio.sleep(testbed.WARM_UP_S)
            failures = [cluster.vms[name].freeze for name in isolated_vms]
            await self._run_phase(
                http, selector, "domain_cut", failures, vm_names, bound="<= 0.01", isolated_vms=isolated_vms
            )
            for name in isolated_vms:
                cluster.vms[name].resume()

    async def _run_phase(
        self,
        http: aiohttp.ClientSession,
        selector: testbed.VmSelector,
        name: str,
        failures: Sequence,
        slice_vms: Sequence[str],
        *,
        bound: str,
        isolated_vms: Sequence[str] = (),
    ) -> None:
        limits = self._testbed.limits
        arrival_times = {
            organisation: arrivals.burst_arrivals(
                *limits[organisation], self._seconds, f"{self._options.seed} {name} {organisation}"
            )
            for organisation in limits
        }
        schedule = arrivals.assign_vms(arrival_times, self._caller_weights, self._options.seed)
        schedule = [arrival for arrival in schedule if arrival.vm not in isolated_vms or arrival.at < FAILURE_DELAY_S]
        sends = [
            (arrival.at, lambda a=arrival, i=number: self._send(http, selector, a, i))
            for number, arrival in enumerate(schedule)
        ]
        injection = asyncio.ensure_future(self._inject_failures(failures))
        outcomes = await load.run_open_loop(sends)
        await injection
        testbed.print_failures(name, outcomes)
        measured_from_s = FAILURE_DELAY_S if failures else 0.0
        measured = [
            (arrival, outcome)
            for arrival, outcome in zip(schedule, outcomes, strict=True)
            if arrival.at >= measured_from_s
        ]
        self._report(name, measured, schedule, slice_vms, measured_from_s, bound)

    def _report(
        self,
        name: str,
        measured: list[tuple[arrivals.Arrival, load.Result]],
        schedule: list[arrivals.Arrival],
        slice_vms: Sequence[str],
        measured_from_s: float,
        bound: str,
    ) -> None:
        rerouted = [
            arrival if arrival.vm in slice_vms else arrivals.Arrival(arrival.at, arrival.organisation, slice_vms[0])
            for arrival in schedule
        ]
        static_admitted = arrivals.admit_by_static_slices(rerouted, self._testbed.limits, slice_vms)
        baseline = arrivals.refused_share(
            [
                admitted
                for admitted, arrival in zip(static_admitted, rerouted, strict=True)
                if arrival.at >= measured_from_s
            ]
        )
        outcomes = [outcome for _, outcome in measured]
        failed = testbed.fraction(outcomes, lambda outcome: not testbed.is_completed(outcome))
        self._sheet.add(name, failed, "share", bound=bound, baseline=baseline)
        self._sheet.add(f"{name}_refused", testbed.fraction(outcomes, is_refused), "share", baseline=baseline)
        over_rate = testbed.fraction(outcomes, lambda outcome: outcome.reason == "over_rate")
        self._sheet.add(f"{name}_over_rate", over_rate, "share", baseline=baseline)
        failed_shares = [
            testbed.fraction(
                [outcome for arrival, outcome in measured if arrival.organisation == organisation],
                lambda outcome: not testbed.is_completed(outcome),
            )
            for organisation in self._testbed.limits
        ]
        self._sheet.add(
            f"{name}_worst_organisation", max(failed_share or 0.0 for failed_share in failed_shares), "share"
        )
        self._sheet.add(f"{name}_p99", testbed.latency_percentile(outcomes, 99.0), "s")

    async def _inject_failures(self, failures: Sequence) -> None:
        await asyncio.sleep(FAILURE_DELAY_S)
        for inject in failures:
            inject()

    async def _send(
        self, http: aiohttp.ClientSession, selector: testbed.VmSelector, arrival: arrivals.Arrival, number: int
    ) -> load.Result:
        session = load.Session(http, lambda: selector.url_for(arrival.vm), self._testbed.key(arrival.organisation))
        only = "write" if number % 10 == 0 else "read"
        operation = self._testbed.workload.next_operation(f"{arrival.organisation}-{number}", only=only)
        operation.idempotency_key = None
        return await testbed.send_with_connect_retry(session, operation)


def is_refused(outcome: load.Result) -> bool:
    """Return whether a VM responded that the request was not run."""
    return outcome.verdict == load.NOT_RUN and outcome.reason != "no_connection"


@figures.experiment("rate-refusals", "In-rate refusals", METHOD)
def run(options: figures.Options, sheet: figures.ResultSheet) -> None:
    """Measure refusals of requests within the rate limit, in steady state and during failures."""
    testbed.run(options, _Run(options, sheet).run)
