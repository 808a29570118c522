"""Connection pools as the switches of load management require them.

The parts are imported when they are needed, because their data classes would lengthen the start of every VM.
"""

from typing import TYPE_CHECKING

from currantlead.sessions import metric_registry, model, settings
from currantlead.sessions.instances import connection_limits, load_meter, pool
from currantlead.sessions.membership import liveness

if TYPE_CHECKING:
    from currantlead.sessions.instances import arrivals


class PoolParts:
    """Creates the pools of one VM.

    Args:
        vm: Name of this VM.
        switches: Switches of the decisions under load.
        limits: How many connections to an instance each VM may open.
        peer_liveness: Which VMs respond.
        metrics: Counts what arrives at the pools.
        on_refused: Called when an instance refuses a connection.
    """

    def __init__(
        self,
        vm: str,
        switches: settings.LoadManagement,
        limits: connection_limits.ConnectionLimits,
        peer_liveness: liveness.Liveness,
        metrics: metric_registry.MetricRegistry,
        *,
        on_refused: pool.RefusalCallback,
    ):
        self._vm = vm
        self._switches = switches
        self._limits = limits
        self._liveness = peer_liveness
        self._metrics = metrics
        self._on_refused = on_refused

    @property
    def divides_running(self) -> bool:
        """Return whether the pools limit the statements that run."""
        return self._switches.concurrency_limit

    def create_pool(self, instance: model.Instance) -> pool.Pool:
        """Return a pool for an instance."""
        limit = self._limits.limit(instance.service)
        switches = self._switches
        if not (switches.fair_queue or switches.concurrency_limit):
            measured = switches.load_reports or switches.early_refusal or switches.completion_placement
            meter = load_meter.LoadMeter() if measured else None
            return pool.Pool(instance, limit, on_refused=self._on_refused, meter=meter)
        from currantlead.sessions.decisions import concurrency, fair_queue
        from currantlead.sessions.instances import scheduled_pool

        return scheduled_pool.ScheduledPool(
            instance,
            limit,
            on_refused=self._on_refused,
            meter=load_meter.LoadMeter(),
            queue=fair_queue.FairQueue(self._limits.weight) if switches.fair_queue else None,
            running_limit=(
                concurrency.ConcurrencyLimit(*self.part_of(instance)) if switches.concurrency_limit else None
            ),
        )

    def create_arrivals(self, connections: pool.Pool) -> "arrivals.Arrivals | None":
        """Return the check of orders that arrive at a pool, or None if none is refused on arrival."""
        if not self._switches.early_refusal:
            return None
        from currantlead.sessions.instances import arrivals

        return arrivals.Arrivals(connections, self._metrics)

    def part_of(self, instance: model.Instance) -> tuple[int, int, int]:
        """Return an instance's slots, the number of its holders, and how many statements this VM may run on it.

        Without holders, all VMs have connections, and the slots are too few to be divided among them: each connection
        counts as a slot, so that the limit has no effect. It takes effect once there are more VMs than that.
        """
        from currantlead.sessions.decisions import concurrency

        if not self._limits.uses_holders(instance.service):
            own = self._limits.limit(instance.service)
            return own, 1, own
        count = self._limits.holder_count(instance.service)
        part = concurrency.part_of(
            concurrency.whole_limit(instance.slots),
            self._limits.ranking(instance),
            count,
            self._vm,
            self._liveness.down_for_s,
        )
        return instance.slots, count, part
