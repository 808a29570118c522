"""Replace primaries: one VM takes the duty of a service in the store, pauses the replicas and orders the promotion.

A promotion loses no acknowledged commit, because every replica that may hold one has stopped receiving before the
newest is chosen. An order without an answer may take effect seconds later, so it is repeated with the same generation
number until it is answered, and the replicas stay paused meanwhile.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from currantlead import errors, logs
from currantlead.platform import lines, objects
from currantlead.sessions import clock, election, fleet, http, link, model, settings, store

CHECK_S = 0.1
"""Interval of checks, in seconds."""
STATUS_TIMEOUT_S = 0.5
"""A live instance answers a status question in milliseconds; opening the connection takes up to 30 ms more."""
ORDER_TIMEOUT_S = 1.0
"""An order is carried out in 0.3 s to 1 s, and answered before."""
ORDER_PAUSE_S = 0.2
"""Orders that are turned away are limited to 50 a second over all VMs."""
ORDER_LIMIT_S = 15.0
"""A call without an answer may be carried out up to 12 s later."""
RETRY_S = 0.5
"""A refused attempt is repeated soon: each second without a primary costs all writes."""
RECEIVE_S = 0.25
"""Time in which a replica that is not cut off receives a commit; one way takes 12 ms, and the log lags in applying."""
JOIN_S = 0.1
"""Time for the entry of a replica that joined just before the demotion to reach this VM."""
ORGANISATION = "-"
"""Who connects for status questions: no caller."""

_log = logs.part("succession")
_codec = lines.InstanceLines()


@dataclasses.dataclass(frozen=True, slots=True)
class _Duty:
    """Hold a duty's entry, and the reading at which this VM first saw it."""

    holder: str
    revision: int
    seen_at: float


class Succession:
    """Watch the primaries of all services, and replace one when it is this VM's turn."""

    def __init__(
        self,
        known: fleet.Fleet,
        shared: store.Store,
        promotions: settings.Address,
        *,
        vm: str,
        members: Callable[[], list[str]],
        count: Callable[[str], None] = lambda outcome: None,
    ):
        self._fleet = known
        self._store = shared
        self._vm = vm
        self._members = members
        self._count = count
        self._orders = http.HttpClient(promotions)
        self._needed_since: dict[str, tuple[str, float]] = {}
        self._next_try: dict[str, float] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._duties: dict[str, _Duty] = {}

    def duty_seen(self, service: str, holder: str, revision: int) -> None:
        """Take note of a duty's entry; a change of it starts the turn of its holder."""
        known = self._duties.get(service)
        if known is None or revision > known.revision:
            self._duties[service] = _Duty(holder, revision, clock.now())

    def check(self) -> None:
        """Start the promotions that are due; to be called regularly."""
        for service in self._fleet.services():
            if service not in self._running and self._is_due(service):
                self._running[service] = asyncio.get_running_loop().create_task(self._replace(service))

    def _is_due(self, service: str) -> bool:
        """Tell whether a primary has needed a successor for as long as this VM's rank demands."""
        now = clock.now()
        reason = election.reason_to_replace(self._fleet.observe(service))
        if not reason:
            self._needed_since.pop(service, None)
            return False
        noted, since = self._needed_since.setdefault(service, (reason, now))
        if noted != reason:
            self._needed_since[service] = (reason, since)
        place = election.rank(service, self._vm, self._members())
        return now - since >= place * election.RANK_DELAY_S and now >= self._next_try.get(service, 0.0)

    async def _replace(self, service: str) -> None:
        reason, since = self._needed_since[service]
        log = _log.bind(service=service, reason=reason, waited_s=round(clock.now() - since, 2))
        try:
            outcome = await self._promote(service, reason)
        except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
            outcome = f"store: {error}"
        except Exception as error:
            log.opt(exception=error).error("promotion failed")
            outcome = "failed"
        finally:
            self._running.pop(service, None)
            self._next_try[service] = clock.now() + RETRY_S
        self._count("promoted" if not outcome else "stopped")
        log.info("promotion ended: {}", outcome or "done")

    async def _promote(self, service: str, reason: str) -> str:
        """Run one promotion; return why it stopped, or an empty text."""
        old = self._fleet.primary(service)
        if old is not None and reason == "silent" and await self._answers(old.instance):
            self._fleet.trust(old.instance.id)
            return "the primary answers"
        if old is not None and reason == "commits are stuck" and not await self._is_stuck(service, old.instance):
            self._fleet.note_write(old.instance.id, answered=True)
            return "a replica receives"
        generation = await self._take_duty(service)
        if generation is None:
            return "another VM has the duty"
        _log.bind(service=service, generation=generation).info("promotion began: {}", reason)
        opened: list[link.Link] = []
        try:
            return await self._elect(service, generation, old, opened)
        finally:
            for item in opened:
                item.close()

    async def _elect(self, service: str, generation: int, old: fleet.Known | None, opened: list[link.Link]) -> str:
        """Stop every replica and the old primary, and order the promotion of the newest replica.

        The old primary is demoted if it can be reached: an order takes effect up to a second later, and a replica that
        joins meanwhile would let it acknowledge commits that the chosen one lacks.
        """
        former = old.instance.id if old is not None else ""
        # A primary that cannot be reached takes the whole connection timeout, so this starts before the replicas stop.
        reaching = asyncio.create_task(self._connect(old.instance)) if old is not None else None
        term = await self._stop_replicas(service, former, opened, 0)
        reached = await reaching if reaching is not None else None
        if isinstance(term, str):
            if reached is not None:
                reached.close()
            await self._resume(service, generation, opened)
            return term
        if reached is not None and await self._demote(reached, term):
            await asyncio.sleep(JOIN_S)
            joined = await self._stop_replicas(service, former, opened, term)
            if isinstance(joined, str):
                return joined
        replicas = self._replicas(service, former)
        paused = [
            election.Paused(item.instance.id, status.received, self._stays(item.instance.id))
            for item, status in zip(opened, await self._ask_all(opened, _codec.encode_status()), strict=True)
            if status is not None and status.held_term >= term
        ]
        chosen = election.choose(paused, len(replicas))
        if isinstance(chosen, str):
            await self._resume(service, generation, opened)
            return chosen
        positions = {item.instance: str(item.received) for item in paused}
        _log.bind(service=service, generation=generation, positions=positions).info("chose {}", chosen.instance)
        return await self._order(service, chosen.instance, generation)

    def _replicas(self, service: str, former: str) -> list[model.Instance]:
        return [known.instance for known in self._fleet.of_service(service) if known.instance.id != former]

    async def _stop_replicas(self, service: str, former: str, opened: list[link.Link], term: int) -> "int | str":
        """Pause the replicas that are not in ``opened`` yet; return the term of the pause, or why it stopped."""
        known = {item.instance.id for item in opened}
        new = [instance for instance in self._replicas(service, former) if instance.id not in known]
        links = [item for item in await asyncio.gather(*map(self._connect, new)) if item is not None]
        opened += links
        statuses = await self._ask_all(links, _codec.encode_status())
        found = [status for status in statuses if status is not None]
        if len(found) < len(new):
            return f"{len(new) - len(found)} of {len(new)} replicas did not answer"
        if any(status.role is model.Role.PRIMARY for status in found):
            return "a replica leads already"
        term = max([term, *(max(status.term, status.held_term) + 1 for status in found)])
        await self._ask_all(links, _codec.encode_pause(term))
        return term

    async def _demote(self, reached: link.Link, term: int) -> bool:
        """Make the old primary a replica; return whether it answered."""
        status = await self._ask(reached, _codec.encode_demote(term))
        reached.close()
        _log.bind(instance=reached.instance.id, position=str(status.received) if status else None).info("demoted")
        return status is not None

    async def _ask_all(self, links: list[link.Link], message: bytes) -> list[model.InstanceStatus | None]:
        return list(await asyncio.gather(*(self._ask(item, message) for item in links)))

    async def _order(self, service: str, instance_id: str, generation: int) -> str:
        """Order the promotion until it is answered."""
        call = objects.promote_call(service, instance_id, self._vm, generation)
        give_up_at = clock.now() + ORDER_LIMIT_S
        while clock.now() < give_up_at:
            try:
                response = await self._store.call(call, self._orders, ORDER_TIMEOUT_S)
            except errors.HttpUnavailableError as error:
                _log.bind(service=service, generation=generation).warning("order unanswered: {}", error)
                await asyncio.sleep(ORDER_PAUSE_S)
                continue
            if response.status == objects.OK:
                self._fleet.promoted(instance_id)
                return ""
            if response.status == objects.CONFLICT:
                return f"order refused: {response.body[:200]!r}"
            _log.bind(service=service, status=response.status).warning("order turned away")
            await asyncio.sleep(ORDER_PAUSE_S)
        return f"order unanswered for {ORDER_LIMIT_S} s"

    async def _take_duty(self, service: str) -> int | None:
        """Enter this VM as the holder of a service's duty; the entry's new revision is the generation number."""
        found = await self._store.read(objects.DUTIES, service)
        if found is None:
            stored = await self._store.create(objects.DUTIES, service, objects.encode_duty(self._vm, 0))
        else:
            self.duty_seen(service, objects.decode_duty(found), found.revision)
            duty = self._duties[service]
            if duty.holder != self._vm and clock.now() - duty.seen_at < election.TURN_S:
                return None
            value = objects.encode_duty(self._vm, found.revision)
            stored = await self._store.replace(objects.DUTIES, service, value, found.revision)
        if stored is None:
            return None
        self.duty_seen(service, self._vm, stored.revision)
        return stored.revision

    async def _resume(self, service: str, generation: int, opened: list[link.Link]) -> None:
        """Let replicas receive again, unless another VM has taken the duty: it may rely on their pause."""
        found = await self._store.read(objects.DUTIES, service)
        if found is not None and found.revision == generation:
            await asyncio.gather(*(self._ask(item, _codec.encode_resume()) for item in opened))

    def _stays(self, instance_id: str) -> bool:
        known = self._fleet.get(instance_id)
        return known is not None and self._fleet.takes_reads(known)

    async def _answers(self, instance: model.Instance) -> bool:
        """Tell whether an instance is alive; one that has too many connections is."""
        try:
            found = await link.Link.connect(instance, ORGANISATION)
        except errors.LinkRefusedError as error:
            return error.overloaded
        status = await self._ask(found, _codec.encode_status())
        found.close()
        return status is not None

    async def _is_stuck(self, service: str, primary: model.Instance) -> bool:
        """Tell whether no replica receives what the primary has; lost answers alone look the same to callers."""
        opened = [
            item
            for item in await asyncio.gather(*map(self._connect, [primary, *self._replicas(service, primary.id)]))
            if item is not None
        ]
        try:
            first = await self._ask_all(opened, _codec.encode_status())
            await asyncio.sleep(RECEIVE_S)
            second = await self._ask_all(opened, _codec.encode_status())
        finally:
            for item in opened:
                item.close()
        if not opened or opened[0].instance.id != primary.id or first[0] is None:
            return True
        received = [(old, new) for old, new in zip(first[1:], second[1:], strict=True) if old and new]
        _log.bind(
            service=service,
            primary=str(first[0].received),
            replicas=[f"{old.received} to {new.received}" for old, new in received],
        ).info("looked whether commits are stuck")
        return all(new.received < first[0].received and new.received == old.received for old, new in received)

    async def _connect(self, instance: model.Instance) -> link.Link | None:
        try:
            return await link.Link.connect(instance, ORGANISATION)
        except errors.LinkRefusedError as error:
            _log.bind(instance=instance.id).info("no status: {}", error)
            return None

    async def _ask(self, opened: link.Link, message: bytes) -> model.InstanceStatus | None:
        try:
            (reply,) = await opened.exchange(message, timeout_s=STATUS_TIMEOUT_S)
            if reply.failure is not None or not reply.rows:
                _log.bind(instance=opened.instance.id).info("no status: {}", reply.result)
                return None
            return _codec.decode_status(reply.rows[0])
        except (errors.LinkLostError, errors.MalformedFrameError) as error:
            _log.bind(instance=opened.instance.id).info("no status: {}", error)
            return None
