"""Store calls, costs of daily events and scaling limits at the target size, computed from fitted lines."""

import math
from collections.abc import Mapping
from typing import Any

from currantlead.control import directory, relay
from tools import capacity_roles, fit, sizes

StoredMeasurements = Mapping[str, Any]

_TARGET = sizes.TARGET
WRITES_BUDGET_PER_S = 200
READS_BUDGET_PER_S = 1000
_RELAY_COUNT = relay.RELAYS_PER_DOMAIN * _TARGET.domains
_WATCHES_PER_S = _RELAY_COUNT * len(directory.KINDS) / relay.WATCH_TIMEOUT_S


def _slope(stored: StoredMeasurements, name: str, value: str) -> float:
    return fit.fit_value(stored[name], value).slope


def _calls_per_change(stored: StoredMeasurements) -> tuple[float, float]:
    """Return the reads (including watches) and writes of one configuration change with all relays."""
    read, watch = _slope(stored, "configuration_calls", "read"), _slope(stored, "configuration_calls", "watch")
    # The measurement counts the calls of the operator command and of two relays; each relay reads an index and a part.
    command_reads = read - 2 * relay.RELAYS_PER_DOMAIN
    return command_reads + _RELAY_COUNT * (2 + watch / relay.RELAYS_PER_DOMAIN), _slope(
        stored, "configuration_calls", "write"
    )


def _calls_per_restart() -> tuple[float, float]:
    # A start reads the list of VMs, the names of four kinds and its view; each view change causes one write and, by
    # each relay, one read and one watch. Derived from the code, not measured on a whole daemon.
    changes = capacity_roles.VIEW_CHANGES_PER_RESTART
    return 2 + len(directory.KINDS) + changes * 2 * _RELAY_COUNT, changes


def _calls_per_promotion(stored: StoredMeasurements) -> tuple[float, float]:
    read, write = (_slope(stored, "promotions", value) for value in ("read", "write"))
    return read + write * 2 * _RELAY_COUNT, write


def _store_rows(stored: StoredMeasurements) -> list[tuple[str, float, float]]:
    rows = [("waiting watches", _WATCHES_PER_S, 0.0)]
    events = (
        ("configuration changes", _TARGET.configuration_changes_per_day, _calls_per_change(stored)),
        ("restarts and failed VMs", _TARGET.restarts_per_day + _TARGET.vm_failures_per_day, _calls_per_restart()),
        ("changes of primary", _TARGET.primary_changes_per_day, _calls_per_promotion(stored)),
    )
    return rows + [
        (name, count * reads / capacity_roles.DAY_S, count * writes / capacity_roles.DAY_S)
        for name, count, (reads, writes) in events
    ]


def store_table(stored: StoredMeasurements) -> str:
    """Return a table of store calls per second, averaged over a day, and their budget."""
    store_rows = _store_rows(stored)
    store_rows.append(("sum", sum(row[1] for row in store_rows), sum(row[2] for row in store_rows)))
    rows = [[name, fit.format_number(reads), fit.format_number(writes)] for name, reads, writes in store_rows]
    return fit.markdown_table(
        ["cause", "reads and watches/s", "writes/s"],
        [*rows, ["budget", f"{READS_BUDGET_PER_S:,}", str(WRITES_BUDGET_PER_S)]],
    )


def _join_costs(stored: StoredMeasurements, count: int) -> tuple[float, float, float]:
    """Return the elapsed seconds, and the CPU seconds and bytes sent per VM, when ``count`` VMs start simultaneously.

    The elapsed time grows approximately with the fourth power of the number of VMs.
    """
    points = stored["joins"]["points"]
    elapsed_s = fit.fit_line([(point["x"] ** 4, point["elapsed_s"]) for point in points]).predict(count**4)
    return elapsed_s, *(capacity_roles.join_cost(stored, value, count) for value in ("core_s", "bytes"))


def events_table(stored: StoredMeasurements) -> str:
    """Return a table of daily events at the target size with their costs."""
    reads, writes = _calls_per_change(stored)
    fan_out_s = fit.fit_value(stored["fan_out"], "seconds").predict(_TARGET.members)
    fan_out_bytes = fit.fit_value(stored["fan_out"], "bytes").predict(_TARGET.members)
    fan_out_delay_s = fit.fit_value(stored["fan_out"], "delay_s").predict(_TARGET.members)
    ranking_s = fit.fit_value(stored["coordinator_groups"], "membership_s").predict(_TARGET.databases)
    restart_reads, restart_writes = _calls_per_restart()
    promotion_reads, promotion_writes = _calls_per_promotion(stored)
    instance_calls = _slope(stored, "promotions", "instance_calls")
    elapsed_s, core_s, bytes_sent = _join_costs(stored, _TARGET.members)
    rows = [
        ["change of primary", f"{_TARGET.primary_changes_per_day}",
         f"{promotion_reads:.0f} reads, {promotion_writes:.0f} "
         f"writes, {instance_calls:.0f} calls of instances; suspicion 1 s, longest wait of the third monitor 4 s, "
         "limit 12 s"],
        ["configuration change", f"{_TARGET.configuration_changes_per_day:,}",
         f"{reads:.0f} reads, {writes:.0f} writes; "
         f"each relay sends {fan_out_bytes / 1000:.0f} KB in {fan_out_s * 1000:.1f} ms of processor time; last VM of "
         f"the domain after {fan_out_delay_s * 1000:.0f} ms (limit 8 s)"],
        ["restart or failed VM", f"{_TARGET.restarts_per_day + _TARGET.vm_failures_per_day}",
         f"{restart_reads:.0f} reads, "
         f"{restart_writes:.0f} writes; each VM of the domain ranks again "
         f"{capacity_roles.VIEW_CHANGES_PER_RESTART} times, {ranking_s * 1000:.0f} ms each"],
        ["failure domain lost and started again", "one in two months", f"{_TARGET.members} joins: "
         f"{_TARGET.members} writes, {core_s:.1f} s of processor time and {bytes_sent / 1e6:.1f} MB sent for each VM; "
         f"with all VMs on one core {elapsed_s:.0f} s (extrapolated with the fourth power, see the text)"],
        ["regions cut for minutes", "several a year", f"no view change inside a domain; relays without the store "
         f"repeat {len(directory.KINDS)} watches every {relay.RETRY_DELAY_S} s; monitors without a majority "
         "promote nothing"],
    ]  # fmt: skip
    return fit.markdown_table(["event", "a day", "cost"], rows)


def _limit_rows(stored: StoredMeasurements) -> list[tuple[str, float, str]]:
    costs = {cost.component: cost for cost in capacity_roles.control_costs(stored)}
    other_core = sum(cost.core for cost in costs.values()) - costs["heartbeats and lease"].core
    bytes_per_heartbeat = (
        fit.fit_value(stored["heartbeats"], "sent").slope + fit.fit_value(stored["heartbeats"], "received").slope
    )
    core_line = fit.fit_value(stored["heartbeats"], "core")
    interval = capacity_roles.members.LARGE_VIEW_HEARTBEAT_INTERVAL_S
    other_bytes_s = costs["fan-out"].bytes_s + costs["shared state"].bytes_s + costs["view changes"].bytes_s
    members_by_traffic = (capacity_roles.TRAFFIC_BUDGET_BYTES_S - other_bytes_s) / bytes_per_heartbeat * interval + 1
    members_by_core = core_line.solve(capacity_roles.CORE_BUDGET - other_core) * interval + 1
    memory_line = fit.fit_value(stored["memory_organisations"], "bytes")
    remaining_memory = capacity_roles.MEMORY_BUDGET_BYTES - costs["shared state"].memory
    organisations_by_memory = _TARGET.organisations + remaining_memory / memory_line.slope
    changes_by_traffic = (capacity_roles.TRAFFIC_BUDGET_BYTES_S - costs["heartbeats and lease"].bytes_s) / (
        costs["fan-out"].bytes_s / _TARGET.configuration_changes_per_day
    )
    changes_by_reads = (READS_BUDGET_PER_S - _WATCHES_PER_S) / _calls_per_change(stored)[0]
    return [
        ("members of a domain, bytes of a relay", members_by_traffic, f"{_TARGET.members}"),
        ("members of a domain, core of a relay", members_by_core, f"{_TARGET.members}"),
        (
            "configuration changes a day, bytes of a relay",
            changes_by_traffic,
            f"{_TARGET.configuration_changes_per_day:,}",
        ),
        ("organisations, memory", organisations_by_memory, f"{_TARGET.organisations:,} (assumed)"),
        ("configuration changes/s, store reads", changes_by_reads, f"{capacity_roles.CONFIGURATION_CHANGES_PER_S:.3f}"),
    ]


def limits_table(stored: StoredMeasurements) -> str:
    """Return a table of the sizes at which each budget is exhausted, with everything else at the target size."""
    rows = [
        [name, "already missed" if value <= 0 else fit.format_number(value) if math.isfinite(value) else "none", target]
        for name, value, target in _limit_rows(stored)
    ]
    return fit.markdown_table(["what grows, and the budget it reaches", "reached at", "target"], rows)
