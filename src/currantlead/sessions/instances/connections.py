"""Connections of this VM to all instances: the path that statements take, and failures that connections reveal."""

import random
from typing import TYPE_CHECKING

from currantlead import errors
from currantlead.peers import network
from currantlead.sessions import clock, metric_registry, model, settings
from currantlead.sessions.decisions import load, start_pacing
from currantlead.sessions.instances import connection_limits, fleet, forwarding, paths, pool_parts
from currantlead.sessions.membership import liveness, overload

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import load_table

NO_LOAD_MANAGEMENT = settings.LoadManagement()
POOL_METRICS = ("busy", "idle", "waiting", "limit")
"""Attributes of a pool that metrics expose."""
SCHEDULING_METRICS = ("running_limit", "wait_seconds")
"""Attributes of a pool with a fair queue or a limit of running statements that metrics expose in addition."""


class Connections:
    """Hold the path to each instance.

    Args:
        vm: Name of this VM.
        known_instances: The instances.
        limits: How many connections to an instance each VM may open.
        peers: Streams to the other VMs.
        peer_liveness: Which VMs respond.
        metrics: Counts refused connections.
        overloads: Which VMs are overloaded, or None if they do not report it.
        counter: Counts the requests that instances began to run, or None if nothing counts them.
        load_management: Switches of the decisions under load.
        loads: Load reports of the holders; None without them.
        rng: Source of randomness for the choice among loaded holders.
        guard: Tells whether commits may be sent, and whether their success may be passed on; None if all may.
    """

    def __init__(
        self,
        vm: str,
        known_instances: fleet.Fleet,
        limits: connection_limits.ConnectionLimits,
        peers: network.Network,
        peer_liveness: liveness.Liveness,
        metrics: metric_registry.MetricRegistry,
        *,
        overloads: overload.OverloadMonitor | None = None,
        counter: paths.RequestCounter | None = None,
        load_management: settings.LoadManagement = NO_LOAD_MANAGEMENT,
        loads: "load_table.LoadTable | None" = None,
        rng: random.Random | None = None,
        guard: paths.CommitGuard | None = None,
    ):
        self._guard = guard
        self._loads = loads
        self._rng = rng
        self._paces_start = load_management.start_pacing
        self._vm = vm
        self._fleet = known_instances
        self._limits = limits
        self._peers = peers
        self._liveness = peer_liveness
        self._metrics = metrics
        self._overloads = overloads
        self._counter = counter
        self._parts = pool_parts.PoolParts(
            vm, load_management, limits, peer_liveness, metrics, on_refused=self._handle_refused
        )
        self._direct_paths: dict[str, paths.DirectPath] = {}
        self._forwarding_paths: dict[str, forwarding.ForwardingPath] = {}

    def path_of(self, instance: model.Instance) -> paths.Path:
        """Return the path on which statements of this VM's sessions reach an instance."""
        if not self._limits.uses_holders(instance.service):
            return self.direct_path(instance)
        path = self._forwarding_paths.get(instance.id)
        if path is None:
            path = self._forwarding_paths[instance.id] = forwarding.ForwardingPath(
                instance,
                self._vm,
                self._peers,
                self._liveness,
                lambda known_instance: self._limits.holders(known_instance, self._liveness.is_down),
                self._limits.order_holders,
                self._limits.is_large,
                self.direct_path,
                overloads=self._overloads,
                loads=self._loads,
                rng=self._rng,
            )
        return path

    def direct_path(self, instance: model.Instance) -> paths.DirectPath:
        """Return the path over this VM's own connections to an instance."""
        path = self._direct_paths.get(instance.id)
        if path is None or path.instance.started_at_ms != instance.started_at_ms:
            if path is not None:
                path.pool.close()
            connections = self._parts.create_pool(instance)
            checked = self._parts.create_arrivals(connections)
            path = self._direct_paths[instance.id] = paths.DirectPath(connections, self._counter, checked, self._guard)
            if self._paces_start:
                path.pool.full_backoff_s, path.pool.keeps_refused = start_pacing.FULL_RETRY_S, True
        return path

    def load_of(self, instance_id: str, now: float) -> load.QueueReport | None:
        """Return the load of this VM's own connections to an instance, or None if it never had any."""
        path = self._direct_paths.get(instance_id)
        return None if path is None else path.pool.load(now)

    def holders_of_service(self, instance_id: str) -> dict[str, list[str]]:
        """Return the holders of each instance of the service that an instance belongs to, by instance id."""
        tracked = self._fleet.get(instance_id)
        if tracked is None or not self._limits.uses_holders(tracked.instance.service):
            return {}
        return {
            other.instance.id: self._limits.holders(other.instance, self._liveness.is_down)
            for other in self._fleet.instances_of(tracked.instance.service)
        }

    def past_holders(self, instance: model.Instance) -> list[str]:
        """Return the VMs that hold an instance's connections, and those that would if all VMs responded."""
        responding = self._limits.holders(instance, self._liveness.is_down)
        return list(dict.fromkeys([*responding, *self._limits.holders(instance, lambda vm: False)]))

    def apply_limits(self) -> None:
        """Apply the current shares of connections to all pools."""
        for path in self._direct_paths.values():
            path.pool.limit = self._limits.limit(path.instance.service)

    def divide_running(self) -> None:
        """Apply this VM's part of the statements that may run on each instance; call it periodically."""
        for path in self._direct_paths.values():
            tracked = self._fleet.get(path.instance.id)
            if tracked is not None and self._parts.divides_running:
                path.pool.divide(*self._parts.part_of(tracked.instance))

    def check_activity(self) -> None:
        """Suspect the instances that respond to none of the pending orders; call it periodically."""
        for path in self._direct_paths.values():
            silent_s = path.activity.silent_s()
            if silent_s > paths.SILENT_S:
                self._fleet.mark_suspect(path.instance.id, f"no answer for {silent_s:.1f} s")
            if path.activity.stuck_s() > paths.STUCK_COMMITS_S:
                self._fleet.record_write(path.instance.id, answered=False)
            elif clock.now() - path.activity.committed_at < 2 * liveness.CHECK_INTERVAL_S:
                self._fleet.record_write(path.instance.id, answered=True)

    def close_idle(self, instance_id: str) -> bool:
        """Close an idle connection to an instance, which may be full; return whether there was one."""
        path = self._direct_paths.get(instance_id)
        return path is not None and path.pool.close_idle()

    def abort_commits(self, service: str, ordered_id: str) -> None:
        """Close the connections with unanswered commits at the other instances of a service than the ordered one.

        The instance that is promoted may lack what another one acknowledges from now on.
        """
        for path in self._direct_paths.values():
            if path.instance.service == service and path.instance.id != ordered_id:
                path.abort_commits()

    def close_unused(self) -> None:
        """Close the connections to instances that no longer exist."""
        for instance_id in [name for name in self._direct_paths if self._fleet.get(name) is None]:
            self._direct_paths.pop(instance_id).pool.close()
        for instance_id in [name for name in self._forwarding_paths if self._fleet.get(name) is None]:
            del self._forwarding_paths[instance_id]

    def close(self) -> None:
        """Close all connections; those in use close when they are returned to their pool."""
        for path in self._direct_paths.values():
            path.pool.close()

    def read_metric(self, attribute: str) -> dict[metric_registry.Labels, float]:
        """Return one of ``POOL_METRICS`` for each instance, by metric labels."""
        return {
            (("instance", instance_id),): float(getattr(path.pool, attribute))
            for instance_id, path in self._direct_paths.items()
        }

    def read_queue_lengths(self) -> dict[metric_registry.Labels, float]:
        """Return the number of waiting statements for each instance and priority, by metric labels."""
        now = clock.now()
        return {
            (("instance", instance_id), ("priority", str(priority))): float(count)
            for instance_id, path in self._direct_paths.items()
            for priority, count in enumerate(path.pool.load(now).waiting)
        }

    def _handle_refused(self, instance_id: str, error: errors.LinkRefusedError) -> None:
        self._metrics.count("connections", result="full" if error.overloaded else "refused")
        if not error.overloaded:
            self._fleet.mark_suspect(instance_id, str(error))
