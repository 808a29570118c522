"""Tests of background tasks that are assigned to one VM."""

import pytest

from currantlead import errors, timers
from currantlead.control import duties, model

MEMBERS = tuple(model.Member(f"a-{n}", "a", n, f"127.0.0.1:{n}") for n in range(1, 4))
VIEWS = {"a": model.View("a", 1, MEMBERS), "b": model.View("b", 1)}


class FakeStore:
    """Fake store that counts collections, or fails each with ``error``."""

    def __init__(self, error=None):
        self.error, self.calls = error, 0

    async def remove_unused_parts(self):
        """Count the call, and raise the error if there is one."""
        self.calls += 1
        if self.error:
            raise self.error


class FakeDirectory:
    """Fake directory with fixed views."""

    views = VIEWS


def test_task_is_assigned_to_one_vm():
    """Guards against unused parts that no VM removes, and against load on the platform from all VMs."""
    assert [duties.is_assigned("collect", VIEWS, member.vm) for member in MEMBERS].count(True) == 1
    assert not duties.is_assigned("collect", {}, "a-1")


@pytest.mark.parametrize("error", [None, errors.PlatformUnavailableError("down"), errors.VersionConflictError("x")])
async def test_collection_runs_periodically_also_after_a_failure(error):
    """Guards against a collection that ends for good when the platform is down for one run."""
    clock, stores = timers.ManualTimers(), []
    for member in MEMBERS:
        stores.append(FakeStore(error))
        duties.PartCollector(stores[-1], clock, cache=FakeDirectory(), vm=member.vm).start()
    await clock.advance(2 * duties.COLLECT_INTERVAL_S)
    assert sorted(store.calls for store in stores) == [0, 0, 2]
