"""Rules of failover: which VMs monitor a group, when its primary has failed, and which instance takes over.

The functions and detectors here do no I/O; ``coordinator`` feeds them with clock readings and statuses.
"""

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from currantlead.control import model, service_state

Rank = Callable[[str, Sequence[str]], Sequence[str]]
"""Function that orders candidates for a key, best first (``routing.placement.rank``)."""

SUSPECT_AFTER_S = 1.0
# Monitors act in the order of their rank: each waits this much longer than the one before.
STAGGER_S = 1.5
PRIMARY_CONTACT_TIMEOUT_S = 1.0
# After an abandoned promotion, replicas have no primary until they are told to follow the recorded one again, which
# takes up to 0.5 s. A shorter confirmation time would mistake this for an isolated primary.
ISOLATION_CONFIRM_S = 0.75
# Time without a new version of the group's record after which a promotion counts as abandoned.
ABANDONED_AFTER_S = 2.0
# Time without VMs after which a domain counts as empty, so that primaries in it are replaced.
DOMAIN_EMPTY_S = 3.0
# A longer gap between two polls means that the monitor itself was paused.
MONITOR_PAUSE_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status that an instance reports about itself.

    Attributes:
        instance: Name of the instance.
        role: ``primary`` or ``replica``.
        term: Highest term that the instance has accepted.
        log_term: Term of the last record in its log, or None if the instance does not report it.
        index: Last applied index.
        received_index: Last index in its log.
        primary_contact_age: Seconds since its last contact with its primary, or None if there was none.
        leaving: Whether the instance announced its shutdown.
    """

    instance: str
    role: str
    term: int
    log_term: int | None
    index: int
    received_index: int
    primary_contact_age: float | None = None
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SetTerm:
    """Command that sets the term of an instance.

    Attributes:
        instance: Name of the instance.
        term: The term.
        role: ``primary`` or ``replica``.
        primary: Name of the primary in this term; if empty, the instance rejects primaries of older terms but
            follows none yet.
        start_index: Index after which the instance truncates its log if the log ends in an older term, or None to keep
            all records.
    """

    instance: str
    term: int
    role: str = "replica"
    primary: str = ""
    start_index: int | None = None


def majority(count: int) -> int:
    """Return the size of the smallest majority of ``count`` instances."""
    return count // 2 + 1


def monitor_vms(group: model.Group, views: Mapping[str, model.View], rank: Rank) -> tuple[str, ...]:
    """Return the VMs that monitor a group, in the order in which they act on a failure.

    Args:
        group: The group.
        views: Views by domain.
        rank: Function that orders candidates for a key.

    Returns:
        The highest-ranked VM of each domain that has an instance of the group. If none of these domains has a VM, the
        three highest-ranked of all VMs.
    """
    domains = sorted({instance.domain for instance in group.instances})
    first_vms = [first for domain in domains if (first := _first_vm(group.name, views.get(domain), rank))]
    if first_vms:
        return tuple(rank(group.name, first_vms))
    others = sorted(member.vm for view in views.values() for member in view.members)
    return tuple(rank(group.name, others)[:3])


def monitor_rank_of(
    group: model.Group, views: Mapping[str, model.View], member: model.Member, rank: Rank
) -> int | None:
    """Return the rank of a VM among the monitors of a group, from 0, or None if it does not monitor the group."""
    own_view = views.get(member.domain)
    local = any(instance.domain == member.domain for instance in group.instances)
    # For most groups only this VM's own domain is ranked: with 600 VMs, ranking all of them for each group is too slow.
    if local and _first_vm(group.name, own_view, rank) != member.vm:
        return None
    if not local and any(views[i.domain].members for i in group.instances if i.domain in views):
        return None
    ordered_vms = monitor_vms(group, views, rank)
    return ordered_vms.index(member.vm) if member.vm in ordered_vms else None


def _first_vm(key: str, view: model.View | None, rank: Rank) -> str | None:
    if view is None or not view.members:
        return None
    return rank(key, [member.vm for member in view.members])[0]


class FailureDetector:
    """Failure detector of one monitor for one primary, based on the time since the last answer."""

    def __init__(self, now: float):
        self._last_answer = now
        self._last_poll = now
        self._failures = 0

    def observe(self, now: float, *, answered: bool) -> None:
        """Record the result of a poll.

        Args:
            now: Clock reading at the end of the poll.
            answered: Whether the primary gave a usable answer.
        """
        paused = now - self._last_poll > MONITOR_PAUSE_S
        self._last_poll = now
        if answered or paused:
            self._last_answer = now
            self._failures = 0
        if not answered:
            self._failures += 1

    def suspects(self, now: float, monitor_rank: int) -> bool:
        """Return whether the monitor suspects the primary; the timeout grows with the rank of the monitor.

        Requires two failed polls, so that neither one lost message nor a pause of the monitor makes it suspect the
        primary.

        Args:
            now: Clock reading.
            monitor_rank: Rank of the monitor, from 0.
        """
        unanswered_s = now - self._last_answer
        return self._failures >= 2 and unanswered_s >= SUSPECT_AFTER_S + STAGGER_S * monitor_rank


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """Whether the instances confirm the failure of a primary, with the reason for the log."""

    confirmed: bool
    reason: str


def assess_failure(group: model.Group, statuses: Mapping[str, InstanceStatus | None]) -> Assessment:
    """Decide from the statuses of the instances whether a suspected primary has failed.

    Args:
        group: The group's record.
        statuses: Latest status of each instance by name, or None if it did not answer.

    Returns:
        Confirmed only if a majority of the instances, at least one replica among them, is out of contact with the
        primary. The primary counts as one of them, as it did not answer.
    """
    if statuses.get(group.primary) is not None:
        return Assessment(False, f"primary {group.primary} still answers")
    replicas = [statuses.get(instance.name) for instance in group.instances if instance.name != group.primary]
    if any(status is not None and status.term > group.term for status in replicas):
        return Assessment(False, "an instance has a higher term than the group record")
    out_of_contact = [status.instance for status in replicas if status is not None and _has_lost_primary(status)]
    if not out_of_contact:
        return Assessment(False, "no replica has lost contact with the primary")
    if 1 + len(out_of_contact) < majority(len(group.instances)):
        return Assessment(False, f"only {', '.join(out_of_contact)} lost contact with the primary")
    return Assessment(
        True, f"primary {group.primary} does not answer and {', '.join(out_of_contact)} lost contact with it"
    )


class IsolationDetector:
    """Detector of a primary that answers the monitor but has lost contact with its replicas."""

    def __init__(self) -> None:
        self._isolated_since: float | None = None

    def observe(self, now: float, *, isolated: bool) -> None:
        """Record whether a round of statuses shows an isolated primary (``is_isolated``)."""
        if not isolated:
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now

    @property
    def suspected(self) -> bool:
        """Whether the last round showed an isolated primary."""
        return self._isolated_since is not None

    def confirmed(self, now: float) -> bool:
        """Return whether at least two rounds agree, far enough apart for replicas to reconnect to the primary."""
        return self._isolated_since is not None and now - self._isolated_since >= ISOLATION_CONFIRM_S


def is_isolated(group: model.Group, statuses: Mapping[str, InstanceStatus | None]) -> bool:
    """Return whether a primary that answers the monitor has lost contact with a majority of the instances.

    The old primary cannot vote in the promotion that follows, so a majority of all instances must be replicas that
    answer and report the loss. A replica that does not answer is not counted, as its silence proves nothing.
    """
    replicas = [statuses.get(instance.name) for instance in group.instances if instance.name != group.primary]
    out_of_contact = [s for s in replicas if s is not None and s.term == group.term and _has_lost_primary(s)]
    in_contact = [s for s in replicas if s is not None and not _has_lost_primary(s)]
    needed = majority(len(group.instances))
    return len(out_of_contact) >= needed and 1 + len(in_contact) < needed


def _has_lost_primary(status: InstanceStatus) -> bool:
    return status.primary_contact_age is None or status.primary_contact_age >= PRIMARY_CONTACT_TIMEOUT_S


def switchover_reason(
    group: model.Group, configuration: model.Configuration, empty_since: Mapping[str, float], now: float
) -> str | None:
    """Decide whether a working primary should be replaced by a switchover.

    Args:
        group: The group's record.
        configuration: The newest configuration.
        empty_since: Clock reading at which a domain was first seen without VMs, by domain.
        now: Clock reading.

    Returns:
        The reason for the log, or None if no switchover is due.
    """
    primary = group.instance(group.primary)
    if primary is None or group.phase is not model.Phase.STABLE:
        return None
    if not service_state.accepts_new_work(service_state.instance_state(configuration, primary)):
        return f"primary {primary.name} is not in service"
    if _is_empty(primary.domain, empty_since, now):
        return f"domain {primary.domain} of the primary has no VM"
    return None


def switchover_target(
    group: model.Group,
    configuration: model.Configuration,
    empty_since: Mapping[str, float],
    statuses: Mapping[str, InstanceStatus | None],
    now: float,
) -> str | None:
    """Choose the replica to promote in a switchover.

    Args:
        group: The group's record.
        configuration: The newest configuration.
        empty_since: Clock reading at which a domain was first seen without VMs, by domain.
        statuses: Latest status of each instance by name, or None if it did not answer.
        now: Clock reading.

    Returns:
        The most up-to-date replica that is in service, in a domain with VMs, or None if there is none.
    """
    eligible = [
        status
        for instance in group.instances
        if instance.name != group.primary
        and service_state.accepts_new_work(service_state.instance_state(configuration, instance))
        and not _is_empty(instance.domain, empty_since, now)
        and (status := statuses.get(instance.name)) is not None
        and status.term == group.term
        and not status.leaving
    ]
    if not eligible:
        return None
    return max(eligible, key=lambda status: (status.received_index, status.instance)).instance


def _is_empty(domain: str, empty_since: Mapping[str, float], now: float) -> bool:
    return domain in empty_since and now - empty_since[domain] >= DOMAIN_EMPTY_S


def is_abandoned(seen_since: float, now: float) -> bool:
    """Return whether a promotion has made no progress for so long that its coordinator is presumed to have failed.

    Args:
        seen_since: Clock reading at which the group's record was first seen in its present version, whose phase is
            ``ELECTING``.
        now: Clock reading.
    """
    return now - seen_since >= ABANDONED_AFTER_S


def match_index(group: model.Group, status: InstanceStatus) -> int:
    """Return the highest index up to which an instance's log is certain to match the current primary's log.

    A log that ends in an older term may differ from the primary's log from the start of any later term on, so the index
    is limited to the smallest of these starts.

    Raises:
        ValueError: The instance does not report the term of its log.
    """
    if status.log_term is None:
        raise ValueError(f"{status.instance} does not report the term of its log")
    later = [start for term, start in group.starts.items() if term > status.log_term]
    return min([status.received_index, *later])


def role_command(group: model.Group, status: InstanceStatus) -> SetTerm:
    """Return the command that gives an instance its role in the group's recorded term."""
    role = "primary" if status.instance == group.primary else "replica"
    start = group.starts.get(group.term, 0) if role == "primary" else match_index(group, status)
    return SetTerm(status.instance, group.term, role, group.primary, start)


def primary_lost_records(group: model.Group, statuses: Mapping[str, InstanceStatus | None]) -> bool:
    """Return whether the recorded primary dropped its role and holds fewer records than a replica, as after a restart.

    Giving the role back to it would lose acknowledged writes. A primary that still has its role is not compared: it is
    polled before the replicas, which may have received newer records in between.
    """
    primary = statuses.get(group.primary)
    if primary is None or (primary.role == "primary" and primary.term == group.term):
        return False
    own = (primary.log_term or 0, primary.received_index)
    others = [status for name, status in statuses.items() if status is not None and name != group.primary]
    return any((status.log_term or 0, status.received_index) > own for status in others)


def role_correction(group: model.Group, status: InstanceStatus, *, primary_answers: bool = False) -> SetTerm | None:
    """Return the command that corrects the role of an instance, or None if none is needed.

    Args:
        group: The group's record.
        status: Latest status of the instance.
        primary_answers: Whether the primary answered in the same round. If it did, a replica without contact with it
            must be following another instance.

    Returns:
        The command, or None if the instance has its recorded role, has a higher term or does not report the term of its
        log, or if a promotion is under way.
    """
    if group.phase is not model.Phase.STABLE or status.term > group.term or status.log_term is None:
        return None
    role = "primary" if status.instance == group.primary else "replica"
    follows_other_primary = role == "replica" and primary_answers and _has_lost_primary(status)
    if status.term == group.term and status.role == role and not follows_other_primary:
        return None
    return role_command(group, status)
