"""Pass the store's configuration, instances, evacuations, members and duties on to the components of this VM."""

from collections.abc import Callable

from currantlead import logs
from currantlead.platform import objects
from currantlead.sessions import confirmation, fleet, members, mirror, model, store, succession

CONFIGURATION_WAIT_S = 1.5
"""Duration of a configuration watch. Its response confirms the keys well before the age limit of 3.8 s, also on VMs
that receive it from a relay up to 0.6 s later."""
STATE_WAIT_S = 20.0
"""Duration of the other watches; TCP keep-alive closes a dead connection after 4 s."""

_log = logs.part("daemon")


class SharedState:
    """Hold the current configuration and pass the store's other objects on.

    Args:
        known_instances: The instances.
        known_members: The registered VMs.
        confirmed: Records when the configuration was last confirmed.
        promotions: Promotes primaries, or None if this VM doesn't.
        on_limits: Called after the configuration or the members changed.
        on_instances: Called after instances were added, changed or removed.

    Attributes:
        configuration: The current configuration.
    """

    def __init__(
        self,
        known_instances: fleet.Fleet,
        known_members: members.Members,
        confirmed: confirmation.Confirmation,
        promotions: succession.Succession | None,
        *,
        on_limits: Callable[[], None],
        on_instances: Callable[[], None],
    ):
        self.configuration = model.Configuration()
        self._fleet = known_instances
        self._members = known_members
        self._confirmation = confirmed
        self._succession = promotions
        self._on_limits = on_limits
        self._on_instances = on_instances
        self._instances_listed = False
        self._evacuated: set[str] = set()

    @property
    def complete(self) -> bool:
        """Return whether the configuration and the instances have been loaded."""
        return self._instances_listed and self.configuration.revision > 0

    def follow(self, copies: mirror.Mirror) -> None:
        """Subscribe to all kinds of objects that this VM needs."""
        copies.add_follower(
            store.Follower(
                objects.CONFIGURATION,
                CONFIGURATION_WAIT_S,
                self._list_configurations,
                lambda present, removed: self._list_configurations(present),
                self._confirmation.confirm,
                probes=True,
            )
        )
        copies.add_follower(
            store.Follower(objects.INSTANCES, STATE_WAIT_S, self._list_instances, self._change_instances)
        )
        copies.add_follower(
            store.Follower(objects.EVACUATIONS, STATE_WAIT_S, self._list_evacuations, self._change_evacuations)
        )
        copies.add_follower(store.Follower(objects.MEMBERS, STATE_WAIT_S, self._list_members, self._change_members))
        if self._succession is not None:
            copies.add_follower(
                store.Follower(
                    objects.DUTIES, STATE_WAIT_S, self._list_duties, lambda present, removed: self._list_duties(present)
                )
            )

    def _list_configurations(self, present: tuple[objects.Stored, ...]) -> None:
        for stored in present:
            if stored.name == objects.CONFIGURATION_NAME and stored.revision > self.configuration.revision:
                self.configuration = objects.decode_configuration(stored)
                _log.bind(version=self.configuration.version, revision=stored.revision).info("configuration applied")
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
        self._fleet.set_evacuated_domains(self._evacuated)

    def _change_evacuations(self, present: tuple[objects.Stored, ...], removed: tuple[str, ...]) -> None:
        self._evacuated |= {objects.decode_name(stored) for stored in present}
        self._evacuated -= set(removed)
        self._fleet.set_evacuated_domains(self._evacuated)

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
            self._succession.record_duty(stored.name, objects.decode_duty(stored), stored.revision)
