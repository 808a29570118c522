"""Read the settings of the daemon from flags and environment variables, and check them all at once."""

import re
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic

ENVIRONMENT_PREFIX = "CURRANTLEAD_"
_NAME = r"^[a-z0-9][a-z0-9-]{0,62}$"
_ADDRESS = re.compile(r"(?P<host>[0-9a-fA-F.:\[\]]+|localhost):(?P<port>[0-9]{1,5})")


def _check_address(value: str) -> str:
    match = _ADDRESS.fullmatch(value)
    if match is None or int(match["port"]) > 65535:
        raise ValueError("must be IP:PORT with a port from 0 to 65535")
    return value


Name = Annotated[str, pydantic.Field(pattern=_NAME)]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class Settings(pydantic.BaseModel):
    """Hold the checked settings of one daemon."""

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
        description="Key that operators' commands must show, at least 16 characters.", repr=False
    )
    threads: Annotated[int, pydantic.Field(ge=1, le=1024)] = pydantic.Field(
        default=64, description="Callers' requests served at once."
    )
    connections: Annotated[int, pydantic.Field(ge=1, le=100_000)] = pydantic.Field(
        default=8_000, description="Callers' connections kept open at once."
    )
    request_timeout: Annotated[float, pydantic.Field(gt=0, le=600)] = pydantic.Field(
        default=10.0, description="Longest time for one request, in seconds."
    )
    drain_timeout: Annotated[float, pydantic.Field(gt=0, le=3600)] = pydantic.Field(
        default=30.0, description="Longest time for a planned stop, in seconds."
    )
    max_configuration_age: Annotated[float, pydantic.Field(ge=0)] = pydantic.Field(
        default=0.0,
        description="Refuse keyed requests if the configuration is unconfirmed for so many seconds; 0: off.",
    )
    address_file: str = pydantic.Field(
        default="", description="File that gets the real addresses as JSON once the sockets are open."
    )
    log_level: Annotated[str, pydantic.Field(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = pydantic.Field(
        default="INFO", description="Lowest level of log lines: DEBUG, INFO, WARNING or ERROR."
    )
    log_format: Annotated[str, pydantic.Field(pattern=r"^(text|json)$")] = pydantic.Field(
        default="text", description="Form of log lines: text or json."
    )

    @classmethod
    def from_config(cls, values: Mapping[str, Any]) -> "Settings":
        """Check settings by name.

        Args:
            values: Text values by setting; None or a missing name means the default.

        Returns:
            The settings.

        Raises:
            pydantic.ValidationError: At least one setting is missing or wrong; the error holds all of them.
        """
        return cls(**{name: value for name, value in values.items() if value is not None})


def flag(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def describe_faults(error: pydantic.ValidationError) -> list[str]:
    """Turn a validation error into one line for each fault.

    Args:
        error: The error that ``Settings.from_config`` raised.

    Returns:
        Lines that name the flag and the environment variable; the value of a key is never shown.
    """
    lines = []
    for fault in error.errors():
        name = str(fault["loc"][0])
        reason = "is required" if fault["type"] == "missing" else fault["msg"]
        shown = "" if fault["type"] == "missing" or name == "operator_key" else f", got {fault['input']!r}"
        lines.append(f"{flag(name)} ({variable(name)}): {reason}{shown}")
    return lines


def split_address(address: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into host and port number."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
