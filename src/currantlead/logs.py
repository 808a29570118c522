"""Logging set-up, and a logger with its own prefix for each part of the program."""

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
_DECISION_PARTS = frozenset({"dispatch", "holder", "members", "failover", "relay", "division", "admission", "pool"})
_INFO = 20
_ERROR = 40
_MAX_UNWRITTEN_BYTES = 256 * 1024
"""Maximum number of bytes kept for a full pipe; enough for a few seconds of lines."""
_MAX_BUFFERED_LINES = 500
"""Number of buffered lines beyond which they are written at once; limits the buffer if the event loop is stalled."""
_recent: collections.deque[tuple[datetime.datetime, str, str]] = collections.deque(maxlen=200)
_buffer: collections.deque[str] = collections.deque()
# Reentrant, because a signal handler may log while the same thread is writing.
_write_lock = threading.RLock()
_output: "RateLimitedOutput | None" = None


class RateLimitedOutput:
    """Write lines to a file descriptor with a rate limit per part, without ever blocking on a full pipe.

    Lines above INFO and lines of unlimited parts are always written. Dropped lines are counted, and the count is added
    to the part's next line in a later second.

    Attributes:
        dropped: Number of lines that exceeded the rate limit, by part.
        lost_bytes: Number of bytes discarded because the pipe was full.
    """

    def __init__(self, descriptor: int, lines_per_s: int, unlimited_parts: Collection[str] = ()):
        """Create an output.

        Args:
            descriptor: File descriptor; it is set to non-blocking mode.
            lines_per_s: Maximum number of lines per part and second.
            unlimited_parts: Parts that are exempt from the rate limit.
        """
        os.set_blocking(descriptor, False)
        self.dropped: collections.Counter[str] = collections.Counter()
        self.lost_bytes = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._unlimited_parts = frozenset(unlimited_parts)
        self._second = 0
        self._line_counts: collections.Counter[str] = collections.Counter()
        self._unwritten = b""

    def admits(self, record: Any) -> bool:
        """Return whether a record is within the rate limit, and count it as dropped if not."""
        part_name = record["extra"].get("part", "-")
        if record["level"].no > _INFO or part_name in self._unlimited_parts:
            return True
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_counts.clear()
        if self._line_counts[part_name] >= self._lines_per_s:
            self.dropped[part_name] += 1
            return False
        self._line_counts[part_name] += 1
        if self.dropped[part_name]:
            record["extra"]["left_out"] = self.dropped.pop(part_name)
        return True

    def write(self, text: str) -> None:
        """Write as much as the descriptor accepts; keep the rest up to a limit, and discard the other lines."""
        data = self._unwritten + text.encode()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        unwritten = data[written:]
        if len(unwritten) > _MAX_UNWRITTEN_BYTES:
            end = unwritten.rfind(b"\n", 0, _MAX_UNWRITTEN_BYTES) + 1
            self.lost_bytes += len(unwritten) - end
            unwritten = unwritten[:end]
        self._unwritten = unwritten


def part(prefix: str) -> "loguru.Logger":
    """Return the logger of a part of the program; its lines start with the part's prefix.

    Args:
        prefix: Short name of the part, such as ``router``.
    """
    return loguru.logger.bind(part=prefix)


def configure(
    *,
    level: str = "INFO",
    json_lines: bool = False,
    vm: str = "",
    buffered: bool = False,
    output: "RateLimitedOutput | None" = None,
) -> None:
    """Write logs to standard error, or to a rate-limited output.

    Args:
        level: Minimum level of the lines that are written.
        json_lines: Whether to write each line as a JSON object instead of text.
        vm: Name of this VM, added to each JSON line.
        buffered: Whether lines are buffered until ``flush``, which must then be called periodically. Lines of ERROR and
            above, and the end of the process, flush the buffer at once.
        output: Rate-limited output to use instead of standard error.
    """
    global _output
    flush()
    _output = output
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "-"})
    render = functools.partial(_render_json, vm) if json_lines else _render_text

    def write_record(message: Any) -> None:
        record = message.record
        if record["extra"].get("part") in _DECISION_PARTS:
            _recent.append((record["time"], record["extra"]["part"], record["message"]))
        if output is not None and not output.admits(record):
            return
        _buffer.append(render(record))
        if not buffered or record["level"].no >= _ERROR or len(_buffer) >= _MAX_BUFFERED_LINES:
            flush()

    # A single sink that renders records itself costs half as much as two sinks with loguru's formatting.
    loguru.logger.add(write_record, level=level, format=_format_empty, backtrace=False, diagnose=False)


def flush() -> None:
    """Write the buffered lines."""
    with _write_lock:
        lines = [_buffer.popleft() for _ in range(len(_buffer))]
        if _output is not None:
            _output.write("".join(lines))
        elif lines:
            sys.stderr.write("".join(lines))
            sys.stderr.flush()


def recent_decisions() -> list[tuple[str, str, str]]:
    """Return time, part and text of the latest lines about routing and placement decisions, oldest first."""
    return [(at.strftime("%H:%M:%S.%f")[:-3], part, text) for at, part, text in list(_recent)]


def _format_empty(record: Any) -> str:
    return ""


def _render_text(record: Any) -> str:
    at, extra = record["time"], record["extra"]
    fields = "".join(f" {name}={value}" for name, value in extra.items() if name != "part")
    clock = f"{at.hour:02}:{at.minute:02}:{at.second:02}.{at.microsecond // 1000:03}"
    line = f"{clock} {record['level'].name:<7} {extra['part']:<{_PREFIX_WIDTH}} {record['message']}{fields}\n"
    return line + _render_exception(record["exception"]) if record["exception"] is not None else line


def _render_exception(exception: Any) -> str:
    return "".join(traceback.format_exception(exception.type, exception.value, exception.traceback))


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
