"""Socket options that make a silent connection fail within seconds."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 2
"""With the next two, a silent connection fails after 4 s."""
KEEPALIVE_INTERVAL_S = 1
"""Seconds between probes."""
KEEPALIVE_PROBES = 2
"""Unanswered probes that end a connection."""
UNACKNOWLEDGED_MS = 3000
"""Bytes without acknowledgement end the connection after this time: instances drop dark callers after 3 s."""


def configure(transport: asyncio.StreamWriter | asyncio.BaseTransport) -> None:
    """Set no-delay, keep-alive probes and the limit of unacknowledged bytes on a connection's socket."""
    found = transport.get_extra_info("socket")
    if found is None:
        return
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
