"""Connections of this VM to all instances: which path a statement takes, and what the connections show."""

from currantlead import errors
from currantlead.peers import network
from currantlead.sessions import clock, fleet, forwarding, liveness, measures, model, paths, pool, shares

READINGS = ("busy", "idle", "waiting", "limit")
"""What metrics show of each pool."""


class Connections:
    """Keep a path for each instance.

    Args:
        vm: Name of this VM.
        known: The instances.
        divided: How many connections each VM may use.
        peers: Streams to the other VMs.
        alive: Which VMs answer.
        measured: Where refused connections are counted.
    """

    def __init__(
        self,
        vm: str,
        known: fleet.Fleet,
        divided: shares.Shares,
        peers: network.Network,
        alive: liveness.Liveness,
        measured: measures.Measures,
    ):
        self._vm = vm
        self._fleet = known
        self._shares = divided
        self._peers = peers
        self._liveness = alive
        self._measures = measured
        self._direct: dict[str, paths.DirectPath] = {}
        self._forwarding: dict[str, forwarding.ForwardingPath] = {}

    def path_of(self, instance: model.Instance) -> paths.Path:
        """Return how statements of this VM's sessions reach an instance."""
        if not self._shares.shared(instance.service):
            return self.direct_path(instance)
        found = self._forwarding.get(instance.id)
        if found is None:
            found = self._forwarding[instance.id] = forwarding.ForwardingPath(
                instance,
                self._vm,
                self._peers,
                self._liveness,
                lambda known: self._shares.holders(known, self._liveness.is_down),
                self._shares.is_large,
                self.direct_path,
            )
        return found

    def direct_path(self, instance: model.Instance) -> paths.DirectPath:
        """Return this VM's own connections to an instance."""
        found = self._direct.get(instance.id)
        if found is None or found.instance.born_ms != instance.born_ms:
            if found is not None:
                found.pool.close()
            limit = self._shares.limit(instance.service)
            found = self._direct[instance.id] = paths.DirectPath(
                pool.Pool(instance, limit, on_refused=self._note_refused)
            )
        return found

    def apply_limits(self) -> None:
        """Take the shares of connections that hold now."""
        for path in self._direct.values():
            path.pool.limit = self._shares.limit(path.instance.service)

    def check_activity(self) -> None:
        """Suspect the instances that answer none of the orders under way; to be called regularly."""
        for path in self._direct.values():
            silent_s = path.activity.silent_s()
            if silent_s > paths.SILENT_S:
                self._fleet.suspect(path.instance.id, f"no answer for {silent_s:.1f} s")
            if path.activity.stuck_s() > paths.COMMIT_S:
                self._fleet.note_write(path.instance.id, answered=False)
            elif clock.now() - path.activity.committed_at < 2 * liveness.CHECK_S:
                self._fleet.note_write(path.instance.id, answered=True)

    def close_unused(self) -> None:
        """Close the connections to instances that are gone."""
        for instance_id in [name for name in self._direct if self._fleet.get(name) is None]:
            self._direct.pop(instance_id).pool.close()
        for instance_id in [name for name in self._forwarding if self._fleet.get(name) is None]:
            del self._forwarding[instance_id]

    def close(self) -> None:
        """Close all connections; those in use close when they come back."""
        for path in self._direct.values():
            path.pool.close()

    def read(self, reading: str) -> dict[measures.Labels, float]:
        """Return one of ``READINGS`` for each instance."""
        return {
            (("instance", instance_id),): float(getattr(path.pool, reading))
            for instance_id, path in self._direct.items()
        }

    def _note_refused(self, instance_id: str, error: errors.LinkRefusedError) -> None:
        self._measures.count("connections", result="full" if error.overloaded else "refused")
        if not error.overloaded:
            self._fleet.suspect(instance_id, str(error))
