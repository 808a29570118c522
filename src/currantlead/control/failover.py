"""Decide who monitors a database group, when its primary counts as failed, and which change is due."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from currantlead.control import drain, model

Rank = Callable[[str, Sequence[str]], Sequence[str]]
"""Orders candidates for a key, best first (``routing.placement.rank``)."""

SUSPECT_AFTER_S = 1.0
STAGGER_S = 1.5
CONTACT_LOST_S = 1.0
# Replicas that follow nobody after an abandoned promotion are told their primary first and hear it within 0.5 s.
ISOLATED_S = 0.75
ABANDONED_AFTER_S = 2.0
DOMAIN_EMPTY_S = 3.0
# A gap between two polls that is longer than this means that the monitor itself was paused.
PAUSE_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Hold what an instance reports about itself.

    Attributes:
        instance: Name of the instance.
        role: ``primary`` or ``replica``.
        term: Highest term that it was told.
        log_term: Term of the last record in its log, or None if the instance does not report it.
        index: Last applied index.
        received_index: Last index in its log.
        primary_contact_age: Seconds since it last heard its primary, or None if it never did.
        leaving: Whether it announced that it leaves.
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
    """Tell an instance a term; without a primary it only stops following older terms."""

    instance: str
    term: int
    role: str = "replica"
    primary: str = ""
    start_index: int | None = None


def majority(count: int) -> int:
    """Return the smallest number of instances that is a majority of ``count``."""
    return count // 2 + 1


def monitors(group: model.Group, views: Mapping[str, model.View], rank: Rank) -> tuple[str, ...]:
    """Return the VMs that monitor a group, in the order in which they act.

    Args:
        group: The group.
        views: Views by domain.
        rank: Orders candidates for a key.

    Returns:
        The first VM of each domain that has an instance; if these domains have no VM, up to three of all VMs.
    """
    domains = sorted({instance.domain for instance in group.instances})
    firsts = [first for domain in domains if (first := _first(group.name, views.get(domain), rank))]
    if firsts:
        return tuple(rank(group.name, firsts))
    others = sorted(member.vm for view in views.values() for member in view.members)
    return tuple(rank(group.name, others)[:3])


def own_rank(group: model.Group, views: Mapping[str, model.View], member: model.Member, rank: Rank) -> int | None:
    """Return this VM's place among the monitors of a group, or None if it is not one."""
    own_view = views.get(member.domain)
    local = any(instance.domain == member.domain for instance in group.instances)
    # Ranks only the own domain for most groups: at 600 VMs the full order for each group costs too much.
    if local and _first(group.name, own_view, rank) != member.vm:
        return None
    if not local and any(views[i.domain].members for i in group.instances if i.domain in views):
        return None
    order = monitors(group, views, rank)
    return order.index(member.vm) if member.vm in order else None


def _first(key: str, view: model.View | None, rank: Rank) -> str | None:
    if view is None or not view.members:
        return None
    return rank(key, [member.vm for member in view.members])[0]


class Suspicion:
    """Count how long a primary has given one monitor no answer."""

    def __init__(self, now: float):
        self._answered = now
        self._observed = now
        self._failures = 0

    def observe(self, now: float, *, answered: bool) -> None:
        """Take note of the result of one poll.

        Args:
            now: Clock reading at the end of the poll.
            answered: Whether a usable answer came.
        """
        paused = now - self._observed > PAUSE_S
        self._observed = now
        if answered or paused:
            self._answered = now
            self._failures = 0
        if not answered:
            self._failures += 1

    def suspects(self, now: float, place: int) -> bool:
        """Tell whether the monitor at a place in the order should act now.

        Two failed polls are needed, so that a single lost message and a pause of the monitor do not count.
        """
        silent = now - self._answered
        return self._failures >= 2 and silent >= SUSPECT_AFTER_S + STAGGER_S * place


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Say whether the instances confirm a suspicion, and why."""

    confirmed: bool
    reason: str


def weigh(group: model.Group, statuses: Mapping[str, Status | None]) -> Evidence:
    """Weigh what the instances say about a suspected primary.

    Args:
        group: The group's record.
        statuses: The latest answer of each instance, or None if it did not answer.

    Returns:
        Confirmed only if a majority of the instances, with at least one replica, has not heard the primary.
    """
    if statuses.get(group.primary) is not None:
        return Evidence(False, f"primary {group.primary} answers")
    answers = [statuses.get(instance.name) for instance in group.instances if instance.name != group.primary]
    if any(status is not None and status.term > group.term for status in answers):
        return Evidence(False, "an instance knows a higher term")
    silent = [status.instance for status in answers if status is not None and _lost_contact(status)]
    if not silent:
        return Evidence(False, "no replica has lost the primary")
    if 1 + len(silent) < majority(len(group.instances)):
        return Evidence(False, f"only {', '.join(silent)} lost the primary")
    return Evidence(True, f"primary {group.primary} is unreachable and {', '.join(silent)} lost it")


class Isolation:
    """Note how long too few replicas have heard a primary that answers the monitor itself."""

    def __init__(self) -> None:
        self._since: float | None = None

    def observe(self, now: float, *, isolated: bool) -> None:
        """Take note of one round of answers."""
        if not isolated:
            self._since = None
        elif self._since is None:
            self._since = now

    @property
    def suspected(self) -> bool:
        """Tell whether the last round showed an isolated primary."""
        return self._since is not None

    def confirmed(self, now: float) -> bool:
        """Tell whether two rounds agree, with time for replicas that were told to follow the primary to do so."""
        return self._since is not None and now - self._since >= ISOLATED_S


def is_isolated(group: model.Group, statuses: Mapping[str, Status | None]) -> bool:
    """Tell whether a primary that answers cannot reach a majority because the replicas have lost it.

    A promotion then needs a majority of the instances besides the primary, so all of these must answer and have lost
    it; a replica that does not answer is no evidence.
    """
    replicas = [statuses.get(instance.name) for instance in group.instances if instance.name != group.primary]
    lost = [s for s in replicas if s is not None and s.term == group.term and _lost_contact(s)]
    hearing = [s for s in replicas if s is not None and not _lost_contact(s)]
    needed = majority(len(group.instances))
    return len(lost) >= needed and 1 + len(hearing) < needed


def _lost_contact(status: Status) -> bool:
    return status.primary_contact_age is None or status.primary_contact_age >= CONTACT_LOST_S


def planned_reason(
    group: model.Group, configuration: model.Configuration, empty_since: Mapping[str, float], now: float
) -> str | None:
    """Return why the primary should move although it works, or None.

    Args:
        group: The group's record.
        configuration: The newest configuration.
        empty_since: Clock reading since which a domain has had no VM, by domain.
        now: Clock reading.

    Returns:
        A reason for the log, or None if the primary may stay.
    """
    primary = group.instance(group.primary)
    if primary is None or group.phase is not model.Phase.STABLE:
        return None
    if not drain.takes_new_work(drain.instance_state(configuration, primary)):
        return f"instance {primary.name} is leaving"
    if _empty(primary.domain, empty_since, now):
        return f"domain {primary.domain} has no VM"
    return None


def planned_target(
    group: model.Group,
    configuration: model.Configuration,
    empty_since: Mapping[str, float],
    statuses: Mapping[str, Status | None],
    now: float,
) -> str | None:
    """Return the replica that should take over in a planned change, or None if no better place exists."""
    eligible = [
        status
        for instance in group.instances
        if instance.name != group.primary
        and drain.takes_new_work(drain.instance_state(configuration, instance))
        and not _empty(instance.domain, empty_since, now)
        and (status := statuses.get(instance.name)) is not None
        and status.term == group.term
        and not status.leaving
    ]
    if not eligible:
        return None
    return max(eligible, key=lambda status: (status.received_index, status.instance)).instance


def _empty(domain: str, empty_since: Mapping[str, float], now: float) -> bool:
    return domain in empty_since and now - empty_since[domain] >= DOMAIN_EMPTY_S


def abandoned(seen_since: float, now: float) -> bool:
    """Tell whether an electing record, first seen unchanged at a clock reading, has no coordinator any more."""
    return now - seen_since >= ABANDONED_AFTER_S


def shared_index(group: model.Group, status: Status) -> int:
    """Return the last index up to which an instance's log is certain to match the current primary's.

    A log that ends in an older term may have diverged at the start of any later term, so the smallest counts.
    """
    if status.log_term is None:
        raise ValueError(f"{status.instance} does not report the term of its log")
    later = [start for term, start in group.starts.items() if term > status.log_term]
    return min([status.received_index, *later])


def install(group: model.Group, status: Status) -> SetTerm:
    """Return the message that gives an instance its role in the group's recorded term."""
    role = "primary" if status.instance == group.primary else "replica"
    start = group.starts.get(group.term, 0) if role == "primary" else shared_index(group, status)
    return SetTerm(status.instance, group.term, role, group.primary, start)


def lost_records(group: model.Group, statuses: Mapping[str, Status | None]) -> bool:
    """Tell whether a primary that does not act as one holds less than a replica, for instance after a restart.

    Giving it its role back would lose acknowledged writes. A primary in its role is not compared: it is asked before
    the replicas, which may have received newer records in between.
    """
    primary = statuses.get(group.primary)
    if primary is None or (primary.role == "primary" and primary.term == group.term):
        return False
    own = (primary.log_term or 0, primary.received_index)
    others = [status for name, status in statuses.items() if status is not None and name != group.primary]
    return any((status.log_term or 0, status.received_index) > own for status in others)


def repair(group: model.Group, status: Status, *, primary_answers: bool = False) -> SetTerm | None:
    """Return the message for an instance that does not act by the group's record, or None.

    Args:
        group: The group's record.
        status: The instance's answer.
        primary_answers: Whether the primary answered in the same round; a replica that does not hear it then follows
            another one.

    Returns:
        The message, or None if the instance acts by the record, or knows a higher term.
    """
    if group.phase is not model.Phase.STABLE or status.term > group.term or status.log_term is None:
        return None
    role = "primary" if status.instance == group.primary else "replica"
    astray = role == "replica" and primary_answers and _lost_contact(status)
    if status.term == group.term and status.role == role and not astray:
        return None
    return install(group, status)
