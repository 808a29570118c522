"""Tests of the choice of the replica to promote, and of the reasons against any."""

import hypothesis
import pytest
from hypothesis import strategies as st

from currantlead.sessions import model
from currantlead.sessions.decisions import acknowledgements, promotion_choice

P = model.Position
PAUSED = [promotion_choice.PausedReplica(name, P(1, 70), True) for name in ("a", "b")]


def choose(paused, replicas, **known):
    """Return the chosen instance, or None with the reason."""
    chosen = promotion_choice.choose_replica(promotion_choice.Situation(paused, replicas, **known))
    return (None, chosen) if isinstance(chosen, str) else (chosen.instance, "")


@pytest.mark.parametrize(
    ("paused", "replicas", "expected"),
    [
        ([("b", P(1, 5), True), ("a", P(1, 5), True)], 2, "a"),
        ([("b", P(1, 6), True), ("a", P(1, 5), True)], 2, "b"),
        ([("b", P(1, 9), True), ("a", P(2, 1), True)], 2, "a"),
        ([("b", P(1, 5), True), ("a", P(1, 5), False)], 2, "b"),
        ([("b", P(1, 5), True), ("a", P(1, 6), False)], 2, "a"),
        ([("b", P(1, 5), True)], 2, None),
        ([("b", P(1, 5), True)], 1, None),
        ([], 0, None),
    ],
)
def test_choose_loses_no_commit(paused, replicas, expected):
    """Only a replica with the most recent position is promoted, and only if every replica is paused."""
    assert choose([promotion_choice.PausedReplica(*item) for item in paused], replicas)[0] == expected


def acknowledged(at_least, at_most=None, sent_at=0.0):
    """Return bounds of the latest acknowledged commit in term 1."""
    return acknowledgements.Acknowledged(P(1, at_least), P(1, at_most or at_least), sent_at)


def test_replicas_behind_what_callers_were_told_are_not_promoted():
    """A replica that left had the only copy of 41 acknowledged commits, and one without them was promoted."""
    instance, reason = choose(PAUSED, 2, acknowledged=acknowledged(111))
    assert instance is None and "1.111" in reason


@pytest.mark.parametrize(
    ("sent_at", "reported_since", "at_most", "expected"),
    [
        (5.1, float("inf"), 75, "a"),
        (4.9, float("inf"), 70, None),
        (4.9, -20.0, 70, "a"),
        (4.9, -4.0, 70, None),
        (4.9, -20.0, 71, None),
    ],
)
def test_departed_replica_counts_until_its_commits_are_known_elsewhere(sent_at, reported_since, at_most, expected):
    """A replica that left counts until a later commit was acknowledged, or all VMs have told of all commits."""
    instance, reason = choose(
        PAUSED,
        2,
        acknowledged=acknowledged(70, at_most, sent_at),
        reported_since=reported_since,
        departed=[promotion_choice.Departed("c", 5.0, ended_at=5.0)],
    )
    assert instance == expected
    assert expected or "c, which left" in reason


def test_lapsed_instance_counts_although_a_later_commit_was_acknowledged():
    """An instance that is only cut off from the store may have received the later commit itself."""
    lapsed = promotion_choice.Departed("c", 5.0, ended_at=None)
    known = {"departed": [lapsed], "acknowledged": acknowledged(70, 71, sent_at=9.0)}
    assert choose(PAUSED, 2, **known)[0] is None
    assert (
        choose(PAUSED, 2, **known | {"acknowledged": acknowledged(70, sent_at=9.0), "reported_since": -9.0})[0] == "a"
    )


def test_demoted_instance_without_the_acknowledged_commits_proves_nothing():
    """A VM that takes an earlier primary for the last one must not promote what is as recent as that one."""
    old = promotion_choice.PausedReplica("old", P(1, 70), True)
    assert choose(PAUSED, 2, demoted=old, acknowledged=acknowledged(71))[0] is None


def test_old_primary_leads_again_if_only_it_has_all_commits():
    """A primary that was demoted and is ahead of all replicas is not replaced by one that may lack commits."""
    old = promotion_choice.PausedReplica("old", P(1, 111), False)
    assert choose(PAUSED, 2, demoted=old, acknowledged=acknowledged(100))[0] == "old"


@pytest.mark.parametrize(
    ("at_most", "sent_at", "reported_since", "expected"),
    [
        (70, 0.0, -20.0, "a"),
        (70, 29.0, 28.0, "a"),
        (71, 29.0, -20.0, "old"),
        (70, 0.0, 21.0, "old"),
        (70, 29.0, 29.5, "old"),
        (70, 29.0, float("inf"), "old"),
    ],
)
def test_replica_without_an_entry_may_have_what_only_the_demoted_primary_has(
    at_most, sent_at, reported_since, expected
):
    """Guards against taking the replicas that are known for all that may have acknowledged a commit."""
    old = promotion_choice.PausedReplica("old", P(1, 111), False)
    known = {"acknowledged": acknowledged(70, at_most, sent_at), "reported_since": reported_since, "looked_at": 30.0}
    assert choose(PAUSED, 2, demoted=old, **known)[0] == expected


@pytest.mark.parametrize(
    ("at_most", "is_demoted", "expected"), [(70, False, False), (71, False, True), (71, True, False)]
)
def test_entries_may_lack_if_replicas_end_before_what_was_told(at_most, is_demoted, expected):
    """The first entry of a new replica is awaited if it may have a commit that no known one has."""
    old = promotion_choice.PausedReplica("old", P(1, 111), False)
    situation = promotion_choice.Situation(
        PAUSED, 2, old if is_demoted else None, acknowledged=acknowledged(70, at_most)
    )
    assert promotion_choice.may_lack_entries(situation) == expected


def test_instance_of_an_open_order_is_preferred():
    """Two VMs that choose different replicas of the same position roll back what the first one has acknowledged."""
    assert choose(PAUSED, 2, ordered="b")[0] == "b"
    behind = [PAUSED[0], promotion_choice.PausedReplica("b", P(1, 69), True)]
    assert choose(behind, 2, ordered="b")[0] == "a"


@hypothesis.given(
    st.lists(st.tuples(st.integers(1, 9), st.integers(0, 9)), min_size=1, max_size=8),
    st.lists(st.floats(0, 5), min_size=8, max_size=8),
)
def test_property_bounds_enclose_the_latest_commit(commits, sent_at):
    """Whatever the order of answers, the latest commit lies between the bounds that the VMs report together."""
    by_vm = [acknowledgements.AcknowledgedCommits() for _ in range(3)]
    position = 0
    for index, (growth, unacknowledged) in enumerate(commits):
        before, position = position, position + growth
        by_vm[index % 3].record(
            "svc", P(1, position + unacknowledged), known_before=P(1, before), sent_at=sent_at[index]
        )
    merged = acknowledgements.merge_all(item.of("svc") for item in by_vm)
    assert merged.at_least <= P(1, position) <= merged.at_most
    assert merged.sent_at == max(sent_at[: len(commits)])


def test_first_commit_of_a_term_has_no_lower_bound_from_the_term_before():
    """The log of the term before may have ended with commits that were rolled back."""
    commits = acknowledgements.AcknowledgedCommits()
    commits.record("svc", P(2, 193), known_before=P(1, 195), sent_at=1.0)
    assert commits.of("svc").at_least == P(2, 0)
