"""Calls to the platform: lists, watches and updates of the store's objects, and the calls of duties."""

import dataclasses
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from currantlead.platform import objects

_OBJECTS_PATH = "/currantlead/objects/"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe an HTTP call.

    Attributes:
        method: HTTP method.
        path: Path including the query.
        body: JSON body, or empty.
        headers: Additional headers.
        repeatable: Whether the call only reads the current state, so that it may be sent again. A watch is not
            repeatable: after its reset, the history since its revision may be gone.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    repeatable: bool = False


def list_call(kind: str, after: str = "") -> Call:
    """Return the call that lists the objects of a kind whose names follow ``after``."""
    query = "?" + urllib.parse.urlencode({"after": after}) if after else ""
    return Call("GET", f"{_OBJECTS_PATH}{kind}{query}", repeatable=True)


def watch_call(kind: str, revision: int, wait_s: float) -> Call:
    """Return the call that waits up to ``wait_s`` seconds for changes after a revision."""
    return Call("GET", f"{_OBJECTS_PATH}{kind}?watch={objects.store_number(revision)}&waitMs={int(wait_s * 1000)}")


def read_call(kind: str, name: str) -> Call:
    """Return the call that reads one object."""
    return Call("GET", f"{_OBJECTS_PATH}{kind}/{urllib.parse.quote(name, safe='')}", repeatable=True)


def create_call(kind: str, name: str, value: Any) -> Call:
    """Return the call that creates an object unless one of this name exists."""
    return Call("POST", f"{_OBJECTS_PATH}{kind}", json.dumps({"meta": {"name": name}, "spec": value}).encode())


def replace_call(kind: str, name: str, value: Any, revision: int | None) -> Call:
    """Return the call that replaces an object; with ``revision``, only if that is the object's current revision."""
    meta: dict[str, Any] = {"name": name}
    if revision is not None:
        meta["revision"] = objects.store_number(revision)
    path = f"{_OBJECTS_PATH}{kind}/{urllib.parse.quote(name, safe='')}"
    return Call("PUT", path, json.dumps({"meta": meta, "spec": value}).encode())


def delete_call(kind: str, name: str, revision: int) -> Call:
    """Return the call that deletes an object if ``revision`` is its current revision."""
    return Call(
        "DELETE", f"{_OBJECTS_PATH}{kind}/{urllib.parse.quote(name, safe='')}?revision={objects.store_number(revision)}"
    )


def promote_call(service: str, instance_id: str, holder: str, generation: int) -> Call:
    """Return the call that promotes an instance to the primary of a service."""
    body = json.dumps({"service": service, "id": instance_id}).encode()
    return Call("POST", "/promotion", body, (("Duty-Holder", holder), ("Fence-Token", str(generation))))


def usage_call(window: int, counts: Mapping[str, int], holder: str, generation: int) -> Call:
    """Return the call that reports the requests of a window by organisation."""
    body = json.dumps({"windowNo": window, "counts": dict(sorted(counts.items()))}).encode()
    return Call("POST", "/usage", body, (("Duty-Holder", holder), ("Fence-Token", str(generation))))
