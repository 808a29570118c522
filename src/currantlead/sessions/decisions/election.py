"""Rules of failover: when a primary is replaced, and which VM acts.

All functions are pure; ``succession`` acts on their results.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

RANK_DELAY_S = 0.7
"""Delay per rank. A promotion takes about 0.5 s, so a VM acts only if those ranked before it did not."""
CLAIM_EXCLUSIVITY_S = 3.0
"""Time for which a VM does not promote after another VM has claimed the promotion of the service, or recorded its
order. A promotion takes effect up to 1 s after its call. After a longer time, the open order tells which instance to
promote."""
SILENCE_TIMEOUT_S = 0.4
"""A primary whose calls have only failed for this long is asked for its status, and replaced if that fails too."""
STUCK_COMMITS_TIMEOUT_S = 0.6
"""A live primary that has answered no commit for this long may have lost its replicas. Before it is replaced, the
replicas are asked whether they still receive commits."""
ABSENCE_TIMEOUT_S = 4.0
"""Time after which a service without a known primary gets a new one: the entries of its instances appear one by one, up
to 3.6 s apart, and the primary's may be the last."""
STUCK_COMMITS_COOLDOWN_S = 6.0
"""Time after a promotion in which stuck commits do not cause another. Otherwise a replica with broken replication would
keep commits stuck and cause repeated promotions."""
DEMOTION_TIMEOUT_S = 2.0
"""Time after which a service whose primary was demoted gets a new one, because the VM that demoted it has failed. A
promotion takes effect within 1.5 s of the demotion."""
ORDER_TIMEOUT_S = 2.5
"""Time after which another VM repeats an open order. The holder of the duty repeats its call every 1.2 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """State of a service's primary as one VM sees it.

    Attributes:
        absent_s: Seconds for which the service has had no known primary, or 0.
        lapsed: Whether the primary's entry has disappeared from the store.
        leaving: Whether the primary drains or its failure domain is evacuated.
        failing_s: Seconds since its first failure after its last successful answer, or 0.
        demoted_s: Seconds for which its entry has named it a replica, while no other instance is the primary, or 0.
        ordered_s: Seconds for which an order for a promotion has been open, or 0.
        stuck_s: Seconds for which its commits have been unanswered, or 0.
        since_promotion_s: Seconds since the last promotion that this VM knows of.
    """

    absent_s: float = 0.0
    lapsed: bool = False
    leaving: bool = False
    failing_s: float = 0.0
    demoted_s: float = 0.0
    ordered_s: float = 0.0
    stuck_s: float = 0.0
    since_promotion_s: float = float("inf")


def reason_to_replace(observed: Observation) -> str:
    """Return why the primary has to be replaced, or an empty string if it need not be."""
    if observed.absent_s >= ABSENCE_TIMEOUT_S:
        return "no primary"
    if observed.leaving:
        return "leaving"
    if observed.lapsed:
        return "entry lapsed"
    if observed.failing_s >= SILENCE_TIMEOUT_S:
        return "silent"
    if observed.demoted_s >= DEMOTION_TIMEOUT_S:
        return "demoted"
    if observed.ordered_s >= ORDER_TIMEOUT_S:
        return "order is open"
    if observed.stuck_s >= STUCK_COMMITS_TIMEOUT_S and observed.since_promotion_s >= STUCK_COMMITS_COOLDOWN_S:
        return "commits are stuck"
    return ""


def promotion_order(service: str, members: Iterable[str]) -> list[str]:
    """Return the VMs in the order in which they act for a service, which differs between services."""

    def sort_key(name: str) -> bytes:
        return hashlib.blake2b(f"{service}/{name}".encode(), digest_size=8).digest()

    return sorted(members, key=sort_key)


def rank(service: str, vm: str, members: Iterable[str]) -> int:
    """Return the position of a VM in the order in which VMs act for a service; 0 is the first."""
    return promotion_order(service, members).index(vm)
