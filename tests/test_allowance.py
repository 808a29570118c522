"""Slices of rates: no cut of VMs, loans and restarts admits more than rate and burst."""

import hypothesis
from hypothesis import strategies as st

from currantlead.sessions import allowance, model, settings

EXACT = settings.Bounds(rate_excess=0.0, rate_slack=0.0)


def names(count):
    """Return the names of VMs."""
    return [f"vm-{number}" for number in range(count)]


def vms_of(count, domains=3):
    """Return VMs that are spread over failure domains."""
    return [model.Member(name, "127.0.0.1", 1, f"z{number % domains}") for number, name in enumerate(names(count))]


def make(members, rate=10.0, burst=20.0, now=0.0, bounds=EXACT, vm="vm-0"):
    """Return the allowances of one VM."""
    found = allowance.Allowances(vm, bounds)
    found.configure({"org": model.Organisation("org", rate, burst)}, vms_of(members), now)
    return found


def test_tolerance_in_counting_eases_small_slices():
    """A low rate over many VMs still has a token at hand; the window stays within the tolerance."""
    bounds = settings.Bounds(rate_excess=0.1, rate_slack=20.0)
    found = make(7, 5.0, 5.0, bounds=bounds)
    assert found.take("org", 100.0)
    assert not make(7, 5.0, 5.0).take("org", 100.0)


def test_low_rate_on_many_vms_has_few_owners():
    """With slices far below a token a second, each operation would ask all VMs."""
    organisation = model.Organisation("org", 5.0, 5.0)
    owners = allowance.owners_of(organisation, vms_of(68))
    assert len(owners) == 3 * allowance.OWNERS_NEAR
    assert all(sum(owner.domain == f"z{number}" for owner in owners) == allowance.OWNERS_NEAR for number in range(3))
    assert len(allowance.owners_of(organisation, vms_of(6))) == 6
    vms = [make(68, 5.0, 5.0, vm=name) for name in names(68)]
    assert sum(vm.lend("org", 9.0, 1000.0) for vm in vms) <= 5.0 + 1e-6
    assert len(vms[0].lenders("org")) in (len(owners), len(owners) - 1)


def test_high_rate_has_more_owners():
    """A slice of a high rate is a few tokens a second, so that no VM serves a large organisation's whole demand."""
    owners = allowance.owners_of(model.Organisation("org", 84.0, 84.0), vms_of(68, domains=6))
    assert len(owners) == 24 and len({owner.domain for owner in owners}) == 6


def test_starting_vm_has_part_of_its_burst():
    """A VM that starts again must not have its whole slice at once."""
    found = make(4)
    assert [found.take("org", 0.0) for _ in range(3)] == [True, False, False]


def test_unknown_organisation_has_no_tokens():
    """An organisation that the configuration lacks gets nothing."""
    assert not make(1).take("other", 0.0)


def test_lower_limit_binds_at_once():
    """Tokens above a new, smaller burst are lost."""
    found = make(1)
    found.configure({"org": model.Organisation("org", 1.0, 2.0)}, vms_of(1), 100.0)
    assert [found.take("org", 100.0) for _ in range(3)] == [True, True, False]


def test_loan_above_the_burst_is_dropped_after_its_time():
    """Loans that nobody uses do not add up beyond the burst."""
    found = make(1, burst=2.0, now=0.0)
    found.borrow("org", 10.0, 100.0)
    assert [found.take("org", 102.0) for _ in range(3)] == [True, True, False]


steps = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(["take", "lend", "lose", "wait"]), st.floats(0.0, 0.4)), max_size=300
)


@hypothesis.given(steps)
def test_property_window_is_within_rate_and_burst(events):
    """Whatever VMs spend, lend and lose, any 5 s hold at most rate x 5 + burst, and what a loan may exceed it by."""
    rate, burst, members = 10.0, 20.0, 4
    vms = [make(members, rate, burst, bounds=settings.Bounds(), vm=name) for name in names(members)]
    now, admitted = 0.0, []
    for vm, action, amount in events:
        if action == "wait":
            now += amount
        elif action == "take":
            if vms[vm].take("org", now):
                admitted.append(now)
        else:
            lent = vms[vm].lend("org", 1.0 + amount, now)
            if action == "lend" and lent:
                vms[(vm + 1) % members].borrow("org", lent, now)
    for start in admitted:
        window = [at for at in admitted if start <= at <= start + 5.0]
        assert len(window) <= (rate * 5 + burst) * 1.1 + 20
