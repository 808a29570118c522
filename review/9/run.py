"""Runs transactions through a machine that holds the primary's connections, while connections of machines are reset."""

import asyncio
import contextlib
import os
import pathlib
import sys

from review.common_2 import bed

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT, KEY, DATABASE = "combers", "key-of-combers-51d0", "dyeing"
ZONES = {"larisa": "thessaly", "naousa": "macedonia", "edessa": "macedonia", "metsovo": "epirus"}
MACHINES = [
    bed.Machine("front-larisa-1", "127.0.0.11", "larisa"),
    bed.Machine("front-naousa-1", "127.0.0.12", "naousa"),
    bed.Machine("front-edessa-1", "127.0.0.13", "edessa"),
    bed.Machine("front-metsovo-1", "127.0.0.14", "metsovo"),
]
PLACES = {"i-8ff34739": "larisa", "i-5b71c0aa": "naousa", "i-77e90b12": "metsovo"}
PRIMARY = "i-8ff34739"
HOLDER, ENTRY = "front-naousa-1", "front-edessa-1"
ZONE_DELAY_S, GEO_DELAY_S = 0.0009, 0.012
RESETS, RESET_PAUSE_S = 6, 7.0
SESSIONS = 6
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD")
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "dyeing-orders",
            "host": DATABASE,
            "routeType": "primary",
            "timeoutMs": 4000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "fair-ledger-1",
            "anonymous": False,
            "allowedRegions": [],
            "maxStalenessMs": 0,
        }
    ],
    "services": [{"name": "fair-ledger-1", "maxConns": 16, "syncReplicas": 1}],
    "limits": {"txIdleMs": 3000},
    "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 400, "burst": 800, "allowedRegions": []}],
}


class Client:
    """Client that runs transactions on one session and notes the final answer to each attempt.

    Attributes:
        refused: For each attempt that got a promise that nothing is kept, the ids of its writes, and the answer.
    """

    def __init__(self, number: int, record: bed.Record):
        self._number, self._record, self._count = number, record, 0
        self.refused: list[tuple[list[str], str]] = []
        self.committed = 0

    async def run(self, address: tuple[str, int], stop: asyncio.Event) -> None:
        """Run transactions until the event is set; open a new session after an end of the connection."""
        while not stop.is_set():
            caller = bed.Caller(f"client-{self._number}", self._record)
            with contextlib.suppress(OSError):
                if await caller.open(address, DATABASE, KEY):
                    while not stop.is_set() and await self._run_transaction(caller):
                        pass
            caller.close()
            await asyncio.sleep(0.1)

    async def _run_transaction(self, caller: bed.Caller) -> bool:
        """Run one transaction after a short rest; return whether the session goes on."""
        await asyncio.sleep(0.02)
        self._count += 1
        attempt = f"{self._number:02x}{self._count:04x}"
        texts = ["BEGIN", f"WRITE fleece-{self._number} clip"]
        for step in range(4):
            texts += [
                f"SET step {attempt}{step}",
                f"PREPARE class{step} WRITE q{attempt}{step}",
                f"EXEC class{step} fleece-{self._number}-{step} grade{step}",
            ]
        texts.append("COMMIT")
        writes = []
        for index, text in enumerate(texts):
            request = f"{attempt}{index:02x}"
            if text.startswith(("WRITE", "EXEC")):
                writes.append(request)
            reply = await caller.query(request, text)
            failure = next((line for line in reply if line.startswith("ERR")), None)
            if not reply or not reply[-1].startswith("READY"):
                return False
            if failure is not None:
                if failure.split(" ")[1] in PROMISES:
                    self.refused.append((writes, failure))
                if caller.state != "I":
                    await caller.query(f"{attempt}ff", "ROLLBACK")
                return caller.state == "I"
        self.committed += 1
        return True


async def run(folder: pathlib.Path, record: bed.Record) -> int:
    """Run the case; return the exit code."""
    deployment = bed.Bed(MACHINES, ZONES, PLACES, CONFIGURATION, folder, max_connections=16)
    # As on the users' sheet: 12 ms between geos, 0.9 ms between zones of one geo.
    deployment.add_link(HOLDER, PRIMARY, GEO_DELAY_S)
    deployment.add_link(ENTRY, PRIMARY, GEO_DELAY_S)
    deployment.add_link(ENTRY, HOLDER, ZONE_DELAY_S)
    deployment.add_link(HOLDER, ENTRY, ZONE_DELAY_S)
    clients = [Client(number, record) for number in range(SESSIONS)]
    stop = asyncio.Event()
    try:
        await deployment.start()
        entry = deployment.daemons[ENTRY]
        tasks = [asyncio.create_task(client.run(entry.front, stop)) for client in clients]
        await asyncio.sleep(4.0)
        used = deployment.links[HOLDER, PRIMARY].opened
        record.write("script", f"connections of {HOLDER} to the primary so far: {used}")
        if not used or not sum(client.committed for client in clients):
            record.write("script", "no transaction ran through the holder")
            return 2
        for _ in range(RESETS):
            if TROUBLE:
                count = deployment.links[ENTRY, HOLDER].reset() + deployment.links[HOLDER, ENTRY].reset()
                record.write("script", f"reset {count} connections between {ENTRY} and {HOLDER}")
            await asyncio.sleep(RESET_PAUSE_S)
        stop.set()
        await asyncio.wait(tasks, timeout=8.0)
    finally:
        for name, daemon in deployment.daemons.items():
            if daemon.process is not None and daemon.process.returncode is not None:
                record.write("script", f"{name} ended by itself with {daemon.process.returncode}")
        await deployment.stop()
    return judge(deployment, clients, record)


def judge(deployment: bed.Bed, clients: list[Client], record: bed.Record) -> int:
    """Compare the answers with the log of the primary."""
    for executed in deployment.service.runs:
        record.write("instance", f"{executed.instance} ran {executed.request} {executed.text}")
    committed = {}
    for commit in deployment.service.log:
        ids = [request for request, _, _ in commit.writes]
        record.write("log", f"{commit.term}.{commit.number}: {' '.join(ids)}")
        committed |= dict.fromkeys(ids, f"{commit.term}.{commit.number}")
    broken = 0
    for client in clients:
        for writes, answer in client.refused:
            for request in writes:
                if request in committed:
                    broken += 1
                    record.write("REFUSED", f"{request} is committed as {committed[request]}, answer was {answer!r}")
    total = sum(client.committed for client in clients)
    refused = sum(len(client.refused) for client in clients)
    record.write("script", f"{total} transactions committed, {refused} refused, {broken} writes kept though refused")
    print(f"{total} transactions committed, {refused} refused, {broken} writes kept although refused")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(bed.run_case(FOLDER, run))
