"""Execution of a promotion: carries out the actions of its state machine and passes the answers back."""

import asyncio

from currantlead import errors, logs, timers
from currantlead.control import failover, group_records, instances, model, promotion

_log = logs.part("failover")

TICK_S = 0.05


class PromotionRunner:
    """Runner of one promotion."""

    def __init__(
        self,
        machine: promotion.Promotion,
        *,
        store: group_records.GroupRecords,
        client: instances.InstanceClient,
        clock: timers.Timers,
    ):
        """Initialize the runner.

        Args:
            machine: State machine of the promotion.
            store: Access to the group records.
            client: Client of the instances.
            clock: Timer service.
        """
        self._machine = machine
        self._store = store
        self._client = client
        self._clock = clock
        self._requests: set[asyncio.Task[list[promotion.Action]]] = set()

    async def run(self) -> None:
        """Run the promotion to its end; if cancelled, another coordinator takes over the group."""
        try:
            await self._execute(self._machine.start())
            while not self._machine.ended:
                await self._wait()
                await self._execute(self._machine.tick(self._clock.now()))
            # Answers to the last commands have no effect; the monitor corrects instances that missed them.
            if self._requests:
                await asyncio.wait(self._requests)
        finally:
            for request in self._requests:
                request.cancel()

    async def _wait(self) -> None:
        woken = asyncio.Event()
        alarm = self._clock.call_after("promotion", TICK_S, woken.set)
        sleeper = asyncio.ensure_future(woken.wait())
        try:
            done, _ = await asyncio.wait({sleeper, *self._requests}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            alarm.cancel()
            sleeper.cancel()
        for request in self._requests & done:
            self._requests.discard(request)
            await self._execute(request.result())

    async def _execute(self, actions: list[promotion.Action]) -> None:
        for action in actions:
            if isinstance(action, promotion.WriteRecord):
                await self._execute(await self._write(action.group))
            elif isinstance(action, promotion.Ended):
                self._log_end(action)
            elif isinstance(action, promotion.RequestStatus):
                self._requests.add(asyncio.ensure_future(self._request_status(action)))
            else:
                self._requests.add(asyncio.ensure_future(self._set_term(action)))

    async def _write(self, group: model.Group) -> list[promotion.Action]:
        try:
            written = await self._store.write(group)
        except errors.VersionConflictError:
            return self._machine.record_write_failed("the group record was changed by another writer")
        except errors.PlatformUnavailableError:
            return self._machine.record_write_failed("the platform did not answer the write of the group record")
        step = f"primary {group.primary}" if group.primary else "electing"
        _log.info("group {}: recorded term {}, {}", group.name, group.term, step)
        return self._machine.record_written(written, self._clock.now())

    async def _request_status(self, action: promotion.RequestStatus) -> list[promotion.Action]:
        instance = self._machine.group.instance(action.instance)
        status = await self._client.status(instance) if instance is not None else None
        return self._machine.status_received(action.instance, status, self._clock.now())

    async def _set_term(self, command: failover.SetTerm) -> list[promotion.Action]:
        status = await self._client.set_term(self._machine.group, command)
        return self._machine.set_term_answered(command.instance, status, self._clock.now())

    def _log_end(self, end: promotion.Ended) -> None:
        name, term = self._machine.group.name, self._machine.group.term
        if end.group is None:
            _log.warning("group {}: promotion to term {} stopped: {}", name, term, end.reason)
        else:
            _log.info("group {}: {}", name, end.reason)
