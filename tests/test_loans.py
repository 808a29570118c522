"""Tokens that VMs lend each other: whom a VM asks, when, and for how much."""

import asyncio

import pytest

from currantlead.sessions import allowance, loans, model, settings

RATE = 6.0


class Exchange:
    """Deliver datagrams between lenders in one loop; those to silent VMs are lost."""

    def __init__(self, domains):
        members = [model.Member(f"vm-{number}", f"10.0.0.{number}", 1, domain) for number, domain in enumerate(domains)]
        self.silent = set()
        self.sent = []
        self.lenders = {}
        for member in members:
            found = allowance.Allowances(member.name, settings.Bounds(rate_excess=0.0, rate_slack=0.0))
            found.configure({"org": model.Organisation("org", RATE, RATE * 10)}, members, 0.0)
            for owned in found._slices.values():
                owned.level = 0.0
            lender = loans.Lender(found, member.domain)
            lender._transport = _Wire(self, member)
            self.lenders[member.name] = lender
        self.members = {member.host: member for member in members}

    def level(self, name):
        """Return the tokens of a VM."""
        return self.lenders[name]._allowances._slices["org"].level

    def give(self, name, amount):
        """Put tokens into a VM's slice."""
        owned = self.lenders[name]._allowances._slices["org"]
        owned.level, owned.rate = amount, 0.0

    def stop_accrual(self):
        """Let all slices stand still."""
        for name in self.lenders:
            self.give(name, 0.0)


class _Wire:
    def __init__(self, exchange, member):
        self.exchange, self.member = exchange, member

    def sendto(self, data, address):
        """Deliver a datagram a moment later."""
        receiver = self.exchange.members[address[0]]
        self.exchange.sent.append((self.member.name, receiver.name))
        if receiver.name not in self.exchange.silent:
            lender = self.exchange.lenders[receiver.name]
            asyncio.get_running_loop().call_later(0.001, lender.datagram_received, data, (self.member.host, 1))

    def close(self):
        """Do nothing."""


@pytest.fixture
async def exchange():
    """Provide 12 VMs in three failure domains, without any token."""
    found = Exchange([f"z{number % 3}" for number in range(12)])
    found.stop_accrual()
    return found


def owners(exchange, domain):
    """Return the owners of the rate in a failure domain."""
    members = list(exchange.members.values())
    found = allowance.owners_of(model.Organisation("org", RATE, RATE), members)
    return [owner.name for owner in found if owner.domain == domain]


def borrower(exchange, domain):
    """Return a VM of a failure domain that owns nothing."""
    names = [member.name for member in exchange.members.values() if member.domain == domain]
    return next(name for name in names if name not in owners(exchange, domain))


async def test_owners_of_the_own_domain_are_asked_first(exchange):
    """An operation whose domain has tokens sends nothing to other domains, where messages are priced."""
    for name in owners(exchange, "z0"):
        exchange.give(name, 5.0)
    asking = borrower(exchange, "z0")
    assert await exchange.lenders[asking].admit("org")
    receivers = {receiver for sender, receiver in exchange.sent if sender == asking}
    assert receivers == set(owners(exchange, "z0"))


async def test_other_domains_lend_when_the_own_has_nothing(exchange):
    """Tokens of any domain serve an operation before its wait is over."""
    for domain in ("z1", "z2"):
        for name in owners(exchange, domain):
            exchange.give(name, 5.0)
    assert await exchange.lenders[borrower(exchange, "z0")].admit("org")


async def test_silent_owners_of_the_own_domain_delay_but_do_not_refuse(exchange):
    """A domain whose owners are dead still gets tokens of the others."""
    exchange.silent = set(owners(exchange, "z0"))
    for domain in ("z1", "z2"):
        for name in owners(exchange, domain):
            exchange.give(name, 5.0)
    assert await exchange.lenders[borrower(exchange, "z0")].admit("org")


async def test_demand_is_borrowed_ahead(exchange):
    """A VM with steady demand asks once for several operations."""
    for name in owners(exchange, "z0"):
        exchange.give(name, 10.0)
    asking = borrower(exchange, "z0")
    for _ in range(14):
        assert await exchange.lenders[asking].admit("org")
    questions = sum(sender == asking for sender, _ in exchange.sent)
    assert questions <= 2 * 7, "two owners are asked, each time for the demand of some operations"


async def test_no_token_is_created_by_lending(exchange):
    """What all VMs admit and have left is what there was."""
    total = 9.0
    for name in owners(exchange, "z1")[:1]:
        exchange.give(name, total)
    admitted = 0
    for _ in range(4):
        tries = [exchange.lenders[name].admit("org") for name in exchange.lenders]
        admitted += sum(await asyncio.gather(*tries))
    await asyncio.sleep(0.01)
    assert admitted <= total
    assert admitted + sum(exchange.level(name) for name in exchange.lenders) <= total + 1e-6
