"""Orders: requests to run one statement on a connection to an instance, with the required freshness, and their reports.

An order is self-contained, so that the VM with the connection runs it in one step, whichever VM it came from.
"""

import dataclasses
import enum
from collections.abc import Mapping

from currantlead import errors
from currantlead.platform import lines
from currantlead.sessions import clock, model, statements
from currantlead.sessions.instances import link

OWN_REQUEST_ID = "-"
"""Request id of statements that belong to no caller."""
_codec = lines.InstanceCodec()


class BeginMode(enum.Enum):
    """Kind of transaction that is opened on the connection before the statement."""

    NONE = "nothing"
    """No transaction."""
    READ_ONLY = "reads"
    """A read-only transaction, on any instance whose log has reached the order's position."""
    PRIMARY_ONLY = "leads"
    """A transaction that only the primary accepts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Request to run one statement on a connection.

    Attributes:
        request_id: Request id that the caller assigned to the statement.
        text: Text of the statement; for a prepared statement, the arguments of its execution.
        values: Session values that must be set on the connection.
        timeout_s: Time limit for everything that the order does on the connection, in seconds.
        shape: Whether the prepared statement writes, and its shape; None for other statements.
        begin_mode: Kind of transaction to open before the statement.
        after: Position that the instance's log must have reached, or None.
        needs_primary: Whether it runs inside a transaction in which only the primary answers statements.
        commits: Whether the instance acknowledges the statement only after replicating it to a replica.
        rolls_back: Whether the transaction only serves to verify the primary and is rolled back after the statement.
    """

    request_id: str
    text: str
    values: Mapping[str, str]
    timeout_s: float
    shape: tuple[bool, str] | None = None
    begin_mode: BeginMode = BeginMode.NONE
    after: model.Position | None = None
    needs_primary: bool = False
    commits: bool = False
    rolls_back: bool = False

    @property
    def opens_transaction(self) -> bool:
        """Whether the order opens a caller's transaction, which keeps the connection until the caller ends it."""
        return self.begin_mode is not BeginMode.NONE and not self.rolls_back and self.request_id != OWN_REQUEST_ID


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of an order.

    Attributes:
        reply: Reply to the statement, or the refusal to open the transaction before it.
        begin_reply: Reply to the opening of the transaction, or None if none was opened.
        ran_s: Time from sending the statement to its answer on the VM with the connection, in seconds; None if that VM
            did not report it.
    """

    reply: statements.Reply
    begin_reply: statements.Reply | None = None
    ran_s: float | None = None

    def primary_proof(self, order: Order) -> statements.Reply | None:
        """Return the reply that proves that the instance is the primary and carries its position, or None."""
        proof = self.begin_reply if order.begin_mode is BeginMode.PRIMARY_ONLY else self.reply
        if order.begin_mode is not BeginMode.PRIMARY_ONLY and not (order.commits or order.needs_primary):
            return None
        return proof if proof is not None and proof.failure is None and proof.position is not None else None


async def perform(order: Order, connection: link.BaseLink) -> Report:
    """Run an order on a connection that is reserved for it.

    Raises:
        errors.LinkLostError: The connection was closed or timed out; its attribute ``sent`` is whether the statement
            may have run.
    """
    deadline = clock.now() + order.timeout_s
    in_transaction = connection.state is not statements.TransactionState.IDLE
    try:
        text = await _prepare_connection(order, connection, deadline)
        if in_transaction and connection.state is not statements.TransactionState.OPEN:
            connection.abort()
            raise errors.LinkLostError(f"{connection.instance.id}: the transaction is no longer open", sent=False)
        begin_reply = await _open_transaction(order, connection, deadline)
    except errors.LinkLostError as error:
        raise errors.LinkLostError(str(error), sent=False, timed_out=error.timed_out) from error
    if begin_reply is not None and begin_reply.failure is not None:
        return Report(begin_reply, begin_reply)
    message = _codec.encode_statement(order.request_id, text, order.after if begin_reply is None else None)
    if order.rolls_back:
        reply, _ = await connection.exchange(
            message + _codec.encode_rollback(), count=2, timeout_s=_remaining_s(deadline)
        )
    else:
        (reply,) = await connection.exchange(message, timeout_s=_remaining_s(deadline))
    if reply.failure is not None and reply.failure.code is statements.Code.UNKNOWN_STATEMENT:
        connection.forget_prepared()
    return Report(reply, begin_reply, clock.now() - reply.asked_at)


async def _prepare_connection(order: Order, connection: link.BaseLink, deadline: float) -> str:
    """Set the session values, prepare the statement if necessary, and return the text to execute on the connection."""
    await connection.set_session_values(order.values, timeout_s=_remaining_s(deadline))
    if order.shape is None:
        return order.text
    name = await connection.prepare(*order.shape, timeout_s=_remaining_s(deadline))
    return _codec.execute_text(name, order.text)


async def _open_transaction(order: Order, connection: link.BaseLink, deadline: float) -> statements.Reply | None:
    if order.begin_mode is BeginMode.NONE:
        return None
    # Not pipelined with the statement, which would run outside a transaction if BEGIN were refused.
    message = _codec.encode_begin(read_only=order.begin_mode is BeginMode.READ_ONLY, after=order.after)
    (begin_reply,) = await connection.exchange(message, timeout_s=_remaining_s(deadline))
    return begin_reply


def _remaining_s(deadline: float) -> float:
    return max(0.001, deadline - clock.now())
