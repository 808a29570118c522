"""Who may open a session, and whether its statements may run now: keys, routes, confirmation and rates."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from currantlead.sessions import allowance, clock, confirmation, loans, measures, model, statements

PREPARE_WAIT_S = 1.5
"""Longest wait of a new session for a VM that has just started; callers give up after 2 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Hold who a caller is. The key is checked again before each statement.

    Attributes:
        database: Database that the session is for.
        organisation: Name of the organisation; empty for callers without a valid key on open routes.
        key: The caller's key.
    """

    database: str
    organisation: str
    key: str = dataclasses.field(repr=False)


class Gate:
    """Answer sessions from the configuration in force."""

    def __init__(
        self,
        configuration: Callable[[], model.Configuration],
        confirmed: confirmation.Confirmation,
        allowances: allowance.Allowances,
        lender: loans.Lender,
        measured: measures.Measures,
    ):
        self._configuration = configuration
        self._confirmation = confirmed
        self._allowances = allowances
        self._lender = lender
        self._measures = measured
        self._prepared = asyncio.Event()

    def prepared(self) -> None:
        """Take note that configuration and instances are known, so that sessions can be served."""
        self._prepared.set()

    async def wait_prepared(self) -> None:
        """Wait a moment for configuration and instances, which a VM that has just started does not know yet."""
        if not self._prepared.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PREPARE_WAIT_S):
                    await self._prepared.wait()

    def open(self, start: statements.Start) -> Grant | statements.Failure:
        """Return what a caller may use, or why it may not."""
        confirmed = self._confirmation.allows_keys(clock.now())
        route = self._configuration().routes.get(start.database)
        if not confirmed and (route is None or not route.anonymous):
            return statements.Failure(statements.Code.BUSY, "configuration is not confirmed")
        if route is None:
            return statements.Failure(statements.Code.UNKNOWN_DATABASE, start.database)
        organisation = self._configuration().organisation_by_key.get(start.key, "")
        if not organisation and not route.anonymous:
            return statements.Failure(statements.Code.UNKNOWN_KEY, "unknown key")
        return Grant(start.database, organisation, start.key)

    def route(self, database: str) -> model.Route | None:
        """Return the route in force for a database, or None."""
        return self._configuration().routes.get(database)

    def refuse(self, grant: Grant) -> statements.Failure | None:
        """Say why a session's statements may not run now, or None."""
        route = self._configuration().routes.get(grant.database)
        if route is not None and route.anonymous and not grant.organisation:
            return None
        now = clock.now()
        if not self._confirmation.allows_keys(now):
            age_s = self._confirmation.age_s(now)
            return statements.Failure(statements.Code.BUSY, f"configuration was confirmed {age_s:.1f} s ago")
        if self._configuration().organisation_by_key.get(grant.key) != grant.organisation:
            return statements.Failure(statements.Code.UNKNOWN_KEY, "the key was withdrawn")
        return None

    async def admit(self, grant: Grant) -> bool:
        """Count one operation against the organisation's rate; return whether it may run."""
        if not grant.organisation:
            return True
        admitted = await self._lender.admit(grant.organisation)
        result = "admitted" if admitted else "over_rate"
        self._measures.count("admissions", organisation=grant.organisation, result=result)
        return admitted

    def give_back(self, grant: Grant) -> None:
        """Return the token of an operation that did not run."""
        self._allowances.give_back(grant.organisation, clock.now())

    def regions(self, grant: Grant, route: model.Route) -> frozenset[str] | None:
        """Return the regions that statements may run in, empty for all, or None if no region is allowed."""
        organisation = self._configuration().organisations.get(grant.organisation)
        sets = [route.regions, organisation.regions if organisation is not None else frozenset()]
        bounded = [regions for regions in sets if regions]
        if not bounded:
            return frozenset()
        return frozenset.intersection(*bounded) or None
