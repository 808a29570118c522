"""Load of an instance's connections on one VM, and the wait that a new statement has to expect from it."""

import dataclasses
import math
from typing import Any

import msgpack

from currantlead import errors

PRIORITIES = 4
"""Number of priorities that are told apart: 0 is the highest, and the last one stands for all lower ones."""
MAX_AGE_S = 1.0
"""Age from which a report counts as unknown. Reports are renewed four times a second."""
MAX_COUNT = 65_535
"""Upper limit of each count in an encoded report; three bytes in msgpack."""
MAX_ENCODED_BYTES = 48
"""Upper limit of the size of an encoded report: seven counts of three bytes, three times of five and two array headers
make 38 bytes, and ten are left for additions. Longer reports of other VMs are refused unread."""
WAIT_CHANGE = 0.25
"""Relative change of the expected wait or of the service time from which a report differs from an earlier one: a
smaller change would hardly move any work, and each statement changes the smoothed times a little."""
WAIT_CHANGE_S = 0.002
"""Change of the expected wait up to which reports count as equal in any case: the default cost of leaving the domain,
below which no work moves."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueReport:
    """State of the connections of one VM to one instance.

    Attributes:
        measured_at: Clock reading at which it was measured, on the clock of the VM that uses it, in seconds.
        waiting: Number of waiting statements by priority; ``PRIORITIES`` entries.
        running: Number of running statements.
        limit: Maximum number of statements that may run at the same time.
        free: Number of idle connections and of those that may still be opened.
        service_s: Smoothed time that the instance takes for a statement, in seconds.
        wait_s: Smoothed wait of the statements that were started last, in seconds.
    """

    measured_at: float
    waiting: tuple[int, ...]
    running: int
    limit: int
    free: int
    service_s: float
    wait_s: float


def expected_wait_s(
    report: QueueReport | None, priority: int, now: float, *, unreported: int = 0, reserved: int = 0
) -> float | None:
    """Return the expected wait of a new statement in seconds, or None if it is unknown.

    Statements of the same and of higher priorities are served first, ``limit`` at a time.

    Args:
        report: The latest report, or None.
        priority: Priority of the statement; 0 is the highest.
        now: Clock reading, in seconds.
        unreported: Number of statements of this priority that were sent since the report.
        reserved: Number of the ``limit`` statements that are kept for other work; one is left in any case.
    """
    if report is None or now - report.measured_at > MAX_AGE_S:
        return None
    limit = max(1, report.limit - reserved)
    ahead = sum(report.waiting[: min(priority, PRIORITIES - 1) + 1])
    slots = max(0, min(report.free, limit - report.running))
    if not ahead and unreported < slots:
        return 0.0
    return (ahead + max(0, unreported - slots) + 1) * report.service_s / limit


def differs(report: QueueReport, earlier: QueueReport) -> bool:
    """Return whether a report shows another load than an earlier one, so that work may move."""
    if abs(report.service_s - earlier.service_s) > max(WAIT_CHANGE_S, WAIT_CHANGE * earlier.service_s):
        return True
    if report.limit != earlier.limit:
        return True
    if (report.waiting, report.running, report.free) == (earlier.waiting, earlier.running, earlier.free):
        return False
    for priority in range(PRIORITIES):
        wait_s = expected_wait_s(report, priority, report.measured_at)
        earlier_s = expected_wait_s(earlier, priority, earlier.measured_at)
        if abs(wait_s - earlier_s) > max(WAIT_CHANGE_S, WAIT_CHANGE * earlier_s):
            return True
    return False


def encode(report: QueueReport, now: float) -> bytes:
    """Return a report for other VMs: its age instead of a clock reading, since the clocks of VMs differ.

    Counts are limited to ``MAX_COUNT``, so that the result has at most ``MAX_ENCODED_BYTES``.

    Args:
        report: The report.
        now: Clock reading, in seconds.
    """
    return msgpack.packb(
        [
            _to_microseconds(now - report.measured_at),
            [min(MAX_COUNT, count) for count in report.waiting],
            min(MAX_COUNT, report.running),
            min(MAX_COUNT, report.limit),
            min(MAX_COUNT, max(0, report.free)),
            _to_microseconds(report.service_s),
            _to_microseconds(report.wait_s),
        ]
    )


def decode(data: Any, received_at: float) -> QueueReport:
    """Decode a report of another VM; elements after the known ones are ignored.

    Args:
        data: What the other VM sent.
        received_at: Clock reading at which it arrived, in seconds.

    Raises:
        errors.MalformedObjectError: The report is malformed, or its age is negative.
    """
    if not isinstance(data, bytes) or len(data) > MAX_ENCODED_BYTES:
        raise errors.MalformedObjectError("a load report is not a short string of bytes")
    try:
        age_us, waiting, running, limit, free, service_us, wait_us, *_ = msgpack.unpackb(data)
        numbers = [age_us, *waiting, running, limit, free, service_us, wait_us]
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise errors.MalformedObjectError(f"a load report is malformed: {error!r}") from error
    if len(waiting) != PRIORITIES or any(type(number) is not int or number < 0 for number in numbers):
        raise errors.MalformedObjectError(f"a load report has invalid values: {numbers!r}")
    return QueueReport(
        measured_at=received_at - age_us / 1e6,
        waiting=tuple(waiting),
        running=running,
        limit=max(1, limit),
        free=free,
        service_s=service_us / 1e6,
        wait_s=wait_us / 1e6,
    )


def _to_microseconds(seconds: float) -> int:
    """Return a duration in whole microseconds that fits into 32 bits."""
    return 0 if math.isnan(seconds) else int(min(max(seconds, 0.0), 4_000.0) * 1e6)
