"""Leases in the key-value service, with increasing fencing tokens."""

from __future__ import annotations

import dataclasses
import uuid

import pydantic

from agatedock import errors
from agatedock import external

LEASE_PREFIX = "agatedock/lease/"
FENCE_PREFIX = "agatedock/fence/"
# Share of the TTL that the holder leaves unused, because its clock and the
# service's clock may run at different rates.
SAFETY_MARGIN_RATIO = 0.1
FENCE_ATTEMPTS = 3


class LeaseRecord(pydantic.BaseModel):
    """The stored form of a lease.

    Attributes:
      holder: Name of the process that holds the lease; informational.
      token: Random identifier of one acquisition.
      fence: Fencing token, greater than those of all earlier holders.
    """

    holder: str
    token: str
    fence: int


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease that this process holds.

    Attributes:
      scope: Name of the model that the lease covers.
      record: The lease as it is stored.
      version: Version of the stored record.
      valid_until: Monotonic time in seconds after which the holder must not
        act.
    """

    scope: str
    record: LeaseRecord
    version: int
    valid_until: float

    def is_valid_for(self, now: float, duration_s: float) -> bool:
        """Returns whether an action of up to duration_s ends before expiry."""
        return now + duration_s <= self.valid_until


class Lease:
    """Acquires and renews the lease of one scope for one process."""

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
        """Acquires the lease if no process holds it.

        The validity is counted from `now`, the monotonic time in seconds read
        before the write. This process therefore stops acting before the
        service lets another process acquire the lease.

        Returns:
          The lease, or None if another process holds it.

        Raises:
          errors.Unavailable: The service did not reply; the lease is not held.
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
          errors.Unavailable: The service did not reply; `held_lease` stays
            valid until its expiry.
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
        """Renews the lease with a fencing token above `seen_fence`.

        A key-value service restored from a backup may issue tokens that
        engines have already seen.

        Returns:
          The renewed lease, or None if it is lost.

        Raises:
          errors.Unavailable: The service did not reply.
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
        """Returns a fencing token that no other process receives."""
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
                # Without a reply the token may be stored or not, so it is not
                # used; the next attempt allocates a higher one.
                continue
        raise errors.Unavailable(f"no fencing token for {self._scope}")

    async def _put_record(
        self, record: LeaseRecord, expected_version: int
    ) -> int:
        """Stores the record.

        Returns:
          The new version, or 0 if another process wrote the key first.
        """
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
            # The write took effect after the time that the validity is
            # counted from, so the lease may be used.
            return entry.version if entry.version != expected_version else 0
