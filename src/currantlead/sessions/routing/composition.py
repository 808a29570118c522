"""Orders for the statements of callers, and the outcomes of attempts without an answer; all functions are pure."""

import dataclasses

from currantlead import errors
from currantlead.sessions import model, statements
from currantlead.sessions.decisions import start_pacing
from currantlead.sessions.instances import orders
from currantlead.sessions.routing import operations


def build_order(
    context: operations.Context,
    request_id: str,
    statement: statements.Statement,
    *,
    timeout_s: float,
    begin_mode: orders.BeginMode = orders.BeginMode.NONE,
    after: model.Position | None = None,
    needs_primary: bool = False,
    commits: bool = False,
    rolls_back: bool = False,
) -> orders.Order:
    """Return the order for a caller's statement; see ``orders.Order`` for the arguments."""
    prepared = statement.kind is statements.Kind.EXECUTE
    return orders.Order(
        request_id=request_id,
        text=statement.argument if prepared else statement.text,
        values=context.values,
        timeout_s=timeout_s,
        shape=context.prepared[statement.name] if prepared else None,
        begin_mode=begin_mode,
        after=after,
        needs_primary=needs_primary,
        commits=commits,
        rolls_back=rolls_back,
    )


def lost_outcome(instance_id: str, error: errors.LinkLostError, may_commit: bool) -> operations.Outcome:
    """Return the outcome of a statement whose connection was lost."""
    if may_commit and error.sent:
        failure = statements.Failure(statements.Code.IN_DOUBT, f"{instance_id} did not answer")
        return operations.Outcome((), failure)
    # A read may have run before its answer was lost, so it counts towards the rate limit.
    code = statements.Code.TIMEOUT if error.sent else statements.Code.BUSY
    failure = statements.Failure(code, f"{instance_id} did not answer")
    return operations.Outcome((), failure, may_have_run=error.sent, unanswered=True)


def add_retry_delay(
    outcome: operations.Outcome, start_phase: start_pacing.StartPhase | None, now: float
) -> operations.Outcome:
    """Tell the caller of a statement that could not run in the start phase when to return."""
    failure = outcome.failure
    if start_phase is None or failure is None or not start_phase.is_active(now):
        return outcome
    if outcome.may_have_run or failure.code is not statements.Code.BUSY or "retry-after-ms=" in failure.detail:
        return outcome
    detail = failure.detail + start_phase.retry_hint(now)
    return dataclasses.replace(outcome, result=statements.Failure(failure.code, detail))


def is_write(context: operations.Context, statement: statements.Statement) -> bool:
    """Return whether a statement writes; an execution does if what was prepared does."""
    if statement.kind is statements.Kind.EXECUTE:
        return context.prepared[statement.name][0]
    return statement.writes
