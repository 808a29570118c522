"""Roles of a VM, derived from the view of its domain.

A role is active while it is assigned to the VM in each view of ``_assignments``: the last view that this VM knows to be
adopted by all its members, and all views adopted since. A role that any of them assigns to another VM ends at once, a
role that all of them assign to this VM stays active without a gap, and a new role becomes active when all members have
adopted the newest view and ``_assignments`` contains only that view.
"""

import dataclasses
from collections.abc import Sequence

from currantlead.control import lease, model
from currantlead.routing import placement

HOLDERS_PER_INSTANCE = 2


class RoleAssignment:
    """Assignment of the roles of one view to its members, by rendezvous hashing."""

    def __init__(self, view: model.View):
        self.view = view
        self._ranking = placement.Ranking([member.vm for member in view.members])

    def owner(self, organisation: str) -> str | None:
        """Return the rate owner of an organisation in the domain of the view, or None if the view is empty."""
        ranked = self._ranking.rank(f"owner:{organisation}")
        return ranked[0] if ranked else None

    def holders(self, instance: str) -> tuple[str, ...]:
        """Return the VMs that hold connections to an instance of the view's domain, in order of preference."""
        return self._ranking.rank(f"holder:{instance}")[:HOLDERS_PER_INSTANCE]

    def share(self, instance: str, vm: str) -> float:
        """Return the share (0 to 1) of an instance's connections that the view assigns to a VM."""
        holders = self.holders(instance)
        return 1.0 / len(holders) if vm in holders else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChange:
    """Difference between an adopted view and the previous one.

    Attributes:
        number: Number of the view.
        joined: VMs that were added or restarted.
        removed: VMs that were removed or restarted.
        is_member: Whether this incarnation of this VM is a member of the view.
    """

    number: int
    joined: tuple[str, ...]
    removed: tuple[str, ...]
    is_member: bool


class Roles:
    """The adopted view, the adoption reports of its members and the roles of this VM that follow from them.

    Attributes:
        view: The adopted view, or None before the first one.
        reported: Number of the last view whose adoption this VM has reported; 0 if it must report again.
    """

    def __init__(self, identity: lease.Identity, domain: str):
        self._identity = identity
        self._vm = identity.vm
        self._domain = domain
        self._assignments: tuple[RoleAssignment, ...] = ()
        self._epoch = -1
        self._active = False
        self._active_since = lease.LONG_AGO
        self._leaving = False
        self._reports: dict[lease.Identity, int] = {}
        self._owned_since: dict[str, float] = {}
        self.view: model.View | None = None
        self.reported = 0

    @property
    def is_member(self) -> bool:
        """Return whether this incarnation of this VM is a member of the adopted view."""
        return self.view is not None and self._contains_self(self.view)

    @property
    def active(self) -> bool:
        """Return whether all members have reported the adoption of the view, so that all assigned roles are active."""
        return self._active

    def adopt(self, view: model.View) -> ViewChange | None:
        """Adopt a newer view; roles that it assigns to other VMs end at once.

        The caller runs the release callbacks and then calls ``report_adopted``.

        Args:
            view: A view of this VM's own domain.

        Returns:
            What changed, or None if the view is not newer.
        """
        if self.view is not None and view.number <= self.view.number:
            return None
        before = set() if self.view is None else {lease.identity_of(member) for member in self.view.members}
        after = {lease.identity_of(member) for member in view.members}
        self.view = view
        self._active = False
        assignment = RoleAssignment(view)
        # A VM that is not in the view gets its roles back only after joining and the adoption by all members.
        self._assignments = (*self._assignments, assignment) if self._assignments and self._contains_self(view) else ()
        self._owned_since = {
            name: since
            for name, since in self._owned_since.items()
            if self._assignments and self._is_owner(assignment, name)
        }
        joined = tuple(sorted(identity.vm for identity in after - before))
        removed = tuple(sorted(identity.vm for identity in before - after))
        return ViewChange(view.number, joined, removed, self._contains_self(view))

    def report_adopted(self, now: float, epoch: int) -> None:
        """Record that this VM has released its lost roles, and report the adoption of the view."""
        if self.view is not None:
            self.reported = self.view.number
            self.report(self._identity, self.reported, now, epoch)

    def report(self, member: lease.Identity, number: int, now: float, epoch: int) -> bool:
        """Record a member's report that it has adopted a view.

        Args:
            member: Identity of the reporting member.
            number: Number of the view.
            now: Clock reading.
            epoch: Epoch of this VM's lease.

        Returns:
            Whether this report was the last one needed, so that new roles became active.
        """
        if number > self._reports.get(member, 0):
            self._reports[member] = number
        return self.activate(now, epoch)

    def activate(self, now: float, epoch: int) -> bool:
        """Activate the roles assigned by the view if all its members have adopted exactly this view.

        A report of a later view does not count: the member may have skipped this view and kept a role that this view
        assigns to another VM.

        Args:
            now: Clock reading.
            epoch: Epoch of this VM's lease.

        Returns:
            Whether the roles became active with this call.
        """
        view = self.view
        if view is None or self._leaving or not self._contains_self(view) or (self._active and self._epoch == epoch):
            return False
        if any(self._reports.get(lease.identity_of(member)) != view.number for member in view.members):
            return False
        if self._epoch != epoch:
            self._owned_since.clear()
        self._reports = {voter: number for voter, number in self._reports.items() if number >= view.number}
        self._assignments = (self._assignments[-1] if self._assignments else RoleAssignment(view),)
        self._active, self._active_since, self._epoch = True, now, epoch
        return True

    def adopted_by(self, number: int) -> set[str]:
        """Return the names of the VMs that have reported the adoption of a view with this number or a higher one."""
        return {identity.vm for identity, reported in self._reports.items() if reported >= number}

    def leave(self) -> None:
        """End all roles permanently before this VM removes itself from the view."""
        self._leaving = True
        self.end_all()

    def end_all(self) -> None:
        """End all roles until the next ``report_adopted``, after the lease has expired."""
        self._reports.pop(self._identity, None)
        self.reported = 0
        self._assignments = ()
        self._active = False
        self._owned_since.clear()

    def owns(self, organisation: str, epoch: int) -> bool:
        """Return whether this VM is the active owner of an organisation's bucket; the caller checks the lease."""
        if epoch != self._epoch or not self._assignments:
            return False
        return all(assignment.owner(organisation) == self._vm for assignment in self._assignments)

    def owned_since(self, organisation: str, epoch: int) -> float | None:
        """Return the clock reading at which ownership became active or a later one, or None if it is not active."""
        if not self.owns(organisation, epoch):
            return None
        return self._owned_since.setdefault(organisation, self._active_since)

    def share(self, instance: str, epoch: int) -> float:
        """Return the share of an instance's connections that this VM may use; the caller checks the lease."""
        if epoch != self._epoch or not self._assignments:
            return 0.0
        return min(assignment.share(instance, self._vm) for assignment in self._assignments)

    def _contains_self(self, view: model.View) -> bool:
        member = view.member(self._vm)
        return member is not None and member.incarnation == self._identity.incarnation

    def _is_owner(self, assignment: RoleAssignment, organisation: str) -> bool:
        return assignment.owner(organisation) == self._vm


def owner(assignment: RoleAssignment | None, organisation: str) -> str | None:
    """Return the owner of an organisation's bucket, or None if there is no view or it has no members."""
    return None if assignment is None else assignment.owner(organisation)


def holders(assignment: RoleAssignment | None, instance: str) -> Sequence[str]:
    """Return the holders of an instance, or an empty sequence if there is no view."""
    return () if assignment is None else assignment.holders(instance)


def next_owner(view: model.View | None, vm: str, organisation: str) -> str | None:
    """Return the owner of an organisation's bucket after a VM has left the view, or None if nobody remains."""
    if view is None:
        return None
    remaining = tuple(member for member in view.members if member.vm != vm)
    return RoleAssignment(dataclasses.replace(view, members=remaining)).owner(organisation)
