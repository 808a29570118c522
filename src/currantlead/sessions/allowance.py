"""Rates of organisations over all VMs: each VM owns an equal slice, and lends what it does not need.

A token exists once: it accrues in one slice, and a loan is taken from the lender before it is sent. Lost datagrams lose
tokens; nothing creates them. Without peers each VM still has its slice.
"""

import dataclasses
from collections.abc import Mapping

from currantlead import logs
from currantlead.sessions import model

START_SHARE = 0.25
"""Part of the burst that a starting VM has; the VM that it replaces may have spent its whole slice a moment ago."""
LOAN_LIFETIME_S = 1.0
"""Tokens above a slice's own burst are dropped after this time, so that loans do not add up beyond the burst."""

_log = logs.part("allowance")


@dataclasses.dataclass(slots=True)
class Slice:
    """Hold one VM's tokens of an organisation.

    Attributes:
        rate: Tokens per second that accrue here.
        burst: Level at which accrual stops.
        level: Tokens at hand, own and borrowed.
        updated_at: Reading of the last accrual.
        borrowed_until: Reading at which tokens above the burst are dropped.
    """

    rate: float
    burst: float
    level: float
    updated_at: float
    borrowed_until: float = 0.0

    def advance(self, now: float) -> None:
        """Add what accrued since the last call."""
        if self.level > self.burst and now >= self.borrowed_until:
            self.level = self.burst
        if self.level < self.burst:
            self.level = min(self.burst, self.level + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = now

    def take(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        self.advance(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def lend(self, want: float, now: float) -> float:
        """Take up to ``want`` tokens out for another VM and return their number.

        A lender keeps one token if it has several, so that its own next operation does not wait.
        """
        self.advance(now)
        spare = self.level - 1.0 if self.level >= 2.0 else self.level if self.level < 1.0 else 0.0
        amount = max(0.0, min(want, spare))
        self.level -= amount
        return amount

    def borrow(self, amount: float, now: float) -> None:
        """Add tokens that another VM lent."""
        self.advance(now)
        self.level += amount
        self.borrowed_until = now + LOAN_LIFETIME_S


class Allowances:
    """Keep this VM's slices."""

    def __init__(self) -> None:
        self._slices: dict[str, Slice] = {}
        self._organisations: Mapping[str, model.Organisation] = {}
        self._members = 1

    def configure(self, organisations: Mapping[str, model.Organisation], members: int, now: float) -> None:
        """Take new rates or another number of VMs; tokens may be lost by it, never created."""
        self._organisations = organisations
        if members != self._members:
            _log.bind(members=members).info("rates are divided by the number of VMs")
        self._members = max(1, members)
        for name in [name for name in self._slices if name not in organisations]:
            del self._slices[name]
        for name, organisation in organisations.items():
            rate, burst = organisation.rate / self._members, organisation.burst / self._members
            found = self._slices.get(name)
            if found is None:
                self._slices[name] = Slice(rate, burst, burst * START_SHARE, now)
                continue
            found.advance(now)
            if burst < found.burst:
                found.level = min(found.level, burst)
            found.rate, found.burst = rate, burst

    def take(self, organisation: str, now: float) -> bool:
        """Spend one token of an organisation; return whether there was one."""
        found = self._slices.get(organisation)
        return found is not None and found.take(now)

    def give_back(self, organisation: str, now: float) -> None:
        """Return the token of an operation that certainly did not run."""
        found = self._slices.get(organisation)
        if found is not None:
            found.advance(now)
            found.level = min(found.level + 1.0, max(found.burst, found.level))

    def lend(self, organisation: str, want: float, now: float) -> float:
        """Take up to ``want`` tokens out for another VM and return their number."""
        found = self._slices.get(organisation)
        return 0.0 if found is None else found.lend(want, now)

    def borrow(self, organisation: str, amount: float, now: float) -> None:
        """Add tokens that another VM lent."""
        found = self._slices.get(organisation)
        if found is not None:
            found.borrow(amount, now)
