"""Tests of the callers' routes over a real server."""

import asyncio
import http.client
import io
import json
import threading

import pytest
import result
from cherrypy import _cptree

from currantlead import interfaces, messages, verdict
from currantlead.border import application, server
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


PATH = "/v1/databases/ledger/statements"
GOOD = json.dumps({"sql": "select 1"})
AUTHORIZATION = {"Authorization": f"Bearer {KEY}"}


def statement(**fields):
    """Return the body of a statement."""
    return json.dumps({"sql": "select 1", **fields})


BODIES = [
    (statement(sql=""), "sql:"),
    (statement(sql=1), "sql:"),
    (json.dumps({"params": []}), "sql:"),
    (statement(params=1), "params:"),
    (statement(params=[[1]]), "params.0:"),
    (statement(params=[1, {"a": 1}]), "params.1:"),
    (statement(params=[2**63]), "params.0:"),
    (statement(params=[0] * 1025), "params:"),
    (statement(max_age_ms="5"), "max_age_ms:"),
    (statement(max_age_ms=-1), "max_age_ms:"),
    (statement(access="admin"), "access:"),
    (statement(other=1), "body: has an unknown field"),
    (statement(sql=f"select '{KEY}'"), "sql: holds the caller's key"),
    (statement(params=[f"x{KEY}"]), "params: holds the caller's key"),
    (json.dumps({"sql": "s", KEY: 1}), "body: has an unknown field"),
    (statement(access=KEY), "access:"),
    (statement(params=[{KEY: 1}]), "params.0:"),
    ("", "body: is not valid JSON"),
    ("{", "body: is not valid JSON"),
    ("[]", "body:"),
    ("null", "body:"),
    ('{"sql": "\\ud800"}', "body: is not valid JSON"),
    ('{"sql": "s", "params": [NaN]}', "params.0:"),
]


@pytest.mark.parametrize(("body", "field"), BODIES)
def test_malformed_body(border, body, field):
    """Guards against a statement that runs though a field is wrong, and against a key in an error text."""
    before = len(border.proxy.requests)
    status, _, answer = ask(border, "POST", PATH, body)
    assert (status, answer["verdict"], answer["reason"]) == (400, "not_run", "malformed")
    assert answer["detail"].startswith(field) and KEY not in str(answer) and answer["request"]
    assert len(border.proxy.requests) == before


HEADERS = [
    ({}, 401, "Authorization: is missing"),
    ({"Authorization": KEY}, 400, "Authorization:"),
    ({"Authorization": f"Basic {KEY}"}, 400, "Authorization:"),
    ({"Authorization": "Bearer "}, 400, "Authorization:"),
    ({"Authorization": f"Bearer {KEY} x"}, 400, "Authorization:"),
    ({**AUTHORIZATION, "Currantlead-Session": "v2:x"}, 400, "Currantlead-Session:"),
    ({**AUTHORIZATION, "Currantlead-Session": ""}, 400, "Currantlead-Session:"),
    ({**AUTHORIZATION, "Currantlead-Session": f"v1:{KEY}.1.1,{KEY}.1.1"}, 400, "Currantlead-Session:"),
    ({**AUTHORIZATION, "Currantlead-Session": f"v1:{KEY}.1.1"}, 400, "Currantlead-Session: holds the caller's key"),
    ({**AUTHORIZATION, "Idempotency-Key": "a b"}, 400, "Idempotency-Key:"),
    ({**AUTHORIZATION, "Idempotency-Key": "x" * 201}, 400, "Idempotency-Key:"),
    ({**AUTHORIZATION, "Idempotency-Key": KEY}, 400, "Idempotency-Key: holds the caller's key"),
    ({**AUTHORIZATION, "Content-Length": "x"}, 400, "Content-Length:"),
    ({**AUTHORIZATION, "Content-Length": "-1"}, 400, "Content-Length:"),
    ({**AUTHORIZATION, "Content-Length": "+2"}, 400, "Content-Length:"),
    ({**AUTHORIZATION, "Transfer-Encoding": "chunked"}, 400, "Transfer-Encoding:"),
    ({**AUTHORIZATION, "Content-Length": str(1_048_577)}, 413, "body: is longer"),
    ({**AUTHORIZATION, "Content-Length": "99999999999"}, 413, ""),
    ({**AUTHORIZATION, "X": "x" * 20_000}, 413, ""),
]


@pytest.mark.parametrize(("headers", "status", "field"), HEADERS)
def test_malformed_header(border, headers, status, field):
    """Guards against a session token, key or length that is ignored instead of refused."""
    before = len(border.proxy.requests)
    found, _, answer = ask(border, "POST", PATH, GOOD, headers)
    assert (found, answer["verdict"]) == (status, "not_run")
    assert answer["detail"].startswith(field) and KEY not in str(answer)
    assert len(border.proxy.requests) == before


PATHS = [
    ("GET", PATH, 405, "method:"),
    ("PUT", PATH, 405, "method:"),
    ("POST", "/v1/open/route", 405, "method:"),
    ("POST", "/v1", 404, "path:"),
    ("POST", "/v1/", 404, "path:"),
    ("POST", f"/v1/{KEY}", 404, "path:"),
    ("POST", f"/{KEY}", 404, "path"),
    ("POST", PATH + "/", 404, "path:"),
    ("POST", "/v1/databases//statements", 404, "path:"),
    ("POST", "/v1/databases/%20/statements", 400, "path:"),
    ("POST", "/v1/databases/Ledger/statements", 400, "path:"),
    ("POST", "/v1/databases/a%2Fb/statements", 400, "path:"),
    ("POST", f"/v1/databases/{KEY}/statements", 400, "path: holds the caller's key"),
    ("POST", f"/v1/transactions/{KEY}/commit", 400, "path: holds the caller's key"),
    ("POST", "/v1/transactions/a%20b/commit", 400, "path:"),
]


@pytest.mark.parametrize(("method", "path", "status", "field"), PATHS)
def test_malformed_path(border, method, path, status, field):
    """Guards against a request that reaches another route, and against a key in an answer."""
    before = len(border.proxy.requests)
    found, _, answer = ask(border, method, path, GOOD if "statements" in path else None)
    assert (found, answer["verdict"]) == (status, "not_run")
    assert answer["detail"].startswith(field) and KEY not in str(answer)
    assert len(border.proxy.requests) == before


ROUTES = [
    ("POST", "/v1/databases/ledger/transactions", None, interfaces.Action.BEGIN, {"transaction": "vm1.7"}),
    ("POST", "/v1/transactions/vm1.7/statements", GOOD, interfaces.Action.TRANSACT, {"columns": ["value"]}),
    ("POST", "/v1/transactions/vm1.7/commit", "{}", interfaces.Action.COMMIT, {}),
    ("POST", "/v1/transactions/vm1.7/rollback", None, interfaces.Action.ROLLBACK, {}),
    ("GET", "/v1/open/news", None, interfaces.Action.OPEN, {"columns": ["value"]}),
]


@pytest.mark.parametrize(("method", "path", "body", "action", "fields"), ROUTES)
def test_routes(border, method, path, body, action, fields):
    """Guards against a route that is taken for another one, and against a key that goes with an open route."""
    status, _, answer = ask(border, method, path, body)
    request = border.proxy.requests[-1]
    assert (status, answer["verdict"], request.action) == (200, "completed", action)
    assert fields.items() <= answer.items() and answer["request"] == request.request
    assert (request.key_digest is None) == (action is interfaces.Action.OPEN)


class Fixed:
    """Answer each request with one reply, or raise."""

    def __init__(self, reply):
        self.reply = reply

    async def handle(self, request):
        """Return the reply."""
        if isinstance(self.reply, Exception):
            raise self.reply
        return interfaces.CallerReply(self.reply, {"ledger": messages.Position(3, 4)})


def refused(reason, kind=verdict.Verdict.NOT_RUN, after=None):
    """Return a refusal as an outcome."""
    return result.Err(verdict.Refusal(reason, kind, "text", after))


R = verdict.Reason
OUTCOMES = [
    (refused(R.UNKNOWN_KEY), 401, "not_run", None),
    (refused(R.NOT_GRANTED), 403, "not_run", None),
    (refused(R.UNKNOWN_DATABASE), 404, "not_run", None),
    (refused(R.UNKNOWN_TRANSACTION), 404, "not_run", None),
    (refused(R.TRANSACTION_BUSY), 409, "not_run", None),
    (refused(R.LOST_POSITION), 409, "not_run", None),
    (refused(R.SQL_ERROR), 422, "not_run", None),
    (refused(R.KEY_REUSED), 422, "not_run", None),
    (refused(R.OVER_RATE, after=0.2), 429, "not_run", "1"),
    (refused(R.OVER_RATE, after=2.1), 429, "not_run", "3"),
    (refused(R.NO_PRIMARY, after=1.0), 503, "not_run", "1"),
    (refused(R.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN), 504, "may_have_run", None),
    (result.Ok(messages.Answer("another request")), 504, "may_have_run", None),
    (RuntimeError(KEY), 504, "may_have_run", None),
]


@pytest.mark.parametrize(("outcome", "status", "kind", "after"), OUTCOMES)
def test_outcomes(core, outcome, status, kind, after):
    """Guards against a wrong code or verdict, and against the answer to another request."""
    found = {}
    app = application.Application(Fixed(outcome), server.run_on(core))
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": PATH,
        "CONTENT_LENGTH": str(len(GOOD)),
        "wsgi.input": io.BytesIO(GOOD.encode()),
        "HTTP_AUTHORIZATION": f"Bearer {KEY}",
    }
    body = b"".join(app(environ, lambda code, headers: found.update(status=code, headers=dict(headers))))
    answer = json.loads(body)
    assert (int(found["status"][:3]), answer["verdict"]) == (status, kind)
    assert found["headers"].get("Retry-After") == after and KEY not in str(answer)
    if isinstance(outcome, result.Err):
        assert found["headers"]["Currantlead-Session"] == "v1:ledger.3.4"
        assert answer["reason"] == outcome.err_value.reason.value


def test_proxy_that_is_too_slow_may_have_run(core):
    """Guards against calling a request not run while it may still be under way."""
    proxy = rates.Echo()
    proxy.delay_s = 5.0
    app = application.Application(proxy, server.run_on(core), timeout_s=0.05)
    request = interfaces.CallerRequest("r", interfaces.Action.STATEMENT)
    assert app._ask(request).outcome.err_value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_stopped_core_loop_is_not_run():
    """Guards against a request that waits for a loop that has ended."""
    loop = asyncio.new_event_loop()
    app = application.Application(rates.Echo(), server.run_on(loop))
    refusal = app._ask(interfaces.CallerRequest("r", interfaces.Action.STATEMENT)).outcome.err_value
    loop.close()
    assert (refusal.verdict, refusal.reason) == (verdict.Verdict.NOT_RUN, verdict.Reason.LEAVING)
