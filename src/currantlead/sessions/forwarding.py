"""Send orders to the VMs that hold an instance's connections."""

from collections.abc import Callable, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, holders, liveness, model, orders, paths

ANSWER_MARGIN_S = 0.1
"""Time for frames between VMs beyond the time that the holder itself waits; two round trips between regions."""
FIRST_WAIT = 0.5
"""Share of the time that a holder may let an order wait while there is another holder to ask."""
REFUSED_S = 0.1
"""An instance whose holders had no connection is taken for saturated for this long."""

_log = logs.part("holder")


class ForwardedTransaction(paths.Transaction):
    """Run statements in a transaction on a connection that another VM holds."""

    def __init__(self, path: "ForwardingPath", holder: str, number: int):
        self.instance = path.instance
        self._path = path
        self._holder = holder
        self._number = number
        self._open = True

    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement; see ``Transaction.run``."""
        if not self._open:
            raise errors.LinkLostError("the transaction's connection is gone", sent=False)
        try:
            answer = await self._path.ask(
                self._holder,
                holders.CONTINUE,
                {"transaction": self._number, "order": holders.encode_order(order)},
                order.timeout_s,
            )
        except errors.PoolUnavailableError as error:
            await self.end()
            raise errors.LinkLostError(str(error), sent=False) from error
        except errors.LinkLostError:
            await self.end()
            raise
        self._open = answer.transaction is not None
        return answer.report

    async def end(self) -> None:
        """Let the holder roll back what is still open."""
        if self._open:
            self._open = False
            self._path.peers.notify(self._holder, holders.END, {"transaction": self._number})


class ForwardingPath(paths.Path):
    """Run orders on connections that a few VMs hold, this one perhaps among them.

    Args:
        instance: The instance.
        own: Name of this VM.
        peers: Streams to the other VMs.
        alive: Which VMs answer.
        holders_of: Returns the VMs that hold the instance's connections.
        is_large: Tells whether an organisation needs connections of all holders.
        direct: Returns this VM's own connections, for when it is one of them.
    """

    def __init__(
        self,
        instance: model.Instance,
        own: str,
        peers: network.Network,
        alive: liveness.Liveness,
        holders_of: Callable[[model.Instance], Sequence[str]],
        is_large: Callable[[str], bool],
        direct: Callable[[model.Instance], paths.DirectPath],
    ):
        self.instance = instance
        self.peers = peers
        self._own = own
        self._liveness = alive
        self._holders_of = holders_of
        self._is_large = is_large
        self._direct = direct
        self._waiting = 0
        self._refused_at = 0.0

    @property
    def saturated(self) -> bool:
        """Tell whether holders had no connection a moment ago."""
        return clock.now() - self._refused_at < REFUSED_S

    @property
    def waiting(self) -> int:
        """Return the number of this VM's orders that are under way."""
        return self._waiting

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of the organisation is free; only the holders know."""
        return False

    def first_holder(self) -> str:
        """Return the VM that comes first among the instance's holders."""
        return self._holders_of(self.instance)[0]

    async def run(
        self, organisation: str, order: orders.Order, *, priority: int, wait_s: float, check: paths.Check
    ) -> tuple[orders.Report, paths.Transaction | None]:
        """Run an order; see ``Path.run``.

        A small organisation has its own order of holders, so that it finds its connections again; the VMs differ in the
        order for a large one, so that it uses all holders alike.
        """
        deadline = clock.now() + wait_s
        salt = (self._own,) if self._is_large(organisation) else ()
        names = sorted(self._holders_of(self.instance), key=lambda name: holders.weight(organisation, name, *salt))
        self._waiting += 1
        try:
            for place, holder in enumerate(names):
                left_s = deadline - clock.now()
                if left_s <= 0:
                    break
                last = place == len(names) - 1
                try:
                    return await self._run_at(
                        holder, organisation, order, priority, left_s if last else left_s * FIRST_WAIT, check
                    )
                except errors.PoolUnavailableError as error:
                    _log.bind(request=order.request, instance=self.instance.id, holder=holder).info("{}", error)
        finally:
            self._waiting -= 1
        self._refused_at = clock.now()
        raise errors.PoolUnavailableError(f"no holder of {self.instance.id} had a connection")

    async def _run_at(
        self, holder: str, organisation: str, order: orders.Order, priority: int, wait_s: float, check: paths.Check
    ) -> tuple[orders.Report, paths.Transaction | None]:
        if holder == self._own:
            direct = self._direct(self.instance)
            return await direct.run(organisation, order, priority=priority, wait_s=wait_s, check=check)
        refusal = check()
        if refusal is not None:
            raise errors.OrderRefusedError(refusal)
        body = {
            "instance": self.instance.id,
            "organisation": organisation,
            "priority": priority,
            "wait_s": round(wait_s, 3),
            "order": holders.encode_order(order),
        }
        answer = await self.ask(holder, holders.RUN, body, wait_s + order.timeout_s)
        if answer.transaction is None:
            return answer.report, None
        return answer.report, ForwardedTransaction(self, holder, answer.transaction)

    async def ask(self, holder: str, kind: str, body: dict[str, Any], limit_s: float) -> holders.Answer:
        """Send a frame to a holder and return its answer.

        Raises:
            errors.PoolUnavailableError: The holder is unreachable or refused; nothing was sent to the instance.
            errors.LinkLostError: The holder's connection to the instance was lost.
            errors.HolderLostError: The holder did not answer; the order may have run.
        """
        asked_at = clock.now()
        try:
            answer = await self.peers.request(holder, kind, body, timeout_s=limit_s + ANSWER_MARGIN_S)
        except errors.PeerUnreachableError as error:
            self._liveness.report(holder, str(error))
            raise errors.PoolUnavailableError(f"holder {holder} is unreachable: {error}") from error
        except errors.PeerAnswerLostError as error:
            self._liveness.report(holder, str(error))
            raise errors.HolderLostError(f"holder {holder}: {error}", sent=True) from error
        if answer.get("leaving"):
            self._liveness.report(holder, "it is leaving")
        return holders.decode_answer(answer, asked_at)
