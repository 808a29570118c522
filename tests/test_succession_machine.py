"""Stateful property test: promotions lose no acknowledged commit, whatever fails while several VMs run them."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead.platform import calls, lines
from currantlead.sessions.decisions import promotion_choice
from currantlead.sessions.instances import fleet
from tests import promotion_model

VMS = st.integers(0, 2)
INSTANCES = st.integers(0, 5)
PAUSES_S = st.sampled_from([0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0])
DIRECTIONS = st.sampled_from(["both", "to", "from"])


class SuccessionMachine(stateful.RuleBasedStateMachine):
    """A service with three VMs; every rule lets a drawn time pass afterwards."""

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        """Start the service; the seed decides delays and which calls fail."""
        self.world = promotion_model.World(seed)

    def _instance(self, index):
        """Return an instance; 0 is the primary."""
        others = [item for item in self.world.instances.values() if item is not self.world.primary]
        return [self.world.primary or others[0], *others][index % (len(others) + 1)]

    def _cut(self, one, other, direction):
        if direction in ("both", "to"):
            self.world.cut.add((one, other))
        if direction in ("both", "from"):
            self.world.cut.add((other, one))

    @stateful.rule(seconds=PAUSES_S)
    def wait(self, seconds):
        """Let time pass."""
        self.world.run(seconds)

    @stateful.rule(vms=st.sets(VMS, min_size=1), index=st.just(0) | INSTANCES, direction=DIRECTIONS, pause_s=PAUSES_S)
    def cut_from_vms(self, vms, index, direction, pause_s):
        """Cut VMs off from an instance, mostly the primary."""
        for vm in vms:
            self._cut(self.world.names[vm], self._instance(index).name, direction)
        self.world.run(pause_s)

    @stateful.rule(replicas=st.sets(st.integers(1, 5), min_size=1), direction=DIRECTIONS, pause_s=PAUSES_S)
    def cut_replication(self, replicas, direction, pause_s):
        """Cut the primary off from replicas."""
        primary = self._instance(0)
        for index in replicas:
            if self._instance(index) is not primary:
                self._cut(primary.name, self._instance(index).name, direction)
        self.world.run(pause_s)

    @stateful.rule(drain_s=st.sampled_from([3.0, 5.0]), direction=DIRECTIONS, pause_s=PAUSES_S)
    def cut_except_draining(self, drain_s, direction, pause_s):
        """Let one replica drain, and cut the primary off from the replicas that don't drain."""
        primary = self._instance(0)
        self.drain(1, drain_s, 0.4)
        for item in self.world.instances.values():
            if item is not primary and not item.draining:
                self._cut(primary.name, item.name, direction)
        self.world.run(pause_s)

    @stateful.rule(vm=VMS, other=VMS | st.just(promotion_model.STORE), direction=DIRECTIONS, pause_s=PAUSES_S)
    def cut_vm(self, vm, other, direction, pause_s):
        """Cut a VM off from another one or from the store."""
        name = other if other == promotion_model.STORE else self.world.names[other]
        if name != self.world.names[vm]:
            self._cut(self.world.names[vm], name, direction)
        self.world.run(pause_s)

    @stateful.rule(pause_s=PAUSES_S)
    def mend_paths(self, pause_s):
        """Mend all paths."""
        self.world.cut.clear()
        self.world.run(pause_s)

    @stateful.rule(pause_s=PAUSES_S)
    def join(self, pause_s):
        """Add a replica."""
        if len(self.world.instances) < 6:
            self.world.join()
        self.world.run(pause_s)

    @stateful.rule(index=INSTANCES, drain_s=st.sampled_from([3.0, 5.0, 8.0]), pause_s=PAUSES_S)
    def drain(self, index, drain_s, pause_s):
        """Let an instance leave."""
        item = self._instance(index)
        if item.running and not item.draining:
            self.world.drain(item, drain_s)
        self.world.run(pause_s)

    @stateful.rule(index=INSTANCES, pause_s=PAUSES_S)
    def crash_or_restart(self, index, pause_s):
        """Crash an instance, or restart it with its log."""
        item = self._instance(index)
        if item.running:
            item.crash()
        else:
            item.restart()
        self.world.run(pause_s)

    @stateful.rule(vm=VMS, pause_s=PAUSES_S)
    def freeze_or_thaw(self, vm, pause_s):
        """Freeze a VM, or let it go on."""
        awake = self.world.vms[self.world.names[vm]].awake
        if awake.is_set():
            awake.clear()
        else:
            awake.set()
        self.world.run(pause_s)

    @stateful.rule(vm=VMS, pause_s=PAUSES_S)
    def restart_vm(self, vm, pause_s):
        """Kill a VM and start it again."""
        self.world.loop.run_until_complete(self._start_vm(self.world.names[vm]))
        self.world.run(pause_s)

    async def _start_vm(self, name):
        self.world.start_vm(name)

    @stateful.rule(faults=st.sampled_from([[""], ["", "late"], ["late"], ["", "late", "lost", "down"]]))
    def set_call_faults(self, faults):
        """Let part of the promotion calls get no answer, or take effect late."""
        self.world.call_faults = faults

    @stateful.rule(faults=st.sampled_from([[""], ["", "lost"], ["", "late", "down"]]))
    def set_store_faults(self, faults):
        """Let part of the store's calls get no answer, or take effect late."""
        self.world.store_faults = faults

    @stateful.invariant()
    def is_safe(self):
        """Check the promotions that took effect."""
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        """Check that the service recovers once all faults have ended."""
        if hasattr(self, "world"):
            try:
                # A failed check of safety is not repeated.
                if not any(effect.lost for effect in self.world.effects):
                    recovered = self.world.recover()
                    self.world.check()
                    assert recovered, "the service does not recover"
            finally:
                self.world.close()


# Shrinking a failure takes minutes.
TestSuccessionMachine = pytest.mark.timeout(400)(SuccessionMachine.TestCase)
TestSuccessionMachine.settings = hypothesis.settings(
    stateful_step_count=20, max_examples=max(100, hypothesis.settings.default.max_examples)
)


def _leave_with_the_only_copy(machine):
    machine.cut_except_draining(drain_s=3.0, direction="both", pause_s=3.0)
    machine.drain(index=0, drain_s=8.0, pause_s=3.0)


def _join_while_the_primary_is_unreachable(machine):
    machine.cut_from_vms(vms={0, 1}, index=0, direction="both", pause_s=1.0)
    machine.join(pause_s=3.0)


def _overlap_with_late_calls(machine):
    machine.set_call_faults(faults=["late"])
    machine.drain(index=0, drain_s=8.0, pause_s=3.0)
    machine.wait(seconds=6.0)
    machine.crash_or_restart(index=0, pause_s=3.0)


def _primary_restarts_after_the_choice(machine):
    machine.crash_or_restart(index=0, pause_s=0.8)
    machine.crash_or_restart(index=0, pause_s=0.0)
    machine.join(pause_s=1.5)


def _primary_is_reachable_again_after_the_choice(machine):
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=1.8)
    machine.mend_paths(pause_s=0.0)
    machine.join(pause_s=1.5)


def _only_a_vm_that_was_frozen_reaches_the_primary(machine):
    machine.freeze_or_thaw(vm=2, pause_s=0.0)
    machine.cut_from_vms(vms={0, 1}, index=0, direction="both", pause_s=1.8)
    machine.join(pause_s=0.2)
    machine.freeze_or_thaw(vm=2, pause_s=1.5)


def _only_a_vm_without_contact_reaches_the_primary(machine):
    machine.cut_vm(vm=2, other=0, direction="both", pause_s=0.0)
    machine.cut_vm(vm=2, other=1, direction="both", pause_s=0.0)
    machine.cut_from_vms(vms={0, 1}, index=0, direction="both", pause_s=2.0)
    machine.join(pause_s=1.5)


def _store_fails_between_pause_and_order(machine):
    machine.mend_paths(pause_s=0.1)
    machine.set_store_faults(faults=["", "late", "down"])
    machine.crash_or_restart(index=4, pause_s=0.8)
    machine.freeze_or_thaw(vm=2, pause_s=0.0)
    machine.cut_vm(vm=2, other=0, direction="both", pause_s=1.5)
    machine.join(pause_s=0.0)


def _answer_to_a_pause_is_lost(machine):
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=2.0)
    machine.cut_from_vms(vms={1}, index=2, direction="from", pause_s=0.4)
    machine.mend_paths(pause_s=3.0)


def _pause_is_lost(machine):
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=2.0)
    machine.cut_from_vms(vms={1}, index=2, direction="to", pause_s=0.4)
    machine.mend_paths(pause_s=3.0)


def _vm_is_frozen_after_its_pauses(machine):
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=2.0)
    machine.freeze_or_thaw(vm=1, pause_s=0.0)
    machine.mend_paths(pause_s=3.0)


def _late_call_acts_during_the_next_attempt(machine):
    machine.set_call_faults(faults=["late"])
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=3.0)
    machine.freeze_or_thaw(vm=1, pause_s=0.0)
    machine.mend_paths(pause_s=9.0)


def _store_refuses_the_order(machine):
    machine.crash_or_restart(index=4, pause_s=0.8)
    machine.set_store_faults(faults=["", "late", "down"])
    machine.join(pause_s=0.1)


def _ordered_instance_leaves_before_the_old_primary_is_back(machine):
    machine.join(pause_s=0.0)
    machine.join(pause_s=0.0)
    machine.cut_except_draining(direction="both", drain_s=3.0, pause_s=0.2)
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=0.0)
    machine.join(pause_s=3.0)


def _vm_is_killed_after_its_pauses(machine):
    machine.cut_from_vms(vms={0, 1, 2}, index=0, direction="both", pause_s=1.5)
    machine.cut_except_draining(drain_s=3.0, direction="to", pause_s=0.1)
    machine.restart_vm(vm=1, pause_s=0.0)
    machine.join(pause_s=0.0)


def _primary_is_back_before_the_order_is_recorded(machine):
    machine.crash_or_restart(index=1, pause_s=0.0)
    machine.cut_from_vms(vms={0}, index=0, direction="to", pause_s=3.0)
    machine.join(pause_s=0.0)
    machine.set_store_faults(faults=["", "late", "down"])
    machine.wait(seconds=0.05)
    machine.join(pause_s=3.0)
    machine.crash_or_restart(index=0, pause_s=3.0)
    machine.join(pause_s=0.8)


SEEDS_BY_SCHEDULE = {
    _leave_with_the_only_copy: range(10),
    _join_while_the_primary_is_unreachable: range(10),
    _overlap_with_late_calls: range(45),
    _primary_restarts_after_the_choice: range(10),
    _primary_is_reachable_again_after_the_choice: range(40),
    _only_a_vm_that_was_frozen_reaches_the_primary: range(10),
    _only_a_vm_without_contact_reaches_the_primary: range(10),
    _store_fails_between_pause_and_order: [360],
    _answer_to_a_pause_is_lost: range(10),
    _pause_is_lost: range(10),
    _vm_is_frozen_after_its_pauses: range(10),
    _late_call_acts_during_the_next_attempt: [68],
    _store_refuses_the_order: [784, 16],
    _ordered_instance_leaves_before_the_old_primary_is_back: range(4),
    _vm_is_killed_after_its_pauses: [912, 0],
    _primary_is_back_before_the_order_is_recorded: [141],
}


@pytest.mark.parametrize("schedule", SEEDS_BY_SCHEDULE, ids=lambda schedule: schedule.__name__)
def test_schedule_keeps_acknowledged_commits(schedule):
    """Guards against losses and lasting pauses that the state machine has found; the seed decides when calls act."""
    _run_schedule(schedule)


def _run_schedule(schedule):
    for seed in SEEDS_BY_SCHEDULE[schedule]:
        machine = SuccessionMachine()
        machine.start(seed=seed)
        try:
            schedule(machine)
            machine.is_safe()
        finally:
            machine.teardown()


def _call_without_number(service, instance_id, holder, generation, *, build=calls.promote_call):
    return build(service, instance_id, holder, 1)


def _pass_on_while_an_order_is_recorded(patch):
    """Let VMs take commits until they learn of the order; contact with the VM that holds them back would tell them."""
    patch.setattr(fleet.Fleet, "hold_commits", lambda *_: None)
    promotion_model.break_contact(patch)


BROKEN_RULES = {
    "nothing is missed": (
        "LOST",
        _leave_with_the_only_copy,
        lambda patch: patch.setattr(promotion_choice, "explain_missing", lambda *_: ""),
    ),
    "commits are not held": (
        "LOST",
        _overlap_with_late_calls,
        _pass_on_while_an_order_is_recorded,
    ),
    "commits need no contact": ("LOST", _only_a_vm_without_contact_reaches_the_primary, promotion_model.break_contact),
    "calls are not numbered": (
        "ONE",
        _overlap_with_late_calls,
        lambda patch: patch.setattr(calls, "promote_call", _call_without_number),
    ),
    "pauses last": (
        "does not recover",
        _pause_is_lost,
        lambda patch: patch.setattr(lines.InstanceCodec, "encode_resume", lines.InstanceCodec.encode_status),
    ),
}


def _check_only(message, monkeypatch):
    """Let only violations of the rule with a message count, as one broken rule may violate others earlier."""
    checks = {"LOST": promotion_model.World.check_promotions, "ONE": promotion_model.World.check_numbers}
    if message in checks:
        monkeypatch.setattr(promotion_model.World, "check", checks[message])


@pytest.mark.parametrize(
    "rule", ["commits are not held", "commits need no contact", "calls are not numbered", "pauses last"]
)
def test_schedule_detects_broken_rule(rule, monkeypatch):
    """Guards against schedules that pass because they no longer reach the fault."""
    message, schedule, break_rule = BROKEN_RULES[rule]
    break_rule(monkeypatch)
    _check_only(message, monkeypatch)
    with pytest.raises(AssertionError, match=message):
        _run_schedule(schedule)


@pytest.mark.timeout(240)
@pytest.mark.parametrize("rule", ["nothing is missed", "calls are not numbered"])
def test_state_machine_detects_broken_rule(rule, monkeypatch):
    """Guards against a state machine test that passes because its schedules never reach the fault."""
    message, _, break_rule = BROKEN_RULES[rule]
    break_rule(monkeypatch)
    _check_only(message, monkeypatch)
    monkeypatch.setattr(promotion_model.World, "recover", lambda world: True)
    settings = hypothesis.settings(
        stateful_step_count=20,
        max_examples=1500,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        database=None,
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError, match=message):
        stateful.run_state_machine_as_test(SuccessionMachine, settings=settings)
