"""Set up logs and give each part its prefix."""

import collections
import json
import sys
from typing import Any

import loguru

_PREFIX_WIDTH = 11
_DECIDING_PARTS = frozenset({"dispatch", "holder", "members", "failover", "relay", "division", "admission", "pool"})
_recent: collections.deque[tuple[str, str, str]] = collections.deque(maxlen=200)


def part(prefix: str) -> "loguru.Logger":
    """Return a logger whose lines start with the prefix of a part.

    Args:
        prefix: Short name of the part, such as ``router``.

    Returns:
        The logger.
    """
    return loguru.logger.bind(part=prefix)


def configure(*, level: str = "INFO", json_lines: bool = False, vm: str = "") -> None:
    """Send logs to standard error.

    Args:
        level: Lowest level that is written.
        json_lines: Whether to write a JSON object for each line instead of text.
        vm: Name of this VM, added to each JSON line.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "-"})
    loguru.logger.add(_remember, level=level, format="{message}", filter=_is_decision, backtrace=False, diagnose=False)
    if json_lines:
        loguru.logger.add(_json_sink(vm), level=level, format="{message}", backtrace=False, diagnose=False)
        return
    loguru.logger.add(sys.stderr, level=level, format=_text_format, backtrace=False, diagnose=False, colorize=False)


def recent() -> list[tuple[str, str, str]]:
    """Return time, part and text of the last lines of parts that route or place, oldest first."""
    return list(_recent)


def _is_decision(record: Any) -> bool:
    return record["extra"].get("part") in _DECIDING_PARTS


def _remember(message: Any) -> None:
    record = message.record
    _recent.append((record["time"].strftime("%H:%M:%S.%f")[:-3], record["extra"]["part"], record["message"]))


def _text_format(record: Any) -> str:
    fields = "".join(f" {name}={{extra[{name}]}}" for name in record["extra"] if name != "part")
    return f"{{time:HH:mm:ss.SSS}} {{level:<7}} {{extra[part]:<{_PREFIX_WIDTH}}} {{message}}{fields}\n{{exception}}"


def _json_sink(vm: str) -> Any:
    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "vm": vm,
            **record["extra"],
            "message": record["message"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        sys.stderr.write(json.dumps(line, default=str) + "\n")

    return write
