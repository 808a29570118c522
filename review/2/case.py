"""A process is killed while a client rests inside a transaction; its next statements run inside another client's."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import bed, daemons

RECORD = pathlib.Path(__file__).with_name("record.txt")
ZONES = {"front-z1-1": "z1", "front-z1-2": "z1", "front-z2-1": "z2", "front-z3-1": "z3"}
ENTRY = "front-z2-1"
TENANT_OF = {"A": "bode960", "B1": "seka417", "B2": "vocu161", "B3": "bode960"}
REST_S = 2.6
"""The first client rests for less than ``txIdleMs``, which is 3 s."""


async def run_clients(deployment: bed.Bed, victim: str) -> bool:
    """Kill one process while a client rests inside a transaction; return whether that broke its connection."""
    entry, service, record = deployment.daemons[ENTRY], deployment.service, deployment.record
    first = deployment.client("A")
    await first.open(entry, "consign-db", bed.TENANTS[TENANT_OF["A"]])
    await first.query("BEGIN")
    request, _ = await first.query("WRITE capsule-1 reserved-by-A")
    rested_at = record.now()
    held = next(run for run in service.runs if run.request == request)
    broke = not daemons.troubled()
    if daemons.troubled():
        record.add(f"SIGKILL to {victim}")
        deployment.daemons[victim].signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
        broke = any(run.connection == held.connection and run.text == "CONNECTION CLOSED" for run in service.runs)
        await deployment.daemons[victim].wait_until_ready(2.0)
        record.add(f"{victim} is ready again")
    others = [deployment.client(name) for name in TENANT_OF if name != "A"]
    for other in others:
        await other.open(entry, "consign-db", bed.TENANTS[TENANT_OF[other.name]])
        await other.query("BEGIN")
        await other.query(f"WRITE order-1-{other.name} booked-by-{other.name}")
    await asyncio.sleep(max(0.0, rested_at + REST_S - record.now()))
    await first.query("WRITE capsule-2 reserved-by-A")
    await first.query("COMMIT")
    for other in others:
        await other.query(f"WRITE order-2-{other.name} booked-by-{other.name}")
        await other.query("COMMIT")
        other.close()
    first.close()
    return broke


def find_breaks(deployment: bed.Bed) -> list[str]:
    """Return the statements that ran inside another client's transaction or in another tenant's name."""
    broken = []
    clients: dict[tuple[str, int], set[str]] = {}
    for run in deployment.service.runs:
        client = run.request.partition(".")[0]
        if run.transaction and run.request != "-":
            clients.setdefault((run.instance, run.transaction), set()).add(client)
        if run.request != "-" and run.tenant != TENANT_OF[client]:
            broken.append(f"UNASKED: {run.request} of tenant {TENANT_OF[client]} ran in the name of {run.tenant}")
    for (instance, number), names in sorted(clients.items()):
        if len(names) > 1:
            names = ", ".join(sorted(names))
            broken.append(f"PINNED: statements of clients {names} ran inside transaction {number} of {instance}")
    return broken


async def run() -> int:
    """Run the clients, and return the exit code of the script."""
    # One of these two processes has the connection of A's transaction; which one depends on the names.
    for victim in ("front-z1-1", "front-z1-2"):
        async with bed.Bed(ZONES) as deployment:
            await deployment.start_daemons()
            broke = await run_clients(deployment, victim)
            broken = find_breaks(deployment)
            deployment.record.add_runs(deployment.service.runs)
            committed = [write for commit in deployment.service.instances["i-1"].log for write in commit.writes]
            deployment.record.add(f"log of the primary: {committed}")
            for line in broken or ["no rule was broken"]:
                deployment.record.add(line)
            deployment.record.write(RECORD)
            if broke:
                print("\n".join(broken) or "no rule was broken")
                return 1 if broken else 0
    print("no process had the connection of the transaction")
    return 2


sys.exit(daemons.run_case(run()))
