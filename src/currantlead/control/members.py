"""Membership service of a VM: exchanges heartbeats, renews the lease and adopts views.

This module performs the I/O and runs the timers; the protocol itself is in ``lease`` and ``membership``, which do
neither.
"""

import asyncio
import inspect
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from currantlead import interfaces, logs, timers
from currantlead.control import changes, heartbeats, lease, member_state, membership, model, views

HEARTBEAT_INTERVAL_S = 1.0
# Each member sends a heartbeat to every other one, so the cost per interval grows with the view. From 43 other voters
# on, the interval is longer; the lease duration stays the same. With another ``heartbeat_s`` than 1 s, the longer
# interval changes in proportion.
LARGE_VIEW_VOTERS = 43
LARGE_VIEW_HEARTBEAT_INTERVAL_S = 1.5
# A VM that stops keeps acknowledging leases of other domains for up to this long. A domain whose witness has left its
# view selects another one within one or two heartbeats; without this delay, a domain with a single VM, whose quorum
# needs the witness, would lose its lease at each planned stop of the witness.
WITNESS_HANDOVER_S = 4.0
WITNESS_HANDOVER_POLL_S = 0.05
# Echoes are normally sent with the next heartbeat. With less than this left of its lease, a VM requests them at once.
URGENT_MARGIN_S = 0.9

_log = logs.part("members")


class MembershipService:
    """Membership service of a VM; implements ``interfaces.Membership``.

    Args:
        peers: Streams to other VMs; handlers for ``ping``, ``suspend`` and ``join`` are registered with it.
        platform: Client of the platform that stores the views.
        directory: Source of the views of other domains.
        clock: Timer service.
        lease_s: Duration of leases.
        heartbeat_s: Heartbeat interval for all but large views.

    Attributes:
        heartbeats_sent: Number of heartbeats sent since this VM started.
    """

    def __init__(
        self,
        peers: interfaces.Peers,
        platform: interfaces.Platform,
        directory: interfaces.Directory,
        clock: timers.Timers,
        *,
        lease_s: float = lease.LEASE_S,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
    ):
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._identity = lease.identity_of(peers.member)
        self._domain = peers.member.domain
        self._state = member_state.MemberState(self._identity, self._domain, clock.now(), lease_s)
        self._contacts = heartbeats.Contacts()
        self._views: dict[str, model.View] = {}
        self._assignments: dict[str, membership.RoleAssignment] = {}
        self._heartbeat_targets: tuple[str, ...] = ()
        self._value_providers: dict[str, Callable[[], Any]] = {}
        self._release_callbacks: list[Callable[[], Awaitable[None] | None]] = []
        self._heartbeat_callbacks: list[Callable[[str, dict[str, Any]], None]] = []
        self._subscriptions: list[timers.Subscription] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._suspended_in_view = -1
        self._timer_ticks = 0
        self.heartbeats_sent = 0
        self._view_changes = changes.ViewChanges(self, peers, views.ViewStore(platform, self._domain), clock)
        peers.handler("ping")(self._on_ping)
        peers.handler("suspend")(self._on_suspend)
        peers.handler("join")(self._view_changes.on_join)

    # Implementation of interfaces.Membership.

    def lease_valid(self) -> bool:
        """Return whether this VM's lease is valid; check it without an ``await`` before the guarded action."""
        return self._state.valid(self._clock.now())

    def lease_remaining_s(self) -> float:
        """Return the seconds until this VM's lease expires, or 0 if it is not valid."""
        return max(0.0, self._state.lease.expires - self._clock.now())

    def owns(self, organisation: str) -> bool:
        """Return whether this VM has a valid lease and is the active rate owner of an organisation in its domain."""
        return self._state.owns(organisation, self._clock.now())

    def owned_since(self, organisation: str) -> float | None:
        """Return the clock reading at which ownership became active, or None if this VM is not the active owner."""
        return self._state.owned_since(organisation, self._clock.now())

    def connection_share(self, instance: str, domain: str) -> float:
        """Return the share (0 to 1) of an instance's connections that this VM may use; 0 without a valid lease."""
        return self._state.share(instance, self._clock.now()) if domain == self._domain else 0.0

    def owner(self, organisation: str, domain: str) -> str | None:
        """Return the VM assigned to own an organisation's bucket in a domain, or None if the domain has no members."""
        return membership.owner(self._assignments.get(domain), organisation)

    def holders(self, instance: str, domain: str) -> Sequence[str]:
        """Return the VMs assigned to hold connections to an instance, in order of preference."""
        return membership.holders(self._assignments.get(domain), instance)

    def alive(self, vm: str) -> bool:
        """Return whether a VM is believed to be running.

        For a VM of this domain this depends on its heartbeats, for one of another domain on whether a view contains it.
        """
        if vm == self._identity.vm:
            return True
        view = self._state.roles.view
        member = None if view is None else view.member(vm)
        if member is not None:
            return (
                self._contacts.silent_s(lease.identity_of(member), self._clock.now())
                < changes.SILENT_AFTER_INTERVALS * self.interval_s
            )
        return any(view.member(vm) is not None for domain, view in self._views.items() if domain != self._domain)

    # Interface for the daemon.

    @property
    def view(self) -> model.View | None:
        """Return the adopted view of this VM's domain, or None before the first one."""
        return self._state.roles.view

    @property
    def roles_active(self) -> bool:
        """Return whether all assigned roles are active: the lease is valid and all members have adopted the view."""
        return self.lease_valid() and self._state.roles.active

    def add_heartbeat_value(self, name: str, provider: Callable[[], Any]) -> None:
        """Register a value that is sent with each heartbeat.

        Args:
            name: Key of the value; keep it short, because it is part of each heartbeat.
            provider: Returns the current value.

        Raises:
            ValueError: The name has a provider already.
        """
        if name in self._value_providers:
            raise ValueError(f"heartbeat value {name!r} already has a provider")
        self._value_providers[name] = provider

    def heartbeat_values(self, vm: str) -> dict[str, Any]:
        """Return the values from the latest heartbeat of a VM."""
        if vm == self._identity.vm:
            return {name: provider() for name, provider in self._value_providers.items()}
        return self._contacts.values(vm)

    def add_heartbeat_callback(self, callback: Callable[[str, dict[str, Any]], None]) -> None:
        """Register a callback for received heartbeats; it is passed the sender's name and values."""
        self._heartbeat_callbacks.append(callback)

    def add_release_callback(self, callback: Callable[[], Awaitable[None] | None]) -> None:
        """Register a callback that releases lost roles; adoption of a view is reported after all callbacks are done."""
        self._release_callbacks.append(callback)

    async def start(self) -> None:
        """Start sending heartbeats and joining the view; return without waiting until this VM is a member."""
        self._directory.subscribe(self._on_object_changed)
        for domain in list(self._directory.views):
            self._on_object_changed(views.KIND, domain)
        self._subscriptions = [
            self._clock.subscribe("heartbeat", self._heartbeat_s / 2, self._send_heartbeats_if_due),
        ]
        self._view_changes.start()

    async def stop(self, *, leave: bool = True) -> None:
        """Release all roles, remove this VM from its view and cancel all tasks.

        Args:
            leave: Whether to remove this VM from the view; tests pass False to simulate a crash.
        """
        self._state.leave()
        await self._run_release_callbacks()
        await self._view_changes.stop(leave=leave)
        if leave:
            await self._wait_for_other_witnesses()
        self._state.lease.end()
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _wait_for_other_witnesses(self) -> None:
        """Acknowledge leases of other domains until they have another witness, for at most ``WITNESS_HANDOVER_S``."""
        end = self._clock.now() + WITNESS_HANDOVER_S
        # Views of other domains arrive through the directory, which has no event to wait for here.
        while self._clock.now() < end and self._is_witness():  # noqa: ASYNC110
            await asyncio.sleep(WITNESS_HANDOVER_POLL_S)

    def _is_witness(self) -> bool:
        witnesses = (view.witness for view in self._views.values())
        return any(witness is not None and lease.identity_of(witness) == self._identity for witness in witnesses)

    # Implementation of changes.Host.

    @property
    def roles(self) -> membership.Roles:
        """Return the roles of this VM and the adoption reports of the members."""
        return self._state.roles

    def members_of_other_domains(self) -> list[model.Member]:
        """Return the members of the views of other domains."""
        return [member for domain, view in self._views.items() if domain != self._domain for member in view.members]

    def silent_s(self, identity: lease.Identity) -> float:
        """Return the seconds since the last heartbeat of an incarnation."""
        if identity == self._identity:
            return 0.0
        return self._contacts.silent_s(identity, self._clock.now())

    def suspended_by_peer(self) -> bool:
        """Return whether a voter of the current view has reported that it suspended this VM."""
        return self._suspended_in_view == self._state.view_number

    def adopt(self, view: model.View) -> None:
        """Adopt a view of any domain, unless it is older than or the same as the known one."""
        known = self._views.get(view.domain)
        if known is not None and view.number <= known.number:
            return
        now = self._clock.now()
        self._views[view.domain] = view
        self._assignments[view.domain] = membership.RoleAssignment(view)
        self._peers.update_addresses(lease.voters(view))
        change = self._state.adopt(view, now)
        if change is not None:
            self._on_view_adopted(view, change, now)

    def send_heartbeats(self, *, push: bool = False) -> None:
        """Send heartbeats at once instead of at the next interval.

        Args:
            push: Whether to include the whole view.
        """
        self._send_heartbeats(push=push)

    def _on_view_adopted(self, view: model.View, change: membership.ViewChange, now: float) -> None:
        _log.info(
            "adopted view {} of {}: joined {}, removed {}, {} members, this VM is {}a member",
            view.number,
            view.domain,
            ", ".join(change.joined) or "none",
            ", ".join(change.removed) or "none",
            len(view.members),
            "" if change.is_member else "not ",
        )
        for voter in lease.voters(view):
            if voter.vm != self._identity.vm:
                self._contacts.expect(lease.identity_of(voter), now)
        self._heartbeat_targets = tuple(voter.vm for voter in lease.voters(view) if voter.vm != self._identity.vm)
        self._spawn(self._release_lost_roles(view.number))

    async def _release_lost_roles(self, number: int) -> None:
        await self._run_release_callbacks()
        was_active = self._state.roles.active
        released = self._state.report_adopted(number, self._clock.now())
        self._log_if_activated(was_active)
        if released:
            self._send_heartbeats()
            self._view_changes.wake()

    async def _run_release_callbacks(self) -> None:
        for callback in self._release_callbacks:
            try:
                pending = callback()
                if inspect.isawaitable(pending):
                    await pending
            except Exception as error:
                _log.opt(exception=error).error(
                    "release callback failed; adoption of the view is reported nevertheless"
                )

    def _log_if_activated(self, was_active: bool) -> None:
        if self._state.roles.active and not was_active:
            _log.info("all members have adopted view {}: new roles are active", self._state.view_number)

    def _on_lease_acquired(self) -> None:
        _log.info("lease acquired")
        self._schedule_lease_check()
        self._view_changes.wake()

    @property
    def interval_s(self) -> float:
        """Return the heartbeat interval for the size of the adopted view."""
        factor = LARGE_VIEW_HEARTBEAT_INTERVAL_S if len(self._heartbeat_targets) >= LARGE_VIEW_VOTERS else 1.0
        return factor * self._heartbeat_s

    def _send_heartbeats_if_due(self) -> None:
        # The timer runs at half the normal interval, so that the normal and the longer interval are multiples of it.
        self._timer_ticks += 1
        if self._timer_ticks >= round(2 * self.interval_s / self._heartbeat_s):
            self._timer_ticks = 0
            self._send_heartbeats()

    def _send_heartbeats(self, *, push: bool = False) -> None:
        """Send a heartbeat to every other voter of the view."""
        view = self._state.roles.view
        if view is None:
            return
        now = self._clock.now()
        values = {name: provider() for name, provider in self._value_providers.items()}
        was_active, epoch = self._state.roles.active, self._state.lease.epoch
        stamp = self._state.next_stamp(now)
        if self._state.lease.epoch != epoch:
            self._on_lease_acquired()
        self._log_if_activated(was_active)
        urgent = self._state.roles.is_member and self._state.lease.expires - now < URGENT_MARGIN_S
        for vm in self._heartbeat_targets:
            body = self._heartbeat_body(vm, stamp, values)
            if view.witness is not None and vm == view.witness.vm:
                # If two domains have their witnesses in each other, this heartbeat also serves as the reply to the
                # witness's heartbeat.
                body["o"] = self._state.witness.view_number(view.witness.domain)
            if urgent:
                body["f"] = 1
            if push:
                body["w"], body["wv"] = views.encode(view), view.version
            self._peers.notify(vm, "ping", body)
        self.heartbeats_sent += len(self._heartbeat_targets)

    def _heartbeat_body(self, vm: str, stamp: int, values: dict[str, Any]) -> dict[str, Any]:
        number = self._state.view_number
        body: dict[str, Any] = {"d": self._domain, "i": self._identity.incarnation, "v": number, "s": stamp}
        if values:
            body["n"] = values
        if self._state.roles.reported != number:
            body["a"] = self._state.roles.reported
        incarnation = self._contacts.incarnation(vm)
        if incarnation is not None:
            identity = lease.Identity(vm, incarnation)
            echo = self._state.echo(identity)
            if echo is not None:
                body["e"] = echo
            if self._state.witness.suspended(identity):
                body["x"] = 1
        return body

    def _on_ping(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        now = self._clock.now()
        domain, number, stamp = body["d"], body["v"], body["s"]
        identity = lease.Identity(vm, body["i"])
        if "w" in body:
            self.adopt(views.decode(body["w"], body["wv"]))
        self._contacts.record(identity, body.get("n"), now)
        was_active = self._state.roles.active
        if self._state.receive_heartbeat(identity, domain, number, stamp, body.get("e"), now):
            self._on_lease_acquired()
        if domain == self._domain:
            self._state.receive_report(identity, body.get("a", number), now)
        elif "o" in body:
            self._state.receive_report(identity, body["o"], now)
        self._log_if_activated(was_active)
        if "x" in body and domain == self._domain and number == self._state.view_number:
            self._suspended_in_view = number
        self._view_changes.notify_adoption()
        if "q" in body or "r" not in body:
            self._reply_if_needed(vm, domain, number, view_requested="q" in body, urgent="f" in body)
        for callback in self._heartbeat_callbacks:
            callback(vm, body.get("n", {}))
        return {}

    def _reply_if_needed(self, vm: str, domain: str, number: int, *, view_requested: bool, urgent: bool) -> None:
        """Reply to a heartbeat at once if the sender cannot wait for the next regular heartbeat.

        That is the case if it gets no regular heartbeats from this VM, has adopted another view, requested a view, or
        has a lease that expires soon.

        Args:
            vm: The sender of the heartbeat.
            domain: Domain of the sender.
            number: Number of the view that the sender has adopted.
            view_requested: Whether the sender requested the view of this VM's domain.
            urgent: Whether the sender's lease expires soon.
        """
        known = self._state.witness.view_number(domain)
        if vm in self._heartbeat_targets and number == known and not view_requested and not urgent:
            return
        body = self._heartbeat_body(vm, self._state.next_stamp(self._clock.now()), {})
        body["r"] = 1
        if number > known:
            body["q"] = 1
        if domain != self._domain:
            body["o"] = known
        view_to_send = self._views.get(self._domain if view_requested else domain)
        if view_to_send is not None and (view_requested or number < known):
            body["w"], body["wv"] = views.encode(view_to_send), view_to_send.version
        self._peers.notify(vm, "ping", body)

    def _schedule_lease_check(self) -> None:
        """Schedule a check for the time at which the lease expires; after a renewal the check reschedules itself."""
        delay_s = max(0.001, self._state.lease.expires - self._clock.now())
        self._clock.call_after("lease", delay_s, self._check_lease)

    def _check_lease(self) -> None:
        now = self._clock.now()
        if self._state.take_expiry(now):
            _log.warning("lease expired: all roles are stopped")
            self._spawn(self._release_lost_roles(self._state.view_number))
        elif self._state.valid(now):
            self._schedule_lease_check()

    async def _on_suspend(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        self.adopt(views.decode(body["view"], body["version"]))
        domain, number = body["view"]["domain"], body["view"]["number"]
        return {"promises": self.promise(domain, number, [lease.Identity(*holder) for holder in body["holders"]])}

    def promise(self, domain: str, number: int, holders: list[lease.Identity]) -> list[list[float] | None]:
        """Promise to suspend lease holders of this VM's domain or of another one that this VM is the witness of."""
        promises = self._state.promise(domain, number, holders, self._clock.now())
        return [None if promise is None else list(promise) for promise in promises]

    def _on_object_changed(self, kind: str, name: str) -> None:
        view = self._directory.views.get(name) if kind == views.KIND else None
        if view is not None:
            self.adopt(view)

    def _spawn(self, pending: Any) -> None:
        task = asyncio.get_running_loop().create_task(pending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
