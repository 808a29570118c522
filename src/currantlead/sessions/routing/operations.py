"""Data that sessions and the executor exchange: context, target and outcome of a statement."""

import dataclasses
from collections.abc import Callable, Mapping

from currantlead import errors
from currantlead.sessions import model, refusals, statements
from currantlead.sessions.decisions import stale_reads
from currantlead.sessions.instances import fleet, paths


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Context in which the statements of a caller run.

    Attributes:
        route: The route in force when the operation began.
        organisation: Organisation named to instances; empty for anonymous callers.
        regions: Regions that the statement may run in; empty for all.
        values: Values set in the session.
        prepared: For each prepared statement of the session by name, whether it writes, and its shape.
        began_at: Clock reading at which the first byte of the operation had arrived, in seconds.
        last_commit_position: Log position of the session's last commit, or None.
        check: Returns why the caller's statements may not run now, or None; called just before each is sent.
        refused_since: Clock reading at which an earlier attempt of the operation began that was refused, or None.
    """

    route: model.Route
    organisation: str
    regions: frozenset[str]
    values: Mapping[str, str]
    prepared: Mapping[str, tuple[bool, str]]
    began_at: float
    last_commit_position: model.Position | None
    check: Callable[[], statements.Failure | None]
    refused_since: float | None = None


@dataclasses.dataclass(slots=True)
class Lease:
    """A caller's open transaction at an instance.

    Attributes:
        transaction: The transaction with its connection.
        needs_primary: Whether its statements are answered only while the instance is primary.
        wrote: Whether a write may have run in the transaction.
    """

    transaction: paths.Transaction
    needs_primary: bool
    wrote: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a statement.

    Attributes:
        rows: Rows for the caller.
        result: The instance's signature, or the failure.
        position: Position of the instance's log, or None if it is unknown.
        may_have_run: Whether an instance may have run or counted the statement.
        unanswered: Whether no answer came back and another attempt is safe.
        from_instance: Whether an instance gave the answer.
        retry_after_s: Delay after which the caller should return, or None if the queue named none.
        offers_late: Whether the queue would admit the statement if it may be served late.
    """

    rows: tuple[str, ...]
    result: statements.Done | statements.Failure
    position: model.Position | None = None
    may_have_run: bool = True
    unanswered: bool = False
    from_instance: bool = False
    retry_after_s: float | None = None
    offers_late: bool = False

    @classmethod
    def refused(cls, code: statements.Code, detail: str, cause: str = "") -> "Outcome":
        """Return the outcome of a statement that was not sent to an instance or was refused by it."""
        return cls((), statements.Failure(code, detail, cause), None, may_have_run=False)

    @classmethod
    def busy(cls, error: errors.PoolUnavailableError) -> "Outcome":
        """Return the outcome of a statement for which no connection was available."""
        failure = statements.Failure(statements.Code.BUSY, str(error), "queue" if error.retry_after_s else "")
        return cls((), failure, None, False, retry_after_s=error.retry_after_s, offers_late=error.offers_late)

    @classmethod
    def of(cls, reply: statements.Reply) -> "Outcome":
        """Return the outcome for an instance's answer."""
        failure = reply.failure
        may_have_run = failure is None or failure.code not in statements.NOT_RUN
        return cls(reply.rows, reply.result, reply.position, may_have_run, from_instance=True)

    @property
    def failure(self) -> statements.Failure | None:
        """Return why the statement failed, or None if it succeeded."""
        return self.result if isinstance(self.result, statements.Failure) else None


@dataclasses.dataclass(slots=True)
class QueueRefusals:
    """Refusals of one statement by the queues of the instances that it was offered to.

    Attributes:
        delays_s: Delays after which the caller may return to one of the queues, in seconds.
        refused_ids: Instances whose queues refused it.
        offered_ids: Those that would serve it late.
        serves_late: Whether the statement is now offered to be served late.
        replica_waits: Number of times that the statement has waited for a replica to catch up.
    """

    delays_s: list[float] = dataclasses.field(default_factory=list)
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    offered_ids: set[str] = dataclasses.field(default_factory=set)
    serves_late: bool = False
    replica_waits: int = 0

    def record(self, instance_id: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        if outcome.retry_after_s is None:
            self.refused_ids.discard(instance_id)
            return
        self.delays_s.append(outcome.retry_after_s)
        self.refused_ids.add(instance_id)
        if outcome.offers_late:
            self.offered_ids.add(instance_id)

    def offer_late(self, tried_ids: set[str]) -> bool:
        """Let the instances that would serve the statement late be tried once more; return whether there are any."""
        if self.serves_late or not self.offered_ids:
            return False
        self.serves_late = True
        tried_ids -= self.offered_ids
        return True

    def complete(self, outcome: Outcome) -> Outcome:
        """Return the last outcome, with the shortest delay if a queue refused the statement."""
        if outcome.retry_after_s is None or outcome.failure is None:
            return outcome
        detail = refusals.add_delay(outcome.failure.detail, min(self.delays_s))
        return dataclasses.replace(outcome, result=dataclasses.replace(outcome.failure, detail=detail))


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """How an instance was chosen by expected completion.

    Attributes:
        distance: Name of the instance's distance: ``domain``, ``region`` or ``other_region``.
        reason: Why it was chosen; see ``placement.Choice``. Also ``excluded``: nearer ones are suspect, lagging or were
            tried; ``none_nearer``: no allowed one is nearer; ``traffic_limit``: the limit on traffic to other domains
            keeps the work here; ``primary``: only the primary may run it.
        completion_s: Expected completion, in seconds, or None if it is unknown.
    """

    distance: str
    reason: str
    completion_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Instance for one attempt, and the proof of freshness that it has to give.

    Attributes:
        tracked: The instance.
        path: Path to it from this VM.
        after: Position that its log must have reached; None if it has to prove that it is primary instead.
        sampled_at: Clock reading at which the position was requested, or None without a position.
        placed: How it was chosen, or None without placement by expected completion.
        wait_s: Wait until the instance is expected to have reached the position, in seconds.
        yields_to_writes: Whether the read runs at the primary only because the replicas are behind.
    """

    tracked: fleet.TrackedInstance
    path: paths.Path
    after: model.Position | None
    sampled_at: float | None = None
    placed: Placement | None = None
    wait_s: float = 0.0
    yields_to_writes: bool = False

    def priority(self, context: Context) -> int:
        """Return the priority with which a statement waits."""
        priority = context.route.priority
        return stale_reads.priority_at_primary(priority) if self.yields_to_writes else priority
