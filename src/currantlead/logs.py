"""Set up logs and give each part its prefix."""

import atexit
import collections
import datetime
import functools
import json
import os
import sys
import threading
import time
import traceback
from collections.abc import Collection
from typing import Any

import loguru

_PREFIX_WIDTH = 11
_DECIDING_PARTS = frozenset({"dispatch", "holder", "members", "failover", "relay", "division", "admission", "pool"})
_INFO = 20
_ERROR = 40
_KEPT_BYTES = 256 * 1024
"""Bytes that are kept while a pipe is full; a few seconds of lines."""
_MOST_LINES = 500
"""Lines are written at once beyond this number, so that a stalled loop does not keep them without bound."""
_recent: collections.deque[tuple[datetime.datetime, str, str]] = collections.deque(maxlen=200)
_lines: collections.deque[str] = collections.deque()
# Reentrant, because a signal handler may log while the same thread writes.
_writing = threading.RLock()
_bound: "Bound | None" = None


class Bound:
    """Keep the volume of lines bounded, and never wait for a full pipe.

    Lines above INFO, and those of parts that decide rarely, are always taken. Lines that are left out are counted, and
    the count is written with the next line of the part in a later second.

    Attributes:
        dropped: Lines left out because of the rate, by part.
        lost_bytes: Bytes that a full pipe did not take.
    """

    def __init__(self, descriptor: int, lines_per_s: int, always: Collection[str] = ()):
        """Prepare an output.

        Args:
            descriptor: File descriptor; it is set to non-blocking.
            lines_per_s: Most lines of one part in a second.
            always: Parts whose lines are never left out.
        """
        os.set_blocking(descriptor, False)
        self.dropped: collections.Counter[str] = collections.Counter()
        self.lost_bytes = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._always = frozenset(always)
        self._second = 0
        self._taken: collections.Counter[str] = collections.Counter()
        self._rest = b""

    def admits(self, record: Any) -> bool:
        """Tell whether a record is written, and count it otherwise."""
        name = record["extra"].get("part", "-")
        if record["level"].no > _INFO or name in self._always:
            return True
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._taken.clear()
        if self._taken[name] >= self._lines_per_s:
            self.dropped[name] += 1
            return False
        self._taken[name] += 1
        if self.dropped[name]:
            record["extra"]["left_out"] = self.dropped.pop(name)
        return True

    def write(self, text: str) -> None:
        """Write as much as the descriptor takes; whole lines are lost beyond what is kept for later."""
        data = self._rest + text.encode()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        rest = data[written:]
        if len(rest) > _KEPT_BYTES:
            cut = rest.rfind(b"\n", 0, _KEPT_BYTES) + 1
            self.lost_bytes += len(rest) - cut
            rest = rest[:cut]
        self._rest = rest


def part(prefix: str) -> "loguru.Logger":
    """Return a logger whose lines start with the prefix of a part.

    Args:
        prefix: Short name of the part, such as ``router``.

    Returns:
        The logger.
    """
    return loguru.logger.bind(part=prefix)


def configure(
    *,
    level: str = "INFO",
    json_lines: bool = False,
    vm: str = "",
    buffered: bool = False,
    bound: "Bound | None" = None,
) -> None:
    """Send logs to standard error, or to a bounded output.

    Args:
        level: Lowest level that is written.
        json_lines: Whether to write a JSON object for each line instead of text.
        vm: Name of this VM, added to each JSON line.
        buffered: Whether lines are kept until ``flush``, which the caller then calls regularly. Lines of ERROR and
            above, and the end of the process, write everything at once.
        bound: Where lines go instead, and how many of them.
    """
    global _bound
    flush()
    _bound = bound
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "-"})
    render = functools.partial(_render_json, vm) if json_lines else _render_text

    def take(message: Any) -> None:
        record = message.record
        if record["extra"].get("part") in _DECIDING_PARTS:
            _recent.append((record["time"], record["extra"]["part"], record["message"]))
        if bound is not None and not bound.admits(record):
            return
        _lines.append(render(record))
        if not buffered or record["level"].no >= _ERROR or len(_lines) >= _MOST_LINES:
            flush()

    # One sink that renders the record itself costs half of two sinks with loguru's formatting.
    loguru.logger.add(take, level=level, format=_format_nothing, backtrace=False, diagnose=False)


def flush() -> None:
    """Write the lines that are kept."""
    with _writing:
        lines = [_lines.popleft() for _ in range(len(_lines))]
        if _bound is not None:
            _bound.write("".join(lines))
        elif lines:
            sys.stderr.write("".join(lines))
            sys.stderr.flush()


def recent() -> list[tuple[str, str, str]]:
    """Return time, part and text of the last lines of parts that route or place, oldest first."""
    return [(at.strftime("%H:%M:%S.%f")[:-3], part, text) for at, part, text in list(_recent)]


def _format_nothing(record: Any) -> str:
    return ""


def _render_text(record: Any) -> str:
    at, extra = record["time"], record["extra"]
    fields = "".join(f" {name}={value}" for name, value in extra.items() if name != "part")
    clock = f"{at.hour:02}:{at.minute:02}:{at.second:02}.{at.microsecond // 1000:03}"
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
