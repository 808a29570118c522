"""Send statements of an open transaction to the VM that holds its connection."""

from collections.abc import Callable

import result

from currantlead import interfaces, messages, verdict
from currantlead.connections import transactions
from currantlead.routing import dispatch


def public_id(database: str, transaction: str) -> str:
    """Return the id that a caller gets: the holder's id with the database in front.

    Args:
        database: Name of the database.
        transaction: Id that the holder gave, which begins with the name of its VM.

    Returns:
        The id; any VM can find the database and the holder in it.
    """
    return f"{database}.{transaction}"


def database_of(public: str) -> str:
    """Return the database that a public transaction id names, or an empty string."""
    return public.partition(".")[0]


class Transactions:
    """Forward transaction work; holds no state, since the id names the holder."""

    def __init__(self, *, dispatcher: dispatch.Dispatcher, clock: Callable[[], float], request_timeout_s: float):
        """Create the part.

        Args:
            dispatcher: Sends work to a VM.
            clock: Monotonic clock in seconds.
            request_timeout_s: Longest time for one request.
        """
        self._dispatcher = dispatcher
        self._clock = clock
        self._request_timeout_s = request_timeout_s

    async def serve(self, request: interfaces.CallerRequest, caller: messages.Caller) -> interfaces.Outcome:
        """Run a statement of a transaction, or finish it.

        Args:
            request: The caller's request with a transaction id.
            caller: On whose behalf it runs.

        Returns:
            The outcome.
        """
        database, _, transaction = request.transaction.partition(".")
        vm = transactions.parse_vm(transaction)
        if vm is None:
            return result.Err(unknown())
        outcome = await self._send(request, caller, database, transaction, vm)
        if isinstance(outcome, result.Err) and _is_gone(outcome.err_value):
            return result.Err(unknown())
        return outcome

    async def _send(
        self, request: interfaces.CallerRequest, caller: messages.Caller, database: str, transaction: str, vm: str
    ) -> interfaces.Outcome:
        timeout_s = self._request_timeout_s
        if request.action is interfaces.Action.TRANSACT:
            statement = messages.Statement(
                request.request, database, request.sql, request.params, write=True, after=request.session.get(database)
            )
            return await self._dispatcher.transact(messages.Transact(transaction, statement, caller, timeout_s), vm)
        commit = request.action is interfaces.Action.COMMIT
        finish = messages.Finish(transaction, request.request, caller, commit, timeout_s, database)
        return await self._dispatcher.finish(finish, vm)


def unknown() -> verdict.Refusal:
    """Return the refusal of a request whose transaction cannot be reached; an earlier commit may have succeeded."""
    return verdict.Refusal(
        verdict.Reason.UNKNOWN_TRANSACTION,
        detail="there is no such open transaction; one that was not committed is rolled back",
    )


def _is_gone(refusal: verdict.Refusal) -> bool:
    """Tell whether the VM that held a transaction did not get the request; its transactions end without it."""
    return refusal.reason is verdict.Reason.UNREACHABLE and refusal.verdict is verdict.Verdict.NOT_RUN
