"""Contact with VMs that may replace a primary, without which no commit is sent to it or left to wait there.

A region that is cut off may have the primary, VMs, and a replica that started there and that nobody outside knows. What
these acknowledge is lost when a replica outside is promoted. A VM therefore takes commits only while VMs of another
region tell it that no other instance is to lead. All functions are pure.

A cut need not follow the regions. VMs on the same side then give each other contact, and a VM on the other side that
has not told them of its order must not promote.
"""

import dataclasses
from collections.abc import Collection, Mapping, Sequence

from currantlead.sessions import model
from currantlead.sessions.decisions import holder_choice

AGE_LIMIT_S = 0.35
"""Age up to which contact allows commits: a round trip between regions takes up to 0.1 s."""
REFRESH_AGE_S = 0.15
"""Age from which contact is refreshed while there are commits."""
ROUND_S = 0.25
"""Time limit of one round of questions; together with ``REFRESH_AGE_S`` it exceeds ``AGE_LIMIT_S``, so that contact is
lost with the first round without an answer."""
LOST_S = 0.5
"""Time after a round without an answer in which commits are refused at once. Each of them begins another round."""
SILENCE_S = 0.5
"""Time after which a VM that got no answer since has broken off all its commits: ``REFRESH_AGE_S``, ``ROUND_S`` and a
delay of its event loop."""
CLAIM_LIMIT_S = 10.0
"""Time for which a claim of another VM without an order forbids commits, if only the store answers. An attempt takes
about as long if each of its steps reaches its time limit."""
MAX_REPORTING_VMS = 16
"""Number of VMs up to which all report on commits before a promotion."""
PARTNERS_PER_GROUP = 2
"""Number of VMs of each region that are asked for contact, and that record commits."""


def choose_partners(members: Sequence[model.Member], region_of: Mapping[str, str]) -> list[model.Member]:
    """Return the VMs that all others ask for contact: some of each region.

    Args:
        members: All VMs.
        region_of: Region of each failure domain.
    """
    by_region: dict[str, list[model.Member]] = {}
    for member in sorted(members, key=_rank):
        by_region.setdefault(region_of.get(member.domain, member.domain), []).append(member)
    return [member for of_region in by_region.values() for member in of_region[:PARTNERS_PER_GROUP]]


def _rank(member: model.Member) -> float:
    return holder_choice.rendezvous_weight("contact", member.name)


def map_partners(members: Sequence[model.Member], region_of: Mapping[str, str]) -> dict[str, list[str]]:
    """Return for each VM the names of those that it asks for contact.

    They are in other regions, because a region may be cut off as a whole. Without other regions they are in other
    failure domains, and without these any other VMs.

    Args:
        members: All VMs.
        region_of: Region of each failure domain.
    """
    by_region = {member.name: region_of.get(member.domain, member.domain) for member in members}
    by_domain = {member.name: member.domain for member in members}
    groups = next((found for found in (by_region, by_domain) if len(set(found.values())) > 1), None)
    if groups is None:
        first = sorted(members, key=_rank)[: PARTNERS_PER_GROUP + 1]
        return {
            member.name: [other.name for other in first if other is not member][:PARTNERS_PER_GROUP]
            for member in members
        }
    chosen = choose_partners(members, region_of if groups is by_region else {})
    of_group = {
        group: [partner.name for partner in chosen if groups[partner.name] != group] for group in set(groups.values())
    }
    return {name: of_group[group] for name, group in groups.items()}


def select_reporting(members: Sequence[model.Member], region_of: Mapping[str, str]) -> list[model.Member]:
    """Return the VMs that report on commits in any case: all, or those that others ask for contact.

    The VM of a caller knows the bounds of its commits better than a holder, and a holder may be gone.

    Args:
        members: All VMs.
        region_of: Region of each failure domain.
    """
    return list(members) if len(members) <= MAX_REPORTING_VMS else choose_partners(members, region_of)


def find_contact_among(silent: Collection[str], partners: Mapping[str, Collection[str]]) -> list[str]:
    """Return which of the VMs that were not told of a promotion may give another one of them contact.

    Args:
        silent: Names of the VMs that were not told.
        partners: For each VM those that it asks for contact.
    """
    return sorted({partner for vm in silent for partner in partners.get(vm, ()) if partner in silent})


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer of a VM to the question whether another instance is to lead.

    Attributes:
        ordered: For services with an order, the only instance that may get commits, or an empty identity for none.
        generation: Highest generation number of a claim that is known.
    """

    ordered: Mapping[str, str]
    generation: int


@dataclasses.dataclass(slots=True)
class Contact:
    """Latest contact of a VM about one service.

    Attributes:
        asked_at: Clock reading at which the latest question that was answered was sent, in seconds.
        lost_at: Clock reading at which a question since then remained without an answer, or negative infinity.
        ordered: The only instance that may get commits by the latest answer, empty if none may, None if any may.
        generation: Highest generation number of a claim in an answer.
    """

    asked_at: float = float("-inf")
    lost_at: float = float("-inf")
    ordered: str | None = None
    generation: int = 0

    def record_answer(self, service: str, asked_at: float, answer: Answer) -> None:
        """Record the answer to a question that was sent at a clock reading."""
        self.asked_at, self.lost_at = asked_at, float("-inf")
        self.ordered = answer.ordered.get(service)
        self.generation = max(self.generation, answer.generation)

    def covers(self, at: float) -> bool:
        """Return whether the contact is recent enough for a commit at a clock reading."""
        return self.asked_at >= at - AGE_LIMIT_S

    def is_lost(self, now: float) -> bool:
        """Return whether commits are refused without another question, because one has just had no answer."""
        return now - self.lost_at < LOST_S

    def refresh_in_s(self, now: float) -> float:
        """Return the seconds until contact should be refreshed while there are commits; 0 if it should be now."""
        return max(0.0, self.asked_at + REFRESH_AGE_S - now)

    def allows(self, instance_id: str) -> bool:
        """Return whether an instance may get commits by the latest answer."""
        return self.ordered is None or self.ordered == instance_id
