"""Set up logs and give each part its prefix."""

import atexit
import collections
import datetime
import functools
import json
import sys
import threading
import traceback
from typing import Any

import loguru

_PREFIX_WIDTH = 11
_DECIDING_PARTS = frozenset({"dispatch", "holder", "members", "failover", "relay", "division", "admission", "pool"})
_ERROR = 40
_MOST_LINES = 500
"""Lines are written at once beyond this number, so that a stalled loop does not keep them without bound."""
_recent: collections.deque[tuple[datetime.datetime, str, str]] = collections.deque(maxlen=200)
_lines: collections.deque[str] = collections.deque()
# Reentrant, because a signal handler may log while the same thread writes.
_writing = threading.RLock()


def part(prefix: str) -> "loguru.Logger":
    """Return a logger whose lines start with the prefix of a part.

    Args:
        prefix: Short name of the part, such as ``router``.

    Returns:
        The logger.
    """
    return loguru.logger.bind(part=prefix)


def configure(*, level: str = "INFO", json_lines: bool = False, vm: str = "", buffered: bool = False) -> None:
    """Send logs to standard error.

    Args:
        level: Lowest level that is written.
        json_lines: Whether to write a JSON object for each line instead of text.
        vm: Name of this VM, added to each JSON line.
        buffered: Whether lines are kept until ``flush``, which the caller then calls regularly. Lines of ERROR and
            above, and the end of the process, write everything at once.
    """
    flush()
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "-"})
    render = functools.partial(_render_json, vm) if json_lines else _render_text

    def take(message: Any) -> None:
        record = message.record
        if record["extra"].get("part") in _DECIDING_PARTS:
            _recent.append((record["time"], record["extra"]["part"], record["message"]))
        _lines.append(render(record))
        if not buffered or record["level"].no >= _ERROR or len(_lines) >= _MOST_LINES:
            flush()

    # One sink that renders the record itself costs half of two sinks with loguru's formatting.
    loguru.logger.add(take, level=level, format=_format_nothing, backtrace=False, diagnose=False)


def flush() -> None:
    """Write the lines that are kept."""
    with _writing:
        lines = [_lines.popleft() for _ in range(len(_lines))]
        if lines:
            sys.stderr.write("".join(lines))
            sys.stderr.flush()


def recent() -> list[tuple[str, str, str]]:
    """Return time, part and text of the last lines of parts that route or place, oldest first."""
    return [(time.strftime("%H:%M:%S.%f")[:-3], part, text) for time, part, text in list(_recent)]


def _format_nothing(record: Any) -> str:
    return ""


def _render_text(record: Any) -> str:
    time, extra = record["time"], record["extra"]
    fields = "".join(f" {name}={value}" for name, value in extra.items() if name != "part")
    clock = f"{time.hour:02}:{time.minute:02}:{time.second:02}.{time.microsecond // 1000:03}"
    line = f"{clock} {record['level'].name:<7} {extra['part']:<{_PREFIX_WIDTH}} {record['message']}{fields}\n"
    return line + _render_exception(record["exception"]) if record["exception"] is not None else line


def _render_exception(found: Any) -> str:
    return "".join(traceback.format_exception(found.type, found.value, found.traceback))


def _render_json(vm: str, record: Any) -> str:
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "vm": vm,
        **record["extra"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line, default=str) + "\n"


atexit.register(flush)
