"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from agatedock import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind, registered when plug-ins load."""

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers an object under a name.

        The decorator raises ValueError if the name is already registered.
        """

        def add(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Returns the object registered under a name.

        Raises:
          errors.UserError: The name is not registered; the message lists the
            names that are.
        """
        if name not in self._items:
            known = ", ".join(sorted(self._items)) or "none"
            raise errors.UserError(
                f"no {self._kind} named {name!r}; known: {known}"
            )
        return self._items[name]

    def names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._items)
