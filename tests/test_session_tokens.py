"""Tests of session tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantlead import errors, messages, session_tokens

POSITIONS = st.builds(messages.Position, st.integers(0, 10**9), st.integers(0, 10**15))
NAMES = st.from_regex(r"[a-z0-9][a-z0-9-]{0,20}", fullmatch=True)


@given(st.dictionaries(NAMES, POSITIONS, max_size=10))
def test_round_trip(positions):
    """Parsing a rendered token returns the same positions."""
    assert session_tokens.parse(session_tokens.render(positions)) == positions


@pytest.mark.parametrize(
    "text",
    [
        "",
        "v2:a.1.2",
        "v1:a.1",
        "v1:a.1.2,",
        "v1:a.1.-2",
        "v1:A.1.2",
        "v1:a.1.2,a.1.3",
        "v1:a.1.2 ",
        "v1:a.1.٣",
        "v1:" + "a.1.2," * 2000,
    ],
)
def test_malformed_token_is_refused(text):
    """A malformed token raises an error; to ignore it would allow stale reads."""
    with pytest.raises(errors.MalformedTokenError):
        session_tokens.parse(text)


@given(POSITIONS, POSITIONS)
def test_advance_never_decreases_a_position(first, second):
    """A late answer with an older position does not decrease the position of the session."""
    token = session_tokens.advance(session_tokens.advance({}, "ledger", first), "ledger", second)
    assert token["ledger"] == max(first, second)
