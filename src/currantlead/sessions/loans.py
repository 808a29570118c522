"""Exchange tokens of organisations' rates between VMs, in msgpack datagrams."""

import asyncio
import collections
import random
from typing import Any

import msgpack

from currantlead import logs
from currantlead.sessions import allowance, clock, model, settings

NEAR_WAIT_S = 0.012
"""Time for the owners of this failure domain to answer: a round trip takes 0.4 to 2 ms, a busy VM some more."""
ASK_INTERVAL_S = 0.06
"""Time between questions to owners elsewhere: a round trip between regions is about 25 ms."""
WAIT_S = 0.15
"""An operation waits this long for borrowed tokens before it is refused."""
PREFETCH_S = 0.25
"""Tokens are asked for this many seconds of an organisation's present demand; loans are dropped after 1 s."""
DEMAND_S = 1.0
"""Time over which an organisation's demand on this VM is counted."""
PARTS_ASKED = 1.5
"""How much more than needed is asked for over all lenders, as some have nothing or do not answer."""
FAR_ASKED = 3
"""Owners of other failure domains that are asked at once: messages between regions are priced."""
LEAST_PART = 0.34
"""Least part of a token that one lender is asked for: three answers make an operation."""
MOST_TOKENS = 64.0
"""Largest loan; keeps a broken datagram from moving a whole burst."""

_ASK, _LEND = 1, 2
_log = logs.part("allowance")


class Lender(asyncio.DatagramProtocol):
    """Admit operations from this VM's slices, and from what peers lend."""

    def __init__(self, allowances: allowance.Allowances, domain: str):
        self._allowances = allowances
        self._domain = domain
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._asked_at: dict[tuple[str, bool], float] = {}
        self._demand: dict[str, collections.deque[float]] = {}

    async def start(self, address: settings.Address) -> None:
        """Open the datagram socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))

    def close(self) -> None:
        """Close the datagram socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Report a datagram that could not be delivered."""
        _log.debug("datagram failed: {!r}", exc)

    async def admit(self, organisation: str) -> bool:
        """Spend one token, borrowed if need be; return whether there was one in time.

        The owners of this VM's failure domain are asked first, those elsewhere only if they have too little.
        """
        began_at = clock.now()
        self._count_demand(organisation, began_at)
        while True:
            now = clock.now()
            if self._allowances.take(organisation, now):
                return True
            if now >= began_at + WAIT_S:
                decided_on = self._allowances.describe(organisation)
                _log.bind(organisation=organisation, waited_s=WAIT_S, **decided_on).info("over the rate")
                return False
            far = now - began_at >= NEAR_WAIT_S or not self._lenders(organisation, far=False)
            self._ask(organisation, now, far=False)
            if far:
                self._ask(organisation, now, far=True)
            pause_s = ASK_INTERVAL_S if far else NEAR_WAIT_S
            await self._wait(organisation, min(pause_s, began_at + WAIT_S - now))

    def _count_demand(self, organisation: str, now: float) -> None:
        counted = self._demand.setdefault(organisation, collections.deque())
        counted.append(now)
        while counted[0] < now - DEMAND_S:
            counted.popleft()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Lend tokens to a peer, or take those that one lends."""
        try:
            kind, organisation, amount = msgpack.unpackb(data)
            amount = min(MOST_TOKENS, float(amount))
            if not isinstance(organisation, str) or not amount > 0:
                raise ValueError(f"bad fields {organisation!r}, {amount!r}")
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            _log.warning("datagram from {} is malformed: {!r}", addr[0], error)
            return
        now = clock.now()
        if kind == _ASK:
            # Callers wait here too: what this VM has, it needs itself.
            lent = 0.0 if self._waiting.get(organisation) else self._allowances.lend(organisation, amount, now)
            if lent > 0:
                self._send(addr, _LEND, organisation, lent)
        elif kind == _LEND:
            self._allowances.borrow(organisation, amount, now)
            for future in self._waiting.pop(organisation, []):
                if not future.done():
                    future.set_result(None)

    async def _wait(self, organisation: str, timeout_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(organisation, []).append(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return
        finally:
            waiting = self._waiting.get(organisation)
            if waiting and future in waiting:
                waiting.remove(future)

    def _lenders(self, organisation: str, *, far: bool) -> list[model.Member]:
        return [owner for owner in self._allowances.lenders(organisation) if (owner.domain != self._domain) == far]

    def _ask(self, organisation: str, now: float, *, far: bool) -> None:
        """Ask owners for what those who wait need, and for the demand of the next moments."""
        pause_s = ASK_INTERVAL_S if far else NEAR_WAIT_S
        if now - self._asked_at.get((organisation, far), 0.0) < pause_s:
            return
        self._asked_at[organisation, far] = now
        lenders = self._lenders(organisation, far=far)
        if far:
            lenders = random.sample(lenders, min(FAR_ASKED, len(lenders)))
        expected = len(self._demand.get(organisation, ())) / DEMAND_S * PREFETCH_S
        want = 1.0 + len(self._waiting.get(organisation, ())) + expected
        part = max(LEAST_PART, PARTS_ASKED * want / max(1, len(lenders)))
        for peer in lenders:
            self._send((peer.host, peer.port), _ASK, organisation, part)

    def _send(self, addr: tuple[str, int], kind: int, organisation: str, amount: float) -> None:
        if self._transport is not None:
            self._transport.sendto(msgpack.packb([kind, organisation, amount]), addr)
