"""Apply what the store holds to the parts of this VM: configuration, instances, evacuations, members and duties."""

from collections.abc import Callable

from currantlead import logs
from currantlead.platform import objects
from currantlead.sessions import confirmation, fleet, members, mirror, model, store, succession

CONFIGURATION_WAIT_S = 1.5
"""Wait of a configuration watch: its answer confirms the keys well before the age limit of 3.8 s, also at VMs that hear
of it from a relay up to 0.6 s later."""
STATE_WAIT_S = 20.0
"""Wait of the other watches; keep-alive probes end one that has fallen silent after 4 s."""

_log = logs.part("daemon")


class SharedState:
    """Hold the configuration, and pass the store's other objects on.

    Args:
        known: The instances.
        known_members: The VMs.
        confirmed: Age of the configuration.
        promotions: Promotions of primaries, or None where this VM orders none.
        on_limits: Called after the configuration or the members have changed.
        on_instances: Called after instances have come or gone.

    Attributes:
        configuration: The configuration in force.
    """

    def __init__(
        self,
        known: fleet.Fleet,
        known_members: members.Members,
        confirmed: confirmation.Confirmation,
        promotions: succession.Succession | None,
        *,
        on_limits: Callable[[], None],
        on_instances: Callable[[], None],
    ):
        self.configuration = model.Configuration()
        self._fleet = known
        self._members = known_members
        self._confirmation = confirmed
        self._succession = promotions
        self._on_limits = on_limits
        self._on_instances = on_instances
        self._instances_listed = False
        self._evacuated: set[str] = set()

    @property
    def complete(self) -> bool:
        """Tell whether configuration and instances are known."""
        return self._instances_listed and self.configuration.revision > 0

    def follow(self, copies: mirror.Mirror) -> None:
        """Let copies of all kinds be kept and told to this object."""
        copies.keep(
            store.Follower(
                objects.CONFIGURATION,
                CONFIGURATION_WAIT_S,
                self._list_configurations,
                lambda present, removed: self._list_configurations(present),
                self._confirmation.confirm,
                probes=True,
            )
        )
        copies.keep(store.Follower(objects.INSTANCES, STATE_WAIT_S, self._list_instances, self._change_instances))
        copies.keep(store.Follower(objects.EVACUATIONS, STATE_WAIT_S, self._list_evacuations, self._change_evacuations))
        copies.keep(store.Follower(objects.MEMBERS, STATE_WAIT_S, self._list_members, self._change_members))
        if self._succession is not None:
            copies.keep(
                store.Follower(
                    objects.DUTIES, STATE_WAIT_S, self._list_duties, lambda present, removed: self._list_duties(present)
                )
            )

    def _list_configurations(self, present: tuple[objects.Stored, ...]) -> None:
        for stored in present:
            if stored.name == objects.CONFIGURATION_NAME and stored.revision > self.configuration.revision:
                self.configuration = objects.decode_configuration(stored)
                _log.bind(version=self.configuration.version, revision=stored.revision).info("configuration in force")
                self._on_limits()

    def _list_instances(self, present: tuple[objects.Stored, ...]) -> None:
        decoded = [objects.decode_instance(stored) for stored in present]
        self._fleet.replace(instance for instance in decoded if instance is not None)
        self._instances_listed = True
        self._on_instances()

    def _change_instances(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        for stored in present:
            instance = objects.decode_instance(stored)
            if instance is not None:
                self._fleet.update(instance)
        for name in removed:
            self._fleet.remove(name)
        self._on_instances()

    def _list_evacuations(self, present: tuple[objects.Stored, ...]) -> None:
        self._evacuated = {objects.decode_name(stored) for stored in present}
        self._fleet.set_evacuated(self._evacuated)

    def _change_evacuations(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        self._evacuated |= {objects.decode_name(stored) for stored in present}
        self._evacuated -= set(removed)
        self._fleet.set_evacuated(self._evacuated)

    def _list_members(self, present: tuple[objects.Stored, ...]) -> None:
        decoded = [objects.decode_member(stored) for stored in present]
        self._members.replace(member for member in decoded if member is not None)
        self._on_limits()

    def _change_members(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        decoded = [objects.decode_member(stored) for stored in present]
        self._members.update((member for member in decoded if member is not None), removed)
        self._on_limits()

    def _list_duties(self, present: tuple[objects.Stored, ...]) -> None:
        for stored in present:
            self._succession.duty_seen(stored.name, objects.decode_duty(stored), stored.revision)
