"""Cache of the tokens of one organisation that were granted to this VM, and an estimate of its demand."""

import dataclasses
import math

from currantlead.admission import token_bucket

MIN_PREFETCH_RATE = 20.0
"""Minimum requests per second for prefetching; at a lower rate, prefetched tokens would mostly expire unused."""
PREFETCH_S = 0.1
"""Tokens are prefetched for this many seconds of the demand."""
MAX_IDLE_S = 0.3
"""Age at which unused tokens are returned to the owner, well before they expire."""
_DECAY_S = 1.0


@dataclasses.dataclass(slots=True)
class CachedGrant:
    """Grant that this VM has not used up or has not fully reported.

    Attributes:
        owner: Name of the VM that granted the tokens.
        number: Number of the grant.
        amount: Granted amount.
        requested_at: Time before the request was sent.
        expires: Time from which the tokens must not be spent.
        spent: Amount spent on this VM.
        reported: Amount that has been reported to the owner as spent.
    """

    owner: str
    number: int
    amount: int
    requested_at: float
    expires: float
    spent: int = 0
    reported: int = 0

    @property
    def remaining(self) -> int:
        """Unspent amount."""
        return self.amount - self.spent


class RateEstimator:
    """Estimate of events per second with exponential decay."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = -math.inf

    def record(self, now: float) -> None:
        """Record one event."""
        self._rate = self.rate(now) + 1 / _DECAY_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the estimated events per second."""
        return self._rate * math.exp((self._updated_at - now) / _DECAY_S)


class TokenCache:
    """Granted tokens that are not yet spent, expired or returned."""

    def __init__(self) -> None:
        self.grants: list[CachedGrant] = []
        self.demand = RateEstimator()

    def add(self, owner: str, number: int, amount: int, requested_at: float, lifetime_s: float) -> None:
        """Add a grant.

        Args:
            owner: Name of the VM that granted the tokens.
            number: Number of the grant.
            amount: Granted amount.
            requested_at: Time before the request was sent, at which the lifetime starts.
            lifetime_s: Lifetime set by the owner.
        """
        expires = requested_at + min(lifetime_s, token_bucket.GRANT_LIFETIME_S)
        self.grants.append(CachedGrant(owner, number, amount, requested_at, expires))

    def available(self, now: float) -> int:
        """Return the amount that can be spent now."""
        return sum(grant.remaining for grant in self.grants if grant.expires > now)

    def take(self, now: float) -> bool:
        """Spend one token; return False and spend nothing if less than one is available."""
        if self.available(now) < token_bucket.TOKEN:
            return False
        missing = token_bucket.TOKEN
        for grant in sorted(self.grants, key=lambda grant: grant.expires):
            if grant.expires > now and missing > 0:
                amount = min(grant.remaining, missing)
                grant.spent += amount
                missing -= amount
        return True

    def amount_to_request(self, waiting: int, now: float, max_prefetch: int) -> int:
        """Return the amount to request from an owner.

        Args:
            waiting: Number of requests that wait for a token.
            now: Current time.
            max_prefetch: Maximum number of tokens to prefetch.

        Returns:
            The amount that the waiting requests lack, plus the prefetched amount if the demand is high enough.
        """
        prefetch = self._prefetch_target(now, max_prefetch)
        return max(0, (waiting + prefetch) * token_bucket.TOKEN - self.available(now))

    def needs_prefetch(self, now: float, max_prefetch: int) -> bool:
        """Return whether less than half of the prefetched tokens are left, so that more should be requested."""
        return self.available(now) < self._prefetch_target(now, max_prefetch) * token_bucket.TOKEN // 2

    def _prefetch_target(self, now: float, max_prefetch: int) -> int:
        demand = self.demand.rate(now)
        return min(max_prefetch, math.ceil(demand * PREFETCH_S)) if demand >= MIN_PREFETCH_RATE else 0

    def collect_reports(self, owner: str) -> list[tuple[int, int]]:
        """Return (grant number, total spent) of an owner's grants with unreported amounts; mark them as reported."""
        reports = []
        for grant in self.grants:
            if grant.owner == owner and grant.spent > grant.reported:
                grant.reported = grant.spent
                reports.append((grant.number, grant.spent))
        self.grants = [grant for grant in self.grants if grant.remaining or grant.spent > grant.reported]
        return reports

    def owners_to_report(self) -> set[str]:
        """Return the owners of grants with unreported amounts."""
        return {grant.owner for grant in self.grants if grant.spent > grant.reported}

    def remove_idle(self, now: float, max_idle_s: float = MAX_IDLE_S) -> list[CachedGrant]:
        """Remove and return the grants that are old enough to be returned; their tokens can no longer be spent."""
        idle = [grant for grant in self.grants if grant.remaining and now - grant.requested_at >= max_idle_s]
        self.grants = [grant for grant in self.grants if grant not in idle]
        return idle
