"""Validate the bodies of callers' requests."""

import math
from typing import Annotated, Any, Literal

import pydantic

MAX_SQL = 262_144
"""Longest accepted statement in characters; larger ones are data that belongs in parameters."""
MAX_PARAMS = 1024


def _check_parameter(value: Any) -> Any:
    # A union of types would turn an integer that is too long into a float and lose digits.
    if value is None or isinstance(value, bool | str):
        return value
    if isinstance(value, int) and -(2**63) <= value < 2**63:
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    raise ValueError("is not null, boolean, 64-bit integer, finite number or text")


Parameter = Annotated[Any, pydantic.PlainValidator(_check_parameter)]


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class Empty(_Body):
    """Accept an empty object."""


class StatementBody(_Body):
    """Hold one statement.

    Attributes:
        sql: Statement text.
        params: Positional parameters: null, boolean, 64-bit integer, finite number or text.
        max_age_ms: Accepted age of the data, or None for the session's own consistency only.
        access: ``write`` unless the caller states that the statement only reads; this is the safe default.
    """

    sql: str = pydantic.Field(min_length=1, max_length=MAX_SQL)
    params: list[Parameter] = pydantic.Field(default_factory=list, max_length=MAX_PARAMS)
    max_age_ms: float | None = pydantic.Field(default=None, ge=0, le=86_400_000, allow_inf_nan=False)
    access: Literal["read", "write"] = "write"


class CommandBody(_Body):
    """Hold the text of an operator's commands."""

    text: str = pydantic.Field(min_length=1, max_length=1_048_576)


def describe(error: pydantic.ValidationError) -> str:
    """Name the field and the rule of the first fault, without any text that the caller sent.

    Args:
        error: The error of a validation.

    Returns:
        A sentence for the caller. Unknown field names are not repeated, because a caller may have put its key there.
    """
    fault = error.errors(include_url=False, include_input=False, include_context=False)[0]
    if fault["type"] == "extra_forbidden":
        return "body: has an unknown field"
    if fault["type"] == "json_invalid":
        return "body: is not valid JSON"
    # A union reports the name of the member after the index; both parts come from this module.
    place = ".".join(str(part) for part in fault["loc"][:2] if part != "body") or "body"
    return f"{place}: {fault['msg']}"


def parse(kind: type[pydantic.BaseModel], body: bytes) -> Any:
    """Parse a JSON body.

    Raises:
        pydantic.ValidationError: The body does not follow the model.
    """
    return kind.model_validate_json(body)
