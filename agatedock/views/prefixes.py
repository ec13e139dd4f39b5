"""Replicas that have shared prompt parts in their caches."""

from __future__ import annotations

import collections

PARTS_MAX = 20_000
# Holders kept for each part; the least recent is removed first.
HOLDERS_MAX = 6


class PrefixIndex:
    """Latest holders of each prompt part, by part hash and replica hash.

    A holder is a replica that has the part in its cache. The least recently
    used parts are evicted beyond `PARTS_MAX`.
    """

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[int, dict[int, float]] = (
            collections.OrderedDict()
        )

    def add_holder(self, part_hash: int, replica_hash: int, now: float) -> None:
        """Records that a replica processes a part and so has it cached."""
        holders = self._holders.setdefault(part_hash, {})
        holders.pop(replica_hash, None)
        holders[replica_hash] = now
        self._holders.move_to_end(part_hash)
        if len(holders) > HOLDERS_MAX:
            del holders[next(iter(holders))]
        if len(self._holders) > PARTS_MAX:
            self._holders.popitem(last=False)

    def list_holders(self, part_hash: int, since: float) -> list[int]:
        """Returns hashes of replicas that used a part since then, latest first.

        Args:
          part_hash: Hash of the part's id.
          since: Holders whose last use was before this time are left out.
        """
        holders = self._holders.get(part_hash, {})
        return [
            replica
            for replica, used_at in reversed(holders.items())
            if used_at >= since
        ]

    def forget(self, replica_hash: int) -> None:
        """Removes a replica whose cache is lost from the holders of all parts.

        This is so after a restart, or when the replica no longer exists.
        """
        for holders in self._holders.values():
            holders.pop(replica_hash, None)
