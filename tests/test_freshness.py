"""Tests of the estimate of instances' positions."""

import pytest

from currantlead import messages
from currantlead.routing import freshness

AT, LATER = 0.0, freshness.PROBE_INTERVAL_S


def position(index, term=1):
    """Return a position."""
    return messages.Position(term, index)


@pytest.mark.parametrize(
    ("events", "after", "now", "expected"),
    [
        ([], 5, AT, True),
        ([("behind", 3)], None, AT, True),
        ([("behind", 3)], 5, AT, False),
        ([("behind", 3)], 3, AT, True),
        ([("behind", 3)], 5, LATER, True),
        ([("behind", 3), ("applied", 5)], 5, AT, True),
        # A read without a position tells nothing about the positions that the replica lacks.
        ([("behind", 3), ("applied", 4)], 5, AT, False),
        # An instance that was replaced by an empty one no longer has what it once showed.
        ([("applied", 9), ("behind", 3)], 5, AT, False),
        ([("applied", 9), ("behind", 3)], 5, LATER, True),
    ],
)
def test_may_serve(events, after, now, expected):
    """Guards against round trips to a replica that cannot serve, and against one that is never tried again."""
    known = freshness.Freshness()
    for kind, index in events:
        getattr(known, f"record_{kind}")("a", position(index), AT)
    assert known.may_serve("a", None if after is None else position(after), now) is expected


def test_known_positions_do_not_go_back_with_late_answers():
    """Guards against an older answer that arrives late and hides a newer position."""
    known = freshness.Freshness()
    for index in (7, 4):
        known.record_applied("a", position(index), AT)
    assert known.known() == [("a", position(7), AT)]
