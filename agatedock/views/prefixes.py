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
        self._holders: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def add_holder(self, part_hash: int, replica_hash: int, now: float) -> None:
        """Learns that a replica reads a part."""
        holders = self._holders.setdefault(part_hash, {})
        holders.pop(replica_hash, None)
        holders[replica_hash] = now
        self._holders.move_to_end(part_hash)
        if len(holders) > HOLDERS_MAX:
            del holders[next(iter(holders))]
        if len(self._holders) > PARTS_MAX:
            self._holders.popitem(last=False)

    def list_holders(self, part_hash: int, since: float) -> list[int]:
        """Returns the replicas that read a part since a time, latest first."""
        holders = self._holders.get(part_hash, {})
        return [
            replica
            for replica, read_at in reversed(holders.items())
            if read_at >= since
        ]

    def forget(self, replica_hash: int) -> None:
        """Drops a replica whose cache is empty or gone."""
        for holders in self._holders.values():
            holders.pop(replica_hash, None)
