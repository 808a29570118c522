"""Keep a VM's own granted tokens of one organisation, and estimate its demand."""

import dataclasses
import math

from currantlead.admission import token_bucket

STEADY_RATE = 20.0
"""Requests per second from which a VM asks ahead; below, tokens held in advance would mostly expire unused."""
AHEAD_S = 0.1
"""Demand, in seconds, that a VM holds in advance."""
IDLE_S = 0.3
"""Age at which unused tokens go back to the owner, well before they expire."""
_MEMORY_S = 1.0


@dataclasses.dataclass(slots=True)
class Part:
    """Hold the rest of one grant.

    Attributes:
        owner: VM that granted it.
        number: Number of the grant.
        amount: Granted amount.
        asked: Clock reading before the VM asked.
        expires: Clock reading from which it must not be spent.
        spent: Amount spent here.
        reported: Amount that the owner was told.
    """

    owner: str
    number: int
    amount: int
    asked: float
    expires: float
    spent: int = 0
    reported: int = 0

    @property
    def rest(self) -> int:
        """Return the unspent amount."""
        return self.amount - self.spent


class Meter:
    """Estimate events per second with an exponentially fading count."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._seen = -math.inf

    def count(self, now: float) -> None:
        """Count one event."""
        self._rate = self.rate(now) + 1 / _MEMORY_S
        self._seen = now

    def rate(self, now: float) -> float:
        """Return the estimated events per second."""
        return self._rate * math.exp((self._seen - now) / _MEMORY_S)


class Cache:
    """Hold granted tokens until they are spent, expire or go back."""

    def __init__(self) -> None:
        self.parts: list[Part] = []
        self.demand = Meter()

    def add(self, owner: str, number: int, amount: int, asked: float, lifetime_s: float) -> None:
        """Add a grant.

        Args:
            owner: VM that granted it.
            number: Number of the grant.
            amount: Granted amount.
            asked: Clock reading taken before the request was sent; the lifetime starts here.
            lifetime_s: Lifetime that the owner allows.
        """
        expires = asked + min(lifetime_s, token_bucket.GRANT_LIFETIME_S)
        self.parts.append(Part(owner, number, amount, asked, expires))

    def available(self, now: float) -> int:
        """Return the amount that may be spent now."""
        return sum(part.rest for part in self.parts if part.expires > now)

    def take(self, now: float) -> bool:
        """Spend one token; return False and spend nothing if there is less."""
        if self.available(now) < token_bucket.TOKEN:
            return False
        missing = token_bucket.TOKEN
        for part in sorted(self.parts, key=lambda part: part.expires):
            if part.expires > now and missing > 0:
                amount = min(part.rest, missing)
                part.spent += amount
                missing -= amount
        return True

    def wanted(self, waiting: int, now: float, most_ahead: int) -> int:
        """Return the amount to ask for.

        Args:
            waiting: Requests that wait for a token.
            now: Clock reading.
            most_ahead: Tokens that the VM may hold in advance.

        Returns:
            What the waiting requests lack, plus demand of the near future if it is steady.
        """
        ahead = self._ahead(now, most_ahead)
        return max(0, (waiting + ahead) * token_bucket.TOKEN - self.available(now))

    def is_low(self, now: float, most_ahead: int) -> bool:
        """Tell whether to ask ahead now: less than half of the tokens to hold is left."""
        return self.available(now) < self._ahead(now, most_ahead) * token_bucket.TOKEN // 2

    def _ahead(self, now: float, most_ahead: int) -> int:
        demand = self.demand.rate(now)
        return min(most_ahead, math.ceil(demand * AHEAD_S)) if demand >= STEADY_RATE else 0

    def reports(self, owner: str) -> list[tuple[int, int]]:
        """Return (grant, whole amount spent) of each grant of an owner with unreported spending."""
        found = []
        for part in self.parts:
            if part.owner == owner and part.spent > part.reported:
                part.reported = part.spent
                found.append((part.number, part.spent))
        self.parts = [part for part in self.parts if part.rest or part.spent > part.reported]
        return found

    def owners(self) -> set[str]:
        """Return the owners that have something to be told."""
        return {part.owner for part in self.parts if part.spent > part.reported}

    def remove_idle(self, now: float, idle_s: float = IDLE_S) -> list[Part]:
        """Remove and return the parts to give back; a removed part can no longer be spent."""
        idle = [part for part in self.parts if part.rest and now - part.asked >= idle_s]
        self.parts = [part for part in self.parts if part not in idle]
        return idle
