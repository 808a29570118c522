"""Fakes that surround a proxy: scripted holders, a table of holders and an admission service."""

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


def refusal(reason, may_have_run=False, **overrides):
    """Return an outcome that is a refusal; ``may_have_run`` means that the request may have run."""
    kind = verdict.Verdict.MAY_HAVE_RUN if may_have_run else verdict.Verdict.NOT_RUN
    return result.Err(verdict.Refusal(reason, kind, **overrides))


def statement(**overrides):
    """Return a statement request with a new request id."""
    fields = {"key_digest": fakes.KEY, "database": "ledger", "sql": "select 1", "action": interfaces.Action.STATEMENT}
    return interfaces.CallerRequest(**{"request": f"q{next(_numbers)}", **fields, **overrides})


def on_transaction(action, transaction, **overrides):
    """Return a request that belongs to an open transaction."""
    return statement(action=action, transaction=transaction, database="", **overrides)


class ScriptedHolders:
    """Scripted local holder of ``vm-1`` and scripted peers on the other VMs.

    ``responses[vm]`` queues the responses of a VM: outcomes, raw replies, exceptions to raise, or functions that take
    the message and return one of these. When the queue is empty, the response is a success at ``position``.
    """

    def __init__(self):
        self.member = model.Member("vm-1", "north", 1, "")
        self.responses = collections.defaultdict(collections.deque)
        self.request_counts = collections.Counter()
        self.messages = []
        self.position = messages.Position(1, 5)

    def __getattr__(self, kind):
        """Return the local holder's method for a kind of message."""
        if kind not in ("execute", "begin", "transact", "finish"):
            raise AttributeError(kind)

        async def call(work):
            outcome = await self._next_response("vm-1", work)
            return wire.outcome_from_map(outcome) if isinstance(outcome, dict) else outcome

        return call

    async def request(self, vm, kind, body, *, timeout_s):
        """Return the scripted reply of another VM to a frame."""
        kinds = {"execute": messages.Execute, "begin": messages.Begin, "transact": messages.Transact}
        outcome = await self._next_response(vm, wire.from_map(kinds.get(kind, messages.Finish), body))
        return outcome if isinstance(outcome, dict) else wire.outcome_to_map(outcome)

    async def _next_response(self, vm, work):
        self.request_counts[vm] += 1
        self.messages.append((vm, work))
        response = self.responses[vm].popleft() if self.responses[vm] else self._success
        if callable(response):
            response = response(work)
            response = await response if asyncio.iscoroutine(response) else response
        if isinstance(response, Exception):
            raise response
        return response

    def _success(self, work):
        request = work.statement.request if hasattr(work, "statement") else work.request
        opened = "vm-a.7.1.secret" if isinstance(work, messages.Begin) else None
        return result.Ok(messages.Answer(request, position=self.position, transaction=opened))


class Membership:
    """Fake membership with a fixed table of holders; the VMs in ``failed_vms`` are not alive."""

    def __init__(self):
        self.holders_by_instance = {name: (f"vm-{name[-1]}",) for name in NAMES}
        self.failed_vms = set()

    def holders(self, instance, domain):
        """Return the holders of an instance."""
        return self.holders_by_instance[instance]

    def alive(self, vm):
        """Return whether a VM is believed to be alive."""
        return vm not in self.failed_vms


class Admission:
    """Fake admission that admits ``left`` requests and refuses later ones."""

    def __init__(self):
        self.left = 10**6
        self.request_count = 0

    async def admit(self, organisation):
        """Admit a request or return a refusal."""
        self.request_count += 1
        self.left -= 1
        return None if self.left >= 0 else refusal(verdict.Reason.OVER_RATE, retry_after_s=0.3).err_value


class ProxyFixture:
    """Proxy on the running loop, with the fakes that it depends on."""

    def __init__(self, directory=None, **options):
        self.directory = directory or fakes.Directory(GROUP)
        self.holders, self.membership, self.admission = ScriptedHolders(), Membership(), Admission()
        self.positions = freshness.PositionEstimates()
        self.dispatcher = dispatch.Dispatcher(
            membership=self.membership, peers=self.holders, holder=self.holders, directory=self.directory
        )
        self.proxy = proxy.Proxy(
            directory=self.directory,
            admission=self.admission,
            dispatcher=self.dispatcher,
            positions=self.positions,
            domain="north",
            clock=asyncio.get_running_loop().time,
            request_timeout_s=10.0,
            **options,
        )

    async def send_statement(self, **overrides):
        """Send a statement; return ``ok`` or the reason, the verdict and the number of requests to holders."""
        before = self.holders.request_counts.total()
        reply = await self.proxy.handle(statement(**overrides))
        return *reason_and_verdict(reply.outcome), self.holders.request_counts.total() - before

    def change_organisation(self, **organisation):
        """Change fields of the organisation ``farm`` in the configuration."""
        organisations = self.directory.configuration.organisations
        farm = dataclasses.replace(organisations["farm"], **organisation)
        self.directory.set_configuration(organisations={**organisations, "farm": farm})


def reason_and_verdict(outcome):
    """Return the reason (``ok`` for a success) and the verdict of an outcome."""
    if isinstance(outcome, result.Ok):
        return "ok", verdict.Verdict.COMPLETED
    return outcome.err_value.reason, outcome.err_value.verdict
