"""Forwards orders to the VMs that hold an instance's connections."""

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model
from currantlead.sessions.decisions import admission, holder_choice, placement
from currantlead.sessions.instances import holders, order_codec, orders, paths
from currantlead.sessions.membership import liveness, overload

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import load_table

RESPONSE_MARGIN_S = 0.1
"""Extra time for the response of a holder, beyond the time that the holder itself may take: two round trips between
regions."""
RETRY_WAIT_SHARE = 0.5
"""Share of the remaining time that an order may wait at a holder while other holders are left to try."""
MAX_SHARES = 16
"""Number of preferred holders above which the shares that go to others are forgotten: an instance has up to four, and
each change of the members may replace some."""
SATURATED_S = 0.1
"""Time for which an instance counts as saturated after none of its holders had a free connection."""

_log = logs.part("holder")


class ForwardedTransaction(paths.Transaction):
    """Runs statements in a transaction on a connection of another VM."""

    def __init__(self, path: "ForwardingPath", holder: str, number: int):
        self.instance = path.instance
        self._path = path
        self._holder = holder
        self._number = number
        self._open = True

    async def run(self, order: orders.Order) -> orders.Report:
        """Run a statement; see ``Transaction.run``."""
        if not self._open:
            raise errors.LinkLostError("the transaction has ended", sent=False)
        _log.bind(
            request=order.request_id, instance=self.instance.id, holder=self._holder, transaction=self._number
        ).debug("sending a statement in a transaction")
        try:
            response = await self._path.request_holder(
                self._holder,
                holders.CONTINUE,
                {"transaction": self._number, "order": order_codec.encode_order(order)},
                order.timeout_s,
            )
        except errors.PoolUnavailableError as error:
            await self.end()
            raise errors.LinkLostError(str(error), sent=False) from error
        except errors.LinkLostError:
            await self.end()
            raise
        self._open = response.transaction is not None
        return response.report

    async def end(self) -> None:
        """Tell the holder to roll back the transaction if it is still open."""
        if self._open:
            self._open = False
            self._path.peers.notify(self._holder, holders.END, {"transaction": self._number})


class ForwardingPath(paths.Path):
    """Runs orders on connections of the instance's holders, of which this VM may be one.

    Args:
        instance: The instance.
        vm: Name of this VM.
        peers: Network connections to the other VMs.
        peer_liveness: Which VMs respond.
        holders_of: Returns the VMs that hold the instance's connections.
        order_holders: Returns holders in the order in which they are tried; see ``holder_choice.order_holders``.
        is_large: Returns whether an organisation is spread over all holders.
        direct_path_of: Returns the path over this VM's own connections, used if it is a holder itself.
        overloads: Which VMs are overloaded, or None if they do not report it.
        loads: Load reports of the holders; None without them.
        rng: Source of randomness for the choice among loaded holders.
    """

    def __init__(
        self,
        instance: model.Instance,
        vm: str,
        peers: network.Network,
        peer_liveness: liveness.Liveness,
        holders_of: Callable[[model.Instance], Sequence[str]],
        order_holders: Callable[..., list[str]],
        is_large: Callable[[str], bool],
        direct_path_of: Callable[[model.Instance], paths.DirectPath],
        *,
        overloads: overload.OverloadMonitor | None = None,
        loads: "load_table.LoadTable | None" = None,
        rng: random.Random | None = None,
    ):
        self._loads = loads
        self._rng = rng or random.Random()
        self._shares: dict[str, placement.LeavingShare] = {}
        self.instance = instance
        self.peers = peers
        self._vm = vm
        self._liveness = peer_liveness
        self._holders_of = holders_of
        self._order_holders = order_holders
        self._overloads = overloads
        self._is_large = is_large
        self._direct_path_of = direct_path_of
        self._orders_running = 0
        self._saturated_at = 0.0

    @property
    def saturated(self) -> bool:
        """Return whether no holder had a free connection within the last ``SATURATED_S`` seconds."""
        return clock.now() - self._saturated_at < SATURATED_S

    @property
    def waiting(self) -> int:
        """Return the number of orders of this VM that are running or waiting for a connection."""
        return self._orders_running

    def has_idle(self, organisation: str) -> bool:
        """Return False, because only the holders know which connections are free."""
        return False

    def first_holder(self) -> str:
        """Return the most preferred holder of the instance."""
        return self._holders_of(self.instance)[0]

    async def run(
        self,
        organisation: str,
        order: orders.Order,
        *,
        priority: int,
        wait_s: float,
        check: paths.SendCheck,
        limits: admission.WaitLimits | None = None,
    ) -> tuple[orders.Report, paths.Transaction | None]:
        """Run an order; see ``Path.run``.

        For a small organisation all VMs try the holders in the same order, so that its connections are reused. For a
        large one the order differs between VMs, so that the load is spread evenly over the holders. Another holder
        comes first for a share of the orders if its load report shows that it is earlier. Only the last holder may
        serve it late, because the others' queues may be shorter.
        """
        began_at = clock.now()
        deadline = began_at + (wait_s if limits is None else limits.total_s)
        candidates = self.choose_holders(organisation, priority, began_at)
        self._orders_running += 1
        suspect = offers_late = False
        delays_s: list[float] = []
        try:
            for index, holder in enumerate(candidates):
                remaining_s = deadline - clock.now()
                if remaining_s <= 0:
                    break
                is_last = index == len(candidates) - 1
                here = None
                if limits is not None:
                    here = limits.divide(len(candidates)).after(clock.now() - began_at)
                    here = here if is_last else here.in_time_only()
                    remaining_s = wait_s
                try:
                    return await self._run_on_holder(
                        holder,
                        organisation,
                        order,
                        priority,
                        remaining_s if is_last else remaining_s * RETRY_WAIT_SHARE,
                        check,
                        here,
                    )
                except errors.PoolUnavailableError as error:
                    suspect = suspect or error.suspect
                    offers_late = offers_late or error.offers_late
                    delays_s += [error.retry_after_s] if error.retry_after_s is not None else []
                    _log.bind(request=order.request_id, instance=self.instance.id, holder=holder).info(
                        "holder did not run the order: {}", error
                    )
        finally:
            self._orders_running -= 1
        self._saturated_at = clock.now()
        raise errors.PoolUnavailableError(
            f"no holder of {self.instance.id} had a free connection",
            suspect=suspect,
            retry_after_s=min(delays_s, default=None),
            offers_late=offers_late,
        )

    def choose_holders(self, organisation: str, priority: int, now: float) -> list[str]:
        """Return the holders in the order in which the next order tries them."""
        candidates = self._sort_holders(organisation)
        if self._loads is not None:
            estimates = [self._estimate_at(holder, priority, now, 0.0) for holder in candidates]
            other = self._choose_other(candidates[0], estimates, now)
            if other.index and self._rng.random() < other.probability:
                candidates.insert(0, candidates.pop(other.index))
        return candidates

    def _sort_holders(self, organisation: str) -> list[str]:
        """Return the holders in the order that keeps the connections of an organisation together."""
        vm_salt = (self._vm,) if self._is_large(organisation) else ()
        return self._order_holders(
            self._holders_of(self.instance),
            organisation,
            *vm_salt,
            level_of=None if self._overloads is None else self._overloads.level_of,
        )

    def _estimate_at(self, holder: str, priority: int, now: float, reserved_share: float) -> placement.Estimate | None:
        """Return what an order has to expect at a holder, or None without a recent report."""
        if self._loads is None:
            return None
        if holder == self._vm:
            direct_path = self._direct_path_of(self.instance)
            return direct_path.estimate("", priority, now, reserved_share=reserved_share)
        return self._loads.estimate(self.instance.id, holder, priority, now, reserved_share=reserved_share)

    def estimate(
        self, organisation: str, priority: int, now: float, *, reserved_share: float = 0.0
    ) -> placement.Estimate | None:
        """Return what an order has to expect at the holder that the organisation's next order probably goes to."""
        candidates = self._sort_holders(organisation)
        estimates = [self._estimate_at(holder, priority, now, reserved_share) for holder in candidates]
        if not estimates:
            return None
        other = self._choose_other(candidates[0], estimates, now)
        return (estimates[other.index] if other.probability >= 0.5 else None) or estimates[0]

    def _choose_other(
        self, preferred: str, estimates: Sequence[placement.Estimate | None], now: float
    ) -> holder_choice.OtherHolder:
        other = holder_choice.choose_other(estimates, self._shares.get(preferred, placement.LeavingShare()), now)
        if len(self._shares) > MAX_SHARES:
            self._shares.clear()
        self._shares[preferred] = other.share
        return other

    async def _run_on_holder(
        self,
        holder: str,
        organisation: str,
        order: orders.Order,
        priority: int,
        wait_s: float,
        check: paths.SendCheck,
        limits: admission.WaitLimits | None,
    ) -> tuple[orders.Report, paths.Transaction | None]:
        if holder == self._vm:
            direct_path = self._direct_path_of(self.instance)
            return await direct_path.run(
                organisation, order, priority=priority, wait_s=wait_s, check=check, limits=limits
            )
        refusal = check()
        if refusal is not None:
            raise errors.OrderRefusedError(refusal)
        body = {
            "instance": self.instance.id,
            "organisation": organisation,
            "priority": priority,
            "wait_s": round(wait_s, 3),
            "order": order_codec.encode_order(order),
        }
        if self._loads is not None:
            self._loads.count_sent(self.instance.id, holder)
        if limits is not None:
            body["limits"] = limits.encode()
        timeout_s = (wait_s if limits is None else max(wait_s, limits.longest_s)) + order.timeout_s
        response = await self.request_holder(holder, holders.RUN, body, timeout_s)
        if response.transaction is None:
            return response.report, None
        return response.report, ForwardedTransaction(self, holder, response.transaction)

    async def request_holder(
        self, holder: str, kind: str, body: dict[str, Any], timeout_s: float
    ) -> holders.HolderResponse:
        """Send a request to a holder and return its response.

        Args:
            holder: Name of the holder.
            kind: Kind of the frame.
            body: Body of the frame.
            timeout_s: Maximum time that the holder itself may take, in seconds.

        Raises:
            errors.PoolUnavailableError: The holder is unreachable or refused; nothing was sent to the instance.
            errors.LinkRefusedError: The holder cannot reach the instance; nothing was sent to it.
            errors.LinkLostError: The holder's connection to the instance was lost.
            errors.HolderLostError: The holder did not respond; the order may have run.
        """
        asked_at = clock.now()
        try:
            response = await self.peers.request(holder, kind, body, timeout_s=timeout_s + RESPONSE_MARGIN_S)
        except errors.PeerUnreachableError as error:
            self._liveness.report_down(holder, str(error))
            raise errors.PoolUnavailableError(f"holder {holder} is unreachable: {error}") from error
        except errors.PeerAnswerLostError as error:
            self._liveness.report_down(holder, str(error))
            raise errors.HolderLostError(f"response of holder {holder} lost: {error}", sent=True) from error
        if self._loads is not None:
            self._loads.record_response(self.instance.id, holder, response, asked_at)
        if response.get("leaving"):
            self._liveness.report_down(holder, "it is shutting down")
        if self._overloads is not None:
            self._overloads.record(holder, response.get(holders.OVERLOAD, 0))
        return holders.decode_response(response, asked_at)
