"""Choice of the source of the store's objects: relays of the failure domain, or the store; all functions are pure.

Every call to the store is metered, so its number must not grow with the VMs of a failure domain. The VMs of a domain
are ranked; the first one watches the store, and the others follow those ranked before them.
"""

from collections.abc import Callable, Iterable, Sequence

from currantlead.sessions import model
from currantlead.sessions.decisions import capacity, holder_choice

MAX_RELAYS = 3
"""Number of VMs that serve as relays of a failure domain, in order of rank."""
MAX_RELAY_DELAY_S = 0.7
"""Maximum delay of a relay's confirmations; relays with a longer one are skipped. The configuration is watched for
1.5 s, so this leaves time for another poll and a call to the store before its age reaches 3 s, when new sessions are
refused."""
LATEST_DIRECT_DELAY_S = 1.4
"""Delay of the confirmations of this VM's own copies from which it watches the store, whatever its rank."""
DIRECT_STAGGER_S = 0.05
"""Delay per rank with which VMs turn to the store when no relay is fresh. If the store refuses only the relays, the
first VMs that it serves follow it in time; in an outage, a whole domain would otherwise call it at once."""
START_WAIT_S = 0.6
"""Time for which a starting VM waits for its first relay: all VMs may start at the same moment, and a relay needs this
long to read its own copies."""
START_STAGGER_S = 0.3
"""Additional wait of a starting VM per rank, up to ``MAX_RELAYS``, so that its first relays can be replaced in turn."""


PACED_START_WAIT_S = 0.2
"""The same per rank for the VMs that may be relays, if the start is paced: after a power loss the first relay may be a
slow machine, and no VM of its failure domain serves callers before a relay has read the store. The others wait as
usual, so that at most ``MAX_RELAYS`` VMs of a failure domain read the store at once."""


def rank_relays(own: model.Member, members: Iterable[model.Member]) -> list[str]:
    """Return the VMs of this VM's failure domain in the order in which they serve as relays."""
    in_domain = [member for member in members if member.domain == own.domain]
    ordered = capacity.sort_by_hash(in_domain, lambda member: holder_choice.rendezvous_weight("relay", member.name))
    return [member.name for member in ordered]


def choose_relays(ranked: Sequence[str], own: str, is_usable: Callable[[str], bool]) -> list[str]:
    """Return the VMs to poll, in order of preference: the first relays that are ranked before this VM."""
    return [name for name in ranked[: ranked.index(own)][:MAX_RELAYS] if is_usable(name)]


def watches_store_at_start(rank: int, waited_s: float, *, paced: bool = False) -> bool:
    """Return whether a VM without a complete copy watches the store, because no relay has sent one.

    Args:
        rank: Position of this VM among those of its failure domain; 0 is the first.
        waited_s: Seconds since it began to look for a relay.
        paced: Whether the start of all VMs is paced.
    """
    if paced and rank < MAX_RELAYS:
        return waited_s >= rank * PACED_START_WAIT_S
    return rank == 0 or waited_s >= START_WAIT_S + min(rank, MAX_RELAYS) * START_STAGGER_S


def delay_s(age_s: float, wait_s: float) -> float:
    """Return by how long the confirmation of a copy is delayed; negative if the next one is not due yet.

    Args:
        age_s: Seconds since the copy was confirmed.
        wait_s: Duration of one watch, in seconds, which confirms the copy at its end.
    """
    return age_s - wait_s


def watches_store(rank: int, longest_delay_s: float) -> bool:
    """Return whether a VM that has a complete copy watches the store, because no relay is fresh.

    Args:
        rank: Position of this VM among those of its failure domain; 0 is the first.
        longest_delay_s: Longest delay among the confirmations of its copies, in seconds.
    """
    if rank < MAX_RELAYS:
        return True
    return longest_delay_s >= min(LATEST_DIRECT_DELAY_S, MAX_RELAY_DELAY_S + (rank - MAX_RELAYS) * DIRECT_STAGGER_S)
