"""Tests of the HTTP client of instances against a local server."""

import aiohttp
import pytest
from aiohttp import test_utils, web

from currantlead.control import failover, instances, model

STATUS = {
    "instance": "a",
    "group": "db",
    "role": "replica",
    "term": 3,
    "received_term": 2,
    "index": 4,
    "received_index": 5,
}


async def serve(body, status=200):
    """Start a server that gives a fixed answer; return it with the list of received requests."""
    requests = []

    async def answer(request):
        requests.append((request.method, request.path, await request.json() if request.can_read_body else None))
        return web.json_response(body, status=status)

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", answer)
    server = test_utils.TestServer(application)
    await server.start_server()
    return server, requests


@pytest.mark.parametrize(
    ("body", "code", "usable"),
    [
        (STATUS, 200, True),
        ({**STATUS, "instance": "z"}, 200, False),
        ({**STATUS, "term": "x"}, 200, False),
        (STATUS, 503, False),
        ([], 200, False),
    ],
)
async def test_only_valid_answers_of_the_instance_are_used(body, code, usable):
    """Guards against counting the answer of another instance, or a malformed one, in a promotion."""
    server, _ = await serve(body, code)
    async with aiohttp.ClientSession() as session, server:
        client = instances.HttpInstanceClient(session)
        answer = await client.status(model.Instance("a", str(server.make_url("/")), "d"))
    assert (answer == failover.InstanceStatus("a", "replica", 3, 2, 4, 5)) is usable
    assert (answer is None) is not usable


async def test_term_request_contains_primary_and_peers():
    """Guards against sending an instance the name of a primary without its address."""
    server, requests = await serve(STATUS)
    url = str(server.make_url("")).rstrip("/")
    group = model.Group(
        "db", 3, model.Phase.STABLE, "b", (model.Instance("a", url, "d"), model.Instance("b", "http://b", "e"))
    )
    async with aiohttp.ClientSession() as session, server:
        answer = await instances.HttpInstanceClient(session).set_term(
            group, failover.SetTerm("a", 3, "replica", "b", 7)
        )
    assert answer is not None and answer.term == 3
    peers = [{"name": "b", "url": "http://b"}]
    body = {"term": 3, "role": "replica", "primary": "b", "primary_url": "http://b", "start_index": 7, "peers": peers}
    assert requests == [("POST", "/term", body)]


async def test_unreachable_instance_gives_no_answer():
    """Guards against an exception for an unreachable instance, where the coordinator expects None."""
    server, _ = await serve(STATUS)
    url = str(server.make_url("/"))
    await server.close()
    async with aiohttp.ClientSession() as session:
        assert await instances.HttpInstanceClient(session).status(model.Instance("a", url, "d")) is None
