"""Reports of the VMs on acknowledged commits, which are collected before a replica is promoted.

A VM alone knows only the answers to its own callers.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import acknowledgements
from currantlead.sessions.instances import fleet

ACKNOWLEDGED = "acknowledged"
RELEASE = "release"
BOUNDS, HELD_FOR, UP_S, ENDED = "bounds", "held_for", "up_s", "ended"
ANSWER_TIMEOUT_S = 0.3
"""Time limit of an answer: several round trips between regions (50 ms) on a busy machine."""

_log = logs.part("succession")


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReport:
    """What the VMs know about the acknowledged commits of a service.

    Attributes:
        acknowledged: Bounds of the latest acknowledged commit that any of them knows.
        since: Clock reading since which all VMs through which commits pass have kept account, in seconds; infinite if
            one of them did not answer.
        unanswered: VMs that did not answer.
        answered_at: Clock reading of the last answer, in seconds, or of the questions if there was none.
    """

    acknowledged: acknowledgements.Acknowledged
    since: float
    unanswered: frozenset[str] = frozenset()
    answered_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Answer of a VM: the bounds that it knows, since when it has kept account, and when it arrived (clock reading)."""

    bounds: acknowledgements.Acknowledged
    up_since: float
    at: float


class CommitReports:
    """Collects the reports of other VMs, and reports to them.

    Args:
        peers: Streams to the other VMs.
        instances: The known instances.
        acknowledged: What this VM knows about acknowledged commits.
        sources: Returns the VMs through which the commits at a primary pass; None stands for an unknown primary.
        members: Returns the VMs that are asked in any case.
    """

    def __init__(
        self,
        peers: network.Network,
        instances: fleet.Fleet,
        acknowledged: acknowledgements.AcknowledgedCommits,
        sources: Callable[[model.Instance | None], Iterable[str]],
        members: Callable[[], Sequence[str]],
    ):
        self._members = members
        self._peers = peers
        self._fleet = instances
        self._acknowledged = acknowledged
        self._sources = sources
        self._started_at = clock.now()
        self._told: dict[str, list[str]] = {}
        peers.handler(ACKNOWLEDGED)(self._handle_request)
        peers.handler(RELEASE)(self._handle_release)

    async def collect(
        self,
        service: str,
        primary: model.Instance | None,
        *,
        skipped: Collection[str] = (),
        held_for: int = 0,
    ) -> CommitReport:
        """Ask the VMs what was acknowledged to callers; the report is complete if those on the way have answered.

        Args:
            service: The service.
            primary: Its present primary, or None if it is unknown.
            skipped: VMs that are not asked, because they did not answer just before; they count as silent.
            held_for: Generation number of the claim for which the VMs, this one included, hold back commits from their
                answer until the order is recorded, so that none is acknowledged after the choice; 0 for no hold.
        """
        sources = list(self._sources(primary))
        own = self._peers.member.vm
        vms = [vm for vm in dict.fromkeys([*sources, *self._members()]) if vm != own and vm not in skipped]
        if held_for:
            self._fleet.hold_commits(service, held_for)
            self._told[service] = [*vms, *skipped]
        asked_at = clock.now()
        answers = await asyncio.gather(*(self._ask(vm, service, held_for) for vm in vms))
        known = [answer for answer in answers if answer is not None]
        answered = {vm for vm, answer in zip(vms, answers, strict=True) if answer is not None}
        unanswered = frozenset(skipped) | (set(vms) - answered)
        merged = acknowledgements.merge_all([self._acknowledged.of(service), *(answer.bounds for answer in known)])
        self._acknowledged.merge(service, merged)
        since = max([self._started_at, *(answer.up_since for answer in known)])
        is_complete = unanswered.isdisjoint(sources)
        answered_at = max([asked_at, *(answer.at for answer in known)])
        return CommitReport(merged, since if is_complete else float("inf"), unanswered, answered_at)

    def release(self, service: str, held_for: int) -> None:
        """Let the VMs send commits again, because no order will be recorded for a claim."""
        self._fleet.release_commits(service, held_for)
        for vm in self._told.pop(service, ()):
            self._peers.notify(vm, RELEASE, {"service": service, HELD_FOR: held_for})

    async def _ask(self, vm: str, service: str, held_for: int) -> "_Answer | None":
        """Return the answer of a VM, or None if there is none."""
        asked_at = clock.now()
        try:
            question = {"service": service, HELD_FOR: held_for}
            answer = await self._peers.request(vm, ACKNOWLEDGED, question, timeout_s=ANSWER_TIMEOUT_S)
            bounds = acknowledgements.Acknowledged.decode(answer[BOUNDS], asked_at)
            for instance_id, started_at_ms, age_s in answer.get(ENDED, ()):
                self._fleet.record_end(str(instance_id), int(started_at_ms), clock.now() - max(0.0, float(age_s)))
            # The earlier start would be safe only if the answer took no time.
            return _Answer(bounds, clock.now() - float(answer[UP_S]), clock.now())
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(service=service, peer=vm).info("VM did not report its acknowledged commits: {}", error)
        except (errors.MalformedObjectError, KeyError, TypeError, ValueError) as error:
            _log.bind(service=service, peer=vm).warning("VM sent a malformed report of its commits: {!r}", error)
        return None

    def _handle_request(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        if body.get(HELD_FOR):
            self._fleet.hold_commits(str(body["service"]), int(body[HELD_FOR]))
        now, service = clock.now(), str(body["service"])
        ended = [
            [item.instance.id, item.instance.started_at_ms, now - item.ended_at]
            for item in self._fleet.departures(service)
            if item.ended_at is not None
        ]
        bounds = self._acknowledged.of(service).encode(now)
        return {BOUNDS: bounds, UP_S: now - self._started_at, ENDED: ended}

    def _handle_release(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        self._fleet.release_commits(str(body["service"]), int(body[HELD_FOR]))
        return {}
