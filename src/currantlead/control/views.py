"""Changes of a domain's view, each of at most one voter, and their storage on the platform."""

import dataclasses
from typing import Any

from currantlead import errors, interfaces, logs, wire
from currantlead.control import lease, model
from currantlead.routing import placement

KIND = "views"

_log = logs.part("members")


def encode(view: model.View) -> dict[str, Any]:
    """Encode a view as the value of its platform object; the version is that of the object, not part of the value."""
    value = wire.to_map(view)
    del value["version"]
    return value


def decode(value: Any, version: int) -> model.View:
    """Decode a view from the value and the version of its platform object.

    Raises:
        errors.MalformedFrameError: The value is not a view.
    """
    return dataclasses.replace(wire.from_map(model.View, value), version=version)


def with_member(view: model.View, member: model.Member) -> model.View:
    """Return the next view with a member added in place of any earlier incarnation."""
    others = [known for known in view.members if known.vm != member.vm]
    return _successor(view, members=tuple(sorted([*others, member], key=lambda known: known.vm)))


def without_member(view: model.View, identity: lease.Identity) -> model.View:
    """Return the next view without one incarnation of a VM."""
    return _successor(view, members=tuple(known for known in view.members if lease.identity_of(known) != identity))


def with_witness(view: model.View, witness: model.Member | None) -> model.View:
    """Return the next view with this extra witness, or without one."""
    return _successor(view, witness=witness)


def renumbered(view: model.View) -> model.View:
    """Return the next view with the same voters; its adoption ends the suspensions of an abandoned removal."""
    return _successor(view)


def initial(domain: str, member: model.Member, empty: model.View | None) -> model.View:
    """Return the view with the first member of a domain.

    Args:
        domain: The domain.
        member: The member.
        empty: The stored view without members, or None if there is none.
    """
    number = 0 if empty is None else empty.number
    version = 0 if empty is None else empty.version
    return model.View(domain, number + 1, (member,), None, version)


def adjust_witness(view: model.View, candidates: list[model.Member], failed: set[lease.Identity]) -> model.View | None:
    """Return the next view towards the proper extra witness, or None if it is the proper one.

    A view with an even number of members has an extra witness, any other view has none.

    Args:
        view: The current view.
        candidates: VMs that may be the witness: the members of the views of other domains.
        failed: Candidates that do not answer.
    """
    usable = {member.vm: member for member in candidates if lease.identity_of(member) not in failed}
    even = len(view.members) % 2 == 0 and bool(view.members)
    if view.witness is not None:
        # A witness that is no longer in the view of its own domain is stopping or has been removed.
        replaced = usable.get(view.witness.vm) != view.witness
        return with_witness(view, None) if not even or (replaced and usable) else None
    if not even or not usable:
        return None
    best = placement.rank(f"witness:{view.domain}", sorted(usable))[0]
    return with_witness(view, usable[best])


def _successor(view: model.View, **changes: Any) -> model.View:
    return dataclasses.replace(view, number=view.number + 1, **changes)


class ViewStore:
    """Reads and conditional updates of the view of one domain on the platform."""

    def __init__(self, platform: interfaces.Platform, domain: str):
        self._platform = platform
        self._domain = domain

    async def read(self) -> model.View | None:
        """Return the stored view, or None if there is none.

        Raises:
            errors.PlatformUnavailableError: No usable answer.
        """
        stored = await self._platform.read(KIND, self._domain)
        return None if stored is None else decode(stored.value, stored.version)

    async def listed_members(self) -> list[model.Member]:
        """Return the domain's VMs from the platform's list, which may be out of date, with 0 for their incarnation."""
        listed = await self._platform.list_vms()
        return [model.Member(vm.vm, vm.domain, 0, vm.peer_address) for vm in listed if vm.domain == self._domain]

    async def write(self, view: model.View) -> model.View | None:
        """Store a view if the stored view has the version given by ``view.version``.

        Args:
            view: The new view, with the version of the view that it replaces.

        Returns:
            The view with its new version, or None if another change was stored first.

        Raises:
            errors.PlatformUnavailableError: It is unknown whether the write took effect; the same write may be
                repeated.
        """
        try:
            version = await self._platform.write(KIND, self._domain, encode(view), if_version=view.version)
        except errors.VersionConflictError:
            # If the client repeated the request after a lost answer, the conflict may be with this same write.
            return await self._read_back(view)
        except errors.PlatformUnavailableError:
            written = await self._read_back(view)
            if written is None:
                raise
            _log.info("view {} of {} is stored, although the answer to the write was lost", view.number, view.domain)
            return written
        return dataclasses.replace(view, version=version)

    async def _read_back(self, view: model.View) -> model.View | None:
        stored = await self.read()
        if stored is None or dataclasses.replace(stored, version=view.version) != view:
            return None
        return stored
