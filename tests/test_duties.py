"""Tests of duties that one VM does for all."""

import pytest

from currantlead import errors, timers
from currantlead.control import duties, model

MEMBERS = tuple(model.Member(f"a-{n}", "a", n, f"127.0.0.1:{n}") for n in range(1, 4))
VIEWS = {"a": model.View("a", 1, MEMBERS), "b": model.View("b", 1)}


class FakeStore:
    """Count collections; fail where told."""

    def __init__(self, error=None):
        self.error, self.calls = error, 0

    async def collect(self):
        """Count and fail."""
        self.calls += 1
        if self.error:
            raise self.error


class FakeDirectory:
    """Hold views."""

    views = VIEWS


def test_one_vm_is_assigned():
    """A duty that no VM does would leave unused parts forever; one that all do would load the store."""
    assert [duties.is_assigned("collect", VIEWS, member.vm) for member in MEMBERS].count(True) == 1
    assert not duties.is_assigned("collect", {}, "a-1")


@pytest.mark.parametrize("error", [None, errors.PlatformUnavailableError("down"), errors.VersionConflictError("x")])
async def test_collects_at_each_turn_also_after_a_failure(error):
    """A store that is down for one turn does not end the collection."""
    clock, stores = timers.ManualTimers(), []
    for member in MEMBERS:
        stores.append(FakeStore(error))
        duties.Collector(stores[-1], clock, cache=FakeDirectory(), vm=member.vm).start()
    await clock.advance(2 * duties.COLLECT_S)
    assert sorted(store.calls for store in stores) == [0, 0, 2]
