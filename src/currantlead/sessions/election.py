"""Decide when a service needs another primary, who acts, and which replica takes over: no input or output here."""

import dataclasses
import hashlib
from collections.abc import Iterable, Sequence

from currantlead.sessions import model

RANK_DELAY_S = 0.7
"""VMs act one after another, so that the first is done (about 0.5 s) before the next begins."""
TURN_S = 3.0
"""After another VM took the duty it has this long: an order takes effect up to a second later, and a second order
in between would roll back what the new primary has committed since."""
SILENT_S = 0.4
"""A primary that gave no good answer for this long is asked for its status, and replaced if that fails too."""
STUCK_S = 0.6
"""A primary that answers, but whose commits stayed unanswered for this long, may have lost its replicas; before it is
replaced, they are asked what they receive."""
ABSENT_S = 4.0
"""A service without a primary is left alone for this long: entries appear one by one, at intervals of up to 3.6 s."""
SETTLE_S = 6.0
"""After a promotion stuck commits are no reason for this long: a deaf replica would move the primary for ever."""
LEAST_REPLICAS = 2
"""With one synchronous replica of two, a commit may be on either; both must have stopped receiving."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Hold what a VM knows of a service's primary.

    Attributes:
        absent_s: Seconds for which no instance was taken for the primary, or 0.
        lapsed: Whether its entry disappeared.
        leaving: Whether it drains or its failure domain is evacuated.
        failing_s: Seconds for which nothing came back from it, or 0.
        stuck_s: Seconds for which its commits stayed unanswered, or 0.
        settled_s: Seconds since the last promotion that this VM knows of.
    """

    absent_s: float = 0.0
    lapsed: bool = False
    leaving: bool = False
    failing_s: float = 0.0
    stuck_s: float = 0.0
    settled_s: float = float("inf")


def reason_to_replace(seen: Observation) -> str:
    """Return why a primary has to be replaced, or an empty text."""
    if seen.absent_s >= ABSENT_S:
        return "no primary"
    if seen.leaving:
        return "leaving"
    if seen.lapsed:
        return "entry lapsed"
    if seen.failing_s >= SILENT_S:
        return "silent"
    if seen.stuck_s >= STUCK_S and seen.settled_s >= SETTLE_S:
        return "commits are stuck"
    return ""


def order(service: str, members: Iterable[str]) -> list[str]:
    """Return the VMs in the order in which they act for a service; it differs between services."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{service}/{name}".encode(), digest_size=8).digest()

    return sorted(members, key=weight)


def rank(service: str, own: str, members: Iterable[str]) -> int:
    """Return this VM's place among those that may act for a service."""
    return order(service, members).index(own)


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """Hold a replica that has stopped receiving.

    Attributes:
        instance: The replica.
        received: Position of the last commit that it has.
        preferred: Whether it stays: it neither drains nor lies in an evacuated failure domain.
    """

    instance: str
    received: model.Position
    preferred: bool


def choose(paused: Sequence[Paused], replicas: int) -> "Paused | str":
    """Return the replica that takes over, or the reason why none may.

    Args:
        paused: Replicas that have stopped receiving, with their positions.
        replicas: All replicas that may have acknowledged a commit; one that did not answer may hold the only copy.
    """
    if len(paused) < replicas:
        return f"{replicas - len(paused)} of {replicas} replicas did not answer"
    if len(paused) < LEAST_REPLICAS:
        return f"only {len(paused)} replicas are known"
    newest = max(item.received for item in paused)
    complete = [item for item in paused if item.received == newest]
    staying = [item for item in complete if item.preferred]
    if not staying:
        return "the newest replica leaves as well"
    return min(staying, key=lambda item: item.instance)
