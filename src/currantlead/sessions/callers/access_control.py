"""Authorises sessions and their statements: API keys, routes, configuration confirmation and rate limits."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from currantlead.sessions import clock, metric_registry, model, statements
from currantlead.sessions.callers import token_buckets, token_exchange
from currantlead.sessions.decisions import start_pacing
from currantlead.sessions.shared import configuration_age

STARTUP_WAIT_S = 1.5
"""Maximum wait of a new session for a VM that is still starting; callers give up after 2 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Authenticated identity of a session; the key is checked again before each statement.

    Attributes:
        database: Database that the session was opened for.
        organisation: Name of the organisation; empty for callers without a valid key on anonymous routes.
        key: API key of the caller.
    """

    database: str
    organisation: str
    key: str = dataclasses.field(repr=False)


class AccessControl:
    """Authorises sessions and statements against the configuration in force."""

    def __init__(
        self,
        configuration: Callable[[], model.Configuration],
        confirmed: configuration_age.ConfigurationAge,
        buckets: token_buckets.TokenBuckets,
        exchange: token_exchange.TokenExchange,
        metrics: metric_registry.MetricRegistry,
        start_phase: start_pacing.StartPhase | None = None,
    ):
        self._start_phase = start_phase
        self._configuration = configuration
        self._confirmation = confirmed
        self._buckets = buckets
        self._exchange = exchange
        self._metrics = metrics
        self._started = asyncio.Event()

    def mark_started(self) -> None:
        """Mark the VM as started: configuration and instances are known, so that sessions can be served."""
        self._started.set()

    async def wait_until_started(self) -> None:
        """Wait up to ``STARTUP_WAIT_S`` until the VM, if it is still starting, knows configuration and instances."""
        if not self._started.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STARTUP_WAIT_S):
                    await self._started.wait()

    def authenticate(self, start: statements.Start) -> CallerIdentity | statements.Failure:
        """Authenticate a caller and return its identity, or the reason why the session is refused."""
        keys_allowed = self._confirmation.allows_keys(clock.now())
        route = self._configuration().routes.get(start.database)
        if not keys_allowed and (route is None or not route.anonymous):
            detail = f"the configuration is not confirmed{self._retry_hint(clock.now())}"
            return statements.Failure(statements.Code.BUSY, detail, "unconfirmed")
        if route is None:
            return statements.Failure(statements.Code.UNKNOWN_DATABASE, start.database)
        organisation = self._configuration().organisation_by_key.get(start.key, "")
        if not organisation and not route.anonymous:
            return statements.Failure(statements.Code.UNKNOWN_KEY, "unknown API key")
        return CallerIdentity(start.database, organisation, start.key)

    def _retry_hint(self, now: float) -> str:
        return "" if self._start_phase is None else self._start_phase.retry_hint(now)

    def route(self, database: str) -> model.Route | None:
        """Return the current route of a database, or None."""
        return self._configuration().routes.get(database)

    def check_access(self, identity: CallerIdentity) -> statements.Failure | None:
        """Return the reason why statements of a session may not run now, or None."""
        route = self._configuration().routes.get(identity.database)
        if route is not None and route.anonymous and not identity.organisation:
            return None
        now = clock.now()
        if not self._confirmation.allows_keys(now):
            age_s = self._confirmation.age_s(now)
            detail = f"the configuration was last confirmed {age_s:.1f} s ago{self._retry_hint(now)}"
            return statements.Failure(statements.Code.BUSY, detail, "unconfirmed")
        if self._configuration().organisation_by_key.get(identity.key) != identity.organisation:
            return statements.Failure(statements.Code.UNKNOWN_KEY, "the API key was revoked")
        return None

    async def admit(self, identity: CallerIdentity) -> bool:
        """Count one operation against the organisation's rate limit; return whether it may run."""
        if not identity.organisation:
            return True
        admitted = await self._exchange.admit(identity.organisation)
        result = "admitted" if admitted else "over_rate"
        self._metrics.count("admissions", organisation=identity.organisation, result=result)
        return admitted

    def refund(self, identity: CallerIdentity) -> None:
        """Refund the rate-limit token of an operation that did not run."""
        self._buckets.refund(identity.organisation, clock.now())

    def allowed_regions(self, identity: CallerIdentity, route: model.Route) -> frozenset[str] | None:
        """Return the regions in which statements may run; empty if all are allowed, None if there is none."""
        organisation = self._configuration().organisations.get(identity.organisation)
        limits = [route.regions, organisation.regions if organisation is not None else frozenset()]
        restricted = [regions for regions in limits if regions]
        if not restricted:
            return frozenset()
        return frozenset.intersection(*restricted) or None
