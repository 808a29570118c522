"""Orders: what to run on one connection to an instance, under which proof of freshness, and what came of it.

An order is complete, so that the VM that holds the connection carries it out in one go, whichever VM it came from.
"""

import dataclasses
import enum
from collections.abc import Mapping

from currantlead import errors
from currantlead.platform import lines
from currantlead.sessions import clock, link, model, statements

_codec = lines.InstanceLines()


class Opening(enum.Enum):
    """Say what is opened on the connection before the statement."""

    NOTHING = "nothing"
    READS = "reads"
    """A transaction that only reads, on any instance that has the order's position."""
    LEADS = "leads"
    """A transaction that only an instance that leads accepts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Describe one statement to run.

    Attributes:
        request: The caller's id of the statement.
        text: The caller's text; for a prepared statement, its argument.
        values: Session values that the connection must have.
        timeout_s: Limit for everything on the connection, in seconds.
        shape: Whether the prepared statement writes, and its shape; None for other statements.
        opening: What is opened before the statement.
        after: Position that the instance's log must have, or None.
        leads: Whether it runs inside a transaction whose statements only a leading instance answers.
        commits: Whether the statement is acknowledged only once a replica has it.
        discards: Whether the opened transaction is the proxy's own and is rolled back together with the statement.
    """

    request: str
    text: str
    values: Mapping[str, str]
    timeout_s: float
    shape: tuple[bool, str] | None = None
    opening: Opening = Opening.NOTHING
    after: model.Position | None = None
    leads: bool = False
    commits: bool = False
    discards: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold what came of an order.

    Attributes:
        reply: Answer to the statement, or the refusal of what was to be opened before it.
        opened: Answer to the opening of a transaction, or None.
    """

    reply: statements.Reply
    opened: statements.Reply | None = None

    def sample(self, order: Order) -> statements.Reply | None:
        """Return the answer that proves the lead and tells the primary's position, or None."""
        proof = self.opened if order.opening is Opening.LEADS else self.reply
        if order.opening is not Opening.LEADS and not (order.commits or order.leads):
            return None
        return proof if proof is not None and proof.failure is None and proof.position is not None else None


async def perform(order: Order, lent: link.Conversation) -> Report:
    """Carry out an order on a connection that is in use for it alone.

    Raises:
        errors.LinkLostError: The connection ended or was silent; ``sent`` tells whether the statement may have run.
    """
    deadline = clock.now() + order.timeout_s
    try:
        text = await _prepare(order, lent, deadline)
        opened = await _open(order, lent, deadline)
    except errors.LinkLostError as error:
        raise errors.LinkLostError(str(error), sent=False, timed_out=error.timed_out) from error
    if opened is not None and opened.failure is not None:
        return Report(opened, opened)
    message = _codec.encode_statement(order.request, text, order.after if opened is None else None)
    if order.discards:
        reply, _ = await lent.exchange(message + _codec.encode_rollback(), count=2, timeout_s=_left(deadline))
    else:
        (reply,) = await lent.exchange(message, timeout_s=_left(deadline))
    if reply.failure is not None and reply.failure.code is statements.Code.UNKNOWN_STATEMENT:
        lent.forget_prepared()
    return Report(reply, opened)


async def _prepare(order: Order, lent: link.Conversation, deadline: float) -> str:
    """Give the connection the session's values, and return the statement's text for this connection."""
    await lent.synchronise(order.values, timeout_s=_left(deadline))
    if order.shape is None:
        return order.text
    name = await lent.prepare(*order.shape, timeout_s=_left(deadline))
    return _codec.execute_text(name, order.text)


async def _open(order: Order, lent: link.Conversation, deadline: float) -> statements.Reply | None:
    if order.opening is Opening.NOTHING:
        return None
    # The answer is awaited: a statement behind a refused opening would run outside the transaction.
    message = _codec.encode_begin(read_only=order.opening is Opening.READS, after=order.after)
    (opened,) = await lent.exchange(message, timeout_s=_left(deadline))
    return opened


def _left(deadline: float) -> float:
    return max(0.001, deadline - clock.now())
