"""Tell the story of one request from the logs of all VMs."""

import dataclasses
import datetime
import json
from collections.abc import Iterable, Sequence
from typing import Any

BELIEF_PARTS = frozenset({"daemon", "store", "fleet", "succession", "pool", "allowance"})
"""Parts whose lines say what a VM believed when it decided."""
WINDOW_S = 8.0
"""Beliefs are shown from this long before the request's first line: longer than a promotion or a lapsed entry takes."""
_PLAIN = ("time", "level", "vm", "part", "message", "request")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Hold one line of a log.

    Attributes:
        at: Time of day on the VM that wrote it.
        vm: Name of the VM.
        part: Part of the program.
        message: Short sentence.
        fields: Everything else that was written.
    """

    at: datetime.datetime
    vm: str
    part: str
    message: str
    fields: dict[str, Any]

    def render(self, since: datetime.datetime) -> str:
        """Return the line for a person, with the milliseconds since the request's first line."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items() if value is not None)
        elapsed_ms = (self.at - since).total_seconds() * 1000
        return f"{elapsed_ms:+10.0f} ms  {self.vm:<18} {self.part:<11} {self.message}  {fields}".rstrip()


def parse(text: Iterable[str]) -> tuple[list[tuple[str, Line]], int]:
    """Return the lines with the request that each belongs to, and the number of lines that could not be read.

    Args:
        text: Lines of one or more logs in any order; text before a line's first brace is passed over.
    """
    found, torn = [], 0
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(raw[start:])
            at = datetime.datetime.fromisoformat(record["time"])
            line = Line(
                at,
                str(record["vm"]),
                str(record["part"]),
                str(record["message"]),
                {name: value for name, value in record.items() if name not in _PLAIN},
            )
        except (ValueError, KeyError, TypeError):
            torn += 1
            continue
        found.append((str(record.get("request", "")), line))
    return found, torn


def explain(text: Iterable[str], request_id: str) -> tuple[list[str], bool]:
    """Return the story of a request, and whether it was found.

    Args:
        text: Lines of the logs of all VMs.
        request_id: The caller's id of the attempt.
    """
    found, torn = parse(text)
    own = sorted((line for request, line in found if request == request_id), key=lambda line: line.at)
    notes = [f"{torn} lines could not be read"] if torn else []
    if not own:
        return [f"no line names request {request_id!r}; {len(found)} lines were read", *notes], False
    first, last = own[0].at, own[-1].at
    story = [
        f"request {request_id}: {len(own)} lines on {', '.join(sorted({line.vm for line in own}))}",
        "",
        "beliefs:",
    ]
    story += [line.render(first) for line in _beliefs(found, own, first, last)] or ["  nothing changed before it"]
    story += ["", "the request:", *(line.render(first) for line in own)]
    left_out = sum(line.fields.get("left_out", 0) for _, line in found if line.vm in {item.vm for item in own})
    if left_out:
        notes.append(f"{left_out} lines of these VMs were left out because of their rate")
    return [*story, *notes], True


def _beliefs(
    found: Sequence[tuple[str, Line]], own: Sequence[Line], first: datetime.datetime, last: datetime.datetime
) -> list[Line]:
    """Return what the VMs of a request came to believe shortly before it."""
    vms = {line.vm for line in own}
    instances = {line.fields["instance"] for line in own if "instance" in line.fields}
    organisations = {line.fields.get("organisation") for line in own}
    since = first - datetime.timedelta(seconds=WINDOW_S)

    def concerns(line: Line) -> bool:
        if line.fields.get("instance", next(iter(instances), None)) not in instances | {None}:
            return False
        return line.fields.get("organisation", next(iter(organisations), None)) in organisations

    lines = [
        line
        for request, line in found
        if not request and since <= line.at <= last and line.part in BELIEF_PARTS and concerns(line)
    ]
    return sorted(
        (line for line in lines if line.vm in vms or line.part == "succession"), key=lambda line: (line.at, line.vm)
    )
