"""Which replica read a shared prompt part last, from all routers."""

from __future__ import annotations

import collections
import dataclasses

PARTS_MAX = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A replica took a request with a part at a time (seconds)."""

    replica_id: str
    at: float


class Prefixes:
    """The latest reader of each part; the least recently read ones go."""

    def __init__(self) -> None:
        self._readings: collections.OrderedDict[str, Reading] = (
            collections.OrderedDict()
        )

    def take(self, part_id: str, replica_id: str, now: float) -> None:
        """Learns that a replica reads a part."""
        self._readings[part_id] = Reading(replica_id, now)
        self._readings.move_to_end(part_id)
        if len(self._readings) > PARTS_MAX:
            self._readings.popitem(last=False)

    def find(self, part_id: str) -> Reading | None:
        """Returns the latest reading of a part."""
        return self._readings.get(part_id)
