"""Tests of view changes: the choice of the extra witness, and the encoding of views."""

import pytest

from currantlead.control import lease, model, views

OUTSIDE = [model.Member(name, "naousa", 1, f"{name}:1") for name in ("x", "y")]


def _view(names, witness=None):
    members = tuple(model.Member(name, "larisa", 1, f"{name}:1") for name in names)
    return model.View("larisa", 5, members, witness, 9)


@pytest.mark.parametrize(
    "names, witness, failed, expected",
    [
        ("ab", None, (), "x or y"),
        ("abc", OUTSIDE[0], (), None),
        ("ab", OUTSIDE[0], (0,), None),
        ("ab", model.Member("x", "naousa", 2, "x:1"), (), None),
        ("ab", OUTSIDE[0], (), "unchanged"),
        ("ab", OUTSIDE[0], (0, 1), "unchanged"),
        ("abc", None, (), "unchanged"),
        ("", None, (), "unchanged"),
    ],
)
def test_extra_witness_follows_the_members(names, witness, failed, expected):
    """A view with an even number of members gets a witness, any other none, and a step changes only one voter.

    Without a witness, a domain of two would stop when one VM fails.
    """
    failed_identities = {lease.identity_of(OUTSIDE[index]) for index in failed}
    adjusted = views.adjust_witness(_view(names, witness), OUTSIDE, failed_identities)
    if expected == "unchanged":
        assert adjusted is None
    else:
        assert (adjusted.number, adjusted.version) == (6, 9)
        assert adjusted.witness in OUTSIDE if expected else adjusted.witness is None


def test_value_of_a_view_round_trips():
    """Decoding an encoded view gives the same view."""
    view = _view("abc", OUTSIDE[0])
    assert views.decode(views.encode(view), 9) == view
