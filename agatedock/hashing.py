"""Rendezvous hashing: few keys move when members come and go."""

from __future__ import annotations

from collections.abc import Iterable
import functools
import heapq
import struct

import xxhash

# Python multiplies integers of 30 bits fastest.
_MASK = 2**30 - 1
# Odd, with its bits well spread.
_MULTIPLIER = 0x1E3779B9
# Sets of names whose hashes are remembered.
_CACHED_NAME_SETS_MAX = 100


def score(key: str, name: str) -> int:
    """Returns the 64-bit weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def sort_by_score(key: str, names: Iterable[str]) -> list[str]:
    """Returns all names, the highest weight first."""
    return sorted(
        names, key=lambda name: (score(key, name), name), reverse=True
    )


def select_indices(key: str, names: tuple[str, ...], count: int) -> list[int]:
    """Returns the positions of the names with the highest weights for a key.

    The weights are others than those of `rank`, and cheaper: the names are
    hashed once.
    """
    key_hash = xxhash.xxh3_64_intdigest(key.encode()) & _MASK
    weights = [
        ((name_hash ^ key_hash) * _MULTIPLIER) & _MASK
        for name_hash in _hash_names(names)
    ]
    positions = dict(zip(weights, range(len(names)), strict=True))
    return [positions[weight] for weight in heapq.nlargest(count, weights)]


@functools.lru_cache(maxsize=_CACHED_NAME_SETS_MAX)
def _hash_names(names: tuple[str, ...]) -> list[int]:
    return [xxhash.xxh3_64_intdigest(name.encode()) & _MASK for name in names]


def hash_name(name: str) -> int:
    """Returns a 32-bit number for a name, for messages between routers.

    Two names with one number make loads and cached parts less exact, no more.
    """
    return xxhash.xxh32_intdigest(name.encode())


def score_ids(key_hash: int, name_hash: int) -> int:
    """Returns the 64-bit weight of a short number for another one."""
    return xxhash.xxh3_64_intdigest(struct.pack("<II", key_hash, name_hash))
