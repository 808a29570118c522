"""Reports of the VMs on acknowledged commits, which are collected before a replica is promoted.

A VM alone knows only the answers to its own callers.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import acknowledgements
from currantlead.sessions.failover import commit_records
from currantlead.sessions.instances import fleet

ACKNOWLEDGED = "acknowledged"
RELEASE = "release"
BOUNDS, HELD_FOR, UP_S, ENDED, DEPARTED = "bounds", "held_for", "up_s", "ended", "departed"
ANSWER_TIMEOUT_S = 0.3
"""Time limit of an answer: several round trips between regions (50 ms) on a busy machine."""

_log = logs.part("succession")


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReport:
    """What the VMs know about the acknowledged commits of a service.

    Attributes:
        acknowledged: Bounds of the latest acknowledged commit that any of them knows.
        since: Clock reading since which all acknowledged commits are in the reports, in seconds; infinite if too few
            VMs answered.
        unanswered: VMs that did not answer.
        answered_at: Clock reading of the last answer, in seconds, or of the questions if there was none.
        departed: By identity and start the instances that are gone and not known to have ended, with the earliest clock
            reading at which a VM knew it.
    """

    acknowledged: acknowledgements.Acknowledged
    since: float
    unanswered: frozenset[str] = frozenset()
    answered_at: float = float("-inf")
    departed: Mapping[tuple[str, int], float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Answer of a VM: the bounds that it knows, since when it has kept account, and when it arrived (clock reading).

    ``departed`` is as in ``CommitReport``; ``ended`` has the instances that are gone and known to have ended.
    """

    bounds: acknowledgements.Acknowledged
    up_since: float
    at: float
    departed: Mapping[tuple[str, int], float]
    ended: frozenset[tuple[str, int]]


class CommitReports:
    """Collects the reports of other VMs, and reports to them.

    Args:
        peers: Streams to the other VMs.
        instances: The known instances.
        acknowledged: What this VM knows about acknowledged commits.
        records: The records in the store.
        sources: Returns the VMs through which the commits at a primary pass; None stands for an unknown primary.
        members: Returns the VMs that are asked in any case.
        partners: Returns for each VM those that record its commits.
    """

    def __init__(
        self,
        peers: network.Network,
        instances: fleet.Fleet,
        acknowledged: acknowledgements.AcknowledgedCommits,
        records: commit_records.CommitRecords,
        sources: Callable[[model.Instance | None], Iterable[str]],
        members: Callable[[], Sequence[str]],
        partners: Callable[[], Mapping[str, Collection[str]]],
    ):
        self._members = members
        self._peers = peers
        self._fleet = instances
        self._acknowledged = acknowledged
        self._records = records
        self._sources = sources
        self._partners = partners
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
        """Ask the VMs what was acknowledged to callers.

        Args:
            service: The service.
            primary: Its present primary, or None if it is unknown.
            skipped: VMs that are not asked, because they did not answer just before; they count as silent.
            held_for: Generation number of the claim for which the VMs, this one included, hold back commits from their
                answer until the order is recorded, so that none is acknowledged after the choice; 0 for no hold. The
                record in the store counts only then, too.

        Raises:
            errors.PlatformUnavailableError: The store gave no usable response.
        """
        own = self._peers.member.vm
        asked = dict.fromkeys([*self._sources(primary), *self._members()])
        vms = [vm for vm in asked if vm != own and vm not in skipped]
        if held_for:
            self._fleet.hold_commits(service, held_for)
            self._told[service] = [*vms, *skipped]
        asked_at = clock.now()
        answers = await asyncio.gather(*(self._ask(vm, service, held_for) for vm in vms))
        by_vm = {vm: answer for vm, answer in zip(vms, answers, strict=True) if answer is not None}
        recorded, since = acknowledgements.Acknowledged(), self._find_complete_since(asked, skipped, by_vm)
        if held_for:
            try:
                recorded = await self._records.read(service)
            except errors.MalformedObjectError as error:
                _log.bind(service=service).warning("reports are incomplete: {}", error)
                since = float("inf")
        merged = acknowledgements.merge_all(
            [self._acknowledged.of(service), recorded, *(answer.bounds for answer in by_vm.values())]
        )
        self._acknowledged.merge(service, merged)
        ended = set(self._fleet.ends(service)).union(*(answer.ended for answer in by_vm.values()))
        departed: dict[tuple[str, int], float] = {}
        for answer in by_vm.values():
            for key, gone_at in answer.departed.items():
                if key not in ended:
                    departed[key] = min(gone_at, departed.get(key, gone_at))
        return CommitReport(
            merged,
            since,
            frozenset(skipped) | (set(vms) - set(by_vm)),
            max([asked_at, *(answer.at for answer in by_vm.values())]),
            departed,
        )

    def _find_complete_since(self, asked: Iterable[str], skipped: Iterable[str], by_vm: Mapping[str, _Answer]) -> float:
        up_since = dict.fromkeys([*asked, *skipped], float("inf"))
        up_since |= {vm: answer.up_since for vm, answer in by_vm.items()}
        up_since[self._peers.member.vm] = self._started_at
        return acknowledgements.find_complete_since(up_since, self._partners())

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
            ended = {
                (str(instance_id), int(started_at_ms)): clock.now() - max(0.0, float(age_s))
                for instance_id, started_at_ms, age_s in answer.get(ENDED, ())
            }
            for key, ended_at in ended.items():
                self._fleet.record_end(*key, ended_at)
            departed = {
                (str(instance_id), int(started_at_ms)): asked_at - max(0.0, float(age_s))
                for instance_id, started_at_ms, age_s in answer.get(DEPARTED, ())
            }
            # The earlier start would be safe only if the answer took no time.
            return _Answer(bounds, clock.now() - float(answer[UP_S]), clock.now(), departed, frozenset(ended))
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(service=service, peer=vm).info("VM did not report its acknowledged commits: {}", error)
        except (errors.MalformedObjectError, KeyError, TypeError, ValueError) as error:
            _log.bind(service=service, peer=vm).warning("VM sent a malformed report of its commits: {!r}", error)
        return None

    def _handle_request(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        if body.get(HELD_FOR):
            self._fleet.hold_commits(str(body["service"]), int(body[HELD_FOR]))
        now, service = clock.now(), str(body["service"])
        return {
            BOUNDS: self._acknowledged.of(service).encode(now),
            UP_S: now - self._started_at,
            ENDED: [[*key, now - ended_at] for key, ended_at in self._fleet.ends(service).items()],
            DEPARTED: [
                [item.instance.id, item.instance.started_at_ms, now - item.gone_at]
                for item in self._fleet.departures(service)
                if item.ended_at is None
            ],
        }

    def _handle_release(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        self._fleet.release_commits(str(body["service"]), int(body[HELD_FOR]))
        return {}
