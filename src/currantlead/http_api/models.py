"""Models of request bodies."""

import math
from typing import Annotated, Any, Literal

import pydantic

MAX_SQL_LENGTH = 262_144
"""Maximum length of a statement in characters; longer statements embed data that belongs in parameters."""
MAX_PARAMS = 1024


def _validate_parameter(value: Any) -> Any:
    # Validated by hand, because a pydantic union would convert an integer beyond 64 bits to a float and lose digits.
    if value is None or isinstance(value, bool | str):
        return value
    if isinstance(value, int) and -(2**63) <= value < 2**63:
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    raise ValueError("must be null, a boolean, a 64-bit integer, a finite number or a string")


Parameter = Annotated[Any, pydantic.PlainValidator(_validate_parameter)]


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class EmptyBody(_Body):
    """Empty JSON object."""


class StatementBody(_Body):
    """Body of a request that runs a statement.

    Attributes:
        sql: Statement text.
        params: Positional parameters: null, booleans, 64-bit integers, finite numbers or strings.
        max_age_ms: Maximum age of the data, or None to require only session consistency.
        access: ``read`` if the caller declares the statement read-only; ``write`` is the safe default.
    """

    sql: str = pydantic.Field(min_length=1, max_length=MAX_SQL_LENGTH)
    params: list[Parameter] = pydantic.Field(default_factory=list, max_length=MAX_PARAMS)
    max_age_ms: float | None = pydantic.Field(default=None, ge=0, le=86_400_000, allow_inf_nan=False)
    access: Literal["read", "write"] = "write"


class CommandBody(_Body):
    """Body of a request that runs operator commands."""

    text: str = pydantic.Field(min_length=1, max_length=1_048_576)


def describe_validation_error(error: pydantic.ValidationError) -> str:
    """Describe the first validation error without quoting any text that the caller sent.

    Args:
        error: Validation error of a request body.

    Returns:
        Field and violated rule. Names of unknown fields are not quoted, because they may contain a misplaced key.
    """
    first_error = error.errors(include_url=False, include_input=False, include_context=False)[0]
    if first_error["type"] == "extra_forbidden":
        return "body: contains an unknown field"
    if first_error["type"] == "json_invalid":
        return "body: is not valid JSON"
    # Use only the field name and the list index: for unions, pydantic appends the name of the union member. Neither
    # contains text from the caller.
    location = ".".join(str(part) for part in first_error["loc"][:2] if part != "body") or "body"
    return f"{location}: {first_error['msg']}"


def parse(model: type[pydantic.BaseModel], body: bytes) -> Any:
    """Parse a JSON body.

    Raises:
        pydantic.ValidationError: The body does not match the model.
    """
    return model.model_validate_json(body)
