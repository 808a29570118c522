"""Model of a service whose primary is replaced: real failover parts of several VMs, with fakes for everything else.

Instances, store, platform and streams live in memory, and time is virtual. Paths can be cut in one direction, calls can
be carried out late, and VMs can be frozen or killed at any of their messages.
"""

import asyncio
import contextvars
import dataclasses
import json
import random

import loguru
import pytest

from currantlead import errors
from currantlead.peers import identity
from currantlead.platform import objects
from currantlead.sessions import clock, model, settings, statements
from currantlead.sessions.decisions import acknowledgements, vm_contact
from currantlead.sessions.failover import commit_contact, commit_records, commit_reports, remote_commands, succession
from currantlead.sessions.instances import alarms, fleet, link
from currantlead.sessions.shared import duty_claims, http
from tests import virtual_time

SERVICE, STORE = "svc1", "store"
TICK_S = 0.05
COMMIT_INTERVAL_S = 0.2
COMMIT_TIMEOUT_S = 1.0
RECOVERY_S = 30.0
"""Time after the end of all faults within which the service must work again."""
_current_vm: contextvars.ContextVar["Vm"] = contextvars.ContextVar("vm")


class Instance:
    """An instance with its log of commits.

    Attributes:
        paused: Term for which it receives nothing, or 0.
        waiters: Commits that wait for a replica.
    """

    def __init__(self, world, name, log=(), term=1):
        self.world, self.name, self.log, self.term = world, name, list(log), term
        self.role, self.paused, self.running, self.draining, self.born = model.Role.REPLICA, 0, True, False, 1
        self.waiters = []

    @property
    def leads(self):
        """Whether it takes commits."""
        return self.running and self.role is model.Role.PRIMARY

    def register(self):
        """Write the entry in the store, if it can be reached."""
        if self.running and self.name in self.world.instances and not self.world.is_cut(self.name, STORE):
            state = (self.draining, self.role, self.born)
            self.world.put(objects.INSTANCES, self.name, state)

    def set_role(self, role):
        """Change the role; commits that wait at an old primary are never acknowledged."""
        self.role = role
        if role is model.Role.REPLICA:
            self.drop_waiters()
        self.register()

    def drop_waiters(self):
        """Close the connections of waiting commits."""
        for waiter in self.waiters:
            waiter.cancel()
        self.waiters = []

    def crash(self):
        """Stop without notice; the entry disappears after three silent intervals."""
        self.running, born = False, self.born
        self.drop_waiters()

        def expire():
            if not self.running and self.born == born:
                self.world.objects.pop((objects.INSTANCES, self.name), None)

        self.world.later(3.0, expire)

    def restart(self):
        """Start again with the log, without the pause."""
        self.running, self.paused, self.term = True, 0, self.world.term
        self.born += 1
        self.register()

    def has(self, position):
        """Return whether the log has a commit."""
        return len(self.log) >= position.number and self.log[position.number - 1] == position

    def receive(self, log):
        """Take over the primary's log, rolling back what it lacks."""
        count = min(len(self.log), len(log))
        while count and self.log[count - 1] != log[count - 1]:
            count -= 1
        self.log[count:] = log[count:]

    async def execute(self, text):
        """Run a statement; return the reply, which has the log's end, and the position of its commit or None."""
        word, _, field = text.partition(" ")
        asked_at, result, position = clock.now(), statements.Done("-"), None
        if word == "WRITE" and not self.leads:
            result = statements.Failure(statements.Code.READ_ONLY, self.name)
        elif word == "WRITE":
            position = model.Position(self.term, len(self.log) + 1)
            self.log.append(position)
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            await waiter
        elif word == "PAUSE" and int(field) > max(self.term, self.paused) and not self.leads:
            self.paused = int(field)
        elif word == "RESUME":
            self.paused = 0
        elif word == "DEMOTE" and self.leads and int(field) > self.term:
            self.set_role(model.Role.REPLICA)
        end = self.log[-1] if self.log else model.Position(self.term, 0)
        rows = () if word == "WRITE" else (f"{self.role.value} {self.term} {end} {self.paused} 0 0 1",)
        return statements.Reply(rows, result, statements.TransactionState.IDLE, end, asked_at), position


class Link:
    """Connection of a VM to an instance; see ``link.Link``."""

    def __init__(self, instance, vm):
        self.instance, self.vm, self.closed, self.committed = instance, vm, False, None

    @classmethod
    async def connect(cls, instance, organisation):
        """Open a connection on behalf of the VM whose task this is."""
        vm = _current_vm.get()
        target = vm.world.instances.get(instance.id)
        if vm.world.is_cut(vm.name, instance.id) or vm.world.is_cut(instance.id, vm.name):
            await vm.wait(link.CONNECT_TIMEOUT_S)
            raise errors.LinkRefusedError("timed out", overloaded=False)
        await vm.wait(vm.world.latency())
        if target is None or not target.running:
            raise errors.LinkRefusedError("connection refused", overloaded=False, absent=True)
        return cls(instance, vm)

    @property
    def open(self):
        """Whether this side has not closed the connection."""
        return not self.closed

    def close(self):
        """Close the connection."""
        self.closed = True

    abort = close

    async def exchange(self, message, *, count=1, timeout_s):
        """Send a statement and return its reply."""
        world, name, began_at = self.vm.world, self.instance.id, None
        try:
            if self.closed:
                raise errors.LinkLostError("closed", sent=False)
            await self.vm.wait(0.0)
            began_at = clock.now()
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(world.latency())
                target = world.instances.get(name)
                if world.is_cut(self.vm.name, name):
                    await world.never()
                if target is None or not target.running:
                    raise errors.LinkLostError("reset", sent=True)
                text = message.decode().strip().partition(" ")[2].partition(" ")[2]
                reply, self.committed = await target.execute(text)
                await asyncio.sleep(world.latency())
                if world.is_cut(name, self.vm.name):
                    await world.never()
            await self.vm.wait(0.0)
            if clock.now() - began_at > timeout_s:
                raise TimeoutError
        except TimeoutError as error:
            self.closed = True
            await self.vm.wait(0.0)
            raise errors.LinkLostError("timed out", sent=True, timed_out=True) from error
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            self.closed = True
            await self.vm.wait(0.0)
            raise errors.LinkLostError("reset", sent=True) from error
        return [reply]


class Network:
    """Streams of one VM; see ``network.Network``."""

    def __init__(self, vm):
        self.member, self._vm, self.handlers = identity.Member(vm.name, "z1", 1, ""), vm, {}

    def handler(self, kind):
        """Register a handler."""
        return lambda handler: self.handlers.setdefault(kind, handler)

    async def request(self, vm, kind, body, *, timeout_s):
        """Send a request; a frozen VM handles it when it goes on."""
        world, own = self._vm.world, self._vm.name
        await self._vm.wait(world.latency(kind))
        if world.is_cut(own, vm) or not world.vms[vm].alive:
            await self._vm.wait(timeout_s)
            raise errors.PeerUnreachableError(vm)
        answer = world.vms[vm].run(self._answer(world.vms[vm], kind, body))
        done, _ = await asyncio.wait({answer}, timeout=timeout_s)
        await self._vm.wait(0.0)
        if not done or world.is_cut(vm, own) or answer.exception() is not None:
            raise errors.PeerAnswerLostError(vm)
        return answer.result()

    async def _answer(self, target, kind, body):
        await target.wait(0.0)
        reply = target.network.handlers[kind](self.member.vm, body)
        reply = await reply if asyncio.iscoroutine(reply) else reply
        await target.wait(target.world.latency(kind))
        return reply

    def notify(self, vm, kind, body):
        """Send a frame."""
        if not self._vm.world.is_cut(self._vm.name, vm) and self._vm.world.vms[vm].alive:
            self._vm.world.vms[vm].run(self._answer(self._vm.world.vms[vm], kind, body))


class Store:
    """Store and platform as one VM calls them; see ``store.Store``."""

    def __init__(self, vm):
        self._vm, self._world = vm, vm.world

    async def _call(self, operation, fault, late_s, timeout_s, error):
        """Carry out a call; a fault is "down", "lost" (no answer), "late" (carried out later, no answer), or empty."""
        await self._vm.wait(self._world.latency())
        fault = "down" if self._world.is_cut(self._vm.name, STORE) else fault
        if fault == "late":
            self._world.carry_out_late(late_s, operation)
        result = operation() if fault in ("", "lost") else None
        if fault or self._world.is_cut(STORE, self._vm.name):
            await self._vm.wait(timeout_s)
            raise error(fault)
        await self._vm.wait(self._world.latency())
        return result

    async def _access(self, operation, late_s=(0.5, 5.0)):
        fault = self._world.draw_fault(self._world.store_faults)
        if fault == "late" and late_s is None:
            fault = "lost"
        return await self._call(operation, fault, late_s, 0.8, errors.PlatformUnavailableError)

    async def read(self, kind, name):
        """Return an object or None."""
        return await self._access(lambda: self._world.stored(kind, name), None)

    async def create(self, kind, name, value):
        """Create an object unless it exists."""
        return await self._access(lambda: self._world.write(kind, name, value, None))

    async def replace(self, kind, name, value, revision):
        """Replace an object if its revision is the given one."""
        return await self._access(lambda: self._world.write(kind, name, value, revision))

    async def call(self, call, client=None, timeout_s=1.0):
        """Designate a primary."""
        headers, body = dict(call.headers), json.loads(call.body)
        token, holder = int(headers["Fence-Token"]), headers["Duty-Holder"]
        self._world.callers.setdefault(token, set()).add(holder)
        fault = self._world.draw_fault(self._world.call_faults)
        status = await self._call(
            lambda: self._world.designate(body["id"], token),
            fault, (2.0, 12.0), timeout_s, errors.HttpUnavailableError,
        )  # fmt: skip
        return http.Response(status, b"")


class Vm:
    """One running VM."""

    def __init__(self, world, name):
        self.world, self.name, self.alive = world, name, True
        self.awake = asyncio.Event()
        self.awake.set()
        self.context = contextvars.copy_context()
        self.context.run(_current_vm.set, self)
        self.position, self.seen, self.polled_at, self.commits = None, {}, clock.now(), {}
        self.context.run(self._create_parts)

    def _create_parts(self):
        self.network, self.store = Network(self), Store(self)
        self.fleet = fleet.Fleet(settings.Bounds(), {})
        self.acknowledged = acknowledgements.AcknowledgedCommits()
        records = commit_records.CommitRecords(self.store)
        self.claims = duty_claims.DutyClaims(self.store, self.name)
        self.alarms = alarms.Alarms(self.fleet, self.network, self.responsive)
        self.reports = commit_reports.CommitReports(
            self.network, self.fleet, self.acknowledged, records,
            lambda primary: self.world.names, lambda: self.world.names,
            lambda: {name: [other for other in self.world.names if other != name] for name in self.world.names},
        )  # fmt: skip
        self.contact = commit_contact.CommitContact(
            self.network, self.fleet, self.claims, self.acknowledged, records,
            lambda: [name for name in self.world.names if name != self.name],
        )  # fmt: skip
        self.fleet.on_ordered = self._abort_commits
        self.contact.on_forbidden = self._abort_commits
        remote = remote_commands.RemoteCommands(
            self.network, self.fleet, lambda instance: self.responsive(), lambda instance_id: False
        )
        self.failover = succession.Failover(
            self.fleet, self.store, self.claims, settings.Address("127.0.0.1", 1), self.reports, remote,
            vm=self.name, members=self.responsive, configured=lambda: {SERVICE},
            find_contact_among=lambda silent: sorted(silent) if len(silent) > 1 else [],
        )  # fmt: skip
        self.poll()

    def run(self, coroutine):
        """Start a task of this VM."""
        return self.world.loop.create_task(coroutine, context=self.context.copy())

    async def wait(self, seconds):
        """Wait for a time, and until this VM is not frozen; a killed one does nothing more."""
        await asyncio.sleep(seconds)
        await self.awake.wait()

    def responsive(self):
        """Return the VMs that this one hears from."""
        return [
            name
            for name, vm in self.world.vms.items()
            if name == self.name or (vm.alive and vm.awake.is_set() and not self.world.is_cut(name, self.name))
        ]

    def poll(self):
        """Apply the store's entries."""
        if self.world.is_cut(self.name, STORE) or self.world.is_cut(STORE, self.name):
            return
        entries = {key: entry for key, entry in self.world.objects.items() if self.seen.get(key) != entry}
        for (kind, name), (revision, value) in sorted(entries.items(), key=lambda item: item[1][0]):
            if kind == objects.INSTANCES:
                draining, role, born = value
                instance = model.Instance(name, SERVICE, "", 1, f"z-{name}", draining, role, revision, born)
                self.fleet.update(instance, self.polled_at)
            elif kind == objects.DUTIES:
                stored = objects.StoredObject(name, revision, value)
                duty = objects.decode_duty(stored)
                self.claims.record(name, duty.holder, revision, duty.stage, duty.ordered)
        for _, name in self.seen.keys() - self.world.objects.keys():
            self.fleet.remove(name)
        self.seen, self.polled_at = dict(self.world.objects), clock.now()

    def tick(self, number):
        """Run the periodic checks."""
        if number % 2 == 0:
            if self.world.random.random() < 0.3:
                self.poll()
            self.failover.check()
        if number % 10 == 0:
            self.fleet.remove_lapsed()
            for name in self.responsive():
                self.acknowledged.merge(SERVICE, self.world.vms[name].acknowledged.of(SERVICE))
        share = self.world.commit_share
        if number % round(COMMIT_INTERVAL_S / TICK_S) == 0 and (
            share == 1.0 or self.world.commit_random.random() < share
        ):
            self.run(self.commit())

    def _abort_commits(self, service, ordered_id):
        for task, name in list(self.commits.items()):
            if name != ordered_id:
                task.cancel()

    async def commit(self):
        """Send a commit to the primary, and record what the answer shows, as the execution of statements does."""
        tracked = self.fleet.primary(SERVICE)
        if tracked is None or not self.fleet.accepts_primary_work(tracked):
            return
        name, sent_at, before = tracked.instance.id, clock.now(), self.position
        try:
            connection = await Link.connect(tracked.instance, "org")
            if await self.contact.find_refusal(tracked.instance) or self.fleet.is_replaced(name):
                return
            self.commits[asyncio.current_task()] = name
            with self.contact.watch(tracked.instance) as sent:
                (reply,) = await connection.exchange(b"QUERY c1 WRITE a b", timeout_s=COMMIT_TIMEOUT_S)
        except errors.LinkRefusedError:
            self.fleet.mark_suspect(name, "connection failed")
            return
        except errors.LinkLostError as error:
            self.fleet.record_write(name, answered=not error.timed_out)
            return
        finally:
            self.commits.pop(asyncio.current_task(), None)
        self.fleet.mark_healthy(name)
        if reply.failure is not None:
            self.fleet.mark_not_primary(name)
            return
        if not await self.contact.confirm(sent, reply.position):
            return
        if self.alive:
            self.world.acknowledge(connection.committed)
        self.fleet.record_write(name, answered=True)
        self.acknowledged.record(SERVICE, reply.position, known_before=before, sent_at=sent_at)
        self.position = max(self.position or reply.position, reply.position)


@dataclasses.dataclass
class Effect:
    """A promotion that took effect, with the acknowledged commits that the promoted instance lacks."""

    at: float
    instance: str
    token: int
    lost: list[model.Position]


class World:
    """The service, its VMs and everything between them.

    Attributes:
        acknowledged: Commits whose success a VM has passed on, with the time.
        cut: Pairs of sender and receiver whose messages are lost.
        call_faults, store_faults: Faults from which each call draws.
        callers: VMs by the number that they called with.
        commit_share: Share of the commits that VMs send; less than 1 for a quiet service.
    """

    def __init__(self, seed=0, vms=3):
        # A run logs thousands of lines with virtual times.
        loguru.logger.disable("currantlead")
        self.loop = virtual_time.VirtualLoop()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(clock, "now", self.loop.time)
        self.patch.setattr(link.Link, "connect", Link.connect)
        self.random, self.contact_random = random.Random(seed), random.Random(seed)
        self.commit_random, self.commit_share = random.Random(seed), 1.0
        self.cut, self.call_faults, self.store_faults = set(), [""], [""]
        self.objects, self.revision, self.term, self.highest, self.pending = {}, 0, 1, 0, 0
        self.acknowledged, self.effects, self.callers = {}, [], {}
        self.created, self.instances = 0, {}
        for _ in range(4):
            self.join(delay_s=0.0)
        self.instances["i-1"].set_role(model.Role.PRIMARY)
        self.names, self.vms, self.killed = [f"vm-{number}" for number in range(vms)], {}, []
        self.loop.run_until_complete(self._start())

    async def _start(self):
        for name in self.names:
            self.start_vm(name)
        self.ticker = asyncio.create_task(self._run())
        await asyncio.sleep(1.0)

    async def _run(self):
        number = 0
        while True:
            number += 1
            self._replicate()
            for vm in list(self.vms.values()):
                if vm.alive and vm.awake.is_set():
                    vm.context.copy().run(vm.tick, number)
            await asyncio.sleep(TICK_S)

    def run(self, seconds):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self):
        """Cancel all tasks."""
        for vm in self.vms.values():
            vm.awake.set()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=60.0))
        self.loop.close()
        self.patch.undo()
        loguru.logger.enable("currantlead")

    def later(self, seconds, function):
        """Call a function later."""
        self.loop.call_later(seconds, function)

    def carry_out_late(self, bounds, operation):
        """Carry out a call later."""
        self.pending += 1

        def carry_out():
            self.pending -= 1
            operation()

        self.later(self.random.uniform(*bounds), carry_out)

    def latency(self, kind=""):
        """Return the time of one message; those of contact have times of their own, as they are sent at any time."""
        return (self.contact_random if kind == commit_contact.CONTACT else self.random).uniform(0.002, 0.02)

    def draw_fault(self, faults):
        """Return the fault of a call."""
        return faults[0] if len(faults) == 1 else self.random.choice(faults)

    def never(self):
        """Wait until the caller's time limit."""
        return self.loop.create_future()

    def is_cut(self, source, target):
        """Return whether messages are lost."""
        return (source, target) in self.cut

    def cut_off(self, inside):
        """Cut VMs and instances off from everything else; returns nothing that is sent either way."""
        outside = {*self.names, *self.instances, STORE} - set(inside)
        self.cut |= {(one, other) for one in inside for other in outside}
        self.cut |= {(other, one) for one in inside for other in outside}

    def mend(self):
        """Mend all paths; instances whose entries are gone write them again."""
        self.cut.clear()
        for item in self.instances.values():
            item.register()

    # Store and platform

    def stored(self, kind, name):
        """Return an object or None."""
        found = self.objects.get((kind, name))
        return found and objects.StoredObject(name, *found)

    def write(self, kind, name, value, expected):
        """Write an object if its revision is the expected one, None if it may not exist yet."""
        found = self.objects.get((kind, name))
        if (found[0] if found else None) != expected:
            return None
        return self.put(kind, name, value)

    def put(self, kind, name, value):
        """Write an object; one that does not change keeps its revision."""
        if self.objects.get((kind, name), (0, None))[1] != value:
            self.revision += 1
            self.objects[kind, name] = objects.combine_revision(1, self.revision), value
        return self.stored(kind, name)

    def designate(self, name, token):
        """Carry out a promotion call and return the status."""
        instance = self.instances.get(name)
        if token < self.highest:
            return objects.CONFLICT
        self.highest = token
        if instance is None or not instance.running:
            return objects.CONFLICT
        if not instance.leads:
            self.pending += 1
            self.later(self.random.uniform(0.3, 1.0), lambda: self._promote(name, token))
        return objects.OK

    def acknowledge(self, commit):
        """Note that the success of a commit was passed on; the instance that was promoted last must have it."""
        self.acknowledged[commit] = clock.now()
        if self.effects:
            chosen = self.instances.get(self.effects[-1].instance)
            if chosen is not None and not chosen.has(commit):
                self.effects[-1].lost.append(commit)

    def _promote(self, name, token):
        self.pending -= 1
        chosen = self.instances.get(name)
        if chosen is None or not chosen.running or chosen.leads:
            return
        lost = [position for position in self.acknowledged if not chosen.has(position)]
        self.effects.append(Effect(self.loop.time(), name, token, lost))
        self.term += 1
        for instance in self.instances.values():
            if instance.paused <= self.term:
                instance.paused = 0
            if instance is not chosen and instance.role is model.Role.PRIMARY:
                instance.set_role(model.Role.REPLICA)
        chosen.paused, chosen.term = 0, self.term
        chosen.set_role(model.Role.PRIMARY)

    # Instances

    @property
    def primary(self):
        """Return the instance that leads, or None."""
        return next((item for item in self.instances.values() if item.leads), None)

    def _replicate(self):
        """Send the primary's log to the replicas that receive, and answer the commits that one of them has."""
        primary, received = self.primary, False
        if primary is None:
            return
        for item in self.instances.values():
            if item is primary or not item.running or item.paused or self.is_cut(primary.name, item.name):
                continue
            if self.random.random() < 0.8:
                item.receive(primary.log)
                item.term = max(item.term, primary.term)
                received = received or not self.is_cut(item.name, primary.name)
        if received:
            for waiter in primary.waiters:
                if not waiter.done():
                    waiter.set_result(None)
            primary.waiters = []

    def join(self, log=None, delay_s=None, inside=()):
        """Add a replica with a copy of the primary's log, which registers a moment later.

        Args:
            log: Its log, in place of the primary's.
            delay_s: Time until it registers; None for a drawn one.
            inside: Names of what is cut off together with the replica.
        """
        source = self.primary or max(self.instances.values(), key=lambda item: len(item.log), default=None)
        self.created += 1
        item = Instance(self, f"i-{self.created}", log or (source.log if source else ()), self.term)
        self.instances[item.name] = item
        if inside:
            self.cut_off({*inside, item.name})
        if delay_s == 0.0:
            item.register()
        else:
            self.later(self.random.uniform(0.05, 1.0) if delay_s is None else delay_s, item.register)
        return item

    def drain(self, item, seconds):
        """Announce that an instance leaves, which it does after some seconds, with its log."""
        item.draining = True
        item.register()
        self.pending += 1

        def leave():
            self.pending -= 1
            del self.instances[item.name]
            item.running = False
            item.drop_waiters()
            self.objects.pop((objects.INSTANCES, item.name), None)
            # A commit whose last copy is gone cannot be kept by any choice; the log goes to a successor then.
            others = list(self.instances.values())
            if any(not any(other.has(one) for other in others) for one in self.acknowledged):
                self.join(item.log)
            while len(self.instances) < 3:
                self.join()

        self.later(seconds, leave)

    # VMs

    def start_vm(self, name):
        """Start a VM, or kill it and start it again; what was sent to the killed one reaches no caller."""
        if name in self.vms:
            self.killed.append(self.vms[name])
            self.vms[name].alive = False
            self.vms[name].awake.clear()
        self.vms[name] = Vm(self, name)

    def recover(self):
        """End all faults, and return whether the service works again in time."""
        self.cut, self.call_faults, self.store_faults, self.commit_share = set(), [""], [""], 1.0
        self.mend()
        for vm in self.vms.values():
            vm.awake.set()
        for item in self.instances.values():
            if not item.running:
                item.restart()
        if len(self.instances) < 4:
            self.join()
        until = self.loop.time() + RECOVERY_S
        while self.loop.time() < until:
            self.run(1.0)
            paused = any(item.paused for item in self.instances.values())
            latest = max(self.acknowledged.values(), default=0.0)
            if not self.pending and not paused and self.primary is not None and latest > self.loop.time() - 0.9:
                return True
        return False

    def end(self):
        """Check that the service recovers once all faults have ended, unless a check of safety has failed; close it."""
        try:
            if not any(effect.lost for effect in self.effects):
                recovered = self.recover()
                self.check()
                assert recovered, "the service does not recover"
        finally:
            self.close()

    def check(self):
        """Check the rules."""
        assert not self.ticker.done(), "the model stopped"
        self.check_promotions()
        self.check_numbers()

    def check_promotions(self):
        """Check that no promotion has lost an acknowledged commit."""
        for effect in self.effects:
            assert not effect.lost, f"LOST {len(effect.lost)}: {effect}"

    def check_numbers(self):
        """Check that no two VMs have called with the same number."""
        for token, callers in self.callers.items():
            assert len(callers) == 1, f"ONE: {sorted(callers)} called with the number {token}"


def break_contact(patch):
    """Let VMs send commits and pass successes on whatever the VMs of other regions say."""

    async def pass_on(*_):
        return True

    patch.setattr(vm_contact.Contact, "covers", lambda *_: True)
    patch.setattr(vm_contact.Contact, "allows", lambda *_: True)
    # The record of a commit is a contact, too.
    patch.setattr(commit_contact.CommitContact, "confirm", pass_on)
