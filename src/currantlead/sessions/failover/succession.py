"""Failover: replaces primaries that failed, drain or lie in an evacuated failure domain.

Each VM watches the primaries of all services; ``promotion`` has the steps of one attempt to replace one.
"""

import asyncio
from collections.abc import Callable, Collection

from currantlead import errors, logs
from currantlead.sessions import clock, model, settings
from currantlead.sessions.decisions import election, promotion_progress
from currantlead.sessions.failover import (
    commit_reports,
    departure_probes,
    instance_commands,
    promotion,
    promotion_calls,
    remote_commands,
)
from currantlead.sessions.instances import fleet, link
from currantlead.sessions.shared import duty_claims, store

CHECK_INTERVAL_S = 0.1
"""Interval between checks of all primaries."""
RETRY_DELAY_S = 0.5
"""Pause between two attempts for a service; it is short because all writes fail while there is no primary."""

_log = logs.part("succession")


class Failover:
    """Watches the primaries of all services and replaces one when it is this VM's turn.

    Args:
        instances: The known instances.
        shared: The platform's store, through which promotions are called.
        claims: Claims of the duties; the duty of a service's promotions has the service's name.
        promotions: Address that takes promotion calls.
        reports: Collects the other VMs' reports on acknowledged commits.
        remote: Helps with instances through other VMs.
        vm: Name of this VM.
        members: Returns the VMs that may promote, this one included.
        configured: Returns the services of the configuration; entries of instances may name others.
        find_contact_among: Returns which of the VMs that were not told of a claim may give others of them contact;
            called with those that did not report.
        count_outcome: Called with the outcome of each attempt, for metrics.
        count_call: Called with the result of each promotion call, for metrics.
        on_stage: Called with the service when its promotion reaches a stage, on this VM or on another one.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        shared: store.Store,
        claims: duty_claims.DutyClaims,
        promotions: settings.Address,
        reports: commit_reports.CommitReports,
        remote: remote_commands.RemoteCommands,
        *,
        vm: str,
        members: Callable[[], list[str]],
        configured: Callable[[], Collection[str]],
        find_contact_among: Callable[[Collection[str]], list[str]],
        count_outcome: Callable[[str], None] = lambda outcome: None,
        count_call: Callable[[str], None] = lambda result: None,
        on_stage: Callable[[str, promotion_progress.Stage], None] = lambda service, stage: None,
    ):
        self._fleet = instances
        self._claims = claims
        claims.on_claimed = self._handle_claim
        calls = promotion_calls.PromotionCalls(shared, claims, promotions, vm, count_call)
        self._tools = promotion.Tools(instances, claims, reports, remote, calls, find_contact_among, on_stage)
        self._vm = vm
        self._members = members
        self._configured = configured
        self._count_outcome = count_outcome
        self._on_stage = on_stage
        self._probes = departure_probes.DepartureProbes(instances, self._probes_service)
        self._replacement_due_since: dict[str, tuple[str, float]] = {}
        self._next_attempt_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Stop the attempts that are under way; another VM goes on with their orders."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._probes.close()

    def _handle_claim(self, duty: str) -> None:
        claim = self._claims.latest(duty)
        self._fleet.set_order(duty, claim.ordered, claim.generation)
        if duty in self._services() and claim.stage is not model.DutyStage.ENDED:
            is_ordered = claim.stage is model.DutyStage.ORDERED
            self._on_stage(duty, promotion_progress.Stage.REQUESTED if is_ordered else promotion_progress.Stage.CLAIMED)

    def _services(self) -> set[str]:
        """Return the services whose primaries are watched."""
        return self._fleet.services().intersection(self._configured())

    def check(self) -> None:
        """Start the promotions that are due; called periodically."""
        services = self._services()
        self._probes.check(services)
        for service in services:
            if service not in self._tasks and self._is_due(service):
                self._tasks[service] = asyncio.get_running_loop().create_task(self._replace_primary(service))

    def _probes_service(self, service: str) -> bool:
        return election.rank(service, self._vm, self._members()) < departure_probes.PROBING_VMS

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
        if not self._claims.may_claim(service, election.CLAIM_EXCLUSIVITY_S):
            return "another VM holds the promotion duty"
        leader = self._fleet.leader(service)
        old = leader.instance if leader is not None else None
        connects, reached_by = True, None
        if old is not None and reason == "silent":
            (is_alive, connects), reached_by = await asyncio.gather(
                instance_commands.probe(old), self._tools.remote.find_vms(old)
            )
            if is_alive:
                self._fleet.mark_healthy(old.id)
                return "the primary answers status requests"
        if old is not None and reason == "commits are stuck" and not await self._are_commits_stuck(service, old):
            self._fleet.record_write(old.id, answered=True)
            return "at least one replica still receives commits"
        attempt = promotion.Promotion(
            service,
            old,
            self._tools,
            connects=connects,
            reached_by=reached_by,
            # Commits may be answered again as soon as a replica joins; no other reason disappears within an attempt.
            is_due=lambda: reason != "commits are stuck" or self._fleet.observe_primary(service).stuck_s > 0.0,
        )
        return await attempt.run(reason)

    async def _are_commits_stuck(self, service: str, primary: model.Instance) -> bool:
        """Return whether no replica receives the primary's commits.

        Callers cannot tell this from lost answers, so the replicas' positions are compared over
        ``REPLICATION_WAIT_S``.
        """
        others = [item.instance for item in self._fleet.instances_of(service) if item.instance.id != primary.id]
        links_by_id: dict[str, link.Link] = {}
        status_request = instance_commands.CODEC.encode_status()
        try:
            await instance_commands.connect_all([primary, *others], links_by_id, self._tools.remote.make_room)
            links = [links_by_id[item.id] for item in [primary, *others] if item.id in links_by_id]
            first = await instance_commands.send_to_all(links, status_request)
            await asyncio.sleep(instance_commands.REPLICATION_WAIT_S)
            second = await instance_commands.send_to_all(links, status_request)
        finally:
            for item in links_by_id.values():
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
