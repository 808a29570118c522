"""Pass the store's configuration, instances, evacuations, members and duties on to the components of this VM."""

from collections.abc import Callable

from currantlead import logs
from currantlead.platform import objects
from currantlead.sessions import model, settings
from currantlead.sessions.instances import fleet
from currantlead.sessions.membership import members
from currantlead.sessions.shared import configuration_age, duty_claims, mirror, store

CONFIGURATION_WAIT_S = 1.5
"""Duration of a configuration watch. Its response confirms the keys well before the age limit of 3.8 s, also on VMs
that receive it from a relay up to 0.6 s later."""
STATE_AGE_FRACTION = 0.4
"""Duration of the watches of instances, evacuations and members, as a fraction of the time in which their changes must
be in force. A watch may miss a change and stay silent to its end, so its duration limits the age of the copy; the rest
of the time is for relays, for the promotion of another primary, and for statements that wait."""
DUTIES_WAIT_S = 20.0
"""Duration of the watch of the duties. A claim reads the duty's entry from the store. VMs are also asked to hold back
commits before an order is recorded, so that they need not learn of it from the copy in time."""

_log = logs.part("daemon")


class SharedState:
    """Hold the current configuration and pass the store's other objects on.

    Args:
        known_instances: The instances.
        known_members: The registered VMs.
        configuration_age: Records when the configuration was last confirmed.
        claims: Records the claims of duties, or None if this VM takes none on.
        bounds: Times in which changes must be in force.
        on_limits_changed: Called after the configuration or the members changed.
        on_instances_changed: Called after instances were added, changed or removed.

    Attributes:
        configuration: The current configuration.
    """

    def __init__(
        self,
        known_instances: fleet.Fleet,
        known_members: members.Members,
        configuration_age: configuration_age.ConfigurationAge,
        claims: duty_claims.DutyClaims | None,
        *,
        bounds: settings.Bounds,
        on_limits_changed: Callable[[], None],
        on_instances_changed: Callable[[], None],
    ):
        self.configuration = model.Configuration()
        self._fleet = known_instances
        self._members = known_members
        self._configuration_age = configuration_age
        self._claims = claims
        self._on_limits_changed = on_limits_changed
        self._on_instances_changed = on_instances_changed
        self._is_store_behind = False
        self._instances_loaded = False
        self._evacuated: set[str] = set()
        self._mirror: mirror.Mirror | None = None
        self._followers = self._create_followers()
        self.apply_bounds(bounds)

    @property
    def is_complete(self) -> bool:
        """Return whether the configuration and the instances have been loaded."""
        return self._instances_loaded and self.configuration.revision > 0

    def _create_followers(self) -> dict[str, store.Follower]:
        """Return a follower for each kind of objects that this VM needs; ``apply_bounds`` sets their waits."""
        followers = [
            store.Follower(
                objects.CONFIGURATION,
                CONFIGURATION_WAIT_S,
                self._apply_configuration,
                lambda present, removed: self._apply_configuration(present),
                self._confirm_configuration,
                retries_during_outage=True,
            ),
            store.Follower(objects.INSTANCES, 0.0, self._replace_instances, self._update_instances),
            store.Follower(objects.EVACUATIONS, 0.0, self._replace_evacuations, self._update_evacuations),
            store.Follower(objects.MEMBERS, 0.0, self._replace_members, self._update_members),
        ]
        if self._claims is not None:
            followers.append(
                store.Follower(
                    objects.DUTIES,
                    DUTIES_WAIT_S,
                    self._apply_duties,
                    lambda present, removed: self._apply_duties(present),
                )
            )
        return {follower.kind: follower for follower in followers}

    def apply_bounds(self, bounds: settings.Bounds) -> None:
        """Apply the times in which changes of instances, evacuations and members must be in force."""
        self._followers[objects.INSTANCES].wait_s = STATE_AGE_FRACTION * bounds.drain_s
        self._followers[objects.EVACUATIONS].wait_s = STATE_AGE_FRACTION * bounds.evacuation_s
        # The members share the rate limits, and a lower limit has this long to bind.
        self._followers[objects.MEMBERS].wait_s = STATE_AGE_FRACTION * (bounds.configuration_s + bounds.rate_window_s)

    def subscribe(self, store_mirror: mirror.Mirror) -> None:
        """Subscribe to all kinds of objects that this VM needs."""
        self._mirror = store_mirror
        for follower in self._followers.values():
            store_mirror.add_follower(follower)

    def _apply_configuration(self, present: tuple[objects.StoredObject, ...]) -> None:
        """Apply the store's configuration unless it is older than the one in force.

        A store that was restored from a copy has an older configuration until the operator writes the last one again.
        """
        for stored in present:
            if stored.name != objects.CONFIGURATION_NAME or stored.revision <= self.configuration.revision:
                continue
            decoded = objects.decode_configuration(stored)
            log = _log.bind(version=decoded.version, revision=objects.format_revision(stored.revision))
            is_restored = objects.era_of(stored.revision) > objects.era_of(self.configuration.revision)
            self._is_store_behind = is_restored and decoded.version < self.configuration.version
            if self._is_store_behind:
                log.warning("restored configuration is older than version {} in force", self.configuration.version)
                continue
            self.configuration = decoded
            log.info("configuration applied")
            self._on_limits_changed()

    def _confirm_configuration(self, at: float) -> None:
        """Record that the configuration in force was the store's at a clock reading, unless the store is behind it."""
        if not self._is_store_behind:
            self._configuration_age.confirm(at)

    def _replace_instances(self, present: tuple[objects.StoredObject, ...]) -> None:
        decoded = [objects.decode_instance(stored) for stored in present]
        since = self._mirror.confirmed_at(objects.INSTANCES)
        self._fleet.replace((instance for instance in decoded if instance is not None), since)
        self._instances_loaded = True
        self._on_instances_changed()

    def _update_instances(self, present: tuple[objects.StoredObject, ...], removed: tuple[str, ...]) -> None:
        since = self._mirror.confirmed_at(objects.INSTANCES)
        for stored in present:
            instance = objects.decode_instance(stored)
            if instance is not None:
                self._fleet.update(instance, since)
        for name in removed:
            self._fleet.remove(name)
        self._on_instances_changed()

    def _replace_evacuations(self, present: tuple[objects.StoredObject, ...]) -> None:
        self._evacuated = {objects.decode_name(stored) for stored in present}
        self._fleet.set_evacuated_domains(self._evacuated, self._mirror.confirmed_at(objects.EVACUATIONS))

    def _update_evacuations(self, present: tuple[objects.StoredObject, ...], removed: tuple[str, ...]) -> None:
        self._evacuated |= {objects.decode_name(stored) for stored in present}
        self._evacuated -= set(removed)
        self._fleet.set_evacuated_domains(self._evacuated, self._mirror.confirmed_at(objects.EVACUATIONS))

    def _replace_members(self, present: tuple[objects.StoredObject, ...]) -> None:
        decoded = [objects.decode_member(stored) for stored in present]
        self._members.replace(member for member in decoded if member is not None)
        self._on_limits_changed()

    def _update_members(self, present: tuple[objects.StoredObject, ...], removed: tuple[str, ...]) -> None:
        decoded = [objects.decode_member(stored) for stored in present]
        self._members.update((member for member in decoded if member is not None), removed)
        self._on_limits_changed()

    def _apply_duties(self, present: tuple[objects.StoredObject, ...]) -> None:
        for stored in present:
            duty = objects.decode_duty(stored)
            self._claims.record(stored.name, duty.holder, stored.revision, duty.stage, duty.ordered)
