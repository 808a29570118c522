"""Test helpers: an event loop with virtual time, and fakes of what the admission service depends on."""

import asyncio
import random

import result

from currantlead import errors, interfaces, messages, timers
from currantlead.admission import service
from currantlead.control import model
from currantlead.identity import keys

digest = keys.digest
_tasks = set()


def _spawn(coroutine):
    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that advances its clock to the next callback instead of waiting."""

    def __init__(self):
        super().__init__()
        self._time = 1000.0
        select = self._selector.select
        self._selector.select = lambda timeout: self._skip(timeout, select)

    def time(self):
        """Return the virtual time."""
        return self._time

    def _skip(self, timeout, select):
        if timeout:
            self._time += timeout
        return select(0)


class LoopTimers:
    """Timers on the running loop, in place of ``timers.Timers``."""

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def subscribe(self, name, interval_s, callback):
        """Call back periodically."""
        subscription = timers.Subscription(name, interval_s, callback)
        self.call_after(name, interval_s, lambda: self._repeat(subscription))
        return subscription

    def call_after(self, name, delay_s, callback):
        """Call back once."""
        subscription = timers.Subscription(name, None, callback)
        asyncio.get_running_loop().call_later(delay_s, self._call, subscription)
        return subscription

    def _repeat(self, subscription):
        if not subscription.cancelled:
            self._call(subscription)
            self.call_after(subscription.name, subscription.interval_s, lambda: self._repeat(subscription))

    def _call(self, subscription):
        pending = None if subscription.cancelled else subscription.callback()
        if pending is not None:
            _spawn(pending)


class Directory:
    """Fake of ``interfaces.Directory`` with settable state."""

    def __init__(self, configuration, views, shares):
        self.configuration = configuration
        self.views = views
        self.shares = shares
        self.groups = {}
        self._callbacks = []

    def subscribe(self, callback):
        """Add a subscriber."""
        self._callbacks.append(callback)

    def change(self, **values):
        """Replace parts of the state and notify the subscribers."""
        for name, value in values.items():
            setattr(self, name, value)
            for callback in self._callbacks:
                callback(name, "current")


class Membership:
    """Fake of ``interfaces.Membership`` with a table of the owner of each domain."""

    def __init__(self, vm, domain, owners):
        self._vm, self._domain, self._owners = vm, domain, owners
        self.since = 0.0

    def owns(self, organisation):
        """Return whether this VM is the owner in its domain."""
        return self._owners.get(self._domain) == self._vm

    def owned_since(self, organisation):
        """Return the time at which ownership became active."""
        return self.since

    def owner(self, organisation, domain):
        """Return the owner in a domain."""
        return self._owners.get(domain)


class Network:
    """Simulated network with delays; VMs in ``unreachable`` get and send no frames."""

    def __init__(self, seed=1):
        self.handlers = {}
        self.domains = {}
        self.unreachable = set()
        self.sent = 0
        self._random = random.Random(seed)

    def delay(self, source, target):
        """Return the one-way delay in seconds."""
        return (0.0015 if self.domains[source] != self.domains[target] else 0.0003) * self._random.uniform(1, 2)


class Peers:
    """Fake of ``interfaces.Peers`` for one VM."""

    def __init__(self, network, vm, domain):
        self.member = model.Member(vm, domain, 1, "127.0.0.1:1")
        self._network = network
        network.domains[vm] = domain

    def handler(self, kind):
        """Register a handler."""

        def register(function):
            self._network.handlers[self.member.vm] = function
            return function

        return register

    async def request(self, vm, kind, body, *, timeout_s):
        """Deliver a frame and its reply, each after a delay."""
        self._network.sent += 1
        if {vm, self.member.vm} & self._network.unreachable:
            await asyncio.sleep(timeout_s)
            raise errors.PeerAnswerLostError("no reply")
        if vm not in self._network.handlers:
            raise errors.PeerUnreachableError("unknown VM")
        await asyncio.sleep(self._network.delay(self.member.vm, vm))
        reply = await self._network.handlers[vm](self.member.vm, body)
        await asyncio.sleep(self._network.delay(vm, self.member.vm))
        return reply

    def notify(self, vm, kind, body):
        """Deliver a frame after a delay."""
        self._network.sent += 1
        if not {vm, self.member.vm} & self._network.unreachable:
            _spawn(self._deliver_later(vm, body))

    async def _deliver_later(self, vm, body):
        await asyncio.sleep(self._network.delay(self.member.vm, vm))
        await self._network.handlers[vm](self.member.vm, body)


def cluster(vms, rate, burst, domains=("a", "b", "c"), organisations=("tenant",), platform=None):
    """Create the services of VMs in several domains; the first VM of a domain owns its buckets."""
    network = Network()
    names = {f"vm{number}": domains[number % len(domains)] for number in range(vms)}
    owners = {domain: next(vm for vm in names if names[vm] == domain) for domain in domains}
    views = {
        domain: model.View(domain, 1, tuple(model.Member(vm, domain, 1, "") for vm in names if names[vm] == domain))
        for domain in domains
    }
    configuration = model.Configuration(
        1, organisations={name: model.Organisation(name, rate, burst) for name in organisations}
    )
    directory = Directory(configuration, views, model.Shares(1, dict.fromkeys(domains, 1 / len(domains))))
    services = {
        vm: service.AdmissionService(
            directory, Membership(vm, domain, owners), Peers(network, vm, domain), LoopTimers(), platform
        )
        for vm, domain in names.items()
    }
    return services, network, directory, owners


def run(coroutine):
    """Run a coroutine on a loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class EchoProxy:
    """Fake proxy that answers each request with its own parameters."""

    def __init__(self):
        self.requests = []
        self.delay_s = 0.0

    async def handle(self, request):
        """Return a completed answer."""
        self.requests.append(request)
        await asyncio.sleep(self.delay_s)
        answer = messages.Answer(request.request, ("value",), (tuple(request.params),), transaction="vm1.7")
        return interfaces.CallerReply(result.Ok(answer), {"ledger": messages.Position(1, 2)})
