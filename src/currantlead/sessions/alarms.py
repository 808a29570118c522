"""Tell the VMs whose turn a promotion would be what others see of a primary.

With many VMs each sees little of a primary, and the one that has to act may see nothing for seconds.
"""

from collections.abc import Callable
from typing import Any

from currantlead import logs
from currantlead.peers import network
from currantlead.sessions import clock, election, fleet

ALARM = "alarm"
TOLD = 3
"""VMs that are told: the first in turn, and those that act if it does not."""
PAUSE_S = 0.3
"""Time between two reports of the same trouble; the first in turn acts after 0.4 s."""

_log = logs.part("fleet")


class Alarms:
    """Pass on what this VM sees of primaries, and take what others see.

    Args:
        known: The instances; its ``on_trouble`` is taken.
        peers: Streams to the other VMs.
        in_turn: Returns the VMs that may act, in any order.
    """

    def __init__(self, known: fleet.Fleet, peers: network.Network, in_turn: Callable[[], list[str]]):
        self._fleet = known
        self._peers = peers
        self._in_turn = in_turn
        self._told_at: dict[tuple[str, fleet.Trouble], float] = {}
        known.on_trouble = self._report
        peers.handler(ALARM)(self._take)

    def _report(self, instance_id: str, trouble: fleet.Trouble, reason: str) -> None:
        known = self._fleet.get(instance_id)
        if known is None or self._fleet.primary(known.instance.service) is not known:
            return
        now = clock.now()
        if now - self._told_at.get((instance_id, trouble), float("-inf")) < PAUSE_S:
            return
        self._told_at[instance_id, trouble] = now
        own = self._peers.member.vm
        for vm in election.promotion_order(known.instance.service, self._in_turn())[:TOLD]:
            if vm != own:
                self._peers.notify(vm, ALARM, {"instance": instance_id, "trouble": trouble.value, "reason": reason})

    def _take(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        trouble = fleet.Trouble(body["trouble"])
        _log.bind(instance=body["instance"], peer=vm, trouble=trouble.value).info("told: {}", body["reason"])
        if trouble is fleet.Trouble.SILENT:
            self._fleet.suspect(body["instance"], body["reason"], told=True)
        else:
            self._fleet.note_write(body["instance"], answered=False, told=True)
        return {}
