"""Stateful test of the rate limiting under faults: no interval t admits more than ``rate * t + burst`` requests.

Each VM has its own drifting clock. Frames are queued until a rule delivers, repeats or drops one, so that they arrive
late, twice or never. A VM does nothing until a rule uses it, which simulates a pause.
"""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from currantlead.admission import rate_shares, token_bucket, token_cache
from currantlead.control import model

VMS = ("a0", "a1", "b0", "b1")
DOMAINS = ("a", "b")
INDEX = st.integers(0, 10**6)
VM = st.sampled_from(VMS)
PAUSE = st.sampled_from([0.0, 0.1, 0.45, 0.9, 0.998, 1.02, 2.0])


@dataclasses.dataclass
class Vm:
    """State of one VM."""

    name: str
    drift: float
    domain_share: rate_shares.DomainShare
    shares: model.Shares
    cache: token_cache.TokenCache = dataclasses.field(default_factory=token_cache.TokenCache)
    bucket: token_bucket.TokenBucket | None = None
    since: float | None = None
    limits: tuple | None = None


class RateMachine(stateful.RuleBasedStateMachine):
    """State machine of owners, requesters, clocks and frames."""

    @stateful.initialize(drifts=st.lists(st.sampled_from([0.99, 1.0, 1.01]), min_size=4, max_size=4))
    def begin(self, drifts):
        """Start all VMs; the first one of each domain owns its bucket."""
        self.time = 0.0
        self.rate, self.burst = 100.0, 6
        self.created = 0.0
        self.bursts = [(0.0, 6)]
        self.admitted = []
        self.frames = collections.deque(maxlen=30)
        self.last_number = 1
        self.newest = model.Shares(1, {"a": 0.5, "b": 0.5})
        self.views = {name: model.View(name, 1, (model.Member(name, name, 1, ""),)) for name in DOMAINS}
        self.vms = {}
        for name, drift in zip(VMS, drifts, strict=True):
            self.vms[name] = Vm(name, drift, rate_shares.DomainShare(name[0]), self.newest)
        self.owners = {"a": "a0", "b": "b0"}
        for owner in self.owners.values():
            self.vms[owner].since = 0.0
        self.advance(2.0)
        self.advance(2.0)

    def now(self, vm):
        """Return the time on the VM's own clock."""
        return self.time * vm.drift

    def bucket_of(self, vm):
        """Return the bucket if the VM is the owner, as the service does."""
        if self.owners[vm.name[0]] != vm.name:
            vm.bucket = None
            return None
        if vm.bucket is None:
            self.last_number += 1000
            vm.limits = self.limits(vm)
            vm.bucket = token_bucket.TokenBucket(*vm.limits, owned_since=vm.since, first_number=self.last_number)
        # Like the service, configure a bucket only after a change; more frequent calls would hide accrual errors.
        if vm.limits != self.limits(vm):
            vm.limits = self.limits(vm)
            vm.bucket.configure(*vm.limits, self.now(vm))
        return vm.bucket

    def limits(self, vm):
        """Return rate and burst of the VM's domain, as the VM knows them."""
        return vm.domain_share.limits(vm.shares, self.views, self.now(vm), self.rate, self.burst)

    def send(self, *frame):
        """Queue a frame."""
        self.frames.append(frame)

    def request_grant(self, vm, target, want):
        """Let an owner handle a request for tokens; return the grants."""
        bucket = self.bucket_of(target)
        return [] if bucket is None else bucket.grant(vm.name, want, self.now(target))

    @stateful.rule(dt=PAUSE)
    def advance(self, dt):
        """Advance the time."""
        self.time += dt
        self.created += dt * self.rate

    @stateful.rule(vm=VM, owner=VM, tokens=st.integers(1, 6), before=PAUSE, after=PAUSE)
    def fetch(self, vm, owner, tokens, before, after):
        """Request tokens from an owner; both frames may be late."""
        vm, owner = self.vms[vm], self.vms[owner]
        requested_at = self.now(vm)
        self.advance(before)
        grants = self.request_grant(vm, owner, tokens * token_bucket.TOKEN)
        self.advance(after)
        for grant in grants:
            vm.cache.add(owner.name, grant.number, grant.amount, requested_at, grant.lifetime_s)

    @stateful.rule()
    def fetch_all(self):
        """Let the VMs that own no bucket fetch all whole tokens, without spending them."""
        for name in self.vms:
            owner = self.owners[name[0]]
            if owner != name:
                self.fetch(name, owner, 6, 0.0, 0.0)

    @stateful.rule(domain=st.sampled_from(DOMAINS), want=st.integers(0, 6), after=PAUSE, absorb=st.booleans())
    def borrow(self, domain, want, after, absorb):
        """Borrow tokens from the other domain's owner; the reply may be late."""
        borrower = self.vms[self.owners[domain]]
        lender = self.vms[self.owners["b" if domain == "a" else "a"]]
        bucket, requested_at = self.bucket_of(borrower), self.now(borrower)
        level, room = bucket.level, bucket.room
        grants = self.bucket_of(lender).lend(borrower.name, want * token_bucket.TOKEN, level, room, self.now(lender))
        self.advance(after)
        for grant in grants:
            loan = token_bucket.Loan(grant.number, lender.name, grant.amount, requested_at + grant.lifetime_s)
            self.bucket_of(borrower).add_loan(loan, self.now(borrower))
        if absorb:
            bucket = self.bucket_of(borrower)
            bucket.absorb_loans(self.now(borrower))
            for loan in bucket.collect_loan_reports():
                self.send("spent", borrower.name, loan.lender, [(loan.number, loan.spent)])

    @stateful.rule(index=INDEX, keep=st.booleans(), lose=st.integers(0, 5))
    def deliver(self, index, keep, lose):
        """Deliver, repeat or drop any queued frame."""
        if not self.frames:
            return
        frame = self.frames[index % len(self.frames)]
        if not keep:
            self.frames.remove(frame)
        if lose:
            getattr(self, f"on_{frame[0]}")(*frame[1:])

    def on_spent(self, vm, target, pairs):
        """Handle a report of spent tokens."""
        bucket = self.bucket_of(self.vms[target])
        for number, spent in pairs if bucket else ():
            bucket.record_spent(vm, number, spent)

    def on_returned(self, vm, target, number, spent):
        """Handle a returned grant."""
        bucket = self.bucket_of(self.vms[target])
        if bucket:
            bucket.return_grant(vm, number, spent, self.now(self.vms[target]))

    @stateful.rule(vm=VM)
    def report(self, vm):
        """Report spent tokens and return idle grants."""
        vm = self.vms[vm]
        for grant in vm.cache.remove_idle(self.now(vm)):
            self.send("returned", vm.name, grant.owner, grant.number, grant.spent)
        for target in vm.cache.owners_to_report():
            self.send("spent", vm.name, target, vm.cache.collect_reports(target))

    @stateful.rule(vm=VM, count=st.integers(1, 6))
    def spend(self, vm, count):
        """Admit requests on a VM."""
        self.admit(self.vms[vm], count)

    @stateful.rule(times=st.sampled_from([1, 1, 20]))
    def flood(self, times):
        """Admit as many requests as possible, once or repeatedly."""
        for _ in range(times):
            for vm in self.vms.values():
                self.admit(vm, 20)
            if times > 1:
                self.admissions_stay_within_rate()
                self.advance(0.02)

    def admit(self, vm, count):
        """Spend tokens as the service does: from the cache, then from the VM's own bucket."""
        for _ in range(count):
            bucket = self.bucket_of(vm)
            if not vm.cache.take(self.now(vm)) and not (bucket and bucket.take(self.now(vm))):
                return
            self.admitted.append((self.time, self.created))

    @stateful.rule(domain=st.sampled_from(DOMAINS))
    def change_owner(self, domain):
        """Change the owner without delay, as early as leases can allow it."""
        old = self.owners[domain]
        self.owners[domain] = new = domain + ("1" if old.endswith("0") else "0")
        self.vms[new].since = self.now(self.vms[new])

    @stateful.rule(vm=VM)
    def restart(self, vm):
        """Restart a VM, which loses its state; an owner becomes active again without delay."""
        vm = self.vms[vm]
        vm.cache, vm.bucket, vm.domain_share = token_cache.TokenCache(), None, rate_shares.DomainShare(vm.name[0])
        vm.since = self.now(vm)

    @stateful.rule(rate=st.sampled_from([4.0, 100.0]), burst=st.sampled_from([3, 6]))
    def change_rate(self, rate, burst):
        """Change rate and burst on all VMs."""
        for vm in self.vms.values():
            self.bucket_of(vm)
        self.rate, self.burst = rate, burst
        self.bursts.append((self.time, burst))
        for vm in self.vms.values():
            self.bucket_of(vm)

    @stateful.rule(
        share=st.sampled_from([0.0, 0.1, 0.5, 0.9, 1.0]), informed=st.sampled_from(["", "a", "b", "ab", "ab"])
    )
    def divide(self, share, informed):
        """Write a new division if the previous one is settled, and send it to some domains."""
        if rate_shares.is_settled(self.newest, self.views):
            division = {"a": share, "b": 1 - share}
            self.newest = model.Shares(self.newest.number + 1, division, self.newest.shares)
        for domain in informed:
            self.learn(domain)

    @stateful.rule(domain=st.sampled_from(DOMAINS))
    def learn(self, domain):
        """Send the newest division to the VMs of a domain."""
        for vm in self.vms.values():
            if vm.name[0] == domain:
                self.bucket_of(vm)
                vm.shares = self.newest
                self.bucket_of(vm)

    @stateful.rule()
    def confirm(self):
        """Confirm the newest division for the domains whose VMs have adopted it, and send it to all domains."""
        for domain in DOMAINS:
            if all(vm.shares.number == self.newest.number for vm in self.vms.values() if vm.name[0] == domain):
                confirmed = {**self.newest.confirmed, domain: self.newest.number}
                self.newest = dataclasses.replace(self.newest, confirmed=confirmed)
        for domain in DOMAINS:
            self.learn(domain)

    @stateful.invariant()
    def admissions_stay_within_rate(self):
        """Compare the admitted requests, plus those that could be admitted now, with the bound of each interval."""
        if not hasattr(self, "admitted"):
            return
        spendable = sum(self.spendable(vm) for vm in self.vms.values()) / token_bucket.TOKEN
        assert spendable <= self.largest_burst(self.time) + 1e-6, f"{spendable} tokens exist at {self.time:.3f}"
        for count, (start, before) in enumerate(reversed(self.admitted[-300:]), start=1):
            allowed = self.created - before + self.largest_burst(start)
            assert count + spendable <= allowed + 1e-6, f"{count} + {spendable} from {start:.3f}, allowed {allowed}"

    def spendable(self, vm):
        """Return the amount that a VM can spend now."""
        bucket = self.bucket_of(vm)
        return vm.cache.available(self.now(vm)) + (bucket.available(self.now(vm)) if bucket else 0)

    def largest_burst(self, start):
        """Return the largest burst in force at a time or within one grant lifetime before it."""
        earlier = [burst for time, burst in self.bursts if time <= start - 1.1][-1:]
        return max(earlier + [burst for time, burst in self.bursts if start - 1.1 < time <= start])


RateMachine.TestCase.settings = hypothesis.settings(
    max_examples=max(150, hypothesis.settings.default.max_examples), stateful_step_count=40
)
TestRateMachine = RateMachine.TestCase
