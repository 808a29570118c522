"""Tests of rendezvous hashing."""

from currantlead.routing import placement

VMS = [f"vm{number}" for number in range(8)]


def test_rank_is_the_same_in_every_process():
    """Guards against a hash that depends on the process or Python release, so that VMs disagree about owners."""
    assert placement.rank("owner:kiria", ["vm1", "vm2", "vm3", "vm4"]) == ("vm2", "vm4", "vm3", "vm1")


def test_rank_does_not_depend_on_the_order_of_candidates():
    """Guards against disagreement between VMs that list the members of a view in different orders."""
    assert placement.rank("key", VMS) == placement.rank("key", VMS[::-1])


def test_removed_candidate_moves_only_its_own_keys():
    """Guards against a view change that moves roles between the remaining VMs."""
    for number in range(200):
        before = placement.rank(f"key{number}", VMS)
        assert placement.rank(f"key{number}", VMS[1:]) == tuple(vm for vm in before if vm != VMS[0])


def test_keys_are_spread_evenly():
    """Guards against weights that favour some VMs."""
    firsts = [placement.rank(f"key{number}", VMS)[0] for number in range(4000)]
    assert all(400 < firsts.count(vm) < 600 for vm in VMS)


def test_rotation_spreads_keys_and_returns_all_candidates():
    """Guards against request ids that favour one candidate or evict the rankings of roles from the cache."""
    names = ("a", "b", "c")
    cached = placement._ranking.cache_info().currsize
    firsts = [placement.rotate(f"r{number}", names)[0] for number in range(300)]
    assert all(60 < firsts.count(name) < 140 for name in names)
    assert sorted(placement.rotate("r1", names)) == list(names)
    assert placement.rotate("r1", ()) == ()
    assert placement._ranking.cache_info().currsize == cached
