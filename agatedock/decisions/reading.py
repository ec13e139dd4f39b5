"""Decides who reads the store and who hears of it from a peer.

Answers the load that many routers put on the store: one of the whole fleet
reads it, and the others ask each other in a tree below that one. All is chosen
by link and hash without any talk. A router that cannot reach the one that it
asks, or hears nothing fresh, reads the store itself; while the store is out it
does so seldom if the one above answers.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from agatedock import hashing

# Routers that ask the same one; with two hops this serves 210 others.
TREE_FANOUT = 14
# Peers asked after each failed read of the store.
FALLBACK_PEERS = 2
# Pause between two reads of the store.
STORE_POLL_S = 0.8
# Pause between two questions to a peer.
PEER_POLL_S = 0.45
# Longest time that a question takes, beside the pause before it.
PEER_QUERY_MAX_S = 0.1
# What a peer tells is fresh if it is no older than the pauses on its way and
# this.
MAX_AGE_MARGIN_S = 0.35
# Pause after a failed read of the store, twice as long after each further one.
BACKOFF_MIN_S = 0.25
# All wait for the router that nobody is above, so it asks often.
BACKOFF_MAX_S = 0.5
# Others mostly hear of the store's return from the one above them.
CHILD_BACKOFF_MIN_S = 1.0
CHILD_BACKOFF_MAX_S = 4.0
# They read it again only after this many times as long as the last read took.
# When all read at once, what each has is old once it is there, and reading
# again for that would never end.
READ_COOLDOWN_FACTOR = 3.0


class PollSource(enum.StrEnum):
    """Where the next listing comes from."""

    STORE = "store"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class PollTarget:
    """What to do next.

    Attributes:
      peer: Name of the router to ask; empty for the store.
      max_age_s: How long ago the store may have been asked for what it tells.
    """

    source: PollSource
    peer: str = ""
    max_age_s: float = 0.0


def order_by_link(links: Mapping[str, int]) -> list[str]:
    """Returns routers in the order in which they serve others.

    Those with the fastest links come first.

    Args:
      links: Speed of the link in Mbit/s by router.
    """
    ranked = hashing.sort_by_score("readers", links)
    # The sort is stable: equal links stay in the order of the hash.
    ranked.sort(key=lambda name: -links[name])
    return ranked


def choose_target(
    name: str, link_mbps: int, peer_links: Mapping[str, int]
) -> PollTarget:
    """Returns where to get the next listing from.

    Args:
      name: This router.
      link_mbps: Speed of its link.
      peer_links: Speeds of the links of its peers that were heard lately, by
        name.
    """
    ranked = order_by_link({**peer_links, name: link_mbps})
    position = ranked.index(name)
    if not position:
        return PollTarget(PollSource.STORE)
    parent = _find_parent(position)
    hops = 1
    ancestor = parent
    while ancestor:
        ancestor = _find_parent(ancestor)
        hops += 1
    max_age_s = (
        STORE_POLL_S
        + hops * (PEER_POLL_S + PEER_QUERY_MAX_S)
        + MAX_AGE_MARGIN_S
    )
    return PollTarget(PollSource.PEER, ranked[parent], max_age_s)


def _find_parent(position: int) -> int:
    return (position - 1) // TREE_FANOUT


def choose_fallback_peers(
    name: str, live_peers: Iterable[str], failures: int
) -> list[str]:
    """Returns the peers to ask when the store turns this router away.

    Args:
      name: This router.
      live_peers: Its peers in all failure domains that were heard lately.
      failures: Reads of the store that failed in a row; others are asked after
        each.
    """
    return hashing.sort_by_score(f"{name}/{failures}", live_peers)[
        :FALLBACK_PEERS
    ]


class PollSchedule:
    """When this router reads the store, and how long it rests between steps.

    Attributes:
      failures: Reads that failed in a row.
    """

    def __init__(self) -> None:
        self.failures = 0
        self._failed_at = float("-inf")
        self._cooldown_until = float("-inf")

    def record_peer_success(self) -> None:
        """Learns that what a peer told was fresh."""
        self.failures = 0

    def record_read(self, now: float, took_s: float) -> None:
        """Learns that the store was read, and how long that took."""
        self.failures = 0
        self._cooldown_until = now + READ_COOLDOWN_FACTOR * took_s

    def record_failure(self, now: float) -> None:
        """Learns that the store did not answer."""
        self.failures += 1
        self._failed_at = now

    def is_read_due(self, parent_has_listing: bool, now: float) -> bool:
        """Tells whether to read the store now.

        Args:
          parent_has_listing: The router above has a listing, though not a
            fresh one.
          now: Present time in seconds.
        """
        if not self.failures:
            return not parent_has_listing or now >= self._cooldown_until
        backoff_min_s, backoff_max_s = BACKOFF_MIN_S, BACKOFF_MAX_S
        if parent_has_listing:
            backoff_min_s, backoff_max_s = (
                CHILD_BACKOFF_MIN_S,
                CHILD_BACKOFF_MAX_S,
            )
        backoff_s = min(backoff_max_s, backoff_min_s * 2 ** (self.failures - 1))
        return now - self._failed_at >= backoff_s

    def get_pause_s(self, source: PollSource) -> float:
        """Returns the pause before the next step.

        Args:
          source: Where this one went.
        """
        if source is PollSource.PEER:
            return PEER_POLL_S
        return BACKOFF_MIN_S if self.failures else STORE_POLL_S
