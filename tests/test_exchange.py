"""Tests of the bodies of ``objects`` and ``pull`` frames."""

import itertools

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from currantlead import interfaces, wire
from currantlead.control import configuration, directory, exchange, model

PLACES = st.sampled_from([("groups", "g1"), ("groups", "g2"), ("views", "larisa"), ("shares", "current")])
STATES = st.lists(st.dictionaries(PLACES, st.integers(1, 5)), min_size=2, max_size=4)


def record(kind, name, version):
    """Return a small object of a kind."""
    value = {"groups": {"term": 1, "instances": []}}.get(kind, {"number": version})
    return interfaces.StoredObject(kind, name, version, value)


def snapshot(number):
    """Return the objects of a configuration: its parts and its index."""
    encoded = configuration.encode(model.Configuration(routes={}, vms={f"v{number}": model.ServiceState.OUT}))
    index = configuration.Index(number=number, change_id="c", parts=dict(encoded.labels))
    parts = [
        interfaces.StoredObject("parts", name, 1, configuration.part_value(t)) for name, t in encoded.texts.items()
    ]
    return [*parts, interfaces.StoredObject("configuration", "current", number, configuration.encode_index(index))]


def catch_up(behind, ahead):
    """Pull once, with all bodies encoded and decoded; return whether a pull was needed."""
    numbers = exchange.decode_summary(msgpack.unpackb(msgpack.packb(wire.to_map(exchange.summarize_state(ahead)))))
    request = exchange.plan_pull(behind, numbers)
    if request is None:
        return False
    body = exchange.answer_pull(ahead, msgpack.unpackb(msgpack.packb(wire.to_map(request))))
    behind.apply(exchange.decode_objects(msgpack.unpackb(msgpack.packb(body))).stored_objects())
    return True


@given(STATES, st.lists(st.integers(0, 3), min_size=4, max_size=4))
def test_pulls_converge_property(states, numbers):
    """VMs that each have some newer objects all reach the newest state, and then stop pulling."""
    caches = []
    for state, number in zip(states, numbers, strict=False):
        cache = directory.Directory(lambda: 0.0)
        cache.apply(record(kind, name, version) for (kind, name), version in state.items())
        cache.apply(snapshot(number) if number else [])
        caches.append(cache)
    for _ in range(8):
        pulls = [catch_up(behind, ahead) for behind, ahead in itertools.permutations(caches, 2)]
    assert not any(pulls)
    for cache in caches:
        assert cache.configuration.number == max(numbers[: len(caches)])
        for kind in directory.KINDS[1:]:
            known = [((k, name), version) for state in states for (k, name), version in state.items() if k == kind]
            newest = {name: max(v for (_, n), v in known if n == name) for (_, name), _ in known}
            assert cache.versions(kind) == newest


def test_batches_are_bounded():
    """Many objects are split into batches below the frame limit, and none is left out."""
    objects = [interfaces.StoredObject("groups", str(n), 1, {"text": "x" * 300_000}) for n in range(10)]
    batches = list(exchange.batch(objects))
    assert [row[1] for rows in batches for row in rows] == [str(n) for n in range(10)]
    assert all(len(msgpack.packb(list(rows))) < 2 * 1024 * 1024 for rows in batches)
