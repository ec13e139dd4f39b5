"""Simple placements that measurements compare with."""

from __future__ import annotations

from collections.abc import Sequence

from agatedock import hashing
from agatedock import placement


@placement.strategies.register("round-robin")
def order_round_robin(
    chat: str, candidates: Sequence[placement.Candidate], turn: int
) -> list[str]:
    """Returns engines in turn, whatever the chat."""
    del chat
    names = sorted(c.name for c in candidates)
    first = turn % len(names)
    return names[first:] + names[:first]


@placement.strategies.register("two-choices")
def order_two_choices(
    chat: str, candidates: Sequence[placement.Candidate], turn: int
) -> list[str]:
    """Returns first the less loaded of two engines drawn by hash."""
    drawn = hashing.rank(f"{chat}\0{turn}", [c.name for c in candidates])
    loads = {c.name: c.load for c in candidates}
    return sorted(drawn[:2], key=lambda name: loads[name]) + drawn[2:]


@placement.strategies.register("plain-hash")
def order_plain_hash(
    chat: str, candidates: Sequence[placement.Candidate], turn: int
) -> list[str]:
    """Returns engines by rendezvous weight; nothing enforces a bound."""
    del turn
    return placement.order(chat, candidates)
