"""Soak test of the session daemons with random faults that checks the responses against the commit log.

The simulated object store and instances run in this process. Each daemon is a separate process that reaches the store,
the instances and the other daemons through loopback proxies. Faults are injected at random times drawn from the seed
and may overlap: daemons are killed, shut down and suspended; connections are delayed, reset, or lose data in one or
both directions; the primary becomes unresponsive, replicas lag, and the store refuses requests. With an odd seed, the
instances accept fewer connections than there are daemons, so that holders run the statements of other daemons. A
second organisation sends more than its rate limit, and its API key is revoked and restored. With ``--fleet``, all
daemons are also killed at once or shut down in turn, settings are reloaded, and the key is revoked while a daemon
cannot reach the store. With ``--store``, the faults are those of the store's state beside planned changes: it is
restored from copies and drops its history unannounced, while failure domains are evacuated, the primary drains, the
key is revoked, and daemons restart. With ``--rests``, some sessions rest inside transactions for longer than a daemon
takes to restart, and most faults end daemons. With ``--promotions``, instances join, drain, leave, crash, restart and
are cut off, from each other or from some VMs, while promotion calls are carried out late, the store refuses some VMs,
and VMs are killed, shut down and suspended; ``--vms`` sets the number of daemons.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import tempfile

from tools import daemon_processes, soak_faults, soak_promotion_faults, soak_promotions, soak_run


def main() -> int:
    """Run one seed, print the summary as one JSON line, and return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the load in seconds")
    parser.add_argument("--keep", type=pathlib.Path, help="directory for settings and logs that is kept after the run")
    parser.add_argument("--fleet", action="store_true", help="also inject faults of the whole fleet")
    parser.add_argument(
        "--store", action="store_true", help="inject faults of the store's state beside planned changes"
    )
    parser.add_argument("--load", action="store_true", help="switch on usage reports and all decisions under load")
    parser.add_argument("--rests", action="store_true", help="let some sessions rest inside transactions")
    parser.add_argument(
        "--promotions", action="store_true", help="inject faults around promotions beside changes of the instances"
    )
    parser.add_argument("--vms", type=int, default=soak_run.VMS, help="number of daemons with --promotions")
    options = parser.parse_args()
    faults = soak_faults.FLEET_FAULTS if options.fleet else soak_faults.SINGLE_FAULTS
    if options.rests:
        faults = soak_faults.REST_FAULTS
    if options.store:
        faults = soak_faults.STORE_FAULTS
    with tempfile.TemporaryDirectory() as temporary:
        directory = options.keep or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        more_settings = daemon_processes.LOAD_SETTINGS if options.load else ""
        if options.promotions:
            faults = soak_promotion_faults.PROMOTION_FAULTS
            soak = soak_promotions.PromotionSoak(
                options.seed, options.seconds, directory, faults, more_settings, vms=options.vms
            )
        else:
            soak = soak_run.Soak(options.seed, options.seconds, directory, faults, more_settings, rests=options.rests)
        result = asyncio.run(soak.run())
    print(json.dumps(dataclasses.asdict(result)))
    return 0 if result.is_consistent() else 1


if __name__ == "__main__":
    sys.exit(main())
