"""Decides which router keeps the count of a replica, and when to ask it.

Answers the load of many routers that place on the same replicas: one of them,
chosen by hash without any talk, keeps each replica's count, so that what a
placement costs does not grow with the number of routers. An owner that does
not answer is passed over for a while; a router that nobody answers decides by
what it believes.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq

from agatedock import hashing

# Time in which an owner answers; a crossing of failure domains and back takes
# 8 ms.
REPLY_TIMEOUT_S = 0.04
# A question is asked again after this time: one of its datagrams may be lost.
RETRANSMIT_S = 0.02
# An owner that did not answer is passed over for this long.
OWNER_SKIP_S = 1.0
# Questions without an answer in a row, from which on nobody is asked for a
# while.
TIMEOUTS_MAX = 3
LOCAL_ONLY_S = 0.5
# Routers that may keep one count, the first of them that is not passed over.
OWNER_CANDIDATES = 4


class Owners:
    """The owner of each replica's count among the routers that are alive."""

    def __init__(self, own_hash: int) -> None:
        """Builds the part.

        Args:
          own_hash: Short number of this router.
        """
        self._own_hash = own_hash
        self._members: list[int] = [own_hash]
        self._candidates: dict[int, list[int]] = {}
        self._skipped_until: dict[int, float] = {}
        self._timeouts = 0
        self._local_only_until = float("-inf")

    def set_members(self, others: Iterable[int]) -> None:
        """Replaces the other routers that are alive."""
        self._members = [self._own_hash, *others]
        self._candidates = {}

    def find(self, name_hash: int, now: float) -> int:
        """Returns the router that keeps the count of a replica."""
        ranked = self._candidates.get(name_hash)
        if ranked is None:
            ranked = self._candidates[name_hash] = heapq.nlargest(
                OWNER_CANDIDATES,
                self._members,
                key=lambda router: hashing.score_ids(name_hash, router),
            )
        for router in ranked:
            if self._skipped_until.get(router, now) <= now:
                return router
        return self._own_hash

    def may_query(self, now: float) -> bool:
        """Tells whether an answer may be hoped for."""
        return now >= self._local_only_until

    def record_reply(self, router_hash: int) -> None:
        """Learns that a router answered."""
        self._timeouts = 0
        self._skipped_until.pop(router_hash, None)

    def record_timeout(self, router_hash: int, now: float) -> None:
        """Learns that a router did not answer in time."""
        self._skipped_until[router_hash] = now + OWNER_SKIP_S
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_MAX:
            self._timeouts = 0
            self._local_only_until = now + LOCAL_ONLY_S
