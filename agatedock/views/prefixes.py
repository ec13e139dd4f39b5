"""Which replicas have read which shared prompt parts, from all routers."""

from __future__ import annotations

import collections

from agatedock import hashing

PARTS_MAX = 20_000
# Latest readers kept for each part.
READERS_MAX = 6
# A reading as old as this is worth telling peers again.
TELL_AGAIN_S = 5.0


class Prefixes:
    """Latest readers of each part; the least recently read parts go.

    Parts and replicas are known by their short numbers.
    """

    def __init__(self) -> None:
        self._readers: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def take(self, part: int, replica: int, now: float) -> bool:
        """Learns that a replica reads a part.

        Returns:
          Whether this is news.
        """
        readers = self._readers.setdefault(part, {})
        known_at = readers.pop(replica, float("-inf"))
        readers[replica] = now
        self._readers.move_to_end(part)
        if len(readers) > READERS_MAX:
            del readers[next(iter(readers))]
        if len(self._readers) > PARTS_MAX:
            self._readers.popitem(last=False)
        return now - known_at > TELL_AGAIN_S

    def list_readers(self, part_id: str, since: float) -> list[int]:
        """Returns the replicas that read a part since a time, latest first."""
        readers = self._readers.get(hashing.shorten(part_id), {})
        return [
            replica for replica, at in reversed(readers.items()) if at >= since
        ]

    def forget(self, replica_id: str) -> None:
        """Drops a replica whose cache is empty or gone."""
        number = hashing.shorten(replica_id)
        for readers in self._readers.values():
            readers.pop(number, None)
