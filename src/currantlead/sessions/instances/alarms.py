"""Reports of failing primaries to the VMs that would have to replace them.

With many VMs, each sees only little of a primary's traffic, and the VM that has to act may see none for seconds.
"""

from collections.abc import Callable
from typing import Any

from currantlead import logs
from currantlead.peers import network
from currantlead.sessions import clock
from currantlead.sessions.decisions import election
from currantlead.sessions.instances import fleet

ALARM = "alarm"
MAX_RECIPIENTS = 3
"""Number of VMs that get a report: the first in rank, and those that act if it does not."""
MIN_INTERVAL_S = 0.3
"""Least time between two reports of the same symptom; the first VM in rank acts after 0.4 s."""

_log = logs.part("fleet")


class Alarms:
    """Reports symptoms of primaries to other VMs and records those that other VMs report.

    Args:
        instances: The known instances; their ``on_symptom`` callback is set.
        peers: Streams to the other VMs.
        members: Returns the VMs that may promote, in any order.
    """

    def __init__(self, instances: fleet.Fleet, peers: network.Network, members: Callable[[], list[str]]):
        self._fleet = instances
        self._peers = peers
        self._members = members
        self._reported_at: dict[tuple[str, fleet.Symptom], float] = {}
        instances.on_symptom = self._report
        peers.handler(ALARM)(self._receive)

    def _report(self, instance_id: str, symptom: fleet.Symptom, reason: str) -> None:
        tracked = self._fleet.get(instance_id)
        if tracked is None or self._fleet.primary(tracked.instance.service) is not tracked:
            return
        now = clock.now()
        if now - self._reported_at.get((instance_id, symptom), float("-inf")) < MIN_INTERVAL_S:
            return
        self._reported_at[instance_id, symptom] = now
        own = self._peers.member.vm
        for vm in election.promotion_order(tracked.instance.service, self._members())[:MAX_RECIPIENTS]:
            if vm != own:
                self._peers.notify(vm, ALARM, {"instance": instance_id, "trouble": symptom.value, "reason": reason})

    def _receive(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        symptom = fleet.Symptom(body["trouble"])
        _log.bind(instance=body["instance"], peer=vm, trouble=symptom.value).info(
            "another VM reported: {}", body["reason"]
        )
        if symptom is fleet.Symptom.SILENT:
            self._fleet.mark_suspect(body["instance"], body["reason"], reported=True)
        else:
            self._fleet.record_write(body["instance"], answered=False, reported=True)
        return {}
