"""Fakes of the interfaces that a holder depends on, and a group of stand-in instances in the same process."""

import contextlib
import dataclasses
import hashlib

import aiohttp

from currantlead import timers
from currantlead.connections import holder
from currantlead.control import model
from tests.standins import endpoint

KEY = hashlib.sha256(b"key").hexdigest()
OTHER_KEY = hashlib.sha256(b"other").hexdigest()


class Directory:
    """Fake directory whose shared state the test changes."""

    def __init__(self, group: model.Group, **service):
        self.configuration = model.Configuration(
            number=1,
            services={"sql": model.Service("sql", **{"slots": 5, "connections": 20, **service})},
            databases={group.name: model.Database(group.name, "sql")},
            organisations={
                "farm": model.Organisation("farm", 100, 100, ("sql",), {"main": KEY}),
                "mill": model.Organisation("mill", 100, 100, ("sql",), {"main": OTHER_KEY}),
            },
        )
        self.groups = {group.name: group}
        self.views = {}
        self.shares = model.Shares(0)
        self._callbacks = []

    def subscribe(self, callback):
        """Register a callback for changes of the shared state."""
        self._callbacks.append(callback)

    def set_group(self, **changes):
        """Change the only group and notify the subscribers."""
        name, group = next(iter(self.groups.items()))
        self.groups[name] = dataclasses.replace(group, **changes)
        self._notify("groups", name)

    def set_configuration(self, **changes):
        """Change the configuration and notify the subscribers."""
        self.configuration = dataclasses.replace(self.configuration, **changes)
        self._notify("configuration", "current")

    def _notify(self, kind, name):
        for callback in self._callbacks:
            callback(kind, name)


class Membership:
    """Fake membership that grants the same connection share of every instance while the lease is valid."""

    def __init__(self, share=1.0):
        self.share = share
        self.has_lease = True

    def lease_valid(self):
        """Return whether the lease is valid."""
        return self.has_lease

    def connection_share(self, instance, domain):
        """Return the connection share, or 0 without a lease."""
        return self.share if self.has_lease else 0.0


class Peers:
    """Fake peers that only collect the registered handlers."""

    def __init__(self, vm="vm-1"):
        self.member = model.Member(vm, "north", 7, "127.0.0.1:1")
        self.handlers = {}

    def handler(self, kind):
        """Return a decorator that registers the handler of a kind of frame."""
        return lambda function: self.handlers.setdefault(kind, function)


class Cluster:
    """Three stand-in instances, the shared state and one holder of them."""

    def __init__(self, instances, directory, clock):
        self.instances = instances
        self.directory = directory
        self.membership = Membership()
        self.peers = Peers()
        self.unresponsive_primaries = []
        self.holder = holder.Holder(
            directory,
            self.membership,
            self.peers,
            clock,
            on_unresponsive_primary=lambda *args: self.unresponsive_primaries.append(args),
        )

    @property
    def primary(self):
        """Return the instance that is the primary at the start."""
        return self.instances["ledger-a"]

    async def promote(self, name, term, *, reachable=("ledger-a", "ledger-b", "ledger-c")):
        """Promote an instance as a coordinator would, and update the group record."""
        start = self.instances[name].replica.log.index
        urls = {each: self.instances[each].url for each in reachable}
        await endpoint.form_group(urls, name, term=term, start_index=start)
        self.directory.set_group(term=term, primary=name, starts={term: start})


@contextlib.asynccontextmanager
async def running_cluster(*, start=True, data=None, service=None, **controls):
    """Run a group of three instances and one holder for all of them."""
    names = ("ledger-a", "ledger-b", "ledger-c")
    instances = {name: endpoint.Instance(name, "ledger", data=data and data[name], **controls) for name in names}
    urls = {name: await instance.start() for name, instance in instances.items()}
    await endpoint.form_group(urls, "ledger-a")
    group = model.Group(
        "ledger", 1, model.Phase.STABLE, "ledger-a", tuple(model.Instance(n, urls[n], "north") for n in names), {1: 0}
    )
    clock = timers.TimerService()
    clock.start()
    cluster = Cluster(instances, Directory(group, **(service or {})), clock)
    if start:
        cluster.holder.start()
    try:
        yield cluster
    finally:
        await cluster.holder.stop(timeout_s=0.2)
        await clock.stop()
        for instance in instances.values():
            await instance.stop()


async def set_controls(url, **values):
    """Change the limits and faults of a stand-in in another process."""
    async with aiohttp.ClientSession() as session, session.post(f"{url}/control", json=values) as answer:
        return await answer.json()
