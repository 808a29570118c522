"""Map digests of callers' keys to organisations."""

import hashlib
import hmac

from currantlead.control import model


def digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal; the key itself is not kept anywhere."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


class Index:
    """Find the organisation of a key digest; built once for each configuration."""

    def __init__(self, configuration: model.Configuration):
        """Build the index.

        Args:
            configuration: The configuration. A digest that two organisations list belongs to neither, because a
                request must not run on behalf of the wrong one.
        """
        self.number = configuration.number
        self._configuration = configuration
        found: dict[str, tuple[str, str]] = {}
        shared: set[str] = set()
        for organisation in configuration.organisations.values():
            for stored in organisation.keys.values():
                known = found.setdefault(stored.lower()[:16], (stored.lower(), organisation.name))
                if known != (stored.lower(), organisation.name):
                    shared.add(stored.lower()[:16])
        self._found = {prefix: entry for prefix, entry in found.items() if prefix not in shared}

    @classmethod
    def from_config(cls, configuration: model.Configuration) -> "Index":
        """Build the index of a configuration."""
        return cls(configuration)

    def organisation(self, key_digest: str) -> str | None:
        """Return the organisation whose key has this digest, or None.

        The table is searched by the first 64 bits of a digest, which tells nothing about a key; the whole digest is
        compared in constant time.
        """
        entry = self._found.get(key_digest[:16])
        stored, name = entry if entry is not None else ("0" * 64, None)
        same = hmac.compare_digest(stored.encode("ascii", "replace"), key_digest.encode("ascii", "replace"))
        return name if same else None

    def may_use(self, organisation: str, database: str) -> bool:
        """Tell whether an organisation is granted the service of a database."""
        tenant = self._configuration.organisations.get(organisation)
        target = self._configuration.databases.get(database)
        return tenant is not None and target is not None and target.service in tenant.services
