"""What happens to the instances of services while primaries are replaced: open orders, and instances that are gone."""

import dataclasses
from collections.abc import Callable, Collection

from currantlead.sessions import clock, model

DEPARTURE_RETENTION_S = 20.0
"""Time for which an instance that is gone is remembered, once it has ended or its failure domain is heard again. VMs
that are gone for good leave the members after this time, so that the reports of the others are complete."""
CUT_OFF_RETENTION_S = 3600.0
"""Time for which an instance that is gone is remembered while nothing in its failure domain is heard. Regions lose each
other for minutes; a failure domain that was given up is forgotten."""
NEWS_AGE_S = 5.0
"""Age up to which news of a failure domain counts: several heartbeats of instances and exchanges between VMs."""

HOLD_S = 1.0
"""Time after which commits that are held back for an order are sent again, because the VM that promotes has failed. The
record of an order reaches the VMs in 0.2 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An instance that is gone from the store.

    Attributes:
        instance: Its last entry.
        gone_at: Clock reading at which its entry was known to be gone.
        ended_at: Clock reading at which its process was known to have ended: another one has its identity, or nothing
            answered as this instance at its address. None if it may still receive commits; an entry disappears after a
            silence, too.
        cut_off_at: Clock reading of the last look at which it was not known to have ended and nothing in its failure
            domain was heard; negative infinity if there was none.
    """

    instance: model.Instance
    gone_at: float
    ended_at: float | None = None
    cut_off_at: float = float("-inf")

    def is_of(self, instance_id: str, started_at_ms: int) -> bool:
        """Return whether it is the departure of an instance since one of its starts."""
        return self.instance.id == instance_id and self.instance.started_at_ms == started_at_ms

    def is_recent(self, now: float) -> bool:
        """Return whether it still counts at a clock reading."""
        cut_off_until = min(self.cut_off_at, self.gone_at + CUT_OFF_RETENTION_S)
        return now - max(self.gone_at, cut_off_until) < DEPARTURE_RETENTION_S


class Departures:
    """Remembers the replicas that are gone, which may have had the only copy of an acknowledged commit."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[Departure]] = {}
        self._looked_at: dict[str, float] = {}
        self._since = clock.now()

    def record(self, instance: model.Instance, gone_at: float, ended_at: float | None = None) -> None:
        """Record that an instance is gone."""
        self._by_service.setdefault(instance.service, []).append(Departure(instance, gone_at, ended_at))

    def record_end(self, instance_id: str, started_at_ms: int, ended_at: float) -> None:
        """Record that the process of an instance that is gone was known to have ended at a clock reading."""
        for service, items in self._by_service.items():
            self._by_service[service] = [
                dataclasses.replace(item, ended_at=ended_at)
                if item.ended_at is None and item.is_of(instance_id, started_at_ms)
                else item
                for item in items
            ]

    def forget(self, instance: model.Instance) -> None:
        """Forget that an instance was gone, because its entry is back."""
        items = self._by_service.get(instance.service, [])
        items[:] = [item for item in items if not item.is_of(instance.id, instance.started_at_ms)]

    def complete_since(self) -> float | None:
        """Return the clock reading before which departures are not known, or None if all recent ones are."""
        return self._since if clock.now() - self._since < DEPARTURE_RETENTION_S else None

    def of(self, service: str, find_heard_domains: Callable[[], Collection[str]]) -> list[Departure]:
        """Return the instances of a service that are gone and may have the only copy of an acknowledged commit.

        Args:
            service: The service.
            find_heard_domains: Returns the failure domains in which something is heard, which so are not cut off.
        """
        now = clock.now()
        # What was heard before this VM was stalled is no news.
        was_stalled = now - self._looked_at.get(service, now) > NEWS_AGE_S
        self._looked_at[service] = now
        items = self._by_service.get(service, [])
        if any(item.ended_at is None for item in items):
            heard = () if was_stalled else find_heard_domains()
            items = [
                item
                if item.ended_at is not None or item.instance.domain in heard
                else dataclasses.replace(item, cut_off_at=now)
                for item in items
            ]
        self._by_service[service] = [
            item
            for item in items
            if item.is_recent(now) or (item.ended_at is not None and now - item.gone_at < CUT_OFF_RETENTION_S)
        ]
        return [item for item in items if item.is_recent(now)]

    def ends(self, service: str) -> dict[tuple[str, int], float]:
        """Return the instances that are known to have ended, by identity and start, with the clock reading of the end.

        They are remembered for longer than they count, because other VMs may not know of their ends.
        """
        return {
            (item.instance.id, item.instance.started_at_ms): item.ended_at
            for item in self._by_service.get(service, ())
            if item.ended_at is not None
        }


@dataclasses.dataclass(frozen=True, slots=True)
class OpenOrder:
    """A promotion that was called for and is not known to have taken effect.

    Attributes:
        instance_id: Identity of the instance.
        revision: Revision at which the store recorded the order.
        since: Clock reading at which an order for this instance was first known.
    """

    instance_id: str
    revision: int
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Commits of a service that are held back until an order is recorded.

    Attributes:
        revision: Revision of the claim that the hold is for.
        until: Clock reading at which it ends by itself.
    """

    revision: int
    until: float


class OpenOrders:
    """Holds the open order of each service.

    Attributes:
        latest_revision: Highest revision of a claim or an order, or 0.
    """

    def __init__(self) -> None:
        self.latest_revision = 0
        self._orders: dict[str, OpenOrder] = {}
        self._holds: dict[str, Hold] = {}

    def hold(self, service: str, revision: int) -> None:
        """Hold back the commits of a service, for ``HOLD_S`` seconds at most.

        Args:
            service: The service.
            revision: Revision of the claim that it is for. Entries of the duty up to this one do not end the hold.
        """
        self.latest_revision = max(self.latest_revision, revision)
        self._holds[service] = Hold(revision, clock.now() + HOLD_S)

    def release(self, service: str, revision: int) -> None:
        """End the hold of a service, unless it is for a claim of a later revision."""
        if service in self._holds and revision >= self._holds[service].revision:
            del self._holds[service]

    def is_held(self, service: str) -> bool:
        """Return whether the commits of a service are held back."""
        held = self._holds.get(service)
        return held is not None and clock.now() < held.until

    def restrictions(self) -> dict[str, str]:
        """Return for each service with an order the ordered instance, or an empty identity while commits are held."""
        ordered = {service: order.instance_id for service, order in self._orders.items()}
        return ordered | {service: "" for service in self._holds if self.is_held(service)}

    def of(self, service: str) -> OpenOrder | None:
        """Return the open order of a service, or None."""
        return self._orders.get(service)

    def replace(self, service: str, instance_id: str, revision: int) -> bool:
        """Replace the order of a service by the one that the store has; return whether it is for another instance.

        Args:
            service: The service.
            instance_id: Instance whose promotion may still take effect; empty if there is none.
            revision: Revision at which the store recorded it.
        """
        self.latest_revision = max(self.latest_revision, revision)
        self.release(service, revision - 1)
        known = self._orders.pop(service, None)
        is_same = (known.instance_id if known is not None else "") == instance_id
        if instance_id:
            since = known.since if known is not None and is_same else clock.now()
            self._orders[service] = OpenOrder(instance_id, revision, since)
        return not is_same

    def end_in_effect(self, instance: model.Instance) -> None:
        """End the order for an instance whose entry shows that it leads since the order."""
        order = self._orders.get(instance.service)
        if (
            order is not None
            and order.instance_id == instance.id
            and instance.role is model.Role.PRIMARY
            and instance.revision > order.revision
        ):
            del self._orders[instance.service]
