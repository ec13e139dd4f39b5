"""Which replicas have read which shared prompt parts, as far as known here."""

from __future__ import annotations

import collections

PARTS_MAX = 20_000
# Latest readers kept for each part.
HOLDERS_MAX = 6


class PrefixIndex:
    """Latest readers of each part; the least recently read parts go.

    Parts and replicas are known by their short numbers.
    """

    def __init__(self) -> None:
        self._readers: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def add_holder(self, part_hash: int, replica_hash: int, now: float) -> None:
        """Learns that a replica reads a part."""
        readers = self._readers.setdefault(part_hash, {})
        readers.pop(replica_hash, None)
        readers[replica_hash] = now
        self._readers.move_to_end(part_hash)
        if len(readers) > HOLDERS_MAX:
            del readers[next(iter(readers))]
        if len(self._readers) > PARTS_MAX:
            self._readers.popitem(last=False)

    def list_holders(self, part_hash: int, since: float) -> list[int]:
        """Returns the replicas that read a part since a time, latest first."""
        readers = self._readers.get(part_hash, {})
        return [
            replica for replica, at in reversed(readers.items()) if at >= since
        ]

    def forget(self, replica_hash: int) -> None:
        """Drops a replica whose cache is empty or gone."""
        for readers in self._readers.values():
            readers.pop(replica_hash, None)
