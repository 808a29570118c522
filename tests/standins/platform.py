"""Stand-in for the operators' platform: versioned objects, watches and an eventually consistent list of VMs."""

import argparse
import asyncio
import contextlib
import json
import pathlib
import signal
import time
from typing import Any

from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0


class State:
    """State of the platform: objects, registered VMs, call counters and injected faults.

    The version of an object is the store-wide revision of its last write. It therefore also increases when an object
    is removed and created again.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, tuple[int, Any]]] = {}
        self.removed: dict[str, dict[str, int]] = {}
        self.vms: list[tuple[float, dict[str, str]]] = []
        self.counts: dict[str, int] = {"reads": 0, "writes": 0, "watches": 0, "conflicts": 0}
        self.faults: dict[str, Any] = {"outage": False, "latency_s": 0.0, "lose_answers": 0, "list_lag_s": 0.0}
        self.changed = asyncio.Condition()

    def load(self, objects: dict[str, dict[str, Any]]) -> None:
        """Store initial objects, given as a map from kind to name to value."""
        for kind, values in objects.items():
            for name, value in values.items():
                self.put(kind, name, value)

    def version(self, kind: str, name: str) -> int:
        """Return the version of an object, or 0 if it does not exist."""
        return self.objects.get(kind, {}).get(name, (0, None))[0]

    def put(self, kind: str, name: str, value: Any) -> int:
        """Store a value unconditionally and return its version."""
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, value)
        self.removed.get(kind, {}).pop(name, None)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; watches report the removal as version 0."""
        self.revision += 1
        del self.objects[kind][name]
        self.removed.setdefault(kind, {})[name] = self.revision

    def changes_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes to objects of a kind after a revision, oldest first."""
        found = [(version, name, version) for name, (version, _) in self.objects.get(kind, {}).items()]
        found += [(revision, name, 0) for name, revision in self.removed.get(kind, {}).items()]
        return [{"kind": kind, "name": name, "version": version} for at, name, version in sorted(found) if at > since]

    def visible_vms(self) -> list[dict[str, str]]:
        """Return the VMs that the list shows: registrations older than ``list_lag_s``, without VMs that are gone."""
        limit = time.monotonic() - self.faults["list_lag_s"]
        rows = {row["vm"]: row for at, row in self.vms if at <= limit}
        return [row for row in rows.values() if row["state"] != "gone"]


STATE = web.AppKey("state", State)
routes = web.RouteTableDef()


@web.middleware
async def apply_faults(request: web.Request, handler: Any) -> web.StreamResponse:
    """Apply latency and outages; a call that overlaps an outage has its connection aborted."""
    state = request.app[STATE]
    if request.path.startswith("/control") or request.path == "/counts":
        return await handler(request)
    await asyncio.sleep(state.faults["latency_s"])
    if state.faults["outage"]:
        return abort_connection(request)
    answer = await handler(request)
    if state.faults["outage"]:
        return abort_connection(request)
    return answer


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request, so that no response reaches the client."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def complete_write(request: web.Request, body: dict[str, Any]) -> web.Response:
    """Wake watches and respond, or abort the connection after the write took effect if ``lose_answers`` is set."""
    state = request.app[STATE]
    async with state.changed:
        state.changed.notify_all()
    if state.faults["lose_answers"]:
        if state.faults["lose_answers"] is not True:
            state.faults["lose_answers"] -= 1
        return abort_connection(request)
    return web.json_response(body)


def conflict_response(state: State, version: int) -> web.Response:
    """Return the response to a conditional write whose version does not match."""
    state.counts["conflicts"] += 1
    return web.json_response({"version": version}, status=409)


@routes.get("/objects/{kind}/{name}")
async def read(request: web.Request) -> web.Response:
    """Return one object with its version."""
    state = request.app[STATE]
    state.counts["reads"] += 1
    found = state.objects.get(request.match_info["kind"], {}).get(request.match_info["name"])
    if found is None:
        return web.json_response({"error": "no such object"}, status=404)
    return web.json_response({"version": found[0], "value": found[1]})


@routes.put("/objects/{kind}/{name}")
async def write(request: web.Request) -> web.Response:
    """Write an object if its current version equals ``if_version``."""
    state, kind, name = request.app[STATE], request.match_info["kind"], request.match_info["name"]
    state.counts["writes"] += 1
    body = await request.json()
    if len(json.dumps(body["value"], ensure_ascii=False).encode()) > MAX_VALUE_BYTES:
        return web.json_response({"error": "value is larger than 1 MB"}, status=413)
    version = state.version(kind, name)
    if body["if_version"] != version:
        return conflict_response(state, version)
    return await complete_write(request, {"version": state.put(kind, name, body["value"])})


@routes.delete("/objects/{kind}/{name}")
async def remove(request: web.Request) -> web.Response:
    """Remove an object if its current version equals ``if_version``."""
    state, kind, name = request.app[STATE], request.match_info["kind"], request.match_info["name"]
    state.counts["writes"] += 1
    version = state.version(kind, name)
    if version == 0 or int(request.query["if_version"]) != version:
        return conflict_response(state, version)
    state.remove(kind, name)
    return await complete_write(request, {})


@routes.get("/objects/{kind}")
async def list_objects(request: web.Request) -> web.Response:
    """Return name and version of each object of a kind."""
    state = request.app[STATE]
    state.counts["reads"] += 1
    found = state.objects.get(request.match_info["kind"], {})
    return web.json_response([{"name": name, "version": version} for name, (version, _) in found.items()])


@routes.get("/watch/{kind}")
async def watch(request: web.Request) -> web.Response:
    """Long-poll for changes to objects of a kind; an outage ends the wait."""
    state, kind = request.app[STATE], request.match_info["kind"]
    state.counts["watches"] += 1
    since, timeout_s = int(request.query.get("since", 0)), float(request.query.get("timeout_s", 0))

    def ready() -> bool:
        return bool(state.faults["outage"] or state.changes_since(kind, since))

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(timeout_s, MAX_WATCH_S)), state.changed:
            await state.changed.wait_for(ready)
    return web.json_response({"revision": state.revision, "changes": state.changes_since(kind, since)})


@routes.get("/vms")
async def list_vms(request: web.Request) -> web.Response:
    """Return the list of VMs, delayed by ``list_lag_s``."""
    state = request.app[STATE]
    state.counts["reads"] += 1
    return web.json_response(state.visible_vms())


@routes.get("/groups")
async def list_groups(request: web.Request) -> web.Response:
    """Return the database groups."""
    state = request.app[STATE]
    state.counts["reads"] += 1
    found = state.objects.get("groups", {})
    return web.json_response([{**value, "name": name} for name, (_, value) in found.items()])


@routes.post("/control/vms")
async def register_vm(request: web.Request) -> web.Response:
    """Register a VM (state ``live``, ``leaving`` or ``gone``); the list shows it after ``list_lag_s``."""
    body = await request.json()
    row = {"vm": body["vm"], "domain": body["domain"], "state": body.get("state", "live")}
    request.app[STATE].vms.append((time.monotonic(), {**row, "peer_address": body["peer_address"]}))
    return web.json_response({})


@routes.post("/control")
async def set_faults(request: web.Request) -> web.Response:
    """Set faults; faults that the body does not name keep their value."""
    state = request.app[STATE]
    body = await request.json()
    unknown = set(body) - set(state.faults)
    if unknown:
        return web.json_response({"error": f"unknown faults {sorted(unknown)}"}, status=400)
    state.faults.update(body)
    async with state.changed:
        state.changed.notify_all()
    return web.json_response(state.faults)


@routes.get("/counts")
async def get_counts(request: web.Request) -> web.Response:
    """Return the number of calls since the start; a long-polling watch counts as one call."""
    return web.json_response(request.app[STATE].counts)


def create_application(seed: dict[str, dict[str, Any]] | None = None) -> web.Application:
    """Create the web application, with optional initial objects."""
    app = web.Application(middlewares=[apply_faults], client_max_size=4 * MAX_VALUE_BYTES)
    app[STATE] = State()
    app[STATE].load(seed or {})
    app.add_routes(routes)
    return app


async def serve(port: int, port_file: str | None, seed: dict[str, dict[str, Any]]) -> None:
    """Serve on the loopback address until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    runner = web.AppRunner(create_application(seed), access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    if port_file:
        path = pathlib.Path(port_file)
        partial = path.with_suffix(".partial")
        partial.write_text(str(runner.addresses[0][1]))
        partial.rename(path)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", help="file to write the port to once the stand-in accepts connections")
    parser.add_argument("--seed", help="JSON file with initial objects: a map from kind to name to value")
    arguments = parser.parse_args()
    seed = json.loads(pathlib.Path(arguments.seed).read_text()) if arguments.seed else {}
    asyncio.run(serve(arguments.port, arguments.port_file, seed))


if __name__ == "__main__":
    main()
