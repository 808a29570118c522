"""Promotions after a change of a group's instances: no record that a majority acknowledged is lost."""

import dataclasses

import pytest

from currantlead.control import model, promotion
from tests import group_model


def run_promotion(cluster, unreachable):
    """Run one promotion on the stored record; messages to ``unreachable`` instances get no answer."""
    machine = promotion.Promotion(cluster.store.group, now=0.0)
    actions, now = machine.start(), 0.0
    while not machine.ended:
        for action in actions:
            if isinstance(action, promotion.WriteRecord):
                actions = machine.record_written(cluster.store.write(action.group), now)
                break
            if isinstance(action, promotion.Ended):
                break
            instance = cluster.instances[action.instance]
            answer = None if action.instance in unreachable else instance.set_term(action)
            following = machine.set_term_answered(action.instance, answer, now)
            if following:
                actions = following
                break
        else:
            now += promotion.ELECTION_GRACE_S
            actions = machine.tick(now)
    return cluster.store.group.primary


@pytest.fixture
def cluster():
    """Provide a group whose only record is acknowledged by ``a``, its primary, and ``b``."""
    made = group_model.Cluster()
    made.write("a")
    made.replicate("a", "b")
    made.check()
    assert made.acknowledged == {1: (1, 1)}
    return made


def test_record_survives_the_loss_of_one_instance(cluster):
    """Without a change of the instances, the majority that answers has the record."""
    assert run_promotion(cluster, {"a"}) == "b"
    cluster.check()


def test_record_survives_the_replacement_of_a_replica(cluster):
    """An instance that replaced one of the record's holders voted as if it had been there when it was acknowledged."""
    group = cluster.store.group
    kept = tuple(instance for instance in group.instances if instance.name != "b")
    joined = model.Instance("d", "http://d", "domain-b")
    cluster.store.group = dataclasses.replace(group, instances=(*kept, joined), version=group.version + 1)
    del cluster.instances["b"]
    cluster.instances["d"] = group_model.FakeInstance("d")
    run_promotion(cluster, {"a"})
    cluster.check()


def test_record_survives_the_restart_of_its_primary_without_a_log(cluster):
    """A primary that restarted without its log voted as if it still had the records that it had acknowledged."""
    cluster.instances["a"] = group_model.FakeInstance("a", term=0, follows=None)
    run_promotion(cluster, {"b"})
    cluster.check()
