"""Settings of the daemon from flags and environment variables, which are validated all at once."""

import re
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic

ENVIRONMENT_PREFIX = "CURRANTLEAD_"
_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
_ADDRESS_PATTERN = re.compile(r"(?P<host>[0-9a-fA-F.:\[\]]+|localhost):(?P<port>[0-9]{1,5})")


def _validate_address(value: str) -> str:
    match = _ADDRESS_PATTERN.fullmatch(value)
    if match is None or int(match["port"]) > 65535:
        raise ValueError("must be IP:PORT with a port from 0 to 65535")
    return value


Name = Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]
Address = Annotated[str, pydantic.AfterValidator(_validate_address)]


class Settings(pydantic.BaseModel):
    """Validated settings of a daemon."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    vm: Name = pydantic.Field(description="Name of this VM.")
    domain: Name = pydantic.Field(description="Failure domain of this VM.")
    listen: Address = pydantic.Field(default="127.0.0.1:7400", description="Address for callers and health checks.")
    peer_listen: Address = pydantic.Field(default="127.0.0.1:7401", description="Address for streams of other VMs.")
    operator_listen: Address = pydantic.Field(default="127.0.0.1:7402", description="Address for operators' commands.")
    platform_url: Annotated[str, pydantic.Field(pattern=r"^https?://")] = pydantic.Field(
        description="Base address of the platform's object API."
    )
    operator_key: Annotated[str, pydantic.Field(min_length=16)] = pydantic.Field(
        description="Key that operators' commands must present, at least 16 characters.", repr=False
    )
    threads: Annotated[int, pydantic.Field(ge=1, le=1024)] = pydantic.Field(
        default=64, description="Maximum number of callers' requests processed at once."
    )
    connections: Annotated[int, pydantic.Field(ge=1, le=100_000)] = pydantic.Field(
        default=8_000, description="Maximum number of callers' open connections."
    )
    request_timeout: Annotated[float, pydantic.Field(gt=0, le=600)] = pydantic.Field(
        default=10.0, description="Timeout of a request, in seconds."
    )
    drain_timeout: Annotated[float, pydantic.Field(gt=0, le=3600)] = pydantic.Field(
        default=30.0, description="Timeout of a planned stop, in seconds."
    )
    max_configuration_age: Annotated[float, pydantic.Field(ge=0)] = pydantic.Field(
        default=0.0,
        description="Refuse requests with a key if the configuration is unconfirmed for this many seconds; 0: off.",
    )
    address_file: str = pydantic.Field(
        default="", description="File to which the actual addresses are written as JSON once the sockets are open."
    )
    log_level: Annotated[str, pydantic.Field(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = pydantic.Field(
        default="INFO", description="Lowest level of log lines: DEBUG, INFO, WARNING or ERROR."
    )
    log_format: Annotated[str, pydantic.Field(pattern=r"^(text|json)$")] = pydantic.Field(
        default="text", description="Format of log lines: text or json."
    )

    @classmethod
    def from_config(cls, values: Mapping[str, Any]) -> "Settings":
        """Validate settings.

        Args:
            values: Text values by name of the setting; None or a missing name selects the default.

        Returns:
            The settings.

        Raises:
            pydantic.ValidationError: Settings are missing or invalid; the error lists all of them.
        """
        return cls(**{name: value for name, value in values.items() if value is not None})


def flag(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def format_errors(error: pydantic.ValidationError) -> list[str]:
    """Format a validation error with one line for each invalid setting.

    Args:
        error: Error raised by ``Settings.from_config``.

    Returns:
        Lines that name the flag and the environment variable; the value of the operator key is never shown.
    """
    lines = []
    for entry in error.errors():
        name = str(entry["loc"][0])
        reason = "is required" if entry["type"] == "missing" else entry["msg"]
        actual = "" if entry["type"] == "missing" or name == "operator_key" else f", got {entry['input']!r}"
        lines.append(f"{flag(name)} ({variable(name)}): {reason}{actual}")
    return lines


def split_address(address: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into host and port; brackets of an IPv6 address are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
