"""Distribution of platform objects.

Two VMs of each domain are relays: they watch the platform's store and push changes to the other VMs of the domain.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from currantlead import errors, interfaces, logs, timers, wire
from currantlead.control import configuration, directory, exchange, model

RELAYS_PER_DOMAIN = 2
# Longest wait of a watch. Each answer to a watch confirms the configuration with the store. At the target size, watches
# of four kinds by 14 relays make 11 calls/s.
WATCH_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.5
ROLE_CHECK_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 2.0
# At the start, up to this many peers are asked for their whole state before the store is read.
MAX_START_PEERS = 3
MAX_CONCURRENT_READS = 16
_MAX_PULL_REQUESTS = 100

_log = logs.part("relay")

Rank = Callable[[str, Sequence[str]], Sequence[str]]


def push_targets(index: int, view: model.View, own: str) -> list[str]:
    """Return the members that a relay pushes changes to: every second one.

    Relays need no pushes, because they learn of changes from their own watches.

    Args:
        index: Index of the relay among the relays of the domain, from 0.
        view: View of the domain.
        own: Name of the relay's VM.

    Returns:
        Names of the VMs, without that of the relay.
    """
    return [
        member.vm
        for number, member in enumerate(view.members)
        if number % RELAYS_PER_DOMAIN == index and member.vm != own
    ]


class Relay:
    """Keeps a directory up to date: from watches of the store on relays, and from pushes and pulls on all VMs.

    A VM that is not a relay does not call the store after its start.

    Args:
        platform: Client of the platform.
        cache: The directory.
        peers: Streams to other VMs; handlers for ``objects`` and ``pull`` are registered with it.
        clock: Timer service.
        rank: Rendezvous hashing: orders candidates for a key, best first.
        alive: Returns whether a VM is believed to be running. Another VM takes over from a relay that seems to be dead
            before the view changes; more than two relays at a time do no harm.
        seeds: Peers to ask at the start in addition to connected peers and those in the platform's list.
    """

    def __init__(
        self,
        platform: interfaces.Platform,
        cache: directory.Directory,
        peers: interfaces.Peers,
        clock: timers.Timers,
        rank: Rank,
        *,
        alive: Callable[[str], bool] = lambda vm: True,
        seeds: Sequence[str] = (),
    ) -> None:
        self._platform = platform
        self._directory = cache
        self._peers = peers
        self._clock = clock
        self._rank = rank
        self._alive = alive
        self._seeds = tuple(seeds)
        self._loaded = False
        self._watching = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._subscriptions: list[timers.Subscription] = []
        self._pulling: set[str] = set()
        self._locks = {kind: asyncio.Lock() for kind in directory.KINDS}
        peers.handler("objects")(self._on_objects)
        peers.handler("pull")(self._on_pull)

    @property
    def loaded(self) -> bool:
        """Return whether the state has been loaded from the store or a peer since the start."""
        return self._loaded

    async def start(self) -> None:
        """Load the newest state of peers and store and start the tasks; loading is retried later if neither answers."""
        await self._load()
        self._subscriptions = [
            self._clock.subscribe("relay role", ROLE_CHECK_INTERVAL_S, self._check_role),
            self._clock.subscribe("relay start", RETRY_DELAY_S, self._retry_load),
        ]
        self._check_role()
        for kind in directory.KINDS:
            self._spawn(self._watch(kind))

    async def stop(self) -> None:
        """Cancel all tasks and timers."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_relay(self) -> bool:
        """Return whether this VM watches the store now.

        Two VMs of the domain's view do. A VM that is not in the view gets no pushes, so it watches the store until it
        has joined.
        """
        member = self._peers.member
        view = self._directory.views.get(member.domain)
        if view is None or view.member(member.vm) is None:
            return True
        return self._relay_index(view) is not None

    def _relay_index(self, view: model.View) -> int | None:
        """Return this VM's index among the relays of its domain, or None if it is not a relay."""
        # Leaving out dead VMs does not change the order of the others, so only VMs ranked before this one are checked.
        live_before = 0
        for vm in self._rank(f"relay/{view.domain}", [other.vm for other in view.members]):
            if vm == self._peers.member.vm:
                return live_before
            live_before += self._alive(vm)
            if live_before >= RELAYS_PER_DOMAIN:
                return None
        return None

    def state_summary(self) -> dict[str, Any]:
        """Return the state summary that heartbeats carry to ``on_peer_summary`` of other VMs."""
        return wire.to_map(exchange.summarize_state(self._directory))

    def on_peer_summary(self, vm: str, summary: dict[str, Any], *, requested_at: float | None = None) -> None:
        """Compare a peer's state summary with the own state and pull what is newer.

        Args:
            vm: The peer.
            summary: The encoded summary, as returned by the peer's ``state_summary``.
            requested_at: Clock reading before the request was sent whose reply contained the summary, or None if the
                summary was not requested. Only a reply confirms the configuration, since other frames may be old.
        """
        if requested_at is None and exchange.describes_same_state(self._directory, summary):
            return
        try:
            peer_summary = exchange.decode_summary(summary)
        except errors.MalformedFrameError as error:
            _log.warning("malformed state summary of {} ignored: {}", vm, error)
            return
        self._compare_summary(vm, peer_summary, requested_at)

    def publish(self, written: Iterable[interfaces.StoredObject]) -> None:
        """Apply objects that this VM has just written to the store, and push them to its domain.

        For groups, views and shares. Without the push, a relay that has applied its own write would see no change in
        its watch and push nothing.

        Args:
            written: The objects.
        """
        objects = list(written)
        if self._directory.apply(objects):
            self._push_to_domain(objects)

    def publish_everywhere(self, written: Iterable[interfaces.StoredObject]) -> None:
        """Apply and push objects like ``publish``, and push them to the relays of the other domains as well.

        If the store is slow, the relays' own watches and reads take longer than a revoked key may remain usable.

        Args:
            written: The objects.
        """
        objects = list(written)
        self.publish(objects)
        own = self._peers.member.domain
        for domain, view in self._directory.views.items():
            if domain != own:
                names = list(self._rank(f"relay/{domain}", [member.vm for member in view.members]))
                self._push_to_vms(names[:RELAYS_PER_DOMAIN], objects)

    def _compare_summary(self, vm: str, peer_summary: exchange.StateSummary, requested_at: float | None) -> None:
        if requested_at is not None and peer_summary.age_s is not None:
            self._directory.confirm(peer_summary.configuration, requested_at - peer_summary.age_s)
        if vm not in self._pulling and exchange.plan_pull(self._directory, peer_summary) is not None:
            self._pulling.add(vm)
            self._spawn(self._catch_up(vm, peer_summary))

    async def _catch_up(self, vm: str, peer_summary: exchange.StateSummary) -> None:
        try:
            await self._pull(vm, peer_summary)
        finally:
            self._pulling.discard(vm)

    async def _pull(self, vm: str, peer_summary: exchange.StateSummary) -> bool:
        """Pull objects until this VM is not behind the peer; return whether the peer has sent all of them."""
        for _ in range(_MAX_PULL_REQUESTS):
            request = exchange.plan_pull(self._directory, peer_summary)
            if request is None:
                return True
            reply = await self._request_pull(vm, request)
            if reply is None:
                return False
            self._directory.apply(reply.stored_objects())
            if not reply.more:
                return True
        _log.warning(
            "pull from {} stopped after {} requests although the peer has more objects", vm, _MAX_PULL_REQUESTS
        )
        return False

    async def _request_pull(self, vm: str, request: exchange.PullRequest) -> exchange.Objects | None:
        try:
            body = await self._peers.request(vm, "pull", wire.to_map(request), timeout_s=PEER_TIMEOUT_S)
            return exchange.decode_objects(body)
        except errors.CurrantleadError as error:
            _log.warning("pull from {} failed: {!r}", vm, error)
            return None

    async def _on_pull(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        return exchange.answer_pull(self._directory, body)

    async def _on_objects(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        pushed = exchange.decode_objects(body)
        self._directory.apply(pushed.stored_objects())
        if pushed.numbers is not None:
            self._compare_summary(vm, pushed.numbers, None)
        return {}

    async def _load(self) -> None:
        await self._learn_listed_vms()
        for vm in self._start_peers():
            if await self._load_from(vm):
                self._loaded = True
                break
        try:
            for kind in directory.KINDS:
                await self._fetch(kind, (await self._platform.names(kind)).items())
            self._loaded = True
        except errors.PlatformUnavailableError as error:
            _log.warning("state not loaded from the store: {}", error)

    async def _load_from(self, vm: str) -> bool:
        # The reply to an empty request contains only the peer's state summary, from which the first pull is planned.
        reply = await self._request_pull(vm, exchange.PullRequest())
        if reply is None or reply.numbers is None or reply.numbers.configuration == 0:
            return False
        return await self._pull(vm, reply.numbers)

    async def _retry_load(self) -> None:
        if not self._loaded:
            await self._load()

    async def _learn_listed_vms(self) -> None:
        try:
            listed = await self._platform.list_vms()
        except errors.PlatformUnavailableError as error:
            _log.warning("list of VMs not read from the platform: {}", error)
            return
        # The list does not contain incarnations; 0 stands for an unknown one.
        self._peers.update_addresses([model.Member(row.vm, row.domain, 0, row.peer_address) for row in listed])
        same_domain = [row.vm for row in listed if row.domain == self._peers.member.domain]
        self._seeds = tuple(dict.fromkeys([*self._seeds, *same_domain, *(row.vm for row in listed)]))

    def _start_peers(self) -> list[str]:
        known = dict.fromkeys([*self._peers.connected(), *self._seeds])
        return [vm for vm in known if vm != self._peers.member.vm][:MAX_START_PEERS]

    def _check_role(self) -> None:
        if self.is_relay() == self._watching.is_set():
            return
        if self._watching.is_set():
            _log.info("this VM is no longer a relay of {}", self._peers.member.domain)
            self._watching.clear()
        else:
            _log.info("this VM is a relay of {}", self._peers.member.domain)
            self._watching.set()

    async def _watch(self, kind: str) -> None:
        since = 0
        while True:
            if not self._watching.is_set():
                # The first watch of a new relay starts at revision 0, since changes may have been missed before.
                since = 0
                await self._watching.wait()
            try:
                since = await self._watch_once(kind, since)
            except errors.PlatformUnavailableError as error:
                _log.warning("watch of {} failed and is retried: {}", kind, error)
                await asyncio.sleep(RETRY_DELAY_S)
            except Exception as error:
                _log.opt(exception=error).error("watch of {} failed and is retried", kind)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _watch_once(self, kind: str, since: int) -> int:
        requested_at = self._clock.now()
        revision, changes = await self._platform.watch(kind, since=since, timeout_s=WATCH_TIMEOUT_S if since else 0.0)
        await self._fetch(kind, changes)
        if kind == configuration.INDEX_KIND:
            self._directory.confirm(0, requested_at)
        if revision == 0:
            # A watch from revision 0 returns at once, even if the store is empty.
            await asyncio.sleep(RETRY_DELAY_S)
        return revision

    async def _fetch(self, kind: str, changes: Iterable[tuple[str, int]]) -> None:
        """Read the objects that are newer than those in the directory, apply them and push them to the domain."""
        async with self._locks[kind]:
            known = self._directory.versions(kind)
            parts = set(self._directory.parts_in_force().values())
            names = [name for name, version in changes if version > known.get(name, 0)]
            changed = await self._read_all(kind, names)
            if kind == configuration.INDEX_KIND and self._directory.missing_parts():
                changed += await self._read_all(configuration.PART_KIND, self._directory.missing_parts())
                if self._directory.missing_parts():
                    raise errors.PlatformUnavailableError(
                        "a part of the configuration is missing; the index may have changed in the meantime"
                    )
        self._push_changes(kind, changed, parts)

    async def _read_all(self, kind: str, names: Sequence[str]) -> list[interfaces.StoredObject]:
        """Read and apply objects, ``MAX_CONCURRENT_READS`` at a time; return those that changed the shared state."""
        changed: list[interfaces.StoredObject] = []
        for start in range(0, len(names), MAX_CONCURRENT_READS):
            reads = [self._platform.read(kind, name) for name in names[start : start + MAX_CONCURRENT_READS]]
            outcomes = await asyncio.gather(*reads, return_exceptions=True)
            changed += self._directory.apply(row for row in outcomes if isinstance(row, interfaces.StoredObject))
            for outcome in outcomes:
                if isinstance(outcome, BaseException):
                    raise outcome
        return changed

    def _push_changes(self, kind: str, changed: list[interfaces.StoredObject], known_parts: Iterable[str]) -> None:
        if not changed or not self._watching.is_set():
            return
        if kind == configuration.INDEX_KIND:
            changed = exchange.configuration_objects(self._directory, known_parts)
        self._push_to_domain(changed, split=True)

    def _push_to_domain(self, objects: Sequence[interfaces.StoredObject], *, split: bool = False) -> None:
        """Push objects to the other members of the domain.

        A member whose relay has just died learns of the change from the next heartbeat of any other member, and pulls.

        Args:
            objects: The objects.
            split: Whether both relays push the same change, so that each serves half of the members.
        """
        own = self._peers.member
        view = self._directory.views.get(own.domain)
        if view is None or view.member(own.vm) is None:
            return
        targets = [member.vm for member in view.members if member.vm != own.vm]
        index = self._relay_index(view) if split else None
        if index is not None:
            targets = push_targets(index, view, own.vm)
        self._push_to_vms(targets, objects)

    def _push_to_vms(self, targets: Sequence[str], objects: Sequence[interfaces.StoredObject]) -> None:
        for rows in exchange.batch(objects):
            body = wire.to_map(exchange.Objects(tuple(rows), numbers=exchange.summarize_state(self._directory)))
            for vm in targets:
                self._peers.notify(vm, "objects", body)
        _log.debug("pushed {} objects to {} VMs", len(objects), len(targets))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
