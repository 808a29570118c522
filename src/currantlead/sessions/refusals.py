"""Retry delays of refusals, and their count by cause."""

import dataclasses

from currantlead import logs
from currantlead.sessions import clock, metric_registry, settings, statements
from currantlead.sessions.callers import token_buckets
from currantlead.sessions.decisions import admission, promotion_progress, waiting

OVER_RATE_RETRY_MS = 200
"""Retry delay for callers that are over their rate, in milliseconds: a few times the usual response time. Used if
delays are not derived from the token bucket."""
RETRY_MARK = "retry-after-ms="
"""Text in front of the delay in the detail of a refusal."""
MAX_RETURN_S = 2.0
"""Maximum delay of refusals that no queue gives; operations allow at least four times as much."""
OTHER_RETURN_S = 0.05
"""Minimum delay of a refusal without a known end, such as that of an instance that lacks a position or is busy."""
UNCONFIRMED_RETURN_S = 0.3
"""Minimum delay while the configuration is not confirmed. A watch confirms it after up to 1.5 s, and another source
within 0.7 s."""
RETURNS_PER_S = 50.0
"""Rate at which callers return to one VM after refusals that no queue gives. A VM serves about ten statements a second.
"""
MIN_WAITING_PER_S = 4.0
"""Lower limit of the rate at which callers return after a promotion, for a VM with little traffic to the service."""
RETURN_WINDOW_S = 0.3
"""Distance from the time at which a refused caller was to return within which its next statement counts as another
attempt: the round trip to the caller, and its own scheduling."""
RETRYABLE = frozenset(
    {
        statements.Code.BUSY,
        statements.Code.LAGGING,
        statements.Code.READ_ONLY,
        statements.Code.MISROUTED,
        statements.Code.OVERLOADED,
        statements.Code.ABORTED,
    }
)
"""Error codes that tell the caller that nothing ran or all was rolled back, so that it may try again."""

_log = logs.part("admission")


@dataclasses.dataclass(slots=True)
class _FailoverState:
    """Promotions of one service, and the callers that wait for them.

    Attributes:
        progress: Progress of the promotion.
        arrivals: Rate of the statements that found no primary.
        returns: Times at which their callers return.
    """

    progress: promotion_progress.Progress = dataclasses.field(default_factory=promotion_progress.Progress)
    arrivals: admission.ArrivalRate = dataclasses.field(default_factory=admission.ArrivalRate)
    returns: admission.ReturnSchedule = dataclasses.field(default_factory=admission.ReturnSchedule)


@dataclasses.dataclass(slots=True)
class CallerRetry:
    """Refused operation of one session, to recognise its next attempt.

    Attributes:
        began_at: Clock reading at which the first attempt began.
        due_at: Clock reading at which the caller was told to return, or None if it was not refused.
    """

    began_at: float = 0.0
    due_at: float | None = None

    def begin(self, now: float) -> float | None:
        """Record the beginning of an attempt; return when the first attempt began if this is another one, or None."""
        due_at, self.due_at = self.due_at, None
        if due_at is not None and abs(now - due_at) <= RETURN_WINDOW_S:
            return self.began_at
        self.began_at = now
        return None

    def record(self, due_at: float) -> None:
        """Record that the attempt was refused, and when its caller returns."""
        self.due_at = due_at


class Refusals:
    """Adds a retry delay to each refusal of this VM, and counts refusals by cause.

    Args:
        enabled: Whether delays are derived from the state of the VM; otherwise failures are passed on unchanged.
        metrics: Metrics of this VM.
        buckets: The token buckets of this VM.
    """

    def __init__(self, enabled: bool, metrics: metric_registry.MetricRegistry, buckets: token_buckets.TokenBuckets):
        self.enabled = enabled
        self._metrics = metrics
        self._buckets = buckets
        self._by_cause: dict[str, admission.ReturnSchedule] = {}
        self._by_organisation: dict[str, admission.ReturnSchedule] = {}
        self._failovers: dict[str, _FailoverState] = {}

    @classmethod
    def from_config(
        cls,
        config: settings.SessionSettings,
        metrics: metric_registry.MetricRegistry,
        buckets: token_buckets.TokenBuckets,
    ) -> "Refusals":
        """Create it from the settings of this VM."""
        return cls(config.load_management.early_refusal, metrics, buckets)

    def complete(self, failure: statements.Failure, retry: CallerRetry) -> statements.Failure:
        """Return a failure with a retry delay, if its caller may try again, and count it.

        Args:
            failure: The failure.
            retry: Records when the caller returns.
        """
        if not self.enabled or failure.code not in RETRYABLE:
            return failure
        cause = failure.cause or "other"
        self._metrics.count("refusals", cause=cause, code=failure.code.value)
        now = clock.now()
        _, mark, delay_ms = failure.detail.rpartition(RETRY_MARK)
        if mark and delay_ms.isdecimal():
            retry.record(now + int(delay_ms) / 1000)
            return failure
        earliest_s = UNCONFIRMED_RETURN_S if cause == "unconfirmed" else OTHER_RETURN_S
        schedule = self._by_cause.setdefault(cause, admission.ReturnSchedule())
        delay_s = schedule.book(RETURNS_PER_S, now, earliest_s=earliest_s, max_s=MAX_RETURN_S)
        retry.record(now + delay_s)
        return dataclasses.replace(failure, detail=add_delay(failure.detail, delay_s))

    def refuse_over_rate(self, organisation: str) -> statements.Failure:
        """Return the refusal of an operation of an organisation that is over its rate."""
        if not self.enabled:
            detail = f"over the rate, {RETRY_MARK}{OVER_RATE_RETRY_MS}"
            return statements.Failure(statements.Code.BUSY, detail)
        now = clock.now()
        rate, next_s = self._buckets.next_token(organisation, now)
        if len(self._by_organisation) > self._buckets.count:
            # Schedules of organisations that no longer exist; the others' callers return a little less evenly once.
            self._by_organisation.clear()
        schedule = self._by_organisation.setdefault(organisation, admission.ReturnSchedule())
        delay_s = schedule.book(rate, now, earliest_s=next_s, max_s=MAX_RETURN_S)
        return statements.Failure(statements.Code.BUSY, add_delay("over the rate", delay_s), "over_rate")

    def record_stage(self, service: str, stage: promotion_progress.Stage) -> None:
        """Record the progress of a promotion."""
        if self.enabled:
            self._failovers.setdefault(service, _FailoverState()).progress.advance(stage, clock.now())

    def record_primary(self, service: str) -> None:
        """Record that a service has a primary again, after statements have waited for it."""
        state = self._failovers.get(service)
        if state is not None:
            state.progress.end(clock.now())

    def failover_remaining_s(self, service: str, failing_s: float) -> tuple[promotion_progress.Stage, float]:
        """Return the stage of a service's promotion, and the time until its new primary is expected, in seconds."""
        now = clock.now()
        progress = self._failovers.setdefault(service, _FailoverState()).progress
        return progress.current_stage(now), progress.remaining_s(now, failing_s)

    def failover_until(self, service: str, failing_s: float, wait: waiting.Wait, now: float) -> float:
        """Return the clock reading until which a statement may wait for a new primary.

        Args:
            service: The service.
            failing_s: Seconds since the first failure of the primary, or since it is missing.
            wait: Limits of the statement's waits.
            now: Clock reading, in seconds.
        """
        stage, remaining_s = self.failover_remaining_s(service, failing_s)
        latest = wait.began_at + wait.timeout_s * admission.LATE_SHARE
        if now + remaining_s <= latest:
            return latest
        if stage is not promotion_progress.Stage.NOT_BEGUN:
            return now
        # A primary that is only suspected may answer; once a claim is overdue, that is unlikely.
        return wait.failover_until() if failing_s < promotion_progress.DETECTION_S else wait.until

    def refuse_without_primary(self, service: str, failing_s: float, max_s: float) -> statements.Failure:
        """Return the refusal of a statement for whose primary it is not worth waiting.

        Args:
            service: The service.
            failing_s: Seconds since the first failure of the primary, or since it is missing.
            max_s: Maximum delay, in seconds.
        """
        stage, remaining_s = self.failover_remaining_s(service, failing_s)
        now = clock.now()
        state = self._failovers[service]
        state.arrivals.record(now)
        rate = max(MIN_WAITING_PER_S, admission.RETURN_SHARE * state.arrivals.at(now))
        delay_s = state.returns.book(rate, now, earliest_s=remaining_s, max_s=max_s)
        _log.bind(service=service, stage=stage.value, remaining_ms=round(remaining_s * 1000)).info(
            "refused: no primary, retry in {:.3f} s", delay_s
        )
        return statements.Failure(statements.Code.BUSY, add_delay(f"{service} has no primary", delay_s), "no_primary")


def add_delay(detail: str, delay_s: float) -> str:
    """Return the detail of a refusal with the delay after which the caller returns."""
    mark = f"{RETRY_MARK}{max(1, round(delay_s * 1000))}"
    return f"{detail}, {mark}" if detail else mark
