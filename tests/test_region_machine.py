"""Stateful property test: cuts of whole regions and entries that are removed lose no acknowledged commit."""

import contextlib

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead.sessions.decisions import acknowledgements, promotion_choice
from currantlead.sessions.failover import promotion
from currantlead.sessions.instances import replacements
from tests import promotion_model

PAUSES_S = st.sampled_from([0.0, 0.1, 0.4, 0.8, 1.5, 3.0])
SETTLED_S = 20.5
"""Time after the start from which VMs know all recent departures."""


class RegionMachine(stateful.RuleBasedStateMachine):
    """A service with three VMs, each in a region of its own; every rule lets a drawn time pass afterwards."""

    @stateful.initialize(seed=st.integers(0, 1000), settled=st.booleans())
    def start(self, seed, settled):
        """Start the service; the seed decides delays."""
        self.world = promotion_model.World(seed)
        self.region = set()
        if settled:
            self.world.run(SETTLED_S)

    def _replicas(self):
        return [item for item in self.world.instances.values() if item is not self.world.primary]

    @stateful.rule(seconds=PAUSES_S)
    def wait(self, seconds):
        """Let time pass."""
        self.world.run(seconds)

    @stateful.rule(share=st.sampled_from([0.05, 1.0]), pause_s=PAUSES_S)
    def set_pace(self, share, pause_s):
        """Let the service be quiet or busy."""
        self.world.commit_share = share
        self.world.run(pause_s)

    @stateful.rule(vm=st.integers(0, 2), replica=st.none() | st.integers(0, 3), pause_s=PAUSES_S)
    def cut_off_region(self, vm, replica, pause_s):
        """Cut off the region of the primary, with one VM and perhaps a replica, from all others and the store."""
        if self.world.primary is not None and not self.region:
            self.region = {self.world.names[vm], self.world.primary.name}
            replicas = self._replicas()
            if replica is not None and replica < len(replicas) - 1:
                self.region.add(replicas[replica].name)
            self.world.cut_off(self.region)
        self.world.run(pause_s)

    @stateful.precondition(lambda machine: machine.region)
    @stateful.rule(pause_s=PAUSES_S)
    def join_inside(self, pause_s):
        """Start a replica in the region that is cut off, 0.6 s after the cut at least; it cannot write its entry."""
        if len(self.world.instances) < 6:
            self.world.run(0.6)
            item = self.world.join(delay_s=0.0, inside=self.region)
            self.region.add(item.name)
        self.world.run(pause_s)

    @stateful.rule(pause_s=PAUSES_S)
    def join(self, pause_s):
        """Start a replica outside."""
        if len(self.world.instances) < 6 and not self.region:
            self.world.join()
        self.world.run(pause_s)

    @stateful.rule(pause_s=PAUSES_S)
    def cut_replication(self, pause_s):
        """Let the replicas that do not drain receive nothing."""
        if self.world.primary is not None:
            for item in self._replicas():
                if not item.draining:
                    self.world.cut |= {(self.world.primary.name, item.name)}
        self.world.run(pause_s)

    @stateful.rule(index=st.integers(0, 4), drain_s=st.sampled_from([5.0, 8.0]), pause_s=PAUSES_S)
    def drain(self, index, drain_s, pause_s):
        """Let an instance leave; 0 is the primary."""
        items = [*filter(None, [self.world.primary]), *self._replicas()]
        item = items[index % len(items)]
        if not item.draining and not self.region:
            self.world.drain(item, drain_s)
        self.world.run(pause_s)

    @stateful.rule(drain_s=st.sampled_from([5.0, 8.0]), pause_s=PAUSES_S)
    def silence_draining(self, drain_s, pause_s):
        """Let a replica drain that alone receives; the store removes its entry, because it has not heard of it."""
        replicas = self._replicas()
        if self.world.primary is not None and not self.region and replicas and not replicas[0].draining:
            self.world.drain(replicas[0], drain_s)
            self.world.run(0.4)
            self.world.objects.pop((promotion_model.objects.INSTANCES, replicas[0].name), None)
            self.cut_replication(pause_s)

    @stateful.rule(pause_s=PAUSES_S)
    def mend_paths(self, pause_s):
        """Mend all paths."""
        self.region = set()
        self.world.mend()
        self.world.run(pause_s)

    @stateful.invariant()
    def is_safe(self):
        """Check the promotions that took effect."""
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        """End the run."""
        if hasattr(self, "world"):
            self.world.close()


class RecoveryMachine(RegionMachine):
    """The same, with a check that the service recovers once all faults have ended."""

    def teardown(self):
        """Check the recovery."""
        if hasattr(self, "world"):
            self.world.end()


SETTINGS = hypothesis.settings(stateful_step_count=15, max_examples=max(100, hypothesis.settings.default.max_examples))
TestRegionMachine = pytest.mark.timeout(400)(RegionMachine.TestCase)
TestRegionMachine.settings = SETTINGS
# Shrinking a failure takes minutes.
TestRecoveryMachine = pytest.mark.timeout(400)(RecoveryMachine.TestCase)
TestRecoveryMachine.settings = SETTINGS


def _take_removed_entries_for_ends(patch):
    record = replacements.Departures.record

    def record_end(departures, instance, gone_at, ended_at=None):
        record(departures, instance, gone_at, gone_at if instance.draining else ended_at)

    patch.setattr(replacements.Departures, "record", record_end)


def _take_known_replicas_for_all(patch):
    explain_missing = promotion_choice.explain_missing

    def explain(situation, position):
        reason = explain_missing(situation, position)
        return "" if "entry is not known yet" in reason else reason

    patch.setattr(promotion_choice, "explain_missing", explain)


def _play(schedule, seeds, *, loses):
    """Play a schedule with several seeds; with a fault put back, one of them has to lose a commit."""
    with pytest.raises(AssertionError, match="LOST") if loses else contextlib.nullcontext():
        for seed in seeds:
            schedule(seed)


def _lose_a_draining_replica_of_a_quiet_service(seed):
    machine = RegionMachine()
    machine.start(seed=seed, settled=True)
    try:
        machine.set_pace(share=0.05, pause_s=3.0)
        machine.silence_draining(drain_s=8.0, pause_s=1.5)
        machine.wait(seconds=1.5)
        machine.drain(index=0, drain_s=8.0, pause_s=3.0)
        machine.is_safe()
    finally:
        machine.teardown()


@pytest.mark.parametrize("is_broken", [False, True])
def test_draining_replica_without_entry_keeps_commits_of_a_quiet_service(is_broken, monkeypatch):
    """Guards against taking a removed entry for the end of its instance; with that fault, some seeds lose a commit."""
    if is_broken:
        _take_removed_entries_for_ends(monkeypatch)
        # The reports that a promotion needs with a demoted primary would show the commit, too.
        _take_known_replicas_for_all(monkeypatch)
    _play(_lose_a_draining_replica_of_a_quiet_service, range(40), loses=is_broken)


def _cut_off_region_for_half_a_minute(seed):
    """Cut off the primary, a replica and a VM, after that replica alone has received the last commits of that VM."""
    machine = RecoveryMachine()
    machine.start(seed=seed, settled=True)
    world = machine.world
    try:
        primary, beside, *others = [world.primary, *machine._replicas()]
        inside = world.names[seed % 3]
        world.cut |= {(primary.name, item.name) for item in others}
        world.cut |= {(vm, primary.name) for vm in world.names if vm != inside}
        machine.wait(seconds=0.3)
        world.cut_off({inside, primary.name, beside.name})
        machine.wait(seconds=3.6)
        for item in (primary, beside):
            world.objects.pop((promotion_model.objects.INSTANCES, item.name), None)
        machine.wait(seconds=30.0)
        machine.is_safe()
    finally:
        machine.teardown()


def _record_nothing(patch):
    merge = acknowledgements.AcknowledgedCommits.merge

    def merge_unless_recorded(known, service, reported):
        if reported.sent_at > float("-inf"):
            merge(known, service, reported)

    patch.setattr(acknowledgements.AcknowledgedCommits, "merge", merge_unless_recorded)


@pytest.mark.parametrize("is_broken", [False, True])
def test_region_that_is_cut_off_for_half_a_minute_loses_no_commit(is_broken, monkeypatch):
    """Guards against promoting without a commit that only a replica in the region of the primary has.

    With the fault that no other region records commits, some seeds lose one.
    """
    if is_broken:
        _record_nothing(monkeypatch)
    _play(_cut_off_region_for_half_a_minute, range(12), loses=is_broken)


def _lose_region(seed):
    """Cut off the primary, a replica and a VM for good, after all replicas have received the commits."""
    machine = RegionMachine()
    machine.start(seed=seed, settled=True)
    world = machine.world
    try:
        primary, beside, *_ = [world.primary, *machine._replicas()]
        world.commit_share = 0.0
        machine.wait(seconds=1.5)
        world.cut_off({world.names[seed % 3], primary.name, beside.name})
        world.commit_share = 1.0
        machine.wait(seconds=3.6)
        for item in (primary, beside):
            world.objects.pop((promotion_model.objects.INSTANCES, item.name), None)
        machine.wait(seconds=10.0)
        machine.is_safe()
        return world.primary is not primary and max(world.acknowledged.values()) > world.loop.time() - 2.0
    finally:
        machine.teardown()


def test_region_that_is_lost_with_a_replica_is_replaced_if_the_others_have_all_commits():
    """Guards against waiting for a region that is gone for good: the VMs outside know that nothing is missing."""
    assert all(_lose_region(seed) for seed in range(12))


def _split_across_regions(seed):
    """Cut off the primary with VMs of two regions, and start two replicas that both sides reach."""
    machine = RegionMachine()
    machine.start(seed=seed, settled=False)
    world = machine.world
    try:
        world.cut_off({world.names[0], world.names[1], world.primary.name})
        world.run(1.2 + seed % 8 * 0.1)
        for _ in range(3):
            world.join(delay_s=0.9)
            machine.wait(seconds=0.4)
            machine.is_safe()
        machine.wait(seconds=3.0)
        machine.is_safe()
        world.mend()
        machine.wait(seconds=10.0)
        machine.is_safe()
        assert max(world.acknowledged.values()) > world.loop.time() - 2.0, "no commit is acknowledged after the split"
    finally:
        machine.teardown()


@pytest.mark.parametrize("is_broken", [False, True])
def test_vms_of_two_regions_on_the_side_of_the_primary_give_each_other_contact(is_broken, monkeypatch):
    """Guards against promoting while VMs that were not told of it go on with commits at a primary that still leads.

    A replica that starts then acknowledges them. With that fault, some seeds lose a commit.
    """
    if is_broken:
        monkeypatch.setattr(promotion.Promotion, "_find_unnoticed_commits", lambda *_: "")
    _play(_split_across_regions, range(40), loses=is_broken)


@pytest.mark.timeout(400)
def test_state_machine_detects_commits_without_contact(monkeypatch):
    """Guards against a state machine test that passes because its schedules never reach the fault."""
    promotion_model.break_contact(monkeypatch)
    monkeypatch.setattr(promotion_model.World, "check", promotion_model.World.check_promotions)
    settings = hypothesis.settings(
        stateful_step_count=15,
        max_examples=1500,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        database=None,
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError, match="LOST"):
        stateful.run_state_machine_as_test(RegionMachine, settings=settings)
