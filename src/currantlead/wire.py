"""Conversion of data classes to the bodies of frames, and validated conversion from them."""

import dataclasses
import functools
from typing import Any, TypeVar

import pydantic
import result

from currantlead import errors, interfaces, messages, verdict

T = TypeVar("T")


def to_map(value: Any) -> dict[str, Any]:
    """Convert an instance of a data class to a map.

    Args:
        value: Instance of a data class.

    Returns:
        Map that msgpack can encode.
    """
    return _adapter(type(value)).dump_python(value, mode="json")


def from_map(kind: type[T], body: Any) -> T:
    """Create an instance of a data class from a map.

    Args:
        kind: Data class.
        body: Map, as decoded from a frame.

    Returns:
        Instance of the data class.

    Raises:
        errors.MalformedFrameError: A field is missing or has a wrong type; the message names the field.
    """
    try:
        return _adapter(kind).validate_python(body)
    except pydantic.ValidationError as error:
        detail = error.errors()[0]
        field = ".".join(str(part) for part in detail["loc"])
        raise errors.MalformedFrameError(f"{kind.__name__}.{field}: {detail['msg']}") from None


def outcome_to_map(outcome: interfaces.Outcome) -> dict[str, Any]:
    """Convert an outcome to the body of a reply."""
    if isinstance(outcome, result.Ok):
        return {"answer": to_map(outcome.ok_value)}
    return {"refusal": to_map(outcome.err_value)}


def outcome_from_map(body: dict[str, Any]) -> interfaces.Outcome:
    """Create an outcome from the body of a reply.

    Raises:
        errors.MalformedFrameError: The body is not a valid outcome.
    """
    if "answer" in body:
        return result.Ok(from_map(messages.Answer, body["answer"]))
    if "refusal" in body:
        return result.Err(_refusal_from_map(body["refusal"]))
    raise errors.MalformedFrameError("reply contains neither an answer nor a refusal")


def _refusal_from_map(body: Any) -> verdict.Refusal:
    refusal = from_map(verdict.Refusal, body)
    # The data class defaults to "not run", which a reply must not leave implicit.
    if "verdict" not in body or refusal.verdict is verdict.Verdict.COMPLETED:
        raise errors.MalformedFrameError("Refusal.verdict: must be not_run or may_have_run")
    return refusal


@functools.cache
def _adapter(kind: type[Any]) -> pydantic.TypeAdapter[Any]:
    if not dataclasses.is_dataclass(kind):
        raise TypeError(f"{kind!r} is not a data class")
    return pydantic.TypeAdapter(kind)
