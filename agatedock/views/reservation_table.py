"""Running requests at the replicas whose counts this router owns.

Each router reports to the owner of a replica's count how many requests it runs
there. Every message carries the sender's full count. A lost, duplicated or late
message, or a change of the owner, therefore makes the total inexact only until
the next message.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import math

from agatedock.decisions import rate_limits
from agatedock.peers import messages
from agatedock.peers import rate_limit_reports
from agatedock.views import prefixes
from agatedock.views import rate_buckets

# A sender with running requests reports its count at least this often.
REFRESH_S = 0.9
# A count that was not reported again within this time expires. The time is long
# enough for two lost reports.
COUNT_TTL_S = 4.2
# A prompt part is assumed to be cached at a replica for this long after its
# last use there.
PART_TTL_S = 60.0
# Pairs of replica and cached part that are kept; the least recent are evicted.
CACHED_PARTS_MAX = 20_000
# Holders of a part that one reply lists.
HOLDERS_RETURNED_MAX = 3
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Count:
    """One sender's running requests at one replica.

    Attributes:
      sequence: Sequence number of the sender's latest reservation.
      running: Its running requests.
      received_at: When that reservation was received, in seconds.
    """

    sequence: int
    running: int
    received_at: float


class ReservationTable:
    """Counts by replica and sender, and the prompt parts cached at replicas."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[int, _Count]] = {}
        # Last use of a part at a replica whose count this router owns, by the
        # hashes of replica and part.
        self._cached_at: collections.OrderedDict[tuple[int, int], float] = (
            collections.OrderedDict()
        )
        # Holders of the prompt parts that this router owns, as other routers
        # report them in lookups.
        self._holders = prefixes.PrefixIndex()
        self._buckets = rate_buckets.RateBuckets()
        # Those of cold replicas, which an answer without a rate does not end.
        self._cold_buckets = rate_buckets.RateBuckets()

    def handle_reservation(
        self,
        reservation: messages.Reservation,
        now: float,
        rate_share: float = 1.0,
        cold_rate: float | None = None,
    ) -> messages.ReservationReply | None:
        """Records a sender's count and grants or denies its reservation.

        A denied request is not counted; the other requests of the sender are.

        Args:
          reservation: The reservation.
          now: Present time in seconds.
          rate_share: Part of a rate limit that this router grants, 0 to 1.
          cold_rate: Requests per second that the replica takes as it is cold;
            None if it is not.

        Returns:
          The reply; None if the sender awaits none, or if a reservation with a
          higher or the same sequence number was received before.
        """
        senders = self._counts.setdefault(reservation.replica_hash, {})
        previous = senders.get(reservation.sender_id)
        if previous is not None and reservation.sequence <= previous.sequence:
            return None
        bucket = self._find_bucket(reservation, now)
        cold_bucket = self._find_cold_bucket(reservation, cold_rate, now)
        others = self._count_others(reservation)
        granted = (
            reservation.max_running > 0
            and others + reservation.running <= reservation.max_running
        )
        grant = rate_limits.Grant(granted)
        if granted:
            buckets = (cold_bucket, bucket)
            grant = self._take_tokens(reservation, buckets, rate_share, now)
            granted = grant.granted
        running = reservation.running
        if reservation.max_running and not granted:
            running -= 1
        senders[reservation.sender_id] = _Count(
            reservation.sequence, running, now
        )
        if not reservation.max_running:
            self._record_cached_parts(reservation, now)
            return None
        cached = self._list_cached(
            reservation.replica_hash, reservation.part_hashes, now
        )
        if granted:
            self._record_cached_parts(reservation, now)
        observation = None if bucket is None else bucket.observation
        return messages.ReservationReply(
            reservation.sequence,
            granted,
            others + running,
            cached,
            rate_limit_reports.encode(observation, now),
            math.ceil(grant.wait_s * _MS_PER_S),
        )

    def _count_others(self, reservation: messages.Reservation) -> int:
        """Returns the requests of other senders at the same replica."""
        return sum(
            count.running
            for sender, count in self._counts[reservation.replica_hash].items()
            if sender != reservation.sender_id
        )

    def _find_bucket(
        self, reservation: messages.Reservation, now: float
    ) -> rate_limits.Bucket | None:
        """Returns the bucket of the run, charged for a placed request."""
        bucket = self._buckets.find(
            reservation.run_hash,
            rate_limit_reports.decode(reservation.rate_limit, now),
            now,
        )
        if bucket is not None and reservation.is_placed:
            bucket.charge(now)
        return bucket

    def _find_cold_bucket(
        self,
        reservation: messages.Reservation,
        cold_rate: float | None,
        now: float,
    ) -> rate_limits.Bucket | None:
        """Returns the bucket of a cold run, charged for a placed request."""
        if cold_rate is None:
            self._cold_buckets.drop(reservation.run_hash)
            return None
        bucket = self._cold_buckets.find(
            reservation.run_hash,
            rate_limits.Observation(rate_limits.COLD_SHARE * cold_rate, now),
            now,
        )
        if bucket is not None and reservation.is_placed:
            bucket.charge(now)
        return bucket

    def _take_tokens(
        self,
        reservation: messages.Reservation,
        buckets: Iterable[rate_limits.Bucket | None],
        rate_share: float,
        now: float,
    ) -> rate_limits.Grant:
        """Decides by the rate limits; a placed request is always granted."""
        if reservation.is_placed:
            return rate_limits.Grant(True)
        for bucket in buckets:
            if bucket is None:
                continue
            grant = bucket.take(reservation.rank, rate_share, now)
            if not grant.granted:
                return grant
        return rate_limits.Grant(True)

    def handle_lookup(
        self, lookup: messages.PartLookup, now: float
    ) -> messages.PartHolders:
        """Records a new holder of a prompt part.

        Returns:
          Up to `HOLDERS_RETURNED_MAX` other holders, the latest first.
        """
        holders = self._holders.list_holders(lookup.part_hash, now - PART_TTL_S)
        self._holders.add_holder(lookup.part_hash, lookup.replica_hash, now)
        others = [holder for holder in holders if holder != lookup.replica_hash]
        return messages.PartHolders(
            lookup.sequence, others[:HOLDERS_RETURNED_MAX]
        )

    def get_total(self, replica_hash: int) -> int:
        """Returns the running requests at a replica, from all senders."""
        senders = self._counts.get(replica_hash, {})
        return sum(count.running for count in senders.values())

    def expire_counts(self, now: float) -> None:
        """Removes counts that were not reported again within the TTL."""
        for replica, senders in list(self._counts.items()):
            for sender, count in list(senders.items()):
                if now - count.received_at > COUNT_TTL_S:
                    del senders[sender]
            if not senders:
                del self._counts[replica]

    def forget(self, replica_hash: int) -> None:
        """Removes the cached parts of a replica whose cache is lost."""
        self._holders.forget(replica_hash)
        for key in [key for key in self._cached_at if key[0] == replica_hash]:
            del self._cached_at[key]

    def _list_cached(
        self, replica: int, parts: Iterable[int], now: float
    ) -> list[int]:
        oldest = now - PART_TTL_S
        never = float("-inf")
        return [
            part
            for part in parts
            if self._cached_at.get((replica, part), never) >= oldest
        ]

    def _record_cached_parts(
        self, reservation: messages.Reservation, now: float
    ) -> None:
        for part in reservation.part_hashes:
            key = reservation.replica_hash, part
            self._cached_at[key] = now
            self._cached_at.move_to_end(key)
        while len(self._cached_at) > CACHED_PARTS_MAX:
            self._cached_at.popitem(last=False)
