"""Short runs of the soak test with real processes: seeds that failed before, with their causes, and one more."""

import json
import subprocess
import sys

import pytest

VIOLATIONS = (
    "lost",
    "doubled",
    "stale_reads",
    "false_not_run",
    "torn",
    "mixed",
    "over_rate",
    "after_revocation",
    "after_evacuation",
    "lost_in_promotions",
    "unrecovered",
)
SEEDS = [
    (
        2,
        "the stand-in acknowledged commits with all replicas paused; later it counted the demoted primary as a replica",
    ),
    (3, "as seed 2: the stand-in lost one commit"),
    (11, "the stand-in counted the demoted primary as the replica that had received its commit"),
    (21, "the object store refused calls while the primary was unresponsive"),
    (136, "a paused holder ran a statement, already reported as in doubt, after a later write of its session"),
    (137, "as seed 136; the check now compares log positions, because such a write may also be delayed in transit"),
]


FLEET_SEED = 401
"""A power cut, a reload, lost answers, and a key revoked while a daemon cannot reach the store."""

REST_SEED = 4
"""Daemons killed repeatedly while sessions rest in transactions on connections of holders."""

STORE_SEEDS = [
    (2, "lose_watches", "copies of the store's objects grew old: 155 statements ran late in evacuated domains"),
    (633, "restore_store", "revisions of two eras were compared: a key revoked after a restoration worked on"),
]

PROMOTION_SEED = 3
"""Replicas leave beside a primary that is cut off from the others, primaries are dark, and promotion calls are late."""


def _run_soak(seed, *options):
    """Run the soak test and return its result."""
    command = [sys.executable, "-m", "tools.users_demo", "--seed", str(seed), *options]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=50)
    return json.loads(completed.stdout.splitlines()[-1])


@pytest.mark.processes
@pytest.mark.xdist_group("processes-3")
@pytest.mark.parametrize(("seed", "cause"), SEEDS)
def test_guarantees_hold_under_random_faults(seed, cause):
    """Guards against lost, duplicated or torn writes, stale reads and false refusals under random faults."""
    result = _run_soak(seed, "--seconds", "8")
    violations = {name: result[name] for name in VIOLATIONS if result[name]}
    assert not violations, (cause, result)
    assert result["completed"] > 0


@pytest.mark.processes
@pytest.mark.xdist_group("processes-3")
def test_guarantees_hold_under_faults_of_the_whole_fleet():
    """Guards against violations while all daemons restart, reload their settings, or one takes a revoked key."""
    result = _run_soak(FLEET_SEED, "--seconds", "14", "--fleet")
    assert not {name: result[name] for name in VIOLATIONS if result[name]}, result
    assert {"power_cut", "reload", "withdraw_key_from_isolated"} <= set(result["faults"])
    assert result["completed"] > 0


@pytest.mark.processes
@pytest.mark.xdist_group("processes-3")
@pytest.mark.parametrize(("seed", "fault", "cause"), STORE_SEEDS)
def test_guarantees_hold_while_the_store_loses_history_and_writes(seed, fault, cause):
    """Guards against work in evacuated domains and for revoked keys while the store drops or loses what was written."""
    result = _run_soak(seed, "--seconds", "18", "--store")
    assert not {name: result[name] for name in VIOLATIONS if result[name]}, (cause, result)
    assert fault in result["faults"]
    assert result["completed"] > 0


@pytest.mark.processes
@pytest.mark.xdist_group("processes-3")
def test_transactions_stay_apart_while_their_holders_restart():
    """Guards against statements that run in another caller's transaction after a restart of its holder."""
    result = _run_soak(REST_SEED, "--seconds", "14", "--rests")
    assert not {name: result[name] for name in VIOLATIONS if result[name]}, result
    assert "kill_repeatedly" in result["faults"]
    assert result["completed"] > 0


@pytest.mark.processes
@pytest.mark.xdist_group("processes-3")
def test_promotions_keep_all_acknowledged_commits():
    """Guards against promotions that lose commits while replicas leave and promotion calls are carried out late."""
    result = _run_soak(PROMOTION_SEED, "--seconds", "6", "--promotions")
    assert not {name: result[name] for name in VIOLATIONS if result[name]}, result
    assert result["promotions"] > 0
