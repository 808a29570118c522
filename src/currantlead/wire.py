"""Turn data classes into maps for frames, and validate maps from peers."""

import dataclasses
import functools
from typing import Any, TypeVar

import pydantic
import result

from currantlead import errors, interfaces, messages, verdict

T = TypeVar("T")


def to_map(value: Any) -> dict[str, Any]:
    """Return a data class as a map of plain values.

    Args:
        value: An instance of a data class.

    Returns:
        A map that msgpack can encode.
    """
    return _adapter(type(value)).dump_python(value, mode="json")


def from_map(kind: type[T], body: Any) -> T:
    """Build a data class from a map.

    Args:
        kind: The data class.
        body: The map, as decoded from a frame.

    Returns:
        The instance.

    Raises:
        errors.MalformedFrameError: A field is missing or has the wrong type; the message names it.
    """
    try:
        return _adapter(kind).validate_python(body)
    except pydantic.ValidationError as error:
        fault = error.errors()[0]
        place = ".".join(str(part) for part in fault["loc"])
        raise errors.MalformedFrameError(f"{kind.__name__}.{place}: {fault['msg']}") from None


def outcome_to_map(outcome: interfaces.Outcome) -> dict[str, Any]:
    """Return an outcome as the body of a reply."""
    if isinstance(outcome, result.Ok):
        return {"answer": to_map(outcome.ok_value)}
    return {"refusal": to_map(outcome.err_value)}


def outcome_from_map(body: dict[str, Any]) -> interfaces.Outcome:
    """Read an outcome from the body of a reply.

    Raises:
        errors.MalformedFrameError: The body is not an outcome.
    """
    if "answer" in body:
        return result.Ok(from_map(messages.Answer, body["answer"]))
    if "refusal" in body:
        return result.Err(_refusal_from_map(body["refusal"]))
    raise errors.MalformedFrameError("reply holds neither an answer nor a refusal")


def _refusal_from_map(body: Any) -> verdict.Refusal:
    refusal = from_map(verdict.Refusal, body)
    # The default of the data class is "not run", which a reply must state and not imply.
    if "verdict" not in body or refusal.verdict is verdict.Verdict.COMPLETED:
        raise errors.MalformedFrameError("Refusal.verdict: must be not_run or may_have_run")
    return refusal


@functools.cache
def _adapter(kind: type[Any]) -> pydantic.TypeAdapter[Any]:
    if not dataclasses.is_dataclass(kind):
        raise TypeError(f"{kind!r} is not a data class")
    return pydantic.TypeAdapter(kind)
