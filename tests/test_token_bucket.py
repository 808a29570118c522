"""Tests of the owner's ledger."""

import pytest

from currantlead.admission import token_bucket

T = token_bucket.TOKEN


def ledger(level=5, burst=6, rate=2.0):
    """Return a ledger that a previous period has filled."""
    found = token_bucket.Ledger(rate, burst * T, owned_since=0.0)
    found.advance(token_bucket.OWNER_LIFETIME_S)
    found.level = level * T
    return found


NOW = token_bucket.OWNER_LIFETIME_S


def test_new_owner_waits_one_grant_lifetime():
    """Guards against tokens that are created while grants of the previous owner are valid."""
    found = token_bucket.Ledger(100.0, 6 * T, owned_since=50.0)
    assert found.available(50.0 + token_bucket.OWNER_LIFETIME_S) == 0
    assert found.available(51.0 + token_bucket.OWNER_LIFETIME_S) == 6 * T


@pytest.mark.parametrize(("level", "want", "given"), [(5, 3, 3), (5, 7, 5), (0, 1, 0)])
def test_grant_takes_from_the_level(level, want, given):
    """Guards against a grant above the level."""
    found = ledger(level)
    assert sum(grant.amount for grant in found.grant("vm", want * T, NOW)) == given * T
    assert (found.level, found.outstanding) == ((level - given) * T, given * T)


def test_grant_of_a_part_is_less_by_whole_tokens():
    """Guards against fractions of tokens that lie unused at a VM."""
    found = ledger(0)
    found.level = 2_700_000
    assert [grant.amount for grant in found.grant("vm", 4 * T + 300_000, NOW)] == [2_300_000]


@pytest.mark.parametrize("messages", [["report", "report"], ["return", "return"], ["return", "report"], ["late"]])
def test_repeated_and_late_messages_create_nothing(messages):
    """Guards against duplicated or delayed frames that add tokens."""
    found = ledger(5)
    grant = found.grant("vm", 4 * T, NOW)[0]
    now = NOW
    for message in messages:
        now += 2 * token_bucket.OWNER_LIFETIME_S if message == "late" else 0
        if message == "report":
            found.report("vm", grant.number, 1 * T)
        else:
            found.give_back("vm", grant.number, 1 * T, now)
        assert found.level + found.outstanding <= found.burst
    # The expired grant counts as spent, and 2.1 s at 99% of 2 tokens per second have accrued.
    expected = {"report": (T, 3 * T), "return": (4 * T, 0), "late": (5_158_000, 0)}[messages[0]]
    assert (found.level, found.outstanding) == expected


def test_another_vm_cannot_report_a_grant():
    """Guards against a frame with the wrong number that frees tokens of another VM."""
    found = ledger(5)
    grant = found.grant("vm", 4 * T, NOW)[0]
    found.report("other", grant.number, 4 * T)
    found.give_back("other", grant.number, 0, NOW)
    assert found.outstanding == 4 * T


def test_changed_limits_never_create_tokens():
    """Guards against a burst that is refilled by a change of the configuration."""
    found = ledger(5)
    found.grant("vm", 2 * T, NOW)
    found.configure(2.0, 4 * T, NOW)
    assert (found.level, found.outstanding) == (2 * T, 2 * T)
    found.configure(2.0, 100 * T, NOW)
    assert found.level == 2 * T


def test_loan_is_spent_before_own_tokens_and_reported_once():
    """Guards against loans that expire unused, and against frames without news."""
    found = ledger(1)
    found.borrow(token_bucket.Loan(9, "lender", 2 * T, NOW + 1), NOW)
    assert found.take(NOW) and found.level == T
    assert [(loan.number, loan.spent) for loan in found.loan_reports()] == [(9, T)]
    assert found.loan_reports() == []
    assert found.available(NOW + 1.0) == found.level


def test_grant_from_a_loan_ends_with_the_loan():
    """Guards against tokens of a lender that a third VM spends after the lender counts them as void."""
    found = ledger(0)
    found.borrow(token_bucket.Loan(9, "lender", 2 * T, NOW + 0.4), NOW)
    assert found.grant("vm", T, NOW)[0].lifetime_s == pytest.approx(0.4)


@pytest.mark.parametrize(("want", "level", "room", "lent"), [(3, 0, 0, 3), (9, 0, 0, 5), (0, 1, 6, 2), (0, 1, 1, 1)])
def test_lend(want, level, room, lent):
    """Guards against a lender that gives more than it has, or more than the borrower can keep."""
    found = ledger(5)
    assert sum(grant.amount for grant in found.lend("other", want * T, level * T, room * T, NOW)) == lent * T


def test_wait_fits_the_rate():
    """Guards against a retry that is too early or far too late."""
    assert ledger(0).wait_s(T, NOW, 4.0) == pytest.approx(0.25)
    assert ledger(0).wait_s(T, NOW, 0.0) == 60.0
