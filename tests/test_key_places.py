"""Tests that callers' keys do not leave the HTTP server, wherever a request contains them."""

import asyncio
import http.client
import json
import threading
import urllib.parse

import loguru
import prometheus_client
import pytest
from cherrypy import _cptree

from currantlead.http_api import server
from currantlead.identity import keys
from currantlead.peers import frames
from tests.standins import proxy_fakes

KEY = "caller-key-3f9a27c1d5"
AUTHORIZED = {"Authorization": f"Bearer {KEY}"}
STATEMENTS = "/v1/databases/ledger/statements"
QUOTED = urllib.parse.quote(KEY, safe="")
ENCODED = "".join(f"%{ord(each):02x}" for each in KEY)


class Recorder(proxy_fakes.ScriptedHolders):
    """Record each frame to another VM in its encoded form."""

    def __init__(self, script):
        super().__init__()
        self.member, self.frames_seen = script.member, []

    async def request(self, vm, kind, body, *, timeout_s):
        """Record the encoded frame, then respond."""
        self.frames_seen.append(bytes(frames.encode(kind, 1, 1, body)))
        return await super().request(vm, kind, body, timeout_s=timeout_s)

    async def _step(self, vm, work):
        self.frames_seen.append(repr(work).encode())
        return await super()._step(vm, work)


@pytest.fixture(scope="module")
def entry():
    """The real HTTP server and proxy, with a fake of peers and holders that records requests."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def build():
        world = proxy_fakes.ProxyFixture()
        world.change_organisation(keys={"main": keys.digest(KEY)})
        recorder = Recorder(world.holders)
        world.dispatcher._peers = world.dispatcher._holder = recorder
        # This VM itself is the holder of one instance, so that local requests are recorded too.
        world.membership.holders_by_instance["ledger-b"] = ("vm-1",)
        return world, recorder

    world, recorder = asyncio.run_coroutine_threadsafe(build(), loop).result(5)
    border = server.HttpServers(
        world.proxy, server.coroutine_runner(loop), tree=_cptree.Tree(), threads=4, client_timeout_s=0.5
    )
    border.start()
    border.mark_ready()
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line), level="DEBUG", format="{message} {extra} {exception}")
    yield border, recorder, lines
    loguru.logger.remove(sink)
    border.stop()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def body(**fields):
    """Return the body of a statement request."""
    return json.dumps({"sql": "select 1", **fields})


# Method, path, body and headers. If Authorization contains the key too, a misplaced copy must be refused. Otherwise the
# server cannot know that a text is a key; then only the caller's own SQL and parameters may pass it on.
REQUESTS = {
    "bearer": ("POST", STATEMENTS, body(), AUTHORIZED),
    "lower-case scheme": ("POST", STATEMENTS, body(), {"authorization": f"bearer {KEY}"}),
    "write": ("POST", STATEMENTS, body(access="write"), AUTHORIZED),
    "begin": ("POST", "/v1/databases/ledger/transactions", "", AUTHORIZED),
    "commit": ("POST", "/v1/transactions/ledger.vm-a.7.1.x/commit", "", AUTHORIZED),
    "basic": ("POST", STATEMENTS, body(), {"Authorization": f"Basic {KEY}"}),
    "no scheme": ("POST", STATEMENTS, body(), {"Authorization": KEY}),
    "two keys": ("POST", STATEMENTS, body(), {"Authorization": f"Bearer {KEY} {KEY}"}),
    "other header": ("POST", STATEMENTS, body(), {**AUTHORIZED, "X-Api-Key": KEY, "Cookie": f"key={KEY}"}),
    "header name": ("POST", STATEMENTS, body(), {**AUTHORIZED, KEY: "1"}),
    "agent": ("POST", STATEMENTS, body(), {**AUTHORIZED, "User-Agent": KEY, "Referer": KEY, "X-Forwarded-For": KEY}),
    "query": ("POST", f"{STATEMENTS}?key={KEY}", body(), AUTHORIZED),
    "query only": ("POST", f"{STATEMENTS}?access_token={KEY}", body(), {}),
    "database": ("POST", f"/v1/databases/{KEY}/statements", body(), AUTHORIZED),
    "quoted database": ("POST", f"/v1/databases/{ENCODED}/statements", body(), AUTHORIZED),
    "path": ("POST", f"/{KEY}", body(), AUTHORIZED),
    "route": ("GET", f"/v1/open/{KEY}", None, {}),
    "route with key": ("GET", f"/v1/open/{KEY}", None, AUTHORIZED),
    "transaction": ("POST", f"/v1/transactions/{KEY}/commit", "", AUTHORIZED),
    "in transaction": ("POST", f"/v1/transactions/ledger.vm-a.7.1.{KEY}/commit", "", AUTHORIZED),
    "as vm": ("POST", f"/v1/transactions/ledger.{KEY}.7.1.x/statements", body(), AUTHORIZED),
    "method": (KEY.upper(), STATEMENTS, body(), AUTHORIZED),
    "sql": ("POST", STATEMENTS, body(sql=f"select '{KEY}'"), AUTHORIZED),
    "parameter": ("POST", STATEMENTS, body(params=[1, f"x{KEY}y"]), AUTHORIZED),
    "access": ("POST", STATEMENTS, body(access=KEY), AUTHORIZED),
    "age": ("POST", STATEMENTS, body(max_age_ms=KEY), AUTHORIZED),
    "field": ("POST", STATEMENTS, json.dumps({"sql": "s", KEY: 1}), AUTHORIZED),
    "nested": ("POST", STATEMENTS, body(params=[{KEY: KEY}]), AUTHORIZED),
    "not json": ("POST", STATEMENTS, KEY, AUTHORIZED),
    "idempotency key": ("POST", STATEMENTS, body(access="write"), {**AUTHORIZED, "Idempotency-Key": KEY}),
    "in idempotency key": ("POST", STATEMENTS, body(access="write"), {**AUTHORIZED, "Idempotency-Key": f"a{KEY}"}),
    "session": ("POST", STATEMENTS, body(), {**AUTHORIZED, "Currantlead-Session": KEY}),
    "session entry": ("POST", STATEMENTS, body(), {**AUTHORIZED, "Currantlead-Session": f"v1:{KEY}.1.1"}),
    "session, no key": ("POST", STATEMENTS, body(), {"Currantlead-Session": f"v1:{KEY}"}),
    "length": ("POST", STATEMENTS, None, {**AUTHORIZED, "Content-Length": KEY}),
    "encoding": ("POST", STATEMENTS, None, {**AUTHORIZED, "Transfer-Encoding": KEY}),
    "unknown key": ("POST", STATEMENTS, body(), {"Authorization": f"Bearer {KEY}x"}),
}
ACCEPTED = {"bearer", "lower-case scheme", "write", "begin", "commit", "other header", "header name", "agent", "query"}


def send(border, method, path, content, headers):
    """Send one request; return the status and the complete response as text."""
    connection = http.client.HTTPConnection(*border.address, timeout=5)
    try:
        connection.request(method, path, content, headers)
        answer = connection.getresponse()
        return answer.status, f"{answer.reason} {answer.headers} {answer.read().decode()}"
    finally:
        connection.close()


@pytest.mark.parametrize("case", REQUESTS)
def test_key_does_not_leave_the_server(entry, case):
    """Guards against a key in a frame, a statement, a log line, an error message or a metric (P5)."""
    border, recorder, lines = entry
    recorder.frames_seen.clear()
    lines.clear()
    status, text = send(border, *REQUESTS[case])
    metrics = send(border, "GET", "/metrics", None, {})[1]
    metrics += prometheus_client.generate_latest(prometheus_client.REGISTRY).decode()
    assert (status == 200) == (case in ACCEPTED), text
    assert bool(recorder.frames_seen) == (case in ACCEPTED)
    for output, found in {
        "answer": text,
        "metrics": metrics,
        "logs": "".join(lines),
        "frames": recorder.frames_seen,
    }.items():
        for representation in (KEY, KEY.upper(), ENCODED):
            assert representation not in str(found), f"{output} contain the key"


def test_recorder_captures_frames_and_logs(entry):
    """Guards against an empty recording, with which the other test would always pass."""
    border, recorder, lines = entry
    recorder.frames_seen.clear()
    lines.clear()
    assert send(border, *REQUESTS["write"])[0] == 200
    assert keys.digest(KEY) in str(recorder.frames_seen) and "to holder vm-a" in "".join(lines)
