"""Translate the platform's settings file into the project's own settings."""

import ipaddress
import tomllib
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors
from currantlead.sessions import settings

PATH_VARIABLE = "CURRANTLEAD_CONFIG"
"""Environment variable that holds the path of the settings file."""
METRICS_PORT = 9464
"""Port that `deploy/system.toml` names for metrics; the usual one of exporters of this format."""
METRICS_PORT_VARIABLE = "CURRANTLEAD_METRICS_PORT"
"""Environment variable with another port for metrics, for several daemons on one machine."""


class _Reader:
    """Read typed values and collect every fault instead of stopping at the first."""

    def __init__(self, values: Mapping[str, Any]):
        self._values = values
        self.faults: list[str] = []

    def get(self, path: str, check: Callable[[Any], Any], default: Any = None, *, required: bool = True) -> Any:
        value: Any = self._values
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None:
            if required:
                self.faults.append(f"{path}: is missing")
            return default
        try:
            return check(value)
        except (TypeError, ValueError) as error:
            self.faults.append(f"{path}: {error}")
            return default


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected text, got {value!r}")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise TypeError(f"expected a number of 0 or more, got {value!r}")
    return float(value)


def _milliseconds(value: Any) -> float:
    return _number(value) / 1000


def _address(value: Any) -> settings.Address:
    host, _, port = _text(value).rpartition(":")
    ipaddress.ip_address(host)
    return settings.Address(host, int(port))


def _first_port(value: Any) -> int:
    if not isinstance(value, list) or not value or not isinstance(value[0], int):
        raise TypeError(f"expected a list of ports, got {value!r}")
    return value[0]


def _regions(value: Any) -> dict[str, str]:
    if not isinstance(value, Mapping):
        raise TypeError(f"expected a table, got {value!r}")
    return {str(domain): _text(region) for domain, region in value.items()}


def _bounds(reader: _Reader) -> settings.Bounds:
    usual = settings.Bounds()

    def bound(name: str, check: Callable[[Any], float], default: float) -> float:
        return reader.get(f"bounds.{name}", check, default, required=False)

    return settings.Bounds(
        revocation_s=bound("revokeMs", _milliseconds, usual.revocation_s),
        configuration_s=bound("configApplyMs", _milliseconds, usual.configuration_s),
        drain_s=bound("drainMs", _milliseconds, usual.drain_s),
        evacuation_s=bound("evacuateMs", _milliseconds, usual.evacuation_s),
        grace_s=bound("graceS", _number, usual.grace_s),
        rate_window_s=bound("quotaWindowS", _number, usual.rate_window_s),
        rate_excess=bound("quotaExcess", _number, usual.rate_excess),
        rate_slack=bound("quotaSlack", _number, usual.rate_slack),
    )


def parse(text: str, metrics_port: int = METRICS_PORT) -> settings.SessionSettings:
    """Return the settings of a file's text.

    Args:
        text: Content of the platform's settings file, in TOML.
        metrics_port: Port for metrics, which the file does not name.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsError: The text has faults; all of them are named.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError([f"not valid TOML: {error}"]) from error
    reader = _Reader(values)
    host = reader.get("ip", lambda value: str(ipaddress.ip_address(_text(value))), "")
    found = settings.SessionSettings(
        vm=reader.get("node", _text, ""),
        domain=reader.get("zone", _text, ""),
        region_of=reader.get("zones", _regions, {}),
        callers=reader.get("listen.front", _address),
        readiness=reader.get("listen.ready", _address),
        metrics=settings.Address(host, metrics_port),
        peers=settings.Address(host, reader.get("internalPorts", _first_port, 0)),
        store=reader.get("platform.addr", _address),
        promotions=reader.get("cloudApi.addr", _address, required=False),
        heartbeat_s=reader.get("heartbeatMs", _milliseconds, 1.2, required=False),
        bounds=_bounds(reader),
    )
    if reader.faults:
        raise errors.SettingsError(reader.faults)
    return found
