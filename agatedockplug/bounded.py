"""Placement by rendezvous hashing with bounded loads (the default)."""

from __future__ import annotations

from collections.abc import Sequence

from agatedock import hashing
from agatedock import placement


@placement.strategies.register("bounded")
def choose_bounded(
    chat: str, names: Sequence[str], load_of: placement.LoadOf, turn: int
) -> str:
    """Returns the chat's engine by hash; its home enforces the bound."""
    del load_of, turn
    return hashing.choose(chat, names) or ""
