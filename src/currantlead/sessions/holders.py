"""Lend connections to other VMs, where an instance accepts fewer of them than there are VMs.

A few VMs of the instance's failure domain hold its connections. A borrower sends the same messages as on a connection
of its own, and decides everything; the holder only passes them on, and takes back what a borrower has left.
"""

import dataclasses
import hashlib
import itertools
from collections.abc import Callable, Sequence
from typing import Any

from currantlead import errors, logs
from currantlead.sessions import clock, fleet, link, model, pool, statements

HELD_CONNECTIONS = 10
"""Connections of one holder: enough that organisations, which are spread over the holders, find one of their own."""
UNUSED_S = 1.0
"""A loan whose borrower has sent nothing is taken back: its answer came too late."""
IDLE_S = 6.0
"""A loan that is idle for longer is taken back: idle transactions end after 3 s, so its borrower is gone."""
_ENCODING = "utf-8"
_ERRORS = "surrogateescape"

_log = logs.part("holder")


def holders_of(instance: model.Instance, members: Sequence[model.Member], count: int) -> list[str]:
    """Return the VMs that hold an instance's connections; those of its own failure domain come first.

    Args:
        instance: The instance.
        members: All VMs.
        count: How many holders are wanted.
    """
    near = [member for member in members if member.domain == instance.domain] or list(members)
    return [member.name for member in sorted(near, key=lambda member: weight(instance.id, member.name))[:count]]


def weight(*names: str) -> bytes:
    """Return the rendezvous weight of names."""
    return hashlib.blake2b("/".join(names).encode(_ENCODING, _ERRORS), digest_size=8).digest()


@dataclasses.dataclass(slots=True)
class _Loan:
    """Hold a lent connection.

    Attributes:
        borrower: VM that uses it.
        link: The connection.
        pool: The pool that it goes back to.
        used_at: Clock reading of the last message, or of the loan itself.
        used: Whether the borrower has sent anything.
        busy: Whether an answer is under way.
    """

    borrower: str
    link: link.Link
    pool: pool.Pool
    used_at: float
    used: bool = False
    busy: bool = False


class Holder:
    """Serve the loans of this VM's connections."""

    def __init__(self, known: fleet.Fleet, pool_of: Callable[[model.Instance], pool.Pool]):
        self._fleet = known
        self._pool_of = pool_of
        self._loans: dict[int, _Loan] = {}
        self._numbers = itertools.count(1)
        self.leaving = False

    @property
    def lent(self) -> int:
        """Return the number of loans."""
        return len(self._loans)

    async def lend(self, borrower: str, body: dict[str, Any]) -> dict[str, Any]:
        """Lend a connection; the reply holds its number and state, or why there is none."""
        known = self._fleet.get(body["instance"])
        if self.leaving or known is None:
            return {"refused": "the holder is leaving" if self.leaving else "unknown instance"}
        connections = self._pool_of(known.instance)
        try:
            lent = await connections.acquire(
                body["organisation"], body["values"], priority=body["priority"], timeout_s=body["timeout_s"]
            )
        except (errors.PoolUnavailableError, errors.LinkRefusedError) as error:
            return {"refused": str(error)}
        number = next(self._numbers)
        self._loans[number] = _Loan(borrower, lent, connections, clock.now())
        prepared = [[writes, shape, name] for (writes, shape), name in lent.prepared.items()]
        return {"loan": number, "values": lent.values, "prepared": prepared}

    async def exchange(self, borrower: str, body: dict[str, Any]) -> dict[str, Any]:
        """Pass messages on, and return the answers."""
        loan = self._loans.get(body["loan"])
        if loan is None or loan.borrower != borrower:
            return {"lost": "the loan was taken back", "sent": False, "timed_out": False}
        loan.used = loan.busy = True
        try:
            replies = await loan.link.exchange(body["messages"], count=body["count"], timeout_s=body["timeout_s"])
        except errors.LinkLostError as error:
            self._loans.pop(body["loan"], None)
            loan.pool.discard(loan.link)
            return {"lost": str(error), "sent": error.sent, "timed_out": error.timed_out}
        finally:
            loan.busy = False
            loan.used_at = clock.now()
        return {"replies": [encode_reply(reply) for reply in replies]}

    def take_back(self, borrower: str, body: dict[str, Any]) -> dict[str, Any]:
        """Take a connection back with what the borrower has set on it."""
        loan = self._loans.pop(body["loan"], None)
        if loan is not None and loan.borrower == borrower:
            loan.link.values = body["values"]
            loan.link.prepared = {(writes, shape): name for writes, shape, name in body["prepared"]}
            if body["keep"]:
                loan.pool.release(loan.link)
            else:
                loan.pool.discard(loan.link)
        return {}

    def reclaim(self) -> None:
        """Take back the loans that their borrowers have left."""
        now = clock.now()
        for number, loan in list(self._loans.items()):
            if not loan.busy and now - loan.used_at > (IDLE_S if loan.used else UNUSED_S):
                _log.bind(instance=loan.link.instance.id, borrower=loan.borrower).warning("loan taken back")
                del self._loans[number]
                loan.pool.discard(loan.link)


def encode_reply(reply: statements.Reply) -> list[Any]:
    """Return a reply as plain values; the time at which it was asked for is the borrower's."""
    failure = reply.failure
    result = [failure.code.value, failure.detail] if failure is not None else [None, reply.result.signature]
    position = [reply.position.term, reply.position.number] if reply.position is not None else None
    rows = [row.encode(_ENCODING, _ERRORS) for row in reply.rows]
    return [rows, result[0], result[1].encode(_ENCODING, _ERRORS), reply.state.value, position]


def decode_reply(values: Sequence[Any], asked_at: float) -> statements.Reply:
    """Return the reply of plain values."""
    rows, code, text, state, position = values
    detail = text.decode(_ENCODING, _ERRORS)
    return statements.Reply(
        rows=tuple(row.decode(_ENCODING, _ERRORS) for row in rows),
        result=statements.Done(detail) if code is None else statements.Failure(statements.Code(code), detail),
        state=statements.TransactionState(state),
        position=None if position is None else model.Position(*position),
        asked_at=asked_at,
    )
