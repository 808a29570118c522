"""Run session daemons under load and faults on one machine, and compare callers' answers with the instances' logs.

The stand-ins of the users' platform run in this process; each daemon is a process of its own, and reaches the store,
the instances and the other daemons through loopback proxies. Faults come at random times from the seed and overlap:
daemons are killed, stopped and paused, connections are delayed, cut one way, silenced and reset, a primary falls
silent, replicas lag, the store turns its callers away. With an odd seed the instances accept fewer connections than
there are daemons, so that holders run the others' statements. A second organisation sends more than its rate, and its
key is withdrawn and given back.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Any

import rich.console

from currantlead.platform import settings_file
from tests import session_bed
from tests.standins import line_instance, loopback_proxy, object_store

VMS = 4
SESSIONS = 24
PAUSE_S = 0.03
"""Pause between two statements of a session, in seconds."""
FEW_CONNECTIONS = 3
"""Connections of an instance with an odd seed: fewer than daemons."""
LIMITED = "dyers"
LIMITED_KEY = "key-of-dyers"
LIMITED_SESSIONS = 4
LIMITED_RATE = 20.0
"""Operations a second of the second organisation, and its burst; its sessions send about four times as many."""
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20.0
"""Window over which operations are counted, and what it may hold beyond rate and burst: a part of them and a number."""
REVOKED_S = 5.0
"""A request that is sent later than this after its key was withdrawn must not run."""
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}
"""Codes that promise that nothing of the operation is kept."""
_console = rich.console.Console(stderr=True)

SETTINGS = """
node = "{vm}"
ip = "127.0.0.1"
zone = "{domain}"
internalPorts = [{peers}, {peers}]
[zones]
z1 = "r1"
z2 = "r2"
z3 = "r3"
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{readiness}"
[bounds]
graceS = 6
[platform]
addr = "127.0.0.1:{store}"
[cloudApi]
addr = "127.0.0.1:{store}"
"""


@dataclasses.dataclass(slots=True)
class Result:
    """Hold the last line."""

    seed: int
    sent: int = 0
    completed: int = 0
    not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    doubled: int = 0
    stale_reads: int = 0
    false_not_run: int = 0
    torn: int = 0
    over_rate: int = 0
    after_revocation: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)

    def holds(self) -> bool:
        """Tell whether the logs agree with what callers were told."""
        broken = (self.lost, self.doubled, self.stale_reads, self.false_not_run, self.torn)
        return not any((*broken, self.over_rate, self.after_revocation))


class Vm:
    """Run one daemon as a process, and start it again when it ends."""

    def __init__(self, name: str, domain: str, store_port: int, folder: pathlib.Path):
        self.name = name
        self.port = session_bed.free_port()
        self.peer_port = session_bed.free_port()
        self._metrics_port = session_bed.free_port()
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                vm=name,
                domain=domain,
                peers=self.peer_port,
                callers=self.port,
                readiness=session_bed.free_port(),
                store=store_port,
            )
        )
        self._log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, variables: dict[str, str] | None = None) -> None:
        """Keep the process running, with further environment variables."""
        self._task = asyncio.create_task(self._supervise(variables or {}))

    async def _supervise(self, variables: dict[str, str]) -> None:
        while True:
            environment = (
                os.environ
                | variables
                | {
                    settings_file.PATH_VARIABLE: str(self._settings),
                    settings_file.METRICS_PORT_VARIABLE: str(self._metrics_port),
                }
            )
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "currantlead.sessions", env=environment, stdout=self._log, stderr=self._log
            )
            await self.process.wait()
            await asyncio.sleep(0.3)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process for good."""
        if self._task is not None:
            self._task.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self._log.close()


class Soak:
    """Drive one run."""

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path):
        self.result = Result(seed)
        self._random = random.Random(seed)
        self._seconds = seconds
        self._folder = folder
        self._acknowledged: list[tuple[str, str, str]] = []
        self._promised: set[str] = set()
        self._pairs: list[tuple[str, str]] = []
        self._other_reads: list[tuple[str, str, str, str]] = []
        self._store = object_store.ObjectStore()
        self._connections = FEW_CONNECTIONS if seed % 2 else 16
        cap = FEW_CONNECTIONS if seed % 2 else 24
        self._service = line_instance.Service(session_bed.SERVICE, ["i-1", "i-2", "i-3"], max_connections=cap)
        self._proxies: dict[str, loopback_proxy.LoopbackProxy] = {}
        self._vms: list[Vm] = []
        self._ends_at = 0.0
        self._version = 1
        self._withdrawn: list[tuple[float, float]] = []
        self._limited: list[tuple[float, str]] = []

    async def run(self) -> Result:
        """Start everything, play the load and the faults, and compare."""
        await self._store.start()
        await self._service.start()
        self._store.promote = self._promote
        self._store.rewrite = self._lead_peers_through_proxy
        self._configure(limited_keys=[LIMITED_KEY])
        for name, instance in self._service.instances.items():
            await self._add_proxy(name, instance.port)
            self._register(name)
        for number in range(VMS):
            vm = f"vm-{number}"
            store_port = await self._add_proxy(f"store of {vm}", self._store.port)
            self._vms.append(Vm(vm, f"z{number % 3 + 1}", store_port, self._folder))
            await self._add_proxy(f"peers of {vm}", self._vms[-1].peer_port)
        for vm in self._vms:
            vm.start()
        try:
            await asyncio.sleep(1.5)
            self._ends_at = time.monotonic() + self._seconds
            sessions = [
                self._session(number, random.Random(f"{self.result.seed}/{number}")) for number in range(SESSIONS)
            ]
            sessions += [self._limited_session(number) for number in range(LIMITED_SESSIONS)]
            await asyncio.gather(self._faults(), *sessions)
        finally:
            for vm in self._vms:
                await vm.stop()
            for proxy in self._proxies.values():
                proxy.stop()
            await self._service.stop()
            await self._store.stop()
        self._compare()
        return self.result

    def _configure(self, *, limited_keys: list[str]) -> None:
        """Write the next configuration."""
        organisation = {"name": session_bed.ORGANISATION, "apiKeys": [session_bed.KEY], "ratePerS": 1e4, "burst": 1e4}
        limited = {"name": LIMITED, "apiKeys": limited_keys, "ratePerS": LIMITED_RATE, "burst": LIMITED_RATE}
        services = [{"name": session_bed.SERVICE, "maxConns": self._connections, "syncReplicas": 1}]
        state = session_bed.configuration(self._version, services=services, tenants=[organisation, limited])
        self._store.put("config", "main", state)
        self._version += 1

    async def _add_proxy(self, name: str, target_port: int) -> int:
        """Put a proxy before a port and return the proxy's."""
        proxy = self._proxies[name] = loopback_proxy.LoopbackProxy(target_port)
        await proxy.start(session_bed.free_port())
        return proxy.port

    def _lead_peers_through_proxy(self, kind: str, value: Any) -> Any:
        """Let daemons find each other at the proxies; datagrams to these ports are lost, as on a bad network."""
        if kind != "members":
            return value
        for vm in self._vms:
            if vm.peer_port == value["peerPort"]:
                return value | {"peerPort": self._proxies[f"peers of {vm.name}"].port}
        return value

    def _register(self, name: str) -> None:
        instance = self._service.instances[name]
        port = self._proxies[name].port
        entry = {"service": session_bed.SERVICE, "addr": f"127.0.0.1:{port}", "zone": f"z{name[-1]}"}
        entry |= {"state": "ready", "dbRole": "primary" if instance.is_primary else "replica", "born": 1}
        self._store.put("servers", name, entry)

    def _promote(self, service: str, instance_id: str) -> bool:
        promoted = self._service.promote(instance_id)
        for name in self._service.instances:
            self._register(name)
        return promoted

    async def _session(self, number: int, chance: random.Random) -> None:
        """Write and read one item of its own, reconnecting to any VM; each operation has its own request id."""
        caller, written, sequence = None, None, 0
        while time.monotonic() < self._ends_at:
            await asyncio.sleep(PAUSE_S * chance.random() * 2)
            try:
                if caller is None:
                    caller = await self._connect(chance)
                    written = None
                    continue
                sequence += 1
                request = f"r{number}x{sequence}"
                self.result.sent += 1
                async with asyncio.timeout(4.0):
                    if chance.random() < 0.15:
                        written = await self._transact(caller, request, f"item{number}", f"v{sequence}", written)
                    elif chance.random() < 0.4:
                        written = await self._write(caller, request, f"item{number}", f"v{sequence}", written)
                    else:
                        await self._read(caller, request, f"item{number}", written)
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                self.result.may_have_run += 1
                if caller is not None:
                    caller.close()
                caller = None

    async def _limited_session(self, number: int) -> None:
        """Write as fast as answers come, on behalf of the organisation with the low rate."""
        chance = random.Random(f"{self.result.seed}/limited/{number}")
        caller, sequence = None, 0
        while time.monotonic() < self._ends_at:
            await asyncio.sleep(0.05)
            try:
                if caller is None:
                    caller = await self._connect(chance, LIMITED_KEY)
                    continue
                sequence += 1
                request, sent_at = f"limited{number}x{sequence}", time.monotonic()
                async with asyncio.timeout(4.0):
                    answer = await caller.request(f"QUERY {request} WRITE limited{number} v{sequence}")
                if answer[0].startswith("DONE"):
                    self._limited.append((sent_at, request))
                elif answer[0].startswith("ERR NOAUTH"):
                    caller.close()
                    caller = None
            except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                if caller is not None:
                    caller.close()
                caller = None

    async def _connect(self, chance: random.Random, key: str = session_bed.KEY) -> session_bed.Caller | None:
        vm = chance.choice(self._vms)
        async with asyncio.timeout(1.0):
            caller = session_bed.Caller(*await asyncio.open_connection("127.0.0.1", vm.port))
            answer = await caller.request(f"START own-db {key}")
        return caller if answer == ["READY I -"] else None

    async def _write(
        self, caller: session_bed.Caller, request: str, item: str, data: str, written: str | None
    ) -> str | None:
        answer = await caller.request(f"QUERY {request} WRITE {item} {data}")
        word, _, rest = answer[0].partition(" ")
        if word == "DONE":
            self.result.completed += 1
            self._acknowledged.append((request, item, data))
            return data
        if rest.split(" ")[0] in PROMISES:
            self.result.not_run += 1
            self._promised.add(request)
            return written
        self.result.may_have_run += 1
        # The value may be either one from now on.
        return None

    async def _transact(
        self, caller: session_bed.Caller, request: str, item: str, data: str, written: str | None
    ) -> str | None:
        """Write two items in one transaction; both or none must be committed."""
        self._pairs.append((f"{request}a", f"{request}b"))
        answers = []
        for text in ("BEGIN", f"{request}a WRITE {item} {data}", f"{request}b WRITE {item}-pair {data}", "COMMIT"):
            known, _, rest = text.partition(" ") if text.startswith(request) else (f"{request}{text}", "", text)
            answers.append((await caller.request(f"QUERY {known} {rest}"))[0])
            if not answers[-1].startswith("DONE"):
                break
        if len(answers) == 4 and answers[-1].startswith("DONE"):
            self.result.completed += 1
            self._acknowledged += [(f"{request}a", item, data), (f"{request}b", f"{item}-pair", data)]
            return data
        if len(answers) < 4:
            await caller.request(f"QUERY {request}ROLLBACK ROLLBACK")
        if answers[-1].split(" ")[1] in PROMISES:
            self.result.not_run += 1
            self._promised |= {f"{request}a", f"{request}b"}
            return written
        self.result.may_have_run += 1
        return None

    async def _read(self, caller: session_bed.Caller, request: str, item: str, written: str | None) -> None:
        answer = await caller.request(f"QUERY {request} READ {item}")
        if answer[0].startswith("ROW "):
            self.result.completed += 1
            if written is not None and answer[0] != f"ROW {written}":
                self._other_reads.append((request, item, answer[0].removeprefix("ROW "), written))
        else:
            self.result.not_run += 1

    async def _faults(self) -> None:
        """Start faults one after the other, whether or not the ones before are over."""
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < self._ends_at - 4.0:
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            name = self._random.choice(sorted(FAULTS))
            self.result.faults.append(name)
            _console.print(f"fault: {name}")
            running.add(asyncio.create_task(FAULTS[name](self)))
        await asyncio.gather(*running)

    async def _trouble(self, forth: loopback_proxy.Fault, back: loopback_proxy.Fault) -> None:
        proxy = self._random.choice(list(self._proxies.values()))
        proxy.to_target, proxy.from_target = forth, back
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        proxy.clear_faults()

    async def delay(self) -> None:
        """Delay what passes one proxy."""
        late = loopback_proxy.Fault(delay_s=self._random.uniform(0.05, 0.6))
        await self._trouble(late, late)

    async def cut_one_way(self) -> None:
        """Lose the bytes of one direction at one proxy."""
        lost, good = loopback_proxy.Fault(dropped=True), loopback_proxy.Fault()
        await self._trouble(*((lost, good) if self._random.random() < 0.5 else (good, lost)))

    async def silence_connections(self) -> None:
        """Lose the bytes of both directions at one proxy."""
        lost = loopback_proxy.Fault(dropped=True)
        await self._trouble(lost, lost)

    async def reset(self) -> None:
        """Reset the connections through one proxy."""
        self._random.choice(list(self._proxies.values())).reset()

    async def kill(self) -> None:
        """Kill a daemon."""
        self._random.choice(self._vms).signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Stop a daemon by plan."""
        self._random.choice(self._vms).signal(signal.SIGTERM)

    async def pause(self) -> None:
        """Pause a daemon for a while."""
        vm = self._random.choice(self._vms)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        vm.signal(signal.SIGCONT)

    async def silence(self) -> None:
        """Let the primary answer nothing for a while."""
        instance = self._service.instances[self._service.primary]
        instance.unresponsive = True
        await asyncio.sleep(self._random.uniform(1.0, 3.0))
        instance.unresponsive = False

    async def lag(self) -> None:
        """Let the replicas lag."""
        self._service.lag_s = {name: self._random.uniform(0.1, 3.0) for name in self._service.instances}

    async def lose_answers(self) -> None:
        """Lose answers of an instance."""
        self._random.choice(list(self._service.instances.values())).lose_answers = self._random.randrange(1, 4)

    async def refuse_store(self) -> None:
        """Let the store turn callers away for a while."""
        fault = self._random.choice([429, 503, "reset", "lost"])
        self._store.fault = lambda method, path: fault
        await asyncio.sleep(self._random.uniform(0.5, 8.0))
        self._store.fault = lambda method, path: None

    async def withdraw_key(self) -> None:
        """Withdraw the key of the second organisation, and give it back later."""
        if self._withdrawn and self._withdrawn[-1][1] == float("inf"):
            return
        self._configure(limited_keys=[])
        self._withdrawn.append((time.monotonic(), float("inf")))
        await asyncio.sleep(self._random.uniform(6.0, 9.0))
        self._withdrawn[-1] = self._withdrawn[-1][0], time.monotonic()
        self._configure(limited_keys=[LIMITED_KEY])

    async def forget_history(self) -> None:
        """Drop the store's history."""
        self._store.drop_history()

    async def drain_primary(self) -> None:
        """Announce that the primary leaves, and take that back after a while."""
        name = self._service.primary
        entry = self._store.objects["servers"][name]["spec"]
        self._store.put("servers", name, entry | {"state": "draining"})
        await asyncio.sleep(2.0)
        self._register(name)

    def _compare(self) -> None:
        """Compare the log with what callers were told."""
        committed = collections.Counter(request for commit in self._service.log for request, _, _ in commit.writes)
        limited = [
            commit.at for commit in self._service.log if any(name.startswith("limited") for name, _, _ in commit.writes)
        ]
        most = (LIMITED_RATE * WINDOW_S + LIMITED_RATE) * (1 + EXCESS) + SLACK
        self.result.over_rate = sum(sum(start <= at < start + WINDOW_S for at in limited) > most for start in limited)
        self.result.after_revocation = sum(
            withdrawn_at + REVOKED_S < sent_at < given_back_at
            for sent_at, _ in self._limited
            for withdrawn_at, given_back_at in self._withdrawn
        )
        # A write in doubt may take effect after a later one of its session; what counts is their order in the log.
        order = {
            (item, data): place for place, commit in enumerate(self._service.log) for _, item, data in commit.writes
        }
        for request, item, found, written in self._other_reads:
            if order.get((item, found), -1) < order.get((item, written), -1):
                self.result.stale_reads += 1
                self.result.faults.append(f"stale read {request}: {found} instead of {written}")
        self.result.torn = sum((first in committed) != (second in committed) for first, second in self._pairs)
        self.result.doubled = sum(count > 1 for count in committed.values())
        self.result.lost = sum(request not in committed for request, _, _ in self._acknowledged)
        self.result.false_not_run = sum(request in committed for request in self._promised)


FAULTS = {
    "kill": Soak.kill,
    "stop": Soak.stop,
    "pause": Soak.pause,
    "silence": Soak.silence,
    "delay": Soak.delay,
    "cut_one_way": Soak.cut_one_way,
    "silence_connections": Soak.silence_connections,
    "reset": Soak.reset,
    "lag": Soak.lag,
    "lose_answers": Soak.lose_answers,
    "refuse_store": Soak.refuse_store,
    "withdraw_key": Soak.withdraw_key,
    "forget_history": Soak.forget_history,
    "drain_primary": Soak.drain_primary,
}


def main() -> int:
    """Run one seed, print the result as one JSON line, and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the load in seconds")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for settings and logs, kept afterwards")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(Soak(options.seed, options.seconds, folder).run())
    print(json.dumps(dataclasses.asdict(result)))
    return 0 if result.holds() else 1


if __name__ == "__main__":
    sys.exit(main())
