"""Tests of the choice between the holders of an instance."""

import asyncio
import types

import pytest
import result

from currantlead import messages, wire
from currantlead.control import model
from currantlead.routing import dispatch

OWN, OTHER, THIRD = "larisa-1", "larisa-2", "larisa-3"


class Peers:
    """Record forwarded work and answer it when told to."""

    def __init__(self, gate):
        self.member = model.Member(OWN, "larisa", 1, "")
        self.sent = []
        self._gate = gate

    async def request(self, vm, kind, body, *, timeout_s):
        """Answer once the gate opens."""
        self.sent.append(vm)
        await self._gate.wait()
        return wire.outcome_to_map(result.Ok(messages.Answer(body["statement"]["request"])))


class Site:
    """Hold a dispatcher of one VM between fakes."""

    def __init__(self, holders, slots=4, silent=()):
        self.gate = asyncio.Event()
        self.peers = Peers(self.gate)
        self.local = 0
        service = types.SimpleNamespace(slots=slots)
        configuration = types.SimpleNamespace(
            databases={"ledger": types.SimpleNamespace(service="s")}, services={"s": service}
        )
        self.dispatcher = dispatch.Dispatcher(
            membership=types.SimpleNamespace(holders=lambda *_: holders, alive=lambda vm: vm not in silent),
            peers=self.peers,
            holder=self,
            directory=types.SimpleNamespace(configuration=configuration, subscribe=lambda callback: None),
        )

    async def execute(self, work):
        """Run at this VM once the gate opens."""
        self.local += 1
        await self.gate.wait()
        return result.Ok(messages.Answer(work.statement.request))

    async def send(self, count):
        """Start statements together and return the local and forwarded ones before any of them ends."""
        caller = messages.Caller("farm", "")
        tasks = []
        for number in range(count):
            statement = messages.Statement(f"r{number}", "ledger", "select 1")
            work = messages.Execute(statement, caller, "ledger-larisa", 1, 5.0)
            tasks.append(asyncio.ensure_future(self.dispatcher.execute(work, "larisa")))
        await asyncio.sleep(0.01)
        self.gate.set()
        outcomes = await asyncio.gather(*tasks)
        assert [outcome.ok_value.request for outcome in outcomes] == [f"r{number}" for number in range(count)]
        return self.local, self.peers.sent


async def test_local_holder_serves_alone_while_it_has_room():
    """A forwarded statement costs more, so none is forwarded while the local slots have room."""
    assert await Site((OTHER, OWN)).send(2) == (2, [])


async def test_work_beyond_the_local_slots_goes_to_the_other_holder():
    """Guards against a queue at the local holder while the other holder's slots are idle."""
    local, sent = await Site((OTHER, OWN)).send(8)
    assert (local, len(sent)) == (4, 4)


async def test_holders_elsewhere_share_the_load():
    """Guards against uneven work at two holders of one entry VM."""
    local, sent = await Site((OTHER, THIRD)).send(9)
    assert local == 0
    assert sorted([sent.count(OTHER), sent.count(THIRD)]) == [4, 5]


async def test_silent_holder_comes_last_even_when_the_local_one_is_busy():
    """A VM that does not answer gets no work that the local holder can queue."""
    assert await Site((OTHER, OWN), silent={OTHER}).send(6) == (6, [])


@pytest.mark.parametrize("count", [1, 5])
async def test_counts_return_to_zero(count):
    """Work that has ended must not keep later work away from its holder."""
    site = Site((OTHER, OWN))
    await site.send(count)
    assert not site.dispatcher._under_way
