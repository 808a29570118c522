"""Stand-in for the users' platform: object store with revisions and watches, and the promotion call with fences."""

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

import h11

PREFIX = "/currantlead/objects/"
PAGE_ITEMS = 500


class ObjectStore:
    """Serve objects by kind and name on a loopback port.

    Attributes:
        objects: Objects by kind and name.
        calls: Method and path of each call, in order.
        fault: Called for each call; returns a status to answer at once, "silent", "reset", "lost" (done and not
            answered), or None.
        rewrite: Called with kind and value of each object that is written by a call; returns what is stored.
        promote: Called with service and instance for each promotion whose fence holds; returns whether it runs.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.history_from = 0
        self.calls: list[tuple[str, str]] = []
        self.fences: dict[str, tuple[int, str]] = {}
        self.promotions: list[tuple[str, str, str, int]] = []
        self.fault: Callable[[str, str], int | str | None] = lambda method, path: None
        self.rewrite: Callable[[str, Any], Any] = lambda kind, value: value
        self.promote: Callable[[str, str], bool] = lambda service, instance: True
        self.port = 0
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object."""
        self.revision += 1
        found = self.objects.setdefault(kind, {}).get(name)
        created = found["meta"]["createdRev"] if found else self.revision
        meta = {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [], "deleting": False}
        stored = self.objects[kind][name] = {"meta": meta, "spec": spec, "status": None}
        self._record(kind, stored, deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self.objects[kind].pop(name)
        self._record(kind, stored, deleted=True)

    def forget_history(self) -> None:
        """Drop the history, so that a watch from before gets 410."""
        self.history.clear()
        self.history_from = self.revision
        self._signal()

    def _record(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self._signal()

    def _signal(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self._writers.add(writer)
        try:
            while True:
                event = codec.next_event()
                if event is h11.NEED_DATA:
                    codec.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    request, body = event, b""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    if not await self._respond(codec, writer, request, body):
                        return
                    codec.start_next_cycle()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            # A cancelled watch at the end of a test is no failure.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, codec: Any, writer: asyncio.StreamWriter, request: Any, body: bytes) -> bool:
        method, target = request.method.decode(), request.target.decode()
        self.calls.append((method, target))
        fault = self.fault(method, target)
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "reset":
            writer.transport.abort()
            return False
        if isinstance(fault, int):
            status, answer = fault, {}
        else:
            headers = {name.decode().lower(): value.decode() for name, value in request.headers}
            status, answer = await self._handle(method, target, body, headers)
        if fault == "lost":
            writer.transport.abort()
            return False
        data = json.dumps(answer).encode()
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        writer.write(codec.send(h11.Response(status_code=status, headers=fields)))
        writer.write(codec.send(h11.Data(data=data)) + codec.send(h11.EndOfMessage()))
        await writer.drain()
        return True

    async def _handle(self, method: str, target: str, body: bytes, headers: dict[str, str]) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/promotion":
            return self._promotion(json.loads(body), headers)
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
        return self._change(method, kind, name, json.loads(body) if body else {}, query)

    def _change(self, method: str, kind: str, name: str, value: Any, query: dict[str, str]) -> tuple[int, Any]:
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
            if since < self.history_from:
                return 410, {}
            events = [
                {"object": stored, "deleted": deleted}
                for revision, changed, stored, deleted in self.history
                if revision > since and changed == kind
            ]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _promotion(self, order: Any, headers: dict[str, str]) -> tuple[int, Any]:
        holder, fence = headers["duty-holder"], int(headers["fence-token"])
        service, instance = order["service"], order["id"]
        seen, _ = self.fences.get(service, (0, ""))
        if fence < seen:
            return 409, {"error": "a higher number was seen"}
        self.fences[service] = fence, holder
        if not self.promote(service, instance):
            return 409, {"error": "the instance is not running"}
        self.promotions.append((service, instance, holder, fence))
        return 200, {}
