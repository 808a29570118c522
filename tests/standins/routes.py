"""Fakes around a proxy: scripted holders, a table of placements and a gate."""

import asyncio
import collections
import dataclasses
import itertools

import result

from currantlead import errors, interfaces, messages, verdict, wire
from currantlead.control import model
from currantlead.routing import dispatch, freshness, proxy
from tests.standins import fakes

NAMES = ("ledger-a", "ledger-b", "ledger-c")
GROUP = model.Group(
    "ledger", 1, model.Phase.STABLE, "ledger-a", tuple(model.Instance(name, "", "north") for name in NAMES), {1: 0}
)
FARM = messages.Caller("farm", fakes.KEY)
UNREACHABLE = errors.PeerUnreachableError("no stream")
LOST = errors.PeerAnswerLostError("stream closed")
_numbers = itertools.count()


def refusal(reason, ran=False, **more):
    """Return a refusal as an outcome."""
    kind = verdict.Verdict.MAY_HAVE_RUN if ran else verdict.Verdict.NOT_RUN
    return result.Err(verdict.Refusal(reason, kind, **more))


def statement(**more):
    """Return the request of a statement with a new id."""
    fields = {"key_digest": fakes.KEY, "database": "ledger", "sql": "select 1", "action": interfaces.Action.STATEMENT}
    return interfaces.CallerRequest(**{"request": f"q{next(_numbers)}", **fields, **more})


def on_transaction(action, transaction, **more):
    """Return a request on an open transaction."""
    return statement(action=action, transaction=transaction, database="", **more)


class Script:
    """Answer work as scripted, as the local holder of ``vm-1`` and as the peers of the other VMs.

    ``steps[vm]`` holds outcomes, raw replies, exceptions and functions of the work; without a step the answer is a
    completion at ``position``.
    """

    def __init__(self):
        self.member = model.Member("vm-1", "north", 1, "")
        self.steps = collections.defaultdict(collections.deque)
        self.asked = collections.Counter()
        self.works = []
        self.position = messages.Position(1, 5)

    def __getattr__(self, kind):
        """Return the local holder's method of a kind."""
        if kind not in ("execute", "begin", "transact", "finish"):
            raise AttributeError(kind)

        async def serve(work):
            found = await self._step("vm-1", work)
            return wire.outcome_from_map(found) if isinstance(found, dict) else found

        return serve

    async def request(self, vm, kind, body, *, timeout_s):
        """Answer a frame to another VM."""
        kinds = {"execute": messages.Execute, "begin": messages.Begin, "transact": messages.Transact}
        found = await self._step(vm, wire.from_map(kinds.get(kind, messages.Finish), body))
        return found if isinstance(found, dict) else wire.outcome_to_map(found)

    async def _step(self, vm, work):
        self.asked[vm] += 1
        self.works.append((vm, work))
        step = self.steps[vm].popleft() if self.steps[vm] else self._complete
        if callable(step):
            step = step(work)
            step = await step if asyncio.iscoroutine(step) else step
        if isinstance(step, Exception):
            raise step
        return step

    def _complete(self, work):
        request = work.statement.request if hasattr(work, "statement") else work.request
        opened = "vm-a.7.1.secret" if isinstance(work, messages.Begin) else None
        return result.Ok(messages.Answer(request, position=self.position, transaction=opened))


class Membership:
    """Hold a table of holders; ``dead`` VMs are not believed to run."""

    def __init__(self):
        self.table = {name: (f"vm-{name[-1]}",) for name in NAMES}
        self.dead = set()

    def holders(self, instance, domain):
        """Return the holders of an instance."""
        return self.table[instance]

    def alive(self, vm):
        """Tell whether a VM is believed to run."""
        return vm not in self.dead


class Gate:
    """Admit ``left`` requests."""

    def __init__(self):
        self.left = 10**6
        self.asked = 0

    async def admit(self, organisation):
        """Take one token."""
        self.asked += 1
        self.left -= 1
        return None if self.left >= 0 else refusal(verdict.Reason.OVER_RATE, retry_after_s=0.3).err_value


class World:
    """Bundle a proxy on the running loop and what it talks to."""

    def __init__(self, directory=None, **options):
        self.directory = directory or fakes.Directory(GROUP)
        self.script, self.membership, self.gate = Script(), Membership(), Gate()
        self.positions = freshness.PositionEstimates()
        self.dispatcher = dispatch.Dispatcher(
            membership=self.membership, peers=self.script, holder=self.script, directory=self.directory
        )
        self.proxy = proxy.Proxy(
            directory=self.directory,
            gate=self.gate,
            dispatcher=self.dispatcher,
            positions=self.positions,
            domain="north",
            clock=asyncio.get_running_loop().time,
            request_timeout_s=10.0,
            **options,
        )

    async def ask(self, **more):
        """Send a statement; return ``ok`` or the reason, the verdict and how often holders were asked."""
        before = self.script.asked.total()
        reply = await self.proxy.handle(statement(**more))
        return *told(reply.outcome), self.script.asked.total() - before

    def grant(self, **organisation):
        """Change the organisation ``farm``."""
        organisations = self.directory.configuration.organisations
        farm = dataclasses.replace(organisations["farm"], **organisation)
        self.directory.set_configuration(organisations={**organisations, "farm": farm})


def told(outcome):
    """Return what a caller is told: reason and verdict."""
    if isinstance(outcome, result.Ok):
        return "ok", verdict.Verdict.COMPLETED
    return outcome.err_value.reason, outcome.err_value.verdict
