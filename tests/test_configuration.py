"""Tests of the stored form of the configuration."""

import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantlead import errors
from currantlead.control import configuration, model

KEY = "ab" * 32
FARM = model.Organisation("farm", 10.0, 5.0, ("rent",), {"k1": KEY})
BASE = model.Configuration(
    3,
    {"larisa": model.Domain("larisa", "north", model.ServiceState.LEAVING)},
    {"rent": model.Service("rent", 2, 15)},
    {"ledger": model.Database("ledger", "rent")},
    {"farm": FARM, "mill": model.Organisation("mill", 1.0, 1.0)},
    {"prices": model.Route("prices", "ledger", "select 1", 2.0)},
    {"ledger-a": model.ServiceState.OUT},
    {"vm1": model.ServiceState.LEAVING},
)
NAMES = st.text(st.characters(codec="utf-8", exclude_characters="/:,", exclude_categories=("Z", "C")), min_size=1)


def test_round_trip():
    """Guards against lost fields, and against storing more than one new part for a change of one organisation."""
    encoded = configuration.encode(BASE)
    assert configuration.decode(3, encoded.labels, encoded.texts) == BASE
    organisations = {**BASE.organisations, "farm": dataclasses.replace(FARM, rate=11.0)}
    changed = configuration.encode(dataclasses.replace(BASE, organisations=organisations))
    assert len(set(changed.texts) - set(encoded.texts)) == 1


@given(st.dictionaries(NAMES, st.floats(0.001, 1e9), max_size=40))
def test_round_trip_property(rates):
    """Guards against valid names and rates that are altered by encoding and decoding."""
    organisations = {name: model.Organisation(name, rate, 1.0) for name, rate in rates.items() if len(name) <= 128}
    wanted = model.Configuration(1, organisations=organisations)
    encoded = configuration.encode(wanted)
    assert configuration.decode(1, encoded.labels, encoded.texts) == wanted
    assert len(encoded.labels) <= configuration.SHARD_COUNT + 1


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"organisations": {"farm": dataclasses.replace(FARM, rate=0.0)}}, "farm.rate"),
        ({"organisations": {"farm": dataclasses.replace(FARM, rate=float("nan"))}}, "farm.rate"),
        ({"organisations": {"farm": dataclasses.replace(FARM, burst=0.5)}}, "farm.burst"),
        ({"organisations": {"farm": dataclasses.replace(FARM, keys={"k1": "secret"})}}, "farm.keys.k1"),
        (
            {"organisations": {"farm": dataclasses.replace(FARM, services=("none",))}},
            "farm.services: unknown name none",
        ),
        ({"organisations": {"mill": FARM}}, "farm is stored under the name mill"),
        (
            {"organisations": {"farm": FARM, "mill": model.Organisation("mill", 1.0, 1.0, keys={"k": KEY})}},
            "mill.keys: a key is already used by farm",
        ),
        ({"services": {"rent": model.Service("rent", 0, 15)}}, "places.services.rent.slots"),
        ({"databases": {"ledger": model.Database("ledger", "other")}}, "databases.ledger.service"),
        ({"routes": {"prices": model.Route("prices", "other", "select 1", 2.0)}}, "routes.prices.database"),
        ({"domains": {"a b": model.Domain("a b")}}, "places.domains.a b"),
        ({"routes": {"big": model.Route("big", "ledger", "x" * 950_000, 2.0)}}, "places: 950"),
    ],
)
def test_invalid_configuration_is_rejected_with_its_path(change, message):
    """Guards against storing a configuration that VMs cannot use."""
    with pytest.raises(errors.MalformedObjectError, match=message):
        configuration.encode(dataclasses.replace(BASE, **change))


@pytest.mark.parametrize(
    ("label", "text", "message"),
    [
        ("places", "{", "places: "),
        ("places", "[]", "places: "),
        ("places", '{"later": {}}', "places.later"),
        ("places", '{"vms": {"vm1": "gone"}}', "places.vms.vm1"),
        (configuration.shard_label("farm"), "{}", "organisations: Field required"),
        (
            "organisations-xx",
            json.dumps({"organisations": {"farm": {"rate": 1, "burst": 1}}}),
            "organisation belongs to part",
        ),
    ],
)
def test_malformed_part_is_rejected_with_its_path(label, text, message):
    """Guards against using a damaged part, and against dropping an unknown field silently."""
    with pytest.raises(errors.MalformedObjectError, match=message):
        configuration.decode_part(label, text)


@pytest.mark.parametrize("value", [None, {}, {"text": 1}, {"text": "other"}, "text"])
def test_part_must_match_its_digest(value):
    """Guards against using a part whose text was altered or truncated."""
    with pytest.raises(errors.MalformedObjectError, match="text"):
        configuration.part_text(configuration.digest("text"), value)


@pytest.mark.parametrize(
    "change", [{"number": 0}, {"number": None}, {"parts": {"places": "x"}}, {"change_id": ""}, {"recent": [1]}]
)
def test_malformed_index_is_rejected_with_the_field(change):
    """Guards against using an index with an invalid field, and against an error that does not name the field."""
    value = {"number": 1, "change_id": "c", "parts": {"places": KEY}, **change}
    with pytest.raises(errors.MalformedObjectError, match=next(iter(change))):
        configuration.decode_index(value)
