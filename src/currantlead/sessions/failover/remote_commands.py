"""Help of other VMs for a VM that cannot connect to an instance.

A primary that cannot be reached is demoted through another VM. Otherwise it could acknowledge commits of the VMs that
reach it, with a replica that joins or restarts after the others were paused. A full instance is reached after another
VM has closed an idle connection.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import model
from currantlead.sessions.failover import instance_commands
from currantlead.sessions.instances import fleet, link

REACH, DEMOTE, CLOSE_IDLE = "reach", "demote", "close_idle"
REACHED, ROW, CLOSED = "reached", "row", "closed"
MAX_VMS = 6
"""Number of VMs that are asked; each opens a connection to the primary, which accepts few."""
REACH_TIMEOUT_S = 0.7
"""Time limit of the question whether a VM reaches an instance, a little above the limit of opening a connection."""
CLOSE_TIMEOUT_S = 0.2
"""Time limit of the request to close an idle connection, which takes no time there."""
DEMOTE_TIMEOUT_S = 0.4
"""Time limit of a demotion by a VM that has just reached the instance."""

_log = logs.part("succession")


class RemoteCommands:
    """Asks other VMs for help with an instance, and helps them.

    Args:
        peers: Streams to the other VMs.
        instances: The known instances.
        helpers: Returns the VMs that may be asked to reach an instance, the most suitable first.
        close_idle: Closes an idle connection of this VM to an instance; returns whether there was one.
    """

    def __init__(
        self,
        peers: network.Network,
        instances: fleet.Fleet,
        helpers: Callable[[model.Instance], Sequence[str]],
        close_idle: Callable[[str], bool],
    ):
        self._close_idle = close_idle
        self._peers = peers
        self._fleet = instances
        self._helpers = helpers
        peers.handler(REACH)(self._handle_reach)
        peers.handler(DEMOTE)(self._handle_demote)
        peers.handler(CLOSE_IDLE)(self._handle_close_idle)

    async def make_room(self, instance: model.Instance) -> bool:
        """Close an idle connection to a full instance, here or at another VM; return whether there was one."""
        if self._close_idle(instance.id):
            return True
        answers = await self._ask_all(self._select(instance), CLOSE_IDLE, instance, 0, CLOSE_TIMEOUT_S)
        return any(answer.get(CLOSED) for answer in answers)

    async def find_vms(self, instance: model.Instance) -> list[str]:
        """Return other VMs that reach an instance."""
        vms = self._select(instance)
        answers = await self._ask_all(vms, REACH, instance, 0, REACH_TIMEOUT_S)
        return [vm for vm, answer in zip(vms, answers, strict=True) if answer.get(REACHED)]

    async def demote(self, vms: Sequence[str], instance: model.Instance, term: int) -> model.InstanceStatus | None:
        """Let VMs demote an instance; return its status from the first that succeeded, or None."""
        answers = await self._ask_all(vms, DEMOTE, instance, term, DEMOTE_TIMEOUT_S)
        statuses = [_decode_status(answer) for answer in answers]
        return next((status for status in statuses if status is not None), None)

    def _select(self, instance: model.Instance) -> list[str]:
        return [vm for vm in self._helpers(instance) if vm != self._peers.member.vm][:MAX_VMS]

    async def _ask_all(
        self, vms: Sequence[str], kind: str, instance: model.Instance, term: int, timeout_s: float
    ) -> list[dict[str, Any]]:
        return await asyncio.gather(*(self._ask(vm, kind, instance, term, timeout_s) for vm in vms))

    async def _ask(self, vm: str, kind: str, instance: model.Instance, term: int, timeout_s: float) -> dict[str, Any]:
        try:
            return await self._peers.request(vm, kind, {"instance": instance.id, "term": term}, timeout_s=timeout_s)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(instance=instance.id, peer=vm).info("VM did not help with an instance: {}", error)
            return {}

    async def _connect(self, instance_id: str) -> link.Link | None:
        tracked = self._fleet.get(instance_id) or self._fleet.gone_leader(instance_id)
        if tracked is None:
            return None
        return await instance_commands.connect(tracked.instance, self._make_own_room)

    async def _make_own_room(self, instance: model.Instance) -> bool:
        return self._close_idle(instance.id)

    def _handle_close_idle(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        return {CLOSED: self._close_idle(str(body["instance"]))}

    async def _handle_reach(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        connection = await self._connect(body["instance"])
        if connection is None:
            return {REACHED: False}
        connection.close()
        return {REACHED: True}

    async def _handle_demote(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        connection = await self._connect(body["instance"])
        if connection is None:
            return {}
        status = await instance_commands.send(connection, instance_commands.CODEC.encode_demote(int(body["term"])))
        connection.close()
        _log.bind(instance=body["instance"], peer=vm, status=status and dataclasses.asdict(status)).info(
            "demoted an instance for another VM" if status is not None else "could not demote an instance"
        )
        if status is None:
            return {}
        return {ROW: [status.role.value, status.term, status.received.term, status.received.number, status.paused_term]}


def _decode_status(answer: dict[str, Any]) -> model.InstanceStatus | None:
    """Decode the status in a VM's answer; return None if it has none or a malformed one, which is logged."""
    if ROW not in answer:
        return None
    try:
        role, term, received_term, received_number, paused_term = answer[ROW]
        received = model.Position(int(received_term), int(received_number))
        return model.InstanceStatus(model.Role(role), int(term), received, int(paused_term))
    except (TypeError, ValueError) as error:
        _log.warning("ignoring a malformed status from another VM: {!r}", error)
        return None
