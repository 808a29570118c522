"""Tests of the local cache of platform objects."""

import pytest

from currantlead import interfaces
from currantlead.control import configuration, directory, model, records

KEY = "ab" * 32


def snapshot(number, rate=1.0, version=None, **index):
    """Return the index object and the part objects of a configuration with one organisation."""
    encoded = configuration.encode(model.Configuration(organisations={"farm": model.Organisation("farm", rate, 5.0)}))
    value = {"number": number, "change_id": f"c{number}", "parts": dict(encoded.labels), "recent": [], **index}
    parts = [
        interfaces.StoredObject("parts", name, 1, configuration.part_value(text))
        for name, text in encoded.texts.items()
    ]
    return interfaces.StoredObject("configuration", "current", version or number, value), parts


def shares(version, number, **change):
    """Return the stored object of a division of rates."""
    return interfaces.StoredObject("shares", "current", version, {"number": number, "shares": {"a": 1.0}, **change})


@pytest.fixture
def cache():
    """Return a directory whose clock reads 100."""
    return directory.Directory(lambda: 100.0)


def test_configuration_is_applied_with_its_last_part(cache):
    """Guards against using a configuration with missing parts; parts may arrive before or after their index."""
    calls = []
    cache.subscribe(lambda kind, name: calls.append((kind, name, cache.configuration.number)))
    index, parts = snapshot(1)
    cache.apply([parts[0]])
    assert cache.apply([index]) == []
    assert (cache.configuration.number, cache.missing_parts()) == (0, (parts[1].name,))
    assert cache.apply([parts[1]]) == [index]
    assert calls == [("configuration", "current", 1)]


def test_altered_part_is_not_used(cache):
    """Guards against using a part whose text does not match its digest."""
    index, parts = snapshot(1)
    altered = interfaces.StoredObject("parts", parts[0].name, 9, configuration.part_value("{}"))
    cache.apply([index, altered, parts[1]])
    assert cache.missing_parts() == (parts[0].name,)


@pytest.mark.parametrize(
    "late",
    [
        snapshot(1, rate=2.0, version=99)[0],
        snapshot(2, rate=3.0, version=99)[0],
        interfaces.StoredObject("configuration", "current", 99, {"number": "x"}),
        interfaces.StoredObject("configuration", "current", 99, None),
    ],
    ids=["lower number", "same number with other parts", "malformed number", "no value"],
)
def test_configuration_never_reverts(cache, late):
    """Guards against replacing the configuration by one with a lower or equal number, or by a malformed index."""
    index, parts = snapshot(2)
    cache.apply([index, *parts])
    others = [part for rate in (2.0, 3.0) for part in snapshot(1, rate)[1]]
    assert cache.apply([late, *others]) == []
    assert cache.configuration.organisations["farm"].rate == 1.0


def test_configuration_with_invalid_part_is_skipped(cache):
    """Guards against an invalid part with a correct digest that blocks later configurations."""
    text = '{"organisations":{"farm":{}}}'
    name = configuration.digest(text)
    bad = interfaces.StoredObject("parts", name, 1, configuration.part_value(text))
    cache.apply([snapshot(5, parts={configuration.shard_label("farm"): name})[0], bad])
    cache.confirm(5, 99.0)
    assert (cache.configuration.number, cache.confirmed_at) == (0, None)
    index, parts = snapshot(6)
    assert cache.apply([index, *parts]) == [index]


def test_records_take_only_higher_versions(cache):
    """Guards against applying outdated, repeated or malformed records, and notifying subscribers of them."""
    calls = []
    cache.subscribe(lambda *place: calls.append(place))
    assert cache.shares == model.Shares(0)
    cache.apply([shares(5, 2), shares(4, 1), shares(5, 9)])
    assert cache.apply([shares(3, 1), shares(5, 9), shares(6, 3, shares={"a": 2.0})]) == []
    assert (cache.shares.number, cache.shares.version, calls) == (2, 5, [("shares", "current")])


def test_readers_keep_a_consistent_snapshot(cache):
    """Guards against a mapping that changes while a reader uses it."""
    cache.apply([interfaces.StoredObject("groups", "ledger", 1, {"term": 1, "instances": []})])
    before = cache.groups
    cache.apply([interfaces.StoredObject("groups", "ledger", 2, {"term": 2, "instances": []})])
    assert (before["ledger"].term, cache.groups["ledger"].term) == (1, 2)
    assert cache.groups is cache.groups


def test_failing_subscriber_does_not_stop_others(cache):
    """Guards against subscribers that miss a change because another one raised an exception."""
    calls = []
    cache.subscribe(lambda *_: 1 / 0)
    cache.subscribe(lambda *place: calls.append(place))
    cache.apply([shares(1, 1)])
    assert calls == [("shares", "current")]


def test_confirmation_of_the_configuration(cache):
    """Guards against an age counted from the platform's answer, or confirmed while a newer configuration is known."""
    assert cache.configuration_age_s is None
    index, parts = snapshot(2)
    cache.apply([index, *parts])
    cache.confirm(2, 95.0)
    cache.confirm(1, 90.0)
    cache.confirm(3, 99.0)
    assert (cache.confirmed_at, cache.configuration_age_s) == (95.0, 5.0)
    cache.apply([snapshot(3, 2.0)[0]])
    cache.confirm(2, 99.0)
    assert cache.confirmed_at == 95.0


def test_summary_shows_which_directory_is_outdated(cache):
    """Guards against summaries that depend on the order of arrival, and sums that do not grow with each change."""
    other = directory.Directory(lambda: 0.0)
    views = [interfaces.StoredObject("views", name, version, {"number": 1}) for name, version in (("a", 1), ("b", 2))]
    cache.apply(views)
    other.apply([views[1]])
    assert other.summary(records.VIEWS)[0] < cache.summary(records.VIEWS)[0]
    other.apply(views)
    assert other.summary(records.VIEWS) == cache.summary(records.VIEWS)


def test_unused_parts_do_not_accumulate(cache):
    """Guards against unbounded memory for parts that no index lists or that belong to a replaced configuration."""
    index, parts = snapshot(1)
    cache.apply([index, *parts])
    for rate in range(2, 400):
        cache.apply(snapshot(1, float(rate))[1])
    assert len(cache.part_names()) <= 258
    index, parts = snapshot(2, 1000.0)
    cache.apply([index, *parts])
    assert set(cache.part_names()) == {part.name for part in parts}
