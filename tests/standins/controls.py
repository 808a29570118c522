"""Limits and injected faults of the stand-in endpoint."""

import dataclasses
from typing import Any


class RefusedError(Exception):
    """Raised to refuse a request with an HTTP status and an error body."""

    def __init__(self, status: int, error: str, **fields: Any):
        super().__init__(error)
        self.status = status
        self.body = {"error": error, **fields}


@dataclasses.dataclass(slots=True)
class Controls:
    """Limits and faults that ``POST /control`` changes.

    Attributes:
        slots: Maximum number of statements that run at the same time.
        connections: Maximum number of open connections.
        connect_time_s: Time to open a connection.
        statement_s: Time that each statement takes.
        delay_s: Additional delay before each statement runs.
        answer_delay_s: Delay of responses.
        lag_s: Lag with which a replica applies records that it has received.
        receive_lag_s: Lag with which a replica receives records.
        lose_answers: Number of next responses to drop by closing the connection.
        truncate_answers: Number of next responses to cut short.
        duplicate_answers: Number of next responses to send twice.
        cross_answers: Number of next responses to send with the request id of another request.
        leaving: Whether new connections, and requests outside a transaction, are refused with ``leaving``.
        cut_from: Names of the peers that this instance is cut off from; ``*`` is everyone.
    """

    slots: int = 5
    connections: int = 50
    connect_time_s: float = 0.0
    statement_s: float = 0.0
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lag_s: float = 0.0
    receive_lag_s: float = 0.0
    lose_answers: int = 0
    truncate_answers: int = 0
    duplicate_answers: int = 0
    cross_answers: int = 0
    leaving: bool = False
    cut_from: list[str] = dataclasses.field(default_factory=list)

    def is_cut(self, peer: str) -> bool:
        """Return whether this instance is cut off from a peer."""
        return "*" in self.cut_from or peer in self.cut_from
