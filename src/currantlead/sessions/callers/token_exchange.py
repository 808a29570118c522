"""Borrows and lends rate-limit tokens between VMs in msgpack datagrams."""

import asyncio
import collections
import random
from typing import Any

import msgpack

from currantlead import logs
from currantlead.sessions import clock, model, settings
from currantlead.sessions.callers import token_buckets

LOCAL_WAIT_S = 0.012
"""Wait for a loan from owners in this failure domain: a round trip takes 0.4 to 2 ms, longer if the VM is busy."""
REMOTE_WAIT_S = 0.06
"""Interval between requests to owners in other failure domains: a round trip between regions takes about 25 ms."""
MAX_WAIT_S = 0.15
"""Maximum wait of an operation for borrowed tokens before it is refused."""
PREFETCH_S = 0.25
"""Tokens are requested in advance for this many seconds of an organisation's demand; loans expire after 1 s."""
DEMAND_WINDOW_S = 1.0
"""Time window over which an organisation's demand on this VM is measured."""
REQUEST_FACTOR = 1.5
"""Ratio of requested to needed tokens over all lenders, because some have no tokens or do not answer."""
MAX_REMOTE_LENDERS = 3
"""Maximum number of owners in other failure domains per request: traffic between regions is billed."""
MIN_REQUEST_TOKENS = 0.34
"""Minimum number of tokens requested from one lender: three loans of this size suffice for one operation."""
MAX_LOAN_TOKENS = 64.0
"""Maximum size of a loan, so that a corrupt datagram cannot move a whole burst."""

_REQUEST, _LOAN = 1, 2
_log = logs.part("allowance")


class TokenExchange(asyncio.DatagramProtocol):
    """Admits operations against this VM's token buckets, and exchanges tokens with other VMs."""

    def __init__(self, buckets: token_buckets.TokenBuckets, domain: str):
        self._buckets = buckets
        self._domain = domain
        self._transport: asyncio.DatagramTransport | None = None
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._requested_at: dict[tuple[str, bool], float] = {}
        self._recent_operations: dict[str, collections.deque[float]] = {}

    async def start(self, address: settings.Address) -> None:
        """Open the datagram socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))

    def close(self) -> None:
        """Close the datagram socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Log a socket error; called by asyncio."""
        _log.debug("sending or receiving a datagram failed: {!r}", exc)

    async def admit(self, organisation: str) -> bool:
        """Consume one token, borrowing it if necessary; return whether one was available within ``MAX_WAIT_S``.

        Owners in this VM's failure domain are asked first, those in other domains only if that is not enough.
        """
        started_at = clock.now()
        self._record_demand(organisation, started_at)
        while True:
            now = clock.now()
            if self._buckets.try_consume(organisation, now):
                return True
            if now >= started_at + MAX_WAIT_S:
                bucket_state = self._buckets.bucket_state(organisation)
                _log.bind(organisation=organisation, waited_s=MAX_WAIT_S, **bucket_state).info("rate limit exceeded")
                return False
            remote = now - started_at >= LOCAL_WAIT_S or not self._lenders(organisation, remote=False)
            self._request_tokens(organisation, now, remote=False)
            if remote:
                self._request_tokens(organisation, now, remote=True)
            interval_s = REMOTE_WAIT_S if remote else LOCAL_WAIT_S
            await self._wait_for_loan(organisation, min(interval_s, started_at + MAX_WAIT_S - now))

    def _record_demand(self, organisation: str, now: float) -> None:
        recent = self._recent_operations.setdefault(organisation, collections.deque())
        recent.append(now)
        while recent[0] < now - DEMAND_WINDOW_S:
            recent.popleft()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a request for tokens or a loan from another VM; called by asyncio."""
        try:
            kind, organisation, amount = msgpack.unpackb(data)
            amount = min(MAX_LOAN_TOKENS, float(amount))
            if not isinstance(organisation, str) or not amount > 0:
                raise ValueError(f"invalid organisation {organisation!r} or amount {amount!r}")
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            _log.warning("malformed datagram from {}: {!r}", addr[0], error)
            return
        now = clock.now()
        if kind == _REQUEST:
            # While operations wait on this VM, it keeps its own tokens.
            amount_lent = 0.0 if self._waiters.get(organisation) else self._buckets.lend(organisation, amount, now)
            if amount_lent > 0:
                self._send(addr, _LOAN, organisation, amount_lent)
        elif kind == _LOAN:
            self._buckets.borrow(organisation, amount, now)
            for future in self._waiters.pop(organisation, []):
                if not future.done():
                    future.set_result(None)

    async def _wait_for_loan(self, organisation: str, timeout_s: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(organisation, []).append(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return
        finally:
            waiters = self._waiters.get(organisation)
            if waiters and future in waiters:
                waiters.remove(future)

    def _lenders(self, organisation: str, *, remote: bool) -> list[model.Member]:
        return [owner for owner in self._buckets.lenders(organisation) if (owner.domain != self._domain) == remote]

    def _request_tokens(self, organisation: str, now: float, *, remote: bool) -> None:
        """Request tokens for the waiting operations and the predicted demand, at most once per wait interval."""
        interval_s = REMOTE_WAIT_S if remote else LOCAL_WAIT_S
        if now - self._requested_at.get((organisation, remote), 0.0) < interval_s:
            return
        self._requested_at[organisation, remote] = now
        lenders = self._lenders(organisation, remote=remote)
        if remote:
            lenders = random.sample(lenders, min(MAX_REMOTE_LENDERS, len(lenders)))
        predicted = len(self._recent_operations.get(organisation, ())) / DEMAND_WINDOW_S * PREFETCH_S
        needed = 1.0 + len(self._waiters.get(organisation, ())) + predicted
        amount = max(MIN_REQUEST_TOKENS, REQUEST_FACTOR * needed / max(1, len(lenders)))
        for peer in lenders:
            self._send((peer.host, peer.port), _REQUEST, organisation, amount)

    def _send(self, addr: tuple[str, int], kind: int, organisation: str, amount: float) -> None:
        if self._transport is not None:
            self._transport.sendto(msgpack.packb([kind, organisation, amount]), addr)
