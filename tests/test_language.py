"""Tests of the command language: parsing, syntax errors, changes and their validation."""

import pytest

from currantlead import errors
from currantlead.control import model
from currantlead.operators import commands, language, queries

DIGEST = "ab" * 32
CONTEXT = commands.ExternalNames({"vm-1": "larisa"}, {"db-a": "db", "db-b": "db", "other-a": "other"})
BASE_COMMANDS = f"""
add domain larisa region greece; add domain naousa region greece
add service books slots 2 connections 15   # a comment
add database db service books
add organisation pelion rate 5 burst 10 services books
add key scales organisation pelion digest {DIGEST}
add route prices database db age 500ms sql "SELECT \\"a\\" FROM t"
"""


def apply(text, configuration=None):
    """Apply a text of commands to a configuration, empty by default."""
    return commands.apply(configuration or model.Configuration(), language.parse(text), CONTEXT)


def test_commands_build_configuration():
    """Guards against values that are lost or converted incorrectly between text and configuration."""
    built = apply(BASE_COMMANDS)
    assert built.domains["naousa"] == model.Domain("naousa", "greece")
    assert built.services["books"] == model.Service("books", 2, 15)
    assert built.databases["db"] == model.Database("db", "books")
    assert built.organisations["pelion"] == model.Organisation("pelion", 5.0, 10.0, ("books",), {"scales": DIGEST})
    assert built.routes["prices"] == model.Route("prices", "db", 'SELECT "a" FROM t', 0.5)


@pytest.mark.parametrize(
    ("text", "line", "column", "expected"),
    [
        ("add dmoain x", 1, 5, "'dmoain'|domain"),
        ("show domains\n\nadd service x slots", 3, 20, "the end of the line|a number"),
        ("add domain a region b; drain vmm x", 1, 30, "'vmm'|vm"),
        ("add service x slots 2.5 connections 3", 1, 21, "'2.5'|a whole number"),
        ("set organisation o rate 1 rate 2", 1, 27, "rate is given twice"),
        ("show foo", 1, 6, "'foo'|a topic"),
        ("add key k organisation o digest ab", 1, 33, "64 hexadecimal digits"),
        ("add domain a region b add domain c region d", 1, 23, "';' or a new line"),
        ('add route r database d age 5 sql "x"', 1, 28, "a duration"),
        ('add route r database d age 5s sql "x', 1, 35, "text in double quotes"),
    ],
)
def test_syntax_error_states_position_and_expectation(text, line, column, expected):
    """Guards against error messages that do not help operators to correct the text."""
    with pytest.raises(errors.CommandError) as raised:
        language.parse(text)
    assert (raised.value.line, raised.value.column) == (line, column)
    assert all(word in str(raised.value) for word in expected.split("|")), str(raised.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("add database d service boks", "did you mean 'books'?"),
        ("set organisation pelio rate 9", "did you mean 'pelion'?"),
        ("withdraw key scale organisation pelion", "did you mean 'scales'?"),
        ("drain vm vm-2", "did you mean 'vm-1'?"),
        ("drain endpoint db-c", "did you mean"),
        ("add database a.b service books", "lower-case letters, digits and hyphens"),
        ("drain domain zzz", "no domain is named 'zzz'"),
        ("add domain larisa region greece", "already exists"),
        ("add service x slots 2", "requires connections"),
        ("add service x slots 5 connections 4", "must be at least slots"),
        ("set service books connections 1", "must be at least slots"),
        ("set organisation pelion rate 0", "greater than 0"),
        ("set organisation pelion burst 0.5", "at least 1"),
        ("add organisation o rate 1 burst 1", "requires services"),
        (f"add key scales organisation pelion digest {'cd' * 32}", "has a key named 'scales' already"),
        (f"add key second organisation pelion digest {DIGEST}", "same digest"),
        ('add route r database db age 1s sql "DELETE FROM t"', "read statement"),
        ("remove service books", "in use by database db, organisation pelion"),
        ("remove database db", "in use by route prices"),
        ("remove domain larisa", "in use by VM vm-1"),
        ("remove organisation peli0n", "did you mean 'pelion'?"),
    ],
)
def test_invalid_change_is_refused(text, expected):
    """Guards against changes that result in an invalid configuration, and against unknown names."""
    with pytest.raises(errors.CommandError) as raised:
        apply(text, apply(BASE_COMMANDS))
    assert expected in str(raised.value) and raised.value.line == 1


@pytest.mark.parametrize(
    ("text", "check"),
    [
        (
            "set organisation pelion rate 9",
            lambda c: c.organisations["pelion"].rate == 9 and c.organisations["pelion"].keys,
        ),
        ("set service books queue_timeout 1500ms", lambda c: c.services["books"].queue_timeout_s == 1.5),
        ("withdraw key scales organisation pelion", lambda c: c.organisations["pelion"].keys == {}),
        ("remove route prices; remove database db", lambda c: not c.routes and not c.databases),
        ("drain domain larisa", lambda c: c.domains["larisa"].state is model.ServiceState.LEAVING),
        ("drain domain larisa; return domain larisa", lambda c: c == apply(BASE_COMMANDS)),
        ("drain vm vm-1", lambda c: c.vms == {"vm-1": model.ServiceState.LEAVING}),
        ("drain vm vm-1; return vm vm-1", lambda c: c.vms == {}),
        ("drain endpoint db", lambda c: set(c.instances) == {"db-a", "db-b"}),
        ("drain endpoint other-a", lambda c: set(c.instances) == {"other-a"}),
    ],
)
def test_change_is_applied(text, check):
    """Guards against changes that modify too much or too little."""
    assert check(apply(text, apply(BASE_COMMANDS)))


def test_examples_of_help_are_valid():
    """Guards against examples in the help that the grammar rejects."""
    for kind in commands.COMMANDS:
        for example in commands.COMMANDS.get(kind).examples:
            assert language.parse(example)[0].kind == kind
    for topic in queries.TOPICS:
        assert language.parse(f"show {topic}")[0].options == {"topic": topic}
    rows = queries.run_query(language.parse("help add key")[0], None).rows
    assert [row[0] for row in rows] == ["add key"]
