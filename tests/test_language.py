"""Tables of the operators' language: parsing, errors, changes and their checks."""

import pytest

from currantlead import errors
from currantlead.control import model
from currantlead.operators import commands, language, queries

DIGEST = "ab" * 32
CONTEXT = commands.Context({"vm-1": "larisa"}, {"db-a": "db", "db-b": "db", "other-a": "other"})
BASE = f"""
add domain larisa region greece; add domain naousa region greece
add service books slots 2 connections 15   # a comment
add database db service books
add organisation pelion rate 5 burst 10 services books
add key scales organisation pelion digest {DIGEST}
add route prices database db age 500ms sql "SELECT \\"a\\" FROM t"
"""


def apply(text, configuration=None):
    """Apply changes to a configuration."""
    return commands.apply(configuration or model.Configuration(), language.parse(text), CONTEXT)


def test_file_builds_configuration():
    """Guards against values that are lost or converted wrongly between text and configuration."""
    made = apply(BASE)
    assert made.domains["naousa"] == model.Domain("naousa", "greece")
    assert made.services["books"] == model.Service("books", 2, 15)
    assert made.databases["db"] == model.Database("db", "books")
    assert made.organisations["pelion"] == model.Organisation("pelion", 5.0, 10.0, ("books",), {"scales": DIGEST})
    assert made.routes["prices"] == model.Route("prices", "db", 'SELECT "a" FROM t', 0.5)


@pytest.mark.parametrize(
    ("text", "line", "column", "words"),
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
def test_errors_tell_place_and_expectation(text, line, column, words):
    """Guards against errors that do not help the operator to correct the text."""
    with pytest.raises(errors.CommandError) as caught:
        language.parse(text)
    assert (caught.value.line, caught.value.column) == (line, column)
    assert all(word in str(caught.value) for word in words.split("|")), str(caught.value)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("add database d service boks", "did you mean 'books'?"),
        ("set organisation pelio rate 9", "did you mean 'pelion'?"),
        ("withdraw key scale organisation pelion", "did you mean 'scales'?"),
        ("drain vm vm-2", "did you mean 'vm-1'?"),
        ("drain endpoint db-c", "did you mean"),
        ("add database a.b service books", "lower-case letters, digits and hyphens"),
        ("drain domain zzz", "no domain is named 'zzz'"),
        ("add domain larisa region greece", "exists already"),
        ("add service x slots 2", "needs connections"),
        ("add service x slots 5 connections 4", "at least as many connections"),
        ("set service books connections 1", "at least as many connections"),
        ("set organisation pelion rate 0", "greater than 0"),
        ("set organisation pelion burst 0.5", "at least 1"),
        ("add organisation o rate 1 burst 1", "needs services"),
        (f"add key scales organisation pelion digest {'cd' * 32}", "already"),
        (f"add key second organisation pelion digest {DIGEST}", "same digest"),
        ('add route r database db age 1s sql "DELETE FROM t"', "read statement"),
        ("remove service books", "in use by database db, organisation pelion"),
        ("remove database db", "in use by route prices"),
        ("remove domain larisa", "in use by VM vm-1"),
        ("remove organisation peli0n", "did you mean 'pelion'?"),
    ],
)
def test_refusals(text, words):
    """Guards against changes that leave a configuration that cannot work, and against wrong names."""
    with pytest.raises(errors.CommandError) as caught:
        apply(text, apply(BASE))
    assert words in str(caught.value) and caught.value.line == 1


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
        ("drain domain larisa; return domain larisa", lambda c: c == apply(BASE)),
        ("drain vm vm-1", lambda c: c.vms == {"vm-1": model.ServiceState.LEAVING}),
        ("drain vm vm-1; return vm vm-1", lambda c: c.vms == {}),
        ("drain endpoint db", lambda c: set(c.instances) == {"db-a", "db-b"}),
        ("drain endpoint other-a", lambda c: set(c.instances) == {"other-a"}),
    ],
)
def test_changes(text, check):
    """Guards against changes that alter too much or too little."""
    assert check(apply(text, apply(BASE)))


def test_every_example_of_the_help_is_valid():
    """Guards against help that shows commands which the grammar refuses."""
    for kind in commands.CHANGES:
        for example in commands.CHANGES.get(kind).examples:
            assert language.parse(example)[0].kind == kind
    for topic in queries.TOPICS:
        assert language.parse(f"show {topic}")[0].options == {"topic": topic}
    rows = queries.answer(language.parse("help add key")[0], None).rows
    assert [row[0] for row in rows] == ["add key"]
