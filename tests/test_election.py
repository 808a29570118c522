"""Tests of the decisions of a failover: when a primary is replaced, and by which VM."""

import pytest

from currantlead.sessions.decisions import election


@pytest.mark.parametrize(
    ("observed", "reason"),
    [
        (election.Observation(), ""),
        (election.Observation(absent_s=1.0), ""),
        (election.Observation(absent_s=4.0), "no primary"),
        (election.Observation(leaving=True), "leaving"),
        (election.Observation(lapsed=True), "entry lapsed"),
        (election.Observation(failing_s=0.3), ""),
        (election.Observation(failing_s=0.5), "silent"),
        (election.Observation(stuck_s=0.5), ""),
        (election.Observation(stuck_s=0.7), "commits are stuck"),
        (election.Observation(demoted_s=1.9), ""),
        (election.Observation(demoted_s=2.0), "demoted"),
        (election.Observation(ordered_s=2.4), ""),
        (election.Observation(ordered_s=2.5), "order is open"),
        (election.Observation(stuck_s=1.3, since_promotion_s=2.0), ""),
    ],
)
def test_reason_to_replace(observed, reason):
    """A primary is replaced only for a reason that has lasted long enough."""
    assert election.reason_to_replace(observed) == reason


def test_each_vm_has_its_own_rank():
    """Ranks are unique within a service, and VMs have different ranks for different services."""
    members = [f"vm-{number}" for number in range(7)]
    ranks = [election.rank("svc", name, members) for name in members]
    assert sorted(ranks) == list(range(7))
    assert [election.rank("other", name, members) for name in members] != ranks
