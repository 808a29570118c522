"""Parser of the command language for operators."""

import dataclasses
import functools
import importlib.resources
import re
from collections.abc import Callable
from typing import Any

import lark

from currantlead import errors

_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0}
_TOKEN_DESCRIPTIONS = {
    "NAME": "a name",
    "NUMBER": "a number",
    "DURATION": "a duration such as 500ms, 5s or 2m",
    "TEXT": "text in double quotes",
    "DIGEST": "64 hexadecimal digits",
    "TOPIC": "a topic such as domains, vms, organisations or configuration",
    "PART": "domain, service, database, organisation or route",
    "PLACE": "domain, vm or endpoint",
    "TOPIC_WORD": "the name of a command",
    "COMMA": "','",
    "_SEPARATOR": "';' or a new line",
    "$END": "the end of the text",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Parsed command.

    Attributes:
        kind: Name of the command in the registry, such as ``add organisation``.
        names: Names in the order in which they appear in the text.
        options: Values by option name.
        line: Line of the first word, starting at 1.
        column: Column of the first word, starting at 1.
    """

    kind: str
    names: tuple[str, ...] = ()
    options: dict[str, Any] = dataclasses.field(default_factory=dict)
    line: int = 0
    column: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    name: str
    value: Any
    line: int
    column: int


def parse(text: str) -> tuple[Command, ...]:
    """Parse commands separated by semicolons or new lines.

    Args:
        text: Text with any number of commands.

    Returns:
        The commands in the order of the text.

    Raises:
        errors.CommandError: The text is not valid; the error states the position and what was expected there.
    """
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as error:
        raise _syntax_error(error, text) from None
    try:
        return tuple(_CommandBuilder().transform(child) for child in tree.children)
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, errors.CommandError):
            raise error.orig_exc from None
        raise


@functools.cache
def _parser() -> lark.Lark:
    grammar = importlib.resources.files("currantlead.operators").joinpath("grammar.lark").read_text(encoding="utf-8")
    return lark.Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _syntax_error(error: lark.exceptions.UnexpectedInput, text: str) -> errors.CommandError:
    if isinstance(error, lark.exceptions.UnexpectedToken):
        expected, found = error.accepts or error.expected, str(error.token)
    else:
        expected, found = getattr(error, "allowed", None) or set(), ""
    line, column = error.line, error.column
    if line is None or line < 1 or getattr(getattr(error, "token", None), "type", "") == "$END":
        lines = text.split("\n")
        line, column, found = len(lines), len(lines[-1]) + 1, ""
    if not found:
        rest = text.split("\n")[line - 1][column - 1 :].split()
        found = rest[0] if rest else ""
    found_text = repr(found) if found.strip() else "the end of the line"
    expected_texts = sorted(
        {_TOKEN_DESCRIPTIONS.get(name, repr(name.lower())) for name in expected if name not in ("BLANK", "COMMENT")}
    )
    return _command_error(f"found {found_text}, expected {' or '.join(expected_texts)}", line, column)


@lark.v_args(meta=True)
class _CommandBuilder(lark.Transformer):
    """Builds commands from the parse tree; the name of a grammar rule determines the kind of the command."""

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        if str(data) in _OPTION_CONVERTERS:
            name, convert = _OPTION_CONVERTERS[str(data)]
            return _Option(name, convert(children), meta.line, meta.column)
        kind = str(data).rstrip("_").replace("_", " ")
        names = tuple(str(child) for child in children if _is_name_token(child))
        options: dict[str, Any] = {}
        for option in (child if isinstance(child, _Option) else _token_to_option(child) for child in children):
            if option is None:
                continue
            if option.name in options and option.name != "topic":
                raise _command_error(f"{option.name} is given twice", option.line, option.column)
            previous = options.get(option.name, "")
            options[option.name] = f"{previous} {option.value}" if previous else option.value
        return Command(kind, names, options, meta.line, meta.column)


def _is_name_token(child: Any) -> bool:
    return isinstance(child, lark.Token) and child.type == "NAME"


def _token_to_option(token: lark.Token) -> _Option | None:
    """Return the option for a token according to its type, or None if the token is a name."""
    if token.type == "NAME":
        return None
    option_by_type: dict[str, Callable[[], tuple[str, Any]]] = {
        "DURATION": lambda: ("age_s", _to_seconds([token])),
        "TEXT": lambda: ("sql", re.sub(r"\\(.)", r"\1", token[1:-1])),
        "TOPIC_WORD": lambda: ("topic", str(token)),
    }
    name, value = option_by_type.get(token.type, lambda: (token.type.lower(), str(token)))()
    return _Option(name, value, token.line or 0, token.column or 0)


def _to_seconds(tokens: list[lark.Token]) -> float:
    token = tokens[0]
    unit = "ms" if token.endswith("ms") else token[-1]
    return float(token.removesuffix(unit)) * _SECONDS_PER_UNIT[unit]


def _to_integer(tokens: list[lark.Token]) -> int:
    token = tokens[0]
    if "." in token:
        raise _command_error(f"found {str(token)!r}, expected a whole number", token.line or 0, token.column or 0)
    return int(token)


def _to_float(tokens: list[lark.Token]) -> float:
    return float(tokens[0])


def _to_names(tokens: list[lark.Token]) -> tuple[str, ...]:
    return tuple(str(token) for token in tokens)


def _command_error(message: str, line: int, column: int) -> errors.CommandError:
    return errors.CommandError(f"line {line}, column {column}: {message}", line=line, column=column)


_OPTION_CONVERTERS: dict[str, tuple[str, Callable[[list[lark.Token]], Any]]] = {
    "slots": ("slots", _to_integer),
    "connections": ("connections", _to_integer),
    "queue_length": ("queue_length", _to_integer),
    "queue_timeout": ("queue_timeout_s", _to_seconds),
    "rate": ("rate", _to_float),
    "burst": ("burst", _to_float),
    "weight": ("weight", _to_float),
    "services": ("services", _to_names),
}
