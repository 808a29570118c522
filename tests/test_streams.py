"""Tests of the byte streams of callers' connections."""

import socket

import pytest

from currantlead.border import streams


@pytest.fixture
def pair():
    """Return a connected pair of sockets."""
    near, far = socket.socketpair()
    near.settimeout(5)
    far.settimeout(5)
    yield near, far
    near.close()
    far.close()


def test_reader_knows_of_a_request_that_came_with_the_one_before(pair):
    """A pipelined request in the buffer is seen, or its caller would wait until more bytes arrive."""
    near, far = pair
    reader = streams.Reader(streams.DeadlineSocket(near, "rb", lambda: None), 8192)
    far.sendall(b"one\r\nbody" + b"two\r\n")
    assert reader.readline(256) == b"one\r\n"
    assert reader.read(4) == b"body"
    assert reader.has_data()
    assert reader.readline(256) == b"two\r\n"
    assert not reader.has_data()


def test_reader_stops_at_the_deadline(pair):
    """A client that sends nothing more does not hold a thread beyond the deadline."""
    near, _ = pair

    def refuse():
        raise TimeoutError("timed out")

    reader = streams.Reader(streams.DeadlineSocket(near, "rb", refuse), 8192)
    with pytest.raises(TimeoutError):
        reader.readline(256)


def test_writer_sends_the_head_with_the_body(pair):
    """Nothing is sent before the body, and the order stays."""
    near, far = pair
    writer = streams.Writer(streams.DeadlineSocket(near, "wb", lambda: None))
    writer.hold()
    writer.write(b"head ")
    far.setblocking(False)
    with pytest.raises(BlockingIOError):
        far.recv(100)
    writer.write(b"body")
    assert far.recv(100) == b"head body"


def test_writer_sends_a_head_without_body(pair):
    """An answer without a body is not kept back for ever."""
    near, far = pair
    writer = streams.Writer(streams.DeadlineSocket(near, "wb", lambda: None))
    writer.hold()
    writer.write(b"head")
    writer.release()
    writer.write(b" next")
    assert far.recv(4) == b"head"
    assert far.recv(100) == b" next"


def test_writer_continues_a_partial_send(pair):
    """A send that takes only a part of the bytes is continued."""
    near, far = pair
    raw = streams.DeadlineSocket(near, "wb", lambda: None)
    whole = bytes(range(256)) * 16
    parts = []
    raw_write, raw.write = raw.write, lambda data: raw_write(data[:1000])
    writer = streams.Writer(raw)
    writer.write(whole)
    while sum(map(len, parts)) < len(whole):
        parts.append(far.recv(65536))
    assert b"".join(parts) == whole
