"""Share the primaries' latest log positions and the list of lagging replicas between VMs.

Each VM alone sees too little traffic to know them.

Each VM that follows the store directly asks a holder of each primary's connections for its most recent sample. The
other VMs of the failure domain get the samples together with their copy of the store. A holder without a recent sample
opens and rolls back a transaction at the primary to get one.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import acknowledgements
from currantlead.sessions.instances import connections, fleet, forwarding, orders
from currantlead.sessions.routing import freshness

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import answer_health

SAMPLE = "sample"
ACKNOWLEDGED = "acknowledged"
"""Key of the bounds of the acknowledged commits."""
TOTALS, DECISIONS = "answers", "ejected"
"""Keys of the answers that a VM has counted, and of a relay's decisions."""
SAMPLE_INTERVAL_S = 0.5
"""Interval between samples. Interval and replica lag (up to 0.4 s) together stay below 1.5 s, the smallest staleness
that routes accept."""
FETCH_TIMEOUT_S = 0.08
"""Time that a read waits for a first sample, enough for a round trip between regions and a busy holder. A read
without a sample runs on the primary. After a restart of all VMs, such reads would overload it."""
FETCH_MIN_INTERVAL_S = 0.2
"""Minimum time between two requests for a first sample of a service."""
SAMPLE_TIMEOUT_S = 0.4
"""Time limit of a sample. Covers two round trips between regions (50 ms) and the time in the queue behind statements
for the primary."""
SAMPLE_STATEMENT = "ROLLBACK"
"""Statement of a transaction that only takes a sample."""

_log = logs.part("route")


class Sampler:
    """Keeps a recent sample of each service's primary on this VM.

    Args:
        instance_fleet: The known instances.
        samples: The samples of this VM.
        instance_connections: The connections of this VM to instances.
        peers: Streams to the other VMs.
        is_collecting: Returns whether this VM collects samples on behalf of its failure domain.
        acknowledged: The acknowledged commits that this VM knows; the VMs of a failure domain tell each other, so that
            the knowledge outlives a VM.
        health: Health of the instances as their answers show it, or None if they are not judged by it.
    """

    def __init__(
        self,
        instance_fleet: fleet.Fleet,
        samples: freshness.PositionSamples,
        instance_connections: connections.Connections,
        peers: network.Network,
        is_collecting: Callable[[], bool],
        acknowledged: acknowledgements.AcknowledgedCommits,
        health: "answer_health.AnswerHealth | None" = None,
    ):
        self._acknowledged = acknowledged
        self._health = health
        self._fleet = instance_fleet
        self._samples = samples
        self._connections = instance_connections
        self._peers = peers
        self._is_collecting = is_collecting
        self._sampling_tasks: dict[str, asyncio.Task[None]] = {}
        self._fetch_tasks: dict[str, asyncio.Task[None]] = {}
        self._fetched_at: dict[str, float] = {}
        peers.handler(SAMPLE)(self._handle_request)

    async def refresh(self) -> None:
        """Collect samples of all services that are reached through holders; called periodically.

        Primaries that this VM holds connections to are sampled in any case while they are suspect: an answer shows that
        they are alive, and ends the wait of the statements that are held back.
        """
        is_collecting = self._is_collecting()
        await asyncio.gather(
            *(
                self._refresh_service(service)
                for service in self._fleet.services()
                if is_collecting or self._is_suspect(service)
            )
        )

    def _is_suspect(self, service: str) -> bool:
        primary = self._fleet.primary(service)
        return primary is not None and self._fleet.is_suspect(primary)

    async def fetch(self, service: str) -> None:
        """Fetch a first sample for a service; concurrent calls share one request."""
        task = self._fetch_tasks.get(service)
        if task is None and clock.now() - self._fetched_at.get(service, float("-inf")) < FETCH_MIN_INTERVAL_S:
            return
        if task is None:
            self._fetched_at[service] = clock.now()
            task = self._fetch_tasks[service] = asyncio.get_running_loop().create_task(self._refresh_service(service))
            task.add_done_callback(lambda done: self._fetch_tasks.pop(service, None))
        await asyncio.wait({task}, timeout=FETCH_TIMEOUT_S)

    def encode_state(self, *, include_positions: bool) -> dict[str, Any]:
        """Return the lagging instances for other VMs, with the most recent samples if ``include_positions`` is set."""
        now = clock.now()
        lagging = {
            name: [position.term, position.number, age_s]
            for name, (position, age_s) in self._fleet.lagging_instances().items()
        }
        health: dict[str, Any] = {}
        if self._health is not None and include_positions:
            health[DECISIONS] = self._health.encode_decisions()
        elif self._health is not None:
            health[TOTALS] = self._health.encode_totals()
        acknowledged = {
            service: self._acknowledged.of(service).encode(now) for service in self._acknowledged.services()
        }
        if not include_positions:
            return {"behind": lagging, ACKNOWLEDGED: acknowledged, **health}
        latest_samples = {service: self._samples.latest(service) for service in self._fleet.services()}
        samples = {
            service: [sample.position.term, sample.position.number, now - sample.asked_at]
            for service, sample in latest_samples.items()
            if sample is not None
        }
        return {"positions": samples, "behind": lagging, ACKNOWLEDGED: acknowledged, **health}

    def merge(self, message: dict[str, Any], asked_at: float, vm: str = "") -> None:
        """Record another VM's samples and lagging instances, and what it has seen of instances.

        Their ages are relative to ``asked_at``, the clock reading at which that VM was asked or its message arrived.

        A malformed message is logged and ignored.
        """
        try:
            positions = _decode_entries(message.get("positions", {}))
            lagging = _decode_entries(message.get("behind", {}))
            acknowledged = {
                str(service): acknowledgements.Acknowledged.decode(bounds, asked_at)
                for service, bounds in message.get(ACKNOWLEDGED, {}).items()
            }
            if self._health is not None and TOTALS in message and vm:
                self._health.merge_totals(vm, message[TOTALS])
            if self._health is not None and DECISIONS in message:
                self._health.merge_decisions(message[DECISIONS])
        except (AttributeError, errors.MalformedObjectError) as error:
            _log.warning("ignoring malformed samples of another VM: {!r}", error)
            return
        for service, (position, age_s) in positions.items():
            self._samples.record(service, asked_at - age_s, position)
        for service, bounds in acknowledged.items():
            self._acknowledged.merge(service, bounds)
        for instance_id, (position, age_s) in lagging.items():
            self._fleet.mark_lagging(instance_id, position, age_s)

    async def _refresh_service(self, service: str) -> None:
        primary = self._fleet.primary(service)
        if primary is None or (self._has_recent_sample(service) and not self._fleet.is_suspect(primary)):
            return
        path = self._connections.path_of(primary.instance)
        if not isinstance(path, forwarding.ForwardingPath):
            # With its own connections to the primary, this VM gets samples from its own statements.
            if self._fleet.is_suspect(primary):
                await self._sample(primary.instance)
            return
        holder = path.first_holder()
        if holder == self._peers.member.vm:
            await self._sample(primary.instance)
            return
        asked_at = clock.now()
        try:
            answer = await self._peers.request(
                holder, SAMPLE, {"instance": primary.instance.id}, timeout_s=SAMPLE_TIMEOUT_S
            )
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(service=service, holder=holder).info("holder did not return a position sample: {}", error)
            return
        self.merge({"positions": answer}, asked_at)

    def _has_recent_sample(self, service: str) -> bool:
        sample = self._samples.latest(service)
        return sample is not None and clock.now() - sample.asked_at < SAMPLE_INTERVAL_S * 0.8

    async def _handle_request(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        tracked = self._fleet.get(body["instance"])
        if tracked is None:
            return {}
        service = tracked.instance.service
        if not self._has_recent_sample(service):
            await self._sample(tracked.instance)
        latest_samples = self.encode_state(include_positions=True)["positions"]
        return {name: sample for name, sample in latest_samples.items() if name == service}

    async def _sample(self, instance: model.Instance) -> None:
        """Sample an instance by opening and rolling back a transaction; concurrent calls share one."""
        task = self._sampling_tasks.get(instance.id)
        if task is None:
            task = self._sampling_tasks[instance.id] = asyncio.get_running_loop().create_task(
                self._take_sample(instance)
            )
            task.add_done_callback(lambda done: self._sampling_tasks.pop(instance.id, None))
        await task

    async def _take_sample(self, instance: model.Instance) -> None:
        direct = self._connections.direct_path(instance)
        organisation = direct.pool.idle_organisation()
        if not organisation:
            # No idle connection: either all are in use by statements, whose responses contain samples, or there is none
            # and thus no traffic to sample for.
            return
        order = orders.Order(
            orders.OWN_REQUEST_ID, SAMPLE_STATEMENT, {}, SAMPLE_TIMEOUT_S, begin_mode=orders.BeginMode.PRIMARY_ONLY
        )
        try:
            report, _ = await direct.run(organisation, order, priority=0, wait_s=SAMPLE_TIMEOUT_S, check=lambda: None)
        except (errors.PoolUnavailableError, errors.LinkRefusedError, errors.LinkLostError) as error:
            _log.bind(instance=instance.id).info("sampling the position of the instance failed: {}", error)
            return
        self._samples.record_report(instance.service, order, report)
        if report.primary_proof(order) is not None:
            self._fleet.mark_healthy(instance.id)


def _decode_entries(entries: Any) -> dict[str, tuple[model.Position, float]]:
    """Decode positions with their ages in seconds, by service or instance.

    Raises:
        errors.MalformedObjectError: An entry is malformed, or its age is negative.
    """
    decoded = {}
    try:
        for name, (term, number, age_s) in entries.items():
            # A sample from the future would cover commits that its position lacks; NaN fails the check too.
            if not age_s >= 0.0:
                raise ValueError(f"age {age_s!r}")
            decoded[str(name)] = model.Position(int(term), int(number)), float(age_s)
    except (AttributeError, TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedObjectError(f"another VM sent malformed samples: {error!r}") from error
    return decoded
