"""Decides which router reads the store and which get its listing from a peer.

Limits the load that many routers put on the store. One router of the fleet is
the store reader; the others form a relay tree below it, in which each asks its
parent. Each router computes the tree alone from link speeds and hashes, without
coordination. A router that cannot reach its parent, or gets too old a listing
from it, reads the store itself. While the store is unavailable it does so with
a longer backoff if its parent replies.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from agatedock import hashing

# Children of each router in the relay tree; two hops serve 210 routers beside
# the store reader.
TREE_FANOUT = 14
# Peers queried after each failed read of the store.
FALLBACK_PEERS = 2
# Pause between two reads of the store.
STORE_POLL_S = 0.8
# Pause between two queries to a peer.
PEER_POLL_S = 0.45
# Longest time that a query takes, without the pause before it.
PEER_QUERY_MAX_S = 0.1
# Margin added to the sum of the pauses and queries on the way from the store
# when the highest acceptable age of a listing is computed.
MAX_AGE_MARGIN_S = 0.35
# Backoff after a failed read of the store; it doubles with each further one.
BACKOFF_MIN_S = 0.25
# The root of the relay tree retries often, as all others wait for it.
BACKOFF_MAX_S = 0.5
# The others mostly get new listings from their parent once the store is back.
CHILD_BACKOFF_MIN_S = 1.0
CHILD_BACKOFF_MAX_S = 4.0
# A router whose parent has a listing reads the store again only after this
# multiple of the last read's duration. When all routers read at once, reads
# take so long that each listing is too old on arrival; immediate further reads
# would keep the store overloaded.
READ_COOLDOWN_FACTOR = 3.0


class PollSource(enum.StrEnum):
    """Where the next listing comes from."""

    STORE = "store"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class PollTarget:
    """Where to get the next listing.

    Attributes:
      source: The store, or the parent in the relay tree.
      peer: Name of the parent; empty for the store.
      max_age_s: Highest acceptable age of the parent's listing, counted from
        the time at which it was requested from the store; 0 for the store.
    """

    source: PollSource
    peer: str = ""
    max_age_s: float = 0.0


def order_by_link(links: Mapping[str, int]) -> list[str]:
    """Returns routers in their order in the relay tree, the root first.

    Routers with faster links come first, as they serve others; equal links are
    ordered by hash.

    Args:
      links: Link speeds in Mbit/s by router name.
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
      name: Name of this router.
      link_mbps: Speed of its link in Mbit/s.
      peer_links: Link speeds of its live peers in Mbit/s, by name.
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
    """Returns the position of the parent in the order of `order_by_link`."""
    return (position - 1) // TREE_FANOUT


def list_children(
    name: str, link_mbps: int, peer_links: Mapping[str, int]
) -> list[str]:
    """Returns the routers that get their listing from this one.

    Args:
      name: Name of this router.
      link_mbps: Speed of its link in Mbit/s.
      peer_links: Link speeds of its live peers in Mbit/s, by name.
    """
    ranked = order_by_link({**peer_links, name: link_mbps})
    first = TREE_FANOUT * ranked.index(name) + 1
    return ranked[first : first + TREE_FANOUT]


def choose_fallback_peers(
    name: str, live_peers: Iterable[str], failures: int
) -> list[str]:
    """Returns the peers to query after a failed read of the store.

    Args:
      name: Name of this router.
      live_peers: Names of its live peers in all failure domains.
      failures: Reads of the store that failed in a row; each number selects
        other peers.
    """
    return hashing.sort_by_score(f"{name}/{failures}", live_peers)[
        :FALLBACK_PEERS
    ]


class PollSchedule:
    """When this router reads the store, and its pauses between polls.

    Attributes:
      failures: Reads of the store that failed in a row.
    """

    def __init__(self) -> None:
        self.failures = 0
        self._failed_at = float("-inf")
        self._cooldown_until = float("-inf")

    def record_peer_success(self) -> None:
        """Records that a peer had a recent enough listing."""
        self.failures = 0

    def record_read(self, now: float, took_s: float) -> None:
        """Records a successful read of the store, which starts the cooldown."""
        self.failures = 0
        self._cooldown_until = now + READ_COOLDOWN_FACTOR * took_s

    def record_failure(self, now: float) -> None:
        """Records a failed read of the store."""
        self.failures += 1
        self._failed_at = now

    def is_read_due(self, parent_has_listing: bool, now: float) -> bool:
        """Returns whether to read the store now.

        Args:
          parent_has_listing: Whether the parent in the relay tree has a
            listing, though too old a one.
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
        """Returns the pause in seconds before the next poll.

        Args:
          source: Where this poll went.
        """
        if source is PollSource.PEER:
            return PEER_POLL_S
        return BACKOFF_MIN_S if self.failures else STORE_POLL_S
