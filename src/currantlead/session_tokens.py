"""Parsing, rendering and merging of session tokens.

A token contains the position that the session has seen in each database that it has used:
``v1:DATABASE.TERM.INDEX[,...]``.
"""

import re
from collections.abc import Mapping

from currantlead import errors, messages

_PREFIX = "v1:"
_ENTRY = re.compile(r"([a-z0-9][a-z0-9-]{0,62})\.([0-9]{1,18})\.([0-9]{1,18})")
MAX_LENGTH = 4096
"""Maximum length of a token in characters, which is enough for about 60 databases."""

Token = Mapping[str, messages.Position]


def parse(text: str | None) -> dict[str, messages.Position]:
    """Parse a session token.

    Args:
        text: Text of the token, or None if the caller sent none.

    Returns:
        Position by database name; empty if there is no token.

    Raises:
        errors.MalformedTokenError: The text is not a valid token.
    """
    if text is None:
        return {}
    if len(text) > MAX_LENGTH:
        raise errors.MalformedTokenError(f"session token has {len(text)} characters, the limit is {MAX_LENGTH}")
    if not text.startswith(_PREFIX):
        raise errors.MalformedTokenError(f"session token does not start with {_PREFIX!r}")
    positions: dict[str, messages.Position] = {}
    body = text[len(_PREFIX) :]
    for number, entry in enumerate(body.split(",") if body else [], start=1):
        match = _ENTRY.fullmatch(entry)
        if match is None:
            raise errors.MalformedTokenError(f"entry {number} of the session token is not DATABASE.TERM.INDEX")
        database, term, index = match.groups()
        if database in positions:
            raise errors.MalformedTokenError(f"entry {number} of the session token repeats database {database!r}")
        positions[database] = messages.Position(int(term), int(index))
    return positions


def render(positions: Token) -> str:
    """Render a session token as text.

    Args:
        positions: Position by database name.

    Returns:
        Text of the token.
    """
    entries = (f"{name}.{position.term}.{position.index}" for name, position in sorted(positions.items()))
    return _PREFIX + ",".join(entries)


def advance(positions: Token, database: str, position: messages.Position | None) -> dict[str, messages.Position]:
    """Merge the position of an answer into a token; positions never decrease.

    Args:
        positions: Positions that the session has seen.
        database: Name of the database that answered.
        position: Position of the answer, or None.

    Returns:
        The merged positions.
    """
    merged = dict(positions)
    if position is not None:
        merged[database] = max(merged.get(database, position), position)
    return merged
