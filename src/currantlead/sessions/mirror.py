"""This VM's copy of the store's objects, taken from the store itself or from a relay in its failure domain.

Each waiting call to the store is counted and priced, so a few VMs of each failure domain ask the store and the others
ask them. A relay's answer tells how old its own confirmation is; the age is added to the time since it was asked.
"""

import asyncio
import dataclasses
import json
import secrets
import zlib
from collections.abc import Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.platform import objects
from currantlead.sessions import clock, holders, liveness, members, sampling, store

POLL, CHANGED = "poll", "changed"
SAMPLES = "samples"
POLL_S = 0.5
"""Interval at which a relay is asked; with the relay's own wait of 1.5 s the age stays below 2.2 s."""
POLL_TIMEOUT_S = 0.3
"""A round trip in a failure domain takes 2 ms; a VM that is this late is busy or gone."""
RELAYS = 3
"""VMs of a failure domain that may be relays; if none of them is fresh, each VM asks the store itself."""
STALE_S = 2.2
"""A relay whose confirmation is older is passed over: the next question and a call to the store still end before 3 s,
when new sessions are refused."""
STALE_RETRY_S = 1.0
"""A stale relay is asked again after this time."""
ENCODE_LEVEL = 1
"""Level of zlib: a configuration of 100 KB takes 1 ms and a tenth of its size."""
LISTENER_S = 2.0
"""A VM that has not asked for this long is not told of changes."""

_log = logs.part("store")


@dataclasses.dataclass(eq=False, slots=True)
class _Copy:
    """Hold the objects of one kind.

    Attributes:
        follower: What this VM's parts are told, and how far the store was followed.
        present: Objects by name; None before the first list.
        confirmed_at: Clock reading up to which the copy was the newest.
        version: Grows with each change of the copy.
        relayed: The relay's version that the copy was taken at, or None if it came from the store.
        encoded: The version that was encoded last, with its bytes.
    """

    follower: store.Follower
    present: dict[str, objects.Stored] | None = None
    confirmed_at: float = float("-inf")
    version: int = 0
    relayed: str | None = None
    encoded: tuple[int, bytes] | None = None

    def encode(self) -> bytes:
        """Return the objects for other VMs, as compressed JSON: their values may hold strings of any kind."""
        if self.encoded is None or self.encoded[0] != self.version:
            entries = [[stored.name, stored.revision, stored.value] for stored in (self.present or {}).values()]
            self.encoded = self.version, zlib.compress(json.dumps(entries).encode(), ENCODE_LEVEL)
        return self.encoded[1]

    @property
    def newest(self) -> int:
        """Return the revision of the newest change that the copy holds."""
        return max((stored.revision for stored in (self.present or {}).values()), default=0)


class Mirror:
    """Keep copies of the store's objects, and serve them to other VMs of the failure domain."""

    def __init__(
        self, shared: store.Store, peers: network.Network, alive: liveness.Liveness, known_members: members.Members
    ):
        self._store = shared
        self._peers = peers
        self._liveness = alive
        self._members = known_members
        self._copies: dict[str, _Copy] = {}
        self._following: list[asyncio.Task[None]] = []
        self._listeners: dict[str, float] = {}
        self._stale_until: dict[str, float] = {}
        self._wake = asyncio.Event()
        # A relay that starts again counts its versions anew.
        self._start = secrets.token_hex(4)
        self._relay = ""
        self._sampler: sampling.Sampler | None = None
        peers.handler(POLL)(self._answer)
        peers.handler(CHANGED)(self._told)

    @property
    def relayed(self) -> bool:
        """Tell whether the copies come from a relay."""
        return bool(self._relay)

    def is_listening(self, vm: str) -> bool:
        """Tell whether a VM has asked this one for its copies a moment ago."""
        return clock.now() - self._listeners.get(vm, float("-inf")) <= LISTENER_S

    def revision_of(self, kind: str, name: str) -> int | None:
        """Return the revision of an object's last change as far as it is known here, or None."""
        stored = (self._copies[kind].present or {}).get(name)
        return stored.revision if stored is not None else None

    def share(self, sampler: sampling.Sampler) -> None:
        """Pass samples of the primaries' positions on together with the copies."""
        self._sampler = sampler

    def keep(self, follower: store.Follower) -> None:
        """Keep a copy of a kind and tell a follower of it; to be called before ``run``."""
        copy = _Copy(follower)
        on_listed, on_changed, on_confirmed = follower.on_listed, follower.on_changed, follower.on_confirmed

        def listed(present: tuple[objects.Stored, ...]) -> None:
            self._replace(copy, present)
            on_listed(present)

        def changed(present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
            copy.present.update({stored.name: stored for stored in present})
            for name in removed:
                copy.present.pop(name, None)
            self._note_change(copy)
            on_changed(present, removed)

        def confirmed(at: float) -> None:
            copy.confirmed_at = max(copy.confirmed_at, at)
            on_confirmed(at)

        follower.on_listed, follower.on_changed, follower.on_confirmed = listed, changed, confirmed
        self._copies[follower.kind] = copy

    async def run(self) -> None:
        """Keep the copies the newest until cancelled."""
        try:
            while True:
                self._wake.clear()
                relay = await self._ask_relays()
                self._follow(relay)
                try:
                    async with asyncio.timeout(POLL_S):
                        await self._wake.wait()
                except TimeoutError:
                    continue
        finally:
            self._follow("-")

    def _follow(self, relay: str) -> None:
        """Follow the store, or leave that to a relay."""
        if relay != self._relay or (not relay and not self._following):
            _log.bind(relay=relay or None).info("the store is followed through a relay" if relay else "following")
            self._relay = relay
        if relay:
            for task in self._following:
                task.cancel()
            self._following.clear()
        elif not self._following:
            self._store.resume()
            loop = asyncio.get_running_loop()
            self._following = [loop.create_task(self._store.follow(copy.follower)) for copy in self._copies.values()]

    def _candidates(self) -> list[str]:
        """Return the VMs that this one may take its copies from, best first."""
        own = self._members.own
        near = [member.name for member in self._members.all() if member.domain == own.domain]
        ranked = sorted(near, key=lambda name: holders.weight("relay", name))
        now = clock.now()
        return [
            name
            for name in ranked[: ranked.index(own.name)][:RELAYS]
            if not self._liveness.is_down(name) and self._stale_until.get(name, 0.0) <= now
        ]

    async def _ask_relays(self) -> str:
        """Take the copies of the first relay that is fresh; return its name, or an empty one."""
        for name in self._candidates():
            asked_at = clock.now()
            body: dict[str, Any] = {kind: copy.relayed for kind, copy in self._copies.items()}
            if self._sampler is not None:
                body[SAMPLES] = self._sampler.encode(positions=False)
            try:
                answer = await self._peers.request(name, POLL, body, timeout_s=POLL_TIMEOUT_S)
            except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
                self._liveness.report(name, str(error))
                continue
            try:
                if self._take(answer, asked_at):
                    return name
            except errors.MalformedObjectError as error:
                _log.bind(relay=name).warning("relay's copy is refused: {}", error)
            self._stale_until[name] = clock.now() + STALE_RETRY_S
            _log.bind(relay=name).info("relay is behind")
        return ""

    def _take(self, answer: dict[str, Any], asked_at: float) -> bool:
        """Take a relay's copies; return whether they are complete and fresh."""
        if any(kind not in answer for kind in self._copies):
            return False
        if any(asked_at - answer[kind][1] < clock.now() - STALE_S for kind in self._probed()):
            return False
        decoded = {}
        for kind, copy in self._copies.items():
            entries = answer[kind][2]
            if entries is not None:
                decoded[kind] = tuple(objects.Stored(*entry) for entry in json.loads(zlib.decompress(entries)))
                if max((stored.revision for stored in decoded[kind]), default=0) < copy.newest:
                    return False
        for kind, copy in self._copies.items():
            version, age_s, _ = answer[kind]
            if kind in decoded:
                copy.follower.on_listed(decoded[kind])
            copy.relayed = version
            # Where the relay got to in the store's history is not told: a list follows when this VM asks the store.
            copy.follower.revision = None
            copy.follower.on_confirmed(asked_at - age_s)
        if self._sampler is not None:
            self._sampler.take(answer.get(SAMPLES, {}), asked_at)
        return True

    def _probed(self) -> list[str]:
        return [kind for kind, copy in self._copies.items() if copy.follower.probes]

    def _replace(self, copy: _Copy, present: Sequence[objects.Stored]) -> None:
        found = {stored.name: stored for stored in present}
        changed = found != copy.present
        copy.present = found
        copy.relayed = None
        if changed:
            self._note_change(copy)

    def _note_change(self, copy: _Copy) -> None:
        """Count a change and tell the VMs that ask this one."""
        copy.version += 1
        copy.relayed = None
        now = clock.now()
        for vm, asked_at in list(self._listeners.items()):
            if now - asked_at > LISTENER_S:
                del self._listeners[vm]
            else:
                self._peers.notify(vm, CHANGED, {})

    def _answer(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Serve the copies to another VM; objects that it has are left out."""
        now = clock.now()
        self._listeners[vm] = now
        answer = {}
        for kind, known in body.items():
            copy = self._copies.get(kind)
            if copy is None or copy.present is None:
                continue
            version = f"{self._start}/{copy.version}"
            entries = None
            if known != version:
                entries = copy.encode()
            answer[kind] = [version, now - copy.confirmed_at, entries]
        if self._sampler is not None:
            self._sampler.take(body.get(SAMPLES, {}), now)
            answer[SAMPLES] = self._sampler.encode(positions=True)
        return answer

    def _told(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        if vm == self._relay:
            self._wake.set()
        return {}
