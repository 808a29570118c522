"""Tests of the conversion between data classes and the bodies of frames."""

import msgpack
import pytest
import result

from currantlead import errors, messages, verdict, wire

STATEMENT = messages.Statement("r1", "ledger", "select ?", (1, None, "é"), after=messages.Position(2, 7))
EXECUTE = messages.Execute(STATEMENT, messages.Caller("farm", "ab" * 32), "ledger-a", 2, 1.5)


def test_execute_survives_msgpack():
    """Every field of a forwarded statement is preserved."""
    body = msgpack.unpackb(msgpack.packb(wire.to_map(EXECUTE)))
    assert wire.from_map(messages.Execute, body) == EXECUTE


@pytest.mark.parametrize(
    "outcome",
    [
        result.Ok(messages.Answer("r1", ("a",), ((1,), (None,)), 0, messages.Position(2, 7), "ledger-a")),
        result.Err(verdict.Refusal(verdict.Reason.BEHIND, verdict.Verdict.NOT_RUN, "behind", 0.1, 5)),
    ],
)
def test_outcome_round_trip(outcome):
    """The outcome of a peer is preserved, including its verdict."""
    assert wire.outcome_from_map(msgpack.unpackb(msgpack.packb(wire.outcome_to_map(outcome)))) == outcome


@pytest.mark.parametrize(
    ("change", "field"),
    [({"term": "x"}, "term"), ({"caller": None}, "caller"), ({"statement": {}}, "statement")],
)
def test_malformed_body_names_the_field(change, field):
    """The error of a malformed body names the field."""
    with pytest.raises(errors.MalformedFrameError, match=field):
        wire.from_map(messages.Execute, {**wire.to_map(EXECUTE), **change})
