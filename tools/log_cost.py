"""Measure the CPU time and log volume per statement that logging costs the session daemon.

Two daemons with different log levels run as separate processes against the same simulated store and instances, and
receive the same statements alternately.
"""

import asyncio
import json
import os
import pathlib
import tempfile

from currantlead.sessions import __main__ as program
from tests import session_bed
from tests.standins import line_instance, object_store
from tools import users_demo

LEVELS = ("INFO", "ERROR")
SESSIONS = 8
ROUNDS = 10
STATEMENTS = 50
"""Statements of each session in each round."""
STARTUP_DELAY_S = 1.5


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_statements(port: int, number: int) -> None:
    """Run the statements of one session, of which one in five is a write."""
    caller = session_bed.Caller(*await asyncio.open_connection("127.0.0.1", port))
    await caller.request(f"START own-db {session_bed.KEY}")
    for step in range(STATEMENTS):
        await caller.query(f"WRITE item{number} v{step}" if step % 5 == 0 else f"READ item{number}")
    caller.close()


async def measure(directory: pathlib.Path) -> dict[str, dict[str, float]]:
    """Return the CPU milliseconds and log bytes per statement, by log level."""
    store = object_store.ObjectStore()
    service = line_instance.Service(session_bed.SERVICE, ["i-1", "i-2", "i-3"], max_connections=100)
    await store.start()
    await service.start()
    services = [{"name": session_bed.SERVICE, "maxConns": 100}]
    organisation = {"name": session_bed.ORGANISATION, "apiKeys": [session_bed.KEY], "ratePerS": 1e5, "burst": 1e5}
    store.put("config", "main", session_bed.configuration(services=services, tenants=[organisation]))
    for name, instance in service.instances.items():
        entry = {"service": session_bed.SERVICE, "addr": f"127.0.0.1:{instance.port}", "zone": f"z{name[-1]}"}
        entry |= {"state": "ready", "dbRole": "primary" if instance.is_primary else "replica", "born": 1}
        store.put("servers", name, entry)
    vms = {level: users_demo.DaemonProcess(level.lower(), "z1", store.port, directory) for level in LEVELS}
    try:
        for level, vm in vms.items():
            vm.start({program.LOG_LEVEL_VARIABLE: level})
        await asyncio.sleep(STARTUP_DELAY_S)
        before = {level: cpu_seconds(vm.process.pid) for level, vm in vms.items()}
        for _ in range(ROUNDS):
            for vm in vms.values():
                await asyncio.gather(*(run_statements(vm.port, number) for number in range(SESSIONS)))
        await asyncio.sleep(1.0)
        count = ROUNDS * SESSIONS * STATEMENTS
        return {
            level: {
                "processor_ms": round((cpu_seconds(vm.process.pid) - before[level]) * 1000 / count, 3),
                "log_bytes": round((directory / f"{level.lower()}.log").stat().st_size / count, 1),
                "statements": count,
            }
            for level, vm in vms.items()
        }
    finally:
        for vm in vms.values():
            await vm.stop()
        await service.stop()
        await store.stop()


def main() -> None:
    """Print the measured values as one JSON line."""
    with tempfile.TemporaryDirectory() as directory:
        print(json.dumps(asyncio.run(measure(pathlib.Path(directory)))))


if __name__ == "__main__":
    main()
