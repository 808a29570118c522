"""Choice of the VMs that hold an instance's connections, by rendezvous hashing; all functions are pure."""

import dataclasses
import hashlib
from collections.abc import Callable, Sequence

from currantlead.sessions import model
from currantlead.sessions.decisions import capacity, placement

AFFINITY_S = 0.05
"""Cost of sending an organisation's order to another holder than its preferred one, in seconds: opening a connection
takes 12 ms and a slot, each holder keeps connections of more organisations afterwards, and chance differences between
the holders must not move orders back and forth."""
HOLDER_SPREAD_S = 0.5
"""Difference of the expected completions, above the cost, at which all orders go to the other holder at once; a lasting
smaller one moves them in a second or two."""
MAX_UNKNOWN_SHARE = 0.1
"""Maximum share of the orders for a holder whose load is unknown; the first response tells it."""


def rank_holders(instance: model.Instance, members: Sequence[model.Member], count: int) -> list[str]:
    """Return all VMs in order of preference as holders of an instance; the first ``count`` reachable ones are used.

    The list starts with ``count + 1`` VMs in the instance's failure domain, so that one of them may be down. If more
    are down, the domain is probably unreachable, so VMs in other domains follow, which may still reach the instance.
    VMs are preferred in proportion to the capacities in their records.
    """
    ordered = capacity.sort_by_hash(members, lambda member: rendezvous_weight(instance.id, member.name))
    in_domain = [member.name for member in ordered if member.domain == instance.domain]
    elsewhere = [member.name for member in ordered if member.domain != instance.domain]
    return in_domain[: count + 1] + elsewhere + in_domain[count + 1 :]


def order_holders(
    holders: Sequence[model.Member], *subject: str, level_of: Callable[[str], int] | None = None
) -> list[str]:
    """Return the holders of an instance in the order in which a VM tries them.

    Args:
        holders: The holders that were chosen.
        subject: What is divided among them: an organisation, and the VM for one that is spread over all holders.
        level_of: Returns the step of overload of a VM; one that gives up the subject comes after the others. None if
            overload is not reported.
    """

    def hash_of(member: model.Member) -> bytes:
        return rendezvous_weight(subject[0], member.name, *subject[1:])

    ordered = capacity.sort_by_hash(holders, hash_of)
    if level_of is not None:
        ordered.sort(key=lambda member: capacity.gives_up(hash_of(member), level_of(member.name)))
    return [member.name for member in ordered]


def rendezvous_weight(*names: str) -> bytes:
    """Return the rendezvous hashing weight of a combination of names."""
    return hashlib.blake2b("/".join(names).encode(errors="surrogateescape"), digest_size=8).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class OtherHolder:
    """Holder that may replace the preferred one.

    Attributes:
        index: Its index; 0 if all orders go to the preferred holder.
        probability: Share of the orders that go there.
        share: The share that has grown with time, for the next decision.
    """

    index: int
    probability: float
    share: placement.LeavingShare


def choose_other(
    estimates: Sequence[placement.Estimate | None], share: placement.LeavingShare, now: float
) -> OtherHolder:
    """Return the holder that may replace the preferred one, and the share of the orders that go there.

    Args:
        estimates: What an order has to expect at each holder, the preferred one first; None without a report.
        share: The share that the last decision for this preferred holder returned.
        now: Clock reading, in seconds.
    """
    preferred = estimates[0] if estimates else None
    if preferred is None or len(estimates) == 1:
        return OtherHolder(0, 0.0, share)
    preferred_s = preferred.round_trip_s + preferred.wait_s
    best_index, best_gain = 0, 0.0
    for index, estimate in enumerate(estimates[1:], start=1):
        other_s = preferred.round_trip_s if estimate is None else estimate.round_trip_s + estimate.wait_s
        limit = 1.0 if estimate is not None else MAX_UNKNOWN_SHARE
        gain = min(limit, (preferred_s - other_s - AFFINITY_S) / HOLDER_SPREAD_S)
        if gain > best_gain:
            best_index, best_gain = index, gain
    share = placement.advance(share, best_gain, now)
    if not best_index:
        return OtherHolder(0, 0.0, share)
    limit = 1.0 - placement.MIN_HOME_SHARE if estimates[best_index] is not None else MAX_UNKNOWN_SHARE
    return OtherHolder(best_index, min(limit, best_gain + share.share), share)
