"""Stand-in for the users' platform: object store with revisions and watches, and promotions with fencing tokens."""

import asyncio
import dataclasses
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

import h11

PREFIX = "/currantlead/objects/"
PAGE_ITEMS = 500


@dataclasses.dataclass(frozen=True)
class RawValue:
    """Value that another writer stored: its bytes are sent as they are, even if they are not valid JSON."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Late:
    """Fault of a call that gets no answer and is carried out later, after newer calls.

    Attributes:
        delay_s: Seconds after which it is carried out, unless ``carry_out_late_calls`` does so before.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True)
class HandledCall:
    """Call that was carried out: path, fields of its body, fencing token, status, and whether it was late."""

    path: str
    fields: dict[str, Any]
    fence: int
    status: int
    late: bool


def _encode_answer(answer: Any) -> bytes:
    raw_values: list[bytes] = []

    def encode_raw(value: RawValue) -> str:
        raw_values.append(value.data)
        return f"raw value {len(raw_values)}"

    data = json.dumps(answer, default=encode_raw).encode()
    for number, raw_value in enumerate(raw_values, 1):
        data = data.replace(b'"raw value %d"' % number, raw_value)
    return data


class ObjectStore:
    """HTTP server on a loopback port that stores objects by kind and name.

    Attributes:
        era: Number of the store's era; it is restored with a new one.
        objects: Objects by kind and name.
        calls: Method and path of each call, in order.
        duty_calls: Calls with a fencing token that were carried out, in order.
        usage_calls: Time, window, counts, holder, fencing token and status of each report of usage, in order.
        serving_port: Port at which the call came in that ``fault`` is asked about; see ``add_view``.
        fault: Called with method and path of each call. Returns the fault to inject: a status to respond with without
            handling the call, "silent" (no response), "reset" (connection reset before the call is handled), "lost"
            (connection reset after the call took effect), or None.
        duty_fault: Called with path, fields and fencing token of each call with such a token. Returns the same, or
            ``Late``.
        rewrite: Called with kind and spec of each object that a call writes; returns the spec to store.
        promote: Called with service and instance for each promotion whose fencing token is current; returns whether
            the instance is running.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.history_from = 0
        self._announces_gaps = True
        self.calls: list[tuple[str, str]] = []
        self.fences: dict[str, tuple[int, str]] = {}
        self.promotions: list[tuple[str, str, str, int]] = []
        self.duty_calls: list[HandledCall] = []
        self._late_calls: dict[asyncio.TimerHandle, Callable[[], None]] = {}
        self._views: dict[int, dict[bytes, bytes]] = {}
        self._view_servers: list[asyncio.Server] = []
        self.usage_calls: list[tuple[float, int, dict[str, int], str, int, int]] = []
        self.fault: Callable[[str, str], int | float | str | None] = lambda method, path: None
        self.duty_fault: Callable[[str, dict[str, Any], int], int | float | str | Late | None] = (
            lambda path, fields, fence: None
        )
        self.rewrite: Callable[[str, Any], Any] = lambda kind, value: value
        self.promote: Callable[[str, str], bool] = lambda service, instance: True
        self.port = 0
        self.serving_port = 0
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port, or on the previous one after a stop."""
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for server in self._view_servers:
            server.close()
        if self._server is not None:
            self._server.close()
        for timer in self._late_calls:
            timer.cancel()
        self._late_calls.clear()
        self.reset_connections()

    async def add_view(self, replaced: dict[str, str]) -> int:
        """Open one more port, whose answers have some texts replaced, and return it.

        A VM that uses this port finds other addresses in the entries than the others do, such as those of proxies.

        Args:
            replaced: Texts with their replacements; they are copied.
        """
        server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self._view_servers.append(server)
        port = server.sockets[0].getsockname()[1]
        self._views[port] = {old.encode(): new.encode() for old, new in replaced.items()}
        return port

    @property
    def late_calls(self) -> int:
        """Number of calls that wait with the fault ``Late``."""
        return len(self._late_calls)

    def carry_out_late_calls(self) -> int:
        """Carry out the calls that wait with the fault ``Late``, in order, and return how many there were."""
        waiting, self._late_calls = self._late_calls, {}
        for timer, carry_out in waiting.items():
            timer.cancel()
            carry_out()
        return len(waiting)

    def _postpone_call(self, delay_s: float, carry_out: Callable[[], None]) -> None:
        def run() -> None:
            self._late_calls.pop(timer)
            carry_out()

        timer = asyncio.get_running_loop().call_later(delay_s, run)
        self._late_calls[timer] = carry_out

    def reset_connections(self) -> None:
        """Reset all open connections, also those of pending watches."""
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object."""
        self.revision += 1
        found = self.objects.setdefault(kind, {}).get(name)
        created = found["meta"]["createdRev"] if found else self.revision
        meta = {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [], "deleting": False}
        stored = self.objects[kind][name] = {"meta": meta, "spec": spec, "status": None}
        self._append_history(kind, stored, deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self.objects[kind].pop(name)
        self._append_history(kind, stored, deleted=True)

    def drop_history(self, *, announced: bool = True) -> None:
        """Drop the history of changes, so that a watch from an earlier revision gets status 410.

        Args:
            announced: Whether such a watch is answered at once. Otherwise it is answered with the next change of its
                kind, or at the end of its wait.
        """
        self.history.clear()
        self.history_from = self.revision
        self._announces_gaps = announced
        self._wake_watches()

    def copy(self) -> tuple[int, dict[str, dict[str, dict[str, Any]]]]:
        """Return a copy of the store, from which ``restore`` can restore it."""
        return self.revision, {kind: dict(found) for kind, found in self.objects.items()}

    def restore(self, copied: tuple[int, dict[str, dict[str, dict[str, Any]]]]) -> None:
        """Restore the store from a copy: what was written since is lost, and revisions are given out again."""
        self.revision, found_by_kind = copied
        self.objects = {kind: dict(found) for kind, found in found_by_kind.items()}
        self.history.clear()
        self.history_from = self.revision
        self.era += 1
        self.reset_connections()

    def _append_history(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        self._writers.add(writer)
        try:
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    request, body = event, b""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    if not await self._respond(protocol, writer, request, body):
                        return
                    protocol.start_next_cycle()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            # A watch may still be open, and is then cancelled, when a test ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, protocol: Any, writer: asyncio.StreamWriter, request: Any, body: bytes) -> bool:
        method, target = request.method.decode(), request.target.decode()
        self.calls.append((method, target))
        headers = {name.decode().lower(): value.decode() for name, value in request.headers}
        self.serving_port = writer.get_extra_info("sockname")[1]
        fault = self.fault(method, target)
        if fault is None and "fence-token" in headers:
            fault = self.duty_fault(target, json.loads(body), int(headers["fence-token"]))
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "reset":
            writer.transport.abort()
            return False
        if isinstance(fault, int):
            status, answer = fault, {}
        else:
            if isinstance(fault, Late):
                self._postpone_call(fault.delay_s, lambda: self._handle_duty_call(target, body, headers, late=True))
                await asyncio.sleep(3600)
            status, answer = await self._handle_call(method, target, body, headers)
        if fault == "lost":
            writer.transport.abort()
            return False
        data = _encode_answer(answer)
        for old, new in self._views.get(writer.get_extra_info("sockname")[1], {}).items():
            data = data.replace(old, new)
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        if target.startswith(PREFIX):
            fields.append(("Store-Era", str(self.era)))
        writer.write(protocol.send(h11.Response(status_code=status, headers=fields)))
        message = protocol.send(h11.Data(data=data)) + protocol.send(h11.EndOfMessage())
        if isinstance(fault, float):
            # The link is slow: the body takes that many seconds, in ten parts.
            for start in range(0, len(message), len(message) // 10 + 1):
                await asyncio.sleep(fault / 10)
                writer.write(message[start : start + len(message) // 10 + 1])
        else:
            writer.write(message)
        await writer.drain()
        return True

    async def _handle_call(self, method: str, target: str, body: bytes, headers: dict[str, str]) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path in ("/usage", "/promotion"):
            return self._handle_duty_call(url.path, body, headers)
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        found = self.objects.get(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("waitMs", 0)) / 1000)
        if method == "GET" and name:
            return (200, found[name]) if name in found else (404, {})
        if method == "GET":
            names = sorted(item for item in found if item > query.get("after", ""))
            page = [found[item] for item in names[:PAGE_ITEMS]]
            return 200, {"items": page, "hasMore": len(names) > PAGE_ITEMS, "asOf": self.revision}
        return self._write_object(method, kind, name, json.loads(body) if body else {}, query)

    def _write_object(self, method: str, kind: str, name: str, value: Any, query: dict[str, str]) -> tuple[int, Any]:
        name = name or value["meta"]["name"]
        found = self.objects.get(kind, {}).get(name)
        if "spec" in value:
            value["spec"] = self.rewrite(kind, value["spec"])
        if method == "POST":
            return (409, found) if found else (201, self.put(kind, name, value["spec"]))
        if found is None:
            return 404, {}
        expected = query.get("revision", value.get("meta", {}).get("revision"))
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.delete(kind, name)
            return 200, found
        return 200, found if found["spec"] == value["spec"] else self.put(kind, name, value["spec"])

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, changed, stored, deleted in self.history
                if revision > since and changed == kind
            ]
            left = deadline - asyncio.get_running_loop().time()
            if since > self.revision:
                return 410, {}
            if since < self.history_from and (self._announces_gaps or events or left <= 0):
                return 410, {}
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _handle_duty_call(
        self, path: str, body: bytes, headers: dict[str, str], *, late: bool = False
    ) -> tuple[int, Any]:
        fields = json.loads(body)
        handle = self._handle_usage if path == "/usage" else self._handle_promotion
        status, answer = handle(fields, headers)
        self.duty_calls.append(HandledCall(path, fields, int(headers["fence-token"]), status, late))
        return status, answer

    def _handle_usage(self, body: Any, headers: dict[str, str]) -> tuple[int, Any]:
        holder, fence = headers["duty-holder"], int(headers["fence-token"])
        highest_fence, _ = self.fences.get("usage", (0, ""))
        status = 409 if fence < highest_fence else 200
        if status == 200:
            self.fences["usage"] = fence, holder
        now = asyncio.get_running_loop().time()
        self.usage_calls.append((now, body["windowNo"], body["counts"], holder, fence, status))
        return status, {}

    def _handle_promotion(self, body: Any, headers: dict[str, str]) -> tuple[int, Any]:
        holder, fence = headers["duty-holder"], int(headers["fence-token"])
        service, instance = body["service"], body["id"]
        highest_fence, _ = self.fences.get(service, (0, ""))
        if fence < highest_fence:
            return 409, {"error": "fencing token is older than the highest one seen"}
        self.fences[service] = fence, holder
        if not self.promote(service, instance):
            return 409, {"error": "the instance is not running"}
        self.promotions.append((service, instance, holder, fence))
        return 200, {}
