"""Entries that other writers left among those of instances and members: they name nothing, and the others hold."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantlead.platform import json_documents, objects
from currantlead.sessions import daemon, model
from currantlead.sessions.decisions import election
from tests import session_bed
from tests.standins import object_store

INSTANCE = {
    "service": session_bed.SERVICE,
    "addr": "127.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "sequence": 4,
    "born": 17,
}
MEMBER = {"peerHost": "127.0.0.1", "peerPort": 80, "domain": "z1"}
DEPTH = 100_000


def _replace(entry: dict, field: str, raw: bytes) -> bytes:
    """Return an entry as JSON with the bytes of one field replaced."""
    return json.dumps(entry | {field: "@"}).encode().replace(b'"@"', raw)


ODD_VALUES = {
    "deep arrays": b"[" * DEPTH + b"]" * DEPTH,
    "deep objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "deep mixture": b'[{"a":' * DEPTH + b'"]}"' + b"}]" * DEPTH,
    "invalid UTF-8": b'"\xff\xfe"',
    "lone surrogate": b'"\\ud800"',
    "control character": b'"a\x01\nb"',
    "integer of 5,000 digits": b"9" * 5000,
    "integer of 400 digits": b"9" * 400,
    "number beyond doubles": b"1e999",
    "not a number": b"NaN",
}
"""Values that a JSON decoder refuses, or that fit no number or text of the platform, by name."""
ODD_PORTS = ["0", "-1", "65536", "99999", "9" * 30, "9" * 5000, "80.0", "8_0", "\u0663", ""]
ODD_HOSTS = [
    "",
    "fe80::1%" + "x" * 70,
    "localhost:",
    "no-such-host",
    "x" * 70,
    "127.0.0.1\0",
    "1.2.3",
    "[::1",
    "127.0.0.1 ",
]

ODD_INSTANCES = (
    {name: raw for name, raw in ODD_VALUES.items()}
    | {
        f"{field}: {name}": _replace(INSTANCE, field, raw)
        for field in ("service", "addr", "zone", "slots", "state", "dbRole", "born")
        for name, raw in ODD_VALUES.items()
    }
    | {
        f"port {port[:35]!r}": _replace(INSTANCE, "addr", json.dumps(f"127.0.0.1:{port}").encode())
        for port in ODD_PORTS
    }
    | {f"host {host[:14]!r}": _replace(INSTANCE, "addr", json.dumps(f"{host}:80").encode()) for host in ODD_HOSTS}
)
ODD_MEMBERS = (
    {name: raw for name, raw in ODD_VALUES.items()}
    | {
        f"{field}: {name}": _replace(MEMBER, field, raw)
        for field in ("peerHost", "peerPort", "domain")
        for name, raw in ODD_VALUES.items()
    }
    | {
        f"port {port[:9]!r}": _replace(MEMBER, "peerPort", port.encode())
        for port in ("0", "-1", "65536", "true", "80.5")
    }
    | {f"host {host[:14]!r}": _replace(MEMBER, "peerHost", json.dumps(host).encode()) for host in ODD_HOSTS}
)


def _page(odd: bytes, good: dict, *, is_list: bool = True) -> bytes:
    """Return a list or events with an odd entry, ``b``, between two good ones."""
    specs = {b"a": json.dumps(good).encode(), b"b": odd, b"c": json.dumps(good).encode()}
    items = [b'{"meta": {"name": "%s", "revision": 3}, "spec": %s}' % (name, spec) for name, spec in specs.items()]
    if is_list:
        return b'{"items": [%s], "hasMore": false, "asOf": 9}' % b", ".join(items)
    return b'{"events": [%s], "asOf": 9}' % b", ".join(b'{"object": %s, "deleted": false}' % item for item in items)


@pytest.mark.parametrize("is_list", [True, False], ids=["list", "events"])
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_unreadable_value_leaves_the_others_of_its_page(odd, is_list):
    """Guards against VMs that stop following the store because one value in a response cannot be decoded."""
    page = objects.decode_page(_page(odd, INSTANCE, is_list=is_list), 0)
    assert page.revision == 9 and [stored.name for stored in page.present] == ["a", "b", "c"]
    assert page.present[0].value == page.present[2].value == INSTANCE


@pytest.mark.parametrize("odd", ODD_INSTANCES.values(), ids=ODD_INSTANCES)
def test_odd_instance_entry_names_no_instance(odd):
    """Guards against promotions and statements that fail because of an address or number that nothing accepts."""
    decoded = [objects.decode_instance(stored) for stored in objects.decode_page(_page(odd, INSTANCE), 0).present]
    assert decoded[1] is None and None not in (decoded[0], decoded[2])


@pytest.mark.parametrize("odd", ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_member_entry_names_no_vm(odd):
    """Guards against VMs that stop following the members, or whose datagram socket closes, because of one entry."""
    decoded = [objects.decode_member(stored) for stored in objects.decode_page(_page(odd, MEMBER), 0).present]
    assert decoded[1] is None and None not in (decoded[0], decoded[2])


@pytest.mark.parametrize("host", ["10.0.0.1", "::1"])
def test_member_at_an_address_of_the_settings_is_known(host):
    """Guards against a VM that the others ignore although its settings accept the address."""
    entry = objects.encode_member(model.Member("vm-1", host, 80, "z1"))
    assert objects.decode_member(objects.StoredObject("vm-1", 3, entry)).host == host


@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_member_with_an_odd_capacity_has_none(odd):
    """Guards against a member that is left out because of a field that it can do without."""
    page = objects.decode_page(_page(_replace(MEMBER, "capacity", odd), MEMBER), 0)
    assert objects.decode_member(page.present[1]).capacity is None


@pytest.mark.parametrize("depth", [3, 60, 61, 62, 63, 64, 65, 100, 900, 2000])
def test_nesting_is_cut_at_the_limit_only(depth):
    """Values up to the maximum depth are kept, and deeper ones lose what is below it."""
    document = json_documents.decode(b'[1, %s, {"a": "]"}]' % (b"[" * (depth - 1) + b"]" * (depth - 1)))
    found, level = 0, [document]
    while level:
        found, level = found + 1, [item for outer in level if isinstance(outer, list) for item in outer]
        level = [item for item in level if isinstance(item, list)]
    assert found == min(depth, json_documents.MAX_DEPTH)
    assert document[0] == 1 and document[2] == {"a": "]"}


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text() | st.floats(allow_nan=False),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ),
    st.sampled_from(sorted(set(ODD_VALUES) - {"number beyond doubles", "not a number", "lone surrogate"})),
)
def test_values_beside_an_unreadable_one_are_kept_property(value, name):
    """Guards against readable values that change where an unreadable one is replaced."""
    text = json.dumps(value).encode()
    first, _, last = json_documents.decode(b"[%s, %s, %s]" % (text, ODD_VALUES[name], text))
    assert first == last == value


@given(
    st.sampled_from([0, json_documents.MAX_DEPTH - 2, 5000]),
    st.binary(max_size=200) | st.text(alphabet='[]{}",:\\a1-e', max_size=200).map(str.encode),
)
def test_any_bytes_give_a_value_or_a_value_error_property(depth, body):
    """Guards against documents whose decoding raises anything but the error that callers handle."""
    try:
        json_documents.decode(b"[" * depth + body + b"]" * depth)
    except ValueError:
        return


async def _serves(bed: session_bed.Bed, at: daemon.Daemon) -> bool:
    caller = await bed.caller(at=at)
    return (await caller.query("WRITE a1 x"))[0].startswith("DONE i-")


@pytest.mark.parametrize("kind", [objects.INSTANCES, objects.MEMBERS])
@pytest.mark.parametrize("name", ["deep arrays", "integer of 5,000 digits", "number beyond doubles", "invalid UTF-8"])
async def test_changes_are_followed_beside_an_odd_entry(kind, name):
    """Guards against VMs that no longer follow the store, or never become ready, because of one entry."""
    async with session_bed.Bed() as bed:
        entry = INSTANCE if kind == objects.INSTANCES else MEMBER
        field = "addr" if kind == objects.INSTANCES else "peerPort"
        bed.store.put(kind, "odd-1", object_store.RawValue(ODD_VALUES[name]))
        bed.store.put(kind, "odd-2", object_store.RawValue(_replace(entry, field, ODD_VALUES[name])))
        second = await bed.add_daemon("vm-2", "z1")
        third = await bed.add_daemon("vm-3", "z2")
        bed.register_instance("i-3", state="draining")
        for vm in (bed.daemon, second, third):
            await session_bed.wait_until(lambda vm=vm: vm.fleet.get("i-3").instance.draining)
            await session_bed.wait_until(lambda vm=vm: vm.members.names() == ["vm-1", "vm-2", "vm-3"])
            assert vm.fleet.ids() == {"i-1", "i-2", "i-3"}
            assert await _serves(bed, vm)


async def test_primary_is_replaced_beside_an_odd_replica():
    """Guards against promotions that fail because of an entry with a port that no socket takes."""
    async with session_bed.Bed() as bed:
        bed.store.put(objects.INSTANCES, "odd", INSTANCE | {"addr": "127.0.0.1:99999"})
        caller = await bed.caller()
        assert (await caller.query("WRITE a1 x"))[0].startswith("DONE i-1")
        bed.register_instance("i-1", state="draining")
        await session_bed.wait_until(lambda: bed.service.primary != "i-1", timeout_s=6.0)


async def test_unknown_service_gets_no_primary(monkeypatch):
    """Guards against claims of a duty, each a write to the store, every 0.6 s for a service that nobody configured."""
    monkeypatch.setattr(election, "ABSENCE_TIMEOUT_S", 0.2)
    async with session_bed.Bed() as bed:
        bed.store.put(objects.INSTANCES, "odd", INSTANCE | {"service": "svc9"})
        await session_bed.wait_until(lambda: bed.daemon.fleet.get("odd"))
        await asyncio.sleep(0.5)
        assert not bed.store.objects.get(objects.DUTIES)
