"""Tests of a VM's cache of tokens."""

import pytest

from currantlead.admission import token_bucket, token_cache

T = token_bucket.TOKEN


def busy(rate):
    """Return a cache that has seen one second of steady requests."""
    cache = token_cache.Cache()
    for number in range(int(3 * rate)):
        cache.demand.count(number / rate)
    return cache


@pytest.mark.parametrize(
    ("rate", "waiting", "most_ahead", "tokens"), [(10, 1, 50, 1), (10, 3, 50, 3), (100, 1, 50, 11), (100, 1, 2, 3)]
)
def test_wanted(rate, waiting, most_ahead, tokens):
    """Guards against tokens held for a slow caller, and against a message for each request of a fast one."""
    assert busy(rate).wanted(waiting, 3.0, most_ahead) == tokens * T


def test_lifetime_counts_from_before_the_ask():
    """Guards against a slow answer that lengthens a grant."""
    cache = token_cache.Cache()
    cache.add("owner", 1, T, asked=10.0, lifetime_s=5.0)
    assert cache.available(10.9) == T
    assert not cache.take(11.0)


def test_fractions_of_several_grants_admit_a_request():
    """Guards against thirds of a token that never admit anything, and against spending a part of a token."""
    cache = token_cache.Cache()
    cache.add("x", 1, 400_000, 0.0, 1.0)
    assert not cache.take(0.1) and cache.available(0.1) == 400_000
    cache.add("y", 2, 600_000, 0.0, 1.0)
    assert cache.take(0.1) and cache.available(0.1) == 0
    assert cache.owners() == {"x", "y"}
    assert cache.reports("x") == [(1, 400_000)] and cache.reports("x") == []


def test_idle_tokens_go_back_once():
    """Guards against tokens that are spent after they were handed back."""
    cache = token_cache.Cache()
    cache.add("x", 1, 3 * T, 0.0, 1.0)
    cache.take(0.1)
    assert [(part.number, part.spent) for part in cache.remove_idle(0.5)] == [(1, T)]
    assert not cache.take(0.5) and cache.remove_idle(0.5) == []
