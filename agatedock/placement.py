"""Placement strategies: which engine a chat asks for first."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from agatedock import hashing
from agatedock import registry


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An engine that may take a chat.

    Attributes:
      load: Best known requests on it.
    """

    name: str
    load: float


Strategy = Callable[[str, Sequence[Candidate], int], list[str]]

strategies: registry.Registry[Strategy] = registry.Registry(
    "placement strategy"
)


def order(chat: str, candidates: Sequence[Candidate]) -> list[str]:
    """Returns engines in the order in which a chat prefers them."""
    return hashing.rank(chat, [c.name for c in candidates])


def choose_diversion(chat: str, candidates: Sequence[Candidate]) -> str | None:
    """Returns where a chat goes that its first engine turns away.

    Of the two engines that the chat prefers next the less loaded one: the
    choice stays stable while loads are alike and avoids a second refusal.
    """
    names = order(chat, candidates)[:2]
    loads = {c.name: c.load for c in candidates}
    return min(names, key=lambda name: loads[name], default=None)
