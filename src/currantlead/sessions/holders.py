"""Hold an instance's connections for other VMs, where an instance accepts fewer of them than there are VMs.

A few VMs of the instance's failure domain hold its connections and carry out the orders of all VMs there. The VM of the
caller decides everything; the holder only waits for a free connection, and ends transactions that nobody continues.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Callable, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.peers import network
from currantlead.sessions import clock, fleet, freshness, model, orders, paths, statements

RUN, CONTINUE, END = "run", "continue", "end"
HELD_CONNECTIONS = 16
"""Connections of one holder: enough that organisations, which are spread over the holders, find one of their own."""
STALL_S = 0.35
"""A holder whose regular calls are this late was suspended or starved; other VMs take it for dead after 0.5 s, and may
have told callers that the orders which it finds then are lost."""
AFTER_STALL_S = 0.1
"""Time after a stall in which the frames that had arrived meanwhile are read."""
IDLE_S = 6.0
"""A transaction that is idle for longer is rolled back: idle ones end after 3 s, so its caller's VM is gone."""

_log = logs.part("holder")


def rank(instance: model.Instance, members: Sequence[model.Member], count: int) -> list[str]:
    """Return all VMs in the order in which they hold an instance's connections, the first ``count`` that answer.

    VMs of the instance's failure domain come first. If one more of them than is needed does not answer, the domain is
    probably out of reach, so VMs of other domains follow; they may still reach the instance.
    """
    ordered = sorted(members, key=lambda member: weight(instance.id, member.name))
    near = [member.name for member in ordered if member.domain == instance.domain]
    far = [member.name for member in ordered if member.domain != instance.domain]
    return near[: count + 1] + far + near[count + 1 :]


def weight(*names: str) -> bytes:
    """Return the rendezvous weight of names."""
    return hashlib.blake2b("/".join(names).encode(errors="surrogateescape"), digest_size=8).digest()


@dataclasses.dataclass(slots=True)
class _Held:
    """Hold an open transaction of another VM's caller.

    Attributes:
        vm: VM of the caller.
        transaction: The transaction.
        used_at: Clock reading of the last message.
        busy: Whether a statement is under way.
    """

    vm: str
    transaction: paths.Transaction
    used_at: float
    busy: bool = False


class Holder:
    """Carry out orders of other VMs on this VM's connections.

    Attributes:
        leaving: Whether new orders are refused.
    """

    def __init__(
        self,
        known: fleet.Fleet,
        samples: freshness.Freshness,
        path_of: Callable[[model.Instance], paths.DirectPath],
    ):
        self._fleet = known
        self._samples = samples
        self._path_of = path_of
        self._held: dict[int, _Held] = {}
        self._numbers = itertools.count(1)
        self._running = 0
        self._called_at = clock.now()
        self._stalled_until = 0.0
        self.leaving = False

    def register(self, peers: network.Network) -> None:
        """Take the frames of other VMs."""
        peers.handler(RUN)(self.run)
        peers.handler(CONTINUE)(self.continue_)
        peers.handler(END)(self.end)

    @property
    def active(self) -> int:
        """Return the number of orders under way and of open transactions."""
        return len(self._held) + self._running

    def note_time(self) -> None:
        """Notice whether this VM was stalled; to be called every ``liveness.CHECK_S``."""
        now = clock.now()
        if now - self._called_at > STALL_S:
            self._stalled_until = now + AFTER_STALL_S
            _log.bind(seconds=round(now - self._called_at, 2)).warning(
                "this VM was stalled, refusing orders that waited"
            )
        self._called_at = now

    def _is_late(self) -> bool:
        """Tell whether a frame may have waited while this VM was stalled."""
        now = clock.now()
        return now - self._called_at > STALL_S or now < self._stalled_until

    async def run(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out an order on a connection of the organisation; see ``decode_answer`` for the reply."""
        known = self._fleet.get(body["instance"])
        if self.leaving or known is None:
            return {"refused": "the holder is leaving" if self.leaving else "unknown instance", "leaving": self.leaving}
        if self._is_late():
            return {"refused": "the holder was stalled"}
        order = decode_order(body["order"])
        self._running += 1
        try:
            report, transaction = await self._path_of(known.instance).run(
                body["organisation"],
                order,
                priority=body["priority"],
                wait_s=body["wait_s"],
                check=lambda: None,
            )
        except errors.PoolUnavailableError as error:
            return {"refused": str(error)}
        except errors.LinkRefusedError as error:
            return {"refused": str(error), "unreachable": not error.overloaded}
        except errors.LinkLostError as error:
            return _encode_lost(error)
        finally:
            self._running -= 1
        self._samples.record_report(known.instance.service, order, report)
        number = None
        if transaction is not None:
            number = next(self._numbers)
            self._held[number] = _Held(vm, transaction, clock.now())
        return {"report": encode_report(report), "transaction": number}

    async def continue_(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out an order inside an open transaction."""
        number = body["transaction"]
        held = self._held.get(number)
        if held is None or held.vm != vm:
            return _encode_lost(errors.LinkLostError("the transaction was ended by its holder", sent=False))
        if self._is_late():
            await self._drop(number)
            return _encode_lost(errors.LinkLostError("the holder was stalled", sent=False))
        held.busy = True
        order = decode_order(body["order"])
        try:
            report = await held.transaction.run(order)
        except errors.LinkLostError as error:
            await self._drop(number)
            return _encode_lost(error)
        finally:
            held.busy = False
            held.used_at = clock.now()
        self._samples.record_report(held.transaction.instance.service, order, report)
        if report.reply.state is statements.TransactionState.IDLE:
            await self._drop(number)
            number = None
        return {"report": encode_report(report), "transaction": number}

    async def end(self, vm: str, body: dict[str, Any]) -> dict[str, Any]:
        """Roll back a transaction."""
        held = self._held.get(body["transaction"])
        if held is not None and held.vm == vm:
            await self._drop(body["transaction"])
        return {}

    async def reclaim(self) -> None:
        """End the transactions that their callers' VMs have left."""
        now = clock.now()
        for number, held in list(self._held.items()):
            if not held.busy and now - held.used_at > IDLE_S:
                _log.bind(instance=held.transaction.instance.id, vm=held.vm).warning("abandoned transaction ended")
                await self._drop(number)

    async def _drop(self, number: int) -> None:
        held = self._held.pop(number, None)
        if held is not None:
            await held.transaction.end()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold a holder's answer.

    Attributes:
        report: What came of the order.
        transaction: Number of the transaction that is open now, or None.
    """

    report: orders.Report
    transaction: int | None


def decode_answer(answer: dict[str, Any], asked_at: float) -> Answer:
    """Return a holder's answer; its times count from the reading at which the caller's VM asked.

    Raises:
        errors.PoolUnavailableError: The holder had no connection.
        errors.LinkRefusedError: The instance cannot be reached from the holder.
        errors.LinkLostError: The connection to the instance was lost.
    """
    if "lost" in answer:
        raise errors.LinkLostError(answer["lost"], sent=answer["sent"], timed_out=answer["timed_out"])
    if answer.get("unreachable"):
        raise errors.LinkRefusedError(answer["refused"], overloaded=False)
    if "refused" in answer:
        raise errors.PoolUnavailableError(answer["refused"])
    reply, opened = answer["report"]
    report = orders.Report(
        _decode_reply(reply, asked_at), _decode_reply(opened, asked_at) if opened is not None else None
    )
    return Answer(report, answer["transaction"])


def _encode_lost(error: errors.LinkLostError) -> dict[str, Any]:
    return {"lost": str(error), "sent": error.sent, "timed_out": error.timed_out}


def encode_report(report: orders.Report) -> list[Any]:
    """Return a report as plain values."""
    return [_encode_reply(report.reply), _encode_reply(report.opened) if report.opened is not None else None]


def encode_order(order: orders.Order) -> list[Any]:
    """Return an order as plain values."""
    return [
        _to_bytes(order.request),
        _to_bytes(order.text),
        {_to_bytes(name): _to_bytes(value) for name, value in order.values.items()},
        round(order.timeout_s, 3),
        None if order.shape is None else (order.shape[0], _to_bytes(order.shape[1])),
        order.opening.value,
        _encode_position(order.after),
        order.leads,
        order.commits,
        order.discards,
    ]


def decode_order(values: Sequence[Any]) -> orders.Order:
    """Return the order of plain values."""
    request, text, session_values, timeout_s, shape, opening, after, leads, commits, discards = values
    return orders.Order(
        request=_to_text(request),
        text=_to_text(text),
        values={_to_text(name): _to_text(value) for name, value in session_values.items()},
        timeout_s=timeout_s,
        shape=None if shape is None else (shape[0], _to_text(shape[1])),
        opening=orders.Opening(opening),
        after=_decode_position(after),
        leads=leads,
        commits=commits,
        discards=discards,
    )


def _encode_reply(reply: statements.Reply) -> list[Any]:
    failure = reply.failure
    code, detail = (failure.code.value, failure.detail) if failure is not None else (None, reply.result.signature)
    rows = [_to_bytes(row) for row in reply.rows]
    return [rows, code, _to_bytes(detail), reply.state.value, _encode_position(reply.position)]


def _decode_reply(values: Sequence[Any], asked_at: float) -> statements.Reply:
    rows, code, detail, state, position = values
    text = _to_text(detail)
    return statements.Reply(
        rows=tuple(_to_text(row) for row in rows),
        result=statements.Done(text) if code is None else statements.Failure(statements.Code(code), text),
        state=statements.TransactionState(state),
        position=_decode_position(position),
        asked_at=asked_at,
    )


def _to_bytes(text: str) -> bytes:
    # Callers' texts may hold any bytes, which their strings carry as surrogates.
    return text.encode(errors="surrogateescape")


def _to_text(data: bytes) -> str:
    return data.decode(errors="surrogateescape")


def _encode_position(position: model.Position | None) -> list[int] | None:
    return None if position is None else [position.term, position.number]


def _decode_position(values: Sequence[int] | None) -> model.Position | None:
    return None if values is None else model.Position(*values)
