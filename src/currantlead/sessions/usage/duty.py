"""Holder of the duty of usage reports: takes the duty over when it is this VM's turn, and acts while it holds it."""

from collections.abc import Callable

from currantlead import errors, logs
from currantlead.sessions import clock, settings
from currantlead.sessions.decisions import true_time, usage_duty
from currantlead.sessions.shared import duty_claims
from currantlead.sessions.usage import agreed_time, duty_state, exchange, finalised_windows, report

CHECK_INTERVAL_S = 0.25
"""Interval at which windows are finalised and sent, and the holder is checked."""
RETRY_DELAY_S = 1.0
"""Pause after an attempt to take the duty over that failed."""
UNCONFIRMED_DELAY_S = 2.0
"""Pause after the others have not confirmed that the holder is silent; each attempt asks all VMs."""

_log = logs.part("usage")


class UsageDuty:
    """Takes the duty over, and runs the reporter while this VM holds it.

    Args:
        claims: Claims of the duties.
        windows: The finalised windows.
        messages: Exchange with the other VMs.
        reporter: Finalises and sends the windows.
        time: The true time.
        state: What this VM knows about the duty.
        bounds: Bounds of usage reports.
        vm: Name of this VM.
        members: Returns the names of all VMs.
        responsive: Returns the names of the VMs that are not down.
        is_store_reachable: Returns whether this VM's copies of the store are fresh.
    """

    def __init__(
        self,
        claims: duty_claims.DutyClaims,
        windows: finalised_windows.FinalisedWindows,
        messages: exchange.Exchange,
        reporter: report.Reporter,
        time: agreed_time.AgreedTime,
        state: duty_state.DutyState,
        bounds: settings.UsageReports,
        *,
        vm: str,
        members: Callable[[], list[str]],
        responsive: Callable[[], list[str]],
        is_store_reachable: Callable[[], bool],
    ):
        self._claims = claims
        self._windows = windows
        self._exchange = messages
        self._reporter = reporter
        self._time = time
        self._state = state
        self._bounds = bounds
        self._vm = vm
        self._members = members
        self._responsive = responsive
        self._is_store_reachable = is_store_reachable
        self._started_at = clock.now()
        self._due_since: tuple[str, float] | None = None
        self._next_attempt_at = float("-inf")
        self._is_running = False

    async def check(self) -> None:
        """Act as the holder, or take the duty over if that is due; call it every ``CHECK_INTERVAL_S``."""
        if self._is_running:
            return
        self._is_running = True
        try:
            await self._check()
        finally:
            self._is_running = False

    async def _check(self) -> None:
        self._state.follow(self._claims.latest(usage_duty.DUTY), clock.now())
        if self._state.generation is not None:
            lost = "this VM is shutting down" if self._state.leaving else await self._reporter.step()
            if lost:
                self._lose(lost)
            return
        reason = self._due_reason()
        if reason:
            await self._attempt(reason)

    def _lose(self, reason: str) -> None:
        _log.bind(generation=self._state.generation).warning("duty of usage reports lost: {}", reason)
        self._state.generation, self._state.obstructed = None, False
        self._next_attempt_at = clock.now() + RETRY_DELAY_S

    def _due_reason(self) -> str:
        """Return why this VM takes the duty over now, or an empty string.

        Ranks make the other VMs wait for the first, and a VM whose own copies of the store are old waits for them.
        """
        now = clock.now()
        reason = usage_duty.reason_to_take_over(self._observe(now))
        if not reason or self._state.leaving or not self._is_store_reachable():
            self._due_since = None
            return ""
        if self._due_since is None or self._due_since[0] != reason:
            self._due_since = reason, now
        candidates = usage_duty.rank_candidates(self._responsive(), self._state.holder)
        rank = candidates.index(self._vm) if self._vm in candidates else 0
        is_due = now - self._due_since[1] >= usage_duty.delay_s(rank, reason) and now >= self._next_attempt_at
        return reason if is_due else ""

    def _observe(self, now: float) -> usage_duty.Observation:
        state = self._state
        since = state.holder_obstructed_since
        return usage_duty.Observation(
            holder=state.holder,
            is_own=state.holder == self._vm,
            is_member=state.holder in self._members(),
            leaving=state.holder_leaving,
            obstructed_s=now - since if since is not None else 0.0,
            silent_s=now - state.heard_at,
            started_s=now - self._started_at,
            overdue_s=self._overdue_s(now),
        )

    def _overdue_s(self, now: float) -> float:
        """Return for how long the holder should have finalised a window after the last known one."""
        allowed_s = usage_duty.OVERDUE_SHARE * self._bounds.late_s
        if self._state.finalised < 0:
            heard_at = max(self._started_at, self._state.heard_at)
            return now - heard_at - self._bounds.window_s - allowed_s
        return self._time.now() - true_time.window_end(self._state.finalised + 1, self._bounds.window_s) - allowed_s

    async def _attempt(self, reason: str) -> None:
        """Take the duty over, unless others say or the store shows that its holder acts."""
        holder = self._state.holder
        log = _log.bind(holder=holder, reason=reason)
        self._next_attempt_at = clock.now() + RETRY_DELAY_S
        try:
            is_confirmed = reason not in (usage_duty.SILENT, usage_duty.OVERDUE)
            if reason == usage_duty.SILENT:
                is_confirmed = await self._exchange.is_silent_for_others(holder)
            if not is_confirmed and not await self._is_overdue_in_store():
                self._next_attempt_at = clock.now() + UNCONFIRMED_DELAY_S
                log.info("holder of usage reports is left in place, because others hear it or windows are finalised")
                return
            generation = await self._claims.claim(usage_duty.DUTY, self._bounds.lease_s)
            if generation is None:
                log.info("duty of usage reports is held by another VM")
                return
            # The holder before may finalise a window between the read and the write of the first try.
            if not await self._windows.take_over(generation, self._state.reported) and not (
                await self._windows.take_over(generation, self._state.reported)
            ):
                log.info("record of usage windows was replaced by another VM")
                return
        except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
            log.warning("duty of usage reports was not taken over: {}", error)
            return
        self._due_since = None
        self._state.generation = generation
        self._state.follow(self._claims.latest(usage_duty.DUTY), clock.now())
        self._reporter.begin()
        self._exchange.begin_holding()
        log.bind(generation=generation, window=self._windows.record.last).info("duty of usage reports taken over")

    async def _is_overdue_in_store(self) -> bool:
        """Return whether the windows are overdue, also in the store's record.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
            errors.MalformedObjectError: The record is malformed.
        """
        if self._overdue_s(clock.now()) < 0.0:
            return False
        record = await self._windows.read()
        if record is not None:
            self._state.learn(record.last, -1, true_time.window_at(self._time.now(), self._bounds.window_s))
        return self._overdue_s(clock.now()) >= 0.0
