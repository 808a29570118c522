"""Parser of the platform's settings file."""

import ipaddress
import tomllib
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors
from currantlead.sessions import settings

PATH_VARIABLE = "CURRANTLEAD_CONFIG"
"""Environment variable that holds the path of the settings file."""
METRICS_PORT = 9464
"""Default port for metrics, as in `deploy/system.toml`; a common port of Prometheus exporters."""
METRICS_PORT_VARIABLE = "CURRANTLEAD_METRICS_PORT"
"""Environment variable that overrides the port for metrics, for several daemons on one machine."""


UNBOUNDED_EVACUATION_S = 50.0
"""Time limit of evacuations where no contract limits them: their copy may then be as old as that of the duties."""
USAGE_DUTY = "usage_report"
"""Name of the duty of usage reports in the settings file."""


class _Reader:
    """Read typed values, and collect all errors instead of stopping at the first."""

    def __init__(self, values: Mapping[str, Any]):
        self._values = values
        self.faults: list[str] = []

    def get(self, path: str, parse_value: Callable[[Any], Any], default: Any = None, *, required: bool = True) -> Any:
        value: Any = self._values
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None:
            if required:
                self.faults.append(f"{path}: is missing")
            return default
        try:
            return parse_value(value)
        except (TypeError, ValueError) as error:
            self.faults.append(f"{path}: {error}")
            return default


def _parse_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, got {value!r}")
    return value


def _parse_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise TypeError(f"expected a non-negative number, got {value!r}")
    return float(value)


def _parse_milliseconds(value: Any) -> float:
    return _parse_number(value) / 1000


def _parse_address(value: Any) -> settings.Address:
    host, _, port = _parse_text(value).rpartition(":")
    ipaddress.ip_address(host)
    return settings.Address(host, int(port))


def _parse_first_port(value: Any) -> int:
    if not isinstance(value, list) or not value or not isinstance(value[0], int):
        raise TypeError(f"expected a non-empty list of ports, got {value!r}")
    return value[0]


def _parse_regions(value: Any) -> dict[str, str]:
    if not isinstance(value, Mapping):
        raise TypeError(f"expected a table, got {value!r}")
    return {str(domain): _parse_text(region) for domain, region in value.items()}


def _parse_bounds(reader: _Reader) -> settings.Bounds:
    defaults = settings.Bounds()
    contracts = reader.get("contracts", _parse_names, None, required=False)
    limits_evacuations = contracts is None or "places" in contracts

    def read_bound(name: str, parse_value: Callable[[Any], float], default: float) -> float:
        return reader.get(f"bounds.{name}", parse_value, default, required=False)

    return settings.Bounds(
        revocation_s=read_bound("revokeMs", _parse_milliseconds, defaults.revocation_s),
        configuration_s=read_bound("configApplyMs", _parse_milliseconds, defaults.configuration_s),
        drain_s=read_bound("drainMs", _parse_milliseconds, defaults.drain_s),
        evacuation_s=read_bound(
            "evacuateMs", _parse_milliseconds, defaults.evacuation_s if limits_evacuations else UNBOUNDED_EVACUATION_S
        ),
        grace_s=read_bound("graceS", _parse_number, defaults.grace_s),
        rate_window_s=read_bound("quotaWindowS", _parse_number, defaults.rate_window_s),
        rate_excess=read_bound("quotaExcess", _parse_number, defaults.rate_excess),
        rate_slack=read_bound("quotaSlack", _parse_number, defaults.rate_slack),
    )


_SWITCHES = {
    "loadReports": "load_reports",
    "fairQueue": "fair_queue",
    "earlyRefusal": "early_refusal",
    "concurrencyLimit": "concurrency_limit",
    "completionPlacement": "completion_placement",
    "capacityWeights": "capacity_weights",
    "answerHealth": "answer_health",
    "staleReads": "stale_reads",
    "startPacing": "start_pacing",
}
"""Attribute of ``settings.LoadManagement`` for each switch under ``loadManagement``."""


DEFAULT_SWITCHES = frozenset({"capacity_weights", "answer_health", "fair_queue", "concurrency_limit", "early_refusal"})
"""Switches that are on where the contracts ask for load management. The others are on only if the settings name them:
they cost processor time with each statement, and served callers no better in the measured deployments."""


def _parse_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {value!r}")
    return value


def _parse_names(value: Any) -> frozenset[str]:
    if not isinstance(value, list):
        raise TypeError(f"expected a list of names, got {value!r}")
    return frozenset(_parse_text(name) for name in value)


def _parse_load_management(reader: _Reader) -> settings.LoadManagement:
    """Return the switches of the decisions under load.

    They are on by default where no contract binds work to places, so that work may go wherever it is served soonest.
    """
    contracts = reader.get("contracts", _parse_names, frozenset(), required=False)
    by_contract = "pool" in contracts and "places" not in contracts
    all_parts = reader.get("loadManagement.enabled", _parse_flag, None, required=False)
    switches = {}
    for name, attribute in _SWITCHES.items():
        default = by_contract and attribute in DEFAULT_SWITCHES if all_parts is None else all_parts
        switches[attribute] = reader.get(f"loadManagement.{name}", _parse_flag, default, required=False)
    defaults = settings.LoadManagement()

    def read_cost(name: str, default: float) -> float:
        return reader.get(f"loadManagement.{name}", _parse_milliseconds, default, required=False)

    return settings.LoadManagement(
        **switches,
        leave_domain_s=read_cost("leaveDomainMs", defaults.leave_domain_s),
        leave_region_s=read_cost("leaveRegionMs", defaults.leave_region_s),
        leave_domain_bytes_per_s=1000
        * reader.get("loadManagement.leaveDomainKbPerS", _parse_number, 0.0, required=False),
    )


def _parse_positive(value: Any) -> float:
    number = _parse_number(value)
    if not 0 < number < float("inf"):
        raise ValueError(f"expected a positive number, got {value!r}")
    return number


def _parse_usage_reports(reader: _Reader) -> settings.UsageReports:
    """Return the switch and the bounds of usage reports; without the duty, the bounds are not read."""
    if USAGE_DUTY not in reader.get("cloudApi.duties", _parse_names, frozenset(), required=False):
        return settings.UsageReports()
    defaults = settings.UsageReports()

    def read(name: str, parse_value: Callable[[Any], Any], default: Any) -> Any:
        return reader.get(name, parse_value, default, required=False)

    return settings.UsageReports(
        enabled=True,
        window_s=read("bounds.reportWindowS", _parse_positive, defaults.window_s),
        late_s=read("bounds.usageLateS", _parse_positive, defaults.late_s),
        lease_s=read("bounds.leaseMs", lambda value: _parse_positive(value) / 1000, defaults.lease_s),
        tolerance=read("bounds.usageOff", _parse_number, defaults.tolerance),
        calls_per_s=read("cloudApi.dutyPerS", _parse_positive, defaults.calls_per_s),
        fencing=read("bounds.fencingRequired", _parse_flag, defaults.fencing),
    )


def _parse_resources(reader: _Reader) -> settings.Resources:
    """Return what this VM may use: ``cores`` are those of the machine, and ``cpuShare`` is the VM's share of them."""

    def read_limit(name: str) -> float | None:
        return reader.get(f"limits.{name}", _parse_positive, required=False)

    cores, share = read_limit("cores"), read_limit("cpuShare")
    return settings.Resources(
        cores=None if cores is None else cores * (1.0 if share is None else share),
        memory_mb=read_limit("memoryMb"),
        link_mbps=read_limit("linkMbps"),
    )


def parse(text: str, metrics_port: int = METRICS_PORT) -> settings.SessionSettings:
    """Parse the content of the platform's settings file.

    Args:
        text: Content of the file, in TOML.
        metrics_port: Port for metrics, which is not part of the file.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: The content is invalid; the exception lists all errors.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError([f"not valid TOML: {error}"]) from error
    reader = _Reader(values)
    usage_reports = _parse_usage_reports(reader)
    host = reader.get("ip", lambda value: str(ipaddress.ip_address(_parse_text(value))), "")
    load_management = _parse_load_management(reader)
    parsed = settings.SessionSettings(
        vm=reader.get("node", _parse_text, ""),
        domain=reader.get("zone", _parse_text, ""),
        region_of=reader.get("zones", _parse_regions, {}),
        callers=reader.get("listen.front", _parse_address),
        readiness=reader.get("listen.ready", _parse_address),
        metrics=settings.Address(host, metrics_port),
        peers=settings.Address(host, reader.get("internalPorts", _parse_first_port, 0)),
        store=reader.get("platform.addr", _parse_address),
        promotions=reader.get("cloudApi.addr", _parse_address, required=usage_reports.enabled),
        heartbeat_s=reader.get("heartbeatMs", _parse_milliseconds, 1.2, required=False),
        bounds=_parse_bounds(reader),
        load_management=load_management,
        resources=_parse_resources(reader) if load_management.capacity_weights else settings.Resources(),
        usage_reports=usage_reports,
    )
    if reader.faults:
        raise errors.SettingsError(reader.faults)
    return parsed
