"""Reports of usage by the VM that holds the duty: windows are finalised in the store, then sent to the platform."""

import asyncio
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import calls, objects
from currantlead.sessions import clock, settings
from currantlead.sessions.decisions import true_time, usage_duty, usage_windows
from currantlead.sessions.shared import duty_claims, http
from currantlead.sessions.usage import agreed_time, collection, duty_state, finalised_windows

CALL_TIMEOUT_S = 1.0
"""Time limit of a report, as of a promotion call."""
CALL_TIMEOUT_SHARE = 1 / 3
"""Maximum share of the time between two holders for one call, where that time is short."""
RETRY_DELAY_S = 0.5
"""Pause after a call to the store or the platform that failed."""
OBSTRUCTED_STORE_S = 1.0
"""Time for which writes fail after which the holder says that it gets no further, so that another VM takes over."""
OBSTRUCTED_PLATFORM_S = 5.0
"""The same for reports. It is longer, because a platform that is down is down for the next holder too."""
MAX_COUNTED = 1000
"""Maximum number of windows that one gap adds to the metric of missed windows."""
MAX_NAMED_VMS = 20
"""Maximum number of VMs that a log line names."""

_log = logs.part("usage")


class Reporter:
    """Finalises and sends the windows while this VM holds the duty.

    Args:
        claims: Claims of the duties.
        windows: The finalised windows.
        collected: The counts that VMs have sent to this one.
        time: The true time.
        state: What this VM knows about the duty.
        bounds: Bounds of usage reports.
        platform: Client of the platform's API.
        vm: Name of this VM.
        members: Returns the names of all VMs.
        count: Counts a metric; called with its name, and its labels as keywords.
    """

    def __init__(
        self,
        claims: duty_claims.DutyClaims,
        windows: finalised_windows.FinalisedWindows,
        collected: collection.Collection,
        time: agreed_time.AgreedTime,
        state: duty_state.DutyState,
        bounds: settings.UsageReports,
        platform: http.HttpClient,
        *,
        vm: str,
        members: Callable[[], list[str]],
        count: Callable[..., None],
    ):
        self._claims = claims
        self._windows = windows
        self._collection = collected
        self._time = time
        self._state = state
        self._bounds = bounds
        self._platform = platform
        self._vm = vm
        self._members = members
        self._count = count
        self._timeout_s = min(CALL_TIMEOUT_S, CALL_TIMEOUT_SHARE * bounds.lease_s)
        self._acts_from = float("inf")
        self._first_window = 0
        self._store_fails_since: float | None = None
        self._platform_fails_since: float | None = None
        self._store_retry_at = self._platform_retry_at = float("-inf")

    def begin(self) -> None:
        """Begin to act, once the holder before may not act any more."""
        self._acts_from = clock.now() + self._bounds.lease_s
        self._store_fails_since = self._platform_fails_since = None
        self._store_retry_at = self._platform_retry_at = float("-inf")

    async def step(self) -> str:
        """Finalise and send the windows that are due; return why this VM has lost the duty, or an empty string."""
        if clock.now() < self._acts_from:
            return self._check_claim()
        lost = ""
        if clock.now() >= self._store_retry_at:
            try:
                lost = await self._finalise_due()
                self._store_fails_since = None
            except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                self._store_retry_at = clock.now() + RETRY_DELAY_S
                self._store_fails_since = self._store_fails_since or clock.now()
                _log.bind(generation=self._state.generation).warning("windows were not finalised: {}", error)
        lost = lost or await self._send_reports()
        self._state.obstructed = not lost and self._is_obstructed()
        return lost

    def _is_obstructed(self) -> bool:
        now = clock.now()
        return (self._store_fails_since is not None and now - self._store_fails_since >= OBSTRUCTED_STORE_S) or (
            self._platform_fails_since is not None and now - self._platform_fails_since >= OBSTRUCTED_PLATFORM_S
        )

    def _check_claim(self) -> str:
        """Return which VM has claimed the duty since, as far as this VM knows, or an empty string."""
        latest = self._claims.latest(usage_duty.DUTY)
        if latest is not None and latest.generation > (self._state.generation or 0):
            return f"{latest.holder} has claimed the duty"
        return ""

    async def _finalise_due(self) -> str:
        """Write the windows that are due to the store; return why this VM has lost the duty, or an empty string.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The store sent a malformed record.
        """
        lost = self._check_claim()
        if lost:
            return lost
        now = self._time.now()
        due = usage_windows.choose_due(
            self._progress(now), now, self._bounds.window_s, self._bounds.late_s, self._find_missing
        )
        if not due:
            return ""
        contents = {}
        for item in due:
            if item.source is usage_windows.Source.COUNTS:
                contents[item.window] = self._collection.counts(item.window)
            elif item.source is usage_windows.Source.EARLIER:
                contents[item.window] = self._state.earlier[item.window]
        first, last = self._windows.record.last + 1, due[-1].window
        # A conflict with an earlier write of this VM, whose answer was lost, leaves the duty with this VM.
        if not await self._windows.finalise(last, contents):
            return "" if await self._windows.confirm() else "the record of windows was replaced"
        self._collection.discard_through(last)
        self._state.earlier.clear()
        self._state.learn(last, -1, last + 1)
        self._log_due(first, due, contents)
        return ""

    def _progress(self, now: float) -> usage_windows.Progress:
        """Return the state of the windows.

        The first window ever reported is the first that has counts, or that in which the first holder begins to act.
        """
        last = self._windows.record.last
        if last < 0:
            self._first_window = self._first_window or true_time.window_at(now, self._bounds.window_s)
            last = min([self._first_window, *self._collection.windows(), *self._state.earlier]) - 1
            last = max(last, self._state.reported)
        return usage_windows.Progress(last, self._state.finalised, self._state.reported, self._state.earlier)

    def _find_missing(self, window: int) -> tuple[str, ...]:
        return self._collection.missing(window, self._members())

    def _log_due(self, first: int, due: list[usage_windows.DueWindow], contents: finalised_windows.Contents) -> None:
        for item in due:
            log = _log.bind(window=item.window, generation=self._state.generation, reason=item.reason)
            if item.source is usage_windows.Source.NONE:
                if item.reason:
                    log.warning("usage windows {} to {} are not reported", first, item.window)
                    for _ in range(min(item.window - first + 1, MAX_COUNTED) if first > 0 else 0):
                        self._count("usage_windows_missed", reason=item.reason)
            else:
                counts = contents[item.window]
                log = log.bind(organisations=len(counts), requests=sum(counts.values()))
                if item.missing:
                    log.bind(missing=item.missing[:MAX_NAMED_VMS], left_out=len(item.missing)).warning(
                        "usage window finalised without the counts of {} VMs", len(item.missing)
                    )
                else:
                    log.info("usage window finalised")
            first = item.window + 1

    async def _send_reports(self) -> str:
        """Send the finalised windows; return why this VM has lost the duty, or an empty string."""
        for window in sorted(self._windows.record.windows):
            if clock.now() < self._platform_retry_at:
                return ""
            lost = self._check_claim()
            if lost:
                return lost
            if not self._may_send():
                if clock.now() - self._windows.confirmed_at < self._bounds.lease_s:
                    return ""
                try:
                    if not await self._windows.confirm():
                        return "the record of windows was replaced"
                except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                    _log.bind(window=window).warning("duty was not confirmed, report not sent: {}", error)
                    self._platform_retry_at = clock.now() + RETRY_DELAY_S
                    return ""
            lost = await self._send_report(window)
            if lost:
                return lost
            await asyncio.sleep(2 / self._bounds.calls_per_s)
        left = self._windows.record.windows
        reported = min(left) - 1 if left else self._windows.record.last
        self._state.learn(-1, reported, self._windows.record.last + 1)
        return ""

    def _may_send(self) -> bool:
        return usage_windows.may_send(clock.now(), self._windows.confirmed_at, self._bounds.lease_s, self._timeout_s)

    async def _send_report(self, window: int) -> str:
        """Send the report of a window; return why this VM has lost the duty, or an empty string."""
        counts, generation = self._windows.record.windows[window], self._state.generation
        call = calls.usage_call(window, counts, self._vm, generation)
        log = _log.bind(window=window, generation=generation)
        try:
            response = await self._platform.request(
                call.method, call.path, body=call.body, headers=call.headers, timeout_s=self._timeout_s
            )
        except errors.HttpUnavailableError as error:
            return self._note_failure(log, "no_answer", f"no answer: {error}")
        if response.status == objects.CONFLICT:
            self._count("usage_reports", result="refused")
            return f"report of window {window} refused, a higher generation number was seen: {response.body[:200]!r}"
        if response.status != objects.OK:
            return self._note_failure(log, "rejected", f"status {response.status}")
        self._platform_fails_since = None
        self._windows.mark_reported(window)
        delay_s = self._time.now() - true_time.window_end(window, self._bounds.window_s)
        is_late = delay_s > self._bounds.late_s
        self._count("usage_reports", result="late" if is_late else "accepted")
        if is_late:
            self._count("usage_windows_missed", reason="late")
        log.bind(seconds=round(delay_s, 2)).info("usage report accepted")
        return ""

    def _note_failure(self, log, result: str, reason: str) -> str:
        self._count("usage_reports", result=result)
        self._platform_fails_since = self._platform_fails_since or clock.now()
        self._platform_retry_at = clock.now() + RETRY_DELAY_S
        log.bind(reason=reason).warning("usage report was not accepted, sending it again")
        return ""
