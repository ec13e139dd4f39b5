"""Decides which router owns the count of a replica, and when to query it.

Handles many routers that place requests on the same replicas. Each replica's
count has one owner among the routers, which every router computes alone by
rendezvous hashing, without coordination. The cost of a placement therefore does
not grow with the number of routers. An owner that does not reply in time is
skipped for a while. A router that gets no reply from any owner places requests
by its local view only.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq

from agatedock import hashing

# How long to wait for an owner's reply; the round trip between two failure
# domains takes 8 ms.
REPLY_TIMEOUT_S = 0.04
# A query is retransmitted after this time, as a datagram may have been lost.
RETRANSMIT_S = 0.02
# An owner that did not reply in time is skipped for this long.
OWNER_SKIP_S = 1.0
# After this many timeouts in a row no owner is queried for LOCAL_ONLY_S.
TIMEOUTS_MAX = 3
LOCAL_ONLY_S = 0.5
# Routers that may own one count; the owner is the first that is not skipped.
OWNER_CANDIDATES = 4


class Owners:
    """Maps each name hash to its owner among the live routers.

    The names are those of replicas, whose counts the owner keeps, and of prompt
    parts, whose holders it keeps.
    """

    def __init__(self, own_hash: int) -> None:
        """Starts with this router as the only member.

        Args:
          own_hash: Hash of this router's name.
        """
        self._own_hash = own_hash
        self._members: list[int] = [own_hash]
        self._candidates: dict[int, list[int]] = {}
        self._skipped_until: dict[int, float] = {}
        self._timeouts = 0
        self._local_only_until = float("-inf")

    def set_members(self, others: Iterable[int]) -> None:
        """Replaces the set of other live routers.

        Args:
          others: Hashes of their names.
        """
        self._members = [self._own_hash, *others]
        self._candidates = {}

    def find(self, name_hash: int, now: float) -> int:
        """Returns the hash of the router that owns a name.

        Args:
          name_hash: Hash of the name of a replica or prompt part.
          now: Present time in seconds.
        """
        for router in self._rank(name_hash):
            if self._skipped_until.get(router, now) <= now:
                return router
        return self._own_hash

    def is_first(self, name_hash: int) -> bool:
        """Returns whether this router owns a name while none is skipped.

        Otherwise it may only stand in, and other routers may do so as well.
        """
        return self._rank(name_hash)[0] == self._own_hash

    def _rank(self, name_hash: int) -> list[int]:
        ranked = self._candidates.get(name_hash)
        if ranked is None:
            ranked = self._candidates[name_hash] = heapq.nlargest(
                OWNER_CANDIDATES,
                self._members,
                key=lambda router: hashing.score_ids(name_hash, router),
            )
        return ranked

    def may_query(self, now: float) -> bool:
        """Returns whether owners are queried; False after many timeouts."""
        return now >= self._local_only_until

    def record_reply(self, router_hash: int) -> None:
        """Records that a router replied; it is not skipped any more."""
        self._timeouts = 0
        self._skipped_until.pop(router_hash, None)

    def record_timeout(self, router_hash: int, now: float) -> None:
        """Records that a router did not reply within `REPLY_TIMEOUT_S`."""
        self._skipped_until[router_hash] = now + OWNER_SKIP_S
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_MAX:
            self._timeouts = 0
            self._local_only_until = now + LOCAL_ONLY_S
