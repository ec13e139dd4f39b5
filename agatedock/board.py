"""News still to be spread, least spread first, within a byte limit."""

from __future__ import annotations

import dataclasses
import math

from agatedock import wire

SPREAD_FACTOR = 3
ITEM_OVERHEAD_BYTES = 3


@dataclasses.dataclass
class _Note:
    data: bytes
    sends: int = 0


class Board:
    """Keeps the newest item of each key and how often it was sent."""

    def __init__(self) -> None:
        self._notes: dict[tuple[int, str], _Note] = {}

    def post(self, item: wire.Item) -> None:
        """Adds news, which replaces older news of the same key."""
        self._notes[item.key] = _Note(wire.encode_item(item))

    def pick(self, max_bytes: int, members: int) -> list[bytes]:
        """Returns the least sent items that fit and counts them as sent.

        Args:
          max_bytes: Room in the datagram.
          members: Size of the fleet; news is dropped after a number of
            sends that grows with its logarithm.
        """
        limit = SPREAD_FACTOR * math.ceil(math.log2(members + 2))
        chosen: list[bytes] = []
        room = max_bytes
        # Sorting is stable, so equally sent items go in order of age.
        order = sorted(self._notes, key=lambda key: self._notes[key].sends)
        for key in order:
            note = self._notes[key]
            size = len(note.data) + ITEM_OVERHEAD_BYTES
            if size > room:
                # Smaller items must not overtake this one again and again.
                break
            room -= size
            chosen.append(note.data)
            note.sends += 1
            if note.sends >= limit:
                del self._notes[key]
        return chosen

    def __len__(self) -> int:
        return len(self._notes)
