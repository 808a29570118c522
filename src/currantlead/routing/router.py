"""Choose the instances that can run a statement, in order of preference."""

import dataclasses
import enum
from collections.abc import Callable

from currantlead import messages
from currantlead.control import model
from currantlead.routing import freshness, placement

InService = Callable[[model.Instance], bool]


class Role(enum.Enum):
    """Role of an instance in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Identify an instance that can run a statement.

    Attributes:
        instance: Name of the instance.
        domain: Failure domain of the instance.
        role: Its role in the group.
        term: Term of the group record from which the target was chosen.
    """

    instance: str
    domain: str
    role: Role
    term: int


class Router:
    """Order the instances of a group for a statement; does no I/O."""

    def __init__(self, *, domain: str, positions: freshness.PositionEstimates):
        """Create a router.

        Args:
            domain: Failure domain of this VM.
            positions: Estimated log positions of the instances.
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
        """Return the targets of a statement in order of preference.

        Args:
            statement: The statement.
            group: Record of its database group.
            configuration: Configuration, which gives the region of each failure domain.
            in_service: Returns whether an instance accepts new work.
            now: Clock reading in seconds.

        Returns:
            Only the primary for a write. For a read, the replicas that may have reached the required position, nearest
            first, and then the primary. Empty if no instance can serve the statement.
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
        # Spreads reads over equally near replicas, by a hash of the request id.
        rotation = {
            name: rank for rank, name in enumerate(placement.rotate(statement.request, _instance_names(replicas)))
        }
        replicas.sort(key=lambda instance: (self._distance(instance.domain, configuration), rotation[instance.name]))
        targets = [Target(item.name, item.domain, Role.REPLICA, group.term) for item in replicas]
        return targets + ([primary] if primary is not None else [])

    def primary(self, group: model.Group) -> Target | None:
        """Return the primary of a group as a target, or None during an election."""
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


def _instance_names(instances: list[model.Instance]) -> tuple[str, ...]:
    return tuple(instance.name for instance in instances)
