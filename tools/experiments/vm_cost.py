"""Experiment: what a statement and an idle caller cost."""

import asyncio
import os
import pathlib
from collections.abc import Iterable

from tools import load
from tools.experiments import bed, direct, figures

SECONDS = 10.0
PAIRS_PER_S = 40.0
STATEMENTS_PER_S = 150.0
IDLE_CALLERS = 2700
HOLD_S = 3.0
"""Opening and holding together must stay below the VMs' idle timeout of 10 s."""
_TICKS = os.sysconf("SC_CLK_TCK")

METHOD = """Added latency: reads of one row set at one database, 40 a second each through one VM and directly at the
replica of that VM's domain, in alternation at the same gaps, on connections that are kept; the figure is the
difference of the two p50. Processor time: the sum of user and system time of all VMs from `/proc/PID/stat` while 150
reads a second arrive at one VM, minus that of the same VMs in an equal time without callers just before, divided by
the statements; `cpu_gross` does not subtract. Idle callers: 2,700 keep-alive connections to one VM, each after one
request for `/health`, are held for 3 s; `held` is the share still open and memory is the growth of the VM's resident
set for each."""


class _Run:
    def __init__(self, options: figures.Options, sheet: figures.Sheet):
        self._seconds = options.seconds or SECONDS
        self._sheet = sheet
        self._seed = options.seed

    async def run(self, started: bed.Bed) -> None:
        self._bed = started
        # The primary of the last database is in another domain than the first VM, so a replica is near.
        self._database = started.databases[-1]
        self._vm = next(iter(started.cluster.vms))
        chooser = started.chooser({self._vm: 1.0})
        async with started.callers(chooser) as http:
            session = load.Session(http, chooser.url, started.key(started.largest))
            await self._measure_latency(session)
            await self._measure_processor(session)
        await self._measure_idle()

    def _read(self) -> load.Operation:
        operation = self._bed.work.draw(f"{self._bed.largest}-{len(self._bed.databases) - 1}", only="read")
        operation.max_age_ms = None
        return operation

    async def _measure_latency(self, session: load.Session) -> None:
        domain = self._bed.cluster.domain_of(self._vm)
        url = self._bed.cluster.endpoints[f"{self._database}-{domain}"].url
        async with direct.Connections(url, self._bed.options.deployment.slots) as connections:
            sends, straight = [], []

            async def send_directly(operation: load.Operation) -> load.Told:
                straight.append(await connections.send(operation))
                return straight[-1]

            for at in load.poisson_arrivals(PAIRS_PER_S, self._seconds, self._seed):
                operation = self._read()
                sends.append((at, lambda o=operation: session.send(o)))
                sends.append((at + 0.5 / PAIRS_PER_S, lambda o=operation: send_directly(o)))
            sends.sort(key=lambda send: send[0])
            told = await load.run_open_loop(sends)
        known = {id(item) for item in straight}
        through = [item for item in told if id(item) not in known]
        bed.show_failures("latency", through)
        add = self._sheet.add
        add("added_p50", 1000 * (bed.p(through, 50.0) - bed.p(straight, 50.0)), "ms", bound="<= 2.5")
        for percent in (50.0, 99.0):
            baseline = 1000 * bed.p(straight, percent)
            add(f"p{percent:.0f}", 1000 * bed.p(through, percent), "ms", baseline=baseline)

    async def _measure_processor(self, session: load.Session) -> None:
        pids = [vm.popen.pid for vm in self._bed.cluster.vms.values()]
        before = processor_s(pids)
        await asyncio.sleep(self._seconds)
        idle = processor_s(pids) - before
        times = load.poisson_arrivals(STATEMENTS_PER_S, self._seconds, self._seed)
        sends = [(at, lambda o=operation: session.send(o)) for at, operation in ((at, self._read()) for at in times)]
        before = processor_s(pids)
        told = await load.run_open_loop(sends)
        used = processor_s(pids) - before
        count = max(1, sum(map(bed.is_completed, told)))
        bed.show_failures("processor time", told)
        self._sheet.add("cpu", 1000 * (used - idle) / count, "ms", bound="<= 2")
        self._sheet.add("cpu_gross", 1000 * used / count, "ms")
        self._sheet.add("cpu_idle_of_one_vm", idle / self._seconds / len(pids), "cores")

    async def _measure_idle(self) -> None:
        vm = self._bed.cluster.vms[self._vm]
        host, port = vm.addresses["http"].split(":")
        before = resident_bytes(vm.popen.pid)
        held = []
        try:
            for _ in range(IDLE_CALLERS // 300):
                held += await asyncio.gather(*(_connect(host, port) for _ in range(300)))
            await asyncio.sleep(HOLD_S)
            alive = sum(reader is not None and not reader.at_eof() for reader, _ in held)
            grown = resident_bytes(vm.popen.pid) - before
        finally:
            for _, writer in held:
                if writer is not None:
                    writer.close()
        self._sheet.add("idle_held", alive / IDLE_CALLERS, "share", bound=">= 1")
        self._sheet.add("idle_memory", grown / 1024 / max(1, alive), "KiB")


async def _connect(host: str, port: str) -> tuple[asyncio.StreamReader | None, asyncio.StreamWriter | None]:
    """Open a connection and ask for the health once."""
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /health HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await reader.readuntil(b"ready")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, None
    return reader, writer


def processor_s(pids: Iterable[int]) -> float:
    """Return the user and system time of processes in seconds."""
    total = 0
    for pid in pids:
        # The name in parentheses may hold spaces; user and system time are fields 14 and 15.
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / _TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@figures.experiment("vm-cost", "Cost of one VM", METHOD)
def run(options: figures.Options, sheet: figures.Sheet) -> None:
    """Measure what a statement and an idle caller cost."""
    bed.run(options, _Run(options, sheet).run)
