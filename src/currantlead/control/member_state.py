"""State of a VM in the membership protocol: lease, acknowledgements for other VMs, and roles."""

from typing import Any

from currantlead.control import heartbeats, lease, membership, model


class MemberState:
    """State machine that decides from heartbeats and views which roles a VM may use.

    It does no I/O and reads no clock; each call is passed the clock reading.

    Attributes:
        lease: The VM's own lease.
        witness: Acknowledgements and suspensions of leases, including those of other VMs.
        roles: Adopted view, adoption reports and roles.
    """

    def __init__(self, identity: lease.Identity, domain: str, started: float, lease_s: float = lease.LEASE_S):
        self._identity = identity
        self._domain = domain
        self._stamps = heartbeats.Stamps()
        self._echoes: dict[lease.Identity, int] = {}
        self._lease_was_valid = False
        self._expiry_pending = False
        self.lease = lease.Lease(lease_s)
        self.witness = lease.Witness(started, lease_s)
        self.roles = membership.Roles(identity, domain)

    @property
    def view_number(self) -> int:
        """Return the number of the adopted view of the VM's own domain."""
        return 0 if self.roles.view is None else self.roles.view.number

    def valid(self, now: float) -> bool:
        """Return whether the VM's lease is valid."""
        return self.lease.valid(now)

    def owns(self, organisation: str, now: float) -> bool:
        """Return whether the VM has a valid lease and is the active owner of an organisation's bucket."""
        return self.lease.valid(now) and self.roles.owns(organisation, self.lease.epoch)

    def owned_since(self, organisation: str, now: float) -> float | None:
        """Return the clock reading at which ownership became active, or None if the VM is not the active owner."""
        return self.roles.owned_since(organisation, self.lease.epoch) if self.lease.valid(now) else None

    def share(self, instance: str, now: float) -> float:
        """Return the share (0 to 1) of an instance's connections that the VM may use; 0 without a valid lease."""
        return self.roles.share(instance, self.lease.epoch) if self.lease.valid(now) else 0.0

    def adopt(self, view: model.View, now: float) -> membership.ViewChange | None:
        """Adopt a view of any domain; return the change of the own domain's view, or None."""
        self._check_expiry(now)
        self.witness.adopt(view, now)
        if view.domain != self._domain:
            return None
        change = self.roles.adopt(view)
        if change is None:
            return None
        if change.is_member:
            self.lease.adopt(view)
        else:
            self.lease.end()
            self._lease_was_valid = False
        return change

    def report_adopted(self, number: int, now: float) -> bool:
        """Report the adoption of a view, unless a later one is adopted; call it after lost roles were released.

        Returns:
            Whether the adoption was reported.
        """
        if self.view_number != number:
            return False
        self.roles.report_adopted(now, self.lease.epoch)
        return True

    def leave(self) -> None:
        """End all roles permanently before the VM removes itself from the view."""
        self.roles.leave()

    def next_stamp(self, now: float) -> int:
        """Return the stamp for heartbeats sent after ``now``; the VM also acknowledges its own lease, as a voter."""
        self._check_expiry(now)
        stamp = self._stamps.issue(now)
        if self.roles.is_member and self.witness.acknowledge(self._identity, self._domain, self.view_number, now):
            self._acknowledge(self._identity, stamp, now)
        return stamp

    def echo(self, identity: lease.Identity) -> int | None:
        """Return the newest acknowledged stamp of a peer, or None."""
        return self._echoes.get(identity)

    def receive_heartbeat(
        self, identity: lease.Identity, domain: str, number: int, stamp: int, echo: Any, now: float
    ) -> bool:
        """Process a received heartbeat.

        Args:
            identity: The sender.
            domain: Domain of the sender.
            number: Number of the view of its domain that the sender has adopted.
            stamp: Stamp of the heartbeat.
            echo: The newest stamp of this VM that the sender acknowledged, or None.
            now: Clock reading.

        Returns:
            Whether this VM acquired its lease with this heartbeat.
        """
        self._check_expiry(now)
        if self.witness.acknowledge(identity, domain, number, now):
            self._echoes[identity] = stamp
        else:
            self._echoes.pop(identity, None)
        return self._acknowledge(identity, echo, now)

    def receive_report(self, identity: lease.Identity, number: int, now: float) -> None:
        """Record a voter's report that it has adopted a view of this VM's domain."""
        self.roles.report(identity, number, now, self.lease.epoch)

    def take_expiry(self, now: float) -> bool:
        """Return whether the lease has expired since the last call; each expiry is returned once.

        All roles have ended then. They can become active again after the caller has run the release callbacks and
        called ``report_adopted``, and the lease has been renewed.
        """
        self._check_expiry(now)
        expired, self._expiry_pending = self._expiry_pending, False
        return expired

    def promise(self, domain: str, number: int, holders: list[lease.Identity], now: float) -> list[Any]:
        """Suspend lease holders in a view; return a promise for each, or None if another view is adopted."""
        return [self.witness.suspend(holder, domain, number, now) for holder in holders]

    def _check_expiry(self, now: float) -> None:
        # A process that was paused past its lease may receive heartbeats before its timers run, so each event checks.
        if self._lease_was_valid and not self.lease.valid(now):
            self._lease_was_valid = False
            self._expiry_pending = True
            self.roles.end_all()

    def _acknowledge(self, witness: lease.Identity, stamp: Any, now: float) -> bool:
        sent = self._stamps.sent_at(stamp)
        if sent is None or not self.roles.is_member:
            return False
        epoch = self.lease.epoch
        self.lease.acknowledge(witness, sent, now)
        if self.lease.epoch == epoch:
            return False
        self._lease_was_valid = True
        self.roles.activate(now, self.lease.epoch)
        return True
