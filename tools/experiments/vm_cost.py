"""Experiment: latency and CPU cost of a statement, and memory of an idle connection, on one VM."""

import asyncio
import os
import pathlib
from collections.abc import Iterable

from tools import load
from tools.experiments import direct, figures, testbed

SECONDS = 10.0
READS_PER_S = 40.0
STATEMENTS_PER_S = 150.0
IDLE_CONNECTIONS = 2700
HOLD_TIME_S = 3.0
"""The time to open all connections plus this must stay below the VMs' idle timeout of 10 s."""
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

METHOD = """Added latency: reads of one row set at one database, 40 a second each through one VM and directly at the
replica of that VM's domain, in alternation at the same intervals, on persistent connections; the figure is the
difference of the two p50. CPU time: the sum of user and system time of all VMs from `/proc/PID/stat` while 150 reads
a second arrive at one VM, minus that of the same VMs in an equal time without callers just before, divided by the
statements; `cpu_gross` does not subtract. Idle callers: 2,700 keep-alive connections to one VM, each after one
request for `/health`, are held for 3 s; `held` is the share still open and memory is the growth of the VM's resident
set for each."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.ResultSheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._seed = options.seed

    async def run(self, env: testbed.Testbed) -> None:
        self._testbed = env
        # The primary of the last database is in another domain than the first VM, so the VM's domain has a replica.
        self._database = env.databases[-1]
        self._vm = next(iter(env.cluster.vms))
        selector = env.selector({self._vm: 1.0})
        async with env.http_client(selector) as http:
            session = load.Session(http, selector.url, env.key(env.largest))
            await self._measure_latency(session)
            await self._measure_cpu(session)
        await self._measure_idle_connections()

    def _read(self) -> load.Operation:
        operation = self._testbed.workload.next_operation(
            f"{self._testbed.largest}-{len(self._testbed.databases) - 1}", only="read"
        )
        operation.max_age_ms = None
        return operation

    async def _measure_latency(self, session: load.Session) -> None:
        domain = self._testbed.cluster.domain_of(self._vm)
        url = self._testbed.cluster.endpoints[f"{self._database}-{domain}"].url
        async with direct.ConnectionPool(url, self._testbed.options.deployment.slots) as connections:
            sends, direct_outcomes = [], []

            async def send_directly(operation: load.Operation) -> load.Result:
                direct_outcomes.append(await connections.send(operation))
                return direct_outcomes[-1]

            for at in load.poisson_arrivals(READS_PER_S, self._seconds, self._seed):
                operation = self._read()
                sends.append((at, lambda o=operation: session.send(o)))
                sends.append((at + 0.5 / READS_PER_S, lambda o=operation: send_directly(o)))
            sends.sort(key=lambda send: send[0])
            outcomes = await load.run_open_loop(sends)
        direct_ids = {id(outcome) for outcome in direct_outcomes}
        vm_outcomes = [outcome for outcome in outcomes if id(outcome) not in direct_ids]
        testbed.print_failures("latency", vm_outcomes)
        add = self._sheet.add
        add(
            "added_p50",
            1000 * (testbed.latency_percentile(vm_outcomes, 50.0) - testbed.latency_percentile(direct_outcomes, 50.0)),
            "ms",
            bound="<= 2.5",
        )
        for percent in (50.0, 99.0):
            baseline = 1000 * testbed.latency_percentile(direct_outcomes, percent)
            add(f"p{percent:.0f}", 1000 * testbed.latency_percentile(vm_outcomes, percent), "ms", baseline=baseline)

    async def _measure_cpu(self, session: load.Session) -> None:
        pids = [vm.popen.pid for vm in self._testbed.cluster.vms.values()]
        before = cpu_time_s(pids)
        await asyncio.sleep(self._seconds)
        cpu_idle = cpu_time_s(pids) - before
        times = load.poisson_arrivals(STATEMENTS_PER_S, self._seconds, self._seed)
        sends = [(at, lambda o=operation: session.send(o)) for at, operation in ((at, self._read()) for at in times)]
        before = cpu_time_s(pids)
        outcomes = await load.run_open_loop(sends)
        cpu_used = cpu_time_s(pids) - before
        completed = max(1, sum(map(testbed.is_completed, outcomes)))
        testbed.print_failures("CPU time", outcomes)
        self._sheet.add("cpu", 1000 * (cpu_used - cpu_idle) / completed, "ms", bound="<= 2")
        self._sheet.add("cpu_gross", 1000 * cpu_used / completed, "ms")
        self._sheet.add("cpu_idle_of_one_vm", cpu_idle / self._seconds / len(pids), "cores")

    async def _measure_idle_connections(self) -> None:
        vm = self._testbed.cluster.vms[self._vm]
        host, port = vm.addresses["http"].split(":")
        before = resident_bytes(vm.popen.pid)
        opened = []
        try:
            for _ in range(IDLE_CONNECTIONS // 300):
                opened += await asyncio.gather(*(_open_connection(host, port) for _ in range(300)))
            await asyncio.sleep(HOLD_TIME_S)
            still_open = sum(reader is not None and not reader.at_eof() for reader, _ in opened)
            memory_growth = resident_bytes(vm.popen.pid) - before
        finally:
            for _, writer in opened:
                if writer is not None:
                    writer.close()
        self._sheet.add("idle_held", still_open / IDLE_CONNECTIONS, "share", bound=">= 1")
        self._sheet.add("idle_memory", memory_growth / 1024 / max(1, still_open), "KiB")


async def _open_connection(host: str, port: str) -> tuple[asyncio.StreamReader | None, asyncio.StreamWriter | None]:
    """Open a keep-alive connection and send one health check; return None for both streams on failure."""
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /health HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await reader.readuntil(b"ready")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, None
    return reader, writer


def cpu_time_s(pids: Iterable[int]) -> float:
    """Return the total user and system CPU time of processes in seconds."""
    total_ticks = 0
    for pid in pids:
        # The process name in parentheses may contain spaces; user and system time are fields 14 and 15.
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total_ticks += int(fields[11]) + int(fields[12])
    return total_ticks / _CLOCK_TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process in bytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@figures.experiment("vm-cost", "Cost of one VM", METHOD)
def run(options: figures.Options, sheet: figures.ResultSheet) -> None:
    """Measure the cost of a statement and of an idle connection on one VM."""
    testbed.run(options, _Run(options, sheet).run)
