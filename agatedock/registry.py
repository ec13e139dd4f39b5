"""Registries that decorators fill, for behaviour that varies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from agatedock import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind, filled at import of plug-ins."""

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds its object under the given name."""

        def add(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Returns the object of that name, or tells the operator the choices.

        Raises:
          errors.UserError: No plug-in registered that name.
        """
        if name not in self._items:
            known = ", ".join(sorted(self._items)) or "none"
            raise errors.UserError(
                f"no {self._kind} named {name!r}; known: {known}"
            )
        return self._items[name]

    def names(self) -> list[str]:
        """Returns the registered names in order."""
        return sorted(self._items)
