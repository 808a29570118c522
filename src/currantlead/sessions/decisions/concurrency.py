"""Limit of the statements that one VM runs on an instance at the same time, learned from the instance's answers.

All state is plain data; clock readings are passed in. ``docs/design/concurrency-limit.md`` compares the alternatives.
"""

import dataclasses
from collections.abc import Callable, Hashable, Sequence

DEFAULT_SLOTS = 4
"""Starting value of the limit for an instance that does not report its slots."""
QUEUE_ALLOWANCE = 24
"""Statements beyond its slots that all holders together may run on an instance. It queues 32 before it refuses; the
rest is left to statements of open transactions and to connections that are being opened."""
SLOWDOWN = 1.5
"""Ratio of a window's answer times to those at low load from which the instance counts as overloaded: half as many
statements wait inside the instance as run there. With 2.0, openings of connections took so long on a slow instance that
short statements reached their time limits."""
CALM = 1.25
"""Ratio up to which answers count as equally fast as at low load, so that the limit may rise. The variation of the work
in a window of ten answers stays below it."""
MAX_DECREASE = 0.5
"""Factor by which one window lowers the limit at most."""
REFUSAL_DECREASE = 0.7
"""Factor for the limit when the instance refuses a statement because its queue is full, or leaves one unanswered."""
MIN_WINDOW_ANSWERS, MIN_WINDOW_S, MAX_WINDOW_S = 10, 0.1, 1.0
"""Size of a window: at least this many answers and this long, or fewer answers after the maximum length."""
MIN_SPARSE_ANSWERS = 3
"""Minimum number of answers in a window that ends because of its length."""
BASELINE_SMOOTHING = 0.05
"""Weight of one answer in the moving average of the answer times at low load: about twenty answers count."""
LOAD_SHARE = 0.5
"""Share of the limit that must have been in use for slow answers to lower it: at lower use, the statements of this VM
are not the cause."""
REPORTED_CHANGE = 0.3
"""Relative change of the limit since the last reported value from which it is reported again."""
REPORT_INTERVAL_S = 1.0
"""Minimum time between two reported changes: under overload the limit varies several times a second."""
MEASURING_INTERVAL_S = 10.0
"""Time without an answer at low load after which the limit is lowered to this VM's share of the slots, so that the
answer time at low load is measured again. Without this, a VM that starts during an overload would not recognise it. At
the share all slots stay in use, so this costs little."""
RELEASE_S = 2.5
"""Time after which a VM that is considered down runs no more statements: the longest statement limit (2 s), and the
time until the instance has rolled back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Considerable change of the limit.

    Attributes:
        previous: The limit that was reported last.
        limit: The limit in force.
        reason: Why it changed.
    """

    previous: int
    limit: int
    reason: str


def whole_limit(slots: int) -> int:
    """Return how many statements all VMs together may run on an instance.

    Args:
        slots: Number of slots that the instance reports, or 0 if it does not.
    """
    return (slots or DEFAULT_SLOTS) + QUEUE_ALLOWANCE


def part_of(whole: int, ranking: Sequence[str], count: int, vm: str, down_for_s: Callable[[str], float]) -> int:
    """Return how many of the statements on an instance one VM may run; the sum over all VMs never exceeds the whole.

    The whole is divided into one part per holder and a spare one. The spare part belongs to the VM that follows the
    holders in the ranking, so that it may replace a holder at once, while the statements of that holder may still be
    running. The VMs after it get one statement each, which is reserved, and the part of a VM before them that has been
    down for ``RELEASE_S``.

    Args:
        whole: Number of statements that all VMs together may run.
        ranking: All VMs in order of preference as holders.
        count: Number of holders.
        vm: The VM.
        down_for_s: Returns for how many seconds a VM has been down; 0 if it is not.
    """
    count = min(count, len(ranking))
    unit = max(1, (whole - count) // (count + 1))
    index = ranking.index(vm) if vm in ranking else len(ranking)
    if index <= count:
        return unit
    # One of the released parts is not given away: the spare part is already in use in its place.
    released = sum(down_for_s(name) >= RELEASE_S for name in ranking[: count + 1]) - 1
    ahead = sum(not down_for_s(name) for name in ranking[count + 1 : index])
    return unit if ahead < released else 1


class ConcurrencyLimit:
    """Limit of the statements of this VM on one instance.

    It starts from the reported slots, falls when answers are much slower than at low load while the limit is in use,
    and rises up to this VM's part while they are as fast. Without answers it never rises.

    Args:
        slots: Number of slots that the instance reports, or 0 if it does not.
        holders: Number of VMs that hold its connections.
        part: Maximum number of statements that this VM may run.
    """

    def __init__(self, slots: int, holders: int, part: int):
        self._low_load_s: dict[Hashable, float] = {}
        self._limit = float("inf")
        self._part = part
        self._share = 1
        self._max_floor = float("inf")
        self.divide(slots, holders, part)
        self._limit = self._start
        self._reported = self.limit
        self._reported_at = float("-inf")
        self._low_load_at: float | None = None
        self._changed_at = self._window_from = float("-inf")
        self._clear_window()

    @property
    def limit(self) -> int:
        """Return the number of statements that may run at the same time; at least 1."""
        return max(1, int(self._limit))

    def divide(self, slots: int, holders: int, part: int) -> None:
        """Set this VM's part and its share of the slots.

        While all holders keep to their shares, no statement waits inside the instance. Answer times at this load count
        as those at low load, and slow answers do not lower the limit further, which would only leave slots idle.
        """
        self._part = part
        self._start = float(min(part, slots or DEFAULT_SLOTS))
        self._share = max(1, min(part, slots // max(1, holders)))
        self._limit = min(max(self._limit, self._floor), part)

    @property
    def _floor(self) -> float:
        return min(self._share, self._max_floor)

    def record_answer(
        self, kind: Hashable, duration_s: float, started_at: float, running: int, now: float
    ) -> Change | None:
        """Record an answer.

        Args:
            kind: Kind of statement; answer times are compared only within a kind.
            duration_s: Answer time, in seconds.
            started_at: Clock reading at which the statement was sent.
            running: Number of statements that ran when the answer arrived, including this one.
            now: Clock reading, in seconds.
        """
        low_load_s = self._low_load_s.get(kind)
        if low_load_s is None:
            low_load_s = self._low_load_s[kind] = duration_s
            if self._low_load_at is None:
                self._low_load_at = now
        elif running <= self._share:
            self._low_load_at = now
            low_load_s += BASELINE_SMOOTHING * (duration_s - low_load_s)
            self._low_load_s[kind] = low_load_s
        if started_at < self._changed_at:
            # It was sent under an earlier limit.
            return None
        self._answers += 1
        self._duration_s += duration_s
        self._low_s += low_load_s
        self._peak = max(self._peak, running)
        elapsed_s = now - self._window_from
        complete = self._answers >= MIN_WINDOW_ANSWERS and elapsed_s >= MIN_WINDOW_S
        if not complete and (self._answers < MIN_SPARSE_ANSWERS or elapsed_s < MAX_WINDOW_S):
            return None
        measures = now - self._low_load_at > MEASURING_INTERVAL_S
        ratio = self._duration_s / max(self._low_s, 1e-6)
        limiting = self._peak >= self.limit
        in_use = self._peak >= LOAD_SHARE * self.limit
        self._start_window(now)
        if measures and self._limit > self._share:
            self._low_load_at = now
            return self._set(self._share, "the answer time at low load is measured again", now)
        if ratio > SLOWDOWN and in_use:
            return self._set(
                self._limit * max(MAX_DECREASE, SLOWDOWN / ratio), f"answers are {ratio:.1f} times slower", now
            )
        if ratio <= CALM and (self._limit < self._start or limiting):
            self._max_floor += 1
            return self._set(self._limit + 1, "answers are as fast as at low load", now)
        return None

    def record_refusal(self, started_at: float, now: float) -> Change | None:
        """Record that the instance refused a statement because its queue was full.

        The limit may then fall below the share of the reported slots, of which there seem to be fewer.
        """
        self._max_floor = max(1.0, min(self._max_floor, self._limit * REFUSAL_DECREASE))
        return self._decrease(started_at, now, "the instance refused a statement as busy")

    def record_silence(self, started_at: float, now: float) -> Change | None:
        """Record that the instance left a statement unanswered until its time limit."""
        return self._decrease(started_at, now, "the instance did not answer")

    def _decrease(self, started_at: float, now: float, reason: str) -> Change | None:
        if started_at < self._changed_at:
            return None
        self._start_window(now)
        return self._set(self._limit * REFUSAL_DECREASE, reason, now)

    def _set(self, value: float, reason: str, now: float) -> Change | None:
        value = min(max(value, self._floor), self._part)
        if value < self._limit:
            self._changed_at = now
        self._limit = value
        previous, limit = self._reported, self.limit
        if abs(limit - previous) < max(1.0, REPORTED_CHANGE * previous) or now - self._reported_at < REPORT_INTERVAL_S:
            return None
        self._reported, self._reported_at = limit, now
        return Change(previous, limit, reason)

    def _start_window(self, now: float) -> None:
        self._window_from = now
        self._clear_window()

    def _clear_window(self) -> None:
        self._answers = 0
        self._duration_s = self._low_s = 0.0
        self._peak = 0
