"""Read, write and announce group records, the platform's objects of kind ``groups``."""

import dataclasses
import secrets
from collections.abc import Callable
from typing import Any

from currantlead import errors, interfaces, wire
from currantlead.control import exchange, model, records

WRITE_ATTEMPTS = 3


def group_to_value(group: model.Group, change_id: str) -> dict[str, Any]:
    """Return the value of a group's object; ``change_id`` identifies the write if its answer is lost."""
    return {**records.encode(group), "change_id": change_id}


def group_from_value(name: str, value: Any, version: int) -> model.Group:
    """Build a group from the value of its object.

    Raises:
        errors.MalformedObjectError: A field is missing or has the wrong type; the message names it.
    """
    return records.decode(records.GROUPS, name, version, value)


class GroupRecords:
    """Access group records on the platform and tell others what was written."""

    def __init__(
        self, *, platform: interfaces.Platform, peers: interfaces.Peers, on_group: Callable[[model.Group], None]
    ):
        """Take the parts to work with.

        Args:
            platform: Client of the platform.
            peers: Streams to other VMs, which are told each record that this VM writes.
            on_group: Called with each record that was written or announced here.
        """
        self._platform = platform
        self._peers = peers
        self._on_group = on_group

    async def read(self, name: str) -> model.Group | None:
        """Return the record of a group, or None if there is none.

        Raises:
            errors.PlatformUnavailableError: There was no usable answer.
        """
        stored = await self._platform.read("groups", name)
        return None if stored is None else group_from_value(name, stored.value, stored.version)

    async def write(self, group: model.Group) -> model.Group:
        """Write a record if the stored one still has its version, and announce it.

        Args:
            group: The new content, with the version that it replaces.

        Returns:
            The record with its new version.

        Raises:
            errors.VersionConflictError: Another write came first.
            errors.PlatformUnavailableError: It is not known whether the record was written.
        """
        change_id = f"{self._peers.member.vm}-{secrets.token_hex(8)}"
        written = await self._write(group, change_id)
        self.announce(written)
        row = (records.GROUPS, written.name, written.version, group_to_value(written, change_id))
        body = wire.to_map(exchange.Objects((row,)))
        for vm in self._peers.connected():
            self._peers.notify(vm, "objects", body)
        return written

    def announce(self, group: model.Group) -> None:
        """Tell this VM a record."""
        self._on_group(group)

    async def _write(self, group: model.Group, change_id: str) -> model.Group:
        value = group_to_value(group, change_id)
        lost: errors.PlatformUnavailableError | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                version = await self._platform.write("groups", group.name, value, if_version=group.version)
                return dataclasses.replace(group, version=version)
            except errors.VersionConflictError:
                # An earlier attempt may have taken effect although its answer was lost.
                if (stored := await self._read_back(group, change_id)) is not None:
                    return stored
                raise
            except errors.PlatformUnavailableError as error:
                lost = error
            if (stored := await self._read_back(group, change_id)) is not None:
                return stored
        raise lost or errors.PlatformUnavailableError(f"groups/{group.name} was not written")

    async def _read_back(self, group: model.Group, change_id: str) -> model.Group | None:
        """Return the stored record if it is the outcome of this change, or None.

        The platform may have changed its instances since then, so the stored ones count.
        """
        stored = await self._platform.read("groups", group.name)
        if stored is None or stored.value.get("change_id") != change_id:
            return None
        found = group_from_value(group.name, stored.value, stored.version)
        same = (found.term, found.phase, found.primary) == (group.term, group.phase, group.primary)
        return found if same else None
