"""Tests of the callers' HTTP API on a real server."""

import asyncio
import http.client
import io
import json
import threading

import pytest
import result
from cherrypy import _cptree

from currantlead import interfaces, messages, verdict
from currantlead.http_api import application, server
from tests import rates

KEY = "a-secret-key-of-a-caller"


@pytest.fixture(scope="module")
def proxy_loop():
    """Run an event loop in a thread of its own."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield loop
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture(scope="module")
def http_servers(proxy_loop):
    """Run the HTTP servers in front of a proxy that echoes requests."""
    proxy = rates.EchoProxy()
    servers = server.HttpServers(
        proxy, server.coroutine_runner(proxy_loop), tree=_cptree.Tree(), threads=8, client_timeout_s=1.0
    )
    servers.proxy = proxy
    servers.start()
    servers.mark_ready()
    yield servers
    servers.stop()


def send_request(http_servers, method, path, body=None, headers=None):
    """Send a request; return the status, the headers and the decoded body."""
    connection = http.client.HTTPConnection(*http_servers.address, timeout=5)
    connection.request(method, path, body, {"Authorization": f"Bearer {KEY}"} if headers is None else headers)
    answer = connection.getresponse()
    raw = answer.read()
    connection.close()
    return answer.status, answer.headers, json.loads(raw)


def test_statement_completes(http_servers):
    """Guards against a proxy that receives the key itself, and against a response without the session token."""
    body = json.dumps({"sql": "select ?", "params": [7], "access": "read"})
    status, headers, answer = send_request(http_servers, "POST", "/v1/databases/ledger/statements", body)
    assert (status, answer["verdict"], answer["rows"]) == (200, "completed", [[7]])
    assert headers["Currantlead-Session"] == "v1:ledger.1.2"
    request = http_servers.proxy.requests[-1]
    assert len(request.key_digest) == 64 and KEY not in repr(request)


PATH = "/v1/databases/ledger/statements"
VALID_BODY = json.dumps({"sql": "select 1"})
AUTHORIZATION_HEADER = {"Authorization": f"Bearer {KEY}"}


def statement(**fields):
    """Return the body of a statement."""
    return json.dumps({"sql": "select 1", **fields})


INVALID_BODIES = [
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
    (statement(other=1), "body: contains an unknown field"),
    (statement(sql=f"select '{KEY}'"), "sql: contains the caller's key"),
    (statement(params=[f"x{KEY}"]), "params: contains the caller's key"),
    (json.dumps({"sql": "s", KEY: 1}), "body: contains an unknown field"),
    (statement(access=KEY), "access:"),
    (statement(params=[{KEY: 1}]), "params.0:"),
    ("", "body: is not valid JSON"),
    ("{", "body: is not valid JSON"),
    ("[]", "body:"),
    ("null", "body:"),
    ('{"sql": "\\ud800"}', "body: is not valid JSON"),
    ('{"sql": "s", "params": [NaN]}', "params.0:"),
]


@pytest.mark.parametrize(("body", "field"), INVALID_BODIES)
def test_malformed_body_is_rejected(http_servers, body, field):
    """Guards against a statement that runs despite an invalid field, and against a key in an error message."""
    previous_count = len(http_servers.proxy.requests)
    status, _, answer = send_request(http_servers, "POST", PATH, body)
    assert (status, answer["verdict"], answer["reason"]) == (400, "not_run", "malformed")
    assert answer["detail"].startswith(field) and KEY not in str(answer) and answer["request"]
    assert len(http_servers.proxy.requests) == previous_count


INVALID_HEADERS = [
    ({}, 401, "Authorization: header is missing"),
    ({"Authorization": KEY}, 400, "Authorization:"),
    ({"Authorization": f"Basic {KEY}"}, 400, "Authorization:"),
    ({"Authorization": "Bearer "}, 400, "Authorization:"),
    ({"Authorization": f"Bearer {KEY} x"}, 400, "Authorization:"),
    ({**AUTHORIZATION_HEADER, "Currantlead-Session": "v2:x"}, 400, "Currantlead-Session:"),
    ({**AUTHORIZATION_HEADER, "Currantlead-Session": ""}, 400, "Currantlead-Session:"),
    ({**AUTHORIZATION_HEADER, "Currantlead-Session": f"v1:{KEY}.1.1,{KEY}.1.1"}, 400, "Currantlead-Session:"),
    (
        {**AUTHORIZATION_HEADER, "Currantlead-Session": f"v1:{KEY}.1.1"},
        400,
        "Currantlead-Session: contains the caller's key",
    ),
    ({**AUTHORIZATION_HEADER, "Idempotency-Key": "a b"}, 400, "Idempotency-Key:"),
    ({**AUTHORIZATION_HEADER, "Idempotency-Key": "x" * 201}, 400, "Idempotency-Key:"),
    ({**AUTHORIZATION_HEADER, "Idempotency-Key": KEY}, 400, "Idempotency-Key: contains the caller's key"),
    ({**AUTHORIZATION_HEADER, "Content-Length": "x"}, 400, "Content-Length:"),
    ({**AUTHORIZATION_HEADER, "Content-Length": "-1"}, 400, "Content-Length:"),
    ({**AUTHORIZATION_HEADER, "Content-Length": "+2"}, 400, "Content-Length:"),
    ({**AUTHORIZATION_HEADER, "Transfer-Encoding": "chunked"}, 400, "Transfer-Encoding:"),
    ({**AUTHORIZATION_HEADER, "Content-Length": str(1_048_577)}, 413, "body: exceeds the limit of 1048576 bytes"),
    ({**AUTHORIZATION_HEADER, "Content-Length": "99999999999"}, 413, ""),
    ({**AUTHORIZATION_HEADER, "X": "x" * 20_000}, 413, ""),
]


@pytest.mark.parametrize(("headers", "status", "field"), INVALID_HEADERS)
def test_malformed_header_is_rejected(http_servers, headers, status, field):
    """Guards against an invalid session token, key or length that is ignored instead of rejected."""
    previous_count = len(http_servers.proxy.requests)
    response_status, _, answer = send_request(http_servers, "POST", PATH, VALID_BODY, headers)
    assert (response_status, answer["verdict"]) == (status, "not_run")
    assert answer["detail"].startswith(field) and KEY not in str(answer)
    assert len(http_servers.proxy.requests) == previous_count


INVALID_PATHS = [
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
    ("POST", f"/v1/databases/{KEY}/statements", 400, "path: contains the caller's key"),
    ("POST", f"/v1/transactions/{KEY}/commit", 400, "path: contains the caller's key"),
    ("POST", "/v1/transactions/a%20b/commit", 400, "path:"),
]


@pytest.mark.parametrize(("method", "path", "status", "field"), INVALID_PATHS)
def test_malformed_path_is_rejected(http_servers, method, path, status, field):
    """Guards against a request that is dispatched to the wrong route, and against a key in a response."""
    previous_count = len(http_servers.proxy.requests)
    response_status, _, answer = send_request(http_servers, method, path, VALID_BODY if "statements" in path else None)
    assert (response_status, answer["verdict"]) == (status, "not_run")
    assert answer["detail"].startswith(field) and KEY not in str(answer)
    assert len(http_servers.proxy.requests) == previous_count


ROUTES = [
    ("POST", "/v1/databases/ledger/transactions", None, interfaces.Action.BEGIN, {"transaction": "vm1.7"}),
    ("POST", "/v1/transactions/vm1.7/statements", VALID_BODY, interfaces.Action.TRANSACT, {"columns": ["value"]}),
    ("POST", "/v1/transactions/vm1.7/commit", "{}", interfaces.Action.COMMIT, {}),
    ("POST", "/v1/transactions/vm1.7/rollback", None, interfaces.Action.ROLLBACK, {}),
    ("GET", "/v1/open/news", None, interfaces.Action.OPEN, {"columns": ["value"]}),
]


@pytest.mark.parametrize(("method", "path", "body", "action", "fields"), ROUTES)
def test_route_selects_action(http_servers, method, path, body, action, fields):
    """Guards against a route that runs the wrong action, and against a key that is forwarded with an open route."""
    status, _, answer = send_request(http_servers, method, path, body)
    request = http_servers.proxy.requests[-1]
    assert (status, answer["verdict"], request.action) == (200, "completed", action)
    assert fields.items() <= answer.items() and answer["request"] == request.request
    assert (request.key_digest is None) == (action is interfaces.Action.OPEN)


class FixedProxy:
    """Proxy that answers every request with a fixed reply, or raises a fixed exception."""

    def __init__(self, reply):
        self.reply = reply

    async def handle(self, request):
        """Return the fixed reply, or raise the fixed exception."""
        if isinstance(self.reply, Exception):
            raise self.reply
        return interfaces.CallerReply(self.reply, {"ledger": messages.Position(3, 4)})


def refused_outcome(reason, kind=verdict.Verdict.NOT_RUN, after=None):
    """Return an outcome that holds a refusal."""
    return result.Err(verdict.Refusal(reason, kind, "text", after))


R = verdict.Reason
OUTCOMES = [
    (refused_outcome(R.UNKNOWN_KEY), 401, "not_run", None),
    (refused_outcome(R.NOT_GRANTED), 403, "not_run", None),
    (refused_outcome(R.UNKNOWN_DATABASE), 404, "not_run", None),
    (refused_outcome(R.UNKNOWN_TRANSACTION), 404, "not_run", None),
    (refused_outcome(R.TRANSACTION_BUSY), 409, "not_run", None),
    (refused_outcome(R.LOST_POSITION), 409, "not_run", None),
    (refused_outcome(R.SQL_ERROR), 422, "not_run", None),
    (refused_outcome(R.KEY_REUSED), 422, "not_run", None),
    (refused_outcome(R.OVER_RATE, after=0.2), 429, "not_run", "1"),
    (refused_outcome(R.OVER_RATE, after=2.1), 429, "not_run", "3"),
    (refused_outcome(R.NO_PRIMARY, after=1.0), 503, "not_run", "1"),
    (refused_outcome(R.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN), 504, "may_have_run", None),
    (result.Ok(messages.Answer("another request")), 504, "may_have_run", None),
    (RuntimeError(KEY), 504, "may_have_run", None),
]


@pytest.mark.parametrize(("outcome", "status", "kind", "after"), OUTCOMES)
def test_outcome_maps_to_status_and_verdict(proxy_loop, outcome, status, kind, after):
    """Guards against a wrong status or verdict, and against a response that belongs to another request."""
    response = {}
    app = application.Application(FixedProxy(outcome), server.coroutine_runner(proxy_loop))
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": PATH,
        "CONTENT_LENGTH": str(len(VALID_BODY)),
        "wsgi.input": io.BytesIO(VALID_BODY.encode()),
        "HTTP_AUTHORIZATION": f"Bearer {KEY}",
    }
    body = b"".join(app(environ, lambda code, headers: response.update(status=code, headers=dict(headers))))
    answer = json.loads(body)
    assert (int(response["status"][:3]), answer["verdict"]) == (status, kind)
    assert response["headers"].get("Retry-After") == after and KEY not in str(answer)
    if isinstance(outcome, result.Err):
        assert response["headers"]["Currantlead-Session"] == "v1:ledger.3.4"
        assert answer["reason"] == outcome.err_value.reason.value


def test_proxy_timeout_is_reported_as_may_have_run(proxy_loop):
    """Guards against reporting a request as not run while it may still be in progress."""
    proxy = rates.EchoProxy()
    proxy.delay_s = 5.0
    app = application.Application(proxy, server.coroutine_runner(proxy_loop), timeout_s=0.05)
    request = interfaces.CallerRequest("r", interfaces.Action.STATEMENT)
    assert app._call_proxy(request).outcome.err_value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_stopped_event_loop_is_reported_as_not_run():
    """Guards against a request that waits for an event loop that has stopped."""
    loop = asyncio.new_event_loop()
    app = application.Application(rates.EchoProxy(), server.coroutine_runner(loop))
    refusal = app._call_proxy(interfaces.CallerRequest("r", interfaces.Action.STATEMENT)).outcome.err_value
    loop.close()
    assert (refusal.verdict, refusal.reason) == (verdict.Verdict.NOT_RUN, verdict.Reason.LEAVING)
