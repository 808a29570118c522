"""Tests of the benchmark's calculations."""

import pytest

from currantlead import errors
from tools import report
from tools.experiments import arrivals, figures, replica_reads

LIMITS = {"small": (5.0, 10.0), "large": (150.0, 300.0)}
VMS = [f"vm-{number}" for number in range(8)]


def _arrivals():
    times = {name: arrivals.burst_arrivals(*limit, 30.0, name) for name, limit in LIMITS.items()}
    return arrivals.assign_vms(times, arrivals.uneven_weights(VMS), 1)


def test_bursts_are_within_the_rate():
    """Guards against arrivals above the rate, whose refusals would be counted as wrong ones."""
    simulated = _arrivals()
    assert arrivals.refused_share(arrivals.admit_centrally(simulated, LIMITS)) == 0.0
    sent = sum(arrival.organisation == "large" for arrival in simulated) / 30.0
    assert sent == pytest.approx(0.9 * 150.0, rel=0.1)


def test_static_slices_refuse_small_organisations_more():
    """Guards against a baseline that admits everything, over which bucket owners would show no gain."""
    simulated = _arrivals()
    admitted = arrivals.admit_by_static_slices(simulated, LIMITS, VMS)
    refused = {
        name: arrivals.refused_share([a for r, a in zip(simulated, admitted, strict=True) if r.organisation == name])
        for name in LIMITS
    }
    assert refused["small"] > 0.2
    assert refused["small"] > refused["large"] > 0.0


def test_static_slices_over_one_vm_equal_the_central_bucket():
    """Guards against a baseline with a wrong division of rate or burst."""
    times = {name: [number / 400.0 for number in range(800)] for name in LIMITS}
    simulated = arrivals.assign_vms(times, {"vm-0": 1.0}, 1)
    assert arrivals.admit_by_static_slices(simulated, LIMITS, ["vm-0"]) == arrivals.admit_centrally(simulated, LIMITS)


def test_bucket_keeps_to_rate_and_burst():
    """Guards against a bucket that accrues more tokens than its burst."""
    bucket = arrivals.TokenBucket(5.0, 10.0)
    assert sum(bucket.try_take(0.0) for _ in range(20)) == 10
    assert sum(bucket.try_take(1.0) for _ in range(20)) == 5
    assert sum(bucket.try_take(100.0) for _ in range(20)) == 10


def test_uneven_weights_are_shares():
    """Guards against weights that do not add up to 1, which would change the load."""
    weights = arrivals.uneven_weights(VMS)
    assert sum(weights.values()) == pytest.approx(1.0)
    assert weights["vm-0"] > 5 * weights["vm-7"]


def _polls():
    def poll(role, index, applied_time, at=10.0):
        return replica_reads.Poll(at, role, 1, index, applied_time, 1000.0)

    return {"a": [poll("primary", 9, 1000.0)], "b": [poll("replica", 5, 999.9)], "c": [poll("replica", 7, 999.7)]}


@pytest.mark.parametrize(
    ("position", "age_s", "possible"),
    [((0, 0), None, True), ((1, 7), None, True), ((1, 8), None, False), ((1, 5), 0.2, True), ((1, 6), 0.2, False)],
)
def test_replica_must_reach_position_and_age(position, age_s, possible):
    """Guards against a wrong denominator: a read counts once, and only if a replica can serve it."""
    assert replica_reads.could_serve(_polls(), position, age_s, 10.0, 10.1) is possible


def test_replica_uses_polls_before_the_answer():
    """Guards against polls after the answer, which would count a replica that caught up too late."""
    assert not replica_reads.could_serve(_polls(), (0, 0), None, 9.0, 9.5)


@pytest.mark.parametrize(
    ("value", "bound", "inside"),
    [(3.0, "<= 3", True), (3.1, "<= 3", False), (0.9, ">= 0.9", True), (None, ">= 0.9", False), (1.0, "", None)],
)
def test_bounds(value, bound, inside):
    """Guards against a missing value that counts as within its bound."""
    assert figures.satisfies_bound(value, bound) is inside


def test_sheet_computes_the_ratio():
    """Guards against a failure if the baseline is zero; the ratio is then empty."""
    figures_added = []
    sheet = figures.ResultSheet("failover-gap", "thessaly", figures_added.append)
    sheet.add("p50", 3.0, "s", bound="<= 2", baseline=2.0)
    sheet.add("max", 3.0, "s", baseline=0.0)
    assert [(figure.ratio, figure.holds) for figure in figures_added] == [(1.5, False), (None, None)]


def test_report_names_missed_bounds_and_failed_experiments():
    """Guards against a report that omits missed bounds or failed experiments."""
    figures_added = []
    figures.ResultSheet("failover-gap", "thessaly", figures_added.append).add("p50", 4.0, "s", bound="<= 3")
    page = report.render({"Cores": "10"}, figures_added, ["vm-cost on thessaly: TimeoutError"], ["--seconds", "3"])
    assert "| failover-gap.p50 | thessaly | 4 | s | <= 3 | **no** |" in page
    assert "- vm-cost on thessaly: TimeoutError" in page
    assert "- Cores: 10" in page


def test_unknown_experiment_is_refused():
    """Guards against an unknown name that runs no experiment and passes."""
    with pytest.raises(errors.UnknownNameError, match="no experiment is named 'none'"):
        figures.EXPERIMENTS.get("none")
