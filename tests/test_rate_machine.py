"""Search for a way to admit more than ``rate * t + burst``: the pure rate logic under faults.

Each VM has its own drifting clock. Frames wait in a list until a rule delivers, repeats or drops one, so they arrive
late, twice or never; a VM is paused while no rule touches it.
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
    """Hold the state of one VM."""

    name: str
    drift: float
    division: rate_shares.Division
    shares: model.Shares
    cache: token_cache.Cache = dataclasses.field(default_factory=token_cache.Cache)
    ledger: token_bucket.Ledger | None = None
    since: float | None = None
    limits: tuple | None = None


class Rates(stateful.RuleBasedStateMachine):
    """Drive owners, requesters, clocks and frames."""

    @stateful.initialize(drifts=st.lists(st.sampled_from([0.99, 1.0, 1.01]), min_size=4, max_size=4))
    def begin(self, drifts):
        """Start all VMs; the first of each domain owns the bucket."""
        self.time = 0.0
        self.rate, self.burst = 100.0, 6
        self.created = 0.0
        self.bursts = [(0.0, 6)]
        self.admitted = []
        self.frames = collections.deque(maxlen=30)
        self.numbers = 1
        self.newest = model.Shares(1, {"a": 0.5, "b": 0.5})
        self.views = {name: model.View(name, 1, (model.Member(name, name, 1, ""),)) for name in DOMAINS}
        self.vms = {}
        for name, drift in zip(VMS, drifts, strict=True):
            self.vms[name] = Vm(name, drift, rate_shares.Division(name[0]), self.newest)
        self.owners = {"a": "a0", "b": "b0"}
        for owner in self.owners.values():
            self.vms[owner].since = 0.0
        self.advance(2.0)
        self.advance(2.0)

    def now(self, vm):
        """Return the VM's own clock."""
        return self.time * vm.drift

    def ledger(self, vm):
        """Return the ledger if the VM is the owner, as the service does."""
        if self.owners[vm.name[0]] != vm.name:
            vm.ledger = None
            return None
        if vm.ledger is None:
            self.numbers += 1000
            vm.limits = self.limits(vm)
            vm.ledger = token_bucket.Ledger(*vm.limits, owned_since=vm.since, first_number=self.numbers)
        # The service configures a ledger only after a change; doing it more often would hide faults of accrual.
        if vm.limits != self.limits(vm):
            vm.limits = self.limits(vm)
            vm.ledger.configure(*vm.limits, self.now(vm))
        return vm.ledger

    def limits(self, vm):
        """Return rate and burst of the VM's domain."""
        return vm.division.limits(vm.shares, self.views, self.now(vm), self.rate, self.burst)

    def post(self, *frame):
        """Put a frame on its way."""
        self.frames.append(frame)

    def give(self, vm, target, want):
        """Let an owner answer an ask; return the answer."""
        ledger = self.ledger(target)
        return [] if ledger is None else ledger.grant(vm.name, want, self.now(target))

    @stateful.rule(dt=PAUSE)
    def advance(self, dt):
        """Let time pass."""
        self.time += dt
        self.created += dt * self.rate

    @stateful.rule(vm=VM, owner=VM, tokens=st.integers(1, 6), before=PAUSE, after=PAUSE)
    def fetch(self, vm, owner, tokens, before, after):
        """Ask an owner; both frames may be late."""
        vm, owner = self.vms[vm], self.vms[owner]
        asked = self.now(vm)
        self.advance(before)
        grants = self.give(vm, owner, tokens * token_bucket.TOKEN)
        self.advance(after)
        for grant in grants:
            vm.cache.add(owner.name, grant.number, grant.amount, asked, grant.lifetime_s)

    @stateful.rule()
    def hoard(self):
        """Let the VMs that own nothing take all whole tokens, without spending them."""
        for name in self.vms:
            owner = self.owners[name[0]]
            if owner != name:
                self.fetch(name, owner, 6, 0.0, 0.0)

    @stateful.rule(domain=st.sampled_from(DOMAINS), want=st.integers(0, 6), after=PAUSE, absorb=st.booleans())
    def borrow(self, domain, want, after, absorb):
        """Lend tokens of the other domain's owner; the answer may be late."""
        borrower = self.vms[self.owners[domain]]
        lender = self.vms[self.owners["b" if domain == "a" else "a"]]
        ledger, asked = self.ledger(borrower), self.now(borrower)
        level, room = ledger.level, ledger.room
        grants = self.ledger(lender).lend(borrower.name, want * token_bucket.TOKEN, level, room, self.now(lender))
        self.advance(after)
        for grant in grants:
            loan = token_bucket.Loan(grant.number, lender.name, grant.amount, asked + grant.lifetime_s)
            self.ledger(borrower).borrow(loan, self.now(borrower))
        if absorb:
            ledger = self.ledger(borrower)
            ledger.absorb(self.now(borrower))
            for loan in ledger.loan_reports():
                self.post("spent", borrower.name, loan.lender, [(loan.number, loan.spent)])

    @stateful.rule(index=INDEX, keep=st.booleans(), lose=st.integers(0, 5))
    def deliver(self, index, keep, lose):
        """Deliver, repeat or drop any frame on its way."""
        if not self.frames:
            return
        frame = self.frames[index % len(self.frames)]
        if not keep:
            self.frames.remove(frame)
        if lose:
            getattr(self, f"on_{frame[0]}")(*frame[1:])

    def on_spent(self, vm, target, pairs):
        """Take a report."""
        ledger = self.ledger(self.vms[target])
        for number, spent in pairs if ledger else ():
            ledger.report(vm, number, spent)

    def on_returned(self, vm, target, number, spent):
        """Take a hand-back."""
        ledger = self.ledger(self.vms[target])
        if ledger:
            ledger.give_back(vm, number, spent, self.now(self.vms[target]))

    @stateful.rule(vm=VM)
    def report(self, vm):
        """Report spent tokens and hand back idle ones."""
        vm = self.vms[vm]
        for part in vm.cache.remove_idle(self.now(vm)):
            self.post("returned", vm.name, part.owner, part.number, part.spent)
        for target in vm.cache.owners():
            self.post("spent", vm.name, target, vm.cache.reports(target))

    @stateful.rule(vm=VM, most=st.integers(1, 6))
    def spend(self, vm, most):
        """Admit requests at a VM."""
        self.admit(self.vms[vm], most)

    @stateful.rule(times=st.sampled_from([1, 1, 20]))
    def flood(self, times):
        """Admit as many requests as possible, once or for some time."""
        for _ in range(times):
            for vm in self.vms.values():
                self.admit(vm, 20)
            if times > 1:
                self.within_rate()
                self.advance(0.02)

    def admit(self, vm, most):
        """Take tokens as the service does: from the cache, then from the VM's own ledger."""
        for _ in range(most):
            ledger = self.ledger(vm)
            if not vm.cache.take(self.now(vm)) and not (ledger and ledger.take(self.now(vm))):
                return
            self.admitted.append((self.time, self.created))

    @stateful.rule(domain=st.sampled_from(DOMAINS))
    def change_owner(self, domain):
        """Move ownership at once, the earliest time that leases allow."""
        old = self.owners[domain]
        self.owners[domain] = new = domain + ("1" if old.endswith("0") else "0")
        self.vms[new].since = self.now(self.vms[new])

    @stateful.rule(vm=VM)
    def restart(self, vm):
        """Lose all memory; an owner becomes active again at once."""
        vm = self.vms[vm]
        vm.cache, vm.ledger, vm.division = token_cache.Cache(), None, rate_shares.Division(vm.name[0])
        vm.since = self.now(vm)

    @stateful.rule(rate=st.sampled_from([4.0, 100.0]), burst=st.sampled_from([3, 6]))
    def change_rate(self, rate, burst):
        """Change rate and burst everywhere."""
        for vm in self.vms.values():
            self.ledger(vm)
        self.rate, self.burst = rate, burst
        self.bursts.append((self.time, burst))
        for vm in self.vms.values():
            self.ledger(vm)

    @stateful.rule(share=st.sampled_from([0.0, 0.1, 0.5, 0.9, 1.0]), told=st.sampled_from(["", "a", "b", "ab", "ab"]))
    def divide(self, share, told):
        """Write a new division, once the last one has settled, and tell it to some domains."""
        if rate_shares.settled(self.newest, self.views):
            division = {"a": share, "b": 1 - share}
            self.newest = model.Shares(self.newest.number + 1, division, self.newest.shares)
        for domain in told:
            self.learn(domain)

    @stateful.rule(domain=st.sampled_from(DOMAINS))
    def learn(self, domain):
        """Let the VMs of a domain learn the newest division."""
        for vm in self.vms.values():
            if vm.name[0] == domain:
                self.ledger(vm)
                vm.shares = self.newest
                self.ledger(vm)

    @stateful.rule()
    def confirm(self):
        """Confirm for the domains whose VMs have adopted the newest division, and tell it to all."""
        for domain in DOMAINS:
            if all(vm.shares.number == self.newest.number for vm in self.vms.values() if vm.name[0] == domain):
                confirmed = {**self.newest.confirmed, domain: self.newest.number}
                self.newest = dataclasses.replace(self.newest, confirmed=confirmed)
        for domain in DOMAINS:
            self.learn(domain)

    @stateful.invariant()
    def within_rate(self):
        """Compare what was admitted, plus what could be admitted now, with the bound of each interval."""
        if not hasattr(self, "admitted"):
            return
        spendable = sum(self.spendable(vm) for vm in self.vms.values()) / token_bucket.TOKEN
        assert spendable <= self.most_burst(self.time) + 1e-6, f"{spendable} tokens exist at {self.time:.3f}"
        for count, (start, before) in enumerate(reversed(self.admitted[-300:]), start=1):
            allowed = self.created - before + self.most_burst(start)
            assert count + spendable <= allowed + 1e-6, f"{count} + {spendable} from {start:.3f}, allowed {allowed}"

    def spendable(self, vm):
        """Return the amount that a VM could spend now."""
        ledger = self.ledger(vm)
        return vm.cache.available(self.now(vm)) + (ledger.available(self.now(vm)) if ledger else 0)

    def most_burst(self, start):
        """Return the largest burst in force at a time or within one grant lifetime before."""
        last = [burst for time, burst in self.bursts if time <= start - 1.1][-1:]
        return max(last + [burst for time, burst in self.bursts if start - 1.1 < time <= start])


Rates.TestCase.settings = hypothesis.settings(
    max_examples=max(150, hypothesis.settings.default.max_examples), stateful_step_count=40
)
TestRateMachine = Rates.TestCase
