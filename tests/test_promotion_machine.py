"""Random schedules of promotions, messages and faults keep the safety rules."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead import errors
from currantlead.control import failover, promotion
from tests import group_model

COORDINATORS = st.integers(0, 2)
INSTANCES = st.sampled_from(group_model.NAMES)
FATES = st.sampled_from(["arrives", "arrives", "arrives", "lost", "answer lost"])


class PromotionMachine(stateful.RuleBasedStateMachine):
    """Run up to three coordinators; one that is given no step is frozen, and its messages may arrive late."""

    conditional = True

    def __init__(self):
        super().__init__()
        self.cluster = group_model.Cluster(conditional=self.conditional)
        self.steps = {}
        self.pending = {0: [], 1: [], 2: []}
        self.now = 0.0

    @stateful.rule(who=COORDINATORS, successor=st.none() | INSTANCES, excluded=st.none() | INSTANCES)
    def begin(self, who, successor, excluded=None):
        """A coordinator starts, with no evidence at all: safety must not rest on suspicion."""
        if who in self.steps and not self.steps[who].ended:
            return
        group = self.cluster.store.group
        self.steps[who] = promotion.Promotion(group, now=self.now, target=successor, excluded=excluded)
        self.pending[who] += [(self.steps[who], action) for action in self.steps[who].start()]

    @stateful.rule(who=COORDINATORS, pick=st.integers(0, 5), fate=FATES)
    def act(self, who, pick, fate):
        """One of a coordinator's actions is carried out, lost, or its answer is lost."""
        who = next((other for other in (who, 0, 1, 2) if self.pending[other]), None)
        if who is None:
            return
        steps, action = self.pending[who].pop(pick % len(self.pending[who]))
        answers = self._carry_out(steps, action, fate)
        self.pending[who] += [(steps, answer) for answer in answers]

    @stateful.rule(who=COORDINATORS, length=st.sampled_from([2, 4, 12, 12]), cut=st.sets(INSTANCES, max_size=2))
    def run_on(self, who, length, cut):
        """A coordinator starts if it is idle and runs on; messages to the instances in ``cut`` are lost."""
        self.begin(who, None)
        for _ in range(length):
            if not self.pending[who]:
                self.wait(who, 0.3)
            if self.pending[who]:
                lost = getattr(self.pending[who][0][1], "instance", None) in cut
                self.act(who, 0, "lost" if lost else "arrives")
                self.cluster.check()

    @stateful.rule(
        pair=st.permutations([0, 1, 2]), turns=st.lists(st.integers(0, 1), min_size=4, max_size=16), cut=INSTANCES
    )
    def race(self, pair, turns, cut):
        """Two coordinators start from the same record and take turns; one of them cannot reach one instance."""
        self.begin(pair[0], None)
        self.begin(pair[1], None)
        for turn in turns:
            self.run_on(pair[turn], 2, {cut} if turn else set())

    @stateful.rule(who=COORDINATORS, forget=st.booleans())
    def crash(self, who, forget):
        """A coordinator dies; messages that it sent may still arrive."""
        self.steps.pop(who, None)
        if forget:
            self.pending[who].clear()

    @stateful.rule(who=COORDINATORS, seconds=st.sampled_from([0.1, 0.3, 2.0]))
    def wait(self, who, seconds):
        """Time passes, and one coordinator notices."""
        self.now += seconds
        if who in self.steps:
            self.pending[who] += [(self.steps[who], a) for a in self.steps[who].tick(self.now)]

    @stateful.rule(who=COORDINATORS, name=INSTANCES, hears=st.booleans())
    def repair(self, who, name, hears):
        """A monitor tells an instance its recorded role; the message may arrive much later."""
        status = self.cluster.instances[name].status()
        order = failover.repair(self.cluster.store.group, status, primary_answers=hears)
        if order is not None:
            self.pending[who].append((None, order))

    @stateful.rule(pick=st.integers(0, 1), count=st.integers(1, 3), replicas=st.sets(INSTANCES))
    def write(self, pick, count, replicas):
        """Callers write to an instance that acts as primary; some replicas receive it, others lag."""
        primaries = [i.name for i in self.cluster.instances.values() if i.role == "primary"]
        if primaries:
            name = primaries[pick % len(primaries)]
            for _ in range(count):
                self.cluster.write(name)
            for replica in sorted(replicas):
                self.replicate(name, replica, 9)

    @stateful.rule(source=INSTANCES, replica=INSTANCES, count=st.integers(1, 4))
    def replicate(self, source, replica, count):
        """A replica receives a few records; one that gets no turn lags."""
        for _ in range(count):
            self.cluster.replicate(source, replica)

    @stateful.rule(name=INSTANCES)
    def stop_or_return(self, name):
        """An instance is cut off, or returns with its log and its role; a majority stays up."""
        if all(i.up for i in self.cluster.instances.values()) or not self.cluster.instances[name].up:
            self.cluster.instances[name].up = not self.cluster.instances[name].up

    @stateful.invariant()
    def safe(self):
        """No acknowledged write is lost, no term has two primaries, no replaced primary acknowledges."""
        self.cluster.check()

    def _carry_out(self, steps, action, fate):
        if isinstance(action, promotion.Done):
            return []
        if isinstance(action, promotion.Write):
            return self._write(steps, action, fate)
        instance = self.cluster.instances[action.instance]
        arrives = fate != "lost" and instance.up
        status = None
        if arrives:
            status = instance.set_term(action) if isinstance(action, failover.SetTerm) else instance.status()
        if fate == "answer lost":
            status = None
        if steps is None or steps not in self.steps.values():
            return []
        if isinstance(action, promotion.Ask):
            return steps.observed(action.instance, status, self.now)
        return steps.term_set(action.instance, status, self.now)

    def _write(self, steps, action, fate):
        written = None
        if fate != "lost":
            try:
                written = self.cluster.store.write(action.group)
            except errors.VersionConflictError:
                fate = "lost"
        if steps not in self.steps.values():
            return []
        if fate == "arrives":
            return steps.written(written, self.now)
        return steps.write_failed("no answer")


TestPromotionMachine = PromotionMachine.TestCase
TestPromotionMachine.settings = hypothesis.settings(
    stateful_step_count=25, max_examples=max(300, hypothesis.settings.default.max_examples)
)


def _choose_any(candidates, preferred):
    return min(candidates, key=lambda status: status.instance)


BROKEN_RULES = {
    "any replica wins": lambda patch: patch.setattr(promotion, "choose", _choose_any),
    "one instance is a majority": lambda patch: patch.setattr(failover, "majority", lambda count: 1),
    "unconditional update": lambda patch: patch.setattr(PromotionMachine, "conditional", False),
}


# The slowest trial takes 8 s on an idle core; the general limit of 60 s is too close on a busy machine.
@pytest.mark.timeout(240)
@pytest.mark.parametrize("rule", BROKEN_RULES)
def test_machine_finds_broken_rule(rule, monkeypatch):
    """Guards against a machine that passes because its schedules never reach a fault."""
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
