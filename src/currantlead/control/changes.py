"""Change the view of this VM's domain: join, leave, remove silent members, keep the extra witness right."""

import asyncio
import contextlib
import random
from typing import Any, Protocol

from currantlead import errors, interfaces, logs, timers, wire
from currantlead.control import lease, membership, model, views

# A member is silent after this many heartbeat intervals.
SILENT_INTERVALS = 2.5
# Each further member waits this much longer before it removes a silent one, so that normally one member acts.
NEXT_REMOVER_S = 1.5
# A restart changes the view several times at once; the extra witness follows when the view has been quiet this long.
QUIET_S = 1.0
ABANDONED_REMOVAL_S = 3.0
POLL_S = 0.25
IDLE_POLL_S = 1.0
SUSPEND_TIMEOUT_S = 0.5
JOIN_TIMEOUT_S = 5.0
LEAVE_TIMEOUT_S = 5.0
STORE_BACKOFF_S = 0.5

_log = logs.part("members")


class Host(Protocol):
    """Describe what changes need of ``members.Members``."""

    @property
    def roles(self) -> membership.Roles:
        """Return the roles and adoption reports."""

    @property
    def interval_s(self) -> float:
        """Return the seconds between heartbeats."""

    def adopt(self, view: model.View) -> None:
        """Adopt a view."""

    def beat_now(self, *, push: bool = False) -> None:
        """Send heartbeats at once, with the view itself if ``push`` is set."""

    def silent_s(self, identity: lease.Identity) -> float:
        """Return for how long an incarnation has been silent."""

    def foreign_members(self) -> list[model.Member]:
        """Return the members of the views of other domains."""

    def suspended_by_peer(self) -> bool:
        """Tell whether a witness does not acknowledge this VM in the current view."""

    def promise(self, domain: str, number: int, holders: list[lease.Identity]) -> list[list[float] | None]:
        """Promise to suspend holders."""


class Changes:
    """Run one change of the view after the other."""

    def __init__(self, host: Host, peers: interfaces.Peers, store: views.Store, clock: timers.Timers):
        self._host = host
        self._peers = peers
        self._store = store
        self._clock = clock
        self._wake = asyncio.Event()
        self._progress = asyncio.Event()
        self._joins: dict[lease.Identity, tuple[model.Member, asyncio.Future[None]]] = {}
        self._removal = lease.Removal()
        self._task: asyncio.Task[None] | None = None
        self._attempts = 0
        self._asked_at = lease.NEVER
        self._changed_at = lease.NEVER
        self._number = 0
        self._leaving = False
        self._busy = True

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self, *, leave: bool) -> None:
        """End the task and remove this VM from the view."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if not leave:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._leave()
        except TimeoutError:
            _log.warning("could not leave the view in time; the other members will remove this VM")

    def wake(self) -> None:
        """Look for changes to make now."""
        self._wake.set()

    def progressed(self) -> None:
        """Take note that a member may have adopted the view."""
        self._progress.set()

    async def on_join(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Add a VM to the view and return the view."""
        member = wire.from_map(model.Member, body)
        if not self._host.roles.member or self._task is None or self._task.done():
            return {"refused": True}
        identity = lease.identify(member)
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
        return {"view": views.to_value(view), "version": view.version}

    async def _run(self) -> None:
        while True:
            try:
                while await self._step():
                    pass
            except errors.PlatformUnavailableError as error:
                _log.warning("no view change while the platform is unavailable: {}", error)
                await asyncio.sleep(STORE_BACKOFF_S * (0.5 + random.random()))
            except Exception as error:
                _log.opt(exception=error).error("a view change failed")
                await asyncio.sleep(STORE_BACKOFF_S)
            # asyncio.wait_for of Python 3.11 may swallow a cancellation that comes together with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_S if self._busy else IDLE_POLL_S):
                    await self._wake.wait()
            self._wake.clear()

    async def _step(self) -> bool:
        """Make one change; return whether to look for the next at once."""
        roles = self._host.roles
        if not roles.member:
            self._busy = True
            return await self._join()
        view = roles.view
        if view.number != self._number:
            self._number, self._changed_at = view.number, self._clock.now()
        following = await self._next(view)
        if following is None or roles.view is not view:
            return following is not None
        if not self._committed(view):
            self._progress.clear()
            self._host.beat_now()
            return await self._wait_committed(view)
        return await self._write(following)

    async def _next(self, view: model.View) -> model.View | None:
        silent = self._to_remove(view)
        self._busy = bool(silent or self._joins)
        if silent:
            removable = await self._remove(view, silent)
            return views.without(view, removable[0]) if removable else None
        for identity, (member, done) in list(self._joins.items()):
            if view.member(member.vm) != member:
                return views.with_member(view, member)
            del self._joins[identity]
            if not done.done():
                done.set_result(None)
        quiet = self._clock.now() - self._changed_at
        if self._host.suspended_by_peer() and quiet > ABANDONED_REMOVAL_S:
            return views.renumbered(view)
        if quiet > QUIET_S and self._position(view) == 0:
            return self._witness_step(view)
        return None

    def _witness_step(self, view: model.View) -> model.View | None:
        witness = view.witness
        failed = set()
        if witness is not None and self._host.silent_s(lease.identify(witness)) > self._silent_after_s:
            failed.add(lease.identify(witness))
        return views.repair_witness(view, self._host.foreign_members(), failed)

    @property
    def _silent_after_s(self) -> float:
        return SILENT_INTERVALS * self._host.interval_s

    def _position(self, view: model.View) -> int:
        """Return how many live members come before this VM."""
        before = [member for member in view.members if member.vm < self._peers.member.vm]
        return sum(self._host.silent_s(lease.identify(member)) < self._silent_after_s for member in before)

    def _to_remove(self, view: model.View) -> list[lease.Identity]:
        """Return the silent members, and those that a newer incarnation asks to replace."""
        limit = self._silent_after_s + NEXT_REMOVER_S * self._position(view)
        joining = {identity.vm: identity for identity in self._joins}
        silent = []
        for member in view.members:
            identity = lease.identify(member)
            if self._host.silent_s(identity) > limit or joining.get(member.vm, identity) != identity:
                silent.append(identity)
        return silent

    async def _remove(self, view: model.View, silent: list[lease.Identity]) -> list[lease.Identity]:
        """Collect promises from all voters, and return the members that may be removed now."""
        now = self._clock.now()
        removable = [holder for holder in self._removal.removable(now) if holder in silent]
        if removable and self._removal.number == view.number:
            return removable
        if self._removal.number != view.number or now - self._asked_at > 1.0:
            self._asked_at = now
            _log.info("asking the voters of view {} to suspend {}", view.number, [holder.vm for holder in silent])
            self._removal.begin(view, silent)
            names = [voter.vm for voter in lease.voters(view)]
            await asyncio.gather(*(self._ask(view, name, silent) for name in names))
        return [holder for holder in self._removal.removable(self._clock.now()) if holder in silent]

    async def _ask(self, view: model.View, voter: str, holders: list[lease.Identity]) -> None:
        if voter == self._peers.member.vm:
            promises = self._host.promise(view.domain, view.number, holders)
        else:
            body = {"view": views.to_value(view), "version": view.version, "holders": [list(one) for one in holders]}
            try:
                reply = await self._peers.request(voter, "suspend", body, timeout_s=SUSPEND_TIMEOUT_S)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError):
                return
            promises = reply["promises"]
        now = self._clock.now()
        for holder, promise in zip(holders, promises, strict=True):
            if promise is not None:
                self._removal.promised(holder, voter, lease.Promise(*promise), now)

    def _committed(self, view: model.View) -> bool:
        """Tell whether a quorum has adopted a view, so that it may be replaced."""
        adopted = self._host.roles.adopted_by(view.number)
        adopted |= self._removal.promisers(view.number)
        # A VM that leaves has dropped its own report together with its roles, but it did adopt this view. Without it
        # the last member of a domain, or one with a dead witness, would find no quorum and could not leave.
        if self._leaving and self._host.roles.member:
            adopted.add(self._peers.member.vm)
        return lease.committed(view, adopted)

    async def _wait_committed(self, view: model.View) -> bool:
        try:
            async with asyncio.timeout(POLL_S):
                while not self._committed(view) and self._host.roles.view is view:
                    await self._progress.wait()
                    self._progress.clear()
        except TimeoutError:
            return False
        return True

    async def _write(self, following: model.View) -> bool:
        written = await self._store.write(following)
        if written is not None:
            self._host.adopt(written)
            self._host.beat_now(push=True)
            return True
        current = await self._store.read()
        if current is not None:
            self._host.adopt(current)
        return current is not None and current.number >= following.number

    async def _join(self) -> bool:
        me = self._peers.member
        view = await self._store.read()
        if view is None or not view.members:
            return await self._write(views.first(me.domain, me, view))
        self._host.adopt(view)
        if view.member(me.vm) == me:
            return True
        self._attempts += 1
        for vm in self._candidates(view):
            try:
                reply = await self._peers.request(vm, "join", wire.to_map(me), timeout_s=JOIN_TIMEOUT_S + 1)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError):
                continue
            if "view" in reply:
                self._host.adopt(views.from_value(reply["view"], reply["version"]))
                return True
        return await self._take_over(view)

    def _candidates(self, view: model.View) -> list[str]:
        """Return the members to ask, each attempt from another start, so that a hanging member costs one attempt."""
        names = [member.vm for member in view.members if member.vm != self._peers.member.vm]
        connected = set(self._peers.connected())
        names.sort(key=lambda name: (name not in connected, name))
        start = (self._attempts - 1) % len(names) if names else 0
        return (names[start:] + names[:start])[:3]

    async def _take_over(self, view: model.View) -> bool:
        """Remove members of a view of which none is left, such as after a loss of power in the whole domain."""
        silent = [lease.identify(member) for member in view.members]
        known = self._host.roles.view
        if known is None or known.number != view.number:
            return False
        if any(self._host.silent_s(holder) < self._silent_after_s for holder in silent):
            return False
        # The view holds the addresses of the old processes; VMs that were replaced are found in the platform's list.
        self._peers.learn(await self._store.listed())
        removable = await self._remove(view, silent)
        return await self._write(views.without(view, removable[0])) if removable else False

    async def _leave(self) -> None:
        me = lease.identify(self._peers.member)
        self._leaving = True
        while self._host.roles.member:
            view = self._host.roles.view
            if not self._committed(view):
                await self._wait_committed(view)
                continue
            try:
                await self._write(views.without(view, me))
            except errors.PlatformUnavailableError as error:
                _log.warning("cannot leave the view yet: {}", error)
                await asyncio.sleep(STORE_BACKOFF_S * random.random())
        # Lets the last heartbeats, which carry the new view, reach the other members.
        await asyncio.sleep(0.01)
