"""Tests of a VM's cache of granted tokens."""

import pytest

from currantlead.admission import token_bucket, token_cache

T = token_bucket.TOKEN


def cache_with_demand(rate):
    """Return a cache after three seconds of requests at a constant rate."""
    cache = token_cache.TokenCache()
    for number in range(int(3 * rate)):
        cache.demand.record(number / rate)
    return cache


@pytest.mark.parametrize(
    ("rate", "waiting", "max_prefetch", "tokens"), [(10, 1, 50, 1), (10, 3, 50, 3), (100, 1, 50, 11), (100, 1, 2, 3)]
)
def test_amount_to_request(rate, waiting, max_prefetch, tokens):
    """Guards against prefetching at a low rate, and against one frame per request at a high rate."""
    assert cache_with_demand(rate).amount_to_request(waiting, 3.0, max_prefetch) == tokens * T


def test_lifetime_starts_before_the_request():
    """Guards against a slow reply that extends the lifetime of a grant."""
    cache = token_cache.TokenCache()
    cache.add("owner", 1, T, requested_at=10.0, lifetime_s=5.0)
    assert cache.available(10.9) == T
    assert not cache.take(11.0)


def test_fractions_of_several_grants_admit_a_request():
    """Guards against fractions of tokens that are never used, and against spending less than a whole token."""
    cache = token_cache.TokenCache()
    cache.add("x", 1, 400_000, 0.0, 1.0)
    assert not cache.take(0.1) and cache.available(0.1) == 400_000
    cache.add("y", 2, 600_000, 0.0, 1.0)
    assert cache.take(0.1) and cache.available(0.1) == 0
    assert cache.owners_to_report() == {"x", "y"}
    assert cache.collect_reports("x") == [(1, 400_000)] and cache.collect_reports("x") == []


def test_idle_tokens_are_returned_once():
    """Guards against tokens that are spent after they were returned."""
    cache = token_cache.TokenCache()
    cache.add("x", 1, 3 * T, 0.0, 1.0)
    cache.take(0.1)
    assert [(grant.number, grant.spent) for grant in cache.remove_idle(0.5)] == [(1, T)]
    assert not cache.take(0.5) and cache.remove_idle(0.5) == []
