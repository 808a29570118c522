"""Answer the callers' routes as a WSGI application."""

import concurrent.futures
import dataclasses
import hashlib
import math
import os
import re
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

import pydantic
import pydantic_core
import result

from currantlead import errors, interfaces, logs, messages, tokens, verdict
from currantlead.border import models

Run = Callable[[Coroutine[Any, Any, Any], float], Any]
"""Runs a coroutine on the core loop and waits; raises ``TimeoutError`` or ``NotStartedError``."""
Observe = Callable[[str, int, float], None]
"""Takes the action, the status code and the seconds of a finished request."""

MAX_BODY = 1_048_576
"""Longest accepted body in bytes; a statement with its parameters must fit in a 4 MiB peer frame."""
SHORTEST_SEARCHED_KEY = 8
"""Keys below this length are looked for as whole values only, because they occur in ordinary text by chance."""

_log = logs.part("border")
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_TRANSACTION = re.compile(r"[A-Za-z0-9._:~-]{1,200}")
_KEY = re.compile(r"[\x21-\x7e]{1,512}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,200}")
_STATUS = {
    verdict.Reason.MALFORMED: "400 Bad Request",
    verdict.Reason.UNKNOWN_KEY: "401 Unauthorized",
    verdict.Reason.NOT_GRANTED: "403 Forbidden",
    verdict.Reason.UNKNOWN_DATABASE: "404 Not Found",
    verdict.Reason.UNKNOWN_TRANSACTION: "404 Not Found",
    verdict.Reason.TRANSACTION_BUSY: "409 Conflict",
    verdict.Reason.LOST_POSITION: "409 Conflict",
    verdict.Reason.TOO_LARGE: "413 Content Too Large",
    verdict.Reason.SQL_ERROR: "422 Unprocessable Content",
    verdict.Reason.KEY_REUSED: "422 Unprocessable Content",
    verdict.Reason.OVER_RATE: "429 Too Many Requests",
}


class NotStartedError(errors.CurrantleadError):
    """Raised when the core loop did not start a coroutine, so nothing ran."""


class _FaultError(Exception):
    """Carry a refusal out of the parsing of a request."""

    def __init__(self, reason: verdict.Reason, detail: str, *, status: str = "", headers: tuple[Any, ...] = ()):
        super().__init__(detail)
        self.refusal = verdict.Refusal(reason, detail=detail)
        self.status = status or _STATUS[reason]
        self.headers = headers


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    action: interfaces.Action
    name: str
    method: str = "POST"


class Application:
    """Take requests from CherryPy's worker threads to the proxy on the core loop."""

    def __init__(
        self,
        proxy: interfaces.Proxy,
        run: Run,
        *,
        timeout_s: float = 30.0,
        leaving: Callable[[], bool] = lambda: False,
        observe: Observe = lambda action, status, seconds: None,
        max_body: int = MAX_BODY,
    ):
        """Create the application.

        Args:
            proxy: Serves validated requests.
            run: Runs a coroutine on the core loop and waits with a timeout.
            timeout_s: Longest time that one request may take in the proxy.
            leaving: Tells whether the VM leaves; answers then close their connections.
            observe: Called after each request.
            max_body: Longest accepted body in bytes.
        """
        self._proxy = proxy
        self._run = run
        self._timeout_s = timeout_s
        self._leaving = leaving
        self._observe = observe
        self._max_body = max_body

    def __call__(self, environ: Mapping[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Answer one request."""
        begun = time.perf_counter()
        number = os.urandom(12).hex()
        action = "none"
        headers: list[tuple[str, str]] = []
        try:
            route = _route(environ)
            action = route.action.value
            request = self._read(environ, route, number)
            status, payload, headers = self._serve(request)
        except _FaultError as fault:
            status, payload = fault.status, refusal_body(fault.refusal, number)
            headers = list(fault.headers)
        body = pydantic_core.to_json(payload)
        if self._must_close(environ):
            headers.append(("Connection", "close"))
        headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        self._observe(action, int(status[:3]), time.perf_counter() - begun)
        # A body after the answer to HEAD would be read as the start of the next answer.
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]

    def _must_close(self, environ: Mapping[str, Any]) -> bool:
        # An unread chunked body would be parsed as the next request of the connection.
        unread = bool(environ.get("HTTP_TRANSFER_ENCODING"))
        return unread or environ["REQUEST_METHOD"] == "HEAD" or environ.get("currantlead.cut", False) or self._leaving()

    def _read(self, environ: Mapping[str, Any], route: _Route, number: str) -> interfaces.CallerRequest:
        key = None if route.action is interfaces.Action.OPEN else _key(environ)
        try:
            session = tokens.parse(environ.get("HTTP_CURRANTLEAD_SESSION"))
        except errors.MalformedTokenError:
            # The parser's text may quote a part of the token, which may be a misplaced key.
            raise _FaultError(
                verdict.Reason.MALFORMED, "Currantlead-Session: is not a token v1:DATABASE.TERM.INDEX[,...]"
            ) from None
        idempotency_key = _idempotency_key(environ, route.action)
        statement = self._body(environ, route.action)
        request = _build(route, number, key, session, idempotency_key, statement)
        if key is not None:
            _refuse_misplaced_key(key, request)
        return request

    def _body(self, environ: Mapping[str, Any], action: interfaces.Action) -> models.StatementBody | None:
        raw = self._raw_body(environ)
        takes_statement = action in (interfaces.Action.STATEMENT, interfaces.Action.TRANSACT)
        try:
            if takes_statement:
                return models.parse(models.StatementBody, raw)
            if raw:
                models.parse(models.Empty, raw)
        except pydantic.ValidationError as error:
            raise _FaultError(verdict.Reason.MALFORMED, models.describe(error)) from None
        return None

    def _raw_body(self, environ: Mapping[str, Any]) -> bytes:
        if environ.get("HTTP_TRANSFER_ENCODING"):
            raise _FaultError(verdict.Reason.MALFORMED, "Transfer-Encoding: is not accepted; send Content-Length")
        text = environ.get("CONTENT_LENGTH") or "0"
        if not (text.isascii() and text.isdigit()):
            raise _FaultError(verdict.Reason.MALFORMED, "Content-Length: is not a number")
        length = int(text)
        if length > self._max_body:
            raise _FaultError(verdict.Reason.TOO_LARGE, f"body: is longer than {self._max_body} bytes")
        try:
            raw = environ["wsgi.input"].read(length) if length else b""
        except OSError:
            raw = b""
        if len(raw) != length:
            environ["currantlead.cut"] = True  # type: ignore[index]
            raise _FaultError(verdict.Reason.MALFORMED, "body: is shorter than Content-Length")
        return raw

    def _serve(self, request: interfaces.CallerRequest) -> tuple[str, dict[str, Any], list[tuple[str, str]]]:
        reply = self._ask(request)
        headers = []
        if reply.session:
            headers.append(("Currantlead-Session", tokens.render(reply.session)))
        if isinstance(reply.outcome, result.Ok):
            return "200 OK", _answer(reply.outcome.ok_value, request), headers
        refusal = reply.outcome.err_value
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_s)))))
        if refusal.reason is verdict.Reason.UNKNOWN_KEY:
            headers.append(("WWW-Authenticate", "Bearer"))
        return _status(refusal), refusal_body(refusal, request.request), headers

    def _ask(self, request: interfaces.CallerRequest) -> interfaces.CallerReply:
        refusal = verdict.Refusal(verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN, "the proxy failed")
        try:
            reply = self._run(self._proxy.handle(request), self._timeout_s)
            if isinstance(reply.outcome, result.Err) or reply.outcome.ok_value.request == request.request:
                return reply
            _log.error("answer to request {} was dropped: it names another request", request.request)
        except (TimeoutError, concurrent.futures.TimeoutError):
            refusal = verdict.Refusal(
                verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, "no answer from the proxy in time"
            )
        except NotStartedError:
            refusal = verdict.Refusal(verdict.Reason.LEAVING, detail="the VM takes no requests", retry_after_s=1.0)
        except Exception as error:
            # Only the type: the text of an error may hold what the caller sent.
            _log.error("request {} failed in the proxy: {}", request.request, type(error).__name__)
        return interfaces.CallerReply(result.Err(refusal), request.session)


def _route(environ: Mapping[str, Any]) -> _Route:
    parts = (environ.get("SCRIPT_NAME", "") + environ.get("PATH_INFO", "")).split("/")
    route = _match(parts)
    if route is None:
        raise _FaultError(verdict.Reason.MALFORMED, "path: no such route", status="404 Not Found")
    if environ["REQUEST_METHOD"] != route.method:
        raise _FaultError(
            verdict.Reason.MALFORMED,
            f"method: this route takes {route.method}",
            status="405 Method Not Allowed",
            headers=(("Allow", route.method),),
        )
    pattern = _TRANSACTION if parts[2] == "transactions" else _NAME
    if not pattern.fullmatch(route.name):
        raise _FaultError(verdict.Reason.MALFORMED, f"path: the name after {parts[2]!r} is malformed")
    return route


def _match(parts: list[str]) -> _Route | None:
    match parts:
        case ["", "v1", "databases", name, "statements"]:
            return _Route(interfaces.Action.STATEMENT, name)
        case ["", "v1", "databases", name, "transactions"]:
            return _Route(interfaces.Action.BEGIN, name)
        case ["", "v1", "transactions", name, "statements"]:
            return _Route(interfaces.Action.TRANSACT, name)
        case ["", "v1", "transactions", name, "commit"]:
            return _Route(interfaces.Action.COMMIT, name)
        case ["", "v1", "transactions", name, "rollback"]:
            return _Route(interfaces.Action.ROLLBACK, name)
        case ["", "v1", "open", name]:
            return _Route(interfaces.Action.OPEN, name, "GET")
    return None


def _key(environ: Mapping[str, Any]) -> str:
    header = environ.get("HTTP_AUTHORIZATION")
    if header is None:
        raise _FaultError(
            verdict.Reason.UNKNOWN_KEY, "Authorization: is missing", headers=(("WWW-Authenticate", "Bearer"),)
        )
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not _KEY.fullmatch(key):
        raise _FaultError(verdict.Reason.MALFORMED, "Authorization: is not 'Bearer KEY'")
    return key


def _idempotency_key(environ: Mapping[str, Any], action: interfaces.Action) -> str | None:
    text = environ.get("HTTP_IDEMPOTENCY_KEY")
    if text is None:
        return None
    if action is not interfaces.Action.STATEMENT:
        raise _FaultError(verdict.Reason.MALFORMED, "Idempotency-Key: applies only to statements outside transactions")
    if not _IDEMPOTENCY_KEY.fullmatch(text):
        raise _FaultError(verdict.Reason.MALFORMED, "Idempotency-Key: is not 1 to 200 visible ASCII characters")
    return text


def _build(
    route: _Route,
    number: str,
    key: str | None,
    session: Mapping[str, messages.Position],
    idempotency_key: str | None,
    statement: models.StatementBody | None,
) -> interfaces.CallerRequest:
    on_database = route.action in (interfaces.Action.STATEMENT, interfaces.Action.BEGIN)
    is_open = route.action is interfaces.Action.OPEN
    age = None if statement is None else statement.max_age_ms
    return interfaces.CallerRequest(
        request=number,
        action=route.action,
        key_digest=None if key is None else hashlib.sha256(key.encode("ascii")).hexdigest(),
        session=session,
        database=route.name if on_database else "",
        transaction="" if on_database or is_open else route.name,
        route=route.name if is_open else "",
        idempotency_key=idempotency_key,
        sql="" if statement is None else statement.sql,
        params=() if statement is None else tuple(statement.params),
        write=statement is not None and statement.access == "write",
        max_age_s=None if age is None else age / 1000,
    )


def _refuse_misplaced_key(key: str, request: interfaces.CallerRequest) -> None:
    fields = {
        "Currantlead-Session": request.session,
        "path": (request.database, request.transaction),
        "sql": (request.sql,),
        "params": [value for value in request.params if isinstance(value, str)],
        "Idempotency-Key": (request.idempotency_key or "",),
    }
    for field, values in fields.items():
        for value in values:
            if value == key or (len(key) >= SHORTEST_SEARCHED_KEY and key in value):
                raise _FaultError(verdict.Reason.MALFORMED, f"{field}: holds the caller's key")


def _status(refusal: verdict.Refusal) -> str:
    if refusal.verdict is verdict.Verdict.MAY_HAVE_RUN:
        return "504 Gateway Timeout"
    return _STATUS.get(refusal.reason, "503 Service Unavailable")


def refusal_body(refusal: verdict.Refusal, number: str) -> dict[str, Any]:
    """Return the body of a refusal."""
    return {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "request": number,
    }


def _answer(answer: messages.Answer, request: interfaces.CallerRequest) -> dict[str, Any]:
    done = verdict.Verdict.COMPLETED.value
    if request.action is interfaces.Action.BEGIN:
        return {"verdict": done, "transaction": answer.transaction, "request": request.request}
    return {
        "verdict": done,
        "columns": answer.columns,
        "rows": answer.rows,
        "changed": answer.changed,
        "request": request.request,
    }
