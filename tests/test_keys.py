"""Tests of key digests and grants."""

import pytest

from currantlead.control import model
from currantlead.identity import keys


def configuration(**keys_by_organisation):
    """Return a configuration with the keys of each organisation."""
    organisations = {
        name: model.Organisation(name, 1, 1, ("sql",), {key: keys.digest(key) for key in found})
        for name, found in keys_by_organisation.items()
    }
    databases = {"ledger": model.Database("ledger", "sql"), "archive": model.Database("archive", "cold")}
    return model.Configuration(3, organisations=organisations, databases=databases)


@pytest.mark.parametrize(
    ("digest", "found"),
    [
        (keys.digest("first"), "a"),
        (keys.digest("second"), "a"),
        (keys.digest("third"), "b"),
        (keys.digest("shared"), None),
        (keys.digest("withdrawn"), None),
        (keys.digest("first")[:-1] + "x", None),
        (keys.digest("first")[:16], None),
        ("0" * 64, None),
        ("", None),
        ("é" * 64, None),
    ],
)
def test_organisation(digest, found):
    """Guards against attributing a key to the wrong organisation, and against matching only a prefix of the digest."""
    index = keys.KeyIndex.from_config(configuration(a=["first", "second", "shared"], b=["third", "shared"]))
    assert index.organisation(digest) == found


def test_withdrawn_key_is_unknown_in_a_new_index():
    """Guards against an index that keeps keys of an earlier configuration."""
    assert keys.KeyIndex.from_config(configuration(a=["first"])).organisation(keys.digest("first")) == "a"
    assert keys.KeyIndex.from_config(configuration(a=["second"])).organisation(keys.digest("first")) is None


@pytest.mark.parametrize(
    ("organisation", "database", "granted"),
    [("a", "ledger", True), ("a", "archive", False), ("a", "unknown", False), ("unknown", "ledger", False)],
)
def test_grants(organisation, database, granted):
    """Guards against using a service that was not granted."""
    index = keys.KeyIndex.from_config(configuration(a=["first"]))
    assert index.is_granted(organisation, database) is granted
