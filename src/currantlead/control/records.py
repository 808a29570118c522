"""Typed reading and writing of the objects of kinds ``groups``, ``views`` and ``shares``."""

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
R = TypeVar("R", model.Group, model.View, model.Shares)

_CLASSES: dict[str, type[Any]] = {GROUPS: model.Group, VIEWS: model.View, SHARES: model.Shares}
_KINDS = {kind: name for name, kind in _CLASSES.items()}
# The field that repeats the object's name; a value may leave it out.
_NAMES = {GROUPS: "name", VIEWS: "domain"}
# A group that the platform has just created has had no promotion yet.
_DEFAULTS: dict[str, dict[str, Any]] = {GROUPS: {"phase": "stable", "primary": ""}}


def place(record: Record) -> tuple[str, str]:
    """Return kind and name of a record's object."""
    kind = _KINDS[type(record)]
    return kind, getattr(record, _NAMES[kind]) if kind in _NAMES else SHARES_NAME


def encode(record: Record) -> dict[str, Any]:
    """Return a record as the value of its object; the version is not part of it."""
    value = _adapter(type(record)).dump_python(record, mode="json")
    del value["version"]
    return value


def decode(kind: str, name: str, version: int, value: Any) -> Any:
    """Build a record from an object.

    Args:
        kind: ``groups``, ``views`` or ``shares``.
        name: Name of the object.
        version: Version of the object.
        value: Value of the object.

    Returns:
        The record.

    Raises:
        errors.MalformedObjectError: The value is not valid; the message names the field.
    """
    if not isinstance(value, Mapping):
        raise errors.MalformedObjectError(f"{kind}/{name}: value is not a map")
    given = {**_DEFAULTS.get(kind, {}), **value, "version": version}
    if kind in _NAMES and given.setdefault(_NAMES[kind], name) != name:
        raise errors.MalformedObjectError(f"{kind}/{name}.{_NAMES[kind]}: is {given[_NAMES[kind]]!r}")
    try:
        record = _adapter(_CLASSES[kind]).validate_python(given)
    except pydantic.ValidationError as error:
        fault = error.errors()[0]
        field = ".".join(str(part) for part in fault["loc"])
        raise errors.MalformedObjectError(f"{kind}/{name}.{field}: {fault['msg']}") from None
    _check(record)
    return record


async def read(platform: interfaces.Platform, kind: str, name: str) -> Any:
    """Read a record from the platform; return None if there is no such object.

    Raises:
        errors.PlatformUnavailableError: No usable answer.
        errors.MalformedObjectError: The stored value is not valid.
    """
    stored = await platform.read(kind, name)
    return None if stored is None else decode(kind, name, stored.version, stored.value)


async def write(platform: interfaces.Platform, record: R) -> R:
    """Write a record if its object still has the record's version (0: there is none yet).

    Returns:
        The record with its new version.

    Raises:
        errors.VersionConflictError: The object has changed.
        errors.PlatformUnavailableError: No usable answer; the write may have taken effect.
        errors.MalformedObjectError: The record is not valid; nothing was written.
    """
    _check(record)
    kind, name = place(record)
    version = await platform.write(kind, name, encode(record), if_version=record.version)
    return dataclasses.replace(record, version=version)


def stored(record: Record) -> interfaces.StoredObject:
    """Return a record as an object, to be applied to a directory after a write."""
    kind, name = place(record)
    return interfaces.StoredObject(kind, name, record.version, encode(record))


def _check(record: Record) -> None:
    kind, name = place(record)
    fault = {GROUPS: _group_fault, VIEWS: _view_fault, SHARES: _shares_fault}[kind](record)
    if fault:
        raise errors.MalformedObjectError(f"{kind}/{name}.{fault}")


def _group_fault(group: model.Group) -> str:
    names = [instance.name for instance in group.instances]
    if group.term < 0:
        return f"term: {group.term} is negative"
    if len(set(names)) != len(names):
        return "instances: a name occurs twice"
    if group.primary and group.primary not in names:
        return f"primary: {group.primary} is not an instance"
    if any(start < 0 or term > group.term for term, start in group.starts.items()):
        return "starts: a start is negative or its term is in the future"
    return ""


def _view_fault(view: model.View) -> str:
    names = [member.vm for member in view.members]
    if view.number < 0:
        return f"number: {view.number} is negative"
    if names != sorted(set(names)):
        return "members: not sorted by name, or a name occurs twice"
    if any(member.domain != view.domain for member in view.members):
        return "members: a member belongs to another domain"
    return ""


def _shares_fault(shares: model.Shares) -> str:
    for field in ("shares", "previous"):
        values = list(getattr(shares, field).values())
        # Rounding of thirds and sevenths may exceed 1 by less than this.
        if not all(0 <= value <= 1 for value in values) or sum(values) > 1 + 1e-9:
            return f"{field}: a share is outside 0 to 1, or the sum is above 1"
    return ""


@functools.cache
def _adapter(kind: type[Any]) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(kind)
