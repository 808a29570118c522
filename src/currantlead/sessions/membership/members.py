"""Membership list: the VMs that registered themselves in the store."""

import asyncio
from collections.abc import Iterable

from currantlead.sessions import clock, model


class Members:
    """Hold the registered VMs; this VM is always included, even if its entry is missing from the store.

    Attributes:
        own: This VM.
        version: Incremented with each change.
        missing_since: Clock reading at which this VM's entry was first missing from the store, or differed from this
            VM, or None if it is there; initially the time of creation.
        listed: Set when the complete list has been read.
    """

    def __init__(self, own: model.Member):
        self.own = own
        self.version = 0
        self.missing_since: float | None = clock.now()
        self.listed = asyncio.Event()
        self._members: dict[str, model.Member] = {own.name: own}

    @property
    def count(self) -> int:
        """Return the number of VMs, including this one."""
        return len(self._members)

    def get(self, name: str) -> model.Member | None:
        """Return a VM, or None if it is unknown."""
        return self._members.get(name)

    def others(self) -> list[model.Member]:
        """Return the other VMs."""
        return [member for name, member in self._members.items() if name != self.own.name]

    def all(self) -> list[model.Member]:
        """Return all VMs."""
        return list(self._members.values())

    def names(self) -> list[str]:
        """Return the names of all VMs in alphabetical order."""
        return sorted(self._members)

    def update(self, changed: Iterable[model.Member], removed: Iterable[str]) -> None:
        """Apply changed and removed entries."""
        for member in changed:
            self._members[member.name] = member
            self._track_own_entry(member.name, is_present=member == self.own)
        for name in removed:
            self._members.pop(name, None)
            self._track_own_entry(name, is_present=False)
        self._members[self.own.name] = self.own
        self.version += 1

    def replace(self, present: Iterable[model.Member]) -> None:
        """Replace the list of VMs."""
        self._members = {member.name: member for member in present}
        self._track_own_entry(self.own.name, is_present=self._members.get(self.own.name) == self.own)
        self._members[self.own.name] = self.own
        self.version += 1
        self.listed.set()

    def _track_own_entry(self, name: str, *, is_present: bool) -> None:
        if name == self.own.name:
            self.missing_since = None if is_present else self.missing_since or clock.now()
