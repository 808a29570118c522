"""Loses a commit of a quiet service: a draining replica is cut off from the store while the primary is replaced."""

import asyncio
import os
import pathlib
import sys

from review.common_2 import bed

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT, KEY, DATABASE = "workshops", "key-of-workshops-77a1", "repairs"
ZONES = {"bilbao-a": "bizkaia", "oviedo-a": "asturias", "coruna-a": "galicia"}
MACHINES = [
    bed.Machine("front-bilbao-1", "127.0.0.11", "bilbao-a"),
    bed.Machine("front-oviedo-1", "127.0.0.12", "oviedo-a"),
    bed.Machine("front-coruna-1", "127.0.0.13", "coruna-a"),
]
PRIMARY, LEAVING, STAYING, NEW = "i-3fa90c11", "i-5b71c0aa", "i-77e90b12", "i-90c2d4e6"
PLACES = {PRIMARY: "bilbao-a", LEAVING: "oviedo-a", STAYING: "coruna-a"}
BUSY_ENTRY, QUIET_ENTRY = "front-bilbao-1", "front-oviedo-1"
QUIET_S = 21.0
"""Time after the start after which the program takes its knowledge of instances that left for complete."""
CUT_S, SILENCE_S, AFTER_REMOVAL_S, DEAF_S = 5.0, 3.6, 0.5, 6.0
"""Time for which the draining replica is cut off from the store; three ping intervals, after which the platform removes
an entry; time from then to the last commit; and the time for which two replicas receive nothing."""
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "repair-orders",
            "host": DATABASE,
            "routeType": "primary",
            "timeoutMs": 2500,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "ledger-1",
            "anonymous": False,
            "allowedRegions": [],
            "maxStalenessMs": 0,
        }
    ],
    "services": [{"name": "ledger-1", "maxConns": 54, "syncReplicas": 1}],
    "limits": {"txIdleMs": 3000},
    "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 400, "burst": 800, "allowedRegions": []}],
}


async def write(caller: bed.Caller, number: int) -> bool:
    """Write one item; return whether the write was acknowledged."""
    reply = await caller.query(f"7b1e{number:04x}", f"WRITE order-{number} capsule")
    return bool(reply) and reply[0].startswith("DONE")


async def run(folder: pathlib.Path, record: bed.Record) -> int:
    """Run the case; return the exit code."""
    deployment = bed.Bed(MACHINES, ZONES, PLACES, CONFIGURATION, folder, max_connections=54, promote_s=1.0)
    service = deployment.service
    service.on_command = lambda instance, command, term: record.write("instance", f"{instance.id} {command} {term}")
    try:
        await deployment.start()
        busy, quiet = bed.Caller("caller-1", record), bed.Caller("caller-2", record)
        if not await busy.open(deployment.daemons[BUSY_ENTRY].front, DATABASE, KEY):
            return 2
        if not await quiet.open(deployment.daemons[QUIET_ENTRY].front, DATABASE, KEY):
            return 2
        acknowledged = await write(quiet, 1)
        for number in range(2, 7):
            acknowledged = acknowledged and await write(busy, number)
        await asyncio.sleep(QUIET_S)
        deployment.places[NEW] = PLACES[LEAVING]
        await service.join(NEW)
        deployment.states[LEAVING] = "draining"
        deployment.report()
        record.write("script", f"{NEW} has joined, {LEAVING} drains")
        if TROUBLE:
            await asyncio.sleep(0.5)
            deployment.silent.add(LEAVING)
            asyncio.get_running_loop().call_later(CUT_S, reach_store, deployment, record)
            await asyncio.sleep(SILENCE_S)
            deployment.store.delete("servers", LEAVING)
            record.write("script", f"{LEAVING} is cut off from the store, which has removed its entry; it still runs")
            service.cut(PRIMARY, STAYING)
            service.cut(PRIMARY, NEW)
            asyncio.get_running_loop().call_later(DEAF_S, service.cut_links.clear)
            record.write("script", f"{STAYING} and {NEW} receive nothing")
            await asyncio.sleep(AFTER_REMOVAL_S)
        if not (acknowledged and await write(quiet, 7)):
            return 2
        deployment.states[PRIMARY] = "draining"
        deployment.report()
        record.write("script", f"{PRIMARY} drains")
        await asyncio.sleep(DEAF_S - AFTER_REMOVAL_S)
    finally:
        await deployment.stop()
    return judge(deployment, record)


def reach_store(deployment: bed.Bed, record: bed.Record) -> None:
    """End the cut of the draining replica, which then writes its entry again."""
    deployment.silent.discard(LEAVING)
    deployment.report()
    record.write("script", f"{LEAVING} reaches the store again")


def judge(deployment: bed.Bed, record: bed.Record) -> int:
    """Look for acknowledged commits that the promoted instance lacked."""
    for service, instance, holder, fence in deployment.store.promotions:
        record.write("platform", f"promotion of {instance} of {service} by {holder} with {fence}")
    for lost in deployment.service.lost:
        ids = " ".join(request for request, _, _ in lost.commit.writes)
        number = f"{lost.commit.term}.{lost.commit.number}"
        record.write("LOST", f"acknowledged commit {number} ({ids}) was not in the log of {lost.promoted}")
    count = len(deployment.service.lost)
    record.write("script", f"{len(deployment.store.promotions)} promotions, {count} acknowledged commits lost")
    print(f"{len(deployment.store.promotions)} promotions, {count} acknowledged commits lost")
    return 1 if count else 0


if __name__ == "__main__":
    sys.exit(bed.run_case(FOLDER, run))
