"""Failure detection between VMs: unresponsive VMs are pinged until they respond again."""

import asyncio
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock

PING = "ping"
PING_INTERVAL_S = 0.4
"""Interval at which an unresponsive VM is pinged, so that no statement has to be sent to find out that it is back."""
PING_TIMEOUT_S = 0.3
"""Allows for several round trips between regions (50 ms) and a slowly opening stream."""
SILENCE_TIMEOUT_S = 0.2
"""Time without any data from a VM with outstanding requests after which it is pinged. An order may take a second; one
sent to a dead VM should fail sooner."""
CHECK_INTERVAL_S = 0.1
"""Interval of the check for silent VMs."""

_log = logs.part("peers")


class Liveness:
    """Track the VMs that are down, and ping them until they respond.

    Attributes:
        leaving: Whether this VM is shutting down; the others then keep treating it as down.
        ping_interval_s: Interval at which an unresponsive VM is pinged; None for ``PING_INTERVAL_S``.
    """

    def __init__(self, peers: network.Network):
        self.leaving = False
        self.ping_interval_s: float | None = None
        self._peers = peers
        self._ping_tasks: dict[str, asyncio.Task[None]] = {}
        self._down_since: dict[str, float] = {}
        self._checks_in_flight: set[str] = set()
        peers.handler(PING)(self._handle_ping)

    def is_down(self, vm: str) -> bool:
        """Return whether a VM was reported as down and has not responded since."""
        return vm in self._ping_tasks

    def down_for_s(self, vm: str) -> float:
        """Return for how many seconds a VM has been down; 0 if it is not."""
        return clock.now() - self._down_since[vm] if vm in self._ping_tasks else 0.0

    async def check(self, vm: str) -> None:
        """Ping a VM once; if it doesn't respond, report it as down and fail the requests that wait for its replies."""
        if vm in self._checks_in_flight or vm in self._ping_tasks:
            return
        self._checks_in_flight.add(vm)
        try:
            await self._peers.request(vm, PING, {}, timeout_s=PING_TIMEOUT_S)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            self.report_down(vm, str(error))
            self._peers.disconnect(vm, "no response to a ping")
        finally:
            self._checks_in_flight.discard(vm)

    async def check_silent(self) -> None:
        """Ping the VMs that have outstanding requests but are silent; call it periodically."""
        await asyncio.gather(*(self.check(vm) for vm in self._peers.silent_vms(SILENCE_TIMEOUT_S)))

    def report_down(self, vm: str, reason: str) -> None:
        """Record that a VM is down, and ping it until it responds."""
        if vm not in self._ping_tasks:
            _log.bind(peer=vm, reason=reason).warning("VM does not respond")
            self._down_since[vm] = clock.now()
            self._ping_tasks[vm] = asyncio.get_running_loop().create_task(self._ping_until_up(vm))

    def retain(self, vms: set[str]) -> None:
        """Stop pinging the VMs that are not among the given ones."""
        for vm in [name for name in self._ping_tasks if name not in vms]:
            self._ping_tasks.pop(vm).cancel()

    def close(self) -> None:
        """Stop all pings."""
        self.retain(set())

    async def _ping_until_up(self, vm: str) -> None:
        while True:
            await asyncio.sleep(self.ping_interval_s or PING_INTERVAL_S)
            try:
                response = await self._peers.request(vm, PING, {}, timeout_s=PING_TIMEOUT_S)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
                _log.bind(peer=vm).debug("ping failed: {}", error)
                continue
            if response.get("leaving"):
                continue
            self._ping_tasks.pop(vm, None)
            _log.bind(peer=vm).info("VM responds again")
            return

    def _handle_ping(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        return {"leaving": self.leaving}
