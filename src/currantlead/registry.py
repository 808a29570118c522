"""Collect functions and classes by name with a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from currantlead import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to implementations of one kind of behaviour."""

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its target under a name.

        Args:
            name: The name; each may be used once.

        Returns:
            A decorator that returns its target unchanged.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry of a name.

        Args:
            name: A registered name.

        Returns:
            The entry.

        Raises:
            errors.UnknownNameError: No entry has this name.
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
