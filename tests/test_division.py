"""Tests of the division of rates over failure domains."""

import pytest

from currantlead import errors, timers
from currantlead.control import division, model

A = model.Member("a-1", "a", 1, "127.0.0.1:1")
B = model.Member("b-1", "b", 2, "127.0.0.1:2")
VIEWS = {"a": model.View("a", 1, (A,)), "b": model.View("b", 1, (B,))}
BOTH = model.Configuration(1, domains={"a": model.Domain("a"), "b": model.Domain("b")})
B_OUT = model.Configuration(
    2, domains={"a": model.Domain("a"), "b": model.Domain("b", state=model.ServiceState.LEAVING)}
)


class FakePlatform:
    """Record writes; fail where told."""

    def __init__(self, error=None):
        self.error = error
        self.writes = []

    async def write(self, kind, name, value, *, if_version):
        """Store or fail."""
        if self.error is not None:
            raise self.error
        self.writes.append((value, if_version))
        return if_version + 1


class FakeDirectory:
    """Hold shared state that a test sets."""

    def __init__(self, configuration, views, shares):
        self.configuration, self.views, self.shares = configuration, views, shares


@pytest.mark.parametrize(
    ("configuration", "views", "expected"),
    [
        (BOTH, VIEWS, {"a": 0.5, "b": 0.5}),
        (B_OUT, VIEWS, {"a": 1.0}),
        (BOTH, {"a": VIEWS["a"]}, {"a": 1.0}),
        (BOTH, {"a": VIEWS["a"], "b": model.View("b", 2)}, {"a": 1.0}),
        (model.Configuration(), VIEWS, {}),
    ],
)
def test_wanted(configuration, views, expected):
    """A domain that is out of service or has no VM gets no share, so that its tokens are not lost."""
    assert division.wanted(configuration, views) == expected


def test_no_second_change_before_the_first_has_settled():
    """A division that is still being confirmed is not replaced, or two domains could use one share."""
    unsettled = model.Shares(2, {"a": 1.0}, {"a": 0.5, "b": 0.5}, {"a": 1}, version=7)
    assert division.advance(unsettled, {"a": 0.5, "b": 0.5}, VIEWS) is None
    confirmed = model.Shares(2, {"a": 1.0}, {"a": 0.5, "b": 0.5}, {"a": 1, "b": 2}, version=7)
    following = division.advance(confirmed, {"a": 0.5, "b": 0.5}, VIEWS)
    assert (following.number, following.previous, following.version) == (3, {"a": 1.0}, 7)


async def test_first_division_is_written_at_once_and_later_ones_when_steady():
    """A restart of a VM shorter than the steady time does not move shares."""
    clock = timers.ManualTimers()
    platform = FakePlatform()
    directory = FakeDirectory(BOTH, VIEWS, model.Shares(0))
    dividers = [
        division.Divider(platform=platform, directory=directory, clock=clock, member=member) for member in (A, B)
    ]
    for divider in dividers:
        await divider.check()
    assert [value["shares"] for value, _ in platform.writes] == [{"a": 0.5, "b": 0.5}]
    directory.shares = model.Shares(1, {"a": 0.5, "b": 0.5}, version=1)
    directory.configuration = B_OUT
    for _ in range(3):
        for divider in dividers:
            await divider.check()
        await clock.advance(1.0)
    assert len(platform.writes) == 1
    await clock.advance(1.0)
    for divider in dividers:
        await divider.check()
    assert platform.writes[1] == (
        {"number": 2, "shares": {"a": 1.0}, "previous": {"a": 0.5, "b": 0.5}, "confirmed": {}},
        1,
    )


@pytest.mark.parametrize("error", [errors.PlatformUnavailableError("down"), errors.VersionConflictError("newer")])
async def test_failed_write_is_tried_again_from_the_store(error):
    """A failed write, which may have taken effect, does not end the task."""
    clock = timers.ManualTimers()
    platform = FakePlatform(error)
    directory = FakeDirectory(BOTH, VIEWS, model.Shares(0))
    for member in (A, B):
        divider = division.Divider(platform=platform, directory=directory, clock=clock, member=member)
        await divider.check()
    assert platform.writes == []
