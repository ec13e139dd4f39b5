"""Rendezvous hashing: few keys move when a member joins or leaves."""

from __future__ import annotations

from collections.abc import Iterable
import functools
import heapq
import struct

import xxhash

# CPython multiplies integers of up to 30 bits, its digit size, fastest.
_MASK = 2**30 - 1
# Odd, so that the multiplication is a bijection, with well-mixed bits.
_MULTIPLIER = 0x1E3779B9
# Number of name sets whose hashes are cached.
_CACHED_NAME_SETS_MAX = 100


def score(key: str, name: str) -> int:
    """Returns the 64-bit weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def sort_by_score(key: str, names: Iterable[str]) -> list[str]:
    """Returns all names sorted by their weight for a key, highest first."""
    return sorted(
        names, key=lambda name: (score(key, name), name), reverse=True
    )


def select_indices(key: str, names: tuple[str, ...], count: int) -> list[int]:
    """Returns the indices of the `count` names with the highest weights.

    The weights differ from those of `sort_by_score` and are cheaper to
    compute, because each name is hashed only once.
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
    """Returns the 32-bit hash of a name, for messages between routers.

    A collision only makes the loads and cached parts of the two names less
    exact.
    """
    return xxhash.xxh32_intdigest(name.encode())


def hash_part(part_id: str) -> int:
    """Returns the 64-bit hash of a prompt part's id.

    It is wide enough that two of the parts in use never share a hash.
    """
    return xxhash.xxh3_64_intdigest(part_id.encode())


def score_ids(key_hash: int, name_hash: int) -> int:
    """Returns the 64-bit weight of a name for a key, both as 32-bit hashes."""
    return xxhash.xxh3_64_intdigest(struct.pack("<II", key_hash, name_hash))
