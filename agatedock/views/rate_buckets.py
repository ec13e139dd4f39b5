"""Token buckets of the rate limits that this router grants as an owner."""

from __future__ import annotations

import collections

from agatedock.decisions import rate_limits

# Runs of replicas with a rate limit; the least recently used are dropped.
BUCKETS_MAX = 1000


class RateBuckets:
    """Buckets by the hash of a replica's run."""

    def __init__(self) -> None:
        self._buckets: collections.OrderedDict[int, rate_limits.Bucket] = (
            collections.OrderedDict()
        )

    def find(
        self,
        run_hash: int,
        observation: rate_limits.Observation | None,
        now: float,
    ) -> rate_limits.Bucket | None:
        """Returns the bucket of a run; None without any sign of a limit.

        Args:
          run_hash: Hash of the run; 0 if unknown.
          observation: What another router knows of its limit, if anything.
          now: Present time in seconds.
        """
        if not run_hash:
            return None
        bucket = self._buckets.get(run_hash)
        if bucket is None:
            if observation is None or observation.rate is None:
                return None
            bucket = rate_limits.Bucket(observation, now)
            self._buckets[run_hash] = bucket
            while len(self._buckets) > BUCKETS_MAX:
                self._buckets.popitem(last=False)
        elif observation is not None:
            bucket.learn(observation, now)
        self._buckets.move_to_end(run_hash)
        return bucket

    def drop(self, run_hash: int) -> None:
        """Forgets the bucket of a run; a later one starts empty."""
        self._buckets.pop(run_hash, None)

    def count(self) -> int:
        """Returns the number of buckets."""
        return len(self._buckets)
