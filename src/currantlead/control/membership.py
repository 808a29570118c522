"""Derive a VM's roles from the view of its domain.

A role is usable while the VM has the role in each view of ``_chain``: the last view that all its members had adopted
when this VM learned of it, and the views adopted since. A role that is lost in any of them stops at once; a role that
is kept in all of them has no gap; a gained role waits until the chain shrinks to the newest view.
"""

import dataclasses
from collections.abc import Sequence

from currantlead.control import lease, model
from currantlead.routing import placement

HOLDERS = 2


class Placed:
    """Place the roles of one view."""

    def __init__(self, view: model.View):
        self.view = view
        self._ranking = placement.Ranking([member.vm for member in view.members])

    def owner(self, organisation: str) -> str | None:
        """Return the rate owner of an organisation in this view's domain."""
        ranked = self._ranking.rank(f"owner:{organisation}")
        return ranked[0] if ranked else None

    def holders(self, instance: str) -> tuple[str, ...]:
        """Return the holders of an instance of this view's domain, best first."""
        return self._ranking.rank(f"holder:{instance}")[:HOLDERS]

    def share(self, instance: str, vm: str) -> float:
        """Return the share of the instance's connections that a VM has in this view."""
        holders = self.holders(instance)
        return 1.0 / len(holders) if vm in holders else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Report the adoption of a view for the log.

    Attributes:
        number: Number of the view.
        joined: VMs that it adds, with those that restarted.
        removed: VMs that it removes, with those that restarted.
        member: Whether this incarnation of this VM is a member.
    """

    number: int
    joined: tuple[str, ...]
    removed: tuple[str, ...]
    member: bool


class Roles:
    """Keep the adopted view, the adoption reports of its members and the roles that follow."""

    def __init__(self, identity: lease.Identity, domain: str):
        self._identity = identity
        self._vm = identity.vm
        self._domain = domain
        self._chain: tuple[Placed, ...] = ()
        self._epoch = -1
        self._settled = False
        self._settled_at = lease.NEVER
        self._left = False
        self._reports: dict[lease.Identity, int] = {}
        self._since: dict[str, float] = {}
        self.view: model.View | None = None
        self.reported = 0

    @property
    def member(self) -> bool:
        """Tell whether this incarnation is a member of the adopted view."""
        return self.view is not None and self._in(self.view)

    @property
    def settled(self) -> bool:
        """Tell whether all members of the adopted view have reported that they adopted it."""
        return self._settled

    def adopt(self, view: model.View) -> Change | None:
        """Adopt a newer view; roles that it takes away stop at once.

        The caller runs the release callbacks and then calls ``report_adopted``.

        Args:
            view: A view of this VM's own domain.

        Returns:
            What changed, or None if the view is not newer.
        """
        if self.view is not None and view.number <= self.view.number:
            return None
        before = set() if self.view is None else {lease.identify(member) for member in self.view.members}
        after = {lease.identify(member) for member in view.members}
        self.view = view
        self._settled = False
        placed = Placed(view)
        # A VM that is outside the view starts afresh when it joins again.
        self._chain = (*self._chain, placed) if self._chain and self._in(view) else ()
        self._since = {name: since for name, since in self._since.items() if self._chain and self._mine(placed, name)}
        joined = tuple(sorted(identity.vm for identity in after - before))
        removed = tuple(sorted(identity.vm for identity in before - after))
        return Change(view.number, joined, removed, self._in(view))

    def report_adopted(self, now: float, epoch: int) -> None:
        """Take note that this VM has released what it lost, and may report the adopted view."""
        if self.view is not None:
            self.reported = self.view.number
            self.report(self._identity, self.reported, now, epoch)

    def report(self, member: lease.Identity, number: int, now: float, epoch: int) -> bool:
        """Take a member's report of the view that it has adopted.

        Args:
            member: Who reports.
            number: Number of the adopted view.
            now: Clock reading.
            epoch: Epoch of this VM's lease.

        Returns:
            Whether this report completed the adoption of the view, so that gained roles become active.
        """
        if number > self._reports.get(member, 0):
            self._reports[member] = number
        return self.settle(now, epoch)

    def settle(self, now: float, epoch: int) -> bool:
        """Activate the roles of the view once all its members have adopted exactly this view.

        A report of a later view does not count: the member may have jumped there and kept a role that this view gives
        to another VM.
        """
        view = self.view
        if view is None or self._left or not self._in(view) or (self._settled and self._epoch == epoch):
            return False
        if any(self._reports.get(lease.identify(member)) != view.number for member in view.members):
            return False
        if self._epoch != epoch:
            self._since.clear()
        self._reports = {voter: number for voter, number in self._reports.items() if number >= view.number}
        self._chain = (self._chain[-1] if self._chain else Placed(view),)
        self._settled, self._settled_at, self._epoch = True, now, epoch
        return True

    def adopted_by(self, number: int) -> set[str]:
        """Return the names of the VMs that reported a view of at least this number."""
        return {identity.vm for identity, reported in self._reports.items() if reported >= number}

    def leave(self) -> None:
        """Stop all roles for good, because this VM is about to remove itself."""
        self._left = True
        self.lose_all()

    def lose_all(self) -> None:
        """Stop all roles until the next ``report_adopted``, because the lease lapsed."""
        self._reports.pop(self._identity, None)
        self.reported = 0
        self._chain = ()
        self._settled = False
        self._since.clear()

    def owns(self, organisation: str, epoch: int) -> bool:
        """Tell whether this VM is the active owner of an organisation's bucket; the lease is checked apart."""
        if epoch != self._epoch or not self._chain:
            return False
        return all(placed.owner(organisation) == self._vm for placed in self._chain)

    def owned_since(self, organisation: str, epoch: int) -> float | None:
        """Return when ownership became active, as far as known: never earlier than it did."""
        if not self.owns(organisation, epoch):
            return None
        return self._since.setdefault(organisation, self._settled_at)

    def share(self, instance: str, epoch: int) -> float:
        """Return the share of an instance's connections that this VM may use; the lease is checked apart."""
        if epoch != self._epoch or not self._chain:
            return 0.0
        return min(placed.share(instance, self._vm) for placed in self._chain)

    def _in(self, view: model.View) -> bool:
        member = view.member(self._vm)
        return member is not None and member.incarnation == self._identity.incarnation

    def _mine(self, placed: Placed, organisation: str) -> bool:
        return placed.owner(organisation) == self._vm


def owner(placed: Placed | None, organisation: str) -> str | None:
    """Return the owner of an organisation's bucket in a view, or None where there is no view or member."""
    return None if placed is None else placed.owner(organisation)


def holders(placed: Placed | None, instance: str) -> Sequence[str]:
    """Return the holders of an instance in a view."""
    return () if placed is None else placed.holders(instance)
