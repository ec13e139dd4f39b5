"""Values of the defaults in a scope, with the exceptions laid over them."""

from __future__ import annotations

import dataclasses
import itertools
from typing import Any

from agatedock import clock
from agatedock.fleet import documents

_FIELDS = ("account", "model", "service")


@dataclasses.dataclass(frozen=True)
class ResolvedValue:
    """A setting's value in one scope and the exception it came from."""

    value: Any
    override: documents.Override | None


class Resolver:
    """Finds the exceptions of a scope without looking at all of them."""

    def __init__(self, document: documents.Document):
        self._defaults = document.defaults
        self._index: dict[tuple[str, ...], list[documents.Override]] = {}
        for item in document.exceptions:
            match = item.match
            place = (match.account, match.model, match.service)
            self._index.setdefault(place, []).append(item)

    def resolve(
        self, key: str, scope: documents.Match, now_ms: int
    ) -> ResolvedValue:
        """Returns the value of a default in a scope.

        The exception that names most fields wins; among equals the later
        one.

        Args:
          key: Name of the default.
          scope: The request's account and its model or service.
          now_ms: Wall-clock time in milliseconds.
        """
        best: documents.Override | None = None
        for place in self._list_places(scope):
            for item in self._index.get(place, ()):
                if key not in item.set or not item.applies(scope, now_ms):
                    continue
                if best is None or _weigh(item) >= _weigh(best):
                    best = item
        if best is None:
            return ResolvedValue(getattr(self._defaults, key), None)
        return ResolvedValue(best.set[key], best)

    def get(self, key: str, **scope: str) -> Any:
        """Returns the value of a default in a scope at the present time."""
        now_ms = clock.read_wall_ms()
        return self.resolve(key, documents.Match(**scope), now_ms).value

    def _list_places(self, scope: documents.Match) -> set[tuple[str, ...]]:
        """Returns the matches that can apply to a scope."""
        choices = [("", getattr(scope, field)) for field in _FIELDS]
        return set(itertools.product(*choices))


def _weigh(item: documents.Override) -> int:
    return len(item.match.get_criteria())
