"""Contact with VMs of other regions while commits are sent, wait and are answered.

``decisions.vm_contact`` has the rule. A success is passed on only after a VM of another region, or the store, has
recorded it: the region of the primary may be cut off, or gone for good, a moment later.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model, statements
from currantlead.sessions.decisions import acknowledgements, vm_contact
from currantlead.sessions.failover import commit_records
from currantlead.sessions.instances import fleet
from currantlead.sessions.shared import duty_claims

CONTACT = "contact"
ORDERED, GENERATION = "ordered", "generation"
SERVICE, INSTANCE, BOUNDS = "service", "instance", "bounds"
HEDGE_S = 0.1
"""Time after which the other VMs and the store are asked too; a round trip between regions takes up to 0.1 s."""
ADMISSION_TIMEOUT_S = 0.4
"""Time for which a commit waits for contact."""
READ_S = 0.02
"""Time after the end of a time limit in which replies that have arrived are read."""
RETRY_AFTER_MS = 500
"""Time after which the caller of a refused commit may return, in milliseconds: cuts last for seconds."""
RETRY_DELAY_S = 0.05
"""Pause after a round without an answer."""

_log = logs.part("succession")


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """Answer of one source, with the services that it is about, or None for all."""

    answer: vm_contact.Answer
    services: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commit that is sent to an instance.

    Attributes:
        instance: The instance.
        generation: Highest generation number of a claim that was known when it was sent.
        known_before: A position that the instance's log had reached when it was sent.
        sent_at: Clock reading at which it was sent.
    """

    instance: model.Instance
    generation: int
    known_before: model.Position
    sent_at: float


class CommitContact:
    """Decides whether commits of this VM may be sent, go on waiting, and be reported as successful.

    Args:
        peers: Streams to the other VMs.
        instances: The known instances.
        claims: Claims of the duties, read from the store if no VM answers.
        acknowledged: What this VM knows about acknowledged commits.
        records: Records acknowledged commits in the store if no VM answers.
        partners: Returns the VMs to ask, the most suitable first. If there are none, there is nobody who could promote
            another instance unnoticed, and no contact is needed.
        count_round: Called with the result of each round of questions, for metrics.

    Attributes:
        on_forbidden: Called with a service whose waiting commits have to be broken off, and with the only instance at
            which they may go on, or an empty identity.
    """

    def __init__(
        self,
        peers: network.Network,
        instances: fleet.Fleet,
        claims: duty_claims.DutyClaims,
        acknowledged: acknowledgements.AcknowledgedCommits,
        records: commit_records.CommitRecords,
        partners: Callable[[], Sequence[str]],
        count_round: Callable[[str], None] = lambda result: None,
    ):
        self._peers = peers
        self._fleet = instances
        self._claims = claims
        self._acknowledged = acknowledged
        self._records = records
        self._partners = partners
        self._count_round = count_round
        self.on_forbidden: Callable[[str, str], None] = lambda service, ordered: None
        self._contacts: dict[str, vm_contact.Contact] = {}
        self._waiting: collections.Counter[str] = collections.Counter()
        self._last_answered_by = ""
        self._round: asyncio.Task[None] | None = None
        self._watch: asyncio.Task[None] | None = None
        peers.handler(CONTACT)(self._handle_question)

    async def find_refusal(self, instance: model.Instance) -> statements.Failure | None:
        """Return why a commit must not be sent to an instance, or None; wait for contact if necessary."""
        if not self._partners():
            return None
        now = clock.now()
        contact = self._contact_of(instance.service)
        while not contact.covers(clock.now()):
            running = self._join_round()
            if contact.is_lost(clock.now()) or clock.now() >= now + ADMISSION_TIMEOUT_S:
                detail = f"no contact with the VMs that may replace {instance.id}, retry-after-ms={RETRY_AFTER_MS}"
                return statements.Failure(statements.Code.BUSY, detail, statements.NO_CONTACT)
            await asyncio.wait({running}, timeout=now + ADMISSION_TIMEOUT_S - clock.now())
        if contact.allows(instance.id):
            return None
        return statements.Failure(statements.Code.BUSY, f"{instance.id} is being replaced as the primary")

    @contextlib.contextmanager
    def watch(self, instance: model.Instance) -> Iterator[Commit]:
        """Keep contact while a commit waits at an instance, and break it off if contact is lost."""
        contact = self._contact_of(instance.service)
        self._waiting[instance.service] += 1
        if (self._watch is None or self._watch.done()) and self._partners():
            self._watch = asyncio.get_running_loop().create_task(self._keep_contact())
        try:
            yield Commit(
                instance,
                max(contact.generation, self._fleet.latest_claim),
                self._acknowledged.of(instance.service).at_least,
                clock.now(),
            )
        finally:
            self._waiting[instance.service] -= 1

    async def confirm(self, commit: Commit, log_end: model.Position | None) -> bool:
        """Return whether the success of a commit, which has just arrived, may be passed on, and record it.

        Args:
            commit: The commit.
            log_end: End of the primary's log in the answer, or None if the answer has none.
        """
        service, arrived_at = commit.instance.service, clock.now()
        bounds = acknowledgements.Acknowledged()
        if log_end is not None:
            bounds = acknowledgements.bound_commit(log_end, known_before=commit.known_before, sent_at=commit.sent_at)
            self._acknowledged.merge(service, bounds)
        if not self._partners():
            return True
        contact = self._contact_of(service)
        is_stalled = not contact.covers(arrived_at)
        reply = await self._record(commit.instance, bounds)
        is_stalled = is_stalled or clock.now() - arrived_at > vm_contact.AGE_LIMIT_S
        if reply is not None:
            contact.record_answer(service, arrived_at, reply.answer)
        doubt = self._find_doubt(commit, contact, is_recorded=reply is not None, is_stalled=is_stalled)
        if doubt:
            _log.bind(instance=commit.instance.id, ordered=contact.ordered, generation=contact.generation).warning(
                "success of a commit is not passed on: {}", doubt
            )
        return not doubt

    def _find_doubt(self, commit: Commit, contact: vm_contact.Contact, *, is_recorded: bool, is_stalled: bool) -> str:
        """Return why a commit that succeeded may be missing from the log of a new primary, or an empty string."""
        if not is_recorded:
            return f"neither a VM of another region nor the store recorded it within {vm_contact.ROUND_S} s"
        if not contact.allows(commit.instance.id) or self._fleet.is_replaced(commit.instance.id):
            return "its instance is being replaced as the primary"
        latest_claim = max(contact.generation, self._fleet.latest_claim)
        if is_stalled and latest_claim > commit.generation:
            # Another instance may have been promoted meanwhile, and its order be closed again.
            return f"this VM was stalled, and claim {latest_claim} is newer than {commit.generation} at its sending"
        return ""

    def close(self) -> None:
        """Stop asking."""
        for task in (self._watch, self._round):
            if task is not None:
                task.cancel()

    def _contact_of(self, service: str) -> vm_contact.Contact:
        return self._contacts.setdefault(service, vm_contact.Contact())

    async def _keep_contact(self) -> None:
        """Refresh contact while commits wait."""
        while self._partners() and any(self._waiting.values()):
            now = clock.now()
            services = [service for service, count in self._waiting.items() if count]
            due_in_s = min(self._contact_of(service).refresh_in_s(now) for service in services)
            if due_in_s:
                await asyncio.sleep(due_in_s)
            else:
                await self._join_round()

    def _join_round(self) -> "asyncio.Task[None]":
        """Return the current round of questions, or begin one."""
        if self._round is None or self._round.done():
            self._round = asyncio.get_running_loop().create_task(self._run_round())
        return self._round

    async def _record(self, instance: model.Instance, bounds: acknowledgements.Acknowledged) -> _Reply | None:
        """Let a VM of another region, or the store, record a commit; return the reply, or None if none has it."""
        # Without the time of sending: the receiver does not know how long the message took, and would date it too late.
        bounds = dataclasses.replace(bounds, sent_at=float("-inf"))
        body = {SERVICE: instance.service, INSTANCE: instance.id, BOUNDS: bounds.encode(0.0)}
        return await self._ask_in_turn(body, lambda: self._record_in_store(instance.service, bounds))

    async def _record_in_store(self, service: str, bounds: acknowledgements.Acknowledged) -> _Reply | None:
        """Record a commit in the store, and return what its duties say afterwards.

        A VM that has claimed the duty before reads the record before it promotes.
        """
        try:
            await self._records.record(service, bounds)
        except errors.PlatformUnavailableError as error:
            _log.bind(service=service).info("no record of a commit in the store: {}", error)
            return None
        return await self._ask_store(frozenset({service}))

    async def _ask_in_turn(
        self, body: dict[str, Any], ask_store: Callable[[], Coroutine[Any, Any, _Reply | None]]
    ) -> _Reply | None:
        """Ask one VM, and the others and the store if it does not answer at once; return the first reply or None."""
        asked_at = clock.now()
        first, *others = sorted(self._partners(), key=lambda vm: vm != self._last_answered_by)
        questions = {self._ask(self._ask_vm(first, body))}
        try:
            reply, questions = await _first_reply(questions, asked_at + HEDGE_S)
            if reply is None:
                questions |= {self._ask(self._ask_vm(vm, body)) for vm in others}
                questions.add(self._ask(ask_store()))
                reply, questions = await _first_reply(questions, asked_at + vm_contact.ROUND_S)
        finally:
            for question in questions:
                question.cancel()
        return reply

    async def _run_round(self) -> None:
        """Ask for contact and record the first reply."""
        asked_at = clock.now()
        reply = await self._ask_in_turn({}, lambda: self._ask_store(frozenset(self._contacts)))
        if reply is not None:
            self._count_round("answered" if reply.services is None else "store")
            for service, contact in self._contacts.items():
                if reply.services is None or service in reply.services:
                    contact.record_answer(service, asked_at, reply.answer)
                    if contact.ordered is not None:
                        self.on_forbidden(service, contact.ordered)
            return
        self._count_round("silent")
        for service, contact in self._contacts.items():
            if not contact.is_lost(asked_at):
                _log.bind(service=service, asked_s=round(clock.now() - asked_at, 3)).warning(
                    "no VM that may replace the primary answers, breaking off commits"
                )
            contact.lost_at = clock.now()
            self.on_forbidden(service, "")
        await asyncio.sleep(RETRY_DELAY_S)

    def _ask(self, question: Coroutine[Any, Any, _Reply | None]) -> "asyncio.Task[_Reply | None]":
        return asyncio.get_running_loop().create_task(_answer_safely(question))

    async def _ask_vm(self, vm: str, body: dict[str, Any]) -> _Reply | None:
        try:
            response = await self._peers.request(vm, CONTACT, body, timeout_s=vm_contact.ROUND_S)
            ordered = {str(service): str(instance_id) for service, instance_id in response[ORDERED].items()}
            answer = vm_contact.Answer(ordered, int(response[GENERATION]))
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(peer=vm).debug("no contact: {}", error)
            return None
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            _log.bind(peer=vm).warning("VM sent a malformed answer to a question for contact: {!r}", error)
            return None
        self._last_answered_by = vm
        return _Reply(answer)

    async def _ask_store(self, services: frozenset[str]) -> _Reply | None:
        """Return what the store's duties say of services; a claim without an order forbids all commits."""
        try:
            await asyncio.gather(*(self._claims.refresh(service) for service in services))
        except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
            _log.debug("no contact with the store: {}", error)
            return None
        ordered = self._fleet.commit_restrictions()
        for service in services:
            latest = self._claims.latest(service)
            is_claimed = latest is not None and latest.stage is model.DutyStage.CLAIMED
            if is_claimed and not self._claims.may_claim(service, vm_contact.CLAIM_LIMIT_S):
                ordered[service] = ""
        return _Reply(vm_contact.Answer(ordered, self._fleet.latest_claim), services)

    def _handle_question(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a question for contact, and record the commit that it tells of if its success may be passed on."""
        ordered = self._fleet.commit_restrictions()
        if BOUNDS in body:
            service, instance_id = str(body[SERVICE]), str(body[INSTANCE])
            if ordered.get(service, instance_id) == instance_id:
                bounds = acknowledgements.Acknowledged.decode(body[BOUNDS], clock.now())
                self._acknowledged.merge(service, bounds)
        return {ORDERED: ordered, GENERATION: self._fleet.latest_claim}


async def _answer_safely(question: Coroutine[Any, Any, _Reply | None]) -> _Reply | None:
    """Return the reply to a question, or None if it failed: the commits that wait depend on the end of the round."""
    try:
        return await question
    except Exception as error:
        _log.opt(exception=error).error("a question for contact failed")
        return None


async def _first_reply(
    questions: "set[asyncio.Task[_Reply | None]]", deadline: float
) -> "tuple[_Reply | None, set[asyncio.Task[_Reply | None]]]":
    """Return the first reply, or None if there is none in time, and the questions that are still open."""
    is_late = False
    while questions and not is_late:
        # A VM that was stalled reads the replies that have arrived meanwhile before it takes them for lost.
        is_late = clock.now() >= deadline
        timeout_s = READ_S if is_late else deadline - clock.now()
        done, questions = await asyncio.wait(questions, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        replies = [reply for reply in (question.result() for question in done) if reply is not None]
        if replies:
            # Of replies that arrive together, one that knows of an order goes before one that does not.
            return max(replies, key=lambda reply: len(reply.answer.ordered)), questions
    return None, questions
