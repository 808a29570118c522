"""How many connections VMs use, and when a few VMs hold them for all."""

import pytest

from currantlead.sessions import members, model, shares


def make(connections, vms):
    """Return the shares of one service whose instances accept a number of connections."""
    known = members.Members(model.Member("vm-0", "127.0.0.1", 1, "z0"))
    known.replace(model.Member(f"vm-{number}", "127.0.0.1", 1, f"z{number % 6}") for number in range(vms))
    service = model.Service("svc", connections)
    return shares.Shares(lambda: model.Configuration(services={"svc": service}), known)


@pytest.mark.parametrize(
    ("connections", "vms", "shared", "holders"),
    [
        (54, 8, False, 0),
        (54, 11, False, 0),
        (16, 7, True, 2),
        (35, 68, True, 2),
        (253, 77, True, 4),
        (253, 600, True, 4),
    ],
)
def test_holders_where_each_vm_would_have_too_few(connections, vms, shared, holders):
    """Whoever uses connections, all together never open more than the instance accepts."""
    found = make(connections, vms)
    assert found.shared("svc") == shared
    users = vms
    if shared:
        instance = model.Instance("i-1", "svc", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)
        users = len(found.holders(instance))
        assert users == holders
    assert found.limit("svc") * users < connections


def test_holder_that_does_not_answer_is_replaced():
    """The next VM in the order holds in its place; the others stay."""
    found = make(253, 77)
    instance = model.Instance("i-1", "svc", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 1)
    usual = found.holders(instance)
    without = found.holders(instance, lambda vm: vm == usual[1])
    assert len(without) == len(usual) and usual[1] not in without
    assert set(usual) - {usual[1]} < set(without)
