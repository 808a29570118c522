"""Tests of the quorum lease: holder, witness and remover."""

import pytest

from currantlead.control import lease, model


def _member(vm, incarnation=1, domain="larisa"):
    return model.Member(vm, domain, incarnation, f"{vm}:1")


def _view(names, number=1, witness=None):
    return model.View("larisa", number, tuple(_member(name) for name in names), witness)


def _identity(vm, incarnation=1):
    return lease.Identity(vm, incarnation)


@pytest.mark.parametrize(
    "names, witness, acknowledged, held",
    [
        ("a", None, "a", True),
        ("ab", None, "a", False),
        ("ab", "w", "a", False),
        ("ab", "w", "aw", True),
        ("ab", "w", "ab", True),
        ("abc", None, "ab", True),
        ("abcd", "w", "ab", False),
        ("abcd", "w", "abw", True),
        ("abc", None, "axyz", False),
        ("", None, "a", False),
    ],
)
def test_majority_of_voters(names, witness, acknowledged, held):
    """A lease requires acknowledgements of a majority of the voters; those of other VMs do not count."""
    holder = lease.Lease()
    holder.adopt(_view(names, witness=_member(witness) if witness else None))
    for name in acknowledged:
        holder.acknowledge(_identity(name), 10.0, 10.5)
    assert holder.valid(13.9) is held
    assert not holder.valid(14.0)


def test_old_incarnation_does_not_count():
    """Acknowledgements of a restarted witness do not count, since it has lost its suspensions."""
    holder = lease.Lease()
    holder.adopt(_view("abc"))
    holder.acknowledge(_identity("a"), 10.0, 10.0)
    holder.acknowledge(_identity("b", 2), 10.0, 10.0)
    assert not holder.valid(10.0)


def test_epoch_changes_only_after_a_gap():
    """A renewal keeps the epoch, but acquiring the lease again after it expired increases it."""
    holder = lease.Lease()
    holder.adopt(_view("a"))
    for sent in (10.0, 11.0, 14.9):
        holder.acknowledge(_identity("a"), sent, sent)
    assert holder.epoch == 1
    holder.acknowledge(_identity("a"), 30.0, 30.0)
    assert holder.epoch == 2


def test_witness_acknowledges_only_its_own_view():
    """A holder that has missed a view change must not keep its lease through an old view."""
    witness = lease.Witness(0.0)
    witness.adopt(_view("abc", 5), 10.0)
    assert [witness.acknowledge(_identity("a"), "larisa", number, 11.0) for number in (4, 5, 6)] == [False, True, False]


def test_suspension_lasts_until_the_next_view():
    """A suspended holder gets no acknowledgement before the next view, even if the removal is stored late."""
    witness = lease.Witness(0.0)
    witness.adopt(_view("abc", 5), 10.0)
    witness.acknowledge(_identity("a"), "larisa", 5, 20.0)
    assert witness.suspend(_identity("a"), "larisa", 4, 21.0) is None
    promise = witness.suspend(_identity("a"), "larisa", 5, 21.0)
    assert promise.own_acks_wait_s == pytest.approx(3.12)
    assert promise.earlier_views_wait_s == 0.0
    assert not witness.acknowledge(_identity("a"), "larisa", 5, 1000.0)
    witness.adopt(_view("abc", 6), 1000.0)
    assert witness.acknowledge(_identity("a"), "larisa", 6, 1000.0)


def test_restarted_witness_reports_one_lease():
    """A restarted witness makes the remover wait for acknowledgements that its earlier process may have given."""
    witness = lease.Witness(20.0)
    witness.adopt(_view("abc", 5), 20.5)
    promise = witness.suspend(_identity("a"), "larisa", 5, 21.0)
    assert promise.own_acks_wait_s == pytest.approx(3.12)
    assert promise.earlier_views_wait_s == pytest.approx(3.62)


def test_several_silent_members_need_one_wait():
    """The removal of several silent members, such as a rack, waits for one lease, not for one lease each."""
    removal = lease.RemovalTracker()
    view, silent = _view("abcde", 5), [_identity("d"), _identity("e")]
    removal.begin(view, silent)
    for holder in silent:
        for name in "abc":
            removal.add_promise(holder, name, lease.Promise(2.0, 0.0), 10.0)
    assert removal.removable(12.05) == []
    assert removal.removable(12.07) == silent
    removal.begin(_view("abce", 6), silent[1:])
    assert removal.removable(13.0) == []
    for name in "abc":
        removal.add_promise(silent[1], name, lease.Promise(0.0, 4.12), 13.0)
    assert removal.removable(13.0) == silent[1:]
