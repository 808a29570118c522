"""Decoding of JSON documents in which other writers may have left values that a JSON decoder refuses."""

import json
import re
from collections.abc import Iterator
from typing import Any

from currantlead import logs

MAX_DEPTH = 64
"""Maximum nesting of arrays and objects. Values close to the interpreter's recursion limit can be decoded in some
places and not be encoded or compared in others."""
MAX_NUMBER_LENGTH = 640
"""Maximum length of a number that is kept in a document that cannot be decoded as it is: the interpreter converts
integers of up to this many digits under any setting."""

_log = logs.part("platform")

# Possessive quantifiers, and the match at the end of the text, keep each search linear.
_STRING = r'"[^"\\]*+(?:\\.?[^"\\]*+)*+"?'
_BRACKETS = re.compile(rf'(?:[^"\[\]{{}}]++|{_STRING})*+([\[{{]++|[\]}}]++|\Z)', re.DOTALL)
_STRING_OR_NUMBER = re.compile(rf"({_STRING})|-?[0-9][0-9.eE+-]*+", re.DOTALL)


def decode(body: bytes) -> Any:
    """Decode a JSON document.

    Values that cannot be represented become None, so that the others can be used: arrays and objects that are nested
    too deeply, and integers with too many digits. Bytes that are not UTF-8 become surrogates.

    Args:
        body: The document.

    Returns:
        The decoded document, nested no deeper than ``MAX_DEPTH``.

    Raises:
        ValueError: The document is not valid JSON in other respects.
    """
    try:
        document = json.loads(body)
        if body.count(b"[") + body.count(b"{") <= MAX_DEPTH or not _is_too_deep(document):
            return document
        reason = f"nested deeper than {MAX_DEPTH} levels"
    except (ValueError, RecursionError) as error:
        reason = str(error)
    _log.warning("replacing values that cannot be read in a document of {} bytes: {}", len(body), reason)
    text = "".join(_cut_nesting(body.decode("utf-8", "surrogateescape")))
    return json.loads(_STRING_OR_NUMBER.sub(_replace_long_number, text), strict=False)


def _is_too_deep(document: Any) -> bool:
    """Return whether arrays and objects are nested deeper than ``MAX_DEPTH``."""
    level = [document]
    for _ in range(MAX_DEPTH):
        siblings = (item.values() if isinstance(item, dict) else item for item in level)
        level = [child for children in siblings for child in children if isinstance(child, (dict, list))]
        if not level:
            return False
    return True


def _cut_nesting(text: str) -> Iterator[str]:
    """Yield the parts of a document in which null stands for what is nested too deeply."""
    depth = copied_until = 0
    for brackets in _BRACKETS.finditer(text):
        start, end = brackets.span(1)
        if text[start:end].startswith(("[", "{")):
            outer_depth, depth = depth, depth + end - start
            if outer_depth <= MAX_DEPTH < depth:
                yield text[copied_until : start + MAX_DEPTH - outer_depth]
                yield "null"
        else:
            inner_depth, depth = depth, depth - (end - start)
            if depth <= MAX_DEPTH < inner_depth:
                copied_until = end - (MAX_DEPTH - depth)
    if depth <= MAX_DEPTH:
        yield text[copied_until:]


def _replace_long_number(token: re.Match[str]) -> str:
    """Return a string or number as it is, or null for a number that is too long."""
    return token[0] if token[1] or len(token[0]) <= MAX_NUMBER_LENGTH else "null"
