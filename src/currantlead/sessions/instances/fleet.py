"""State of the instances as this VM knows it: the store's entries and what answers have shown since."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable, Iterable, Mapping

from currantlead import logs
from currantlead.platform import objects
from currantlead.sessions import clock, model, settings
from currantlead.sessions.decisions import election
from currantlead.sessions.instances import replacements

LAPSE_GRACE_S = 2.0
"""Time for which a lapsed instance is kept; entries are back about two seconds after an outage of the store."""
DRAIN_MARGIN_S = 2.0
"""A draining primary gets no new statements in this last part of the bound, because statements may queue and take time
to arrive."""
EVACUATION_MARGIN_S = 1.5
"""The same for a primary in an evacuated failure domain, and for the same reason."""
SUSPECT_DURATION_S = 1.0
"""Time for which other instances are preferred to one that did not answer or refused connections."""
FAILOVER_HOLD_S = 2.5
"""Time from a primary's first failure for which it gets no work: a failover takes about 2.3 s. What is sent to a dead
primary is in doubt; one that waits can run at its successor."""
LAGGING_DURATION_S = 0.8
"""Time for which a replica that lacked a position is taken to lack it; the VMs of a failure domain share this knowledge
every 0.5 s."""
NOT_PRIMARY_DURATION_S = 0.5
"""Time after which an instance that refused because it is not the primary is taken for the primary again, unless the
store names another one."""

_log = logs.part("fleet")


@dataclasses.dataclass(slots=True)
class TrackedInstance:
    """An instance and its state as this VM knows it.

    Attributes:
        instance: The most recent entry of the store.
        primary_since: Revision at which the entry first named it primary, or 0.
        draining_since: Earliest clock reading at which it may have begun to drain, or None.
        demoted_at: Clock reading at which its entry first named it a replica after it had led, or None.
        lapsed_at: Clock reading at which its entry disappeared although it was not draining, or None.
        suspect_until: Clock reading until which other instances are preferred.
        not_primary_at: Clock reading at which it refused because it is not the primary, or None.
        lagging: A position that it lacked, with the clock reading until which it is taken to lack it, or None.
        failing_since: Clock reading of the first failure after its last answer, or None.
        stuck_since: Clock reading of the first unanswered write after its last answered one, or None.
    """

    instance: model.Instance
    primary_since: int = 0
    draining_since: float | None = None
    demoted_at: float | None = None
    lapsed_at: float | None = None
    suspect_until: float = 0.0
    not_primary_at: float | None = None
    lagging: tuple[model.Position, float] | None = None
    failing_since: float | None = None
    stuck_since: float | None = None


class Symptom(enum.Enum):
    """A sign that an instance may have failed."""

    SILENT = "silent"
    """It answered nothing in time or refused a connection."""
    STUCK = "stuck"
    """It did not answer a write."""


class Fleet:
    """Tracks the instances of all services and decides which of them may get new work.

    Args:
        bounds: Times within which draining and evacuated instances must get no new work.
        region_of: Region of each failure domain.

    Attributes:
        on_ordered: Called with service and instance when the promotion of an instance was ordered, or with an empty
            identity when commits are held back until then.
        on_symptom: Called with instance, symptom and reason when this VM itself saw that an instance may have failed.
        find_domains_of_vms: Returns the failure domains with a VM from which something was received just now.
    """

    def __init__(self, bounds: settings.Bounds, region_of: Mapping[str, str]):
        self.apply_settings(bounds, region_of)
        self._instances: dict[str, TrackedInstance] = {}
        # Every statement and every periodic check asks for the instances of one service.
        self._by_service: dict[str, dict[str, TrackedInstance]] = {}
        self._evacuated_since: dict[str, float] = {}
        self._last_promotion_at: dict[str, float] = {}
        self._absent_since: dict[str, float] = {}
        self._departures = replacements.Departures()
        self._orders = replacements.OpenOrders()
        self._gone_leaders: dict[str, TrackedInstance] = {}
        self._changed = asyncio.Event()
        self.on_ordered: Callable[[str, str], None] = lambda service, instance_id: None
        self.on_symptom: Callable[[str, Symptom, str], None] = lambda instance_id, symptom, reason: None
        self.find_domains_of_vms: Callable[[], set[str]] = set

    def apply_settings(self, bounds: settings.Bounds, region_of: Mapping[str, str]) -> None:
        """Apply the bounds for draining and evacuated instances, and the region of each failure domain."""
        self._bounds = bounds
        self._region_of = region_of

    def replace(self, instances: Iterable[model.Instance], since: float) -> None:
        """Apply the store's complete list; instances that are missing from it have lapsed or left.

        Args:
            instances: The list.
            since: Earliest clock reading at which the store may have accepted the changes.
        """
        present = {instance.id: instance for instance in instances}
        for instance in present.values():
            self.update(instance, since)
        for instance_id in [name for name in self._instances if name not in present]:
            self.remove(instance_id)

    def update(self, instance: model.Instance, since: float) -> None:
        """Apply a new or changed entry.

        Args:
            instance: The entry.
            since: Earliest clock reading at which the store may have accepted the change.
        """
        tracked = self._instances.get(instance.id)
        if tracked is not None and tracked.instance.service != instance.service:
            self._forget(tracked)
            tracked = None
        if tracked is not None:
            instance = _reconcile(tracked.instance, instance)
        if tracked is not None and tracked.instance.started_at_ms != instance.started_at_ms:
            self._record_departure(tracked, clock.now(), ended_at=clock.now())
        if tracked is None or tracked.instance.started_at_ms != instance.started_at_ms:
            tracked = self._instances[instance.id] = TrackedInstance(instance)
            self._departures.forget(instance)
            self._by_service.setdefault(instance.service, {})[instance.id] = tracked
            _log.bind(instance=instance.id, service=instance.service, domain=instance.domain).info(
                "instance registered"
            )
        if instance.role is model.Role.PRIMARY and (
            not tracked.primary_since or tracked.instance.role is not model.Role.PRIMARY
        ):
            tracked.primary_since = instance.revision
            tracked.not_primary_at = tracked.failing_since = tracked.stuck_since = tracked.demoted_at = None
            self._last_promotion_at[instance.service] = clock.now()
            _log.bind(instance=instance.id, service=instance.service).info("instance is primary")
        elif instance.role is model.Role.REPLICA and tracked.instance.role is model.Role.PRIMARY:
            tracked.demoted_at = clock.now()
            # A restored store may name an old primary at a later revision than the present one.
            others = (other for other in self.instances_of(instance.service) if other is not tracked)
            if any(other.instance.role is model.Role.PRIMARY for other in others):
                tracked.primary_since = 0
        tracked.instance = instance
        tracked.lapsed_at = None
        gone = self._gone_leaders.get(instance.service)
        if gone is not None and (gone.instance.id == instance.id or tracked.primary_since > gone.primary_since):
            del self._gone_leaders[instance.service]
            if gone.instance.id != instance.id:
                # It may only be cut off from the store, and acknowledge the commits of its successor.
                self._departures.record(gone.instance, clock.now())
        self._orders.end_in_effect(instance)
        if not instance.draining:
            tracked.draining_since = None
        elif tracked.draining_since is None:
            tracked.draining_since = since
            _log.bind(instance=instance.id, service=instance.service).info("instance is draining")
        self._notify_waiters()

    def remove(self, instance_id: str) -> None:
        """Apply the removal of an entry.

        An instance that was not draining is kept for ``LAPSE_GRACE_S``, because its entry may come back.
        """
        tracked = self._instances.get(instance_id)
        if tracked is None:
            return
        if tracked.instance.draining:
            self._forget(tracked)
            self._record_departure(tracked, clock.now())
            _log.bind(instance=instance_id).info("entry of a draining instance removed")
        elif tracked.lapsed_at is None:
            tracked.lapsed_at = clock.now()
            _log.bind(instance=instance_id).warning("entry lapsed")
        self._notify_waiters()

    def remove_lapsed(self) -> list[str]:
        """Forget the instances that lapsed more than ``LAPSE_GRACE_S`` ago, and return their identities."""
        now = clock.now()
        expired = [
            tracked
            for tracked in self._instances.values()
            if tracked.lapsed_at is not None and now - tracked.lapsed_at > LAPSE_GRACE_S
        ]
        for tracked in expired:
            self._forget(tracked)
            self._record_departure(tracked, tracked.lapsed_at)
            _log.bind(instance=tracked.instance.id).warning("lapsed instance removed")
        return [tracked.instance.id for tracked in expired]

    def _forget(self, tracked: TrackedInstance) -> None:
        instance = tracked.instance
        if self.leader(instance.service) is tracked:
            self._gone_leaders[instance.service] = tracked
        del self._instances[instance.id]
        of_service = self._by_service[instance.service]
        del of_service[instance.id]
        if not of_service:
            del self._by_service[instance.service]

    def _record_departure(self, tracked: TrackedInstance, gone_at: float, ended_at: float | None = None) -> None:
        """Record that an instance is gone, unless it leads: what a primary acknowledged is on a replica, too.

        An entry that says primary may be older than the promotion of another instance, whose commits it acknowledges.
        """
        instance = tracked.instance
        if instance.role is model.Role.REPLICA or self.leader(instance.service) is not tracked:
            self._departures.record(instance, gone_at, ended_at)

    def departures(self, service: str) -> list[replacements.Departure]:
        """Return the replicas of a service that left recently, or that may be cut off with their failure domain."""
        return self._departures.of(service, self._find_heard_domains)

    def _find_heard_domains(self) -> set[str]:
        """Return the failure domains with a VM that is heard, or with an instance that renews its entry."""
        renewed = {tracked.instance.domain for tracked in self._instances.values() if tracked.lapsed_at is None}
        return renewed | self.find_domains_of_vms()

    def ends(self, service: str) -> dict[tuple[str, int], float]:
        """Return the departed replicas of a service that are known to have ended; see ``Departures.ends``."""
        return self._departures.ends(service)

    def record_end(self, instance_id: str, started_at_ms: int, ended_at: float) -> None:
        """Record that the process of an instance that is gone was known to have ended at a clock reading."""
        self._departures.record_end(instance_id, started_at_ms, ended_at)

    def departures_known_since(self) -> float | None:
        """Return the clock reading before which departures are not known, or None if all recent ones are."""
        return self._departures.complete_since()

    def set_evacuated_domains(self, domains: Iterable[str], since: float) -> None:
        """Set the evacuated failure domains, whose instances must get no new work.

        Args:
            domains: The evacuated domains.
            since: Earliest clock reading at which the store may have accepted the evacuation of a new one.
        """
        evacuated = set(domains)
        if evacuated != set(self._evacuated_since):
            _log.bind(domains=sorted(evacuated)).info("evacuated domains changed")
        self._evacuated_since = {domain: self._evacuated_since.get(domain, since) for domain in evacuated}
        self._notify_waiters()

    def get(self, instance_id: str) -> TrackedInstance | None:
        """Return the state of an instance, or None if it is unknown."""
        return self._instances.get(instance_id)

    def instances_of(self, service: str) -> list[TrackedInstance]:
        """Return all known instances of a service, also those that take no new work."""
        return list(self._by_service.get(service, {}).values())

    def services(self) -> set[str]:
        """Return the services that have known instances."""
        return set(self._by_service)

    def ids(self) -> set[str]:
        """Return the identities of all known instances."""
        return set(self._instances)

    def primary(self, service: str) -> TrackedInstance | None:
        """Return the instance that gets the work for the primary, or None; it does not necessarily accept new work.

        While an order is open, only the ordered instance may get commits: the instances that are promoted or paused may
        lack what any other one acknowledges.
        """
        now = clock.now()
        if self._orders.is_held(service):
            return None
        order = self._orders.of(service)
        if order is not None:
            ordered = self._instances.get(order.instance_id)
            return ordered if ordered is not None and _may_lead(ordered, now) else None
        candidates = [
            tracked for tracked in self.instances_of(service) if tracked.primary_since and _may_lead(tracked, now)
        ]
        gone = self._gone_leaders.get(service)
        if gone is not None and self.leader(service) is gone:
            return None
        return max(candidates, key=lambda tracked: tracked.primary_since, default=None)

    def leader(self, service: str) -> TrackedInstance | None:
        """Return the instance that was named primary last, or None, whatever order is open.

        One that is gone counts until another is named: it may only be cut off from the store.
        """
        known = [*self.instances_of(service), *filter(None, [self._gone_leaders.get(service)])]
        primary = max(known, key=lambda tracked: tracked.primary_since, default=None)
        return primary if primary is not None and primary.primary_since else None

    def gone_leader(self, instance_id: str) -> TrackedInstance | None:
        """Return the state of an instance that led when it was gone, or None."""
        return next((item for item in self._gone_leaders.values() if item.instance.id == instance_id), None)

    def set_order(self, service: str, instance_id: str, revision: int) -> None:
        """Apply the order that the store has for a service.

        Args:
            service: The service.
            instance_id: Instance whose promotion may still take effect; empty if there is none.
            revision: Revision at which the store recorded it.
        """
        is_new = self._orders.replace(service, instance_id, revision)
        tracked = self._instances.get(instance_id)
        if tracked is not None:
            self._orders.end_in_effect(tracked.instance)
        if is_new:
            _log.bind(service=service, instance=instance_id or None).info(
                "commits wait for the ordered instance" if instance_id else "no order is open"
            )
            if instance_id:
                self.on_ordered(service, instance_id)
            self._notify_waiters()

    def hold_commits(self, service: str, revision: int) -> None:
        """Send no commits to any instance of a service until an order is recorded, or for a second.

        Args:
            service: The service.
            revision: Revision of the claim by which the order will be recorded.
        """
        self._orders.hold(service, revision)
        self.on_ordered(service, "")

    def release_commits(self, service: str, revision: int) -> None:
        """Send commits again, because no order will be recorded by the claim of a revision."""
        self._orders.release(service, revision)
        self._notify_waiters()

    def count_open_orders(self) -> int:
        """Return the number of services with a promotion that was called for and is not known to have taken effect."""
        return sum(self._orders.of(service) is not None for service in self._by_service)

    @property
    def latest_claim(self) -> int:
        """Return the highest generation number of a claim to replace a primary that is known, or 0."""
        return self._orders.latest_revision

    def commit_restrictions(self) -> dict[str, str]:
        """Return for each service with an order the only instance that may get commits, empty while they are held back.

        The services need not have known instances: their entries may have disappeared.
        """
        return self._orders.restrictions()

    def is_replaced(self, instance_id: str) -> bool:
        """Return whether an open order names another instance of the service, so that this one may get no commits."""
        tracked = self._instances.get(instance_id)
        if tracked is not None and self._orders.is_held(tracked.instance.service):
            return True
        order = self._orders.of(tracked.instance.service) if tracked is not None else None
        return order is not None and order.instance_id != instance_id

    def accepts_reads(self, tracked: TrackedInstance) -> bool:
        """Return whether an instance may get new reads."""
        return not tracked.instance.draining and tracked.instance.domain not in self._evacuated_since

    def accepts_primary_work(self, tracked: TrackedInstance) -> bool:
        """Return whether a primary may get new work.

        One that drains or is evacuated may until another is promoted or the bound is near.
        """
        now = clock.now()
        drain_bound_near = tracked.draining_since is not None and (
            now - tracked.draining_since > self._bounds.drain_s - DRAIN_MARGIN_S
        )
        evacuated_at = self._evacuated_since.get(tracked.instance.domain)
        evacuation_bound_near = (
            evacuated_at is not None and now - evacuated_at > self._bounds.evacuation_s - EVACUATION_MARGIN_S
        )
        return not drain_bound_near and not evacuation_bound_near

    def accepts_work(self, tracked: TrackedInstance) -> bool:
        """Return whether an instance may get the work that its role allows."""
        leads = self.primary(tracked.instance.service) is tracked
        return self.accepts_primary_work(tracked) if leads else self.accepts_reads(tracked)

    def needs_handover(self, tracked: TrackedInstance) -> bool:
        """Return whether a primary has to be replaced because it drains or its failure domain is evacuated."""
        return tracked.instance.draining or tracked.instance.domain in self._evacuated_since

    def region(self, tracked: TrackedInstance) -> str:
        """Return the region of an instance, or an empty string if it is unknown."""
        return self._region_of.get(tracked.instance.domain, "")

    def is_suspect(self, tracked: TrackedInstance) -> bool:
        """Return whether an instance recently did not answer or refused connections."""
        return clock.now() < tracked.suspect_until

    def awaits_failover(self, tracked: TrackedInstance, alive_at: float) -> bool:
        """Return whether a primary has failed and nothing has answered since, so that its work waits for a successor.

        Args:
            tracked: The primary.
            alive_at: Clock reading of the last request that the primary is known to have answered, on any VM.
        """
        if tracked.failing_since is None or alive_at > tracked.failing_since:
            return False
        return self.is_suspect(tracked) or clock.now() - tracked.failing_since < FAILOVER_HOLD_S

    def mark_suspect(self, instance_id: str, reason: str, *, reported: bool = False) -> None:
        """Record that an instance did not answer or refused connections, so that others are preferred for a while.

        Args:
            instance_id: Identity of the instance.
            reason: What was seen, for the log and for other VMs.
            reported: Whether another VM saw it and reported it to this one.
        """
        tracked = self._instances.get(instance_id)
        if tracked is None:
            return
        if tracked.suspect_until < clock.now():
            _log.bind(instance=instance_id, reason=reason).warning("instance is suspect")
        if tracked.failing_since is None:
            tracked.failing_since = clock.now()
        tracked.suspect_until = clock.now() + SUSPECT_DURATION_S
        if not reported:
            self.on_symptom(instance_id, Symptom.SILENT, reason)

    def mark_healthy(self, instance_id: str) -> None:
        """Record a successful answer of an instance."""
        tracked = self._instances.get(instance_id)
        if tracked is not None:
            was_suspect = self.is_suspect(tracked)
            tracked.suspect_until = 0.0
            tracked.failing_since = None
            if was_suspect:
                self._notify_waiters()

    def record_write(self, instance_id: str, *, answered: bool, reported: bool = False) -> None:
        """Record whether a write was answered; a primary that has lost its replicas answers none.

        Args:
            instance_id: Identity of the instance.
            answered: Whether the write was answered.
            reported: Whether another VM saw it and reported it to this one.
        """
        tracked = self._instances.get(instance_id)
        if tracked is not None and answered:
            tracked.stuck_since = None
        elif tracked is not None and tracked.stuck_since is None:
            tracked.stuck_since = clock.now()
        if not answered and not reported:
            self.on_symptom(instance_id, Symptom.STUCK, "write not answered")

    def observe_primary(self, service: str) -> election.Observation:
        """Return the state of a service's primary, for the decision whether to replace it."""
        now = clock.now()
        primary = self.leader(service)
        if primary is None:
            return election.Observation(absent_s=now - self._absent_since.setdefault(service, now))
        self._absent_since.pop(service, None)
        order = self._orders.of(service)
        return election.Observation(
            demoted_s=now - primary.demoted_at if primary.demoted_at is not None else 0.0,
            ordered_s=now - order.since if order is not None else 0.0,
            lapsed=primary.lapsed_at is not None,
            leaving=self.needs_handover(primary),
            failing_s=now - primary.failing_since if primary.failing_since is not None else 0.0,
            stuck_s=now - primary.stuck_since if primary.stuck_since is not None else 0.0,
            since_promotion_s=now - self._last_promotion_at.get(service, float("-inf")),
        )

    def mark_not_primary(self, instance_id: str) -> None:
        """Record that an instance refused a statement because it is not the primary."""
        tracked = self._instances.get(instance_id)
        if tracked is not None:
            tracked.not_primary_at = clock.now()
            _log.bind(instance=instance_id).warning("instance refused a statement because it is not the primary")
        self._notify_waiters()

    def mark_promoted(self, instance_id: str) -> None:
        """Record an accepted promotion before the store's entry shows it."""
        tracked = self._instances.get(instance_id)
        if tracked is not None:
            latest = max((item.primary_since for item in self.instances_of(tracked.instance.service)), default=0)
            tracked.primary_since = latest + 1
            tracked.not_primary_at = tracked.failing_since = tracked.stuck_since = tracked.demoted_at = None
            self._last_promotion_at[tracked.instance.service] = clock.now()
        self._notify_waiters()

    def mark_lagging(self, instance_id: str, position: model.Position, age_s: float = 0.0) -> None:
        """Record that an instance lacked a log position ``age_s`` seconds ago."""
        tracked = self._instances.get(instance_id)
        until = clock.now() + LAGGING_DURATION_S - age_s
        if tracked is not None and (tracked.lagging is None or until > tracked.lagging[1]):
            tracked.lagging = position, until

    def lagging_instances(self) -> dict[str, tuple[model.Position, float]]:
        """Return the lagging instances with the position that each lacked and how many seconds ago that was."""
        now = clock.now()
        return {
            name: (tracked.lagging[0], max(0.0, LAGGING_DURATION_S - (tracked.lagging[1] - now)))
            for name, tracked in self._instances.items()
            if tracked.lagging is not None and now < tracked.lagging[1]
        }

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait until the state of any instance changes; return whether it did in time."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _may_lead(tracked: TrackedInstance, now: float) -> bool:
    """Return whether an instance has not just refused a statement because it is not the primary."""
    return tracked.not_primary_at is None or now - tracked.not_primary_at > NOT_PRIMARY_DURATION_S


def _reconcile(known: model.Instance, entry: model.Instance) -> model.Instance:
    """Return an instance's entry without what a restored store has forgotten of it.

    An instance neither returns to an earlier start nor takes back a drain. The known revision stays, so that the same
    holds for the restored entry when it is read again.
    """
    if objects.era_of(entry.revision) <= objects.era_of(known.revision):
        return entry
    if 0 < entry.started_at_ms < known.started_at_ms:
        return known
    if known.draining and entry.started_at_ms == known.started_at_ms:
        return dataclasses.replace(entry, draining=True, revision=known.revision)
    return entry
