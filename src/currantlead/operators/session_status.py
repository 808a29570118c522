"""State of a fleet of session VMs, summarized from their metrics pages; all functions are pure.

Totals come first, then the VMs that need attention, so that the state of hundreds of VMs fits on one screen.
"""

import collections
import dataclasses
from collections.abc import Mapping, Sequence

from prometheus_client import parser

MAX_LISTED_VMS = 20
"""Maximum number of VMs listed by name in the table; the others are counted."""
MAX_HEALTHY_AGE_S = 2.5
"""Age of a configuration above which a VM is listed: a relay's copy may be 2.2 s old."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatus:
    """State of one VM.

    Attributes:
        address: Address of its metrics.
        ready: Whether it accepts new sessions.
        sessions: Number of open sessions.
        members: Number of VMs that it knows, itself included.
        uses_relay: Whether it reads the store through another VM.
        configuration_version: Version of the configuration in force there.
        configuration_age_s: Seconds since its configuration was last confirmed.
        pools: Connections of its pools in use, idle and allowed, and waiting statements, by instance and attribute.
        refused: Operations refused as over the rate, by organisation.
        usage_holder: VM that reports usage as far as it knows; empty if usage is not reported.
        usage_window: Last window of usage that it knows to be reported, or -1.
        usage_missed: Windows of usage that it did not report in time, by reason.
        overload_level: Step of overload, in which it gives up the work of a holder; 0 is not overloaded.
        ejected: Instances that it takes for worse than their peers by their answers.
        placements: Attempts by the distance of the instance and the reason of the choice, where VMs choose by expected
            completion.
    """

    address: str
    ready: bool
    sessions: int
    members: int
    uses_relay: bool
    configuration_version: int
    configuration_age_s: float
    pools: Mapping[str, Mapping[str, int]]
    refused: Mapping[str, int]
    usage_holder: str = ""
    usage_window: int = -1
    usage_missed: Mapping[str, int] = dataclasses.field(default_factory=dict)
    overload_level: int = 0
    ejected: tuple[str, ...] = ()
    placements: Mapping[tuple[str, str], int] = dataclasses.field(default_factory=dict)


def parse_page(address: str, text: str) -> VmStatus:
    """Parse the metrics page of a VM.

    Args:
        address: Address of the page, for the result.
        text: The page, in the Prometheus text format.

    Raises:
        ValueError: The page is malformed, or is not one of a session VM.
    """
    gauges: dict[str, float] = {}
    pools: dict[str, dict[str, int]] = collections.defaultdict(dict)
    refused: collections.Counter[str] = collections.Counter()
    usage_holder, usage_missed = "", {}
    ejected: list[str] = []
    placements: dict[tuple[str, str], int] = {}
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix("currantlead_")
            if name.startswith("pool_"):
                pools[sample.labels["instance"]][name.removeprefix("pool_")] = int(sample.value)
            elif name == "admissions_total" and sample.labels.get("result") == "over_rate":
                refused[sample.labels["organisation"]] += int(sample.value)
            elif name == "usage_holder":
                usage_holder = sample.labels["vm"]
            elif name == "usage_windows_missed_total":
                usage_missed[sample.labels["reason"]] = int(sample.value)
            elif name == "ejected":
                ejected.append(sample.labels["instance"])
            elif name == "placements_total":
                placements[sample.labels["distance"], sample.labels["reason"]] = int(sample.value)
            elif not sample.labels:
                gauges[name] = sample.value
    try:
        return VmStatus(
            address=address,
            ready=bool(gauges["ready"]),
            sessions=int(gauges["sessions"]),
            members=int(gauges["members"]),
            uses_relay=bool(gauges["relayed"]),
            configuration_version=int(gauges["configuration_version"]),
            configuration_age_s=gauges["configuration_age_seconds"],
            pools=dict(pools),
            refused=dict(refused),
            usage_holder=usage_holder,
            usage_window=int(gauges.get("usage_window_last", -1)),
            usage_missed=usage_missed,
            overload_level=int(gauges.get("overload_level", 0)),
            ejected=tuple(ejected),
            placements=placements,
        )
    except KeyError as error:
        raise ValueError(f"{address} is not the metrics page of a session VM: metric {error} is missing") from error


def summarize(vms: Sequence[VmStatus], unreachable: Mapping[str, str]) -> dict[str, object]:
    """Return the state of the fleet as a JSON-compatible map.

    Args:
        vms: The VMs that answered.
        unreachable: Why each other VM has no state, by address.
    """
    newest = max((vm.configuration_version for vm in vms), default=0)
    pools: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    refused: collections.Counter[str] = collections.Counter()
    placements: collections.Counter[tuple[str, str]] = collections.Counter()
    for vm in vms:
        refused.update(vm.refused)
        placements.update(vm.placements)
        for instance, values in vm.pools.items():
            pools[instance].update(values)
            pools[instance]["holders"] += values.get("limit", 0) > 0
    return {
        "vms": len(vms) + len(unreachable),
        "ready": sum(vm.ready for vm in vms),
        "sessions": sum(vm.sessions for vm in vms),
        "members": sorted({vm.members for vm in vms}),
        "watching_the_store": sum(not vm.uses_relay for vm in vms),
        "configuration_version": newest,
        "oldest_configuration_s": round(max((vm.configuration_age_s for vm in vms), default=0.0), 2),
        "attention": attention(vms, newest) | dict(unreachable),
        "refused_over_rate": dict(refused.most_common()),
        "ejected": dict(collections.Counter(name for vm in vms for name in vm.ejected).most_common()),
        "left_domain": _summarize_placements(placements),
        "pools": {instance: dict(values) for instance, values in sorted(pools.items())},
    } | summarize_usage(vms)


def summarize_usage(vms: Sequence[VmStatus]) -> dict[str, object]:
    """Return the state of usage reports under the key ``usage``, or nothing if usage is not reported.

    The holder is the one that most VMs name.
    """
    holders = collections.Counter(vm.usage_holder for vm in vms if vm.usage_holder)
    if not holders:
        return {}
    missed: collections.Counter[str] = collections.Counter()
    for vm in vms:
        missed.update(vm.usage_missed)
    last_window = max(vm.usage_window for vm in vms)
    return {"usage": {"holder": holders.most_common(1)[0][0], "last_window": last_window, "missed": dict(missed)}}


def attention(vms: Sequence[VmStatus], newest_version: int) -> dict[str, str]:
    """Return the VMs that need attention, with the reasons."""
    usual_members = collections.Counter(vm.members for vm in vms).most_common(1)
    listed = {}
    for vm in vms:
        reasons = []
        if not vm.ready:
            reasons.append("not ready")
        if vm.configuration_version < newest_version:
            reasons.append(f"configuration {vm.configuration_version}, the newest is {newest_version}")
        if vm.configuration_age_s > MAX_HEALTHY_AGE_S:
            reasons.append(f"configuration confirmed {vm.configuration_age_s:.1f} s ago")
        if vm.members != usual_members[0][0]:
            reasons.append(f"knows {vm.members} VMs, most know {usual_members[0][0]}")
        if vm.overload_level:
            reasons.append(f"overloaded, step {vm.overload_level}")
        if reasons:
            listed[vm.address] = "; ".join(reasons)
    return listed


def _summarize_placements(placements: Mapping[tuple[str, str], int]) -> dict[str, object]:
    """Return the share of the attempts that left their failure domain, and its parts by reason, in percent."""
    total = sum(placements.values())
    by_reason: collections.Counter[str] = collections.Counter()
    for (distance, reason), count in placements.items():
        if distance != "domain":
            by_reason[reason] += count
    return {
        "attempts": total,
        "percent": round(100 * by_reason.total() / total, 1) if total else 0.0,
        "by_reason": {reason: round(100 * count / total, 1) for reason, count in by_reason.most_common()},
    }


def render(summary: Mapping[str, object]) -> list[str]:
    """Return a summary as lines of text."""
    members = ", ".join(map(str, summary["members"]))
    lines = [
        f"VMs        {summary['vms']}, ready {summary['ready']}, sessions {summary['sessions']}, members {members}",
        f"store      watched by {summary['watching_the_store']} VMs; configuration {summary['configuration_version']},"
        f" oldest confirmation {summary['oldest_configuration_s']} s",
    ]
    refused = list(summary["refused_over_rate"].items())[:5]
    if refused:
        lines.append("over rate  " + ", ".join(f"{organisation} {count}" for organisation, count in refused))
    usage = summary.get("usage")
    if usage is not None:
        missed = ", ".join(f"{count} {reason}" for reason, count in usage["missed"].items()) or "none"
        lines.append(f"usage      holder {usage['holder']}, last window {usage['last_window']}, missed: {missed}")
    if summary["ejected"]:
        lines.append(
            "ejected    " + ", ".join(f"{instance} by {count} VMs" for instance, count in summary["ejected"].items())
        )
    left = summary["left_domain"]
    if left["attempts"]:
        reasons = ", ".join(f"{reason} {percent}%" for reason, percent in left["by_reason"].items())
        lines.append(
            f"placement  {left['percent']}% of {left['attempts']} attempts left the domain: {reasons or 'none'}"
        )
    listed = summary["attention"]
    lines += ["", f"need attention: {len(listed)}"]
    lines += [f"  {address}  {reason}" for address, reason in sorted(listed.items())[:MAX_LISTED_VMS]]
    if len(listed) > MAX_LISTED_VMS:
        lines.append(f"  and {len(listed) - MAX_LISTED_VMS} more")
    lines += ["", "instance              in use    idle   limit  waiting  VMs with connections"]
    for instance, values in summary["pools"].items():
        figures = [values.get(name, 0) for name in ("busy", "idle", "limit", "waiting", "holders")]
        lines.append(f"{instance:<20} {figures[0]:>7} {figures[1]:>7} {figures[2]:>7} {figures[3]:>8} {figures[4]:>8}")
    return lines
