"""Two failures at once: every pair of eight, at seeded times, over the real decisions of six VMs.

Proxy, router, dispatcher, directory, store, admission, the holder's checks and the coordinators are the real ones;
streams, platform, instances, leases and the fan-out of the configuration are small fakes (``standins/region.py``).

Not covered here, since small fakes cannot drive it: a VM frozen past its lease and any other fault of leases and view
changes (``test_membership_machine.py``), transactions, connections and queues (``test_holder.py``), the relays'
watches (``test_relay.py``), and a confirmation of new shares (``test_rate_machine.py``). The same failure twice is not
driven either, except for two VMs that are killed or frozen.
"""

import asyncio
import dataclasses
import itertools

import pytest
import result

from currantlead import verdict
from currantlead.control import store
from tests import rates
from tests.standins import region

RUN_S = 9.0
FORCE_S = 2.0
NEW_RATE = 20.0


@dataclasses.dataclass
class Session:
    """Hold what a session has seen: its token and its completed writes."""

    name: str
    organisation: str
    token: dict = dataclasses.field(default_factory=dict)
    done: set = dataclasses.field(default_factory=set)


class Run:
    """Drive sessions through one pair of failures and collect what contradicts the promises."""

    def __init__(self, seed):
        self.world = region.World(seed)
        self.random = self.world.random
        self.faults, self.completed, self.refused = [], set(), set()
        self.accepted = {}

    async def drive(self, *failures):
        """Run the sessions and let the failures begin 1 to 2 s after the start."""
        await self.world.start()
        await asyncio.sleep(3.0)
        sessions = [Session(f"s{n}", name) for n, name in enumerate(itertools.islice(itertools.cycle(region.KEYS), 6))]
        for failure in failures:
            self.world.spawn(self._fail(failure, 1 + self.random.random()))
        end = region.now() + RUN_S
        await asyncio.gather(*(self._use(session, end) for session in sessions))
        await asyncio.sleep(1.0)
        self._check_logs()
        self._check_rates(failures)
        self._check_keys()
        self._check_numbers()
        await self.world.stop()
        return self.faults

    async def _use(self, session, end):
        for number in itertools.count():
            await asyncio.sleep(0.02 + 0.05 * self.random.random())
            if region.now() >= end:
                return
            vm = self.random.choice([each for name, each in self.world.vms.items() if name not in self.world.dead])
            write = self.random.random() < 0.5
            asked = region.request(session, number, write, keyed=write and self.random.random() < 0.3)
            try:
                reply = await asyncio.wait_for(vm.proxy.handle(asked), 5.0)
            except TimeoutError:
                continue
            self._judge(session, asked, reply)

    def _judge(self, session, asked, reply):
        value = next(iter(asked.params), None)
        if isinstance(reply.outcome, result.Err):
            if reply.outcome.err_value.verdict is verdict.Verdict.NOT_RUN and value:
                self.refused.add(value)
            return
        if any(reply.session[name] < position for name, position in session.token.items()):
            self.faults.append(f"the token of {session.name} went back")
        session.token = dict(reply.session)
        if value:
            session.done.add(value)
            self.completed.add(value)
            return
        missing = session.done - {value for (value,) in reply.outcome.ok_value.rows}
        if missing:
            self.faults.append(f"stale read of {session.name}: {sorted(missing)[:3]} missing")

    async def _fail(self, failure, delay):
        await asyncio.sleep(delay)
        world, domain = self.world, self.random.choice(region.DOMAINS)
        if failure == "VM killed":
            world.dead.add(f"{domain}2")
            world.spawn(world.remove_later(f"{domain}2"))
        elif failure == "VM frozen":
            world.frozen[f"{domain}2"] = region.now() + region.FROZEN_S
        elif failure == "domain cut":
            world.cut.add(domain)
        elif failure == "store out":
            await world.platform.set_down(True)
        elif failure == "primary killed":
            next(each for each in world.instances.values() if each.role == "primary").up = False
        elif failure == "replica far behind":
            self.random.choice([each for each in world.instances.values() if each.role == "replica"]).behind = True
        else:
            await self._change(failure, world.vms[f"{domain}1"])

    async def _change(self, failure, vm):
        changes = {"key withdrawn": {"keys": {}}, "rate changed": {"rate": NEW_RATE}}

        def mutate(old):
            farm = dataclasses.replace(old.organisations["farm"], **changes[failure])
            return dataclasses.replace(old, organisations={**old.organisations, "farm": farm})

        changed = await store.ConfigurationStore(vm.store, region.now, cache=vm.directory).change(mutate, failure)
        if changed.is_ok():
            self.accepted[failure] = region.now()

    def _check_logs(self):
        instances = self.world.instances.values()
        newest = max((each for each in instances if each.role == "primary"), key=lambda each: each.term)
        kept = [value for _, value in newest.log]
        appended = self.world.appended
        if false := self.refused & set(appended):
            self.faults.append(f"called not run, but ran: {sorted(false)[:3]}")
        if len(kept) != len(set(kept)):
            self.faults.append("a write was kept twice")
        if lost := self.completed - set(kept):
            self.faults.append(f"acknowledged writes are lost: {sorted(lost)[:3]}")

    def _check_rates(self, failures):
        for name, times in self.world.admitted.items():
            if excess(times, region.RATE) > 0:
                self.faults.append(f"{name} was admitted above its rate")
        changed = self.accepted.get("rate changed")
        if changed is not None and not {"domain cut", "VM frozen"} & set(failures):
            late = [time for time in self.world.admitted["farm"] if time > changed + FORCE_S]
            if excess(late, NEW_RATE) > 0:
                self.faults.append("farm was admitted above its new rate")

    def _check_keys(self):
        withdrawn = self.accepted.get("key withdrawn")
        for time, vm, digest in self.world.executed:
            if withdrawn is None or digest != region.KEYS["farm"] or vm[0] in self.world.cut:
                continue
            if time > max(withdrawn, self.world.frozen.get(vm, 0.0)) + FORCE_S:
                self.faults.append(f"{vm} ran a request of a withdrawn key {time - withdrawn:.1f} s later")

    def _check_numbers(self):
        for vm in self.world.vms.values():
            if vm.numbers != sorted(vm.numbers):
                self.faults.append(f"{vm.name} went back to an older configuration")


def excess(times, rate):
    """Return by how much admissions exceed ``rate * t + burst`` in the worst interval."""
    worst, level, last = 0.0, 0.0, None
    for now in sorted(times):
        level = 1.0 if last is None else max(0.0, level - (now - last) * rate) + 1
        last, worst = now, max(worst, level - region.BURST)
    # Clock readings are sums of floating-point steps.
    return worst if worst > 1e-6 else 0.0


FAILURES = [
    "VM killed",
    "VM frozen",
    "domain cut",
    "store out",
    "primary killed",
    "replica far behind",
    "key withdrawn",
    "rate changed",
]
PAIRS = [*itertools.combinations(FAILURES, 2), ("VM killed", "VM killed"), ("VM frozen", "VM frozen")]


@pytest.mark.parametrize("pair", PAIRS, ids=" + ".join)
def test_promises_hold_under_two_failures(pair):
    """Guards against a promise that each failure alone keeps and two together break."""
    run = Run(seed=1 + PAIRS.index(pair))
    assert rates.run(run.drive(*pair)) == []
    assert len(run.completed) > 20


def test_run_without_failures_serves_and_changes():
    """Guards against runs that prove nothing: writes complete, replicas serve, and a change comes into force."""
    run = Run(seed=99)
    assert rates.run(run.drive("rate changed")) == []
    assert len(run.completed) > 100 and "rate changed" in run.accepted
    numbers = {vm.directory.configuration.number for vm in run.world.vms.values()}
    assert numbers == {2}


@pytest.mark.parametrize(
    ("spoil", "fault"),
    [
        (lambda run: run.refused.update(run.world.appended[:1]), "called not run"),
        (lambda run: run.completed.add("never written"), "are lost"),
        (lambda run: run.world.admitted["farm"].extend([1.0] * 30), "above its rate"),
        (lambda run: run.world.vms["a1"].numbers.append(0), "older configuration"),
    ],
)
def test_checks_find_what_they_look_for(spoil, fault):
    """Guards against checks that cannot fail."""
    run = Run(seed=5)

    async def scenario():
        await run.drive()
        spoil(run)
        run._check_logs()
        run._check_rates(())
        run._check_numbers()

    rates.run(scenario())
    assert [each for each in run.faults if fault in each]
