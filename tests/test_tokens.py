"""Tests of session tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantlead import errors, messages, tokens

POSITIONS = st.builds(messages.Position, st.integers(0, 10**9), st.integers(0, 10**15))
NAMES = st.from_regex(r"[a-z0-9][a-z0-9-]{0,20}", fullmatch=True)


@given(st.dictionaries(NAMES, POSITIONS, max_size=10))
def test_round_trip(positions):
    """A rendered token parses to the same positions."""
    assert tokens.parse(tokens.render(positions)) == positions


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
def test_malformed(text):
    """A malformed token is an error; treating it as absent would allow a stale read."""
    with pytest.raises(errors.MalformedTokenError):
        tokens.parse(text)


@given(POSITIONS, POSITIONS)
def test_advance_never_goes_back(first, second):
    """A late answer with an older position does not move the session back."""
    token = tokens.advance(tokens.advance({}, "ledger", first), "ledger", second)
    assert token["ledger"] == max(first, second)
