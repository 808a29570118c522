"""Tests of frames: what is malformed, truncated or too large closes the stream with a clear error."""

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
    """Guards against frames lost or merged where the network splits the stream."""
    bodies = [{"a": 1}, {}, {"text": "ä" * 300, "none": None, "list": [1.5, b"x", -(2**40)]}]
    data = b"".join(frames.encode("execute", number, 2**62, body) for number, body in enumerate(bodies))
    assert _decode(data, chunk) == [["execute", number, 2**62, body] for number, body in enumerate(bodies)]


def test_truncated_frame_yields_nothing():
    """Guards against half a frame taken for a whole one."""
    data = frames.encode("reply", 1, 2, {"rows": [[1, "one"]] * 20})
    for length in range(len(data)):
        decoder = frames.Decoder()
        assert list(decoder.feed(data[:length])) == []
        assert decoder.pending == length


MALFORMED = {
    "no array": {"a": 1},
    "three parts": ["ping", 1, 2],
    "five parts": ["ping", 1, 2, {}, 3],
    "kind no string": [1, 1, 2, {}],
    "kind empty": ["", 1, 2, {}],
    "id no number": ["ping", "1", 2, {}],
    "id is a truth value": ["ping", True, 2, {}],
    "id negative": ["ping", -1, 2, {}],
    "id too large": ["ping", 2**63, 2, {}],
    "incarnation missing": ["ping", 1, None, {}],
    "body no map": ["ping", 1, 2, []],
}


@pytest.mark.parametrize("value", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_frame_is_refused(value):
    """Guards against a handler that gets a frame of the wrong shape."""
    with pytest.raises(errors.MalformedFrameError):
        _decode(msgpack.packb(value))


@pytest.mark.parametrize("data", [b"\xc1", b"\x94\xc1", b"\x94\xa1\xff\x01\x02\x80", b"\x91" * 5000, b"\x81\x90\x01"])
def test_bytes_that_are_no_msgpack_are_refused(data):
    """Guards against an exception of the library that ends the core loop's callback."""
    with pytest.raises(errors.MalformedFrameError):
        _decode(data)


def test_size_limit_holds_in_both_directions():
    """Guards against a peer that fills the memory, and against frames that every receiver would refuse."""
    largest = {"x": b"a" * (frames.MAX_FRAME_BYTES - 40)}
    assert len(_decode(frames.encode("x", 1, 2, largest), 100000)) == 1
    with pytest.raises(errors.MalformedFrameError, match="limit"):
        frames.encode("x", 1, 2, {"x": b"a" * frames.MAX_FRAME_BYTES})
    oversized = msgpack.packb(["x", 1, 2, {"x": b"a" * frames.MAX_FRAME_BYTES}])
    for chunk in (100000, None):
        with pytest.raises(errors.MalformedFrameError):
            _decode(oversized, chunk)
    with pytest.raises(errors.MalformedFrameError, match="more than"):
        _decode(oversized[: frames.MAX_FRAME_BYTES + 10], 65536)


def test_body_that_cannot_be_encoded_is_refused():
    """Guards against a caller that takes an encoding error for a frame that was sent."""
    with pytest.raises(errors.MalformedFrameError, match="encoded"):
        frames.encode("x", 1, 2, {"x": object()})
