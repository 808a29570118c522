"""Stateful property test: promotions stay safe under random schedules, lost messages and failed instances."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead import errors
from currantlead.control import failover, promotion
from tests import group_model

COORDINATORS = st.integers(0, 2)
INSTANCES = st.sampled_from(group_model.NAMES)
OUTCOMES = st.sampled_from(["arrives", "arrives", "arrives", "lost", "answer lost"])


class PromotionMachine(stateful.RuleBasedStateMachine):
    """Up to three coordinators that act on one group.

    A coordinator that gets no step behaves like a paused process, and its messages may arrive late.
    """

    conditional = True

    def __init__(self):
        super().__init__()
        self.cluster = group_model.Cluster(conditional=self.conditional)
        self.promotions = {}
        self.pending = {0: [], 1: [], 2: []}
        self.now = 0.0

    @stateful.rule(coordinator=COORDINATORS, successor=st.none() | INSTANCES, excluded=st.none() | INSTANCES)
    def start_promotion(self, coordinator, successor, excluded=None):
        """Start a promotion without any sign of a failure, since safety must not depend on failure detection."""
        if coordinator in self.promotions and not self.promotions[coordinator].ended:
            return
        group = self.cluster.store.group
        self.promotions[coordinator] = promotion.Promotion(group, now=self.now, target=successor, excluded=excluded)
        self.pending[coordinator] += [
            (self.promotions[coordinator], action) for action in self.promotions[coordinator].start()
        ]

    @stateful.rule(coordinator=COORDINATORS, index=st.integers(0, 5), outcome=OUTCOMES)
    def execute_action(self, coordinator, index, outcome):
        """Carry out one action of a coordinator, or lose the message or its answer."""
        coordinator = next((other for other in (coordinator, 0, 1, 2) if self.pending[other]), None)
        if coordinator is None:
            return
        machine, action = self.pending[coordinator].pop(index % len(self.pending[coordinator]))
        answers = self._carry_out(machine, action, outcome)
        self.pending[coordinator] += [(machine, answer) for answer in answers]

    @stateful.rule(
        coordinator=COORDINATORS, length=st.sampled_from([2, 4, 12, 12]), unreachable=st.sets(INSTANCES, max_size=2)
    )
    def run_coordinator(self, coordinator, length, unreachable):
        """Run a coordinator, from the start if it is idle; messages to ``unreachable`` instances are lost."""
        self.start_promotion(coordinator, None)
        for _ in range(length):
            if not self.pending[coordinator]:
                self.wait(coordinator, 0.3)
            if self.pending[coordinator]:
                lost = getattr(self.pending[coordinator][0][1], "instance", None) in unreachable
                self.execute_action(coordinator, 0, "lost" if lost else "arrives")
                self.cluster.check()

    @stateful.rule(
        order=st.permutations([0, 1, 2]),
        turns=st.lists(st.integers(0, 1), min_size=4, max_size=16),
        unreachable=INSTANCES,
    )
    def race(self, order, turns, unreachable):
        """Interleave two coordinators that start from the same record; one of them cannot reach one instance."""
        self.start_promotion(order[0], None)
        self.start_promotion(order[1], None)
        for turn in turns:
            self.run_coordinator(order[turn], 2, {unreachable} if turn else set())

    @stateful.rule(coordinator=COORDINATORS, drop_messages=st.booleans())
    def crash(self, coordinator, drop_messages):
        """Crash a coordinator; messages that it has sent may still arrive."""
        self.promotions.pop(coordinator, None)
        if drop_messages:
            self.pending[coordinator].clear()

    @stateful.rule(coordinator=COORDINATORS, seconds=st.sampled_from([0.1, 0.3, 2.0]))
    def wait(self, coordinator, seconds):
        """Advance the clock and let one coordinator handle it."""
        self.now += seconds
        if coordinator in self.promotions:
            self.pending[coordinator] += [
                (self.promotions[coordinator], a) for a in self.promotions[coordinator].tick(self.now)
            ]

    @stateful.rule(coordinator=COORDINATORS, name=INSTANCES, primary_answers=st.booleans())
    def correct_role(self, coordinator, name, primary_answers):
        """Send an instance the command that corrects its role; it may arrive much later."""
        status = self.cluster.instances[name].status()
        command = failover.role_correction(self.cluster.store.group, status, primary_answers=primary_answers)
        if command is not None:
            self.pending[coordinator].append((None, command))

    @stateful.rule(index=st.integers(0, 1), count=st.integers(1, 3), replicas=st.sets(INSTANCES))
    def write(self, index, count, replicas):
        """Write records to an instance that acts as primary; only some replicas receive them."""
        primaries = [i.name for i in self.cluster.instances.values() if i.role == "primary"]
        if primaries:
            name = primaries[index % len(primaries)]
            for _ in range(count):
                self.cluster.write(name)
            for replica in sorted(replicas):
                self.replicate(name, replica, 9)

    @stateful.rule(source=INSTANCES, replica=INSTANCES, count=st.integers(1, 4))
    def replicate(self, source, replica, count):
        """Replicate a few records to one replica."""
        for _ in range(count):
            self.cluster.replicate(source, replica)

    @stateful.rule(name=INSTANCES)
    def stop_or_restart(self, name):
        """Stop an instance, or restart it with its log and role; a majority stays up."""
        if all(i.up for i in self.cluster.instances.values()) or not self.cluster.instances[name].up:
            self.cluster.instances[name].up = not self.cluster.instances[name].up

    @stateful.invariant()
    def is_safe(self):
        """Check that no acknowledged write is lost, no term has two primaries, and no replaced primary acknowledges."""
        self.cluster.check()

    def _carry_out(self, machine, action, outcome):
        if isinstance(action, promotion.Ended):
            return []
        if isinstance(action, promotion.WriteRecord):
            return self._write(machine, action, outcome)
        instance = self.cluster.instances[action.instance]
        arrives = outcome != "lost" and instance.up
        status = None
        if arrives:
            status = instance.set_term(action) if isinstance(action, failover.SetTerm) else instance.status()
        if outcome == "answer lost":
            status = None
        if machine is None or machine not in self.promotions.values():
            return []
        if isinstance(action, promotion.RequestStatus):
            return machine.status_received(action.instance, status, self.now)
        return machine.set_term_answered(action.instance, status, self.now)

    def _write(self, machine, action, outcome):
        written = None
        if outcome != "lost":
            try:
                written = self.cluster.store.write(action.group)
            except errors.VersionConflictError:
                outcome = "lost"
        if machine not in self.promotions.values():
            return []
        if outcome == "arrives":
            return machine.record_written(written, self.now)
        return machine.record_write_failed("no answer")


TestPromotionMachine = PromotionMachine.TestCase
TestPromotionMachine.settings = hypothesis.settings(
    stateful_step_count=25, max_examples=max(300, hypothesis.settings.default.max_examples)
)


def _choose_any(candidates, preferred):
    return min(candidates, key=lambda status: status.instance)


BROKEN_RULES = {
    "any replica wins": lambda patch: patch.setattr(promotion, "choose_winner", _choose_any),
    "one instance is a majority": lambda patch: patch.setattr(failover, "majority", lambda count: 1),
    "unconditional update": lambda patch: patch.setattr(PromotionMachine, "conditional", False),
}


# The slowest case takes 8 s on an idle core, which may exceed the default time-out of 60 s on a busy machine.
@pytest.mark.timeout(240)
@pytest.mark.parametrize("rule", BROKEN_RULES)
def test_state_machine_detects_broken_rule(rule, monkeypatch):
    """Guards against a state machine test that passes because its schedules never reach the fault."""
    BROKEN_RULES[rule](monkeypatch)
    settings = hypothesis.settings(
        stateful_step_count=25,
        max_examples=3000,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        database=None,
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(PromotionMachine, settings=settings)
