"""Choose the instances on which a statement may run, best first."""

import dataclasses
import enum
from collections.abc import Callable

from currantlead import messages
from currantlead.control import model
from currantlead.routing import freshness, placement

InService = Callable[[model.Instance], bool]


class Role(enum.Enum):
    """Name the role of an instance in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Name an instance that may run a statement."""

    instance: str
    domain: str
    role: Role
    term: int


class Router:
    """Order the instances of a group for one statement; holds no I/O."""

    def __init__(self, *, domain: str, positions: freshness.Freshness):
        """Create a router.

        Args:
            domain: Failure domain of this VM.
            positions: Estimate of the positions of the instances.
        """
        self._domain = domain
        self._positions = positions

    def choose(
        self,
        statement: messages.Statement,
        group: model.Group,
        *,
        configuration: model.Configuration,
        in_service: InService,
        now: float,
    ) -> list[Target]:
        """Return the targets of a statement, best first.

        Args:
            statement: The statement.
            group: Record of its database group.
            configuration: Configuration with the regions of the domains.
            in_service: Tells whether an instance takes new work.
            now: Clock reading in seconds.

        Returns:
            The primary for a write. For a read, the replicas that may be recent enough, nearest first, then the
            primary. Empty if no instance may serve.
        """
        primary = self.primary(group)
        if statement.write:
            return [primary] if primary is not None else []
        replicas = [
            instance
            for instance in group.instances
            if instance.name != group.primary
            and in_service(instance)
            and self._positions.may_serve(instance.name, statement.after, now)
        ]
        # Equally near replicas are rotated by the request id, which spreads reads over them.
        order = {name: rank for rank, name in enumerate(placement.rotate(statement.request, _names(replicas)))}
        replicas.sort(key=lambda instance: (self._distance(instance.domain, configuration), order[instance.name]))
        targets = [Target(item.name, item.domain, Role.REPLICA, group.term) for item in replicas]
        return targets + ([primary] if primary is not None else [])

    def primary(self, group: model.Group) -> Target | None:
        """Return the primary of a group as a target, or None while there is none."""
        if group.phase is model.Phase.ELECTING:
            return None
        instance = group.instance(group.primary)
        return None if instance is None else Target(instance.name, instance.domain, Role.PRIMARY, group.term)

    def _distance(self, domain: str, configuration: model.Configuration) -> int:
        if domain == self._domain:
            return 0
        here, there = configuration.domains.get(self._domain), configuration.domains.get(domain)
        same_region = here is not None and there is not None and here.region == there.region
        return 1 if same_region else 2


def _names(instances: list[model.Instance]) -> tuple[str, ...]:
    return tuple(instance.name for instance in instances)
