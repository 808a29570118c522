"""Costs of each role on one VM at the target size, from fitted lines."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from currantlead.control import coordinator, members, relay
from tools import fit, sizes

Stored = Mapping[str, Any]

DAY_S = 86400.0
CORE_BUDGET = 0.013
MEMORY_BUDGET = 32e6
BYTES_BUDGET = 27e3

_T = sizes.TARGET
HEARTBEATS_S = (_T.members - 1) / members.LARGE_VIEW_HEARTBEAT_INTERVAL_S
FIRST_POLLS_S = 1 / coordinator.FIRST_MONITOR_POLL_S + 2 / coordinator.REPLICA_POLL_S
OTHER_POLLS_S = 1 / coordinator.OTHER_MONITORS_POLL_S
# A third of a VM's monitored groups has it in the first place.
FIRST_GROUPS = _T.databases / _T.vms
OTHER_GROUPS = _T.groups_monitored - FIRST_GROUPS
STATUS_POLLS_S = FIRST_GROUPS * FIRST_POLLS_S + OTHER_GROUPS * OTHER_POLLS_S
STATEMENTS_S = _T.statements_s / _T.vms
CHANGES_S = _T.configuration_changes_day / DAY_S
# A restart removes and adds one member; the domain's extra witness comes and goes with the parity.
VIEW_CHANGES_EACH = 4
DOMAIN_VIEW_CHANGES_S = VIEW_CHANGES_EACH * (_T.restarts_day + _T.vm_failures_day) / _T.domains / DAY_S


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold what one part costs a VM; processor time in cores, bytes in both directions for each second."""

    role: str
    part: str
    module: str
    state: str
    messages: str
    core: float
    bytes_s: float = 0.0
    memory: float = 0.0


def _line(stored: Stored, name: str, value: str) -> fit.Line:
    return fit.fit_value(stored[name], value)


def _heartbeats(stored: Stored) -> Cost:
    sent, received = (_line(stored, "heartbeats", value).predict(HEARTBEATS_S) for value in ("sent", "received"))
    core = _line(stored, "heartbeats", "core").predict(HEARTBEATS_S)
    messages = f"{HEARTBEATS_S:.0f} heartbeats/s each way"
    state = f"view of {_T.members}, last contact of each"
    return Cost("every VM", "heartbeats and lease", "control/members", state, messages, core, sent + received)


def _timers(stored: Stored) -> Cost:
    daemon = _line(stored, "idle_daemon", "core").predict(_T.databases)
    return Cost("every VM", "periodic checks, idle", "timers", "subscriptions", "none", daemon)


def _directory(stored: Stored) -> Cost:
    resident = _line(stored, "idle_daemon", "resident")
    memory = resident.predict(_T.databases) - stored["idle_daemon"]["points"][0]["resident"]
    apply_s = _line(stored, "apply_change", "seconds").predict(_T.organisations)
    # The relays share the members, so each change is pushed to a VM once.
    received = CHANGES_S * _push_bytes(stored)
    state = f"{_T.organisations:,} organisations, {_T.databases} groups, {_T.domains} views"
    messages = f"{CHANGES_S:.3f} pushes/s received"
    return Cost("every VM", "shared state", "control/directory", state, messages, CHANGES_S * apply_s, received, memory)


def _push_bytes(stored: Stored) -> float:
    """Return the bytes of one push to one VM; a relay pushes to its half of the members."""
    return _line(stored, "fan_out", "bytes").slope * relay.RELAYS_PER_DOMAIN


def join_cost(stored: Stored, value: str, count: int) -> float:
    """Return a value for each VM when ``count`` VMs of a domain start at once; it grows with about the cube."""
    points = [(point["x"] ** 3, point[value] / point["x"]) for point in stored["joins"]["points"]]
    return fit.fit(points).predict(count**3)


def _views(stored: Stored) -> Cost:
    each = _line(stored, "coordinator_groups", "membership_s").predict(_T.databases)
    core = DOMAIN_VIEW_CHANGES_S * (each + join_cost(stored, "core_s", _T.members) / _T.members)
    bytes_s = 2 * DOMAIN_VIEW_CHANGES_S * join_cost(stored, "bytes", _T.members) / _T.members
    messages = f"{DOMAIN_VIEW_CHANGES_S * 3600:.1f} view changes/h"
    return Cost(
        "every VM", "view changes", "control/changes, membership", "adopted view, chain", messages, core, bytes_s
    )


def _relay(stored: Stored) -> Cost:
    line = _line(stored, "fan_out", "seconds")
    messages = f"{CHANGES_S * _T.members / relay.RELAYS_PER_DOMAIN:.1f} pushes/s sent, 4 waiting watches"
    sent = CHANGES_S * _line(stored, "fan_out", "bytes").predict(_T.members)
    core = CHANGES_S * line.predict(_T.members)
    return Cost("configuration relay", "fan-out", "control/relay", "revision of each kind", messages, core, sent)


def _monitor(stored: Stored) -> Cost:
    equivalents = FIRST_GROUPS + OTHER_GROUPS * OTHER_POLLS_S / FIRST_POLLS_S
    core = _line(stored, "status_polls", "core").slope * equivalents
    state = f"{_T.groups_monitored:.2f} groups"
    messages = f"{STATUS_POLLS_S:.1f} status polls/s"
    return Cost("failover monitor", "status polls", "control/coordinator", state, messages, core)


def _holder(stored: Stored) -> Cost:
    core = _line(stored, "position_polls", "core").slope * _T.primaries_held
    state = f"{_T.instances_held:.1f} instances, {_T.primaries_held:.2f} of them primaries"
    messages = f"{2 * _T.primaries_held:.1f} waiting position polls"
    return Cost("connection holder", "position polls, idle", "connections/acknowledgement", state, messages, core)


def control_costs(stored: Stored) -> list[Cost]:
    """Return the costs that do not depend on statements."""
    parts = (_timers, _heartbeats, _directory, _views, _holder, _monitor, _relay)
    return [part(stored) for part in parts]


def statement_cost(stored: Stored) -> Cost:
    """Return the cost of tokens at the target's statements, both ends, if each statement asks for one token."""
    core, sent = (_line(stored, "token_exchange", value) for value in ("core", "bytes_s"))
    state = f"{_T.organisations / _T.members:.0f} ledgers, up to {_T.organisations:,} caches"
    messages = f"{STATEMENTS_S:.0f} asks/s each way"
    # The measured process is requester and owner at once, as each VM is; what it sends it also receives.
    return Cost(
        "rate owner", "token exchange", "admission/service, owner", state, messages, core.predict(STATEMENTS_S),
        2 * sent.predict(STATEMENTS_S),
    )  # fmt: skip


def _row(cost: Cost) -> list[str]:
    memory = "" if not cost.memory else f"{cost.memory / 1e6:.1f} MB"
    return [
        cost.role, cost.part, f"`{cost.module}`", cost.state, cost.messages, f"{cost.core:.3%}",
        f"{cost.bytes_s / 1000:.2f} KB/s" if cost.bytes_s else "", memory,
    ]  # fmt: skip


def roles_table(stored: Stored) -> str:
    """Return the costs of each role."""
    columns = ["role", "part", "module", "state", "messages", "core", "peer streams, both ways", "memory"]
    return fit.markdown_table(columns, [_row(cost) for cost in (*control_costs(stored), statement_cost(stored))])


def budget_table(stored: Stored) -> str:
    """Compare the control costs of a VM with the budget, without and with the relay's role."""
    costs = control_costs(stored)
    rows = []
    for name, chosen in (("a VM that is no relay", costs[:-1]), ("a relay", costs)):
        core, sent = sum(cost.core for cost in chosen), sum(cost.bytes_s for cost in chosen)
        memory = sum(cost.memory for cost in chosen)
        rows += [
            [name, "core", f"{core:.2%}", f"{CORE_BUDGET:.1%}", _judge(core, CORE_BUDGET)],
            ["", "peer streams", f"{sent / 1000:.1f} KB/s", "27 KB/s", _judge(sent, BYTES_BUDGET)],
            ["", "memory", f"{memory / 1e6:.1f} MB", "32 MB", _judge(memory, MEMORY_BUDGET)],
        ]
    return fit.markdown_table(["VM", "resource", "computed", "budget", "result"], rows)


def _judge(value: float, budget: float) -> str:
    return f"met, {value / budget:.0%}" if value <= budget else f"missed, {value / budget:.0%}"
