"""Translate the store's objects and calls: configuration, instances, evacuations, members and duties."""

import dataclasses
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from currantlead import errors, logs
from currantlead.sessions import model

_log = logs.part("platform")

CONFIGURATION = "config"
CONFIGURATION_NAME = "main"
INSTANCES = "servers"
EVACUATIONS = "evacuations"
MEMBERS = "members"
DUTIES = "duties"
_OBJECTS = "/currantlead/objects/"

OK, CREATED = 200, 201
MISSING, CONFLICT, HISTORY_GONE = 404, 409, 410


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe one HTTP call."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Hold one object: its name, the revision of its last change and its value."""

    name: str
    revision: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold a listing or a batch of events.

    Attributes:
        revision: Revision to watch from.
        present: Objects that exist or changed.
        removed: Names of removed objects.
        continue_after: Name to continue the listing from, or empty.
    """

    revision: int
    present: tuple[Stored, ...]
    removed: tuple[str, ...] = ()
    continue_after: str = ""


def list_call(kind: str, after: str = "") -> Call:
    """Return the call that lists the objects of a kind, from a name on."""
    query = "?" + urllib.parse.urlencode({"after": after}) if after else ""
    return Call("GET", f"{_OBJECTS}{kind}{query}")


def watch_call(kind: str, revision: int, wait_s: float) -> Call:
    """Return the call that waits for changes after a revision, for ``wait_s`` seconds at most."""
    return Call("GET", f"{_OBJECTS}{kind}?watch={revision}&waitMs={int(wait_s * 1000)}")


def read_call(kind: str, name: str) -> Call:
    """Return the call that reads one object."""
    return Call("GET", f"{_OBJECTS}{kind}/{urllib.parse.quote(name, safe='')}")


def create_call(kind: str, name: str, value: Any) -> Call:
    """Return the call that creates an object if there is none of its name."""
    return Call("POST", f"{_OBJECTS}{kind}", json.dumps({"meta": {"name": name}, "spec": value}).encode())


def replace_call(kind: str, name: str, value: Any, revision: int | None) -> Call:
    """Return the call that replaces an object, if ``revision`` is given only while it is the object's."""
    meta: dict[str, Any] = {"name": name}
    if revision is not None:
        meta["revision"] = revision
    path = f"{_OBJECTS}{kind}/{urllib.parse.quote(name, safe='')}"
    return Call("PUT", path, json.dumps({"meta": meta, "spec": value}).encode())


def delete_call(kind: str, name: str, revision: int) -> Call:
    """Return the call that removes an object while it has a revision."""
    return Call("DELETE", f"{_OBJECTS}{kind}/{urllib.parse.quote(name, safe='')}?revision={revision}")


def promote_call(service: str, instance_id: str, holder: str, generation: int) -> Call:
    """Return the call that makes an instance the primary of a service."""
    body = json.dumps({"service": service, "id": instance_id}).encode()
    return Call("POST", "/promotion", body, (("Duty-Holder", holder), ("Fence-Token", str(generation))))


def _load(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.MalformedObjectError(f"the store's answer is not JSON: {error}") from error


def decode_object(body: bytes) -> Stored:
    """Return the object of an answer's body.

    Raises:
        errors.MalformedObjectError: The body is no object.
    """
    return _stored(_load(body))


def _stored(item: Any) -> Stored:
    try:
        meta = item["meta"]
        return Stored(str(meta["name"]), int(meta["revision"]), item.get("spec"))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.MalformedObjectError(f"object without name or revision: {error!r}") from error


def decode_page(body: bytes) -> Page:
    """Return the content of a listing or of a watch's answer.

    Raises:
        errors.MalformedObjectError: The body has another form.
    """
    answer = _load(body)
    try:
        revision = int(answer["asOf"])
        if "events" in answer:
            # The last event of a name decides; a batch may create and remove the same object.
            latest: dict[str, tuple[Stored, bool]] = {}
            for event in answer["events"]:
                stored = _stored(event["object"])
                latest[stored.name] = stored, bool(event.get("deleted"))
            present = tuple(stored for stored, deleted in latest.values() if not deleted)
            removed = tuple(stored.name for stored, deleted in latest.values() if deleted)
            return Page(revision, present, removed)
        items = tuple(_stored(item) for item in answer["items"])
        return Page(revision, items, (), items[-1].name if answer.get("hasMore") and items else "")
    except (KeyError, TypeError, ValueError) as error:
        raise errors.MalformedObjectError(f"listing has a bad form: {error!r}") from error


def decode_configuration(stored: Stored) -> model.Configuration:
    """Return the configuration of a stored object.

    Raises:
        errors.MalformedObjectError: A field is missing or has a wrong type.
    """
    try:
        value = stored.value
        organisations = {tenant["name"]: _organisation(tenant) for tenant in value["tenants"]}
        return model.Configuration(
            revision=stored.revision,
            version=int(value["version"]),
            # ``host`` is the name of the database; ``name`` is only a label of the route.
            routes={route["host"]: _route(route) for route in value["routes"]},
            services={
                service["name"]: model.Service(service["name"], int(service["maxConns"]))
                for service in value["services"]
            },
            organisations=organisations,
            organisation_by_key={key: tenant["name"] for tenant in value["tenants"] for key in tenant["apiKeys"]},
            transaction_idle_s=value.get("limits", {}).get("txIdleMs", 3000) / 1000,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.MalformedObjectError(f"configuration at revision {stored.revision}: {error!r}") from error


_CONSISTENCY = {
    "primary": model.Consistency.PRIMARY,
    "bounded_staleness": model.Consistency.BOUNDED,
    "own_writes": model.Consistency.OWN_WRITES,
}


def _route(route: Mapping[str, Any]) -> model.Route:
    return model.Route(
        database=route["host"],
        service=route["service"],
        consistency=_CONSISTENCY[route["routeType"]],
        timeout_s=route["timeoutMs"] / 1000,
        target_s=route["targetLatencyMs"] / 1000,
        priority=int(route.get("priority", 0)),
        max_staleness_s=route.get("maxStalenessMs", 0) / 1000,
        anonymous=bool(route.get("anonymous", False)),
        regions=frozenset(route.get("allowedRegions") or ()),
    )


def _organisation(tenant: Mapping[str, Any]) -> model.Organisation:
    return model.Organisation(
        name=tenant["name"],
        rate=float(tenant["ratePerS"]),
        burst=float(tenant["burst"]),
        regions=frozenset(tenant.get("allowedRegions") or ()),
    )


def decode_instance(stored: Stored) -> model.Instance | None:
    """Return the instance of an entry, or None if the entry names no instance that may be used.

    Other writers may leave entries there; one with a missing or mistyped field is reported and passed over.
    """
    entry = stored.value
    try:
        host, _, port = _checked(entry["addr"], str).rpartition(":")
        state = entry["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"state {state!r}")
        return model.Instance(
            id=stored.name,
            service=_checked(entry["service"], str),
            host=host,
            port=int(port),
            domain=_checked(entry["zone"], str),
            draining=state == "draining",
            role=model.Role(entry["dbRole"]),
            revision=stored.revision,
            born_ms=_checked(entry.get("born", 0), int),
        )
    except (KeyError, TypeError, ValueError) as error:
        _log.warning("entry {} names no instance: {!r}", stored.name, error)
        return None


def _checked(value: Any, kind: type) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"expected {kind.__name__}, got {value!r}")
    return value


def encode_member(member: model.Member) -> dict[str, Any]:
    """Return the value under which a VM registers itself."""
    return {"peerHost": member.host, "peerPort": member.port, "domain": member.domain}


def decode_member(stored: Stored) -> model.Member | None:
    """Return the VM of an entry, or None if the entry has another form."""
    try:
        value = stored.value
        return model.Member(stored.name, str(value["peerHost"]), int(value["peerPort"]), str(value["domain"]))
    except (KeyError, TypeError, ValueError) as error:
        _log.warning("entry {} names no VM: {!r}", stored.name, error)
        return None


def encode_duty(holder: str, previous: int) -> dict[str, Any]:
    """Return the entry of a duty's holder.

    The revision of the entry before is part of it, because a replacement that changes nothing gets no new revision.
    """
    return {"holder": holder, "previous": previous}


def decode_duty(stored: Stored) -> str:
    """Return the holder of a duty; empty if the entry has another form."""
    value = stored.value
    return str(value.get("holder", "")) if isinstance(value, Mapping) else ""


def decode_name(stored: Stored) -> str:
    """Return the name of an object whose value does not matter."""
    return stored.name
