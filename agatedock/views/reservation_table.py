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

    number: int
    running: int
    at: float


class ReservationTable:
    """Counts by replica and sender, and what replicas have read."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[int, _Count]] = {}
        # When a replica read a part, by the short numbers of both.
        self._read_at: collections.OrderedDict[tuple[int, int], float] = (
            collections.OrderedDict()
        )
        # Of the parts that this router is the owner of.
        self._readers = prefixes.PrefixIndex()

    def handle_reservation(
        self, reservation: messages.Reservation, now: float
    ) -> messages.ReservationReply | None:
        """Learns a sender's count and decides about its request.

        Returns:
          The verdict; None if none is awaited or the reservation is an old one.
        """
        senders = self._counts.setdefault(reservation.replica_hash, {})
        known = senders.get(reservation.sender_id)
        if known is not None and reservation.sequence <= known.number:
            return None
        others = sum(
            count.running
            for sender, count in senders.items()
            if sender != reservation.sender_id
        )
        granted = (
            reservation.max_running > 0
            and others + reservation.running <= reservation.max_running
        )
        running = reservation.running
        if reservation.max_running and not granted:
            running -= 1
        senders[reservation.sender_id] = _Count(
            reservation.sequence, running, now
        )
        if not reservation.max_running:
            self._note_readings(reservation, now)
            return None
        held = self._list_held(
            reservation.replica_hash, reservation.part_hashes, now
        )
        if granted:
            self._note_readings(reservation, now)
        return messages.ReservationReply(
            reservation.sequence, granted, others + running, held
        )

    def handle_lookup(
        self, lookup: messages.PartLookup, now: float
    ) -> messages.PartHolders:
        """Learns who reads a part, and tells who else has."""
        known = self._readers.list_holders(lookup.part_hash, now - PART_TTL_S)
        self._readers.add_holder(lookup.part_hash, lookup.replica_hash, now)
        others = [number for number in known if number != lookup.replica_hash]
        return messages.PartHolders(
            lookup.sequence, others[:HOLDERS_RETURNED_MAX]
        )

    def get_total(self, replica_hash: int) -> int:
        """Returns the requests at a replica, by its short number."""
        senders = self._counts.get(replica_hash, {})
        return sum(count.running for count in senders.values())

    def expire_counts(self, now: float) -> None:
        """Drops counts of senders that were silent."""
        for replica, senders in list(self._counts.items()):
            for sender, count in list(senders.items()):
                if now - count.at > COUNT_TTL_S:
                    del senders[sender]
            if not senders:
                del self._counts[replica]

    def forget(self, replica_hash: int) -> None:
        """Drops what a replica has read, as its cache is empty or gone."""
        self._readers.forget(replica_hash)
        for key in [key for key in self._read_at if key[0] == replica_hash]:
            del self._read_at[key]

    def _list_held(
        self, replica: int, parts: Iterable[int], now: float
    ) -> list[int]:
        oldest = now - PART_TTL_S
        never = float("-inf")
        return [
            part
            for part in parts
            if self._read_at.get((replica, part), never) >= oldest
        ]

    def _note_readings(
        self, reservation: messages.Reservation, now: float
    ) -> None:
        for part in reservation.part_hashes:
            key = reservation.replica_hash, part
            self._read_at[key] = now
            self._read_at.move_to_end(key)
        while len(self._read_at) > CACHED_PARTS_MAX:
            self._read_at.popitem(last=False)
