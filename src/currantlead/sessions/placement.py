"""Order the instances that may run a read: pure decisions on what is known."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe an instance that may run a read.

    Attributes:
        id: Identity of the instance.
        distance: 0 in this failure domain, 1 in this region, 2 elsewhere.
        primary: Whether it is taken for the primary, whose slots writes need.
        suspect: Whether it was silent or refused connections a moment ago.
        behind: Whether it lacked the position a moment ago.
        saturated: Whether the statement would have to wait for a connection.
        free_connection: Whether a connection of the caller's organisation is free.
        waiting: Statements that wait for a connection already.
    """

    id: str
    distance: int
    primary: bool
    suspect: bool
    behind: bool
    saturated: bool
    free_connection: bool
    waiting: int


def distance(own_domain: str, own_region: str, domain: str, region: str) -> int:
    """Return how far an instance is: 0 in the same failure domain, 1 in the same region, 2 elsewhere."""
    if domain == own_domain:
        return 0
    return 1 if region == own_region else 2


def order_readers(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates, best first.

    Near instances go first, because traffic between regions is dear and slow; one whose connections are all in use
    loses to a farther one that can serve at once.
    """
    return sorted(
        candidates,
        key=lambda item: (
            item.suspect,
            item.behind,
            item.saturated,
            item.distance,
            item.primary,
            item.waiting,
            not item.free_connection,
            item.id,
        ),
    )
