"""Registry of functions or classes by name, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from currantlead import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one kind by name."""

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an entry.

        Args:
            name: Unique name of the entry.

        Returns:
            Decorator that returns its argument unchanged.

        Raises:
            ValueError: The name is already registered; raised when the decorator is applied.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry with a name.

        Args:
            name: Name of the entry.

        Returns:
            The entry.

        Raises:
            errors.UnknownNameError: No entry has this name; the message lists the known ones.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries)) or "none"
            raise errors.UnknownNameError(f"no {self.kind} is named {name!r}; known: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))

    def __contains__(self, name: object) -> bool:
        return name in self._entries
