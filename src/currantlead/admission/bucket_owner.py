"""Own the buckets of organisations in this VM's domain, and lend to and borrow from the other domains' owners."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from currantlead import interfaces, logs, timers
from currantlead.admission import rate_shares, token_bucket, token_exchange

LOAN_TIMEOUT_S = 0.15
"""Time for all loans together; a VM that waits for this owner must not take it for unreachable."""
BALANCE_INTERVAL_S = 0.1
BALANCE_PAUSE_S = 0.03
"""Time after the last use that ends a burst."""
BALANCE_MEMORY_S = 5.0
"""Time after the last use for which levels are evened out; an idle organisation costs no frames."""

_log = logs.part("admission")


class Account:
    """Hold the ledger of one organisation while this VM owns it."""

    def __init__(self, name: str):
        self.name = name
        self.ledger: token_bucket.Ledger | None = None
        self.owned_since: float | None = None
        self.borrowing = asyncio.Lock()
        self.used_at = float("-inf")
        self.balanced_at = float("-inf")


class Owner:
    """Answer asks from the ledgers of this VM."""

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        link: token_exchange.Exchange,
        clock: timers.Timers,
        domain: str,
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
    ):
        """Create the owner.

        Args:
            directory: Configuration, views and shares.
            membership: Tells whether this VM is the owner now.
            link: Sends asks to other owners.
            clock: Clock.
            domain: This VM's failure domain.
            spawn: Starts a background task.
        """
        self._directory = directory
        self._membership = membership
        self._exchange = link
        self._clock = clock
        self._domain = domain
        self._spawn = spawn
        self.division = rate_shares.Division(domain)

    def ledger(self, account: Account) -> token_bucket.Ledger | None:
        """Return the ledger if this VM is the owner now; use it before the next await."""
        if not self._membership.owns(account.name):
            account.ledger = None
            return None
        since = self._membership.owned_since(account.name)
        if since is None:
            return None
        if account.ledger is None or account.owned_since != since:
            rate, burst = self.limits(account.name)
            account.ledger = token_bucket.Ledger(rate, burst, owned_since=since, first_number=secrets.randbits(60))
            account.owned_since = since
            _log.info("owns the rate of {} in {} since {:.3f}", account.name, self._domain, since)
        return account.ledger

    def current(self, account: Account) -> token_bucket.Ledger | None:
        """Return the ledger that exists if this VM is still the owner; create none."""
        return None if account.ledger is None else self.ledger(account)

    def is_idle(self, account: Account) -> bool:
        """Tell whether time changes nothing in the account but the accrual, which a later call adds as a whole.

        With tokens outstanding the accrual stops at the bound, and only frequent calls see that: one late call would
        create the tokens of the whole time at once, after the outstanding ones were spent.
        """
        ledger = account.ledger
        if account.borrowing.locked():
            return False
        if ledger is None:
            return True
        used = self._clock.now() - account.used_at
        return not (ledger.has_grants or ledger.loans) and used > BALANCE_MEMORY_S

    def share(self) -> float:
        """Return this domain's part of all rates, from 0 to 1."""
        known = self._directory
        return self.division.limits(known.shares, known.views, self._clock.now(), 1.0, 0.0)[0]

    def limits(self, organisation: str) -> tuple[float, int]:
        """Return this domain's part of an organisation's rate and burst."""
        known = self._directory
        settings = known.configuration.organisations.get(organisation)
        if settings is None:
            return 0.0, 0
        return self.division.limits(known.shares, known.views, self._clock.now(), settings.rate, settings.burst)

    async def give(self, sender: str, account: Account, ask: token_exchange.Ask) -> token_exchange.Given:
        """Answer the ask of another VM."""
        ledger = self.ledger(account)
        if ledger is None:
            return token_exchange.Given(owner=False)
        now = self._clock.now()
        for number, spent in ask.spent:
            ledger.report(sender, number, spent)
        for number, spent in ask.returned:
            ledger.give_back(sender, number, spent, now)
        if ask.loan:
            return self._given(account, ledger.lend(sender, ask.want, ask.level, ask.room, now))
        if ledger.available(now) < ask.need:
            await self.borrow(account, ask.need)
            ledger = self.ledger(account)
            if ledger is None:
                return token_exchange.Given(owner=False)
        grants = ledger.grant(sender, ask.want, self._clock.now()) if ask.want else []
        account.used_at = self._clock.now()
        return self._given(account, grants)

    def _given(self, account: Account, grants: list[token_bucket.Grant]) -> token_exchange.Given:
        given = tuple((grant.number, grant.amount, grant.lifetime_s) for grant in grants)
        return token_exchange.Given(True, given, self.wait_s(account))

    def wait_s(self, account: Account) -> float:
        """Return the seconds until one more token is expected."""
        ledger = self.ledger(account)
        settings = self._directory.configuration.organisations.get(account.name)
        if ledger is None or settings is None:
            return token_bucket.GRANT_LIFETIME_S
        # The other domains' tokens can be borrowed, so the whole rate counts unless a domain is cut off.
        rate = ledger.rate if self._exchange.isolated() else settings.rate
        return ledger.wait_s(token_bucket.TOKEN, self._clock.now(), rate)

    async def borrow(self, account: Account, want: int) -> None:
        """Ask the owners of other domains for what is missing, one after the other."""
        async with account.borrowing:
            end = self._clock.now() + LOAN_TIMEOUT_S
            for lender in self._exchange.owners(account.name):
                ledger, asked = self.ledger(account), self._clock.now()
                if ledger is None or asked >= end:
                    break
                missing = want - ledger.available(asked)
                if (want and missing <= 0) or self._exchange.avoids(lender):
                    continue
                missing = max(0, missing)
                ask = token_exchange.Ask(account.name, missing, loan=True, level=ledger.level, room=ledger.room)
                given = await self._exchange.send(lender, ask, end - asked)
                self._add_loans(account, ledger, lender, given, asked)
        self.report_loans(account)

    def _add_loans(
        self,
        account: Account,
        asked_for: token_bucket.Ledger,
        lender: str,
        given: token_exchange.Given | None,
        asked: float,
    ) -> None:
        ledger = self.ledger(account)
        if ledger is not asked_for or given is None:
            return
        for number, amount, lifetime_s in given.grants:
            expires = asked + min(lifetime_s, token_bucket.GRANT_LIFETIME_S)
            ledger.borrow(token_bucket.Loan(number, lender, amount, expires), self._clock.now())

    def balance(self, account: Account) -> None:
        """Fetch tokens from fuller domains in the background.

        A full bucket stops accruing, so the organisation loses rate while its tokens are spread unevenly. During a
        burst nothing is moved, because tokens on their way cannot be spent.
        """
        ledger, now = self.ledger(account), self._clock.now()
        if ledger is None or account.borrowing.locked():
            return
        # A quarter of a token accrues in this time; evening out more often moves too little.
        interval = max(BALANCE_INTERVAL_S, 0.25 / ledger.rate if ledger.rate > 0 else BALANCE_MEMORY_S)
        if now - account.balanced_at < interval:
            return
        ledger.advance(now)
        recent = now - account.used_at
        if ledger.room < token_bucket.TOKEN // 4 or (recent < BALANCE_PAUSE_S and now - account.balanced_at < 0.5):
            return
        if recent > BALANCE_MEMORY_S:
            return
        account.balanced_at = now
        self._spawn(self.borrow(account, 0))

    def report_loans(self, account: Account) -> None:
        """Move unused loans to the level, and tell the lenders what was used."""
        ledger = self.ledger(account)
        if ledger is None:
            return
        ledger.absorb(self._clock.now())
        for loan in ledger.loan_reports():
            self._exchange.tell(loan.lender, token_exchange.Ask(account.name, spent=((loan.number, loan.spent),)))
