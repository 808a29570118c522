"""Tests of two failures at the same time: every pair of eight failures, at seeded times, in a simulation of six VMs.

Proxy, router, dispatcher, directory, store, admission, the holder's checks and the coordinators are real; streams,
platform, instances, leases and the distribution of the configuration are fakes (``standins/region.py``).

Not covered, because the fakes do not support it: a VM that is frozen for longer than its lease and all other faults of
leases and view changes (``test_membership_machine.py``), transactions, connections and queues (``test_holder.py``),
the watches of relays (``test_relay.py``), and the confirmation of new shares (``test_rate_machine.py``). The same
failure twice is only covered for two killed and two frozen VMs.
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

DURATION_S = 9.0
TAKE_EFFECT_S = 2.0
NEW_RATE = 20.0


@dataclasses.dataclass
class Session:
    """Session with its token and its completed writes."""

    name: str
    organisation: str
    token: dict = dataclasses.field(default_factory=dict)
    done: set = dataclasses.field(default_factory=set)


class Simulation:
    """Simulation of sessions during failures, which collects violations of the guarantees."""

    def __init__(self, seed):
        self.world = region.Simulation(seed)
        self.random = self.world.random
        self.violations, self.completed, self.refused = [], set(), set()
        self.accepted_at = {}

    async def simulate(self, *failures):
        """Run the sessions, inject the failures 1 to 2 s after the start, and return the violations."""
        await self.world.start()
        await asyncio.sleep(3.0)
        sessions = [Session(f"s{n}", name) for n, name in enumerate(itertools.islice(itertools.cycle(region.KEYS), 6))]
        for failure in failures:
            self.world.spawn(self._inject(failure, 1 + self.random.random()))
        end = region.now() + DURATION_S
        await asyncio.gather(*(self._run_session(session, end) for session in sessions))
        await asyncio.sleep(1.0)
        self._check_logs()
        self._check_rates(failures)
        self._check_revoked_keys()
        self._check_configuration_numbers()
        await self.world.stop()
        return self.violations

    async def _run_session(self, session, end):
        for number in itertools.count():
            await asyncio.sleep(0.02 + 0.05 * self.random.random())
            if region.now() >= end:
                return
            vm = self.random.choice(
                [each for name, each in self.world.vms.items() if name not in self.world.crashed_vms]
            )
            write = self.random.random() < 0.5
            request = region.request(session, number, write, keyed=write and self.random.random() < 0.3)
            try:
                reply = await asyncio.wait_for(vm.proxy.handle(request), 5.0)
            except TimeoutError:
                continue
            self._check_reply(session, request, reply)

    def _check_reply(self, session, request, reply):
        value = next(iter(request.params), None)
        if isinstance(reply.outcome, result.Err):
            if reply.outcome.err_value.verdict is verdict.Verdict.NOT_RUN and value:
                self.refused.add(value)
            return
        if any(reply.session[name] < position for name, position in session.token.items()):
            self.violations.append(f"a position in the token of {session.name} decreased")
        session.token = dict(reply.session)
        if value:
            session.done.add(value)
            self.completed.add(value)
            return
        missing = session.done - {value for (value,) in reply.outcome.ok_value.rows}
        if missing:
            self.violations.append(f"stale read of {session.name}: {sorted(missing)[:3]} missing")

    async def _inject(self, failure, delay):
        await asyncio.sleep(delay)
        world, domain = self.world, self.random.choice(region.DOMAINS)
        if failure == "VM killed":
            world.crashed_vms.add(f"{domain}2")
            world.spawn(world.remove_later(f"{domain}2"))
        elif failure == "VM frozen":
            world.frozen_until[f"{domain}2"] = region.now() + region.FREEZE_S
        elif failure == "domain isolated":
            world.isolated_domains.add(domain)
        elif failure == "store unavailable":
            await world.platform.set_down(True)
        elif failure == "primary killed":
            next(each for each in world.instances.values() if each.role == "primary").up = False
        elif failure == "replica far behind":
            self.random.choice(
                [each for each in world.instances.values() if each.role == "replica"]
            ).replication_stopped = True
        else:
            await self._change_configuration(failure, world.vms[f"{domain}1"])

    async def _change_configuration(self, failure, vm):
        changes = {"key revoked": {"keys": {}}, "rate changed": {"rate": NEW_RATE}}

        def mutate(old):
            farm = dataclasses.replace(old.organisations["farm"], **changes[failure])
            return dataclasses.replace(old, organisations={**old.organisations, "farm": farm})

        changed = await store.ConfigurationStore(vm.store, region.now, cache=vm.directory).change(mutate, failure)
        if changed.is_ok():
            self.accepted_at[failure] = region.now()

    def _check_logs(self):
        instances = self.world.instances.values()
        newest_primary = max((each for each in instances if each.role == "primary"), key=lambda each: each.term)
        applied = [value for _, value in newest_primary.log]
        appended = self.world.appended
        if wrong := self.refused & set(appended):
            self.violations.append(f"writes reported as not run have run: {sorted(wrong)[:3]}")
        if len(applied) != len(set(applied)):
            self.violations.append("a write has been applied twice")
        if lost := self.completed - set(applied):
            self.violations.append(f"acknowledged writes are lost: {sorted(lost)[:3]}")

    def _check_rates(self, failures):
        for name, times in self.world.admitted.items():
            if excess(times, region.RATE) > 0:
                self.violations.append(f"requests of {name} were admitted above its rate")
        changed = self.accepted_at.get("rate changed")
        if changed is not None and not {"domain isolated", "VM frozen"} & set(failures):
            late = [time for time in self.world.admitted["farm"] if time > changed + TAKE_EFFECT_S]
            if excess(late, NEW_RATE) > 0:
                self.violations.append("requests of farm were admitted above its new rate")

    def _check_revoked_keys(self):
        revoked_at = self.accepted_at.get("key revoked")
        for time, vm, digest in self.world.executed:
            if revoked_at is None or digest != region.KEYS["farm"] or vm[0] in self.world.isolated_domains:
                continue
            if time > max(revoked_at, self.world.frozen_until.get(vm, 0.0)) + TAKE_EFFECT_S:
                self.violations.append(f"{vm} ran a request {time - revoked_at:.1f} s after its key was revoked")

    def _check_configuration_numbers(self):
        for vm in self.world.vms.values():
            if vm.configuration_numbers != sorted(vm.configuration_numbers):
                self.violations.append(f"{vm.name} returned to an older configuration")


def excess(times, rate):
    """Return the maximum over all intervals t by which admissions exceed ``rate * t + burst``."""
    worst, level, last = 0.0, 0.0, None
    for now in sorted(times):
        level = 1.0 if last is None else max(0.0, level - (now - last) * rate) + 1
        last, worst = now, max(worst, level - region.BURST)
    # Times are sums of floating-point steps, which have rounding errors.
    return worst if worst > 1e-6 else 0.0


FAILURES = [
    "VM killed",
    "VM frozen",
    "domain isolated",
    "store unavailable",
    "primary killed",
    "replica far behind",
    "key revoked",
    "rate changed",
]
PAIRS = [*itertools.combinations(FAILURES, 2), ("VM killed", "VM killed"), ("VM frozen", "VM frozen")]


@pytest.mark.parametrize("pair", PAIRS, ids=" + ".join)
def test_guarantees_hold_under_two_failures(pair):
    """Guards against guarantees that hold under each failure alone but not under two at the same time."""
    simulation = Simulation(seed=1 + PAIRS.index(pair))
    assert rates.run(simulation.simulate(*pair)) == []
    assert len(simulation.completed) > 20


def test_simulation_without_failures_makes_progress():
    """Guards against vacuous simulations: without failures, writes complete and a changed rate takes effect."""
    simulation = Simulation(seed=99)
    assert rates.run(simulation.simulate("rate changed")) == []
    assert len(simulation.completed) > 100 and "rate changed" in simulation.accepted_at
    numbers = {vm.directory.configuration.number for vm in simulation.world.vms.values()}
    assert numbers == {2}


@pytest.mark.parametrize(
    ("corrupt", "violation"),
    [
        (lambda simulation: simulation.refused.update(simulation.world.appended[:1]), "reported as not run"),
        (lambda simulation: simulation.completed.add("never written"), "are lost"),
        (lambda simulation: simulation.world.admitted["farm"].extend([1.0] * 30), "above its rate"),
        (lambda simulation: simulation.world.vms["a1"].configuration_numbers.append(0), "older configuration"),
    ],
)
def test_checks_detect_violations(corrupt, violation):
    """Guards against checks that never fail."""
    simulation = Simulation(seed=5)

    async def scenario():
        await simulation.simulate()
        corrupt(simulation)
        simulation._check_logs()
        simulation._check_rates(())
        simulation._check_configuration_numbers()

    rates.run(scenario())
    assert [each for each in simulation.violations if violation in each]
