"""Keep the owner's ledger of one organisation's tokens in one failure domain.

Amounts are integers in millionths of a token, so that sums of fractions from several domains are exact.
"""

import dataclasses
import math
from collections.abc import Iterator

TOKEN = 1_000_000
"""Amount that admits one request."""
GRANT_LIFETIME_S = 1.0
"""Lifetime of a grant, counted by the requester from before it asked."""
OWNER_LIFETIME_S = 1.05 * GRANT_LIFETIME_S
"""Lifetime that the owner counts; 5% covers two clocks that drift by 1% in opposite directions."""
DRIFT = 0.01
"""Largest drift of a clock. Accrual is slower by this part, or a fast clock would create tokens above the rate."""


@dataclasses.dataclass(slots=True)
class Loan:
    """Hold tokens that another domain's owner granted to this owner.

    Attributes:
        number: Number of the lender's grant.
        lender: VM of the lender.
        amount: Granted amount.
        expires: Reading of the borrower's clock at which the rest is void.
        used: Amount passed on, absorbed or spent here.
        spent: Amount that is certainly spent or absorbed, to be reported to the lender.
        reported: Amount that the lender was told.
    """

    number: int
    lender: str
    amount: int
    expires: float
    used: int = 0
    spent: int = 0
    reported: int = 0

    @property
    def rest(self) -> int:
        """Return the amount that can still be used."""
        return self.amount - self.used


@dataclasses.dataclass(slots=True)
class Grant:
    """Hold tokens given to a requester.

    Attributes:
        number: Number of the grant.
        requester: VM that may spend it.
        amount: Granted amount.
        lifetime_s: Lifetime for the requester, from before it asked.
        expires: Reading of the owner's clock after which it counts as spent.
        loan: The loan that it is part of, or None.
        spent: Reported amount.
    """

    number: int
    requester: str
    amount: int
    lifetime_s: float
    expires: float
    loan: Loan | None = None
    spent: int = 0


class Ledger:
    """Count the tokens of one bucket: ``level + outstanding <= burst`` holds at all times."""

    def __init__(self, rate: float, burst: int, *, owned_since: float, first_number: int = 1):
        """Create an empty ledger.

        Args:
            rate: Tokens per second of this domain's share.
            burst: Amount of this domain's share.
            owned_since: Clock reading at which ownership became active. No token is created for one grant lifetime
                from then, because grants of the previous owner may still be valid.
            first_number: Number of the first grant; a random one keeps apart the grants of successive owners.
        """
        self.rate = rate
        self.burst = burst
        self.level = 0
        self.outstanding = 0
        self.loans: list[Loan] = []
        self._accrued_until = owned_since + OWNER_LIFETIME_S
        self._fraction = 0.0
        self._grants: dict[int, Grant] = {}
        self._next_number = first_number

    def configure(self, rate: float, burst: int, now: float) -> None:
        """Change rate and burst at once; tokens may be lost by it, never created."""
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self.level = max(0, min(self.level, self.burst - self.outstanding))

    def advance(self, now: float) -> None:
        """Drop expired grants and loans, and add the tokens accrued since the last call."""
        for grant in [grant for grant in self._grants.values() if grant.expires <= now]:
            self._close(grant)
        self.loans = [loan for loan in self.loans if loan.expires > now]
        elapsed = now - self._accrued_until
        if elapsed <= 0:
            return
        self._accrued_until = now
        created = self._fraction + elapsed * self.rate * (1 - DRIFT) * TOKEN
        room = self.room
        self._fraction = 0.0 if created >= room else created % 1
        self.level += min(int(created), room)

    @property
    def has_grants(self) -> bool:
        """Tell whether any grant is open; expired ones count until the next ``advance``."""
        return bool(self._grants)

    @property
    def room(self) -> int:
        """Return the amount that may still be added to the level."""
        return max(0, self.burst - self.level - self.outstanding)

    def available(self, now: float) -> int:
        """Return what can be granted or spent now, loans included."""
        self.advance(now)
        return self.level + sum(loan.rest for loan in self.loans)

    def take(self, now: float, amount: int = TOKEN) -> bool:
        """Spend tokens here at once, without a grant.

        Args:
            now: Clock reading.
            amount: How much to spend.

        Returns:
            Whether there was enough; nothing is spent otherwise.
        """
        if self.available(now) < amount:
            return False
        for loan, part in self._draw(amount):
            if loan is not None:
                loan.spent += part
        return True

    def grant(self, requester: str, want: int, now: float) -> list[Grant]:
        """Give tokens to a requester, from loans first because they expire.

        Args:
            requester: VM that asks.
            want: Amount that makes whole tokens with what the requester holds. A smaller grant is less by whole
                tokens, since a fraction would lie unused at the requester.
            now: Clock reading.

        Returns:
            The grants; one for each source of tokens.
        """
        missing = max(0, want - self.available(now))
        amount = want - math.ceil(missing / TOKEN) * TOKEN
        if amount <= 0:
            return []
        return [self._open(requester, part, now, loan) for loan, part in self._draw(amount)]

    def lend(self, requester: str, want: int, level: int, room: int, now: float) -> list[Grant]:
        """Give tokens of this domain to another domain's owner.

        A borrower without waiting requests gets half of the difference of the levels, because tokens that accrue in a
        full bucket are lost.

        Args:
            requester: VM of the borrower.
            want: Amount that the borrower's requests need; 0 to even out the levels.
            level: Borrower's level.
            room: What the borrower can add to its level.
            now: Clock reading.
        """
        self.advance(now)
        amount = min(want, self.level) if want else min((self.level - level) // 2, room)
        if amount <= 0:
            return []
        self.level -= amount
        return [self._open(requester, amount, now, None)]

    def borrow(self, loan: Loan, now: float) -> None:
        """Add a loan, unless it expired on its way."""
        if loan.expires > now and loan.amount > 0:
            self.loans.append(loan)

    def absorb(self, now: float) -> None:
        """Move unused loans to the level. The lender counts them until told, so no token exists twice unnoticed."""
        self.advance(now)
        for loan in self.loans:
            part = min(loan.rest, self.room)
            self.level += part
            loan.used += part
            loan.spent += part

    def loan_reports(self) -> list[Loan]:
        """Return the loans with spending that the lender was not told, and mark them as told."""
        found = [loan for loan in self.loans if loan.spent > loan.reported]
        for loan in found:
            loan.reported = loan.spent
        self.loans = [loan for loan in self.loans if loan.reported < loan.amount]
        return found

    def report(self, requester: str, number: int, spent: int) -> None:
        """Take note of the whole amount spent of a grant; repeated and late reports change nothing."""
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

    def give_back(self, requester: str, number: int, spent: int, now: float) -> None:
        """Close a grant; what the requester did not spend returns to where it came from."""
        self.advance(now)
        self.report(requester, number, spent)
        grant = self._grants.get(number)
        if grant is None or grant.requester != requester:
            return
        rest = grant.amount - grant.spent
        self._close(grant)
        if grant.loan is None:
            self.level += min(rest, self.room)
        else:
            grant.loan.used -= rest

    def wait_s(self, want: int, now: float, rate: float) -> float:
        """Return the seconds until ``want`` is available at a rate."""
        missing = want - self.available(now)
        return max(0.0, missing / TOKEN / rate) if rate > 0 else 60.0

    def _draw(self, amount: int) -> Iterator[tuple[Loan | None, int]]:
        for loan in self.loans:
            part = min(loan.rest, amount)
            if part > 0:
                loan.used += part
                amount -= part
                yield loan, part
        if amount > 0:
            self.level -= amount
            yield None, amount

    def _open(self, requester: str, amount: int, now: float, loan: Loan | None) -> Grant:
        lifetime_s = GRANT_LIFETIME_S if loan is None else min(GRANT_LIFETIME_S, loan.expires - now)
        grant = Grant(self._next_number, requester, amount, lifetime_s, now + OWNER_LIFETIME_S, loan)
        self._next_number += 1
        self._grants[grant.number] = grant
        if loan is None:
            self.outstanding += amount
        return grant

    def _close(self, grant: Grant) -> None:
        del self._grants[grant.number]
        if grant.loan is None:
            self.outstanding -= grant.amount - grant.spent
