"""Tests of failure detection, switchovers, role corrections and the recorded start of a term."""

import dataclasses

import pytest

from currantlead.control import failover, model, promotion, service_state
from tests import group_model

GROUP = group_model.make_group()
ServiceState = model.ServiceState


def status(name, *, role="replica", term=1, log_term=1, received=5, age=0.1):
    """Return the status of an instance."""
    return failover.InstanceStatus(name, role, term, log_term, received, received, age)


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
def test_failure_is_confirmed_by_a_replica(b, c, confirmed):
    """Guards against a promotion when only the monitor cannot reach the primary."""
    assert failover.assess_failure(GROUP, {"a": None, "b": b, "c": c}).confirmed is confirmed


def test_failure_of_an_answering_primary_is_not_confirmed():
    """Guards against a promotion while the primary still answers the monitor, whatever the replicas report."""
    answers = {"a": status("a", role="primary"), "b": status("b", age=9), "c": status("c", age=9)}
    assert not failover.assess_failure(GROUP, answers).confirmed


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
    """Guards against replacing a primary that can still acknowledge writes, and excluding it without a majority."""
    answers = {"a": status("a", role="primary"), "b": b, "c": c}
    assert failover.is_isolated(GROUP, answers) is isolated


@pytest.mark.parametrize(
    ("polls", "monitor_rank", "suspected"),
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
def test_suspicion_delay_grows_with_monitor_rank(polls, monitor_rank, suspected):
    """Guards against a suspicion after a single lost poll or a pause of the monitor, and monitors that act together."""
    failure_detector = failover.FailureDetector(0.0)
    for now, answered in polls:
        failure_detector.observe(now, answered=answered)
    assert failure_detector.suspects(polls[-1][0], monitor_rank) is suspected


def test_one_vm_of_each_domain_monitors_a_group():
    """Guards against two monitors in one domain and against a group without a monitor."""
    views = {"domain-a": view("domain-a", "v2", "v1"), "domain-b": view("domain-b"), "x": view("x", "v9")}
    assert failover.monitor_vms(GROUP, views, rank) == ("v1",)
    assert failover.monitor_rank_of(GROUP, views, model.Member("v2", "domain-a", 1, ""), rank) is None
    assert failover.monitor_rank_of(GROUP, views, model.Member("v9", "x", 1, ""), rank) is None
    assert failover.monitor_rank_of(GROUP, {"x": view("x", "v9")}, model.Member("v9", "x", 1, ""), rank) == 0


@pytest.mark.parametrize(
    ("configuration", "empty_since", "due"),
    [
        (model.Configuration(), {}, False),
        (model.Configuration(instances={"a": ServiceState.LEAVING}), {}, True),
        (model.Configuration(domains={"domain-a": model.Domain("domain-a", state=ServiceState.OUT)}), {}, True),
        (model.Configuration(), {"domain-a": 97.5}, False),
        (model.Configuration(), {"domain-a": 97.0}, True),
    ],
)
def test_switchover_is_due_when_primary_is_drained(configuration, empty_since, due):
    """Guards against a primary that stays on a drained instance or in a drained or empty domain."""
    assert (failover.switchover_reason(GROUP, configuration, empty_since, 100.0) is not None) is due


def test_switchover_target_is_in_service_and_most_up_to_date():
    """Guards against a switchover to another instance that is drained or in an empty domain."""
    answers = {"a": status("a"), "b": status("b", received=9), "c": status("c", received=7)}
    configuration = model.Configuration(instances={"b": ServiceState.LEAVING})
    assert failover.switchover_target(GROUP, model.Configuration(), {}, answers, 0.0) == "b"
    assert failover.switchover_target(GROUP, configuration, {}, answers, 0.0) == "c"
    assert failover.switchover_target(GROUP, configuration, {"domain-c": -9.0}, answers, 0.0) is None


def test_most_restrictive_state_applies():
    """Guards against a VM that takes new work while its domain is drained."""
    configuration = model.Configuration(
        domains={"d": model.Domain("d", state=ServiceState.LEAVING)}, vms={"v1": ServiceState.OUT}
    )
    assert service_state.vm_state(configuration, "v1", "d") is ServiceState.OUT
    assert service_state.vm_state(configuration, "v2", "d") is ServiceState.LEAVING
    assert service_state.vm_state(configuration, "v3", "e", leaving=["v3"]) is ServiceState.LEAVING
    assert service_state.accepts_new_work(service_state.vm_state(configuration, "v4", "e"))


@pytest.mark.parametrize(
    ("reported", "primary_answers", "role"),
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
def test_role_is_corrected_only_where_it_deviates(reported, primary_answers, role):
    """Guards against a restarted primary that keeps an old role, and a command to an instance of a later term."""
    command = failover.role_correction(GROUP, reported, primary_answers=primary_answers)
    assert (command.role if command else None) == role


def test_start_of_a_term_is_limited_by_an_abandoned_term():
    """Guards against divergence when records of the abandoned term 2 are taken for copies of the winner's records.

    Term 2 was recorded with start 15 at ``a``, which wrote two records that were never acknowledged. The winner of
    term 3 still holds records 16 to 18 of term 1.
    """
    group = dataclasses.replace(GROUP, term=2, starts={1: 0, 2: 15})
    machine = promotion.Promotion(group, now=0.0)
    machine.record_written(machine.start()[0].group, 0.0)
    machine.set_term_answered("b", status("b", term=3, received=18), 0.0)
    machine.set_term_answered("c", status("c", term=3, received=10), 0.0)
    (write,) = machine.tick(0.3)
    assert (write.group.primary, write.group.starts[3]) == ("b", 15)
    assert failover.match_index(write.group, status("a", term=2, log_term=2, received=17)) == 15


def test_instance_without_log_term_stops_the_promotion():
    """Guards against comparing logs by the accepted term, which loses writes after an abandoned promotion."""
    machine = promotion.Promotion(GROUP, now=0.0)
    machine.record_written(machine.start()[0].group, 0.0)
    (end,) = machine.set_term_answered("b", status("b", term=2, log_term=None), 0.0)
    assert end.group is None and "term of its log" in end.reason


def test_diverged_records_are_discarded_before_the_primary_starts():
    """Guards against an unacknowledged old record that is taken for a copy of a new one with the same index."""
    group = dataclasses.replace(GROUP, term=2, starts={1: 0, 2: 10})
    machine = promotion.Promotion(group, now=0.0)
    machine.record_written(machine.start()[0].group, 0.0)
    machine.set_term_answered("b", status("b", term=3, log_term=2, received=12), 0.0)
    machine.set_term_answered("c", status("c", term=3, log_term=1, received=15), 0.0)
    (write,) = machine.tick(0.3)
    assert write.group.primary == "b"
    assert machine.record_written(write.group, 0.3) == [failover.SetTerm("c", 3, "replica", "b", 10)]
    (command,) = machine.set_term_answered("c", status("c", term=3, log_term=1, received=10), 0.3)
    assert (command.instance, command.role) == ("b", "primary")


def test_switchover_waits_for_holders_that_are_notified_late():
    """Guards against losing a write that a holder sends to the old primary before it learns of the switchover."""
    machine = promotion.Promotion(GROUP, now=0.0, target="b")
    machine.record_written(machine.start()[0].group, 0.0)
    answers = [("b", status("b")), ("a", status("a", role="primary"))]
    for now in (0.05, 0.10, 0.15):
        assert not [action for name, answer in answers for action in machine.status_received(name, answer, now)]
    assert [action for name, answer in answers for action in machine.status_received(name, answer, 0.25)]
