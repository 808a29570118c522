"""Stored form of the configuration: validated, content-addressed parts and an index that lists them."""

import dataclasses
import hashlib
import json
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic

from currantlead import errors
from currantlead.control import model

SHARD_COUNT = 64
PLACES = "places"
INDEX_KIND = "configuration"
INDEX_NAME = "current"
PART_KIND = "parts"
# The platform accepts values of at most 1 MB; the margin is for escape characters, as a part is a JSON string.
MAX_PART_BYTES = 900_000
# Number of change ids kept in the index. They show that a change was stored if its answer was lost, even if the
# configuration has been changed since. At 1,600 changes a day they cover about 14 minutes.
RECENT_CHANGES = 16

_Name = Annotated[str, pydantic.Field(min_length=1, max_length=128, pattern=r"^[^\s/:,]+$")]
_Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Positive = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class _StoredModel(pydantic.BaseModel):
    # Unknown fields are rejected, since a VM that ignored one would drop it from the next change that it stores.
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Domain(_StoredModel):
    region: str = ""
    state: model.ServiceState = model.ServiceState.IN_SERVICE


class _Service(_StoredModel):
    slots: pydantic.PositiveInt
    connections: pydantic.PositiveInt
    queue_length: pydantic.PositiveInt = 64
    queue_timeout_s: _Positive = 2.0


class _Database(_StoredModel):
    service: _Name


class _Organisation(_StoredModel):
    rate: _Positive
    burst: Annotated[float, pydantic.Field(ge=1, allow_inf_nan=False)]
    services: tuple[_Name, ...] = ()
    keys: dict[_Name, _Digest] = {}
    weight: _Positive = 1.0


class _Route(_StoredModel):
    database: _Name
    sql: Annotated[str, pydantic.Field(min_length=1)]
    max_age_s: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Shard(_StoredModel):
    organisations: dict[_Name, _Organisation]


class _Places(_StoredModel):
    domains: dict[_Name, _Domain] = {}
    services: dict[_Name, _Service] = {}
    databases: dict[_Name, _Database] = {}
    routes: dict[_Name, _Route] = {}
    instances: dict[_Name, model.ServiceState] = {}
    vms: dict[_Name, model.ServiceState] = {}


class Change(_StoredModel):
    """Change contained in the configuration, with the number under which it was stored."""

    number: pydantic.PositiveInt
    change_id: Annotated[str, pydantic.Field(min_length=1, max_length=200)]


class Index(_StoredModel):
    """Value of the object ``configuration/current``.

    Attributes:
        number: Number of the configuration.
        change_id: Id of the change that created it.
        parts: Digests of the parts by label.
        recent: Latest changes, newest last.
    """

    number: pydantic.PositiveInt
    change_id: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    parts: dict[str, _Digest]
    recent: tuple[Change, ...] = ()

    def number_of_change(self, change_id: str) -> int | None:
        """Return the number under which a change was stored, or None if it is not among the recent changes."""
        return next((change.number for change in self.recent if change.change_id == change_id), None)


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedConfiguration:
    """Encoded parts of a configuration.

    Attributes:
        labels: Digests of the parts by label.
        texts: Texts of the parts by digest.
    """

    labels: Mapping[str, str]
    texts: Mapping[str, str]


_ENTRY_CLASSES: dict[str, tuple[type[_StoredModel], type[Any]]] = {
    "domains": (_Domain, model.Domain),
    "services": (_Service, model.Service),
    "databases": (_Database, model.Database),
    "routes": (_Route, model.Route),
}


def digest(text: str) -> str:
    """Return the SHA-256 digest of a part's text, which is the name of its object."""
    return hashlib.sha256(text.encode()).hexdigest()


def shard_label(organisation: str) -> str:
    """Return the label of the part that contains an organisation."""
    return f"organisations-{hashlib.sha256(organisation.encode()).digest()[0] % SHARD_COUNT:02}"


def encode(configuration: model.Configuration) -> EncodedConfiguration:
    """Validate a configuration and encode it as parts.

    Args:
        configuration: The configuration; its number is not encoded.

    Returns:
        The encoded parts. Shards without organisations are omitted.

    Raises:
        errors.MalformedObjectError: A field is invalid, a referenced name does not exist, or a part is too large.
    """
    shards: dict[str, dict[str, Any]] = {}
    for name, organisation in configuration.organisations.items():
        shards.setdefault(shard_label(name), {})[name] = _field_values(name, organisation)
    parts: dict[str, Any] = {
        label: _validate(_Shard, {"organisations": entries}, label) for label, entries in shards.items()
    }
    parts[PLACES] = _validate(_Places, _places_value(configuration), PLACES)
    _check_references(configuration)
    texts = {label: _encode_part(label, part) for label, part in sorted(parts.items())}
    labels = {label: digest(text) for label, text in texts.items()}
    return EncodedConfiguration(labels, {labels[label]: text for label, text in texts.items()})


def decode_part(label: str, text: str) -> Mapping[str, Mapping[str, Any]]:
    """Decode a part into data classes.

    Args:
        label: Label of the part in the index.
        text: Text of the part.

    Returns:
        The fields of ``model.Configuration`` that the part contains.

    Raises:
        errors.MalformedObjectError: The text is not a valid part; the message contains the path of the invalid field.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        raise errors.MalformedObjectError(f"{label}: {error}") from None
    if label != PLACES:
        return {"organisations": _organisations(label, value)}
    places = _validate(_Places, value, label)
    decoded: dict[str, Mapping[str, Any]] = {"instances": places.instances, "vms": places.vms}
    for kind, (_, build) in _ENTRY_CLASSES.items():
        decoded[kind] = {
            name: build(name=name, **_entry_values(entry)) for name, entry in getattr(places, kind).items()
        }
    return decoded


def assemble(number: int, parts: Mapping[str, Mapping[str, Mapping[str, Any]]]) -> model.Configuration:
    """Build a configuration from its decoded parts.

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
    """Decode a configuration from the texts of its parts.

    Args:
        number: Number of the configuration.
        labels: Digests of the parts by label.
        texts: Texts of the parts by digest.

    Raises:
        errors.MalformedObjectError: A part is not valid.
    """
    return assemble(number, {label: decode_part(label, texts[name]) for label, name in labels.items()})


def decode_index(value: Any) -> Index:
    """Decode and validate the value of the index object.

    Raises:
        errors.MalformedObjectError: The value is not a valid index.
    """
    return _validate(Index, value, f"{INDEX_KIND}/{INDEX_NAME}")


def encode_index(index: Index) -> dict[str, Any]:
    """Return the value of the index object."""
    return index.model_dump(mode="json")


def part_value(text: str) -> dict[str, str]:
    """Return the value of a part object.

    A part is stored as a string, since a store that rewrites numbers (1.0 as 1) would change its digest.
    """
    return {"text": text}


def part_text(name: str, value: Any) -> str:
    """Return the text of a part object after verifying its digest.

    Args:
        name: Name of the object, which is the digest.
        value: Value of the object.

    Raises:
        errors.MalformedObjectError: The value is not a part, or its text has another digest.
    """
    text = value.get("text") if isinstance(value, Mapping) else None
    if not isinstance(text, str):
        raise errors.MalformedObjectError(f"{PART_KIND}/{name}: text is missing")
    if digest(text) != name:
        raise errors.MalformedObjectError(f"{PART_KIND}/{name}: text does not match the digest")
    return text


def _organisations(label: str, value: Any) -> dict[str, model.Organisation]:
    entries = _validate(_Shard, value, label).organisations
    misplaced = next((name for name in entries if shard_label(name) != label), None)
    if misplaced is not None:
        raise errors.MalformedObjectError(
            f"{label}.organisations.{misplaced}: organisation belongs to part {shard_label(misplaced)}"
        )
    return {name: model.Organisation(name=name, **_entry_values(entry)) for name, entry in entries.items()}


def _field_values(key: str, value: Any) -> dict[str, Any]:
    if value.name != key:
        raise errors.MalformedObjectError(f"{type(value).__name__} {value.name} is stored under the name {key}")
    return {field.name: getattr(value, field.name) for field in dataclasses.fields(value) if field.name != "name"}


def _entry_values(entry: _StoredModel) -> dict[str, Any]:
    # ``dict(entry)`` fails for a model with a field named ``keys``.
    return {name: getattr(entry, name) for name in type(entry).model_fields}


def _places_value(configuration: model.Configuration) -> dict[str, Any]:
    places: dict[str, Any] = {
        kind: {name: _field_values(name, entry) for name, entry in getattr(configuration, kind).items()}
        for kind in _ENTRY_CLASSES
    }
    return {**places, "instances": dict(configuration.instances), "vms": dict(configuration.vms)}


def _validate(kind: type[Any], value: Any, path: str) -> Any:
    try:
        return kind.model_validate(value)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        full_path = ".".join([path, *(str(part) for part in first_error["loc"])])
        raise errors.MalformedObjectError(f"{full_path}: {first_error['msg']}") from None


def _encode_part(label: str, part: pydantic.BaseModel) -> str:
    value = part.model_dump(mode="json")
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    size = len(text.encode())
    if size > MAX_PART_BYTES:
        raise errors.MalformedObjectError(f"{label}: {size} bytes exceed the limit of {MAX_PART_BYTES} for a part")
    return text


def _check_references(configuration: model.Configuration) -> None:
    key_owners: dict[str, str] = {}
    for database in configuration.databases.values():
        _check_exists(
            database.service in configuration.services, f"databases.{database.name}.service", database.service
        )
    for route in configuration.routes.values():
        _check_exists(route.database in configuration.databases, f"routes.{route.name}.database", route.database)
    for organisation in configuration.organisations.values():
        for service in organisation.services:
            _check_exists(service in configuration.services, f"organisations.{organisation.name}.services", service)
        for key in organisation.keys.values():
            other = key_owners.setdefault(key, organisation.name)
            if other != organisation.name:
                raise errors.MalformedObjectError(
                    f"organisations.{organisation.name}.keys: a key is already used by {other}"
                )


def _check_exists(exists: bool, path: str, name: str) -> None:
    if not exists:
        raise errors.MalformedObjectError(f"{path}: unknown name {name}")
