"""Borrow connections to an instance from the VMs that hold them."""

from collections.abc import Callable, Mapping, Sequence

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, holders, link, model, pool, statements

LEND, EXCHANGE, RETURN = "lend", "exchange", "return"
ANSWER_MARGIN_S = 0.1
"""Time for frames between VMs beyond the time that the holder itself waits; two round trips between regions."""
DOWN_S = 1.0
"""A holder that did not answer is passed over for this long."""

_log = logs.part("holder")


class BorrowedLink(link.Conversation):
    """Use a connection that another VM holds."""

    def __init__(
        self,
        instance: model.Instance,
        organisation: str,
        peers: network.Network,
        holder: str,
        loan: int,
    ):
        super().__init__(instance, organisation)
        self.holder = holder
        self.loan = loan
        self._peers = peers
        self._open = True

    @property
    def open(self) -> bool:
        """Tell whether the connection has not been closed here."""
        return self._open

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and outside a transaction."""
        return self._open and self.state is statements.TransactionState.IDLE

    def abort(self) -> None:
        """Give the connection back to be dropped."""
        if self._open:
            self.give_back(keep=False)

    def give_back(self, *, keep: bool) -> None:
        """Return the connection to its holder, with what is set on it."""
        self._open = False
        prepared = [[writes, shape, name] for (writes, shape), name in self.prepared.items()]
        body = {"loan": self.loan, "values": self.values, "prepared": prepared, "keep": keep}
        self._peers.notify(self.holder, RETURN, body)

    async def exchange(self, messages: bytes, *, count: int = 1, timeout_s: float) -> list[statements.Reply]:
        """Send messages together and return their answers; see ``Conversation.exchange``."""
        if not self._open:
            raise errors.LinkLostError("the loan has ended", sent=False)
        asked_at = clock.now()
        body = {"loan": self.loan, "messages": messages, "count": count, "timeout_s": timeout_s}
        try:
            answer = await self._peers.request(self.holder, EXCHANGE, body, timeout_s=timeout_s + ANSWER_MARGIN_S)
        except errors.PeerUnreachableError as error:
            self.abort()
            raise errors.LinkLostError(f"holder {self.holder}: {error}", sent=False) from error
        except errors.PeerAnswerLostError as error:
            self.abort()
            raise errors.LinkLostError(f"holder {self.holder}: {error}", sent=True) from error
        if "lost" in answer:
            self._open = False
            raise errors.LinkLostError(answer["lost"], sent=answer["sent"], timed_out=answer["timed_out"])
        replies = [holders.decode_reply(values, asked_at) for values in answer["replies"]]
        self.state = replies[-1].state
        return replies


class BorrowingPool:
    """Lend connections to this VM's sessions that other VMs hold; see ``pool.Pool``."""

    def __init__(
        self, instance: model.Instance, peers: network.Network, candidates: Callable[[model.Instance], Sequence[str]]
    ):
        self.instance = instance
        self.limit = 0
        self.waiting = 0
        self.idle = 0
        self.busy = 0
        self._peers = peers
        self._candidates = candidates
        self._down_until: dict[str, float] = {}
        self._refused_at = 0.0

    @property
    def saturated(self) -> bool:
        """Tell whether holders had nothing to lend a moment ago."""
        return clock.now() - self._refused_at < pool.FULL_PAUSE_S / 3

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is free; only the holders know."""
        return False

    async def acquire(
        self, organisation: str, values: Mapping[str, str], *, priority: int, timeout_s: float
    ) -> BorrowedLink:
        """Borrow a connection of an organisation.

        Each organisation has its own order of holders, so that its connections are found again.

        Raises:
            errors.PoolUnavailableError: No holder lent one in time.
        """
        deadline = clock.now() + timeout_s
        names = self._candidates(self.instance)
        order = sorted(names, key=lambda name: holders.weight(organisation, name))
        alive = [name for name in order if self._down_until.get(name, 0.0) < clock.now()]
        self.waiting += 1
        try:
            for holder in alive or order:
                left_s = deadline - clock.now()
                if left_s <= 0:
                    break
                lent = await self._borrow(holder, organisation, values, priority, left_s)
                if lent is not None:
                    self.busy += 1
                    return lent
        finally:
            self.waiting -= 1
        self._refused_at = clock.now()
        raise errors.PoolUnavailableError(f"no holder of {self.instance.id} lent a connection")

    async def _borrow(
        self, holder: str, organisation: str, values: Mapping[str, str], priority: int, left_s: float
    ) -> BorrowedLink | None:
        body = {
            "instance": self.instance.id,
            "organisation": organisation,
            "values": dict(values),
            "priority": priority,
            "timeout_s": left_s,
        }
        try:
            answer = await self._peers.request(holder, LEND, body, timeout_s=left_s + ANSWER_MARGIN_S)
        except (errors.PeerUnreachableError, errors.PeerAnswerLostError) as error:
            _log.bind(instance=self.instance.id, holder=holder).info("holder did not answer: {}", error)
            self._down_until[holder] = clock.now() + DOWN_S
            return None
        if "loan" not in answer:
            _log.bind(instance=self.instance.id, holder=holder).info("holder refused: {}", answer.get("refused"))
            return None
        lent = BorrowedLink(self.instance, organisation, self._peers, holder, answer["loan"])
        lent.values = answer["values"]
        lent.prepared = {(writes, shape): name for writes, shape, name in answer["prepared"]}
        return lent

    def release(self, lent: BorrowedLink) -> None:
        """Give a connection back to its holder."""
        self.busy -= 1
        if lent.open:
            lent.give_back(keep=lent.usable)

    def discard(self, lent: BorrowedLink) -> None:
        """Give a connection back to be dropped."""
        self.busy -= 1
        lent.abort()

    def close(self) -> None:
        """Do nothing: the holders close their connections themselves."""
