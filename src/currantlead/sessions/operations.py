"""What sessions and execution tell each other: on whose behalf a statement runs, where it may, what came of it."""

import dataclasses
from collections.abc import Callable, Mapping

from currantlead.sessions import fleet, model, paths, statements


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Describe on whose behalf a statement runs.

    Attributes:
        route: The route in force when the operation began.
        organisation: Name that instances are told; empty for anonymous callers.
        regions: Regions that it may run in; empty for all.
        values: Session values.
        prepared: Prepared statements of the session by name: whether they write, and their shape.
        began_at: Reading at which the first byte of the operation had arrived, in seconds.
        own_position: Position of the session's last commit, or None.
        refuse: Says why the caller's statements may not run at this moment, or None; asked just before each is sent.
    """

    route: model.Route
    organisation: str
    regions: frozenset[str]
    values: Mapping[str, str]
    prepared: Mapping[str, tuple[bool, str]]
    began_at: float
    own_position: model.Position | None
    refuse: Callable[[], statements.Failure | None]


@dataclasses.dataclass(slots=True)
class Lease:
    """Hold a caller's transaction at an instance.

    Attributes:
        transaction: The transaction.
        leads: Whether only an instance that leads answers its statements.
        wrote: Whether a write may have run in the transaction.
    """

    transaction: paths.Transaction
    leads: bool
    wrote: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold the answer to a statement.

    Attributes:
        rows: Rows for the caller.
        result: The instance's signature, or the failure.
        position: Position of the instance's log, or None.
        may_have_run: Whether the statement may have taken effect or been counted by an instance.
        unanswered: Whether nothing came back and another attempt is harmless.
        offered: Whether the answer is an instance's own.
    """

    rows: tuple[str, ...]
    result: statements.Done | statements.Failure
    position: model.Position | None = None
    may_have_run: bool = True
    unanswered: bool = False
    offered: bool = False

    @classmethod
    def refused(cls, code: statements.Code, detail: str) -> "Outcome":
        """Return the outcome of a statement that was not sent to an instance, or was refused by it."""
        return cls((), statements.Failure(code, detail), None, may_have_run=False)

    @classmethod
    def of(cls, reply: statements.Reply) -> "Outcome":
        """Return the outcome that an instance's answer means."""
        failure = reply.failure
        may_have_run = failure is None or failure.code not in statements.NOT_RUN
        return cls(reply.rows, reply.result, reply.position, may_have_run, offered=True)

    @property
    def failure(self) -> statements.Failure | None:
        """Return why the statement failed, or None."""
        return self.result if isinstance(self.result, statements.Failure) else None


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Say where a statement may run, and under which proof of freshness.

    Attributes:
        known: The instance.
        path: How it is reached from this VM.
        after: Position that its log must have; None where the instance has to prove that it leads.
        sampled_at: Reading at which the position was asked for, or None without a position.
    """

    known: fleet.TrackedInstance
    path: paths.Path
    after: model.Position | None
    sampled_at: float | None = None
