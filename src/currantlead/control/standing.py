"""Join a VM's lease, its witness side and its roles into one pure state."""

from typing import Any

from currantlead.control import heartbeats, lease, membership, model


class Standing:
    """Decide what a VM may use, from heartbeats and views; each call takes the clock reading.

    Attributes:
        lease: Holder side of the VM's lease.
        witness: Witness side for other holders.
        roles: Adopted view, adoption reports and roles.
    """

    def __init__(self, identity: lease.Identity, domain: str, started: float, lease_s: float = lease.LEASE_S):
        self._identity = identity
        self._domain = domain
        self._stamps = heartbeats.Stamps()
        self._echoes: dict[lease.Identity, int] = {}
        self._usable = False
        self._lapsed = False
        self.lease = lease.Lease(lease_s)
        self.witness = lease.Witness(started, lease_s)
        self.roles = membership.Roles(identity, domain)

    @property
    def number(self) -> int:
        """Return the number of the adopted view of the VM's own domain."""
        return 0 if self.roles.view is None else self.roles.view.number

    def valid(self, now: float) -> bool:
        """Tell whether the lease holds."""
        return self.lease.valid(now)

    def owns(self, organisation: str, now: float) -> bool:
        """Tell whether the VM may use an organisation's bucket."""
        return self.lease.valid(now) and self.roles.owns(organisation, self.lease.epoch)

    def owned_since(self, organisation: str, now: float) -> float | None:
        """Return when ownership became active, or None."""
        return self.roles.owned_since(organisation, self.lease.epoch) if self.lease.valid(now) else None

    def share(self, instance: str, now: float) -> float:
        """Return the share of an instance's connections that the VM may use."""
        return self.roles.share(instance, self.lease.epoch) if self.lease.valid(now) else 0.0

    def adopt(self, view: model.View, now: float) -> membership.Change | None:
        """Adopt a view of any domain; return what changed in the VM's own domain, or None."""
        self._notice(now)
        self.witness.adopt(view, now)
        if view.domain != self._domain:
            return None
        change = self.roles.adopt(view)
        if change is None:
            return None
        if change.member:
            self.lease.adopt(view)
        else:
            self.lease.drop()
            self._usable = False
        return change

    def release(self, number: int, now: float) -> bool:
        """Report adoption of a view after its lost roles were released; False if a later view came in between."""
        if self.number != number:
            return False
        self.roles.report_adopted(now, self.lease.epoch)
        return True

    def leave(self) -> None:
        """Stop all roles for good before the VM removes itself."""
        self.roles.leave()

    def ping(self, now: float) -> int:
        """Return the stamp of a heartbeat that is sent after ``now``; the VM is a witness of its own lease, too."""
        self._notice(now)
        stamp = self._stamps.issue(now)
        if self.roles.member and self.witness.acknowledge(self._identity, self._domain, self.number, now):
            self._acknowledge(self._identity, stamp, now)
        return stamp

    def echo(self, identity: lease.Identity) -> int | None:
        """Return the newest stamp of a peer that this VM acknowledged."""
        return self._echoes.get(identity)

    def receive(self, identity: lease.Identity, domain: str, number: int, stamp: int, echo: Any, now: float) -> bool:
        """Take a heartbeat.

        Args:
            identity: The sender.
            domain: Its domain.
            number: Number of the view of its domain that it has adopted.
            stamp: Its stamp.
            echo: The newest stamp of this VM that the sender acknowledged, or None.
            now: Clock reading.

        Returns:
            Whether this VM's lease began to hold with it.
        """
        self._notice(now)
        if self.witness.acknowledge(identity, domain, number, now):
            self._echoes[identity] = stamp
        else:
            self._echoes.pop(identity, None)
        return self._acknowledge(identity, echo, now)

    def report(self, identity: lease.Identity, number: int, now: float) -> None:
        """Take a voter's report of the view of this VM's domain that it has adopted."""
        self.roles.report(identity, number, now, self.lease.epoch)

    def lapse(self, now: float) -> bool:
        """Tell, once for each time, that the lease ran out.

        All roles have stopped. They may become active again after the caller has run the release callbacks and called
        ``release``, once the lease holds again.
        """
        self._notice(now)
        noticed, self._lapsed = self._lapsed, False
        return noticed

    def promise(self, domain: str, number: int, holders: list[lease.Identity], now: float) -> list[Any]:
        """Promise to suspend holders in a view; None where another view is adopted."""
        return [self.witness.suspend(holder, domain, number, now) for holder in holders]

    def _notice(self, now: float) -> None:
        # A process that was paused past its lease may receive heartbeats before its timers run, so each event checks.
        if self._usable and not self.lease.valid(now):
            self._usable = False
            self._lapsed = True
            self.roles.lose_all()

    def _acknowledge(self, witness: lease.Identity, stamp: Any, now: float) -> bool:
        sent = self._stamps.sent(stamp)
        if sent is None or not self.roles.member:
            return False
        epoch = self.lease.epoch
        self.lease.acknowledge(witness, sent, now)
        if self.lease.epoch == epoch:
            return False
        self._usable = True
        self.roles.settle(now, self.lease.epoch)
        return True
