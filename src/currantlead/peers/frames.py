"""Encode and decode the msgpack frames of the streams between VMs."""

from collections.abc import Iterator
from typing import Any

import msgpack

from currantlead import errors

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Four times the largest value of the store and the largest message of a caller."""
PROTOCOL = 1
"""Version of the frames; VMs of another one are refused."""

Frame = list[Any]
"""A frame: kind, id, incarnation and body."""

# A received chunk is fed in slices, so that the decoder's buffer stays within one frame and one slice.
_SLICE_BYTES = 256 * 1024
_MAX_ID = 2**63 - 1

_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


def encode(kind: str, number: int, incarnation: int, body: dict[str, Any]) -> bytes:
    """Return the bytes of a frame.

    Args:
        kind: Kind of the frame.
        number: Id of the request; 0 where no reply is expected.
        incarnation: Incarnation of the VM that sent the request.
        body: Map of plain values.

    Returns:
        The bytes.

    Raises:
        errors.MalformedFrameError: The body cannot be encoded or the frame is too large.
    """
    try:
        data = _pack([kind, number, incarnation, body])
    except (TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedFrameError(f"body of a {kind} frame cannot be encoded: {error}") from None
    if len(data) > MAX_FRAME_BYTES:
        raise errors.MalformedFrameError(f"{kind} frame has {len(data)} bytes, the limit is {MAX_FRAME_BYTES}")
    return data


class Decoder:
    """Split the bytes of one stream into frames.

    After an error the position in the stream is unknown, so the stream must be closed.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False, strict_map_key=False, max_buffer_size=MAX_FRAME_BYTES + 2 * _SLICE_BYTES
        )
        self._fed = 0
        # Position after the last complete frame; the unpacker's own position moves into an incomplete one.
        self._end = 0

    @property
    def pending(self) -> int:
        """Return the number of bytes of an incomplete frame."""
        return self._fed - self._end

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete after more bytes arrived.

        Args:
            data: Bytes in the order of the stream.

        Yields:
            Frames whose four parts have the right types.

        Raises:
            errors.MalformedFrameError: The bytes are no valid frame, or a frame is too large.
        """
        if len(data) <= _SLICE_BYTES:
            yield from self._feed(data)
            return
        for start in range(0, len(data), _SLICE_BYTES):
            yield from self._feed(data[start : start + _SLICE_BYTES])

    def _feed(self, data: bytes) -> Iterator[Frame]:
        unpacker = self._unpacker
        unpacker.feed(data)
        self._fed += len(data)
        while True:
            try:
                frame = unpacker.unpack()
            except msgpack.OutOfData:
                break
            except (ValueError, TypeError, OverflowError, msgpack.UnpackException) as error:
                raise errors.MalformedFrameError(
                    f"bytes are no msgpack value: {error or type(error).__name__}"
                ) from None
            end = unpacker.tell()
            if end - self._end > MAX_FRAME_BYTES:
                raise errors.MalformedFrameError(f"frame has {end - self._end} bytes, the limit is {MAX_FRAME_BYTES}")
            self._end = end
            _check(frame)
            yield frame
        if self._fed - self._end > MAX_FRAME_BYTES:
            raise errors.MalformedFrameError(f"frame has more than {MAX_FRAME_BYTES} bytes")


def _check(frame: Any) -> None:
    if type(frame) is not list or len(frame) != 4:
        raise errors.MalformedFrameError("frame is not an array of four parts")
    kind, number, incarnation, body = frame
    if type(kind) is not str or not kind:
        raise errors.MalformedFrameError("kind of a frame is not a non-empty string")
    if type(number) is not int or not 0 <= number <= _MAX_ID:
        raise errors.MalformedFrameError(f"id of a {kind} frame is not a number from 0 to 2^63-1")
    if type(incarnation) is not int or not 0 <= incarnation <= _MAX_ID:
        raise errors.MalformedFrameError(f"incarnation of a {kind} frame is not a number from 0 to 2^63-1")
    if type(body) is not dict:
        raise errors.MalformedFrameError(f"body of a {kind} frame is not a map")
