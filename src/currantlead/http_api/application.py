"""WSGI application for the HTTP API of callers."""

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

from currantlead import errors, interfaces, logs, messages, session_tokens, verdict
from currantlead.http_api import models

CoroutineRunner = Callable[[Coroutine[Any, Any, Any], float], Any]
"""Runs a coroutine on the event loop with a timeout in seconds and returns its result.

Raises ``TimeoutError`` if the coroutine does not finish in time, and ``NotStartedError`` if it was never started.
"""
RequestObserver = Callable[[str, int, float], None]
"""Receives the action, the status code and the duration in seconds of each finished request."""

MAX_BODY_BYTES = 1_048_576
"""Maximum size of a request body; a statement with its parameters must fit into a 4 MiB peer frame."""
MIN_SUBSTRING_KEY_LENGTH = 8
"""Keys shorter than this are only compared with whole values: as substrings they occur in ordinary text by chance."""

_log = logs.part("border")
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_TRANSACTION_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~-]{1,200}")
_API_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,512}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
_STATUS_BY_REASON = {
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
    """Raised if the event loop never started a coroutine, so nothing was executed."""


class _RequestError(Exception):
    """Raised if a request is rejected before it reaches the proxy."""

    def __init__(self, reason: verdict.Reason, detail: str, *, status: str = "", headers: tuple[Any, ...] = ()):
        super().__init__(detail)
        self.refusal = verdict.Refusal(reason, detail=detail)
        self.status = status or _STATUS_BY_REASON[reason]
        self.headers = headers


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    action: interfaces.Action
    name: str
    method: str = "POST"


class Application:
    """WSGI application that passes requests from CherryPy's worker threads to the proxy on the event loop."""

    def __init__(
        self,
        proxy: interfaces.Proxy,
        run: CoroutineRunner,
        *,
        timeout_s: float = 30.0,
        leaving: Callable[[], bool] = lambda: False,
        observe: RequestObserver = lambda action, status, seconds: None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        """Create the application.

        Args:
            proxy: Handles validated requests.
            run: Runs a coroutine on the event loop and waits for its result.
            timeout_s: Maximum time that the proxy may take for one request.
            leaving: Returns whether the VM is shutting down; responses then close their connections.
            observe: Called after each request.
            max_body_bytes: Maximum size of a request body.
        """
        self._proxy = proxy
        self._run = run
        self._timeout_s = timeout_s
        self._leaving = leaving
        self._observe = observe
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: Mapping[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Handle one WSGI request."""
        started = time.perf_counter()
        request_id = os.urandom(12).hex()
        action = "none"
        headers: list[tuple[str, str]] = []
        try:
            route = _resolve_route(environ)
            action = route.action.value
            request = self._parse_request(environ, route, request_id)
            status, payload, headers = self._handle(request)
        except _RequestError as error:
            status, payload = error.status, refusal_body(error.refusal, request_id)
            headers = list(error.headers)
        body = pydantic_core.to_json(payload)
        if self._must_close_connection(environ):
            headers.append(("Connection", "close"))
        headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        self._observe(action, int(status[:3]), time.perf_counter() - started)
        # The client would read a body after a HEAD response as the start of the next response.
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]

    def _must_close_connection(self, environ: Mapping[str, Any]) -> bool:
        # An unread chunked body would be parsed as the next request on the connection.
        unread = bool(environ.get("HTTP_TRANSFER_ENCODING"))
        return unread or environ["REQUEST_METHOD"] == "HEAD" or environ.get("currantlead.cut", False) or self._leaving()

    def _parse_request(self, environ: Mapping[str, Any], route: _Route, request_id: str) -> interfaces.CallerRequest:
        key = None if route.action is interfaces.Action.OPEN else _parse_api_key(environ)
        try:
            session = session_tokens.parse(environ.get("HTTP_CURRANTLEAD_SESSION"))
        except errors.MalformedTokenError:
            # The parser's message may quote part of the token, which may be a misplaced key.
            raise _RequestError(
                verdict.Reason.MALFORMED, "Currantlead-Session: must have the form v1:DATABASE.TERM.INDEX[,...]"
            ) from None
        idempotency_key = _parse_idempotency_key(environ, route.action)
        statement = self._parse_body(environ, route.action)
        request = _build_request(route, request_id, key, session, idempotency_key, statement)
        if key is not None:
            _reject_misplaced_key(key, request)
        return request

    def _parse_body(self, environ: Mapping[str, Any], action: interfaces.Action) -> models.StatementBody | None:
        raw = self._read_body(environ)
        expects_statement = action in (interfaces.Action.STATEMENT, interfaces.Action.TRANSACT)
        try:
            if expects_statement:
                return models.parse(models.StatementBody, raw)
            if raw:
                models.parse(models.EmptyBody, raw)
        except pydantic.ValidationError as error:
            raise _RequestError(verdict.Reason.MALFORMED, models.describe_validation_error(error)) from None
        return None

    def _read_body(self, environ: Mapping[str, Any]) -> bytes:
        if environ.get("HTTP_TRANSFER_ENCODING"):
            raise _RequestError(verdict.Reason.MALFORMED, "Transfer-Encoding: not supported; send Content-Length")
        text = environ.get("CONTENT_LENGTH") or "0"
        if not (text.isascii() and text.isdigit()):
            raise _RequestError(verdict.Reason.MALFORMED, "Content-Length: must be a decimal number")
        length = int(text)
        if length > self._max_body_bytes:
            raise _RequestError(verdict.Reason.TOO_LARGE, f"body: exceeds the limit of {self._max_body_bytes} bytes")
        try:
            raw = environ["wsgi.input"].read(length) if length else b""
        except OSError:
            raw = b""
        if len(raw) != length:
            environ["currantlead.cut"] = True  # type: ignore[index]
            raise _RequestError(verdict.Reason.MALFORMED, "body: shorter than Content-Length")
        return raw

    def _handle(self, request: interfaces.CallerRequest) -> tuple[str, dict[str, Any], list[tuple[str, str]]]:
        reply = self._call_proxy(request)
        headers = []
        if reply.session:
            headers.append(("Currantlead-Session", session_tokens.render(reply.session)))
        if isinstance(reply.outcome, result.Ok):
            return "200 OK", _success_body(reply.outcome.ok_value, request), headers
        refusal = reply.outcome.err_value
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_s)))))
        if refusal.reason is verdict.Reason.UNKNOWN_KEY:
            headers.append(("WWW-Authenticate", "Bearer"))
        return _status_line(refusal), refusal_body(refusal, request.request), headers

    def _call_proxy(self, request: interfaces.CallerRequest) -> interfaces.CallerReply:
        refusal = verdict.Refusal(verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN, "internal error in the proxy")
        try:
            reply = self._run(self._proxy.handle(request), self._timeout_s)
            if isinstance(reply.outcome, result.Err) or reply.outcome.ok_value.request == request.request:
                return reply
            _log.error("dropped the answer to request {}: it carries the id of another request", request.request)
        except (TimeoutError, concurrent.futures.TimeoutError):
            refusal = verdict.Refusal(
                verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, "the proxy did not answer in time"
            )
        except NotStartedError:
            refusal = verdict.Refusal(
                verdict.Reason.LEAVING, detail="the VM is shutting down and accepts no requests", retry_after_s=1.0
            )
        except Exception as error:
            # Logs only the type: the message of an exception may contain data that the caller sent.
            _log.error("request {} failed in the proxy: {}", request.request, type(error).__name__)
        return interfaces.CallerReply(result.Err(refusal), request.session)


def _resolve_route(environ: Mapping[str, Any]) -> _Route:
    parts = (environ.get("SCRIPT_NAME", "") + environ.get("PATH_INFO", "")).split("/")
    route = _match_path(parts)
    if route is None:
        raise _RequestError(verdict.Reason.MALFORMED, "path: unknown route", status="404 Not Found")
    if environ["REQUEST_METHOD"] != route.method:
        raise _RequestError(
            verdict.Reason.MALFORMED,
            f"method: this route accepts only {route.method}",
            status="405 Method Not Allowed",
            headers=(("Allow", route.method),),
        )
    pattern = _TRANSACTION_ID_PATTERN if parts[2] == "transactions" else _NAME_PATTERN
    if not pattern.fullmatch(route.name):
        raise _RequestError(verdict.Reason.MALFORMED, f"path: the name after {parts[2]!r} has an invalid format")
    return route


def _match_path(parts: list[str]) -> _Route | None:
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


def _parse_api_key(environ: Mapping[str, Any]) -> str:
    header = environ.get("HTTP_AUTHORIZATION")
    if header is None:
        raise _RequestError(
            verdict.Reason.UNKNOWN_KEY, "Authorization: header is missing", headers=(("WWW-Authenticate", "Bearer"),)
        )
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not _API_KEY_PATTERN.fullmatch(key):
        raise _RequestError(verdict.Reason.MALFORMED, "Authorization: must have the form 'Bearer KEY'")
    return key


def _parse_idempotency_key(environ: Mapping[str, Any], action: interfaces.Action) -> str | None:
    text = environ.get("HTTP_IDEMPOTENCY_KEY")
    if text is None:
        return None
    if action is not interfaces.Action.STATEMENT:
        raise _RequestError(
            verdict.Reason.MALFORMED, "Idempotency-Key: only allowed for statements outside transactions"
        )
    if not _IDEMPOTENCY_KEY_PATTERN.fullmatch(text):
        raise _RequestError(verdict.Reason.MALFORMED, "Idempotency-Key: must be 1 to 200 visible ASCII characters")
    return text


def _build_request(
    route: _Route,
    request_id: str,
    key: str | None,
    session: Mapping[str, messages.Position],
    idempotency_key: str | None,
    statement: models.StatementBody | None,
) -> interfaces.CallerRequest:
    targets_database = route.action in (interfaces.Action.STATEMENT, interfaces.Action.BEGIN)
    is_open = route.action is interfaces.Action.OPEN
    age = None if statement is None else statement.max_age_ms
    return interfaces.CallerRequest(
        request=request_id,
        action=route.action,
        key_digest=None if key is None else hashlib.sha256(key.encode("ascii")).hexdigest(),
        session=session,
        database=route.name if targets_database else "",
        transaction="" if targets_database or is_open else route.name,
        route=route.name if is_open else "",
        idempotency_key=idempotency_key,
        sql="" if statement is None else statement.sql,
        params=() if statement is None else tuple(statement.params),
        write=statement is not None and statement.access == "write",
        max_age_s=None if age is None else age / 1000,
    )


def _reject_misplaced_key(key: str, request: interfaces.CallerRequest) -> None:
    fields = {
        "Currantlead-Session": request.session,
        "path": (request.database, request.transaction),
        "sql": (request.sql,),
        "params": [value for value in request.params if isinstance(value, str)],
        "Idempotency-Key": (request.idempotency_key or "",),
    }
    for field, values in fields.items():
        for value in values:
            if value == key or (len(key) >= MIN_SUBSTRING_KEY_LENGTH and key in value):
                raise _RequestError(verdict.Reason.MALFORMED, f"{field}: contains the caller's key")


def _status_line(refusal: verdict.Refusal) -> str:
    if refusal.verdict is verdict.Verdict.MAY_HAVE_RUN:
        return "504 Gateway Timeout"
    return _STATUS_BY_REASON.get(refusal.reason, "503 Service Unavailable")


def refusal_body(refusal: verdict.Refusal, request_id: str) -> dict[str, Any]:
    """Return the response body for a rejected request."""
    return {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "request": request_id,
    }


def _success_body(answer: messages.Answer, request: interfaces.CallerRequest) -> dict[str, Any]:
    completed = verdict.Verdict.COMPLETED.value
    if request.action is interfaces.Action.BEGIN:
        return {"verdict": completed, "transaction": answer.transaction, "request": request.request}
    return {
        "verdict": completed,
        "columns": answer.columns,
        "rows": answer.rows,
        "changed": answer.changed,
        "request": request.request,
    }
