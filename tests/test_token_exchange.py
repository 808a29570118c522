"""Token loans between VMs: which owners a VM asks, when, and for how many tokens."""

import asyncio

import pytest

from currantlead.sessions import model, settings
from currantlead.sessions.callers import token_buckets, token_exchange
from tests import virtual_time

RATE = 6.0


class Network:
    """Delivers datagrams between token exchanges in one event loop; those to silent VMs are lost."""

    def __init__(self, domains):
        members = [model.Member(f"vm-{number}", f"10.0.0.{number}", 1, domain) for number, domain in enumerate(domains)]
        self.silent = set()
        self.sent = []
        self.exchanges = {}
        for member in members:
            buckets = token_buckets.TokenBuckets(member.name, settings.Bounds(rate_excess=0.0, rate_slack=0.0))
            buckets.configure({"org": model.Organisation("org", RATE, RATE * 10)}, members, 0.0)
            for bucket in buckets._buckets.values():
                bucket.level = 0.0
            exchange = token_exchange.TokenExchange(buckets, member.domain)
            exchange._transport = _Transport(self, member)
            self.exchanges[member.name] = exchange
        self.members = {member.host: member for member in members}

    def level(self, name):
        """Return the number of tokens in a VM's bucket."""
        return self.exchanges[name]._buckets._buckets["org"].level

    def set_level(self, name, amount):
        """Set the number of tokens in a VM's bucket, and stop its accrual."""
        bucket = self.exchanges[name]._buckets._buckets["org"]
        bucket.level, bucket.rate = amount, 0.0

    def stop_accrual(self):
        """Empty all buckets and stop their accrual."""
        for name in self.exchanges:
            self.set_level(name, 0.0)


class _Transport:
    def __init__(self, network, member):
        self.network, self.member = network, member

    def sendto(self, data, address):
        """Deliver a datagram after 1 ms."""
        receiver = self.network.members[address[0]]
        self.network.sent.append((self.member.name, receiver.name))
        if receiver.name not in self.network.silent:
            exchange = self.network.exchanges[receiver.name]
            asyncio.get_running_loop().call_later(0.001, exchange.datagram_received, data, (self.member.host, 1))

    def close(self):
        """Do nothing."""


def create_network():
    """Return 12 VMs in three failure domains, with empty buckets that do not refill."""
    created = Network([f"z{number % 3}" for number in range(12)])
    created.stop_accrual()
    return created


@pytest.fixture
async def network():
    """Provide the VMs of ``create_network``."""
    return create_network()


def owner_names(network, domain):
    """Return the names of the bucket owners in a failure domain."""
    members = list(network.members.values())
    owners = token_buckets.select_owners(model.Organisation("org", RATE, RATE), members)
    return [owner.name for owner in owners if owner.domain == domain]


def non_owner(network, domain):
    """Return the name of a VM in a failure domain that owns no bucket."""
    names = [member.name for member in network.members.values() if member.domain == domain]
    return next(name for name in names if name not in owner_names(network, domain))


async def test_owners_in_the_local_domain_are_asked_first(network):
    """While the local domain has tokens, nothing is sent to other domains, where traffic is billed."""
    for name in owner_names(network, "z0"):
        network.set_level(name, 5.0)
    requester = non_owner(network, "z0")
    assert await network.exchanges[requester].admit("org")
    receivers = {receiver for sender, receiver in network.sent if sender == requester}
    assert receivers == set(owner_names(network, "z0"))


async def test_other_domains_lend_when_the_local_domain_has_no_tokens(network):
    """An operation borrows from other domains before its wait ends."""
    for domain in ("z1", "z2"):
        for name in owner_names(network, domain):
            network.set_level(name, 5.0)
    assert await network.exchanges[non_owner(network, "z0")].admit("org")


async def test_silent_local_owners_do_not_cause_a_refusal(network):
    """A VM whose local owners do not answer still borrows from other domains."""
    network.silent = set(owner_names(network, "z0"))
    for domain in ("z1", "z2"):
        for name in owner_names(network, domain):
            network.set_level(name, 5.0)
    assert await network.exchanges[non_owner(network, "z0")].admit("org")


def test_tokens_are_requested_in_advance(monkeypatch):
    """A VM with steady demand requests tokens for several operations at once."""

    async def count_requests():
        network = create_network()
        for name in owner_names(network, "z0"):
            network.set_level(name, 10.0)
        requester = non_owner(network, "z0")
        for _ in range(14):
            assert await network.exchanges[requester].admit("org")
        return sum(sender == requester for sender, _ in network.sent)

    # On a virtual clock: an owner that is silent for 12 ms is asked again, also if this process stood still.
    requests = virtual_time.run(count_requests(), monkeypatch)
    assert requests <= 2 * 7, "each round asks two owners for the tokens of several operations"


async def test_lending_creates_no_tokens(network):
    """Admitted operations and remaining tokens never exceed the initial number of tokens."""
    total = 9.0
    for name in owner_names(network, "z1")[:1]:
        network.set_level(name, total)
    admitted = 0
    for _ in range(4):
        attempts = [network.exchanges[name].admit("org") for name in network.exchanges]
        admitted += sum(await asyncio.gather(*attempts))
    await asyncio.sleep(0.01)
    assert admitted <= total
    assert admitted + sum(network.level(name) for name in network.exchanges) <= total + 1e-6
