"""LOST: a replica that has just started acknowledges a commit, and another replica is promoted without it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common_3 import bed

CUT_S = 5.0
"""Time for which the primary is partitioned from its replicas."""
FIRST_ENTRY_S = 0.4
"""Time from the start of a new instance, with a copy of the log, until its first entry; a third of ``heartbeatMs``."""
STARTS_S = [1.2, 1.3, 1.4, 1.5]
"""Times after the cut at which the new instance starts, one for each service."""


async def play(deployment, service, start_after_s, trouble):
    """Play one service; return the items that a caller was told of and that the promoted log lacks."""
    record, database = deployment.record, f"db-{service.name}"
    first, second = (bed.Caller(record, vm, database) for vm in deployment.vms[:2])
    told = []

    async def write(caller, item):
        answer = await caller.query(f"WRITE {item} x")
        if answer and answer[0].startswith("DONE"):
            told.append(item)

    async def read(caller):
        while True:
            await caller.query("READ a0")
            await asyncio.sleep(0.2)

    others = deployment.vms[0], deployment.vms[2]
    readers = [asyncio.create_task(read(bed.Caller(record, vm, database))) for vm in others]
    # The callers write in turn, at a low rate.
    for number in range(6):
        await write((first, second)[number % 2], f"a{number}")
        await asyncio.sleep(0.2)
    await write(first, "a6")
    await asyncio.sleep(0.1)
    old = service.primary
    replicas = [name for name in service.instances if name != old]
    if trouble:
        record.write(f"{old} is partitioned from {' and '.join(replicas)}")
        for name in replicas:
            service.cut(old, name)
    pending = asyncio.create_task(write(second, "b0"))
    await asyncio.sleep(start_after_s)
    name = f"{service.name}-4"
    await service.join(name)
    record.write(f"{name} starts with a copy of the log, {len(service.instances[name].log)} commits")
    await asyncio.sleep(FIRST_ENTRY_S)
    deployment.register(service, name, "z1")
    await pending
    await asyncio.sleep(CUT_S - start_after_s - FIRST_ENTRY_S)
    service.cut_links.clear()
    record.write(f"{old}: the partition ends")
    await asyncio.sleep(1.0)
    for reader in readers:
        reader.cancel()
    kept = {item for commit in service.log for _, item, _ in commit.writes}
    missing = [item for item in told if item not in kept]
    record.write(
        f"{service.name}: primary {old} before, {service.primary} now; told {told}; the log lacks {missing or 'none'}"
    )
    return missing


async def main(directory, record, trouble):
    """Play all services, one after the other."""
    broken = False
    names = [f"svc{number}" for number in range(len(STARTS_S))]
    async with bed.Deployment(directory, record, names) as deployment:
        await asyncio.sleep(7.0)
        for name, start_after_s in zip(names, STARTS_S, strict=True):
            if await play(deployment, deployment.services[name], start_after_s, trouble):
                broken = True
    return broken


if __name__ == "__main__":
    bed.run_case(main, "case 11")
