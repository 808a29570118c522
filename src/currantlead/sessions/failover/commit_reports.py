"""Reports of the VMs on acknowledged commits, which are collected before a replica is promoted.

A VM alone knows only the answers to its own callers.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import acknowledgements

ACKNOWLEDGED = "acknowledged"
BOUNDS, UP_S = "bounds", "up_s"
ANSWER_TIMEOUT_S = 0.3
"""Time limit of an answer: several round trips between regions (50 ms) on a busy machine."""

_log = logs.part("succession")


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReport:
    """What the VMs know about the acknowledged commits of a service.

    Attributes:
        acknowledged: Bounds of the latest acknowledged commit that any of them knows.
        since: Clock reading since which all of them have kept account, in seconds; infinite if one did not answer.
        silent: VMs that did not answer.
    """

    acknowledged: acknowledgements.Acknowledged
    since: float
    silent: tuple[str, ...] = ()


class CommitReports:
    """Collects the reports of other VMs, and reports to them.

    Args:
        peers: Streams to the other VMs.
        acknowledged: What this VM knows about acknowledged commits.
        sources: Returns the VMs through which the commits at a primary pass; None stands for an unknown primary.
    """

    def __init__(
        self,
        peers: network.Network,
        acknowledged: acknowledgements.AcknowledgedCommits,
        sources: Callable[[model.Instance | None], Iterable[str]],
    ):
        self._peers = peers
        self._acknowledged = acknowledged
        self._sources = sources
        self._started_at = clock.now()
        peers.handler(ACKNOWLEDGED)(self._handle_request)

    async def collect(self, service: str, primary: model.Instance | None) -> CommitReport:
        """Ask the VMs through which commits pass what was acknowledged to callers.

        Args:
            service: The service.
            primary: Its present primary, or None if it is unknown.
        """
        vms = [vm for vm in self._sources(primary) if vm != self._peers.member.vm]
        answers = await asyncio.gather(*(self._ask(vm, service) for vm in vms))
        known = [answer for answer in answers if answer is not None]
        silent = tuple(vm for vm, answer in zip(vms, answers, strict=True) if answer is None)
        merged = acknowledgements.merge_all([self._acknowledged.of(service), *(bounds for bounds, _ in known)])
        self._acknowledged.merge(service, merged)
        since = max([self._started_at, *(up_since for _, up_since in known)])
        return CommitReport(merged, float("inf") if silent else since, silent)

    async def _ask(self, vm: str, service: str) -> tuple[acknowledgements.Acknowledged, float] | None:
        """Return what a VM knows, and since when, or None if it did not answer."""
        asked_at = clock.now()
        try:
            answer = await self._peers.request(vm, ACKNOWLEDGED, {"service": service}, timeout_s=ANSWER_TIMEOUT_S)
            bounds = acknowledgements.Acknowledged.decode(answer[BOUNDS], asked_at)
            # The earlier start would be safe only if the answer took no time.
            return bounds, clock.now() - float(answer[UP_S])
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(service=service, peer=vm).info("VM did not report its acknowledged commits: {}", error)
        except (errors.MalformedObjectError, KeyError, TypeError, ValueError) as error:
            _log.bind(service=service, peer=vm).warning("VM sent a malformed report of its commits: {!r}", error)
        return None

    def _handle_request(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        now = clock.now()
        return {BOUNDS: self._acknowledged.of(str(body["service"])).encode(now), UP_S: now - self._started_at}
