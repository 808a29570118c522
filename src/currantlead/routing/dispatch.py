"""Dispatch requests to the VMs that hold connections to the target instance."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import result

from currantlead import errors, interfaces, logs, messages, verdict, wire
from currantlead.routing import placement

_log = logs.part("dispatch")

MAX_GROUP_WAIT_S = 0.1
"""Maximum wait before a refused statement is routed again; holders can change without a change of the group record."""
RETRY_AFTER_S = 0.5
_RESPONSE_MARGIN_S = 0.25
"""Added to the timeout of a forwarded request, so that the holder's own timeout response arrives first."""


class _TimedRequest(Protocol):
    timeout_s: float


_RETRYABLE_REASONS = frozenset(
    {
        verdict.Reason.NOT_HOLDER,
        verdict.Reason.NO_CONNECTION,
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.LEAVING,
        verdict.Reason.UNREACHABLE,
    }
)


class Dispatcher:
    """Run requests at the local holder or forward them to another VM."""

    def __init__(
        self,
        *,
        membership: interfaces.Membership,
        peers: interfaces.Peers,
        holder: interfaces.Holder,
        directory: interfaces.Directory,
    ):
        """Create a dispatcher.

        Args:
            membership: Returns the VMs that hold connections to an instance.
            peers: Streams to other VMs.
            holder: Runs requests at this VM.
            directory: Shared state; notifies of changes of group records.
        """
        self._membership = membership
        self._peers = peers
        self._holder = holder
        self._directory = directory
        self._in_flight: collections.Counter[tuple[str, str]] = collections.Counter()
        self._group_changed = asyncio.Condition()
        self._notify_tasks: set[asyncio.Task[None]] = set()
        directory.subscribe(self._on_directory_change)

    async def execute(self, work: messages.Execute, domain: str) -> interfaces.Outcome:
        """Run a statement at one of the holders of its instance.

        Args:
            work: The statement and the instance to run it on.
            domain: Failure domain of the instance.

        Returns:
            The outcome; the verdict is ``NOT_RUN`` if no holder executed the statement.
        """
        return await self._try_holders(work, "execute", self._holder.execute, work.statement, domain)

    async def begin(self, work: messages.Begin, domain: str) -> interfaces.Outcome:
        """Open a transaction at one of the holders of the primary; like ``execute`` otherwise."""
        return await self._try_holders(work, "begin", self._holder.begin, work, domain)

    async def transact(self, work: messages.Transact, vm: str) -> interfaces.Outcome:
        """Run a statement of an open transaction at the VM that holds its connection."""
        return await self._send_checked(vm, "transact", self._holder.transact, work)

    async def finish(self, work: messages.Finish, vm: str) -> interfaces.Outcome:
        """Commit or roll back a transaction at the VM that holds its connection."""
        return await self._send_checked(vm, "finish", self._holder.finish, work)

    async def wait_for_group(self, timeout_s: float) -> bool:
        """Wait until a group or view changes, but at most ``MAX_GROUP_WAIT_S``.

        Args:
            timeout_s: Remaining time of the request in seconds.

        Returns:
            False if the request has no time left.
        """
        if timeout_s <= 0:
            return False
        async with self._group_changed:
            try:
                await asyncio.wait_for(self._group_changed.wait(), min(timeout_s, MAX_GROUP_WAIT_S))
            except TimeoutError:
                return timeout_s > MAX_GROUP_WAIT_S
        return True

    async def _try_holders(
        self,
        work: Any,
        kind: str,
        run_locally: Callable[[Any], Awaitable[interfaces.Outcome]],
        statement_or_begin: messages.Statement | messages.Begin,
        domain: str,
    ) -> interfaces.Outcome:
        outcome: interfaces.Outcome = result.Err(
            verdict.Refusal(
                verdict.Reason.UNREACHABLE,
                detail=f"no VM holds connections to instance {work.instance}",
                retry_after_s=RETRY_AFTER_S,
            )
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + work.timeout_s
        for attempt, vm in enumerate(self._rank_holders(work.instance, domain, statement_or_begin)):
            if attempt > 0:
                if loop.time() >= deadline:
                    return outcome
                work = dataclasses.replace(work, timeout_s=deadline - loop.time())
            _log.info("sending {} for {} to holder {}", kind, work.instance, vm, request=statement_or_begin.request)
            outcome = await self._send_counted(vm, kind, run_locally, work)
            if isinstance(outcome, result.Ok) or not _may_try_other_holder(outcome.err_value):
                return outcome
        return outcome

    def _rank_holders(
        self, instance: str, domain: str, statement_or_begin: messages.Statement | messages.Begin
    ) -> Sequence[str]:
        """Return the holders of an instance in order of preference.

        This VM comes first while fewer requests of its own are in flight at its local holder than the holder has slots.
        A statement that would have to queue there goes to the holder with the fewest requests of this VM in flight.
        """
        own_vm = self._peers.member.vm
        holders = tuple(self._membership.holders(instance, domain))
        has_room = self._in_flight[(own_vm, instance)] < self._slots_per_holder(
            statement_or_begin.database, len(holders)
        )
        return sorted(
            placement.rotate(statement_or_begin.request, holders),
            key=lambda vm: (
                vm != own_vm and not self._membership.alive(vm),
                vm != own_vm or not has_room,
                self._in_flight[(vm, instance)],
                vm != own_vm,
            ),
        )

    def _slots_per_holder(self, database: str, holders: int) -> int:
        configuration = self._directory.configuration
        database_record = configuration.databases.get(database)
        service = configuration.services.get(database_record.service) if database_record else None
        return max(1, service.slots // max(1, holders)) if service else 1

    async def _send_counted(
        self, vm: str, kind: str, run_locally: Callable[[Any], Awaitable[interfaces.Outcome]], work: Any
    ) -> interfaces.Outcome:
        key = (vm, work.instance)
        self._in_flight[key] += 1
        try:
            return await self._send_checked(vm, kind, run_locally, work)
        finally:
            self._in_flight[key] -= 1
            if not self._in_flight[key]:
                del self._in_flight[key]

    async def _send_checked(
        self, vm: str, kind: str, run_locally: Callable[[Any], Awaitable[interfaces.Outcome]], work: Any
    ) -> interfaces.Outcome:
        outcome = await self._send(vm, kind, run_locally, work)
        request = work.statement.request if isinstance(work, messages.Execute | messages.Transact) else work.request
        if isinstance(outcome, result.Ok) and outcome.ok_value.request != request:
            _log.error("response from {} is for another request: {}", vm, outcome.ok_value.request, request=request)
            return result.Err(
                verdict.Refusal(verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, f"unusable response from {vm}")
            )
        return outcome

    async def _send(
        self, vm: str, kind: str, run_locally: Callable[[Any], Awaitable[interfaces.Outcome]], work: _TimedRequest
    ) -> interfaces.Outcome:
        if vm == self._peers.member.vm:
            return await run_locally(work)
        if work.timeout_s <= 0:
            return result.Err(
                verdict.Refusal(verdict.Reason.TIMEOUT, detail="the request timed out before it was sent")
            )
        try:
            reply = await self._peers.request(
                vm, kind, wire.to_map(work), timeout_s=work.timeout_s + _RESPONSE_MARGIN_S
            )
            return wire.outcome_from_map(reply)
        except errors.PeerUnreachableError as error:
            return result.Err(
                verdict.Refusal(verdict.Reason.UNREACHABLE, detail=str(error), retry_after_s=RETRY_AFTER_S)
            )
        except (errors.PeerAnswerLostError, errors.MalformedFrameError) as error:
            return result.Err(
                verdict.Refusal(
                    verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, f"no valid response from {vm}: {error}"
                )
            )

    def _on_directory_change(self, kind: str, name: str) -> None:
        if kind in ("groups", "views"):
            task = asyncio.ensure_future(self._notify_waiters())
            self._notify_tasks.add(task)
            task.add_done_callback(self._notify_tasks.discard)

    async def _notify_waiters(self) -> None:
        async with self._group_changed:
            self._group_changed.notify_all()


def _may_try_other_holder(refusal: verdict.Refusal) -> bool:
    return refusal.verdict is verdict.Verdict.NOT_RUN and refusal.reason in _RETRYABLE_REASONS
