"""HTTP client of an endpoint instance, with a typed verdict for each outcome.

A database connection corresponds to one TCP connection. It is never reopened and no request is retried: after a request
whose outcome is in doubt the connection is closed, which rolls back its transaction.
"""

import asyncio
import dataclasses
import json
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any

import aiohttp
import result
from aiohttp import http_exceptions, streams

from currantlead import verdict
from currantlead.control import model

REQUEST_ID = "X-Request-Id"
# Statements bypass the connector, so it must never consider the connection idle.
_KEEPALIVE_S = 10 * 365 * 86400.0
_REFUSAL_REASONS = {
    (409, "stale_term"): verdict.Reason.STALE_TERM,
    (409, "not_primary"): verdict.Reason.NOT_PRIMARY,
    (409, "unknown_connection"): verdict.Reason.NO_CONNECTION,
    (412, "behind"): verdict.Reason.BEHIND,
    (422, "sql_error"): verdict.Reason.SQL_ERROR,
    (503, "leaving"): verdict.Reason.LEAVING,
    (503, "busy"): verdict.Reason.NO_CONNECTION,
    (503, "too_many_connections"): verdict.Reason.NO_CONNECTION,
}
_RETRY_AFTER_S = {verdict.Reason.BEHIND: 0.05, verdict.Reason.NO_CONNECTION: 0.1, verdict.Reason.STALE_TERM: 0.2}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete response of an instance to a statement, begin, commit or rollback.

    Attributes:
        term: Term in which the request ran.
        index: Log index at which it ran.
        columns: Column names.
        rows: Rows of the result.
        changed: Number of changed rows.
    """

    term: int
    index: int
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    changed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """A response to ``/status``, ``/positions`` or ``/term``.

    Attributes:
        instance: Name of the instance.
        role: ``primary`` or ``replica``.
        term: Current term of the instance.
        index: Index of the last applied log record.
        received_index: Index of the last received log record.
        applied_time: Time on the primary's clock up to which all records are applied.
        now: Clock reading of the instance.
        primary_contact_age: Seconds since a replica last heard from its primary, or None if it never did.
        connections: Number of open database connections.
        leaving: Whether the instance refuses new work.
        received_term: Term of the last received record, or None if the instance does not report it.
        asked_at: Local clock reading before the request was sent.
    """

    instance: str
    role: str
    term: int
    index: int
    received_index: int
    applied_time: float
    now: float
    primary_contact_age: float | None
    connections: int
    leaving: bool
    received_term: int | None
    asked_at: float


class _SingleConnector(aiohttp.TCPConnector):
    """Open at most one TCP connection, because a second one would be a different database connection."""

    def __init__(self) -> None:
        super().__init__(limit=1, keepalive_timeout=_KEEPALIVE_S)
        self.protocol: Any = None

    async def _create_connection(self, *args: Any) -> Any:
        if self.protocol is not None:
            raise aiohttp.ClientConnectionError("the connection was closed")
        self.protocol = await super()._create_connection(*args)
        return self.protocol

    def is_reusable(self) -> bool:
        """Return whether a request can be sent; unread bytes would be mistaken for its response."""
        return self.protocol is not None and self.protocol.is_connected() and not self.protocol.should_close

    def abort_connection(self) -> None:
        """Abort the connection without waiting for the transport."""
        if self.protocol is not None:
            self.protocol.abort()
        self._close(abort_ssl=True)


class Connection:
    """A database connection, which runs one request at a time."""

    def __init__(
        self,
        url: str,
        connector: _SingleConnector,
        session: aiohttp.ClientSession,
        number: str,
        headers: Mapping[str, str],
    ):
        self.number = number
        self.closed = False
        self._request_heads = {
            route: _format_request_head(url, route, headers) for route in ("execute", "begin", "commit", "rollback")
        }
        self._connector = connector
        self._session = session
        self._request_active = False

    @property
    def usable(self) -> bool:
        """Return whether the connection is open and no request is in progress."""
        return not self.closed and not self._request_active and self._connector.is_reusable()

    async def execute(
        self,
        request: str,
        *,
        term: int,
        sql: str,
        params: tuple[Any, ...],
        write: bool,
        organisation: str,
        timeout_s: float,
        min_index: int | None = None,
        min_time: float | None = None,
    ) -> result.Result[Reply, verdict.Refusal]:
        """Run one statement and return its complete response or a refusal."""
        body = {"connection": self.number, "term": term, "sql": sql, "params": params, "organisation": organisation}
        body["access"] = "write" if write else "read"
        if min_index is not None:
            body["min_index"] = min_index
        if min_time is not None:
            body["min_time"] = min_time
        return await self._send("execute", request, body, timeout_s)

    async def control_transaction(
        self, route: str, request: str, *, term: int, timeout_s: float
    ) -> result.Result[Reply, verdict.Refusal]:
        """Send ``begin``, ``commit`` or ``rollback``, as given by ``route``."""
        return await self._send(route, request, {"connection": self.number, "term": term}, timeout_s)

    def close(self) -> None:
        """Close the TCP connection, which makes the instance roll back the open transaction."""
        if self.closed:
            return
        self.closed = True
        self._connector.abort_connection()
        self._session.detach()

    async def _send(
        self, route: str, request: str, body: dict[str, Any], timeout_s: float
    ) -> result.Result[Reply, verdict.Refusal]:
        if not self.usable:
            self.close()
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN, "the connection was closed")
        if not (request.isascii() and request.isprintable()):
            # A line break would end the header that carries the id.
            return _refuse(
                verdict.Reason.MALFORMED,
                verdict.Verdict.NOT_RUN,
                "the request id contains characters other than printable ASCII",
            )
        self._request_active = True
        complete = False
        try:
            # A single timer for the whole exchange is cheaper than aiohttp's own timeouts.
            async with asyncio.timeout(timeout_s):
                outcome = await self._exchange(self._request_heads[route], request, body)
            complete = outcome.is_ok() or outcome.err_value.verdict is verdict.Verdict.NOT_RUN
            return outcome
        except TimeoutError:
            return _refuse(
                verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, "the instance did not respond before the timeout"
            )
        except (aiohttp.ClientError, http_exceptions.HttpProcessingError, streams.EofStream, OSError) as error:
            detail = f"the response was lost: {type(error).__name__}"
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.MAY_HAVE_RUN, detail)
        finally:
            self._request_active = False
            if not complete:
                self.close()

    async def _exchange(self, head: str, request: str, body: dict[str, Any]) -> result.Result[Reply, verdict.Refusal]:
        """Send a request directly on the connection's protocol.

        ``aiohttp.ClientSession`` creates request, response and trace objects and handles redirects and cookies, none of
        which statements need; this took more time than all other work of the holder.
        """
        request_body = json.dumps(body, separators=(",", ":")).encode()
        protocol = self._connector.protocol
        protocol.set_response_params(read_until_eof=True)
        protocol.transport.write(
            f"{head}{REQUEST_ID}: {request}\r\nContent-Length: {len(request_body)}\r\n\r\n".encode() + request_body
        )
        message, payload = await protocol.read()
        while 100 <= message.code < 200:
            message, payload = await protocol.read()
        response_body = await payload.read()
        if message.headers.get(REQUEST_ID, request) != request:
            return _refuse(
                verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN, "the response belongs to another request"
            )
        return _parse_response(message.code, response_body)


def _format_request_head(url: str, route: str, headers: Mapping[str, str]) -> str:
    """Return the request line and the headers that are the same for all requests to a route."""
    address = urllib.parse.urlsplit(f"{url}/{route}")
    header_fields = {"Host": address.netloc, "Content-Type": "application/json", **headers}
    if any(not (value.isascii() and value.isprintable()) for value in header_fields.values()):
        raise ValueError("a request header contains characters other than printable ASCII")
    lines = [f"POST {address.path} HTTP/1.1", *(f"{name}: {value}" for name, value in header_fields.items())]
    return "".join(f"{line}\r\n" for line in lines)


class Endpoint:
    """Client of one instance: opens database connections and sends status and term requests."""

    def __init__(self, name: str, url: str, *, sender: str = ""):
        self.name = name
        self.url = url.rstrip("/")
        self._headers = {"X-Peer": sender} if sender else {}
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_instance(cls, instance: model.Instance, *, sender: str = "") -> "Endpoint":
        """Create the client of an instance in a group record."""
        return cls(instance.name, instance.url, sender=sender)

    async def open(self, *, timeout_s: float) -> result.Result[Connection, verdict.Refusal]:
        """Open a database connection; the verdict of a refusal is always ``NOT_RUN``, as no statement was sent."""
        connector = _SingleConnector()
        session = self._create_session(connector)
        try:
            async with asyncio.timeout(timeout_s), session.post(f"{self.url}/connect", json={}) as response:
                body = json.loads(await response.read())
            if response.status == 200 and isinstance(body.get("connection"), str):
                return result.Ok(Connection(self.url, connector, session, body["connection"], self._headers))
            reason = _REFUSAL_REASONS.get((response.status, body.get("error")), verdict.Reason.NO_CONNECTION)
            detail = f"the instance refused a connection: {body.get('error')}"
        except (aiohttp.ClientError, OSError, ValueError, AttributeError) as error:
            reason, detail = verdict.Reason.UNREACHABLE, f"could not connect: {type(error).__name__}"
        except BaseException:
            await session.close()
            raise
        await session.close()
        return _refuse(reason, verdict.Verdict.NOT_RUN, detail)

    async def status(self, *, timeout_s: float) -> result.Result[Status, verdict.Refusal]:
        """Request the role, term and position of the instance."""
        return await self._request_status("GET", "/status", None, timeout_s)

    async def positions(
        self, *, term: int, beyond: int, wait_s: float, timeout_s: float
    ) -> result.Result[Status, verdict.Refusal]:
        """Wait up to ``wait_s`` until the instance has received a record after index ``beyond``."""
        path = f"/positions?term={term}&beyond={beyond}&timeout_s={wait_s}"
        return await self._request_status("GET", path, None, timeout_s)

    async def set_term(
        self,
        *,
        term: int,
        role: str,
        primary: str,
        primary_url: str,
        start_index: int | None,
        peers: list[dict[str, str]],
        timeout_s: float,
    ) -> result.Result[Status, verdict.Refusal]:
        """Set the term and role of the instance; ``STALE_TERM`` means that it already has a higher term."""
        body = {"term": term, "role": role, "primary": primary, "primary_url": primary_url}
        return await self._request_status(
            "POST", "/term", {**body, "start_index": start_index, "peers": peers}, timeout_s
        )

    async def close(self) -> None:
        """Close the connection for status requests; database connections are closed by their owners."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _create_session(self, connector: aiohttp.TCPConnector | None) -> aiohttp.ClientSession:
        # Disables cookies, timers and headers that no instance uses, because they cost time.
        return aiohttp.ClientSession(
            connector=connector,
            headers=self._headers,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def _request_status(
        self, method: str, path: str, body: dict[str, Any] | None, timeout_s: float
    ) -> result.Result[Status, verdict.Refusal]:
        if self._session is None:
            self._session = self._create_session(None)
        asked_at = time.monotonic()
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, f"{self.url}{path}", json=body) as response,
            ):
                data = json.loads(await response.read())
            if response.status == 200:
                return result.Ok(_parse_status(data, asked_at))
            reason = _REFUSAL_REASONS.get((response.status, data.get("error")), verdict.Reason.INTERNAL)
            return _refuse(reason, verdict.Verdict.NOT_RUN, f"the instance refused the request: {data.get('error')}")
        except TimeoutError:
            return _refuse(
                verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, "the instance did not respond before the timeout"
            )
        except aiohttp.ClientConnectorError as error:
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN, type(error).__name__)
        except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.MAY_HAVE_RUN, type(error).__name__)


def _refuse(reason: verdict.Reason, verdict_: verdict.Verdict, detail: str) -> result.Err[verdict.Refusal]:
    return result.Err(verdict.Refusal(reason, verdict_, detail, _RETRY_AFTER_S.get(reason)))


def _parse_response(status: int, data: bytes) -> result.Result[Reply, verdict.Refusal]:
    try:
        body = json.loads(data)
        if status == 200:
            return result.Ok(_parse_reply(body))
        reason = _REFUSAL_REASONS[(status, body["error"])]
    except (ValueError, KeyError, TypeError):
        detail = f"the instance sent an invalid response with status {status}"
        return _refuse(verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN, detail)
    detail = str(body.get("detail") or body["error"])
    refusal = verdict.Refusal(reason, verdict.Verdict.NOT_RUN, detail, _RETRY_AFTER_S.get(reason), body.get("index"))
    return result.Err(refusal)


def _parse_reply(body: dict[str, Any]) -> Reply:
    term, index = body["term"], body["index"]
    if type(term) is not int or type(index) is not int:
        raise TypeError("term and index must be integers")
    if "rows" not in body:
        return Reply(term, index)
    return Reply(term, index, tuple(body["columns"]), tuple(map(tuple, body["rows"])), int(body["changed"]))


def _parse_status(data: dict[str, Any], asked_at: float) -> Status:
    return Status(
        instance=data["instance"],
        role=data["role"],
        term=int(data["term"]),
        index=int(data["index"]),
        received_index=int(data["received_index"]),
        applied_time=float(data["applied_time"]),
        now=float(data["now"]),
        primary_contact_age=data["primary_contact_age"],
        connections=int(data["connections"]),
        leaving=bool(data["leaving"]),
        received_term=data.get("received_term"),
        asked_at=asked_at,
    )
