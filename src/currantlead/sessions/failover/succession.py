"""Failover: replaces primaries that failed, drain or lie in an evacuated failure domain.

One VM claims the promotion duty of a service in the store, pauses replication on all replicas, chooses the most recent
one and requests its promotion from the platform.

A promotion loses no acknowledged commit, because every replica that may hold one has stopped receiving before the most
recent replica is chosen. A promotion call without an answer may still take effect seconds later. It is therefore
repeated with the same generation number until it is answered, and the replicas stay paused meanwhile.
"""

import asyncio
from collections.abc import Callable, Collection

from currantlead import errors, logs
from currantlead.platform import calls, lines, objects
from currantlead.sessions import clock, model, settings
from currantlead.sessions.decisions import election, promotion_progress
from currantlead.sessions.failover import commit_reports
from currantlead.sessions.instances import fleet, link
from currantlead.sessions.shared import duty_claims, http, store

CHECK_INTERVAL_S = 0.1
"""Interval between checks of all primaries."""
STATUS_TIMEOUT_S = 0.5
"""Time limit of a status request. A live instance answers within milliseconds; opening the connection takes up to 30 ms
more."""
CALL_TIMEOUT_S = 1.0
"""Time limit of a promotion call; the platform answers it before it carries it out, which takes 0.3 s to 1 s."""
CALL_PAUSE_S = 0.2
"""Pause before a promotion call is repeated; rejected calls are limited to 50 per second over all VMs."""
CALL_LIMIT_S = 15.0
"""Calls are repeated for this long, because one without an answer may be carried out up to 12 s later."""
RETRY_DELAY_S = 0.5
"""Pause between two attempts for a service; it is short because all writes fail while there is no primary."""
REPLICATION_WAIT_S = 0.25
"""Time within which a connected replica receives a commit: one way takes 12 ms, and applying the log takes longer."""
JOIN_WAIT_S = 0.1
"""Time for this VM to learn of a replica that joined just before the old primary was demoted."""
ORGANISATION = "-"
"""Organisation named on connections of the proxy itself, which belong to no caller."""

_log = logs.part("succession")
_codec = lines.InstanceCodec()


class Failover:
    """Watches the primaries of all services and replaces one when it is this VM's turn.

    Args:
        instances: The known instances.
        shared: The platform's store, through which promotions are called.
        claims: Claims of the duties; the duty of a service's promotions has the service's name.
        promotions: Address that takes promotion calls.
        reports: Collects the other VMs' reports on acknowledged commits.
        vm: Name of this VM.
        members: Returns the VMs that may promote, this one included.
        configured: Returns the services of the configuration; entries of instances may name others.
        count_outcome: Called with the outcome of each attempt, for metrics.
        on_stage: Called with the service when its promotion reaches a stage, on this VM or on another one.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        shared: store.Store,
        claims: duty_claims.DutyClaims,
        promotions: settings.Address,
        reports: commit_reports.CommitReports,
        *,
        vm: str,
        members: Callable[[], list[str]],
        configured: Callable[[], Collection[str]],
        count_outcome: Callable[[str], None] = lambda outcome: None,
        on_stage: Callable[[str, promotion_progress.Stage], None] = lambda service, stage: None,
    ):
        self._fleet = instances
        self._store = shared
        self._claims = claims
        claims.on_claimed = self._handle_claim
        self._reports = reports
        self._vm = vm
        self._members = members
        self._configured = configured
        self._count_outcome = count_outcome
        self._on_stage = on_stage
        self._promotions = promotions
        self._replacement_due_since: dict[str, tuple[str, float]] = {}
        self._next_attempt_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def _handle_claim(self, duty: str) -> None:
        if duty in self._services():
            self._on_stage(duty, promotion_progress.Stage.CLAIMED)

    def _services(self) -> set[str]:
        """Return the services whose primaries are watched."""
        return self._fleet.services().intersection(self._configured())

    def check(self) -> None:
        """Start the promotions that are due; called periodically."""
        for service in self._services():
            if service not in self._tasks and self._is_due(service):
                self._tasks[service] = asyncio.get_running_loop().create_task(self._replace_primary(service))

    def _is_due(self, service: str) -> bool:
        """Return whether the primary has needed a replacement for longer than the delay of this VM's rank."""
        now = clock.now()
        reason = election.reason_to_replace(self._fleet.observe_primary(service))
        if not reason:
            self._replacement_due_since.pop(service, None)
            return False
        noted_reason, since = self._replacement_due_since.setdefault(service, (reason, now))
        if noted_reason != reason:
            self._replacement_due_since[service] = (reason, since)
        own_rank = election.rank(service, self._vm, self._members())
        return now - since >= own_rank * election.RANK_DELAY_S and now >= self._next_attempt_at.get(service, 0.0)

    async def _replace_primary(self, service: str) -> None:
        reason, since = self._replacement_due_since[service]
        log = _log.bind(service=service, reason=reason, waited_s=round(clock.now() - since, 2))
        try:
            outcome = await self._run_promotion(service, reason)
        except (errors.PlatformUnavailableError, errors.MalformedObjectError) as error:
            outcome = f"store error: {error}"
        except Exception as error:
            log.opt(exception=error).error("promotion failed with an unexpected error")
            outcome = "failed"
        finally:
            self._tasks.pop(service, None)
            self._next_attempt_at[service] = clock.now() + RETRY_DELAY_S
        self._count_outcome("promoted" if not outcome else "stopped")
        log.info("promotion ended: {}", outcome or "done")

    async def _run_promotion(self, service: str, reason: str) -> str:
        """Run one promotion; return why it stopped, or an empty string if it succeeded."""
        old = self._fleet.primary(service)
        is_reachable = True
        if old is not None and reason == "silent":
            is_alive, is_reachable = await self._probe(old.instance)
            if is_alive:
                self._fleet.mark_healthy(old.instance.id)
                return "the primary answers status requests"
        if (
            old is not None
            and reason == "commits are stuck"
            and not await self._are_commits_stuck(service, old.instance)
        ):
            self._fleet.record_write(old.instance.id, answered=True)
            return "at least one replica still receives commits"
        previous = self._claims.latest(service)
        generation = await self._claims.claim(service, election.CLAIM_EXCLUSIVITY_S)
        if generation is None:
            return "another VM holds the promotion duty"
        _log.bind(
            service=service, generation=generation, previous_holder=previous.holder if previous is not None else None
        ).info("promotion began: {}", reason)
        links: list[link.Link] = []
        try:
            return await self._pause_and_promote(service, generation, old, links, demotes=is_reachable)
        finally:
            for item in links:
                item.close()

    async def _pause_and_promote(
        self, service: str, generation: int, old: fleet.TrackedInstance | None, links: list[link.Link], *, demotes: bool
    ) -> str:
        """Pause every replica, demote the old primary, and promote the most recent replica.

        The old primary is demoted if it can be reached. A promotion takes effect up to a second after the call; a
        replica that joined in that time would otherwise let the old primary acknowledge commits that the chosen replica
        lacks.

        Args:
            service: The service.
            generation: Generation number of this promotion.
            old: The old primary, or None if none is known.
            links: Receives the connections that this opens; the caller closes them.
            demotes: Whether to connect to the old primary to demote it; another attempt at one that has just been
                unreachable would only make the service wait for the whole timeout once more.

        Returns:
            Why the promotion stopped, or an empty string if it succeeded.
        """
        old_id = old.instance.id if old is not None else ""
        # Connecting to an unreachable primary takes the whole timeout, so it starts before the replicas are paused.
        connecting = asyncio.create_task(self._connect(old.instance)) if old is not None and demotes else None
        term = await self._pause_replicas(service, old_id, links, 0)
        old_link = await connecting if connecting is not None else None
        if isinstance(term, str):
            if old_link is not None:
                old_link.close()
            await self._resume_replicas(service, generation, links)
            return term
        if old_link is not None and await self._demote(old_link, term):
            await asyncio.sleep(JOIN_WAIT_S)
            second_term = await self._pause_replicas(service, old_id, links, term)
            if isinstance(second_term, str):
                return second_term
        replicas = self._replicas(service, old_id)
        paused = [
            election.PausedReplica(item.instance.id, status.received, self._accepts_reads(item.instance.id))
            for item, status in zip(links, await self._send_to_all(links, _codec.encode_status()), strict=True)
            if status is not None and status.paused_term >= term
        ]
        chosen = election.choose_replica(paused, len(replicas))
        if isinstance(chosen, str):
            await self._resume_replicas(service, generation, links)
            return chosen
        self._on_stage(service, promotion_progress.Stage.PAUSED)
        await self._log_known(service, generation, old)
        positions = {item.instance: str(item.received) for item in paused}
        _log.bind(service=service, generation=generation, positions=positions).info(
            "promoting {}, the most recent replica", chosen.instance
        )
        outcome = await self._request_promotion(service, chosen.instance, generation)
        if not outcome:
            await self._log_pauses(service, links)
        return outcome

    async def _log_known(self, service: str, generation: int, old: fleet.TrackedInstance | None) -> None:
        """Log which instances are known and gone, and up to which positions callers had success."""
        report = await self._reports.collect(service, old.instance if old is not None else None)
        now = clock.now()
        sent_at = report.acknowledged.sent_at
        _log.bind(
            service=service,
            generation=generation,
            known=[tracked.instance.id for tracked in self._fleet.instances_of(service)],
            gone_s={item.instance.id: round(now - item.gone_at, 2) for item in self._fleet.departures(service)},
            acknowledged=[str(report.acknowledged.at_least), str(report.acknowledged.at_most)],
            last_sent_s=round(now - sent_at, 2) if sent_at > float("-inf") else None,
            silent_vms=list(report.silent),
        ).info("acknowledged commits compared with the known instances")

    async def _log_pauses(self, service: str, links: list[link.Link]) -> None:
        """Log which replicas are paused after the promotion was accepted."""
        statuses = await self._send_to_all(links, _codec.encode_status())
        paused_terms = {
            item.instance.id: status.paused_term
            for item, status in zip(links, statuses, strict=True)
            if status is not None
        }
        _log.bind(service=service, paused_terms=paused_terms).info("pauses after the promotion was accepted")

    def _replicas(self, service: str, old_id: str) -> list[model.Instance]:
        return [tracked.instance for tracked in self._fleet.instances_of(service) if tracked.instance.id != old_id]

    async def _pause_replicas(self, service: str, old_id: str, links: list[link.Link], term: int) -> "int | str":
        """Pause replication on the replicas that are not paused yet.

        Args:
            service: The service.
            old_id: Identity of the old primary, or empty.
            links: Connections to the paused replicas; those opened here are added.
            term: Lowest term to pause with.

        Returns:
            The term of the pause, or why the replicas could not be paused.
        """
        paused = {item.instance.id for item in links}
        new = [instance for instance in self._replicas(service, old_id) if instance.id not in paused]
        added = [item for item in await asyncio.gather(*map(self._connect, new)) if item is not None]
        links += added
        statuses = await self._send_to_all(added, _codec.encode_status())
        answered = [status for status in statuses if status is not None]
        if len(answered) < len(new):
            return f"{len(new) - len(answered)} of {len(new)} replicas did not answer the status request"
        if any(status.role is model.Role.PRIMARY for status in answered):
            return "a replica is already primary"
        term = max([term, *(max(status.term, status.paused_term) + 1 for status in answered)])
        await self._send_to_all(added, _codec.encode_pause(term))
        return term

    async def _demote(self, old_link: link.Link, term: int) -> bool:
        """Demote the old primary to a replica; return whether it answered."""
        status = await self._send(old_link, _codec.encode_demote(term))
        old_link.close()
        _log.bind(instance=old_link.instance.id, position=str(status.received) if status else None).info(
            "demotion of the old primary requested"
        )
        return status is not None

    async def _send_to_all(self, links: list[link.Link], message: bytes) -> list[model.InstanceStatus | None]:
        return list(await asyncio.gather(*(self._send(item, message) for item in links)))

    async def _request_promotion(self, service: str, instance_id: str, generation: int) -> str:
        """Repeat the promotion call until it is answered; return why it failed, or an empty string."""
        # A connection carries one call at a time, and other services may be promoted at the same moment.
        client = http.HttpClient(self._promotions)
        try:
            return await self._repeat_call(service, instance_id, generation, client)
        finally:
            client.close()

    async def _repeat_call(self, service: str, instance_id: str, generation: int, client: http.HttpClient) -> str:
        call = calls.promote_call(service, instance_id, self._vm, generation)
        deadline = clock.now() + CALL_LIMIT_S
        while clock.now() < deadline:
            try:
                response = await self._store.call(call, client, CALL_TIMEOUT_S)
            except errors.HttpUnavailableError as error:
                _log.bind(service=service, generation=generation).warning(
                    "no answer to the promotion call, repeating it: {}", error
                )
                await asyncio.sleep(CALL_PAUSE_S)
                continue
            if response.status == objects.OK:
                self._on_stage(service, promotion_progress.Stage.REQUESTED)
                self._fleet.mark_promoted(instance_id)
                return ""
            if response.status == objects.CONFLICT:
                return f"promotion call refused: {response.body[:200]!r}"
            _log.bind(service=service, status=response.status).warning("promotion call rejected, repeating it")
            await asyncio.sleep(CALL_PAUSE_S)
        return f"promotion call not accepted within {CALL_LIMIT_S} s"

    async def _resume_replicas(self, service: str, generation: int, links: list[link.Link]) -> None:
        """Resume replication, unless another VM has claimed the duty since and may rely on the pause."""
        if await self._claims.is_current(service, generation):
            await asyncio.gather(*(self._send(item, _codec.encode_resume()) for item in links))

    def _accepts_reads(self, instance_id: str) -> bool:
        tracked = self._fleet.get(instance_id)
        return tracked is not None and self._fleet.accepts_reads(tracked)

    async def _probe(self, instance: model.Instance) -> tuple[bool, bool]:
        """Return whether an instance is alive, and whether it accepts connections.

        One that refuses because it has too many connections is alive.
        """
        try:
            connection = await link.Link.connect(instance, ORGANISATION)
        except errors.LinkRefusedError as error:
            return error.overloaded, error.overloaded
        status = await self._send(connection, _codec.encode_status())
        connection.close()
        return status is not None, True

    async def _are_commits_stuck(self, service: str, primary: model.Instance) -> bool:
        """Return whether no replica receives the primary's commits.

        Callers cannot tell this from lost answers, so the replicas' positions are compared over ``REPLICATION_WAIT_S``.
        """
        links = [
            item
            for item in await asyncio.gather(*map(self._connect, [primary, *self._replicas(service, primary.id)]))
            if item is not None
        ]
        try:
            first = await self._send_to_all(links, _codec.encode_status())
            await asyncio.sleep(REPLICATION_WAIT_S)
            second = await self._send_to_all(links, _codec.encode_status())
        finally:
            for item in links:
                item.close()
        if not links or links[0].instance.id != primary.id or first[0] is None:
            return True
        received = [(old, new) for old, new in zip(first[1:], second[1:], strict=True) if old and new]
        _log.bind(
            service=service,
            primary=str(first[0].received),
            replicas=[f"{old.received} to {new.received}" for old, new in received],
        ).info("compared the positions of primary and replicas")
        return all(new.received < first[0].received and new.received == old.received for old, new in received)

    async def _connect(self, instance: model.Instance) -> link.Link | None:
        try:
            return await link.Link.connect(instance, ORGANISATION)
        except errors.LinkRefusedError as error:
            _log.bind(instance=instance.id).info("status request failed: {}", error)
            return None

    async def _send(self, connection: link.Link, message: bytes) -> model.InstanceStatus | None:
        try:
            (reply,) = await connection.exchange(message, timeout_s=STATUS_TIMEOUT_S)
            if reply.failure is not None or not reply.rows:
                _log.bind(instance=connection.instance.id).info("status request refused: {}", reply.result)
                return None
            return _codec.decode_status(reply.rows[0])
        except (errors.LinkLostError, errors.MalformedFrameError) as error:
            _log.bind(instance=connection.instance.id).info("status request failed: {}", error)
            return None
