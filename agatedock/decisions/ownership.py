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

    def __init__(self, own: int) -> None:
        """Builds the part.

        Args:
          own: Short number of this router.
        """
        self._own = own
        self._members: list[int] = [own]
        self._ranks: dict[int, list[int]] = {}
        self._passed_over: dict[int, float] = {}
        self._misses = 0
        self._alone_until = float("-inf")

    def set_members(self, others: Iterable[int]) -> None:
        """Replaces the other routers that are alive."""
        self._members = [self._own, *others]
        self._ranks = {}

    def find(self, replica: int, now: float) -> int:
        """Returns the router that keeps the count of a replica."""
        ranked = self._ranks.get(replica)
        if ranked is None:
            ranked = self._ranks[replica] = heapq.nlargest(
                OWNER_CANDIDATES,
                self._members,
                key=lambda router: hashing.score_ids(replica, router),
            )
        for router in ranked:
            if self._passed_over.get(router, now) <= now:
                return router
        return self._own

    def may_query(self, now: float) -> bool:
        """Tells whether an answer may be hoped for."""
        return now >= self._alone_until

    def record_reply(self, router: int) -> None:
        """Learns that a router answered."""
        self._misses = 0
        self._passed_over.pop(router, None)

    def record_timeout(self, router: int, now: float) -> None:
        """Learns that a router did not answer in time."""
        self._passed_over[router] = now + OWNER_SKIP_S
        self._misses += 1
        if self._misses >= TIMEOUTS_MAX:
            self._misses = 0
            self._alone_until = now + LOCAL_ONLY_S
