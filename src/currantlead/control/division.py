"""Division of all rate limits among the failure domains."""

from collections.abc import Callable, Iterable, Mapping

from currantlead import errors, interfaces, logs, timers
from currantlead.admission import rate_shares
from currantlead.control import duties, model, records, service_state

CHECK_INTERVAL_S = 0.5
STABLE_AFTER_S = 3.0
"""The target shares must stay the same for this long, so that the restart of a VM does not move shares."""

_log = logs.part("division")


def target_shares(configuration: model.Configuration, views: Mapping[str, model.View]) -> dict[str, float]:
    """Return the target share of each domain.

    Args:
        configuration: The newest configuration.
        views: The newest views.

    Returns:
        Equal shares for the domains that are in service and have a VM in their view; empty if there is no such domain.
    """
    names = [
        name
        for name in configuration.domains
        if service_state.accepts_new_work(service_state.domain_state(configuration, name))
        and name in views
        and views[name].members
    ]
    return {name: 1.0 / len(names) for name in sorted(names)}


def next_division(
    current: model.Shares, target: Mapping[str, float], views: Mapping[str, model.View]
) -> model.Shares | None:
    """Return the division that replaces the current one, or None if none can or must.

    Args:
        current: The newest division.
        target: The target shares.
        views: The newest views.

    Returns:
        The next division, or None if the target shares are reached or the current division has not settled. As
        ``previous`` holds the shares of one division only, a domain could otherwise still use a share that an earlier
        division has given to another domain.
    """
    if not target or dict(current.shares) == dict(target) or not rate_shares.is_settled(current, views):
        return None
    return model.Shares(
        number=current.number + 1,
        shares=dict(target),
        previous=dict(current.shares),
        confirmed=dict(current.confirmed),
        version=current.version,
    )


class DivisionWriter:
    """Writer of the division of rates.

    One VM is assigned to write it; conditional updates make it safe if two VMs do.
    """

    def __init__(
        self,
        *,
        platform: interfaces.Platform,
        directory: interfaces.Directory,
        clock: timers.Timers,
        member: model.Member,
        publish: Callable[[Iterable[interfaces.StoredObject]], None] = lambda written: None,
    ):
        """Initialize the writer.

        Args:
            platform: Client of the platform.
            directory: Shared state known to this VM.
            clock: Timer service.
            member: This VM's identity.
            publish: Called with each object that was written.
        """
        self._platform = platform
        self._directory = directory
        self._clock = clock
        self._member = member
        self._publish = publish
        self._target_shares: dict[str, float] = {}
        self._target_since = clock.now()
        self._subscription: timers.Subscription | None = None

    def start(self) -> None:
        """Start the periodic check."""
        self._subscription = self._clock.subscribe("division", CHECK_INTERVAL_S, self.check)

    def stop(self) -> None:
        """Stop the periodic check."""
        if self._subscription is not None:
            self._subscription.cancel()

    async def check(self) -> None:
        """Write the next division if this VM is assigned to do so and the target shares are stable.

        The first division is written without waiting.
        """
        views = self._directory.views
        if not duties.is_assigned("division", views, self._member.vm):
            return
        current = self._directory.shares
        target = target_shares(self._directory.configuration, views)
        if target != self._target_shares:
            self._target_shares, self._target_since = target, self._clock.now()
        if current.number > 0 and self._clock.now() - self._target_since < STABLE_AFTER_S:
            return
        new_division = next_division(current, target, views)
        if new_division is not None:
            await self._write(new_division)

    async def _write(self, new_division: model.Shares) -> None:
        value = records.encode(new_division)
        try:
            version = await self._platform.write(
                records.SHARES, records.SHARES_NAME, value, if_version=new_division.version
            )
        except (errors.PlatformUnavailableError, errors.VersionConflictError) as error:
            # A write that took effect nevertheless is seen by the next check.
            _log.warning("could not write division {}: {}", new_division.number, error)
            return
        _log.info("wrote division {}: {}", new_division.number, dict(new_division.shares))
        self._publish([interfaces.StoredObject(records.SHARES, records.SHARES_NAME, version, value)])
