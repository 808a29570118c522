"""Table of the transactions that are open at this VM."""

import dataclasses
import hmac
import secrets
from collections.abc import Iterator

from currantlead.connections import endpoint, pool
from currantlead.control import model


@dataclasses.dataclass(eq=False, slots=True)
class Transaction:
    """Hold one open transaction and the connection that is pinned for it.

    Attributes:
        identifier: ``VM.INCARNATION.NUMBER.SECRET``.
        organisation: The only organisation that may use it.
        database: Name of the database.
        instance: Name of the primary on which it runs.
        term: Term in which it began.
        connection: The pinned connection.
        pool: Where the connection returns to.
        used_at: Clock reading of the last use.
        busy: Whether a statement is under way.
    """

    identifier: str
    organisation: str
    database: str
    instance: str
    term: int
    connection: endpoint.Connection
    pool: pool.Pool
    used_at: float
    busy: bool = False


def parse_vm(identifier: str) -> str | None:
    """Return the VM that holds a transaction, or None if the id is malformed."""
    parts = identifier.rsplit(".", 3)
    if len(parts) != 4 or not all(parts) or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return parts[0]


class Table:
    """Create, find and remove transactions."""

    def __init__(self, member: model.Member):
        self._prefix = f"{member.vm}.{member.incarnation}"
        self._number = 0
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Transaction]:
        return iter(list(self._open.values()))

    def create_identifier(self) -> str:
        """Return a new id, whose last part cannot be guessed."""
        self._number += 1
        return f"{self._prefix}.{self._number}.{secrets.token_urlsafe(16)}"

    def add(self, transaction: Transaction) -> None:
        """Add an open transaction."""
        self._open[_public(transaction.identifier)] = transaction

    def find(self, identifier: str, organisation: str) -> Transaction | None:
        """Return a transaction of an organisation; one of another organisation is as unknown as none."""
        transaction = self._open.get(_public(identifier))
        if transaction is None or transaction.organisation != organisation:
            return None
        # The comparison takes the same time wherever the secrets differ.
        return transaction if hmac.compare_digest(transaction.identifier.encode(), identifier.encode()) else None

    def remove(self, transaction: Transaction) -> bool:
        """Remove a transaction; return False if it was removed before."""
        return self._open.pop(_public(transaction.identifier), None) is not None

    def count(self, instance: str, organisation: str | None = None) -> int:
        """Return how many transactions are open at an instance, of one organisation or of all."""
        return sum(
            each.instance == instance and organisation in (None, each.organisation) for each in self._open.values()
        )


def _public(identifier: str) -> str:
    return identifier.rpartition(".")[0]
