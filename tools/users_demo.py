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
takes to restart, and most faults end daemons.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Iterable
from typing import Any

import rich.console

from tests import session_bed
from tests.standins import line_instance, loopback_proxy, object_store
from tools import daemon_processes, soak_checks, soak_faults

VMS = 4
SESSIONS = 24
START_TIMEOUT_S = 20.0
"""Longest time for all daemons to become ready."""
MEAN_PAUSE_S = 0.03
"""Mean pause between two statements of a session, in seconds."""
FEW_CONNECTIONS = 3
"""Maximum number of connections to an instance with an odd seed; less than the number of daemons."""
LIMITED_ORGANISATION = "dyers"
LIMITED_KEY = "key-of-dyers"
LIMITED_SESSIONS = 4
TRANSACTION_SHARE = 0.15
"""Share of transactions among the operations of a session."""
RESTING_SESSIONS = 12
RESTING_CONNECTIONS = 8
"""Maximum number of connections to an instance beside sessions that rest: several for each holder."""
MAX_REST_S = 2.6
"""Longest rest inside a transaction; transactions are rolled back after 3 s without a statement."""
NOT_RUN_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}
"""Error codes which guarantee that the operation has no effect."""
_console = rich.console.Console(stderr=True)


class Soak:
    """One run of the soak test."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        fault_names: Iterable[str],
        more_settings: str = "",
        *,
        rests: bool = False,
    ):
        """Create a run.

        Args:
            seed: Seed of the faults and the load.
            seconds: Duration of the load.
            directory: Directory for settings and logs.
            fault_names: Names of the faults to draw from; a seed stands for the same run only with the same names.
            more_settings: Lines added to the daemons' settings files.
            rests: Whether there are also sessions that rest inside transactions.
        """
        self._resting_sessions = RESTING_SESSIONS if rests else 0
        # Other transactions would use up the low numbers of a restarted holder, which a resting one may have.
        self._transaction_share = 0.0 if rests else TRANSACTION_SHARE
        self._more_settings = more_settings
        self._callers: list[session_bed.Caller] = []
        self.result = soak_checks.Result(seed)
        self._fault_names = sorted(fault_names)
        self.random = random.Random(seed)
        self._seconds = seconds
        self._directory = directory
        self.record = soak_checks.Record()
        self.store = object_store.ObjectStore()
        few_connections = RESTING_CONNECTIONS if rests else FEW_CONNECTIONS
        self._service_limit = few_connections if seed % 2 or rests else 16
        instance_limit = few_connections if seed % 2 or rests else 24
        self.service = line_instance.Service(session_bed.SERVICE, ["i-1", "i-2", "i-3"], max_connections=instance_limit)
        self.proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self.vms: list[daemon_processes.DaemonProcess] = []
        self._end = 0.0
        self._version = 1
        self._configuration: dict[str, Any] = {}

    async def run(self) -> soak_checks.Result:
        """Start all components, run the load with faults, and check the results."""
        await self.store.start()
        await self.service.start()
        self.store.promote = self._promote
        self.store.rewrite = self._rewrite_peer_port
        self.configure(with_limited_key=True)
        for name, instance in self.service.instances.items():
            await self._add_proxy(name, instance.port)
            self.register(name)
        for number in range(VMS):
            vm = f"vm-{number}"
            store_port = await self._add_proxy(f"store of {vm}", self.store.port)
            self.vms.append(
                daemon_processes.DaemonProcess(
                    vm, f"z{number % 3 + 1}", store_port, self._directory, self._more_settings
                )
            )
            await self._add_proxy(f"peers of {vm}", self.vms[-1].peer_port)
        for vm in self.vms:
            vm.start()
        try:
            # On a busy machine the start takes seconds; faults that strike earlier could last for the whole run.
            async with asyncio.timeout(START_TIMEOUT_S):
                await asyncio.gather(*(vm.wait_until_ready() for vm in self.vms))
            self._end = time.monotonic() + self._seconds
            sessions = [
                self._run_session(number, random.Random(f"{self.result.seed}/{number}")) for number in range(SESSIONS)
            ]
            sessions += [self._run_limited_session(number) for number in range(LIMITED_SESSIONS)]
            sessions += [self._run_resting_session(number) for number in range(self._resting_sessions)]
            await asyncio.gather(self._inject_faults(), *sessions)
        finally:
            for caller in self._callers:
                caller.close()
            for vm in self.vms:
                await vm.stop()
            for proxy in self.proxies.values():
                proxy.stop()
            await self.service.stop()
            await self.store.stop()
        soak_checks.check(self.record, self.service, self.result)
        self.result.usage_conflicts = soak_checks.count_conflicts(self.store.usage_calls)
        return self.result

    @property
    def revokes_key(self) -> bool:
        """Return whether the key of the second organisation is revoked now."""
        return bool(self.record.revocations) and self.record.revocations[-1][1] == float("inf")

    def configure(self, *, with_limited_key: bool) -> None:
        """Store the next version of the configuration, with or without the key of the second organisation."""
        organisation = {"name": session_bed.ORGANISATION, "apiKeys": [session_bed.KEY], "ratePerS": 1e4, "burst": 1e4}
        limited = {
            "name": LIMITED_ORGANISATION,
            "apiKeys": [LIMITED_KEY] if with_limited_key else [],
            "ratePerS": soak_checks.LIMITED_RATE,
            "burst": soak_checks.LIMITED_RATE,
        }
        services = [{"name": session_bed.SERVICE, "maxConns": self._service_limit, "syncReplicas": 1}]
        state = session_bed.configuration(self._version, services=services, tenants=[organisation, limited])
        self.store.put("config", "main", state)
        self._configuration = state
        self._version += 1

    def write_state_again(self) -> None:
        """Write what the operator and the instances have written last, as they do after the store was restored."""
        self.store.put("config", "main", self._configuration)
        for name in self.service.instances:
            self.register(name)
        written = self.store.objects.setdefault("evacuations", {})
        current = {domain for domain, _, ended_at in self.record.evacuations if ended_at == float("inf")}
        for domain in set(written) - current:
            self.store.delete("evacuations", domain)
        for domain in current:
            self.store.put("evacuations", domain, {})

    async def _add_proxy(self, name: str, target_port: int) -> int:
        """Start a proxy in front of a port and return the port of the proxy."""
        proxy = self.proxies[name] = loopback_proxy.LoopbackProxy(target_port)
        await proxy.start(session_bed.free_port())
        return proxy.port

    def _rewrite_peer_port(self, kind: str, value: Any) -> Any:
        """Replace a daemon's peer port with its proxy's port; the proxy forwards only TCP, so datagrams are lost."""
        if kind != "members":
            return value
        for vm in self.vms:
            if vm.peer_port == value["peerPort"]:
                return value | {"peerPort": self.proxies[f"peers of {vm.name}"].port}
        return value

    def register(self, name: str) -> None:
        """Write the entry of an instance that is ready to the store."""
        instance = self.service.instances[name]
        port = self.proxies[name].port
        entry = {"service": session_bed.SERVICE, "addr": f"127.0.0.1:{port}", "zone": f"z{name[-1]}"}
        entry |= {"state": "ready", "dbRole": "primary" if instance.is_primary else "replica", "born": 1}
        self.store.put("servers", name, entry)

    def _promote(self, service: str, instance_id: str) -> bool:
        promoted = self.service.promote(instance_id)
        for name in self.service.instances:
            self.register(name)
        return promoted

    async def _run_session(self, number: int, rng: random.Random) -> None:
        """Write and read one item per session, reconnecting to a random VM; each operation has its own request ID."""
        caller, written, sequence = None, None, 0
        while time.monotonic() < self._end:
            await asyncio.sleep(MEAN_PAUSE_S * rng.random() * 2)
            try:
                if caller is None:
                    caller = await self._connect(rng)
                    written = None
                    continue
                sequence += 1
                request = f"r{number}x{sequence}"
                self.result.sent += 1
                async with asyncio.timeout(4.0):
                    if rng.random() < self._transaction_share:
                        written = await self._write_transaction(
                            caller, request, f"item{number}", f"v{sequence}", written
                        )
                    elif rng.random() < 0.4:
                        written = await self._write(caller, request, f"item{number}", f"v{sequence}", written)
                    else:
                        await self._read(caller, request, f"item{number}", written)
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                self.result.may_have_run += 1
                if caller is not None:
                    caller.close()
                caller = None

    async def _run_limited_session(self, number: int) -> None:
        """Write in a closed loop as the organisation with the low rate limit."""
        rng = random.Random(f"{self.result.seed}/limited/{number}")
        caller, sequence = None, 0
        while time.monotonic() < self._end:
            await asyncio.sleep(0.05)
            try:
                if caller is None:
                    caller = await self._connect(rng, LIMITED_KEY)
                    continue
                sequence += 1
                request, sent_at = f"limited{number}x{sequence}", time.monotonic()
                async with asyncio.timeout(4.0):
                    answer = await caller.request(f"QUERY {request} WRITE limited{number} v{sequence}")
                if answer[0].startswith("DONE"):
                    self.record.limited_writes.append((sent_at, request))
                elif answer[0].startswith("ERR NOAUTH"):
                    caller.close()
                    caller = None
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                if caller is not None:
                    caller.close()
                caller = None

    async def _run_resting_session(self, number: int) -> None:
        """Write in transactions, with a rest between the two writes of each."""
        rng = random.Random(f"{self.result.seed}/resting/{number}")
        caller, sequence = None, 0
        while time.monotonic() < self._end:
            await asyncio.sleep(MEAN_PAUSE_S)
            try:
                if caller is None:
                    caller = await self._connect(rng)
                    continue
                sequence += 1
                self.result.sent += 1
                async with asyncio.timeout(MAX_REST_S + 4.0):
                    await self._write_transaction(
                        caller,
                        f"resting{number}x{sequence}",
                        f"resting{number}",
                        f"v{sequence}",
                        None,
                        rest_s=rng.uniform(0.0, MAX_REST_S),
                    )
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                self.result.may_have_run += 1
                if caller is not None:
                    caller.close()
                caller = None

    async def _connect(self, rng: random.Random, key: str = session_bed.KEY) -> session_bed.Caller | None:
        vm = rng.choice(self.vms)
        async with asyncio.timeout(1.0):
            caller = session_bed.Caller(*await asyncio.open_connection("127.0.0.1", vm.port))
            self._callers.append(caller)
            answer = await caller.request(f"START own-db {key}")
        if answer == ["READY I -"]:
            return caller
        caller.close()
        return None

    def _count_refusal(self, details: str) -> None:
        """Count a refusal by its code and the words of its text, without names and numbers."""
        self.result.not_run += 1
        words = details.partition(",")[0].split()
        cause = " ".join(word for word in words if word.replace("-", "").replace("'", "").isalpha())
        self.result.refused_by_cause[cause] = self.result.refused_by_cause.get(cause, 0) + 1

    async def _write(
        self, caller: session_bed.Caller, request: str, item: str, data: str, written: str | None
    ) -> str | None:
        answer = await caller.request(f"QUERY {request} WRITE {item} {data}")
        status, _, details = answer[0].partition(" ")
        if status == "DONE":
            self.result.completed += 1
            self.record.acknowledged.append((request, item, data))
            return data
        if details.split(" ")[0] in NOT_RUN_CODES:
            self._count_refusal(details)
            self.record.not_run.add(request)
            return written
        self.result.may_have_run += 1
        # The outcome is unknown, so later reads may return the old or the new value.
        return None

    async def _write_transaction(
        self,
        caller: session_bed.Caller,
        request: str,
        item: str,
        data: str,
        written: str | None,
        *,
        rest_s: float = 0.0,
    ) -> str | None:
        """Write two items in one transaction, with a rest between; either both or none must be committed."""
        self.record.transactions.append((f"{request}a", f"{request}b"))
        answers = []
        for text in ("BEGIN", f"{request}a WRITE {item} {data}", f"{request}b WRITE {item}-pair {data}", "COMMIT"):
            request_id, _, statement = (
                text.partition(" ") if text.startswith(request) else (f"{request}{text}", "", text)
            )
            answers.append((await caller.request(f"QUERY {request_id} {statement}"))[0])
            if not answers[-1].startswith("DONE"):
                break
            if len(answers) == 2:
                await asyncio.sleep(rest_s)
        if len(answers) == 4 and answers[-1].startswith("DONE"):
            self.result.completed += 1
            self.record.acknowledged += [(f"{request}a", item, data), (f"{request}b", f"{item}-pair", data)]
            return data
        if len(answers) < 4:
            await caller.request(f"QUERY {request}ROLLBACK ROLLBACK")
        if answers[-1].split(" ")[1] in NOT_RUN_CODES:
            self._count_refusal(answers[-1].removeprefix("ERR "))
            self.record.not_run |= {f"{request}a", f"{request}b"}
            return written
        self.result.may_have_run += 1
        return None

    async def _read(self, caller: session_bed.Caller, request: str, item: str, written: str | None) -> None:
        answer = await caller.request(f"QUERY {request} READ {item}")
        if answer[0].startswith("ROW "):
            self.result.completed += 1
            if written is not None and answer[0] != f"ROW {written}":
                self.record.unexpected_reads.append((request, item, answer[0].removeprefix("ROW "), written))
        else:
            self._count_refusal(answer[0].removeprefix("ERR "))

    async def _inject_faults(self) -> None:
        """Start random faults at random intervals; they may overlap."""
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < self._end - 4.0:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            name = self.random.choice(self._fault_names)
            self.result.faults.append(name)
            _console.print(f"fault: {name}")
            running.add(asyncio.create_task(soak_faults.FAULTS[name](self)))
        await asyncio.gather(*running)


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
        soak = Soak(options.seed, options.seconds, directory, faults, more_settings, rests=options.rests)
        result = asyncio.run(soak.run())
    print(json.dumps(dataclasses.asdict(result)))
    return 0 if result.is_consistent() else 1


if __name__ == "__main__":
    sys.exit(main())
