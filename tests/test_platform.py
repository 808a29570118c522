"""Tests of the HTTP client of the platform against the stand-in server."""

import asyncio
import json

import aiohttp
import pytest
from aiohttp import web

from currantlead import errors, interfaces
from currantlead.control import configuration, directory, model, platform
from tests.standins import platform as standin
from tests.standins import processes


@pytest.fixture
async def server():
    """Run the stand-in server in this process; return its URL."""
    runner = web.AppRunner(standin.create_application({"groups": {"ledger": {"term": 1}}}), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


@pytest.fixture
async def client(server):
    """Return a client with a time limit of 0.5 s."""
    client = platform.HttpPlatform(server, timeout_s=0.5)
    yield client
    await client.close()


async def control(server, path="/control", **settings):
    """Configure faults of the stand-in server."""
    async with aiohttp.ClientSession() as session, session.post(server + path, json=settings) as answer:
        assert answer.status == 200


async def test_configuration_reaches_a_directory(client):
    """A configuration stored through the client can be read back into a directory."""
    wanted = model.Configuration(1, services={"rent": model.Service("rent", 2, 15)})
    encoded = configuration.encode(wanted)
    for name, text in encoded.texts.items():
        await client.write("parts", name, configuration.part_value(text), if_version=0)
    index = configuration.Index(number=1, change_id="c1", parts=encoded.labels)
    await client.write("configuration", "current", configuration.encode_index(index), if_version=0)
    cache = directory.Directory(lambda: 0.0)
    cache.apply([await client.read("configuration", "current")])
    cache.apply([await client.read("parts", name) for name in cache.missing_parts()])
    assert cache.configuration == wanted


async def test_conditional_writes(client):
    """A write or removal whose version is not that of the object has no effect."""
    first = await client.write("views", "larisa/ä", {"number": 1}, if_version=0)
    second = await client.write("views", "larisa/ä", {"number": 2}, if_version=first)
    with pytest.raises(errors.VersionConflictError):
        await client.write("views", "larisa/ä", {"number": 3}, if_version=first)
    with pytest.raises(errors.VersionConflictError):
        await client.remove("views", "larisa/ä", if_version=first)
    assert await client.read("views", "larisa/ä") == interfaces.StoredObject("views", "larisa/ä", second, {"number": 2})
    await client.remove("views", "larisa/ä", if_version=second)
    assert await client.names("views") == {}
    assert await client.write("views", "larisa/ä", {}, if_version=0) > second


async def test_watch_wakes_on_a_change(client, server):
    """A waiting watch returns when an object changes, and counts as one call."""
    revision, _ = await client.watch("groups", since=0, timeout_s=0)
    waiting = asyncio.create_task(client.watch("groups", since=revision, timeout_s=5))
    await asyncio.sleep(0.05)
    version = await client.write("groups", "other", {}, if_version=0)
    assert await asyncio.wait_for(waiting, 1) == (version, [("other", version)])
    async with aiohttp.ClientSession() as session, session.get(f"{server}/counts") as answer:
        assert (await answer.json())["watches"] == 2


async def test_outage_cuts_waiting_watches(client, server):
    """An outage ends waiting watches at once, and calls succeed after it."""
    waiting = asyncio.create_task(client.watch("groups", since=99, timeout_s=5))
    await asyncio.sleep(0.05)
    await control(server, outage=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await asyncio.wait_for(waiting, 1)
    with pytest.raises(errors.PlatformUnavailableError):
        await client.read("groups", "ledger")
    await control(server, outage=False)
    assert await client.read("groups", "absent") is None


async def test_lost_answer_leaves_the_effect(client, server):
    """A write whose answer is lost raises an error although it has taken effect."""
    await control(server, lose_answers=1)
    with pytest.raises(errors.PlatformUnavailableError):
        await client.write("views", "larisa", {"number": 1}, if_version=0)
    assert (await client.read("views", "larisa")).value == {"number": 1}


async def test_slow_platform_is_bounded(client, server):
    """The time limit of a call includes the time in the queue."""
    await control(server, latency_s=2.0)
    calls = [client.read("groups", "ledger") for _ in range(40)]
    outcomes = await asyncio.wait_for(asyncio.gather(*calls, return_exceptions=True), 1.5)
    assert all(isinstance(outcome, errors.PlatformUnavailableError) for outcome in outcomes)


async def test_list_of_vms_lags(client, server):
    """A new VM appears in the list only after the configured lag."""
    await control(server, list_lag_s=0.2)
    await control(server, "/control/vms", vm="v1", domain="larisa", peer_address="127.0.0.1:1")
    assert await client.list_vms() == []
    await asyncio.sleep(0.25)
    assert await client.list_vms() == [interfaces.ListedVm("v1", "larisa", "live", "127.0.0.1:1")]


@pytest.mark.parametrize(
    ("status", "text"),
    [(200, "{"), (200, "[]"), (200, '{"version": "x", "value": 1}'), (200, '{"version": 1}'), (500, "{}"), (200, "")],
)
async def test_malformed_answers(status, text):
    """A malformed answer is treated as no answer."""

    async def answer(_):
        return web.Response(status=status, text=text)

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = platform.HttpPlatform(f"http://127.0.0.1:{runner.addresses[0][1]}")
    with pytest.raises(errors.PlatformUnavailableError):
        await client.read("groups", "ledger")
    await client.close()
    await runner.cleanup()


@pytest.mark.processes
async def test_separate_process(tmp_path):
    """The stand-in server starts as a process with initial objects, reports its port and ends on SIGTERM."""
    seed = tmp_path / "seed.json"
    seed.write_text(json.dumps({"groups": {"ledger": {"term": 3}}}))
    async with processes.start("platform", "--seed", str(seed)) as port:
        client = platform.HttpPlatform(f"http://127.0.0.1:{port}")
        assert (await client.read("groups", "ledger")).value == {"term": 3}
        await client.close()
