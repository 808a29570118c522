"""Local copies of the store's objects, read from the store directly or through a relay in the same failure domain.

The store meters and bills every long poll, so only a few VMs per failure domain watch the store; the others poll those
VMs, their relays. A relay's response includes the age of its own last confirmation, to which the receiver adds the
time since it sent the request.
"""

import asyncio
import secrets
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.platform import objects
from currantlead.sessions import clock
from currantlead.sessions.decisions import relay_choice
from currantlead.sessions.membership import liveness, members
from currantlead.sessions.routing import sampling
from currantlead.sessions.shared import copies, store

POLL, CHANGED = "poll", "changed"
SAMPLES, AS_OF = "samples", "as_of"
POLL_INTERVAL_S = 0.5
"""Interval at which a relay is polled; a copy's age stays below the duration of the relay's watch
and ``relay_choice.MAX_RELAY_DELAY_S``."""
POLL_TIMEOUT_S = 0.3
"""A round trip within a failure domain takes 2 ms; a VM that takes this long is overloaded or down."""
STALE_RELAY_RETRY_S = 0.5
"""Time after which a stale relay is polled again."""
START_POLL_INTERVAL_S = 0.05
"""Interval at which a starting VM polls relays, which may be starting too."""
GATHER_S = 0.4
"""Time after which a VM that found no others in its failure domain lists the members again: VMs that are started
together register within 0.3 s."""
LISTENER_TIMEOUT_S = 2.0
"""A VM that has not polled for this long is no longer notified of changes."""

_log = logs.part("store")


class Mirror:
    """Keep local copies of the store's objects and serve them to other VMs of the failure domain.

    Args:
        object_store: Client of the store.
        peers: Streams to the other VMs.
        peer_liveness: Which VMs respond.
        known_members: The registered VMs.

    Attributes:
        paces_start: Whether the start of all VMs is paced.
    """

    def __init__(
        self,
        object_store: store.Store,
        peers: network.Network,
        peer_liveness: liveness.Liveness,
        known_members: members.Members,
    ):
        self._store = object_store
        self._peers = peers
        self._liveness = peer_liveness
        self._members = known_members
        self._copies: dict[str, copies.Copy] = {}
        self._follow_tasks: list[asyncio.Task[None]] = []
        self._polled_at: dict[str, float] = {}
        self._stale_until: dict[str, float] = {}
        self._relay_changed = asyncio.Event()
        # Part of each version, because a relay counts its versions from 0 again after a restart.
        self._incarnation = secrets.token_hex(4)
        self._relay = ""
        self._sampler: sampling.Sampler | None = None
        self.paces_start = False
        peers.handler(POLL)(self._handle_poll)
        peers.handler(CHANGED)(self._handle_changed)

    @property
    def uses_relay(self) -> bool:
        """Return whether the copies come from a relay."""
        return bool(self._relay)

    def has_polled_recently(self, vm: str) -> bool:
        """Return whether a VM has polled this one within the last ``LISTENER_TIMEOUT_S`` seconds."""
        return clock.now() - self._polled_at.get(vm, float("-inf")) <= LISTENER_TIMEOUT_S

    def copy_ages(self) -> dict[str, float]:
        """Return the seconds since the copy of each kind was last known to be current; infinite before the first."""
        now = clock.now()
        return {kind: now - copy.confirmed_at for kind, copy in self._copies.items()}

    def confirmed_at(self, kind: str) -> float:
        """Return the clock reading at which the copy of a kind was last known to be current; -inf before the first.

        While a follower's callback applies a change, this is the reading at which the change was not there yet.
        """
        return self._copies[kind].confirmed_at

    def revision_of(self, kind: str, name: str) -> int | None:
        """Return the revision of an object in the local copy, or None if the copy doesn't have it."""
        stored = (self._copies[kind].objects_by_name or {}).get(name)
        return stored.revision if stored is not None else None

    def attach_sampler(self, sampler: sampling.Sampler) -> None:
        """Exchange samples of the primaries' positions along with the copies."""
        self._sampler = sampler

    def add_follower(self, follower: store.Follower) -> None:
        """Keep a copy of the follower's kind and notify the follower of its changes; call it before ``run``."""
        copy = copies.Copy(follower, self._members.own.name if follower.kind == objects.MEMBERS else "")
        on_listed, on_changed, on_confirmed = follower.on_listed, follower.on_changed, follower.on_confirmed

        def listed(present: tuple[objects.StoredObject, ...]) -> None:
            if copy.replace(present, follower.revision):
                self._notify_listeners()
            on_listed(tuple(copy.objects_by_name.values()))

        def changed(present: tuple[objects.StoredObject, ...], removed: tuple[str, ...]) -> None:
            # A follower that has lost the store knows no revision to watch from.
            copy.update(present, removed, copy.as_of if follower.revision is None else follower.revision)
            self._notify_listeners()
            on_changed(present, removed)

        def confirmed(at: float) -> None:
            copy.confirmed_at = max(copy.confirmed_at, at)
            if follower.revision is not None:
                copy.as_of = follower.revision
            on_confirmed(at)

        follower.on_listed, follower.on_changed, follower.on_confirmed = listed, changed, confirmed
        self._copies[follower.kind] = copy

    async def run(self) -> None:
        """Keep the copies up to date until cancelled."""
        started_at = clock.now()
        try:
            await self._load_members()
            while True:
                self._relay_changed.clear()
                try:
                    relay = await self._poll_relays()
                    if relay or self._should_watch_store(started_at):
                        self._select_source(relay)
                    self._remove_expired()
                except Exception as error:
                    # Without this task the VM would neither use a relay nor watch the store.
                    _log.opt(exception=error).error("applying a change failed, listing all objects again")
                    self._list_again()
                await self._wait_for_next_poll()
        finally:
            self._stop_following()

    def _list_again(self) -> None:
        """Watch the store, beginning with lists, because a component may have missed a change."""
        self._stop_following()
        self._forget_revisions()
        self._select_source("")

    def _forget_revisions(self) -> None:
        """Make the next watches of the store begin with a list."""
        for copy in self._copies.values():
            copy.follower.revision = None

    def _remove_expired(self) -> None:
        """Remove the objects that a restored store lacks and that nobody has written again."""
        for copy in self._copies.values():
            expired = copy.expire_missing(clock.now())
            if expired:
                _log.bind(kind=copy.follower.kind, names=expired).warning("objects lost by the restored store removed")
                copy.follower.on_changed((), expired)

    async def _load_members(self) -> None:
        """List the members once, so that this VM can use a relay from the start.

        A VM that finds neither its own entry nor a relay may be one of many that start together; it lists them again
        when all have registered.
        """
        follower = self._copies[objects.MEMBERS].follower
        for delay_s in (0.0, GATHER_S):
            await asyncio.sleep(delay_s)
            try:
                await self._store.load(follower)
            except (errors.HttpUnavailableError, errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
                _log.warning("members could not be listed at the start: {}", error)
                return
            except Exception as error:
                # The list is read again with the other kinds; without this task the VM would read nothing.
                _log.opt(exception=error).error("applying the members failed at the start")
                return
            if self._members.missing_since is None or self._relay_candidates():
                return

    async def _wait_for_next_poll(self) -> None:
        """Wait for the interval between polls, or until the relay reports a change."""
        try:
            async with asyncio.timeout(POLL_INTERVAL_S if self._is_loaded else START_POLL_INTERVAL_S):
                await self._relay_changed.wait()
        except TimeoutError:
            return

    @property
    def _is_loaded(self) -> bool:
        """Whether all kinds have been read at least once."""
        return all(copy.objects_by_name is not None for copy in self._copies.values())

    def _should_watch_store(self, started_at: float) -> bool:
        """Return whether this VM watches the store, given that no relay has a fresh copy."""
        if self._follow_tasks:
            return True
        rank = self._ranked_relays().index(self._members.own.name)
        now = clock.now()
        if not self._is_loaded:
            return relay_choice.watches_store_at_start(rank, now - started_at, paced=self.paces_start)
        longest_delay_s = max(
            relay_choice.delay_s(now - copy.confirmed_at, copy.follower.wait_s) for copy in self._copies.values()
        )
        return relay_choice.watches_store(rank, longest_delay_s)

    def _select_source(self, relay: str) -> None:
        """Watch the store directly if ``relay`` is empty, and stop watching it otherwise."""
        if self._relay and not relay:
            # Without a list, the watches would confirm the copies only at their ends.
            self._forget_revisions()
        if relay != self._relay or (not relay and not self._follow_tasks):
            _log.bind(relay=relay or None).info("reading the store through a relay" if relay else "watching the store")
            self._relay = relay
        if relay:
            self._stop_following()
        elif not self._follow_tasks:
            # In an outage, only the kinds that probe the store call it; at the start, every kind is needed.
            self._store.set_available(not self._is_loaded)
            loop = asyncio.get_running_loop()
            self._follow_tasks = [loop.create_task(self._store.follow(copy.follower)) for copy in self._copies.values()]

    def _stop_following(self) -> None:
        for task in self._follow_tasks:
            task.cancel()
        self._follow_tasks.clear()

    def _ranked_relays(self) -> list[str]:
        return relay_choice.rank_relays(self._members.own, self._members.all())

    def _relay_candidates(self) -> list[str]:
        """Return the VMs that this one may use as relays now, in order of preference."""
        now = clock.now()
        return relay_choice.choose_relays(
            self._ranked_relays(),
            self._members.own.name,
            lambda name: not self._liveness.is_down(name) and self._stale_until.get(name, 0.0) <= now,
        )

    async def _poll_relays(self) -> str:
        """Apply the copies of the first fresh relay and return its name, or an empty string if none is fresh."""
        for name in self._relay_candidates():
            requested_at = clock.now()
            body: dict[str, Any] = {kind: copy.relay_version for kind, copy in self._copies.items()}
            if self._sampler is not None:
                body[SAMPLES] = self._sampler.encode_state(include_positions=False)
            try:
                response = await self._peers.request(name, POLL, body, timeout_s=POLL_TIMEOUT_S)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
                # While this VM starts, the others may be starting too.
                if self._is_loaded:
                    self._liveness.report_down(name, str(error))
                continue
            try:
                if self._apply_response(response, requested_at):
                    return name
            except errors.MalformedObjectError as error:
                _log.bind(relay=name).warning("relay sent a malformed copy: {}", error)
            if not self._is_loaded:
                continue
            self._stale_until[name] = clock.now() + STALE_RELAY_RETRY_S
            _log.bind(relay=name).info("relay has no fresh copy, skipping it for {} s", STALE_RELAY_RETRY_S)
        return ""

    def _apply_response(self, response: dict[str, Any], requested_at: float) -> bool:
        """Apply a relay's copies if they are complete and fresh; return whether they are.

        Raises:
            errors.MalformedObjectError: The response is malformed; nothing was applied.
        """
        as_of = response.get(AS_OF)
        if not isinstance(as_of, dict) or any(kind not in response or kind not in as_of for kind in self._copies):
            return False
        relayed = {kind: copies.decode_relayed(kind, response[kind], as_of[kind]) for kind in self._copies}
        elapsed_s = clock.now() - requested_at
        if any(
            relay_choice.delay_s(relayed[kind].age_s + elapsed_s, copy.follower.wait_s) > relay_choice.MAX_RELAY_DELAY_S
            for kind, copy in self._copies.items()
        ):
            return False
        if any(relayed[kind].as_of < copy.changed_at for kind, copy in self._copies.items()):
            return False
        for kind, copy in self._copies.items():
            copy.follower.revision = relayed[kind].as_of
            if relayed[kind].present is not None:
                copy.follower.on_listed(relayed[kind].present)
            copy.relay_version = relayed[kind].version
            copy.follower.on_confirmed(requested_at - relayed[kind].age_s)
        if self._sampler is not None:
            self._sampler.merge(response.get(SAMPLES, {}), requested_at)
        return True

    def _notify_listeners(self) -> None:
        """Notify the VMs that poll this one of a change."""
        now = clock.now()
        for vm, polled_at in list(self._polled_at.items()):
            if now - polled_at > LISTENER_TIMEOUT_S:
                del self._polled_at[vm]
            else:
                self._peers.notify(vm, CHANGED, {})

    def _handle_poll(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Serve the copies to another VM, without those that it already has in the current version."""
        now = clock.now()
        self._polled_at[vm] = now
        response: dict[str, Any] = {AS_OF: {}}
        for kind, known_version in body.items():
            copy = self._copies.get(kind)
            if copy is None or copy.objects_by_name is None:
                continue
            version = f"{self._incarnation}/{copy.version}"
            entries = None
            if known_version != version:
                entries = copy.encode()
            response[kind] = [version, max(0.0, now - copy.confirmed_at), entries]
            response[AS_OF][kind] = copy.as_of
        if self._sampler is not None:
            self._sampler.merge(body.get(SAMPLES, {}), now, vm)
            response[SAMPLES] = self._sampler.encode_state(include_positions=True)
        return response

    def _handle_changed(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        if vm == self._relay:
            self._relay_changed.set()
        return {}
