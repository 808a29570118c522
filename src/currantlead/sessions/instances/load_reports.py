"""Load reports of the instances that this VM holds connections to, for the VMs that send it orders."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from currantlead import timers
from currantlead.peers import network
from currantlead.sessions import clock, metric_registry, settings
from currantlead.sessions.decisions import load
from currantlead.sessions.instances import load_table
from currantlead.sessions.membership import members

PUSH_INTERVAL_S = 0.25
"""Interval at which reports are sent without an order, so that a VM has several before the first one expires."""
REFRESH_S = 0.5
"""Age of the last report at which holders of the same service get an unchanged one: half the age at which it expires,
so that they always have one to relay."""
RELAY_MAX_AGE_S = 0.75
"""Age from which a report of another holder is not relayed: it would expire before the next order in most cases."""
RECEIVER_S = 2.0
"""Time after its last order for which a VM gets reports, so that callers that act every second keep it informed."""

HolderReader = Callable[[str], Mapping[str, Sequence[str]]]
"""Returns the holders of each instance of the service that an instance belongs to, by instance id."""
LoadReader = Callable[[str, float], load.QueueReport | None]
"""Returns the load of this VM's connections to an instance at a clock reading, or None if there are none."""


@dataclasses.dataclass(slots=True)
class _Receiver:
    """VM that sent orders for an instance.

    Attributes:
        ordered_at: Clock reading of its last order, in seconds.
        last_report: The last report that was sent to it, or None before the first.
        is_holder: Whether it holds connections to an instance of the same service.
        relayed_at: Clock reading at which it last got reports of other holders, in seconds.
    """

    ordered_at: float
    last_report: load.QueueReport | None = None
    is_holder: bool = False
    relayed_at: float = float("-inf")


class LoadReports:
    """Attaches reports to responses, and sends changed ones to the VMs that sent orders lately.

    The holders of a service's instances also send each other their reports, and relay them with their responses. A VM
    that sends few orders thus knows the load of all instances of a service after each of them.

    Args:
        peers: Streams to the other VMs.
        table: Reports of the other VMs.

    Attributes:
        table: Reports of the other VMs.
        attached_bytes: Number of bytes of the reports that were attached to responses.
        pushed_bytes: Number of bytes of the frames that carried reports on their own.
    """

    def __init__(self, peers: network.Network, table: load_table.LoadTable):
        self.table = table
        self._peers = peers
        self._load_of: LoadReader = lambda instance_id, now: None
        self._holders_of_service: HolderReader = lambda instance_id: {}
        self._receivers: dict[str, dict[str, _Receiver]] = {}
        self.attached_bytes = 0
        self.pushed_bytes = 0

    @classmethod
    def from_config(
        cls,
        config: settings.SessionSettings,
        peers: network.Network,
        known_members: members.Members,
        region_of: Callable[[], Mapping[str, str]],
    ) -> "LoadReports":
        """Create an empty exchange of reports; ``region_of`` returns the region of each failure domain."""
        return cls(peers, load_table.LoadTable(config.domain, known_members, region_of))

    def start(
        self,
        timer_service: timers.TimerService,
        metrics: metric_registry.MetricRegistry,
        load_of: LoadReader,
        holders_of_service: HolderReader,
    ) -> None:
        """Start to exchange reports.

        Args:
            timer_service: Calls ``push``.
            metrics: Shows the number of bytes.
            load_of: Returns the load of this VM's connections to an instance by id, or None without connections.
            holders_of_service: Returns the holders of each instance of the service of an instance.
        """
        self._load_of = load_of
        self._holders_of_service = holders_of_service
        self.table.register(self._peers)
        timer_service.subscribe("load reports", PUSH_INTERVAL_S, self.push)
        timer_service.subscribe("load table", load.MAX_AGE_S, self.table.expire)
        metrics.register_gauge(
            "load_report_bytes",
            lambda: {
                (("way", "response"),): float(self.attached_bytes),
                (("way", "push"),): float(self.pushed_bytes),
            },
        )

    def note_order(self, vm: str, instance_id: str) -> None:
        """Record that a VM sent an order, so that it gets reports also while the order waits."""
        receivers = self._receivers.setdefault(instance_id, {})
        receiver = receivers.get(vm)
        if receiver is None:
            receivers[vm] = _Receiver(clock.now())
        else:
            receiver.ordered_at = clock.now()

    def attach(self, vm: str, instance_id: str, response: dict[str, Any], started_at: float) -> None:
        """Add the instance's report, and the time that this VM took, to the response to a recorded order.

        Args:
            vm: Name of the VM that sent the order.
            instance_id: Identity of the instance.
            response: Body of the response.
            started_at: Clock reading at which the order arrived, in seconds.
        """
        now = clock.now()
        report = self._load_of(instance_id, now)
        if report is None:
            return
        encoded = load.encode(report, now)
        response[load_table.LOAD] = encoded
        response[load_table.HELD] = int((now - started_at) * 1e6)
        self.attached_bytes += len(encoded)
        receiver = self._receivers.get(instance_id, {}).get(vm)
        if receiver is None:
            return
        receiver.last_report = report
        if now - receiver.relayed_at >= PUSH_INTERVAL_S and not receiver.is_holder:
            receiver.relayed_at = now
            others = self._encode_others(instance_id, now)
            if others:
                response[load_table.OTHERS] = others
                self.attached_bytes += sum(len(data) for reports in others.values() for data in reports.values())

    def _encode_others(self, instance_id: str, now: float) -> dict[str, dict[str, bytes]]:
        """Return the recent reports of other holders of the same service, by instance and holder."""
        others: dict[str, dict[str, bytes]] = {}
        for other_id, names in self._holders_of_service(instance_id).items():
            for name in names:
                report = self.table.report(other_id, name)
                if report is not None and now - report.measured_at < RELAY_MAX_AGE_S:
                    others.setdefault(other_id, {})[name] = load.encode(report, now)
        return others

    def _add_holders(self, instance_id: str, now: float) -> None:
        """Add the other holders of the same service to the receivers."""
        receivers = self._receivers[instance_id]
        names = {name for names in self._holders_of_service(instance_id).values() for name in names}
        for name in names - {self._peers.member.vm}:
            receivers.setdefault(name, _Receiver(now)).ordered_at = now
        for name, receiver in receivers.items():
            receiver.is_holder = name in names

    def push(self) -> None:
        """Send the reports that have changed to the VMs that sent orders lately; call it every ``PUSH_INTERVAL_S``."""
        now = clock.now()
        reports_by_vm: dict[str, dict[str, bytes]] = {}
        for instance_id, receivers in list(self._receivers.items()):
            if any(not receiver.is_holder for receiver in receivers.values()):
                self._add_holders(instance_id, now)
            report = self._load_of(instance_id, now)
            for vm, receiver in list(receivers.items()):
                if now - receiver.ordered_at > RECEIVER_S or report is None:
                    del receivers[vm]
                elif _is_due(report, receiver):
                    receiver.last_report = report
                    reports_by_vm.setdefault(vm, {})[instance_id] = load.encode(report, now)
            if not receivers:
                del self._receivers[instance_id]
        sent_before = self._peers.bytes_sent
        for vm, reports in reports_by_vm.items():
            self._peers.notify(vm, load_table.LOAD, {load_table.LOAD: reports})
        self.pushed_bytes += self._peers.bytes_sent - sent_before


def _is_due(report: load.QueueReport, receiver: _Receiver) -> bool:
    """Return whether a VM gets a report now: it has none, the load has changed, or its last one is too old to relay."""
    last = receiver.last_report
    if last is None or load.differs(report, last):
        return True
    return receiver.is_holder and report.measured_at - last.measured_at >= REFRESH_S
