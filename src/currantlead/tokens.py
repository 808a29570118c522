"""Read, write and merge session tokens.

A token lists, for each database that a session has used, the position that the session has seen:
``v1:DATABASE.TERM.INDEX[,...]``.
"""

import re
from collections.abc import Mapping

from currantlead import errors, messages

_PREFIX = "v1:"
_ENTRY = re.compile(r"([a-z0-9][a-z0-9-]{0,62})\.([0-9]{1,18})\.([0-9]{1,18})")
MAX_LENGTH = 4096
"""Longest accepted token in characters; about 60 databases in one session."""

Token = Mapping[str, messages.Position]


def parse(text: str | None) -> dict[str, messages.Position]:
    """Parse the text form of a session token.

    Args:
        text: The token, or None if the caller sent none.

    Returns:
        The position for each database name; empty if there is no token.

    Raises:
        errors.MalformedTokenError: The text is not a token.
    """
    if text is None:
        return {}
    if len(text) > MAX_LENGTH:
        raise errors.MalformedTokenError(f"session token is longer than {MAX_LENGTH} characters")
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
    """Write a session token in its text form.

    Args:
        positions: The position for each database name.

    Returns:
        The token.
    """
    entries = (f"{name}.{position.term}.{position.index}" for name, position in sorted(positions.items()))
    return _PREFIX + ",".join(entries)


def advance(positions: Token, database: str, position: messages.Position | None) -> dict[str, messages.Position]:
    """Add a position to a token; a token never goes back.

    Args:
        positions: The positions that the session has seen.
        database: Name of the database that answered.
        position: The position of the answer, or None.

    Returns:
        The new positions.
    """
    merged = dict(positions)
    if position is not None:
        merged[database] = max(merged.get(database, position), position)
    return merged
