"""Access to group records, which are the platform's objects of kind ``groups``."""

import dataclasses
import secrets
from collections.abc import Callable
from typing import Any

from currantlead import errors, interfaces, wire
from currantlead.control import exchange, model, records

WRITE_ATTEMPTS = 3


def group_to_value(group: model.Group, change_id: str) -> dict[str, Any]:
    """Return the value of a group's object; ``change_id`` identifies the write in case its answer is lost."""
    return {**records.encode(group), "change_id": change_id}


def group_from_value(name: str, value: Any, version: int) -> model.Group:
    """Return the group that the value of an object describes.

    Raises:
        errors.MalformedObjectError: A field is missing or invalid; the message names it.
    """
    return records.decode(records.GROUPS, name, version, value)


class GroupRecords:
    """Client of the group records on the platform that announces written records to other VMs."""

    def __init__(
        self, *, platform: interfaces.Platform, peers: interfaces.Peers, on_group: Callable[[model.Group], None]
    ):
        """Initialize the client.

        Args:
            platform: Client of the platform.
            peers: Streams to other VMs, which receive each record that this VM writes.
            on_group: Called with each record that was written or passed to ``apply_locally``.
        """
        self._platform = platform
        self._peers = peers
        self._on_group = on_group

    async def read(self, name: str) -> model.Group | None:
        """Return the stored record of a group, or None if there is none.

        Raises:
            errors.PlatformUnavailableError: The platform gave no usable answer.
            errors.MalformedObjectError: The stored value is not valid.
        """
        stored = await self._platform.read("groups", name)
        return None if stored is None else group_from_value(name, stored.value, stored.version)

    async def write(self, group: model.Group) -> model.Group:
        """Replace a record by conditional update and announce the new one.

        Args:
            group: The new record, with the version that it replaces.

        Returns:
            The record with its new version.

        Raises:
            errors.VersionConflictError: The stored record has another version.
            errors.PlatformUnavailableError: The outcome of the write is unknown.
        """
        change_id = f"{self._peers.member.vm}-{secrets.token_hex(8)}"
        written = await self._write_with_retries(group, change_id)
        self.apply_locally(written)
        row = (records.GROUPS, written.name, written.version, group_to_value(written, change_id))
        body = wire.to_map(exchange.Objects((row,)))
        for vm in self._peers.connected():
            self._peers.notify(vm, "objects", body)
        return written

    def apply_locally(self, group: model.Group) -> None:
        """Pass a record to the callback of this VM."""
        self._on_group(group)

    async def _write_with_retries(self, group: model.Group, change_id: str) -> model.Group:
        value = group_to_value(group, change_id)
        last_error: errors.PlatformUnavailableError | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                version = await self._platform.write("groups", group.name, value, if_version=group.version)
                return dataclasses.replace(group, version=version)
            except errors.VersionConflictError:
                # An earlier attempt may have succeeded although its answer was lost.
                if (stored := await self._read_own_write(group, change_id)) is not None:
                    return stored
                raise
            except errors.PlatformUnavailableError as error:
                last_error = error
            if (stored := await self._read_own_write(group, change_id)) is not None:
                return stored
        raise last_error or errors.PlatformUnavailableError(f"groups/{group.name} could not be written")

    async def _read_own_write(self, group: model.Group, change_id: str) -> model.Group | None:
        """Return the stored record if this change wrote it, or None.

        The platform may have changed the instances since then, so the stored ones are returned.
        """
        stored = await self._platform.read("groups", group.name)
        if stored is None or stored.value.get("change_id") != change_id:
            return None
        found = group_from_value(group.name, stored.value, stored.version)
        same = (found.term, found.phase, found.primary) == (group.term, group.phase, group.primary)
        return found if same else None
