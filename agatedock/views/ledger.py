"""Running requests at the replicas whose counts this router keeps.

Each router tells the owner of a replica's count how many requests it runs
there. Every message holds the sender's whole count, so a lost, doubled or late
one, and an owner that takes over, make counts inexact only until the next.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from agatedock.peers import messages
from agatedock.views import prefixes

# A sender that runs something says so at least this often.
REFRESH_S = 0.9
# A count that was not told again for this long is over.
COUNT_TTL_S = 4.2
# A part is taken for cached at a replica for this long after it was read.
PART_TTL_S = 60.0
# Readings remembered; the oldest go first.
CACHED_PARTS_MAX = 20_000
# Readers of a part that are told to whoever asks.
HOLDERS_RETURNED_MAX = 3


@dataclasses.dataclass(slots=True)
class _Count:
    """What one sender runs at one replica; `at` in seconds."""

    sequence: int
    running: int
    received_at: float


class ReservationTable:
    """Counts by replica and sender, and what replicas have read."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[int, _Count]] = {}
        # When a replica read a part, by the short numbers of both.
        self._cached_at: collections.OrderedDict[tuple[int, int], float] = (
            collections.OrderedDict()
        )
        # Of the parts that this router is the owner of.
        self._holders = prefixes.PrefixIndex()

    def handle_reservation(
        self, reservation: messages.Reservation, now: float
    ) -> messages.Verdict | None:
        """Learns a sender's count and decides about its request.

        Returns:
          The verdict; None if none is awaited or the reservation is an old one.
        """
        senders = self._counts.setdefault(reservation.replica, {})
        previous = senders.get(reservation.sender)
        if previous is not None and reservation.number <= previous.sequence:
            return None
        others = sum(
            count.running
            for sender, count in senders.items()
            if sender != reservation.sender
        )
        granted = (
            reservation.most > 0
            and others + reservation.count <= reservation.most
        )
        running = reservation.count
        if reservation.most and not granted:
            running -= 1
        senders[reservation.sender] = _Count(reservation.number, running, now)
        if not reservation.most:
            self._record_cached_parts(reservation, now)
            return None
        cached = self._list_cached(reservation.replica, reservation.parts, now)
        if granted:
            self._record_cached_parts(reservation, now)
        return messages.Verdict(
            reservation.number, granted, others + running, cached
        )

    def handle_lookup(
        self, lookup: messages.Reading, now: float
    ) -> messages.Readers:
        """Learns who reads a part, and tells who else has."""
        holders = self._holders.list_holders(lookup.part, now - PART_TTL_S)
        self._holders.add_holder(lookup.part, lookup.replica, now)
        others = [holder for holder in holders if holder != lookup.replica]
        return messages.Readers(lookup.number, others[:HOLDERS_RETURNED_MAX])

    def get_total(self, replica_hash: int) -> int:
        """Returns the requests at a replica, by its short number."""
        senders = self._counts.get(replica_hash, {})
        return sum(count.running for count in senders.values())

    def expire_counts(self, now: float) -> None:
        """Drops counts of senders that were silent."""
        for replica, senders in list(self._counts.items()):
            for sender, count in list(senders.items()):
                if now - count.received_at > COUNT_TTL_S:
                    del senders[sender]
            if not senders:
                del self._counts[replica]

    def forget(self, replica_hash: int) -> None:
        """Drops what a replica has read, as its cache is empty or gone."""
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
        for part in reservation.parts:
            key = reservation.replica, part
            self._cached_at[key] = now
            self._cached_at.move_to_end(key)
        while len(self._cached_at) > CACHED_PARTS_MAX:
            self._cached_at.popitem(last=False)
