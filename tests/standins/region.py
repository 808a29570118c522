"""Simulation of six VMs in three domains on one event loop with simulated time.

Routing, admission and failover are the real code; streams, instances and leases are fakes.
"""

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
SYNC_INTERVAL_S = 0.2
REMOVAL_DELAY_S = 5.0
MAJORITY_TIMEOUT_S = 1.5
FREEZE_S = 3.0
KEYS = {name: keys.digest(f"key of {name}") for name in ("farm", "mill")}
Reason, MAY_HAVE_RUN = verdict.Reason, verdict.Verdict.MAY_HAVE_RUN


def now():
    """Return the simulated time."""
    return asyncio.get_running_loop().time()


class Instance(group_model.FakeInstance):
    """Fake instance that tracks the last contact with its primary; ``replication_stopped`` stops its replication."""

    last_contact = 0.0
    replication_stopped = False

    def status(self):
        """Return the response to ``GET /status``."""
        self.primary_contact_age = now() - self.last_contact
        return super().status()


class Simulation:
    """Simulated region: the shared platform, the VMs and instances, the injected failures and the recorded events.

    Attributes:
        isolated_domains: Domains cut off from the other domains and from the platform.
        crashed_vms: VMs that have crashed.
        frozen_until: Time until which each frozen VM is paused.
        appended: Values of writes in the order in which a primary appended them.
        executed: Time, VM and key digest of each statement that was executed.
        admitted: Times of admissions by organisation.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.platform = memory.MemoryPlatform()
        self.isolated_domains, self.crashed_vms, self.frozen_until = set(), set(), {}
        self.instances = {name: Instance(name) for name in DOMAINS}
        self.instances["a"].role = "primary"
        self.keyed, self.appended, self.executed, self.admitted = {}, [], [], {name: [] for name in KEYS}
        self.vms, self.tasks = {}, []

    async def start(self):
        """Write the initial shared state and start all VMs."""
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
        """Run a coroutine in the background until ``stop``."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self):
        """Cancel all background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def can_reach(self, one, other):
        """Return whether two domains can reach each other; the platform belongs to no domain."""
        return one == other or not {one, other} & self.isolated_domains

    async def wait_while_frozen(self, vm):
        """Wait while a VM is frozen, or 1e6 s, longer than any run, if it has crashed."""
        await asyncio.sleep(1e6 if vm in self.crashed_vms else max(0.0, self.frozen_until.get(vm, 0.0) - now()))

    async def _replicate(self):
        while True:
            for primary, replica in itertools.permutations(self.instances.values(), 2):
                linked = primary.up and replica.up and self.can_reach(primary.name, replica.name)
                if not (linked and primary.role == "primary" and replica.role == "replica"):
                    continue
                if replica.term == primary.term and replica.follows == primary.name:
                    replica.last_contact = now()
                    if not replica.replication_stopped:
                        replica.log.extend(primary.log[len(replica.log) :])
            await asyncio.sleep(0.02)

    async def remove_later(self, vm):
        """Remove a crashed VM from its view after ``REMOVAL_DELAY_S``, as the other members would."""
        await asyncio.sleep(REMOVAL_DELAY_S)
        domain = vm[0]
        if domain in self.isolated_domains or self.platform.down:
            return  # A cut or an outage does not end within a run.
        view = await records.read(self.platform, records.VIEWS, domain)
        left = tuple(member for member in view.members if member.vm != vm)
        await records.write(self.platform, dataclasses.replace(view, number=view.number + 1, members=left))


class Vm:
    """One VM: the real components, with this object as their membership, peers, holder and endpoint client."""

    def __init__(self, simulation, member):
        self.simulation, self.member, self.name, self.domain = simulation, member, member.vm, member.domain
        self.handlers, self.stored_objects, self.owned_from = {}, {}, 0.0
        self.directory = directory.Directory(now)
        self.configuration_numbers = []
        self.directory.subscribe(
            lambda kind, name: self.configuration_numbers.append(self.directory.configuration.number)
        )
        self.holder_checks = checks.RequestChecker(self.directory, self)
        self.admission = service.AdmissionService(self.directory, self, self, rates.LoopTimers())
        dispatcher = dispatch.Dispatcher(membership=self, peers=self, holder=self, directory=self.directory)
        self.proxy = proxy.Proxy(
            directory=self.directory,
            admission=self,
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
            self.handler(kind)(self._handle_execute)

    async def start(self):
        """Load the shared state and start the background tasks."""
        await self._sync()
        self.admission.start()
        self.coordinator.start()
        self.simulation.spawn(self._sync_periodically())

    # Shared state

    async def _sync_periodically(self):
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            await self.simulation.wait_while_frozen(self.name)
            try:
                await self._sync()
            except errors.PlatformUnavailableError:
                for other in self.simulation.vms.values():
                    if self._reaches(other.name):
                        self.stored_objects.update(other.stored_objects)
                        self.directory.apply(other.stored_objects.values())

    async def _sync(self):
        names = {kind: await self.store.names(kind) for kind in ("parts", *directory.KINDS)}
        wanted = [(kind, name) for kind in names for name in names[kind]]
        found = [await self.store.read(kind, name) for kind, name in wanted]
        self.stored_objects = {(each.kind, each.name): each for each in found if each is not None}
        self.directory.apply(self.stored_objects.values())

    @property
    def store(self):
        """The platform, which fails while this VM is cut off and blocks while it is frozen."""
        vm = self

        class PlatformAccess:
            def __getattr__(self, name):
                async def call(*arguments, **options):
                    await vm.simulation.wait_while_frozen(vm.name)
                    if vm.domain in vm.simulation.isolated_domains:
                        raise errors.PlatformUnavailableError("platform is unreachable from this domain")
                    return await getattr(vm.simulation.platform, name)(*arguments, **options)

                return call

        return PlatformAccess()

    # Membership: holders and owners follow the view that this VM knows, so they move only after a view change.

    def _view_members(self, domain):
        view = self.directory.views.get(domain)
        return [member.vm for member in view.members] if view else []

    def holders(self, instance, domain):
        """Return all VMs of the domain as holders."""
        return self._view_members(domain)

    def connection_share(self, instance, domain):
        """Return the share of an instance's connections: half of them in this VM's own domain."""
        return 0.5 if domain == self.domain else 0.0

    def alive(self, vm):
        """Return True for every VM: the least helpful hint, because no failure is ever suspected."""
        return True

    def owner(self, organisation, domain):
        """Return the owner of an organisation: the first VM of the domain's view."""
        return next(iter(self._view_members(domain)), None)

    def owns(self, organisation):
        """Return whether this VM is the owner."""
        return self.owner(organisation, self.domain) == self.name

    def owned_since(self, organisation):
        """Return the time since which this VM has been the owner."""
        return self.owned_from

    # Peers

    def _reaches(self, vm):
        return (
            vm != self.name and vm not in self.simulation.crashed_vms and self.simulation.can_reach(self.domain, vm[0])
        )

    def handler(self, kind):
        """Return a decorator that registers the handler of a kind of frame."""
        return lambda function: self.handlers.setdefault(kind, function)

    def connected(self):
        """Return the reachable VMs."""
        return [vm for vm in self.simulation.vms if self._reaches(vm)]

    def notify(self, vm, kind, body):
        """Send a frame in the background, without confirmation."""

        async def send():
            with contextlib.suppress(errors.PeerUnreachableError, errors.PeerAnswerLostError):
                await self.request(vm, kind, body, timeout_s=1.0)

        self.simulation.spawn(send())

    async def request(self, vm, kind, body, *, timeout_s):
        """Send a frame and return the reply; a frozen VM handles the frame after it resumes."""
        await self.simulation.wait_while_frozen(self.name)
        if vm != self.name and not self._reaches(vm):
            raise errors.PeerUnreachableError(vm)
        delivery = asyncio.ensure_future(self._deliver(self.simulation.vms[vm], kind, body))
        self.simulation.tasks.append(delivery)
        try:
            return await asyncio.wait_for(asyncio.shield(delivery), timeout_s)
        except TimeoutError:
            raise errors.PeerAnswerLostError(vm) from None

    async def _deliver(self, target, kind, body):
        await asyncio.sleep(0.001)
        await self.simulation.wait_while_frozen(target.name)
        reply = await target.handlers[kind](self.name, body)
        await self.simulation.wait_while_frozen(target.name)
        if target is not self and not self._reaches(target.name):
            raise errors.PeerAnswerLostError(target.name)
        return reply

    # Admission: the real service; each admission is recorded.

    async def admit(self, organisation):
        """Admit a request or return the refusal."""
        refusal = await self.admission.admit(organisation)
        if refusal is None:
            self.simulation.admitted[organisation].append(now())
        return refusal

    # Endpoint client: instances as the coordinator reaches them

    async def status(self, instance):
        """Send ``GET /status`` to an instance."""
        return await self._call_instance(instance.name, lambda fake: fake.status())

    async def set_term(self, group, order):
        """Send ``POST /term`` to an instance."""
        return await self._call_instance(order.instance, lambda fake: fake.set_term(order))

    async def _call_instance(self, name, call):
        await asyncio.sleep(0.002)
        await self.simulation.wait_while_frozen(self.name)
        fake = self.simulation.instances[name]
        return call(fake) if fake.up and self.simulation.can_reach(self.domain, name) else None

    # Holder: the real checks, then the checks that an instance makes

    async def _handle_execute(self, sender, body):
        return wire.outcome_to_map(await self.execute(wire.from_map(messages.Execute, body)))

    async def execute(self, message):
        """Run one statement; a write has its value as the only parameter, and a read returns all values."""
        statement = message.statement
        refusal = (
            self.holder_checks.check_caller(message.caller, statement.database, None)
            or self.holder_checks.check_target(
                statement.database, message.instance, message.term, primary=statement.write
            )
            or self.holder_checks.check_position(statement.database, statement.after)
        )
        if refusal is not None:
            return result.Err(refusal)
        fake = self.simulation.instances[message.instance]
        await asyncio.sleep(0.002)
        if not fake.up or not self.simulation.can_reach(self.domain, fake.name):
            return _refuse(Reason.UNREACHABLE)
        if fake.term != message.term:
            return _refuse(Reason.STALE_TERM)
        if statement.write and fake.role != "primary":
            return _refuse(Reason.NOT_PRIMARY)
        if statement.after is not None and len(fake.log) < statement.after.index:
            return _refuse(Reason.BEHIND, index=len(fake.log))
        self.simulation.executed.append((now(), self.name, message.caller.key_digest))
        index, rows = self._apply_statement(fake, statement, message.term)
        await asyncio.sleep(self.simulation.random.choice((0.001, 0.02)))
        if not fake.up or not self.simulation.can_reach(self.domain, fake.name):
            return _refuse(Reason.TIMEOUT, MAY_HAVE_RUN)
        if fake.role == "primary" and not await self._wait_for_majority(fake, index, message.term):
            return _refuse(Reason.NO_MAJORITY, MAY_HAVE_RUN)
        return result.Ok(messages.Answer(statement.request, rows=rows, position=messages.Position(message.term, index)))

    def _apply_statement(self, fake, statement, term):
        if not statement.write:
            return len(fake.log), tuple((value,) for _, value in fake.log)
        (value,) = statement.params
        existing_index = next((n for n, (_, logged_value) in enumerate(fake.log, 1) if logged_value == value), None)
        if statement.idempotency_key is None or existing_index is None:
            fake.log.append((term, value))
            self.simulation.appended.append(value)
        return (existing_index or len(fake.log)), ()

    async def _wait_for_majority(self, primary, index, term):
        end = now() + MAJORITY_TIMEOUT_S
        entry = primary.log[index - 1] if index else None
        while now() < end and primary.term == term and primary.up:
            replicated_on = [
                each
                for each in self.simulation.instances.values()
                if each.up
                and each.term == term
                and self.simulation.can_reach(self.domain, each.name)
                and (not index or (len(each.log) >= index and each.log[index - 1] == entry))
            ]
            if len(replicated_on) >= 2:
                return True
            await asyncio.sleep(0.005)
        return False


def _refuse(reason, kind=verdict.Verdict.NOT_RUN, index=None):
    return result.Err(verdict.Refusal(reason, kind, index=index))


def request(session, number, write, keyed):
    """Return the request with a given number of a session."""
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
