"""Limits and faults of the stand-in endpoint."""

import dataclasses
from typing import Any


class FaultError(Exception):
    """Refuse a request before it is executed."""

    def __init__(self, status: int, error: str, **more: Any):
        super().__init__(error)
        self.status = status
        self.body = {"error": error, **more}


@dataclasses.dataclass(slots=True)
class Controls:
    """Hold the limits and faults that ``POST /control`` changes."""

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
        """Tell whether nothing is exchanged with a peer."""
        return "*" in self.cut_from or peer in self.cut_from
