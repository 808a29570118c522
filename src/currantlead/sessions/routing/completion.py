"""Choice among the instances that may run a read, by expected completion and the cost of leaving the failure domain."""

import dataclasses
import random
from collections.abc import Mapping, Sequence

from currantlead.sessions import clock, settings
from currantlead.sessions.decisions import placement, traffic
from currantlead.sessions.instances import orders, paths
from currantlead.sessions.routing import operations

MAX_SHARES = 256
"""Number of shares from which those that were not used lately are forgotten: 16 services with 4 priorities have 64."""
SHARE_RETENTION_S = 10.0
"""Time without a decision after which a share may be forgotten; it has returned to 0 long before."""
OVERHEAD_BYTES = 300
"""Assumed size of the frames of an order and of its answer without the statement and the rows."""


class CompletionPlacement:
    """Chooses by load reports, and keeps the share of the work that leaves and the traffic that it causes.

    Args:
        config: Costs and limits.
        rng: Source of randomness.
    """

    def __init__(self, config: settings.LoadManagement, rng: random.Random):
        self._rng = rng
        self._leave_s = (0.0, config.leave_domain_s, config.leave_region_s)
        self._traffic = traffic.TrafficLimit(config.leave_domain_bytes_per_s, clock.now())
        self._shares: dict[tuple[str, int], placement.LeavingShare] = {}

    def choose(
        self,
        context: operations.Context,
        candidates: Sequence[placement.Candidate],
        path_by_id: Mapping[str, paths.Path],
        now: float,
        *,
        is_retry: bool = False,
    ) -> tuple[str, operations.Placement]:
        """Return the id of the instance for the next attempt of a read, and how it was chosen.

        Suspect, ejected and lagging instances are considered only if no other one is left.

        Args:
            context: The caller's session and route.
            candidates: The instances that the rules allow, best first as without reports; at least one.
            path_by_id: Paths to them.
            now: Clock reading, in seconds.
            is_retry: Whether instances are missing because they were tried already.
        """
        tier, options, key = self._list_options(context, candidates, path_by_id, now)
        share = self._shares.get(key, placement.LeavingShare())
        choice = placement.choose(options, share, now, self._rng)
        self._store_share(key, choice.share, now)
        distance_by_id = {candidate.id: candidate.distance for candidate in tier}
        reason = choice.reason
        if distance_by_id[choice.id] > 0 and not self._traffic.allows(now):
            local = self._choose_local(context, tier, options, now)
            if local is not None:
                choice, reason = local, "traffic_limit"
        distance = distance_by_id[choice.id]
        if reason == "nearest" and distance > 0:
            is_excluded = is_retry or min(candidate.distance for candidate in candidates) < distance
            reason = "excluded" if is_excluded else "none_nearer"
        return choice.id, operations.Placement(placement.DISTANCES[distance], reason, choice.completion_s)

    def explain(
        self,
        context: operations.Context,
        candidates: Sequence[placement.Candidate],
        path_by_id: Mapping[str, paths.Path],
        now: float,
    ) -> dict[str, dict[str, object]]:
        """Return the facts and the probability of each candidate, without the limit on traffic; see ``choose``."""
        tier, options, key = self._list_options(context, candidates, path_by_id, now)
        probabilities = placement.probabilities(options, self._shares.get(key, placement.LeavingShare()))
        if probabilities is None:
            probabilities = {tier[0].id: 1.0}
        facts = {}
        for option in options:
            facts[option.id] = {
                "probability": round(probabilities.get(option.id, 0.0), 3),
                "leave_ms": round(option.leave_s * 1000, 1),
            }
            if option.estimate is not None:
                durations = dataclasses.asdict(option.estimate).items()
                facts[option.id] |= {
                    f"{name.removesuffix('_s')}_ms": round(seconds * 1000, 1) for name, seconds in durations
                }
        return facts

    def _list_options(
        self,
        context: operations.Context,
        candidates: Sequence[placement.Candidate],
        path_by_id: Mapping[str, paths.Path],
        now: float,
    ) -> tuple[list[placement.Candidate], list[placement.Option], tuple[str, int]]:
        """Return the candidates no worse than the first by suspicion, ejection and lag, their options and their key."""
        first = candidates[0]
        tier = [
            candidate
            for candidate in candidates
            if (candidate.suspect, candidate.ejected, candidate.lagging)
            == (first.suspect, first.ejected, first.lagging)
        ]
        options = [self._option(context, candidate, path_by_id[candidate.id], now) for candidate in tier]
        return tier, options, (min((option.leave_s, option.id) for option in options)[1], context.route.priority)

    def place_at_primary(self, distance: int) -> operations.Placement:
        """Return how an instance was chosen for work that only the primary may run."""
        return operations.Placement(placement.DISTANCES[distance], "primary")

    def record_traffic(self, placed: operations.Placement, order: orders.Order, report: orders.Report) -> None:
        """Count the traffic of an order that left the failure domain."""
        if placed.distance != placement.DISTANCES[0]:
            count = OVERHEAD_BYTES + len(order.text) + sum(map(len, report.reply.rows))
            self._traffic.spend(count, clock.now())

    def _option(
        self, context: operations.Context, candidate: placement.Candidate, path: paths.Path, now: float
    ) -> placement.Option:
        leave_s = self._leave_s[candidate.distance]
        reserved_share = 0.0
        if candidate.primary:
            leave_s += placement.PRIMARY_COST_S
            reserved_share = placement.PRIMARY_RESERVE_SHARE
        estimate = path.estimate(context.organisation, context.route.priority, now, reserved_share=reserved_share)
        return placement.Option(candidate.id, leave_s, estimate)

    def _choose_local(
        self,
        context: operations.Context,
        tier: Sequence[placement.Candidate],
        options: Sequence[placement.Option],
        now: float,
    ) -> placement.Choice | None:
        """Return the choice among the instances of the own domain that can serve in time, or None."""
        remaining_s = context.began_at + context.route.target_latency_s - now
        local = [
            option
            for candidate, option in zip(tier, options, strict=True)
            if candidate.distance == 0 and option.estimate is not None and option.estimate.completion_s <= remaining_s
        ]
        return placement.choose(local, placement.LeavingShare(), now, self._rng) if local else None

    def _store_share(self, key: tuple[str, int], share: placement.LeavingShare, now: float) -> None:
        self._shares[key] = share
        if len(self._shares) > MAX_SHARES:
            self._shares = {
                other: kept for other, kept in self._shares.items() if now - kept.updated_at < SHARE_RETENTION_S
            }
