"""Look up organisations by the digests of their keys."""

import hashlib
import hmac

from currantlead.control import model


def digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key; the key itself is not stored anywhere."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


class KeyIndex:
    """Index of the key digests in one configuration.

    Attributes:
        number: Number of the configuration.
    """

    def __init__(self, configuration: model.Configuration):
        """Build the index.

        Args:
            configuration: The configuration. A digest that several organisations list is ignored, because a request
                must not run on behalf of the wrong organisation.
        """
        self.number = configuration.number
        self._configuration = configuration
        entries: dict[str, tuple[str, str]] = {}
        ambiguous: set[str] = set()
        for organisation in configuration.organisations.values():
            for stored_digest in organisation.keys.values():
                entry = entries.setdefault(stored_digest.lower()[:16], (stored_digest.lower(), organisation.name))
                if entry != (stored_digest.lower(), organisation.name):
                    ambiguous.add(stored_digest.lower()[:16])
        self._entries_by_prefix = {prefix: entry for prefix, entry in entries.items() if prefix not in ambiguous}

    @classmethod
    def from_config(cls, configuration: model.Configuration) -> "KeyIndex":
        """Create the index of a configuration."""
        return cls(configuration)

    def organisation(self, key_digest: str) -> str | None:
        """Return the organisation whose key has this digest, or None.

        The index is looked up by the first 64 bits of the digest. The timing of this lookup reveals nothing about a
        key. The whole digest is then compared in constant time.
        """
        entry = self._entries_by_prefix.get(key_digest[:16])
        stored_digest, name = entry if entry is not None else ("0" * 64, None)
        matches = hmac.compare_digest(stored_digest.encode("ascii", "replace"), key_digest.encode("ascii", "replace"))
        return name if matches else None

    def is_granted(self, organisation: str, database: str) -> bool:
        """Return whether an organisation is granted the service of a database."""
        organisation_record = self._configuration.organisations.get(organisation)
        database_record = self._configuration.databases.get(database)
        return (
            organisation_record is not None
            and database_record is not None
            and database_record.service in organisation_record.services
        )
