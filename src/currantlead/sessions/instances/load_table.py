"""Latest load reports of the holders, and the round trips to them, as a VM that sends orders knows them."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock
from currantlead.sessions.decisions import load, placement
from currantlead.sessions.membership import members

LOAD = "load"
"""Kind of the frames that carry load reports, and key of reports in frames."""
OTHERS = "others"
"""Key of the reports of other holders, by instance and holder, in the response of a holder."""
HELD = "held_us"
"""Key of the time that a holder took for an order, in microseconds."""
ROUND_TRIP_SMOOTHING = 0.2
"""Weight of the latest measurement in the moving average of a round trip: five orders replace the start value."""
ROUND_TRIP_MAX_AGE_S = 5.0
"""Age from which a measured round trip is replaced by the usual one, so that a holder that was slow is tried again."""

_log = logs.part("load")


@dataclasses.dataclass(slots=True)
class _Entry:
    """Latest report of a holder about an instance.

    Attributes:
        report: The report.
        unreported: Number of orders that were sent to the holder since.
    """

    report: load.QueueReport
    unreported: int = 0


class LoadTable:
    """Keeps the latest report by instance and holder until it expires.

    Args:
        domain: Failure domain of this VM.
        known_members: The VMs of the system, for the usual round trips to them.
        region_of: Returns the region of each failure domain.
    """

    def __init__(self, domain: str, known_members: members.Members, region_of: Callable[[], Mapping[str, str]]):
        self._domain = domain
        self._members = known_members
        self._region_of = region_of
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._round_trips: dict[str, tuple[float, float]] = {}

    def register(self, peers: network.Network) -> None:
        """Register the handler for the reports that holders send on their own."""
        peers.handler(LOAD)(self.handle_reports)

    def handle_reports(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Record the reports of a holder about several instances."""
        reports = body.get(LOAD)
        if not isinstance(reports, dict):
            _log.bind(holder=vm).warning("ignoring load reports that are no map")
            return {}
        for instance_id, data in reports.items():
            self.record(instance_id, vm, data, clock.now())
        return {}

    def record(self, instance_id: str, holder: str, data: Any, received_at: float) -> None:
        """Record an encoded report; one that is malformed, from the future or older than the latest is ignored."""
        try:
            report = load.decode(data, received_at)
        except errors.MalformedObjectError as error:
            _log.bind(instance=instance_id, holder=holder).warning("ignoring a load report: {}", error)
            return
        entry = self._entries.get((instance_id, holder))
        if entry is None or entry.report.measured_at < report.measured_at:
            self._entries[instance_id, holder] = _Entry(report)

    def record_response(self, instance_id: str, holder: str, response: dict[str, Any], asked_at: float) -> None:
        """Record the report and the round trip that a response to an order shows.

        Args:
            instance_id: Identity of the instance.
            holder: Name of the holder.
            response: Body of the response.
            asked_at: Clock reading at which the order was sent, in seconds.
        """
        now = clock.now()
        if LOAD in response:
            self.record(instance_id, holder, response[LOAD], now)
        others = response.get(OTHERS, {})
        if isinstance(others, dict):
            for other_id, reports in others.items():
                for name, data in reports.items() if isinstance(reports, dict) else ():
                    self.record(other_id, name, data, now)
        held_us = response.get(HELD)
        if type(held_us) is int and held_us >= 0:
            self.record_round_trip(holder, max(0.0, now - asked_at - held_us / 1e6), now)

    def record_round_trip(self, holder: str, seconds: float, now: float) -> None:
        """Record a measured round trip to a holder."""
        smoothed_s = self.round_trip_s(holder, now)
        self._round_trips[holder] = smoothed_s + ROUND_TRIP_SMOOTHING * (seconds - smoothed_s), now

    def round_trip_s(self, holder: str, now: float) -> float:
        """Return the round trip to a holder in seconds, without the time that the holder itself takes."""
        smoothed_s, measured_at = self._round_trips.get(holder, (0.0, float("-inf")))
        return smoothed_s if now - measured_at < ROUND_TRIP_MAX_AGE_S else self._usual_round_trip_s(holder)

    def _usual_round_trip_s(self, vm: str) -> float:
        """Return the round trip to a VM, by its distance, that is assumed until it has been measured."""
        member, region_of = self._members.get(vm), self._region_of()
        domain = "" if member is None else member.domain
        distance = placement.distance(
            self._domain, region_of.get(self._domain, ""), domain, region_of.get(domain, "unknown")
        )
        return placement.ROUND_TRIPS_S[distance]

    def count_sent(self, instance_id: str, holder: str) -> None:
        """Count an order that is sent to a holder, so that it is expected in its queue until the next report."""
        entry = self._entries.get((instance_id, holder))
        if entry is not None:
            entry.unreported += 1

    def report(self, instance_id: str, holder: str) -> load.QueueReport | None:
        """Return the latest report of a holder about an instance, or None."""
        entry = self._entries.get((instance_id, holder))
        return None if entry is None else entry.report

    def estimate(
        self, instance_id: str, holder: str, priority: int, now: float, *, reserved_share: float = 0.0
    ) -> placement.Estimate | None:
        """Return what an order has to expect at a holder, or None without a recent report.

        Args:
            instance_id: Identity of the instance.
            holder: Name of the holder.
            priority: Priority of the order.
            now: Clock reading, in seconds.
            reserved_share: Share of the slots that are kept for other work.
        """
        entry = self._entries.get((instance_id, holder))
        if entry is None:
            return None
        return estimate(
            entry.report,
            self.round_trip_s(holder, now),
            priority,
            now,
            unreported=entry.unreported,
            reserved_share=reserved_share,
        )

    def expire(self) -> None:
        """Forget expired reports and round trips, which bounds the table; call it periodically."""
        now = clock.now()
        for key in [key for key, entry in self._entries.items() if now - entry.report.measured_at > load.MAX_AGE_S]:
            del self._entries[key]
        for holder in [
            holder
            for holder, (_, measured_at) in self._round_trips.items()
            if now - measured_at >= ROUND_TRIP_MAX_AGE_S
        ]:
            del self._round_trips[holder]


def estimate(
    report: load.QueueReport,
    round_trip_s: float,
    priority: int,
    now: float,
    *,
    unreported: int = 0,
    reserved_share: float = 0.0,
) -> placement.Estimate | None:
    """Return what an order has to expect according to a report, or None if the report is too old."""
    reserved = int(report.limit * reserved_share + 0.5)
    wait_s = load.expected_wait_s(report, priority, now, unreported=unreported, reserved=reserved)
    if wait_s is None:
        return None
    return placement.Estimate(round_trip_s, wait_s, report.service_s, max(0.0, now - report.measured_at))
