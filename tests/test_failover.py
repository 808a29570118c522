"""Decision tables of suspicion, evidence, planned changes and the recorded start of a term."""

import dataclasses

import pytest

from currantlead.control import drain, failover, model, promotion
from tests import group_model

GROUP = group_model.make_group()
STATES = model.ServiceState


def status(name, *, role="replica", term=1, log_term=1, received=5, age=0.1):
    """Return the answer of an instance."""
    return failover.Status(name, role, term, log_term, received, received, age)


def rank(_key, candidates):
    """Order candidates by name."""
    return sorted(candidates)


def view(domain, *vms):
    """Return a view with these VMs."""
    return model.View(domain, 1, tuple(model.Member(vm, domain, 1, "") for vm in vms))


@pytest.mark.parametrize(
    ("b", "c", "confirmed"),
    [
        (status("b", age=1.2), status("c", age=1.2), True),
        (status("b", age=1.2), None, True),
        (status("b", age=1.2), status("c", age=0.2), True),
        (status("b", age=None), None, True),
        (status("b", age=0.9), status("c", age=0.2), False),
        (None, None, False),
        (status("b", age=1.2, term=2), status("c", age=1.2), False),
    ],
)
def test_evidence_needs_a_replica(b, c, confirmed):
    """Guards against a promotion because one VM alone lost sight of the primary."""
    assert failover.weigh(GROUP, {"a": None, "b": b, "c": c}).confirmed is confirmed


def test_answering_primary_is_no_evidence():
    """Guards against a promotion while the primary still answers the monitor."""
    answers = {"a": status("a", role="primary"), "b": status("b", age=9), "c": status("c", age=9)}
    assert not failover.weigh(GROUP, answers).confirmed


@pytest.mark.parametrize(
    ("b", "c", "isolated"),
    [
        (status("b", age=1.2), status("c", age=1.2), True),
        (status("b", age=None), status("c", age=1.2), True),
        (status("b", age=1.2), status("c", age=0.2), False),
        (status("b", age=1.2), None, False),
        (status("b", age=1.2), status("c", age=1.2, term=2), False),
    ],
)
def test_isolation_needs_a_majority_besides_the_primary(b, c, isolated):
    """Guards against replacing a primary that can acknowledge, and against excluding it without a majority."""
    answers = {"a": status("a", role="primary"), "b": b, "c": c}
    assert failover.is_isolated(GROUP, answers) is isolated


@pytest.mark.parametrize(
    ("polls", "place", "suspected"),
    [
        ([(0.5, False), (1.0, False)], 0, True),
        ([(0.5, False), (0.9, False)], 0, False),
        ([(1.2, False)], 0, False),
        ([(0.5, False), (0.9, True), (1.4, False)], 0, False),
        ([(0.5, False), (1.0, False), (2.4, False)], 1, False),
        ([(0.5, False), (1.5, False), (2.5, False)], 1, True),
        ([(1.0, False), (2.0, False), (3.9, False)], 2, False),
        ([(1.0, False), (2.0, False), (4.0, False)], 2, True),
        ([(0.5, False), (5.0, False)], 0, False),
    ],
)
def test_suspicion_waits_by_place(polls, place, suspected):
    """Guards against single lost polls, monitors that act together, and a pause of the monitor."""
    suspicion = failover.Suspicion(0.0)
    for now, answered in polls:
        suspicion.observe(now, answered=answered)
    assert suspicion.suspects(polls[-1][0], place) is suspected


def test_monitors_are_first_of_each_domain():
    """Guards against two monitors in one domain and against a group without any."""
    views = {"domain-a": view("domain-a", "v2", "v1"), "domain-b": view("domain-b"), "x": view("x", "v9")}
    assert failover.monitors(GROUP, views, rank) == ("v1",)
    assert failover.own_rank(GROUP, views, model.Member("v2", "domain-a", 1, ""), rank) is None
    assert failover.own_rank(GROUP, views, model.Member("v9", "x", 1, ""), rank) is None
    assert failover.own_rank(GROUP, {"x": view("x", "v9")}, model.Member("v9", "x", 1, ""), rank) == 0


@pytest.mark.parametrize(
    ("configuration", "empty", "planned"),
    [
        (model.Configuration(), {}, False),
        (model.Configuration(instances={"a": STATES.LEAVING}), {}, True),
        (model.Configuration(domains={"domain-a": model.Domain("domain-a", state=STATES.OUT)}), {}, True),
        (model.Configuration(), {"domain-a": 97.5}, False),
        (model.Configuration(), {"domain-a": 97.0}, True),
    ],
)
def test_planned_change_follows_drain(configuration, empty, planned):
    """Guards against a primary that stays in a place that is leaving."""
    assert (failover.planned_reason(GROUP, configuration, empty, 100.0) is not None) is planned


def test_planned_target_is_in_service_and_newest():
    """Guards against moving the primary to another leaving place."""
    answers = {"a": status("a"), "b": status("b", received=9), "c": status("c", received=7)}
    configuration = model.Configuration(instances={"b": STATES.LEAVING})
    assert failover.planned_target(GROUP, model.Configuration(), {}, answers, 0.0) == "b"
    assert failover.planned_target(GROUP, configuration, {}, answers, 0.0) == "c"
    assert failover.planned_target(GROUP, configuration, {"domain-c": -9.0}, answers, 0.0) is None


def test_strictest_state_counts():
    """Guards against a VM that takes work while its domain leaves."""
    configuration = model.Configuration(domains={"d": model.Domain("d", state=STATES.LEAVING)}, vms={"v1": STATES.OUT})
    assert drain.vm_state(configuration, "v1", "d") is STATES.OUT
    assert drain.vm_state(configuration, "v2", "d") is STATES.LEAVING
    assert drain.vm_state(configuration, "v3", "e", leaving=["v3"]) is STATES.LEAVING
    assert drain.takes_new_work(drain.vm_state(configuration, "v4", "e"))


@pytest.mark.parametrize(
    ("answer", "primary_answers", "told"),
    [
        (status("a", role="primary"), True, None),
        (status("a", role="replica"), False, "primary"),
        (status("b"), True, None),
        (status("b", term=0), True, "replica"),
        (status("b", role="primary"), True, "replica"),
        (status("b", age=5.0), True, "replica"),
        (status("b", age=5.0), False, None),
        (status("b", term=2, role="primary"), True, None),
    ],
)
def test_repair_tells_only_those_astray(answer, primary_answers, told):
    """Guards against a returned primary that keeps its role, and against orders to a later term."""
    order = failover.repair(GROUP, answer, primary_answers=primary_answers)
    assert (order.role if order else None) == told


def test_start_stops_at_an_abandoned_term():
    """Guards against divergence: a log of abandoned term 2 must not pass for a copy of the winner's log.

    Term 2 was recorded with start 15 at ``a``, which wrote two records that were never acknowledged. The winner of
    term 3 still holds records 16 to 18 of term 1.
    """
    group = dataclasses.replace(GROUP, term=2, starts={1: 0, 2: 15})
    steps = promotion.Promotion(group, now=0.0)
    steps.written(steps.start()[0].group, 0.0)
    steps.term_set("b", status("b", term=3, received=18), 0.0)
    steps.term_set("c", status("c", term=3, received=10), 0.0)
    (write,) = steps.tick(0.3)
    assert (write.group.primary, write.group.starts[3]) == ("b", 15)
    assert failover.shared_index(write.group, status("a", term=2, log_term=2, received=17)) == 15


def test_instance_without_log_term_stops_the_promotion():
    """Guards against comparing positions by the told term, which loses writes after an abandoned promotion."""
    steps = promotion.Promotion(GROUP, now=0.0)
    steps.written(steps.start()[0].group, 0.0)
    (done,) = steps.term_set("b", status("b", term=2, log_term=None), 0.0)
    assert done.group is None and "term of its log" in done.reason


def test_diverged_records_go_before_the_primary_starts():
    """Guards against an unacknowledged old record that is counted as a copy of a new one with the same index."""
    group = dataclasses.replace(GROUP, term=2, starts={1: 0, 2: 10})
    steps = promotion.Promotion(group, now=0.0)
    steps.written(steps.start()[0].group, 0.0)
    steps.term_set("b", status("b", term=3, log_term=2, received=12), 0.0)
    steps.term_set("c", status("c", term=3, log_term=1, received=15), 0.0)
    (write,) = steps.tick(0.3)
    assert write.group.primary == "b"
    assert steps.written(write.group, 0.3) == [failover.SetTerm("c", 3, "replica", "b", 10)]
    (order,) = steps.term_set("c", status("c", term=3, log_term=1, received=10), 0.3)
    assert (order.instance, order.role) == ("b", "primary")


def test_planned_change_waits_for_holders_that_learn_late():
    """Guards against a write that a holder sends before it learns of the change and that the election then discards."""
    steps = promotion.Promotion(GROUP, now=0.0, target="b")
    steps.written(steps.start()[0].group, 0.0)
    answers = [("b", status("b")), ("a", status("a", role="primary"))]
    for now in (0.05, 0.10, 0.15):
        assert not [action for name, answer in answers for action in steps.observed(name, answer, now)]
    assert [action for name, answer in answers for action in steps.observed(name, answer, 0.25)]
