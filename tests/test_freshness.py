"""Tests of the estimated positions of instances."""

import pytest

from currantlead import messages
from currantlead.routing import freshness

NOW, LATER = 0.0, freshness.RETRY_BEHIND_AFTER_S


def position(index, term=1):
    """Return a position."""
    return messages.Position(term, index)


@pytest.mark.parametrize(
    ("events", "after", "now", "expected"),
    [
        ([], 5, NOW, True),
        ([("behind", 3)], None, NOW, True),
        ([("behind", 3)], 5, NOW, False),
        ([("behind", 3)], 3, NOW, True),
        ([("behind", 3)], 5, LATER, True),
        ([("behind", 3), ("applied", 5)], 5, NOW, True),
        # A read at an older position does not show that the replica has caught up.
        ([("behind", 3), ("applied", 4)], 5, NOW, False),
        # An instance that was replaced by an empty one has lost its earlier position.
        ([("applied", 9), ("behind", 3)], 5, NOW, False),
        ([("applied", 9), ("behind", 3)], 5, LATER, True),
    ],
)
def test_may_serve(events, after, now, expected):
    """Guards against round trips to a replica that is behind, and against never trying it again."""
    estimates = freshness.PositionEstimates()
    for kind, index in events:
        getattr(estimates, f"record_{kind}")("a", position(index), NOW)
    assert estimates.may_serve("a", None if after is None else position(after), now) is expected


def test_late_responses_do_not_lower_the_position():
    """Guards against an older response that arrives late and hides a newer position."""
    estimates = freshness.PositionEstimates()
    for index in (7, 4):
        estimates.record_applied("a", position(index), NOW)
    assert estimates.observations() == [("a", position(7), NOW)]
