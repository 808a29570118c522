"""Carry questions for tokens and their answers between VMs."""

import dataclasses
from collections.abc import Sequence

from currantlead import errors, interfaces, logs, timers, wire

KIND = "tokens"
ASK_TIMEOUT_S = 0.3
"""Patience with an owner; far above a round trip between regions (20 ms), far below the lifetime of a grant."""
AVOID_S = 1.0
"""Time for which an unreachable owner is not asked for loans, so that each request does not wait for it."""

_log = logs.part("admission")


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Ask an owner for tokens; the body of a ``tokens`` frame.

    Attributes:
        organisation: Whose tokens.
        want: Amount; 0 in a frame that only reports.
        need: The part of ``want`` that waiting requests lack; only this is worth a loan.
        loan: Whether the sender is an owner that borrows; a lender does not borrow itself.
        level: Borrower's level.
        room: What the borrower can add to its level.
        spent: (grant, whole amount spent) pairs.
        returned: (grant, whole amount spent) of grants that the sender gives back.
    """

    organisation: str
    want: int = 0
    need: int = 0
    loan: bool = False
    level: int = 0
    room: int = 0
    spent: tuple[tuple[int, int], ...] = ()
    returned: tuple[tuple[int, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """Answer an ask.

    Attributes:
        owner: Whether the answering VM owns the bucket.
        grants: (number, amount, lifetime in seconds) of each grant.
        retry_after_s: When one more token is expected.
    """

    owner: bool
    grants: tuple[tuple[int, int, float], ...] = ()
    retry_after_s: float = 0.0


class Exchange:
    """Send asks, and remember which owners did not answer."""

    def __init__(
        self,
        directory: interfaces.Directory,
        membership: interfaces.Membership,
        peers: interfaces.Peers,
        clock: timers.Timers,
    ):
        self._directory = directory
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._avoid: dict[str, float] = {}

    def owners(self, organisation: str) -> Sequence[str]:
        """Return the owner in this domain, then those of other domains; recently unreachable ones last."""
        domain, vm = self._peers.member.domain, self._peers.member.vm
        names = [domain, *sorted(name for name in self._directory.views if name != domain)]
        found = [self._membership.owner(organisation, name) for name in names]
        return sorted((owner for owner in found if owner is not None and owner != vm), key=self.avoids)

    def avoids(self, owner: str) -> bool:
        """Tell whether an owner did not answer recently."""
        return self._avoid.get(owner, 0.0) > self._clock.now()

    def isolated(self) -> bool:
        """Tell whether any owner did not answer recently."""
        return any(self.avoids(owner) for owner in self._avoid)

    async def send(self, owner: str, ask: Ask, timeout_s: float = ASK_TIMEOUT_S) -> Given | None:
        """Ask an owner; return None if there is no usable answer."""
        try:
            body = await self._peers.request(owner, KIND, wire.to_map(ask), timeout_s=timeout_s)
            return wire.from_map(Given, body)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError, TimeoutError):
            self._avoid[owner] = self._clock.now() + AVOID_S
        except errors.MalformedFrameError as error:
            _log.warning("owner {} gave a malformed answer: {}", owner, error)
        return None

    def tell(self, owner: str, ask: Ask) -> None:
        """Send reports or hand-backs; they may be lost."""
        self._peers.notify(owner, KIND, wire.to_map(ask))
