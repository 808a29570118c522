"""Stand-in for the platform: the metadata store and the promotion call, over HTTP/1.1 on a loopback address."""

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

PREFIX = "/currantlead/objects/"
PAGE_ITEMS = 500


class Platform:
    """Store of objects by kind and name, with revisions and watches, and fenced promotions.

    Attributes:
        fault: Called with method, path and number of the connection of each call. Returns None to answer it, "lost" to
            carry it out without an answer, or "silent" to ignore it; both leave the connection silent from then on.
        promote: Called with service and instance of each promotion that the fence admits; returns whether it runs.
        rewrite: Called with kind and spec of what a call writes; stands for a network device that changes addresses.
        calls: Time, method, path, body and status of each call.
    """

    def __init__(self, now: Callable[[], float]):
        self.now = now
        self.port = 0
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.fences: dict[str, int] = {}
        self.calls: list[tuple[float, str, str, Any, int]] = []
        self.fault: Callable[[str, str, int], str | None] = lambda method, path, connection: None
        self.promote: Callable[[str, str], bool] = lambda service, instance: True
        self.rewrite: Callable[[str, Any], Any] = lambda kind, spec: spec
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["meta"]["createdRev"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [], "deleting": False}
        stored = self.objects[kind][name] = {"meta": meta, "spec": spec, "status": None}
        self._record(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._record(kind, self.objects[kind].pop(name), True)

    def _record(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        number = self._connections
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *fields = head.split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for field in fields:
                    name, _, value = field.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parsed = json.loads(body) if body else None
                fault = self.fault(method, target, number)
                if fault == "silent":
                    self.calls.append((self.now(), method, target, parsed, 0))
                    await asyncio.sleep(3600)
                status, answer = await self._handle(method, target, parsed, headers)
                self.calls.append((self.now(), method, target, parsed, 0 if fault else status))
                if fault == "lost":
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method: str, target: str, body: Any, headers: dict[str, str]) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/promotion":
            fence, service = int(headers["fence-token"]), body["service"]
            if fence < self.fences.get(service, 0):
                return 409, {}
            self.fences[service] = fence
            return (200, {}) if self.promote(service, body["id"]) else (409, {})
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        name = urllib.parse.unquote(name)
        known = self.objects.get(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("waitMs", 0)) / 1000)
        if method == "GET" and name:
            return (200, known[name]) if name in known else (404, {})
        if method == "GET":
            names = sorted(item for item in known if item > query.get("after", ""))
            items = [known[item] for item in names[:PAGE_ITEMS]]
            return 200, {"items": items, "hasMore": len(names) > PAGE_ITEMS, "asOf": self.revision}
        name = name or body["meta"]["name"]
        if body and "spec" in body:
            body["spec"] = self.rewrite(kind, body["spec"])
        found = known.get(name)
        if method == "POST":
            return (409, found) if found else (201, self.put(kind, name, body["spec"]))
        if found is None:
            return 404, {}
        expected = query.get("revision", ((body or {}).get("meta") or {}).get("revision"))
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.delete(kind, name)
            return 200, found
        return 200, found if found["spec"] == body["spec"] else self.put(kind, name, body["spec"])

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        deadline = self.now() + wait_s
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, changed, stored, deleted in self.history
                if revision > since and changed == kind
            ]
            left = deadline - self.now()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
