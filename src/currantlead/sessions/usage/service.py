"""Usage reports of one VM: its counts, their exchange, and the duty of reporting them."""

from collections.abc import Callable

from currantlead import timers
from currantlead.peers import network
from currantlead.sessions import clock, metric_registry, settings
from currantlead.sessions.shared import duty_claims, http, store
from currantlead.sessions.usage import (
    agreed_time,
    collection,
    counts,
    duty,
    duty_state,
    exchange,
    finalised_windows,
    report,
)


class UsageService:
    """Own the parts of usage reports.

    Args:
        config: The settings of this VM.
        object_store: The store.
        claims: Claims of the duties.
        peers: Streams to the other VMs.
        metrics: Metrics of this VM.
        members: Returns the names of all VMs.
        responsive: Returns the names of the VMs that are not down.
        is_store_reachable: Returns whether this VM's copies of the store are fresh.
        read_wall: Reads the wall clock.

    Attributes:
        counts: The counts of this VM.
        state: What this VM knows about the duty.
    """

    def __init__(
        self,
        config: settings.SessionSettings,
        object_store: store.Store,
        claims: duty_claims.DutyClaims,
        peers: network.Network,
        metrics: metric_registry.MetricRegistry,
        *,
        members: Callable[[], list[str]],
        responsive: Callable[[], list[str]],
        is_store_reachable: Callable[[], bool],
        read_wall: Callable[[], float] = clock.wall,
    ):
        bounds = config.usage_reports
        time = agreed_time.AgreedTime(read_wall)
        self.state = duty_state.DutyState()
        self.counts = counts.UsageCounts(time, bounds.window_s)
        collected = collection.Collection()
        windows = finalised_windows.FinalisedWindows(object_store)
        self._exchange = exchange.Exchange(
            peers,
            self.state,
            claims,
            self.counts,
            collected,
            time,
            windows,
            window_s=bounds.window_s,
            members=members,
            responsive=responsive,
        )
        self._platform = http.HttpClient(config.promotions)
        reporter = report.Reporter(
            claims,
            windows,
            collected,
            time,
            self.state,
            bounds,
            self._platform,
            vm=config.vm,
            members=members,
            count=metrics.count,
        )
        self._duty = duty.UsageDuty(
            claims,
            windows,
            self._exchange,
            reporter,
            time,
            self.state,
            bounds,
            vm=config.vm,
            members=members,
            responsive=responsive,
            is_store_reachable=is_store_reachable,
        )
        metrics.register_gauge("usage_window_last", self._read_last_window)
        metrics.register_gauge("usage_holder", self._read_holder)

    @classmethod
    def from_config(
        cls,
        config: settings.SessionSettings,
        object_store: store.Store,
        claims: duty_claims.DutyClaims,
        peers: network.Network,
        metrics: metric_registry.MetricRegistry,
        **functions: Callable,
    ) -> "UsageService | None":
        """Create the parts, or return None if the settings don't ask for usage reports; see the class."""
        if not config.usage_reports.enabled:
            return None
        return cls(config, object_store, claims, peers, metrics, **functions)

    def subscribe(self, service: timers.Timers) -> None:
        """Subscribe the periodic tasks."""
        service.subscribe("usage counts", exchange.SUBMIT_INTERVAL_S, self.submit)
        service.subscribe("usage duty", duty.CHECK_INTERVAL_S, self.check)

    async def submit(self) -> None:
        """Send this VM's counts; called periodically, and once more before the process ends."""
        await self._exchange.submit()

    async def check(self) -> None:
        """Act as the holder of the duty, or take it over; called periodically."""
        await self._duty.check()

    def leave(self) -> None:
        """Give the duty up, because this VM is shutting down."""
        self.state.leaving = True

    def close(self) -> None:
        """Close the connection to the platform."""
        self._platform.close()

    def _read_last_window(self) -> dict[metric_registry.Labels, float]:
        return {(): float(self.state.reported)} if self.state.reported >= 0 else {}

    def _read_holder(self) -> dict[metric_registry.Labels, float]:
        return {(("vm", self.state.holder),): 1.0} if self.state.holder else {}
