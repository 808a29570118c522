"""Reconstruct what happened to one request from the logs of all VMs."""

import dataclasses
import datetime
import json
from collections.abc import Iterable, Sequence
from typing import Any

STATE_PARTS = frozenset({"daemon", "store", "fleet", "succession", "pool", "allowance"})
"""Parts that log changes of the state on which a VM bases its decisions."""
CONTEXT_WINDOW_S = 8.0
"""Time before the request's first line from which state changes are included; a promotion or the expiry of a lapsed
entry takes less."""
_HEADER_FIELDS = ("time", "level", "vm", "part", "message", "request")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Hold a log line.

    Attributes:
        logged_at: Timestamp by the clock of the VM that wrote the line.
        vm: Name of the VM.
        part: Part of the program that wrote the line.
        message: Message text.
        fields: All other fields.
    """

    logged_at: datetime.datetime
    vm: str
    part: str
    message: str
    fields: dict[str, Any]

    def render(self, since: datetime.datetime) -> str:
        """Return the line as human-readable text.

        Args:
            since: Time of the request's first line; the text starts with the milliseconds elapsed since.
        """
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items() if value is not None)
        elapsed_ms = (self.logged_at - since).total_seconds() * 1000
        return f"{elapsed_ms:+10.0f} ms  {self.vm:<18} {self.part:<11} {self.message}  {fields}".rstrip()


def parse(text: Iterable[str]) -> tuple[list[tuple[str, LogLine]], int]:
    """Parse log lines.

    Args:
        text: Lines of one or more logs in any order; text before a line's first brace is ignored.

    Returns:
        Pairs of request id and line, with an empty id for lines without one; and the number of malformed lines.
    """
    parsed, malformed = [], 0
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(raw[start:])
            logged_at = datetime.datetime.fromisoformat(record["time"])
            line = LogLine(
                logged_at,
                str(record["vm"]),
                str(record["part"]),
                str(record["message"]),
                {name: value for name, value in record.items() if name not in _HEADER_FIELDS},
            )
        except (ValueError, KeyError, TypeError):
            malformed += 1
            continue
        parsed.append((str(record.get("request", "")), line))
    return parsed, malformed


def explain(text: Iterable[str], request_id: str) -> tuple[list[str], bool]:
    """Explain a request.

    Args:
        text: Lines of the logs of all VMs.
        request_id: Request id that the caller assigned to the attempt.

    Returns:
        Lines of the explanation, and whether any log line names the request.
    """
    parsed, malformed = parse(text)
    request_lines = sorted((line for request, line in parsed if request == request_id), key=lambda line: line.logged_at)
    remarks = [f"{malformed} malformed lines were skipped"] if malformed else []
    if not request_lines:
        return [f"no log line names request {request_id!r}; {len(parsed)} lines were read", *remarks], False
    first, last = request_lines[0].logged_at, request_lines[-1].logged_at
    explanation = [
        f"request {request_id}: {len(request_lines)} lines on {', '.join(sorted({line.vm for line in request_lines}))}",
        "",
        "state changes:",
    ]
    explanation += [line.render(first) for line in _state_changes(parsed, request_lines, first, last)] or [
        "  none before the request"
    ]
    explanation += ["", "request:", *(line.render(first) for line in request_lines)]
    left_out = sum(
        line.fields.get("left_out", 0) for _, line in parsed if line.vm in {item.vm for item in request_lines}
    )
    if left_out:
        remarks.append(f"{left_out} lines of these VMs were dropped by log rate limiting")
    return [*explanation, *remarks], True


def _state_changes(
    parsed: Sequence[tuple[str, LogLine]],
    request_lines: Sequence[LogLine],
    first: datetime.datetime,
    last: datetime.datetime,
) -> list[LogLine]:
    """Return the state changes that the VMs of a request logged shortly before and during it."""
    vms = {line.vm for line in request_lines}
    instances = {line.fields["instance"] for line in request_lines if "instance" in line.fields}
    organisations = {line.fields.get("organisation") for line in request_lines}
    since = first - datetime.timedelta(seconds=CONTEXT_WINDOW_S)

    def is_relevant(line: LogLine) -> bool:
        if line.fields.get("instance", next(iter(instances), None)) not in instances | {None}:
            return False
        return line.fields.get("organisation", next(iter(organisations), None)) in organisations

    lines = [
        line
        for request, line in parsed
        if not request and since <= line.logged_at <= last and line.part in STATE_PARTS and is_relevant(line)
    ]
    return sorted(
        (line for line in lines if line.vm in vms or line.part == "succession"),
        key=lambda line: (line.logged_at, line.vm),
    )
