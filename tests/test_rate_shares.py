"""Tests of a domain's share of rates while the division changes."""

import pytest

from currantlead.admission import rate_shares, token_bucket
from currantlead.control import model

MEMBER = model.Member("vm", "a", 1, "")
VIEWS = {name: model.View(name, 1, (MEMBER,)) for name in "abc"}
EMPTY = {**VIEWS, "a": model.View("a", 2)}
CHANGE = model.Shares(2, {"a": 0.2, "b": 0.8}, {"a": 0.5, "b": 0.5})


def confirmed(number):
    """Return the changed division with the number that domain a has confirmed."""
    return model.Shares(2, CHANGE.shares, CHANGE.previous, {"a": number})


@pytest.mark.parametrize(
    ("domain", "division", "views", "wait_s", "rate"),
    [
        ("a", CHANGE, VIEWS, 0.0, 2.0),
        ("b", CHANGE, VIEWS, 99.0, 5.0),
        ("b", confirmed(1), VIEWS, 99.0, 5.0),
        ("b", confirmed(2), VIEWS, 0.0, 5.0),
        ("b", confirmed(2), VIEWS, token_bucket.OWNER_GRANT_LIFETIME_S, 8.0),
        ("b", CHANGE, EMPTY, token_bucket.OWNER_GRANT_LIFETIME_S, 8.0),
        ("b", CHANGE, {}, 99.0, 5.0),
        ("c", CHANGE, VIEWS, 99.0, 0.0),
        ("a", model.Shares(1, {"a": 0.5, "b": 0.5}), VIEWS, 0.0, 5.0),
    ],
)
def test_limits(domain, division, views, wait_s, rate):
    """Guards against two domains that use the same share of a rate at the same time."""
    share = rate_shares.DomainShare(domain)
    share.limits(division, views, 10.0, 10.0, 10.0)
    limits = share.limits(division, views, 10.0 + wait_s, 10.0, 10.0)
    assert limits == (pytest.approx(rate), pytest.approx(rate * token_bucket.TOKEN, abs=1))


@pytest.mark.parametrize("division", [{"a": 1 / 3, "b": 1 / 3, "c": 1 / 3}, {"a": 0.1, "b": 0.2, "c": 0.7}, {"a": 1}])
def test_burst_shares_add_up(division):
    """Guards against rounding that turns a burst of 10 in three shares into 9 or 11 tokens."""
    assert sum(rate_shares.burst_share(division, name, 10) for name in division) == 10 * token_bucket.TOKEN


def test_only_a_decreasing_share_is_confirmed():
    """Guards against unnecessary and repeated confirmations."""
    assert rate_shares.DomainShare("a").must_confirm(CHANGE)
    assert not rate_shares.DomainShare("a").must_confirm(confirmed(2))
    assert not rate_shares.DomainShare("b").must_confirm(CHANGE)
