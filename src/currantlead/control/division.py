"""Divide all rates over the failure domains that take part."""

from collections.abc import Callable, Iterable, Mapping

from currantlead import errors, interfaces, logs, timers
from currantlead.admission import shares as division
from currantlead.control import drain, duties, model, records

CHECK_S = 0.5
STEADY_S = 3.0
"""A wanted division must stay the same for this long, so that a VM that restarts moves no shares."""

_log = logs.part("division")


def wanted(configuration: model.Configuration, views: Mapping[str, model.View]) -> dict[str, float]:
    """Return the share that each domain should have.

    Args:
        configuration: The newest configuration.
        views: The newest views.

    Returns:
        Equal shares for the domains that are in service and have a VM in their view; empty if there is none.
    """
    names = [
        name
        for name in configuration.domains
        if drain.takes_new_work(drain.domain_state(configuration, name)) and name in views and views[name].members
    ]
    return {name: 1.0 / len(names) for name in sorted(names)}


def advance(current: model.Shares, target: Mapping[str, float], views: Mapping[str, model.View]) -> model.Shares | None:
    """Return the next division, or None if there is nothing to change now.

    Args:
        current: The newest division.
        target: The wanted shares.
        views: The newest views.

    Returns:
        The next division. Its ``previous`` is the current one, which must have settled: otherwise a domain could still
        use a share that two divisions ago was given to another.
    """
    if not target or dict(current.shares) == dict(target) or not division.settled(current, views):
        return None
    return model.Shares(
        number=current.number + 1,
        shares=dict(target),
        previous=dict(current.shares),
        confirmed=dict(current.confirmed),
        version=current.version,
    )


class Divider:
    """Write the division of rates; one VM acts at a time, and conditional updates protect against two."""

    def __init__(
        self,
        *,
        platform: interfaces.Platform,
        directory: interfaces.Directory,
        clock: timers.Timers,
        member: model.Member,
        publish: Callable[[Iterable[interfaces.StoredObject]], None] = lambda written: None,
    ):
        """Create the part.

        Args:
            platform: Client of the platform.
            directory: Shared state known at this VM.
            clock: Timer service.
            member: This VM's identity.
            publish: Called with the object that was written.
        """
        self._platform = platform
        self._directory = directory
        self._clock = clock
        self._member = member
        self._publish = publish
        self._target: dict[str, float] = {}
        self._since = clock.now()
        self._subscription: timers.Subscription | None = None

    def start(self) -> None:
        """Begin to compare the division with the wanted one."""
        self._subscription = self._clock.subscribe("division", CHECK_S, self.check)

    def stop(self) -> None:
        """End the comparison."""
        if self._subscription is not None:
            self._subscription.cancel()

    async def check(self) -> None:
        """Write the next division if this VM is the one to do it and the wanted division is steady."""
        views = self._directory.views
        if not duties.is_assigned("division", views, self._member.vm):
            return
        current = self._directory.shares
        target = wanted(self._directory.configuration, views)
        if target != self._target:
            self._target, self._since = target, self._clock.now()
        if current.number > 0 and self._clock.now() - self._since < STEADY_S:
            return
        following = advance(current, target, views)
        if following is not None:
            await self._write(following)

    async def _write(self, following: model.Shares) -> None:
        value = records.encode(following)
        try:
            version = await self._platform.write(
                records.SHARES, records.SHARES_NAME, value, if_version=following.version
            )
        except (errors.PlatformUnavailableError, errors.VersionConflictError) as error:
            # The next check reads what the store holds by then; a write that took effect is seen there.
            _log.warning("division {} not written: {}", following.number, error)
            return
        _log.info("division {}: {}", following.number, dict(following.shares))
        self._publish([interfaces.StoredObject(records.SHARES, records.SHARES_NAME, version, value)])
