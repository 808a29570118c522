"""Loses commits of a region that is cut off while a new replica starts there."""

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
PRIMARY, REPLICAS, NEW = "i-3fa90c11", ("i-5b71c0aa", "i-77e90b12"), "i-90c2d4e6"
PLACES = {PRIMARY: "bilbao-a", REPLICAS[0]: "oviedo-a", REPLICAS[1]: "coruna-a"}
INSIDE, OUTSIDE = "front-bilbao-1", "front-oviedo-1"
QUIET_S = 21.0
"""Time after the start after which the program takes its knowledge of instances that left for complete."""
CUT_S, JOINS_AFTER_S, WATCHED_S = 6.0, 0.6, 9.0
GEO_DELAY_S = 0.008
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


async def write_all(
    deployment: bed.Bed, name: str, caller_name: str, first: int, stop: asyncio.Event, record: bed.Record
) -> None:
    """Write one item after the other through a machine; open a new session where the last one has ended."""
    number = first
    while not stop.is_set():
        caller = bed.Caller(caller_name, record)
        if await caller.open(deployment.daemons[name].front, DATABASE, KEY):
            while not stop.is_set() and caller.state == "I":
                number += 1
                if not await write(caller, number):
                    await asyncio.sleep(0.2)
                    break
                await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.1)


async def run(folder: pathlib.Path, record: bed.Record) -> int:
    """Run the case; return the exit code."""
    deployment = bed.Bed(MACHINES, ZONES, PLACES, CONFIGURATION, folder, max_connections=54, promote_s=1.0)
    service = deployment.service
    service.on_command = lambda instance, command, term: record.write("instance", f"{instance.id} {command} {term}")
    for name, daemon in deployment.daemons.items():
        deployment.add_link(name, bed.STORE)
        for other in deployment.daemons:
            if other != name:
                deployment.add_link(name, other, GEO_DELAY_S)
        for instance, zone in PLACES.items():
            deployment.add_link(name, instance, 0.0 if zone == daemon.machine.zone else GEO_DELAY_S)
    stop = asyncio.Event()
    try:
        await deployment.start()
        tasks = [
            asyncio.create_task(write_all(deployment, INSIDE, "caller-inside", 0, stop, record)),
            asyncio.create_task(write_all(deployment, OUTSIDE, "caller-outside", 10_000, stop, record)),
        ]
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            for replica in REPLICAS:
                service.cut(PRIMARY, replica)
                service.cut(NEW, replica)
            deployment.silent |= {PRIMARY, NEW}
            crossing = [link for ends, link in deployment.links.items() if crosses(*ends)]
            for link in crossing:
                link.held = True
            record.write("script", f"{ZONES[PLACES[PRIMARY]]} is cut off")
        await asyncio.sleep(JOINS_AFTER_S)
        deployment.places[NEW] = PLACES[PRIMARY]
        await service.join(NEW)
        deployment.report()
        record.write("script", f"{NEW} has started beside the primary")
        await asyncio.sleep(CUT_S - JOINS_AFTER_S)
        if TROUBLE:
            service.cut_links.clear()
            deployment.silent.clear()
            for link in crossing:
                link.held = False
            record.write("script", f"{ZONES[PLACES[PRIMARY]]} is no longer cut off")
        await asyncio.sleep(WATCHED_S - CUT_S)
        stop.set()
        await asyncio.wait(tasks, timeout=8.0)
    finally:
        await deployment.stop()
    return judge(deployment, record)


def crosses(machine: str, target: str) -> bool:
    """Return whether a link leads into the region that is cut off, or out of it; the store is outside."""
    inside = {INSIDE, PRIMARY}
    return (machine in inside) != (target in inside)


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
