"""Usage counts that are sent again: none is counted twice, whether or not their VM is registered."""

import pytest

from currantlead import errors
from currantlead.sessions.usage import collection
from tests import usage_model

RUN = "vm-1", 7


def test_repeated_counts_of_a_vm_that_is_not_registered_change_nothing():
    """Final counts were added again if their VM left the members before it sent them again."""
    collected = collection.Collection()
    for _ in range(2):
        collected.add(RUN, {5: {"org": 10}}, 5, 6)
        collected.retain(["vm-0"])
    assert collected.counts(5) == {"org": 10}


@pytest.mark.parametrize("is_registered", [True, False])
async def test_lost_replies_to_counts_change_no_report(monkeypatch, is_registered):
    """A VM that was evicted while it ran, and whose replies were lost, had its requests reported several times.

    The windows stay open for some seconds, because another VM was killed.
    """
    fleet = usage_model.Model(monkeypatch)
    await fleet.run(12)
    holder = fleet.holder
    vm, killed = [name for name in fleet.names if name != holder][:2]
    fleet.kill(killed)
    if not is_registered:
        fleet.names.remove(vm)
    send = fleet.vms[vm].network.request

    async def lose_replies(receiver, kind, body, *, timeout_s):
        reply = await send(receiver, kind, body, timeout_s=timeout_s)
        if receiver == holder and fleet.random.random() < 0.5:
            raise errors.PeerAnswerLostError(receiver)
        return reply

    fleet.vms[vm].network.request = lose_replies
    first = fleet.window() + 1
    await fleet.run(30)
    fleet.platform.check()
    reported = {window: counts for window, (counts,) in fleet.platform.accepted().items() if window >= first}
    excess = [sum(counts.values()) / fleet.truth[window].total() - 1 for window, counts in reported.items()]
    assert excess and max(excess) <= fleet.bounds.tolerance
