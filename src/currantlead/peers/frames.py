"""Encoding and decoding of the msgpack frames that VMs exchange over streams."""

from collections.abc import Iterator
from typing import Any

import msgpack

from currantlead import errors

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum size of a frame: four times the largest value of the store and the largest message of a caller."""
PROTOCOL = 1
"""Version of the protocol; streams of VMs with another version are refused."""

Frame = list[Any]
"""Decoded frame: kind, id, incarnation and body."""

# Received data is fed to the unpacker in slices, so that its buffer holds at most one frame and one slice.
_SLICE_BYTES = 256 * 1024
# The unpacker's default buffer of 1 MiB is written from end to end before its beginning is used again, so that each
# stream would occupy 1 MiB. A smaller one grows with the frames that need it.
_INITIAL_BUFFER_BYTES = 16 * 1024
_MAX_ID = 2**63 - 1

_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


def encode(kind: str, number: int, incarnation: int, body: dict[str, Any]) -> bytes:
    """Encode a frame.

    Args:
        kind: Kind of the frame.
        number: Id of the request, or 0 if no reply is expected.
        incarnation: Incarnation of the VM that sent the request.
        body: Map of values that msgpack can encode.

    Returns:
        The encoded frame.

    Raises:
        errors.MalformedFrameError: The body cannot be encoded, or the frame is too large.
    """
    try:
        data = _pack([kind, number, incarnation, body])
    except (TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedFrameError(f"body of a {kind} frame cannot be encoded: {error}") from None
    if len(data) > MAX_FRAME_BYTES:
        raise errors.MalformedFrameError(f"{kind} frame has {len(data)} bytes, the limit is {MAX_FRAME_BYTES}")
    return data


class Decoder:
    """Splits the bytes of one stream into frames.

    After an error the boundaries of frames are unknown, so that the stream must be closed.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            strict_map_key=False,
            read_size=_INITIAL_BUFFER_BYTES,
            max_buffer_size=MAX_FRAME_BYTES + 2 * _SLICE_BYTES,
        )
        self._bytes_fed = 0
        # End of the last complete frame; the position of the unpacker may be inside an incomplete one.
        self._frame_end = 0

    @property
    def pending_bytes(self) -> int:
        """Number of received bytes of an incomplete frame."""
        return self._bytes_fed - self._frame_end

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Feed received bytes and yield the frames that they complete.

        Args:
            data: Next bytes of the stream.

        Yields:
            Frames whose four elements have valid types.

        Raises:
            errors.MalformedFrameError: The bytes are not a valid frame, or a frame is too large.
        """
        if len(data) <= _SLICE_BYTES:
            yield from self._feed_slice(data)
            return
        for start in range(0, len(data), _SLICE_BYTES):
            yield from self._feed_slice(data[start : start + _SLICE_BYTES])

    def _feed_slice(self, data: bytes) -> Iterator[Frame]:
        unpacker = self._unpacker
        unpacker.feed(data)
        self._bytes_fed += len(data)
        while True:
            try:
                frame = unpacker.unpack()
            except msgpack.OutOfData:
                break
            except (ValueError, TypeError, OverflowError, msgpack.UnpackException) as error:
                raise errors.MalformedFrameError(
                    f"received bytes are not valid msgpack: {error or type(error).__name__}"
                ) from None
            end = unpacker.tell()
            if end - self._frame_end > MAX_FRAME_BYTES:
                raise errors.MalformedFrameError(
                    f"frame has {end - self._frame_end} bytes, the limit is {MAX_FRAME_BYTES}"
                )
            self._frame_end = end
            _validate(frame)
            yield frame
        if self._bytes_fed - self._frame_end > MAX_FRAME_BYTES:
            raise errors.MalformedFrameError(f"frame has more than {MAX_FRAME_BYTES} bytes")


def _validate(frame: Any) -> None:
    if type(frame) is not list or len(frame) != 4:
        raise errors.MalformedFrameError("frame is not an array of four elements")
    kind, number, incarnation, body = frame
    if type(kind) is not str or not kind:
        raise errors.MalformedFrameError("kind of a frame is not a non-empty string")
    if type(number) is not int or not 0 <= number <= _MAX_ID:
        raise errors.MalformedFrameError(f"id of a {kind} frame is not an integer from 0 to 2^63-1")
    if type(incarnation) is not int or not 0 <= incarnation <= _MAX_ID:
        raise errors.MalformedFrameError(f"incarnation of a {kind} frame is not an integer from 0 to 2^63-1")
    if type(body) is not dict:
        raise errors.MalformedFrameError(f"body of a {kind} frame is not a map")
