"""Requests for rate-limit tokens between VMs, and their replies."""

import dataclasses
from collections.abc import Sequence

from currantlead import errors, interfaces, logs, timers, wire

KIND = "tokens"
REQUEST_TIMEOUT_S = 0.3
"""Timeout of a request: far above a round trip between regions (20 ms), far below the lifetime of a grant."""
AVOID_UNREACHABLE_S = 1.0
"""Time for which no loans are requested from an unreachable owner, so that not every request waits for it."""

_log = logs.part("admission")


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request for tokens, or a report of spent ones; the body of a ``tokens`` frame.

    Attributes:
        organisation: Name of the organisation whose tokens are requested.
        want: Requested amount; 0 in a frame that only reports.
        need: Part of ``want`` that waiting requests lack; the owner borrows only for this part.
        loan: Whether the sender is an owner that borrows; the lender then does not borrow itself.
        level: Level of the borrower's bucket.
        room: Amount that the borrower can add to its level.
        spent: (grant number, total spent) of grants.
        returned: (grant number, total spent) of grants that the sender returns.
        handed_over: Level of the bucket of a former owner that has left; the receiver is to become the owner.
    """

    organisation: str
    want: int = 0
    need: int = 0
    loan: bool = False
    level: int = 0
    room: int = 0
    spent: tuple[tuple[int, int], ...] = ()
    returned: tuple[tuple[int, int], ...] = ()
    handed_over: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """Reply to a request for tokens.

    Attributes:
        owner: Whether the replying VM owns the bucket.
        grants: (number, amount, lifetime in seconds) of each grant.
        retry_after_s: Seconds until one more token is expected.
    """

    owner: bool
    grants: tuple[tuple[int, int, float], ...] = ()
    retry_after_s: float = 0.0


class TokenExchange:
    """Sends requests for tokens, and tracks which owners did not reply."""

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
        self._unreachable_until: dict[str, float] = {}

    def owners(self, organisation: str) -> Sequence[str]:
        """Return the owner in this domain, then those in other domains; recently unreachable ones come last."""
        domain, vm = self._peers.member.domain, self._peers.member.vm
        domains = [domain, *sorted(name for name in self._directory.views if name != domain)]
        owners = [self._membership.owner(organisation, each) for each in domains]
        return sorted((owner for owner in owners if owner is not None and owner != vm), key=self.is_unreachable)

    def is_unreachable(self, owner: str) -> bool:
        """Return whether an owner did not reply recently."""
        return self._unreachable_until.get(owner, 0.0) > self._clock.now()

    def has_unreachable_owner(self) -> bool:
        """Return whether any owner did not reply recently."""
        return any(self.is_unreachable(owner) for owner in self._unreachable_until)

    async def request(
        self, owner: str, request: TokenRequest, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> TokenReply | None:
        """Send a request to an owner; return None if there is no usable reply."""
        try:
            body = await self._peers.request(owner, KIND, wire.to_map(request), timeout_s=timeout_s)
            return wire.from_map(TokenReply, body)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError, TimeoutError):
            self._unreachable_until[owner] = self._clock.now() + AVOID_UNREACHABLE_S
        except errors.MalformedFrameError as error:
            _log.warning("malformed reply from bucket owner {}: {}", owner, error)
        return None

    def notify(self, owner: str, request: TokenRequest) -> None:
        """Send a report or returned grants without waiting for a reply; the frame may be lost."""
        self._peers.notify(owner, KIND, wire.to_map(request))
