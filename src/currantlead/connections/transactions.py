"""Transaction ids and the table of transactions that are open at this VM."""

import dataclasses
import hmac
import secrets
from collections.abc import Iterator

from currantlead.connections import endpoint, pool
from currantlead.control import model


@dataclasses.dataclass(eq=False, slots=True)
class Transaction:
    """An open transaction and the connection that is pinned for it.

    Attributes:
        identifier: ``VM.INCARNATION.NUMBER.SECRET``.
        organisation: Organisation that opened it; no other one may use it.
        database: Name of the database.
        instance: Name of the primary instance on which it runs.
        term: Term in which it began.
        connection: The pinned connection.
        pool: Pool to which the connection is returned.
        used_at: Clock reading of the last use.
        busy: Whether a request on it is being processed.
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
    """Return the VM that holds the transaction with this id, or None if the id is malformed."""
    parts = identifier.rsplit(".", 3)
    if len(parts) != 4 or not all(parts) or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return parts[0]


class TransactionTable:
    """Table of open transactions."""

    def __init__(self, member: model.Member):
        self._prefix = f"{member.vm}.{member.incarnation}"
        self._number = 0
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Transaction]:
        return iter(list(self._open.values()))

    def create_identifier(self) -> str:
        """Return a new id that ends in an unguessable secret."""
        self._number += 1
        return f"{self._prefix}.{self._number}.{secrets.token_urlsafe(16)}"

    def add(self, transaction: Transaction) -> None:
        """Add an open transaction."""
        self._open[_without_secret(transaction.identifier)] = transaction

    def find(self, identifier: str, organisation: str) -> Transaction | None:
        """Return a transaction by its id, or None if there is none or it belongs to another organisation."""
        transaction = self._open.get(_without_secret(identifier))
        if transaction is None or transaction.organisation != organisation:
            return None
        # Compares in constant time, so that the secret cannot be guessed part by part.
        return transaction if hmac.compare_digest(transaction.identifier.encode(), identifier.encode()) else None

    def remove(self, transaction: Transaction) -> bool:
        """Remove a transaction; return False if it was already removed."""
        return self._open.pop(_without_secret(transaction.identifier), None) is not None

    def count(self, instance: str, organisation: str | None = None) -> int:
        """Return the number of open transactions on an instance, of one organisation or of all."""
        return sum(
            transaction.instance == instance and organisation in (None, transaction.organisation)
            for transaction in self._open.values()
        )


def _without_secret(identifier: str) -> str:
    return identifier.rpartition(".")[0]
