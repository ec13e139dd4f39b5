"""Requests running at each replica, as known to this router."""

from __future__ import annotations

import collections

from agatedock import hashing

# A count that an owner reported is discarded after this time.
REPORT_TTL_S = 2.0


class Loads:
    """This router's own counts, and those of others as last reported."""

    def __init__(self) -> None:
        # Both are keyed by the hash of the replica's id.
        self._own: collections.Counter[int] = collections.Counter()
        # Requests of other routers, and when they were reported, in seconds.
        self._others: dict[int, tuple[int, float]] = {}

    def begin(self, replica_id: str) -> None:
        """Counts a request that is about to be sent."""
        self._own[hashing.hash_name(replica_id)] += 1

    def end(self, replica_id: str) -> None:
        """Counts a request as ended."""
        replica_hash = hashing.hash_name(replica_id)
        self._own[replica_hash] -= 1
        if self._own[replica_hash] <= 0:
            del self._own[replica_hash]

    def get_own_counts(self) -> dict[int, int]:
        """Returns this router's running requests by replica hash."""
        return dict(self._own)

    def count_own(self, replica_hash: int) -> int:
        """Returns this router's running requests at a replica."""
        return self._own[replica_hash]

    def record_others(self, replica_hash: int, others: int, now: float) -> None:
        """Records the running requests of other routers at a replica."""
        self._others[replica_hash] = max(0, others), now

    def get_reported(self, replica_id: str, since: float) -> int | None:
        """Returns the requests running at a replica, from all routers.

        Returns None if other routers' requests were last reported before the
        time `since`.
        """
        replica_hash = hashing.hash_name(replica_id)
        others, reported_at = self._others.get(replica_hash, (0, float("-inf")))
        if reported_at < since:
            return None
        return self._own[replica_hash] + others

    def drop_expired(self, now: float) -> None:
        """Removes reports that are older than `REPORT_TTL_S`."""
        for replica_hash, (_, reported_at) in list(self._others.items()):
            if now - reported_at > REPORT_TTL_S:
                del self._others[replica_hash]

    def count_total(self, replica_id: str) -> int:
        """Returns the requests running at a replica, from all routers."""
        replica_hash = hashing.hash_name(replica_id)
        others, _ = self._others.get(replica_hash, (0, 0.0))
        return self._own[replica_hash] + others
