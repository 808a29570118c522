"""Decisions of a promotion: when, who, and which replica."""

import pytest

from currantlead.sessions import election, model

P = model.Position


@pytest.mark.parametrize(
    ("seen", "reason"),
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
        (election.Observation(stuck_s=1.3, settled_s=2.0), ""),
    ],
)
def test_reason_to_replace(seen, reason):
    """A primary is replaced only for a reason that has lasted."""
    assert election.reason_to_replace(seen) == reason


def test_each_vm_has_its_own_rank():
    """All VMs agree on one order for a service."""
    members = [f"vm-{number}" for number in range(7)]
    ranks = [election.rank("svc", name, members) for name in members]
    assert sorted(ranks) == list(range(7))
    assert [election.rank("other", name, members) for name in members] != ranks


@pytest.mark.parametrize(
    ("paused", "replicas", "chosen"),
    [
        ([("b", P(1, 5), True), ("a", P(1, 5), True)], 2, "a"),
        ([("b", P(1, 6), True), ("a", P(1, 5), True)], 2, "b"),
        ([("b", P(1, 9), True), ("a", P(2, 1), True)], 2, "a"),
        ([("b", P(1, 5), True), ("a", P(1, 5), False)], 2, "b"),
        ([("b", P(1, 5), True), ("a", P(1, 6), False)], 2, None),
        ([("b", P(1, 5), True)], 2, None),
        ([("b", P(1, 5), True)], 1, None),
        ([], 0, None),
    ],
)
def test_choose_loses_no_commit(paused, replicas, chosen):
    """Only a replica with the newest position wins, and only if every replica has been asked."""
    found = election.choose([election.Paused(*item) for item in paused], replicas)
    assert (found.instance if isinstance(found, election.Paused) else None) == chosen
