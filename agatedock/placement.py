"""Placement strategies: which engine a chat asks for first."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import heapq

from agatedock import hashing
from agatedock import registry

LoadOf = Callable[[str], float]
# Takes the chat, the engines' names, what tells an engine's best known load,
# and a number that grows with each request.
Strategy = Callable[[str, Sequence[str], LoadOf, int], str]

strategies: registry.Registry[Strategy] = registry.Registry(
    "placement strategy"
)


def choose_diversion(
    chat: str, names: Sequence[str], load_of: LoadOf
) -> str | None:
    """Returns where a chat goes that its first engine turns away.

    Of the two engines that the chat prefers next the less loaded one: the
    choice stays stable while loads are alike and avoids a second refusal.
    """
    drawn = heapq.nlargest(2, names, key=lambda n: hashing.score(chat, n))
    return min(drawn, key=load_of, default=None)
