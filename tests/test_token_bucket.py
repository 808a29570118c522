"""Tests of the owner's token bucket."""

import pytest

from currantlead.admission import token_bucket

T = token_bucket.TOKEN


def filled_bucket(level=5, burst=6, rate=2.0):
    """Return a bucket with a number of tokens at the time ``NOW``."""
    bucket = token_bucket.TokenBucket(rate, burst * T, owned_since=0.0)
    bucket.advance(token_bucket.OWNER_GRANT_LIFETIME_S)
    bucket.level = level * T
    return bucket


NOW = token_bucket.OWNER_GRANT_LIFETIME_S


def test_new_owner_waits_one_grant_lifetime():
    """Guards against tokens that accrue while grants of the previous owner are still valid."""
    bucket = token_bucket.TokenBucket(100.0, 6 * T, owned_since=50.0)
    assert bucket.available(50.0 + token_bucket.OWNER_GRANT_LIFETIME_S) == 0
    assert bucket.available(51.0 + token_bucket.OWNER_GRANT_LIFETIME_S) == 6 * T


@pytest.mark.parametrize(("level", "want", "granted"), [(5, 3, 3), (5, 7, 5), (0, 1, 0)])
def test_grant_takes_from_the_level(level, want, granted):
    """Guards against a grant above the level."""
    bucket = filled_bucket(level)
    assert sum(grant.amount for grant in bucket.grant("vm", want * T, NOW)) == granted * T
    assert (bucket.level, bucket.outstanding) == ((level - granted) * T, granted * T)


def test_partial_grant_is_reduced_by_whole_tokens():
    """Guards against granted fractions of tokens that a VM cannot use."""
    bucket = filled_bucket(0)
    bucket.level = 2_700_000
    assert [grant.amount for grant in bucket.grant("vm", 4 * T + 300_000, NOW)] == [2_300_000]


@pytest.mark.parametrize("messages", [["report", "report"], ["return", "return"], ["return", "report"], ["late"]])
def test_repeated_and_late_messages_create_no_tokens(messages):
    """Guards against duplicated or late frames that create tokens."""
    bucket = filled_bucket(5)
    grant = bucket.grant("vm", 4 * T, NOW)[0]
    now = NOW
    for message in messages:
        now += 2 * token_bucket.OWNER_GRANT_LIFETIME_S if message == "late" else 0
        if message == "report":
            bucket.record_spent("vm", grant.number, 1 * T)
        else:
            bucket.return_grant("vm", grant.number, 1 * T, now)
        assert bucket.level + bucket.outstanding <= bucket.burst
    # The expired grant counts as spent, and tokens have accrued for 2.1 s at 99% of 2 per second.
    expected = {"report": (T, 3 * T), "return": (4 * T, 0), "late": (5_158_000, 0)}[messages[0]]
    assert (bucket.level, bucket.outstanding) == expected


def test_another_vm_cannot_report_a_grant():
    """Guards against a frame with a wrong grant number that releases tokens of another VM."""
    bucket = filled_bucket(5)
    grant = bucket.grant("vm", 4 * T, NOW)[0]
    bucket.record_spent("other", grant.number, 4 * T)
    bucket.return_grant("other", grant.number, 0, NOW)
    assert bucket.outstanding == 4 * T


def test_changed_limits_never_create_tokens():
    """Guards against a configuration change that refills the bucket."""
    bucket = filled_bucket(5)
    bucket.grant("vm", 2 * T, NOW)
    bucket.configure(2.0, 4 * T, NOW)
    assert (bucket.level, bucket.outstanding) == (2 * T, 2 * T)
    bucket.configure(2.0, 100 * T, NOW)
    assert bucket.level == 2 * T


def test_loan_is_spent_before_own_tokens_and_reported_once():
    """Guards against loans that expire unused, and against reports without changes."""
    bucket = filled_bucket(1)
    bucket.add_loan(token_bucket.Loan(9, "lender", 2 * T, NOW + 1), NOW)
    assert bucket.take(NOW) and bucket.level == T
    assert [(loan.number, loan.spent) for loan in bucket.collect_loan_reports()] == [(9, T)]
    assert bucket.collect_loan_reports() == []
    assert bucket.available(NOW + 1.0) == bucket.level


def test_grant_from_a_loan_ends_with_the_loan():
    """Guards against a VM that spends lent tokens after they have expired at the lender."""
    bucket = filled_bucket(0)
    bucket.add_loan(token_bucket.Loan(9, "lender", 2 * T, NOW + 0.4), NOW)
    assert bucket.grant("vm", T, NOW)[0].lifetime_s == pytest.approx(0.4)


@pytest.mark.parametrize(("want", "level", "room", "lent"), [(3, 0, 0, 3), (9, 0, 0, 5), (0, 1, 6, 2), (0, 1, 1, 1)])
def test_lend(want, level, room, lent):
    """Guards against a lender that lends more than it has, or more than fits into the borrower's bucket."""
    bucket = filled_bucket(5)
    assert sum(grant.amount for grant in bucket.lend("other", want * T, level * T, room * T, NOW)) == lent * T


def test_wait_follows_the_rate():
    """Guards against retry times that are too early or far too late."""
    assert filled_bucket(0).wait_s(T, NOW, 4.0) == pytest.approx(0.25)
    assert filled_bucket(0).wait_s(T, NOW, 0.0) == 60.0
