"""Instances by service, as entries appear, change, drain and lapse."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from currantlead.platform import objects
from currantlead.sessions import clock, model, settings
from currantlead.sessions.instances import fleet

PRIMARY = model.Instance("i-1", "svc1", "127.0.0.1", 1, "z1", False, model.Role.PRIMARY, 5, 1)


def make_fleet():
    """Return a fleet without instances."""
    return fleet.Fleet(settings.Bounds(), {"z1": "r1"})


events = st.lists(
    st.tuples(
        st.sampled_from(["update", "drain", "remove", "lapse"]),
        st.integers(0, 4),
        st.sampled_from(["svc1", "svc2"]),
        st.integers(1, 2),
    ),
    max_size=60,
)


@hypothesis.given(events)
def test_property_services_list_exactly_the_known_instances(steps):
    """No instance is missing from its service or left behind in another one, whatever happens to its entry."""
    instances = make_fleet()
    for action, number, service, started_at_ms in steps:
        name = f"i-{number}"
        if action in ("update", "drain"):
            instances.update(
                dataclasses.replace(
                    PRIMARY, id=name, service=service, draining=action == "drain", started_at_ms=started_at_ms
                ),
                clock.now(),
            )
        else:
            instances.remove(name)
        if action == "lapse":
            tracked = instances.get(name)
            if tracked is not None:
                tracked.lapsed_at = clock.now() - fleet.LAPSE_GRACE_S - 1
            instances.remove_lapsed()
        by_service = {name: {item.instance.id for item in instances.instances_of(name)} for name in ("svc1", "svc2")}
        assert by_service["svc1"] | by_service["svc2"] == instances.ids()
        assert not by_service["svc1"] & by_service["svc2"]
        assert instances.services() == {name for name, members in by_service.items() if members}
        for item in instances.instances_of("svc1"):
            assert item is instances.get(item.instance.id) and item.instance.service == "svc1"


def test_restarted_instance_knows_nothing_of_before():
    """An instance that starts again under its id has lost its state, so nothing seen before counts for it."""
    instances = make_fleet()
    instances.update(PRIMARY, clock.now())
    instances.mark_suspect("i-1", "seen by the test")
    instances.update(dataclasses.replace(PRIMARY, started_at_ms=2, role=model.Role.REPLICA, revision=6), clock.now())
    (tracked,) = instances.instances_of("svc1")
    assert not instances.is_suspect(tracked) and tracked.primary_since == 0
    assert instances.primary("svc1") is None


def test_restored_entry_of_an_earlier_start_is_ignored():
    """A restored store has the entry of an instance's earlier start, whose address may belong to another one now."""
    instances = make_fleet()
    instances.update(dataclasses.replace(PRIMARY, started_at_ms=2, port=2), clock.now())
    restored = objects.combine_revision(1, 3)
    instances.update(dataclasses.replace(PRIMARY, started_at_ms=1, port=1, revision=restored), clock.now())
    (tracked,) = instances.instances_of("svc1")
    assert (tracked.instance.started_at_ms, tracked.instance.port) == (2, 2)


def test_restored_entry_does_not_end_a_drain():
    """An instance that drains got new work again when the store was restored from a copy of before."""
    instances = make_fleet()
    instances.update(dataclasses.replace(PRIMARY, role=model.Role.REPLICA, draining=True), clock.now())
    restored = dataclasses.replace(PRIMARY, role=model.Role.REPLICA, revision=objects.combine_revision(1, 3))
    instances.update(restored, clock.now())
    (tracked,) = instances.instances_of("svc1")
    assert not instances.accepts_reads(tracked) and tracked.draining_since is not None
    instances.update(dataclasses.replace(restored, started_at_ms=2), clock.now())
    (tracked,) = instances.instances_of("svc1")
    assert instances.accepts_reads(tracked)


def test_restored_entry_of_an_old_primary_does_not_outlast_its_correction():
    """The entry of an old primary stayed newer than the primary's own, so writes went to the wrong instance."""
    instances = make_fleet()
    old, new = PRIMARY, dataclasses.replace(PRIMARY, id="i-2", domain="z2", revision=7)
    for entry in (old, dataclasses.replace(old, role=model.Role.REPLICA, revision=6), new):
        instances.update(entry, clock.now())
    assert instances.primary("svc1").instance.id == "i-2"
    restored = dataclasses.replace(old, revision=objects.combine_revision(1, 5))
    instances.update(restored, clock.now())
    corrected = dataclasses.replace(old, role=model.Role.REPLICA, revision=objects.combine_revision(1, 9))
    instances.update(corrected, clock.now())
    assert instances.primary("svc1").instance.id == "i-2"


def promote(instances, name, revision):
    """Let an entry show that an instance leads."""
    instances.update(dataclasses.replace(PRIMARY, id=name, revision=revision), clock.now())


def lapse(instances, name):
    """Let the entry of an instance disappear for longer than it is kept."""
    instances.remove(name)
    instances.get(name).lapsed_at = clock.now() - fleet.LAPSE_GRACE_S - 1
    instances.remove_lapsed()


def test_former_primary_whose_entry_still_says_primary_counts_as_gone():
    """Guards against LOST: it cannot reach the store, and acknowledges the commits of its successor."""
    instances = make_fleet()
    instances.update(PRIMARY, clock.now())
    promote(instances, "i-2", 6)
    lapse(instances, "i-1")
    assert [item.instance.id for item in instances.departures("svc1")] == ["i-1"]


def test_primary_that_was_gone_before_its_successor_led_counts_as_gone():
    """Guards against LOST: while it led, what it acknowledged was on a replica; now only it may have a commit."""
    instances = make_fleet()
    instances.update(PRIMARY, clock.now())
    lapse(instances, "i-1")
    assert instances.departures("svc1") == [] and instances.leader("svc1").instance.id == "i-1"
    promote(instances, "i-2", 6)
    (departure,) = instances.departures("svc1")
    assert departure.instance.id == "i-1" and departure.ended_at is None


@pytest.mark.parametrize(
    ("heard", "ended", "age_s", "expected"),
    [
        (False, False, 21.0, ["i-2"]),
        (False, False, 3500.0, ["i-2"]),
        (False, False, 3700.0, []),
        (True, False, 19.0, ["i-2"]),
        (True, False, 21.0, []),
        (False, True, 19.0, ["i-2"]),
        (False, True, 21.0, []),
    ],
)
def test_instance_of_a_dark_domain_counts_for_longer(heard, ended, age_s, expected, monkeypatch):
    """Guards against LOST: a region that is cut off for longer than 20 s may have the only copy of a commit."""
    now = clock.now()
    instances = make_fleet()
    instances.update(dataclasses.replace(PRIMARY, id="i-2", role=model.Role.REPLICA, domain="z2"), now)
    instances.find_domains_of_vms = lambda: {"z2"} if heard else set()
    lapse(instances, "i-2")
    if ended:
        instances.record_end("i-2", PRIMARY.started_at_ms, now)
    gone_at = instances.departures("svc1")[0].gone_at
    for seconds in range(4, int(age_s), 4):
        monkeypatch.setattr(clock, "now", lambda at=gone_at + seconds: at)
        instances.departures("svc1")
    monkeypatch.setattr(clock, "now", lambda: gone_at + age_s)
    assert [item.instance.id for item in instances.departures("svc1")] == expected


def test_instance_of_a_domain_that_is_heard_again_is_given_time_to_return(monkeypatch):
    """Guards against forgetting an instance as soon as another one of its region, which was cut off, is heard."""
    now = clock.now()
    instances = make_fleet()
    replica = dataclasses.replace(PRIMARY, id="i-2", role=model.Role.REPLICA, domain="z2")
    instances.update(replica, now)
    lapse(instances, "i-2")
    found = {}
    for seconds in range(0, 90, 4):
        if seconds == 60:
            instances.update(dataclasses.replace(replica, id="i-3"), now)
        monkeypatch.setattr(clock, "now", lambda at=now + seconds: at)
        found[seconds] = bool(instances.departures("svc1"))
    assert found[56] and found[72] and not found[84]


def test_stalled_vm_forgets_no_instance(monkeypatch):
    """Guards against LOST: what a VM heard of a failure domain before it was suspended says nothing about it now."""
    now = clock.now()
    instances = make_fleet()
    instances.update(dataclasses.replace(PRIMARY, id="i-2", role=model.Role.REPLICA, domain="z2"), now)
    instances.find_domains_of_vms = lambda: {"z2"}
    lapse(instances, "i-2")
    assert instances.departures("svc1")
    monkeypatch.setattr(clock, "now", lambda: now + 60.0)
    assert instances.departures("svc1")
