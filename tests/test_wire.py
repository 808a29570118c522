"""Tests of the conversion between data classes and frame bodies."""

import msgpack
import pytest
import result

from currantlead import errors, messages, verdict, wire

STATEMENT = messages.Statement("r1", "ledger", "select ?", (1, None, "é"), after=messages.Position(2, 7))
WORK = messages.Execute(STATEMENT, messages.Caller("farm", "ab" * 32), "ledger-a", 2, 1.5)


def test_execute_survives_msgpack():
    """A forwarded statement arrives with every field."""
    body = msgpack.unpackb(msgpack.packb(wire.to_map(WORK)))
    assert wire.from_map(messages.Execute, body) == WORK


@pytest.mark.parametrize(
    "outcome",
    [
        result.Ok(messages.Answer("r1", ("a",), ((1,), (None,)), 0, messages.Position(2, 7), "ledger-a")),
        result.Err(verdict.Refusal(verdict.Reason.BEHIND, verdict.Verdict.NOT_RUN, "behind", 0.1, 5)),
    ],
)
def test_outcome_round_trip(outcome):
    """The verdict of a peer is not changed on the way."""
    assert wire.outcome_from_map(msgpack.unpackb(msgpack.packb(wire.outcome_to_map(outcome)))) == outcome


@pytest.mark.parametrize(
    ("change", "place"),
    [({"term": "x"}, "term"), ({"caller": None}, "caller"), ({"statement": {}}, "statement")],
)
def test_malformed_body_names_the_field(change, place):
    """A malformed body is refused with the name of the field."""
    with pytest.raises(errors.MalformedFrameError, match=place):
        wire.from_map(messages.Execute, {**wire.to_map(WORK), **change})
