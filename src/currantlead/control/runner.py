"""Carry out the actions of one promotion and feed the answers back."""

import asyncio

from currantlead import errors, logs, timers
from currantlead.control import failover, group_records, instances, model, promotion

_log = logs.part("failover")

TICK_S = 0.05


class Runner:
    """Run one promotion to its end."""

    def __init__(
        self,
        steps: promotion.Promotion,
        *,
        store: group_records.GroupRecords,
        client: instances.Instances,
        clock: timers.Timers,
    ):
        """Take the promotion and the parts that it acts on."""
        self._steps = steps
        self._store = store
        self._client = client
        self._clock = clock
        self._calls: set[asyncio.Task[list[promotion.Action]]] = set()

    async def run(self) -> None:
        """Run the promotion to its end; cancelling it leaves the group for the next coordinator."""
        try:
            await self._follow(self._steps.start())
            while not self._steps.ended:
                await self._wait()
                await self._follow(self._steps.tick(self._clock.now()))
            # Answers to the last messages change nothing; the monitor repairs instances that missed them.
            if self._calls:
                await asyncio.wait(self._calls)
        finally:
            for call in self._calls:
                call.cancel()

    async def _wait(self) -> None:
        woken = asyncio.Event()
        alarm = self._clock.call_after("promotion", TICK_S, woken.set)
        sleeper = asyncio.ensure_future(woken.wait())
        try:
            done, _ = await asyncio.wait({sleeper, *self._calls}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            alarm.cancel()
            sleeper.cancel()
        for call in self._calls & done:
            self._calls.discard(call)
            await self._follow(call.result())

    async def _follow(self, actions: list[promotion.Action]) -> None:
        for action in actions:
            if isinstance(action, promotion.Write):
                await self._follow(await self._write(action.group))
            elif isinstance(action, promotion.Done):
                self._report(action)
            elif isinstance(action, promotion.Ask):
                self._calls.add(asyncio.ensure_future(self._ask(action)))
            else:
                self._calls.add(asyncio.ensure_future(self._set_term(action)))

    async def _write(self, group: model.Group) -> list[promotion.Action]:
        try:
            written = await self._store.write(group)
        except errors.VersionConflictError:
            return self._steps.write_failed("another write of the record came first")
        except errors.PlatformUnavailableError:
            return self._steps.write_failed("the platform gives no answer")
        step = f"primary {group.primary}" if group.primary else "electing"
        _log.info("group {}: record says term {}, {}", group.name, group.term, step)
        return self._steps.written(written, self._clock.now())

    async def _ask(self, action: promotion.Ask) -> list[promotion.Action]:
        instance = self._steps.group.instance(action.instance)
        status = await self._client.status(instance) if instance is not None else None
        return self._steps.observed(action.instance, status, self._clock.now())

    async def _set_term(self, order: failover.SetTerm) -> list[promotion.Action]:
        status = await self._client.set_term(self._steps.group, order)
        return self._steps.term_set(order.instance, status, self._clock.now())

    def _report(self, done: promotion.Done) -> None:
        name, term = self._steps.group.name, self._steps.group.term
        if done.group is None:
            _log.warning("group {}: promotion to term {} stopped: {}", name, term, done.reason)
        else:
            _log.info("group {}: {}", name, done.reason)
