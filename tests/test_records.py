"""Tests of typed access to records."""

import dataclasses

import pytest

from currantlead import errors
from currantlead.control import model, records
from tests.standins import memory

INSTANCES = (model.Instance("ledger-a", "http://127.0.0.1:1", "larisa"), model.Instance("ledger-b", "http://x", "n"))
GROUP = model.Group("ledger", 3, model.Phase.STABLE, "ledger-a", INSTANCES, {2: 10, 3: 40})
VIEW = model.View("larisa", 2, (model.Member("v1", "larisa", 7, "127.0.0.1:2"),), model.Member("w", "naousa", 8, "h:1"))
SHARES = model.Shares(2, {"larisa": 0.5, "naousa": 0.5}, {"larisa": 1.0}, {"larisa": 2})


@pytest.mark.parametrize("record", [GROUP, VIEW, SHARES])
async def test_write_and_read(record):
    """Guards against lost fields, and against overwriting a record from an outdated version."""
    platform = memory.MemoryPlatform()
    written = await records.write(platform, record)
    assert written.version == 1
    assert await records.read(platform, *records.object_key(record)) == written
    with pytest.raises(errors.VersionConflictError):
        await records.write(platform, record)
    assert records.decode(*records.object_key(record), 1, records.to_object(written).value) == written


def test_group_created_by_the_platform_is_decoded():
    """Guards against rejecting a group without phase, primary and name, which has had no promotion yet."""
    group = records.decode("groups", "ledger", 4, {"term": 0, "instances": [], "colour": "unknown field"})
    assert group == model.Group("ledger", 0, model.Phase.STABLE, "", (), {}, 4)


@pytest.mark.parametrize(
    ("kind", "value", "message"),
    [
        ("groups", {**records.encode(GROUP), "term": "x"}, "groups/ledger.term"),
        ("groups", {**records.encode(GROUP), "term": -1}, "groups/ledger.term"),
        ("groups", {**records.encode(GROUP), "name": "other"}, "groups/ledger.name"),
        ("groups", {**records.encode(GROUP), "primary": "ledger-z"}, "groups/ledger.primary"),
        ("groups", {**records.encode(GROUP), "phase": "lost"}, "groups/ledger.phase"),
        ("groups", {**records.encode(GROUP), "starts": {"9": 1}}, "groups/ledger.starts"),
        ("groups", {**records.encode(GROUP), "instances": [{"name": "a"}]}, "groups/ledger.instances.0.url"),
        ("groups", {**records.encode(GROUP), "instances": records.encode(GROUP)["instances"] * 2}, "instances"),
        ("groups", [], "not a map"),
        ("views", {"number": 1, "members": [{}]}, "views/ledger.members.0.vm"),
        ("views", {**records.encode(VIEW), "domain": "ledger"}, "another domain"),
        ("views", {"number": -1}, "views/ledger.number"),
        ("shares", {"number": 1, "shares": {"a": 0.7, "b": 0.7}}, "shares/ledger.shares|shares/current.shares"),
        ("shares", {"number": 1, "previous": {"a": -0.1}}, "previous"),
    ],
)
def test_malformed_record_is_rejected_with_the_field(kind, value, message):
    """Guards against using an invalid record for routing or rate limits."""
    with pytest.raises(errors.MalformedObjectError, match=message):
        records.decode(kind, "ledger", 1, value)


async def test_invalid_record_is_not_written():
    """Guards against storing an invalid division of rates."""
    platform = memory.MemoryPlatform()
    with pytest.raises(errors.MalformedObjectError):
        await records.write(platform, dataclasses.replace(SHARES, shares={"larisa": 0.9, "naousa": 0.9}))
    assert platform.calls["write"] == 0
