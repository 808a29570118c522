"""Exchange tokens of organisations' rates between VMs, in msgpack datagrams."""

import asyncio
from typing import Any

import msgpack

from currantlead import logs
from currantlead.sessions import allowance, clock, members, settings

ASK_INTERVAL_S = 0.06
"""Time between two questions for tokens of one organisation: a round trip between regions is about 25 ms."""
WAIT_S = 0.15
"""An operation waits this long for borrowed tokens before it is refused."""
PARTS_ASKED = 1.5
"""How much more than needed is asked for over all lenders, as some have nothing or do not answer."""
LEAST_PART = 0.34
"""Least part of a token that one lender is asked for: three answers make an operation."""
MOST_TOKENS = 64.0
"""Largest loan; keeps a broken datagram from moving a whole burst."""

_ASK, _LEND = 1, 2
_log = logs.part("allowance")


class Lender(asyncio.DatagramProtocol):
    """Admit operations from this VM's slices, and from what peers lend."""

    def __init__(self, allowances: allowance.Allowances, peers: members.Members):
        self._allowances = allowances
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._asked_at: dict[str, float] = {}

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
        """Spend one token, borrowed if need be; return whether there was one in time."""
        deadline = clock.now() + WAIT_S
        while True:
            now = clock.now()
            if self._allowances.take(organisation, now):
                return True
            if now >= deadline:
                decided_on = self._allowances.describe(organisation)
                _log.bind(organisation=organisation, waited_s=WAIT_S, **decided_on).info("over the rate")
                return False
            self._ask(organisation, now)
            await self._wait(organisation, min(ASK_INTERVAL_S, deadline - now))

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

    def _ask(self, organisation: str, now: float) -> None:
        if now - self._asked_at.get(organisation, 0.0) < ASK_INTERVAL_S:
            return
        self._asked_at[organisation] = now
        lenders = [self._peers.get(name) for name in self._allowances.lenders(organisation)]
        want = 1.0 + len(self._waiting.get(organisation, ()))
        part = max(LEAST_PART, PARTS_ASKED * want / max(1, len(lenders)))
        for peer in lenders:
            if peer is not None:
                self._send((peer.host, peer.port), _ASK, organisation, part)

    def _send(self, addr: tuple[str, int], kind: int, organisation: str, amount: float) -> None:
        if self._transport is not None:
            self._transport.sendto(msgpack.packb([kind, organisation, amount]), addr)
