"""Stored form of the configuration: validated models, content-addressed parts and the index that names them."""

import dataclasses
import hashlib
import json
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic

from currantlead import errors
from currantlead.control import model

SHARDS = 64
PLACES = "places"
INDEX_KIND = "configuration"
INDEX_NAME = "current"
PART_KIND = "parts"
# The platform takes values of at most 1 MB; the difference covers the JSON escapes around a part's text.
MAX_PART_BYTES = 900_000
# Change ids kept in the index: they tell an operator whose answer was lost that the change was stored, even if others
# have changed the configuration since. At 1,600 changes a day they cover about 14 minutes.
RECENT_CHANGES = 16

_Name = Annotated[str, pydantic.Field(min_length=1, max_length=128, pattern=r"^[^\s/:,]+$")]
_Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Positive = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class _Stored(pydantic.BaseModel):
    # An unknown field is refused, since a VM that ignored it would drop it from the next change that it stores.
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Domain(_Stored):
    region: str = ""
    state: model.ServiceState = model.ServiceState.IN_SERVICE


class _Service(_Stored):
    slots: pydantic.PositiveInt
    connections: pydantic.PositiveInt
    queue_length: pydantic.PositiveInt = 64
    queue_timeout_s: _Positive = 2.0


class _Database(_Stored):
    service: _Name


class _Organisation(_Stored):
    rate: _Positive
    burst: Annotated[float, pydantic.Field(ge=1, allow_inf_nan=False)]
    services: tuple[_Name, ...] = ()
    keys: dict[_Name, _Digest] = {}
    weight: _Positive = 1.0


class _Route(_Stored):
    database: _Name
    sql: Annotated[str, pydantic.Field(min_length=1)]
    max_age_s: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Shard(_Stored):
    organisations: dict[_Name, _Organisation]


class _Places(_Stored):
    domains: dict[_Name, _Domain] = {}
    services: dict[_Name, _Service] = {}
    databases: dict[_Name, _Database] = {}
    routes: dict[_Name, _Route] = {}
    instances: dict[_Name, model.ServiceState] = {}
    vms: dict[_Name, model.ServiceState] = {}


class Change(_Stored):
    """Name a change that is part of the configuration."""

    number: pydantic.PositiveInt
    change_id: Annotated[str, pydantic.Field(min_length=1, max_length=200)]


class Index(_Stored):
    """Describe the object ``configuration/current``.

    Attributes:
        number: Number of the configuration.
        change_id: Id of the change that made it.
        parts: Digest of each part by its label.
        recent: The latest changes, newest last.
    """

    number: pydantic.PositiveInt
    change_id: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    parts: dict[str, _Digest]
    recent: tuple[Change, ...] = ()

    def stored_as(self, change_id: str) -> int | None:
        """Return the number under which a change was stored, or None if the index does not name it."""
        return next((change.number for change in self.recent if change.change_id == change_id), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Encoded:
    """Hold the parts of a configuration: their texts by digest, and their digests by label."""

    labels: Mapping[str, str]
    texts: Mapping[str, str]


_KINDS: dict[str, tuple[type[_Stored], type[Any]]] = {
    "domains": (_Domain, model.Domain),
    "services": (_Service, model.Service),
    "databases": (_Database, model.Database),
    "routes": (_Route, model.Route),
}


def digest(text: str) -> str:
    """Return the name of the part that has this text."""
    return hashlib.sha256(text.encode()).hexdigest()


def shard(organisation: str) -> str:
    """Return the label of the part that holds an organisation."""
    return f"organisations-{hashlib.sha256(organisation.encode()).digest()[0] % SHARDS:02}"


def encode(configuration: model.Configuration) -> Encoded:
    """Split a configuration into validated parts.

    Args:
        configuration: The configuration; its number is not part of the parts.

    Returns:
        The parts. Shards without organisations are left out.

    Raises:
        errors.MalformedObjectError: A field is not valid, a name refers to nothing, or a part is too large.
    """
    shards: dict[str, dict[str, Any]] = {}
    for name, organisation in configuration.organisations.items():
        shards.setdefault(shard(name), {})[name] = _fields(name, organisation)
    parts: dict[str, Any] = {
        label: _validate(_Shard, {"organisations": members}, label) for label, members in shards.items()
    }
    parts[PLACES] = _validate(_Places, _places(configuration), PLACES)
    _check_references(configuration)
    texts = {label: _text(label, part) for label, part in sorted(parts.items())}
    labels = {label: digest(text) for label, text in texts.items()}
    return Encoded(labels, {labels[label]: text for label, text in texts.items()})


def decode_part(label: str, text: str) -> Mapping[str, Mapping[str, Any]]:
    """Decode one part into data classes.

    Args:
        label: Label of the part in the index.
        text: Text of the part.

    Returns:
        The fields of ``model.Configuration`` that the part holds.

    Raises:
        errors.MalformedObjectError: The text is not a valid part; the message names the place.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        raise errors.MalformedObjectError(f"{label}: {error}") from None
    if label != PLACES:
        return {"organisations": _organisations(label, value)}
    places = _validate(_Places, value, label)
    decoded: dict[str, Mapping[str, Any]] = {"instances": places.instances, "vms": places.vms}
    for kind, (_, build) in _KINDS.items():
        decoded[kind] = {name: build(name=name, **_values(entry)) for name, entry in getattr(places, kind).items()}
    return decoded


def assemble(number: int, parts: Mapping[str, Mapping[str, Mapping[str, Any]]]) -> model.Configuration:
    """Join decoded parts into a configuration.

    Args:
        number: Number of the configuration.
        parts: Decoded parts by label.
    """
    organisations: dict[str, model.Organisation] = {}
    for label, part in parts.items():
        if label != PLACES:
            organisations.update(part["organisations"])
    return model.Configuration(number=number, organisations=organisations, **parts.get(PLACES, {}))


def decode(number: int, labels: Mapping[str, str], texts: Mapping[str, str]) -> model.Configuration:
    """Decode a whole configuration from the texts of its parts."""
    return assemble(number, {label: decode_part(label, texts[name]) for label, name in labels.items()})


def decode_index(value: Any) -> Index:
    """Validate the value of the index object."""
    return _validate(Index, value, f"{INDEX_KIND}/{INDEX_NAME}")


def encode_index(index: Index) -> dict[str, Any]:
    """Return the value of the index object."""
    return index.model_dump(mode="json")


def part_value(text: str) -> dict[str, str]:
    """Return the value of a part object.

    The part is stored as a text, since a store that rewrites numbers (1.0 as 1) would change the digest.
    """
    return {"text": text}


def part_text(name: str, value: Any) -> str:
    """Return the text of a part object after checking it against its digest.

    Raises:
        errors.MalformedObjectError: The value is not a part, or not the part of that name.
    """
    text = value.get("text") if isinstance(value, Mapping) else None
    if not isinstance(text, str):
        raise errors.MalformedObjectError(f"{PART_KIND}/{name}: text is missing")
    if digest(text) != name:
        raise errors.MalformedObjectError(f"{PART_KIND}/{name}: text does not match its digest")
    return text


def _organisations(label: str, value: Any) -> dict[str, model.Organisation]:
    members = _validate(_Shard, value, label).organisations
    misplaced = next((name for name in members if shard(name) != label), None)
    if misplaced is not None:
        raise errors.MalformedObjectError(f"{label}.organisations.{misplaced}: belongs to {shard(misplaced)}")
    return {name: model.Organisation(name=name, **_values(entry)) for name, entry in members.items()}


def _fields(key: str, value: Any) -> dict[str, Any]:
    if value.name != key:
        raise errors.MalformedObjectError(f"{type(value).__name__} {value.name} is stored under the name {key}")
    return {field.name: getattr(value, field.name) for field in dataclasses.fields(value) if field.name != "name"}


def _values(entry: _Stored) -> dict[str, Any]:
    # ``dict(entry)`` fails on a model with a field named ``keys``.
    return {name: getattr(entry, name) for name in type(entry).model_fields}


def _places(configuration: model.Configuration) -> dict[str, Any]:
    places: dict[str, Any] = {
        kind: {name: _fields(name, entry) for name, entry in getattr(configuration, kind).items()} for kind in _KINDS
    }
    return {**places, "instances": dict(configuration.instances), "vms": dict(configuration.vms)}


def _validate(kind: type[Any], value: Any, place: str) -> Any:
    try:
        return kind.model_validate(value)
    except pydantic.ValidationError as error:
        fault = error.errors()[0]
        where = ".".join([place, *(str(part) for part in fault["loc"])])
        raise errors.MalformedObjectError(f"{where}: {fault['msg']}") from None


def _text(label: str, part: pydantic.BaseModel) -> str:
    value = part.model_dump(mode="json")
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    size = len(text.encode())
    if size > MAX_PART_BYTES:
        raise errors.MalformedObjectError(f"{label}: {size} bytes are more than the {MAX_PART_BYTES} of a part")
    return text


def _check_references(configuration: model.Configuration) -> None:
    owners: dict[str, str] = {}
    for database in configuration.databases.values():
        _check(database.service in configuration.services, f"databases.{database.name}.service", database.service)
    for route in configuration.routes.values():
        _check(route.database in configuration.databases, f"routes.{route.name}.database", route.database)
    for organisation in configuration.organisations.values():
        for service in organisation.services:
            _check(service in configuration.services, f"organisations.{organisation.name}.services", service)
        for key in organisation.keys.values():
            other = owners.setdefault(key, organisation.name)
            if other != organisation.name:
                raise errors.MalformedObjectError(f"organisations.{organisation.name}.keys: key belongs to {other}")


def _check(known: bool, place: str, name: str) -> None:
    if not known:
        raise errors.MalformedObjectError(f"{place}: there is no {name}")
