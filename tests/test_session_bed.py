"""The test bed of the session daemons: a daemon that cannot start is reported."""

import socket

import pytest

from tests import session_bed


async def test_daemon_that_ends_at_its_start_is_reported(monkeypatch):
    """Guards against a test that waits for its whole time limit, without a line, for a daemon that has ended."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        async with session_bed.Bed() as bed:
            monkeypatch.setattr(session_bed, "free_port", lambda: taken.getsockname()[1])
            with pytest.raises(RuntimeError, match="vm-2 ended before it was ready") as raised:
                await bed.add_daemon("vm-2", "z1")
    assert isinstance(raised.value.__cause__, OSError)
