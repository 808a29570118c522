"""Runs statements for other VMs, for instances that accept fewer connections than there are VMs.

A few VMs in the instance's failure domain, the holders, open its connections and run the orders of all VMs on them. The
caller's VM makes all decisions; a holder only waits for a free connection and rolls back abandoned transactions.
"""

import dataclasses
import itertools
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, model, statements
from currantlead.sessions.decisions import acknowledgements, admission
from currantlead.sessions.instances import fleet, order_codec, orders, paths
from currantlead.sessions.routing import freshness

if TYPE_CHECKING:
    # The part may be off, and its data classes would lengthen the start of every VM.
    from currantlead.sessions.instances import load_reports

RUN, CONTINUE, END = "run", "continue", "end"
OVERLOAD = "overload"
"""Key of the step of overload in the responses of an overloaded holder."""
HOLDER_CONNECTIONS = 16
"""Target number of connections per holder: enough that each organisation assigned to it usually finds its own one."""
STALL_THRESHOLD_S = 0.35
"""Gap between two periodic checks from which this VM counts as stalled, because it was suspended or starved of CPU.
Other VMs consider it dead after 0.5 s and may already have reported the orders in its receive queue as lost."""
STALL_RECOVERY_S = 0.1
"""Time after a stall in which the frames that arrived during the stall are read and refused."""
ABANDONED_S = 6.0
"""Idle time after which a transaction is rolled back: the caller's VM ends idle ones after 3 s, so it must be gone."""

RAN_MS = "ran"
"""Key of the time that the instance took for the statement, in milliseconds, in the responses of holders."""

Handler = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]

_log = logs.part("holder")


@dataclasses.dataclass(slots=True)
class _HeldTransaction:
    """Open transaction that this VM runs for a caller of another VM.

    Attributes:
        vm: Name of the caller's VM.
        transaction: The transaction on the instance.
        last_used_at: Monotonic time at which the last statement ended.
        busy: Whether a statement is running.
    """

    vm: str
    transaction: paths.Transaction
    last_used_at: float
    busy: bool = False


class Holder:
    """Runs the orders of other VMs on the connections of this VM.

    Args:
        instances: The known instances.
        samples: Samples of the primaries' positions.
        path_of: Returns the path over this VM's own connections to an instance.
        reports: Adds load reports to the responses; None without them.
        acknowledged: Records the commits that succeeded.

    Attributes:
        leaving: Whether new orders are refused because this VM is shutting down.
        reports_times: Returns whether responses state how long an instance took; None if none of them does.
    """

    def __init__(
        self,
        instances: fleet.Fleet,
        samples: freshness.PositionSamples,
        path_of: Callable[[model.Instance], paths.DirectPath],
        reports: "load_reports.LoadReports | None" = None,
        acknowledged: acknowledgements.AcknowledgedCommits | None = None,
    ):
        self._reports = reports
        self._acknowledged = acknowledged or acknowledgements.AcknowledgedCommits()
        self._fleet = instances
        self._samples = samples
        self._path_of = path_of
        self._transactions: dict[int, _HeldTransaction] = {}
        # Other VMs may still use numbers of an earlier process, which must not stand for new transactions.
        self._numbers = itertools.count(secrets.randbits(62))
        self._orders_running = 0
        self._last_check_at = clock.now()
        self._stalled_until = 0.0
        self.leaving = False
        self.reports_times: Callable[[], bool] | None = None

    def register(self, peers: network.Network, overload_level: Callable[[], int] | None = None) -> None:
        """Register the handlers for the frames of other VMs.

        Args:
            peers: Streams to the other VMs.
            overload_level: Returns the step of overload of this VM, to be reported in responses; None to report none.
        """
        if overload_level is None:
            peers.handler(RUN)(self.run)
            peers.handler(CONTINUE)(self.continue_)
        else:
            peers.handler(RUN)(_report_overload(self.run, overload_level))
            peers.handler(CONTINUE)(_report_overload(self.continue_, overload_level))
        peers.handler(END)(self.end)

    @property
    def active(self) -> int:
        """Return the number of running orders and open transactions."""
        return len(self._transactions) + self._orders_running

    def detect_stall(self) -> None:
        """Detect whether this VM was stalled; must be called every ``liveness.CHECK_INTERVAL_S``."""
        now = clock.now()
        if now - self._last_check_at > STALL_THRESHOLD_S:
            self._stalled_until = now + STALL_RECOVERY_S
            _log.bind(seconds=round(now - self._last_check_at, 2)).warning(
                "this VM was stalled, refusing queued orders"
            )
        self._last_check_at = now

    def _may_be_outdated(self) -> bool:
        """Return whether a frame may have been queued while this VM was stalled, so that its sender gave it up."""
        now = clock.now()
        return now - self._last_check_at > STALL_THRESHOLD_S or now < self._stalled_until

    async def run(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Run an order on a connection of the organisation; see ``decode_response`` for the result."""
        return await self._report_load(vm, body["instance"], self._run(vm, body))

    async def _report_load(
        self, vm: str, instance_id: str, running: Coroutine[Any, Any, dict[str, Any]]
    ) -> dict[str, Any]:
        """Run an order and add the instance's load to the response, if loads are reported."""
        if self._reports is None:
            return await running
        started_at = clock.now()
        self._reports.note_order(vm, instance_id)
        response = await running
        self._reports.attach(vm, instance_id, response, started_at)
        return response

    async def _run(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        tracked = self._fleet.get(body["instance"])
        if self.leaving or tracked is None:
            return {
                "refused": "the holder is shutting down" if self.leaving else "unknown instance",
                "leaving": self.leaving,
            }
        if self._may_be_outdated():
            return {"refused": "the holder was stalled while the order was queued"}
        order = order_codec.decode_order(body["order"])
        known_before, sent_at = self._samples.latest(tracked.instance.service), clock.now()
        self._orders_running += 1
        try:
            report, transaction = await self._path_of(tracked.instance).run(
                body["organisation"],
                order,
                priority=body["priority"],
                wait_s=body["wait_s"],
                check=lambda: self._check(tracked.instance.id, order),
                limits=decode_limits(body.get("limits")),
            )
        except errors.OrderRefusedError as error:
            return {"refused": error.failure.detail}
        except errors.PoolUnavailableError as error:
            return {"refused": str(error), "suspect": self._fleet.is_suspect(tracked)} | _encode_delay(error)
        except errors.LinkRefusedError as error:
            return {"refused": str(error), "unreachable": not error.overloaded}
        except errors.LinkLostError as error:
            return _encode_lost(error)
        finally:
            self._orders_running -= 1
        self._samples.record_report(tracked.instance.service, order, report)
        self._record_commit(tracked.instance.service, order, report, known_before, sent_at)
        number = None
        if transaction is not None:
            number = next(self._numbers)
            self._transactions[number] = _HeldTransaction(vm, transaction, clock.now())
            _log.bind(
                request=order.request_id,
                instance=tracked.instance.id,
                organisation=body["organisation"],
                caller_vm=vm,
                transaction=number,
            ).debug("transaction opened for another VM")
        return self._encode_response(report, number)

    def _check(self, instance_id: str, order: orders.Order) -> statements.Failure | None:
        """Return why an instance gets the order no longer, after the wait for a connection, or None."""
        tracked = self._fleet.get(instance_id)
        if order.commits and self._fleet.is_replaced(instance_id):
            return statements.Failure(statements.Code.BUSY, f"{instance_id} is being replaced as the primary")
        if tracked is not None and self._fleet.accepts_work(tracked):
            return None
        return statements.Failure(statements.Code.BUSY, f"{instance_id} accepts no new work")

    def _encode_response(self, report: orders.Report, transaction: int | None) -> dict[str, Any]:
        response: dict[str, Any] = {"report": order_codec.encode_report(report), "transaction": transaction}
        if self.reports_times is not None and report.ran_s is not None and self.reports_times():
            response[RAN_MS] = round(report.ran_s * 1000)
        return response

    async def continue_(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Run an order inside an open transaction."""
        number = body["transaction"]
        entry = self._transactions.get(number)
        if entry is None or entry.vm != vm:
            _log.bind(caller_vm=vm, transaction=number).info("statement refused, its transaction is not open here")
            return _encode_lost(errors.LinkLostError("the holder has no such transaction", sent=False))
        return await self._report_load(vm, entry.transaction.instance.id, self._continue(number, entry, body))

    async def _continue(self, number: int, entry: _HeldTransaction, body: dict[str, Any]) -> dict[str, Any]:
        if self._may_be_outdated():
            await self._end_transaction(number)
            return _encode_lost(errors.LinkLostError("the holder was stalled while the order was queued", sent=False))
        entry.busy = True
        order = order_codec.decode_order(body["order"])
        _log.bind(
            request=order.request_id, instance=entry.transaction.instance.id, caller_vm=entry.vm, transaction=number
        ).debug("running a statement in a transaction")
        service = entry.transaction.instance.service
        known_before, sent_at = self._samples.latest(service), clock.now()
        try:
            report = await entry.transaction.run(order)
        except errors.LinkLostError as error:
            await self._end_transaction(number)
            return _encode_lost(error)
        finally:
            entry.busy = False
            entry.last_used_at = clock.now()
        self._samples.record_report(service, order, report)
        self._record_commit(service, order, report, known_before, sent_at)
        if report.reply.state is statements.TransactionState.IDLE:
            await self._end_transaction(number)
            number = None
        return self._encode_response(report, number)

    def _record_commit(
        self,
        service: str,
        order: orders.Order,
        report: orders.Report,
        known_before: freshness.Sample | None,
        sent_at: float,
    ) -> None:
        """Record a commit that succeeded; the VM of the caller records it too, but may be gone when it is asked."""
        if order.commits and report.reply.failure is None:
            before = None if known_before is None else known_before.position
            self._acknowledged.record(service, report.reply.position, known_before=before, sent_at=sent_at)

    async def end(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Roll back a transaction, unless it has ended already."""
        entry = self._transactions.get(body["transaction"])
        if entry is not None and entry.vm == vm:
            await self._end_transaction(body["transaction"])
        return {}

    async def end_abandoned(self) -> None:
        """Roll back the transactions whose callers' VMs are gone."""
        now = clock.now()
        for number, entry in list(self._transactions.items()):
            if not entry.busy and now - entry.last_used_at > ABANDONED_S:
                _log.bind(instance=entry.transaction.instance.id, caller_vm=entry.vm, transaction=number).warning(
                    "abandoned transaction rolled back"
                )
                await self._end_transaction(number)

    async def _end_transaction(self, number: int) -> None:
        entry = self._transactions.pop(number, None)
        if entry is not None:
            await entry.transaction.end()


def _report_overload(handler: Handler, overload_level: Callable[[], int]) -> Handler:
    """Return a handler whose responses state the step of overload of this VM unless it is 0."""

    async def handle(vm: str, body: dict[str, Any]) -> dict[str, Any]:
        response = await handler(vm, body)
        level = overload_level()
        if level:
            response[OVERLOAD] = level
        return response

    return handle


@dataclasses.dataclass(frozen=True, slots=True)
class HolderResponse:
    """Response of a holder to an order.

    Attributes:
        report: Result of the order.
        transaction: Number of the transaction that the order left open, or None.
    """

    report: orders.Report
    transaction: int | None


def decode_response(response: dict[str, Any], asked_at: float) -> HolderResponse:
    """Decode the response of a holder.

    Args:
        response: Body of the response frame.
        asked_at: Time on this VM's clock at which the order was sent; it replaces the holder's times.

    Returns:
        The result of the order.

    Raises:
        errors.PoolUnavailableError: The holder had no free connection, or refused the order.
        errors.LinkRefusedError: The instance cannot be reached from the holder.
        errors.LinkLostError: The connection to the instance was lost.
        errors.HolderLostError: The response is malformed; the order may have run.
    """
    try:
        if "lost" in response:
            raise errors.LinkLostError(response["lost"], sent=response["sent"], timed_out=response["timed_out"])
        if response.get("unreachable"):
            raise errors.LinkRefusedError(response["refused"], overloaded=False)
        if "refused" in response:
            raise _decode_refusal(response)
        reply, begin_reply = response["report"]
        ran_ms = response.get(RAN_MS)
        report = orders.Report(
            order_codec.decode_reply(reply, asked_at),
            order_codec.decode_reply(begin_reply, asked_at) if begin_reply is not None else None,
            None if ran_ms is None else max(0.0, float(ran_ms)) / 1000,
        )
        transaction = response["transaction"]
        if transaction is not None and not isinstance(transaction, int):
            raise TypeError(f"transaction {transaction!r}")
        return HolderResponse(report, transaction)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.HolderLostError(f"the holder sent a malformed response: {error!r}", sent=True) from error


def decode_limits(values: Any) -> admission.WaitLimits | None:
    """Return the limits of an order's waits, or None if there are none or they are malformed, which is logged."""
    if values is None:
        return None
    try:
        return admission.WaitLimits.decode(values)
    except (TypeError, ValueError) as error:
        _log.warning("ignoring malformed limits of an order: {!r}", error)
        return None


def _encode_delay(error: errors.PoolUnavailableError) -> dict[str, Any]:
    if error.retry_after_s is None:
        return {}
    return {"retry_after_s": round(error.retry_after_s, 4), "offers_late": error.offers_late}


def _decode_refusal(response: dict[str, Any]) -> errors.PoolUnavailableError:
    delay_s = response.get("retry_after_s")
    return errors.PoolUnavailableError(
        response["refused"],
        suspect=bool(response.get("suspect")),
        retry_after_s=None if delay_s is None else max(0.0, float(delay_s)),
        offers_late=bool(response.get("offers_late")),
    )


def _encode_lost(error: errors.LinkLostError) -> dict[str, Any]:
    return {"lost": str(error), "sent": error.sent, "timed_out": error.timed_out}
