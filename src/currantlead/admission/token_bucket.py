"""Token bucket of one organisation in one failure domain, kept by the VM that owns it.

Amounts are integers in millionths of a token, so that sums of fractions from several domains are exact.
"""

import dataclasses
import math
from collections.abc import Iterator

TOKEN = 1_000_000
"""Amount of one whole token, which admits one request."""
GRANT_LIFETIME_S = 1.0
"""Lifetime of a grant, which the requester counts from before it sent its request."""
OWNER_GRANT_LIFETIME_S = 1.05 * GRANT_LIFETIME_S
"""Lifetime of a grant on the owner's clock; the 5% cover two clocks that drift by 1% in opposite directions."""
MAX_CLOCK_DRIFT = 0.01
"""Maximum clock drift. Accrual is slowed by this fraction; otherwise a fast clock would exceed the rate."""


@dataclasses.dataclass(slots=True)
class Loan:
    """Tokens that the owner of another domain's bucket lent to this one.

    Attributes:
        number: Number of the grant at the lender.
        lender: Name of the lending VM.
        amount: Lent amount.
        expires: Time on the borrower's clock at which the unused amount becomes invalid.
        used: Amount granted to other VMs, moved to the bucket's level or spent on this VM.
        spent: Part of ``used`` that is known to be spent or moved to the level; reported to the lender.
        reported: Amount that has been reported to the lender as spent.
    """

    number: int
    lender: str
    amount: int
    expires: float
    used: int = 0
    spent: int = 0
    reported: int = 0

    @property
    def remaining(self) -> int:
        """Amount that can still be used."""
        return self.amount - self.used


@dataclasses.dataclass(slots=True)
class Grant:
    """Tokens that the owner granted to a requester.

    Attributes:
        number: Number of the grant.
        requester: VM that may spend the tokens.
        amount: Granted amount.
        lifetime_s: Lifetime for the requester, counted from before it sent its request.
        expires: Time on the owner's clock from which the grant counts as spent.
        loan: Loan that the tokens come from, or None.
        spent: Amount that the requester has reported as spent.
    """

    number: int
    requester: str
    amount: int
    lifetime_s: float
    expires: float
    loan: Loan | None = None
    spent: int = 0


class TokenBucket:
    """Token bucket that grants, lends and borrows tokens; ``level + outstanding <= burst`` always holds."""

    def __init__(self, rate: float, burst: int, *, owned_since: float, first_number: int = 1):
        """Create an empty bucket.

        Args:
            rate: Tokens per second, for this domain's share.
            burst: Capacity of the bucket, for this domain's share.
            owned_since: Time at which this VM became the owner. No tokens accrue for one grant lifetime from then,
                because grants of the previous owner may still be valid.
            first_number: Number of the first grant; a random one distinguishes the grants of successive owners.
        """
        self.rate = rate
        self.burst = burst
        self.level = 0
        self.outstanding = 0
        self.loans: list[Loan] = []
        self._accrued_until = owned_since + OWNER_GRANT_LIFETIME_S
        self._fraction = 0.0
        self._grants: dict[int, Grant] = {}
        self._next_number = first_number

    def configure(self, rate: float, burst: int, now: float) -> None:
        """Set rate and burst; tokens above the new burst are lost, and none are created."""
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self.level = max(0, min(self.level, self.burst - self.outstanding))

    def advance(self, now: float) -> None:
        """Remove expired grants and loans, and add the tokens that accrued since the last call."""
        for grant in [grant for grant in self._grants.values() if grant.expires <= now]:
            self._close_grant(grant)
        self.loans = [loan for loan in self.loans if loan.expires > now]
        elapsed = now - self._accrued_until
        if elapsed <= 0:
            return
        self._accrued_until = now
        accrued = self._fraction + elapsed * self.rate * (1 - MAX_CLOCK_DRIFT) * TOKEN
        room = self.room
        self._fraction = 0.0 if accrued >= room else accrued % 1
        self.level += min(int(accrued), room)

    @property
    def has_grants(self) -> bool:
        """Whether any grant is open; expired ones count until the next ``advance``."""
        return bool(self._grants)

    @property
    def room(self) -> int:
        """Amount that can still be added to the level."""
        return max(0, self.burst - self.level - self.outstanding)

    def available(self, now: float) -> int:
        """Return the amount that can be granted or spent now, loans included."""
        self.advance(now)
        return self.level + sum(loan.remaining for loan in self.loans)

    def take(self, now: float, amount: int = TOKEN) -> bool:
        """Spend tokens on this VM, without a grant.

        Args:
            now: Current time.
            amount: Amount to spend.

        Returns:
            True if the amount was available; otherwise nothing is spent.
        """
        if self.available(now) < amount:
            return False
        for loan, part in self._draw(amount):
            if loan is not None:
                loan.spent += part
        return True

    def grant(self, requester: str, want: int, now: float) -> list[Grant]:
        """Grant tokens to a requester, from loans first because they expire.

        Args:
            requester: Name of the requesting VM.
            want: Requested amount, which adds up to whole tokens with what the requester holds. If less is available,
                the grant is reduced by whole tokens, because the requester could not use a fraction.
            now: Current time.

        Returns:
            One grant for each source of tokens.
        """
        missing = max(0, want - self.available(now))
        amount = want - math.ceil(missing / TOKEN) * TOKEN
        if amount <= 0:
            return []
        return [self._open_grant(requester, part, now, loan) for loan, part in self._draw(amount)]

    def lend(self, requester: str, want: int, level: int, room: int, now: float) -> list[Grant]:
        """Lend tokens of this bucket to the owner of another domain's bucket.

        A borrower without waiting requests gets half of the difference of the levels, because a full bucket accrues
        no tokens.

        Args:
            requester: Name of the borrowing VM.
            want: Amount that the borrower's waiting requests need, or 0 to balance the levels.
            level: Level of the borrower's bucket.
            room: Amount that the borrower can add to its level.
            now: Current time.
        """
        self.advance(now)
        amount = min(want, self.level) if want else min((self.level - level) // 2, room)
        if amount <= 0:
            return []
        self.level -= amount
        return [self._open_grant(requester, amount, now, None)]

    def add_loan(self, loan: Loan, now: float) -> None:
        """Add a loan, unless it expired before it arrived."""
        if loan.expires > now and loan.amount > 0:
            self.loans.append(loan)

    def add_level(self, amount: int, now: float) -> None:
        """Add tokens that the previous owner of the bucket had left; those above the burst are lost."""
        self.advance(now)
        self.level += max(0, min(amount, self.room))

    def absorb_loans(self, now: float) -> None:
        """Move the unused part of loans to the level.

        Until this is reported, the lender counts the tokens as outstanding, so that it does not accrue them again.
        """
        self.advance(now)
        for loan in self.loans:
            part = min(loan.remaining, self.room)
            self.level += part
            loan.used += part
            loan.spent += part

    def collect_loan_reports(self) -> list[Loan]:
        """Return the loans with spent amounts that were not reported, and mark them as reported."""
        unreported = [loan for loan in self.loans if loan.spent > loan.reported]
        for loan in unreported:
            loan.reported = loan.spent
        self.loans = [loan for loan in self.loans if loan.reported < loan.amount]
        return unreported

    def record_spent(self, requester: str, number: int, spent: int) -> None:
        """Record the total amount spent of a grant; repeated and late reports have no effect."""
        grant = self._grants.get(number)
        if grant is None or grant.requester != requester:
            return
        part = min(spent, grant.amount) - grant.spent
        if part <= 0:
            return
        grant.spent += part
        if grant.loan is None:
            self.outstanding -= part
        else:
            grant.loan.spent += part
        if grant.spent == grant.amount:
            del self._grants[number]

    def return_grant(self, requester: str, number: int, spent: int, now: float) -> None:
        """Close a grant and return its unspent tokens to the level or to the loan that they came from."""
        self.advance(now)
        self.record_spent(requester, number, spent)
        grant = self._grants.get(number)
        if grant is None or grant.requester != requester:
            return
        remaining = grant.amount - grant.spent
        self._close_grant(grant)
        if grant.loan is None:
            self.level += min(remaining, self.room)
        else:
            grant.loan.used -= remaining

    def wait_s(self, want: int, now: float, rate: float) -> float:
        """Return the seconds until ``want`` is available if tokens accrue at ``rate``."""
        missing = want - self.available(now)
        return max(0.0, missing / TOKEN / rate) if rate > 0 else 60.0

    def _draw(self, amount: int) -> Iterator[tuple[Loan | None, int]]:
        for loan in self.loans:
            part = min(loan.remaining, amount)
            if part > 0:
                loan.used += part
                amount -= part
                yield loan, part
        if amount > 0:
            self.level -= amount
            yield None, amount

    def _open_grant(self, requester: str, amount: int, now: float, loan: Loan | None) -> Grant:
        lifetime_s = GRANT_LIFETIME_S if loan is None else min(GRANT_LIFETIME_S, loan.expires - now)
        grant = Grant(self._next_number, requester, amount, lifetime_s, now + OWNER_GRANT_LIFETIME_S, loan)
        self._next_number += 1
        self._grants[grant.number] = grant
        if loan is None:
            self.outstanding += amount
        return grant

    def _close_grant(self, grant: Grant) -> None:
        del self._grants[grant.number]
        if grant.loan is None:
            self.outstanding -= grant.amount - grant.spent
