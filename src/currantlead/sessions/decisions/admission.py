"""Admission of statements to a queue on arrival, and the delays after which refused callers return.

All functions are pure; the state of one queue is plain data, and its methods take a clock reading.

A statement is admitted in its place if its answer is expected within the objective. If it is expected later, it may
wait behind all others, as long as the queue has spare capacity to reach it within the statement's time limit. All
others are refused at once: in a queue that is longer than the objective, every answer would be late.
"""

import dataclasses
import enum
import math
from collections.abc import Sequence

from currantlead.sessions.decisions import load

IN_TIME_SHARE = 0.95
"""Share of the objective within which an answer must be expected for it to count as in time; the rest covers the way
between the VMs."""
DEVIATIONS = 1.5
"""Mean deviations of the waits from the expected ones that are added to an expected wait. Waits scatter, because a
connection is first offered to its own organisation; more would refuse statements without need."""
UNEXPECTED_FACTOR = 2.0
"""Multiple of the expected wait, beyond the usual one, after which a statement that another queue may serve in time
stops waiting: the instance is slower than expected, or does not open connections."""
DEVIATION_SMOOTHING = 0.05
"""Weight of the latest wait in the moving averages of error and deviation."""
RESERVED_SHARE = 0.25
"""Share of the capacity that is reserved for callers that return although the overload lasts."""
FIRST_ATTEMPT_SHARE = 0.85
"""Share of the time for a late answer that the queue may take from a first attempt. The rest leaves a place to callers
who return, where the objective is longer than the time limit."""
RESERVED_BURST = 4.0
"""Maximum number of reserved places that accumulate while nobody returns."""
LATE_SHARE = 0.7
"""Share of the statement's time limit that wait and execution may take together. Callers give up at the limit, and a
statement that is sent shortly before would run for nobody."""
LATE_PRIORITY = load.PRIORITIES - 1
"""Priority of statements whose answer will be late: they wait behind all that can still be served in time."""
TRANSACTION_STATEMENTS = 3
"""Assumed number of statements of a transaction, all of which must run before the operation has its answer."""
RETURN_SHARE = 0.4
"""Share of the queue's capacity at which refused callers return, so that the usual load and those who return fit."""
MIN_RETURN_S = 0.02
"""Minimum delay after which a caller returns: a round trip within a region, and some statements' time."""
LATE_RETURN_SHARE = 0.6
"""Minimum delay of a caller that cannot be in time any more, as a share of the maximum."""
MAX_RETURN_LIMITS = 4.5
"""Maximum delay as a multiple of the statement's time limit."""
MAX_RETURN_S = 3.6
"""Maximum delay. Operations may take 8 s to 12 s, and a caller that is refused twice needs time for a third attempt."""
MIN_RETURNS_PER_S = 0.2
"""Lower limit of the rate at which callers return, so that an instance that answers nothing keeps delays bounded."""
MIN_SERVICE_S = 0.0001
"""Lower limit of the measured time of a statement; avoids a division by zero."""
RATE_WINDOW_S = 0.5
"""Time constant of the measured rate of arrivals: the shortest objective, within which an overload must be noticed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitLimits:
    """Limits of the waits of one statement, relative to the moment at which it reaches the queue, in seconds.

    Attributes:
        usual_s: Maximum wait if the length of the queue is unknown.
        in_time_s: Time within which the answer must be there to be in time.
        late_s: Time within which the answer must be there to be of use; 0 if the statement is not to be served late.
        total_s: Time left until the statement's time limit.
        early_return_s: Maximum delay after which another statement may still be in time; negative if none can.
        max_return_s: Maximum delay after which a refused caller returns.
        weight: Share of a place that a refusal books, because several queues may refuse the same statement.
        returning: Whether the operation was refused before, so that its caller has fewer attempts left.
    """

    usual_s: float
    in_time_s: float
    late_s: float
    total_s: float
    early_return_s: float
    max_return_s: float
    weight: float = 1.0
    returning: bool = False

    @classmethod
    def for_statement(
        cls,
        *,
        objective_s: float,
        timeout_s: float,
        usual_s: float,
        operation_s: float,
        statement_s: float,
        returning: bool = False,
    ) -> "WaitLimits":
        """Return the limits of a statement.

        Args:
            objective_s: Response-time objective of the operation.
            timeout_s: Time limit of the statement.
            usual_s: Maximum wait if the length of the queue is unknown.
            operation_s: Seconds since the operation began.
            statement_s: Seconds since the statement arrived.
            returning: Whether the operation was refused before.
        """
        late_s = timeout_s * LATE_SHARE - statement_s
        return cls(
            usual_s=usual_s,
            in_time_s=min(objective_s * IN_TIME_SHARE - operation_s, late_s * FIRST_ATTEMPT_SHARE),
            late_s=late_s,
            total_s=timeout_s - statement_s,
            early_return_s=objective_s * IN_TIME_SHARE - operation_s - timeout_s * LATE_SHARE,
            max_return_s=min(timeout_s * MAX_RETURN_LIMITS, MAX_RETURN_S),
            returning=returning,
        )

    @property
    def longest_s(self) -> float:
        """Return the longest wait that a queue may allow, in seconds."""
        return max(self.usual_s, self.in_time_s, self.late_s, 0.0)

    def after(self, elapsed_s: float) -> "WaitLimits":
        """Return the limits that are left after some time."""
        return dataclasses.replace(
            self,
            usual_s=self.usual_s - elapsed_s,
            in_time_s=self.in_time_s - elapsed_s,
            late_s=max(0.0, self.late_s - elapsed_s),
            total_s=self.total_s - elapsed_s,
        )

    def in_time_only(self) -> "WaitLimits":
        """Return the same limits for a queue that is not to serve the statement late, because others may do better."""
        return dataclasses.replace(self, late_s=0.0)

    def divide(self, queues: int) -> "WaitLimits":
        """Return the same limits for a statement that may be refused by a number of queues."""
        return dataclasses.replace(self, weight=self.weight / max(1, queues))

    def encode(self) -> list[float]:
        """Return the limits as values that a frame can carry."""
        return [round(float(value), 4) for value in dataclasses.astuple(self)]

    @classmethod
    def decode(cls, values: Sequence[float]) -> "WaitLimits":
        """Return the limits that ``encode`` converted to values.

        Raises:
            TypeError: A value is no number.
            ValueError: A value is no finite number, or their number is wrong.
        """
        numbers = [float(value) for value in values]
        if len(numbers) != len(dataclasses.fields(cls)) or not all(map(math.isfinite, numbers)):
            raise ValueError(f"limits {values!r}")
        return cls(*numbers[:-1], returning=bool(numbers[-1]))


class Reason(enum.Enum):
    """Reason of a decision."""

    UNKNOWN = "unknown queue"
    """The length of the queue is unknown, so the statement waits as it would without this part."""
    IN_TIME = "in time"
    """The answer is expected within the objective."""
    LATE = "late"
    """The answer is expected after the objective, within the time limit, without delaying others."""
    RETURNING = "returning"
    """The caller was refused before, and a share of the capacity is reserved for such callers."""
    TOO_LONG = "too long"
    """No useful answer is expected, so the statement is refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision about a statement that reached a queue.

    Attributes:
        reason: The reason.
        expected_s: Expected wait in seconds, or None if it is unknown.
        wait_s: Maximum wait in seconds; 0 if the statement is refused.
        priority: Priority with which it waits; 0 is the highest.
        retry_after_s: Delay after which the caller of a refused statement returns, or None if it was admitted.
        offers_late: Whether a refused statement would be admitted if it may be served late.
    """

    reason: Reason
    expected_s: float | None
    wait_s: float
    priority: int
    retry_after_s: float | None = None
    offers_late: bool = False

    @property
    def admitted(self) -> bool:
        """Return whether the statement may wait."""
        return self.retry_after_s is None


@dataclasses.dataclass(slots=True)
class ArrivalRate:
    """Exponentially decaying average of the rate of arrivals.

    Attributes:
        per_s: Arrivals per second at ``updated_at``.
        updated_at: Clock reading of the last arrival.
    """

    per_s: float = 0.0
    updated_at: float = 0.0

    def record(self, now: float) -> None:
        """Count one arrival."""
        self.per_s = self.at(now) + 1.0 / RATE_WINDOW_S
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate at a clock reading."""
        return self.per_s * math.exp(-max(0.0, now - self.updated_at) / RATE_WINDOW_S)


@dataclasses.dataclass(slots=True)
class ReturnSchedule:
    """Virtual schedule of the times at which refused callers return.

    Each refusal books the next place, so callers that were refused earlier return earlier.

    Attributes:
        next_at: Clock reading of the next free place.
    """

    next_at: float = 0.0

    def book(self, rate_per_s: float, now: float, *, earliest_s: float, max_s: float, weight: float = 1.0) -> float:
        """Book a place and return the delay until it is due, in seconds.

        Args:
            rate_per_s: Returns per second that can be served.
            now: Clock reading, in seconds.
            earliest_s: Minimum delay, in seconds.
            max_s: Maximum delay, in seconds.
            weight: Share of a place to book.
        """
        delay_s = min(max(MIN_RETURN_S, earliest_s, self.next_at - now), max(max_s, MIN_RETURN_S))
        self.next_at = now + delay_s + weight / max(rate_per_s, MIN_RETURNS_PER_S)
        return delay_s


@dataclasses.dataclass(slots=True)
class WaitErrors:
    """Difference between expected and actual waits.

    Attributes:
        bias_s: Moving average of the actual minus the expected wait, in seconds.
        deviation_s: Moving average of the distance from that average, in seconds.
    """

    bias_s: float = 0.0
    deviation_s: float = 0.0

    def record(self, expected_s: float, actual_s: float) -> None:
        """Record the wait of a statement."""
        error_s = actual_s - expected_s
        self.deviation_s += DEVIATION_SMOOTHING * (abs(error_s - self.bias_s) - self.deviation_s)
        self.bias_s += DEVIATION_SMOOTHING * (error_s - self.bias_s)

    @property
    def margin_s(self) -> float:
        """Return the time to add to an expected wait so that most waits are shorter, in seconds."""
        return max(0.0, self.bias_s + DEVIATIONS * self.deviation_s)


@dataclasses.dataclass(slots=True)
class QueueAdmission:
    """Admission to one queue.

    Attributes:
        arrivals: Rate of the arrivals that may still be served in time, refused ones included.
        errors: Difference between expected and actual waits.
        early_returns: Schedule of refused callers that return in time for their objective.
        late_returns: Schedule of the other refused callers.
        reserved: Number of reserved places that returning callers have not used.
        reserved_at: Clock reading up to which reserved places have accrued.
    """

    arrivals: ArrivalRate = dataclasses.field(default_factory=ArrivalRate)
    errors: WaitErrors = dataclasses.field(default_factory=WaitErrors)
    early_returns: ReturnSchedule = dataclasses.field(default_factory=ReturnSchedule)
    late_returns: ReturnSchedule = dataclasses.field(default_factory=ReturnSchedule)
    reserved: float = 0.0
    reserved_at: float = 0.0

    def decide(
        self,
        limits: WaitLimits,
        priority: int,
        report: load.QueueReport | None,
        now: float,
        *,
        service_s: float,
    ) -> Decision:
        """Decide about a statement that reaches the queue.

        Args:
            limits: Limits of its waits.
            priority: Its priority; 0 is the highest.
            report: Load of the queue, or None if it is unknown.
            now: Clock reading, in seconds.
            service_s: Time between the end of its wait and the end of its operation, in seconds.
        """
        expected_s = load.expected_wait_s(report, priority, now)
        if report is None or expected_s is None:
            return Decision(Reason.UNKNOWN, None, max(0.0, limits.usual_s), priority)
        in_time_s, late_s = limits.in_time_s - service_s, limits.late_s - service_s
        if in_time_s > 0.0:
            self.arrivals.record(now)
        if not expected_s or expected_s + self.errors.margin_s <= in_time_s:
            wait_s = max(in_time_s, late_s)
            if not limits.late_s:
                wait_s = min(wait_s, limits.usual_s + UNEXPECTED_FACTOR * (expected_s + self.errors.margin_s))
            return Decision(Reason.IN_TIME, expected_s, max(wait_s, limits.usual_s, 0.0), priority)
        behind_all_s = late_wait_s(report, self.arrivals.at(now), now)
        if behind_all_s <= late_s:
            return Decision(Reason.LATE, behind_all_s, late_s, max(priority, LATE_PRIORITY))
        if limits.returning and expected_s <= late_s and self._take_reserved(report, now):
            return Decision(Reason.RETURNING, expected_s, late_s, priority)
        delay_s = self._book(limits, report, now, expected_s - in_time_s)
        useful_s = limits.total_s * LATE_SHARE - service_s
        return Decision(Reason.TOO_LONG, expected_s, 0.0, priority, delay_s, offers_late=behind_all_s <= useful_s)

    def _take_reserved(self, report: load.QueueReport, now: float) -> bool:
        """Use a place that is reserved for returning callers; return whether there was one."""
        accrued = max(0.0, now - self.reserved_at) * RESERVED_SHARE * _rate_per_s(report)
        self.reserved, self.reserved_at = min(RESERVED_BURST, self.reserved + accrued), now
        if self.reserved < 1.0:
            return False
        self.reserved -= 1.0
        return True

    def book_after_wait(self, limits: WaitLimits, report: load.QueueReport, now: float) -> float:
        """Return the delay for the caller of a statement that has waited in vain, in seconds."""
        return self._book(limits, report, now, MIN_RETURN_S)

    def _book(self, limits: WaitLimits, report: load.QueueReport, now: float, earliest_s: float) -> float:
        """Book the return of a refused caller; return the delay in seconds.

        If the objective leaves the time for another statement, the caller may return within it. Otherwise its answer
        will be late in any case, so it returns when the overload may be over.
        """
        rate = RETURN_SHARE * _rate_per_s(report)
        if max(earliest_s, self.early_returns.next_at - now) <= limits.early_return_s:
            return self.early_returns.book(
                rate, now, earliest_s=earliest_s, max_s=limits.early_return_s, weight=limits.weight
            )
        return self.late_returns.book(
            rate,
            now,
            earliest_s=limits.max_return_s * LATE_RETURN_SHARE,
            max_s=limits.max_return_s,
            weight=limits.weight,
        )


def _rate_per_s(report: load.QueueReport) -> float:
    """Return the number of statements per second that leave the queue."""
    return report.limit / max(report.service_s, MIN_SERVICE_S)


def late_wait_s(report: load.QueueReport, arrivals_per_s: float, now: float) -> float:
    """Return the expected wait of a statement that lets all others pass, also those that arrive later, in seconds.

    Args:
        report: Load of the queue.
        arrivals_per_s: Rate of arrivals.
        now: Clock reading, in seconds.
    """
    ahead_s = load.expected_wait_s(report, load.PRIORITIES - 1, now)
    spare = 1.0 - arrivals_per_s * report.service_s / max(1, report.limit)
    if ahead_s is None or spare <= 0.0:
        return math.inf
    return ahead_s / spare
