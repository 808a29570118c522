"""Choice of the instance for the next attempt of a statement, and of the proof of freshness that it has to give."""

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from currantlead import logs
from currantlead.sessions import clock, model, statements
from currantlead.sessions.decisions import placement, stale_reads
from currantlead.sessions.instances import fleet, orders, paths
from currantlead.sessions.routing import freshness, operations

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import answer_health
    from currantlead.sessions.routing import completion

_log = logs.part("route")


class TargetSelector:
    """Chooses instances by what this VM knows of them; it sends nothing and waits for nothing.

    Args:
        instances: The known instances.
        samples: Samples of the primaries' positions.
        path_of: Returns the path to an instance.
        domain: Failure domain of this VM.
        region: Initial value of the attribute.
        health: Health of the instances as their answers show it, or None if they are not judged by it.
        by_completion: Chooses by expected completion; None to prefer near instances until they are saturated.
        stale_reads_on: Whether reads wait for a replica that will catch up in time.

    Attributes:
        region: Region of this VM.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        samples: freshness.PositionSamples,
        path_of: Callable[[model.Instance], paths.Path],
        *,
        domain: str,
        region: str,
        health: "answer_health.AnswerHealth | None" = None,
        by_completion: "completion.CompletionPlacement | None" = None,
        stale_reads_on: bool = False,
    ):
        self._by_completion = by_completion
        self._stale_reads_on = stale_reads_on
        self._progress: dict[str, stale_reads.ReplicaProgress] = {}
        self._fleet = instances
        self._samples = samples
        self._path_of = path_of
        self._domain = domain
        self.region = region
        self._health = health

    def lacks_sample(self, context: operations.Context) -> bool:
        """Return whether a read that may run at a replica would have to run at the primary for lack of a sample."""
        since = context.began_at - context.route.max_staleness_s
        return (
            context.route.consistency is not model.Consistency.PRIMARY
            and self._samples.oldest_since(context.route.service, since) is None
        )

    def choose(
        self, context: operations.Context, writes: bool, tried_ids: set[str], now: float, replica_waits: int = 0
    ) -> operations.Target | None:
        """Return the target of the next attempt, or None if no instance is left.

        Args:
            context: The caller's session and route.
            writes: Whether the statement needs the primary.
            tried_ids: Instances that were tried already.
            now: Clock reading, in seconds.
            replica_waits: Number of times that the statement has waited for a replica to catch up.
        """
        service = context.route.service
        if not writes and context.route.consistency is not model.Consistency.PRIMARY:
            sample = self._samples.oldest_since(service, context.began_at - context.route.max_staleness_s)
            if sample is not None:
                after = max(sample.position, context.last_commit_position or sample.position)
                target = self._choose_read_target(context, after, sample.asked_at, tried_ids, now)
                if self._stale_reads_on and self._is_primary_or_none(target, service):
                    return self._wait_for_replica(context, target, after, sample.asked_at, replica_waits, now)
                return target
        primary = self._fleet.primary(service)
        if primary is None or primary.instance.id in tried_ids or not self._fleet.accepts_primary_work(primary):
            return None
        if self._has_failed(primary) or not self._is_region_allowed(context, primary):
            return None
        placed = None
        if self._by_completion is not None:
            placed = self._by_completion.place_at_primary(self._distance(primary))
        return operations.Target(primary, self._path_of(primary.instance), None, placed=placed)

    def awaits_failover(self, context: operations.Context, writes: bool) -> bool:
        """Return whether a statement needs the primary, and the primary has to be replaced or does not respond."""
        if not writes and context.route.consistency is not model.Consistency.PRIMARY and not self.lacks_sample(context):
            return False
        primary = self._fleet.primary(context.route.service)
        return primary is None or not self._fleet.accepts_primary_work(primary) or self._has_failed(primary)

    def failing_s(self, service: str) -> float:
        """Return the seconds since the first failure of a service's primary; 0 if it is missing or has not failed."""
        primary = self._fleet.primary(service)
        return clock.now() - primary.failing_since if primary is not None and primary.failing_since is not None else 0.0

    def _has_failed(self, primary: fleet.TrackedInstance) -> bool:
        """Return whether a primary does not respond to anyone, so that statements wait for its successor."""
        latest = self._samples.latest(primary.instance.service)
        return self._fleet.awaits_failover(primary, latest.asked_at if latest is not None else float("-inf"))

    def _choose_read_target(
        self, context: operations.Context, after: model.Position, sampled_at: float, tried_ids: set[str], now: float
    ) -> operations.Target | None:
        targets, candidates = self._list_candidates(context, after, sampled_at, tried_ids, now)
        if not candidates:
            return None
        chosen_id, placed = candidates[0].id, None
        if self._by_completion is not None:
            path_by_id = {instance_id: target.path for instance_id, target in targets.items()}
            chosen_id, placed = self._by_completion.choose(
                context, candidates, path_by_id, now, is_retry=bool(tried_ids)
            )
        if self._health is not None:
            self._health.mark_chosen(chosen_id)
        return dataclasses.replace(targets[chosen_id], placed=placed) if placed is not None else targets[chosen_id]

    def _list_candidates(
        self, context: operations.Context, after: model.Position, sampled_at: float, tried_ids: set[str], now: float
    ) -> tuple[dict[str, operations.Target], list[placement.Candidate]]:
        """Return the instances that the rules allow for a read: targets by id, and candidates, best first."""
        primary = self._fleet.primary(context.route.service)
        targets = {}
        candidates = []
        for tracked in self._fleet.instances_of(context.route.service):
            if (
                tracked.instance.id in tried_ids
                or not self._fleet.accepts_work(tracked)
                or not self._is_region_allowed(context, tracked)
            ):
                continue
            path = self._path_of(tracked.instance)
            lagging = tracked.lagging is not None and tracked.lagging[0] <= after and now < tracked.lagging[1]
            targets[tracked.instance.id] = operations.Target(tracked, path, after, sampled_at)
            candidates.append(
                placement.Candidate(
                    id=tracked.instance.id,
                    distance=self._distance(tracked),
                    primary=tracked is primary,
                    suspect=self._fleet.is_suspect(tracked),
                    lagging=lagging,
                    saturated=path.saturated,
                    free_connection=path.has_idle(context.organisation),
                    waiting=path.waiting,
                    ejected=self._health is not None and not self._health.admits(tracked.instance.id),
                )
            )
        return targets, placement.sort_candidates(candidates)

    def explain(self, context: operations.Context, writes: bool, now: float) -> list[dict[str, object]]:
        """Return each instance of the service with the probability of the next attempt, the most probable first."""
        service = context.route.service
        rows: dict[str, dict[str, object]] = {}
        primary = self._fleet.primary(service)
        for tracked in self._fleet.instances_of(service):
            remarks = {
                "primary": tracked is primary,
                "suspect": self._fleet.is_suspect(tracked),
                "accepts no new work": not self._fleet.accepts_work(tracked),
                "region not allowed": not self._is_region_allowed(context, tracked),
            }
            rows[tracked.instance.id] = {
                "instance": tracked.instance.id,
                "distance": placement.DISTANCES[self._distance(tracked)],
                "probability": 0.0,
                "remarks": [remark for remark, applies in remarks.items() if applies],
            }
        sample = self._samples.oldest_since(service, context.began_at - context.route.max_staleness_s)
        if writes or context.route.consistency is model.Consistency.PRIMARY or sample is None:
            target = self.choose(context, True, set(), now)
            if target is not None:
                rows[target.tracked.instance.id]["probability"] = 1.0
        else:
            targets, candidates = self._list_candidates(context, sample.position, sample.asked_at, set(), now)
            path_by_id = {instance_id: target.path for instance_id, target in targets.items()}
            if candidates and self._by_completion is None:
                rows[candidates[0].id]["probability"] = 1.0
            elif candidates:
                for instance_id, facts in self._by_completion.explain(context, candidates, path_by_id, now).items():
                    rows[instance_id] |= facts
        return sorted(rows.values(), key=lambda row: (-row["probability"], row["instance"]))

    def _distance(self, tracked: fleet.TrackedInstance) -> int:
        return placement.distance(self._domain, self.region, tracked.instance.domain, self._fleet.region(tracked))

    def record_traffic(self, target: operations.Target, order: orders.Order, report: orders.Report) -> None:
        """Count the traffic of an order that ran, if traffic to other failure domains is limited."""
        if self._by_completion is not None and target.placed is not None:
            self._by_completion.record_traffic(target.placed, order, report)

    def _is_primary_or_none(self, target: operations.Target | None, service: str) -> bool:
        return target is None or target.tracked is self._fleet.primary(service)

    def _wait_for_replica(
        self,
        context: operations.Context,
        target: operations.Target | None,
        after: model.Position,
        sampled_at: float,
        replica_waits: int,
        now: float,
    ) -> operations.Target | None:
        """Return the replica that a read waits for, or the given target if it should not wait.

        Args:
            context: The caller's session and route.
            target: The primary, or None if no instance is left.
            after: Position that the read needs.
            sampled_at: Clock reading at which the position was requested.
            replica_waits: Number of times that the read has waited for a replica.
            now: Clock reading, in seconds.
        """
        service = context.route.service
        primary = self._fleet.primary(service)
        behind = [
            tracked
            for tracked in self._fleet.instances_of(service)
            if tracked is not primary
            and tracked.lagging is not None
            and tracked.lagging[0] <= after
            and now < tracked.lagging[1]
            and not self._fleet.is_suspect(tracked)
            and self._fleet.accepts_work(tracked)
            and self._is_region_allowed(context, tracked)
        ]
        if not behind:
            return target
        reached_at = self._samples.reached_at(service, after) or now
        ready_in_s = {
            tracked.instance.id: self._progress[tracked.instance.id].ready_in_s(after, reached_at, now)
            for tracked in behind
            if tracked.instance.id in self._progress
        }
        decision = stale_reads.decide(
            ready_in_s,
            objective_s=min(context.route.target_latency_s, context.route.timeout_s),
            elapsed_s=now - context.began_at,
            waits=replica_waits,
        )
        _log.bind(
            service=service, replica=decision.instance, wait_ms=round(decision.wait_s * 1000, 1), position=str(after)
        ).info("replicas are behind: read at {}, {}", decision.place.value, decision.reason)
        if decision.place is stale_reads.Place.PRIMARY:
            return target and dataclasses.replace(target, yields_to_writes=True)
        chosen = next(tracked for tracked in behind if tracked.instance.id == decision.instance)
        return operations.Target(chosen, self._path_of(chosen.instance), after, sampled_at, wait_s=decision.wait_s)

    def record_position(self, instance: model.Instance, position: model.Position | None) -> None:
        """Record the log position in an answer of an instance, to estimate when a replica catches up."""
        now = clock.now()
        lag_s = self._samples.lag_s(instance.service, position, now) if self._stale_reads_on and position else None
        if position is None or lag_s is None:
            return
        progress = self._progress.get(instance.id)
        if progress is not None:
            progress.record(position, lag_s, now)
            return
        self._progress = {name: item for name, item in self._progress.items() if self._fleet.get(name) is not None}
        self._progress[instance.id] = stale_reads.ReplicaProgress(position, now, now, lag_s)

    def check(self, target: operations.Target) -> statements.Failure | None:
        """Return why the instance no longer accepts statements after the wait for a connection, or None."""
        tracked = self._fleet.get(target.tracked.instance.id)
        if target.after is None and self._fleet.is_replaced(target.tracked.instance.id):
            return statements.Failure(
                statements.Code.BUSY, f"{target.tracked.instance.id} is being replaced as the primary"
            )
        if tracked is not None and self._fleet.accepts_work(tracked):
            return None
        return statements.Failure(statements.Code.BUSY, f"{target.tracked.instance.id} accepts no new work")

    def _is_region_allowed(self, context: operations.Context, tracked: fleet.TrackedInstance) -> bool:
        return not context.regions or self._fleet.region(tracked) in context.regions
