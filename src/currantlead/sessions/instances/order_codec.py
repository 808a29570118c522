"""Orders and reports as values that the frames between VMs can carry."""

from collections.abc import Sequence
from typing import Any

from currantlead.sessions import model, statements
from currantlead.sessions.instances import orders


def encode_report(report: orders.Report) -> list[Any]:
    """Convert a report to values that a frame can carry."""
    return [encode_reply(report.reply), encode_reply(report.begin_reply) if report.begin_reply is not None else None]


def encode_order(order: orders.Order) -> list[Any]:
    """Convert an order to values that a frame can carry."""
    return [
        _to_bytes(order.request_id),
        _to_bytes(order.text),
        {_to_bytes(name): _to_bytes(value) for name, value in order.values.items()},
        round(order.timeout_s, 3),
        None if order.shape is None else (order.shape[0], _to_bytes(order.shape[1])),
        order.begin_mode.value,
        _encode_position(order.after),
        order.needs_primary,
        order.commits,
        order.rolls_back,
    ]


def decode_order(values: Sequence[Any]) -> orders.Order:
    """Return the order that ``encode_order`` converted to values."""
    request_id, text, session_values, timeout_s, shape, begin_mode, after, needs_primary, commits, rolls_back = values
    return orders.Order(
        request_id=_to_text(request_id),
        text=_to_text(text),
        values={_to_text(name): _to_text(value) for name, value in session_values.items()},
        timeout_s=timeout_s,
        shape=None if shape is None else (shape[0], _to_text(shape[1])),
        begin_mode=orders.BeginMode(begin_mode),
        after=_decode_position(after),
        needs_primary=needs_primary,
        commits=commits,
        rolls_back=rolls_back,
    )


def encode_reply(reply: statements.Reply) -> list[Any]:
    """Convert a reply to values that a frame can carry."""
    failure = reply.failure
    code, detail = (failure.code.value, failure.detail) if failure is not None else (None, reply.result.signature)
    rows = [_to_bytes(row) for row in reply.rows]
    return [rows, code, _to_bytes(detail), reply.state.value, _encode_position(reply.position)]


def decode_reply(values: Sequence[Any], asked_at: float) -> statements.Reply:
    """Return the reply that ``encode_reply`` converted to values, asked for at a clock reading of this VM."""
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
    # Texts of callers may contain arbitrary bytes, which are represented as surrogate escapes.
    return text.encode(errors="surrogateescape")


def _to_text(data: bytes) -> str:
    return data.decode(errors="surrogateescape")


def _encode_position(position: model.Position | None) -> list[int] | None:
    return None if position is None else [position.term, position.number]


def _decode_position(values: Sequence[int] | None) -> model.Position | None:
    return None if values is None else model.Position(*values)
