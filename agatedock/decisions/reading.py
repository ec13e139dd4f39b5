"""Decides who reads the store and who hears of it from a peer.

Answers the load that many routers put on the store: one in each failure
domain reads it, chosen by hash without any talk, and the others ask that one.
A router that cannot reach it, or hears nothing fresh, reads the store itself.
"""

from __future__ import annotations

import dataclasses
import enum

from agatedock import hashing

# Readers in each failure domain.
READERS = 1
# Peers asked after each failed read of the store.
HELPERS = 2
# Pause between two reads of the store.
READ_S = 0.8
# Pause between two questions to a reader.
ASK_S = 0.45
# What a peer tells is fresh if the store was asked for it this lately.
FRESH_S = 1.8
# Pause after a failed read of the store, twice as long after each further one.
RETRY_MIN_S = 0.25
RETRY_MAX_S = 1.0


class Source(enum.StrEnum):
    """Where the next listing comes from."""

    STORE = "store"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What to do next.

    Attributes:
      peers: Names of the readers to ask, best first; empty for the store.
    """

    source: Source
    peers: tuple[str, ...] = ()


def choose_readers(zone: str, links: dict[str, int]) -> list[str]:
    """Returns the routers of a failure domain that read the store.

    They serve the others, so those with the fastest links come first.

    Args:
      zone: The failure domain.
      links: Speed of the link in Mbit/s by router.
    """
    ranked = hashing.rank(zone, links)
    # The sort is stable: equal links stay in the order of the hash.
    ranked.sort(key=lambda name: -links[name])
    return ranked[:READERS]


def decide(
    name: str, zone: str, link_mbps: int, peer_links: dict[str, int]
) -> Step:
    """Returns where to get the next listing from.

    Args:
      name: This router.
      zone: Its failure domain.
      link_mbps: Speed of its link.
      peer_links: Speeds of the links of its peers in that failure domain that
        were heard lately, by name.
    """
    readers = choose_readers(zone, {**peer_links, name: link_mbps})
    if name in readers:
        return Step(Source.STORE)
    return Step(Source.PEER, tuple(readers))


def choose_helpers(name: str, alive: list[str], failures: int) -> list[str]:
    """Returns the peers to ask when the store turns this router away.

    Args:
      name: This router.
      alive: Its peers in all failure domains that were heard lately.
      failures: Reads of the store that failed in a row; others are asked after
        each.
    """
    return hashing.rank(f"{name}/{failures}", alive)[:HELPERS]


def is_fresh(age_s: float) -> bool:
    """Tells whether a peer's listing will do.

    Args:
      age_s: How long ago the store was asked for it.
    """
    return age_s <= FRESH_S


def pause_s(source: Source, failures: int) -> float:
    """Returns the pause before the next step.

    Args:
      source: Where this one went.
      failures: Reads of the store that failed in a row.
    """
    if failures:
        return min(RETRY_MAX_S, RETRY_MIN_S * 2 ** (failures - 1))
    return READ_S if source is Source.STORE else ASK_S
