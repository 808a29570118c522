"""Store calls, daily events and limits at the target size, from fitted lines."""

import math
from collections.abc import Mapping
from typing import Any

from currantlead.control import directory, relay
from tools import capacity_roles, fit, sizes

Stored = Mapping[str, Any]

_T = sizes.TARGET
WRITES_BUDGET = 200
READS_BUDGET = 1000
_RELAYS = relay.RELAYS_PER_DOMAIN * _T.domains
_WATCHES_S = _RELAYS * len(directory.KINDS) / relay.WATCH_TIMEOUT_S


def _slope(stored: Stored, name: str, value: str) -> float:
    return fit.fit_value(stored[name], value).slope


def _per_change(stored: Stored) -> tuple[float, float]:
    """Return reads (watches included) and writes of one configuration change with all relays."""
    read, watch = _slope(stored, "configuration_calls", "read"), _slope(stored, "configuration_calls", "watch")
    # The measured calls are those of the operator's command and of two relays: each reads an index and a part.
    command = read - 2 * relay.RELAYS_PER_DOMAIN
    return command + _RELAYS * (2 + watch / relay.RELAYS_PER_DOMAIN), _slope(stored, "configuration_calls", "write")


def _restart_calls() -> tuple[float, float]:
    # A start reads the list of VMs, the names of four kinds and its view; each view change is one write and one read
    # by each relay, which then watches again. Computed from the code, not measured over the whole daemon.
    changes = capacity_roles.VIEW_CHANGES_EACH
    return 2 + len(directory.KINDS) + changes * 2 * _RELAYS, changes


def _promotion_calls(stored: Stored) -> tuple[float, float]:
    read, write = (_slope(stored, "promotions", value) for value in ("read", "write"))
    return read + write * 2 * _RELAYS, write


def _rows(stored: Stored) -> list[tuple[str, float, float]]:
    rows = [("waiting watches", _WATCHES_S, 0.0)]
    kinds = (
        ("configuration changes", _T.configuration_changes_day, _per_change(stored)),
        ("restarts and failed VMs", _T.restarts_day + _T.vm_failures_day, _restart_calls()),
        ("changes of primary", _T.primary_changes_day, _promotion_calls(stored)),
    )
    return rows + [
        (name, count * reads / capacity_roles.DAY_S, count * writes / capacity_roles.DAY_S)
        for name, count, (reads, writes) in kinds
    ]


def store_table(stored: Stored) -> str:
    """Return the store's calls for each second, averaged over a day, and the budget."""
    found = _rows(stored)
    found.append(("sum", sum(row[1] for row in found), sum(row[2] for row in found)))
    rows = [[name, fit.format_number(reads), fit.format_number(writes)] for name, reads, writes in found]
    return fit.markdown_table(
        ["cause", "reads and watches/s", "writes/s"], [*rows, ["budget", f"{READS_BUDGET:,}", str(WRITES_BUDGET)]]
    )


def _join_at(stored: Stored, count: int) -> tuple[float, float, float]:
    """Return elapsed seconds, and core seconds and bytes sent for each VM, when a domain starts at once."""
    points = stored["joins"]["points"]
    elapsed = fit.fit([(p["x"] ** 4, p["elapsed_s"]) for p in points]).predict(count**4)
    return elapsed, *(capacity_roles.join_cost(stored, value, count) for value in ("core_s", "bytes"))


def events_table(stored: Stored) -> str:
    """Return the target's daily events, each with its cost."""
    reads, writes = _per_change(stored)
    fan_s = fit.fit_value(stored["fan_out"], "seconds").predict(_T.members)
    fan_bytes = fit.fit_value(stored["fan_out"], "bytes").predict(_T.members)
    delay = fit.fit_value(stored["fan_out"], "delay_s").predict(_T.members)
    rank_s = fit.fit_value(stored["coordinator_groups"], "membership_s").predict(_T.databases)
    restart_reads, restart_writes = _restart_calls()
    promotion_reads, promotion_writes = _promotion_calls(stored)
    asked = _slope(stored, "promotions", "instance_calls")
    elapsed, core, sent = _join_at(stored, _T.members)
    rows = [
        ["change of primary", f"{_T.primary_changes_day}", f"{promotion_reads:.0f} reads, {promotion_writes:.0f} "
         f"writes, {asked:.0f} calls of instances; suspicion 1 s, longest wait of the third monitor 4 s, limit 12 s"],
        ["configuration change", f"{_T.configuration_changes_day:,}", f"{reads:.0f} reads, {writes:.0f} writes; each "
         f"relay sends {fan_bytes / 1000:.0f} KB in {fan_s * 1000:.1f} ms of processor time; last VM of the domain "
         f"after {delay * 1000:.0f} ms (limit 8 s)"],
        ["restart or failed VM", f"{_T.restarts_day + _T.vm_failures_day}", f"{restart_reads:.0f} reads, "
         f"{restart_writes:.0f} writes; each VM of the domain ranks again {capacity_roles.VIEW_CHANGES_EACH} times, "
         f"{rank_s * 1000:.0f} ms each"],
        ["failure domain lost and started again", "one in two months", f"{_T.members} joins: {_T.members} writes, "
         f"{core:.1f} s of processor time and {sent / 1e6:.1f} MB sent for each VM; with all VMs on one core "
         f"{elapsed:.0f} s (extrapolated with the fourth power, see the text)"],
        ["regions cut for minutes", "several a year", f"no view change inside a domain; relays without the store "
         f"repeat {len(directory.KINDS)} watches every {relay.RETRY_DELAY_S} s; monitors without a majority "
         "promote nothing"],
    ]  # fmt: skip
    return fit.markdown_table(["event", "a day", "cost"], rows)


def _limit_rows(stored: Stored) -> list[tuple[str, float, str]]:
    costs = {cost.part: cost for cost in capacity_roles.control_costs(stored)}
    others = sum(cost.core for cost in costs.values()) - costs["heartbeats and lease"].core
    sent = fit.fit_value(stored["heartbeats"], "sent").slope + fit.fit_value(stored["heartbeats"], "received").slope
    core = fit.fit_value(stored["heartbeats"], "core")
    interval = capacity_roles.members.LARGE_VIEW_HEARTBEAT_INTERVAL_S
    pushed = costs["fan-out"].bytes_s + costs["shared state"].bytes_s + costs["view changes"].bytes_s
    by_bytes = (capacity_roles.BYTES_BUDGET - pushed) / sent * interval + 1
    by_core = core.solve(capacity_roles.CORE_BUDGET - others) * interval + 1
    organisations = fit.fit_value(stored["memory_organisations"], "bytes")
    rest = capacity_roles.MEMORY_BUDGET - costs["shared state"].memory
    by_memory = _T.organisations + rest / organisations.slope
    changes = (capacity_roles.BYTES_BUDGET - costs["heartbeats and lease"].bytes_s) / (
        costs["fan-out"].bytes_s / _T.configuration_changes_day
    )
    reads = (READS_BUDGET - _WATCHES_S) / _per_change(stored)[0]
    return [
        ("members of a domain, bytes of a relay", by_bytes, f"{_T.members}"),
        ("members of a domain, core of a relay", by_core, f"{_T.members}"),
        ("configuration changes a day, bytes of a relay", changes, f"{_T.configuration_changes_day:,}"),
        ("organisations, memory", by_memory, f"{_T.organisations:,} (assumed)"),
        ("configuration changes/s, store reads", reads, f"{capacity_roles.CHANGES_S:.3f}"),
    ]


def limits_table(stored: Stored) -> str:
    """Return the size at which each budget is reached while all else stays at the target."""
    rows = [
        [name, "already missed" if value <= 0 else fit.format_number(value) if math.isfinite(value) else "none", target]
        for name, value, target in _limit_rows(stored)
    ]
    return fit.markdown_table(["what grows, and the budget it reaches", "reached at", "target"], rows)
