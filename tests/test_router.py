"""Tests of the router."""

import dataclasses

import pytest

from currantlead import messages
from currantlead.control import model
from currantlead.routing import freshness, router

DOMAINS = {
    "home": model.Domain("home", "r1"),
    "near": model.Domain("near", "r1"),
    "far": model.Domain("far", "r2"),
}
CONFIGURATION = model.Configuration(1, domains=DOMAINS)
GROUP = model.Group(
    "ledger",
    4,
    model.Phase.STABLE,
    "p",
    tuple(
        model.Instance(name, "", domain) for name, domain in {"f": "far", "n": "near", "h": "home", "p": "far"}.items()
    ),
)


def choose(group=GROUP, *, leaving=(), behind=(), request="r", **fields):
    """Return the concatenated names of the targets of a statement."""
    positions = freshness.PositionEstimates()
    for name in behind:
        positions.record_behind(name, messages.Position(4, 1), 0.0)
    statement = messages.Statement(request, "ledger", "select 1", **fields)
    targets = router.Router(domain="home", positions=positions).choose(
        statement, group, configuration=CONFIGURATION, in_service=lambda each: each.name not in leaving, now=0.001
    )
    assert all(target.term == group.term for target in targets)
    assert all((target.role is router.Role.PRIMARY) == (target.instance == group.primary) for target in targets)
    return "".join(target.instance for target in targets)


AFTER = {"after": messages.Position(4, 2)}
ELECTING = dataclasses.replace(GROUP, phase=model.Phase.ELECTING)
NO_PRIMARY = dataclasses.replace(GROUP, primary="gone")


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        ({}, "hnfp"),
        ({"write": True}, "p"),
        ({"group": ELECTING}, "hnf"),
        ({"group": ELECTING, "write": True}, ""),
        ({"group": NO_PRIMARY, "write": True}, ""),
        ({"leaving": "h"}, "nfp"),
        ({"leaving": "hnf"}, "p"),
        ({"behind": "hn", **AFTER}, "fp"),
        ({"behind": "hn"}, "hnfp"),
        ({"behind": "hnf", **AFTER}, "p"),
    ],
)
def test_order_of_targets(options, expected):
    """Guards against writes at replicas, far reads although a near replica is usable, and reads at leaving ones."""
    assert choose(**options) == expected


def test_equally_near_replicas_share_reads():
    """Guards against one replica that serves all reads while another equally near one is idle."""
    instances = tuple(model.Instance(name, "", "near") for name in "abp")
    group = dataclasses.replace(GROUP, instances=instances)
    first = [choose(group, request=f"r{number}")[0] for number in range(200)]
    assert 70 <= first.count("a") <= 130 and first.count("p") == 0
