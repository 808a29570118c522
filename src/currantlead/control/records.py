"""Typed access to the objects of the kinds ``groups``, ``views`` and ``shares``."""

import dataclasses
import functools
from collections.abc import Mapping
from typing import Any, TypeVar

import pydantic

from currantlead import errors, interfaces
from currantlead.control import model

GROUPS = "groups"
VIEWS = "views"
SHARES = "shares"
SHARES_NAME = "current"

Record = model.Group | model.View | model.Shares
RecordT = TypeVar("RecordT", model.Group, model.View, model.Shares)

_RECORD_CLASSES: dict[str, type[Any]] = {GROUPS: model.Group, VIEWS: model.View, SHARES: model.Shares}
_KINDS_BY_CLASS = {kind: name for name, kind in _RECORD_CLASSES.items()}
# Field that repeats the name of the object; a value may omit it.
_NAME_FIELDS = {GROUPS: "name", VIEWS: "domain"}
# The platform creates groups without these fields, which are set by the first promotion.
_DEFAULTS: dict[str, dict[str, Any]] = {GROUPS: {"phase": "stable", "primary": ""}}


def object_key(record: Record) -> tuple[str, str]:
    """Return the kind and name of the object in which a record is stored."""
    kind = _KINDS_BY_CLASS[type(record)]
    return kind, getattr(record, _NAME_FIELDS[kind]) if kind in _NAME_FIELDS else SHARES_NAME


def encode(record: Record) -> dict[str, Any]:
    """Return the value of a record's object, which does not include the version."""
    value = _type_adapter(type(record)).dump_python(record, mode="json")
    del value["version"]
    return value


def decode(kind: str, name: str, version: int, value: Any) -> Any:
    """Return the validated record that an object contains.

    Args:
        kind: ``groups``, ``views`` or ``shares``.
        name: Name of the object.
        version: Version of the object.
        value: Value of the object.

    Returns:
        The record.

    Raises:
        errors.MalformedObjectError: The value is not valid; the message contains the path of the field.
    """
    if not isinstance(value, Mapping):
        raise errors.MalformedObjectError(f"{kind}/{name}: value is not a map")
    fields = {**_DEFAULTS.get(kind, {}), **value, "version": version}
    if kind in _NAME_FIELDS and fields.setdefault(_NAME_FIELDS[kind], name) != name:
        raise errors.MalformedObjectError(
            f"{kind}/{name}.{_NAME_FIELDS[kind]}: differs from the name of the object: {fields[_NAME_FIELDS[kind]]!r}"
        )
    try:
        record = _type_adapter(_RECORD_CLASSES[kind]).validate_python(fields)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        field = ".".join(str(part) for part in first_error["loc"])
        raise errors.MalformedObjectError(f"{kind}/{name}.{field}: {first_error['msg']}") from None
    _validate(record)
    return record


async def read(platform: interfaces.Platform, kind: str, name: str) -> Any:
    """Return a record read from the platform, or None if there is no such object.

    Raises:
        errors.PlatformUnavailableError: The platform gave no usable answer.
        errors.MalformedObjectError: The stored value is not valid.
    """
    stored = await platform.read(kind, name)
    return None if stored is None else decode(kind, name, stored.version, stored.value)


async def write(platform: interfaces.Platform, record: RecordT) -> RecordT:
    """Write a record by conditional update on its version; version 0 creates the object.

    Returns:
        The record with its new version.

    Raises:
        errors.VersionConflictError: The stored object has another version.
        errors.PlatformUnavailableError: The platform gave no usable answer; the write may have taken effect.
        errors.MalformedObjectError: The record is not valid and was not written.
    """
    _validate(record)
    kind, name = object_key(record)
    version = await platform.write(kind, name, encode(record), if_version=record.version)
    return dataclasses.replace(record, version=version)


def to_object(record: Record) -> interfaces.StoredObject:
    """Return the object of a record, for example to apply it to a directory after a write."""
    kind, name = object_key(record)
    return interfaces.StoredObject(kind, name, record.version, encode(record))


def _validate(record: Record) -> None:
    kind, name = object_key(record)
    message = {GROUPS: _group_error, VIEWS: _view_error, SHARES: _shares_error}[kind](record)
    if message:
        raise errors.MalformedObjectError(f"{kind}/{name}.{message}")


def _group_error(group: model.Group) -> str:
    names = [instance.name for instance in group.instances]
    if group.term < 0:
        return f"term: {group.term} is negative"
    if len(set(names)) != len(names):
        return "instances: two instances have the same name"
    if group.primary and group.primary not in names:
        return f"primary: {group.primary} is not an instance of the group"
    if any(start < 0 or term > group.term for term, start in group.starts.items()):
        return "starts: a start is negative or belongs to a term above the current one"
    return ""


def _view_error(view: model.View) -> str:
    names = [member.vm for member in view.members]
    if view.number < 0:
        return f"number: {view.number} is negative"
    if names != sorted(set(names)):
        return "members: not sorted by name, or two members have the same name"
    if any(member.domain != view.domain for member in view.members):
        return "members: a member belongs to another domain"
    return ""


def _shares_error(shares: model.Shares) -> str:
    for field in ("shares", "previous"):
        values = list(getattr(shares, field).values())
        # Rounding errors, for example of thirds and sevenths, may raise the sum above 1 by less than 1e-9.
        if not all(0 <= value <= 1 for value in values) or sum(values) > 1 + 1e-9:
            return f"{field}: a share is not between 0 and 1, or their sum exceeds 1"
    return ""


@functools.cache
def _type_adapter(kind: type[Any]) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(kind)
