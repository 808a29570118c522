"""Tests of the callers' routes over a real server."""

import asyncio
import http.client
import json
import threading

import pytest
from cherrypy import _cptree

from currantlead.border import server
from tests import rates

KEY = "a-secret-key-of-a-caller"


@pytest.fixture(scope="module")
def core():
    """Run a core loop in its own thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield loop
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture(scope="module")
def border(core):
    """Serve an echoing proxy."""
    proxy = rates.Echo()
    border = server.Border(proxy, server.run_on(core), tree=_cptree.Tree(), threads=8, client_timeout_s=1.0)
    border.proxy = proxy
    border.start()
    border.ready()
    yield border
    border.stop()


def ask(border, method, path, body=None, headers=None):
    """Send one request; return status, headers and decoded body."""
    connection = http.client.HTTPConnection(*border.address, timeout=5)
    connection.request(method, path, body, {"Authorization": f"Bearer {KEY}"} if headers is None else headers)
    answer = connection.getresponse()
    raw = answer.read()
    connection.close()
    return answer.status, answer.headers, json.loads(raw)


def test_statement_is_answered(border):
    """A statement reaches the proxy with the digest of the key, and the session token comes back."""
    body = json.dumps({"sql": "select ?", "params": [7], "access": "read"})
    status, headers, answer = ask(border, "POST", "/v1/databases/ledger/statements", body)
    assert (status, answer["verdict"], answer["rows"]) == (200, "completed", [[7]])
    assert headers["Currantlead-Session"] == "v1:ledger.1.2"
    request = border.proxy.requests[-1]
    assert len(request.key_digest) == 64 and KEY not in repr(request)
