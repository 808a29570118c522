"""Tests of the division of rates among failure domains."""

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
    """Fake platform that records writes, or fails each with ``error``."""

    def __init__(self, error=None):
        self.error = error
        self.writes = []

    async def write(self, kind, name, value, *, if_version):
        """Record a write, or raise the error."""
        if self.error is not None:
            raise self.error
        self.writes.append((value, if_version))
        return if_version + 1


class FakeDirectory:
    """Fake directory with the state that a test sets."""

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
def test_target_shares(configuration, views, expected):
    """Guards against a share that nobody uses because its domain is out of service or has no VM."""
    assert division.target_shares(configuration, views) == expected


def test_division_is_replaced_only_after_it_has_settled():
    """Guards against two domains that use the same share because a division was replaced before it was confirmed."""
    unsettled = model.Shares(2, {"a": 1.0}, {"a": 0.5, "b": 0.5}, {"a": 1}, version=7)
    assert division.next_division(unsettled, {"a": 0.5, "b": 0.5}, VIEWS) is None
    confirmed = model.Shares(2, {"a": 1.0}, {"a": 0.5, "b": 0.5}, {"a": 1, "b": 2}, version=7)
    new_division = division.next_division(confirmed, {"a": 0.5, "b": 0.5}, VIEWS)
    assert (new_division.number, new_division.previous, new_division.version) == (3, {"a": 1.0}, 7)


async def test_first_division_is_written_at_once_and_later_ones_when_stable():
    """Guards against moving shares because of a short restart of a VM."""
    clock = timers.ManualTimers()
    platform = FakePlatform()
    directory = FakeDirectory(BOTH, VIEWS, model.Shares(0))
    writers = [
        division.DivisionWriter(platform=platform, directory=directory, clock=clock, member=member) for member in (A, B)
    ]
    for writer in writers:
        await writer.check()
    assert [value["shares"] for value, _ in platform.writes] == [{"a": 0.5, "b": 0.5}]
    directory.shares = model.Shares(1, {"a": 0.5, "b": 0.5}, version=1)
    directory.configuration = B_OUT
    for _ in range(3):
        for writer in writers:
            await writer.check()
        await clock.advance(1.0)
    assert len(platform.writes) == 1
    await clock.advance(1.0)
    for writer in writers:
        await writer.check()
    assert platform.writes[1] == (
        {"number": 2, "shares": {"a": 1.0}, "previous": {"a": 0.5, "b": 0.5}, "confirmed": {}},
        1,
    )


@pytest.mark.parametrize("error", [errors.PlatformUnavailableError("down"), errors.VersionConflictError("newer")])
async def test_failed_write_does_not_stop_the_check(error):
    """Guards against an exception from the periodic check after a failed write."""
    clock = timers.ManualTimers()
    platform = FakePlatform(error)
    directory = FakeDirectory(BOTH, VIEWS, model.Shares(0))
    for member in (A, B):
        writer = division.DivisionWriter(platform=platform, directory=directory, clock=clock, member=member)
        await writer.check()
    assert platform.writes == []
