"""Forward requests on an open transaction to the VM that holds its connection."""

from collections.abc import Callable

import result

from currantlead import interfaces, messages, verdict
from currantlead.connections import transactions
from currantlead.routing import dispatch


def public_id(database: str, transaction: str) -> str:
    """Return the transaction id for the caller: the holder's id, prefixed with the database.

    Args:
        database: Name of the database.
        transaction: Id created by the holder, which begins with the name of its VM.

    Returns:
        The id, from which any VM can tell the database and the holder.
    """
    return f"{database}.{transaction}"


def database_of(public_transaction_id: str) -> str:
    """Return the database of a public transaction id; empty if the id does not begin with one."""
    return public_transaction_id.partition(".")[0]


class TransactionForwarder:
    """Forward requests on transactions; keeps no state, since the id contains the holder."""

    def __init__(self, *, dispatcher: dispatch.Dispatcher, clock: Callable[[], float], request_timeout_s: float):
        """Create a forwarder.

        Args:
            dispatcher: Sends requests to other VMs.
            clock: Monotonic clock in seconds.
            request_timeout_s: Timeout of one request in seconds.
        """
        self._dispatcher = dispatcher
        self._clock = clock
        self._request_timeout_s = request_timeout_s

    async def serve(self, request: interfaces.CallerRequest, caller: messages.Caller) -> interfaces.Outcome:
        """Run a statement of a transaction, or finish it.

        Args:
            request: The caller's request with a transaction id.
            caller: Organisation and key on whose behalf the request runs.

        Returns:
            The outcome; ``UNKNOWN_TRANSACTION`` if the id is malformed or its VM cannot be reached.
        """
        database, _, transaction = request.transaction.partition(".")
        vm = transactions.parse_vm(transaction)
        if vm is None:
            return result.Err(unknown_transaction())
        outcome = await self._send(request, caller, database, transaction, vm)
        if isinstance(outcome, result.Err) and _holder_unreachable(outcome.err_value):
            return result.Err(unknown_transaction())
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


def unknown_transaction() -> verdict.Refusal:
    """Return the refusal for a transaction that cannot be reached; an earlier commit of it may have succeeded."""
    return verdict.Refusal(
        verdict.Reason.UNKNOWN_TRANSACTION,
        detail="the transaction is not open; if it was not committed, it has been rolled back",
    )


def _holder_unreachable(refusal: verdict.Refusal) -> bool:
    """Return whether a request could not be sent to its holder, whose transactions are rolled back when it fails."""
    return refusal.reason is verdict.Reason.UNREACHABLE and refusal.verdict is verdict.Verdict.NOT_RUN
