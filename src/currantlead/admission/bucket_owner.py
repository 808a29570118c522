"""Token buckets that this VM owns in its domain, and loans between the owners of different domains."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from currantlead import interfaces, logs, timers
from currantlead.admission import rate_shares, token_bucket, token_exchange

LOAN_TIMEOUT_S = 0.15
"""Timeout of all loans together; a VM that waits for this owner must not consider it unreachable."""
BALANCE_INTERVAL_S = 0.1
BURST_END_S = 0.03
"""A burst of requests ends this long after its last request."""
BALANCE_WINDOW_S = 5.0
"""Levels are balanced for this long after the last request, so that an idle organisation causes no traffic."""

HANDOVER_LIFETIME_S = 5.0
"""Time for which tokens of a former owner are kept until this VM is the owner; a view change takes about 1 s."""

_log = logs.part("admission")


class OwnedBucket:
    """Bucket of one organisation, which exists while this VM owns it.

    Attributes:
        former: The bucket that this VM owned when its planned stop began, until its tokens are handed over.
        handed_over: Tokens from a former owner, with the clock reading until which they may be used.
    """

    def __init__(self, name: str):
        self.name = name
        self.bucket: token_bucket.TokenBucket | None = None
        self.owned_since: float | None = None
        self.borrowing = asyncio.Lock()
        self.used_at = float("-inf")
        self.balanced_at = float("-inf")
        self.former: token_bucket.TokenBucket | None = None
        self.handed_over: tuple[int, float] = (0, float("-inf"))


class BucketOwner:
    """Answers requests for tokens from the buckets that this VM owns."""

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        exchange: token_exchange.TokenExchange,
        clock: timers.Timers,
        domain: str,
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
    ):
        """Create the owner.

        Args:
            directory: Configuration, views and shares.
            membership: Knows whether this VM is the owner.
            exchange: Sends requests to other owners.
            clock: Clock.
            domain: Failure domain of this VM.
            spawn: Starts a background task.
        """
        self._directory = directory
        self._membership = membership
        self._exchange = exchange
        self._clock = clock
        self._domain = domain
        self._spawn = spawn
        self.domain_share = rate_shares.DomainShare(domain)

    def active_bucket(self, owned: OwnedBucket) -> token_bucket.TokenBucket | None:
        """Return the bucket if this VM is the owner now, and create it if necessary.

        The result is valid until the next await.
        """
        if not self._membership.owns(owned.name):
            owned.bucket = None
            return None
        since = self._membership.owned_since(owned.name)
        if since is None:
            return None
        if owned.bucket is None or owned.owned_since != since:
            rate, burst = self.limits(owned.name)
            owned.bucket = token_bucket.TokenBucket(rate, burst, owned_since=since, first_number=secrets.randbits(60))
            owned.owned_since = since
            _log.info("owner of the token bucket of {} in {} since {:.3f}", owned.name, self._domain, since)
        self._use_handover(owned, owned.bucket)
        return owned.bucket

    def _use_handover(self, owned: OwnedBucket, bucket: token_bucket.TokenBucket) -> None:
        """Add the tokens that the former owner handed over, once."""
        amount, expires = owned.handed_over
        owned.handed_over = (0, float("-inf"))
        if amount and self._clock.now() < expires:
            bucket.add_level(amount, self._clock.now())

    def prepare_handover(self, owned: OwnedBucket) -> None:
        """Remember the bucket, if this VM owns it, so that its tokens can be handed over when it has left."""
        owned.former = self.active_bucket(owned)
        if owned.former is not None:
            owned.former.advance(self._clock.now())

    def take_former(self, owned: OwnedBucket) -> int:
        """Return the level of the bucket that this VM owned until it left, once; 0 while it is still the owner.

        Nothing accrues after the ownership has ended: the next owner may already accrue tokens of its own.
        """
        if self.active_bucket(owned) is not None or owned.former is None:
            return 0
        bucket, owned.former = owned.former, None
        return bucket.level

    def accept_handover(self, owned: OwnedBucket, amount: int) -> None:
        """Keep the tokens of a former owner until this VM is the owner."""
        owned.handed_over = (amount, self._clock.now() + HANDOVER_LIFETIME_S)
        self.active_bucket(owned)

    def existing_bucket(self, owned: OwnedBucket) -> token_bucket.TokenBucket | None:
        """Return the existing bucket if this VM is still the owner; never create one."""
        return None if owned.bucket is None else self.active_bucket(owned)

    def is_idle(self, owned: OwnedBucket) -> bool:
        """Return whether the bucket needs no periodic calls, because only accrual remains and one later call suffices.

        While tokens are outstanding, accrual stops at the burst, which only frequent calls notice: a single late call
        would add the tokens of the whole interval after the outstanding ones were spent.
        """
        bucket = owned.bucket
        if owned.borrowing.locked():
            return False
        if bucket is None:
            return True
        since_last_use = self._clock.now() - owned.used_at
        return not (bucket.has_grants or bucket.loans) and since_last_use > BALANCE_WINDOW_S

    def share(self) -> float:
        """Return this domain's share of all rates, from 0 to 1."""
        directory = self._directory
        return self.domain_share.limits(directory.shares, directory.views, self._clock.now(), 1.0, 0.0)[0]

    def limits(self, organisation: str) -> tuple[float, int]:
        """Return this domain's share of an organisation's rate and burst."""
        directory = self._directory
        settings = directory.configuration.organisations.get(organisation)
        if settings is None:
            return 0.0, 0
        return self.domain_share.limits(
            directory.shares, directory.views, self._clock.now(), settings.rate, settings.burst
        )

    async def handle_request(
        self, sender: str, owned: OwnedBucket, request: token_exchange.TokenRequest
    ) -> token_exchange.TokenReply:
        """Handle a request of another VM and return the reply."""
        bucket = self.active_bucket(owned)
        if bucket is None:
            return token_exchange.TokenReply(owner=False)
        now = self._clock.now()
        for number, spent in request.spent:
            bucket.record_spent(sender, number, spent)
        for number, spent in request.returned:
            bucket.return_grant(sender, number, spent, now)
        if request.loan:
            return self._make_reply(owned, bucket.lend(sender, request.want, request.level, request.room, now))
        if bucket.available(now) < request.need:
            await self.borrow(owned, request.need)
            bucket = self.active_bucket(owned)
            if bucket is None:
                return token_exchange.TokenReply(owner=False)
        grants = bucket.grant(sender, request.want, self._clock.now()) if request.want else []
        owned.used_at = self._clock.now()
        return self._make_reply(owned, grants)

    def _make_reply(self, owned: OwnedBucket, grants: list[token_bucket.Grant]) -> token_exchange.TokenReply:
        entries = tuple((grant.number, grant.amount, grant.lifetime_s) for grant in grants)
        return token_exchange.TokenReply(True, entries, self.wait_s(owned))

    def wait_s(self, owned: OwnedBucket) -> float:
        """Return the seconds until one more token is expected."""
        bucket = self.active_bucket(owned)
        settings = self._directory.configuration.organisations.get(owned.name)
        if bucket is None or settings is None:
            return token_bucket.GRANT_LIFETIME_S
        # Tokens of other domains can be borrowed, so the whole rate applies unless an owner is unreachable.
        rate = bucket.rate if self._exchange.has_unreachable_owner() else settings.rate
        return bucket.wait_s(token_bucket.TOKEN, self._clock.now(), rate)

    async def borrow(self, owned: OwnedBucket, want: int) -> None:
        """Request the missing tokens from the owners in other domains, one after the other."""
        async with owned.borrowing:
            end = self._clock.now() + LOAN_TIMEOUT_S
            for lender in self._exchange.owners(owned.name):
                bucket, requested_at = self.active_bucket(owned), self._clock.now()
                if bucket is None or requested_at >= end:
                    break
                missing = want - bucket.available(requested_at)
                if (want and missing <= 0) or self._exchange.is_unreachable(lender):
                    continue
                missing = max(0, missing)
                request = token_exchange.TokenRequest(
                    owned.name, missing, loan=True, level=bucket.level, room=bucket.room
                )
                reply = await self._exchange.request(lender, request, end - requested_at)
                self._add_loans(owned, bucket, lender, reply, requested_at)
        self.report_loans(owned)

    def _add_loans(
        self,
        owned: OwnedBucket,
        borrower: token_bucket.TokenBucket,
        lender: str,
        reply: token_exchange.TokenReply | None,
        requested_at: float,
    ) -> None:
        bucket = self.active_bucket(owned)
        if bucket is not borrower or reply is None:
            return
        for number, amount, lifetime_s in reply.grants:
            expires = requested_at + min(lifetime_s, token_bucket.GRANT_LIFETIME_S)
            bucket.add_loan(token_bucket.Loan(number, lender, amount, expires), self._clock.now())

    def balance(self, owned: OwnedBucket) -> None:
        """Borrow tokens from domains with a higher level in the background.

        A full bucket accrues no tokens, so an organisation whose levels are uneven gets less than its rate. No tokens
        are moved during a burst of requests, because they cannot be spent while in transit.
        """
        bucket, now = self.active_bucket(owned), self._clock.now()
        if bucket is None or owned.borrowing.locked():
            return
        # A quarter of a token accrues in this interval; balancing more often would move too little.
        interval = max(BALANCE_INTERVAL_S, 0.25 / bucket.rate if bucket.rate > 0 else BALANCE_WINDOW_S)
        if now - owned.balanced_at < interval:
            return
        bucket.advance(now)
        since_last_use = now - owned.used_at
        if bucket.room < token_bucket.TOKEN // 4 or (since_last_use < BURST_END_S and now - owned.balanced_at < 0.5):
            return
        if since_last_use > BALANCE_WINDOW_S:
            return
        owned.balanced_at = now
        self._spawn(self.borrow(owned, 0))

    def report_loans(self, owned: OwnedBucket) -> None:
        """Move unused loans to the level, and report the spent amounts to the lenders."""
        bucket = self.active_bucket(owned)
        if bucket is None:
            return
        bucket.absorb_loans(self._clock.now())
        for loan in bucket.collect_loan_reports():
            self._exchange.notify(
                loan.lender, token_exchange.TokenRequest(owned.name, spent=((loan.number, loan.spent),))
            )
