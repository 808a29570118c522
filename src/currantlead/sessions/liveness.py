"""Which VMs did not answer a moment ago, and whether they answer again."""

import asyncio
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock

PING = "ping"
PING_INTERVAL_S = 0.4
"""A VM that did not answer is asked again at this interval, so that no statement has to find out that it is back."""
PING_TIMEOUT_S = 0.3
"""Several round trips between regions (50 ms) and a slow start of the stream."""
SILENT_S = 0.2
"""A VM that owes replies and has sent nothing for this long is asked whether it lives: orders may take a second, and
those sent to a dead VM should not."""
CHECK_S = 0.1
"""Interval at which silent VMs are looked for."""

_log = logs.part("peers")


class Liveness:
    """Remember the VMs that did not answer until they do.

    Attributes:
        leaving: Whether this VM stops, so that others pass it over.
    """

    def __init__(self, peers: network.Network):
        self.leaving = False
        self._peers = peers
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._down_since: dict[str, float] = {}
        self._checking: set[str] = set()
        peers.handler(PING)(self._answer)

    def is_down(self, vm: str) -> bool:
        """Tell whether a VM has not answered since it was reported."""
        return vm in self._probes

    def down_for(self, vm: str) -> float:
        """Return the seconds for which a VM has not answered, or 0."""
        return clock.now() - self._down_since[vm] if vm in self._probes else 0.0

    async def check(self, vm: str) -> None:
        """Ask a VM once; if it does not answer, report it and fail what waits for its replies."""
        if vm in self._checking or vm in self._probes:
            return
        self._checking.add(vm)
        try:
            await self._peers.request(vm, PING, {}, timeout_s=PING_TIMEOUT_S)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            self.report(vm, str(error))
            self._peers.disconnect(vm, "it does not answer")
        finally:
            self._checking.discard(vm)

    async def check_silent(self) -> None:
        """Ask the VMs that owe replies and are silent; to be called regularly."""
        await asyncio.gather(*(self.check(vm) for vm in self._peers.silent(SILENT_S)))

    def report(self, vm: str, reason: str) -> None:
        """Take note that a VM did not answer, and ask it until it does."""
        if vm not in self._probes:
            _log.bind(peer=vm, reason=reason).warning("VM does not answer")
            self._down_since[vm] = clock.now()
            self._probes[vm] = asyncio.get_running_loop().create_task(self._probe(vm))

    def forget(self, present: set[str]) -> None:
        """Stop asking VMs that are no members any more."""
        for vm in [name for name in self._probes if name not in present]:
            self._probes.pop(vm).cancel()

    def close(self) -> None:
        """Stop asking."""
        self.forget(set())

    async def _probe(self, vm: str) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            try:
                answer = await self._peers.request(vm, PING, {}, timeout_s=PING_TIMEOUT_S)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
                _log.bind(peer=vm).debug("no answer: {}", error)
                continue
            if answer.get("leaving"):
                continue
            self._probes.pop(vm, None)
            _log.bind(peer=vm).info("VM answers again")
            return

    def _answer(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        return {"leaving": self.leaving}
