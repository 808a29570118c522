"""Samples of the primary's position, and the age of the configuration."""

import pytest

from currantlead.sessions import confirmation, freshness, model, settings

P = model.Position


def test_oldest_sample_that_covers_the_time_is_used():
    """A read asks a replica for no more than its allowed age demands."""
    samples = freshness.Freshness()
    for at, number in [(1.0, 1), (2.0, 5), (3.0, 9)]:
        samples.record("svc", at, P(1, number))
    assert samples.oldest_since("svc", 1.5).position == P(1, 5)
    assert samples.oldest_since("svc", 3.0).position == P(1, 9)
    assert samples.oldest_since("svc", 3.1) is None
    assert samples.oldest_since("other", 0.0) is None


def test_late_answer_does_not_reorder_samples():
    """An answer that was asked for earlier than a known one adds nothing."""
    samples = freshness.Freshness()
    samples.record("svc", 2.0, P(1, 5))
    samples.record("svc", 1.0, P(1, 9))
    assert samples.oldest_since("svc", 0.0).position == P(1, 5)


@pytest.mark.parametrize(
    ("age", "keys", "sessions"), [(0.0, True, True), (2.9, True, True), (3.1, True, False), (3.9, False, False)]
)
def test_age_of_the_configuration_decides(age, keys, sessions):
    """Keys stop well before the bound in which a withdrawal must be known, new sessions before that."""
    confirmed = confirmation.Confirmation(settings.Bounds(revocation_s=5.0))
    assert not confirmed.allows_keys(100.0)
    confirmed.confirm(100.0)
    confirmed.confirm(99.0)
    assert confirmed.allows_keys(100.0 + age) is keys
    assert confirmed.allows_new_sessions(100.0 + age) is sessions
