"""Requests running at each replica: this router's and its peers'."""

from __future__ import annotations

import collections

from agatedock import hashing


class Loads:
    """Running requests by replica.

    Attributes:
      changes: Grows with each change of this router's own counts.
    """

    def __init__(self) -> None:
        # All by the short number of the replica's id.
        self._own: collections.Counter[int] = collections.Counter()
        self._others: collections.Counter[int] = collections.Counter()
        self._peers: dict[str, tuple[float, dict[int, int]]] = {}
        self.changes = 0

    def begin(self, replica_id: str) -> None:
        """Counts a request that is about to be sent."""
        self._own[hashing.shorten(replica_id)] += 1
        self.changes += 1

    def end(self, replica_id: str) -> None:
        """Counts a request as over."""
        number = hashing.shorten(replica_id)
        self._own[number] -= 1
        if self._own[number] <= 0:
            del self._own[number]
        self.changes += 1

    def own(self) -> dict[int, int]:
        """Returns this router's counts, for its peers."""
        return dict(self._own)

    def take_peer(self, name: str, counts: dict[int, int], now: float) -> None:
        """Learns a peer's counts, which replace its earlier ones."""
        self._forget(name)
        self._peers[name] = (now, counts)
        self._others.update(counts)

    def drop_silent(self, now: float, silence_s: float) -> list[str]:
        """Forgets peers that were silent for longer; returns their names."""
        silent = [
            name
            for name, (heard_at, _) in self._peers.items()
            if now - heard_at > silence_s
        ]
        for name in silent:
            self._forget(name)
        return silent

    def count_peers(self) -> int:
        """Returns the number of peers heard lately."""
        return len(self._peers)

    def running(self, replica_id: str) -> int:
        """Returns the requests running at a replica, from all routers."""
        number = hashing.shorten(replica_id)
        return self._own[number] + self._others[number]

    def _forget(self, name: str) -> None:
        known = self._peers.pop(name, None)
        if known is not None:
            self._others.subtract(known[1])
            # Drops what is at zero.
            self._others += collections.Counter()
