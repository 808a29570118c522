"""The store's objects: configuration, entries with missing or mistyped fields, listings and events."""

import json

import pytest

from currantlead import errors
from currantlead.platform import boot, objects
from currantlead.sessions import model
from tests import session_bed

ENTRY = {
    "service": "svc1",
    "addr": "10.0.0.1:80",
    "zone": "z1",
    "slots": 2,
    "state": "ready",
    "dbRole": "replica",
    "sequence": 4,
    "born": 17,
}


def test_entry_names_an_instance():
    """A complete entry is decoded into the project's own words."""
    found = objects.decode_instance(objects.Stored("i-1", 9, ENTRY))
    assert found == model.Instance("i-1", "svc1", "10.0.0.1", 80, "z1", False, model.Role.REPLICA, 9, 17)


_BAD = [
    (field, value)
    for field in ("service", "addr", "zone", "state", "dbRole")
    for value in (None, 7, [], {}, "", "nonsense:port", True)
    # Any text may be the name of a service or a failure domain.
    if not (field in ("service", "zone") and isinstance(value, str))
]


@pytest.mark.parametrize(("field", "value"), _BAD)
def test_bad_field_names_no_instance(field, value):
    """Entries of other writers with a bad field are passed over."""
    assert objects.decode_instance(objects.Stored("i-1", 9, ENTRY | {field: value})) is None


@pytest.mark.parametrize("field", ["service", "addr", "zone", "state", "dbRole"])
def test_missing_field_names_no_instance(field):
    """Entries of other writers with a missing field are passed over."""
    entry = {name: value for name, value in ENTRY.items() if name != field}
    assert objects.decode_instance(objects.Stored("i-1", 9, entry)) is None


@pytest.mark.parametrize("value", [None, 3, "text", [], b"".decode()])
def test_value_that_is_no_table_names_no_instance(value):
    """A value of another type is passed over."""
    assert objects.decode_instance(objects.Stored("i-1", 9, value)) is None


def test_configuration_is_decoded():
    """Routes are found by database, keys by organisation."""
    found = objects.decode_configuration(objects.Stored("main", 5, session_bed.configuration(7)))
    assert found.version == 7 and found.revision == 5
    assert found.routes["bounded-db"].consistency is model.Consistency.BOUNDED
    assert found.routes["bounded-db"].max_staleness_s == 1.5
    assert found.organisation_by_key[session_bed.KEY] == "spinners"
    assert found.services["svc1"].connections == 16


def test_configuration_without_a_field_raises():
    """A configuration that cannot be understood is an error, not an empty one."""
    value = session_bed.configuration()
    del value["tenants"]
    with pytest.raises(errors.MalformedObjectError):
        objects.decode_configuration(objects.Stored("main", 5, value))


def test_last_event_of_a_name_decides():
    """An object that was removed and created again within one answer exists."""
    stored = {"meta": {"name": "i-1", "revision": 3}, "spec": {}}
    body = json.dumps(
        {
            "asOf": 9,
            "events": [
                {"deleted": True, "object": stored},
                {"deleted": False, "object": stored},
                {"deleted": True, "object": {"meta": {"name": "i-2", "revision": 4}, "spec": {}}},
            ],
        }
    )
    page = objects.decode_page(body.encode())
    assert [item.name for item in page.present] == ["i-1"]
    assert page.removed == ("i-2",) and page.revision == 9


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"asOf": 1}', b'{"asOf": 1, "items": [1]}', b"\xff"])
def test_malformed_page_raises(body):
    """An answer without a form is an outage, not an empty list."""
    with pytest.raises(errors.MalformedObjectError):
        objects.decode_page(body)


BOOT = """
node = "front-1"
ip = "10.1.0.26"
zone = "larisa"
internalPorts = [7560, 7575]
heartbeatMs = 1200
[zones]
larisa = "thessaly"
[listen]
front = "10.1.0.26:8465"
ready = "10.1.0.26:8460"
[limits]
maxFds = 4300
[bounds]
revokeMs = 5000
[platform]
addr = "10.200.1.7:8466"
[cloudApi]
addr = "10.200.0.2:8466"
"""


def test_settings_file_is_translated():
    """Milliseconds become seconds, and addresses are split."""
    found = boot.parse(BOOT)
    assert found.vm == "front-1" and found.bounds.revocation_s == 5.0
    assert str(found.peers) == "10.1.0.26:7560" and found.region_of == {"larisa": "thessaly"}


def test_all_faults_of_the_settings_are_named():
    """A file with several faults is refused once, with every fault."""
    text = BOOT.replace('"10.1.0.26:8465"', '"nowhere"').replace("1200", '"soon"').replace('node = "front-1"', "")
    with pytest.raises(errors.SettingsError) as caught:
        boot.parse(text)
    assert [fault.split(":")[0] for fault in caught.value.faults] == ["node", "listen.front", "heartbeatMs"]


def test_settings_that_are_not_toml_are_refused():
    """A torn file is a settings error."""
    with pytest.raises(errors.SettingsError):
        boot.parse("[platform")
