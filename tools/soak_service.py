"""Instances of the soak test with promotions, which tell about themselves what the run needs."""

from collections.abc import Callable, Collection

from tests.standins import line_instance


class Service(line_instance.Service):
    """Instances of a service, with a call before each promotion takes effect.

    Attributes:
        before_promotion: Called with the identity of the instance that is about to be promoted.
    """

    def __init__(self, name: str, ids: list[str], *, max_connections: int):
        super().__init__(name, ids, max_connections=max_connections)
        self.before_promotion: Callable[[str], None] = lambda instance_id: None

    def promote(self, instance_id: str) -> bool:
        """Make an instance the primary of the next term at once; return False if it cannot be promoted."""
        self.replicate()
        self.before_promotion(instance_id)
        return super().promote(instance_id)

    def holds_only_copy(self, name: str) -> bool:
        """Return whether no other instance has one of the acknowledged commits that this one has."""
        own = self.instances[name].log
        others = [item.log for item in self.instances.values() if item.id != name]
        return any(commit in own and not any(commit in log for log in others) for commit in self.acknowledged)

    def describe(self, draining: Collection[str]) -> str:
        """Return the state of all instances in one line.

        Args:
            draining: Identities of the instances that drain.
        """
        parts = []
        for name, instance in self.instances.items():
            states = [
                "primary" if instance.is_primary else "",
                "" if instance.is_running else "down",
                "dark" if instance.unresponsive else "",
                "draining" if name in draining else "",
                f"paused for {instance.paused_term}" if instance.paused_term else "",
            ]
            text = " ".join([instance.position(len(instance.log)), *filter(None, states)])
            parts.append(f"{name}: {text}")
        return f"term {self.term}, {', '.join(parts)}"
