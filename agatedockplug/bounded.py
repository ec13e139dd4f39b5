"""Placement by rendezvous hashing with bounded loads (the default)."""

from __future__ import annotations

from collections.abc import Sequence

from agatedock import placement


@placement.strategies.register("bounded")
def order_bounded(
    chat: str, candidates: Sequence[placement.Candidate], turn: int
) -> list[str]:
    """Returns engines by rendezvous weight; homes enforce the bound."""
    del turn
    return placement.order(chat, candidates)
