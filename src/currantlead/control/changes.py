"""Changes of the domain's view: joining, leaving, removal of silent members and choice of the extra witness."""

import asyncio
import contextlib
import random
from typing import Any, Protocol

from currantlead import errors, interfaces, logs, timers, wire
from currantlead.control import lease, membership, model, views

# Number of heartbeat intervals without a heartbeat after which a member counts as silent.
SILENT_AFTER_INTERVALS = 2.5
# Each member waits this much longer than the member before it to remove a silent one, so that normally only the first
# live member acts.
REMOVER_DELAY_S = 1.5
# The extra witness is changed only when the view has not changed for this long, since a restart of VMs changes the view
# several times in quick succession.
WITNESS_CHANGE_DELAY_S = 1.0
# A VM that is still suspended when the view has not changed for this long ends the removal by renumbering the view.
ABANDONED_REMOVAL_TIMEOUT_S = 3.0
POLL_S = 0.25
IDLE_POLL_S = 1.0
SUSPEND_TIMEOUT_S = 0.5
JOIN_TIMEOUT_S = 5.0
LEAVE_TIMEOUT_S = 5.0
STORE_BACKOFF_S = 0.5

_log = logs.part("members")


class Host(Protocol):
    """Interface of ``members.MembershipService`` for the changes of its view."""

    @property
    def roles(self) -> membership.Roles:
        """Return the roles of this VM and the adoption reports of the members."""

    @property
    def interval_s(self) -> float:
        """Return the heartbeat interval in seconds."""

    def adopt(self, view: model.View) -> None:
        """Adopt a view if it is newer than the adopted one."""

    def send_heartbeats(self, *, push: bool = False) -> None:
        """Send heartbeats at once; ``push`` includes the whole view."""

    def silent_s(self, identity: lease.Identity) -> float:
        """Return the seconds since the last heartbeat of an incarnation."""

    def members_of_other_domains(self) -> list[model.Member]:
        """Return the members of the views of other domains."""

    def suspended_by_peer(self) -> bool:
        """Return whether a voter of the current view has reported that it suspended this VM."""

    def promise(self, domain: str, number: int, holders: list[lease.Identity]) -> list[list[float] | None]:
        """Promise to suspend lease holders; return None for each that is refused."""


class ViewChanges:
    """Background task that makes the changes of the view, one at a time."""

    def __init__(self, host: Host, peers: interfaces.Peers, store: views.ViewStore, clock: timers.Timers):
        self._host = host
        self._peers = peers
        self._store = store
        self._clock = clock
        self._wake = asyncio.Event()
        self._adoption_reported = asyncio.Event()
        self._joins: dict[lease.Identity, tuple[model.Member, asyncio.Future[None]]] = {}
        self._removal = lease.RemovalTracker()
        self._task: asyncio.Task[None] | None = None
        self._join_attempts = 0
        self._promises_requested_at = lease.LONG_AGO
        self._view_changed_at = lease.LONG_AGO
        self._view_number = 0
        self._leaving = False
        self._change_pending = True

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self, *, leave: bool) -> None:
        """Cancel the task and, if ``leave`` is set, remove this VM from the view."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if not leave:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._leave()
        except TimeoutError:
            _log.warning("view not left in time; the other members will remove this VM")

    def wake(self) -> None:
        """Make the task check for pending changes now."""
        self._wake.set()

    def notify_adoption(self) -> None:
        """Notify the task that another member may have adopted the view."""
        self._adoption_reported.set()

    async def on_join(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Handle a join request: add the sender to the view and return the view, or refuse."""
        member = wire.from_map(model.Member, body)
        if not self._host.roles.is_member or self._task is None or self._task.done():
            return {"refused": True}
        identity = lease.identity_of(member)
        _, done = self._joins.setdefault(identity, (member, asyncio.get_running_loop().create_future()))
        self._wake.set()
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await asyncio.shield(done)
        except TimeoutError:
            self._joins.pop(identity, None)
            return {"refused": True}
        view = self._host.roles.view
        assert view is not None
        return {"view": views.encode(view), "version": view.version}

    async def _run(self) -> None:
        while True:
            try:
                while await self._step():
                    pass
            except errors.PlatformUnavailableError as error:
                _log.warning("view not changed, the platform is unavailable: {}", error)
                await asyncio.sleep(STORE_BACKOFF_S * (0.5 + random.random()))
            except Exception as error:
                _log.opt(exception=error).error("view change failed")
                await asyncio.sleep(STORE_BACKOFF_S)
            # Unlike asyncio.timeout, asyncio.wait_for of Python 3.11 can lose a cancellation that comes with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_S if self._change_pending else IDLE_POLL_S):
                    await self._wake.wait()
            self._wake.clear()

    async def _step(self) -> bool:
        """Make at most one change; return whether to check for the next one at once."""
        roles = self._host.roles
        if not roles.is_member:
            self._change_pending = True
            return await self._join()
        view = roles.view
        if view.number != self._view_number:
            self._view_number, self._view_changed_at = view.number, self._clock.now()
        next_view = await self._next_view(view)
        if next_view is None or roles.view is not view:
            return next_view is not None
        if not self._committed(view):
            self._adoption_reported.clear()
            self._host.send_heartbeats()
            return await self._wait_until_committed(view)
        return await self._store_view(next_view)

    async def _next_view(self, view: model.View) -> model.View | None:
        silent = self._members_to_remove(view)
        self._change_pending = bool(silent or self._joins)
        if silent:
            removable = await self._find_removable(view, silent)
            return views.without_member(view, removable[0]) if removable else None
        for identity, (member, done) in list(self._joins.items()):
            if view.member(member.vm) != member:
                return views.with_member(view, member)
            del self._joins[identity]
            if not done.done():
                done.set_result(None)
        unchanged_s = self._clock.now() - self._view_changed_at
        if self._host.suspended_by_peer() and unchanged_s > ABANDONED_REMOVAL_TIMEOUT_S:
            return views.renumbered(view)
        if unchanged_s > WITNESS_CHANGE_DELAY_S and self._rank(view) == 0:
            return self._adjust_witness(view)
        return None

    def _adjust_witness(self, view: model.View) -> model.View | None:
        witness = view.witness
        failed = set()
        if witness is not None and self._host.silent_s(lease.identity_of(witness)) > self._silent_after_s:
            failed.add(lease.identity_of(witness))
        return views.adjust_witness(view, self._host.members_of_other_domains(), failed)

    @property
    def _silent_after_s(self) -> float:
        return SILENT_AFTER_INTERVALS * self._host.interval_s

    def _rank(self, view: model.View) -> int:
        """Return the number of live members that precede this VM by name."""
        before = [member for member in view.members if member.vm < self._peers.member.vm]
        return sum(self._host.silent_s(lease.identity_of(member)) < self._silent_after_s for member in before)

    def _members_to_remove(self, view: model.View) -> list[lease.Identity]:
        """Return the silent members and the earlier incarnations of VMs that request to join."""
        limit = self._silent_after_s + REMOVER_DELAY_S * self._rank(view)
        joining = {identity.vm: identity for identity in self._joins}
        silent = []
        for member in view.members:
            identity = lease.identity_of(member)
            if self._host.silent_s(identity) > limit or joining.get(member.vm, identity) != identity:
                silent.append(identity)
        return silent

    async def _find_removable(self, view: model.View, silent: list[lease.Identity]) -> list[lease.Identity]:
        """Request promises from all voters; return the silent members that may be removed now."""
        now = self._clock.now()
        removable = [holder for holder in self._removal.removable(now) if holder in silent]
        if removable and self._removal.view_number == view.number:
            return removable
        if self._removal.view_number != view.number or now - self._promises_requested_at > 1.0:
            self._promises_requested_at = now
            _log.info("requesting the voters of view {} to suspend {}", view.number, [holder.vm for holder in silent])
            self._removal.begin(view, silent)
            names = [voter.vm for voter in lease.voters(view)]
            await asyncio.gather(*(self._request_promises(view, name, silent) for name in names))
        return [holder for holder in self._removal.removable(self._clock.now()) if holder in silent]

    async def _request_promises(self, view: model.View, voter: str, holders: list[lease.Identity]) -> None:
        if voter == self._peers.member.vm:
            promises = self._host.promise(view.domain, view.number, holders)
        else:
            body = {"view": views.encode(view), "version": view.version, "holders": [list(one) for one in holders]}
            try:
                reply = await self._peers.request(voter, "suspend", body, timeout_s=SUSPEND_TIMEOUT_S)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError):
                return
            promises = reply["promises"]
        now = self._clock.now()
        for holder, promise in zip(holders, promises, strict=True):
            if promise is not None:
                self._removal.add_promise(holder, voter, lease.Promise(*promise), now)

    def _committed(self, view: model.View) -> bool:
        """Return whether a quorum has adopted a view, so that it may be replaced."""
        adopted = self._host.roles.adopted_by(view.number)
        adopted |= self._removal.promised_by(view.number)
        # A leaving VM has dropped its own report together with its roles, but it has adopted this view. If it were not
        # counted, the last member of a domain, or one with a dead witness, would find no quorum and could not leave.
        if self._leaving and self._host.roles.is_member:
            adopted.add(self._peers.member.vm)
        return lease.is_committed(view, adopted)

    async def _wait_until_committed(self, view: model.View) -> bool:
        try:
            async with asyncio.timeout(POLL_S):
                while not self._committed(view) and self._host.roles.view is view:
                    await self._adoption_reported.wait()
                    self._adoption_reported.clear()
        except TimeoutError:
            return False
        return True

    async def _store_view(self, next_view: model.View) -> bool:
        written = await self._store.write(next_view)
        if written is not None:
            self._host.adopt(written)
            self._host.send_heartbeats(push=True)
            return True
        current = await self._store.read()
        if current is not None:
            self._host.adopt(current)
        return current is not None and current.number >= next_view.number

    async def _join(self) -> bool:
        own = self._peers.member
        view = await self._store.read()
        if view is None or not view.members:
            return await self._store_view(views.initial(own.domain, own, view))
        self._host.adopt(view)
        if view.member(own.vm) == own:
            return True
        self._join_attempts += 1
        for vm in self._join_candidates(view):
            try:
                reply = await self._peers.request(vm, "join", wire.to_map(own), timeout_s=JOIN_TIMEOUT_S + 1)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError):
                continue
            if "view" in reply:
                self._host.adopt(views.decode(reply["view"], reply["version"]))
                return True
        return await self._remove_if_all_silent(view)

    def _join_candidates(self, view: model.View) -> list[str]:
        """Return up to three members to send a join request to, connected ones first.

        Each attempt starts with another member, so that a member that does not answer delays only some attempts.
        """
        names = [member.vm for member in view.members if member.vm != self._peers.member.vm]
        connected = set(self._peers.connected())
        names.sort(key=lambda name: (name not in connected, name))
        start = (self._join_attempts - 1) % len(names) if names else 0
        return (names[start:] + names[:start])[:3]

    async def _remove_if_all_silent(self, view: model.View) -> bool:
        """Remove a member of a view if all members are silent, such as after a power failure of the whole domain."""
        silent = [lease.identity_of(member) for member in view.members]
        known = self._host.roles.view
        if known is None or known.number != view.number:
            return False
        if any(self._host.silent_s(holder) < self._silent_after_s for holder in silent):
            return False
        # The view contains addresses of the former processes; the platform's list has those of replaced VMs.
        self._peers.update_addresses(await self._store.listed_members())
        removable = await self._find_removable(view, silent)
        return await self._store_view(views.without_member(view, removable[0])) if removable else False

    async def _leave(self) -> None:
        own = lease.identity_of(self._peers.member)
        self._leaving = True
        while self._host.roles.is_member:
            view = self._host.roles.view
            if not self._committed(view):
                await self._wait_until_committed(view)
                continue
            try:
                await self._store_view(views.without_member(view, own))
            except errors.PlatformUnavailableError as error:
                _log.warning("leaving the view is retried, the platform is unavailable: {}", error)
                await asyncio.sleep(STORE_BACKOFF_S * random.random())
        # Lets the other members receive the last heartbeats, which contain the new view.
        await asyncio.sleep(0.01)
