"""Costs of each role of a VM at the target size, computed from fitted lines."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from currantlead.control import coordinator, members, relay
from tools import fit, sizes

StoredMeasurements = Mapping[str, Any]

DAY_S = 86400.0
CORE_BUDGET = 0.013
MEMORY_BUDGET_BYTES = 32e6
TRAFFIC_BUDGET_BYTES_S = 27e3

_TARGET = sizes.TARGET
HEARTBEATS_PER_S = (_TARGET.members - 1) / members.LARGE_VIEW_HEARTBEAT_INTERVAL_S
FIRST_MONITOR_POLLS_PER_S = 1 / coordinator.FIRST_MONITOR_POLL_S + 2 / coordinator.REPLICA_POLL_S
OTHER_MONITOR_POLLS_PER_S = 1 / coordinator.OTHER_MONITORS_POLL_S
# A VM ranks first among the three monitors of a third of its monitored groups.
FIRST_MONITORED_GROUPS = _TARGET.databases / _TARGET.vms
OTHER_MONITORED_GROUPS = _TARGET.groups_monitored_per_vm - FIRST_MONITORED_GROUPS
STATUS_POLLS_PER_S = (
    FIRST_MONITORED_GROUPS * FIRST_MONITOR_POLLS_PER_S + OTHER_MONITORED_GROUPS * OTHER_MONITOR_POLLS_PER_S
)
STATEMENTS_PER_S = _TARGET.statements_per_s / _TARGET.vms
CONFIGURATION_CHANGES_PER_S = _TARGET.configuration_changes_per_day / DAY_S
# A restart removes and adds one member; each change also adds or removes the extra witness, which depends on whether
# the number of members is even.
VIEW_CHANGES_PER_RESTART = 4
DOMAIN_VIEW_CHANGES_PER_S = (
    VIEW_CHANGES_PER_RESTART * (_TARGET.restarts_per_day + _TARGET.vm_failures_per_day) / _TARGET.domains / DAY_S
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one component on a VM.

    Attributes:
        role: Role of the VM.
        component: Component that causes the cost.
        module: Module of the component.
        state: State that it keeps.
        messages: Messages that it sends or receives.
        core: CPU time as a fraction of one core.
        bytes_s: Bytes per second in both directions.
        memory: Memory in bytes.
    """

    role: str
    component: str
    module: str
    state: str
    messages: str
    core: float
    bytes_s: float = 0.0
    memory: float = 0.0


def _fit_line(stored: StoredMeasurements, name: str, value: str) -> fit.Line:
    return fit.fit_value(stored[name], value)


def _heartbeat_cost(stored: StoredMeasurements) -> Cost:
    sent, received = (
        _fit_line(stored, "heartbeats", value).predict(HEARTBEATS_PER_S) for value in ("sent", "received")
    )
    core = _fit_line(stored, "heartbeats", "core").predict(HEARTBEATS_PER_S)
    messages = f"{HEARTBEATS_PER_S:.0f} heartbeats/s each way"
    state = f"view of {_TARGET.members}, last contact of each"
    return Cost("every VM", "heartbeats and lease", "control/members", state, messages, core, sent + received)


def _timer_cost(stored: StoredMeasurements) -> Cost:
    core = _fit_line(stored, "idle_daemon", "core").predict(_TARGET.databases)
    return Cost("every VM", "periodic checks, idle", "timers", "subscriptions", "none", core)


def _directory_cost(stored: StoredMeasurements) -> Cost:
    resident_line = _fit_line(stored, "idle_daemon", "resident")
    memory = resident_line.predict(_TARGET.databases) - stored["idle_daemon"]["points"][0]["resident"]
    apply_s = _fit_line(stored, "apply_change", "seconds").predict(_TARGET.organisations)
    # The relays divide the members among them, so each change is pushed to a VM once.
    received = CONFIGURATION_CHANGES_PER_S * _push_bytes(stored)
    state = f"{_TARGET.organisations:,} organisations, {_TARGET.databases} groups, {_TARGET.domains} views"
    messages = f"{CONFIGURATION_CHANGES_PER_S:.3f} pushes/s received"
    return Cost(
        "every VM",
        "shared state",
        "control/directory",
        state,
        messages,
        CONFIGURATION_CHANGES_PER_S * apply_s,
        received,
        memory,
    )


def _push_bytes(stored: StoredMeasurements) -> float:
    """Return the bytes of one push to one VM; each relay pushes to its share of the members."""
    return _fit_line(stored, "fan_out", "bytes").slope * relay.RELAYS_PER_DOMAIN


def join_cost(stored: StoredMeasurements, value: str, count: int) -> float:
    """Return a measured value per VM when ``count`` VMs of a domain start simultaneously.

    The value grows approximately with the cube of the number of VMs.
    """
    points = [(point["x"] ** 3, point[value] / point["x"]) for point in stored["joins"]["points"]]
    return fit.fit_line(points).predict(count**3)


def _view_change_cost(stored: StoredMeasurements) -> Cost:
    ranking_s = _fit_line(stored, "coordinator_groups", "membership_s").predict(_TARGET.databases)
    core = DOMAIN_VIEW_CHANGES_PER_S * (ranking_s + join_cost(stored, "core_s", _TARGET.members) / _TARGET.members)
    bytes_s = 2 * DOMAIN_VIEW_CHANGES_PER_S * join_cost(stored, "bytes", _TARGET.members) / _TARGET.members
    messages = f"{DOMAIN_VIEW_CHANGES_PER_S * 3600:.1f} view changes/h"
    return Cost(
        "every VM", "view changes", "control/changes, membership", "adopted view, chain", messages, core, bytes_s
    )


def _relay_cost(stored: StoredMeasurements) -> Cost:
    push_line = _fit_line(stored, "fan_out", "seconds")
    messages = (
        f"{CONFIGURATION_CHANGES_PER_S * _TARGET.members / relay.RELAYS_PER_DOMAIN:.1f} pushes/s sent, "
        "4 waiting watches"
    )
    sent = CONFIGURATION_CHANGES_PER_S * _fit_line(stored, "fan_out", "bytes").predict(_TARGET.members)
    core = CONFIGURATION_CHANGES_PER_S * push_line.predict(_TARGET.members)
    return Cost("configuration relay", "fan-out", "control/relay", "revision of each kind", messages, core, sent)


def _monitor_cost(stored: StoredMeasurements) -> Cost:
    equivalent_groups = (
        FIRST_MONITORED_GROUPS + OTHER_MONITORED_GROUPS * OTHER_MONITOR_POLLS_PER_S / FIRST_MONITOR_POLLS_PER_S
    )
    core = _fit_line(stored, "status_polls", "core").slope * equivalent_groups
    state = f"{_TARGET.groups_monitored_per_vm:.2f} groups"
    messages = f"{STATUS_POLLS_PER_S:.1f} status polls/s"
    return Cost("failover monitor", "status polls", "control/coordinator", state, messages, core)


def _holder_cost(stored: StoredMeasurements) -> Cost:
    core = _fit_line(stored, "position_polls", "core").slope * _TARGET.primaries_held_per_vm
    state = f"{_TARGET.instances_held_per_vm:.1f} instances, {_TARGET.primaries_held_per_vm:.2f} of them primaries"
    messages = f"{2 * _TARGET.primaries_held_per_vm:.1f} waiting position polls"
    return Cost("connection holder", "position polls, idle", "connections/acknowledgement", state, messages, core)


def control_costs(stored: StoredMeasurements) -> list[Cost]:
    """Return the costs that do not depend on the statement rate; that of the relay is the last."""
    cost_functions = (
        _timer_cost,
        _heartbeat_cost,
        _directory_cost,
        _view_change_cost,
        _holder_cost,
        _monitor_cost,
        _relay_cost,
    )
    return [cost_function(stored) for cost_function in cost_functions]


def statement_cost(stored: StoredMeasurements) -> Cost:
    """Return the cost of token exchange at the target's statement rate, if each statement requests one token."""
    core, sent = (_fit_line(stored, "token_exchange", value) for value in ("core", "bytes_s"))
    state = f"{_TARGET.organisations / _TARGET.members:.0f} ledgers, up to {_TARGET.organisations:,} caches"
    messages = f"{STATEMENTS_PER_S:.0f} asks/s each way"
    # The measured process is both requester and owner, as each VM is, so it receives as many bytes as it sends.
    return Cost(
        "rate owner", "token exchange", "admission/service, owner", state, messages, core.predict(STATEMENTS_PER_S),
        2 * sent.predict(STATEMENTS_PER_S),
    )  # fmt: skip


def _cost_row(cost: Cost) -> list[str]:
    memory = "" if not cost.memory else f"{cost.memory / 1e6:.1f} MB"
    return [
        cost.role, cost.component, f"`{cost.module}`", cost.state, cost.messages, f"{cost.core:.3%}",
        f"{cost.bytes_s / 1000:.2f} KB/s" if cost.bytes_s else "", memory,
    ]  # fmt: skip


def roles_table(stored: StoredMeasurements) -> str:
    """Return a table of the costs of each role."""
    columns = ["role", "part", "module", "state", "messages", "core", "peer streams, both ways", "memory"]
    return fit.markdown_table(columns, [_cost_row(cost) for cost in (*control_costs(stored), statement_cost(stored))])


def budget_table(stored: StoredMeasurements) -> str:
    """Return a table that compares the control costs of a VM with the budget, with and without the relay role."""
    costs = control_costs(stored)
    rows = []
    for name, included_costs in (("a VM that is no relay", costs[:-1]), ("a relay", costs)):
        core, sent = sum(cost.core for cost in included_costs), sum(cost.bytes_s for cost in included_costs)
        memory = sum(cost.memory for cost in included_costs)
        rows += [
            [name, "core", f"{core:.2%}", f"{CORE_BUDGET:.1%}", _format_result(core, CORE_BUDGET)],
            ["", "peer streams", f"{sent / 1000:.1f} KB/s", "27 KB/s", _format_result(sent, TRAFFIC_BUDGET_BYTES_S)],
            ["", "memory", f"{memory / 1e6:.1f} MB", "32 MB", _format_result(memory, MEMORY_BUDGET_BYTES)],
        ]
    return fit.markdown_table(["VM", "resource", "computed", "budget", "result"], rows)


def _format_result(value: float, budget: float) -> str:
    return f"met, {value / budget:.0%}" if value <= budget else f"missed, {value / budget:.0%}"
