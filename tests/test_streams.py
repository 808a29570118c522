"""Tests of the byte streams of client connections."""

import socket

import pytest

from currantlead.http_api import streams


@pytest.fixture
def pair():
    """Return a connected pair of sockets."""
    server_socket, client_socket = socket.socketpair()
    server_socket.settimeout(5)
    client_socket.settimeout(5)
    yield server_socket, client_socket
    server_socket.close()
    client_socket.close()


def test_reader_reports_buffered_pipelined_request(pair):
    """Guards against a pipelined request that stays in the buffer until more bytes arrive."""
    server_socket, client_socket = pair
    reader = streams.Reader(streams.DeadlineSocket(server_socket, "rb", lambda: None), 8192)
    client_socket.sendall(b"one\r\nbody" + b"two\r\n")
    assert reader.readline(256) == b"one\r\n"
    assert reader.read(4) == b"body"
    assert reader.has_data()
    assert reader.readline(256) == b"two\r\n"
    assert not reader.has_data()


def test_reader_raises_after_deadline(pair):
    """Guards against a silent client that occupies a worker thread beyond the deadline."""
    server_socket, _ = pair

    def refuse():
        raise TimeoutError("timed out")

    reader = streams.Reader(streams.DeadlineSocket(server_socket, "rb", refuse), 8192)
    with pytest.raises(TimeoutError):
        reader.readline(256)


def test_writer_sends_headers_with_body(pair):
    """Guards against headers that are sent in a packet of their own or after the body."""
    server_socket, client_socket = pair
    writer = streams.Writer(streams.DeadlineSocket(server_socket, "wb", lambda: None))
    writer.defer_next_write()
    writer.write(b"head ")
    client_socket.setblocking(False)
    with pytest.raises(BlockingIOError):
        client_socket.recv(100)
    writer.write(b"body")
    assert client_socket.recv(100) == b"head body"


def test_writer_sends_headers_without_body(pair):
    """Guards against a response without a body that is never sent."""
    server_socket, client_socket = pair
    writer = streams.Writer(streams.DeadlineSocket(server_socket, "wb", lambda: None))
    writer.defer_next_write()
    writer.write(b"head")
    writer.flush_deferred()
    writer.write(b" next")
    assert client_socket.recv(4) == b"head"
    assert client_socket.recv(100) == b" next"


def test_writer_completes_partial_send(pair):
    """Guards against lost bytes when the socket accepts only part of a write."""
    server_socket, client_socket = pair
    raw = streams.DeadlineSocket(server_socket, "wb", lambda: None)
    whole = bytes(range(256)) * 16
    received = []
    raw_write, raw.write = raw.write, lambda data: raw_write(data[:1000])
    writer = streams.Writer(raw)
    writer.write(whole)
    while sum(map(len, received)) < len(whole):
        received.append(client_socket.recv(65536))
    assert b"".join(received) == whole
