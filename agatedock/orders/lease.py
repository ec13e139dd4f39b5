"""Leases in the key-value service, with fencing numbers that only grow."""

from __future__ import annotations

import dataclasses
import uuid

import pydantic

from agatedock import errors
from agatedock import external

LEASE_PREFIX = "agatedock/lease/"
FENCE_PREFIX = "agatedock/fence/"
# Part of the term that is left unused, against clocks that run unevenly.
SAFETY_MARGIN_RATIO = 0.1
FENCE_ATTEMPTS = 3


class LeaseRecord(pydantic.BaseModel):
    """A stored lease.

    Attributes:
      holder: Name of the process, for people.
      token: Tells one acquisition from another.
    """

    holder: str
    token: str
    fence: int


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease that this process holds.

    Attributes:
      version: Version of the stored record.
      valid_until: Monotonic time in seconds after which it must not act.
    """

    scope: str
    record: LeaseRecord
    version: int
    valid_until: float

    def is_valid_for(self, now: float, duration_s: float) -> bool:
        """Tells whether an act that takes up to need_s ends inside the term."""
        return now + duration_s <= self.valid_until


class Lease:
    """One process's part in the lease of one scope."""

    def __init__(
        self, kv: external.KeyValue, scope: str, holder: str, ttl_s: float
    ):
        self._kv = kv
        self._key = LEASE_PREFIX + scope
        self._fence_key = FENCE_PREFIX + scope
        self._scope = scope
        self._holder = holder
        self._ttl_s = ttl_s

    async def acquire(self, now: float) -> HeldLease | None:
        """Takes the lease if nobody holds it.

        The term counts from `now`, which lies before the write, so this
        process stops before the service lets another one in.

        Raises:
          errors.Unavailable: No answer came; the lease is not held.
        """
        if await self._kv.get(self._key) is not None:
            return None
        fence = await self._allocate_fence(0)
        record = LeaseRecord(
            holder=self._holder, token=uuid.uuid4().hex, fence=fence
        )
        version = await self._put_record(record, 0)
        return self._make_held_lease(record, version, now) if version else None

    async def renew(
        self, held_lease: HeldLease, now: float
    ) -> HeldLease | None:
        """Extends the lease; returns None if it is lost.

        Raises:
          errors.Unavailable: No answer came; the old term still counts.
        """
        version = await self._put_record(held_lease.record, held_lease.version)
        return (
            self._make_held_lease(held_lease.record, version, now)
            if version
            else None
        )

    async def renew_with_higher_fence(
        self, held_lease: HeldLease, seen_fence: int, now: float
    ) -> HeldLease | None:
        """Takes a number above one that an engine has seen.

        A restored service may have handed out numbers anew.

        Raises:
          errors.Unavailable: No answer came.
        """
        fence = await self._allocate_fence(seen_fence)
        record = held_lease.record.model_copy(update={"fence": fence})
        version = await self._put_record(record, held_lease.version)
        return self._make_held_lease(record, version, now) if version else None

    def _make_held_lease(
        self, record: LeaseRecord, version: int, now: float
    ) -> HeldLease:
        valid_until = now + self._ttl_s * (1 - SAFETY_MARGIN_RATIO)
        return HeldLease(self._scope, record, version, valid_until)

    async def _allocate_fence(self, previous_fence: int) -> int:
        """Returns a number that no other process gets."""
        for _ in range(FENCE_ATTEMPTS):
            entry = await self._kv.get(self._fence_key)
            stored = int(entry.value) if entry else 0
            version = entry.version if entry else 0
            new_fence = max(stored, previous_fence) + 1
            try:
                await self._kv.put(
                    self._fence_key, str(new_fence).encode(), version
                )
                return new_fence
            except (errors.Conflict, errors.Unavailable):
                # A number whose answer was lost is left unused.
                continue
        raise errors.Unavailable(f"no fencing number for {self._scope}")

    async def _put_record(
        self, record: LeaseRecord, expected_version: int
    ) -> int:
        """Stores the lease; returns its version or 0 if another was first."""
        data = record.model_dump_json().encode()
        try:
            return await self._kv.put(
                self._key, data, expected_version, int(self._ttl_s * 1000)
            )
        except errors.Conflict:
            return 0
        except errors.Unavailable:
            entry = await self._kv.get(self._key)
            if entry is None or entry.value != data:
                return 0
            # The write took effect at some time after `now`: still safe.
            return entry.version if entry.version != expected_version else 0
