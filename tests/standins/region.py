"""Six VMs in three domains in one loop with controlled time: real decisions over fake streams, instances and leases."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

import result

from currantlead import errors, interfaces, messages, verdict, wire
from currantlead.admission import service
from currantlead.connections import checks
from currantlead.control import coordinator, directory, model, records, store
from currantlead.identity import keys
from currantlead.routing import dispatch, freshness, placement, proxy
from tests import group_model, rates
from tests.standins import memory

DOMAINS = ("a", "b", "c")
RATE, BURST = 40.0, 20.0
SYNC_S = 0.2
REMOVED_AFTER_S = 5.0
MAJORITY_WAIT_S = 1.5
FROZEN_S = 3.0
KEYS = {name: keys.digest(f"key of {name}") for name in ("farm", "mill")}
Reason, MAY = verdict.Reason, verdict.Verdict.MAY_HAVE_RUN


def now():
    """Return the controlled time."""
    return asyncio.get_running_loop().time()


class Instance(group_model.FakeInstance):
    """Add what it last heard of its primary, and a replication that may stand still."""

    heard_at = 0.0
    behind = False

    def status(self):
        """Answer ``GET /status``."""
        self.primary_contact_age = now() - self.heard_at
        return super().status()


class World:
    """Hold the shared parts, the failures and what was seen."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.platform = memory.MemoryPlatform()
        self.cut, self.dead, self.frozen = set(), set(), {}
        self.instances = {name: Instance(name) for name in DOMAINS}
        self.instances["a"].role = "primary"
        self.keyed, self.appended, self.executed, self.admitted = {}, [], [], {name: [] for name in KEYS}
        self.vms, self.tasks = {}, []

    async def start(self):
        """Write the first state and start all VMs."""
        members = {domain: tuple(model.Member(f"{domain}{n}", domain, 1, "x:1") for n in (1, 2)) for domain in DOMAINS}
        group = group_model.make_group(
            version=0, instances=tuple(model.Instance(name, f"http://{name}", name) for name in DOMAINS)
        )
        views = [model.View(domain, 1, members[domain]) for domain in DOMAINS]
        division = model.Shares(1, dict.fromkeys(DOMAINS, 1 / 3), confirmed=dict.fromkeys(DOMAINS, 1))
        for record in (group, division, *views):
            await records.write(self.platform, record)
        organisations = {n: model.Organisation(n, RATE, BURST, ("sql",), {"main": KEYS[n]}) for n in KEYS}
        await store.ConfigurationStore(self.platform, now).change(
            lambda old: dataclasses.replace(
                old,
                domains={name: model.Domain(name) for name in DOMAINS},
                services={"sql": model.Service("sql", 5, 20)},
                databases={"db": model.Database("db", "sql")},
                organisations=organisations,
            ),
            "first",
        )
        for member in itertools.chain(*members.values()):
            self.vms[member.vm] = Vm(self, member)
        self.spawn(self._replicate())
        for vm in self.vms.values():
            await vm.start()

    def spawn(self, coroutine):
        """Run a task until the end of the world."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self):
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def linked(self, one, other):
        """Tell whether two domains reach each other; the platform is in none."""
        return one == other or not {one, other} & self.cut

    async def awake(self, vm):
        """Wait while a VM is frozen, and for ever once it is dead."""
        await asyncio.sleep(1e6 if vm in self.dead else max(0.0, self.frozen.get(vm, 0.0) - now()))

    async def _replicate(self):
        while True:
            for primary, replica in itertools.permutations(self.instances.values(), 2):
                linked = primary.up and replica.up and self.linked(primary.name, replica.name)
                if not (linked and primary.role == "primary" and replica.role == "replica"):
                    continue
                if replica.term == primary.term and replica.follows == primary.name:
                    replica.heard_at = now()
                    if not replica.behind:
                        replica.log.extend(primary.log[len(replica.log) :])
            await asyncio.sleep(0.02)

    async def remove_later(self, vm):
        """Change the view some seconds after a death, as the other members do."""
        await asyncio.sleep(REMOVED_AFTER_S)
        domain = vm[0]
        if domain in self.cut or self.platform.down:
            return  # Neither ends within a run.
        view = await records.read(self.platform, records.VIEWS, domain)
        left = tuple(member for member in view.members if member.vm != vm)
        await records.write(self.platform, dataclasses.replace(view, number=view.number + 1, members=left))


class Vm:
    """Bundle the real parts of one VM."""

    def __init__(self, world, member):
        self.world, self.member, self.name, self.domain = world, member, member.vm, member.domain
        self.handlers, self.raw, self.gained = {}, {}, 0.0
        self.directory = directory.Directory(now)
        self.numbers = []
        self.directory.subscribe(lambda kind, name: self.numbers.append(self.directory.configuration.number))
        self.rules = checks.RequestChecker(self.directory, self)
        self.gate = service.Service(self.directory, self, self, rates.LoopTimers())
        dispatcher = dispatch.Dispatcher(membership=self, peers=self, holder=self, directory=self.directory)
        self.proxy = proxy.Proxy(
            directory=self.directory,
            gate=self,
            dispatcher=dispatcher,
            positions=freshness.PositionEstimates(),
            domain=self.domain,
            clock=now,
            request_timeout_s=4.0,
        )
        self.coordinator = coordinator.FailoverCoordinator(
            platform=self.store,
            peers=self,
            directory=self.directory,
            client=self,
            clock=rates.LoopTimers(),
            rank=placement.rank,
            on_group=lambda group: self.directory.apply([records.to_object(group)]),
        )
        for kind in ("execute", "begin", "transact", "finish"):
            self.handler(kind)(self._answer)

    async def start(self):
        """Load the shared state and start the tasks."""
        await self._sync()
        self.gate.start()
        self.coordinator.start()
        self.world.spawn(self._follow())

    # Shared state.

    async def _follow(self):
        while True:
            await asyncio.sleep(SYNC_S)
            await self.world.awake(self.name)
            try:
                await self._sync()
            except errors.PlatformUnavailableError:
                for other in self.world.vms.values():
                    if self._hears(other.name):
                        self.raw.update(other.raw)
                        self.directory.apply(other.raw.values())

    async def _sync(self):
        names = {kind: await self.store.names(kind) for kind in ("parts", *directory.KINDS)}
        wanted = [(kind, name) for kind in names for name in names[kind]]
        found = [await self.store.read(kind, name) for kind, name in wanted]
        self.raw = {(each.kind, each.name): each for each in found if each is not None}
        self.directory.apply(self.raw.values())

    @property
    def store(self):
        """Return the platform as this VM reaches it."""
        vm = self

        class Reached:
            def __getattr__(self, name):
                async def call(*arguments, **options):
                    await vm.world.awake(vm.name)
                    if vm.domain in vm.world.cut:
                        raise errors.PlatformUnavailableError("cut off")
                    return await getattr(vm.world.platform, name)(*arguments, **options)

                return call

        return Reached()

    # Membership: roles follow the view that this VM knows; a death moves them after a view change.

    def _members(self, domain):
        view = self.directory.views.get(domain)
        return [member.vm for member in view.members] if view else []

    def holders(self, instance, domain):
        """Return all VMs of the instance's domain."""
        return self._members(domain)

    def connection_share(self, instance, domain):
        """Return the share of an instance."""
        return 0.5 if domain == self.domain else 0.0

    def alive(self, vm):
        """Know nothing of failures: the worst hint."""
        return True

    def owner(self, organisation, domain):
        """Return the first VM of a view."""
        return next(iter(self._members(domain)), None)

    def owns(self, organisation):
        """Tell whether this VM is the first one."""
        return self.owner(organisation, self.domain) == self.name

    def owned_since(self, organisation):
        """Return when the view with this owner was adopted."""
        return self.gained

    # Streams.

    def _hears(self, vm):
        return vm != self.name and vm not in self.world.dead and self.world.linked(self.domain, vm[0])

    def handler(self, kind):
        """Register a handler."""
        return lambda function: self.handlers.setdefault(kind, function)

    def connected(self):
        """Return the reachable VMs."""
        return [vm for vm in self.world.vms if self._hears(vm)]

    def notify(self, vm, kind, body):
        """Send a frame that may be lost."""

        async def send():
            with contextlib.suppress(errors.PeerUnreachableError, errors.PeerAnswerLostError):
                await self.request(vm, kind, body, timeout_s=1.0)

        self.world.spawn(send())

    async def request(self, vm, kind, body, *, timeout_s):
        """Deliver a frame; a frozen VM handles it late."""
        await self.world.awake(self.name)
        if vm != self.name and not self._hears(vm):
            raise errors.PeerUnreachableError(vm)
        delivery = asyncio.ensure_future(self._deliver(self.world.vms[vm], kind, body))
        self.world.tasks.append(delivery)
        try:
            return await asyncio.wait_for(asyncio.shield(delivery), timeout_s)
        except TimeoutError:
            raise errors.PeerAnswerLostError(vm) from None

    async def _deliver(self, target, kind, body):
        await asyncio.sleep(0.001)
        await self.world.awake(target.name)
        reply = await target.handlers[kind](self.name, body)
        await self.world.awake(target.name)
        if target is not self and not self._hears(target.name):
            raise errors.PeerAnswerLostError(target.name)
        return reply

    # Gate: the real service, with a note of each admission.

    async def admit(self, organisation):
        """Take one token."""
        refusal = await self.gate.admit(organisation)
        if refusal is None:
            self.world.admitted[organisation].append(now())
        return refusal

    # Instances, as the coordinator and the holder reach them.

    async def status(self, instance):
        """Answer ``GET /status``."""
        return await self._reach(instance.name, lambda fake: fake.status())

    async def set_term(self, group, order):
        """Answer ``POST /term``."""
        return await self._reach(order.instance, lambda fake: fake.set_term(order))

    async def _reach(self, name, act):
        await asyncio.sleep(0.002)
        await self.world.awake(self.name)
        fake = self.world.instances[name]
        return act(fake) if fake.up and self.world.linked(self.domain, name) else None

    # Holder: the real checks, then the rules of an instance.

    async def _answer(self, sender, body):
        return wire.outcome_to_map(await self.execute(wire.from_map(messages.Execute, body)))

    async def execute(self, work):
        """Run one statement; a write's parameter is its value."""
        statement = work.statement
        refusal = (
            self.rules.check_caller(work.caller, statement.database, None)
            or self.rules.check_target(statement.database, work.instance, work.term, primary=statement.write)
            or self.rules.check_position(statement.database, statement.after)
        )
        if refusal is not None:
            return result.Err(refusal)
        fake = self.world.instances[work.instance]
        await asyncio.sleep(0.002)
        if not fake.up or not self.world.linked(self.domain, fake.name):
            return _refuse(Reason.UNREACHABLE)
        if fake.term != work.term:
            return _refuse(Reason.STALE_TERM)
        if statement.write and fake.role != "primary":
            return _refuse(Reason.NOT_PRIMARY)
        if statement.after is not None and len(fake.log) < statement.after.index:
            return _refuse(Reason.BEHIND, index=len(fake.log))
        self.world.executed.append((now(), self.name, work.caller.key_digest))
        index, rows = self._run(fake, statement, work.term)
        await asyncio.sleep(self.world.random.choice((0.001, 0.02)))
        if not fake.up or not self.world.linked(self.domain, fake.name):
            return _refuse(Reason.TIMEOUT, MAY)
        if fake.role == "primary" and not await self._majority(fake, index, work.term):
            return _refuse(Reason.NO_MAJORITY, MAY)
        return result.Ok(messages.Answer(statement.request, rows=rows, position=messages.Position(work.term, index)))

    def _run(self, fake, statement, term):
        if not statement.write:
            return len(fake.log), tuple((value,) for _, value in fake.log)
        (value,) = statement.params
        known = next((n for n, (_, kept) in enumerate(fake.log, 1) if kept == value), None)
        if statement.idempotency_key is None or known is None:
            fake.log.append((term, value))
            self.world.appended.append(value)
        return (known or len(fake.log)), ()

    async def _majority(self, primary, index, term):
        end = now() + MAJORITY_WAIT_S
        entry = primary.log[index - 1] if index else None
        while now() < end and primary.term == term and primary.up:
            copies = [
                each
                for each in self.world.instances.values()
                if each.up
                and each.term == term
                and self.world.linked(self.domain, each.name)
                and (not index or (len(each.log) >= index and each.log[index - 1] == entry))
            ]
            if len(copies) >= 2:
                return True
            await asyncio.sleep(0.005)
        return False


def _refuse(reason, kind=verdict.Verdict.NOT_RUN, index=None):
    return result.Err(verdict.Refusal(reason, kind, index=index))


def request(session, number, write, keyed):
    """Return a session's next request."""
    return interfaces.CallerRequest(
        f"{session.name}-{number}",
        interfaces.Action.STATEMENT,
        key_digest=KEYS[session.organisation],
        session=session.token,
        database="db",
        params=(f"{session.name}-{number}",) if write else (),
        write=write,
        idempotency_key=f"k{number}" if keyed else None,
    )
