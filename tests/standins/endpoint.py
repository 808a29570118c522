"""Stand-in for an endpoint instance: SQL on sqlite, terms, and asynchronous replication.

A response carries the ``X-Request-Id`` of its request. Requests between instances name the sender in ``X-Peer``.
``cut_from`` simulates a network partition: requests from the peers that it names are held until the partition ends
or the connection closes; ``*`` holds every request except ``/control``.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import sqlite3
import time
from typing import Any

import aiohttp
from aiohttp import web, web_protocol

from tests.standins import controls, database, replication

# A statement that waits longer for the write lock or a slot is refused as ``busy`` before it runs, so that its client
# can yield to other work.
LOCK_TIMEOUT_S = 0.1


class _Protocol(web_protocol.RequestHandler):
    """HTTP protocol that calls ``on_lost`` when its TCP connection is closed."""

    __slots__ = ("on_lost",)

    def connection_lost(self, exc: BaseException | None) -> None:
        on_lost = getattr(self, "on_lost", None)
        super().connection_lost(exc)
        if on_lost is not None:
            on_lost()


class _Server(web.Server):
    def __call__(self) -> _Protocol:
        return _Protocol(self, loop=self._loop, **self._kwargs)


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    number: str
    protocol: _Protocol
    session: database.Session
    holds_write_lock: bool = False


class Instance:
    """HTTP server of one endpoint instance."""

    def __init__(self, name: str, group: str, *, data: str | None = None, print_requests: bool = False, **limits: Any):
        self.name, self.group = name, group
        self._print_requests = print_requests
        self.controls = controls.Controls(**limits)
        self.replica = replication.Replica(name, database.Log(data), self.controls, self._reset_sessions)
        self.counts = {"statements": 0, "most_running": 0, "most_connections": 0}
        self._connections: dict[str, _Connection] = {}
        self._connections_opening = 0
        self._running_statements = 0
        self._connection_count = 0
        self._write_lock = asyncio.Lock()
        self._slot_freed = asyncio.Event()
        self._routes = {
            ("POST", "/connect"): self._connect,
            ("POST", "/execute"): self._execute,
            ("POST", "/begin"): self._begin,
            ("POST", "/commit"): self._commit,
            ("POST", "/rollback"): self._rollback,
            ("GET", "/status"): self._status,
            ("GET", "/positions"): self._positions,
            ("GET", "/log"): self._log,
            ("POST", "/term"): self._term,
            ("POST", "/control"): self._control,
        }
        self._server = _Server(self._handle_request, keepalive_timeout=3600.0)
        self._listener: asyncio.Server | None = None
        self.url = ""

    async def start(self, port: int = 0) -> str:
        """Listen on the loopback address and return the base URL."""
        self._listener = await asyncio.get_running_loop().create_server(self._server, "127.0.0.1", port)
        self.url = f"http://127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"
        await self.replica.start()
        return self.url

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        await self.replica.stop()
        await self._server.shutdown(0.1)
        for connection in list(self._connections.values()):
            self._close_connection(connection)
        self.replica.log.close()

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if not await self._wait_while_cut(request):
            return web.Response(status=500)
        route = self._routes.get((request.method, request.path))
        if route is None:
            return web.json_response({"error": "unknown_route"}, status=404)
        status = 200
        try:
            body = await request.json() if request.method == "POST" else dict(request.query)
            if self._print_requests:
                print(json.dumps([request.method, request.path_qs, list(request.headers.items()), body]), flush=True)
            answer = await route(body, request)
        except controls.RefusedError as refusal:
            status, answer = refusal.status, refusal.body
        response = web.json_response(answer, status=status)
        await self._wait_while_cut(request)
        if "X-Request-Id" in request.headers:
            response.headers["X-Request-Id"] = request.headers["X-Request-Id"]
        if request.path in ("/execute", "/begin", "/commit", "/rollback"):
            await self._send_with_faults(request, response)
        return response

    async def _wait_while_cut(self, request: web.BaseRequest) -> bool:
        """Wait until the peer is no longer cut off; return False if the connection is closed first."""
        peer = request.headers.get("X-Peer", "")
        while request.path != "/control" and self.controls.is_cut(peer):
            if request.transport is None or request.transport.is_closing():
                return False
            await asyncio.sleep(0.02)
        return True

    async def _send_with_faults(self, request: web.BaseRequest, response: web.Response) -> None:
        faults = self.controls
        if faults.answer_delay_s:
            await asyncio.sleep(faults.answer_delay_s)
        head = f"HTTP/1.1 {response.status} OK\r\nContent-Type: application/json\r\n"
        head += f"X-Request-Id: {request.headers.get('X-Request-Id', '')}\r\n"
        raw = f"{head}Content-Length: {len(response.body)}\r\n\r\n".encode() + response.body
        if request.transport is None:
            return
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            request.transport.abort()
        elif faults.truncate_answers > 0:
            faults.truncate_answers -= 1
            request.transport.write(raw[:-5])
            request.transport.close()
        elif faults.duplicate_answers > 0:
            faults.duplicate_answers -= 1
            request.transport.write(raw)
        elif faults.cross_answers > 0:
            faults.cross_answers -= 1
            response.headers["X-Request-Id"] = "another-request"

    async def _connect(self, body: dict[str, Any], request: web.BaseRequest) -> dict[str, Any]:
        if self.controls.leaving:
            raise controls.RefusedError(503, "leaving")
        if len(self._connections) + self._connections_opening >= self.controls.connections:
            raise controls.RefusedError(503, "too_many_connections")
        self._connections_opening += 1
        try:
            await asyncio.sleep(self.controls.connect_time_s)
        finally:
            self._connections_opening -= 1
        self._connection_count += 1
        connection = _Connection(f"{self.name}-{self._connection_count}", request.protocol, self.replica.log.session())
        self._connections[connection.number] = connection
        connection.protocol.on_lost = lambda: self._close_connection(connection)
        if request.transport is None or request.transport.is_closing():
            self._close_connection(connection)
        self.counts["most_connections"] = max(self.counts["most_connections"], len(self._connections))
        return {"connection": connection.number}

    async def _execute(self, body: dict[str, Any], request: web.BaseRequest) -> dict[str, Any]:
        connection = self._check_request(body, request)
        autocommit = body["access"] == "write" and not connection.session.in_transaction
        if autocommit:
            await self._acquire_write_lock(connection)
        try:
            async with self._execution_slot():
                self._check_request(body, request)
                self._check_position(body)
                return self._run(connection, body, autocommit)
        finally:
            if autocommit:
                self._release_write_lock(connection)

    def _run(self, connection: _Connection, body: dict[str, Any], autocommit: bool) -> dict[str, Any]:
        session = connection.session
        self.counts["statements"] += 1
        try:
            if autocommit:
                session.begin()
            answer = session.run(body["sql"], body.get("params", []), body["access"])
            if autocommit:
                self.replica.commit(session.commit())
        except (sqlite3.Error, sqlite3.Warning, OverflowError) as error:
            if autocommit or not session.in_transaction:
                session.rollback()
            raise controls.RefusedError(422, "sql_error", detail=str(error)) from None
        applied = self.replica.applied_time()
        return {**answer, "term": self.replica.term, "index": self.replica.log.applied, "applied_time": applied}

    async def _begin(self, body: dict[str, Any], request: web.BaseRequest) -> dict[str, Any]:
        connection = self._check_request({**body, "access": "write"}, request)
        if connection.session.in_transaction:
            raise controls.RefusedError(409, "in_transaction")
        await self._acquire_write_lock(connection)
        try:
            self._check_request({**body, "access": "write"}, request)
            connection.session.begin()
        except controls.RefusedError:
            self._release_write_lock(connection)
            raise
        return {"term": self.replica.term, "index": self.replica.log.applied}

    async def _commit(self, body: dict[str, Any], request: web.BaseRequest) -> dict[str, Any]:
        connection = self._check_request({**body, "access": "write"}, request)
        if not connection.session.in_transaction:
            raise controls.RefusedError(409, "no_transaction")
        async with self._execution_slot():
            self._check_request({**body, "access": "write"}, request)
            statements = connection.session.commit()
            if statements:
                self.replica.commit(statements)
            self._release_write_lock(connection)
        return {"term": self.replica.term, "index": self.replica.log.applied}

    async def _rollback(self, body: dict[str, Any], request: web.BaseRequest) -> dict[str, Any]:
        connection = self._check_request(body, request)
        connection.session.rollback()
        self._release_write_lock(connection)
        return {"term": self.replica.term, "index": self.replica.log.applied}

    async def _status(self, *_: Any) -> dict[str, Any]:
        connections = len(self._connections) + self._connections_opening
        fields = {"connections": connections, "leaving": self.controls.leaving, "counts": self.counts}
        return {"instance": self.name, "group": self.group, **self.replica.status(), **fields}

    async def _positions(self, query: dict[str, Any], _: Any) -> dict[str, Any]:
        received = await self.replica.wait_received(
            int(query["term"]), int(query["beyond"]), float(query.get("timeout_s", 1.0))
        )
        return {**await self._status(), "received_index": received}

    async def _log(self, query: dict[str, Any], _: Any) -> dict[str, Any]:
        records = await self.replica.serve(int(query["term"]), int(query["after"]), int(query["after_term"]))
        if records is None:
            raise controls.RefusedError(409, "stale_term", term=self.replica.term)
        return records

    async def _term(self, body: dict[str, Any], _: Any) -> dict[str, Any]:
        if not self.replica.set_term(body):
            raise controls.RefusedError(409, "stale_term", term=self.replica.term)
        return await self._status()

    async def _control(self, body: dict[str, Any], _: Any) -> dict[str, Any]:
        for name, value in body.items():
            if name not in controls.Controls.__dataclass_fields__:
                raise controls.RefusedError(400, "unknown_control", name=name)
            setattr(self.controls, name, value)
        self._slot_freed.set()
        return dataclasses.asdict(self.controls)

    def _check_request(self, body: dict[str, Any], request: web.BaseRequest) -> _Connection:
        connection = self._connections.get(body.get("connection", ""))
        if connection is None or connection.protocol is not request.protocol:
            raise controls.RefusedError(409, "unknown_connection")
        if body["term"] != self.replica.term:
            raise controls.RefusedError(409, "stale_term", term=self.replica.term)
        if body.get("access") == "write" and self.replica.role != "primary":
            raise controls.RefusedError(409, "not_primary")
        if self.controls.leaving and not connection.session.in_transaction:
            raise controls.RefusedError(503, "leaving")
        return connection

    def _check_position(self, body: dict[str, Any]) -> None:
        index = self.replica.log.applied
        if body.get("min_index") is not None and index < body["min_index"]:
            raise controls.RefusedError(412, "behind", index=index)
        if body.get("min_time") is not None and self.replica.applied_time() < body["min_time"]:
            raise controls.RefusedError(412, "behind", index=index)

    async def _acquire_write_lock(self, connection: _Connection) -> None:
        try:
            await asyncio.wait_for(self._write_lock.acquire(), LOCK_TIMEOUT_S)
        except TimeoutError:
            raise controls.RefusedError(503, "busy") from None
        connection.holds_write_lock = True
        if connection.number not in self._connections:
            self._release_write_lock(connection)
            raise controls.RefusedError(409, "unknown_connection")

    def _release_write_lock(self, connection: _Connection) -> None:
        if connection.holds_write_lock:
            connection.holds_write_lock = False
            self._write_lock.release()

    @contextlib.asynccontextmanager
    async def _execution_slot(self) -> Any:
        deadline = time.monotonic() + LOCK_TIMEOUT_S
        while self._running_statements >= self.controls.slots:
            self._slot_freed.clear()
            try:
                await asyncio.wait_for(self._slot_freed.wait(), max(0.0, deadline - time.monotonic()))
            except TimeoutError:
                raise controls.RefusedError(503, "busy") from None
        self._running_statements += 1
        self.counts["most_running"] = max(self.counts["most_running"], self._running_statements)
        try:
            duration_s = self.controls.delay_s + self.controls.statement_s
            if duration_s:
                await asyncio.sleep(duration_s)
            yield
        finally:
            self._running_statements -= 1
            self._slot_freed.set()

    def _close_connection(self, connection: _Connection) -> None:
        if self._connections.pop(connection.number, None) is not None:
            connection.session.close()
            self._release_write_lock(connection)

    def _reset_sessions(self, rebuilt: bool) -> None:
        """Roll back open transactions; reopen the sessions if the sqlite file was rebuilt."""
        for connection in self._connections.values():
            connection.session.rollback()
            self._release_write_lock(connection)
            if rebuilt:
                connection.session.close()
                connection.session = self.replica.log.session()


async def form_group(urls: dict[str, str], primary: str, *, term: int = 1, start_index: int = 0) -> None:
    """Make one instance the primary of a term and the others its replicas; replicas are told last."""
    peers = [{"name": name, "url": url} for name, url in urls.items()]
    async with aiohttp.ClientSession() as session:
        for name in sorted(urls, key=lambda each: each != primary):
            role = "primary" if name == primary else "replica"
            body = {"term": term, "role": role, "primary": primary, "primary_url": urls[primary]}
            body |= {"start_index": start_index, "peers": peers}
            async with session.post(f"{urls[name]}/term", json=body) as answer:
                answer.raise_for_status()


def main() -> None:
    """Run one instance until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--group", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file")
    parser.add_argument("--data", help="directory in which log and term survive a restart")
    parser.add_argument("--connections", type=int, default=50)
    parser.add_argument("--connect-time", dest="connect_time_s", type=float, default=0.0)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--statement-time", dest="statement_s", type=float, default=0.0)
    parser.add_argument("--lag", dest="lag_s", type=float, default=0.0)
    parser.add_argument("--receive-lag", dest="receive_lag_s", type=float, default=0.0)
    parser.add_argument("--print-requests", action="store_true", help="print each request with its headers")
    asyncio.run(_serve(vars(parser.parse_args())))


async def _serve(options: dict[str, Any]) -> None:
    port, port_file = options.pop("port"), options.pop("port_file")
    instance = Instance(options.pop("name"), options.pop("group"), **options)
    url = await instance.start(port)
    number = url.rsplit(":", 1)[1]
    if port_file:
        await asyncio.to_thread(pathlib.Path(port_file).write_text, number)
    print(json.dumps({"port": int(number)}), flush=True)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()
    await instance.stop()


if __name__ == "__main__":
    main()
