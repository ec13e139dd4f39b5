"""Resolves the value of a default in a scope, with overrides applied."""

from __future__ import annotations

import dataclasses
import itertools
from typing import Any

from agatedock import clock
from agatedock.fleet import documents

_FIELDS = ("account", "model", "service")


@dataclasses.dataclass(frozen=True)
class ResolvedValue:
    """The value of a default in one scope.

    Attributes:
      override: The override that set the value; None for the default.
    """

    value: Any
    override: documents.Override | None


class Resolver:
    """Resolves values through an index of the overrides by their criteria.

    The index avoids a scan of all overrides for each request.
    """

    def __init__(self, document: documents.Document):
        self._defaults = document.defaults
        self._index: dict[tuple[str, ...], list[documents.Override]] = {}
        for override in document.exceptions:
            match = override.match
            match_key = (match.account, match.model, match.service)
            self._index.setdefault(match_key, []).append(override)

    def resolve(
        self, key: str, scope: documents.Match, now_ms: int
    ) -> ResolvedValue:
        """Returns the value of a default in a scope.

        The override with the most criteria applies; among equals, the later
        one in the document.

        Args:
          key: Name of the default.
          scope: The request's account and its model or service.
          now_ms: Wall-clock time in milliseconds.
        """
        winner: documents.Override | None = None
        for match_key in self._list_match_keys(scope):
            for override in self._index.get(match_key, ()):
                if key not in override.set or not override.applies(
                    scope, now_ms
                ):
                    continue
                if winner is None or _count_criteria(
                    override
                ) >= _count_criteria(winner):
                    winner = override
        if winner is None:
            return ResolvedValue(getattr(self._defaults, key), None)
        return ResolvedValue(winner.set[key], winner)

    def get(self, key: str, **scope: str) -> Any:
        """Returns the value of a default in a scope at the current time."""
        now_ms = clock.read_wall_ms()
        return self.resolve(key, documents.Match(**scope), now_ms).value

    def _list_match_keys(self, scope: documents.Match) -> set[tuple[str, ...]]:
        """Returns the index keys of all criteria that match a scope."""
        alternatives = [("", getattr(scope, field)) for field in _FIELDS]
        return set(itertools.product(*alternatives))


def _count_criteria(override: documents.Override) -> int:
    return len(override.match.get_criteria())
