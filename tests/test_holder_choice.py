"""Tests of the choice among the holders of an instance."""

import asyncio
import types

import pytest
import result

from currantlead import messages, wire
from currantlead.control import model
from currantlead.routing import dispatch

OWN, OTHER, THIRD = "larisa-1", "larisa-2", "larisa-3"


class Peers:
    """Record forwarded requests and answer them once released."""

    def __init__(self, release):
        self.member = model.Member(OWN, "larisa", 1, "")
        self.sent = []
        self._release = release

    async def request(self, vm, kind, body, *, timeout_s):
        """Answer once released."""
        self.sent.append(vm)
        await self._release.wait()
        return wire.outcome_to_map(result.Ok(messages.Answer(body["statement"]["request"])))


class DispatcherFixture:
    """A dispatcher of one VM with fake collaborators."""

    def __init__(self, holders, slots=4, unreachable=()):
        self.release = asyncio.Event()
        self.peers = Peers(self.release)
        self.local = 0
        service = types.SimpleNamespace(slots=slots)
        configuration = types.SimpleNamespace(
            databases={"ledger": types.SimpleNamespace(service="s")}, services={"s": service}
        )
        self.dispatcher = dispatch.Dispatcher(
            membership=types.SimpleNamespace(holders=lambda *_: holders, alive=lambda vm: vm not in unreachable),
            peers=self.peers,
            holder=self,
            directory=types.SimpleNamespace(configuration=configuration, subscribe=lambda callback: None),
        )

    async def execute(self, work):
        """Run at this VM once released."""
        self.local += 1
        await self.release.wait()
        return result.Ok(messages.Answer(work.statement.request))

    async def send(self, count):
        """Start statements concurrently; return the number run locally and the VMs of the others."""
        caller = messages.Caller("farm", "")
        tasks = []
        for number in range(count):
            statement = messages.Statement(f"r{number}", "ledger", "select 1")
            work = messages.Execute(statement, caller, "ledger-larisa", 1, 5.0)
            tasks.append(asyncio.ensure_future(self.dispatcher.execute(work, "larisa")))
        await asyncio.sleep(0.01)
        self.release.set()
        outcomes = await asyncio.gather(*tasks)
        assert [outcome.ok_value.request for outcome in outcomes] == [f"r{number}" for number in range(count)]
        return self.local, self.peers.sent


async def test_local_holder_serves_alone_while_it_has_free_slots():
    """Forwarding costs a round trip, so no statement is forwarded while local slots are free."""
    assert await DispatcherFixture((OTHER, OWN)).send(2) == (2, [])


async def test_statements_beyond_the_local_slots_are_forwarded():
    """Guards against queueing at the local holder while another holder has free slots."""
    local, sent = await DispatcherFixture((OTHER, OWN)).send(8)
    assert (local, len(sent)) == (4, 4)


async def test_remote_holders_share_the_load():
    """Guards against uneven load when an entry VM forwards to two holders."""
    local, sent = await DispatcherFixture((OTHER, THIRD)).send(9)
    assert local == 0
    assert sorted([sent.count(OTHER), sent.count(THIRD)]) == [4, 5]


async def test_unreachable_holder_comes_last_even_if_the_local_one_is_full():
    """A VM that does not respond gets no statement that the local holder can queue."""
    assert await DispatcherFixture((OTHER, OWN), unreachable={OTHER}).send(6) == (6, [])


@pytest.mark.parametrize("count", [1, 5])
async def test_in_flight_counts_return_to_zero(count):
    """Completed statements must not count against their holder."""
    site = DispatcherFixture((OTHER, OWN))
    await site.send(count)
    assert not site.dispatcher._in_flight
