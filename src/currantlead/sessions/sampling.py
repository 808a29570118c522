"""Share samples of the primaries' positions and which replicas are behind, between VMs with little traffic each.

Each VM that follows the store asks a holder of each primary's connections for its newest sample; the other VMs of the
failure domain get the samples with their copies of the store. A holder without a new one opens and ends a transaction.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, connections, fleet, forwarding, freshness, model, orders

SAMPLE = "sample"
SAMPLE_S = 0.5
"""Interval of samples: routes accept data of 1.5 s and more, replicas are up to 0.4 s behind."""
FETCH_WAIT_S = 0.08
"""A read waits this long for a first sample: a round trip between regions and a busy holder. Without one it runs at the
primary, which all reads of VMs that have just started would saturate."""
FETCH_PAUSE_S = 0.2
"""Time between two such questions for a service."""
SAMPLE_TIMEOUT_S = 0.4
"""Two round trips between regions (50 ms) and the statements that are waiting for the primary."""
OWN_REQUEST = "-"
ROLLBACK = "ROLLBACK"

_log = logs.part("route")


class Sampler:
    """Keep a young sample of each service's primary on this VM.

    Args:
        known: The instances.
        samples: This VM's samples.
        reached: How instances are reached.
        peers: Streams to the other VMs.
        is_asking: Tells whether this VM asks for samples on behalf of its failure domain.
    """

    def __init__(
        self,
        known: fleet.Fleet,
        samples: freshness.Freshness,
        reached: connections.Connections,
        peers: network.Network,
        is_asking: Callable[[], bool],
    ):
        self._fleet = known
        self._samples = samples
        self._connections = reached
        self._peers = peers
        self._is_asking = is_asking
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._fetched_at: dict[str, float] = {}
        peers.handler(SAMPLE)(self._answer)

    async def refresh(self) -> None:
        """Get new samples of all services whose connections are shared; to be called regularly."""
        if self._is_asking():
            await asyncio.gather(*(self._refresh(service) for service in self._fleet.services()))

    async def fetch(self, service: str) -> None:
        """Get a sample of a service that this VM has none of; those who ask meanwhile share one question."""
        task = self._fetches.get(service)
        if task is None and clock.now() - self._fetched_at.get(service, float("-inf")) < FETCH_PAUSE_S:
            return
        if task is None:
            self._fetched_at[service] = clock.now()
            task = self._fetches[service] = asyncio.get_running_loop().create_task(self._refresh(service))
            task.add_done_callback(lambda done: self._fetches.pop(service, None))
        await asyncio.wait({task}, timeout=FETCH_WAIT_S)

    def encode(self, *, positions: bool) -> dict[str, Any]:
        """Return for other VMs which instances lacked a position, and with ``positions`` the newest samples."""
        now = clock.now()
        behind = {
            name: [position.term, position.number, age_s]
            for name, (position, age_s) in self._fleet.lagging_instances().items()
        }
        if not positions:
            return {"behind": behind}
        found = {service: self._samples.newest(service) for service in self._fleet.services()}
        samples = {
            service: [sample.position.term, sample.position.number, now - sample.asked_at]
            for service, sample in found.items()
            if sample is not None
        }
        return {"positions": samples, "behind": behind}

    def take(self, encoded: dict[str, Any], asked_at: float) -> None:
        """Take what another VM told; its ages count from the clock reading at which it was asked."""
        for service, (term, number, age_s) in encoded.get("positions", {}).items():
            self._samples.record(service, asked_at - age_s, model.Position(term, number))
        for instance_id, (term, number, age_s) in encoded.get("behind", {}).items():
            self._fleet.mark_lagging(instance_id, model.Position(term, number), age_s)

    async def _refresh(self, service: str) -> None:
        primary = self._fleet.primary(service)
        if primary is None or self._is_young(service):
            return
        path = self._connections.path_of(primary.instance)
        if not isinstance(path, forwarding.ForwardingPath):
            return
        holder = path.first_holder()
        if holder == self._peers.member.vm:
            await self._check(primary.instance)
            return
        asked_at = clock.now()
        try:
            answer = await self._peers.request(
                holder, SAMPLE, {"instance": primary.instance.id}, timeout_s=SAMPLE_TIMEOUT_S
            )
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(service=service, holder=holder).info("no sample: {}", error)
            return
        self.take({"positions": answer}, asked_at)

    def _is_young(self, service: str) -> bool:
        sample = self._samples.newest(service)
        return sample is not None and clock.now() - sample.asked_at < SAMPLE_S * 0.8

    async def _answer(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        known = self._fleet.get(body["instance"])
        if known is None:
            return {}
        service = known.instance.service
        if not self._is_young(service):
            await self._check(known.instance)
        found = self.encode(positions=True)["positions"]
        return {name: sample for name, sample in found.items() if name == service}

    async def _check(self, instance: model.Instance) -> None:
        """Open and end a transaction at an instance; several askers share one."""
        task = self._checks.get(instance.id)
        if task is None:
            task = self._checks[instance.id] = asyncio.get_running_loop().create_task(self._open(instance))
            task.add_done_callback(lambda done: self._checks.pop(instance.id, None))
        await task

    async def _open(self, instance: model.Instance) -> None:
        direct = self._connections.direct_path(instance)
        organisation = direct.pool.idle_organisation()
        if not organisation:
            # Statements that hold all connections bring samples; without a connection there is no traffic.
            return
        order = orders.Order(OWN_REQUEST, ROLLBACK, {}, SAMPLE_TIMEOUT_S, opening=orders.Opening.LEADS)
        try:
            report, _ = await direct.run(organisation, order, priority=0, wait_s=SAMPLE_TIMEOUT_S, check=lambda: None)
        except (errors.PoolUnavailableError, errors.LinkRefusedError, errors.LinkLostError) as error:
            _log.bind(instance=instance.id).info("no sample: {}", error)
            return
        self._samples.record_report(instance.service, order, report)
