"""TCP socket options that detect a dead connection within seconds."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 2
"""Idle seconds before the first probe; with the next two settings, a silent connection fails after 4 s."""
KEEPALIVE_INTERVAL_S = 1
"""Seconds between probes."""
KEEPALIVE_PROBES = 2
"""Number of unanswered probes after which the connection fails."""
UNACKNOWLEDGED_MS = 3000
"""Maximum time that sent bytes stay unacknowledged: instances drop unreachable callers after 3 s."""


def configure(transport: asyncio.StreamWriter | asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and set keepalive probes and the user timeout on a connection's socket."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
