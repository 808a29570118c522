"""Tests of conditional updates of the configuration, with listed faults and in a state machine."""

import asyncio
import dataclasses
import random

import hypothesis
import pytest
import result
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead import errors
from currantlead.control import configuration, directory, model, store
from tests.standins import memory


class CheckedPlatform(memory.MemoryPlatform):
    """In-memory platform that checks that all parts of a written index exist, and records each configuration."""

    def __init__(self):
        super().__init__()
        self.configurations = {}
        self.pushes = []

    async def write(self, kind, name, value, *, if_version):
        """Write an object and record it for later pushes."""
        try:
            return await super().write(kind, name, value, if_version=if_version)
        finally:
            stored = self.objects.get(kind, {}).get(name)
            if stored is not None and stored.version == self.revision:
                self.pushes.append(stored)
                if kind == "configuration":
                    self.record(stored.value)

    def record(self, value):
        """Decode and record the configuration of an index; fail if a part is missing."""
        texts = {part: self.objects["parts"][part].value["text"] for part in value["parts"].values()}
        decoded = configuration.decode(value["number"], value["parts"], texts)
        assert self.configurations.setdefault(value["number"], decoded) == decoded, (
            "two configurations have the same number"
        )


def add(name, **fields):
    """Return a function that adds an organisation to a configuration."""

    def mutate(old):
        if name in old.organisations:
            raise errors.CommandError(f"{name} already exists")
        organisation = model.Organisation(name, **{"rate": 1.0, "burst": 1.0, **fields})
        return dataclasses.replace(old, organisations={**old.organisations, name: organisation})

    return mutate


def operator(platform, clock, **options):
    """Return a store client that sleeps on the test's clock."""
    return store.ConfigurationStore(platform, clock.now, sleep=clock.sleep, **options)


@pytest.fixture
def clock():
    """Return a manual clock that starts at 0."""
    return memory.Clock()


@pytest.fixture
def platform():
    """Return a platform without objects."""
    return CheckedPlatform()


# A first change makes these calls: a read of the index, writes of two parts, a write of the index.
FAULTS = {
    "none": [],
    "read fails": ["down"],
    "part fails": [None, "down"],
    "answer to a part lost": [None, "lost", "lost"],
    "index not written": [None, None, None, "down"],
    "answer to the index lost": [None, None, None, "lost"],
    "lost, then an outage": [None, None, None, "lost", "down", "down", "down"],
    "not written, then lost": [None, None, None, "down", None, None, None, None, None, "lost"],
}


@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS.keys())
async def test_change_is_stored_once(platform, clock, faults):
    """A change is stored exactly once, whichever of its calls fails."""
    platform.faults.extend(faults)
    assert await operator(platform, clock).change(add("a"), "c1") == result.Ok(1)
    assert list(platform.configurations) == [1]
    assert await operator(platform, clock).change(add("a"), "c1") == result.Ok(1)


@pytest.mark.parametrize(
    ("expected", "name", "outcome"),
    [(None, "b", result.Ok), (None, "a", store.Conflict), (0, "b", store.Conflict), (7, "b", store.Conflict)],
)
async def test_race_of_two_operators(platform, clock, expected, name, outcome):
    """A change that loses a race is applied to the newer configuration or refused with its number."""

    async def other():
        platform.faults.clear()
        assert await operator(platform, clock).change(add("a"), "c1") == result.Ok(1)

    platform.faults.extend([None, None, None, other])
    answer = await operator(platform, clock).change(add(name), "c2", expected_number=expected)
    if outcome is result.Ok:
        assert answer == result.Ok(2)
    elif expected == 7:
        assert answer.err_value.number == 0
    else:
        assert isinstance(answer.err_value, outcome) and answer.err_value.number == 1
    if expected != 7:
        assert "a" in platform.configurations[max(platform.configurations)].organisations


@pytest.mark.parametrize("later", [1, configuration.RECENT_CHANGES + 2])
async def test_lost_answer_followed_by_other_changes(platform, clock, later):
    """A change stored before others is recognised, or reported as possibly stored after too many others."""

    async def others():
        platform.faults.clear()
        for number in range(later):
            await operator(platform, clock).change(add(f"o{number}"), f"o{number}")

    platform.faults.extend([None, None, None, "lost", others])
    answer = await operator(platform, clock).change(add("a"), "c1")
    assert "a" in platform.configurations[max(platform.configurations)].organisations
    assert answer == result.Ok(1) if later == 1 else answer.err_value.may_be_stored


@pytest.mark.parametrize(("faults", "may_be_stored"), [([], False), ([None, None, None, "lost"], True)])
async def test_outage_ends_in_time(platform, clock, faults, may_be_stored):
    """In an outage, a change fails within the deadline and reports whether it may have been stored."""
    platform.faults.extend([*faults, *["down"] * 100])
    answer = await operator(platform, clock).change(add("a"), "c1")
    assert answer.err_value.may_be_stored is may_be_stored
    assert clock.now() <= 5.0


@pytest.mark.parametrize("mutate", [add("a", rate=-1.0), add("a", services=("none",))])
async def test_invalid_change_is_refused(platform, clock, mutate):
    """An invalid configuration is never stored."""
    answer = await operator(platform, clock).change(mutate, "c1")
    assert isinstance(answer.err_value, store.Refused) and not platform.objects


async def test_removal_waits_and_does_not_break_a_paused_change(platform, clock):
    """A change paused between writing its parts and its index must not refer to parts removed in between."""
    collector = operator(platform, clock)
    await operator(platform, clock).change(add("a"), "c1")

    async def pause():
        platform.faults.clear()
        assert await collector.remove_unused_parts() == 0
        clock.time_s += 599
        assert await collector.remove_unused_parts() == 0
        clock.time_s += 2
        assert await collector.remove_unused_parts() == 1

    platform.faults.extend([None, None, None, None, pause])
    slow = operator(platform, clock, deadline_s=1000.0)
    assert await slow.change(add("b"), "c2") == result.Ok(2)
    assert set(platform.configurations[2].organisations) == {"a", "b"}


async def test_removal_does_not_take_a_part_that_is_used_again(platform, clock):
    """A part is kept if a change uses it again after the collector has selected it for removal."""
    collector = operator(platform, clock)
    await operator(platform, clock).change(add("a"), "c1")
    platform.faults.extend([*[None] * 4, *["down"] * 100])
    await operator(platform, clock).change(add("b"), "c2")
    platform.faults.clear()
    assert await collector.remove_unused_parts() == 0
    clock.time_s += 601

    async def reuse():
        assert await operator(platform, clock).change(add("b"), "c3") == result.Ok(2)

    platform.faults.extend([None, None, None, reuse])
    await collector.remove_unused_parts()
    assert set((await operator(platform, clock).read()).organisations) == {"a", "b"}


class StoreMachine(stateful.RuleBasedStateMachine):
    """Concurrent changes under faults, while VMs receive old, repeated and reordered pushes.

    No VM may go back to an older configuration, no change may be lost or overwritten, and no index may refer to a
    removed part.
    """

    faults = st.lists(st.sampled_from([None, None, None, "down", "lost", "race", "collect"]), max_size=12)

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock, self.platform = memory.Clock(), CheckedPlatform()
        self.operators = [operator(self.platform, self.clock) for _ in range(3)]
        self.vms = [directory.Directory(self.clock.now) for _ in range(3)]
        self.numbers = [0, 0, 0]
        self.accepted, self.refused, self.count = {}, set(), 0

    def teardown(self):
        """Close the event loop."""
        self.runner.close()

    async def change(self, index, expected=None):
        """Add an organisation and record whether the change was stored or refused."""
        self.count += 1
        name = f"o{self.count}"
        answer = await self.operators[index].change(add(name), name, expected_number=expected)
        if isinstance(answer, result.Ok):
            self.accepted[name] = answer.ok_value
            assert expected is None or answer.ok_value == expected + 1
        elif not getattr(answer.err_value, "may_be_stored", False):
            self.refused.add(name)

    def schedule_faults(self, names):
        """Schedule faults by name for the next calls of the platform."""

        async def race():
            remaining, self.platform.faults = list(self.platform.faults), type(self.platform.faults)()
            await self.change(2)
            self.platform.faults.extend(remaining)

        async def collect():
            remaining, self.platform.faults = list(self.platform.faults), type(self.platform.faults)()
            await self.run_collect()
            self.platform.faults.extend(remaining)

        self.platform.faults.extend({"race": race, "collect": collect}.get(name, name) for name in names)

    async def run_collect(self):
        """Run the collection of unused parts twice, more than the grace period apart."""
        for pause in (700.0, 0.0):
            try:
                await self.operators[1].remove_unused_parts()
            except errors.CurrantleadError:
                return
            self.clock.time_s += pause

    @stateful.rule(index=st.integers(0, 1), faults=faults, expects=st.booleans())
    def operator_changes(self, index, faults, expects):
        """Change the configuration under faults."""
        expected = max(self.platform.configurations, default=0) if expects else None
        self.schedule_faults(faults)
        self.runner.run(self.change(index, expected))
        self.platform.faults.clear()

    @stateful.rule(faults=faults)
    def collector_runs(self, faults):
        """Remove unused parts under faults."""
        self.schedule_faults(faults)
        self.runner.run(self.run_collect())
        self.platform.faults.clear()

    @stateful.rule(vm=st.integers(0, 2), seed=st.integers(0, 10**6), share=st.floats(0, 1))
    def relay_pushes(self, vm, seed, share):
        """Push a random selection of all objects ever stored, as a relay that was paused might."""
        generator = random.Random(seed)
        pushed = [stored for stored in self.platform.pushes if generator.random() < share]
        generator.shuffle(pushed)
        self.vms[vm].apply(pushed + pushed[:2])

    @stateful.invariant()
    def configurations_only_advance(self):
        """Each VM has a stored configuration, and never an older one than before."""
        for vm, cache in enumerate(self.vms):
            number = cache.configuration.number
            assert number >= self.numbers[vm]
            assert number == 0 or cache.configuration == self.platform.configurations[number]
            self.numbers[vm] = number

    @stateful.invariant()
    def changes_are_kept(self):
        """Each stored change is in all later configurations, and a refused one is in none."""
        for number, stored in self.platform.configurations.items():
            known = set(stored.organisations)
            assert not known & self.refused
            assert {name for name, at in self.accepted.items() if at <= number} <= known
        assert sorted(self.platform.configurations) == list(range(1, len(self.platform.configurations) + 1))


TestMachine = StoreMachine.TestCase
TestMachine.settings = hypothesis.settings(stateful_step_count=25)
