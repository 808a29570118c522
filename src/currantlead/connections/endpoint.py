"""HTTP client of one endpoint instance, with a typed verdict for each outcome.

A database connection is one TCP connection. It is never opened again and nothing is sent twice: after any doubt the
connection is closed, which rolls its transaction back.
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
# The connector does not see the statements, so it must never take the connection for idle.
_KEEP_S = 10 * 365 * 86400.0
_NOT_RUN = {
    (409, "stale_term"): verdict.Reason.STALE_TERM,
    (409, "not_primary"): verdict.Reason.NOT_PRIMARY,
    (409, "unknown_connection"): verdict.Reason.NO_CONNECTION,
    (412, "behind"): verdict.Reason.BEHIND,
    (422, "sql_error"): verdict.Reason.SQL_ERROR,
    (503, "leaving"): verdict.Reason.LEAVING,
    (503, "busy"): verdict.Reason.NO_CONNECTION,
    (503, "too_many_connections"): verdict.Reason.NO_CONNECTION,
}
_RETRY_S = {verdict.Reason.BEHIND: 0.05, verdict.Reason.NO_CONNECTION: 0.1, verdict.Reason.STALE_TERM: 0.2}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold a complete answer of an instance to a statement, begin, commit or rollback."""

    term: int
    index: int
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    changed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Hold an answer to ``/status``, ``/positions`` or ``/term``.

    Attributes:
        instance: Name of the instance.
        role: ``primary`` or ``replica``.
        term: Its current term.
        index: Last applied log index.
        received_index: Last received log index.
        applied_time: Time on the primary's clock up to which all records are applied.
        now: The instance's own clock.
        primary_contact_age: Seconds since a replica heard its primary, or None if it never did.
        connections: Open database connections.
        leaving: Whether the instance refuses new work.
        received_term: Term of the last received record, or None if the instance does not tell.
        asked_at: Local clock reading before the question was sent.
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
    """Open one TCP connection at most, because a second one would be another database connection."""

    def __init__(self) -> None:
        super().__init__(limit=1, keepalive_timeout=_KEEP_S)
        self.protocol: Any = None

    async def _create_connection(self, *args: Any) -> Any:
        if self.protocol is not None:
            raise aiohttp.ClientConnectionError("the connection was closed")
        self.protocol = await super()._create_connection(*args)
        return self.protocol

    def fresh(self) -> bool:
        """Tell whether a request can be sent now; unread bytes would be taken for its answer."""
        return self.protocol is not None and self.protocol.is_connected() and not self.protocol.should_close

    def drop(self) -> None:
        """Close at once, without waiting for the transport."""
        if self.protocol is not None:
            self.protocol.abort()
        self._close(abort_ssl=True)


class Connection:
    """Run statements on one database connection, one at a time."""

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
        self._heads = {route: _render_head(url, route, headers) for route in ("execute", "begin", "commit", "rollback")}
        self._connector = connector
        self._session = session
        self._busy = False

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and has no request under way."""
        return not self.closed and not self._busy and self._connector.fresh()

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
        """Run one statement and return its complete answer or a refusal."""
        body = {"connection": self.number, "term": term, "sql": sql, "params": params, "organisation": organisation}
        body["access"] = "write" if write else "read"
        if min_index is not None:
            body["min_index"] = min_index
        if min_time is not None:
            body["min_time"] = min_time
        return await self._send("execute", request, body, timeout_s)

    async def control(
        self, route: str, request: str, *, term: int, timeout_s: float
    ) -> result.Result[Reply, verdict.Refusal]:
        """Send ``begin``, ``commit`` or ``rollback``."""
        return await self._send(route, request, {"connection": self.number, "term": term}, timeout_s)

    def close(self) -> None:
        """Close the TCP connection now, which rolls back on the instance."""
        if self.closed:
            return
        self.closed = True
        self._connector.drop()
        self._session.detach()

    async def _send(
        self, route: str, request: str, body: dict[str, Any], timeout_s: float
    ) -> result.Result[Reply, verdict.Refusal]:
        if not self.usable:
            self.close()
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN, "the connection was closed")
        if not (request.isascii() and request.isprintable()):
            # It would end the header that carries it.
            return _refuse(verdict.Reason.MALFORMED, verdict.Verdict.NOT_RUN, "the request id is not printable ASCII")
        self._busy = True
        complete = False
        try:
            # One timer for the whole exchange costs less than aiohttp's own timeouts.
            async with asyncio.timeout(timeout_s):
                outcome = await self._exchange(self._heads[route], request, body)
            complete = outcome.is_ok() or outcome.err_value.verdict is verdict.Verdict.NOT_RUN
            return outcome
        except TimeoutError:
            return _refuse(verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, "the instance did not answer in time")
        except (aiohttp.ClientError, http_exceptions.HttpProcessingError, streams.EofStream, OSError) as error:
            detail = f"the answer was lost: {type(error).__name__}"
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.MAY_HAVE_RUN, detail)
        finally:
            self._busy = False
            if not complete:
                self.close()

    async def _exchange(self, head: str, request: str, body: dict[str, Any]) -> result.Result[Reply, verdict.Refusal]:
        """Send on the connection's own protocol.

        aiohttp's session builds a request, a response and a trace for each call and handles redirects and cookies, none
        of which a statement uses; that took more time than the rest of the holder's work.
        """
        data = json.dumps(body, separators=(",", ":")).encode()
        protocol = self._connector.protocol
        protocol.set_response_params(read_until_eof=True)
        protocol.transport.write(
            f"{head}{REQUEST_ID}: {request}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        )
        message, payload = await protocol.read()
        while 100 <= message.code < 200:
            message, payload = await protocol.read()
        raw = await payload.read()
        if message.headers.get(REQUEST_ID, request) != request:
            return _refuse(verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN, "the answer is of another request")
        return _read_answer(message.code, raw)


def _render_head(url: str, route: str, headers: Mapping[str, str]) -> str:
    """Return the request line and the headers that are the same for each statement."""
    address = urllib.parse.urlsplit(f"{url}/{route}")
    fields = {"Host": address.netloc, "Content-Type": "application/json", **headers}
    if any(not (text.isascii() and text.isprintable()) for text in fields.values()):
        raise ValueError("a header of the instance's requests is not printable ASCII")
    lines = [f"POST {address.path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
    return "".join(f"{line}\r\n" for line in lines)


class Endpoint:
    """Open connections to one instance and ask for its state."""

    def __init__(self, name: str, url: str, *, sender: str = ""):
        self.name = name
        self.url = url.rstrip("/")
        self._headers = {"X-Peer": sender} if sender else {}
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_instance(cls, instance: model.Instance, *, sender: str = "") -> "Endpoint":
        """Build the client of an instance of a group record."""
        return cls(instance.name, instance.url, sender=sender)

    async def open(self, *, timeout_s: float) -> result.Result[Connection, verdict.Refusal]:
        """Open one database connection; a refusal is always NOT_RUN, because no statement was sent."""
        connector = _SingleConnector()
        session = self._create_session(connector)
        try:
            async with asyncio.timeout(timeout_s), session.post(f"{self.url}/connect", json={}) as answer:
                body = json.loads(await answer.read())
            if answer.status == 200 and isinstance(body.get("connection"), str):
                return result.Ok(Connection(self.url, connector, session, body["connection"], self._headers))
            reason = _NOT_RUN.get((answer.status, body.get("error")), verdict.Reason.NO_CONNECTION)
            detail = f"the instance refused a connection: {body.get('error')}"
        except (aiohttp.ClientError, OSError, ValueError, AttributeError) as error:
            reason, detail = verdict.Reason.UNREACHABLE, f"no connection: {type(error).__name__}"
        except BaseException:
            await session.close()
            raise
        await session.close()
        return _refuse(reason, verdict.Verdict.NOT_RUN, detail)

    async def status(self, *, timeout_s: float) -> result.Result[Status, verdict.Refusal]:
        """Ask for role, term and position."""
        return await self._ask("GET", "/status", None, timeout_s)

    async def positions(
        self, *, term: int, beyond: int, wait_s: float, timeout_s: float
    ) -> result.Result[Status, verdict.Refusal]:
        """Wait up to ``wait_s`` until the instance has received a record beyond an index."""
        path = f"/positions?term={term}&beyond={beyond}&timeout_s={wait_s}"
        return await self._ask("GET", path, None, timeout_s)

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
        """Order a term and a role; a refusal with ``STALE_TERM`` means that the instance knows a higher term."""
        body = {"term": term, "role": role, "primary": primary, "primary_url": primary_url}
        return await self._ask("POST", "/term", {**body, "start_index": start_index, "peers": peers}, timeout_s)

    async def close(self) -> None:
        """Close the connection that is used for questions; database connections are closed by their owner."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _create_session(self, connector: aiohttp.TCPConnector | None) -> aiohttp.ClientSession:
        # Cookies, timers and headers that no instance reads would cost time for each statement.
        return aiohttp.ClientSession(
            connector=connector,
            headers=self._headers,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def _ask(
        self, method: str, path: str, body: dict[str, Any] | None, timeout_s: float
    ) -> result.Result[Status, verdict.Refusal]:
        if self._session is None:
            self._session = self._create_session(None)
        asked_at = time.monotonic()
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, f"{self.url}{path}", json=body) as answer,
            ):
                raw = json.loads(await answer.read())
            if answer.status == 200:
                return result.Ok(_read_status(raw, asked_at))
            reason = _NOT_RUN.get((answer.status, raw.get("error")), verdict.Reason.INTERNAL)
            return _refuse(reason, verdict.Verdict.NOT_RUN, f"the instance refused: {raw.get('error')}")
        except TimeoutError:
            return _refuse(verdict.Reason.TIMEOUT, verdict.Verdict.MAY_HAVE_RUN, "the instance did not answer in time")
        except aiohttp.ClientConnectorError as error:
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.NOT_RUN, type(error).__name__)
        except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            return _refuse(verdict.Reason.UNREACHABLE, verdict.Verdict.MAY_HAVE_RUN, type(error).__name__)


def _refuse(reason: verdict.Reason, ran: verdict.Verdict, detail: str) -> result.Err[verdict.Refusal]:
    return result.Err(verdict.Refusal(reason, ran, detail, _RETRY_S.get(reason)))


def _read_answer(status: int, raw: bytes) -> result.Result[Reply, verdict.Refusal]:
    try:
        body = json.loads(raw)
        if status == 200:
            return result.Ok(_read_reply(body))
        reason = _NOT_RUN[(status, body["error"])]
    except (ValueError, KeyError, TypeError):
        detail = f"the instance gave an unknown answer with status {status}"
        return _refuse(verdict.Reason.INTERNAL, verdict.Verdict.MAY_HAVE_RUN, detail)
    detail = str(body.get("detail") or body["error"])
    refusal = verdict.Refusal(reason, verdict.Verdict.NOT_RUN, detail, _RETRY_S.get(reason), body.get("index"))
    return result.Err(refusal)


def _read_reply(body: dict[str, Any]) -> Reply:
    term, index = body["term"], body["index"]
    if type(term) is not int or type(index) is not int:
        raise TypeError("position")
    if "rows" not in body:
        return Reply(term, index)
    return Reply(term, index, tuple(body["columns"]), tuple(map(tuple, body["rows"])), int(body["changed"]))


def _read_status(raw: dict[str, Any], asked_at: float) -> Status:
    return Status(
        instance=raw["instance"],
        role=raw["role"],
        term=int(raw["term"]),
        index=int(raw["index"]),
        received_index=int(raw["received_index"]),
        applied_time=float(raw["applied_time"]),
        now=float(raw["now"]),
        primary_contact_age=raw["primary_contact_age"],
        connections=int(raw["connections"]),
        leaving=bool(raw["leaving"]),
        received_term=raw.get("received_term"),
        asked_at=asked_at,
    )
