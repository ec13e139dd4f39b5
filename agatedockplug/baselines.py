"""Simple placements that measurements compare with."""

from __future__ import annotations

from collections.abc import Sequence

from agatedock import hashing
from agatedock import placement


@placement.strategies.register("round-robin")
def choose_round_robin(
    chat: str, names: Sequence[str], load_of: placement.LoadOf, turn: int
) -> str:
    """Returns engines in turn, whatever the chat."""
    del chat, load_of
    return sorted(names)[turn % len(names)]


@placement.strategies.register("two-choices")
def choose_two_choices(
    chat: str, names: Sequence[str], load_of: placement.LoadOf, turn: int
) -> str:
    """Returns the less loaded of two engines drawn by hash."""
    drawn = hashing.rank(f"{chat}\0{turn}", names)[:2]
    return min(drawn, key=load_of)


@placement.strategies.register("plain-hash")
def choose_plain_hash(
    chat: str, names: Sequence[str], load_of: placement.LoadOf, turn: int
) -> str:
    """Returns the chat's engine by hash; nothing enforces a bound."""
    del load_of, turn
    return hashing.choose(chat, names) or ""
