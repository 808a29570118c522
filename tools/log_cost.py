"""Measure what logs cost the session daemon: processor time and bytes a statement, with lines and without, in one run.

Both daemons run beside each other as processes, against one set of stand-ins, and get the same statements in turn.
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
"""Statements of one session in one round."""
START_S = 1.5


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_statements(port: int, number: int) -> None:
    """Run the statements of one session: one write in five."""
    caller = session_bed.Caller(*await asyncio.open_connection("127.0.0.1", port))
    await caller.request(f"START own-db {session_bed.KEY}")
    for step in range(STATEMENTS):
        await caller.query(f"WRITE item{number} v{step}" if step % 5 == 0 else f"READ item{number}")
    caller.close()


async def measure(folder: pathlib.Path) -> dict[str, dict[str, float]]:
    """Return processor milliseconds and log bytes a statement, by level."""
    store = object_store.ObjectStore()
    service = line_instance.Service(session_bed.SERVICE, ["i-1", "i-2", "i-3"], max_connections=100)
    await store.start()
    await service.start()
    limits = [{"name": session_bed.SERVICE, "maxConns": 100}]
    organisation = {"name": session_bed.ORGANISATION, "apiKeys": [session_bed.KEY], "ratePerS": 1e5, "burst": 1e5}
    store.put("config", "main", session_bed.configuration(services=limits, tenants=[organisation]))
    for name, instance in service.instances.items():
        entry = {"service": session_bed.SERVICE, "addr": f"127.0.0.1:{instance.port}", "zone": f"z{name[-1]}"}
        entry |= {"state": "ready", "dbRole": "primary" if instance.is_primary else "replica", "born": 1}
        store.put("servers", name, entry)
    vms = {level: users_demo.Vm(level.lower(), "z1", store.port, folder) for level in LEVELS}
    try:
        for level, vm in vms.items():
            vm.start({program.LOG_LEVEL_VARIABLE: level})
        await asyncio.sleep(START_S)
        before = {level: processor_s(vm.process.pid) for level, vm in vms.items()}
        for _ in range(ROUNDS):
            for vm in vms.values():
                await asyncio.gather(*(run_statements(vm.port, number) for number in range(SESSIONS)))
        await asyncio.sleep(1.0)
        count = ROUNDS * SESSIONS * STATEMENTS
        return {
            level: {
                "processor_ms": round((processor_s(vm.process.pid) - before[level]) * 1000 / count, 3),
                "log_bytes": round((folder / f"{level.lower()}.log").stat().st_size / count, 1),
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
    """Print the result as one JSON line."""
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(measure(pathlib.Path(folder)))))


if __name__ == "__main__":
    main()
