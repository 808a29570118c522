"""Quorum lease: a VM holds its lease while a majority of the voters of its view acknowledges its heartbeats.

A holder is a VM with a lease; a witness is a voter that acknowledges its heartbeats; a remover is a member that removes
a silent member from the view. To suspend a holder means to stop acknowledging its heartbeats.

The voters of a view are its members and, if it has one, its extra witness from another domain, each identified by VM
name and incarnation. A quorum is a majority of the voters. Each voter is a witness for all holders. Consecutive views
differ in one voter, so that their quorums intersect. Four rules ensure that a removed VM no longer holds a lease:

- A witness acknowledges a heartbeat only if the holder has adopted the same view as the witness.
- A view is replaced only after a quorum of its voters has adopted it, so that no quorum of an older view can still
  acknowledge.
- A witness that has promised to suspend a holder sends that holder no acknowledgements until the witness itself has
  adopted a later view. The conditional update that removes the holder fails once a later view is stored, even if the
  store executes it late.
- The remover waits until every acknowledgement that the holder may count has expired on the clock of the witness that
  gave it.
"""

from typing import NamedTuple

from currantlead.control import model

LEASE_S = 4.0
# Factor for waiting times that allows for clock rates that are wrong by up to 1%. A witness with a fast clock must wait
# longer than a holder with a slow clock, and a remover with a fast clock longer than a witness with a slow clock. Each
# needs at least 1.01 / 0.99 = 1.0203.
DRIFT_FACTOR = 1.03

LONG_AGO = float("-inf")


class Identity(NamedTuple):
    """One incarnation of a VM."""

    vm: str
    incarnation: int


def identity_of(member: model.Member) -> Identity:
    """Return the identity of a member of a view."""
    return Identity(member.vm, member.incarnation)


def voters(view: model.View) -> tuple[model.Member, ...]:
    """Return the members of a view and its extra witness, whose acknowledgements count."""
    return view.members if view.witness is None else (*view.members, view.witness)


def quorum(view: model.View) -> int:
    """Return the number of voters that form a majority; 0 for a view without voters."""
    count = len(voters(view))
    return count // 2 + 1 if count else 0


def is_committed(view: model.View, adopted: set[str]) -> bool:
    """Return whether a quorum has adopted a view, so that it may be replaced.

    Args:
        view: The view.
        adopted: Names of the VMs that have adopted this view or a later one, in any incarnation.
    """
    return sum(voter.vm in adopted for voter in voters(view)) >= quorum(view)


class Lease:
    """A VM's own lease, renewed by acknowledgements of its heartbeats.

    Attributes:
        expires: Clock reading at which the lease expires.
        epoch: Increased by one each time the lease is acquired after it had expired. A role acquired in an earlier
            epoch must be acquired again, because another VM may hold it now.
    """

    def __init__(self, lease_s: float = LEASE_S):
        self._lease_s = lease_s
        self._acknowledged: dict[Identity, float] = {}
        self._voters: frozenset[Identity] = frozenset()
        self._quorum = 0
        self.expires = LONG_AGO
        self.epoch = 0

    def adopt(self, view: model.View) -> None:
        """Count only acknowledgements of this view's voters from now on; a valid lease is kept."""
        self._voters = frozenset(identity_of(voter) for voter in voters(view))
        self._quorum = quorum(view)
        known = self._acknowledged
        self._acknowledged = {voter: known[voter] for voter in self._voters if voter in known}

    def acknowledge(self, witness: Identity, sent: float, now: float) -> None:
        """Record an acknowledgement and renew the lease if a quorum has acknowledged.

        Args:
            witness: Identity of the acknowledging voter.
            sent: Clock reading taken before the acknowledged heartbeat was sent.
            now: Clock reading.
        """
        if witness not in self._voters or sent <= self._acknowledged.get(witness, LONG_AGO):
            return
        self._acknowledged[witness] = sent
        # Renewing sorts all acknowledgements. Skip it while at least 80% of the lease is left: renewing on each
        # acknowledgement would take quadratic time in the size of the view.
        if self.expires - now < 0.8 * self._lease_s:
            self._renew(now)

    def valid(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.expires

    def end(self) -> None:
        """End the lease at once, because this VM is no longer a member."""
        self._acknowledged.clear()
        self.expires = LONG_AGO

    def _renew(self, now: float) -> None:
        if len(self._acknowledged) < self._quorum or not self._quorum:
            return
        newest = sorted(self._acknowledged.values(), reverse=True)
        expires = newest[self._quorum - 1] + self._lease_s
        if expires <= max(self.expires, now):
            return
        if now >= self.expires:
            self.epoch += 1
        self.expires = expires


class Promise(NamedTuple):
    """Promise of a witness not to acknowledge a holder, with the times that must pass before the holder may be removed.

    Attributes:
        own_acks_wait_s: Seconds until the acknowledgements that the witness itself gave to the holder have expired.
        earlier_views_wait_s: Seconds until acknowledgements that other voters may have given in earlier views have
            expired.
    """

    own_acks_wait_s: float
    earlier_views_wait_s: float


class Witness:
    """Acknowledges heartbeats of lease holders of any domain, and suspends holders that are to be removed.

    This state is lost in a restart. The earlier process may have acknowledged any holder until just before the start
    of the new process, so the waiting time in a promise covers at least one lease since the start. Acknowledgements
    of the new process do not count in views that contain the earlier incarnation.
    """

    def __init__(self, started: float, lease_s: float = LEASE_S):
        self._acknowledgement_lifetime_s = lease_s * DRIFT_FACTOR
        self._started = started
        self._acknowledged_until: dict[Identity, float] = {}
        self._suspended: dict[Identity, tuple[str, int]] = {}
        self._adopted: dict[str, tuple[int, float]] = {}

    def view_number(self, domain: str) -> int:
        """Return the number of the newest adopted view of a domain, or 0 if there is none."""
        return self._adopted.get(domain, (0, LONG_AGO))[0]

    def adopt(self, view: model.View, now: float) -> bool:
        """Adopt a view if it is newer; this ends all suspensions in earlier views of the domain.

        Returns:
            Whether the view was newer than the adopted one.
        """
        if view.number <= self.view_number(view.domain):
            return False
        self._adopted[view.domain] = (view.number, now)
        self._suspended = {
            holder: suspension for holder, suspension in self._suspended.items() if suspension[0] != view.domain
        }
        self._acknowledged_until = {holder: until for holder, until in self._acknowledged_until.items() if until > now}
        return True

    def acknowledge(self, holder: Identity, domain: str, number: int, now: float) -> bool:
        """Acknowledge a heartbeat, unless the holder is suspended or has adopted another view.

        Args:
            holder: Identity of the sender of the heartbeat.
            domain: Domain of the holder.
            number: Number of the view that the holder has adopted.
            now: Clock reading at the arrival of the heartbeat.

        Returns:
            Whether the heartbeat is acknowledged.
        """
        if number != self.view_number(domain) or holder in self._suspended:
            return False
        self._acknowledged_until[holder] = now + self._acknowledgement_lifetime_s
        return True

    def suspended(self, holder: Identity) -> bool:
        """Return whether this witness has suspended a holder."""
        return holder in self._suspended

    def suspend(self, holder: Identity, domain: str, number: int, now: float) -> Promise | None:
        """Stop acknowledging a holder until a later view of its domain is adopted.

        Args:
            holder: Identity of the VM that is to be removed.
            domain: Domain of the holder.
            number: Number of the view from which the holder is to be removed.
            now: Clock reading.

        Returns:
            The promise, or None if this witness has adopted another view.
        """
        adopted, since = self._adopted.get(domain, (0, LONG_AGO))
        if adopted != number:
            return None
        self._suspended[holder] = (domain, number)
        until = max(self._acknowledged_until.get(holder, LONG_AGO), self._started + self._acknowledgement_lifetime_s)
        return Promise(max(0.0, until - now), max(0.0, since + self._acknowledgement_lifetime_s - now))


class RemovalTracker:
    """Tracks the promises needed to remove the silent members of a view.

    Members are removed one at a time, but the remover waits for a full lease only once: after a member's lease has
    expired in one view, only acknowledgements given in the next view could renew it. The promises collected in that
    view account for them through ``own_acks_wait_s``, so the other wait can be skipped.
    """

    def __init__(self) -> None:
        self._view: model.View | None = None
        self._promises: dict[Identity, dict[str, float]] = {}
        self._expired_in_view: dict[Identity, int] = {}

    @property
    def view_number(self) -> int:
        """Return the number of the view for which promises are collected, or 0 before ``begin``."""
        return 0 if self._view is None else self._view.number

    def promised_by(self, number: int) -> set[str]:
        """Return the voters that have given a promise in a view; they have adopted the view."""
        if self._view is None or self._view.number != number:
            return set()
        return {witness for promises in self._promises.values() for witness in promises}

    def begin(self, view: model.View, silent: list[Identity]) -> None:
        """Start collecting promises for a view; promises already given in the same view are kept."""
        if self._view is None or self._view.number != view.number:
            self._promises.clear()
        self._view = view
        for holder in silent:
            self._promises.setdefault(holder, {})

    def add_promise(self, holder: Identity, witness: str, promise: Promise, now: float) -> None:
        """Record a promise that a voter gave in the current view.

        Args:
            holder: Identity of the suspended holder.
            witness: VM name of the voter; a promise also covers acknowledgements of its earlier incarnations.
            promise: The promise.
            now: The remover's clock reading after the promise arrived.
        """
        if self._view is None or holder not in self._promises:
            return
        expired_in_previous_view = self._expired_in_view.get(holder, LONG_AGO) == self._view.number - 1
        wait_s = (
            promise.own_acks_wait_s
            if expired_in_previous_view
            else max(promise.own_acks_wait_s, promise.earlier_views_wait_s)
        )
        until = now + wait_s * DRIFT_FACTOR
        promises = self._promises[holder]
        promises[witness] = min(promises.get(witness, until), until)

    def removable(self, now: float) -> list[Identity]:
        """Return the members that hold no lease: a quorum has suspended them, and its waiting times have passed."""
        view = self._view
        if view is None:
            return []
        names = {voter.vm for voter in voters(view)}
        required = quorum(view)
        removable = []
        for holder, promises in self._promises.items():
            waits = sorted(until for witness, until in promises.items() if witness in names)
            if len(waits) >= required and waits[required - 1] <= now:
                self._expired_in_view[holder] = view.number
                removable.append(holder)
        return removable
