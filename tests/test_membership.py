"""Tests of the roles derived from views."""

from currantlead.control import lease, membership, model

ORGANISATIONS = [f"org{number}" for number in range(40)]


def _view(names, number):
    return model.View("larisa", number, tuple(model.Member(name, "larisa", 1, f"{name}:1") for name in names))


def _roles(vm, view):
    roles = membership.Roles(lease.Identity(vm, 1), "larisa")
    roles.adopt(view)
    roles.report_adopted(10.0, 1)
    for member in view.members:
        roles.report(lease.identity_of(member), view.number, 10.0, 1)
    return roles


def _owned(roles):
    return {name for name in ORGANISATIONS if roles.owns(name, 1)}


def test_gained_roles_wait_for_all_members():
    """New roles become active only after all members have adopted the view, or there could be two owners."""
    roles = _roles("a", _view("abc", 1))
    before = _owned(roles)
    roles.adopt(_view("ab", 2))
    roles.report_adopted(20.0, 1)
    assert _owned(roles) == before, "roles that are kept stay active without a gap"
    roles.report(lease.Identity("b", 1), 1, 20.0, 1)
    roles.report(lease.Identity("b", 2), 2, 20.0, 1)
    roles.report(lease.Identity("b", 1), 3, 20.0, 1)
    assert _owned(roles) == before, "reports of other views and by other incarnations do not count"
    other = _roles("b", _view("abc", 1))
    other.adopt(_view("ab", 2))
    other.report_adopted(20.0, 1)
    other.report(lease.Identity("a", 1), 2, 20.0, 1)
    assignment = membership.RoleAssignment(_view("ab", 2))
    assert _owned(other) == {name for name in ORGANISATIONS if assignment.owner(name) == "b"}


def test_lost_roles_stop_at_adoption():
    """A lost role ends with the adoption of the view, not only when the release callbacks are done."""
    roles = _roles("a", _view("a", 1))
    assert _owned(roles) == set(ORGANISATIONS)
    assert roles.share("db1-1", 1) == 1.0
    roles.adopt(_view("ab", 2))
    assignment = membership.RoleAssignment(_view("ab", 2))
    assert _owned(roles) == {name for name in ORGANISATIONS if assignment.owner(name) == "a"}
    assert roles.share("db1-1", 1) == 0.5
    assert roles.reported == 1


def test_owned_since_survives_kept_roles_and_resets():
    """The start of ownership is kept across views with the same owner, and is reset after a loss of ownership."""
    roles = _roles("a", _view("ab", 1))
    kept = next(name for name in ORGANISATIONS if membership.RoleAssignment(_view("abc", 2)).owner(name) == "a")
    lost = next(name for name in _owned(roles) if membership.RoleAssignment(_view("abc", 2)).owner(name) == "c")
    assert roles.owned_since(kept, 1) == roles.owned_since(lost, 1) == 10.0
    for number, names in ((2, "abc"), (3, "ab")):
        view = _view(names, number)
        roles.adopt(view)
        roles.report_adopted(10.0 * number, 1)
        for member in view.members:
            roles.report(lease.identity_of(member), number, 10.0 * number, 1)
    assert roles.owned_since(kept, 1) == 10.0
    assert roles.owned_since(lost, 1) == 30.0


def test_new_epoch_and_leaving_stop_all_roles():
    """Roles of an earlier lease epoch are not active, and a leaving VM gets no roles again."""
    roles = _roles("a", _view("a", 1))
    assert not roles.owns("org1", 2) and roles.share("db1-1", 2) == 0.0
    roles.activate(20.0, 2)
    assert roles.owns("org1", 2)
    roles.leave()
    roles.report_adopted(30.0, 2)
    assert not roles.owns("org1", 2)


def test_view_without_this_incarnation_gives_no_roles():
    """A restarted VM must not use the roles of its earlier incarnation."""
    roles = membership.Roles(lease.Identity("a", 2), "larisa")
    change = roles.adopt(_view("a", 1))
    roles.report_adopted(10.0, 1)
    assert not change.is_member
    assert _owned(roles) == set()
