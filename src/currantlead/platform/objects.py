"""Codec of the store's objects: configuration, instances, evacuations, members, duties, usage."""

import dataclasses
import ipaddress
import reprlib
from collections.abc import Mapping
from typing import Any

from currantlead import errors, logs
from currantlead.platform import json_documents
from currantlead.sessions import model

_log = logs.part("platform")

CONFIGURATION = "config"
CONFIGURATION_NAME = "main"
INSTANCES = "servers"
EVACUATIONS = "evacuations"
MEMBERS = "members"
DUTIES = "duties"
COMMITS = "commits"
"""Kind of the records of acknowledged commits, one for each service."""
USAGE = "usage"
"""Kind of the record of finalised windows, which changes with each window and is not watched: a change of a kind
ends all watches of the kind."""
USAGE_NAME = "windows"
_ERA_HEADER = "store-era"
_ERA_SHIFT_BITS = 40
"""Position of the era in a revision. It leaves room for ten years of 3,200 changes a second in one era, and for 2**13
eras in numbers that JSON decoders read as doubles."""

MAX_COUNT = 1 << 53
"""Bound of the numbers in entries: from here on, decoders that read JSON numbers as doubles lose digits."""
MAX_PORT = 65535
"""Highest port of TCP and UDP."""
_ROLES = tuple(role.value for role in model.Role)

OK, CREATED = 200, 201
NOT_FOUND, CONFLICT, HISTORY_GONE = 404, 409, 410


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold a stored object.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change.
        value: Its value, of any JSON type.
    """

    name: str
    revision: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold one page of a list, or the events that a watch returned.

    Attributes:
        revision: Revision to watch from.
        present: Listed, created or changed objects.
        removed: Names of deleted objects.
        continue_after: Name after which the list continues; empty on the last page.
    """

    revision: int
    present: tuple[StoredObject, ...]
    removed: tuple[str, ...] = ()
    continue_after: str = ""


def combine_revision(era: int, number: int) -> int:
    """Return the revision for a number that the store gave out in one of its eras.

    A store that is restored from a copy begins a new era and gives out numbers again. Revisions of all eras are in the
    order in which they were given out.

    Raises:
        ValueError: The number is negative, or too large to leave room for the era.
    """
    if not 0 <= number < 1 << _ERA_SHIFT_BITS:
        raise ValueError(f"revision {number} is not between 0 and 2**{_ERA_SHIFT_BITS}")
    return (era << _ERA_SHIFT_BITS) + number


def era_of(revision: int) -> int:
    """Return the store's era in which a revision was given out."""
    return revision >> _ERA_SHIFT_BITS


def format_revision(revision: int) -> str:
    """Return a revision for log lines: the store's number, after the era if the store names one."""
    era, number = era_of(revision), store_number(revision)
    return f"{era}.{number}" if era else str(number)


def store_number(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & ((1 << _ERA_SHIFT_BITS) - 1)


def decode_era(headers: Mapping[str, str]) -> int | None:
    """Return the era of the store from the headers of a response, or None if it names none.

    The store begins a new era each time it is restored from a copy.

    Args:
        headers: Headers of the response, with names in lower case.

    Raises:
        errors.MalformedObjectError: The era is not a natural number.
    """
    text = headers.get(_ERA_HEADER)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise errors.MalformedObjectError(f"store sent an era that is not a natural number: {text!r}")
    return int(text)


def _load_json(body: bytes) -> Any:
    try:
        return json_documents.decode(body)
    except ValueError as error:
        raise errors.MalformedObjectError(f"store sent a body that is not valid JSON: {error}") from error


def decode_object(body: bytes, era: int) -> StoredObject:
    """Decode a response body that holds a single object.

    Args:
        body: Body of the response.
        era: Era of the store.

    Raises:
        errors.MalformedObjectError: The body is not a valid object.
    """
    return _decode_stored(_load_json(body), era)


def _decode_stored(item: Any, era: int) -> StoredObject:
    try:
        meta = item["meta"]
        return StoredObject(str(meta["name"]), combine_revision(era, int(meta["revision"])), item.get("spec"))
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedObjectError(
            f"store sent an object without a valid name or revision: {error!r}"
        ) from error


def decode_page(body: bytes, era: int) -> Page:
    """Decode the response body of a list or watch call.

    Args:
        body: Body of the response.
        era: Era of the store.

    Raises:
        errors.MalformedObjectError: The body is malformed.
    """
    response = _load_json(body)
    try:
        revision = combine_revision(era, int(response["asOf"]))
        if "events" in response:
            # Only the last event of each name counts; one response may both create and delete an object.
            latest: dict[str, tuple[StoredObject, bool]] = {}
            for event in response["events"]:
                stored = _decode_stored(event["object"], era)
                latest[stored.name] = stored, bool(event.get("deleted"))
            present = tuple(stored for stored, deleted in latest.values() if not deleted)
            removed = tuple(stored.name for stored, deleted in latest.values() if deleted)
            return Page(revision, present, removed)
        items = tuple(_decode_stored(item, era) for item in response["items"])
        return Page(revision, items, (), items[-1].name if response.get("hasMore") and items else "")
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedObjectError(f"store sent a malformed list or watch response: {error!r}") from error


def decode_configuration(stored: StoredObject) -> model.Configuration:
    """Decode a configuration.

    Raises:
        errors.MalformedObjectError: A field is missing or has the wrong type.
    """
    try:
        value = stored.value
        organisations = {tenant["name"]: _decode_organisation(tenant) for tenant in value["tenants"]}
        return model.Configuration(
            revision=stored.revision,
            version=int(value["version"]),
            # ``host`` holds the name of the database; ``name`` is only a label of the route.
            routes={route["host"]: _decode_route(route) for route in value["routes"]},
            services={
                service["name"]: model.Service(service["name"], int(service["maxConns"]))
                for service in value["services"]
            },
            organisations=organisations,
            organisation_by_key={key: tenant["name"] for tenant in value["tenants"] for key in tenant["apiKeys"]},
            transaction_idle_s=value.get("limits", {}).get("txIdleMs", 3000) / 1000,
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedObjectError(
            f"configuration at revision {stored.revision} is malformed: {error!r}"
        ) from error


_CONSISTENCY = {
    "primary": model.Consistency.PRIMARY,
    "bounded_staleness": model.Consistency.BOUNDED,
    "own_writes": model.Consistency.OWN_WRITES,
}


def _decode_route(route: Mapping[str, Any]) -> model.Route:
    return model.Route(
        database=route["host"],
        service=route["service"],
        consistency=_CONSISTENCY[route["routeType"]],
        timeout_s=route["timeoutMs"] / 1000,
        target_latency_s=route["targetLatencyMs"] / 1000,
        priority=int(route.get("priority", 0)),
        max_staleness_s=route.get("maxStalenessMs", 0) / 1000,
        anonymous=bool(route.get("anonymous", False)),
        regions=frozenset(route.get("allowedRegions") or ()),
    )


def _decode_organisation(tenant: Mapping[str, Any]) -> model.Organisation:
    return model.Organisation(
        name=tenant["name"],
        rate=float(tenant["ratePerS"]),
        burst=float(tenant["burst"]),
        regions=frozenset(tenant.get("allowedRegions") or ()),
    )


def decode_instance(stored: StoredObject) -> model.Instance | None:
    """Decode an instance; return None if the entry is malformed or the instance is not usable.

    Programs other than instances may write entries. An entry with a missing or malformed field is logged and ignored.
    """
    try:
        entry = _expect_type("spec", stored.value, dict)
        host, port = _decode_address("addr", entry["addr"])
        return model.Instance(
            id=_expect_name("name", stored.name),
            service=_expect_name("service", entry["service"]),
            host=host,
            port=port,
            domain=_expect_name("zone", entry["zone"]),
            draining=_expect_choice("state", entry["state"], ("ready", "draining")) == "draining",
            role=model.Role(_expect_choice("dbRole", entry["dbRole"], _ROLES)),
            revision=stored.revision,
            started_at_ms=_expect_count("born", entry.get("born", 0)),
            slots=_expect_count("slots", entry.get("slots", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        _log_malformed("instance", stored, error)
        return None


def _log_malformed(subject: str, stored: StoredObject, error: Exception) -> None:
    _log.warning("ignoring malformed {} entry {}: {!r}", subject, reprlib.repr(stored.name), error)


# The values in the messages are shortened, because an entry may be as large as the store permits.


def _expect_type(field: str, value: Any, kind: type) -> Any:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{field}: expected {kind.__name__}, got {reprlib.repr(value)}")
    return value


def _expect_name(field: str, value: Any) -> str:
    """Return a name that can be a field of the line protocol."""
    if not _expect_type(field, value, str).isprintable() or not value or " " in value:
        raise ValueError(f"{field}: {reprlib.repr(value)} is empty, or has blanks or characters that cannot be printed")
    return value


def _expect_choice(field: str, value: Any, choices: tuple[str, ...]) -> str:
    if _expect_type(field, value, str) not in choices:
        raise ValueError(f"{field}: expected one of {', '.join(choices)}, got {reprlib.repr(value)}")
    return value


def _decode_address(field: str, value: Any) -> tuple[str, int]:
    host, _, port = _expect_type(field, value, str).rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"{field}: port {reprlib.repr(port)} is not between 1 and {MAX_PORT}")
    return _expect_host(field, host), _expect_port(field, int(port))


def _expect_host(field: str, value: Any) -> str:
    """Return an IP address without a scope; host names and scopes would be looked up."""
    try:
        ipaddress.ip_address(_expect_type(field, value, str))
    except ValueError:
        raise ValueError(f"{field}: {reprlib.repr(value)} is not an IP address") from None
    if "%" in value:
        raise ValueError(f"{field}: {reprlib.repr(value)} has a scope")
    return value


def _expect_port(field: str, value: Any) -> int:
    if not 0 < _expect_type(field, value, int) <= MAX_PORT:
        raise ValueError(f"{field}: port {reprlib.repr(value)} is not between 1 and {MAX_PORT}")
    return value


def _expect_count(field: str, value: Any) -> int:
    """Return a natural number below ``MAX_COUNT``."""
    if not 0 <= _expect_type(field, value, int) < MAX_COUNT:
        raise ValueError(f"{field}: {reprlib.repr(value)} is not between 0 and {MAX_COUNT - 1}")
    return value


def encode_member(member: model.Member) -> dict[str, Any]:
    """Encode the value with which a VM registers itself."""
    value: dict[str, Any] = {"peerHost": member.host, "peerPort": member.port, "domain": member.domain}
    return value if member.capacity is None else value | {"capacity": member.capacity}


def decode_member(stored: StoredObject) -> model.Member | None:
    """Decode a VM; return None if the entry is malformed, which is logged."""
    try:
        value = _expect_type("spec", stored.value, dict)
        return model.Member(
            _expect_name("name", stored.name),
            _expect_host("peerHost", value["peerHost"]),
            _expect_port("peerPort", value["peerPort"]),
            _expect_name("domain", value["domain"]),
            _decode_capacity(stored.name, value.get("capacity")),
        )
    except (KeyError, TypeError, ValueError) as error:
        _log_malformed("member", stored, error)
        return None


def _decode_capacity(name: str, value: Any) -> float | None:
    """Return the capacity of a member, or None if the entry has none or a malformed one."""
    if value is None:
        return None
    # A comparison with NaN fails, too.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < MAX_COUNT:
        _log.warning(
            "ignoring capacity {} of member {}, expected a number from 0 to {}", reprlib.repr(value), name, MAX_COUNT
        )
        return None
    return float(value)


def encode_duty(duty: model.Duty, previous: int) -> dict[str, Any]:
    """Encode the entry of a duty.

    The entry includes the revision of its predecessor, because the store assigns no new revision to a replacement that
    changes nothing.

    Args:
        duty: The duty.
        previous: Revision of the replaced entry.
    """
    value: dict[str, Any] = {"holder": duty.holder, "previous": previous}
    if duty.stage is not model.DutyStage.CLAIMED:
        value["stage"] = duty.stage.value
    return value | {"ordered": duty.ordered} if duty.ordered else value


def decode_duty(stored: StoredObject) -> model.Duty:
    """Decode a duty; its holder is empty if the entry is malformed."""
    value = stored.value if isinstance(stored.value, Mapping) else {}
    try:
        stage = model.DutyStage(value.get("stage", model.DutyStage.CLAIMED.value))
    except ValueError:
        _log.warning("ignoring stage {} of duty {}", reprlib.repr(value["stage"]), reprlib.repr(stored.name))
        stage = model.DutyStage.CLAIMED
    return model.Duty(str(value.get("holder", "")), stage, str(value.get("ordered", "")))


def encode_commits(at_least: model.Position, at_most: model.Position) -> dict[str, Any]:
    """Encode the bounds of the latest acknowledged commit of a service."""
    return {"at_least": [at_least.term, at_least.number], "at_most": [at_most.term, at_most.number]}


def decode_commits(stored: StoredObject) -> tuple[model.Position, model.Position]:
    """Decode the lower and the upper bound of the latest acknowledged commit of a service.

    Raises:
        errors.MalformedObjectError: The record is malformed.
    """
    try:
        value = _expect_type("spec", stored.value, dict)
        at_least, at_most = (
            model.Position(*(_expect_count(field, part) for part in _expect_type(field, value[field], list)))
            for field in ("at_least", "at_most")
        )
        if at_least > at_most:
            raise ValueError(f"at_least: {at_least} is above at_most: {at_most}")
        return at_least, at_most
    except (KeyError, TypeError, ValueError) as error:
        raise errors.MalformedObjectError(f"record of commits {stored.name!r} is malformed: {error!r}") from error


def encode_usage(record: model.UsageRecord) -> dict[str, Any]:
    """Encode the record of finalised windows."""
    return {
        "generation": record.generation,
        "last": record.last,
        "windows": {str(window): dict(counts) for window, counts in sorted(record.windows.items())},
    }


def decode_usage(stored: StoredObject) -> model.UsageRecord:
    """Decode the record of finalised windows.

    Raises:
        errors.MalformedObjectError: The record is malformed.
    """
    try:
        value = stored.value
        return model.UsageRecord(
            int(value["generation"]),
            int(value["last"]),
            {
                int(window): {str(name): int(count) for name, count in counts.items()}
                for window, counts in value["windows"].items()
            },
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise errors.MalformedObjectError(f"record of usage windows is malformed: {error!r}") from error


def decode_name(stored: StoredObject) -> str:
    """Return the name of an object whose value has no meaning."""
    return stored.name
