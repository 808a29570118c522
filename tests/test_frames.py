"""Tests of frames: malformed, truncated and oversized frames raise a clear error."""

import subprocess
import sys

import msgpack
import pytest

from currantlead import errors
from currantlead.peers import frames


def _decode(data, chunk=None):
    decoder = frames.Decoder()
    chunk = chunk or len(data)
    return [frame for start in range(0, len(data), chunk) for frame in decoder.feed(data[start : start + chunk])]


@pytest.mark.parametrize("chunk", [1, 7, 100000])
def test_frames_survive_any_split(chunk):
    """Guards against frames that are lost or merged when the network splits the stream."""
    bodies = [{"a": 1}, {}, {"text": "ä" * 300, "none": None, "list": [1.5, b"x", -(2**40)]}]
    data = b"".join(frames.encode("execute", number, 2**62, body) for number, body in enumerate(bodies))
    assert _decode(data, chunk) == [["execute", number, 2**62, body] for number, body in enumerate(bodies)]


def test_truncated_frame_yields_nothing():
    """Guards against a truncated frame that is decoded as a complete one."""
    data = frames.encode("reply", 1, 2, {"rows": [[1, "one"]] * 20})
    for length in range(len(data)):
        decoder = frames.Decoder()
        assert list(decoder.feed(data[:length])) == []
        assert decoder.pending_bytes == length


MALFORMED = {
    "not an array": {"a": 1},
    "three elements": ["ping", 1, 2],
    "five elements": ["ping", 1, 2, {}, 3],
    "kind not a string": [1, 1, 2, {}],
    "kind empty": ["", 1, 2, {}],
    "id not a number": ["ping", "1", 2, {}],
    "id is a bool": ["ping", True, 2, {}],
    "id negative": ["ping", -1, 2, {}],
    "id too large": ["ping", 2**63, 2, {}],
    "incarnation missing": ["ping", 1, None, {}],
    "body not a map": ["ping", 1, 2, []],
}


@pytest.mark.parametrize("value", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_frame_is_refused(value):
    """Guards against handlers that receive frames of the wrong structure."""
    with pytest.raises(errors.MalformedFrameError):
        _decode(msgpack.packb(value))


@pytest.mark.parametrize("data", [b"\xc1", b"\x94\xc1", b"\x94\xa1\xff\x01\x02\x80", b"\x91" * 5000, b"\x81\x90\x01"])
def test_bytes_that_are_not_msgpack_are_refused(data):
    """Guards against unhandled exceptions of msgpack in a callback of the event loop."""
    with pytest.raises(errors.MalformedFrameError):
        _decode(data)


def test_size_limit_holds_in_both_directions():
    """Guards against a peer that exhausts the memory, and against sent frames that every receiver would refuse."""
    largest_body = {"x": b"a" * (frames.MAX_FRAME_BYTES - 40)}
    assert len(_decode(frames.encode("x", 1, 2, largest_body), 100000)) == 1
    with pytest.raises(errors.MalformedFrameError, match="limit"):
        frames.encode("x", 1, 2, {"x": b"a" * frames.MAX_FRAME_BYTES})
    oversized = msgpack.packb(["x", 1, 2, {"x": b"a" * frames.MAX_FRAME_BYTES}])
    for chunk in (100000, None):
        with pytest.raises(errors.MalformedFrameError):
            _decode(oversized, chunk)
    with pytest.raises(errors.MalformedFrameError, match="more than"):
        _decode(oversized[: frames.MAX_FRAME_BYTES + 10], 65536)


def test_body_that_cannot_be_encoded_is_refused():
    """Guards against an encoding error that is not reported to the sender."""
    with pytest.raises(errors.MalformedFrameError, match="encoded"):
        frames.encode("x", 1, 2, {"x": object()})


def test_streams_with_much_traffic_need_little_memory():
    """Guards against a buffer of 1 MiB for each stream: a relay of 32 VMs grew by 32 MiB within minutes."""
    script = """
import resource
from currantlead.peers import frames

def resident_kib():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() // 1024

frame = frames.encode("poll", 1, 5, {"copy": b"x" * 900})
decoders = [frames.Decoder() for _ in range(40)]
before = resident_kib()
for decoder in decoders:
    for _ in range(1200):
        assert len(list(decoder.feed(frame))) == 1
print(resident_kib() - before)
"""
    grown_kib = int(subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True).stdout)
    assert grown_kib < 40 * 64
