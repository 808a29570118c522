"""LOST: a geo is cut off for half a minute, and a replica outside is promoted without a commit from inside."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common_3 import bed

CUT_S = 60.0
"""Time for which the geo is cut off at most; the letter speaks of minutes."""
SILENCE_S = 3.6
"""Three intervals of ``heartbeatMs``, after which the store removes the entries of silent instances."""
SERVICE = "svc0"


async def main(directory, record, trouble):
    """Cut off the geo of the primary, of a replica beside it and of one VM."""
    async with bed.Deployment(directory, record, [SERVICE]) as deployment:
        service = deployment.services[SERVICE]
        old, *outside = service.instances
        beside = f"{SERVICE}-4"
        await service.join(beside)
        deployment.register(service, beside, "z1")
        await asyncio.sleep(25.0)
        caller = bed.Caller(record, deployment.vms[0], f"db-{SERVICE}")
        for number in range(5):
            await caller.query(f"WRITE a{number} x")
            await asyncio.sleep(0.2)
        if trouble:
            # What was sent to the other geos in the last 12 ms before the cut does not arrive there.
            for name in outside:
                service.cut(old, name)
        began_at = time.monotonic()
        told = (await caller.query("WRITE b0 x"))[0].startswith("DONE")
        if trouble:
            for name in (old, beside):
                service.instances[name].unresponsive = True
            deployment.vms[0].process.send_signal(signal.SIGSTOP)
            record.write(f"z1 is cut off with vm-1, {old} and {beside}, {time.monotonic() - began_at:.3f} s later")
            await asyncio.sleep(SILENCE_S)
            for name in (old, beside):
                deployment.store.delete("servers", name)
            record.write("the store removes the entries of the silent instances")
        until = time.monotonic() + CUT_S - SILENCE_S
        while trouble and service.primary == old and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        log = service.instances[service.primary].log
        kept = any(item == "b0" for commit in log for _, item, _ in commit.writes)
        record.write(
            f"primary {old} before, {service.primary} now, {time.monotonic() - began_at:.1f} s after the commit; "
            f"its success was {'told' if told else 'not told'}, and the log {'has' if kept else 'lacks'} it"
        )
        return told and not kept


if __name__ == "__main__":
    bed.run_case(main, "case 12")
