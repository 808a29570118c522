"""Rates of organisations over all VMs: some VMs of each domain own equal slices of a rate, and lend what they have.

A token exists once: it accrues in one slice, and a loan is taken from the lender before it is sent. Lost datagrams lose
tokens; nothing creates them. Without peers each VM still has its slice.
"""

import dataclasses
import hashlib
import math
from collections.abc import Mapping, Sequence

from currantlead import logs
from currantlead.sessions import model, settings

START_SHARE = 0.25
"""Part of the burst that a starting VM has; the VM that it replaces may have spent its whole slice a moment ago."""
TOLERANCE_SHARE = 0.3
"""Part of the tolerance in counting that is added to the burst: tokens lie on several VMs, and those on a VM without
callers are not at hand where they are needed. The rest covers restarts and changes of the slices."""
OWNERS_NEAR = 2
"""Most owners of a low rate in each failure domain: slices far below a token a second leave every operation waiting for
loans of many VMs, and with one owner its death would cost the domain's whole part."""
OWNED_RATE = 4.0
"""Tokens a second that one slice of a higher rate has at least."""
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
        """Take up to ``want`` tokens out for another VM and return their number."""
        self.advance(now)
        amount = max(0.0, min(want, self.level))
        self.level -= amount
        return amount

    def borrow(self, amount: float, now: float) -> None:
        """Add tokens that another VM lent."""
        self.advance(now)
        self.level += amount
        self.borrowed_until = now + LOAN_LIFETIME_S


def owners_of(organisation: model.Organisation, members: Sequence[model.Member]) -> list[model.Member]:
    """Return the VMs that own slices of a rate: some in each failure domain, or all where there are few."""
    domains: dict[str, list[model.Member]] = {}
    for member in members:
        domains.setdefault(member.domain, []).append(member)
    count = max(OWNERS_NEAR, math.ceil(organisation.rate / OWNED_RATE / max(1, len(domains))))

    def weight(member: model.Member) -> bytes:
        return hashlib.blake2b(f"{organisation.name}/{member.name}".encode(), digest_size=8).digest()

    if len(members) <= count * len(domains):
        return list(members)
    return [member for near in domains.values() for member in sorted(near, key=weight)[:count]]


class Allowances:
    """Keep this VM's slices.

    Args:
        vm: Name of this VM.
        bounds: Promised windows and tolerances.
    """

    def __init__(self, vm: str, bounds: settings.Bounds) -> None:
        self._vm = vm
        self._bounds = bounds
        self._slices: dict[str, Slice] = {}
        self._owners: dict[str, list[model.Member]] = {}
        self._members = 0

    def configure(
        self, organisations: Mapping[str, model.Organisation], members: Sequence[model.Member], now: float
    ) -> None:
        """Take new rates or other VMs; tokens may be lost by it, never created."""
        if len(members) != self._members:
            self._members = len(members)
            _log.bind(members=self._members).info("rates are divided anew")
        for name in [name for name in self._slices if name not in organisations]:
            del self._slices[name]
        self._owners = {name: owners_of(organisation, members) for name, organisation in organisations.items()}
        for name, organisation in organisations.items():
            owners = self._owners[name]
            share = 1 / len(owners) if any(owner.name == self._vm for owner in owners) else 0.0
            rate, burst = organisation.rate * share, self._burst(organisation) * share
            found = self._slices.get(name)
            if found is None:
                self._slices[name] = Slice(rate, burst, burst * START_SHARE, now)
                continue
            found.advance(now)
            if burst < found.burst:
                found.level = min(found.level, burst)
            found.rate, found.burst = rate, burst

    def _burst(self, organisation: model.Organisation) -> float:
        bounds = self._bounds
        window = organisation.rate * bounds.rate_window_s + organisation.burst
        return organisation.burst + TOLERANCE_SHARE * (bounds.rate_excess * window + bounds.rate_slack)

    def describe(self, organisation: str) -> dict[str, float]:
        """Return what a refusal was decided on: tokens at hand here, the slice's rate a second and its burst."""
        found = self._slices.get(organisation)
        if found is None:
            return {}
        return {"tokens": round(found.level, 2), "rate_here": round(found.rate, 2), "burst_here": round(found.burst, 1)}

    def lenders(self, organisation: str) -> list[model.Member]:
        """Return the other VMs that own slices of an organisation's rate."""
        return [owner for owner in self._owners.get(organisation, ()) if owner.name != self._vm]

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
