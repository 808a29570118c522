"""Distributed token buckets for the rate limits of organisations.

Several VMs of each failure domain own a bucket with an equal share of the organisation's rate, and lend tokens to other
VMs. No token is ever duplicated: it accrues in one bucket, and a loan is deducted from the lender's bucket before it is
sent, so a lost datagram loses tokens but never creates any. A VM without reachable peers still has its own share.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence

from currantlead import logs
from currantlead.sessions import model, settings
from currantlead.sessions.decisions import capacity, holder_choice

INITIAL_FILL_SHARE = 0.25
"""Initial fill of a new bucket, as a share of its burst: a restarted VM may have spent its whole burst just before."""
INITIAL_TOLERANCE_SHARE = 0.25
"""Share of the permitted counting error that is added to the initial fill: after a restart of all VMs, their callers
return at once. Together with ``BURST_TOLERANCE_SHARE``, it leaves room for two restarts within one window."""
BURST_TOLERANCE_SHARE = 0.3
"""Share of the permitted counting error that is added to the burst: tokens are spread over several VMs, and those on a
VM without callers are not available where they are needed. The remainder covers restarts and changes of ownership."""
MIN_OWNERS_PER_DOMAIN = 2
"""Minimum number of owners per failure domain, which low rates get. With buckets far below one token per second, every
operation would wait for loans from many VMs; with a single owner, its failure would cost the domain its whole share."""
TARGET_BUCKET_RATE = 4.0
"""Target rate of one bucket, in tokens per second; the owners of a high rate are so many that none has more."""
LOAN_LIFETIME_S = 1.0
"""Borrowed tokens above a bucket's burst expire after this time, so that loans do not accumulate beyond the burst."""

_log = logs.part("allowance")


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket of one organisation on one VM.

    Attributes:
        rate: Tokens that accrue per second.
        burst: Level at which accrual stops.
        level: Available tokens, own and borrowed.
        updated_at: Monotonic time of the last refill.
        loan_expires_at: Monotonic time at which tokens above the burst expire.
    """

    rate: float
    burst: float
    level: float
    updated_at: float
    loan_expires_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill, and remove expired loans."""
        if self.level > self.burst and now >= self.loan_expires_at:
            self.level = self.burst
        if self.level < self.burst:
            self.level = min(self.burst, self.level + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = now

    def try_consume(self, now: float) -> bool:
        """Consume one token; return whether one was available."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def lend(self, want: float, now: float) -> float:
        """Remove up to ``want`` tokens as a loan to another VM; return how many."""
        self.refill(now)
        amount = max(0.0, min(want, self.level))
        self.level -= amount
        return amount

    def borrow(self, amount: float, now: float) -> None:
        """Add tokens borrowed from another VM."""
        self.refill(now)
        self.level += amount
        self.loan_expires_at = now + LOAN_LIFETIME_S


def group_by_domain(members: Iterable[model.Member]) -> dict[str, list[model.Member]]:
    """Return the VMs of each failure domain."""
    domains: dict[str, list[model.Member]] = {}
    for member in members:
        domains.setdefault(member.domain, []).append(member)
    return domains


def owners_per_domain(organisation: model.Organisation, domains: Mapping[str, Sequence[model.Member]]) -> int:
    """Return how many VMs of each failure domain own buckets of an organisation; all do where there are fewer."""
    count = max(MIN_OWNERS_PER_DOMAIN, math.ceil(organisation.rate / TARGET_BUCKET_RATE / max(1, len(domains))))
    size = sum(map(len, domains.values()))
    return size if size <= count * len(domains) else count


def select_owners_in_domain(name: str, members: Sequence[model.Member], count: int) -> list[model.Member]:
    """Return the VMs of one failure domain that own buckets of the organisation ``name``."""
    if len(members) <= count:
        return list(members)
    return capacity.sort_by_hash(members, lambda member: holder_choice.rendezvous_weight(name, member.name))[:count]


def select_owners(organisation: model.Organisation, members: Iterable[model.Member]) -> list[model.Member]:
    """Return the VMs that own buckets of an organisation: a few in each failure domain, or all VMs if there are few."""
    domains = group_by_domain(members)
    count = owners_per_domain(organisation, domains)
    return [owner for group in domains.values() for owner in select_owners_in_domain(organisation.name, group, count)]


class TokenBuckets:
    """The token buckets of this VM, by organisation.

    Args:
        vm: Name of this VM.
        bounds: Time window and tolerances within which the rate limits must hold.
    """

    def __init__(self, vm: str, bounds: settings.Bounds) -> None:
        self._vm = vm
        self._bounds = bounds
        self._buckets: dict[str, TokenBucket] = {}
        self._organisations: Mapping[str, model.Organisation] = {}
        self._domains: dict[str, list[model.Member]] = {}
        self._own_neighbours: list[model.Member] = []
        self._is_owner: dict[tuple[str, int], bool] = {}
        self._lenders: dict[str, list[model.Member]] = {}
        self._member_count = 0

    def apply_bounds(self, bounds: settings.Bounds) -> None:
        """Apply the window and tolerances of the rate limits; takes effect with the next ``configure``."""
        self._bounds = bounds

    def configure(
        self, organisations: Mapping[str, model.Organisation], members: Sequence[model.Member], now: float
    ) -> None:
        """Apply changed rates or a changed membership; this may discard tokens but never creates any."""
        if len(members) != self._member_count:
            self._member_count = len(members)
            _log.bind(members=self._member_count).info("number of VMs changed, redistributing rate limits")
        for name in [name for name in self._buckets if name not in organisations]:
            del self._buckets[name]
        self._organisations, self._domains = organisations, group_by_domain(members)
        self._lenders.clear()
        neighbours = next(
            (group for group in self._domains.values() if any(member.name == self._vm for member in group)), []
        )
        if neighbours != self._own_neighbours:
            self._own_neighbours = neighbours
            self._is_owner.clear()
        for name, organisation in organisations.items():
            share = self._own_share(organisation)
            rate, burst = organisation.rate * share, self._effective_burst(organisation) * share
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate, burst, self._initial_fill(organisation) * share, now)
                continue
            bucket.refill(now)
            if burst < bucket.burst:
                bucket.level = min(bucket.level, burst)
            bucket.rate, bucket.burst = rate, burst

    def _own_share(self, organisation: model.Organisation) -> float:
        """Return this VM's share of an organisation's rate; 0 if it owns no bucket of it."""
        count = owners_per_domain(organisation, self._domains)
        key = organisation.name, count
        if key not in self._is_owner:
            # Only the VMs of this failure domain are ranked here; those of others only if tokens are borrowed.
            owners = select_owners_in_domain(organisation.name, self._own_neighbours, count)
            self._is_owner[key] = any(owner.name == self._vm for owner in owners)
        if not self._is_owner[key]:
            return 0.0
        return 1 / sum(min(count, len(members)) for members in self._domains.values())

    def _counting_tolerance(self, organisation: model.Organisation) -> float:
        """Return by how many operations a window may exceed rate and burst."""
        bounds = self._bounds
        window = organisation.rate * bounds.rate_window_s + organisation.burst
        return bounds.rate_excess * window + bounds.rate_slack

    def _effective_burst(self, organisation: model.Organisation) -> float:
        return organisation.burst + BURST_TOLERANCE_SHARE * self._counting_tolerance(organisation)

    def _initial_fill(self, organisation: model.Organisation) -> float:
        """Return the tokens that all owners of an organisation's buckets have together when they start."""
        burst = self._effective_burst(organisation)
        return min(burst, INITIAL_FILL_SHARE * burst + INITIAL_TOLERANCE_SHARE * self._counting_tolerance(organisation))

    def bucket_state(self, organisation: str) -> dict[str, float]:
        """Return the local bucket's tokens, rate and burst, as fields for logging a refusal."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return {}
        return {
            "tokens": round(bucket.level, 2),
            "rate_here": round(bucket.rate, 2),
            "burst_here": round(bucket.burst, 1),
        }

    @property
    def count(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets)

    def next_token(self, organisation: str, now: float) -> tuple[float, float]:
        """Return the expected rate of tokens on this VM, and the time until the next one is due, in seconds.

        Callers' operations use borrowed tokens too, so the expected rate is an equal share of the organisation's rate
        where that is higher than the rate of the VM's own bucket.
        """
        bucket, known = self._buckets.get(organisation), self._organisations.get(organisation)
        if bucket is None or known is None:
            return 0.0, 0.0
        bucket.refill(now)
        rate = max(bucket.rate, known.rate / max(1, self._member_count))
        return rate, max(0.0, 1.0 - bucket.level) / max(rate, 1e-3)

    def lenders(self, organisation: str) -> list[model.Member]:
        """Return the other VMs that own buckets of an organisation."""
        known = self._organisations.get(organisation)
        if known is None:
            return []
        if organisation not in self._lenders:
            owners = select_owners(known, itertools.chain.from_iterable(self._domains.values()))
            self._lenders[organisation] = [owner for owner in owners if owner.name != self._vm]
        return self._lenders[organisation]

    def try_consume(self, organisation: str, now: float) -> bool:
        """Consume one token of an organisation; return whether one was available."""
        bucket = self._buckets.get(organisation)
        return bucket is not None and bucket.try_consume(now)

    def refund(self, organisation: str, now: float) -> None:
        """Refund the token of an operation that certainly did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.refill(now)
            bucket.level = min(bucket.level + 1.0, max(bucket.burst, bucket.level))

    def lend(self, organisation: str, want: float, now: float) -> float:
        """Remove up to ``want`` tokens as a loan to another VM; return how many."""
        bucket = self._buckets.get(organisation)
        return 0.0 if bucket is None else bucket.lend(want, now)

    def borrow(self, organisation: str, amount: float, now: float) -> None:
        """Add tokens borrowed from another VM."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.borrow(amount, now)
