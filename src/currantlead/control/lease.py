"""Hold a VM's lease by the acknowledgements of witnesses.

The voters of a view are its members and its extra witness, each in one incarnation. A quorum is a majority of them.
Views change by one voter at a time, so quorums of consecutive views intersect. Four rules make a removal safe:

- A witness acknowledges a heartbeat only if the holder has adopted the same view number as the witness.
- A view is replaced only after a quorum of its voters has adopted it, so quorums of older views give no more
  acknowledgements.
- A witness that promised to suspend a holder keeps this promise until it adopts a later view. The conditional update
  of the removal fails in a later view, even if the store executes it late.
- The remover waits until every acknowledgement that the holder may count has expired on its witness's clock.
"""

from typing import NamedTuple

from currantlead.control import model

LEASE_S = 4.0
# Clocks drift by 1%: a witness whose clock is fast must still wait longer than a holder whose clock is slow, and a
# remover whose clock is fast longer than a witness whose clock is slow. Both need 1.01 / 0.99 = 1.0203.
DRIFT_MARGIN = 1.03

NEVER = float("-inf")


class Identity(NamedTuple):
    """Name one incarnation of a VM."""

    vm: str
    incarnation: int


def identify(member: model.Member) -> Identity:
    """Return the identity of a member."""
    return Identity(member.vm, member.incarnation)


def voters(view: model.View) -> tuple[model.Member, ...]:
    """Return the VMs whose acknowledgements count in a view."""
    return view.members if view.witness is None else (*view.members, view.witness)


def quorum(view: model.View) -> int:
    """Return how many voters make a majority; 0 for an empty view."""
    count = len(voters(view))
    return count // 2 + 1 if count else 0


def committed(view: model.View, adopted: set[str]) -> bool:
    """Tell whether a quorum has adopted a view, so that it may be replaced.

    Args:
        view: The view.
        adopted: Names of the VMs that have adopted this view or a later one, in any incarnation.
    """
    return sum(voter.vm in adopted for voter in voters(view)) >= quorum(view)


class Lease:
    """Keep the holder's side of a lease.

    Attributes:
        expires: Clock reading at which the lease ends.
        epoch: Grows each time the lease is renewed after it had expired. A role that became active in an earlier epoch
            may belong to another VM now.
    """

    def __init__(self, lease_s: float = LEASE_S):
        self._lease_s = lease_s
        self._acknowledged: dict[Identity, float] = {}
        self._voters: frozenset[Identity] = frozenset()
        self._quorum = 0
        self.expires = NEVER
        self.epoch = 0

    def adopt(self, view: model.View) -> None:
        """Count only acknowledgements of a view's voters from now on; a lease already held goes on."""
        self._voters = frozenset(identify(voter) for voter in voters(view))
        self._quorum = quorum(view)
        known = self._acknowledged
        self._acknowledged = {voter: known[voter] for voter in self._voters if voter in known}

    def acknowledge(self, witness: Identity, sent: float, now: float) -> None:
        """Take an acknowledgement.

        Args:
            witness: Who acknowledged.
            sent: Clock reading before the acknowledged heartbeat was sent.
            now: Clock reading.
        """
        if witness not in self._voters or sent <= self._acknowledged.get(witness, NEVER):
            return
        self._acknowledged[witness] = sent
        # Counting all acknowledgements for each one is quadratic in the view; the lease is far from its end for most.
        if self.expires - now < 0.8 * self._lease_s:
            self._renew(now)

    def valid(self, now: float) -> bool:
        """Tell whether the lease holds."""
        return now < self.expires

    def drop(self) -> None:
        """End the lease, because this VM is no member any more."""
        self._acknowledged.clear()
        self.expires = NEVER

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
    """Report what a witness that suspended a holder has promised.

    Attributes:
        left_s: Seconds until its own acknowledgements to the holder have expired.
        older_s: Seconds until acknowledgements have expired that others may have given in views before this one.
    """

    left_s: float
    older_s: float


class Witness:
    """Keep the side of a lease that acknowledges heartbeats, for holders of any domain.

    A VM keeps nothing over a restart. A new process may have acknowledged any holder until just before its start, so
    it reports at least the rest of one lease since then. Its own acknowledgements do not count in views that name its
    old incarnation.
    """

    def __init__(self, started: float, lease_s: float = LEASE_S):
        self._promise_s = lease_s * DRIFT_MARGIN
        self._started = started
        self._until: dict[Identity, float] = {}
        self._suspended: dict[Identity, tuple[str, int]] = {}
        self._adopted: dict[str, tuple[int, float]] = {}

    def number(self, domain: str) -> int:
        """Return the number of the newest view of a domain that this witness has adopted."""
        return self._adopted.get(domain, (0, NEVER))[0]

    def adopt(self, view: model.View, now: float) -> bool:
        """Adopt a view, which ends the suspensions of earlier views of the domain.

        Returns:
            Whether the view is newer than the last one.
        """
        if view.number <= self.number(view.domain):
            return False
        self._adopted[view.domain] = (view.number, now)
        self._suspended = {holder: place for holder, place in self._suspended.items() if place[0] != view.domain}
        self._until = {holder: until for holder, until in self._until.items() if until > now}
        return True

    def acknowledge(self, holder: Identity, domain: str, number: int, now: float) -> bool:
        """Acknowledge a heartbeat, unless the holder is suspended or has adopted another view.

        Args:
            holder: Who sent the heartbeat.
            domain: The holder's domain.
            number: Number of the view that the holder has adopted.
            now: Clock reading on arrival.

        Returns:
            Whether the holder may count it.
        """
        if number != self.number(domain) or holder in self._suspended:
            return False
        self._until[holder] = now + self._promise_s
        return True

    def suspended(self, holder: Identity) -> bool:
        """Tell whether this witness has promised not to acknowledge a holder."""
        return holder in self._suspended

    def suspend(self, holder: Identity, domain: str, number: int, now: float) -> Promise | None:
        """Promise to acknowledge a holder no more in this view.

        Args:
            holder: Who is to be removed.
            domain: The holder's domain.
            number: Number of the view that the remover wants to replace.
            now: Clock reading.

        Returns:
            The promise, or None if this witness has adopted another view.
        """
        adopted, since = self._adopted.get(domain, (0, NEVER))
        if adopted != number:
            return None
        self._suspended[holder] = (domain, number)
        until = max(self._until.get(holder, NEVER), self._started + self._promise_s)
        return Promise(max(0.0, until - now), max(0.0, since + self._promise_s - now))


class Removal:
    """Collect the promises that a remover needs, for all silent members of a view at once.

    Removing several members one after the other needs one wait: a member whose leases were proven expired in one view
    can hold a lease only by acknowledgements of the next view, which the next promises cover.
    """

    def __init__(self) -> None:
        self._view: model.View | None = None
        self._promises: dict[Identity, dict[str, float]] = {}
        self._expired: dict[Identity, int] = {}

    @property
    def number(self) -> int:
        """Return the number of the view in which promises are collected."""
        return 0 if self._view is None else self._view.number

    def promisers(self, number: int) -> set[str]:
        """Return the voters that gave a promise in a view, and so have adopted it."""
        if self._view is None or self._view.number != number:
            return set()
        return {witness for promises in self._promises.values() for witness in promises}

    def begin(self, view: model.View, silent: list[Identity]) -> None:
        """Start to collect promises in a view, or go on if it is the same view."""
        if self._view is None or self._view.number != view.number:
            self._promises.clear()
        self._view = view
        for holder in silent:
            self._promises.setdefault(holder, {})

    def promised(self, holder: Identity, witness: str, promise: Promise, now: float) -> None:
        """Take a promise that a voter gave in the current view.

        Args:
            holder: Who is suspended.
            witness: VM name of the voter, in any incarnation.
            promise: What it reported.
            now: The remover's clock reading after the report arrived.
        """
        if self._view is None or holder not in self._promises:
            return
        consecutive = self._expired.get(holder, NEVER) == self._view.number - 1
        left = promise.left_s if consecutive else max(promise.left_s, promise.older_s)
        until = now + left * DRIFT_MARGIN
        known = self._promises[holder]
        known[witness] = min(known.get(witness, until), until)

    def removable(self, now: float) -> list[Identity]:
        """Return the members that can hold no lease any more, for which a quorum has promised and the wait is over."""
        view = self._view
        if view is None:
            return []
        names = {voter.vm for voter in voters(view)}
        needed = quorum(view)
        done = []
        for holder, promises in self._promises.items():
            waits = sorted(until for witness, until in promises.items() if witness in names)
            if len(waits) >= needed and waits[needed - 1] <= now:
                self._expired[holder] = view.number
                done.append(holder)
        return done
